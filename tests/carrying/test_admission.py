"""Admission of new flows of routes that state a time limit or an objective."""

import dataclasses

import pytest

from ebonystile.core import fairness
from ebonystile.core.carrying import (
    admission,
    admitting,
    balancer,
    balancer_state,
    flow_sizes,
    messages,
    opening,
    packet,
    placing,
    routes,
    waiting,
)
from ebonystile.platform import packets
from standins import ends
from tests.carrying import retrying, world

NOW = 100_000
UPLOAD = routes.RequestTraits(routes.RequestKind.UPLOAD, objective_ms=1_000, timeout_ms=5_000)
ROOM = admission.Room(has_room=True, wait_ms=20, service_ms=30)
FULL = dataclasses.replace(ROOM, has_room=False)
NARROW = admission.LinkRoom(wait_ms=5, bytes_per_ms=20, is_narrowed=True)


def make_request(traits=retrying.TRAITS, age_ms=2, copies=(0,), **more):
    """Return a request whose first opening packet was sent `age_ms` ago."""
    return admission.Request(traits, NOW - age_ms, frozenset(copies), **more)


def decide(request, room):
    return admission.decide(request, room, NOW)


def test_a_flow_with_room_is_admitted():
    assert decide(make_request(), ROOM) == admission.Admit()


def test_a_flow_that_would_finish_past_its_time_limit_is_refused_at_once():
    late = dataclasses.replace(ROOM, wait_ms=1_480)
    assert decide(make_request(), late) == admission.Refuse(admission.Reason.TIME_LIMIT)


def test_the_time_limit_counts_from_the_first_packet():
    room = dataclasses.replace(ROOM, wait_ms=1_000)
    assert isinstance(decide(make_request(), room), admission.Wait)
    late = make_request(age_ms=620, copies=(2,))
    assert decide(late, room) == admission.Refuse(admission.Reason.TIME_LIMIT)
    assert admission.opened_at(2, NOW) == NOW - 600


def test_the_time_over_the_link_counts_towards_the_time_limit():
    slow = dataclasses.replace(ROOM, link=NARROW, request_bytes=30_000)
    assert decide(make_request(), slow) == admission.Refuse(admission.Reason.TIME_LIMIT)


def test_a_flow_without_room_waits_as_long_as_the_objective_allows():
    assert decide(make_request(), FULL) == admission.Wait(NOW - 2 + 300 - 50)


def test_no_flow_waits_until_its_caller_gives_up():
    patient = routes.RequestTraits(objective_ms=20_000)
    verdict = decide(make_request(patient), FULL)
    assert verdict == admission.Wait(NOW - 2 + admission.MAX_WAIT_MS)
    assert admission.MAX_WAIT_MS < ends.OPEN_TIMEOUT_MS


def test_a_long_predicted_wait_leaves_half_of_the_objective_to_wait():
    """A caller that is refused retries at once, so a short lack of room would use up its tries."""
    slow = dataclasses.replace(FULL, wait_ms=290)
    assert decide(make_request(), slow) == admission.Wait(NOW - 2 + 150)


def test_a_flow_behind_others_waits_even_if_there_is_room():
    behind = dataclasses.replace(ROOM, ahead=1)
    assert isinstance(decide(make_request(), behind), admission.Wait)


def test_a_flow_is_refused_at_once_if_the_flows_ahead_take_all_the_room():
    crowded = dataclasses.replace(FULL, ahead=40, admitted_per_s=100)
    assert decide(make_request(), crowded) == admission.Refuse(admission.Reason.CROWDED)
    later_copy = make_request(age_ms=202, copies=(1,))
    assert isinstance(decide(later_copy, crowded), admission.Wait)


def test_a_low_rate_of_admissions_predicts_nothing():
    """After an outage nothing has been admitted, and refused callers would use up their tries."""
    stalled = dataclasses.replace(FULL, ahead=40, admitted_per_s=2)
    assert isinstance(decide(make_request(), stalled), admission.Wait)


def test_a_flow_whose_wait_has_ended_is_placed_if_there_is_room():
    late = make_request(age_ms=700, copies=(0, 1, 2))
    behind = dataclasses.replace(ROOM, ahead=1)
    assert decide(late, behind) == admission.Admit()


