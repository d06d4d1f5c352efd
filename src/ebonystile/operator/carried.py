"""Parse and filter the logs of the carrying daemons, for one flow or a span of time."""

import dataclasses
import json
import re
import typing

from ebonystile.operator import events

FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
"""Matches one `key=value` pair; text before the first pair of a line is ignored."""

SENTENCE_BY_EVENT = {
    "opened": "It was placed on {upstream} at cost {cost}: {answered} of {asked} sidecars answered "
    "within {searched_ms} ms (copy {copy} of the opening packet, configuration {version}).",
    "held": "It was deferred: the best upstream that answered has {running} requests running, at "
    "cost {cost}.",
    "refused": "It was refused before it was opened, so nothing has run ({reason}): predicted wait "
    "{predicted_wait_ms} ms, with a time limit of {timeout_ms} ms; it had waited {searched_ms} ms "
    "(reset sent: {reset}).",
    "not_placed": "It was not placed: {answered} of {asked} sidecars answered within "
    "{searched_ms} ms, and none of them could accept it (reset sent: {reset}).",
    "open_refused": "A sidecar refused it: {reason}.",
    "open_returned": "Its upstream was full and returned the opening packet.",
    "found": "A balancer without a record of it found it at {upstream} after {searched_ms} ms.",
    "probed": "No sidecar that answered held it; {upstreams} upstreams of recently started "
    "sidecars were probed, {unanswered} sidecars did not answer.",
    "search_repeated": "It is searched for again at {upstreams} upstreams, search {attempt}: "
    "{reason}.",
    "not_found": "It was not found: {answered} of {asked} sidecars answered within "
    "{searched_ms} ms (reset sent: {reset}).",
    "opening_obsolete": "Its caller continued it, so the search for a copy of its opening packet "
    "ended.",
    "opening_dropped": "Copy {copy} of its opening packet was dropped ({reason}): it may be open.",
    "route_awaited": "Its route is missing in configuration {version}, confirmed "
    "{confirmed_ms_ago} ms before; its packet waits for a newer one.",
    "route_unknown": "No newer configuration came; its caller's next copy waits again.",
    "flow_reset": "A reset was sent to its caller: {reason}.",
    "flow_lost": "Its upstream no longer holds it; a reset was sent to its caller.",
    "link_busy": "A backlog began, with {bytes} bytes waiting.",
    "link_idle": "The backlog ended: up to {bytes} bytes waited, the longest for "
    "{longest_wait_ms} ms, and {dropped} datagrams were dropped.",
    "link_rate": "The rate in force became {rate_mbps} of the configured {configured_mbps} Mbit/s.",
}
"""Templates that describe what an event means for its flow, with the inputs of the decision."""

PREDICTION = " Predicted: {wait_ms} ms until it runs, {finish_ms} ms until its answer."
"""Added to the sentence of `opened` where the balancer has logged a prediction."""

UNKNOWN = "?"


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A parsed log line; `time_ms` is by the clock of the process that wrote it."""

    time_ms: int
    process: str
    event: str
    fields: dict[str, str]

    def sentence(self) -> str:
        """Return a description of the event, or an empty string if it has none."""
        template = SENTENCE_BY_EVENT.get(self.event, "")
        if self.event == "opened" and "finish_ms" in self.fields:
            template += PREDICTION
        return template.format_map(Fields(self.fields))


class Fields(dict):
    """The fields of a line; a missing one is formatted as `UNKNOWN`."""

    def __missing__(self, key: str) -> str:
        return UNKNOWN


def parse(text: str) -> Line | None:
    """Parse a log line; return None for other text."""
    fields = {key: unquote(value) for key, value in FIELD_PATTERN.findall(text)}
    time_ms = fields.pop("time_ms", "")
    if not time_ms.isdigit() or "event" not in fields:
        return None
    fields.pop("program", None)
    return Line(int(time_ms), fields.pop("process", UNKNOWN), fields.pop("event"), fields)


def unquote(text: str) -> str:
    """Return the value with its JSON quotes removed, or unchanged if it has none."""
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Selects lines; an empty field matches all. `since` and `until` in ms since the epoch."""

    process: str = ""
    event: str = ""
    upstream: str = ""
    flow: str = ""
    since: int = 0
    until: int | None = None

    def matches(self, line: Line) -> bool:
        """Return whether the line passes every filter."""
        pairs = (
            (self.process, line.process),
            (self.event, line.event),
            (self.upstream, line.fields.get("upstream")),
            (self.flow, line.fields.get("flow")),
        )
        in_time = self.since <= line.time_ms and (self.until is None or line.time_ms <= self.until)
        return in_time and all(not wanted or wanted == actual for wanted, actual in pairs)


def select(texts: typing.Iterable[str], line_filter: Filter) -> list[Line]:
    """Return the parsed lines that match the filter, ordered by time."""
    lines = (parse(text) for text in texts if line_filter.flow in text)
    return sorted(
        (line for line in lines if line is not None and line_filter.matches(line)), key=line_time
    )


def format_line(line: Line, *, without: str = "") -> str:
    """Format a line for the terminal; `without` names a field to leave out."""
    rest = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != without)
    return f"{events.time_text(line.time_ms)}  {line.process:20} {line.event:14} {rest}"


def line_time(line: Line) -> int:
    """Return the time of a line, as a sort key."""
    return line.time_ms


def final_decision(lines: list[Line]) -> str:
    """Return a sentence on the last decision about the flow."""
    decided = [line for line in lines if line.event in SENTENCE_BY_EVENT and "flow" in line.fields]
    if not decided:
        return "No process has logged a decision about it; see lines_suppressed for that second."
    last = decided[-1]
    return f"Last decision, by {last.process}: {last.sentence()}"
