"""Stand-in installations: reserved ports, what a packet costs, how far apart offers are."""

import dataclasses
import itertools

import pytest

from ebonystile.core.carrying import packet, table
from ebonystile.platform import packets
from standins import ends, installation, system

IDLE_CALLERS = 500
UPSTREAMS, OFFERS = 12, 64


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


def test_no_two_upstreams_offer_positions_near_each_other():
    """A caller's acknowledgement would fit the offers of two upstreams that accepted its copies."""
    offers = []
    for number in range(1, UPSTREAMS + 1):
        positions = ends.Upstream("u", 1_000_000 * number).positions
        offers += [(next(positions) % ends.SEQUENCE_MODULUS, number) for _ in range(OFFERS)]
    offers.sort()
    for (low, one), (high, other) in itertools.pairwise(offers):
        assert one == other or high - low > table.MAX_OFFER_DISTANCE


def add_idle_caller(running, port):
    """Add a caller with an open flow and nothing to send."""
    flow = packet.endpoint_of("127.0.3.1", port) + packet.endpoint_of(*installation.ROUTE)
    idle = ends.Caller(flow, installation.now_ms())
    idle.open = True
    idle.next_at = installation.now_ms() + 60_000
    with running.lock:
        running.callers[flow] = idle


def test_a_packet_costs_no_more_with_many_callers(tmp_path, monkeypatch):
    """Answers would wait in the socket of the callers until these have given up."""
    decoded = []
    decode = packets.from_upstream
    monkeypatch.setattr(packets, "from_upstream", lambda raw: decoded.append(raw) or decode(raw))
    with installation.Installation(tmp_path) as running:
        for port in range(40_000, 40_000 + IDLE_CALLERS):
            add_idle_caller(running, port)
        running.answered(running.caller(running.balancers[0]))
    assert len(decoded) < IDLE_CALLERS


def test_a_slowed_upstream_answers_late_and_a_late_copy_answers_no_other_request(tmp_path):
    """Guards against a soak that takes the copy of an old answer for a new one."""
    with installation.Installation(tmp_path, 1, 1) as running:
        caller = running.caller(running.balancers[0])
        running.answered(caller)
        running.sidecars[0].answer_delay_ms = 300
        asked_at = installation.now_ms()
        for request in (b"first", b"second"):
            running.ask(caller, request)
            running.answered(caller, request)
        assert caller.answered_at - asked_at >= 600
        assert running.sidecars[0].upstream.ran == [b"hello", b"first", b"second"]


def test_a_slowed_upstream_that_crashes_sends_none_of_its_late_answers(tmp_path):
    with installation.Installation(tmp_path, 1, 1) as running:
        caller = running.caller(running.balancers[0])
        running.answered(caller)
        running.sidecars[0].answer_delay_ms = 300
        running.ask(caller, b"late")
        running.wait(lambda: running.delayed)
        with running.lock:
            running.sidecars[0].upstream.restart()
        running.wait(lambda: not running.delayed)
        assert caller.answer is None
