"""Loads and endpoints for the tests of placement, with defaults for what a case does not set."""

from ebonystile.core import view
from ebonystile.core.placing import load
from ebonystile.peer import messages


def endpoints(count, zone="z"):
    return [view.make_endpoint(f"u{i}", ("127.0.0.1", 1000 + i), zone) for i in range(count)]


def load_of(name="me", at=0, **given):
    values = {"incarnation": 1, "zone": "z", "slots": 2, "connections": 2000} | given
    return messages.LoadReport(name=name, at=at, **values)


def table_of(*loads, now=0):
    table = load.LoadTable()
    for each in loads:
        table.record_report(each, now)
    return table
