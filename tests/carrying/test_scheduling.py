"""The order and the time at which a balancer's datagrams are sent to a narrow link."""

import dataclasses

import pytest

from ebonystile.core.carrying import datagram, fair_queue, packet, routes, scheduling, transfers

NOW = 100_000
PEER = ("10.0.1.1", 7720)
OTHER = ("10.0.1.2", 7720)
FULL = 1_200
URGENT = routes.RequestTraits(routes.RequestKind.NON_IDEMPOTENT, 300, 1_500, 1)
UPLOAD = routes.RequestTraits(routes.RequestKind.UPLOAD, 1_000, 5_000, 2)
PLAIN = routes.NO_TRAITS


def flow_of(caller, port=1):
    return packet.endpoint_of(f"100.64.0.{caller}", port) + packet.endpoint_of("198.18.0.1", 443)


def data(flow, sequence=0, traits=PLAIN, length=FULL, **fields):
    made = datagram.Datagram(bytes(length + 32), PEER, flow, traits, sequence, length)
    return dataclasses.replace(made, **fields)


def message(size=25):
    return datagram.Datagram(bytes(size), PEER)


def saturated(mbps=5):
    """Return a scheduler without credit, in front of which everything waits."""
    link = scheduling.make_scheduler(mbps, NOW)
    link.pacer.refill(NOW + 10)
    link.pacer.credit = 0
    return link


def drain(link, ms=60_000):
    """Return all that the scheduler sends, in order, with the time of each datagram."""
    sent, now = [], NOW + 10
    while link.waiting_bytes and now < NOW + ms:
        now = link.next_due(now)
        sent += [(now, made) for made in link.pop_due(now)]
    return sent


def order(link):
    return [made for _, made in drain(link)]


@pytest.mark.parametrize("link_mbps", [0, 50.5, 100])
def test_an_unknown_or_wide_link_is_not_scheduled(link_mbps):
    """Scheduling costs time per datagram, and one process can't fill a wide link."""
    assert scheduling.make_scheduler(link_mbps, 0) is None


def test_a_link_is_narrowed_below_half_of_its_configured_rate():
    link = scheduling.make_scheduler(5, 0)
    assert not link.is_narrowed
    link.set_rate(2.5, 0)
    assert not link.is_narrowed
    link.set_rate(2.4, 0)
    assert link.is_narrowed


def test_a_datagram_is_sent_at_once_while_nothing_waits():
    link = scheduling.make_scheduler(5, NOW)
    assert link.enqueue(data(flow_of(1)), NOW)
    assert link.next_due(NOW) is None and not link.dropped


