"""Check that an upstream gets only what it can end in time, and that refusals part the callers."""

import random

import pytest

from ebonystile.core.calls import limits

CHANCE = random.Random(3)


def limiter(**given):
    return limits.Limiter(limits.Limits(**given))


def taught(mean, **given):
    """Return a limiter that knows that requests of service s take `mean` ms."""
    one = limiter(**given)
    one.admit(b"0", "s", 10**9, 0, CHANCE)
    one.finish(b"0", limits.Outcome.DONE, mean)
    return one


def admit(one, key, deadline, now, service="s"):
    return one.admit(key, service, deadline, now, CHANCE)


def test_slots_then_queue_then_refusal():
    one = limiter(slots=2, queue=1)
    kinds = [type(admit(one, bytes([i]), 10**6, 0)) for i in range(4)]
    assert kinds == [limits.Run, limits.Run, limits.Queue, limits.Refuse]


def test_refuses_at_once_what_would_be_too_late():
    """One slot is busy with requests of 100 ms; a second request must end within 150 ms.

    Queued, it would start at 100 and pass its deadline while it runs: a slot wasted and a caller
    in doubt. It is refused when it comes, and told when to come back.
    """
    one = taught(100, slots=1)
    assert admit(one, b"a", 10**6, 1000) == limits.Run()
    refused = admit(one, b"b", 1150, 1000)
    assert refused.reason == "would be too late"
    assert refused.retry_at >= 1100
    assert admit(one, b"c", 1250, 1000) == limits.Queue(1100)


def test_wrong_estimate_cannot_refuse_for_ever():
    one = taught(60_000, slots=1)
    assert admit(one, b"a", 1100, 1000) == limits.Run()


def test_deadline_passed_is_never_run():
    one = limiter(slots=1)
    assert admit(one, b"a", 1000, 1000).reason == "deadline passed"
    admit(one, b"b", 2000, 1000)
    admit(one, b"c", 1500, 1000)
    admit(one, b"d", 3000, 1000)
    one.finish(b"b", limits.Outcome.DONE, 1600)
    promoted = one.promote(1600, CHANCE)
    assert promoted.started == [b"d"]
    assert [r.key for r in promoted.refused] == [b"c"]


@pytest.mark.parametrize(
    ("order", "first"), [(limits.Order.FIFO, b"late"), (limits.Order.DEADLINE, b"soon")]
)
def test_order_of_the_queue(order, first):
    one = limiter(slots=1, order=order)
    admit(one, b"running", 9000, 0)
    admit(one, b"late", 8000, 0)
    admit(one, b"soon", 5000, 0)
    one.finish(b"running", limits.Outcome.DONE, 100)
    assert one.promote(100, CHANCE).started == [first]


def test_cancellation_frees_slot_and_place():
    one = limiter(slots=1, queue=1)
    admit(one, b"a", 9000, 0)
    admit(one, b"b", 9000, 0)
    assert one.cancel(b"b")
    assert type(admit(one, b"c", 9000, 0)) is limits.Queue
    assert one.cancel(b"a")
    assert one.promote(1, CHANCE).started == [b"c"]
    assert not one.cancel(b"a")
    assert not one.finish(b"a", limits.Outcome.DONE, 2)


def test_refused_callers_do_not_come_back_in_step():
    """An upstream of 2 slots and 100 ms a request can end 20 a second; 100 callers are refused.

    Told the same time, they would come back together and 98 of them be refused again. They are
    told times that no 100 ms has more than a few of.
    """
    one = taught(100, slots=2, queue=0)
    admit(one, b"a", 10**6, 1000)
    admit(one, b"b", 10**6, 1000)
    times = [admit(one, bytes([i]), 10**6, 1000).retry_at for i in range(100)]
    per_step = [sum(1 for t in times if 0 <= t - s < 100) for s in range(1000, 11_000, 100)]
    assert min(times) > 1000
    assert max(times) <= 11_000
    assert max(per_step) <= 4


def test_leaving_gives_up_the_queue_at_once():
    one = limiter(slots=1)
    admit(one, b"a", 9000, 0)
    admit(one, b"b", 9000, 0)
    assert [r.key for r in one.refuse_queued("leaving", 1, CHANCE)] == [b"b"]
    assert list(one.running) == [b"a"]
    assert one.queue == []


def test_shedding_upstream_gets_less_and_then_more_again():
    one = limiter(slots=8)
    for i in range(8):
        admit(one, bytes([i]), 10**6, 0)
    for i in range(8):
        one.finish(bytes([i]), limits.Outcome.SHED, 10)
    assert one.free_slots == 5, "runs that were under way together shrink it once"
    for i in range(200):
        admit(one, b"x", 10**6, 20 + i)
        one.finish(b"x", limits.Outcome.DONE, 21 + i)
    assert one.free_slots == 8


def test_estimates_are_bounded():
    estimates = limits.Estimates()
    for i in range(1000):
        estimates.record(f"s{i}", 10)
    assert len(estimates.means) <= limits.MAX_SERVICES + 1
    assert estimates.mean("s999") == 10
