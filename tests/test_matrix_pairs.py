"""Put two faults together, all pairs of a chosen set; see `tests/matrix.py`.

`scripts/fault-matrix` plays the same cells with more seeds and writes docs/FAULT-MATRIX.md.
"""

import pytest

from ebonystile.core.calls import progress
from tests import matrix


@pytest.mark.parametrize("first", range(len(matrix.PAIRED) - 1))
def test_two_faults_together(first):
    cases = [
        c for c in matrix.cases_of_pairs(matrix.TEST_SEEDS) if c.puts[0] == matrix.PAIRED[first]
    ]
    assert matrix.faults_of(cases) == []


def test_scenario_without_faults_keeps_every_flow():
    """Without faults, replacing an upstream reopens no flow."""
    for seed in range(20):
        scenario = matrix.Scenario(matrix.Case((), seed))
        assert scenario.play() == []
        assert [caller.reopen_count for caller in scenario.callers] == [0, 0, 0, 0]
        ended = [a for a in scenario.checks.requests.values() if a.path != "slow/600"]
        assert all(a.result.outcome is not progress.Outcome.UNKNOWN for a in ended)


def test_same_case_gives_the_same_run():
    case = matrix.Case((("transfer sent", "late duplicate"), ("answered", "loss")), 7)
    runs = [matrix.Scenario(case) for _ in range(2)]
    assert [scenario.play() for scenario in runs] == [[], []]
    assert runs[0].wire.traces == runs[1].wire.traces
