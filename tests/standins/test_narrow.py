"""The link between a balancer and its sidecars: what passes while its thread waits for its turn."""

import time

import pytest

from standins import installation, narrow

FULL_BYTES = 1_150
DATAGRAMS = 40
INTERVAL_S = 0.004
"""Between two datagrams: about half of the link's rate."""

UNSTAMPED_S = 0.03
"""Time in s after which the kernel no longer stamps datagrams, once no socket asks it to."""

BALANCER, ADDRESS, SIDECAR = "127.0.4.1", "127.0.4.2", "127.0.4.3"


@pytest.fixture
def reservation():
    made = installation.Reservation()
    yield made
    made.release()


def test_a_late_turn_of_the_link_loses_no_capacity(reservation):
    """Guards against a stand-in that drops what a link at its rate would have passed in time."""
    port, sidecar_port = reservation.reserve(), reservation.reserve()
    sender, sidecar = installation.udp((BALANCER, port)), installation.udp((SIDECAR, sidecar_port))
    link = narrow.NarrowLink(narrow.LINK_MBPS)
    link.relay((ADDRESS, port), (SIDECAR, sidecar_port), (BALANCER, port))
    for number in range(DATAGRAMS):
        sender.sendto(bytes([number]) * FULL_BYTES, (ADDRESS, port))
        time.sleep(INTERVAL_S)
    link.thread.start()
    received = receive(sidecar, DATAGRAMS)
    link.close()
    sender.close()
    sidecar.close()
    assert received == list(range(DATAGRAMS)) and link.model.dropped == 0
    assert link.longest_late_ms >= (DATAGRAMS - 1) * INTERVAL_S * 1_000


def test_the_first_datagram_has_the_time_of_its_arrival(reservation):
    """One that came before the kernel began to stamp was relayed after all that came later."""
    late = []
    for _ in range(60):
        port = reservation.reserve()
        stamped = narrow.make_stamped((ADDRESS, port))
        stamped.sendto(b"x", (ADDRESS, port))
        sent_at = time.monotonic()
        time.sleep(2 * INTERVAL_S)
        _, ancillary, _, _ = stamped.recvmsg(1, narrow.STAMP_SPACE)
        late.append(narrow.arrival(ancillary) - sent_at > INTERVAL_S)
        stamped.close()
        time.sleep(UNSTAMPED_S)
    assert not any(late)


def receive(sidecar, most):
    """Return the first byte of each datagram, until there are `most` or none comes in time."""
    received = []
    end = time.monotonic() + 5
    while len(received) < most and time.monotonic() < end:
        try:
            received.append(sidecar.recv(65_535)[0])
        except BlockingIOError:
            time.sleep(installation.STEP_S)
    return received
