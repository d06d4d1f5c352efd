"""Count what a carrying daemon does, and serve the figures at the metrics address."""

from collections import abc

from ebonystile import errors, loop, metrics
from ebonystile.carrier import feed, journal, pages
from ebonystile.platform import entries

METRICS_PATH = "/metrics"


class Report:
    """What both programs count; each adds its own to `metrics`."""

    def __init__(
        self,
        owner: loop.Loop,
        log: journal.Journal,
        counts: abc.Mapping[str, int],
        read: feed.Feed,
    ):
        self.owner = owner
        self.log = log
        self.metrics = metrics.make_metrics()
        self.searches: dict[str, metrics.Latency] = {}
        held = self.metrics
        held.tally("events", "Events by their names.", counts, "event")
        held.tally(
            "readings", "Answers and failures of the store and relays.", read.counts, "outcome"
        )
        held.tally("log_lines_left_out", "Lines not logged.", log.left_out, "event")
        held.gauge("view_fresh", "1 while the view is known to be new.", read.is_fresh)
        held.gauge("configuration", "Version of the configuration.", read.version)
        held.gauge("upstreams", "Upstreams listed.", lambda: len(read.fleet.upstreams))

    def note_search(self, outcome: str, searched_ms: int) -> None:
        """Count how long a search for a flow's upstream took, by the event that ended it."""
        latency = self.searches.get(outcome)
        if latency is None:
            latency = self.searches[outcome] = self.metrics.latency(
                "search_seconds", "Time of a search for a flow's upstream.", outcome=outcome
            )
        latency.record(self.owner.now, searched_ms)

    def serve(self, address: str) -> None:
        """Serve the figures; a process that can't carries flows all the same."""
        try:
            pages.Server(self.owner, entries.address_of(address), self.on_request)
        except errors.PeerError as error:
            self.log.event("metrics_not_served", reason=str(error))

    def on_request(self, connection: pages.Connection, target: str) -> None:
        """Answer a request at the metrics address."""
        if target.partition("?")[0] != METRICS_PATH:
            connection.answer(pages.Page(404))
        else:
            connection.answer(pages.Page(200, self.metrics.text(), metrics.TEXT_KIND))
