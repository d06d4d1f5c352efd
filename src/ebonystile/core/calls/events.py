"""What can happen to a sidecar's core; the shell posts these, in the order it learns of them."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.calls import ledger
from ebonystile.peer import messages, transfer


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A sealed datagram from a balancer or a sibling sidecar has been opened."""

    forward: messages.Forward


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The upstream answered a request."""

    key: ledger.Key
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The upstream gave no answer; `may_have_run` is False only where it surely did not run."""

    key: ledger.Key
    reason: str
    may_have_run: bool
    retry_at: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FeedBatch:
    """The upstream gave the events of a feed that follow `after`, as (position, body)."""

    path: str
    after: int
    events: tuple[tuple[int, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FeedFailed:
    """The upstream gave no events."""

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransferArrived:
    """Another sidecar hands a flow over; the reply goes to `handle`."""

    handle: int
    transfer: transfer.Transfer


@dataclasses.dataclass(frozen=True, slots=True)
class TransferAnswered:
    """The target of a handover has replied."""

    flow: bytes
    reply: transfer.TransferReply


@dataclasses.dataclass(frozen=True, slots=True)
class TransferFailed:
    """The target of a handover gave no usable reply; it may have taken the flow all the same."""

    flow: bytes
    id: bytes
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """A newer view is in force; also the sign that a woken process has caught up."""

    view: "view.View"


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The upstream is to leave: SIGTERM, its own drain state, the list or a label says so."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A sibling sidecar tells its load."""

    report: messages.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """The upstream was asked for its health; `ok` is False too where it gave no answer."""

    ok: bool
    in_slow_start: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The upstream claims to have so many requests, running and queued."""

    work: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the shell posts one at least every `TICK_MS`."""


TICK_MS = 50
"""Longest time between ticks in a running process, in ms."""
