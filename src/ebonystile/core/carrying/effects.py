"""The effects that the cores of carried flows return for their processes to carry out."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import messages, packet


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message to a balancer or sidecar."""

    address: view.Address
    message: messages.Message


@dataclasses.dataclass(slots=True)
class ToUpstream:
    """Send a packet to this sidecar's upstream."""

    raw: bytes


@dataclasses.dataclass(slots=True)
class ToCaller:
    """Send an upstream's packet to its caller."""

    packet: packet.Packet


@dataclasses.dataclass(slots=True)
class Reset:
    """Reset the caller's flow; `position` is the sequence number that the caller acknowledges."""

    flow: packet.Flow
    position: int


@dataclasses.dataclass(slots=True)
class Reread:
    """Read the store again: another process has the newer configuration `version`."""

    version: int


@dataclasses.dataclass(slots=True)
class AddRelay:
    """Add this sidecar to the relays from which the store's contents may be read."""

    address: view.Address


@dataclasses.dataclass(slots=True)
class Trace:
    """Log a decision with its inputs."""

    event: str
    fields: tuple[tuple[str, typing.Any], ...]


Effect = Send | ToUpstream | ToCaller | Reset | Reread | AddRelay | Trace


def trace(event: str, **fields: typing.Any) -> Trace:
    """Return the effect that logs a decision."""
    return Trace(event, tuple(fields.items()))


def make_reread(version: int, known: int) -> list[Effect]:
    """Return the effect of reading the store again if a peer's `version` is newer than `known`."""
    return [Reread(version)] if version > known else []
