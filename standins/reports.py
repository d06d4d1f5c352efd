"""Health and load reports with injected faults: delayed, frozen or false."""

import typing

Report = dict[str, typing.Any]


class Reporter:
    """Returns a report as of `lag_ms` ago or as of the freeze, with the fields of `lie` replaced.

    Reports are stored when they are read, so the lag is exact to one read interval.
    """

    KEPT = 4096

    def __init__(self) -> None:
        self.lag_ms = 0
        self.frozen = False
        self.lie: Report | None = None
        self.history: list[tuple[int, Report]] = []

    def report(self, now: int, truth: Report) -> Report:
        """Return the report given at `now`, where `truth` is the correct one."""
        self.history.append((now, truth))
        del self.history[: -self.KEPT]
        report = self.delayed(now)
        return {**report, **(self.lie or {})}

    def delayed(self, now: int) -> Report:
        """Return the newest stored report that is at least `lag_ms` old."""
        if self.frozen:
            return self.history[0][1]
        old = [report for time, report in self.history if time <= now - self.lag_ms]
        return old[-1] if old else self.history[0][1]

    def set_faults(self, lag_ms: int, frozen: bool, lie: Report | None) -> None:
        """Set the injected faults."""
        if frozen and not self.frozen:
            del self.history[:-1]
        self.lag_ms = lag_ms
        self.frozen = frozen
        self.lie = lie
