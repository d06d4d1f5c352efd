"""Track the load of a sidecar's own upstream and of its siblings.

A sidecar sends a `LoadReport` to a bounded set of the other sidecars of its service, about once a
second and sooner after a large change of its load. A report holds what the sidecar itself observes:
the flows that it holds and the requests that it runs. Load that the upstream reports can only add
to that (`ReportedLoad`).

Times are in milliseconds. The age of a report is measured from its arrival by the receiver's clock,
so it does not depend on synchronized clocks.
"""

import collections
import dataclasses
import typing

from ebonystile.core import view
from ebonystile.peer import messages

IN_FLIGHT_MS = 20
"""Opens sent within this time (ms) before a report arrived are assumed to be missing from it."""

MAX_SIBLINGS = 256
"""Siblings kept in a table; reports of further ones are dropped."""

MAX_RECENT_SENDS = 1024
"""Opens remembered as sent to one sibling."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """The load of an upstream, as compared with others, if it were given one more flow.

    `work` is requests per slot and `flows` is flows per slot, both with the new flow counted in;
    `age_ms` is the age of the report (ms).
    """

    name: str
    zone: str
    work: float
    flows: float
    latency_ms: int
    has_capacity: bool
    suspected: bool
    age_ms: int = 0


def make_candidate(load: messages.LoadReport, sent: int = 0, age_ms: int = 0) -> Candidate:
    """Return the load as it compares with others, with `sent` more opens counted in."""
    return Candidate(
        load.name,
        load.zone,
        (load.work + sent + 1) / load.weight,
        (load.flows + sent + 1) / load.weight,
        load.latency,
        load.flows + sent < load.connections and not load.leaving,
        load.suspected,
        age_ms,
    )


@dataclasses.dataclass(slots=True)
class Sibling:
    """A sibling's last report, its time of arrival, and the times of the opens sent since then."""

    load: messages.LoadReport
    received_at: int
    sent_at: collections.deque[int]


class LoadTable:
    """The last reports of the siblings, and the opens passed to each of them since.

    Between two reports all sidecars see the same least loaded sibling and could send it all opens
    (herding). Opens that this sidecar sent count as load until a later report can contain them,
    which bounds how many it sends on the basis of one report; `placement.PowerOfTwo.work_gap`
    bounds how many all sidecars send together.
    """

    def __init__(self, stale_after_ms: int = 3000, limit: int = MAX_SIBLINGS):
        self.stale_after_ms = stale_after_ms
        self.limit = limit
        self.siblings: dict[str, Sibling] = {}

    def record_report(self, load: messages.LoadReport, now: int) -> bool:
        """Store a sibling's report; return whether it is newer than the stored one.

        A report that arrives after a later one of the same incarnation is dropped, so that a
        delayed datagram cannot make a busy sibling look idle.
        """
        sibling = self.siblings.get(load.name)
        if sibling is None:
            if len(self.siblings) >= self.limit:
                return False
            self.siblings[load.name] = Sibling(
                load, now, collections.deque(maxlen=MAX_RECENT_SENDS)
            )
            return True
        if sibling.load.incarnation == load.incarnation and load.at <= sibling.load.at:
            return False
        while sibling.sent_at and sibling.sent_at[0] < now - IN_FLIGHT_MS:
            sibling.sent_at.popleft()
        sibling.load = load
        sibling.received_at = now
        return True

    def record_sent(self, name: str, now: int) -> None:
        """Record an open that was passed to the sibling."""
        if name in self.siblings:
            self.siblings[name].sent_at.append(now)

    def candidate(self, name: str, now: int) -> Candidate | None:
        """Return the sibling's load, or None if it is unknown or its report is too old.

        A report is valid for `stale_after_ms` only: a frozen sidecar would otherwise keep looking
        as idle as in its last report.
        """
        sibling = self.siblings.get(name)
        if sibling is None or now - sibling.received_at > self.stale_after_ms:
            return None
        return make_candidate(sibling.load, len(sibling.sent_at), now - sibling.received_at)

    def is_leaving(self, name: str) -> bool:
        """Return whether the sibling's last report shows it as leaving."""
        sibling = self.siblings.get(name)
        return sibling is not None and sibling.load.leaving

    def retain(self, names: typing.Container[str]) -> None:
        """Remove every sibling that is not in `names`."""
        self.siblings = {n: s for n, s in self.siblings.items() if n in names}


