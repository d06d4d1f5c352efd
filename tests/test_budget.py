"""Check that retries stay a small share of first attempts and are not synchronized."""

import random

from ebonystile.caller import budget


def test_outage_does_not_multiply_the_load():
    """Guards against a retry storm when every request fails.

    The ten saved retries and one every 5 s are sent, whatever the number of first attempts.
    """
    retry_budget = budget.RetryBudget(budget.Allowance(share=0.1, trickle=0.2, most=10), 0)
    spent = sum(retry_budget.spend(now) for now in range(0, 60_000, 10))
    assert spent == 10 + 11


def test_successes_earn_retries_up_to_a_bound():
    retry_budget = budget.RetryBudget(budget.Allowance(share=0.1, trickle=0, most=2), 0)
    assert [retry_budget.spend(0) for _ in range(3)] == [True, True, False]
    for _ in range(1000):
        retry_budget.record_success()
    assert [retry_budget.spend(0) for _ in range(3)] == [True, True, False]


def test_backoff_grows_to_its_bound_and_is_jittered():
    chance = random.Random(1)
    backoffs = [budget.Backoff(base_ms=50, max_ms=5000) for _ in range(200)]
    waits = [b.next_at(0, chance) for b in backoffs]
    assert len(set(waits)) > 50
    late = [[b.next_at(0, chance) for _ in range(30)][-1] for b in backoffs]
    assert max(late) <= 5000
    assert sum(late) > 3 * sum(waits)


def test_retry_is_never_before_the_time_of_a_refusal():
    backoff = budget.Backoff(base_ms=50)
    assert all(9000 <= backoff.next_at(0, random.Random(i), 9000) <= 9050 for i in range(50))
