"""Collect the metrics of a carrier daemon and serve them at the metrics address.

The metrics library is imported some seconds after the start, or at the first request, because its
import would delay the first packet after a restart.
"""

import collections
import dataclasses
import math
import typing
from collections import abc

from ebonystile import clock, errors, loop
from ebonystile.carrier import feed, journal, pages
from ebonystile.platform import entries

if typing.TYPE_CHECKING:
    from ebonystile import metrics

METRICS_PATH = "/metrics"
LOAD_AFTER_MS = 5_000
"""Delay of the metrics import after the start, in ms; recovery is over by then."""

MAX_EARLY_DURATIONS = 2_000
"""Durations kept until the metrics are loaded; enough for a balancer's searches in 5 s."""


SEARCHES = "search_seconds"
ANSWERS = "run_seconds"
LINK_WAITS = "link_wait_seconds"
HELP = {
    SEARCHES: "Time of a search for a flow's upstream.",
    ANSWERS: "Time from a request's last packet to its answer's first.",
    LINK_WAITS: "Time that a datagram waited for the link.",
}
LABELS = {LINK_WAITS: "level"}
"""Labels that tell the series of a histogram apart, where it is not the outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duration:
    """A measured duration of `ms` that ended at `at` (ms); `outcome` is its label, "" for none."""

    at: int
    ms: int
    name: str
    outcome: str


class Report:
    """The metrics of one daemon; `add_program_metrics` registers those of its program."""

    def __init__(
        self,
        event_loop: loop.Loop,
        log: journal.Journal,
        counts: abc.Mapping[str, int],
        store_feed: feed.StoreFeed,
        add_program_metrics: "abc.Callable[[metrics.Metrics], None]",
    ):
        self.event_loop = event_loop
        self.log = log
        self.counts = counts
        self.store_feed = store_feed
        self.add_program_metrics = add_program_metrics
        self.metrics: metrics.Metrics | None = None
        self.latencies: dict[tuple[str, str], metrics.Latency] = {}
        self.early_durations: collections.deque[Duration] = collections.deque(
            maxlen=MAX_EARLY_DURATIONS
        )
        event_loop.call_at(clock.now() + LOAD_AFTER_MS, self.load)

    def load(self) -> "metrics.Metrics":
        """Return the metrics, created at the first call."""
        if self.metrics is not None:
            return self.metrics
        from ebonystile import metrics

        self.metrics = registry = metrics.make_metrics()
        store_feed = self.store_feed
        registry.tally("events", "Events by their names.", self.counts, "event")
        registry.tally(
            "readings",
            "Answers and failures of the store and relays.",
            store_feed.counts,
            "outcome",
        )
        registry.tally("log_lines_left_out", "Lines not logged.", self.log.left_out, "event")
        registry.gauge("view_fresh", "1 while the view is current.", store_feed.is_current)
        registry.gauge(
            "view_age_seconds",
            "Time since the view was last known to match the store, +Inf if never.",
            lambda: age_seconds(store_feed.age_ms()),
        )
        registry.gauge("store_epoch", "Epoch of the store.", lambda: store_feed.reader.epoch or 0)
        registry.gauge("configuration", "Version of the configuration.", store_feed.version)
        registry.gauge("upstreams", "Upstreams listed.", lambda: len(store_feed.fleet.upstreams))
        self.add_program_metrics(registry)
        for duration in self.early_durations:
            self.record_duration(duration)
        self.early_durations.clear()
        return registry

    def record_search(self, outcome: str, searched_ms: int) -> None:
        """Record how long a search for a flow's upstream took, by the event that ended it."""
        self.record_duration(Duration(self.event_loop.now, searched_ms, SEARCHES, outcome))

    def record_answer(self, now: int, took_ms: int) -> None:
        """Record how long the upstream took to answer a request."""
        self.record_duration(Duration(now, took_ms, ANSWERS, ""))

    def record_link_wait(self, now: int, waited_ms: int, level: str) -> None:
        """Record how long a datagram waited for the link, by its level.

        Before the metrics are loaded it is left out, as it would crowd out other durations.
        """
        if self.metrics is not None:
            self.latency(LINK_WAITS, level).record(now, waited_ms)

    def record_duration(self, duration: Duration) -> None:
        """Add a duration to its histogram, or keep it until the metrics are loaded."""
        if self.metrics is None:
            self.early_durations.append(duration)
            return
        self.latency(duration.name, duration.outcome).record(duration.at, duration.ms)

    def latency(self, name: str, outcome: str = "") -> "metrics.Latency":
        """Return the histogram of this name and outcome; the metrics must be loaded."""
        found = self.latencies.get((name, outcome))
        if found is None:
            labels = {LABELS.get(name, "outcome"): outcome} if outcome else {}
            found = self.metrics.latency(name, HELP[name], **labels)
            self.latencies[name, outcome] = found
        return found

    def serve(self, address: str) -> None:
        """Serve the metrics; only log an error if the address can't be used."""
        try:
            pages.Server(self.event_loop, entries.address_of(address), self.on_request)
        except errors.PeerError as error:
            self.log.event("metrics_not_served", reason=str(error))

    def on_request(self, connection: pages.Connection, target: str) -> None:
        """Answer an HTTP request at the metrics address."""
        if target.partition("?")[0] != METRICS_PATH:
            connection.answer(pages.Response(404))
        else:
            registry = self.load()
            connection.answer(pages.Response(200, registry.text(), registry.KIND))


def age_seconds(age_ms: int | None) -> float:
    """Return an age in seconds, infinity for None."""
    return math.inf if age_ms is None else age_ms / 1_000
