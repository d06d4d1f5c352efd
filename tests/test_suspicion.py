"""Check that those who fail are left alone, carefully tried, and never all at once."""

import pytest

from ebonystile.core.placing import suspicion
from ebonystile.peer import messages

RULES = suspicion.Rules(hold_ms=2000, max_probes=2, probe_timeout_ms=1000, successes_to_return=2)


def suspect(*names, now=0, tracker=None):
    tracker = tracker or suspicion.Suspicion(RULES)
    for name in names:
        for _ in range(RULES.failures):
            tracker.record_failure(name, now)
    return tracker


def test_three_failures_in_a_row_suspect_and_a_success_between_does_not():
    tracker = suspicion.Suspicion(RULES)
    for good in (False, False, True, False, False):
        (tracker.record_success if good else tracker.record_failure)("a", 0)
    assert not tracker.is_suspected("a")
    assert tracker.record_failure("a", 0)
    assert tracker.is_suspected("a")


def test_half_of_the_results_bad_suspect():
    tracker = suspicion.Suspicion(RULES)
    for i in range(20):
        (tracker.record_success if i % 2 else tracker.record_failure)("a", 0)
    assert not tracker.is_suspected("a")
    tracker.record_failure("a", 0)
    assert tracker.is_suspected("a")


@pytest.mark.parametrize(
    ("suspected", "known", "panic"),
    [(0, 0, False), (0, 3, False), (1, 3, False), (1, 2, False), (2, 3, True), (3, 3, True)],
)
def test_panic_threshold(suspected, known, panic):
    """Two of three upstreams are suspected: the last one cannot carry the load of all.

    Leaving both out would bring the last one down. All three are used again (what placement makes
    of it: `test_placement` and `test_spreading`).
    """
    assert suspicion.is_panic(suspected, known) == panic


def test_probes_are_bounded_and_come_after_the_hold():
    tracker = suspect("a", "b", "c")
    assert tracker.due_probes(1999) == []
    assert tracker.due_probes(2000) == ["a", "b"]
    assert tracker.due_probes(2500) == []
    assert not tracker.record_probe("a", True, 2500)
    assert len(tracker.due_probes(2500)) == 1


def test_probe_without_answer_counts_as_failed():
    tracker = suspect("a")
    assert tracker.due_probes(2000) == ["a"]
    assert tracker.due_probes(3000) == []
    assert tracker.due_probes(5000) == ["a"]


def returned(tracker, name, now):
    for _ in range(RULES.successes_to_return):
        assert tracker.due_probes(now) == [name]
        tracker.record_probe(name, True, now)


def test_two_good_probes_end_it_and_start_a_ramp():
    tracker = suspect("a")
    returned(tracker, "a", 2000)
    assert not tracker.is_suspected("a")
    assert tracker.ramp_share("a", 2000, 10_000) == 250
    assert tracker.ramp_share("a", 12_000, 10_000) == messages.FULL_RAMP
    assert tracker.ramp_share("never", 0, 10_000) == messages.FULL_RAMP


def test_flapping_peer_is_left_alone_for_longer_each_time():
    """An upstream comes back after each probe and fails again at once.

    Each return would cost callers some failures. The time that it is left alone doubles.
    """
    tracker = suspicion.Suspicion(RULES)
    now, holds = 0, []
    for _ in range(4):
        suspect("a", now=now, tracker=tracker)
        until = tracker.peers["a"].suspected_until
        holds.append(until - now)
        now = until
        returned(tracker, "a", now)
    assert holds == [2000, 4000, 8000, 16_000]


def test_calm_forgives():
    tracker = suspect("a")
    returned(tracker, "a", 2000)
    tracker.record_success("a", 100_000)
    assert "a" in tracker.peers
    tracker.record_success("a", 2000 + 2 * RULES.forgive_after_ms + 1)
    assert tracker.peers == {}


def test_state_is_bounded():
    tracker = suspicion.Suspicion(RULES)
    for i in range(suspicion.MAX_PEERS + 10):
        tracker.record_failure(f"p{i}", 0)
    assert len(tracker.peers) == suspicion.MAX_PEERS
    tracker.retain({"p1"})
    assert list(tracker.peers) == ["p1"]