def test_a_flow_whose_wait_has_ended_without_room_is_refused():
    late = make_request(age_ms=300, copies=(0, 1))
    assert decide(late, FULL) == admission.Refuse(admission.Reason.NO_ROOM)


def test_a_later_copy_is_placed_without_room_as_it_must_not_be_reset():
    late = make_request(age_ms=300, copies=(1,))
    assert decide(late, FULL) == admission.Admit()


def test_a_refusal_waits_for_a_copy_that_is_on_its_way():
    short = dataclasses.replace(retrying.TRAITS, objective_ms=150)
    request = make_request(short, age_ms=180)
    assert decide(request, FULL) == admission.Wait(NOW - 180 + 250)
    arrived = dataclasses.replace(request, copies=frozenset((0, 1)))
    assert decide(arrived, FULL) == admission.Refuse(admission.Reason.NO_ROOM)


def test_an_upload_that_a_narrowed_link_delays_past_its_objective_is_refused():
    late = dataclasses.replace(ROOM, link=NARROW, request_bytes=80_000)
    refused = admission.Refuse(admission.Reason.NARROW_LINK)
    assert decide(make_request(UPLOAD), late) == refused
    wide = dataclasses.replace(late, link=dataclasses.replace(NARROW, is_narrowed=False))
    assert decide(make_request(UPLOAD), wide) != refused
    small = dataclasses.replace(late, request_bytes=8_000)
    assert decide(make_request(UPLOAD), small) == admission.Admit()
    assert decide(make_request(UPLOAD, age_ms=202, copies=(1,)), late) != refused


@pytest.mark.parametrize(
    ("age_ms", "copies", "more", "is_unopened"),
    [
        (2, (0,), {}, True),
        (149, (0,), {}, True),
        (150, (0,), {}, False),
        (300, (0,), {}, False),
        (300, (0, 1), {}, True),
        (560, (0, 1), {}, False),
        (700, (0, 1, 2), {}, True),
        (202, (1,), {}, False),
        (602, (1, 2), {}, False),
        (2, (0,), {"was_forwarded": True}, False),
    ],
)
def test_only_flows_of_which_all_copies_arrived_here_may_be_reset(
    age_ms, copies, more, is_unopened
):
    """Another balancer may have received a copy that did not arrive here, and opened the flow."""
    assert make_request(age_ms=age_ms, copies=copies, **more).is_unopened(NOW) is is_unopened


def make_entry(host, number, priority=2, opened_at=NOW):
    flow = packet.endpoint_of(host, number) + packet.endpoint_of(*world.ROUTE)
    return waiting.Entry(flow, priority, opened_at, opened_at)


def make_queue(*entries):
    queue = waiting.WaitQueue()
    for entry in entries:
        queue.add(entry, NOW)
    return queue


def test_the_highest_priority_is_first_in_a_queue():
    low, high = make_entry("10.0.0.1", 1, opened_at=NOW - 90), make_entry("10.0.0.2", 1, 0)
    assert make_queue(low, high).ordered(NOW) == [high, low]


def test_callers_take_turns_in_a_queue():
    """A caller with 20 flows would otherwise delay one with a single flow by all of them."""
    many = [make_entry("10.0.0.1", n, opened_at=NOW - 90 + n) for n in range(20)]
    one = make_entry("10.0.0.2", 1)
    assert make_queue(*many, one).ordered(NOW)[:3] == [many[0], one, many[1]]


def test_the_oldest_flow_of_a_caller_is_first_in_a_queue():
    entries = [make_entry("10.0.0.1", n, opened_at=NOW - n) for n in range(5)]
    assert make_queue(*entries).ordered(NOW) == entries[::-1]


def test_a_caller_that_was_admitted_while_others_waited_comes_after_them():
    first, second = make_entry("10.0.0.1", 1, opened_at=NOW - 9), make_entry("10.0.0.2", 1)
    queue = make_queue(first, second)
    queue.record_admission(make_entry("10.0.0.1", 7).flow, NOW)
    assert queue.ordered(NOW) == [second, first]
    assert queue.ordered(NOW + 2_000) == [first, second]


