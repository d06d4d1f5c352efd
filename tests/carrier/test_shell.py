"""The reload of settings by a running daemon."""

import types

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
