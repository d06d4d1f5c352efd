"""Read the logs of the carrying daemons: follow one flow, or show what happened at a time."""

import dataclasses
import json
import re
import typing

from ebonystile.operator import events

FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
"""One key with its value; whatever stands before the first pair of a line is passed over."""

SENTENCE_BY_EVENT = {
    "opened": "It was placed on {upstream} at cost {cost}: {answered} of {asked} sidecars answered "
    "within {searched_ms} ms (copy {copy} of the opening packet, configuration {version}).",
    "not_placed": "It was not placed: {answered} of {asked} sidecars answered within "
    "{searched_ms} ms, and none of them could take it (caller told: {reset}).",
    "open_refused": "A sidecar refused it: {reason}.",
    "open_returned": "Its upstream had no room and returned the opening packet.",
    "found": "A balancer that did not know it found it at {upstream} after {searched_ms} ms.",
    "probed": "No sidecar knew it; {upstreams} upstreams with fresh sidecars were probed, "
    "{unanswered} sidecars did not answer.",
    "not_found": "Nobody held it: {answered} of {asked} sidecars answered within {searched_ms} ms "
    "(caller told: {reset}).",
    "flow_reset": "The caller was told that it has ended: {reason}.",
    "flow_lost": "Its upstream held it and holds it no more; the caller was told.",
}
"""What each event means for the flow, with the inputs that decided it."""

UNKNOWN = "?"


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log; `time_ms` by the clock of the process that wrote it."""

    time_ms: int
    process: str
    event: str
    fields: dict[str, str]

    def sentence(self) -> str:
        """Return what the event means, or nothing for one that decides nothing."""
        template = SENTENCE_BY_EVENT.get(self.event, "")
        return template.format_map(Fields(self.fields))


class Fields(dict):
    """The fields of a line; one that is missing shows as unknown."""

    def __missing__(self, key: str) -> str:
        return UNKNOWN


def parse(text: str) -> Line | None:
    """Return the line of a log, or None for other text."""
    fields = {key: unquote(value) for key, value in FIELD_PATTERN.findall(text)}
    time_ms = fields.pop("time_ms", "")
    if not time_ms.isdigit() or "event" not in fields:
        return None
    fields.pop("program", None)
    return Line(int(time_ms), fields.pop("process", UNKNOWN), fields.pop("event"), fields)


def unquote(text: str) -> str:
    """Return a value without its quotes."""
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which lines are wanted, empty for all; `since` and `until` in ms since the epoch."""

    process: str = ""
    event: str = ""
    upstream: str = ""
    flow: str = ""
    since: int = 0
    until: int | None = None

    def matches(self, line: Line) -> bool:
        """Tell whether a line is wanted."""
        wanted = (
            (self.process, line.process),
            (self.event, line.event),
            (self.upstream, line.fields.get("upstream")),
            (self.flow, line.fields.get("flow")),
        )
        in_time = self.since <= line.time_ms and (self.until is None or line.time_ms <= self.until)
        return in_time and all(not name or name == found for name, found in wanted)


def select(texts: typing.Iterable[str], wanted: Filter) -> list[Line]:
    """Return the wanted lines in the order of their times."""
    lines = (parse(text) for text in texts if wanted.flow in text)
    return sorted(
        (line for line in lines if line is not None and wanted.matches(line)), key=line_time
    )


def format_line(line: Line, *, without: str = "") -> str:
    """Return a line as it is shown, `without` one of its fields."""
    rest = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != without)
    return f"{events.time_text(line.time_ms)}  {line.process:20} {line.event:14} {rest}"


def line_time(line: Line) -> int:
    """Return the time of a line."""
    return line.time_ms


def final_decision(lines: list[Line]) -> str:
    """Return the sentence on the last decision about the flow."""
    decided = [line for line in lines if line.event in SENTENCE_BY_EVENT]
    if not decided:
        return "No process has logged a decision about it; see lines_suppressed for that second."
    last = decided[-1]
    return f"Last word, by {last.process}: {last.sentence()}"
