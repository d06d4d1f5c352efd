"""Compute which upstreams and flows a changed document would affect, before it is published."""

import dataclasses
import typing
from collections import abc

from ebonystile import errors
from ebonystile.core import view
from ebonystile.core.carrying import routes
from ebonystile.core.control import configuration
from ebonystile.operator import tables, traits

HEADERS = ("SERVICE", "UPSTREAMS", "JOIN", "LEAVE", "ADDRESS", "REQUESTS", "FLOWS TO MOVE")
STEP = "preview"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceChange:
    """The change of one service; `before` and `after` count upstreams, None if it doesn't exist.

    `requests_before` and `requests_after` are None if it doesn't exist, too.
    """

    service: str
    before: int | None
    after: int | None
    join: tuple[str, ...]
    leave: tuple[str, ...]
    address_before: str
    address_after: str
    requests_before: routes.RequestTraits | None
    requests_after: routes.RequestTraits | None


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """All services that would change, the warnings, and the number of unchanged services."""

    changes: tuple[ServiceChange, ...]
    warnings: tuple[str, ...]
    unchanged: int


def preview(present: configuration.Configuration, changed: abc.Mapping[str, typing.Any]) -> Preview:
    """Return the effect of publishing the `changed` documents (key to JSON value).

    Raise `SettingsError` with every fault if a document would be refused. The changes are applied
    to `present`, which must not be used afterwards.
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
    """Return a warning for each labelled instance that is not on the platform's list."""
    labelled = {
        name
        for value in changed.values()
        if value is not None
        for name in value.get("instances", {})
    }
    missing = sorted(labelled - present.instances.entries.keys())
    return [f"{name}: has labels but is not on the platform's list" for name in missing]


def compare(before: view.View, after: view.View, remarks: abc.Sequence[str] = ()) -> Preview:
    """Compare the services of two views; `remarks` are appended to the warnings."""
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
    """Return the change of one service, or None if it is unchanged."""
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
        before.requests if before else None,
        after.requests if after else None,
    )


def accepting_upstreams(service: view.Service | None) -> set[str]:
    """Return the names of the upstreams that accept new flows of the service."""
    return {upstream.name for upstream in service.accepting} if service else set()


def warnings_of(change: ServiceChange) -> list[str]:
    """Return the warnings about the change of one service."""
    warnings = []
    if change.after is None:
        warnings.append(f"{change.service}: the service is removed; its flows end")
    elif change.after == 0:
        warnings.append(f"{change.service}: no upstream would accept new flows")
    elif change.before and not change.join and 2 * change.after < change.before:
        warnings.append(f"{change.service}: loses more than half of its upstreams at once")
    if change.before is not None and change.address_after not in ("", change.address_before):
        warnings.append(f"{change.service}: callers must use the new address")
    return warnings


def warn_unserved(before: view.View, after: view.View) -> list[str]:
    """Return a warning for each upstream that would serve no service after the change."""
    served = {u.name for s in before.services.values() for u in s.upstreams}
    serving = {u.name for s in after.services.values() for u in s.upstreams}
    return [f"{name}: would serve no service" for name in sorted(served - serving)]


def table(result: Preview, flows: abc.Mapping[str, int | None]) -> str:
    """Format the preview as text; `flows` maps upstreams to their number of flows."""
    parts = []
    if result.changes:
        rows = [row(change, flows) for change in result.changes]
        parts.append(tables.render(HEADERS, rows))
    parts += [f"warning: {tables.printable(warning)}" for warning in result.warnings]
    parts.append(f"{len(result.changes)} services change, {result.unchanged} stay as they are")
    return "\n".join(parts)


def row(change: ServiceChange, flows: abc.Mapping[str, int | None]) -> list[str]:
    """Return the table cells of one service."""
    moved = [flows.get(name) for name in change.leave]
    unknown = sum(count is None for count in moved)
    total = str(sum(count or 0 for count in moved))
    return [
        change.service,
        f"{count_text(change.before)} -> {count_text(change.after)}",
        ", ".join(change.join) or "none",
        ", ".join(change.leave) or "none",
        address_text(change),
        requests_text(change),
        f"{total} and those of {unknown} unreachable" if unknown else total,
    ]


def count_text(count: int | None) -> str:
    """Format a number of upstreams, or the absence of the service."""
    return "absent" if count is None else str(count)


def address_text(change: ServiceChange) -> str:
    """Format the address, or both if it changes."""
    shown = [a for a in (change.address_before, change.address_after) if a]
    return " -> ".join(dict.fromkeys(shown))


def requests_text(change: ServiceChange) -> str:
    """Format the traits of the service's requests, or both if they change."""
    stated = [t for t in (change.requests_before, change.requests_after) if t is not None]
    return " -> ".join(dict.fromkeys(traits.text_of(t) for t in stated))


def as_json(result: Preview, flows: abc.Mapping[str, int | None]) -> dict[str, typing.Any]:
    """Return the preview as a JSON object."""
    changes = [
        {
            **dataclasses.asdict(change),
            "requests_before": traits.as_json(change.requests_before),
            "requests_after": traits.as_json(change.requests_after),
            "flows": {name: flows.get(name) for name in change.leave},
        }
        for change in result.changes
    ]
    return {"changes": changes, "warnings": list(result.warnings), "unchanged": result.unchanged}
