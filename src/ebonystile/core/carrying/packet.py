"""The packets of carried flows: the header fields that the system uses, and flow identifiers."""

import dataclasses
import struct

Flow = bytes
"""The 12 bytes that identify a flow: address and port of the caller, address and port of the
route."""

ENDPOINT_BYTES = 6
"""Size of one endpoint of a flow: IPv4 address and port."""

ADDRESS_BYTES = 4
"""Size of an IPv4 address, with which an endpoint begins."""

SEQUENCE_MODULUS = 1 << 32
"""Sequence numbers wrap around at this value."""

PORT = struct.Struct("!H")


@dataclasses.dataclass(slots=True)
class Packet:
    """One packet; `raw` is the whole packet as received.

    `opens` marks the packet that requests a new flow, `accepts` the upstream's answer to it,
    `closes` the end of the sender's data, and `aborts` a reset. `sequence` and `acknowledged` are
    the sender's sequence and acknowledgement numbers, except that `acknowledged` counts the copies
    in an opening packet; `length` is the number of data bytes. A `returned` packet is one that the
    upstream did not take.
    """

    flow: Flow
    raw: bytes
    sequence: int
    acknowledged: int
    length: int
    opens: bool = False
    accepts: bool = False
    closes: bool = False
    aborts: bool = False
    returned: bool = False

    @property
    def is_answered(self) -> bool:
        """Return whether an upstream that holds the flow answers it: not an acknowledgement."""
        return self.length > 0 or self.closes

    @property
    def copy_number(self) -> int:
        """Return how often the caller has sent this opening packet before, 0 for other packets."""
        return self.acknowledged if self.opens else 0


def route_endpoint(flow: Flow) -> bytes:
    """Return the endpoint of the flow's route."""
    return flow[ENDPOINT_BYTES:]


def endpoint_of(host: str, port: int) -> bytes:
    """Return an address and port as the bytes of an endpoint."""
    return bytes(int(part) for part in host.split(".")) + PORT.pack(port)


def caller_address(flow: Flow) -> bytes:
    """Return the 4 bytes of the caller's IPv4 address; each of its flows has another port."""
    return flow[:ADDRESS_BYTES]


def caller_host(flow: Flow) -> str:
    """Return the caller's IPv4 address as text."""
    return host_text(caller_address(flow))


def host_text(address: bytes) -> str:
    """Return the 4 bytes of an IPv4 address as text."""
    return ".".join(map(str, address))


def endpoint_text(endpoint: bytes) -> str:
    """Return an endpoint as `ip:port`."""
    return f"{host_text(endpoint[:4])}:{PORT.unpack(endpoint[4:])[0]}"


def flow_text(flow: Flow) -> str:
    """Return a flow as `caller>route`, the form used in logs."""
    return f"{endpoint_text(flow[:ENDPOINT_BYTES])}>{endpoint_text(flow[ENDPOINT_BYTES:])}"