def test_the_rate_of_admissions_is_known_only_after_flows_have_waited():
    """Before, it is the rate of the demand, by which a burst of new flows would be refused."""
    queue = make_queue(make_entry("10.0.0.1", 1))
    flow = make_entry("10.0.0.2", 1).flow
    queue.record_admission(flow, NOW - 500)
    for after in range(0, 200, 10):
        queue.record_wait(NOW + after)
        queue.record_admission(flow, NOW + after)
        assert bool(queue.admitted_per_s(NOW + after)) is (after >= waiting.MEASURED_MS)
    assert 90 <= queue.admitted_per_s(NOW + 200) <= 110
    assert queue.admitted_per_s(NOW + 200 + waiting.MEASURED_MS) == 0
    queue.record_wait(NOW + 900)
    assert queue.admitted_per_s(NOW + 900) == 0


def test_the_callers_of_a_queue_are_bounded(monkeypatch):
    monkeypatch.setattr(waiting, "MAX_CALLERS", 3)
    queue = make_queue(make_entry("10.0.0.1", 1))
    for number in range(9):
        queue.record_admission(make_entry(f"10.0.1.{number}", 1).flow, NOW)
    assert len(queue.admitted_by_caller) == 3


def test_a_queue_that_holds_nothing_is_dropped():
    queues = waiting.WaitQueues()
    entry = make_entry("10.0.0.1", 1)
    queues.add(("s", ()), entry, NOW + 25)
    assert queues.next_ask_at() == NOW + 25
    queues.expire(NOW)
    assert queues.by_key
    queues.remove(entry.flow)
    assert queues.next_ask_at() is None
    queues.expire(NOW)
    assert not queues.by_key


def test_a_queue_keeps_its_rate_of_admissions_for_a_while():
    queues = waiting.WaitQueues()
    queues.by_key["s", ()].record_admission(make_entry("10.0.0.1", 1).flow, NOW)
    queues.expire(NOW + 100)
    assert queues.by_key
    queues.expire(NOW + int(10 * fairness.RATE_WINDOW_MS))
    assert not queues.by_key


def make_packet(sequence, length=0, port=1, **more):
    flow = packet.endpoint_of("10.0.0.1", port) + packet.endpoint_of(*world.ROUTE)
    return packet.Packet(flow, b"", sequence, 0, length, **more)


def test_the_bytes_of_a_route_are_averaged_over_its_flows():
    sizes = flow_sizes.FlowSizes()
    start = packet.SEQUENCE_MODULUS - 500
    sizes.begin(make_packet(start - 1, opens=True), NOW)
    for sent in (0, 1_000, 0):
        sizes.record(make_packet((start + sent) % packet.SEQUENCE_MODULUS, 1_000))
    sizes.record(make_packet(start + 2_000, closes=True))
    assert sizes.average(make_packet(0).flow) == 2_000
    assert not sizes.samples


def test_a_flow_that_is_not_closed_is_counted_after_a_while():
    sizes = flow_sizes.FlowSizes()
    sizes.begin(make_packet(0, opens=True), NOW)
    sizes.record(make_packet(1, 700))
    sizes.begin(make_packet(0, port=2, opens=True), NOW + flow_sizes.SAMPLE_MS)
    assert sizes.average(make_packet(0).flow) == 700


def test_the_flows_that_are_followed_are_bounded(monkeypatch):
    monkeypatch.setattr(flow_sizes, "MAX_SAMPLES", 2)
    sizes = flow_sizes.FlowSizes()
    for port in range(1, 9):
        sizes.begin(make_packet(0, port=port, opens=True), NOW)
    assert len(sizes.samples) == 2


@pytest.fixture
def no_room(monkeypatch):
    """Make all upstreams overretrying."""
    monkeypatch.setattr(placing.Candidate, "is_overloaded", True)


def test_a_route_without_traits_waits_and_is_placed_as_before(no_room):
    scene = retrying.RetryingWorld(traits={world.ROUTE: routes.NO_TRAITS}, upstreams=2, balancers=1)
    outcome = scene.request()
    scene.run(opening.MAX_DEFER_MS - 30)
    assert not outcome.tries[0].open
    scene.run(100)
    assert outcome.answered_at is not None
    assert not scene.events("refused")


