"""Group disrupted flows by cause and time, from the logs of the carrying daemons.

A flow is disrupted if a search for it failed, or if it was reset, refused or deferred. It counts
once, at the time of its first such event, under its final outcome. These logs have no request ids;
a flow is identified by its caller's and its route's address, as in the caller's own log.
"""

import collections
import dataclasses
import enum
import statistics
import typing

from ebonystile.operator import carried


class Cause(enum.Enum):
    """Why the caller of a flow had to wait or was not served."""

    LOST_RESET = "lost, reset sent"
    LOST_NO_RESET = "lost or idle, no reset sent"
    FOUND_LATE = "found after a failed search"
    UPSTREAM_LOST = "upstream lost it, reset sent"
    NO_ROUTE = "no route"
    NO_UPSTREAM = "no upstream accepted it"
    REFUSED = "refused once, then placed"
    NOT_IN_TIME = "refused before it was opened"
    DEFERRED = "deferred, then placed"
    ROUTE_AWAITED = "its route had not been read, then found"


CAUSE_BY_EVENT = {
    "flow_lost": Cause.UPSTREAM_LOST,
    "not_placed": Cause.NO_UPSTREAM,
    "open_refused": Cause.REFUSED,
    "open_returned": Cause.REFUSED,
    "held": Cause.DEFERRED,
    "route_awaited": Cause.ROUTE_AWAITED,
}
"""The cause that an event implies on its own; a later event may override a delay."""

ROUTE_REASONS = frozenset({"no_route", "route_removed"})
"""Reasons of a reset that concern the flow's route."""

DISRUPTION_EVENTS = frozenset({*CAUSE_BY_EVENT, "not_found", "flow_reset", "refused"})
"""Events that mark a flow as disrupted."""

DELAY_CAUSES = frozenset({Cause.REFUSED, Cause.DEFERRED, Cause.ROUTE_AWAITED})
"""Causes that only delay a flow until it is placed or found."""


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """The disruption of one flow: its start, and its duration until the flow was reset or served.

    `began_at` is in ms since the epoch. `reason` is why the flow was refused before it was opened.
    """

    flow: str
    cause: Cause
    began_at: int
    duration_ms: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The disruptions of one cause and reason that began within one time span.

    `span_start` is in ms since the epoch; `median_ms` and `max_ms` are durations.
    """

    span_start: int
    cause: Cause
    flows: int
    median_ms: int
    max_ms: int
    reason: str = ""

    @property
    def text(self) -> str:
        """Return the cause, with the reason if there is one."""
        return f"{self.cause.value}: {self.reason}" if self.reason else self.cause.value


def find_disruptions(lines: typing.Iterable[carried.Line]) -> list[Disruption]:
    """Return the disruptions that the time-ordered lines show, the earliest first."""
    by_flow: dict[str, list[carried.Line]] = collections.defaultdict(list)
    for line in lines:
        flow = line.fields.get("flow")
        if flow is not None:
            by_flow[flow].append(line)
    disruptions = [disruption_of(flow, flow_lines) for flow, flow_lines in by_flow.items()]
    return sorted((d for d in disruptions if d is not None), key=lambda d: d.began_at)


def disruption_of(flow: str, lines: list[carried.Line]) -> Disruption | None:
    """Return the disruption that a flow's lines show, or None."""
    first = next((line for line in lines if line.event in DISRUPTION_EVENTS), None)
    if first is None:
        return None
    after = lines[lines.index(first) :]
    cause, end = outcome_of(after)
    reason = end.fields.get("reason", "") if cause is Cause.NOT_IN_TIME else ""
    return Disruption(flow, cause, first.time_ms, end.time_ms - first.time_ms, reason)


def outcome_of(lines: list[carried.Line]) -> tuple[Cause, carried.Line]:
    """Return the cause of a disruption and the line that ended it; `lines` begin with its first."""
    delay = None
    for line in lines:
        cause = cause_of(line)
        if cause in DELAY_CAUSES:
            delay = cause
        elif cause is not None:
            return cause, line
        elif line.event == "found":
            is_awaited = delay is Cause.ROUTE_AWAITED
            return Cause.ROUTE_AWAITED if is_awaited else Cause.FOUND_LATE, line
        elif line.event == "opened" and delay is not None:
            return delay, line
    return Cause.LOST_NO_RESET, lines[-1]


def cause_of(line: carried.Line) -> Cause | None:
    """Return the cause that a single event implies, or None."""
    if line.event == "flow_reset":
        is_route = line.fields.get("reason") in ROUTE_REASONS
        return Cause.NO_ROUTE if is_route else Cause.NO_UPSTREAM
    if line.event == "not_found":
        return Cause.LOST_RESET if line.fields.get("reset") == "true" else None
    if line.event == "refused":
        # Without a reset the caller's next copy may still be placed.
        return Cause.NOT_IN_TIME if line.fields.get("reset") == "true" else Cause.REFUSED
    return CAUSE_BY_EVENT.get(line.event)


def rows(disruptions: typing.Iterable[Disruption], span_ms: int) -> list[Row]:
    """Group disruptions by span, cause and reason, the earliest and most frequent first."""
    groups: dict[tuple[int, Cause, str], list[int]] = collections.defaultdict(list)
    for disruption in disruptions:
        span_start = disruption.began_at // span_ms * span_ms
        groups[span_start, disruption.cause, disruption.reason].append(disruption.duration_ms)
    table = [
        Row(
            span_start,
            cause,
            len(durations),
            round(statistics.median(durations)),
            max(durations),
            reason,
        )
        for (span_start, cause, reason), durations in groups.items()
    ]
    return sorted(table, key=lambda row: (row.span_start, -row.flows))
