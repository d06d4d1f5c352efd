"""Parse the platform's packet headers and build resets.

Callers and upstreams compute the checksum with a key that the system does not have, so packets are
forwarded unchanged. The fields `echo` and `pad` are free for the system's use and stay 0.
"""

import struct

from ebonystile.core.carrying import packet

HEADER = struct.Struct("!IIIIBHHIHI")
"""Checksum, sequence, acknowledged, echo, flags, length, destination port and address, source port
and address: 31 bytes."""

PORT_ADDRESS = struct.Struct("!HI")
"""Port and address of one end as the header holds them."""

ADDRESS_PORT = struct.Struct("!IH")
"""Address and port of one end as `packet.Flow` holds them."""

SYN, ACK, FIN, RST, RETURNED = 2, 32, 8, 128, 64

FLAGS_OFFSET = 16
"""Offset of the flags byte in the header."""

MAX_DATA_BYTES = 1_200
"""Largest payload of a packet, in bytes."""


def from_caller(raw: bytes) -> packet.Packet | None:
    """Parse a packet of a caller; return None if it is malformed."""
    return parse(raw, to_route=True)


def from_upstream(raw: bytes) -> packet.Packet | None:
    """Parse a packet that an upstream sent or returned; return None if it is malformed.

    A returned packet is a caller's packet that the upstream refused; its RETURNED flag is cleared.
    """
    if len(raw) < HEADER.size:
        return None
    if not raw[FLAGS_OFFSET] & RETURNED:
        return parse(raw, to_route=False)
    unmarked = bytearray(raw)
    unmarked[FLAGS_OFFSET] &= ~RETURNED
    back = parse(bytes(unmarked), to_route=True)
    if back is not None:
        back.returned = True
    return back


def parse(raw: bytes, *, to_route: bool) -> packet.Packet | None:
    """Parse a packet addressed to a route, or sent from one; return None if it is malformed."""
    if not HEADER.size <= len(raw) <= HEADER.size + MAX_DATA_BYTES:
        return None
    _, sequence, acknowledged, _, flags, length, to_port, to_address, from_port, from_address = (
        HEADER.unpack_from(raw)
    )
    if len(raw) != HEADER.size + length:
        return None
    target = ADDRESS_PORT.pack(to_address, to_port)
    origin = ADDRESS_PORT.pack(from_address, from_port)
    flow = origin + target if to_route else target + origin
    opening = flags & SYN
    return packet.Packet(
        flow,
        raw,
        sequence,
        acknowledged,
        length,
        opens=bool(opening) and not flags & ACK,
        accepts=bool(opening) and bool(flags & ACK),
        closes=bool(flags & FIN),
        aborts=bool(flags & RST),
    )


def make_reset(flow: packet.Flow, position: int) -> bytes:
    """Return a reset of a flow for its caller.

    The caller accepts it only if `position` is near the one that it last acknowledged.
    """
    caller_address, caller_port = ADDRESS_PORT.unpack_from(flow)
    route_address, route_port = ADDRESS_PORT.unpack_from(flow, packet.ENDPOINT_BYTES)
    return HEADER.pack(
        0, position, 0, 0, RST, 0, caller_port, caller_address, route_port, route_address
    )
