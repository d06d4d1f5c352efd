"""Check that sealed datagrams can be opened, and forged, damaged and replayed ones cannot."""

import pytest

from ebonystile import errors
from ebonystile.peer import messages, seal

OLD, NEW, FOREIGN = (seal.Key(n, bytes([n]) * 32) for n in (1, 2, 3))
FORWARD = messages.Forward(("127.0.0.1", 9), ("10.1.2.3", 65_535), (1, 1 << 63), b"payload")


def make_seal(*keys, incarnation=7):
    return seal.Seal(keys, incarnation)


def test_round_trip_keeps_incarnation_and_revision():
    sender = make_seal(OLD)
    sender.revision = 12
    opened = make_seal(OLD).open(sender.seal_content(messages.pack_forward(FORWARD)))
    assert (opened.incarnation, opened.revision) == (7, 12)
    assert messages.unpack(opened.content) == FORWARD


def test_keys_rotate_without_a_gap():
    both = make_seal(OLD, NEW)
    assert make_seal(NEW, OLD).open(both.seal([1])).body == [1]
    assert both.open(make_seal(NEW, incarnation=8).seal([2])).body == [2]


def damaged_datagrams():
    data = make_seal(OLD).seal([1, b"x" * 50])
    yield from (data[:cut] for cut in (0, 1, 17, 40, len(data) - 1))
    yield from (data[:i] + bytes([data[i] ^ 1]) + data[i + 1 :] for i in range(0, len(data), 7))
    yield data + b"\0"
    yield make_seal(FOREIGN).seal([1])
    yield seal.Seal([seal.Key(1, bytes(32))], 7).seal([1])


@pytest.mark.parametrize("data", list(damaged_datagrams()))
def test_damaged_and_forged_datagrams_are_refused(data):
    with pytest.raises(errors.DatagramError):
        make_seal(OLD).open(data)


def test_replayed_datagrams_are_refused_and_reordered_ones_accepted():
    """Guards against replayed datagrams, within the window and behind it."""
    sender, receiver = make_seal(OLD), make_seal(OLD)
    sent = [sender.seal([n]) for n in range(10)]
    for data in reversed(sent):
        receiver.open(data)
    with pytest.raises(errors.DatagramError, match="replayed"):
        receiver.open(sent[3])
    for n in range(seal.REPLAY_WINDOW):
        receiver.open(sender.seal([n]))
    with pytest.raises(errors.DatagramError, match="replayed"):
        receiver.open(sent[3])


def test_number_of_replay_windows_is_bounded():
    receiver = make_seal(OLD)
    for incarnation in range(seal.MAX_SENDERS + 10):
        receiver.open(make_seal(OLD, incarnation=incarnation).seal([1]))
    assert len(receiver.windows) == seal.MAX_SENDERS


@pytest.mark.parametrize(
    "content", [b"", b"\x01", b"\x02abc", b"\x03" + bytes(40), messages.pack_forward(FORWARD)[:20]]
)
def test_malformed_content_is_a_datagram_error(content):
    with pytest.raises(errors.DatagramError):
        messages.unpack(content)
