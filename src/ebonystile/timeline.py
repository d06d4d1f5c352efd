"""Keep the events of a process in memory, and merge those of many into one ordered time line.

Processes have no disk, so each keeps its last events in a bounded ring and returns them to
operators. Merging sorts records by time within the happened-before relation: records of one process
keep their sequence, and an effect never precedes its cause in another process, whatever the clock
skew (Lamport, "Time, clocks, and the ordering of events in a distributed system", 1978).
"""

import collections
import dataclasses
import heapq
import threading
import typing

Fields = tuple[tuple[str, str], ...]
"""The fields of an event apart from its ids, as pairs of name and text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One event of one process; `time` is in ms by that process's clock.

    `link` is the id of an exchange between processes, empty if there is none; within an exchange,
    records with a lower `step` are causes of those with a higher one.
    """

    KIND: typing.ClassVar[int] = 1
    time: int
    process: str
    role: str
    incarnation: int
    sequence: int
    event: str
    flow: bytes = b""
    request: bytes = b""
    upstream: str = ""
    link: bytes = b""
    step: int = 0
    fields: Fields = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Criteria for records; an empty field matches any, and ids are matched by prefix."""

    flow: bytes = b""
    request: bytes = b""
    upstream: str = ""
    event: str = ""
    since: int = 0

    def matches(self, record: Record) -> bool:
        """Return whether the record meets all criteria."""
        return (
            record.flow.startswith(self.flow)
            and record.request.startswith(self.request)
            and self.upstream in ("", record.upstream)
            and self.event in ("", record.event)
            and record.time >= self.since
        )


class EventRing:
    """The last events of this process; thread-safe."""

    def __init__(self, process: str, role: str, incarnation: int, limit: int):
        self.process = process
        self.role = role
        self.incarnation = incarnation
        self.records: collections.deque[Record] = collections.deque(maxlen=limit)
        self.sequence = 0
        self.lock = threading.Lock()

    def add(
        self,
        now: int,
        event: str,
        *,
        flow: bytes = b"",
        request: bytes = b"",
        upstream: str = "",
        link: bytes = b"",
        step: int = 0,
        fields: Fields = (),
    ) -> Record:
        """Add one event and return its record; a full ring drops its oldest one."""
        with self.lock:
            self.sequence += 1
            record = Record(
                now,
                self.process,
                self.role,
                self.incarnation,
                self.sequence,
                event,
                flow,
                request,
                upstream,
                link,
                step,
                fields,
            )
            self.records.append(record)
        return record

    def select(self, record_filter: Filter, limit: int) -> list[Record]:
        """Return the newest `limit` records that match the filter, oldest first."""
        with self.lock:
            records = list(self.records)
        selected: list[Record] = []
        for record in reversed(records):
            if len(selected) >= limit:
                break
            if record_filter.matches(record):
                selected.append(record)
        selected.reverse()
        return selected


def make_ring(process: str, role: str, incarnation: int, limit: int) -> EventRing:
    """Return an empty ring for at most `limit` events."""
    return EventRing(process, role, incarnation, limit)


def merge(records: typing.Iterable[Record]) -> list[Record]:
    """Return the distinct records in topological order, by time where it leaves a choice.

    A record that precedes its cause by its clock is placed after the cause. A cycle, which ids used
    twice can cause, is broken at its oldest record.
    """
    ordered = sorted(set(records), key=sort_key)
    effects, pending_causes = causal_graph(ordered)
    ready = [(sort_key(r), n) for n, r in enumerate(ordered) if not pending_causes[n]]
    heapq.heapify(ready)
    merged: list[Record] = []
    done = [False] * len(ordered)
    oldest = 0
    while len(merged) < len(ordered):
        while done[oldest]:
            oldest += 1
        index = heapq.heappop(ready)[1] if ready else oldest
        if done[index]:
            continue
        done[index] = True
        merged.append(ordered[index])
        for effect in effects[index]:
            pending_causes[effect] -= 1
            if not pending_causes[effect] and not done[effect]:
                heapq.heappush(ready, (sort_key(ordered[effect]), effect))
    return merged


def sort_key(record: Record) -> tuple[int, str, int, int]:
    """Return the key by which causally unrelated records are sorted."""
    return record.time, record.process, record.incarnation, record.sequence


def causal_graph(ordered: list[Record]) -> tuple[list[list[int]], list[int]]:
    """Return the effects of each record by index, and the number of causes of each record."""
    effects: list[list[int]] = [[] for _ in ordered]
    pending_causes = [0] * len(ordered)
    for cause, effect in [*process_order(ordered), *link_order(ordered)]:
        effects[cause].append(effect)
        pending_causes[effect] += 1
    return effects, pending_causes


def process_order(ordered: list[Record]) -> list[tuple[int, int]]:
    """Return pairs of adjacent records in the sequence of each incarnation of each process."""
    by_process = collections.defaultdict(list)
    for index, record in enumerate(ordered):
        by_process[record.process, record.incarnation].append(index)
    pairs = []
    for indices in by_process.values():
        indices.sort(key=lambda n: ordered[n].sequence)
        pairs += zip(indices, indices[1:], strict=False)
    return pairs


def link_order(ordered: list[Record]) -> list[tuple[int, int]]:
    """Return pairs of records of the same exchange, each with one of a lower step."""
    by_link = collections.defaultdict(list)
    for index, record in enumerate(ordered):
        if record.link:
            by_link[record.link].append(index)
    pairs = []
    for indices in by_link.values():
        indices.sort(key=lambda n: ordered[n].step)
        for effect in indices:
            earlier = [n for n in indices if ordered[n].step < ordered[effect].step]
            pairs += [(cause, effect) for cause in earlier]
    return pairs
