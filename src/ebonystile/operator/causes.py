"""Sort the flows that had trouble by its cause and moment, from the logs of the carrying daemons.

A flow had trouble if it was looked for in vain, reset, refused or held back. It counts once, at
the time of the first sign, with what became of it in the end. A request has no id in these logs;
that of its flow is what a caller's own log names.
"""

import collections
import dataclasses
import enum
import statistics
import typing

from ebonystile.operator import carried


class Cause(enum.Enum):
    """Why callers of a flow had to wait, or were not served."""

    LOST_RESET = "lost, caller told"
    LOST_NO_RESET = "lost or silent, caller not told"
    FOUND_LATE = "found after a search in vain"
    UPSTREAM_LOST = "upstream lost it, caller told"
    NO_ROUTE = "no route"
    NO_UPSTREAM = "no upstream took it"
    REFUSED = "refused once, then placed"
    DEFERRED = "held back, then placed"


CAUSE_BY_EVENT = {
    "flow_lost": Cause.UPSTREAM_LOST,
    "not_placed": Cause.NO_UPSTREAM,
    "open_refused": Cause.REFUSED,
    "open_returned": Cause.REFUSED,
    "held": Cause.DEFERRED,
}
"""What a single event says of the flow, where no later one says more."""

DISRUPTION_EVENTS = frozenset({*CAUSE_BY_EVENT, "not_found", "flow_reset"})
"""Events that show trouble."""

DELAY_CAUSES = frozenset({Cause.REFUSED, Cause.DEFERRED})
"""Causes that end with the placing of the flow."""


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """One flow's trouble: when it began, and how long until its caller was told or served (ms)."""

    flow: str
    cause: Cause
    began: int
    lasted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """All troubles of one cause that began in one span of time.

    `began` is the start of the span; `middle` and `longest` say how long they lasted. All in ms.
    """

    began: int
    cause: Cause
    flows: int
    middle: int
    longest: int


def find_disruptions(lines: typing.Iterable[carried.Line]) -> list[Disruption]:
    """Return the troubles that lines in the order of their times tell of, the first ones first."""
    by_flow: dict[str, list[carried.Line]] = collections.defaultdict(list)
    for line in lines:
        flow = line.fields.get("flow")
        if flow is not None:
            by_flow[flow].append(line)
    found = [disruption_of(flow, told) for flow, told in by_flow.items()]
    return sorted((one for one in found if one is not None), key=lambda one: one.began)


def disruption_of(flow: str, lines: list[carried.Line]) -> Disruption | None:
    """Return the trouble that a flow's lines tell of, if there was any."""
    first = next((line for line in lines if line.event in DISRUPTION_EVENTS), None)
    if first is None:
        return None
    after = lines[lines.index(first) :]
    cause, end = outcome_of(after)
    return Disruption(flow, cause, first.time_ms, end.time_ms - first.time_ms)


def outcome_of(lines: list[carried.Line]) -> tuple[Cause, carried.Line]:
    """Return the cause, and the line that ended the trouble, from its first sign on."""
    waits_for = None
    for line in lines:
        told = cause_of(line)
        if told in DELAY_CAUSES:
            waits_for = told
        elif told is not None:
            return told, line
        elif line.event == "found":
            return Cause.FOUND_LATE, line
        elif line.event == "opened" and waits_for is not None:
            return waits_for, line
    return Cause.LOST_NO_RESET, lines[-1]


def cause_of(line: carried.Line) -> Cause | None:
    """Return the cause that an event tells by itself."""
    if line.event == "flow_reset":
        return Cause.NO_ROUTE if line.fields.get("reason") == "no_route" else Cause.NO_UPSTREAM
    if line.event == "not_found":
        return Cause.LOST_RESET if line.fields.get("reset") == "true" else None
    return CAUSE_BY_EVENT.get(line.event)


def rows(found: typing.Iterable[Disruption], span_ms: int) -> list[Row]:
    """Return the troubles by span and cause, the earliest and then the most frequent first."""
    groups: dict[tuple[int, Cause], list[int]] = collections.defaultdict(list)
    for one in found:
        groups[one.began // span_ms * span_ms, one.cause].append(one.lasted)
    made = [
        Row(began, cause, len(lasted), round(statistics.median(lasted)), max(lasted))
        for (began, cause), lasted in groups.items()
    ]
    return sorted(made, key=lambda row: (row.began, -row.flows))
