"""The order and the time at which a balancer's datagrams are sent to a narrow link."""

import pytest

from ebonystile.core.carrying import scheduling


@pytest.mark.parametrize("link_mbps", [0, 50.5, 100])
def test_an_unknown_or_wide_link_is_not_scheduled(link_mbps):
    """Scheduling costs time per datagram, and one process can't fill a wide link."""
    assert scheduling.make_scheduler(link_mbps, 0) is None


def test_a_link_is_narrowed_below_half_of_its_configured_rate():
    link = scheduling.make_scheduler(5, 0)
    assert not link.is_narrowed
    link.rate_mbps = 2.5
    assert not link.is_narrowed
    link.rate_mbps = 2.4
    assert link.is_narrowed
