"""The datagrams on the packet path between balancers and sidecars (docs/PROTOCOL.md)."""

import dataclasses
import typing

from ebonystile import codec

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Carry a caller's datagram to a sidecar, or from one sidecar to the next of the walk.

    `visited` holds the keys of the upstreams whose sidecars have already passed it on, so a walk
    ends; `via` is the balancer that the answer may return by.
    """

    KIND: typing.ClassVar[int] = 1
    caller: Address
    via: Address
    visited: tuple[int, ...]
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Carry a datagram for a caller to a balancer, which relays it unread."""

    KIND: typing.ClassVar[int] = 2
    caller: Address
    payload: bytes


PACKET_PATH = codec.Codec("peer", (Forward, Return))
