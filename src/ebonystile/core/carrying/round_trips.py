"""Measure the round trips of a balancer's queries to sidecars."""

import collections
import dataclasses

from ebonystile.core import view
from ebonystile.core.carrying import packet

OLDEST_MS, NEWEST_MS = 450, 150
"""Ages in ms of the queries that are evaluated. The newest may still be answered; the oldest are
outdated."""

LATE_MS = 300
"""Age in ms up to which the answer to an older query is evaluated, too: a link with a long queue
answers after more than `OLDEST_MS`."""

LAST_ANSWERS_MS = 1_000
"""Age in ms up to which earlier answers are evaluated if none of the queries evaluated is answered:
a link narrowed to a small share of its rate passes few queries a second."""

LOWEST_WINDOW_MS = 10_000
"""How long the lowest round trip is valid, in ms."""

LOWEST_STEP_MS = 1_000
"""Resolution of that time, in ms."""

MAX_QUERIES = 4_096
"""Limit of the recorded queries, about 150 bytes each."""

KEPT_MS = 3_000
"""How long a query is recorded, in ms."""


@dataclasses.dataclass(slots=True)
class Query:
    """One query: when it was sent and answered, in ms.

    `is_ambiguous` marks one whose round trip is unknown: it was sent again before its answer, which
    may belong to either (Karn and Partridge, 1987), or this process stalled meanwhile.
    """

    sidecar: view.Address
    flow: packet.Flow
    sent_at: int
    answered_at: int | None = None
    is_ambiguous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What the recent queries show.

    Each sidecar has the same weight, so that a slow one does not count for more than one.
    `lateness_ms` is the median by which round trips exceed `lowest_ms`, None without an answer;
    `unanswered` is the share of the queries without an answer, `lost` the same share of those to
    sidecars that have answered another one.
    """

    queries: int = 0
    sidecars: int = 0
    unanswered: float = 0.0
    lost: float = 0.0
    lateness_ms: int | None = None
    lowest_ms: int = 0


class RoundTrips:
    """The recent queries and the lowest round trip."""

    def __init__(self) -> None:
        self.queries: collections.deque[Query] = collections.deque(maxlen=MAX_QUERIES)
        self.outstanding: dict[tuple[view.Address, packet.Flow], Query] = {}
        self.lowest: collections.deque[tuple[int, int]] = collections.deque()

    def record_query(self, sidecar: view.Address, flow: packet.Flow, now: int) -> None:
        """Record that a query about a flow was sent to a sidecar."""
        repeated = self.outstanding.get((sidecar, flow))
        if repeated is not None:
            repeated.is_ambiguous = True
            return
        self.drop_old(now)
        query = Query(sidecar, flow, now)
        self.queries.append(query)
        self.outstanding[sidecar, flow] = query

    def record_answer(self, sidecar: view.Address, flow: packet.Flow, now: int) -> None:
        """Record that a sidecar's answer about a flow was received."""
        query = self.outstanding.pop((sidecar, flow), None)
        if query is None:
            return
        query.answered_at = now
        if not query.is_ambiguous:
            self.record_round_trip(now - query.sent_at, now)

    def record_round_trip(self, round_trip_ms: int, now: int) -> None:
        """Record a round trip among the lowest of each step of time."""
        step = now - now % LOWEST_STEP_MS
        if self.lowest and self.lowest[-1][0] == step:
            _, before = self.lowest.pop()
            round_trip_ms = min(before, round_trip_ms)
        self.lowest.append((step, round_trip_ms))

    def void_outstanding(self) -> None:
        """Mark the queries without an answer, as their round trips would include a stall."""
        for query in self.outstanding.values():
            query.is_ambiguous = True

    def drop_old(self, now: int) -> None:
        """Drop the queries that are not evaluated any more."""
        while self.queries and (
            len(self.queries) == MAX_QUERIES or self.queries[0].sent_at < now - KEPT_MS
        ):
            old = self.queries.popleft()
            if self.outstanding.get((old.sidecar, old.flow)) is old:
                del self.outstanding[old.sidecar, old.flow]

    def lowest_ms(self, now: int) -> int:
        """Return the lowest round trip of the last `LOWEST_WINDOW_MS`, 0 without any."""
        while self.lowest and self.lowest[0][0] <= now - LOWEST_WINDOW_MS - LOWEST_STEP_MS:
            self.lowest.popleft()
        return min((round_trip for _, round_trip in self.lowest), default=0)

    def evidence(self, now: int) -> Evidence:
        """Return what the queries sent between `OLDEST_MS` and `NEWEST_MS` ago show."""
        self.drop_old(now)
        by_sidecar: dict[view.Address, list[Query]] = {}
        for query in self.queries:
            if is_evaluated(query, now):
                by_sidecar.setdefault(query.sidecar, []).append(query)
        if not by_sidecar:
            return Evidence()
        medians = known_medians(by_sidecar) or known_medians(self.last_answered(now))
        lowest = self.lowest_ms(now)
        unanswered = [unanswered_share(queries) for queries in by_sidecar.values()]
        return Evidence(
            queries=sum(map(len, by_sidecar.values())),
            sidecars=len(by_sidecar),
            unanswered=mean(unanswered),
            lost=mean([share for share in unanswered if share < 1]),
            lateness_ms=middle(medians) - lowest if medians else None,
            lowest_ms=lowest,
        )

    def last_answered(self, now: int) -> dict[view.Address, list[Query]]:
        """Return the queries answered in the last `LAST_ANSWERS_MS` by sidecar."""
        by_sidecar: dict[view.Address, list[Query]] = {}
        for query in self.queries:
            if query.answered_at is not None and query.answered_at >= now - LAST_ANSWERS_MS:
                by_sidecar.setdefault(query.sidecar, []).append(query)
        return by_sidecar


def is_evaluated(query: Query, now: int) -> bool:
    """Return whether the query was sent in the window, or answered late and recently."""
    if query.sent_at > now - NEWEST_MS:
        return False
    is_late = query.answered_at is not None and query.answered_at >= now - LATE_MS
    return is_late or query.sent_at >= now - OLDEST_MS


def unanswered_share(queries: list[Query]) -> float:
    """Return the share of the queries without an answer."""
    return sum(query.answered_at is None for query in queries) / len(queries)


def known_medians(by_sidecar: dict[view.Address, list[Query]]) -> list[int]:
    """Return the median round trip of each sidecar for which one is known."""
    medians = [median_ms(queries) for queries in by_sidecar.values()]
    return [median for median in medians if median is not None]


def median_ms(queries: list[Query]) -> int | None:
    """Return the median round trip of the queries, or None if none is known."""
    known = [
        query.answered_at - query.sent_at
        for query in queries
        if query.answered_at is not None and not query.is_ambiguous
    ]
    return middle(known) if known else None


def mean(shares: list[float]) -> float:
    """Return the mean, 0 without any value."""
    return sum(shares) / len(shares) if shares else 0.0


def middle(values: list[int]) -> int:
    """Return the median, the lower one of two."""
    return sorted(values)[(len(values) - 1) // 2]
