"""The caller's records of the requests and subscriptions of a flow."""

import dataclasses
import enum

FIRST_RESEND_MS = 200
"""Delay of the first resend; it doubles with each later one, up to a limit."""

UNKNOWN_FLOW_LIMIT = 3
"""Number of resends answered with `UnknownFlow` after which the caller reopens the flow.

Views reach the sidecars at different times, so one attempt may miss a home that the next finds.
"""


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a request: an answer, or the reason for none and when it may be retried."""

    request: bytes
    outcome: Outcome
    status: int = 0
    body: bytes = b""
    reason: str = ""
    retry_at: int = 0


@dataclasses.dataclass(slots=True)
class UnknownFlowCount:
    """The number of resends answered with `UnknownFlow`; answers before `next_at` are not counted.

    Each part of an upload is answered. If every answer counted, a single sidecar with a stale view
    could make the caller leave a live home.
    """

    count: int = 0
    next_at: int = 0

    def record(self, now: int) -> bool:
        """Count an `UnknownFlow` that answers a new resend; return whether the limit is reached."""
        if now >= self.next_at:
            self.count += 1
            self.next_at = now + FIRST_RESEND_MS
        return self.count >= UNKNOWN_FLOW_LIMIT


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request without an outcome."""

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
    """A subscription to a feed; `position` is the last event delivered.

    `early_events` holds events by position that arrived before the next one to deliver.
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
