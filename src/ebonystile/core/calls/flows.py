"""Hold what a sidecar knows of each flow: its home, its lease, its feeds, its way out."""

import dataclasses

from ebonystile.core import view


@dataclasses.dataclass(slots=True)
class Feed:
    """One subscription: the last event acknowledged, the last one sent, and when to resend.

    `window` is how many events may be under way; None for as many as the home's limits allow.
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
    """A flow on its way to `target`; from its creation on the flow runs nothing here.

    `incarnation` is 0 until the target has told its own. `committed` is set once the content may
    have reached that incarnation: from then on no other target may be tried.
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
    """One open flow. `answers_for` holds the incarnations whose tokens this home honours.

    At or before `barred_before` every request without a record was refused for good. A `lost` flow
    may live at the target of a handover, or nowhere: nothing of it runs here any more.

    A flow that nobody would take is not offered again before `move_at`; `lease_told_at` is when its
    caller was last told that the lease has become short (both in ms).
    """

    id: bytes
    service: str
    token: bytes
    caller: view.Address
    via: view.Address
    lease_until: int
    answers_for: tuple[int, ...]
    forgotten_before: int = 0
    barred_before: int = 0
    feeds: dict[bytes, Feed] = dataclasses.field(default_factory=dict)
    handover: Handover | None = None
    moved_to: view.Endpoint | None = None
    lost: bool = False
    move_at: int = 0
    lease_told_at: int = 0

    @property
    def fenced(self) -> bool:
        """Whether this home must not run anything for the flow any more."""
        return self.handover is not None or self.moved_to is not None or self.lost


ANSWERS_FOR_LIMIT = 8
"""Incarnations that one flow answers for, the newest ones.

Each handover adds one, so a flow that is held for months would carry ever more. A caller learns
its new token within a heartbeat; one that has slept through more handovers than this finds its
home unknown, and never another one.
"""


def joined(*groups: tuple[int, ...]) -> tuple[int, ...]:
    """Return the newest incarnations of the groups, the oldest first."""
    ordered = dict.fromkeys(incarnation for group in groups for incarnation in group)
    return tuple(ordered)[-ANSWERS_FOR_LIMIT:]
