"""Check that failing peers are taken out of use, probed, and returned gradually."""

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
    for success in (False, False, True, False, False):
        (tracker.record_success if success else tracker.record_failure)("a", 0)
    assert not tracker.is_suspected("a")
    assert tracker.record_failure("a", 0)
    assert tracker.is_suspected("a")


def test_failure_share_of_one_half_suspects():
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
    """If most upstreams are suspected, the rest cannot carry the load, so all are used."""
    assert suspicion.is_panic(suspected, known) == panic


def test_probes_are_bounded_and_start_after_the_hold_time():
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


def end_suspicion(tracker, name, now):
    for _ in range(RULES.successes_to_return):
        assert tracker.due_probes(now) == [name]
        tracker.record_probe(name, True, now)


def test_two_successful_probes_end_a_suspicion_and_start_a_ramp():
    tracker = suspect("a")
    end_suspicion(tracker, "a", 2000)
    assert not tracker.is_suspected("a")
    assert tracker.ramp_share("a", 2000, 10_000) == 250
    assert tracker.ramp_share("a", 12_000, 10_000) == messages.FULL_RAMP
    assert tracker.ramp_share("never", 0, 10_000) == messages.FULL_RAMP


def test_hold_time_of_a_flapping_peer_doubles():
    """Each return of a peer that fails again at once costs callers some failures."""
    tracker = suspicion.Suspicion(RULES)
    now, holds = 0, []
    for _ in range(4):
        suspect("a", now=now, tracker=tracker)
        until = tracker.peers["a"].suspected_until
        holds.append(until - now)
        now = until
        end_suspicion(tracker, "a", now)
    assert holds == [2000, 4000, 8000, 16_000]


def test_record_is_removed_after_a_time_without_failures():
    tracker = suspect("a")
    end_suspicion(tracker, "a", 2000)
    tracker.record_success("a", 100_000)
    assert "a" in tracker.peers
    tracker.record_success("a", 2000 + 2 * RULES.forgive_after_ms + 1)
    assert tracker.peers == {}


def test_records_are_bounded():
    tracker = suspicion.Suspicion(RULES)
    for i in range(suspicion.MAX_PEERS + 10):
        tracker.record_failure(f"p{i}", 0)
    assert len(tracker.peers) == suspicion.MAX_PEERS
    tracker.retain({"p1"})
    assert list(tracker.peers) == ["p1"]
