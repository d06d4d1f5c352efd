"""A balancer's link between the core, the sockets and the timers."""

import types

import pytest

from ebonystile import clock, loop
from ebonystile.carrier import link, shell
from ebonystile.core.carrying import balancer, effects, messages, packet, routes, scheduling
from ebonystile.platform import packets
from standins import ends

ROUTE = ("198.18.0.1", 443)
FLOW = packet.endpoint_of("100.64.0.1", 2_000) + packet.endpoint_of(*ROUTE)
SIDECAR = ("10.0.1.1", 7720)
CALLER_PORT = 9_000
DATA = bytes(1_000)


class Socket:
    """Records what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address))


class Loop:
    """An event loop without sockets, whose alarms run when the time is set."""

    def __init__(self):
        self.now = clock.now()
        self.alarms = []
        self.overdue = 0
        self.behind = 0

    def call_at(self, due, action):
        self.alarms.append((due, action))

    def lag(self, udp):
        return self.behind

    def overdue_ms(self):
        return self.overdue

    def advance(self, ms):
        """Advance the time in steps of 1 ms and run the alarms that are due."""
        for _ in range(ms):
            self.now += 1
            due = [alarm for alarm in self.alarms if alarm[0] <= self.now]
            self.alarms = [alarm for alarm in self.alarms if alarm[0] > self.now]
            for _, action in due:
                action()


@pytest.fixture
def made(monkeypatch):
    event_loop = Loop()
    monkeypatch.setattr(clock, "now", lambda: event_loop.now)
    core = balancer.Balancer("a", event_loop.now)
    core.route_table.replace(
        routes.make_routes(1, [(*ROUTE, routes.Route("r", (("s", 1),)))], 15_000)
    )
    scheduler = scheduling.make_scheduler(5, event_loop.now)
    traced = []
    waits = []
    report = types.SimpleNamespace(record_link_wait=lambda *fields: waits.append(fields))
    found = link.Link(event_loop, scheduler, core, Socket(), Socket(), traced.append, report)
    found.traced, found.waits = traced, waits
    return found


def carry(number):
    caller, route = ends.ends(FLOW)
    raw = ends.pack(caller, route, packets.ACK, 1 + number * len(DATA), 1, DATA)
    return effects.Send(SIDECAR, messages.Carry(raw))


def fill(made, count=200):
    for number in range(count):
        made.send_message(carry(number))


def test_packets_beyond_the_burst_are_sent_at_the_rate(made):
    """What is sent faster than the link's rate fills the link's own queue, which drops it."""
    fill(made)
    assert 0 < len(made.peer_socket.sent) < 10
    made.event_loop.advance(500)
    assert len(made.peer_socket.sent) == 200
    assert len(made.waits) > 190
    assert [t.event for t in made.traced] == ["link_busy", "link_idle"]
    assert dict(made.traced[1].fields)["longest_wait_ms"] >= 100


def test_one_timer_is_set_while_datagrams_wait(made):
    """A timer for every datagram would cost a wake-up each."""
    fill(made)
    for _ in range(100):
        assert len(made.event_loop.alarms) <= 1
        made.event_loop.advance(1)
    made.event_loop.advance(500)
    assert not made.event_loop.alarms


def test_changes_of_the_rate_add_no_wake_ups(made):
    """A timer that an earlier one has replaced must not set a further one while it is pending."""
    wake_ups = []
    pop_due = made.scheduler.pop_due
    made.scheduler.pop_due = lambda now: wake_ups.append(now) or pop_due(now)
    made.scheduler.set_rate(0.1, made.event_loop.now)
    fill(made)
    for _ in range(20):
        made.scheduler.set_rate(0.1, made.event_loop.now)
        made.set_timer()
        made.event_loop.advance(5)
    wake_ups.clear()
    made.event_loop.advance(1_000)
    assert made.scheduler.waiting_bytes and 5 <= len(wake_ups) <= 15


def test_a_reset_goes_to_the_caller_before_waiting_data(made):
    """A caller that is refused must learn it within 50 ms; a reset uses the same link."""
    fill(made)
    other = packet.endpoint_of("100.64.0.2", 2_000) + packet.endpoint_of(*ROUTE)
    reset = packets.make_reset(other, 5)
    made.send_to_caller(reset, other, CALLER_PORT)
    made.event_loop.advance(5)
    assert made.caller_socket.sent == [(reset, ("100.64.0.2", CALLER_PORT))]
    assert made.scheduler.waiting_bytes


def test_a_reset_of_a_flow_drops_its_waiting_data(made):
    fill(made)
    made.send_to_caller(packets.make_reset(FLOW, 5), FLOW, CALLER_PORT)
    assert made.scheduler.dropped[scheduling.ABORTED] > 100
    made.event_loop.advance(20)
    assert len(made.caller_socket.sent) == 1 and not made.scheduler.waiting_bytes


@pytest.mark.parametrize("stall", ["overdue", "behind"])
def test_answers_that_waited_in_this_process_do_not_count(made, stall):
    """An instance short of processor time reads answers late, which looks like a full link."""
    made.send_message(effects.Send(SIDECAR, messages.Ask(FLOW, 1)))
    made.event_loop.advance(60)
    setattr(made.event_loop, stall, 40)
    answer = messages.Answer(FLOW, 1, messages.FlowStatus.ABSENT, messages.Load())
    made.on_message(answer, SIDECAR)
    made.event_loop.advance(200)
    found = made.rate.round_trips.evidence(made.event_loop.now)
    assert found.queries == 1 and found.lateness_ms is None and not found.unanswered


def test_the_round_trip_does_not_include_the_wait_in_the_queue(made):
    """Else a busy balancer would lower its own rate."""
    fill(made)
    made.scheduler.pacer.credit = -20_000
    made.send_message(effects.Send(SIDECAR, messages.Ask(FLOW, 1)))
    while not made.rate.round_trips.queries:
        made.event_loop.advance(1)
    made.event_loop.advance(3)
    answer = messages.Answer(FLOW, 1, messages.FlowStatus.ABSENT, messages.Load())
    made.on_message(answer, SIDECAR)
    assert made.rate.round_trips.lowest_ms(made.event_loop.now) <= 3


def test_a_changed_rate_is_put_in_force_and_logged(made):
    made.rate.mbps = 1
    for _ in range(10):
        made.event_loop.advance(shell.TICK_MS)
        made.on_tick(made.event_loop.now)
    assert made.traced[-1].event == "link_rate"
    assert made.scheduler.rate_mbps == made.rate.mbps > 1


def test_the_loop_reports_by_how_much_its_earliest_timer_is_late():
    made = loop.Loop()
    made.now = clock.now()
    assert made.overdue_ms() == 0
    made.call_at(made.now + 50, lambda: None)
    assert made.overdue_ms() == 0
    made.call_at(made.now - 30, lambda: None)
    assert made.overdue_ms() == 30
