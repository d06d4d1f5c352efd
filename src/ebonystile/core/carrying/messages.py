"""The messages between balancers and sidecars about carried flows.

The data classes are not frozen, as creating a frozen one is slower and every packet needs some.
"""

import dataclasses
import enum

from ebonystile.core.carrying import packet


class FlowStatus(enum.IntEnum):
    """The status of a flow at an upstream, as its sidecar reports it.

    OFFERED is a flow that the upstream has accepted and whose caller has not continued it yet.
    UNKNOWN is answered by a sidecar that started so recently that its table may lack flows of its
    upstream.
    """

    ABSENT = 0
    UNKNOWN = 1
    OFFERED = 2
    HELD = 3


@dataclasses.dataclass(slots=True)
class Load:
    """The load of an upstream, as observed by its sidecar.

    `running` is the number of running requests, including those expected on flows just opened;
    `flows` is the number of open flows. `latency` is the average latency of recent requests in ms,
    0 without any, and `success_rate` the share of recent requests that got a proper answer.
    `accepting` is set if the upstream takes new flows, `unresponsive` if it leaves opening packets
    unanswered, `saturated` if a request runs on each of its slots, and `full` if the limit on new
    flows during its slow start is reached.
    """

    running: int = 0
    flows: int = 0
    slots: int = 1
    latency: int = 0
    success_rate: float = 1.0
    accepting: bool = True
    unresponsive: bool = False
    saturated: bool = False
    full: bool = False


@dataclasses.dataclass(slots=True)
class Ask:
    """Ask a sidecar whether its upstream holds the flow, and for the upstream's load.

    `acknowledged` is the caller's acknowledgement number. If two upstreams have accepted copies of
    the opening packet, it shows with which of them the caller has continued.
    """

    flow: packet.Flow
    version: int
    acknowledged: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """A sidecar's answer to `Ask`.

    `version` is the newest version of the configuration that the sidecar knows of, 0 if flows of
    its upstream may have been opened by a newer one.

    `revision` is the store's revision up to which the sidecar has read. A balancer that has read
    less may have no entry for upstreams to which other balancers have already sent flows.
    """

    flow: packet.Flow
    version: int
    flow_status: FlowStatus
    load: Load
    revision: int = 0


@dataclasses.dataclass(slots=True)
class AskMany:
    """Ask about many open flows at once, each with its caller's acknowledgement number.

    The answer repeats `number` and has one status for each question, in the same order.
    """

    number: int
    version: int
    questions: tuple[tuple[packet.Flow, int], ...]


@dataclasses.dataclass(slots=True)
class AnswerMany:
    """A sidecar's answer to `AskMany`; `revision` as in `Answer`."""

    number: int
    version: int
    flow_statuses: tuple[FlowStatus, ...]
    load: Load
    revision: int = 0


@dataclasses.dataclass(slots=True)
class Open:
    """Send a new flow's opening packet to the upstream, if it serves the service with this key."""

    service: int
    version: int
    raw: bytes


@dataclasses.dataclass(slots=True)
class Carry:
    """Send a packet of an open flow to the upstream that holds it."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class Probe:
    """Find out with a packet of an open flow whether the upstream holds the flow.

    The sidecar sends an `Answer` when the upstream has answered or returned the packet. The
    balancer keeps its copy of the packet.
    """

    raw: bytes


@dataclasses.dataclass(slots=True)
class ProbeMany:
    """Several `Probe` messages in one datagram."""

    raws: tuple[bytes, ...]


class Reason(enum.IntEnum):
    """Why a sidecar returns a packet to the balancer.

    ABSENT: the upstream does not hold the flow. FULL: the upstream returned the opening packet.
    COLD: the limit on new flows of a cold upstream is reached. The others refuse a new flow because
    the upstream is leaving, serves another service, or lies in a drained zone or in a region that
    the route excludes, or because no route to the service is configured.
    """

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
    """Return a packet that the upstream may not get or did not take.

    `version` is that of the sidecar's configuration.
    """

    reason: Reason
    version: int
    raw: bytes


@dataclasses.dataclass(slots=True)
class Announce:
    """Announce a sidecar to the seeds, and to the witnesses if its upstream has no entry.

    `is_listed` is set if the upstream has an entry, `is_relay` if other processes may read the
    store's contents from this sidecar.
    """

    is_listed: bool
    is_relay: bool


@dataclasses.dataclass(slots=True)
class AskUnlisted:
    """Ask a seed or witness for the sidecars whose upstreams have no entry."""


@dataclasses.dataclass(slots=True)
class AnswerUnlisted:
    """The answer to `AskUnlisted`.

    `listened_ms` is for how long the answering process has received announcements.
    """

    listened_ms: int
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
