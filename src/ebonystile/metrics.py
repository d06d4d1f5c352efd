"""Count what a process does, and expose it in the Prometheus text format (version 0.0.4).

Counters and histograms are updated by the one thread that owns them, without a lock; the thread
that exposes them only reads, and may be one event behind.
"""

import dataclasses
import functools
import typing
from collections import abc

import prometheus_client
from hdrh import histogram
from prometheus_client import core as prometheus_core

PREFIX = "ebonystile_"
LONGEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
WINDOW_MS = 60_000
"""Quantiles are of the last one to two windows; count and sum of the whole run."""

QUANTILES = (0.5, 0.9, 0.99, 0.999)
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class Counter:
    """A number that only grows: `counter.value += 1`."""

    value: int = 0


class Latency:
    """The distribution of a duration, recorded in ms and exposed in seconds."""

    def __init__(self):
        self.count = 0
        self.sum = 0
        self.window_end = 0
        self.present = make_histogram()
        self.previous = make_histogram()

    def record(self, now: int, duration: int) -> None:
        """Add one duration in ms; a longer one than `LONGEST_MS` counts as that."""
        if now >= self.window_end:
            self.turn(now)
        self.count += 1
        self.sum += duration
        self.present.record_value(min(max(duration, 0), LONGEST_MS))

    def turn(self, now: int) -> None:
        """Start a new window; what is older than the one before is forgotten."""
        stale = now >= self.window_end + WINDOW_MS
        self.previous = make_histogram() if stale else self.present
        self.present = make_histogram()
        self.window_end = now + WINDOW_MS

    def quantiles(self) -> dict[float, int]:
        """Return the durations in ms at `QUANTILES`, empty where nothing was recorded lately."""
        recent = make_histogram()
        recent.add(self.previous)
        recent.add(self.present)
        if not recent.get_total_count():
            return {}
        return {q: recent.get_value_at_percentile(100 * q) for q in QUANTILES}


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of milliseconds (about 18 kB)."""
    return histogram.HdrHistogram(1, LONGEST_MS, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A number that is read whenever somebody asks, from the exposing thread."""

    read: abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Counts by name, in a mapping that its owner goes on changing."""

    counts: abc.Mapping[str, int]
    label: str


Holder = Counter | Latency | Gauge | Tally
Labels = tuple[tuple[str, str], ...]

KINDS = {Counter: "counter", Latency: "summary", Gauge: "gauge", Tally: "counter"}


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """One name with its help text and the holder of the value for each set of labels."""

    kind: str
    name: str
    help: str
    series: dict[Labels, Holder]


class Metrics:
    """All metrics of one process; ask for each once and keep what is returned."""

    def __init__(self):
        self.families: dict[str, Family] = {}
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(self)

    def counter(self, name: str, help: str, **labels: str) -> Counter:
        """Return the counter of this name and these labels; `_total` is added to the name."""
        return self.hold(name, help, labels, Counter())

    def latency(self, name: str, help: str, **labels: str) -> Latency:
        """Return the latency of this name and these labels; let the name end in `_seconds`."""
        return self.hold(name, help, labels, Latency())

    def gauge(self, name: str, help: str, read: abc.Callable[[], float], **labels: str) -> Gauge:
        """Expose what `read` returns; it must be safe to call from another thread."""
        return self.hold(name, help, labels, Gauge(read))

    def tally(self, name: str, help: str, counts: abc.Mapping[str, int], label: str) -> Tally:
        """Expose a mapping of counts, its keys as the values of one label."""
        return self.hold(name, help, {}, Tally(counts, label))

    def hold(self, name: str, help: str, labels: dict[str, str], holder: Holder) -> typing.Any:
        """Return the holder of one series, which is `holder` itself where the series is new."""
        kind = KINDS[type(holder)]
        family = self.families.setdefault(name, Family(kind, PREFIX + name, help, {}))
        if family.kind != kind:
            raise ValueError(f"{name} is a {family.kind}")
        return family.series.setdefault(tuple(sorted(labels.items())), holder)

    def collect(self) -> abc.Iterator[prometheus_core.Metric]:
        """Yield every metric as the library wants it."""
        for family in list(self.families.values()):
            metric = prometheus_core.Metric(family.name, family.help, family.kind)
            for labels, holder in list(family.series.items()):
                add_samples(holder, metric, dict(labels))
            yield metric

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)


@functools.singledispatch
def add_samples(holder: Holder, metric: prometheus_core.Metric, labels: dict[str, str]) -> None:
    """Add the samples of one series to the library's metric."""
    raise TypeError(f"no samples for {type(holder)}")


@add_samples.register
def _(holder: Counter, metric: prometheus_core.Metric, labels: dict[str, str]) -> None:
    metric.add_sample(metric.name + "_total", labels, holder.value)


@add_samples.register
def _(holder: Tally, metric: prometheus_core.Metric, labels: dict[str, str]) -> None:
    # The copy is one step for other threads; a loop over the mapping itself could meet a change.
    for name, value in sorted(dict(holder.counts).items()):
        metric.add_sample(metric.name + "_total", {**labels, holder.label: name}, value)


@add_samples.register
def _(holder: Gauge, metric: prometheus_core.Metric, labels: dict[str, str]) -> None:
    metric.add_sample(metric.name, labels, holder.read())


@add_samples.register
def _(holder: Latency, metric: prometheus_core.Metric, labels: dict[str, str]) -> None:
    for quantile, duration in holder.quantiles().items():
        marked = {**labels, "quantile": str(quantile)}
        metric.add_sample(metric.name, marked, duration / MS_PER_S)
    metric.add_sample(metric.name + "_count", labels, holder.count)
    metric.add_sample(metric.name + "_sum", labels, holder.sum / MS_PER_S)


def make_metrics() -> Metrics:
    """Return an empty set of metrics."""
    return Metrics()
