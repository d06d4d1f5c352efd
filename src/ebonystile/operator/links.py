"""Find in the logs of balancers when their links were busy or narrowed, and for which flows.

A balancer logs `link_busy` and `link_idle` when a backlog in front of its own link begins and ends,
and `link_rate` when it lowers or raises the rate at which it sends. A restart ends both.
"""

import collections
import dataclasses
import typing

from ebonystile.operator import carried

BUSY, IDLE, RATE, START = "link_busy", "link_idle", "link_rate", "start"

EVENTS = frozenset({BUSY, IDLE, RATE, START})
"""Events of a process from which the state of its link follows."""

MARKS = tuple(f"event={event}" for event in sorted(EVENTS))
"""Texts one of which is in each line with such an event."""

MAX_WAIT_MS = 5_000
"""Time after a flow's last line in which its packets may wait in front of a link, in ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """A span of time in which a link was busy or narrowed, and the lines that show it.

    `until` is None if no line shows its end. Times are in ms by the clock of the process.
    """

    process: str
    since: int
    until: int | None
    lines: tuple[carried.Line, ...]

    def overlaps(self, since: int, until: int) -> bool:
        """Return whether the period shares a moment with another one."""
        return self.since <= until and (self.until is None or self.until >= since)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The state of one balancer's link over all lines; `lowest_mbps` is "" if never lowered."""

    process: str
    backlogs: int
    busy_ms: int
    longest_wait_ms: int
    dropped: int
    lowest_mbps: str


def is_narrowed(line: carried.Line) -> bool:
    """Return whether a `link_rate` line puts a rate in force that is below the configured one."""
    return 0 < number(line, "rate_mbps") < number(line, "configured_mbps")


def number(line: carried.Line, field: str) -> float:
    """Return a number of a line, 0 if it is missing or malformed."""
    try:
        return float(line.fields.get(field, ""))
    except ValueError:
        return 0.0


def by_process(lines: typing.Iterable[carried.Line]) -> dict[str, list[carried.Line]]:
    """Return the lines with events of links by process, in their order."""
    grouped: dict[str, list[carried.Line]] = collections.defaultdict(list)
    for line in lines:
        if line.event in EVENTS:
            grouped[line.process].append(line)
    return grouped


def backlogs(lines: typing.Iterable[carried.Line]) -> list[Period]:
    """Return the periods in which the link of one process was busy, from its ordered lines."""
    found = []
    begun = None
    for line in lines:
        if line.event == RATE:
            continue
        if begun is not None:
            shown = (begun, line) if line.event == IDLE else (begun,)
            found.append(Period(line.process, begun.time_ms, line.time_ms, shown))
        begun = line if line.event == BUSY else None
    if begun is not None:
        found.append(Period(begun.process, begun.time_ms, None, (begun,)))
    return found


def narrowings(lines: typing.Iterable[carried.Line]) -> list[Period]:
    """Return the periods in which one process sent at a lowered rate, each with one rate."""
    found = []
    lowered = None
    for line in lines:
        if line.event not in (RATE, START):
            continue
        if lowered is not None:
            found.append(Period(line.process, lowered.time_ms, line.time_ms, (lowered,)))
        lowered = line if line.event == RATE and is_narrowed(line) else None
    if lowered is not None:
        found.append(Period(lowered.process, lowered.time_ms, None, (lowered,)))
    return found


def concerning(
    flow_lines: list[carried.Line], others: typing.Iterable[carried.Line]
) -> list[carried.Line]:
    """Return the lines on links of the flow's processes that were busy or narrowed meanwhile."""
    if not flow_lines:
        return []
    since, until = flow_lines[0].time_ms, flow_lines[-1].time_ms + MAX_WAIT_MS
    processes = {line.process for line in flow_lines}
    shown: list[carried.Line] = []
    for process, lines in by_process(others).items():
        if process not in processes:
            continue
        for period in backlogs(lines):
            if period.overlaps(since, until):
                shown += period.lines
        shown += first_and_lowest_rates([p for p in narrowings(lines) if p.overlaps(since, until)])
    return sorted(shown, key=carried.line_time)


def first_and_lowest_rates(lowered: list[Period]) -> list[carried.Line]:
    """Return the lines of the first and the lowest rate; the steps between them say no more."""
    if not lowered:
        return []
    lines = [line for period in lowered for line in period.lines]
    lowest = min(lines, key=lambda line: number(line, "rate_mbps"))
    return [lines[0]] if lowest is lines[0] else [lines[0], lowest]


def follow(texts: typing.Iterable[str], flow: str) -> list[carried.Line]:
    """Return the lines of a flow, and those that explain it by the links of its balancers."""
    of_flow = []
    of_links = []
    for text in texts:
        if flow not in text and not any(mark in text for mark in MARKS):
            continue
        line = carried.parse(text)
        if line is None:
            continue
        if line.fields.get("flow") == flow:
            of_flow.append(line)
        elif line.event in EVENTS:
            of_links.append(line)
    of_flow.sort(key=carried.line_time)
    of_links.sort(key=carried.line_time)
    return sorted([*of_flow, *concerning(of_flow, of_links)], key=carried.line_time)


def explain(lines: list[carried.Line]) -> list[str]:
    """Return a sentence for each line on a link."""
    return [f"Link of {line.process}: {line.sentence()}" for line in lines if line.event in EVENTS]


def rows(lines: typing.Iterable[carried.Line]) -> list[Row]:
    """Return a row for each process whose link was busy or narrowed, the busiest first."""
    table = [row_of(process, own) for process, own in by_process(lines).items()]
    shown = [row for row in table if row.backlogs or row.lowest_mbps]
    return sorted(shown, key=lambda row: (-row.busy_ms, row.process))


def row_of(process: str, lines: list[carried.Line]) -> Row:
    """Return the row of one process."""
    periods = backlogs(lines)
    lowered = [line for period in narrowings(lines) for line in period.lines]
    lowest = min(lowered, key=lambda line: number(line, "rate_mbps"), default=None)
    ends = [line for line in lines if line.event == IDLE]
    return Row(
        process,
        len(periods),
        sum(period.until - period.since for period in periods if period.until is not None),
        max((int(number(line, "longest_wait_ms")) for line in ends), default=0),
        sum(int(number(line, "dropped")) for line in ends),
        f"{lowest.fields['rate_mbps']} of {lowest.fields['configured_mbps']}" if lowest else "",
    )
