"""Test the concurrency limit and the queue of an upstream, and the retry times of refusals."""

import random

import pytest

from ebonystile.core.calls import limits

RANDOMNESS = random.Random(3)


def make_limiter(**given):
    return limits.Limiter(limits.Limits(**given))


def limiter_with_estimate(mean, **given):
    """Return a limiter with an estimate of `mean` ms for requests of service s."""
    limiter = make_limiter(**given)
    limiter.admit(b"0", "s", 10**9, 0, RANDOMNESS)
    limiter.finish(b"0", limits.Outcome.DONE, mean)
    return limiter


def admit(limiter, key, deadline, now, service="s"):
    return limiter.admit(key, service, deadline, now, RANDOMNESS)


def test_slots_then_queue_then_refusal():
    limiter = make_limiter(slots=2, max_queued=1)
    kinds = [type(admit(limiter, bytes([i]), 10**6, 0)) for i in range(4)]
    assert kinds == [limits.Run, limits.Run, limits.Queue, limits.Refuse]


def test_request_that_would_be_too_late_is_refused_at_once():
    """A request that would pass its deadline while it runs must be refused, not queued."""
    limiter = limiter_with_estimate(100, slots=1)
    assert admit(limiter, b"a", 10**6, 1000) == limits.Run()
    refused = admit(limiter, b"b", 1150, 1000)
    assert refused.reason == "would be too late"
    assert refused.retry_at >= 1100
    assert admit(limiter, b"c", 1250, 1000) == limits.Queue(1100)


def test_wrong_estimate_cannot_refuse_for_ever():
    limiter = limiter_with_estimate(60_000, slots=1)
    assert admit(limiter, b"a", 1100, 1000) == limits.Run()


def test_deadline_passed_is_never_run():
    limiter = make_limiter(slots=1)
    assert admit(limiter, b"a", 1000, 1000).reason == "deadline passed"
    admit(limiter, b"b", 2000, 1000)
    admit(limiter, b"c", 1500, 1000)
    admit(limiter, b"d", 3000, 1000)
    limiter.finish(b"b", limits.Outcome.DONE, 1600)
    promoted = limiter.promote(1600, RANDOMNESS)
    assert promoted.started == [b"d"]
    assert [r.key for r in promoted.refused] == [b"c"]


@pytest.mark.parametrize(
    ("order", "first"), [(limits.Order.FIFO, b"late"), (limits.Order.DEADLINE, b"soon")]
)
def test_order_of_the_queue(order, first):
    limiter = make_limiter(slots=1, order=order)
    admit(limiter, b"running", 9000, 0)
    admit(limiter, b"late", 8000, 0)
    admit(limiter, b"soon", 5000, 0)
    limiter.finish(b"running", limits.Outcome.DONE, 100)
    assert limiter.promote(100, RANDOMNESS).started == [first]


def test_cancellation_frees_slot_and_place():
    limiter = make_limiter(slots=1, max_queued=1)
    admit(limiter, b"a", 9000, 0)
    admit(limiter, b"b", 9000, 0)
    assert limiter.cancel(b"b")
    assert type(admit(limiter, b"c", 9000, 0)) is limits.Queue
    assert limiter.cancel(b"a")
    assert limiter.promote(1, RANDOMNESS).started == [b"c"]
    assert not limiter.cancel(b"a")
    assert not limiter.finish(b"a", limits.Outcome.DONE, 2)


def test_retry_times_of_refused_callers_are_spread():
    """Callers refused together must not retry together, as most would be refused again.

    The upstream completes 20 requests per second; the retry times of 100 callers match that rate.
    """
    limiter = limiter_with_estimate(100, slots=2, max_queued=0)
    admit(limiter, b"a", 10**6, 1000)
    admit(limiter, b"b", 10**6, 1000)
    times = [admit(limiter, bytes([i]), 10**6, 1000).retry_at for i in range(100)]
    per_step = [sum(1 for t in times if 0 <= t - s < 100) for s in range(1000, 11_000, 100)]
    assert min(times) > 1000
    assert max(times) <= 11_000
    assert max(per_step) <= 4


def test_leaving_refuses_the_queue_at_once():
    limiter = make_limiter(slots=1)
    admit(limiter, b"a", 9000, 0)
    admit(limiter, b"b", 9000, 0)
    assert [r.key for r in limiter.refuse_queued("leaving", 1, RANDOMNESS)] == [b"b"]
    assert list(limiter.running) == [b"a"]
    assert limiter.queue == []


def test_concurrency_shrinks_while_the_upstream_sheds_and_recovers():
    limiter = make_limiter(slots=8)
    for i in range(8):
        admit(limiter, bytes([i]), 10**6, 0)
    for i in range(8):
        limiter.finish(bytes([i]), limits.Outcome.SHED, 10)
    assert limiter.free_slots == 5, "concurrent runs reduce the concurrency once"
    for i in range(200):
        admit(limiter, b"x", 10**6, 20 + i)
        limiter.finish(b"x", limits.Outcome.DONE, 21 + i)
    assert limiter.free_slots == 8


def test_estimates_are_bounded():
    estimates = limits.Estimates()
    for i in range(1000):
        estimates.record(f"s{i}", 10)
    assert len(estimates.means) <= limits.MAX_SERVICES + 1
    assert estimates.mean("s999") == 10
