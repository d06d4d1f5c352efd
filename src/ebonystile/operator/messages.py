"""The questions that operators ask a process, and its answers; none of them changes anything.

They travel over websockets on `PATH`, sealed like datagrams between processes. Each answer repeats
the question's random `id`, so that an old answer played back is not taken for a new one.
"""

import dataclasses
import typing

from ebonystile import codec, timeline

PATH = "/v1/operator"
ID_BYTES = 16
MAX_EVENTS = 5_000
"""Most records of one answer: about 1 MB, half of what a websocket message may hold."""

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask how a process is."""

    KIND: typing.ClassVar[int] = 16
    id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Tell how a process is; `now` and `started` are in ms by its clock.

    `revision` is the platform's of the documents in force, `instances_revision` of its list.
    `queued` counts requests in a sidecar and datagrams in a balancer. `leaving` gives the reason,
    empty where it isn't leaving; `suspected` names the processes that it takes for failed.
    """

    KIND: typing.ClassVar[int] = 17
    id: bytes
    process: str
    role: str
    zone: str
    version: str
    incarnation: int
    now: int
    started: int
    revision: int
    instances_revision: int
    leaving: str
    flows: int
    running: int
    queued: int
    suspected: tuple[str, ...]
    services: tuple[str, ...]
    refusals: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """Ask for the newest `limit` events that fit; the fields are those of `timeline.Filter`."""

    KIND: typing.ClassVar[int] = 18
    id: bytes
    flow: bytes
    request: bytes
    upstream: str
    event: str
    since: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Give events, oldest first, each encoded as a `timeline.Record`."""

    KIND: typing.ClassVar[int] = 19
    id: bytes
    records: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Ask where a flow goes; `token` is empty where the operator has none."""

    KIND: typing.ClassVar[int] = 20
    id: bytes
    service: str
    flow: bytes
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Tell where a flow goes by the view of one process.

    `ranking` names the upstreams for a new open, the first choice first, and `leaving` those that
    serve on but take no new flows. `sends_to` is what the token leads to. `holds` tells of a
    sidecar's own copy of the flow: `HOME`, `FENCED`, `MOVED` or `ABSENT`; `target` where it went.
    """

    KIND: typing.ClassVar[int] = 21
    id: bytes
    process: str
    role: str
    incarnation: int
    revision: int
    known: bool
    ranking: tuple[str, ...]
    leaving: tuple[str, ...]
    sends_to: str
    why: str
    holds: int
    target: str


ABSENT = 0
HOME = 1
FENCED = 2
MOVED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessesRequest:
    """Ask which processes there are, for when the platform doesn't answer."""

    KIND: typing.ClassVar[int] = 22
    id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Processes:
    """Name the processes by a process's own view, each with role and address."""

    KIND: typing.ClassVar[int] = 23
    id: bytes
    processes: tuple[tuple[str, str, Address], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Say why a question has no answer."""

    KIND: typing.ClassVar[int] = 24
    id: bytes
    reason: str


Question = StatusRequest | EventsRequest | ExplainRequest | ProcessesRequest
Answer = Status | Events | Explanation | Processes | Refused

OPERATOR = codec.Codec("operator", (*typing.get_args(Question), *typing.get_args(Answer)))
RECORDS = codec.Codec("record", (timeline.Record,))
