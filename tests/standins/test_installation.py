"""The stand-in installation: what keeps several of them apart."""

import dataclasses

import pytest

from standins import installation, system


def test_installations_side_by_side_never_share_a_port(monkeypatch):
    """Test workers make installations at the same moment, each on addresses of its own processes.

    All use the same loopback addresses. Two that had drawn one port in common failed in their
    set-up, or worse, one took the other's packets.
    """
    monkeypatch.setattr(system, "PORTS", range(10_100, 10_118))
    with installation.Reservation() as first, installation.Reservation() as second:
        ports = [*dataclasses.astuple(first.ports), *dataclasses.astuple(second.ports)]
        assert len(set(ports)) == len(ports)
        for port in ports:
            with pytest.raises(OSError, match="in use"):
                installation.udp(("127.0.0.1", port))
    installation.udp(("127.0.0.1", first.ports.packets)).close()
