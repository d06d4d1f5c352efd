"""What a sidecar knows of its upstream's flows and work from the packets of both sides."""

import pytest

from ebonystile.core.carrying import messages, packet, table
from ebonystile.platform import packets
from standins import ends

CALLER, ROUTE = packet.end_of("100.64.0.7", 40_001), packet.end_of("198.18.0.1", 443)
FLOW = CALLER + ROUTE
SOURCE = ("10.0.0.1", 7720)


def asked(sequence=10, data=b"x", flags=packets.ACK, acknowledged=101):
    return packets.from_caller(ends.pack(CALLER, ROUTE, flags, sequence, acknowledged, data))


def sent(data=b"", flags=packets.ACK, sequence=101):
    return packets.from_upstream(ends.pack(ROUTE, CALLER, flags, sequence, 0, data))


def opened(now=0):
    known = table.Table()
    held = known.open(FLOW, SOURCE, now)
    known.from_upstream(held, sent(flags=packets.SYN | packets.ACK, sequence=100), now)
    return known, held


def test_an_offer_is_held_by_the_caller_that_acknowledges_it():
    known, held = opened()
    assert known.holding(FLOW, 0) is messages.FlowStatus.OFFERED
    assert known.holding(FLOW, 101) is messages.FlowStatus.OFFERED
    assert known.holding(FLOW, 900_000) is messages.FlowStatus.ABSENT
    known.from_caller(held, asked(), 1)
    assert known.holding(FLOW, 900_000) is messages.FlowStatus.HELD


def test_work_runs_from_the_request_to_its_answer():
    known, held = opened()
    assert known.running(1) == 1
    assert known.running(table.PENDING_MS + 1) == 0
    known.from_caller(held, asked(), 1_000)
    assert known.running(1_001) == 1
    known.from_upstream(held, sent(), 1_010)
    assert known.running(1_011) == 1
    known.from_upstream(held, sent(b"answer"), 1_050)
    assert known.running(1_051) == 0


def test_a_packet_sent_again_is_no_new_work():
    """An answer is lost and the caller sends its request again; the upstream has long done it."""
    known, held = opened()
    known.from_caller(held, asked(), 1_000)
    known.from_upstream(held, sent(b"answer"), 1_050)
    known.from_caller(held, asked(), 1_200)
    assert known.running(1_201) == 0
    known.from_caller(held, asked(sequence=11), 1_300)
    assert known.running(1_301) == 1


def test_positions_wrap_around():
    known, held = opened()
    last = table.POSITIONS - 1
    known.from_caller(held, asked(sequence=last), 1_000)
    known.from_upstream(held, sent(b"answer"), 1_050)
    known.from_caller(held, asked(sequence=0), 1_100)
    assert known.running(1_101) == 1
    assert table.continues(last, 0) and not table.continues(0, last)


def test_flows_are_forgotten_when_they_end_or_fall_silent():
    known, held = opened()
    known.sweep(15_000, table.OFFER_MS - 1)
    assert FLOW in known.flows
    known.from_caller(held, asked(), 1_000)
    known.sweep(15_000, 15_999)
    assert FLOW in known.flows
    known.from_caller(held, asked(flags=packets.FIN | packets.ACK, data=b""), 16_000)
    known.from_upstream(held, sent(flags=packets.FIN | packets.ACK), 16_001)
    known.sweep(15_000, 16_001 + table.LINGER_MS - 1)
    assert FLOW in known.flows
    known.sweep(15_000, 16_001 + table.LINGER_MS)
    assert not known.flows and known.running(20_000) == 0


def test_the_number_of_flows_is_bounded(monkeypatch):
    monkeypatch.setattr(table, "MAX_FLOWS", 3)
    known = table.Table()
    for port in range(10):
        known.open(packet.end_of("100.64.0.7", 1_000 + port) + ROUTE, SOURCE, port)
    assert len(known.flows) == 3


def test_a_caller_that_closes_its_side_still_waits_for_its_answer():
    """A caller sends its request and closes its side at once; the work goes on."""
    known, held = opened()
    known.from_caller(held, asked(), 1_000)
    known.from_caller(held, asked(sequence=11, flags=packets.FIN, data=b""), 1_001)
    assert known.running(1_010) == 1
    known.from_upstream(held, sent(b"answer"), 1_040)
    assert known.running(1_041) == 0 and known.results.good_at(1_041) == 1.0


def test_a_close_that_overtakes_the_answer_is_no_bad_result():
    """An upstream answers and closes; its two packets change places on the way."""
    known, held = opened()
    known.from_caller(held, asked(), 1_000)
    known.from_upstream(held, sent(flags=packets.FIN, sequence=107), 1_040)
    assert known.running(1_040) == 1
    known.from_upstream(held, sent(b"answer"), 1_040)
    assert known.running(1_041) == 0 and known.results.good_at(1_041) == 1.0


def test_a_close_in_place_of_the_answer_is_a_bad_result():
    known, held = opened()
    known.from_caller(held, asked(), 1_000)
    known.from_upstream(held, sent(flags=packets.FIN), 1_040)
    assert known.running(1_041) == 0 and known.results.good_at(1_041) < 1


def test_a_request_that_hangs_is_a_bad_result_once():
    known, held = opened()
    known.from_caller(held, asked(), 1_000)
    assert known.running(1_000 + table.STUCK_MS) == 1
    assert known.running(1_001 + table.STUCK_MS) == 0
    assert known.results.good_at(1_001 + table.STUCK_MS) < 1


def test_results_tell_how_long_requests_take_and_how_many_are_answered():
    known, held = opened()
    for number in range(40):
        at = 1_000 + 100 * number
        known.from_caller(held, asked(sequence=10 + number), at)
        known.from_upstream(held, sent(b"answer"), at + 40)
    assert round(known.results.latency) == 40 and known.results.good_at(5_000) == 1.0


def test_flows_that_end_without_an_answer_are_bad_results_which_fade():
    """A grey upstream resets flows, or lets requests hang until their callers give up."""
    known = table.Table()
    for number in range(8):
        flow_of_one, at = asked(sequence=10), 1_000 + number
        held = known.add(FLOW, SOURCE, at)
        known.from_caller(held, flow_of_one, at)
        if number % 2:
            known.from_upstream(held, sent(flags=packets.RST), at)
        else:
            known.from_caller(held, asked(flags=packets.RST, data=b""), at)
        known.forget(FLOW)
    bad = 1 - known.results.good_at(1_007)
    assert bad > 0.6
    assert 1 - known.results.good_at(1_007 + table.FORGIVE_MS) == pytest.approx(bad / 2)


def test_an_answer_far_too_quick_is_a_bad_result():
    """A grey upstream answers half of its requests with an error, at once."""
    known, held = opened()
    for number in range(20):
        at = 1_000 + 100 * number
        known.from_caller(held, asked(sequence=10 + number), at)
        known.from_upstream(held, sent(b"answer"), at + 40)
    assert known.results.good_at(3_000) == 1.0
    known.from_caller(held, asked(sequence=30), 3_000)
    known.from_upstream(held, sent(b"error"), 3_001)
    assert known.results.good_at(3_001) < 1.0 and round(known.results.latency) == 40
