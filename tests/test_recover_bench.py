"""Check how `benches/recover.py` judges a recovery."""

from benches import recover


def second(at, took_ms, answered=True):
    return [recover.Sample(at + n / 10, took_ms, answered) for n in range(10)]


def samples_of(latencies):
    return [sample for at, took in enumerate(latencies) for sample in second(at, took)]


def test_a_recovery_is_the_first_of_three_good_seconds():
    latencies = [20, 20, 900, 900, 30, 800, 30, 20, 20, 20, 20]
    assert recover.recovery_s(samples_of(latencies), usual=20, ended=4.2) == 2
    assert recover.recovery_s(samples_of(latencies[:8]), usual=20, ended=4.2) is None


def test_a_second_with_a_request_that_was_not_answered_is_not_good():
    samples = samples_of([20] * 8) + [recover.Sample(3.5, 20, False)]
    assert recover.recovery_s(samples, usual=20, ended=3.0) == 1


def test_the_latency_that_a_share_of_requests_keeps():
    assert recover.percentile(samples_of([10, 20]), 0.95) == 20
    assert recover.percentile(samples_of([10, 20]), 0.2) == 10
