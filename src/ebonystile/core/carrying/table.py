"""Track the flows of one upstream and its requests in progress from the packets of both sides."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import messages, packet

MAX_FLOWS = 50_000
"""Bound on the size of the flow table; the oldest flow makes room for a new one."""

LINGER_MS = 3_000
"""How long a flow stays in the table after both sides closed it, in ms: retransmitted packets may
follow, at intervals of up to 1.6 s."""

OFFER_MS = 2_000
"""How long an accepted flow waits for its caller's first packet, in ms: a caller gives up after
1.4 s."""

PENDING_MS = 150
"""How long a new flow counts as a running request before its first data arrives, in ms."""

STUCK_MS = 2_000
STUCK_TIMES = 10
"""A request counts as failed after 2 s, or ten times the usual latency if that is longer: its
answer was lost, or a faulty upstream never sends one."""

RECENT = 16
"""Window of the moving average of the latency, in requests."""

TOO_QUICK = 8
"""An answer that is this many times faster than the average counts as an error.

An upstream that answers with an error at once looks idle and fast, and would attract all new flows.
Where a service answers some requests from a cache, all its upstreams are affected alike.
"""

RECENT_RESULTS = 8
"""Window of the moving average of the success rate, in requests."""

FORGIVE_MS = 5_000
"""Half-life of the failure rate, in ms, so that an upstream without new flows is tried again."""

POSITIONS = 1 << 32
OFFER_SPAN = 1 << 16
"""Distance from the upstream's initial sequence number that a caller's first packets acknowledge at
most."""


@dataclasses.dataclass(slots=True)
class Held:
    """One flow; times in ms.

    `source` is the balancer that sent the flow's latest packet. `offered` is the upstream's initial
    sequence number once it has accepted the flow. `held` is set when the upstream has received
    packets of the caller beyond the opening one. `given_at` is when an upstream without an entry
    got the first packet that it has not answered. `asked_end` and `answered_end` are the sequence
    numbers after the last data of the caller and of the upstream.
    """

    source: view.Address
    opened_at: int
    seen_at: int
    given_at: int = 0
    offered: int | None = None
    held: bool = False
    asked_end: int | None = None
    answered_end: int | None = None
    closed_by_caller: bool = False
    closed_by_upstream: bool = False

    @property
    def closed(self) -> bool:
        """Return whether both sides have closed the flow."""
        return self.closed_by_caller and self.closed_by_upstream


class Results:
    """Moving averages of the latency and the failure rate of one upstream's requests.

    `latency` is in ms; `bad` is the failure rate at the time `at` (ms). `on_answer`, if set, is
    called with the time and the latency of each answer, both in ms.
    """

    def __init__(self) -> None:
        self.latency = 0.0
        self.bad = 0.0
        self.at = 0
        self.on_answer: typing.Callable[[int, int], None] | None = None

    def answered(self, since: int, now: int) -> None:
        """Record the answer to a request sent at `since`; one that is far too fast is a failure."""
        took = now - since
        if self.on_answer is not None:
            self.on_answer(now, took)
        if took < self.latency / TOO_QUICK:
            self.note(1.0, now)
            return
        self.latency += (took - self.latency) / RECENT if self.latency else took
        self.note(0.0, now)

    def failed(self, now: int) -> None:
        """Record a request that got no answer."""
        self.note(1.0, now)

    def note(self, bad: float, now: int) -> None:
        """Add one result to the failure rate: 1.0 for a failure, 0.0 for an answer."""
        before = 1 - self.good_at(now)
        self.bad = before + (bad - before) / RECENT_RESULTS
        self.at = now

    def good_at(self, now: int) -> float:
        """Return the success rate, with earlier failures decayed."""
        return 1 - self.bad * 0.5 ** ((now - self.at) / FORGIVE_MS)


class Table:
    """The flows of one upstream and its requests in progress.

    `busy` holds when the running request of a flow arrived, `pending` when a flow without a request
    was opened, both in ms and oldest first.
    """

    def __init__(self) -> None:
        self.results = Results()
        self.flows: dict[packet.Flow, Held] = {}
        self.busy: dict[packet.Flow, int] = {}
        self.pending: dict[packet.Flow, int] = {}

    def open(self, flow: packet.Flow, source: view.Address, now: int) -> Held:
        """Record an opening packet that is sent to the upstream, and return its flow's state."""
        held = self.flows.get(flow)
        if held is None:
            held = self.add(flow, source, now)
            self.pending[flow] = now
        return held

    def add(self, flow: packet.Flow, source: view.Address, now: int) -> Held:
        """Add a flow; drop the oldest one if the table is full."""
        if len(self.flows) >= MAX_FLOWS:
            self.forget(next(iter(self.flows)))
        held = self.flows[flow] = Held(source, now, now)
        return held

    def forget(self, flow: packet.Flow) -> None:
        """Remove a flow and its request, if any."""
        self.flows.pop(flow, None)
        self.busy.pop(flow, None)
        self.pending.pop(flow, None)

    def from_caller(self, held: Held, received: packet.Packet, now: int) -> None:
        """Record a packet that is sent to the upstream: new data starts a request."""
        held.seen_at = now
        held.held = True
        if received.closes:
            held.closed_by_caller = True
        if received.aborts:
            held.closed_by_caller = held.closed_by_upstream = True
            if self.busy.pop(received.flow, None) is not None:
                self.results.failed(now)
        if not received.length:
            return
        end = (received.sequence + received.length) % POSITIONS
        if held.asked_end is None or 0 < (end - held.asked_end) % POSITIONS < POSITIONS // 2:
            held.asked_end = end
            self.busy.pop(received.flow, None)
            self.busy[received.flow] = now
            self.pending.pop(received.flow, None)

    def from_upstream(self, held: Held, sent: packet.Packet, now: int) -> None:
        """Record a packet of the upstream: data completes the flow's request."""
        held.seen_at = now
        if sent.accepts:
            held.offered = sent.sequence
            held.answered_end = (sent.sequence + 1) % POSITIONS
            return
        since = self.busy.get(sent.flow)
        if since is not None and sent.length:
            del self.busy[sent.flow]
            self.results.answered(since, now)
        elif since is not None and (sent.aborts or ends_unanswered(held, sent)):
            del self.busy[sent.flow]
            self.results.failed(now)
        if sent.length:
            held.answered_end = (sent.sequence + sent.length) % POSITIONS
        if sent.closes:
            held.closed_by_upstream = True
        if sent.aborts:
            held.closed_by_caller = held.closed_by_upstream = True
        if held.closed:
            self.pending.pop(sent.flow, None)

    def holding(self, flow: packet.Flow, acknowledged: int) -> messages.FlowStatus:
        """Return whether the upstream holds the flow, as far as the table shows."""
        held = self.flows.get(flow)
        if held is None:
            return messages.FlowStatus.ABSENT
        if held.held:
            return messages.FlowStatus.HELD
        if held.offered is None:
            return messages.FlowStatus.ABSENT
        if acknowledged and not continues(held.offered, acknowledged):
            return messages.FlowStatus.ABSENT
        return messages.FlowStatus.OFFERED

    def running(self, now: int) -> int:
        """Return the number of running requests and of flows about to send one; fail stuck ones."""
        stuck = max(STUCK_MS, STUCK_TIMES * self.results.latency)
        for _ in drop_older(self.busy, now - stuck):
            self.results.failed(now)
        drop_older(self.pending, now - PENDING_MS)
        return len(self.busy) + len(self.pending)

    def sweep(self, idle: int, now: int) -> int:
        """Remove flows that ended or were idle for `idle` ms; return how many."""
        over = [flow for flow, held in self.flows.items() if now >= end_of_memory(held, idle)]
        for flow in over:
            self.forget(flow)
        return len(over)


def ends_unanswered(held: Held, sent: packet.Packet) -> bool:
    """Return whether the upstream closes the flow without having sent an answer.

    Packets may be reordered: a close that overtakes the answer has a higher sequence number.
    """
    return sent.closes and sent.sequence == held.answered_end


def drop_older(times: dict[packet.Flow, int], oldest: float) -> list[packet.Flow]:
    """Remove the flows with times before `oldest` (ms) and return them; `times` is in order."""
    dropped = []
    while times:
        flow, since = next(iter(times.items()))
        if since >= oldest:
            break
        del times[flow]
        dropped.append(flow)
    return dropped


def end_of_memory(held: Held, idle: int) -> int:
    """Return when the flow may be removed from the table, in ms."""
    if held.closed:
        return held.seen_at + LINGER_MS
    if not held.held:
        return held.seen_at + OFFER_MS
    return held.seen_at + idle


def continues(offered: int, acknowledged: int) -> bool:
    """Return whether a caller's acknowledgement fits the initial sequence number that was offered.

    Two upstreams may accept copies of one opening packet; the caller continues with one of them.
    """
    return (acknowledged - offered) % POSITIONS < OFFER_SPAN