class Reporter:
    """Decide when a sidecar reports its load, and to which siblings.

    A report is due at least every `interval_ms`. Where requests are shorter than that, a report of
    that age does not show which siblings are busy now, so a change of work by `work_step` is
    reported earlier, but no sooner than `min_gap_ms` after the last report, which bounds the
    control traffic.
    """

    def __init__(
        self, interval_ms: int = 1000, min_gap_ms: int = 100, work_step: int = 2, fanout: int = 8
    ):
        self.interval_ms = interval_ms
        self.min_gap_ms = min_gap_ms
        self.work_step = work_step
        self.fanout = fanout
        self.last: messages.LoadReport | None = None

    def can_report(self, now: int, leaving: bool) -> bool:
        """Return whether a report can be due, which avoids computing the load if it cannot."""
        last = self.last
        return last is None or now - last.at >= self.min_gap_ms or leaving != last.leaving

    def record_if_due(self, load: messages.LoadReport, now: int) -> bool:
        """Return whether `load` is to be reported now; if so, record it as the last report."""
        last = self.last
        if last is not None:
            waited = now - last.at
            state_changed = (load.leaving, load.suspected) != (last.leaving, last.suspected)
            work_changed = abs(load.work - last.work) >= self.work_step
            if not (
                state_changed
                or waited >= self.interval_ms
                or (work_changed and waited >= self.min_gap_ms)
            ):
                return False
        self.last = dataclasses.replace(load, at=now)
        return True

    def receivers(
        self, own_key: int, siblings: typing.Iterable[view.Endpoint]
    ) -> list[view.Endpoint]:
        """Return at most `fanout` siblings to report to.

        Siblings form a ring in the order of their keys; each reports to those 1, 2, 4, 8, ...
        places further on. So each sidecar receives as many reports as it sends, without any
        coordination, and an overload spreads over a service of any size within a few steps.
        """
        ring = sorted((s for s in siblings if s.key != own_key), key=lambda s: s.key)
        if len(ring) <= self.fanout:
            return ring
        position = sum(1 for s in ring if s.key < own_key)
        size = len(ring) + 1
        doubling = [1 << i for i in range(self.fanout) if 1 << i < size]
        offsets = dict.fromkeys([*doubling, *range(1, size)])
        return [ring[(position + s - 1) % len(ring)] for s in list(offsets)[: self.fanout]]


class IdleFlows:
    """Count the flows opened within the last `window_ms` that have sent no request yet."""

    def __init__(self, window_ms: int = 200, limit: int = 4096):
        self.window_ms = window_ms
        self.limit = limit
        self.opened: dict[bytes, int] = {}

    def add(self, flow: bytes, now: int) -> None:
        """Add a flow that was just opened."""
        if len(self.opened) < self.limit:
            self.opened.setdefault(flow, now)

    def remove(self, flow: bytes) -> None:
        """Remove a flow that has sent a request; the request itself counts as work from now on."""
        self.opened.pop(flow, None)

    def count(self, now: int) -> int:
        """Return the number of flows in the window, after removing those that have left it."""
        while self.opened:
            flow, at = next(iter(self.opened.items()))
            if now - at <= self.window_ms:
                break
            del self.opened[flow]
        return len(self.opened)


class ReportedLoad:
    """Let the load that an upstream reports for itself raise, but never lower, the observed load.

    An upstream that reports itself idle gets no additional work. One that reports itself busy
    counts as busier than observed, by at most its slots, so a wrong report can only reduce its own
    share. A value that has not changed for `stale_after_ms` is ignored, so that one stuck reading
    cannot starve an upstream for good.
    """

    def __init__(self, stale_after_ms: int = 30_000):
        self.stale_after_ms = stale_after_ms
        self.reported = 0
        self.changed_at: int | None = None

    def record_report(self, work: int, now: int) -> None:
        """Set the number of requests that the upstream reports."""
        if self.changed_at is None or work != self.reported:
            self.reported = work
            self.changed_at = now

    def excess(self, observed: int, slots: int, now: int) -> int:
        """Return the number of requests to add to the observed ones."""
        if self.changed_at is None or now - self.changed_at > self.stale_after_ms:
            return 0
        return max(0, min(self.reported - observed, slots))


@dataclasses.dataclass(frozen=True, slots=True)
class Ramp:
    """The weight of an upstream in slow start: linear from `initial_share` at `since` to the whole.

    `initial_share` is in thousandths; the whole weight is reached after `duration_ms`.
    """

    since: int
    duration_ms: int = 30_000
    initial_share: int = 250

    def share_at(self, now: int) -> int:
        """Return the share of the weight at `now`, in thousandths."""
        if self.duration_ms <= 0 or now >= self.since + self.duration_ms:
            return messages.FULL_RAMP
        elapsed_ms = max(0, now - self.since)
        return (
            self.initial_share
            + (messages.FULL_RAMP - self.initial_share) * elapsed_ms // self.duration_ms
        )
