"""Encode and decode the datagrams between balancers and sidecars about carried flows.

The first byte is the type of the message. A header of fixed size follows, then the bytes of the
packet in the message, if any. Datagrams are kept small enough that networks do not fragment them.
"""

import functools
import socket
import struct
import typing

from ebonystile import errors
from ebonystile.core import view
from ebonystile.core.carrying import messages

ASK = struct.Struct("!B12sQI")
ANSWER = struct.Struct("!B12sQQBHIHHBB")
OPEN = struct.Struct("!BQQ")
TYPE_ONLY = struct.Struct("!B")
RETURN = struct.Struct("!BBQ")

ASK_MANY = struct.Struct("!BIQ")
QUESTION = struct.Struct("!12sI")
ANSWER_MANY = struct.Struct("!BIQQHIHHBB")

ASK_TYPE, ANSWER_TYPE, OPEN_TYPE, CARRY_TYPE, PROBE_TYPE, RETURN_TYPE = range(1, 7)
ASK_MANY_TYPE, ANSWER_MANY_TYPE = 7, 8
ANNOUNCE_TYPE, ASK_UNLISTED_TYPE, ANSWER_UNLISTED_TYPE = 9, 10, 11
PROBE_MANY_TYPE = 12

PACKET_LENGTH = struct.Struct("!H")

ANNOUNCE = struct.Struct("!BB")
ANSWER_UNLISTED = struct.Struct("!BIB")
UNLISTED_ADDRESS = struct.Struct("!4sH")

LISTED, RELAYS = 1, 2

MAX_LISTENED_MS = (1 << 32) - 1

ACCEPTING, UNRESPONSIVE, SATURATED, FULL = 1, 2, 4, 8

MAX_UINT16 = (1 << 16) - 1
"""Largest number that a field of two bytes holds."""

SUCCESS_RATE_SCALE = 255
"""The value of a one-byte field that stands for a success rate of 1."""


@functools.singledispatch
def pack(message: typing.Any) -> bytes:
    """Return a message encoded as a datagram."""
    raise TypeError(f"no datagram for {type(message).__name__}")


@pack.register
def _(message: messages.Carry):
    return b"\x04" + message.raw


@pack.register
def _(message: messages.Ask):
    return ASK.pack(ASK_TYPE, message.flow, message.version, message.acknowledged)


@pack.register
def _(message: messages.Answer):
    return ANSWER.pack(
        ANSWER_TYPE,
        message.flow,
        message.version,
        message.revision,
        message.flow_status,
        *fields_of(message.load),
    )


@pack.register
def _(message: messages.AskMany):
    questions = b"".join(QUESTION.pack(*question) for question in message.questions)
    return ASK_MANY.pack(ASK_MANY_TYPE, message.number, message.version) + questions


@pack.register
def _(message: messages.AnswerMany):
    header = ANSWER_MANY.pack(
        ANSWER_MANY_TYPE,
        message.number,
        message.version,
        message.revision,
        *fields_of(message.load),
    )
    return header + bytes(message.flow_statuses)


def fields_of(load: messages.Load) -> tuple[int, int, int, int, int, int]:
    """Return the fields that encode a load at the end of an answer."""
    return (
        min(load.running, MAX_UINT16),
        load.flows,
        min(load.slots, MAX_UINT16),
        min(load.latency, MAX_UINT16),
        round(load.success_rate * SUCCESS_RATE_SCALE),
        flags_of(load),
    )


def flags_of(load: messages.Load) -> int:
    """Return the bit flags of a load."""
    flags = ACCEPTING * load.accepting | UNRESPONSIVE * load.unresponsive
    return flags | SATURATED * load.saturated | FULL * load.full


def load_of(
    running: int, flows: int, slots: int, latency: int, scaled_rate: int, flags: int
) -> messages.Load:
    """Return the load decoded from the last fields of an answer."""
    accepting, unresponsive = bool(flags & ACCEPTING), bool(flags & UNRESPONSIVE)
    saturated, full = bool(flags & SATURATED), bool(flags & FULL)
    success_rate = scaled_rate / SUCCESS_RATE_SCALE
    return messages.Load(
        running, flows, slots, latency, success_rate, accepting, unresponsive, saturated, full
    )


@pack.register
def _(message: messages.Open):
    return OPEN.pack(OPEN_TYPE, message.service, message.version) + message.raw


@pack.register
def _(message: messages.Probe):
    return TYPE_ONLY.pack(PROBE_TYPE) + message.raw


@pack.register
def _(message: messages.ProbeMany):
    parts = (PACKET_LENGTH.pack(len(raw)) + raw for raw in message.raws)
    return TYPE_ONLY.pack(PROBE_MANY_TYPE) + b"".join(parts)


@pack.register
def _(message: messages.Return):
    return RETURN.pack(RETURN_TYPE, message.reason, message.version) + message.raw


@pack.register
def _(message: messages.Announce):
    return ANNOUNCE.pack(ANNOUNCE_TYPE, LISTED * message.is_listed | RELAYS * message.is_relay)


