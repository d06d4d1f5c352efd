"""Parsing of the platform's packet headers; packets must be forwarded unchanged."""

import hypothesis
import pytest
from hypothesis import strategies

from ebonystile.core.carrying import packet
from ebonystile.platform import packets
from standins import ends

OPENING = bytes.fromhex(
    "a1b2c3d5 11223344 00000000 00000000 02 0000 01bb c6120001 9c41 64400007".replace(" ", "")
)
RESET = bytes.fromhex(
    "00000000 00000000 00000000 00000000 80 0000 9c41 64400007 01bb c6120001".replace(" ", "")
)
CALLER = packet.endpoint_of("100.64.0.7", 40_001)
ROUTE = packet.endpoint_of("198.18.0.1", 443)

POSITION = strategies.integers(0, (1 << 32) - 1)


def test_the_published_example_is_parsed():
    shown = packets.from_caller(OPENING)
    assert shown.flow == CALLER + ROUTE
    assert packet.flow_text(shown.flow) == "100.64.0.7:40001>198.18.0.1:443"
    assert shown.opens and not shown.accepts and not shown.aborts
    assert shown.sequence == 0x11223344


def test_a_reset_matches_the_published_example():
    assert packets.make_reset(CALLER + ROUTE, 0) == RESET


@hypothesis.given(strategies.binary(max_size=1_300))
def test_any_bytes_are_a_packet_or_none(raw):
    for parse in (packets.from_caller, packets.from_upstream):
        shown = parse(raw)
        assert shown is None or len(shown.raw) == packets.HEADER.size + shown.length


@hypothesis.given(POSITION, POSITION, strategies.binary(max_size=packets.MAX_DATA_BYTES))
def test_both_directions_are_parsed_to_the_same_flow(sequence, acknowledged, data):
    there = ends.pack(CALLER, ROUTE, packets.ACK, sequence, acknowledged, data)
    back = ends.pack(ROUTE, CALLER, packets.ACK, acknowledged, sequence, data)
    shown, sent = packets.from_caller(there), packets.from_upstream(back)
    assert shown.flow == sent.flow
    assert (shown.raw, shown.sequence, shown.acknowledged) == (there, sequence, acknowledged)
    assert (shown.length, sent.length) == (len(data), len(data))


@hypothesis.given(POSITION, strategies.binary(max_size=packets.MAX_DATA_BYTES))
def test_a_returned_packet_is_restored_to_the_callers(sequence, data):
    """An upstream that does not hold a flow returns its packet with the RETURNED flag set.

    Forwarded with that flag it would differ from the packet that the caller sent.
    """
    there = ends.pack(CALLER, ROUTE, packets.SYN, sequence, 0, data)
    back = packets.from_upstream(ends.mark_returned(there))
    assert back.returned and back.raw == there and back.flow == CALLER + ROUTE


@pytest.mark.parametrize("cut", range(packets.HEADER.size))
def test_a_truncated_header_is_refused(cut):
    assert packets.from_caller(OPENING[:cut]) is None
    assert packets.from_upstream(OPENING[:cut]) is None


def test_a_wrong_length_is_refused():
    assert packets.from_caller(OPENING + b"x") is None
