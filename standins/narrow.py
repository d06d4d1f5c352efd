"""Run an installation with one balancer whose link to the sidecars is narrow.

The link is a stand-in that relays the balancer's datagrams to the sidecars at a limited rate. It
takes the address and port at which the balancer expects each sidecar; the sidecars use another
port. Answers of the sidecars are relayed at once.
"""

import dataclasses
import functools
import heapq
import itertools
import pathlib
import selectors
import socket
import struct
import threading
import time

from ebonystile.core.carrying import packet
from ebonystile.platform import packets
from standins import ends, installation, narrow_link, sending

LINK_MBPS = 5
UPLOAD_ROUTE = ("198.18.0.2", 443)
PART_BYTES = 1_150
"""Data of one packet of an upload; the answer repeats it with the upstream's name."""

SLOTS = 1_000
IDLE_WAIT_S = 0.05
MAX_DATAGRAM_BYTES = 65_535

SO_TIMESTAMPNS = 35
"""Linux's socket option for the time of arrival of each datagram; `socket` lacks its name."""

TIMESPEC = struct.Struct("@ll")
STAMP_SPACE = socket.CMSG_SPACE(TIMESPEC.size)

STAMPS_WITHIN_S, STAMP_CHECK_S = 2.0, 0.002
"""Time limit for the kernel to begin to stamp datagrams, and the wait of one check, in s."""


@dataclasses.dataclass(frozen=True)
class Hop:
    """From the link's socket, where the balancer expects a sidecar, to that sidecar."""

    receiver: socket.socket
    sidecar: tuple[str, int]
    balancer: tuple[str, int]


@dataclasses.dataclass(order=True)
class Relayed:
    """A datagram that reaches the link, or leaves it, at the time `at` in s."""

    at: float
    number: int
    data: bytes = dataclasses.field(compare=False)
    hop: Hop = dataclasses.field(compare=False)


class NarrowLink:
    """Relays datagrams at `mbps`, queues some traffic and drops the excess.

    Datagrams count from the time at which the kernel received them, so that the link loses no
    capacity while its thread waits for its turn.
    """

    def __init__(self, mbps: float):
        self.model = narrow_link.Link(mbps)
        self.longest_late_ms = 0.0
        self.arrived: list[Relayed] = []
        self.queue: list[Relayed] = []
        self.numbers = itertools.count()
        self.selector = selectors.DefaultSelector()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.drive, daemon=True)

    def relay(
        self, address: tuple[str, int], sidecar: tuple[str, int], balancer: tuple[str, int]
    ) -> None:
        """Relay between a balancer that sends to `address` and the sidecar at another port."""
        made = make_stamped(address)
        self.selector.register(made, selectors.EVENT_READ, Hop(made, sidecar, balancer))

    def drive(self) -> None:
        """Relay until the link is closed."""
        while not self.ended.is_set():
            began_at = time.monotonic()
            for key, _ in self.selector.select(self.wait_s()):
                self.receive(key.data)
            # What arrived later may lack an earlier datagram of a socket that was read first.
            while self.arrived and self.arrived[0].at <= began_at:
                self.enqueue(heapq.heappop(self.arrived))
            while self.queue and self.queue[0].at <= time.monotonic():
                relayed = heapq.heappop(self.queue)
                self.observe_lateness(relayed.at)
                send(relayed.hop.receiver, relayed.data, relayed.hop.sidecar)

    def wait_s(self) -> float:
        """Return how long to wait for datagrams, in s."""
        if self.arrived:
            return 0.0
        until = self.queue[0].at - time.monotonic() if self.queue else IDLE_WAIT_S
        return max(0.0, min(until, IDLE_WAIT_S))

    def receive(self, hop: Hop) -> None:
        """Take the datagrams of the balancer that have arrived; relay those of the sidecar."""
        while True:
            try:
                data, ancillary, _, source = hop.receiver.recvmsg(MAX_DATAGRAM_BYTES, STAMP_SPACE)
            except OSError:
                return
            if source == hop.sidecar:
                send(hop.receiver, data, hop.balancer)
                continue
            heapq.heappush(self.arrived, Relayed(arrival(ancillary), next(self.numbers), data, hop))

    def enqueue(self, arrived: Relayed) -> None:
        """Queue a datagram until it has passed the link, or drop it if the queue is full."""
        self.observe_lateness(arrived.at)
        departs_at = self.model.departure(len(arrived.data), arrived.at)
        if departs_at is not None:
            heapq.heappush(self.queue, dataclasses.replace(arrived, at=departs_at))

    def observe_lateness(self, due: float) -> None:
        """Record how late the thread is for what was due at a time in s."""
        self.longest_late_ms = max(self.longest_late_ms, (time.monotonic() - due) * 1_000)

    def close(self) -> None:
        """Stop relaying and close the sockets."""
        self.ended.set()
        self.thread.join(10)
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