@pack.register
def _(message: messages.AskUnlisted):
    return TYPE_ONLY.pack(ASK_UNLISTED_TYPE)


@pack.register
def _(message: messages.AnswerUnlisted):
    listened_ms = min(message.listened_ms, MAX_LISTENED_MS)
    header = ANSWER_UNLISTED.pack(ANSWER_UNLISTED_TYPE, listened_ms, len(message.sidecars))
    return header + b"".join(map(pack_unlisted, message.sidecars))


def pack_unlisted(address: view.Address) -> bytes:
    """Return the encoded address of one sidecar."""
    host, port = address
    return UNLISTED_ADDRESS.pack(socket.inet_aton(host), port)


def unpack(data: bytes) -> messages.Message:
    """Return the message in a datagram; raise `DatagramError` if it is malformed."""
    try:
        return DECODERS[data[0]](data)
    except (IndexError, KeyError, struct.error, ValueError) as error:
        raise errors.DatagramError(repr(error), step="read datagram", peer="peer") from error


def read_ask(data: bytes) -> messages.Ask:
    """Return the `Ask` message in the datagram."""
    _, flow, version, acknowledged = ASK.unpack(data)
    return messages.Ask(flow, version, acknowledged)


def read_answer(data: bytes) -> messages.Answer:
    """Return the `Answer` message in the datagram."""
    _, flow, version, revision, status, *load = ANSWER.unpack(data)
    return messages.Answer(flow, version, messages.FlowStatus(status), load_of(*load), revision)


def read_ask_many(data: bytes) -> messages.AskMany:
    """Return the `AskMany` message in the datagram."""
    _, number, version = ASK_MANY.unpack_from(data)
    questions = tuple(QUESTION.iter_unpack(data[ASK_MANY.size :]))
    return messages.AskMany(number, version, questions)


def read_answer_many(data: bytes) -> messages.AnswerMany:
    """Return the `AnswerMany` message in the datagram."""
    _, number, version, revision, *load = ANSWER_MANY.unpack_from(data)
    statuses = tuple(FLOW_STATUSES[byte] for byte in data[ANSWER_MANY.size :])
    return messages.AnswerMany(number, version, statuses, load_of(*load), revision)


def read_open(data: bytes) -> messages.Open:
    """Return the `Open` message in the datagram."""
    _, service, version = OPEN.unpack_from(data)
    return messages.Open(service, version, data[OPEN.size :])


def read_probe_many(data: bytes) -> messages.ProbeMany:
    """Return the `ProbeMany` message in the datagram; raise `ValueError` if truncated."""
    raws = []
    offset = TYPE_ONLY.size
    while offset < len(data):
        (length,) = PACKET_LENGTH.unpack_from(data, offset)
        offset += PACKET_LENGTH.size
        if offset + length > len(data):
            raise ValueError("truncated packet")
        raws.append(data[offset : offset + length])
        offset += length
    return messages.ProbeMany(tuple(raws))


def read_return(data: bytes) -> messages.Return:
    """Return the `Return` message in the datagram."""
    _, reason, version = RETURN.unpack_from(data)
    return messages.Return(messages.Reason(reason), version, data[RETURN.size :])


def read_announce(data: bytes) -> messages.Announce:
    """Return the `Announce` message in the datagram."""
    _, flags = ANNOUNCE.unpack(data)
    return messages.Announce(bool(flags & LISTED), bool(flags & RELAYS))


def read_answer_unlisted(data: bytes) -> messages.AnswerUnlisted:
    """Return the `AnswerUnlisted` message in the datagram; raise `ValueError` if truncated."""
    _, listened_ms, count = ANSWER_UNLISTED.unpack_from(data)
    packed = data[ANSWER_UNLISTED.size :]
    if len(packed) != count * UNLISTED_ADDRESS.size:
        raise ValueError("truncated list of sidecars")
    sidecars = tuple(
        (socket.inet_ntoa(h), port) for h, port in UNLISTED_ADDRESS.iter_unpack(packed)
    )
    return messages.AnswerUnlisted(listened_ms, sidecars)


FLOW_STATUSES = tuple(messages.FlowStatus)

DECODERS: dict[int, typing.Callable[[bytes], messages.Message]] = {
    ASK_TYPE: read_ask,
    ANSWER_TYPE: read_answer,
    OPEN_TYPE: read_open,
    CARRY_TYPE: lambda data: messages.Carry(data[1:]),
    PROBE_TYPE: lambda data: messages.Probe(data[1:]),
    PROBE_MANY_TYPE: read_probe_many,
    RETURN_TYPE: read_return,
    ASK_MANY_TYPE: read_ask_many,
    ANSWER_MANY_TYPE: read_answer_many,
    ANNOUNCE_TYPE: read_announce,
    ASK_UNLISTED_TYPE: lambda data: messages.AskUnlisted(),
    ANSWER_UNLISTED_TYPE: read_answer_unlisted,
}
