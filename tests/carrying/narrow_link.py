"""Simulate a balancer's narrow link with senders of uploads and of small requests.

Time advances in steps of 1 ms. `MEASURED` are the figures of the link and of the senders in
docs/design/hard-load.md.
"""

import dataclasses
import heapq
import itertools
import math

from ebonystile.core.carrying import datagram, link_rate, packet, routes, scheduling
from standins import sending

LINK_MBPS = 5
LINK_QUEUE_MS = 50
FABRIC_MS = 1
"""One-way delay between callers and the balancer, and between the balancer and sidecars."""

PACKET_BYTES = 1_200
UPLOAD_BYTES = 80_000
UPLOAD_LINK_BYTES = -(-UPLOAD_BYTES // PACKET_BYTES) * (PACKET_BYTES + 32 + datagram.HEADER_BYTES)
"""Bytes that an upload takes on the link, with the headers of its datagrams."""

UPLOAD_LIMIT_MS = 5_445
REQUEST_BYTES = 900
OTHER_SIDECARS = 10
"""Sidecars that are asked about a new flow beside its future home."""

HOME = ("10.0.1.1", 1)
QUERY_BYTES, OPENING_BYTES = 25, 48
RATE_INTERVAL_MS = 200

ROUTE = ("198.18.0.1", 443)
UPLOADS = routes.RequestTraits(routes.RequestKind.UPLOAD, 1_089, UPLOAD_LIMIT_MS, 2)
CHECKS = routes.RequestTraits(routes.RequestKind.NON_IDEMPOTENT, 300, 1_500, 1)


class Unscheduled:
    """Sends every datagram at once, in the order of arrival."""

    rate_mbps = LINK_MBPS
    waiting_bytes = 0

    def enqueue(self, added, now):
        return True

    def next_due(self, now):
        return None


class Link:
    """A link that queues `LINK_QUEUE_MS` of traffic and drops the excess."""

    def __init__(self, mbps=LINK_MBPS):
        self.mbps = mbps
        self.free_at = 0.0
        self.dropped = 0
        self.delivered_bytes = 0

    def offer(self, size, now):
        """Return when a datagram has passed the link, or None if it was dropped."""
        begin = max(self.free_at, now)
        if begin - now > LINK_QUEUE_MS:
            self.dropped += 1
            return None
        self.free_at = begin + size / (self.mbps * scheduling.BYTES_PER_MS_PER_MBPS)
        self.delivered_bytes += size
        return math.ceil(self.free_at)


@dataclasses.dataclass(eq=False)
class Upload:
    """An upload and the packets of it that have arrived at the upstream."""

    flow: packet.Flow
    sender: sending.Sender
    arrived: set = dataclasses.field(default_factory=set)
    completed_at: int | None = None

    @property
    def took_ms(self):
        return None if self.completed_at is None else self.completed_at - self.sender.started_at


@dataclasses.dataclass(eq=False)
class Request:
    """A small request: a query, an opening packet and a data packet, one after the other."""

    flow: packet.Flow
    started_at: int
    sender: sending.Sender
    completed_at: int | None = None


class World:
    """A balancer's scheduler in front of a link, with the callers and sidecars around it."""

    def __init__(self, scheduler=None, adjusts_rate=False):
        self.now = 0
        self.numbers = itertools.count()
        self.ports = itertools.count(1_024)
        self.queue = []
        self.link = Link()
        self.scheduler = scheduler or scheduling.make_scheduler(LINK_MBPS, 0)
        self.rate = link_rate.LinkRate(LINK_MBPS, 0) if adjusts_rate else None
        self.uploads = []
        self.requests = []
        self.rates = []
        self.arrivals = {}
        self.changes = []

    def after(self, delay, action, *arguments):
        entry = (self.now + delay, next(self.numbers), action, arguments)
        heapq.heappush(self.queue, entry)

    def flow(self, caller=1):
        host = f"100.64.{caller >> 8}.{caller & 255}"
        return packet.endpoint_of(host, next(self.ports)) + packet.endpoint_of(*ROUTE)

    def add_upload(self, caller=1, size=UPLOAD_BYTES, traits=UPLOADS):
        sender = sending.Sender(-(-size // PACKET_BYTES), self.now)
        made = Upload(self.flow(caller), sender)
        self.uploads.append(made)
        self.advance_upload(made, traits)
        return made

    def advance_upload(self, upload, traits):
        """Send what is due of an upload, every 10 ms until it is complete."""
        if not upload.sender.is_complete:
            self.send_parts(upload, traits)
            self.after(10, self.advance_upload, upload, traits)

    def send_parts(self, upload, traits):
        for number in upload.sender.due(self.now):
            made = datagram.Datagram(
                bytes(PACKET_BYTES + 32),
                ("10.0.1.1", 1),
                upload.flow,
                traits,
                sequence=number * PACKET_BYTES,
                length=PACKET_BYTES,
            )
            self.after(FABRIC_MS, self.enqueue, made, (self.part_arrived, upload, number, traits))

    def part_arrived(self, upload, number, traits):
        upload.arrived.add(number)
        if len(upload.arrived) == upload.sender.packets and upload.completed_at is None:
            upload.completed_at = self.now
        self.after(2 * FABRIC_MS, self.part_acknowledged, upload, number, traits)

    def part_acknowledged(self, upload, number, traits):
        upload.sender.acknowledge(number)
        self.send_parts(upload, traits)

    def add_request(self, caller=2):
        made = Request(self.flow(caller), self.now, sending.Sender(3, self.now, window=1))
        self.requests.append(made)
        for other in range(2, 2 + OTHER_SIDECARS):
            self.after(FABRIC_MS, self.enqueue_query, made.flow, other)
        self.advance_request(made)
        return made

    def enqueue_query(self, flow, sidecar):
        """Query one of the sidecars that are asked about a new flow beside its future home."""
        address = ("10.0.1.1", sidecar)
        made = datagram.Datagram(bytes(QUERY_BYTES), address, query=flow)
        self.enqueue(made, (self.query_arrived, flow, address))

    def query_arrived(self, flow, address):
        self.after(FABRIC_MS, self.query_answered, flow, address)

    def query_answered(self, flow, address):
        if self.rate is not None:
            self.rate.record_answer(address, flow, self.now)

    def advance_request(self, request):
        if not request.sender.is_complete:
            self.send_steps(request)
            self.after(10, self.advance_request, request)

    def send_steps(self, request):
        for number in request.sender.due(self.now):
            made = self.step_datagram(request, number)
            self.after(FABRIC_MS, self.enqueue, made, (self.step_arrived, request, number))

    def step_datagram(self, request, number):
        address = HOME
        if number == 0:
            return datagram.Datagram(bytes(QUERY_BYTES), address, query=request.flow)
        if number == 1:
            return datagram.Datagram(
                bytes(OPENING_BYTES), address, request.flow, CHECKS, opens=True
            )
        return datagram.Datagram(
            bytes(REQUEST_BYTES + 32), address, request.flow, CHECKS, length=REQUEST_BYTES
        )

    def step_arrived(self, request, number):
        if number == 2 and request.completed_at is None:
            request.completed_at = self.now
        self.after(2 * FABRIC_MS, self.step_acknowledged, request, number)

    def step_acknowledged(self, request, number):
        if number == 0 and self.rate is not None:
            self.rate.record_answer(HOME, request.flow, self.now)
        request.sender.acknowledge(number)
        self.send_steps(request)

    def enqueue(self, made, arrival):
        """Pass a datagram to the scheduler; `arrival` is what happens when it has arrived."""
        self.arrivals[made] = arrival
        if self.scheduler.enqueue(made, self.now):
            self.transmit(made)

    def transmit(self, sent):
        if self.rate is not None:
            self.rate.record_sent(sent.size, self.now)
            if sent.query is not None:
                self.rate.record_query(sent.address, sent.query, self.now)
        passed_at = self.link.offer(sent.size, self.now)
        if passed_at is not None:
            self.after(passed_at - self.now + FABRIC_MS, *self.arrivals[sent])

    def run(self, ms):
        for _ in range(ms):
            self.step()

    def step(self):
        """Advance the time by 1 ms."""
        self.now += 1
        while self.queue and self.queue[0][0] <= self.now:
            _, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        due = self.scheduler.next_due(self.now)
        if due is not None and due <= self.now:
            for sent in self.scheduler.pop_due(self.now):
                self.transmit(sent)
        if self.rate is not None and self.now % RATE_INTERVAL_MS == 0:
            self.adjust()

    def adjust(self):
        changed = self.rate.adjust(self.now)
        if changed is not None:
            self.changes.append((self.now, dict(changed.fields)))
            self.scheduler.set_rate(self.rate.mbps, self.now)
        self.rates.append((self.now, self.rate.mbps))
