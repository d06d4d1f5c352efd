"""Check that the faults of a day file struck something, by the report of a played day.

A fault may strike nothing without a word: it names a class of instances that the deployment does
not have. A day that is thought to hold then shows nothing.
"""

import dataclasses
import json
import pathlib
import sys
import tomllib
import typing

OF_INSTANCES = frozenset(
    {
        "clock_step",
        "core_cut",
        "herd_kill",
        "node_cut",
        "node_freeze",
        "node_kill",
        "node_slow",
        "replace_with_reuse",
        "release",
        "reset_conns",
        "roll_term",
        "srv_crash",
        "srv_flap",
        "srv_grey",
        "srv_slow",
    }
)
"""Kinds of trouble that befall instances or upstreams; their events name those that they struck."""

STARTING = frozenset({"herd_kill", "node_kill", "roll_term"})
"""Kinds after which processes start anew."""

SERVERS_CUT = "servers"
"""Word in the variant of a cut that befalls upstreams, which the report does not name."""

IDLE, MISSED = 1, 2
"""Exit status where a fault struck nothing, and where the command line or a file does not hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One trouble of a day: its kind, its variant, and when it was to begin, in s."""

    kind: str
    variant: str
    at: float


def entries_of(day: dict[str, typing.Any]) -> list[Entry]:
    """Return the troubles of a day that befall instances or upstreams."""
    listed = [*day.get("plan", []), *day.get("faults", [])]
    made = [Entry(e["kind"], e.get("how", ""), float(e.get("at", 0.0))) for e in listed]
    return [e for e in made if e.kind in OF_INSTANCES and SERVERS_CUT not in e.variant]


def idle_entries(day: dict[str, typing.Any], report: dict[str, typing.Any]) -> list[Entry]:
    """Return the troubles of a day that struck nothing in a played one.

    Events stand in the report in the order of their times; one may have waited for its turn, so
    entries and events of a kind are matched by their order.
    """
    struck: dict[str, list[bool]] = {}
    for event in report["events"]:
        kind = event["kind"].partition(" ")[0]
        struck.setdefault(kind, []).append(bool(event["what"]))
    idle = []
    for entry in sorted(entries_of(day), key=lambda entry: entry.at):
        events = struck.get(entry.kind, [])
        if not events or not events.pop(0):
            idle.append(entry)
    return idle


def starts_missing(day: dict[str, typing.Any], report: dict[str, typing.Any]) -> bool:
    """Tell whether processes were to be started anew and none was."""
    if not any(entry.kind in STARTING for entry in entries_of(day)):
        return False
    return all(node["starts"] <= node["n"] for node in report["nodes"])


def main(arguments: list[str]) -> int:
    """Print what struck nothing in the day file and its report that the command line names."""
    if len(arguments) != 2:
        print("usage: scripts/bench struck DAY.toml REPORT.json", file=sys.stderr)
        return MISSED
    day_file, report_file = map(pathlib.Path, arguments)
    try:
        day = tomllib.loads(day_file.read_text())
        report = json.loads(report_file.read_text())
    except (OSError, ValueError) as error:
        print(f"error: {error}", file=sys.stderr)
        return MISSED
    idle = idle_entries(day, report)
    for entry in idle:
        print(f"{day_file.name}: {entry.kind} at {entry.at:g} s struck nothing")
    if starts_missing(day, report):
        print(f"{day_file.name}: no process was started anew")
    return IDLE if idle or starts_missing(day, report) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
