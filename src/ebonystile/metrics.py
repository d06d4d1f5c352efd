"""Metrics of a process, exposed in the Prometheus text format (version 0.0.4).

Counters and histograms are updated by the thread that owns them, without a lock; the thread that
exposes them only reads them, and may be one event behind.

The text is not written by the `prometheus-client` library, whose imports would delay the start of
the processes on small instances; the tests parse the text with that library.
"""

import dataclasses
import functools
import typing
from collections import abc

from hdrh import histogram

PREFIX = "ebonystile_"
MAX_DURATION_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
WINDOW_MS = 60_000
"""Quantiles cover the last one to two windows; count and sum cover the whole run."""

QUANTILES = (0.5, 0.9, 0.99, 0.999)
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class Counter:
    """A number that only increases: `counter.value += 1`."""

    value: int = 0


class Latency:
    """The distribution of a duration, recorded in ms and exposed in seconds."""

    def __init__(self):
        self.count = 0
        self.sum = 0
        self.window_end = 0
        self.current = make_histogram()
        self.previous = make_histogram()

    def record(self, now: int, duration: int) -> None:
        """Add one duration in ms; the quantiles clamp it to 0 and `MAX_DURATION_MS`."""
        if now >= self.window_end:
            self.rotate_window(now)
        self.count += 1
        self.sum += duration
        self.current.record_value(min(max(duration, 0), MAX_DURATION_MS))

    def rotate_window(self, now: int) -> None:
        """Start a new window; drop durations from before the previous one."""
        stale = now >= self.window_end + WINDOW_MS
        self.previous = make_histogram() if stale else self.current
        self.current = make_histogram()
        self.window_end = now + WINDOW_MS

    def quantiles(self) -> dict[float, int]:
        """Return the durations in ms at `QUANTILES`; empty if nothing was recorded recently."""
        recent = make_histogram()
        recent.add(self.previous)
        recent.add(self.current)
        if not recent.get_total_count():
            return {}
        return {q: recent.get_value_at_percentile(100 * q) for q in QUANTILES}


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of durations in ms (about 18 kB)."""
    return histogram.HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A number that is read at each scrape, in the exposing thread."""

    read: abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Counts by name, in a mapping that its owner keeps updating; `label` holds the name."""

    counts: abc.Mapping[str, int]
    label: str


Metric = Counter | Latency | Gauge | Tally
Labels = tuple[tuple[str, str], ...]

KINDS = {Counter: "counter", Latency: "summary", Gauge: "gauge", Tally: "counter"}


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """A metric name with its help text, and one metric for each set of labels."""

    kind: str
    name: str
    help: str
    series: dict[Labels, Metric]


class Metrics:
    """The metrics registry of one process; create each metric once and keep it."""

    KIND = "text/plain; version=0.0.4"
    """Content type of the text format."""

    def __init__(self):
        self.families: dict[str, Family] = {}

    def counter(self, name: str, help: str, **labels: str) -> Counter:
        """Return the counter of this name and these labels; the suffix `_total` is added."""
        return self.register(name, help, labels, Counter())

    def latency(self, name: str, help: str, **labels: str) -> Latency:
        """Return the latency of this name and these labels; the name should end in `_seconds`."""
        return self.register(name, help, labels, Latency())

    def gauge(self, name: str, help: str, read: abc.Callable[[], float], **labels: str) -> Gauge:
        """Register a gauge that returns `read()`, which must be thread-safe."""
        return self.register(name, help, labels, Gauge(read))

    def tally(self, name: str, help: str, counts: abc.Mapping[str, int], label: str) -> Tally:
        """Register a mapping of counts, whose keys become the values of one label."""
        return self.register(name, help, {}, Tally(counts, label))

    def register(self, name: str, help: str, labels: dict[str, str], metric: Metric) -> typing.Any:
        """Register a metric and return it, or the one registered earlier with these labels."""
        kind = KINDS[type(metric)]
        family = self.families.setdefault(name, Family(kind, PREFIX + name, help, {}))
        if family.kind != kind:
            raise ValueError(f"{name} is a {family.kind}")
        return family.series.setdefault(tuple(sorted(labels.items())), metric)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        lines: list[str] = []
        for family in list(self.families.values()):
            name = family.name + ("_total" if family.kind == "counter" else "")
            lines.append(f"# HELP {name} {escape(family.help)}")
            lines.append(f"# TYPE {name} {family.kind}")
            for labels, metric in list(family.series.items()):
                lines.extend(
                    format_sample(sample) for sample in samples_of(metric, family.name, labels)
                )
        return "\n".join([*lines, ""]).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One line of the text format: a name, its labels and a value."""

    name: str
    labels: Labels
    value: float


@functools.singledispatch
def samples_of(metric: Metric, name: str, labels: Labels) -> list[Sample]:
    """Return the samples of one series."""
    raise TypeError(f"no samples for {type(metric)}")


@samples_of.register
def _(metric: Counter, name: str, labels: Labels) -> list[Sample]:
    return [Sample(name + "_total", labels, metric.value)]


@samples_of.register
def _(metric: Tally, name: str, labels: Labels) -> list[Sample]:
    # Copying is atomic towards other threads; iterating over the mapping itself is not.
    counted = sorted(dict(metric.counts).items())
    return [
        Sample(name + "_total", (*labels, (metric.label, key)), value) for key, value in counted
    ]


@samples_of.register
def _(metric: Gauge, name: str, labels: Labels) -> list[Sample]:
    return [Sample(name, labels, metric.read())]


@samples_of.register
def _(metric: Latency, name: str, labels: Labels) -> list[Sample]:
    quantiles = [
        Sample(name, (*labels, ("quantile", str(quantile))), duration / MS_PER_S)
        for quantile, duration in metric.quantiles().items()
    ]
    return [
        *quantiles,
        Sample(name + "_count", labels, metric.count),
        Sample(name + "_sum", labels, metric.sum / MS_PER_S),
    ]


def format_sample(sample: Sample) -> str:
    """Return a sample as a line of the text format."""
    label_text = ",".join(f'{key}="{escape(value, quoted=True)}"' for key, value in sample.labels)
    return f"{sample.name}{f'{{{label_text}}}' if label_text else ''} {float(sample.value)!r}"


def escape(text: str, *, quoted: bool = False) -> str:
    """Return a text escaped for the text format, as a label value or in a help line."""
    plain = text.replace("\\", "\\\\").replace("\n", "\\n")
    return plain.replace('"', '\\"') if quoted else plain


def make_metrics() -> Metrics:
    """Return an empty registry."""
    return Metrics()
