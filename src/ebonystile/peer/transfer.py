"""The messages by which one sidecar hands a flow over to another, sent as bulk exchanges."""

import dataclasses
import typing

from ebonystile import codec

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Hand over a flow with its finished records and the positions of its feeds.

    `incarnation` is the target's incarnation that may accept the flow; 0 only asks for the current
    one. The target refuses after `deadline`, so a delayed copy cannot be accepted later.
    Tokens of the `honoured_incarnations` stay valid at the new home. Of the requests without a
    record, those with a deadline at or before `forgotten_before` have an unknown outcome, and those
    at or before `barred_before` were refused.
    Records are (request, state, service, deadline, idempotent, keep_until, answer, status, body,
    reason, retry_at); feeds are (request, path, acknowledged position).
    """

    KIND: typing.ClassVar[int] = 128
    id: bytes
    incarnation: int
    deadline: int
    flow: bytes
    service: str
    honoured_incarnations: tuple[int, ...]
    caller: Address
    via: Address
    forgotten_before: int
    barred_before: int
    records: tuple[
        tuple[bytes, int, str, int, bool, int, bytes, int, bytes, str, int],
        ...,
    ]
    feeds: tuple[tuple[bytes, str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TransferReply:
    """Report the answering incarnation and whether it is now the flow's home; if not, why."""

    KIND: typing.ClassVar[int] = 129
    id: bytes
    incarnation: int
    accepted: bool
    reason: str


TRANSFERS = codec.Codec("sidecar", (Transfer, TransferReply))
