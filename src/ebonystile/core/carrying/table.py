"""Track the flows of one upstream and its requests in progress from the packets of both sides."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import messages, packet, service_times

MAX_FLOWS = 50_000
"""Bound on the size of the flow table; the oldest flow makes room for a new one."""

LINGER_MS = 3_000
"""How long a flow stays in the table after both sides closed it, in ms: retransmitted packets may
follow, at intervals of up to 1.6 s."""

OFFER_TIMEOUT_MS = 2_000
"""How long an accepted flow that its caller has not continued counts as a flow, in ms. Its offer is
remembered for the idle timeout: the upstream holds the flow, and the caller retransmits its first
packet until its own time limit."""

PENDING_REQUEST_MS = 150
"""How long a new flow counts as a running request before its first data arrives, in ms."""

STUCK_REQUEST_MS = 2_000
STUCK_LATENCY_RATIO = 10
"""A request counts as failed after 2 s, or ten times the usual latency if that is longer: its
answer was lost, or a faulty upstream never sends one."""

LATENCY_WINDOW_REQUESTS = 16
"""Window of the moving average of the latency, in requests."""

MAX_SPEEDUP = 8
"""An answer that is this many times faster than the average counts as an error.

An upstream that answers with an error at once looks idle and fast, and would attract all new flows.
Where a service answers some requests from a cache, all its upstreams are affected alike.
"""

SUCCESS_RATE_WINDOW_REQUESTS = 8
"""Window of the moving average of the success rate, in requests."""

FAILURE_HALF_LIFE_MS = 5_000
"""Half-life of the failure rate, in ms, so that an upstream without new flows is tried again."""

SEQUENCE_MODULUS = packet.SEQUENCE_MODULUS

MAX_OFFER_DISTANCE = 1 << 16
"""Bound on the distance of first acknowledgements from the upstream's initial sequence number."""


@dataclasses.dataclass(slots=True)
class FlowRecord:
    """One flow; times in ms.

    `source` is the balancer that sent the flow's latest packet. `offered_position` is the initial
    sequence number of an upstream that has accepted the flow, and `is_held` is set once the flow
    has further packets. `delivered_at` is when an upstream without an entry got the first packet
    that it has not answered. `request_end` and `answer_end` are the sequence numbers after the last
    data of the caller and of the upstream.
    """

    source: view.Address
    opened_at: int
    seen_at: int
    delivered_at: int = 0
    offered_position: int | None = None
    is_held: bool = False
    request_end: int | None = None
    answer_end: int | None = None
    closed_by_caller: bool = False
    closed_by_upstream: bool = False

    @property
    def is_closed(self) -> bool:
        """Return whether both sides have closed the flow."""
        return self.closed_by_caller and self.closed_by_upstream


class RequestStats:
    """Moving averages of the latency and the failure rate of one upstream's requests.

    `latency` is in ms, over the requests of all routes, and includes the wait for a slot;
    `service_times` does not. `failure_rate` was updated at `updated_at` (ms). `on_answer`, if set,
    is called with the time and the latency of each answer, both in ms.
    """

    def __init__(self) -> None:
        self.latency = 0.0
        self.service_times = service_times.ServiceTimes()
        self.failure_rate = 0.0
        self.updated_at = 0
        self.on_answer: typing.Callable[[int, int], None] | None = None

    def record_answer(
        self, since: int, now: int, route: bytes | None = None, slot_since: int = 0
    ) -> None:
        """Record the answer to a request that arrived at `since`; one far too fast is a failure.

        `route` is given if service times are measured, with the time in ms since when a slot was
        free for the request.
        """
        took = now - since
        if self.on_answer is not None:
            self.on_answer(now, took)
        if took < self.latency / MAX_SPEEDUP and (
            route is None or self.service_times.is_far_too_fast(route, now - slot_since)
        ):
            self.record_result(1.0, now)
            return
        if route is not None:
            self.service_times.record(route, now - slot_since, now)
        self.latency += (took - self.latency) / LATENCY_WINDOW_REQUESTS if self.latency else took
        self.record_result(0.0, now)

    def record_failure(self, now: int) -> None:
        """Record a request that got no answer."""
        self.record_result(1.0, now)

    def record_result(self, failure: float, now: int) -> None:
        """Add one result to the failure rate: 1.0 for a failure, 0.0 for an answer."""
        before = 1 - self.success_rate(now)
        self.failure_rate = before + (failure - before) / SUCCESS_RATE_WINDOW_REQUESTS
        self.updated_at = now

    def success_rate(self, now: int) -> float:
        """Return the success rate, with earlier failures decayed."""
        return 1 - self.failure_rate * 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE_MS)


