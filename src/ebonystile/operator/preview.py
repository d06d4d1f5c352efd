"""Work out what a change of a document would match and move, before it is published."""

import dataclasses
import typing
from collections import abc

from ebonystile import errors
from ebonystile.core import view
from ebonystile.core.control import configuration
from ebonystile.operator import tables

HEADERS = ("SERVICE", "UPSTREAMS", "JOIN", "LEAVE", "ADDRESS", "FLOWS TO MOVE")
STEP = "preview"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceChange:
    """How one service changes. `before` and `after` count upstreams, None: no such service."""

    service: str
    before: int | None
    after: int | None
    join: tuple[str, ...]
    leave: tuple[str, ...]
    address_before: str
    address_after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """Every service that would change, what to be warned of, and how many stay as they are."""

    changes: tuple[ServiceChange, ...]
    warnings: tuple[str, ...]
    unchanged: int


def preview(present: configuration.Configuration, changed: abc.Mapping[str, typing.Any]) -> Preview:
    """Return what publishing the `changed` documents (key to JSON value) would do.

    Raise `SettingsError` with every fault where one would be refused. `present` takes the change
    in, so it must not be used for anything else afterwards.
    """
    before = present.view
    conflicts = set(present.conflicts())
    revision = before.revision + 1
    entries = [(key, revision, value) for key, value in changed.items()]
    delta = configuration.values_delta(before.revision, revision, entries)
    _, refusals = present.apply_values(delta)
    if refusals:
        faults = [f"{refusal.key}: {fault}" for refusal in refusals for fault in refusal.faults]
        raise errors.SettingsError(faults, step=STEP, peer=", ".join(changed))
    new_conflicts = [line for line in present.conflicts() if line not in conflicts]
    return compare(before, present.view, [*new_conflicts, *warn_unlisted(present, changed)])


def warn_unlisted(
    present: configuration.Configuration, changed: abc.Mapping[str, typing.Any]
) -> list[str]:
    """Return a warning for each labelled instance that the platform's list doesn't have."""
    labelled = {
        name
        for value in changed.values()
        if value is not None
        for name in value.get("instances", {})
    }
    missing = sorted(labelled - present.instances.entries.keys())
    return [f"{name}: has labels but is not on the platform's list" for name in missing]


def compare(before: view.View, after: view.View, remarks: abc.Sequence[str] = ()) -> Preview:
    """Return how the services of two views differ; `remarks` come after the warnings."""
    names = sorted(before.services.keys() | after.services.keys())
    changes = []
    for name in names:
        change = service_change(name, before.services.get(name), after.services.get(name))
        if change is not None:
            changes.append(change)
    warnings = [warning for change in changes for warning in warnings_of(change)]
    return Preview(
        tuple(changes),
        (*warnings, *warn_unserved(before, after), *remarks),
        len(names) - len(changes),
    )


def service_change(
    name: str, before: view.Service | None, after: view.Service | None
) -> ServiceChange | None:
    """Return how one service differs, or None where it doesn't."""
    if before == after:
        return None
    had = accepting_upstreams(before)
    has = accepting_upstreams(after)
    return ServiceChange(
        name,
        len(had) if before else None,
        len(has) if after else None,
        tuple(sorted(has - had)),
        tuple(sorted(had - has)),
        before.address if before else "",
        after.address if after else "",
    )


def accepting_upstreams(service: view.Service | None) -> set[str]:
    """Return the names of the upstreams that take new work for the service."""
    return {upstream.name for upstream in service.accepting} if service else set()


def warnings_of(change: ServiceChange) -> list[str]:
    """Return what an operator should look at twice before publishing."""
    found = []
    if change.after is None:
        found.append(f"{change.service}: the service goes away; its flows end")
    elif change.after == 0:
        found.append(f"{change.service}: no upstream would take new work")
    elif change.before and not change.join and 2 * change.after < change.before:
        found.append(f"{change.service}: loses more than half of its upstreams at once")
    if change.before is not None and change.address_after not in ("", change.address_before):
        found.append(f"{change.service}: callers must use the new address")
    return found


def warn_unserved(before: view.View, after: view.View) -> list[str]:
    """Return a warning for each upstream that would serve nothing any more."""
    served = {u.name for s in before.services.values() for u in s.upstreams}
    serving = {u.name for s in after.services.values() for u in s.upstreams}
    return [f"{name}: would serve no service" for name in sorted(served - serving)]


def table(found: Preview, flows: abc.Mapping[str, int | None]) -> str:
    """Return the preview as text; `flows` holds how many flows each upstream holds now."""
    parts = []
    if found.changes:
        rows = [row(change, flows) for change in found.changes]
        parts.append(tables.render(HEADERS, rows))
    parts += [f"warning: {tables.printable(warning)}" for warning in found.warnings]
    parts.append(f"{len(found.changes)} services change, {found.unchanged} stay as they are")
    return "\n".join(parts)


def row(change: ServiceChange, flows: abc.Mapping[str, int | None]) -> list[str]:
    """Return the cells of one service."""
    moved = [flows.get(name) for name in change.leave]
    unknown = sum(count is None for count in moved)
    total = str(sum(count or 0 for count in moved))
    return [
        change.service,
        f"{count_text(change.before)} -> {count_text(change.after)}",
        ", ".join(change.join) or "none",
        ", ".join(change.leave) or "none",
        address_text(change),
        f"{total} and those of {unknown} unreachable" if unknown else total,
    ]


def count_text(count: int | None) -> str:
    """Return a number of upstreams, or the word for a service that isn't there."""
    return "absent" if count is None else str(count)


def address_text(change: ServiceChange) -> str:
    """Return the address and, where it changes, both."""
    shown = [a for a in (change.address_before, change.address_after) if a]
    return " -> ".join(dict.fromkeys(shown))


def as_json(found: Preview, flows: abc.Mapping[str, int | None]) -> dict[str, typing.Any]:
    """Return the preview as JSON holds it."""
    changes = [
        {**dataclasses.asdict(change), "flows": {name: flows.get(name) for name in change.leave}}
        for change in found.changes
    ]
    return {"changes": changes, "warnings": list(found.warnings), "unchanged": found.unchanged}
