"""Fixtures that tests of real processes share."""

import pytest

from standins import processes


@pytest.fixture
def children():
    """Start child processes; all are ended, by their ids, when the test is over."""
    with processes.Children() as started:
        yield started


@pytest.fixture(scope="module")
def module_children():
    """Start child processes that the tests of one module share."""
    with processes.Children() as started:
        yield started
