"""The gossip messages by which processes distribute the configuration and the membership.

All are sent as sealed datagrams; a `Pull` and its answer also over a websocket if the answer is
large. A message with a valid MAC is trusted: any process that has a key may publish.
"""

import dataclasses
import sys
import typing
import zlib

import cbor2

from ebonystile import codec, errors
from ebonystile.core.control import assembly, configuration, membership, store

MAX_UPDATE_BYTES = 24 << 20
"""Largest size of an update before compression, far more than the target size needs."""

MAX_DATAGRAM_UPDATE_BYTES = 1_200
"""Largest update sent as a datagram, which avoids IP fragmentation."""

Address = tuple[str, int]

PackedStatement = tuple[str, str, Address, str, int, int]
"""A statement about a process: name, role, address, zone, generation, state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """The sender's membership statement and revisions, and membership updates about others.

    `platform_confirmed_at` is the latest known time (ms) at which the platform confirmed to a
    watcher that nothing newer exists. A `nonce` other than 0 asks for a reply that repeats it in
    `answered_nonce`.
    """

    KIND: typing.ClassVar[int] = 64
    sender: PackedStatement
    nonce: int
    answered_nonce: int
    values: int
    instances: int
    platform_confirmed_at: int
    caught_up: bool
    updates: tuple[PackedStatement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Ask for an update; the fields are those of `configuration.PullRequest`."""

    KIND: typing.ClassVar[int] = 65
    nonce: int
    values: int
    instances: int
    refused_keys: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateReply:
    """Answer a pull; `update` is packed by `pack_update`."""

    KIND: typing.ClassVar[int] = 66
    nonce: int
    caught_up: bool
    platform_confirmed_at: int
    update: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The answer to a pull does not fit a datagram; the pull is to be sent over a websocket."""

    KIND: typing.ClassVar[int] = 67
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """The budget for updates is spent until `retry_at` (ms); `alternatives` are peers to ask."""

    KIND: typing.ClassVar[int] = 68
    nonce: int
    retry_at: int
    alternatives: tuple[Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFor:
    """Ask a process to probe another one that did not answer."""

    KIND: typing.ClassVar[int] = 69
    name: str
    address: Address


Message = Gossip | Pull | UpdateReply | TooLarge | Busy | ProbeFor

CONTROL = codec.Codec("control", typing.get_args(Message))


PackedInstance = tuple[str, Address, str, bool]
PackedDelta = tuple[int, int, int, tuple[str, ...] | None]
CHECK_UPDATE = codec.make_check(
    tuple[
        PackedDelta,
        tuple[tuple[str, int, bytes | None], ...],
        PackedDelta,
        tuple[tuple[str, int, PackedInstance | None], ...],
        tuple[tuple[int, str, tuple[str, ...]], ...],
    ]
)


def make_pull(nonce: int, request: configuration.PullRequest) -> Pull:
    """Return the message for a request."""
    return Pull(nonce, request.digest.values, request.digest.instances, request.refused_keys)


def pull_request_of(pull: Pull) -> configuration.PullRequest:
    """Return the request in a message."""
    return configuration.PullRequest(
        configuration.Digest(pull.values, pull.instances), tuple(pull.refused_keys)
    )


def pack_statement(statement: membership.Statement) -> PackedStatement:
    """Return a statement in its wire form."""
    return (
        statement.name,
        statement.role,
        statement.address,
        statement.zone,
        statement.generation,
        int(statement.state),
    )


def unpack_statement(packed: PackedStatement) -> membership.Statement:
    """Return the statement; raise `DatagramError` for an unknown state."""
    try:
        state = membership.MemberState(packed[5])
    except ValueError as error:
        raise errors.DatagramError(str(error), step="read statement", peer=packed[0]) from error
    return membership.Statement(*packed[:5], state)


def pack_update(update: configuration.Update) -> bytes:
    """Return an update as compressed CBOR."""
    items = [
        pack_delta_head(update.values),
        [[key, entry.revision, entry.value] for key, entry in update.values.entries],
        pack_delta_head(update.instances),
        [[k, e.revision, pack_instance(e.value)] for k, e in update.instances.entries],
        [[r.revision, r.key, r.faults] for r in update.refusals],
    ]
    return zlib.compress(cbor2.dumps(items), 6)


def pack_delta_head(delta: store.Delta) -> PackedDelta:
    """Return a delta without its entries."""
    return (delta.after, delta.complete_revision, delta.floor, delta.names)


def pack_instance(instance: assembly.Instance | None) -> PackedInstance | None:
    """Return an instance in its wire form, without its name."""
    if instance is None:
        return None
    return (instance.role, instance.address, instance.zone, instance.leaving)


def unpack_update(data: bytes) -> configuration.Update:
    """Return the update in `data`; raise `DatagramError` if it is damaged."""
    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(data, MAX_UPDATE_BYTES)
        if not decompressor.eof:
            raise ValueError("truncated or too large")
        items = codec.freeze(cbor2.loads(encoded))
        if not CHECK_UPDATE(items):
            raise ValueError("a field has a wrong type")
    except Exception as error:
        # zlib and cbor2 raise many types of exceptions for damaged input.
        raise errors.DatagramError(f"{error}", step="read update", peer="peer") from error
    values_head, values, instances_head, instances, refusals = items
    return configuration.Update(
        unpack_delta(values_head, ((k, store.Entry(r, v)) for k, r, v in values)),
        unpack_delta(
            instances_head,
            (
                (sys.intern(k), store.Entry(r, unpack_instance(sys.intern(k), i)))
                for k, r, i in instances
            ),
        ),
        tuple(configuration.Refusal(*refusal) for refusal in refusals),
    )


def unpack_delta(
    head: PackedDelta, entries: typing.Iterable[tuple[str, store.Entry]]
) -> store.Delta:
    """Return a delta from its head and entries."""
    after, complete_revision, floor, names = head
    return store.Delta(after, complete_revision, floor, tuple(entries), names)


def unpack_instance(name: str, packed: PackedInstance | None) -> assembly.Instance | None:
    """Return the instance of this name from its wire form."""
    if packed is None:
        return None
    role, address, zone, leaving = packed
    return assembly.Instance(name, sys.intern(role), address, sys.intern(zone), leaving)
