"""The read-only queries of operators to a process, and its answers.

They are sent over websockets on `PATH`, sealed like datagrams between processes. Each answer
repeats the query's random `id`, so that a replayed answer is detected.
"""

import dataclasses
import typing

from ebonystile import codec, timeline

PATH = "/v1/operator"
ID_BYTES = 16
MAX_EVENTS = 5_000
"""Maximum number of records in one answer: about 1 MB, half the websocket message limit."""

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request the status of a process."""

    KIND: typing.ClassVar[int] = 16
    id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The status of a process; `now` and `started` are in ms by its clock.

    `revision` is the platform's revision of the documents in force, `instances_revision` that of
    the list of instances. `queued` counts requests in a sidecar and datagrams in a balancer.
    `leaving` is the reason for leaving, or empty. `suspected` names the processes that this one
    suspects to have failed.
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
    """Request the newest `limit` events that match; other fields are those of `timeline.Filter`."""

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
    """Events, oldest first, each an encoded `timeline.Record`."""

    KIND: typing.ClassVar[int] = 19
    id: bytes
    records: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Request where a flow is routed; `token` is empty if the operator has none."""

    KIND: typing.ClassVar[int] = 20
    id: bytes
    service: str
    flow: bytes
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a flow is routed by the view of one process.

    `ranking` names the upstreams for a new open, the first choice first, and `leaving` those that
    accept no new flows. `sends_to` is the upstream that the token selects. `holds` is the state of
    the flow in this sidecar: `HOME`, `FENCED`, `MOVED` or `ABSENT`; `target` is where it moved.
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
    """Request the known processes, for when the platform is unreachable."""

    KIND: typing.ClassVar[int] = 22
    id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Processes:
    """The processes in the view of one process, each with name, role and address."""

    KIND: typing.ClassVar[int] = 23
    id: bytes
    processes: tuple[tuple[str, str, Address], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a query with a reason."""

    KIND: typing.ClassVar[int] = 24
    id: bytes
    reason: str


Question = StatusRequest | EventsRequest | ExplainRequest | ProcessesRequest
Answer = Status | Events | Explanation | Processes | Refused

OPERATOR = codec.Codec("operator", (*typing.get_args(Question), *typing.get_args(Answer)))
RECORDS = codec.Codec("record", (timeline.Record,))
