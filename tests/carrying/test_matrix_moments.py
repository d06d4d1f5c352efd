"""Put every fault at each moment of a day of carried flows; see `tests/carrying/matrix.py`.

`scripts/fault-matrix` plays the same cells with more seeds and writes docs/FAULT-MATRIX.md.
"""

import pytest

from tests.carrying import matrix


@pytest.mark.parametrize("step", matrix.MOMENTS)
def test_every_fault_at_one_step(step):
    assert matrix.faults_of(matrix.cases_of_step(step, matrix.TEST_SEEDS)) == []


def test_a_day_without_faults_moves_no_flow_and_resets_only_those_of_the_replaced_upstream():
    """An upstream leaves and is replaced, processes restart, the fabric moves flows twice.

    Callers with flows at the replaced upstream are told and open anew; all others go on.
    """
    for seed in range(6):
        day = matrix.Day(matrix.Case("no step", "no fault", seed))
        assert day.play() == []
        replaced = day.sidecars[1]
        reset = [c for c in day.callers.values() if c.resets]
        assert all(day.homes[c.flow][0] is replaced for c in reset)
        assert len(day.callers) <= matrix.CALLERS + len(reset) + len(day.balancers)


def test_every_step_happens_in_a_day():
    """A cell whose step never happens would prove nothing and still look well."""
    missing = [
        step
        for step in matrix.STEPS
        if not any(matrix.play(case)[0] for case in matrix.cases_of_step(step, 1)[-2:])
    ]
    assert missing == []
