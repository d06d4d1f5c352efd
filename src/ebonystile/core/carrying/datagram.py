"""The datagrams that wait for a narrow link."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.carrying import packet, routes

HEADER_BYTES = 66
"""Bytes that a datagram takes on an Ethernet link besides its content: 28 of IP and UDP headers and
38 of framing (preamble, header, checksum, gap). Counting less lets the queue of a busy link grow.
"""


@dataclasses.dataclass(eq=False, slots=True)
class Datagram:
    """A datagram with what decides its place in the order.

    `flow` is None for a message between processes, which carries no packet. `sequence` and `length`
    are those of the packet's data. `query` is the flow that a query is about. `is_to_caller` marks
    a packet for the flow's caller. While the datagram waits, `enqueued_at` and `deadline` are the
    times in ms at which its wait began and at which it is dropped, and `rank` is its level.
    """

    data: bytes
    address: view.Address
    flow: packet.Flow | None = None
    traits: routes.RequestTraits = routes.NO_TRAITS
    sequence: int = 0
    length: int = 0
    opens: bool = False
    closes: bool = False
    aborts: bool = False
    is_to_caller: bool = False
    query: packet.Flow | None = None
    enqueued_at: int = 0
    deadline: int = 0
    rank: int = 0

    @property
    def size(self) -> int:
        """Return the bytes that the datagram takes on the link."""
        return len(self.data) + HEADER_BYTES

    @property
    def identity(self) -> tuple[packet.Flow, int, int] | None:
        """Return what a copy of the packet has in common with it, None without data."""
        if self.flow is None or not self.length:
            return None
        return (self.flow, self.sequence, self.length)
