"""Run a carrying daemon behind a stand-in for a narrow link: datagrams leave at a limited rate.

`python -m standins.narrow_link balancer` runs the daemon with the settings that it has anyway. The
rate is read from the file that `EBONYSTILE_LINK_FILE` names, in Mbit/s, and may change while the
daemon runs. TCP is not limited.
"""

import collections
import os
import pathlib
import socket
import sys
import threading
import time

from ebonystile import loop
from ebonystile.carrier import __main__ as carrier
from ebonystile.core import view
from ebonystile.core.carrying import datagram

FILE_VARIABLE = "EBONYSTILE_LINK_FILE"
"""Environment variable with the path of the file that holds the rate."""

QUEUE_S = 0.05
"""Traffic that the link queues, in s; it drops the excess."""

RATE_POLL_S = 0.05
"""Least time between two reads of the rate, in s."""

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


class Link:
    """When datagrams leave; without I/O. Times are in s of the steady clock."""

    def __init__(self, mbps: float):
        self.mbps = mbps
        self.free_at = 0.0
        self.dropped = 0

    def departure(self, data_bytes: int, now: float) -> float | None:
        """Return when a datagram has left the link, or None if the link's queue is full."""
        start = max(now, self.free_at)
        if start - now > QUEUE_S:
            self.dropped += 1
            return None
        bits = (data_bytes + datagram.HEADER_BYTES) * BITS_PER_BYTE
        self.free_at = start + bits / (self.mbps * BITS_PER_MBIT)
        return self.free_at


class LinkedSender:
    """Sends datagrams when the link has passed them, in a thread of its own."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.link = Link(read_mbps(path))
        self.rate_read_at = 0.0
        self.waiting: collections.deque = collections.deque()
        self.changed = threading.Condition()
        threading.Thread(target=self.run, daemon=True).start()

    def send(self, udp: socket.socket, data: bytes, address: view.Address) -> bool:
        """Pass a datagram to the link, as `loop.send` passes it to the kernel."""
        now = time.monotonic()
        if now >= self.rate_read_at + RATE_POLL_S:
            self.rate_read_at = now
            self.link.mbps = read_mbps(self.path)
        departs_at = self.link.departure(len(data), now)
        if departs_at is not None:
            with self.changed:
                self.waiting.append((departs_at, udp, data, address))
                self.changed.notify()
        return True

    def run(self) -> None:
        """Send each datagram at its time."""
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.waiting)
                departs_at, udp, data, address = self.waiting.popleft()
            time.sleep(max(0.0, departs_at - time.monotonic()))
            kernel_send(udp, data, address)


kernel_send = loop.send


def read_mbps(path: pathlib.Path) -> float:
    """Return the rate in the file, in Mbit/s."""
    return float(path.read_text())


def main(arguments: list[str]) -> int:
    """Run the daemon that the command line names, and return its exit status."""
    loop.send = LinkedSender(pathlib.Path(os.environ[FILE_VARIABLE])).send
    return carrier.main(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
