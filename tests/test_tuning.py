"""Check that the policy settings reach the cores, and the lag that a loop reports."""

import socket

import pytest

from ebonystile import clock, loop, settings
from ebonystile.core.calls import limits
from ebonystile.core.placing import balance, placement
from ebonystile.daemon import tuning


def test_defaults_of_settings_and_cores_agree():
    assert tuning.make_policy(settings.SpreadingSettings()) == balance.DEFAULT_POLICY


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("power-of-two", placement.PowerOfTwo),
        ("rendezvous", placement.KeepLocal),
        ("bounded-loads", placement.BoundedLoads),
        ("least-of-all", placement.LeastLoaded),
        ("lexicographic", placement.Lexicographic),
    ],
)
def test_placement_by_name(name, kind):
    made = tuning.make_policy(settings.SpreadingSettings(placement=name))
    assert type(made.placement_policy) is kind


def test_values_reach_the_core():
    config = settings.SpreadingSettings(
        queue_order="deadline", when_shed="keep", work_gap=2, suspect_hold_ms=200_000
    )
    made = tuning.make_policy(config)
    assert (made.order, made.adaptive) == (limits.Order.DEADLINE, False)
    assert made.placement_policy.work_gap == 2
    assert made.suspicion_rules.max_hold_ms == 200_000


def test_gate():
    gate = tuning.make_gate(settings.GateSettings(opens_per_second=7, return_soonest_ms=9000))
    assert (gate.capacity, gate.bounds.max_retry_ms) == (7, 9000)


def test_loop_that_does_not_keep_up_shows_a_lag(monkeypatch):
    """Guards against a lag of 0 while datagrams wait beyond a full batch."""
    time = [1000]
    monkeypatch.setattr(clock, "now", lambda: time[0])
    running = loop.Loop()
    udp = running.listen(("127.0.0.1", 0), lambda data, source: None)
    receiver = running.receivers[udp]
    receiver.batch = loop.BATCH_DATAGRAMS
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(2 * loop.BATCH_DATAGRAMS):
                sender.sendto(b"x", udp.getsockname())
        running.step()
        time[0] += 70
        running.step()
        assert running.lag(udp) == 70
        time[0] += loop.RECENTLY_FULL_MS + 1
        assert running.lag(udp) == 0, "the socket is idle"
    finally:
        running.stop()
        running.run()
