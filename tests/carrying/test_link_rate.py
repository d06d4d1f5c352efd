"""The rate in force of a balancer's link: when it falls, and when it must not."""

import pytest

from ebonystile.core.carrying import link_rate, packet, round_trips, scheduling
from tests.carrying import narrow_link

CONFIGURED = 5
FLOW = packet.endpoint_of("100.64.0.1", 1) + packet.endpoint_of("198.18.0.1", 443)
STEP_MS = 10
BASE_MS = 2


class Playback:
    """Feeds a `LinkRate` with queries to sidecars and with sent bytes, in steps of 10 ms.

    `delay_of` returns the round trip in ms of a query to a sidecar, None if it is not answered.
    """

    def __init__(self, sidecars=8, use=1.0, queries_per_step=1):
        self.rate = link_rate.LinkRate(CONFIGURED, 0)
        self.now = 0
        self.use = use
        self.addresses = [(f"10.0.1.{n}", 7720) for n in range(sidecars)]
        self.queries_per_step = queries_per_step
        self.asked = 0
        self.answers = []
        self.changes = []

    def run(self, ms, delay_of):
        for _ in range(ms // STEP_MS):
            self.now += STEP_MS
            self.ask(delay_of)
            self.answer()
            sent = self.use * scheduling.paced_bytes_per_ms(self.rate.mbps) * STEP_MS
            self.rate.record_sent(int(sent) + 1, self.now)
            if self.now % 200 == 0:
                changed = self.rate.adjust(self.now)
                self.changes += [(self.now, changed)] if changed else []
        return self

    def ask(self, delay_of):
        for _ in range(self.queries_per_step):
            self.asked += 1
            number = self.asked % len(self.addresses)
            flow = self.asked.to_bytes(12, "big")
            self.rate.record_query(self.addresses[number], flow, self.now)
            delay = delay_of(number)
            if delay is not None:
                self.answers.append((self.now + delay, self.addresses[number], flow))

    def answer(self):
        for entry in [entry for entry in self.answers if entry[0] <= self.now]:
            self.answers.remove(entry)
            self.rate.record_answer(entry[1], entry[2], self.now)


def prompt(number):
    return BASE_MS


def queued(number):
    return BASE_MS + 50


def half_lost(number):
    """Return the round trip over a full link that passes one query in two."""
    half_lost.count += 1
    return BASE_MS + 20 if half_lost.count % 2 else None


half_lost.count = 0


def test_the_rate_stays_while_round_trips_are_normal():
    played = Playback().run(3_000, prompt)
    assert not played.changes and played.rate.mbps == CONFIGURED


@pytest.mark.parametrize("delay_of", [queued, half_lost])
def test_queries_that_wait_at_the_link_or_are_lost_there_halve_the_rate(delay_of):
    """The link may be narrower than configured; what exceeds its rate is dropped at random."""
    played = Playback(queries_per_step=3).run(2_000, prompt).run(800, delay_of)
    assert played.rate.mbps <= CONFIGURED / 4
    assert all(b[0] - a[0] >= 200 for a, b in zip(played.changes, played.changes[1:], strict=False))


def test_a_queue_longer_than_the_window_of_queries_lowers_the_rate():
    """A link with a fixed queue in bytes delays queries by seconds once it is narrowed."""
    played = Playback().run(2_000, prompt).run(2_000, lambda number: 900)
    assert played.rate.mbps <= CONFIGURED / 2


def test_the_rate_has_a_lower_bound():
    played = Playback().run(1_000, prompt).run(5_000, queued)
    assert played.rate.mbps == CONFIGURED / 64


def test_the_rate_recovers_after_the_narrowing():
    """A balancer that stayed at a low rate would delay uploads for the rest of its life."""
    played = Playback().run(1_000, prompt).run(2_000, queued)
    lowered, at = played.rate.mbps, played.now
    assert lowered < CONFIGURED / 8
    played.run(5_000, prompt)
    assert played.rate.mbps == CONFIGURED
    assert played.changes[-1][0] - at <= 5_000


def test_the_rate_recovers_without_any_query():
    """A balancer that refuses flows at a lowered rate sends no queries for them."""
    played = Playback().run(1_000, prompt).run(800, queued)
    assert played.rate.mbps < CONFIGURED
    played.queries_per_step = 0
    played.run(30_000, prompt)
    assert played.rate.mbps == CONFIGURED


def test_a_slow_sidecar_does_not_lower_the_rate():
    """One overloaded instance says nothing about the link."""
    played = Playback().run(1_000, prompt).run(3_000, lambda n: 200 if n == 0 else BASE_MS)
    assert not played.changes


def test_a_slow_sidecar_that_gets_most_queries_does_not_lower_the_rate():
    """Each sidecar has the same weight, however many flows its upstream is asked for."""
    played = Playback(sidecars=20).run(1_000, prompt)
    played.addresses[5:] = [played.addresses[5]] * 15
    played.run(3_000, lambda n: 200 if n >= 5 else BASE_MS)
    assert not played.changes


def test_sidecars_that_are_gone_do_not_lower_the_rate():
    """Half of the queries of a zone that lost power are unanswered, the others are prompt."""
    played = Playback().run(1_000, prompt).run(3_000, lambda n: BASE_MS if n % 2 else None)
    assert not played.changes


def test_a_disconnected_balancer_does_not_lower_the_rate():
    """Without any answer the link is not narrow but interrupted."""
    played = Playback().run(1_000, prompt).run(3_000, lambda n: None)
    assert not played.changes


def test_slow_answers_at_low_use_do_not_lower_the_rate():
    """If little is sent, it is not the own link that delays the answers."""
    played = Playback(use=0.4).run(1_000, prompt).run(3_000, queued)
    assert not played.changes


def test_lost_queries_lower_the_rate_at_low_use():
    """Senders whose packets are lost send less than half of the rate themselves."""
    lossy = iter(range(1_000_000))
    played = Playback(use=0.2, queries_per_step=3).run(1_000, prompt)
    played.run(1_500, lambda n: BASE_MS + 50 if next(lossy) % 3 == 0 else None)
    assert played.rate.mbps <= CONFIGURED / 4


def test_gone_sidecars_and_slow_ones_at_low_use_do_not_lower_the_rate():
    """After a zone is lost, the others are overloaded; what is sent to them arrives."""
    played = Playback(use=0.2, queries_per_step=3).run(1_000, prompt)
    played.run(3_000, lambda n: BASE_MS + 60 if n % 2 else None)
    assert not played.changes


def test_few_queries_do_not_lower_the_rate():
    played = Playback(sidecars=3).run(1_000, prompt).run(3_000, queued)
    assert not played.changes


def test_stalls_of_the_own_process_do_not_lower_the_rate():
    """An instance short of processor time stalls; answers wait in its socket, not at the link."""
    played = Playback().run(1_000, prompt)
    for _ in range(30):
        # The answers of the last 60 ms are read together after each stall.
        played.run(60, lambda number: 60 - (played.now % 100) + BASE_MS)
        played.rate.record_stall(played.now)
        played.run(40, prompt)
    assert not played.changes


def test_a_repeated_query_gives_no_round_trip():
    """Its answer may belong to the first copy, which would look like a delay of the link."""
    trips = round_trips.RoundTrips()
    trips.record_query(("10.0.1.1", 1), FLOW, 0)
    trips.record_query(("10.0.1.1", 1), FLOW, 100)
    trips.record_answer(("10.0.1.1", 1), FLOW, 102)
    found = trips.evidence(300)
    assert found.lateness_ms is None and found.queries == 1 and not found.unanswered


def test_the_recorded_queries_are_bounded():
    trips = round_trips.RoundTrips()
    for n in range(2 * round_trips.MAX_QUERIES):
        trips.record_query(("10.0.1.1", 1), n.to_bytes(12, "big"), 0)
    assert len(trips.queries) == len(trips.outstanding) == round_trips.MAX_QUERIES
    trips.record_query(("10.0.1.1", 1), FLOW, round_trips.KEPT_MS + 1)
    assert len(trips.queries) == len(trips.outstanding) == 1


def test_a_link_narrowed_to_a_36th_is_found_and_its_end_too():
    """Until the rate is lowered, almost all queries are lost, and few answers show why."""
    world = narrow_link.World(adjusts_rate=True)
    play(world, 2_000)
    assert not world.changes
    world.link.mbps = narrow_link.LINK_MBPS / 36
    narrowed_at = world.now
    play(world, 6_000)
    found_at = next(at for at, mbps in world.rates if mbps < narrow_link.LINK_MBPS / 2)
    assert found_at - narrowed_at <= 2_000
    assert world.rate.mbps <= 4 * world.link.mbps
    assert world.scheduler.is_narrowed
    world.link.mbps = narrow_link.LINK_MBPS
    ended_at = world.now
    play(world, 6_000)
    back_at = max(at for at, mbps in world.rates if mbps < narrow_link.LINK_MBPS)
    assert back_at - ended_at <= 6_000
    assert world.rate.mbps == narrow_link.LINK_MBPS


def late_at_a_quarter(adjusts_rate):
    """Return the share of small requests that take over 300 ms on a link narrowed to a quarter."""
    world = narrow_link.World(adjusts_rate=adjusts_rate)
    play(world, 1_000)
    world.link.mbps = narrow_link.LINK_MBPS / 4
    play(world, 2_000)
    begun = len(world.requests)
    play(world, 6_000)
    world.run(3_000)
    took = [
        float("inf") if r.completed_at is None else r.completed_at - r.started_at
        for r in world.requests[begun:]
    ]
    return sum(ms > 300 for ms in took) / len(took)


def test_small_requests_pass_a_narrowed_link_at_the_rate_in_force():
    """At the configured rate a narrowed link drops queries and urgent packets like all others."""
    assert late_at_a_quarter(adjusts_rate=True) <= 1 / 3
    assert late_at_a_quarter(adjusts_rate=False) > 2 / 3


def play(world, ms):
    """Play uploads that offer about the link's configured rate, and 13 small requests a second."""
    for at in range(ms):
        if at % 140 == 0:
            world.add_upload(caller=10 + len(world.uploads) % 5)
        if at % 77 == 0:
            world.add_request(1_000)
        world.step()
