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
import threading
import time

from ebonystile.core.carrying import datagram, packet
from ebonystile.platform import packets
from standins import ends, installation, sending

LINK_MBPS = 5
QUEUE_S = 0.05
UPLOAD_ROUTE = ("198.18.0.2", 443)
PART_BYTES = 1_150
"""Data of one packet of an upload; the answer repeats it with the upstream's name."""

SLOTS = 1_000
IDLE_WAIT_S = 0.05


@dataclasses.dataclass(order=True)
class Relayed:
    """A datagram that passes the link at the time `at` in s."""

    at: float
    number: int
    data: bytes = dataclasses.field(compare=False)
    sender: socket.socket = dataclasses.field(compare=False)
    target: tuple[str, int] = dataclasses.field(compare=False)


class NarrowLink:
    """Relays datagrams at `mbps`, queues `QUEUE_S` of traffic and drops the excess."""

    def __init__(self, mbps: float):
        self.mbps = mbps
        self.free_at = 0.0
        self.dropped = 0
        self.queue: list[Relayed] = []
        self.numbers = itertools.count()
        self.selector = selectors.DefaultSelector()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.drive, daemon=True)

    def relay(
        self, address: tuple[str, int], sidecar: tuple[str, int], balancer: tuple[str, int]
    ) -> None:
        """Relay between a balancer that sends to `address` and the sidecar at another port."""
        made = installation.udp(address)
        receive = functools.partial(self.on_datagram, made, sidecar, balancer)
        self.selector.register(made, selectors.EVENT_READ, receive)

    def on_datagram(
        self, receiver: socket.socket, sidecar: tuple[str, int], balancer: tuple[str, int]
    ) -> None:
        """Receive one datagram and relay it, or drop it if the queue is full."""
        try:
            data, source = receiver.recvfrom(65_535)
        except OSError:
            return
        if source == sidecar:
            send(receiver, data, balancer)
            return
        now = time.monotonic()
        begin = max(now, self.free_at)
        if begin - now > QUEUE_S:
            self.dropped += 1
            return
        self.free_at = begin + (len(data) + datagram.HEADER_BYTES) * 8 / (self.mbps * 1e6)
        relayed = Relayed(self.free_at, next(self.numbers), data, receiver, sidecar)
        heapq.heappush(self.queue, relayed)

    def drive(self) -> None:
        """Relay until the link is closed."""
        while not self.ended.is_set():
            until = self.queue[0].at - time.monotonic() if self.queue else IDLE_WAIT_S
            for key, _ in self.selector.select(max(0.0, min(until, IDLE_WAIT_S))):
                key.data()
            while self.queue and self.queue[0].at <= time.monotonic():
                relayed = heapq.heappop(self.queue)
                send(relayed.sender, relayed.data, relayed.target)

    def close(self) -> None:
        """Stop relaying and close the sockets."""
        self.ended.set()
        self.thread.join(10)
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


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
