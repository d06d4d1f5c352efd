"""A sender of much data as a state machine without I/O, as callers of uploads are.

It keeps a window of packets in flight, sends the next one for each acknowledgement, and sends a
packet again that is not acknowledged in time. Times are in ms.
"""

import dataclasses

WINDOW = 16
"""Packets in flight at most."""

RESEND_MS = (200, 400, 800, 1_600)
"""Intervals between the copies of a packet; the last one repeats."""


@dataclasses.dataclass(slots=True)
class InFlight:
    """A packet without an acknowledgement: its copies so far and when the next one is due."""

    copies: int
    due: int


class Sender:
    """Sends the packets numbered from 0 to `packets` - 1."""

    def __init__(self, packets: int, now: int, window: int = WINDOW):
        self.packets = packets
        self.window = window
        self.started_at = now
        self.in_flight: dict[int, InFlight] = {}
        self.next_number = 0

    @property
    def is_complete(self) -> bool:
        """Return whether all packets are acknowledged."""
        return self.next_number == self.packets and not self.in_flight

    def due(self, now: int) -> list[int]:
        """Return the numbers of the packets to send now, copies first."""
        numbers = []
        for number, sent in self.in_flight.items():
            if sent.due <= now:
                numbers.append(number)
                sent.due = now + RESEND_MS[min(sent.copies, len(RESEND_MS) - 1)]
                sent.copies += 1
        while len(self.in_flight) < self.window and self.next_number < self.packets:
            self.in_flight[self.next_number] = InFlight(1, now + RESEND_MS[0])
            numbers.append(self.next_number)
            self.next_number += 1
        return numbers

    def acknowledge(self, number: int) -> None:
        """Record the acknowledgement of a packet."""
        self.in_flight.pop(number, None)
