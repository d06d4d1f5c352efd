"""Count what a process does, and expose it in the Prometheus text format (version 0.0.4).

Counters and histograms are updated by the one thread that owns them, without a lock; the thread
that exposes them only reads, and may be one event behind.

The text is written here and not by the `prometheus-client` library, which the tests read it with:
its imports would hold up the starts of the carriers on the smallest instances.
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
        self.current = make_histogram()
        self.previous = make_histogram()

    def record(self, now: int, duration: int) -> None:
        """Add one duration in ms; a longer one than `MAX_DURATION_MS` counts as that."""
        if now >= self.window_end:
            self.rotate_window(now)
        self.count += 1
        self.sum += duration
        self.current.record_value(min(max(duration, 0), MAX_DURATION_MS))

    def rotate_window(self, now: int) -> None:
        """Start a new window; what is older than the one before is forgotten."""
        stale = now >= self.window_end + WINDOW_MS
        self.previous = make_histogram() if stale else self.current
        self.current = make_histogram()
        self.window_end = now + WINDOW_MS

    def quantiles(self) -> dict[float, int]:
        """Return the durations in ms at `QUANTILES`, empty where nothing was recorded lately."""
        recent = make_histogram()
        recent.add(self.previous)
        recent.add(self.current)
        if not recent.get_total_count():
            return {}
        return {q: recent.get_value_at_percentile(100 * q) for q in QUANTILES}


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of milliseconds (about 18 kB)."""
    return histogram.HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A number that is read whenever somebody asks, from the exposing thread."""

    read: abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Counts by name, in a mapping that its owner goes on changing."""

    counts: abc.Mapping[str, int]
    label: str


Metric = Counter | Latency | Gauge | Tally
Labels = tuple[tuple[str, str], ...]

KINDS = {Counter: "counter", Latency: "summary", Gauge: "gauge", Tally: "counter"}


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """One name with its help text and the holder of the value for each set of labels."""

    kind: str
    name: str
    help: str
    series: dict[Labels, Metric]


class Metrics:
    """All metrics of one process; ask for each once and keep what is returned."""

    KIND = "text/plain; version=0.0.4"
    """Content type of the text format."""

    def __init__(self):
        self.families: dict[str, Family] = {}

    def counter(self, name: str, help: str, **labels: str) -> Counter:
        """Return the counter of this name and these labels; `_total` is added to the name."""
        return self.register(name, help, labels, Counter())

    def latency(self, name: str, help: str, **labels: str) -> Latency:
        """Return the latency of this name and these labels; let the name end in `_seconds`."""
        return self.register(name, help, labels, Latency())

    def gauge(self, name: str, help: str, read: abc.Callable[[], float], **labels: str) -> Gauge:
        """Expose what `read` returns; it must be safe to call from another thread."""
        return self.register(name, help, labels, Gauge(read))

    def tally(self, name: str, help: str, counts: abc.Mapping[str, int], label: str) -> Tally:
        """Expose a mapping of counts, its keys as the values of one label."""
        return self.register(name, help, {}, Tally(counts, label))

    def register(self, name: str, help: str, labels: dict[str, str], holder: Metric) -> typing.Any:
        """Return the holder of one series, which is `holder` itself where the series is new."""
        kind = KINDS[type(holder)]
        family = self.families.setdefault(name, Family(kind, PREFIX + name, help, {}))
        if family.kind != kind:
            raise ValueError(f"{name} is a {family.kind}")
        return family.series.setdefault(tuple(sorted(labels.items())), holder)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        lines: list[str] = []
        for family in list(self.families.values()):
            name = family.name + ("_total" if family.kind == "counter" else "")
            lines.append(f"# HELP {name} {escape(family.help)}")
            lines.append(f"# TYPE {name} {family.kind}")
            for labels, holder in list(family.series.items()):
                lines.extend(
                    format_sample(sample) for sample in samples_of(holder, family.name, labels)
                )
        return "\n".join([*lines, ""]).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One line of the text: a name, its labels and a value."""

    name: str
    labels: Labels
    value: float


@functools.singledispatch
def samples_of(holder: Metric, name: str, labels: Labels) -> list[Sample]:
    """Return the samples of one series."""
    raise TypeError(f"no samples for {type(holder)}")


@samples_of.register
def _(holder: Counter, name: str, labels: Labels) -> list[Sample]:
    return [Sample(name + "_total", labels, holder.value)]


@samples_of.register
def _(holder: Tally, name: str, labels: Labels) -> list[Sample]:
    # The copy is one step for other threads; a loop over the mapping itself could meet a change.
    counted = sorted(dict(holder.counts).items())
    return [
        Sample(name + "_total", (*labels, (holder.label, key)), value) for key, value in counted
    ]


@samples_of.register
def _(holder: Gauge, name: str, labels: Labels) -> list[Sample]:
    return [Sample(name, labels, holder.read())]


@samples_of.register
def _(holder: Latency, name: str, labels: Labels) -> list[Sample]:
    quantiles = [
        Sample(name, (*labels, ("quantile", str(quantile))), duration / MS_PER_S)
        for quantile, duration in holder.quantiles().items()
    ]
    return [
        *quantiles,
        Sample(name + "_count", labels, holder.count),
        Sample(name + "_sum", labels, holder.sum / MS_PER_S),
    ]


def format_sample(sample: Sample) -> str:
    """Return a sample as a line."""
    marks = ",".join(f'{key}="{escape(value, quoted=True)}"' for key, value in sample.labels)
    return f"{sample.name}{f'{{{marks}}}' if marks else ''} {float(sample.value)!r}"


def escape(text: str, *, quoted: bool = False) -> str:
    """Return a text as the format wants it, within quotes or in a help line."""
    plain = text.replace("\\", "\\\\").replace("\n", "\\n")
    return plain.replace('"', '\\"') if quoted else plain


def make_metrics() -> Metrics:
    """Return an empty set of metrics."""
    return Metrics()
