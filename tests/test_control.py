"""Check the round trip of gossip messages and packed updates, and that damaged ones are refused."""

import zlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from benches import fleet
from ebonystile import errors
from ebonystile.core.control import assembly, configuration, gossip, store
from ebonystile.peer import control

INSTANCE = assembly.Instance("line-1", "upstream", ("10.0.0.1", 7000), "umea", True)
UPDATE = configuration.Update(
    store.Delta(3, 9, 1, (("services/1", store.Entry(4, b"x")), ("a", store.Entry(9, None)))),
    store.Delta(0, 5, 2, (("line-1", store.Entry(5, INSTANCE)),), ("line-1", "line-2")),
    (configuration.Refusal(7, "labels/1", ("document: wrong",)),),
)


def test_update_round_trip():
    assert control.unpack_update(control.pack_update(UPDATE)) == UPDATE


@pytest.mark.parametrize(
    "data",
    [
        b"",
        control.pack_update(UPDATE)[:-1],
        zlib.compress(b"\xff"),
        zlib.compress(cbor2.dumps([])),
        zlib.compress(cbor2.dumps([[3, 9, 1, None], [["k", "4", b"x"]], [0, 0, 0, None], [], []])),
        zlib.compress(bytes(control.MAX_UPDATE_BYTES + 1)),
    ],
)
def test_damaged_update_raises_a_typed_error(data):
    with pytest.raises(errors.DatagramError):
        control.unpack_update(data)


def make_gossip(state=0, updates=()):
    sender = ("b9", "balancer", ("10.0.0.9", 7000), "umea", 5, state)
    return control.Gossip(sender, 0, 0, 1, 1, 0, True, updates)


@pytest.mark.parametrize(
    "message",
    [
        make_gossip(state=7),
        make_gossip(updates=(("x", "upstream", ("10.0.0.1", 7000), "umea", 5, -1),)),
        control.UpdateReply(1, True, 0, b"rubbish"),
    ],
)
def test_invalid_message_changes_nothing(message):
    made = fleet.Fleet()
    made.publish_value("services/1", {"services": {}})
    node = made.add("b0")
    made.run(5_000)
    before = (node.core.configuration.digest, dict(node.core.membership.members))
    with pytest.raises(errors.DatagramError):
        gossip.decide(node.core, gossip.Arrived(("10.0.0.9", 7000), message), made.now)
    assert (node.core.configuration.digest, node.core.membership.members) == before
    assert node.core.is_caught_up


@given(st.binary(max_size=200))
def test_decoding_any_bytes_gives_a_message_or_a_typed_error(data):
    try:
        message = control.CONTROL.decode(data)
    except errors.DatagramError:
        return
    assert control.CONTROL.decode(control.CONTROL.encode(message)) == message
