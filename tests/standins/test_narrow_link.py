"""The stand-in for a narrow link: its rate, its queue, what it drops, and a daemon behind it."""

import time

import pytest

from ebonystile.core.carrying import datagram
from standins import installation, narrow_link

FULL_BYTES = 1_250 - datagram.HEADER_BYTES
FULL_S = 0.01
"""Time that a datagram of `FULL_BYTES` takes at 1 Mbit/s, in s."""


def test_datagrams_leave_one_after_the_other_at_the_rate():
    link = narrow_link.Link(1.0)
    departures = [link.departure(FULL_BYTES, 5.0) for _ in range(3)]
    assert departures == pytest.approx([5 + FULL_S, 5 + 2 * FULL_S, 5 + 3 * FULL_S])
    assert link.departure(FULL_BYTES, 9.0) == pytest.approx(9 + FULL_S)


def test_what_exceeds_the_queue_is_dropped_and_takes_no_time():
    """Guards against a link that delays without loss, which would hide what senders repeat."""
    link = narrow_link.Link(1.0)
    departures = [link.departure(FULL_BYTES, 5.0) for _ in range(20)]
    passed = [at for at in departures if at is not None]
    assert len(passed) == 6 and link.dropped == 14
    assert link.departure(FULL_BYTES, passed[-1]) == pytest.approx(passed[-1] + FULL_S)


def test_a_datagram_longer_than_the_queue_passes_an_idle_link():
    """Guards against a narrowed link that passes nothing at all."""
    assert narrow_link.Link(0.05).departure(FULL_BYTES, 5.0) == pytest.approx(5.2)


def test_callers_are_served_through_a_narrow_link_and_its_rate_can_change(tmp_path):
    with installation.Installation(tmp_path, 1, 1, link_mbps=(2.0,)) as running:
        [balancer] = running.balancers
        assert running.answered(running.caller(balancer)) == b"sidecar-1"
        # At this rate a datagram takes seconds: the second one is queued for too long.
        running.set_link(balancer, 0.000_1)
        time.sleep(2 * narrow_link.RATE_POLL_S)
        late = running.caller(balancer)
        with pytest.raises(AssertionError, match="no answer within 1 s"):
            running.answered(late, seconds=1)
        running.set_link(balancer, 2.0)
        running.kill(balancer)
        running.start(balancer)
        running.wait(lambda: running.is_ready(balancer))
        assert running.answered(running.caller(balancer)) == b"sidecar-1"
