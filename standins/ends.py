"""Callers and upstreams of carried flows as state machines without I/O.

Both exchange packets in the platform's format. A request is a single data packet, and so is its
answer, which suffices to check how packets are routed.
"""

import dataclasses
import itertools

from ebonystile.core.carrying import packet
from ebonystile.platform import packets

FIRST_TRIES_MS = (0, 200, 600)
"""When a caller sends the opening packet and its copies, from the start of the flow."""

OPEN_TIMEOUT_MS = 1_400
"""How long a caller tries to open a flow."""

RESEND_MS, MAX_RESEND_MS = 200, 1_600
"""First and maximum interval between copies of a packet."""

SEQUENCE_MODULUS = 1 << 32

POSITION_STEP = 1 << 26
"""Distance of an upstream's successive initial positions. Those of upstreams that begin 1,000,000
apart stay far from each other, as random ones nearly always do."""


def pack(
    origin: bytes, target: bytes, flags: int, sequence: int, acknowledged: int, data: bytes = b""
) -> bytes:
    """Return a packet; `origin` and `target` are 6 bytes of address and port each."""
    origin_address, origin_port = packets.ADDRESS_PORT.unpack(origin)
    target_address, target_port = packets.ADDRESS_PORT.unpack(target)
    head = packets.HEADER.pack(
        0xC0FFEE,
        sequence % SEQUENCE_MODULUS,
        acknowledged % SEQUENCE_MODULUS,
        0,
        flags,
        len(data),
        target_port,
        target_address,
        origin_port,
        origin_address,
    )
    return head + data


def ends(flow: packet.Flow) -> tuple[bytes, bytes]:
    """Return the caller's and the route's endpoint of a flow."""
    return flow[: packet.ENDPOINT_BYTES], flow[packet.ENDPOINT_BYTES :]


@dataclasses.dataclass
class Accepted:
    """A flow accepted by the upstream, with its sequence positions and the answers by position."""

    position: int
    expected: int
    answers: dict[int, bytes] = dataclasses.field(default_factory=dict)
    opened: bool = False

    def takes(self, shown: packet.Packet) -> bool:
        """Return whether the packet belongs to this flow.

        Two upstreams may have accepted an opening packet and its copy; the flow opens at the one
        whose position the caller acknowledges.
        """
        return self.opened or shown.acknowledged == (self.position + 1) % SEQUENCE_MODULUS


class Upstream:
    """An upstream; `foreign` counts the packets of each flow that it does not hold."""

    def __init__(self, name: str, first_position: int = 1_000, room: int = 2_000):
        self.name = name
        self.positions = itertools.count(first_position, POSITION_STEP)
        self.room = room
        self.alive = True
        self.flows: dict[packet.Flow, Accepted] = {}
        self.foreign: dict[packet.Flow, int] = {}
        self.opened: list[packet.Flow] = []
        self.ran: list[bytes] = []

    def on_packet(self, raw: bytes) -> list[bytes]:
        """Process a packet and return the packets to send."""
        if not self.alive:
            return []
        shown = packets.from_caller(raw)
        if shown.opens:
            return self.on_opening(shown)
        accepted = self.flows.get(shown.flow)
        if accepted is None or not accepted.takes(shown):
            self.foreign[shown.flow] = self.foreign.get(shown.flow, 0) + 1
            return [mark_returned(raw)]
        if not accepted.opened:
            accepted.opened = True
            self.opened.append(shown.flow)
        if shown.aborts:
            del self.flows[shown.flow]
            return []
        if not shown.length:
            return []
        return [self.answer(shown, accepted)]

    def on_opening(self, shown: packet.Packet) -> list[bytes]:
        """Accept a flow, or mark its packet as returned if the upstream is full."""
        if shown.flow not in self.flows:
            if len(self.flows) >= self.room:
                return [mark_returned(shown.raw)]
            self.flows[shown.flow] = Accepted(
                next(self.positions) % SEQUENCE_MODULUS, shown.sequence + 1
            )
        accepted = self.flows[shown.flow]
        caller, route = ends(shown.flow)
        flags = packets.SYN | packets.ACK
        return [pack(route, caller, flags, accepted.position, shown.sequence + 1)]

    def answer(self, shown: packet.Packet, accepted: Accepted) -> bytes:
        """Return the answer to a request, running it only on the first copy."""
        body = accepted.answers.get(shown.sequence)
        if body is None:
            request = shown.raw[packets.HEADER.size :]
            self.ran.append(request)
            body = accepted.answers[shown.sequence] = self.name.encode() + b":" + request
        caller, route = ends(shown.flow)
        acknowledged = shown.sequence + shown.length
        return pack(route, caller, packets.ACK, accepted.position + 1, acknowledged, body)

    def restart(self) -> None:
        """Restart without any flows, as after a crash."""
        self.flows.clear()
        self.alive = True


