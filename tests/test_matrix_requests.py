"""Put every fault at every step of a request; see `tests/matrix.py`.

`scripts/fault-matrix` plays the same cells with more seeds and writes docs/FAULT-MATRIX.md.
"""

import pytest

from tests import matrix


@pytest.mark.parametrize("step", matrix.REQUEST_STEPS)
def test_every_fault_at_one_step(step):
    assert matrix.faults_of(matrix.cases_of_step(step, matrix.TEST_SEEDS)) == []
