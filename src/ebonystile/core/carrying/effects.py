"""What the cores of carried flows ask their shells to do."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import messages, packet


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message to another process of the system."""

    address: view.Address
    message: messages.Message


@dataclasses.dataclass(slots=True)
class ToUpstream:
    """Give a packet to the upstream beside this process."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class ToCaller:
    """Send an upstream's packet to its caller."""

    packet: packet.Packet


@dataclasses.dataclass(slots=True)
class Reset:
    """Tell the caller that its flow has ended, at the position that it acknowledges."""

    flow: packet.Flow
    position: int


@dataclasses.dataclass(slots=True)
class ReadAgain:
    """Ask the platform's store anew: somebody has a newer configuration."""

    version: int


@dataclasses.dataclass(slots=True)
class ReadFrom:
    """Read from this sidecar what it has read of the store, where nothing better is at hand."""

    address: view.Address


@dataclasses.dataclass(slots=True)
class Trace:
    """Log a decision with the inputs that decided it."""

    event: str
    fields: tuple[tuple[str, typing.Any], ...]


Effect = Send | ToUpstream | ToCaller | Reset | ReadAgain | ReadFrom | Trace


def trace(event: str, **fields: typing.Any) -> Trace:
    """Return the trace of a decision."""
    return Trace(event, tuple(fields.items()))


def read_again(version: int, known: int) -> list[Effect]:
    """Return the wish to read the store again where a peer has a newer configuration."""
    return [ReadAgain(version)] if version > known else []