class FlowTable:
    """The flows of one upstream and its requests in progress.

    `busy` holds when the running request of a flow arrived, `pending` when a flow without a request
    was opened, both in ms and oldest first. `lapsed_offers` are the accepted flows that no longer
    count, as their callers have not continued them for `OFFER_TIMEOUT_MS`. `evicted_at` is when a
    flow last made room for another, in ms. Service times are measured only while a route states an
    objective, as nothing else uses them.
    """

    def __init__(self) -> None:
        self.request_stats = RequestStats()
        self.measures_service_times = False
        self.slots = service_times.SlotTracker()
        self.flows: dict[packet.Flow, FlowRecord] = {}
        self.lapsed_offers: dict[packet.Flow, FlowRecord] = {}
        self.evicted_at: int | None = None
        self.busy: dict[packet.Flow, int] = {}
        self.pending: dict[packet.Flow, int] = {}

    def find(self, flow: packet.Flow) -> FlowRecord | None:
        """Return the record of a flow, also of one whose offer has lapsed, or None."""
        return self.flows.get(flow) or self.lapsed_offers.get(flow)

    def resume(self, flow: packet.Flow) -> FlowRecord | None:
        """Return the record of a flow, None without one; a lapsed offer counts as a flow again."""
        lapsed = self.lapsed_offers.pop(flow, None)
        if lapsed is not None:
            self.flows[flow] = lapsed
        return self.flows.get(flow)

    def open(self, flow: packet.Flow, source: view.Address, now: int) -> FlowRecord:
        """Record an opening packet that is sent to the upstream, and return its flow's record."""
        record = self.resume(flow)
        if record is None:
            record = self.add(flow, source, now)
            self.pending[flow] = now
        return record

    def add(self, flow: packet.Flow, source: view.Address, now: int) -> FlowRecord:
        """Add a flow; drop the oldest one if the table is full."""
        if len(self.flows) >= MAX_FLOWS:
            self.remove(next(iter(self.flows)), now)
            self.evicted_at = now
        record = self.flows[flow] = FlowRecord(source, now, now)
        return record

    def remove(self, flow: packet.Flow, now: int) -> None:
        """Remove a flow and its request, if any."""
        self.flows.pop(flow, None)
        self.lapsed_offers.pop(flow, None)
        self.end_request(flow, now)
        self.pending.pop(flow, None)

    def on_caller_packet(self, record: FlowRecord, received: packet.Packet, now: int) -> None:
        """Record a packet that is sent to the upstream: new data starts a request."""
        record.seen_at = now
        record.is_held = True
        if received.closes:
            record.closed_by_caller = True
        if received.aborts:
            record.closed_by_caller = record.closed_by_upstream = True
            if self.end_request(received.flow, now) is not None:
                self.request_stats.record_failure(now)
        if not received.length:
            return
        end = (received.sequence + received.length) % SEQUENCE_MODULUS
        if (
            record.request_end is None
            or 0 < (end - record.request_end) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2
        ):
            record.request_end = end
            self.busy.pop(received.flow, None)
            self.busy[received.flow] = now
            if self.measures_service_times:
                self.slots.arrive(received.flow, now)
            self.pending.pop(received.flow, None)
        elif self.measures_service_times and self.fills_gap(record, received.flow, end):
            self.slots.arrive(received.flow, now)

    def fills_gap(self, record: FlowRecord, flow: packet.Flow, end: int) -> bool:
        """Return whether a packet that ends at `end` may complete a request.

        A packet of the request was lost and is sent again after later ones.
        """
        return flow in self.busy and end != record.request_end

    def end_request(self, flow: packet.Flow, now: int) -> int | None:
        """End a flow's request; return since when it ran or waited, None if there was none."""
        since = self.busy.pop(flow, None)
        if since is not None and self.measures_service_times:
            self.slots.release(flow, now)
        return since

    def record_answer(self, flow: packet.Flow, since: int, now: int) -> None:
        """Record the answer to the request of a flow that arrived at `since` (ms)."""
        del self.busy[flow]
        if not self.measures_service_times:
            self.request_stats.record_answer(since, now)
            return
        slot_since = self.slots.release(flow, now)
        route = packet.route_endpoint(flow)
        self.request_stats.record_answer(
            since, now, route, since if slot_since is None else slot_since
        )

    def set_measures_service_times(self, is_enabled: bool) -> None:
        """Begin or stop to measure service times."""
        if is_enabled == self.measures_service_times:
            return
        self.measures_service_times = is_enabled
        self.request_stats.service_times = service_times.ServiceTimes()
        self.slots = service_times.SlotTracker(self.slots.slots)

    def on_upstream_packet(self, record: FlowRecord, sent: packet.Packet, now: int) -> None:
        """Record a packet of the upstream: data completes the flow's request."""
        record.seen_at = now
        if sent.accepts:
            record.offered_position = sent.sequence
            record.answer_end = (sent.sequence + 1) % SEQUENCE_MODULUS
            return
        since = self.busy.get(sent.flow)
        if since is not None and sent.length:
            self.record_answer(sent.flow, since, now)
        elif since is not None and (sent.aborts or closes_unanswered(record, sent)):
            self.end_request(sent.flow, now)
            self.request_stats.record_failure(now)
        if sent.length:
            record.answer_end = (sent.sequence + sent.length) % SEQUENCE_MODULUS
        if sent.closes:
            record.closed_by_upstream = True
        if sent.aborts:
            record.closed_by_caller = record.closed_by_upstream = True
        if record.is_closed:
            self.pending.pop(sent.flow, None)

    def flow_status(self, flow: packet.Flow, acknowledged: int) -> messages.FlowStatus:
        """Return whether the upstream holds the flow, as far as the table shows."""
        record = self.find(flow)
        if record is None:
            return messages.FlowStatus.ABSENT
        if record.is_held:
            return messages.FlowStatus.HELD
        if record.offered_position is None:
            return messages.FlowStatus.ABSENT
        if acknowledged and not continues_offer(record.offered_position, acknowledged):
            return messages.FlowStatus.ABSENT
        return messages.FlowStatus.OFFERED

    def running_requests(self, now: int) -> int:
        """Return the number of running requests and of flows about to send one; fail stuck ones."""
        stuck = max(STUCK_REQUEST_MS, STUCK_LATENCY_RATIO * self.request_stats.latency)
        for flow in remove_older(self.busy, now - stuck):
            self.slots.release(flow, now)
            self.request_stats.record_failure(now)
        remove_older(self.pending, now - PENDING_REQUEST_MS)
        return len(self.busy) + len(self.pending)

    def service_time_ms(self, flow: packet.Flow, now: int) -> float:
        """Return the expected service time of a request of the flow's route, 0 if unknown."""
        route = packet.route_endpoint(flow)
        return self.request_stats.service_times.estimate_ms(route, self.slots, now)

    def expire(self, idle: int, now: int) -> int:
        """Remove flows that ended or were idle for `idle` ms; return how many.

        A flow that was accepted and not continued only stops counting until it has been idle.
        """
        over = [flow for flow, record in self.flows.items() if now >= expiry_time(record, idle)]
        for flow in over:
            record = self.flows[flow]
            self.remove(flow, now)
            if not record.is_held and record.offered_position is not None:
                self.lapsed_offers[flow] = record
        self.lapsed_offers = {
            flow: record
            for flow, record in self.lapsed_offers.items()
            if now < record.seen_at + idle
        }
        return len(over)


def closes_unanswered(record: FlowRecord, sent: packet.Packet) -> bool:
    """Return whether the upstream closes the flow without having sent an answer.

    Packets may be reordered: a close that overtakes the answer has a higher sequence number.
    """
    return sent.closes and sent.sequence == record.answer_end


def remove_older(times: dict[packet.Flow, int], oldest: float) -> list[packet.Flow]:
    """Remove the flows with times before `oldest` (ms) and return them; `times` is in order."""
    removed = []
    while times:
        flow, since = next(iter(times.items()))
        if since >= oldest:
            break
        del times[flow]
        removed.append(flow)
    return removed


def expiry_time(record: FlowRecord, idle: int) -> int:
    """Return when the flow may be removed from the table, in ms."""
    if record.is_closed:
        return record.seen_at + LINGER_MS
    if not record.is_held:
        return record.seen_at + OFFER_TIMEOUT_MS
    return record.seen_at + idle


def continues_offer(offered: int, acknowledged: int) -> bool:
    """Return whether a caller's acknowledgement fits the initial sequence number that was offered.

    Two upstreams may accept copies of one opening packet; the caller continues with one of them.
    """
    return (acknowledged - offered) % SEQUENCE_MODULUS < MAX_OFFER_DISTANCE
