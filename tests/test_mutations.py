"""The list of safeguards that `scripts/mutants` takes out must match the code."""

import pathlib

import pytest

from tests import mutations

ROOT = pathlib.Path(__file__).parents[1]


@pytest.mark.parametrize("mutation", mutations.MUTATIONS, ids=lambda mutation: mutation.name)
def test_the_text_of_a_safeguard_stands_in_its_file(mutation):
    """Otherwise nothing would be taken out, and only a run of the mutants would show it."""
    assert mutation.old in (ROOT / mutation.path).read_text()
    assert mutation.new != mutation.old


def test_the_names_of_safeguards_are_unique():
    """A mutant is chosen by its name."""
    names = [mutation.name for mutation in mutations.MUTATIONS]
    assert len(names) == len(set(names))
