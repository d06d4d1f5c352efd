"""The state that a sidecar keeps for each flow: token, lease, feeds and handover."""

import dataclasses

from ebonystile.core import view


@dataclasses.dataclass(slots=True)
class Feed:
    """One subscription; `acknowledged` and `sent` are positions of events.

    `window` is the number of unacknowledged events allowed, or None for `Limits.feed_window`.
    """

    request: bytes
    path: str
    acknowledged: int
    sent: int
    resend_at: int = 0
    resends: int = 0
    window: int | None = None


@dataclasses.dataclass(slots=True)
class Handover:
    """A handover of a flow to `target`; while it exists, the flow runs nothing here.

    `incarnation` is 0 until the target has reported its own. `committed` is set once the transfer
    with the flow's records may have reached that incarnation; then no other target may be tried.
    """

    id: bytes
    target: view.Endpoint
    deadline: int
    incarnation: int = 0
    committed: bool = False
    in_flight: bool = False
    retry_at: int = 0
    refused_by: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Flow:
    """One open flow; tokens of the `honoured_incarnations` are valid at this home.

    A request without a record and with a deadline at or before `barred_before` was refused for
    good; at or before `forgotten_before` its outcome is unknown. A `lost` flow may have its home
    at the target of a handover, or none; it runs nothing here.

    A flow that no sibling accepted is not offered again before `move_at`; `lease_sent_at` is when
    its caller was last informed of the shortened lease (both in ms).
    """

    id: bytes
    service: str
    token: bytes
    caller: view.Address
    via: view.Address
    lease_until: int
    honoured_incarnations: tuple[int, ...]
    forgotten_before: int = 0
    barred_before: int = 0
    feeds: dict[bytes, Feed] = dataclasses.field(default_factory=dict)
    handover: Handover | None = None
    moved_to: view.Endpoint | None = None
    lost: bool = False
    move_at: int = 0
    lease_sent_at: int = 0

    @property
    def is_fenced(self) -> bool:
        """Return whether this sidecar must not run any request of the flow."""
        return self.handover is not None or self.moved_to is not None or self.lost


MAX_HONOURED_INCARNATIONS = 8
"""Maximum length of `Flow.honoured_incarnations`; the newest are kept.

Each handover adds one. A caller gets its new token within a heartbeat; one that was paused for
more handovers than this gets `UnknownFlow` and opens a new flow.
"""


def merge_incarnations(*groups: tuple[int, ...]) -> tuple[int, ...]:
    """Return the newest incarnations of the groups, at most the limit, the oldest first."""
    ordered = dict.fromkeys(incarnation for group in groups for incarnation in group)
    return tuple(ordered)[-MAX_HONOURED_INCARNATIONS:]
