"""Let an upstream's health and load reports lag, freeze or lie, as real ones do."""

import typing

Report = dict[str, typing.Any]


class Reporter:
    """Answer with a report as it was `lag_ms` ago, as it was when frozen, or with a lie.

    Reports are kept as they are read, so a lagging one is exact to one reading interval.
    """

    KEPT = 4096

    def __init__(self) -> None:
        self.lag_ms = 0
        self.frozen = False
        self.lie: Report | None = None
        self.history: list[tuple[int, Report]] = []

    def tell(self, now: int, truth: Report) -> Report:
        """Return what the upstream says at `now` when `truth` holds."""
        self.history.append((now, truth))
        del self.history[: -self.KEPT]
        told = self.past(now)
        return {**told, **(self.lie or {})}

    def past(self, now: int) -> Report:
        """Return the newest report that is old enough to be told."""
        if self.frozen:
            return self.history[0][1]
        old = [report for time, report in self.history if time <= now - self.lag_ms]
        return old[-1] if old else self.history[0][1]

    def change(self, lag_ms: int, frozen: bool, lie: Report | None) -> None:
        """Take over the faults that a test asks for."""
        if frozen and not self.frozen:
            del self.history[:-1]
        self.lag_ms = lag_ms
        self.frozen = frozen
        self.lie = lie
