"""The datagrams on the packet path between balancers and sidecars (docs/PROTOCOL.md).

Every packet of every flow is encoded here, so the caller's datagram is carried undecoded behind a
fixed header, which `struct` packs several times faster than CBOR.
"""

import dataclasses
import functools
import struct
import typing

from ebonystile import codec, errors

Address = tuple[str, int]

ADDRESS_BYTES = 6
"""Size of a packed address: four bytes of IPv4 and two of the port, in network order."""

FORWARD = struct.Struct("!B6s6sB")
"""Kind, caller, via, and the number of keys of visited upstreams (8 bytes each) that follow."""

RETURN = struct.Struct("!B6s")
"""Kind and caller."""

KEY_BYTES = 8

MAX_VISITED = 255

CACHED_ADDRESSES = 65_536
"""Number of addresses whose packed or unpacked form is cached."""


@dataclasses.dataclass(slots=True)
class Forward:
    """Carry a caller's datagram to a sidecar, or from one sidecar to the next.

    `visited` holds the keys of the upstreams whose sidecars have already forwarded it, which ends
    forwarding loops. `via` is the balancer through which the answer may return. The class is not
    frozen, since frozen instances are slower to create.
    """

    KIND: typing.ClassVar[int] = 1
    caller: Address
    via: Address
    visited: tuple[int, ...]
    payload: bytes


@dataclasses.dataclass(slots=True)
class Return:
    """Carry a datagram for a caller to a balancer, which relays it without decoding it."""

    KIND: typing.ClassVar[int] = 2
    caller: Address
    payload: bytes


FULL_RAMP = 1000
"""The ramp of an upstream after its slow start, in thousandths of its weight."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Report the load of the sender's upstream to the other sidecars of its service.

    `pending` counts new flows that have not sent a request yet; without it, a burst of new flows
    would not show until their requests arrive. `caution` is the load that the upstream reports
    beyond what the sidecar counts. `connections` is the largest number of flows that it may hold,
    `latency` the recent duration of a request in ms, and `ramp` the share of its weight during slow
    start, in thousandths. `at` (ms) is compared only within one incarnation.
    """

    KIND: typing.ClassVar[int] = 3
    name: str
    incarnation: int
    zone: str
    at: int
    slots: int
    connections: int
    flows: int = 0
    running: int = 0
    queued: int = 0
    pending: int = 0
    caution: int = 0
    latency: int = 0
    ramp: int = FULL_RAMP
    leaving: bool = False
    suspected: bool = False

    @property
    def work(self) -> int:
        """The number of requests that the upstream has or is expected to get."""
        return self.running + self.queued + self.pending + self.caution

    @property
    def weight(self) -> float:
        """The upstream's weight for placement, in slots."""
        return max(self.slots * self.ramp / FULL_RAMP, 0.1)


LOADS = codec.Codec("load report", (LoadReport,))


@functools.lru_cache(CACHED_ADDRESSES)
def pack_address(address: Address) -> bytes:
    """Return an address encoded in six bytes."""
    host, port = address
    return bytes(map(int, host.split("."))) + port.to_bytes(2)


@functools.lru_cache(CACHED_ADDRESSES)
def unpack_address(data: bytes) -> Address:
    """Return the address encoded in six bytes."""
    return ".".join(map(str, data[:4])), int.from_bytes(data[4:])


def pack_forward(message: Forward) -> bytes:
    """Return a `Forward` as the content of a sealed datagram."""
    visited = message.visited
    header = FORWARD.pack(
        Forward.KIND, pack_address(message.caller), pack_address(message.via), len(visited)
    )
    if visited:
        header += b"".join(key.to_bytes(KEY_BYTES) for key in visited)
    return header + message.payload


def pack_return(message: Return) -> bytes:
    """Return a `Return` as the content of a sealed datagram."""
    return RETURN.pack(Return.KIND, pack_address(message.caller)) + message.payload


def pack_load(message: LoadReport) -> bytes:
    """Return a `LoadReport` as the content of a sealed datagram."""
    return bytes((LoadReport.KIND,)) + LOADS.encode(message)


def unpack(content: bytes) -> Forward | Return | LoadReport:
    """Return the message in the content; raise `DatagramError` if it is malformed."""
    kind = content[0] if content else 0
    if kind == Return.KIND and len(content) >= RETURN.size:
        _, caller = RETURN.unpack_from(content)
        return Return(unpack_address(caller), content[RETURN.size :])
    if kind == Forward.KIND and len(content) >= FORWARD.size:
        _, caller, via, count = FORWARD.unpack_from(content)
        end = FORWARD.size + count * KEY_BYTES
        if len(content) >= end:
            visited = struct.unpack_from(f"!{count}Q", content, FORWARD.size)
            return Forward(unpack_address(caller), unpack_address(via), visited, content[end:])
    if kind == LoadReport.KIND:
        return LOADS.decode(content[1:])
    raise errors.DatagramError("not a packet path message", step="decode", peer="peer")
