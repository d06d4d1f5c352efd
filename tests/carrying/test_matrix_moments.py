"""Inject every fault at each step that is no message; see `tests/carrying/matrix.py`.

`scripts/fault-matrix` runs the same cells with more seeds and writes docs/FAULT-MATRIX.md.
"""

import pytest

from tests.carrying import matrix


@pytest.mark.parametrize("step", matrix.MOMENTS)
def test_every_fault_at_one_step(step):
    assert matrix.faults_of(matrix.cases_of_step(step, matrix.TEST_SEEDS)) == []


def test_a_scenario_without_faults_moves_no_flow_and_resets_only_those_of_the_replaced_upstream():
    """Replaced upstreams, restarts and moves by the fabric alone must not disturb other flows."""
    for seed in range(6):
        scenario = matrix.Scenario(matrix.Case("no step", "no fault", seed))
        assert scenario.play() == []
        replaced = scenario.sidecars[1]
        reset = [c for c in scenario.callers.values() if c.resets]
        assert all(scenario.homes[c.flow][0] is replaced for c in reset)
        assert len(scenario.callers) <= matrix.CALLERS + len(reset) + len(scenario.balancers)


def test_every_step_happens_in_a_scenario():
    """A cell whose step never happens would pass without checking anything."""
    missing = [
        step
        for step in matrix.STEPS
        if not any(matrix.play(case)[0] for case in matrix.cases_of_step(step, 1)[-2:])
    ]
    assert missing == []
