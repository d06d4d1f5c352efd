"""The datagrams that callers and the system exchange, as docs/PROTOCOL.md describes them.

Times are milliseconds since the epoch by the wall clock. Flow and request ids are 16 random bytes.
Every message from a caller starts with flow, service and token, which is all a balancer reads.
"""

import dataclasses
import typing

from ebonystile import codec

ID_BYTES = 16
OPEN_BYTES = 160
"""Least size of an open: an answer to an address that has not yet shown a token is no larger."""

PART_BYTES = 1200
"""Most bytes of a body in one datagram: fits the smallest path that RFC 9000 section 14 allows."""

WINDOW = 32
"""Most parts of an upload, or of an answer, under way at one time."""

MAX_PARTS = 16_384
"""Most parts of one body, about 19 MB."""


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Ask for a home for a flow; repeating it runs nothing. `attempt` counts from 0."""

    KIND: typing.ClassVar[int] = 1
    flow: bytes
    service: str
    token: bytes
    attempt: int
    deadline: int
    padding: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Carry one part of a request; the home answers `Progress` to a part that asks for it."""

    KIND: typing.ClassVar[int] = 2
    flow: bytes
    service: str
    token: bytes
    request: bytes
    deadline: int
    idempotent: bool
    path: str
    part: int
    parts: int
    report: bool
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the named parts of an answer."""

    KIND: typing.ClassVar[int] = 3
    flow: bytes
    service: str
    token: bytes
    request: bytes
    answer: bytes
    parts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for a feed from `position` on, the number of the last event the caller has."""

    KIND: typing.ClassVar[int] = 4
    flow: bytes
    service: str
    token: bytes
    request: bytes
    path: str
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Say that the caller has every event of the feed up to `position`.

    For a request it says that the caller has the whole answer, which had `position` parts.
    """

    KIND: typing.ClassVar[int] = 5
    flow: bytes
    service: str
    token: bytes
    request: bytes
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Say that the answer is no longer wanted; the home frees what the request holds."""

    KIND: typing.ClassVar[int] = 6
    flow: bytes
    service: str
    token: bytes
    request: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Ask for the outcome of a request in doubt; an unknown one is settled as not run for good."""

    KIND: typing.ClassVar[int] = 7
    flow: bytes
    service: str
    token: bytes
    request: bytes
    deadline: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keep the flow's lease alive and learn its present token."""

    KIND: typing.ClassVar[int] = 8
    flow: bytes
    service: str
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """End the flow and everything on it."""

    KIND: typing.ClassVar[int] = 9
    flow: bytes
    service: str
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Name the flow's home by `token`; the lease ends at `lease_until` unless it is renewed.

    `replaces` holds the incarnations of the homes that this one stands for, itself included: a
    caller takes the token in place of one of theirs, and never in place of another home's.
    """

    KIND: typing.ClassVar[int] = 33
    flow: bytes
    token: bytes
    attempt: int
    lease_until: int
    replaces: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRefused:
    """Say that no home was given, and when to ask again."""

    KIND: typing.ClassVar[int] = 34
    flow: bytes
    attempt: int
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Tell which parts of a request are still missing (at most `WINDOW` of them are named)."""

    KIND: typing.ClassVar[int] = 35
    flow: bytes
    request: bytes
    received: int
    missing: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Say that the whole request has arrived and has no outcome yet."""

    KIND: typing.ClassVar[int] = 36
    flow: bytes
    request: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """Carry one part of an answer; parts of two answers (ids) never belong together."""

    KIND: typing.ClassVar[int] = 37
    flow: bytes
    request: bytes
    answer: bytes
    part: int
    parts: int
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Promise that the request was not run and never will be; come back at `retry_at`."""

    KIND: typing.ClassVar[int] = 38
    flow: bytes
    request: bytes
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Say that this home cannot tell whether the request was run."""

    KIND: typing.ClassVar[int] = 39
    flow: bytes
    request: bytes
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownFlow:
    """Say that no reachable home holds the flow: open it anew."""

    KIND: typing.ClassVar[int] = 40
    flow: bytes
    request: bytes
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """Give the flow's new token after a handover, or the present one to a heartbeat.

    `replaces` is as in `Opened`.
    """

    KIND: typing.ClassVar[int] = 41
    flow: bytes
    token: bytes
    lease_until: int
    replaces: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FeedEvent:
    """Carry the event that follows `position - 1` of a feed."""

    KIND: typing.ClassVar[int] = 42
    flow: bytes
    request: bytes
    position: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FeedEnded:
    """Say that the feed ends here for good, with the reason; subscribe anew from the position."""

    KIND: typing.ClassVar[int] = 43
    flow: bytes
    request: bytes
    position: int
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Confirm that the flow is closed."""

    KIND: typing.ClassVar[int] = 44
    flow: bytes


FromCaller = Open | Request | Fetch | Subscribe | Acknowledge | Cancel | Settle | Heartbeat | Close
ToCaller = (
    Opened
    | OpenRefused
    | Progress
    | Running
    | AnswerPart
    | NotRun
    | OutcomeUnknown
    | UnknownFlow
    | Moved
    | FeedEvent
    | FeedEnded
    | Closed
)

FROM_CALLER = codec.Codec("caller", typing.get_args(FromCaller))
TO_CALLER = codec.Codec("system", typing.get_args(ToCaller))
