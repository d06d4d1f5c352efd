"""The effects that a sidecar's core returns; the daemon performs them in order."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.calls import ledger
from ebonystile.peer import messages, transfer


@dataclasses.dataclass(frozen=True, slots=True)
class ToCaller:
    """Send a datagram to a caller through a balancer."""

    balancer: view.Address
    caller: view.Address
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ToSidecar:
    """Forward a caller's datagram to another sidecar."""

    address: view.Address
    forward: messages.Forward


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoad:
    """Send a load report to sibling sidecars."""

    addresses: tuple[view.Address, ...]
    report: messages.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """Send a request to the upstream unless `deadline` has passed by then.

    The daemon checks the deadline just before the first byte is sent, since the process may have
    been paused meanwhile. A run that starts after the deadline could be a second one: records are
    dropped some time after it.
    """

    key: ledger.Key
    service: str
    path: str
    body: bytes
    deadline: int
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """Ask the upstream to stop a running request."""

    key: ledger.Key


@dataclasses.dataclass(frozen=True, slots=True)
class PollFeed:
    """Request the events of a feed after `after` from the upstream."""

    service: str
    path: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendTransfer:
    """Send a flow, or a query for the running incarnation, to another sidecar."""

    address: view.Address
    transfer: transfer.Transfer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTransfer:
    """Reply to a transfer of another sidecar."""

    handle: int
    reply: transfer.TransferReply


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """Record an event in the logs, the counters and the timeline."""

    event: str
    flow: bytes = b""
    request: bytes = b""
    fields: tuple[tuple[str, typing.Any], ...] = ()


Effect = (
    ToCaller
    | ToSidecar
    | SendLoad
    | RunRequest
    | CancelRequest
    | PollFeed
    | SendTransfer
    | AnswerTransfer
    | Trace
)
