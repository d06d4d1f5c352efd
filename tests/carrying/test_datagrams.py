"""Encoding and decoding of the datagrams about carried flows, also of malformed ones."""

import hypothesis
import pytest
from hypothesis import strategies

from ebonystile import errors
from ebonystile.core.carrying import announcing, messages
from ebonystile.peer import carrying

FLOW = strategies.binary(min_size=12, max_size=12)
RAW = strategies.binary(max_size=1_300)
NUMBER = strategies.integers(0, (1 << 64) - 1)
SHORT = strategies.integers(0, (1 << 16) - 1)
POSITION = strategies.integers(0, (1 << 32) - 1)
LOAD = strategies.builds(
    messages.Load,
    SHORT,
    POSITION,
    SHORT,
    SHORT,
    strategies.sampled_from([0.0, 1.0]),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
)
HOST = strategies.ip_addresses(v=4).map(str)
UNLISTED = strategies.tuples(HOST, SHORT)
MESSAGES = strategies.one_of(
    strategies.builds(messages.Ask, FLOW, NUMBER, POSITION),
    strategies.builds(
        messages.Answer, FLOW, NUMBER, strategies.sampled_from(messages.FlowStatus), LOAD, NUMBER
    ),
    strategies.builds(
        messages.AskMany,
        POSITION,
        NUMBER,
        strategies.lists(strategies.tuples(FLOW, POSITION), max_size=64).map(tuple),
    ),
    strategies.builds(
        messages.AnswerMany,
        POSITION,
        NUMBER,
        strategies.lists(strategies.sampled_from(messages.FlowStatus), max_size=64).map(tuple),
        LOAD,
        NUMBER,
    ),
    strategies.builds(messages.Open, NUMBER, NUMBER, RAW),
    strategies.builds(messages.Carry, RAW),
    strategies.builds(messages.Probe, RAW),
    strategies.builds(messages.ProbeMany, strategies.lists(RAW, max_size=8).map(tuple)),
    strategies.builds(messages.Return, strategies.sampled_from(messages.Reason), NUMBER, RAW),
    strategies.builds(messages.Announce, strategies.booleans(), strategies.booleans()),
    strategies.builds(messages.AskUnlisted),
    strategies.builds(
        messages.AnswerUnlisted,
        POSITION,
        strategies.lists(UNLISTED, max_size=announcing.MAX_UNLISTED_PER_ANSWER).map(tuple),
    ),
)


@hypothesis.given(MESSAGES)
def test_a_message_is_decoded_from_its_datagram(message):
    assert carrying.unpack(carrying.pack(message)) == message


@hypothesis.given(strategies.binary(max_size=100))
def test_malformed_datagrams_raise_a_datagram_error(data):
    try:
        carrying.unpack(data)
    except errors.DatagramError as error:
        assert error.step == "read datagram"


@hypothesis.given(strategies.floats(0, 1))
def test_a_success_rate_is_encoded_within_half_a_percent(rate):
    load = messages.Load(success_rate=rate)
    sent = messages.Answer(bytes(12), 1, messages.FlowStatus.HELD, load)
    assert carrying.unpack(carrying.pack(sent)).load.success_rate == pytest.approx(rate, abs=0.005)


def test_numbers_too_large_for_their_field_are_clamped():
    load = messages.Load(running=1 << 20, slots=1 << 20, latency=1 << 20)
    sent = messages.Answer(bytes(12), 1, messages.FlowStatus.HELD, load)
    back = carrying.unpack(carrying.pack(sent)).load
    assert back.running == back.slots == back.latency == carrying.MAX_UINT16


def test_a_truncated_list_of_sidecars_is_rejected():
    """A truncated list must not count as all sidecars without an entry."""
    whole = carrying.pack(messages.AnswerUnlisted(500, (("10.0.0.1", 7720), ("10.0.0.2", 7720))))
    for kept in range(1, len(whole)):
        with pytest.raises(errors.DatagramError):
            carrying.unpack(whole[:kept])


def test_a_truncated_packet_among_several_is_rejected():
    whole = carrying.pack(messages.ProbeMany((b"first", b"second")))
    with pytest.raises(errors.DatagramError):
        carrying.unpack(whole[:-1])
