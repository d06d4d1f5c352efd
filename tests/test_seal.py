"""Check that sealed datagrams open whole, and that forged, damaged and replayed ones do not."""

import pytest

from ebonystile import errors
from ebonystile.peer import messages, seal

OLD, NEW, FOREIGN = (seal.Key(n, bytes([n]) * 32) for n in (1, 2, 3))
FORWARD = messages.Forward(("127.0.0.1", 9), ("10.1.2.3", 65_535), (1, 1 << 63), b"payload")


def make(*keys, incarnation=7):
    return seal.Seal(keys, incarnation)


def test_round_trip_shows_sender_and_revision():
    sender = make(OLD)
    sender.revision = 12
    opened = make(OLD).open(sender.seal_content(messages.pack_forward(FORWARD)))
    assert (opened.incarnation, opened.revision) == (7, 12)
    assert messages.unpack(opened.content) == FORWARD


def test_keys_rotate_without_a_gap():
    both = make(OLD, NEW)
    assert make(NEW, OLD).open(both.seal([1])).body == [1]
    assert both.open(make(NEW, incarnation=8).seal([2])).body == [2]


def damaged():
    data = make(OLD).seal([1, b"x" * 50])
    yield from (data[:cut] for cut in (0, 1, 17, 40, len(data) - 1))
    yield from (data[:i] + bytes([data[i] ^ 1]) + data[i + 1 :] for i in range(0, len(data), 7))
    yield data + b"\0"
    yield make(FOREIGN).seal([1])
    yield seal.Seal([seal.Key(1, bytes(32))], 7).seal([1])


@pytest.mark.parametrize("data", list(damaged()))
def test_damaged_and_forged_datagrams_do_not_open(data):
    with pytest.raises(errors.DatagramError):
        make(OLD).open(data)


def test_a_replay_is_dropped_and_reordering_is_not():
    """A datagram recorded on the wire is sent again; others merely come out of order."""
    sender, receiver = make(OLD), make(OLD)
    sent = [sender.seal([n]) for n in range(10)]
    for data in reversed(sent):
        receiver.open(data)
    with pytest.raises(errors.DatagramError, match="replayed"):
        receiver.open(sent[3])
    for n in range(seal.REPLAY_WINDOW):
        receiver.open(sender.seal([n]))
    with pytest.raises(errors.DatagramError, match="replayed"):
        receiver.open(sent[3])


def test_senders_are_bounded():
    receiver = make(OLD)
    for incarnation in range(seal.MAX_SENDERS + 10):
        receiver.open(make(OLD, incarnation=incarnation).seal([1]))
    assert len(receiver.windows) == seal.MAX_SENDERS


@pytest.mark.parametrize(
    "content", [b"", b"\x01", b"\x02abc", b"\x03" + bytes(40), messages.pack_forward(FORWARD)[:20]]
)
def test_foreign_content_is_one_typed_error(content):
    with pytest.raises(errors.DatagramError):
        messages.unpack(content)
