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


FULL_RAMP = 1000
"""The ramp of a warm upstream, in thousandths of its weight."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell the sidecars of one service what the sender observes of its upstream.

    `pending` counts flows opened a moment ago that have not sent a request yet: without it a burst
    of opens is invisible until it is too late. `caution` is work that only the upstream itself
    claims to have. `connections` is the most flows it may hold, `latency` the recent time of a
    request in ms, `ramp` the share of its weight that it may get now, in thousandths. `at` (ms) is
    compared only with that of other reports of the same incarnation.
    """

    KIND: typing.ClassVar[int] = 3
    name: str
    incarnation: int
    zone: str
    at: int
    slots: int
    connections: int
    flows: int = 0
    running: int = 0
    queued: int = 0
    pending: int = 0
    caution: int = 0
    latency: int = 0
    ramp: int = FULL_RAMP
    leaving: bool = False
    suspected: bool = False

    @property
    def work(self) -> int:
        """Requests that the upstream has or is about to have."""
        return self.running + self.queued + self.pending + self.caution

    @property
    def weight(self) -> float:
        """The share of work that the upstream may get, in slots."""
        return max(self.slots * self.ramp / FULL_RAMP, 0.1)


PACKET_PATH = codec.Codec("peer", (Forward, Return, LoadReport))
