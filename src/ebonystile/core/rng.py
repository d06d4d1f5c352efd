"""Interface of the random number generators that are passed to the cores.

`random.Random` implements it. The cores don't import `random`, so that their decisions depend on
their inputs alone.
"""

import typing


class Rng(typing.Protocol):
    """The methods of `random.Random` that the cores use."""

    def random(self) -> float:
        """Return a number in the interval [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between `a` and `b`."""

    def sample(self, population: typing.Sequence, k: int) -> list:
        """Return `k` different items of the population."""

    def randbytes(self, n: int) -> bytes:
        """Return `n` random bytes."""

    def randrange(self, stop: int) -> int:
        """Return an integer in the interval [0, `stop`)."""
