"""Recognise flows that transfer much data, whatever their routes state."""

import dataclasses
import itertools

from ebonystile.core.carrying import packet

FULL_PACKET_BYTES = 1_000
"""Data bytes from which a packet counts as full-size; senders fill packets up to 1,200 bytes."""

BULK_PACKETS = 6
"""Full-size packets from which a flow is bulk: more than a request of some kB has."""

PAUSE_MS = 1_000
"""Pause in ms after which a flow is no longer bulk and its next packets are a new transfer."""

FORGET_MS = 6_000
"""Time without a packet after which the start of a transfer is forgotten, in ms: longer than the
interval between a sender's copies of a packet and than most routes' time limits."""

MAX_TRANSFERS = 4_096
"""Limit of tracked transfers, about 250 bytes each; the least recent one is dropped."""


@dataclasses.dataclass(slots=True)
class Transfer:
    """A flow's transfer: its number in order of the starts, and its full-size packets so far."""

    number: int
    last_at: int
    full_packets: int = 0

    @property
    def is_bulk(self) -> bool:
        """Return whether the transfer has enough full-size packets to count as bulk."""
        return self.full_packets >= BULK_PACKETS


class Transfers:
    """The transfers of all flows that have sent full-size packets or belong to upload routes."""

    def __init__(self) -> None:
        self.by_flow: dict[packet.Flow, Transfer] = {}
        self.numbers = itertools.count()

    def record(self, flow: packet.Flow, length: int, now: int, *, is_upload: bool) -> Transfer:
        """Record a packet with `length` data bytes and return its flow's transfer."""
        transfer = self.by_flow.pop(flow, None)
        if transfer is None:
            self.drop_old(now)
            transfer = Transfer(next(self.numbers), now)
        elif now - transfer.last_at >= PAUSE_MS:
            transfer.full_packets = 0
            if not is_upload:
                transfer.number = next(self.numbers)
        # The flow moves to the end, so that the dictionary is in order of the last packets.
        self.by_flow[flow] = transfer
        transfer.last_at = now
        transfer.full_packets += length >= FULL_PACKET_BYTES
        return transfer

    def find(self, flow: packet.Flow, now: int) -> Transfer | None:
        """Return the transfer that a flow has under way, or None."""
        transfer = self.by_flow.get(flow)
        is_paused = transfer is None or now - transfer.last_at >= PAUSE_MS
        return None if is_paused else transfer

    def drop_old(self, now: int) -> None:
        """Make room for a transfer: drop those without a recent packet, or the least recent one."""
        while self.by_flow:
            flow, transfer = next(iter(self.by_flow.items()))
            is_old = now - transfer.last_at >= FORGET_MS
            if not is_old and len(self.by_flow) < MAX_TRANSFERS:
                return
            del self.by_flow[flow]
