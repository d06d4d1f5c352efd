"""Format the status of all processes, as one table or as JSON."""

import typing
from collections import abc

from ebonystile.core import positions
from ebonystile.operator import client, messages, tables

HEADERS = (
    "PROCESS",
    "ROLE",
    "ZONE",
    "ADDRESS",
    "REVISION",
    "LIST",
    "INCARNATION",
    "UP",
    "FLOWS",
    "RUNNING",
    "QUEUE",
    "LEAVING",
    "SUSPECTED",
)
STALE_MARK = "*"
"""Mark of a revision lower than the highest of any process."""

UNREACHABLE_PREFIX = "unreachable: "
UNITS = ((86_400, "d"), (3_600, "h"), (60, "m"))


def table(replies: abc.Sequence[client.Reply]) -> str:
    """Format the table, followed by remarks on stale, unreachable and refusing processes."""
    ordered = sorted(replies, key=lambda r: (r.process.role, r.process.name))
    newest = max((status.revision for status in answers(ordered)), default=0)
    parts = [tables.render(HEADERS, [row(reply, newest) for reply in ordered])]
    parts += [f"\n{line}" for line in remarks(ordered, newest)]
    return "".join(parts)


def answers(replies: typing.Iterable[client.Reply]) -> list[messages.Status]:
    """Return the answers of the processes that answered."""
    return [reply.answer for reply in replies if isinstance(reply.answer, messages.Status)]


def row(reply: client.Reply, newest: int) -> list[str]:
    """Return the table cells of one process."""
    process, status = reply.process, reply.answer
    address = f"{process.address[0]}:{process.address[1]}"
    if not isinstance(status, messages.Status):
        cells = [process.name, process.role, "", address]
        return [*cells, *[""] * (len(HEADERS) - 6), UNREACHABLE_PREFIX + reply.error, ""]
    return [
        status.process,
        status.role,
        status.zone,
        address,
        positions.text_of(status.revision) + (STALE_MARK if status.revision < newest else ""),
        positions.text_of(status.instances_revision),
        f"{status.incarnation:016x}",
        format_duration(status.now - status.started),
        str(status.flows),
        str(status.running),
        str(status.queued),
        status.leaving or "no",
        ",".join(status.suspected) or "none",
    ]


def remarks(replies: abc.Sequence[client.Reply], newest: int) -> list[str]:
    """Return the lines below the table: stale revisions, missing answers, refused documents."""
    lines = []
    stale = sum(status.revision < newest for status in answers(replies))
    if stale:
        lines.append(f"{STALE_MARK} {stale} behind revision {positions.text_of(newest)}")
    unanswered = len(replies) - len(answers(replies))
    if unanswered:
        lines.append(f"{unanswered} of {len(replies)} did not answer")
    refusals = sorted({fault for status in answers(replies) for fault in status.refusals})
    lines += [f"refused: {tables.printable(fault)}" for fault in refusals]
    return lines


def format_duration(duration: int) -> str:
    """Format a duration in ms as a whole number of its largest unit."""
    seconds = max(0, duration) // 1000
    for size, unit in UNITS:
        if seconds >= size:
            return f"{seconds // size}{unit}"
    return f"{seconds}s"


def as_json(replies: abc.Sequence[client.Reply]) -> list[dict[str, typing.Any]]:
    """Return a JSON object for each process, with the field names of `messages.Status`."""
    return [object_of(reply) for reply in replies]


def object_of(reply: client.Reply) -> dict[str, typing.Any]:
    """Return one process as a JSON object, with its 64-bit incarnation in hex."""
    process, status = reply.process, reply.answer
    address = f"{process.address[0]}:{process.address[1]}"
    if not isinstance(status, messages.Status):
        known = {"process": process.name, "role": process.role, "address": address}
        return {**known, "reachable": False, "error": reply.error}
    fields = {name: getattr(status, name) for name in status.__slots__ if name != "id"}
    fields["incarnation"] = f"{status.incarnation:016x}"
    return {**fields, "address": address, "reachable": True}
