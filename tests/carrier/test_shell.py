"""The reload of settings by a running daemon, and the log of its end by a bug."""

import types

import pytest

from ebonystile.carrier import shell
from ebonystile.core.carrying import fleet
from ebonystile.platform import node


def test_a_reload_applies_new_regions(monkeypatch):
    """A zone added while the daemon runs must get its region without a restart."""
    settings = node.Node(
        "n", "balancer", "a", "10.0.0.1:1", "10.0.0.1:2", 7720, "10.0.0.9:3", regions={"b": "south"}
    )
    monkeypatch.setattr(node, "path", lambda: None)
    monkeypatch.setattr(node, "read", lambda path: settings)
    members = fleet.Fleet()
    daemon = types.SimpleNamespace(
        feed=types.SimpleNamespace(fleet=members),
        log=types.SimpleNamespace(event=lambda *arguments, **fields: None),
    )
    shell.Shell.reload(daemon)
    assert members.is_in_regions("b", ("south",)) and not members.is_in_regions("a", ("south",))


def test_a_bug_is_logged_with_its_place_and_the_state_of_the_core():
    """Without them the log of a process that ends again and again doesn't show why."""
    lines = []

    def fail():
        raise IndexError("pop from empty list")

    daemon = types.SimpleNamespace(
        settings=types.SimpleNamespace(zone="a", packets="10.0.0.1:1"),
        feed=types.SimpleNamespace(make_next_call=lambda: None),
        loop=types.SimpleNamespace(run=fail),
        log=types.SimpleNamespace(event=lambda event, **fields: lines.append((event, fields))),
        describe_core=lambda: {"listed": 0},
    )
    with pytest.raises(IndexError):
        shell.Shell.run(daemon)
    event, fields = lines[-1]
    assert event == "bug" and fields["listed"] == 0
    assert fields["at"].partition(":")[0].endswith("fail")
