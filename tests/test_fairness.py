"""Check that a busy balancer serves those who ask for little, whoever asks for much."""

import random

from ebonystile.core.calls import fairness

SECOND = 1000


def run(asks, *, capacity=100, seconds=10, lag=0):
    """Offer opens for a while; `asks` is (service, caller, rate a second). Return shares taken."""
    chance = random.Random(5)
    gate = fairness.Gate(fairness.Bounds(opens_per_second=capacity))
    taken = dict.fromkeys(((s, c) for s, c, _ in asks), 0)
    offered = dict(taken)
    for now in range(seconds * SECOND):
        gate.observe(lag, now)
        for service, caller, rate in asks:
            if chance.random() < rate / SECOND:
                answer = gate.admit(service, caller, now + 5000, now, chance)
                if now >= SECOND * 2:
                    offered[service, caller] += 1
                    taken[service, caller] += isinstance(answer, fairness.Accept)
    return {who: taken[who] / max(1, offered[who]) for who in taken}


def test_all_are_served_below_capacity():
    assert set(run([("a", "x", 30), ("b", "y", 30)]).values()) == {1.0}


def test_one_service_cannot_starve_another():
    """Service `a` asks for ten times what the balancer carries, `b` for a fifth of it.

    Refused by lot alike, nine of ten of b's callers would be turned away for a's sake.
    """
    served = run([("a", "x", 1000), ("b", "y", 20)])
    assert served["b", "y"] > 0.95
    assert 0.05 < served["a", "x"] < 0.12


def test_one_caller_cannot_starve_another_of_its_service():
    served = run([("a", "greedy", 1000), ("a", "modest", 10)])
    assert served["a", "modest"] > 0.9
    assert served["a", "greedy"] < 0.15


def test_lag_lowers_what_is_taken():
    assert run([("a", "x", 90)], lag=200)["a", "x"] < 0.2
    assert run([("a", "x", 90)], lag=0)["a", "x"] == 1.0


def test_open_that_would_be_too_late_is_refused_at_once():
    chance = random.Random(1)
    gate = fairness.Gate(fairness.Bounds())
    gate.observe(40, 0)
    late = gate.admit("a", "x", 40, 0, chance)
    assert late.reason == "would be too late"
    assert 200 <= late.retry_at <= 5000
    assert gate.admit("a", "x", 41, 0, chance) == fairness.Accept()


def test_state_is_bounded_and_fades():
    chance = random.Random(1)
    gate = fairness.Gate(fairness.Bounds())
    for i in range(20_000):
        gate.admit(f"s{i}", f"c{i}", 10**6, 0, chance)
    assert len(gate.services) <= fairness.MAX_SERVICES + 1
    callers = sum(len(entry.callers) for entry in gate.services.values())
    assert callers <= fairness.MAX_BUCKETS + fairness.MAX_SERVICES + 1
    gate.observe(0, 60_000)
    assert gate.services == {}
    assert gate.bucket_count == 0


def test_fair_share():
    assert fairness.fair_share([10, 20, 30], 100) == float("inf")
    assert fairness.fair_share([10, 100, 100], 110) == 50
