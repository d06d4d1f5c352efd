"""Name what the cores need of a source of random numbers, which callers pass in, seeded in tests.

`random.Random` fits. The cores may not import it, so that the same input gives the same decision.
"""

import typing


class Rng(typing.Protocol):
    """The part of `random.Random` that the cores use."""

    def random(self) -> float:
        """Return a number from 0 up to but not including 1."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between `a` and `b`."""

    def sample(self, population: typing.Sequence, k: int) -> list:
        """Return `k` different items of the population."""

    def randbytes(self, n: int) -> bytes:
        """Return `n` random bytes."""

    def randrange(self, stop: int) -> int:
        """Return a whole number from 0 up to but not including `stop`."""
