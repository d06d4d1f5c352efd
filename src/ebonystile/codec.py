"""Encode typed messages as CBOR arrays and decode them, with a type check of every field.

A message is a frozen data class with an integer `KIND`. On the wire it is the CBOR array
`[KIND, field, field, ...]` in the order of the class's fields (RFC 8949). The types of the fields
come from the annotations.
"""

import dataclasses
import io
import types
import typing
from collections import abc

import cbor2

from ebonystile import errors

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram accepted, in bytes; loopback and IPv4 carry 65,507."""

Check = abc.Callable[[typing.Any], bool]

INTEGER_LIMIT = 1 << 63
"""Accepted integers lie between minus this and twice this, exclusively: int64 and uint64."""


def make_check(annotation: typing.Any) -> Check:
    """Return a predicate for decoded values of the annotated type."""
    if annotation is int:
        return lambda v: type(v) is int and -INTEGER_LIMIT < v < 2 * INTEGER_LIMIT
    if annotation in (bool, str, bytes, float):
        return lambda v: type(v) is annotation
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        item = make_check(arguments[0])
        return lambda v: type(v) in (list, tuple) and all(item(i) for i in v)
    if origin is tuple:
        items = [make_check(a) for a in arguments]
        return lambda v: (
            type(v) in (list, tuple)
            and len(v) == len(items)
            and all(check(i) for check, i in zip(items, v, strict=True))
        )
    if origin in (typing.Union, types.UnionType):
        choices = [make_check(a) for a in arguments if a is not type(None)]
        return lambda v: v is None or any(check(v) for check in choices)
    if dataclasses.is_dataclass(annotation):
        return lambda v: isinstance(v, annotation)
    raise TypeError(f"no check for {annotation}")


def freeze(value: typing.Any) -> typing.Any:
    """Return the value with lists converted to tuples, so that messages are hashable."""
    if type(value) is list:
        return tuple(freeze(item) for item in value)
    return value


class Codec:
    """Encode and decode one family of messages, distinguished by their `KIND`."""

    def __init__(self, family: str, message_types: abc.Iterable[type]):
        self.family = family
        self.by_kind: dict[int, tuple[type, list[tuple[str, Check]]]] = {}
        self.names: dict[type, tuple[str, ...]] = {}
        for message_type in message_types:
            if message_type.KIND in self.by_kind:
                raise ValueError(f"kind {message_type.KIND} is used twice")
            hints = typing.get_type_hints(message_type)
            fields = [f.name for f in dataclasses.fields(message_type)]
            checks = [(name, make_check(hints[name])) for name in fields]
            self.by_kind[message_type.KIND] = (message_type, checks)
            self.names[message_type] = tuple(fields)

    def to_items(self, message: typing.Any) -> list[typing.Any]:
        """Return the items of the message's array on the wire: its kind and its fields."""
        return [message.KIND, *[getattr(message, name) for name in self.names[type(message)]]]

    def encode(self, message: typing.Any) -> bytes:
        """Return the message as one CBOR item."""
        return cbor2.dumps(self.to_items(message))

    def decode(self, data: bytes) -> typing.Any:
        """Return the message in `data`; raise `DatagramError` if it is not exactly one."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise self.make_error(f"{len(data)} bytes are more than {MAX_DATAGRAM_BYTES}")
        try:
            file = io.BytesIO(data)
            items = cbor2.load(file)
        except Exception as error:
            # The library raises many types of exceptions for malformed input.
            raise self.make_error(f"not CBOR: {error}") from error
        if file.tell() < len(data):
            raise self.make_error("trailing bytes after the message")
        return self.from_items(items)

    def from_items(self, items: typing.Any) -> typing.Any:
        """Return the message of `items`, its kind and fields; raise `DatagramError` if invalid."""
        if type(items) is not list or not items or type(items[0]) is not int:
            raise self.make_error("not a message")
        entry = self.by_kind.get(items[0])
        if entry is None:
            raise self.make_error(f"unknown kind {items[0]}")
        message_type, checks = entry
        if len(items) != len(checks) + 1:
            raise self.make_error(f"{message_type.__name__} has {len(checks)} fields")
        for (name, check), value in zip(checks, items[1:], strict=True):
            if not check(value):
                raise self.make_error(f"{message_type.__name__}.{name} has a wrong type")
        return message_type(*[freeze(value) for value in items[1:]])

    def make_error(self, reason: str) -> errors.DatagramError:
        """Return the error for an invalid datagram of this family."""
        return errors.DatagramError(reason, step="decode", peer=self.family)
