"""Check which requests the caller library retries, and that it keeps to its retry budget."""

import pytest

from ebonystile import clock, errors
from ebonystile.caller import budget, client
from ebonystile.core.calls import progress

ANSWER = progress.Result(b"r", progress.Outcome.ANSWERED, 200, b"done")


def not_run(wait=0):
    return errors.NotRunError("busy", step="request", peer="s", retry_at=clock.now() + wait)


def unknown():
    return errors.OutcomeUnknownError("home lost", step="request", peer="s")


class FakeFlow:
    """A flow whose requests end with the given outcomes, one after another."""

    def __init__(self, outcomes):
        self.outcomes = outcomes

    def request(self, path, body, deadline, *, idempotent):
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def close(self):
        pass


def ask(outcomes, *, idempotent=False, most=10.0, within=5000):
    """Return the result of `Caller.ask` and the number of outcomes that it left unused."""
    caller = client.make_caller([], allowance=budget.Allowance(most=most, trickle=0))
    caller.open = lambda service, deadline: FakeFlow(outcomes)
    try:
        deadline = clock.now() + within
        return caller.ask("s", "p", b"", deadline, idempotent=idempotent), len(outcomes)
    finally:
        caller.close()


def test_request_that_was_not_run_is_retried():
    assert ask([not_run(), not_run(10), ANSWER]) == (ANSWER, 0)


def test_unknown_outcome_is_retried_only_if_idempotent():
    """Guards against a second run of a request whose home was lost after it may have run."""
    assert ask([unknown(), ANSWER], idempotent=True) == (ANSWER, 0)
    with pytest.raises(errors.OutcomeUnknownError):
        ask([unknown(), ANSWER])


def test_budget_limits_the_retries():
    outcomes = [not_run() for _ in range(9)]
    with pytest.raises(errors.NotRunError):
        ask(outcomes, most=3)
    assert len(outcomes) == 5


def test_no_retry_after_the_deadline():
    outcomes = [not_run(60_000), ANSWER]
    with pytest.raises(errors.NotRunError):
        ask(outcomes, within=1000)
    assert outcomes == [ANSWER]
