"""Check that the codecs of all families return a valid message or raise one type of error."""

import contextlib
import dataclasses
import random
import typing

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonystile import codec, errors
from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import balancer
from ebonystile.operator import messages as operator_messages
from ebonystile.peer import messages as peer_messages

FAMILIES = [
    caller_messages.FROM_CALLER,
    caller_messages.TO_CALLER,
    operator_messages.OPERATOR,
    operator_messages.RECORDS,
    peer_messages.LOADS,
]
KINDS = [(family, message_type) for family in FAMILIES for message_type in family.names]

INTEGERS = st.integers(-codec.INTEGER_LIMIT + 1, 2 * codec.INTEGER_LIMIT - 1)
SIMPLE = {
    int: INTEGERS,
    bool: st.booleans(),
    str: st.text(max_size=9),
    bytes: st.binary(max_size=9),
}


def values_of(annotation):
    """Return a strategy for the values of an annotated type."""
    if annotation in SIMPLE:
        return SIMPLE[annotation]
    arguments = typing.get_args(annotation)
    if arguments[-1] is Ellipsis:
        return st.lists(values_of(arguments[0]), max_size=3).map(tuple)
    return st.tuples(*[values_of(a) for a in arguments])


def messages_of(message_type):
    """Return a strategy for the messages of one type."""
    hints = typing.get_type_hints(message_type)
    fields = {f.name: values_of(hints[f.name]) for f in dataclasses.fields(message_type)}
    return st.builds(message_type, **fields)


def check_refused_or_valid(family, data):
    """Decode arbitrary bytes; a decoded message must survive a round trip."""
    with contextlib.suppress(errors.DatagramError):
        message = family.decode(data)
        assert family.decode(family.encode(message)) == message


@pytest.mark.parametrize(("family", "message_type"), KINDS)
@given(data=st.data())
def test_every_message_survives_a_round_trip_and_damage_is_refused(family, message_type, data):
    message = data.draw(messages_of(message_type))
    encoded = family.encode(message)
    assert family.decode(encoded) == message
    cut = data.draw(st.integers(0, len(encoded) - 1))
    with pytest.raises(errors.DatagramError):
        family.decode(encoded[:cut])
    with pytest.raises(errors.DatagramError):
        family.decode(encoded + encoded)
    place = data.draw(st.integers(0, len(encoded) - 1))
    value = data.draw(st.integers(0, 255))
    check_refused_or_valid(family, encoded[:place] + bytes([value]) + encoded[place + 1 :])
    with pytest.raises(errors.DatagramError):
        family.decode(encoded.ljust(codec.MAX_DATAGRAM_BYTES + 1, b"\0"))


FOREIGN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=12,
)


@pytest.mark.parametrize("family", FAMILIES, ids=lambda family: family.family)
@given(data=st.binary(max_size=100), items=FOREIGN)
def test_arbitrary_bytes_and_cbor_are_refused(family, data, items):
    check_refused_or_valid(family, data)
    check_refused_or_valid(family, cbor2.dumps(items))


@pytest.mark.parametrize(
    "data",
    [
        b"\x81" * 50_000,
        b"\x9f" * 10_000,
        b"\xbf" * 10_000,
        b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
        b"\xc2\x59\xea\x00" + b"\xff" * 59_904,
        b"\xd8\x1c\x81\xd8\x1d\x00",
        b"\xd8\x23\x78\x20" + b"(a+)+" * 6 + b"$b",
    ],
    ids=["deep", "open-lists", "open-maps", "long-list", "long-bytes", "bignum", "loop", "regex"],
)
def test_hostile_cbor_is_refused(data):
    for family in FAMILIES:
        with pytest.raises(errors.DatagramError):
            family.decode(data)


def make_views():
    """Return views that list no service, and a service with no upstream, one, or leaving ones."""
    staying = view.make_endpoint("u1", ("10.0.1.1", 1), "a")
    leaving = view.make_endpoint("u2", ("10.0.1.2", 1), "a", leaving=True)
    listed = ((), (staying,), (leaving,), (staying, leaving))
    services = [view.make_service("s", "10.1.0.1:443", members) for members in listed]
    return [view.EMPTY, *(view.make_view(1, [service]) for service in services)]


TOKENS = st.one_of(
    st.binary(max_size=30),
    st.sampled_from([view.Token(view.key_of(u), 1, view.key_of("s")).pack() for u in ("u1", "u9")]),
)
CALLER_ITEMS = st.tuples(
    st.sampled_from(sorted(balancer.FROM_CALLER_KINDS)) | FOREIGN,
    st.binary(min_size=16, max_size=16) | FOREIGN,
    st.just("s") | FOREIGN,
    TOKENS | FOREIGN,
    INTEGERS | FOREIGN,
    INTEGERS | FOREIGN,
    st.binary(max_size=400) | FOREIGN,
)


@pytest.mark.parametrize("known", make_views(), ids=["none", "empty", "one", "leaving", "two"])
@given(
    items=CALLER_ITEMS,
    length=st.integers(0, 9),
    is_padded=st.booleans(),
    now=st.integers(0, codec.INTEGER_LIMIT // 2),
)
def test_no_datagram_of_a_caller_ends_a_balancer(known, items, length, is_padded, now):
    """A kind that can't be hashed ended the process; no malformed field may."""
    padding = [b""] * (length - len(items))
    sent = [*items[:length], *padding]
    if is_padded:
        sent = [*items[:-1], bytes(caller_messages.OPEN_BYTES)]
    core = balancer.make_balancer(("10.0.0.1", 1), random.Random(1))
    balancer.change_view(core, known)
    action = balancer.route(core, ("100.64.0.7", 40_001), cbor2.dumps(sent), now)
    assert isinstance(action, balancer.Relay | balancer.Reply | balancer.Drop)
    if isinstance(action, balancer.Relay):
        assert peer_messages.pack_forward(action.forward)


ADDRESSES = st.tuples(st.ip_addresses(v=4).map(str), st.integers(0, 65_535))
KEYS = st.lists(st.integers(0, 2**64 - 1), max_size=peer_messages.MAX_VISITED).map(tuple)
FORWARDS = st.builds(
    peer_messages.Forward, ADDRESSES, ADDRESSES, KEYS, st.binary(max_size=peer_messages.KEY_BYTES)
)
RETURNS = st.builds(peer_messages.Return, ADDRESSES, st.binary(max_size=99))


@given(FORWARDS)
def test_every_forward_survives_a_round_trip_and_a_cut_header_is_refused(message):
    content = peer_messages.pack_forward(message)
    assert peer_messages.unpack(content) == message
    header = len(content) - len(message.payload)
    for cut in range(header):
        with pytest.raises(errors.DatagramError):
            peer_messages.unpack(content[:cut])


@given(RETURNS)
def test_every_return_survives_a_round_trip_and_a_cut_header_is_refused(message):
    content = peer_messages.pack_return(message)
    assert peer_messages.unpack(content) == message
    for cut in range(len(content) - len(message.payload)):
        with pytest.raises(errors.DatagramError):
            peer_messages.unpack(content[:cut])


@given(st.binary(max_size=200))
def test_arbitrary_content_of_the_packet_path_is_refused_or_valid(content):
    with contextlib.suppress(errors.DatagramError):
        message = peer_messages.unpack(content)
        is_forward = isinstance(message, peer_messages.Forward)
        pack = peer_messages.pack_forward if is_forward else peer_messages.pack_return
        assert pack(message) == content