def mark_returned(raw: bytes) -> bytes:
    """Return the packet with the flag that marks it as returned by an upstream."""
    marked = bytearray(raw)
    marked[packets.FLAGS_OFFSET] |= packets.RETURNED
    return bytes(marked)


class Caller:
    """A caller with one flow and one request at a time; times in ms.

    `answer` belongs to the last request; `resets` counts the resets accepted. `opening_sent_at`
    holds when each copy of the opening packet was sent.
    """

    def __init__(self, flow: packet.Flow, now: int, first_position: int = 7_000):
        self.flow = flow
        self.started_at = now
        self.sequence = first_position
        self.acknowledged = 0
        self.open = False
        self.over = False
        self.resets = 0
        self.answer: bytes | None = None
        self.answered_at: int | None = None
        self.waiting: bytes | None = None
        self.next_at = now
        self.interval = RESEND_MS
        self.tries = 0
        self.opening_sent_at: list[int] = []

    def ask(self, request: bytes, now: int) -> None:
        """Queue a request, sent as soon as the flow is open."""
        self.waiting = request
        self.answer = None
        self.next_at = min(self.next_at, now) if not self.open else now
        self.interval = RESEND_MS

    def due(self, now: int) -> list[bytes]:
        """Return the packets due now and schedule the next send."""
        if self.over or now < self.next_at:
            return []
        caller, route = ends(self.flow)
        if not self.open:
            return self.open_again(caller, route, now)
        if self.waiting is None:
            self.next_at = now + MAX_RESEND_MS
            return []
        self.next_at = now + self.interval
        self.interval = min(MAX_RESEND_MS, 2 * self.interval)
        return [pack(caller, route, packets.ACK, self.sequence, self.acknowledged, self.waiting)]

    def open_again(self, caller: bytes, route: bytes, now: int) -> list[bytes]:
        """Return the next copy of the opening packet, or nothing after the timeout."""
        if now >= self.started_at + OPEN_TIMEOUT_MS:
            self.over = True
            return []
        copy = self.tries
        self.tries += 1
        self.opening_sent_at.append(now)
        times = (*FIRST_TRIES_MS, OPEN_TIMEOUT_MS)
        self.next_at = self.started_at + times[self.tries]
        return [pack(caller, route, packets.SYN, self.sequence - 1, copy)]

    def describe(self) -> str:
        """Return what became of the flow, for the message of a failed check."""
        sent = [at - self.started_at for at in self.opening_sent_at]
        return f"open={self.open} over={self.over} resets={self.resets} opening sent at {sent} ms"

    def on_packet(self, raw: bytes, now: int) -> list[bytes]:
        """Process a packet and return the packets to send at once."""
        got = packets.from_upstream(raw)
        if got is None or got.flow != self.flow or self.over:
            return []
        if got.aborts:
            self.resets += 1
            self.over = True
            return []
        if got.accepts:
            if self.open:
                return []
            self.open = True
            self.acknowledged = (got.sequence + 1) % SEQUENCE_MODULUS
            self.next_at = now
            caller, route = ends(self.flow)
            return [pack(caller, route, packets.ACK, self.sequence, self.acknowledged)]
        if got.length and self.waiting is not None and self.is_answered_by(got):
            self.answer = raw[packets.HEADER.size :]
            self.answered_at = now
            self.sequence = (self.sequence + len(self.waiting)) % SEQUENCE_MODULUS
            self.acknowledged = (got.sequence + got.length) % SEQUENCE_MODULUS
            self.waiting = None
        return []

    def is_answered_by(self, got: packet.Packet) -> bool:
        """Return whether the packet answers the current request, and is no late copy of another."""
        return got.acknowledged == (self.sequence + len(self.waiting)) % SEQUENCE_MODULUS

    def close(self) -> bytes:
        """End an open flow and return the packet that ends it at the upstream."""
        self.over = True
        caller, route = ends(self.flow)
        return pack(caller, route, packets.RST, self.sequence, self.acknowledged)