def test_a_flow_without_room_is_reset_after_its_wait(no_room):
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    caller = scene.request().tries[0]
    scene.run(230)
    assert not caller.over
    scene.run(80)
    assert caller.resets == 1 and not caller.open
    assert scene.events("refused")[0]["reason"] == "no_room"
    assert not any(isinstance(message, messages.Open) for _, _, message in scene.sent)


def test_waiting_flows_are_placed_when_room_comes_back(monkeypatch):
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    with monkeypatch.context() as patch:
        patch.setattr(placing.Candidate, "is_overloaded", True)
        outcomes = [scene.request(f"100.64.1.{n}") for n in range(1, 9)]
        scene.run(100)
        assert len(scene.events("held")) == 8
    scene.run(2 * opening.DEFER_STEP_MS + 10)
    assert all(outcome.tries[0].open for outcome in outcomes)
    assert not scene.balancers[0].core.wait_queues.by_flow


def test_waiting_flows_query_for_one_flow_at_each_step(no_room):
    """Queries of each flow on its own would add to the load that they wait for to end."""
    scene = retrying.RetryingWorld(upstreams=4, balancers=1)
    for number in range(100):
        scene.request(f"100.64.1.{number + 1}")
    scene.run(20)
    scene.sent.clear()
    scene.run(200)
    asked = [m.flow for _, _, m in scene.sent if isinstance(m, messages.Ask)]
    assert 0 < len(asked) <= 4 * (200 / opening.DEFER_STEP_MS + 1)
    assert len(set(asked)) >= 7


def test_many_flows_without_requests_open_at_once():
    """After an outage idle flows are opened again, which take no room while they send nothing."""
    scene = retrying.RetryingWorld(upstreams=4, balancers=2)
    callers = [scene.caller(40_000 + n, through=scene.balancers[n % 2]) for n in range(96)]
    scene.run(100)
    assert all(caller.open for caller in callers)


def test_a_flow_is_not_placed_by_old_answers(no_room):
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    core = scene.balancers[0].core
    search_flow = scene.request().tries[0].flow
    scene.run(20)
    search, queue = core.searches[search_flow], core.wait_queues.by_flow[search_flow]
    assert admitting.choose(core, queue, search, scene.now) is not None
    later = queue.report.asked_at + admitting.REPORT_TTL_MS + 1
    assert admitting.choose(core, queue, search, later) is None


def test_an_upstream_that_is_unresponsive_gets_one_waiting_flow_as_a_trial():
    """The answer that asks for a trial serves all waiting flows, which would need a copy each."""
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    scene.sidecars[0].upstream.alive = False
    for port in range(40_001, 40_011):
        scene.caller(port)
    scene.run(500)
    callers = [scene.caller(port) for port in range(41_001, 41_021)]
    scene.run(150)
    assert sum(caller.open for caller in callers) >= 19


def test_lost_answers_delay_a_waiting_flow_until_the_next_query(monkeypatch):
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    address = scene.balancers[0].address
    with monkeypatch.context() as patch:
        patch.setattr(placing.Candidate, "is_overloaded", True)
        caller = scene.request().tries[0]
        scene.run(20)
        for node in scene.sidecars:
            scene.cut(node.address, address, both=False)
        scene.run(60)
    scene.cuts.clear()
    scene.run(100)
    assert caller.open and caller.answer is not None


def test_lost_answers_keep_no_flow_waiting_beyond_its_bound(no_room):
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    caller = scene.request().tries[0]
    scene.run(20)
    scene.delays = lambda step, origin, target: [] if step == "Answer" else [world.DELAY_MS]
    scene.run(300)
    assert caller.over and caller.resets == 1


def test_a_killed_balancer_costs_its_waiting_flows_one_copy(monkeypatch):
    """The next copy reaches another balancer, which opens the flow: nothing had been opened."""
    scene = retrying.RetryingWorld(upstreams=2, balancers=2)
    killed, other = scene.balancers
    with monkeypatch.context() as patch:
        patch.setattr(placing.Candidate, "is_overloaded", True)
        caller = scene.request(through=killed).tries[0]
        scene.run(100)
        killed.alive = False
        caller.through = other
    scene.run(200)
    assert caller.open and caller.answer is not None
    assert sum(len(node.upstream.ran) for node in scene.sidecars) == 1


