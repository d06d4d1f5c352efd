"""The datagrams that callers and the system exchange, as docs/PROTOCOL.md describes them.

Times are milliseconds since the epoch by the wall clock. Flow and request ids are 16 random bytes.
Every message from a caller starts with flow, service and token; a balancer reads only these.
"""

import dataclasses
import typing

from ebonystile import codec

ID_BYTES = 16
OPEN_BYTES = 160
"""Smallest size of an open: as large as the answer to it, so spoofed opens amplify no traffic."""

PART_BYTES = 1200
"""Largest part of a body in one datagram: fits the smallest MTU of RFC 9000 section 14."""

WINDOW = 32
"""Largest number of parts of an upload or of an answer that are in flight."""

MAX_PARTS = 16_384
"""Largest number of parts of one body, about 19 MB."""


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Ask for a home for a flow; safe to resend. `attempt` counts from 0."""

    KIND: typing.ClassVar[int] = 1
    flow: bytes
    service: str
    token: bytes
    attempt: int
    deadline: int
    padding: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Carry one part of a request; the home answers `Progress` to a part with `report` set."""

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
    """Subscribe to the events of a feed that follow `position`, the last that the caller has."""

    KIND: typing.ClassVar[int] = 4
    flow: bytes
    service: str
    token: bytes
    request: bytes
    path: str
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Acknowledge every event of a feed up to `position`.

    For a request, acknowledge the whole answer, which had `position` parts.
    """

    KIND: typing.ClassVar[int] = 5
    flow: bytes
    service: str
    token: bytes
    request: bytes
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a request: the home stops it and frees its resources."""

    KIND: typing.ClassVar[int] = 6
    flow: bytes
    service: str
    token: bytes
    request: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Ask for the outcome of a request; one that has not fully arrived is refused for good."""

    KIND: typing.ClassVar[int] = 7
    flow: bytes
    service: str
    token: bytes
    request: bytes
    deadline: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renew the flow's lease and ask for its current token."""

    KIND: typing.ClassVar[int] = 8
    flow: bytes
    service: str
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Close the flow with its requests and feeds."""

    KIND: typing.ClassVar[int] = 9
    flow: bytes
    service: str
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Give the token of the flow's home; the lease ends at `lease_until` unless it is renewed.

    `replaces` holds the incarnations of this home and of those whose requests it took over: the
    caller replaces a token from one of them, and no other home's.
    """

    KIND: typing.ClassVar[int] = 33
    flow: bytes
    token: bytes
    attempt: int
    lease_until: int
    replaces: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRefused:
    """Refuse an `Open`; the caller may ask again at `retry_at`."""

    KIND: typing.ClassVar[int] = 34
    flow: bytes
    attempt: int
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Report the received parts of a request and up to `WINDOW` missing ones."""

    KIND: typing.ClassVar[int] = 35
    flow: bytes
    request: bytes
    received: int
    missing: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Report that the whole request has arrived and has no outcome yet."""

    KIND: typing.ClassVar[int] = 36
    flow: bytes
    request: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """Carry one part of an answer; parts with different `answer` ids are never combined."""

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
    """Guarantee that the request was not run and never will be; it may be retried at `retry_at`."""

    KIND: typing.ClassVar[int] = 38
    flow: bytes
    request: bytes
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Report that the home has no record of whether the request was run."""

    KIND: typing.ClassVar[int] = 39
    flow: bytes
    request: bytes
    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownFlow:
    """Report that no reachable home holds the flow, which the caller should reopen."""

    KIND: typing.ClassVar[int] = 40
    flow: bytes
    request: bytes
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """Give the flow's new token after a handover, or the current one in answer to a heartbeat.

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
    """End a subscription, with the reason; the caller may subscribe again from `position`."""

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
