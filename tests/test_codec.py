"""Check that the codec decodes what it encoded and refuses invalid input."""

import dataclasses
import typing

import cbor2
import pytest

from ebonystile import codec, errors


@dataclasses.dataclass(frozen=True)
class Sample:
    KIND: typing.ClassVar[int] = 1
    name: str
    number: int
    items: tuple[int, ...]
    maybe: bytes | None


CODEC = codec.Codec("sample", [Sample])


def test_round_trip():
    sample = Sample("a", 7, (1, 2), None)
    assert CODEC.decode(CODEC.encode(sample)) == sample


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x00" * (codec.MAX_DATAGRAM_BYTES + 1),
        cbor2.dumps([]),
        cbor2.dumps([2, "a", 7, [], None]),
        cbor2.dumps([1, "a", 7, []]),
        cbor2.dumps([1, "a", True, [], None]),
        cbor2.dumps([1, "a", 7, ["x"], None]),
        cbor2.dumps([1, "a", 1 << 70, [], None]),
        CODEC.encode(Sample("a", 7, (1, 2), b"xyz"))[:-1],
    ],
)
def test_bad_input_is_one_typed_error(data):
    with pytest.raises(errors.DatagramError):
        CODEC.decode(data)
