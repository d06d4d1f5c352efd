"""Hold what a sidecar knows of each flow: its home, its lease, its feeds, its way out."""

import dataclasses

from ebonystile.core import view


@dataclasses.dataclass(slots=True)
class Feed:
    """One subscription: the last event acknowledged, the last one sent, and when to resend."""

    request: bytes
    path: str
    acknowledged: int
    sent: int
    resend_at: int = 0
    resends: int = 0


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

    At or before `barred_before` every request without a record was refused for good.
    """

    id: bytes
    service: str
    token: bytes
    caller: view.Address
    via: view.Address
    lease_until: int
    answers_for: set[int]
    forgotten_before: int = 0
    barred_before: int = 0
    feeds: dict[bytes, Feed] = dataclasses.field(default_factory=dict)
    handover: Handover | None = None
    moved_to: view.Endpoint | None = None

    @property
    def fenced(self) -> bool:
        """Whether this home must not run anything for the flow any more."""
        return self.handover is not None or self.moved_to is not None
