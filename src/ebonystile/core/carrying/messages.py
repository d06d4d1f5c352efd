"""What balancers and sidecars say to one another about carried flows.

The data classes are not frozen: making a frozen one takes twice as long, and a packet needs some.
"""

import dataclasses
import enum

from ebonystile.core.carrying import packet


class Holding(enum.IntEnum):
    """What a sidecar knows of a flow at its own upstream.

    UNKNOWN is said by one that started so recently that its upstream may hold flows which it has
    not seen a packet of yet.
    """

    ABSENT = 0
    UNKNOWN = 1
    OFFERED = 2
    HELD = 3


@dataclasses.dataclass(slots=True)
class Load:
    """What a sidecar observes of its upstream: requests running, flows held, slots.

    `latency` is the recent time from a request to its answer in ms, 0 if there was none, `good` the
    share of requests that were answered at all. `silent` says that the upstream has left opening
    packets unanswered, `accepting` that new flows may come, `saturated` that a request runs on each
    slot; `running` counts those as well that are about to come on flows just opened. `full` says
    that the upstream is cold and has had as many new flows of late as it bears.
    """

    running: int = 0
    flows: int = 0
    slots: int = 1
    latency: int = 0
    good: float = 1.0
    accepting: bool = True
    silent: bool = False
    saturated: bool = False
    full: bool = False


@dataclasses.dataclass(slots=True)
class Ask:
    """Ask a sidecar whether its upstream holds the flow, and how busy it is.

    `acknowledged` is the position that the caller acknowledges: it tells which of two upstreams
    that both accepted the flow the caller went on with.
    """

    flow: packet.Flow
    version: int
    acknowledged: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """A sidecar's answer; `version` is that of its configuration.

    `revision` is how far it has read the store: an asker that has read less may not know upstreams
    on which others have placed flows already.
    """

    flow: packet.Flow
    version: int
    holding: Holding
    load: Load
    revision: int = 0


@dataclasses.dataclass(slots=True)
class AskMany:
    """Ask about many open flows at once, each with the position that its caller acknowledges.

    `number` comes back with the answer, which gives a holding for each question in their order.
    """

    number: int
    version: int
    questions: tuple[tuple[packet.Flow, int], ...]


@dataclasses.dataclass(slots=True)
class AnswerMany:
    """A sidecar's answer to `AskMany`; `revision` as in `Answer`."""

    number: int
    version: int
    holdings: tuple[Holding, ...]
    load: Load
    revision: int = 0


@dataclasses.dataclass(slots=True)
class Open:
    """Give a new flow to the upstream, if that serves the service with this key."""

    service: int
    version: int
    raw: bytes


@dataclasses.dataclass(slots=True)
class Carry:
    """Give a packet of an open flow to the upstream that holds it."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class Probe:
    """Find out by this packet, which the balancer keeps, whether the upstream holds its flow.

    The sidecar gives an `Answer` once its upstream has answered the packet or returned it.
    """

    raw: bytes


@dataclasses.dataclass(slots=True)
class ProbeMany:
    """Several `Probe` in one datagram, for flows that are looked for at the same time."""

    raws: tuple[bytes, ...]


class Reason(enum.IntEnum):
    """Why a packet comes back to the balancer."""

    ABSENT = 0
    FULL = 1
    LEAVING = 2
    OTHER_SERVICE = 3
    NO_ROUTE = 4
    DRAINED = 5
    COLD = 6
    OTHER_REGION = 7


@dataclasses.dataclass(slots=True)
class Return:
    """Give a packet back that this upstream can't take; `version` as in `Answer`."""

    reason: Reason
    version: int
    raw: bytes


@dataclasses.dataclass(slots=True)
class Announce:
    """A sidecar's word to the seeds that it is there.

    `listed` tells whether its upstream has an entry, `relays` whether others may read from it what
    it has read of the store.
    """

    listed: bool
    relays: bool


@dataclasses.dataclass(slots=True)
class AskUnlisted:
    """Ask a seed which sidecars have told it that their upstreams have no entry."""


@dataclasses.dataclass(slots=True)
class AnswerUnlisted:
    """A seed's answer to `AskUnlisted`, and for how long it has listened, in ms."""

    listening: int
    sidecars: tuple[tuple[str, int], ...]


Message = (
    Ask
    | Answer
    | AskMany
    | AnswerMany
    | Open
    | Carry
    | Probe
    | ProbeMany
    | Return
    | Announce
    | AskUnlisted
    | AnswerUnlisted
)