def test_no_more_than_the_rate_and_one_burst_is_sent():
    """What exceeds the link's own queue of about 50 ms is dropped there."""
    link = scheduling.make_scheduler(5, NOW)
    at_once = sum(link.enqueue(data(flow_of(1), n * FULL), NOW) for n in range(600))
    size = data(flow_of(1)).size
    assert (at_once - 1) * size <= 10 * link.bytes_per_ms
    sent = drain(link)
    assert len(sent) + at_once == 600
    for at, _ in sent[:: len(sent) // 20]:
        passed = at_once + sum(when <= at for when, _ in sent)
        assert passed * size <= (at - NOW + 10) * link.bytes_per_ms + size
    assert sent[-1][0] - NOW <= 600 * size / link.bytes_per_ms + 10


def test_a_rate_too_low_for_a_burst_of_one_packet_still_sends_packets():
    """At 1/64 of 5 Mbit/s, 10 ms of the rate are less than one packet."""
    link = saturated(5 / 64)
    for n in range(5):
        link.enqueue(data(flow_of(1), n * FULL), NOW + 10)
    sent = drain(link)
    assert len(sent) == 5
    gaps = [b[0] - a[0] for a, b in zip(sent, sent[1:], strict=False)]
    assert min(gaps) >= 0.9 * data(flow_of(1)).size / link.bytes_per_ms


def test_wake_ups_are_at_least_two_ms_apart():
    """A wake-up for every packet would cost processor time that the balancer lacks."""
    link = saturated(50)
    for n in range(300):
        link.enqueue(data(flow_of(1), n * FULL), NOW + 10)
    now = NOW + 10
    while link.waiting_bytes:
        due = link.next_due(now)
        assert due >= now + scheduling.MIN_WAKE_MS
        now = due
        link.pop_due(now)


def test_first_messages_then_priorities_then_interactive_before_bulk():
    link = saturated()
    bulk = data(flow_of(1), traits=UPLOAD)
    plain = data(flow_of(2), traits=PLAIN, length=100)
    urgent = data(flow_of(3), traits=URGENT)
    opening = data(flow_of(4), traits=UPLOAD, length=0, opens=True)
    asked = message()
    for made in (bulk, plain, urgent, opening, asked):
        link.enqueue(made, NOW + 10)
    assert order(link) == [opening, asked, urgent, plain, bulk]


def test_a_flow_with_six_full_packets_is_bulk_whatever_its_route_states():
    """Routes without traits must not starve each other's small requests."""
    link = saturated()
    large = [data(flow_of(1), n * FULL) for n in range(8)]
    for made in large:
        link.enqueue(made, NOW + 10)
    small = data(flow_of(2), length=100)
    link.enqueue(small, NOW + 10)
    assert order(link) == [small, *large]


def test_a_flow_is_interactive_again_after_a_pause():
    """A long flow that sent one large request must not stay behind all others."""
    link = saturated()
    for n in range(8):
        link.enqueue(data(flow_of(1), n * FULL), NOW + 10)
    drain(link)
    later = NOW + 10 + 5_000
    link.pacer.take(0, later)
    link.pacer.credit = 0
    large = data(flow_of(2), traits=UPLOAD)
    small = data(flow_of(1), 9 * FULL, length=100)
    link.enqueue(large, later)
    link.enqueue(small, later)
    assert link.pop_due(later + 10)[0] is small


def test_the_packets_of_a_flow_keep_their_order():
    """A closing packet must not overtake the flow's data, nor bulk data what waits before it."""
    link = saturated()
    flow = flow_of(1)
    sent = [data(flow, n * FULL) for n in range(9)]
    closing = data(flow, 9 * FULL, length=0, closes=True)
    for made in (*sent, closing):
        link.enqueue(made, NOW + 10)
    assert order(link) == [*sent, closing]


def test_lower_levels_get_an_eighth_of_the_bytes():
    """A stream of urgent packets must not starve uploads."""
    link = saturated()
    now = NOW + 10
    for n in range(200):
        link.enqueue(data(flow_of(1), n * FULL, URGENT), now)
        link.enqueue(data(flow_of(2), n * FULL, UPLOAD), now)
    sent = []
    while now < NOW + 210:
        now = link.next_due(now)
        sent += link.pop_due(now)
    uploads = sum(made.traits is UPLOAD for made in sent)
    assert 1 / 10 <= uploads / len(sent) <= 1 / 7


def test_a_stream_of_small_messages_at_the_links_rate_leaves_an_eighth():
    """Messages that pass at once must not use up the credit that a full packet waits for."""
    link = saturated()
    now, uploaded, messages_sent = NOW + 10, 0, 0
    for n in range(50):
        link.enqueue(data(flow_of(2), n * FULL, UPLOAD), now)
    while now < NOW + 1_000:
        now += 1
        for _ in range(6):
            messages_sent += link.enqueue(message(72), now)
        if link.next_due(now) <= now:
            due = link.pop_due(now)
            uploaded += sum(made.length > 0 for made in due)
            messages_sent += sum(not made.length for made in due)
    assert uploaded * FULL >= messages_sent * 100 / 10


def test_callers_share_an_interactive_level_by_bytes():
    """A caller with twenty flows must not keep another one waiting."""
    link = saturated()
    many = [data(flow_of(1, port), traits=URGENT) for port in range(20)]
    one = data(flow_of(2), traits=URGENT)
    for made in (*many, one):
        link.enqueue(made, NOW + 10)
    assert order(link).index(one) <= 2


def test_a_callers_uploads_are_sent_one_after_the_other():
    """If they shared the link packet by packet, all of them would finish late together."""
    link = saturated()
    first = [data(flow_of(1, 1), n * FULL, UPLOAD) for n in range(10)]
    second = [data(flow_of(1, 2), n * FULL, UPLOAD) for n in range(10)]
    for pair in zip(first, second, strict=True):
        for made in pair:
            link.enqueue(made, NOW + 10)
    assert order(link) == [*first, *second]


def test_an_earlier_upload_goes_on_first_after_its_queue_was_empty():
    link = saturated()
    link.enqueue(data(flow_of(1, 1), 0, UPLOAD), NOW + 10)
    link.enqueue(data(flow_of(1, 2), 0, UPLOAD), NOW + 10)
    link.enqueue(data(flow_of(1, 2), FULL, UPLOAD), NOW + 10)
    now = NOW + 10
    while len(link.arrivals) > 2:
        now = link.next_due(now)
        link.pop_due(now)
    earlier = data(flow_of(1, 1), FULL, UPLOAD)
    link.enqueue(earlier, now)
    assert link.pop_due(now + 10)[0] is earlier


def test_callers_with_uploads_take_turns():
    """One caller's uploads must not keep those of others waiting until all are done."""
    link = saturated()
    first = [data(flow_of(1), n * FULL, UPLOAD) for n in range(200)]
    other = [data(flow_of(2), n * FULL, UPLOAD) for n in range(5)]
    for made in (*first, *other):
        link.enqueue(made, NOW + 10)
    sent = order(link)
    turn = fair_queue.BULK_QUANTUM / first[0].size
    assert turn - 1 <= sent.index(other[0]) <= turn + 2
    assert sent.index(other[-1]) == sent.index(other[0]) + 4


def test_a_copy_of_a_waiting_packet_is_dropped():
    """Senders repeat a packet after 200 ms; the copies would use up the link."""
    link = saturated()
    waiting = data(flow_of(1))
    link.enqueue(waiting, NOW + 10)
    assert not link.enqueue(data(flow_of(1)), NOW + 210)
    assert link.dropped == {scheduling.DUPLICATE: 1}
    assert order(link) == [waiting]
    assert link.enqueue(data(flow_of(1)), NOW + 1_000)


def test_a_waiting_packet_goes_to_the_home_that_its_copy_goes_to():
    """A flow's home may change while its packets wait; the former one may be gone."""
    link = saturated()
    link.enqueue(data(flow_of(1)), NOW + 10)
    link.enqueue(data(flow_of(1), address=OTHER), NOW + 210)
    assert [made.address for made in order(link)] == [OTHER]


def test_no_more_than_the_limit_waits_and_bulk_is_dropped_first():
    """Beyond the limit the newest packets of the largest bulk flow are dropped."""
    link = saturated()
    small = [data(flow_of(3, n), traits=URGENT, length=200) for n in range(50)]
    few = [data(flow_of(2), n * FULL, UPLOAD) for n in range(100)]
    many = [data(flow_of(1), n * FULL, UPLOAD) for n in range(900)]
    for made in (*small, *few, *many):
        link.enqueue(made, NOW + 10)
        assert link.waiting_bytes <= scheduling.MAX_WAITING_BYTES
    assert link.dropped[scheduling.OVERFLOW] > 0
    kept = list(link.arrivals)
    assert kept[:150] == [*small, *few]
    assert kept[150:] == many[: len(kept) - 150]


def test_a_small_bulk_flow_is_dropped_before_a_large_interactive_one():
    link = saturated()
    bulk = [data(flow_of(1), n * FULL, UPLOAD) for n in range(100)]
    many = [data(flow_of(2), n * FULL, URGENT, length=900) for n in range(1_050)]
    for made in (*bulk, *many):
        link.enqueue(made, NOW + 10)
    assert link.dropped[scheduling.OVERFLOW] > 0
    assert list(link.arrivals)[-1] is many[-1]
    assert sum(made.traits is URGENT for made in link.arrivals) == len(many)


def test_what_waits_is_bounded_without_any_bulk_flow():
    link = saturated()
    for n in range(2_000):
        link.enqueue(data(flow_of(n % 200, n), length=900), NOW + 10)
    assert link.waiting_bytes <= scheduling.MAX_WAITING_BYTES
    assert len(link.arrivals) + link.dropped[scheduling.OVERFLOW] == 2_000


def test_packets_are_dropped_when_their_caller_has_given_up():
    """After a pause of the process they would delay what callers still wait for."""
    link = saturated()
    opening = data(flow_of(1), length=0, opens=True)
    urgent = data(flow_of(2), traits=URGENT)
    upload = data(flow_of(3), traits=UPLOAD)
    plain = data(flow_of(4), length=100)
    for made in (upload, plain, urgent, opening):
        link.enqueue(made, NOW + 10)
    assert link.pop_due(NOW + 10 + 4_999)[0] in (plain, upload)
    assert link.dropped == {scheduling.EXPIRED: 2}
    link = saturated()
    link.enqueue(plain, NOW + 10)
    assert not link.pop_due(NOW + 10 + scheduling.DEFAULT_EXPIRY_MS)
    assert link.next_due(NOW) is None and not link.waiting_bytes


def test_expired_packets_of_a_level_that_is_not_served_are_dropped():
    """They would count in the predicted waits of packets that callers still wait for."""
    link = saturated()
    patient = dataclasses.replace(URGENT, timeout_ms=60_000)
    plain = data(flow_of(1))
    link.enqueue(plain, NOW + 10)
    for n in range(100):
        link.enqueue(data(flow_of(2), n * FULL, patient), NOW + 11)
    sent = link.pop_due(NOW + 10 + scheduling.DEFAULT_EXPIRY_MS)
    assert sent and plain not in sent and plain not in link.arrivals
    assert link.dropped == {scheduling.EXPIRED: 1}


def test_an_aborted_flow_leaves_nothing_in_the_queue():
    link = saturated()
    for n in range(10):
        link.enqueue(data(flow_of(1), n * FULL, UPLOAD), NOW + 10)
    kept = data(flow_of(2), traits=UPLOAD)
    link.enqueue(kept, NOW + 10)
    abort = data(flow_of(1), 10 * FULL, UPLOAD, length=0, aborts=True)
    link.enqueue(abort, NOW + 10)
    assert link.dropped == {scheduling.ABORTED: 10}
    assert order(link) == [abort, kept]


def test_the_predicted_wait_is_that_of_the_bytes_ahead():
    link = saturated()
    assert link.predicted_wait_ms(UPLOAD, True, NOW + 10) == 0
    for n in range(100):
        link.enqueue(data(flow_of(1), n * FULL, UPLOAD), NOW + 10)
    ahead = 100 * data(flow_of(1)).size
    assert link.predicted_wait_ms(URGENT, False, NOW + 10) == 0
    assert link.predicted_wait_ms(UPLOAD, True, NOW + 10) == pytest.approx(
        ahead / link.bytes_per_ms
    )
    sent = drain(link)
    assert sent[-1][0] - NOW - 10 == pytest.approx(ahead / link.bytes_per_ms, rel=0.05)
    for n in range(100):
        link.enqueue(data(flow_of(2), n * FULL, UPLOAD), sent[-1][0])
    before = link.predicted_wait_ms(UPLOAD, True, sent[-1][0])
    link.set_rate(2.5, sent[-1][0])
    assert link.predicted_wait_ms(UPLOAD, True, sent[-1][0]) == pytest.approx(2 * before, rel=0.1)


def test_the_transfers_kept_are_bounded():
    """Each full-size packet of a flow is recorded; a balancer has 120 MB of memory."""
    kept = transfers.Transfers()
    for n in range(transfers.MAX_TRANSFERS + 100):
        kept.record(flow_of(n % 200, n), FULL, NOW, is_upload=False)
    assert len(kept.by_flow) == transfers.MAX_TRANSFERS
    kept.record(flow_of(1, 60_000), FULL, NOW + transfers.FORGET_MS, is_upload=False)
    assert len(kept.by_flow) == 1


def test_a_drained_scheduler_keeps_nothing():
    link = saturated()
    for n in range(100):
        link.enqueue(data(flow_of(n % 7, n % 9), n * FULL, (PLAIN, UPLOAD, URGENT)[n % 3]), NOW)
        link.enqueue(message(), NOW)
    drain(link)
    assert not link.levels and not link.flows and not link.arrivals
    assert not link.waiting_by_identity and not link.waiting_bytes
