"""Check that repeats stay a small share of first tries and do not come in step."""

import random

from ebonystile.caller import budget


def test_outage_does_not_multiply_the_load():
    """Every request fails for a minute and each would be repeated at once.

    Ten saved repeats and one each 5 s go out, whatever the number of first tries.
    """
    purse = budget.Budget(budget.Allowance(share=0.1, trickle=0.2, most=10), 0)
    spent = sum(purse.spend(now) for now in range(0, 60_000, 10))
    assert spent == 10 + 11


def test_successes_earn_repeats_up_to_a_bound():
    purse = budget.Budget(budget.Allowance(share=0.1, trickle=0, most=2), 0)
    assert [purse.spend(0) for _ in range(3)] == [True, True, False]
    for _ in range(1000):
        purse.succeeded()
    assert [purse.spend(0) for _ in range(3)] == [True, True, False]


def test_backoff_grows_to_its_bound_and_parts_callers():
    chance = random.Random(1)
    backoffs = [budget.Backoff(base=50, most=5000) for _ in range(200)]
    waits = [b.next_at(0, chance) for b in backoffs]
    assert len(set(waits)) > 50
    late = [[b.next_at(0, chance) for _ in range(30)][-1] for b in backoffs]
    assert max(late) <= 5000
    assert sum(late) > 3 * sum(waits)


def test_time_named_by_a_refusal_is_never_anticipated():
    backoff = budget.Backoff(base=50)
    assert all(9000 <= backoff.next_at(0, random.Random(i), 9000) <= 9050 for i in range(50))
