"""The events that the daemon posts to a sidecar's core, in their order of arrival."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.calls import ledger
from ebonystile.peer import messages, transfer


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """An authenticated datagram from a balancer or a sibling sidecar has arrived."""

    forward: messages.Forward


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The upstream answered a request."""

    key: ledger.Key
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The upstream gave no answer; `may_have_run` is False only if it certainly did not run."""

    key: ledger.Key
    reason: str
    may_have_run: bool
    retry_at: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FeedBatch:
    """The upstream returned the events of a feed after `after`, as (position, body)."""

    path: str
    after: int
    events: tuple[tuple[int, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FeedFailed:
    """A poll of a feed failed."""

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransferArrived:
    """Another sidecar has sent a transfer; the reply goes to `handle`."""

    handle: int
    transfer: transfer.Transfer


@dataclasses.dataclass(frozen=True, slots=True)
class TransferAnswered:
    """The target of a handover has replied."""

    flow: bytes
    reply: transfer.TransferReply


@dataclasses.dataclass(frozen=True, slots=True)
class TransferFailed:
    """The target of a handover gave no valid reply; it may have accepted the flow."""

    flow: bytes
    id: bytes
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed or, after a pause of the process, has been confirmed."""

    view: "view.View"


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The upstream has to leave, because of SIGTERM or its own drain state."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A sibling sidecar has reported its load."""

    report: messages.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """The result of a health check of the upstream; `ok` is False also without an answer."""

    ok: bool
    in_slow_start: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The number of requests, running and queued, that the upstream reports."""

    work: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer event; the daemon posts one at least every `TICK_MS`."""


TICK_MS = 50
"""Longest interval between two ticks in a running process."""