def test_a_flow_that_another_balancer_opened_is_not_reset(monkeypatch):
    """The fabric may send a copy to another balancer, which opens the flow that waits here."""
    scene = retrying.RetryingWorld(upstreams=2, balancers=2)
    first, other = scene.balancers
    monkeypatch.setattr(
        placing.Candidate,
        "is_overloaded",
        property(lambda candidate: scene.now < NOW + 460),
    )
    assert scene.now < NOW + 460 - 100
    caller = scene.request(through=first).tries[0]
    scene.run(50)
    caller.through = other
    scene.run(300)
    assert caller.open and caller.answer is not None
    scene.run(1_500)
    assert caller.resets == 0
    assert sum(len(node.upstream.ran) for node in scene.sidecars) == 1
    assert not [event for event in scene.events("refused") if event["reset"]]


def test_a_waiting_flow_that_another_balancer_opened_is_not_opened_again(monkeypatch):
    """A second upstream would accept the flow, and this balancer would send it the packets."""
    scene = retrying.RetryingWorld(upstreams=8, balancers=2)
    waits, opens = scene.balancers
    room_from = scene.now + 240
    choose = admitting.choose

    def choose_without_room(state, *rest):
        choice = choose(state, *rest)
        has_room = choice.has_room and (state is not waits.core or scene.now >= room_from)
        return dataclasses.replace(choice, has_room=has_room)

    monkeypatch.setattr(admitting, "choose", choose_without_room)
    callers = [scene.request(f"100.64.1.{n}", through=waits).tries[0] for n in range(1, 9)]
    scene.run(100)
    for caller in callers:
        caller.through = opens
    scene.run(700)
    assert all(caller.answer is not None for caller in callers)
    for caller in callers:
        assert sum(caller.flow in node.upstream.flows for node in scene.sidecars) == 1


def test_a_later_copy_past_its_time_limit_is_dropped_without_a_reset():
    """Another balancer may have opened the flow by an earlier copy."""
    hasty = dataclasses.replace(retrying.TRAITS, objective_ms=100, timeout_ms=150)
    scene = retrying.RetryingWorld(traits={world.ROUTE: hasty}, upstreams=2, balancers=2)
    node, other = scene.balancers
    other.alive = False
    caller = scene.request(through=other).tries[0]
    scene.run(100)
    caller.through = node
    scene.run(1_400)
    assert [event["reason"] for event in scene.events("refused")] == ["time_limit", "time_limit"]
    assert caller.resets == 0


def test_a_flow_that_a_sidecar_returned_is_not_reset_by_a_refusal(no_room):
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    core = scene.balancers[0].core
    caller = scene.request().tries[0]
    scene.run(20)
    core.searches[caller.flow].was_forwarded = True
    scene.run(500)
    assert caller.resets == 0


def test_a_balancer_that_was_paused_does_not_reset_the_packets_of_the_pause(no_room):
    """Their callers may have sent copies during the pause, which other balancers received."""
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    node = scene.balancers[0]
    node.frozen_until = scene.now + 600
    scene.run(600)
    caller = scene.request().tries[0]
    scene.run(400)
    assert caller.resets == 0
    scene.run(400)
    later = scene.request().tries[0]
    scene.run(320)
    assert later.resets == 1


def test_a_search_begun_by_a_returned_packet_counts_as_forwarded():
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    core = scene.balancers[0].core
    flow = packet.endpoint_of("100.64.0.9", 999) + packet.endpoint_of(*world.ROUTE)
    raw = ends.pack(*ends.ends(flow), packets.SYN, 7, 0)
    returned = messages.Return(messages.Reason.FULL, 2, raw)
    core.on_message(returned, packets.from_caller(raw), scene.sidecars[0].address, scene.now)
    assert core.searches[flow].was_forwarded


def cut_off(scene, node):
    """Disconnect a balancer from all sidecars."""
    for sidecar in scene.sidecars:
        scene.cut(node.address, sidecar.address)


