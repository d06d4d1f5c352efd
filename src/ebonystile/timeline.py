"""Keep the events of a process in memory, and merge those of many into one ordered time line.

No process has a disk, so each keeps its last events in a bounded ring and gives them to operators
who ask. The merge orders by time, and repairs that order where it is known to be wrong: two
records of one process keep its own sequence, and a record that follows from one of another process
never comes before it, however far the two clocks are apart (Lamport, "Time, clocks, and
the ordering of events in a distributed system", 1978).
"""

import collections
import dataclasses
import heapq
import threading
import typing

Fields = tuple[tuple[str, str], ...]
"""What an event says beyond its ids, as pairs of name and text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One event of one process; `time` is in ms by that process's clock.

    `link` is the id of an exchange that ties records of several processes together, empty where
    there is none; within it a record of a higher `step` follows from those of lower ones.
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
    """Which records are wanted; an empty field takes any. Ids are matched by how they begin."""

    flow: bytes = b""
    request: bytes = b""
    upstream: str = ""
    event: str = ""
    since: int = 0

    def matches(self, record: Record) -> bool:
        """Tell whether the record is wanted."""
        return (
            record.flow.startswith(self.flow)
            and record.request.startswith(self.request)
            and self.upstream in ("", record.upstream)
            and self.event in ("", record.event)
            and record.time >= self.since
        )


class EventRing:
    """The last events of this process; threads may add and read at the same time."""

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
        """Keep one event and return its record; the oldest one goes when the ring is full."""
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

    def select(self, wanted: Filter, limit: int) -> list[Record]:
        """Return the newest `limit` records that the filter takes, oldest first."""
        with self.lock:
            present = list(self.records)
        chosen: list[Record] = []
        for record in reversed(present):
            if len(chosen) >= limit:
                break
            if wanted.matches(record):
                chosen.append(record)
        chosen.reverse()
        return chosen


def make_ring(process: str, role: str, incarnation: int, limit: int) -> EventRing:
    """Return an empty ring for at most `limit` events."""
    return EventRing(process, role, incarnation, limit)


def merge(records: typing.Iterable[Record]) -> list[Record]:
    """Return the records in one order: by time, but never an effect before its cause.

    A record whose cause is later by its clock is put right after the cause. Where causes form a
    circle (ids used twice), the earliest by time goes first, so every record comes out once.
    """
    ordered = sorted(set(records), key=sort_key)
    effects, waiting = causal_graph(ordered)
    ready = [(sort_key(r), n) for n, r in enumerate(ordered) if not waiting[n]]
    heapq.heapify(ready)
    merged: list[Record] = []
    done = [False] * len(ordered)
    oldest = 0
    while len(merged) < len(ordered):
        while done[oldest]:
            oldest += 1
        number = heapq.heappop(ready)[1] if ready else oldest
        if done[number]:
            continue
        done[number] = True
        merged.append(ordered[number])
        for effect in effects[number]:
            waiting[effect] -= 1
            if not waiting[effect] and not done[effect]:
                heapq.heappush(ready, (sort_key(ordered[effect]), effect))
    return merged


def sort_key(record: Record) -> tuple[int, str, int, int]:
    """Return what records are sorted by where nothing is known of cause and effect."""
    return record.time, record.process, record.incarnation, record.sequence


def causal_graph(ordered: list[Record]) -> tuple[list[list[int]], list[int]]:
    """Return the effects of each record by number, and how many causes each one waits for."""
    effects: list[list[int]] = [[] for _ in ordered]
    waiting = [0] * len(ordered)
    for cause, effect in [*process_order(ordered), *link_order(ordered)]:
        effects[cause].append(effect)
        waiting[effect] += 1
    return effects, waiting


def process_order(ordered: list[Record]) -> list[tuple[int, int]]:
    """Return pairs of neighbours in the sequence of each start of each process."""
    by_process = collections.defaultdict(list)
    for number, record in enumerate(ordered):
        by_process[record.process, record.incarnation].append(number)
    pairs = []
    for numbers in by_process.values():
        numbers.sort(key=lambda n: ordered[n].sequence)
        pairs += zip(numbers, numbers[1:], strict=False)
    return pairs


def link_order(ordered: list[Record]) -> list[tuple[int, int]]:
    """Return pairs of records of the same exchange, each with one of the step before."""
    by_link = collections.defaultdict(list)
    for number, record in enumerate(ordered):
        if record.link:
            by_link[record.link].append(number)
    pairs = []
    for numbers in by_link.values():
        numbers.sort(key=lambda n: ordered[n].step)
        for effect in numbers:
            earlier = [n for n in numbers if ordered[n].step < ordered[effect].step]
            pairs += [(cause, effect) for cause in earlier]
    return pairs
