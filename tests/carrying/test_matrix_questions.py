"""Inject every fault at each question about carried flows; see `tests/carrying/matrix.py`.

`scripts/fault-matrix` runs the same cells with more seeds and writes docs/FAULT-MATRIX.md.
"""

import pytest

from tests.carrying import matrix


@pytest.mark.parametrize("step", matrix.QUESTION_STEPS)
def test_every_fault_at_one_step(step):
    assert matrix.faults_of(matrix.cases_of_step(step, matrix.TEST_SEEDS)) == []