def test_a_disconnected_balancer_resets_new_flows_before_their_first_copy():
    """The caller would otherwise wait until it gives the flow up."""
    scene = retrying.RetryingWorld(upstreams=4, balancers=2)
    cut_off(scene, scene.balancers[0])
    caller = scene.request(through=scene.balancers[0]).tries[0]
    scene.run(150 + 2 * world.DELAY_MS)
    assert caller.resets == 1 and len(caller.opening_sent_at) == 1
    scene.run(200)
    assert scene.outcomes[0].answered_at is not None
    assert scene.events("refused")[0]["reason"] == "disconnected"


def test_a_disconnected_balancer_resets_no_later_copy():
    """Another balancer may have opened the flow by an earlier copy."""
    scene = retrying.RetryingWorld(upstreams=4, balancers=2)
    node, other = scene.balancers
    cut_off(scene, node)
    other.alive = False
    caller = scene.request(through=other).tries[0]
    scene.run(100)
    caller.through = node
    scene.run(1_400)
    assert len(caller.opening_sent_at) == 3 and caller.resets == 0


def test_a_balancer_that_some_sidecars_answer_is_not_disconnected():
    scene = retrying.RetryingWorld(upstreams=4, balancers=1)
    for sidecar in scene.sidecars[1:]:
        scene.cut(scene.balancers[0].address, sidecar.address)
    outcome = scene.request()
    scene.run(200)
    assert outcome.answered_at is not None and not scene.events("refused")


def test_a_disconnected_balancer_keeps_the_flows_of_routes_without_traits():
    scene = retrying.RetryingWorld(traits={world.ROUTE: routes.NO_TRAITS}, upstreams=4, balancers=1)
    cut_off(scene, scene.balancers[0])
    caller = scene.request().tries[0]
    scene.run(1_000)
    assert caller.resets == 0


def test_flows_beyond_the_limit_of_searches_are_reset_at_once(no_room, monkeypatch):
    monkeypatch.setattr(balancer, "MAX_SEARCHES", 3)
    scene = retrying.RetryingWorld(upstreams=2, balancers=1)
    callers = [scene.request(f"100.64.1.{n + 1}").tries[0] for n in range(4)]
    scene.run(3 * world.DELAY_MS)
    assert [caller.resets for caller in callers] == [0, 0, 0, 1]


def test_an_upload_over_a_narrowed_link_is_refused_before_it_is_opened():
    scene = retrying.RetryingWorld(traits={world.ROUTE: UPLOAD}, upstreams=2, balancers=1)
    core = scene.balancers[0].core
    core.find_link_room = lambda traits, now: NARROW
    core.flow_sizes.average_by_route[packet.endpoint_of(*world.ROUTE)] = 80_000.0
    caller = scene.request().tries[0]
    scene.run(50)
    assert caller.resets == 1
    assert scene.events("refused")[0]["reason"] == "narrow_link"


def test_the_sizes_of_flows_are_measured_where_the_link_is_scheduled():
    scene = retrying.RetryingWorld(traits={world.ROUTE: UPLOAD}, upstreams=2, balancers=1)
    core = scene.balancers[0].core
    core.find_link_room = lambda traits, now: None
    outcome = scene.request()
    scene.run(200)
    assert outcome.answered_at is not None
    core.flow_sizes.end(outcome.tries[0].flow)
    assert core.flow_sizes.average(outcome.tries[0].flow) == 20


def test_one_answer_admits_no_more_flows_than_the_queues_hold():
    """Without the limit all flows that wait would go to the upstreams by the same answers."""

    def has_room(running, placed, is_overloaded=False, **more):
        load = messages.Load(running=running, slots=2, **more)
        return admitting.has_room(load, placed, is_overloaded=is_overloaded)

    assert has_room(7, 7) and has_room(20, 0)
    assert not has_room(8, 8)
    assert has_room(4, 1, saturated=True) and not has_room(4, 2, saturated=True)
    assert not has_room(8, 0, is_overloaded=True)
    assert not has_room(0, 0, unresponsive=True)


def test_a_pause_is_noticed_by_the_gap_between_ticks():
    state = balancer_state.BalancerState("a", NOW)
    assert state.is_timely(NOW)
    assert not state.is_timely(NOW + balancer_state.MAX_TICK_GAP_MS + 1)
    state.record_tick(NOW + 600)
    assert not state.is_timely(NOW + 610)
    assert state.is_timely(NOW + 600 + balancer_state.RESUME_MS)
