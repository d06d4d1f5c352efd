"""The service times that a sidecar measures: slots, routes, slowdowns and what is left out."""

import pytest

from ebonystile.core.carrying import packet, service_times, table
from ebonystile.platform import packets
from standins import ends

SOURCE = ("10.0.0.1", 7720)
LONG, SHORT = packet.endpoint_of("198.18.0.1", 443), packet.endpoint_of("198.18.0.1", 444)


def flow_of(number, route=LONG):
    return packet.endpoint_of("100.64.0.7", number) + route


class Upstream:
    """A flow table with a number of slots, and packets of the flows that it holds."""

    def __init__(self, slots=1):
        self.table = table.FlowTable()
        self.table.slots.slots = slots
        self.table.set_measures_service_times(True)

    def request(self, flow, now, sequence=10, data=b"x"):
        caller, route = ends.ends(flow)
        record = self.table.flows.get(flow) or self.table.open(flow, SOURCE, now)
        raw = ends.pack(caller, route, packets.ACK, sequence, 101, data)
        self.table.on_caller_packet(record, packets.from_caller(raw), now)

    def answer(self, flow, now):
        caller, route = ends.ends(flow)
        raw = ends.pack(route, caller, packets.ACK, 101, 0, b"answer")
        record = self.table.flows[flow]
        self.table.on_upstream_packet(record, packets.from_upstream(raw), now)

    def serve(self, count, took_ms, now=0, route=LONG):
        """Run requests one after another; return when the last one has ended."""
        for number in range(count):
            flow = flow_of(50_000 + number, route)
            self.request(flow, now)
            now += took_ms
            self.answer(flow, now)
            self.table.remove(flow, now)
        return now

    def service_ms(self, now, route=LONG):
        return self.table.service_time_ms(flow_of(1, route), now)


def test_the_wait_for_a_slot_is_left_out():
    """Balancers add the wait by the number of requests; the latency would count it twice."""
    upstream = Upstream(slots=1)
    for number in range(4):
        upstream.request(flow_of(number), now=number)
    for number in range(4):
        upstream.answer(flow_of(number), now=40 * (number + 1))
    assert upstream.service_ms(160) == pytest.approx(40)
    assert upstream.table.request_stats.latency > 45


def test_requests_run_at_once_while_a_slot_is_free():
    upstream = Upstream(slots=2)
    for number, at in enumerate((0, 10, 12)):
        upstream.request(flow_of(number), now=at)
    upstream.answer(flow_of(0), now=40)
    upstream.answer(flow_of(1), now=50)
    upstream.answer(flow_of(2), now=80)
    assert upstream.service_ms(80) == pytest.approx(40)


def test_a_request_that_is_aborted_or_stuck_frees_its_slot():
    """Otherwise every later request would count as waiting for it."""
    upstream = Upstream(slots=1)
    for number in range(2):
        upstream.request(flow_of(number), now=0)
    upstream.table.remove(flow_of(0), 30)
    upstream.answer(flow_of(1), now=70)
    assert upstream.service_ms(70) == pytest.approx(40)
    upstream.request(flow_of(2), now=100)
    upstream.table.running_requests(101 + table.STUCK_REQUEST_MS)
    assert not upstream.table.slots.running


def test_routes_have_service_times_of_their_own():
    upstream = Upstream()
    now = upstream.serve(20, 80, route=LONG)
    now = upstream.serve(20, 8, now, route=SHORT)
    assert upstream.service_ms(now, LONG) == pytest.approx(80)
    assert upstream.service_ms(now, SHORT) == pytest.approx(8)


def test_short_requests_of_another_route_are_no_errors():
    """An answer far faster than the mean over all routes may be that of a short request."""
    upstream = Upstream()
    now = upstream.serve(20, 80, route=LONG)
    now = upstream.serve(20, 5, now, route=SHORT)
    assert upstream.table.request_stats.success_rate(now) == 1.0


def test_answers_far_faster_than_their_route_are_errors_and_left_out():
    upstream = Upstream()
    now = upstream.serve(20, 80)
    now = upstream.serve(5, 1, now)
    assert upstream.service_ms(now) == pytest.approx(80)
    assert upstream.table.request_stats.success_rate(now) < 0.6


def test_a_route_without_samples_is_unknown():
    """With the mean of other routes in its place, long requests would keep short ones away."""
    upstream = Upstream()
    now = upstream.serve(20, 80, route=LONG)
    assert upstream.service_ms(now, SHORT) == 0


def test_a_service_time_without_recent_samples_is_unknown():
    """A slow upstream that gets no requests must be tried again, also if other routes use it."""
    upstream = Upstream()
    now = upstream.serve(20, 80, route=LONG)
    upstream.serve(20, 8, now, route=SHORT)
    assert upstream.service_ms(now + service_times.STALE_MS - 1, LONG)
    assert upstream.service_ms(now + service_times.STALE_MS, LONG) == 0


def test_a_slowdown_seen_on_one_route_applies_to_all():
    upstream = Upstream()
    now = upstream.serve(40, 40, route=LONG)
    now = upstream.serve(20, 8, now, route=SHORT)
    now = upstream.serve(20, 80, now, route=LONG)
    assert upstream.service_ms(now, LONG) > 70
    assert upstream.service_ms(now, SHORT) > 11


def test_a_request_that_runs_for_too_long_counts_before_it_ends():
    """An upstream that hangs has no samples, and would look as fast as it was."""
    upstream = Upstream()
    now = upstream.serve(20, 40)
    upstream.request(flow_of(2), now)
    assert upstream.service_ms(now + 40) == pytest.approx(40)
    assert upstream.service_ms(now + 200) == pytest.approx(80)


def test_a_single_pause_counts_for_little():
    upstream = Upstream()
    now = upstream.serve(40, 40)
    now = upstream.serve(1, 1_500, now)
    assert upstream.service_ms(now) < 70


def test_an_upload_counts_from_its_last_packet():
    """An upload may take long to arrive, with packets that are lost and sent again."""
    upstream = Upstream()
    now = upstream.serve(20, 5)
    flow = flow_of(2)
    for sequence in (10, 11, 13):
        upstream.request(flow, now + 100 * sequence, sequence)
    assert upstream.service_ms(now + 1_600) == pytest.approx(5)
    upstream.request(flow, now + 1_700, sequence=12)
    upstream.answer(flow, now + 1_705)
    assert upstream.service_ms(now + 1_705) == pytest.approx(5)


def test_a_repeated_request_does_not_hide_that_the_first_copy_runs():
    upstream = Upstream()
    flow = flow_of(2)
    upstream.request(flow, 0)
    upstream.request(flow, 200)
    upstream.answer(flow, 300)
    assert upstream.service_ms(300) == pytest.approx(300)


def test_the_least_recently_used_route_is_dropped():
    times = service_times.ServiceTimes()
    for number in range(service_times.MAX_ROUTES + 1):
        times.record(packet.endpoint_of("198.18.0.1", number), 40, number)
        times.record(LONG, 40, number)
    assert len(times.by_route) == service_times.MAX_ROUTES
    assert LONG in times.by_route
    assert packet.endpoint_of("198.18.0.1", 1) not in times.by_route
