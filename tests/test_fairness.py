"""Test that an overloaded balancer shares its capacity fairly among services and callers."""

import random

from ebonystile.core import fairness

SECOND = 1000


def accepted_shares(opens, *, capacity=100, seconds=10, lag=0):
    """Offer opens, given as (service, caller, rate per second); return the accepted shares."""
    randomness = random.Random(5)
    gate = fairness.Gate(fairness.Bounds(opens_per_second=capacity))
    accepted = dict.fromkeys(((s, c) for s, c, _ in opens), 0)
    offered = dict(accepted)
    for now in range(seconds * SECOND):
        gate.observe(lag, now)
        for service, caller, rate in opens:
            if randomness.random() < rate / SECOND:
                answer = gate.admit(service, caller, now + 5000, now, randomness)
                if now >= SECOND * 2:
                    offered[service, caller] += 1
                    accepted[service, caller] += isinstance(answer, fairness.Accept)
    return {key: accepted[key] / max(1, offered[key]) for key in accepted}


def test_all_are_served_below_capacity():
    assert set(accepted_shares([("a", "x", 30), ("b", "y", 30)]).values()) == {1.0}


def test_one_service_cannot_starve_another():
    """A service far above the capacity must not cause refusals for one below its fair share."""
    served = accepted_shares([("a", "x", 1000), ("b", "y", 20)])
    assert served["b", "y"] > 0.95
    assert 0.05 < served["a", "x"] < 0.12


def test_one_caller_cannot_starve_another_of_its_service():
    served = accepted_shares([("a", "greedy", 1000), ("a", "modest", 10)])
    assert served["a", "modest"] > 0.9
    assert served["a", "greedy"] < 0.15


def test_lag_reduces_the_accepted_share():
    assert accepted_shares([("a", "x", 90)], lag=200)["a", "x"] < 0.2
    assert accepted_shares([("a", "x", 90)], lag=0)["a", "x"] == 1.0


def test_open_that_would_be_too_late_is_refused_at_once():
    randomness = random.Random(1)
    gate = fairness.Gate(fairness.Bounds())
    gate.observe(40, 0)
    late = gate.admit("a", "x", 40, 0, randomness)
    assert late.reason == "would be too late"
    assert 200 <= late.retry_at <= 5000
    assert gate.admit("a", "x", 41, 0, randomness) == fairness.Accept()


def test_state_is_bounded_and_decays():
    randomness = random.Random(1)
    gate = fairness.Gate(fairness.Bounds())
    for i in range(20_000):
        gate.admit(f"s{i}", f"c{i}", 10**6, 0, randomness)
    assert len(gate.services) <= fairness.MAX_SERVICES + 1
    callers = sum(len(entry.caller_rates) for entry in gate.services.values())
    assert callers <= fairness.MAX_BUCKETS + fairness.MAX_SERVICES + 1
    gate.observe(0, 60_000)
    assert gate.services == {}
    assert gate.bucket_count == 0


def test_fair_share():
    assert fairness.fair_share([10, 20, 30], 100) == float("inf")
    assert fairness.fair_share([10, 100, 100], 110) == 50
