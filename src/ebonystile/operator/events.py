"""Merge and format the events of many processes, as text or JSON."""

import datetime
import typing
from collections import abc

from ebonystile import errors, timeline
from ebonystile.operator import client, messages, tables

HEADERS = ("TIME", "PROCESS", "EVENT", "FLOW", "REQUEST", "UPSTREAM", "DETAILS")
SHORT_ID = 8
"""Digits of an id in the table; filters accept such a prefix."""

OUT_OF_ORDER_MARK = "~"
"""Mark of a record ordered after its cause although its own clock shows an earlier time."""


def merge_records(replies: typing.Iterable[client.Reply]) -> list[timeline.Record]:
    """Merge the records of all answers into one order, without those that can't be decoded."""
    records = []
    for reply in replies:
        if isinstance(reply.answer, messages.Events):
            records += [r for r in map(decode_record, reply.answer.records) if r is not None]
    return timeline.merge(records)


def decode_record(data: bytes) -> timeline.Record | None:
    """Decode a record; return None for one that a newer release wrote in an unknown form."""
    try:
        return messages.RECORDS.decode(data)
    except errors.DatagramError:
        return None


def table(records: abc.Sequence[timeline.Record]) -> str:
    """Format the time line as a table, oldest first."""
    rows = []
    latest = 0
    for record in records:
        rows.append(row(record, late=record.time < latest))
        latest = max(latest, record.time)
    return tables.render(HEADERS, rows)


def row(record: timeline.Record, *, late: bool) -> list[str]:
    """Return the table cells of one record."""
    return [
        (OUT_OF_ORDER_MARK if late else "") + time_text(record.time),
        record.process,
        record.event,
        record.flow.hex()[:SHORT_ID],
        record.request.hex()[:SHORT_ID],
        record.upstream,
        " ".join(f"{name}={value}" for name, value in record.fields),
    ]


def time_text(time: int) -> str:
    """Format a time in ms as ISO 8601 in UTC, or as a number if `datetime` can't represent it."""
    try:
        moment = datetime.datetime.fromtimestamp(time / 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return str(time)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def object_of(record: timeline.Record) -> dict[str, typing.Any]:
    """Return one record as a JSON object: ids in hex, the time in ms."""
    fields = {name: getattr(record, name) for name in record.__slots__}
    for name in ("flow", "request", "link"):
        fields[name] = fields[name].hex()
    fields["incarnation"] = f"{record.incarnation:016x}"
    fields["fields"] = dict(record.fields)
    return fields
