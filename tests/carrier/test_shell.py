"""What a running daemon takes from settings that change."""

import types

from ebonystile.carrier import shell
from ebonystile.core.carrying import fleet
from ebonystile.platform import node


def test_regions_are_those_of_the_newest_settings(monkeypatch):
    """A zone is added while the daemon runs; its upstreams would be in no region."""
    settings = node.Node(
        "n", "balancer", "a", "10.0.0.1:1", "10.0.0.1:2", 7720, "10.0.0.9:3", regions={"b": "south"}
    )
    monkeypatch.setattr(node, "path", lambda: None)
    monkeypatch.setattr(node, "read", lambda path: settings)
    known = fleet.Fleet()
    running = types.SimpleNamespace(
        feed=types.SimpleNamespace(fleet=known),
        log=types.SimpleNamespace(event=lambda *arguments, **fields: None),
    )
    shell.Shell.reload(running)
    assert known.is_in_regions("b", ("south",)) and not known.is_in_regions("a", ("south",))