def make_stamped(address: tuple[str, int]) -> socket.socket:
    """Return a bound socket whose datagrams have the time of their arrival.

    The kernel begins to stamp some ms after it was asked to. A datagram that arrives before gets
    the time at which it is read, and would be relayed after later ones. Raise `TimeoutError` if the
    kernel doesn't begin.
    """
    made = installation.udp(address)
    made.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    end = time.monotonic() + STAMPS_WITHIN_S
    while time.monotonic() < end:
        made.sendto(b"", address)
        sent_at = time.monotonic()
        time.sleep(STAMP_CHECK_S)
        _, ancillary, _, _ = made.recvmsg(1, STAMP_SPACE)
        if arrival(ancillary) < sent_at + STAMP_CHECK_S / 2:
            return made
    made.close()
    raise TimeoutError(f"datagrams to {address[0]} get no time of arrival")


def arrival(ancillary: list[tuple[int, int, bytes]]) -> float:
    """Return when the kernel received a datagram, in s of the steady clock."""
    [(_, _, stamp)] = ancillary
    seconds, nanoseconds = TIMESPEC.unpack(stamp)
    return time.monotonic() - (time.time() - (seconds + nanoseconds / 1e9))


def send(sender: socket.socket, data: bytes, target: tuple[str, int]) -> None:
    """Send a datagram; one to a closed port is lost."""
    try:
        sender.sendto(data, target)
    except OSError:
        return


class Uploader(ends.Caller):
    """A caller that sends a request of many packets on a new flow."""

    def __init__(self, flow: packet.Flow, now: int, size: int):
        super().__init__(flow, now)
        self.sender = sending.Sender(-(-size // PART_BYTES), now)
        self.completed_at: int | None = None

    def due(self, now: int) -> list[bytes]:
        """Return the packets due now: those of the opening, then those of the request."""
        if self.over or not self.open:
            return super().due(now)
        return [self.part(number) for number in self.sender.due(now)]

    def part(self, number: int) -> bytes:
        """Return a packet of the request."""
        caller, route = ends.ends(self.flow)
        sequence = self.sequence + number * PART_BYTES
        return ends.pack(caller, route, packets.ACK, sequence, self.acknowledged, bytes(PART_BYTES))

    def on_packet(self, raw: bytes, now: int) -> list[bytes]:
        """Process a packet and return the packets to send at once."""
        got = packets.from_upstream(raw)
        if got is None or not got.length or not self.open:
            return super().on_packet(raw, now)
        received = (got.acknowledged - self.sequence) % ends.SEQUENCE_MODULUS
        self.sender.acknowledge(received // PART_BYTES - 1)
        if not self.sender.is_complete:
            return self.due(now)
        self.completed_at = now
        self.over = True
        return []


class NarrowInstallation(installation.Installation):
    """An installation with one balancer; `link_mbps` is the rate in the balancer's settings."""

    def __init__(self, directory: pathlib.Path, link_mbps: float = LINK_MBPS, upstreams: int = 5):
        self.settings_mbps = link_mbps
        self.link = NarrowLink(LINK_MBPS)
        super().__init__(directory, balancers=1, upstreams=upstreams)
        (self.balancer,) = self.balancers
        for machine in self.sidecars:
            self.link.relay(
                (machine.host, self.ports.internal),
                (machine.host, self.sidecar_port),
                (self.balancer.host, self.ports.internal),
            )

    def __enter__(self) -> "NarrowInstallation":
        self.link.thread.start()
        super().__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        super().__exit__(*_)
        self.link.close()

    @functools.cached_property
    def sidecar_port(self) -> int:
        """Return the port of the sidecars behind the link."""
        return self.reservation.reserve()

    def extra_settings(self, role: str) -> dict:
        """Return the settings that differ from those of other installations."""
        if role == "sidecar":
            return {"internal_port": self.sidecar_port}
        return {"link_mbps": self.settings_mbps}

    def publish(self, machine: installation.Machine, **changes) -> None:
        """Write the store entry of an upstream, with more slots than the test has requests."""
        super().publish(machine, **{"max_concurrency": SLOTS, **changes})

    def route_bodies(self, routes: dict[tuple[str, int], str]) -> list[dict]:
        """Return the routes of small urgent requests and of uploads."""
        urgent = super().route_bodies(routes)
        uploads = super().route_bodies({UPLOAD_ROUTE: installation.SERVICE})
        for body in urgent:
            body.update(type="unsafe", latency_slo_ms=300, timeout_ms=1_500, priority=1)
        for body in uploads:
            body.update(name="uploads", type="upload", latency_slo_ms=1_089, timeout_ms=5_445)
        return [*urgent, *uploads]

    def uploader(self, size: int) -> Uploader:
        """Start an upload through the balancer."""
        with self.lock:
            self.next_port += 1
            origin = packet.endpoint_of("127.0.3.1", self.next_port)
            flow = origin + packet.endpoint_of(*UPLOAD_ROUTE)
            made = Uploader(flow, installation.now_ms(), size)
            made.through = self.balancer
            self.callers[flow] = made
        return made
