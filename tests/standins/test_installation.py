"""Port reservation of stand-in installations."""

import dataclasses

import pytest

from standins import installation, system


def test_installations_side_by_side_never_share_a_port(monkeypatch):
    """Parallel test workers share the loopback addresses; a common port mixes up their packets."""
    monkeypatch.setattr(system, "PORTS", range(10_100, 10_118))
    with installation.Reservation() as first, installation.Reservation() as second:
        ports = [*dataclasses.astuple(first.ports), *dataclasses.astuple(second.ports)]
        assert len(set(ports)) == len(ports)
        for port in ports:
            with pytest.raises(OSError, match="in use"):
                installation.udp(("127.0.0.1", port))
    installation.udp(("127.0.0.1", first.ports.packets)).close()
