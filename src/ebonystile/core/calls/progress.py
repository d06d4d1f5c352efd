"""Hold what a caller knows of the requests and feeds of one flow, and how each request ended."""

import dataclasses
import enum

FIRST_RESEND_MS = 200
"""Time in ms until the first resend; each later one waits twice as long, up to the limit."""

UNKNOWN_FLOW_LIMIT = 3
"""How many times a flow must be called unknown, a resend apart, before the caller believes it.

Views reach the sidecars at different times, so one walk may miss a home that the next finds.
"""


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The final word on a request: an answer, or why there is none and when to come back."""

    request: bytes
    outcome: Outcome
    status: int = 0
    body: bytes = b""
    reason: str = ""
    retry_at: int = 0


@dataclasses.dataclass(slots=True)
class UnknownFlowCount:
    """How often a flow was called unknown, and when the next time counts (ms).

    All parts of an upload take one walk at the same moment. Were each of its answers counted, one
    sidecar with an old view would make the caller leave a home that lives.
    """

    count: int = 0
    next_at: int = 0

    def record(self, now: int) -> bool:
        """Count a walk, if it is a resend after the last one; return whether to believe it."""
        if now >= self.next_at:
            self.count += 1
            self.next_at = now + FIRST_RESEND_MS
        return self.count >= UNKNOWN_FLOW_LIMIT


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request under way."""

    id: bytes
    path: str
    body: bytes
    deadline: int
    idempotent: bool
    total_parts: int
    missing: tuple[int, ...] = ()
    uploaded: bool = False
    resend_at: int = 0
    backoff: int = FIRST_RESEND_MS
    unknown_flow: UnknownFlowCount = dataclasses.field(default_factory=UnknownFlowCount)
    sent: bool = False
    settling: bool = False
    cancelled: bool = False
    answer_id: bytes = b""
    answer_total: int = 0
    answer_parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    status: int = 0


@dataclasses.dataclass(slots=True)
class Subscription:
    """A feed the caller follows; `position` is the last event delivered.

    `ahead` holds events that came before an earlier one, which took a slower balancer.
    """

    id: bytes
    path: str
    position: int
    received_at: int = 0
    resend_at: int = 0
    unknown_flow: UnknownFlowCount = dataclasses.field(default_factory=UnknownFlowCount)
    early_events: dict[int, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a feed, delivered once and in order."""

    subscription: bytes
    position: int
    body: bytes
