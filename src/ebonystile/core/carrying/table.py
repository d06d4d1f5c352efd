"""Remember the flows of one upstream, as its sidecar has seen them from both sides."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import messages, packet

MAX_FLOWS = 50_000
"""Flows remembered at once; an upstream of the users' sites takes 2,000."""

LINGER_MS = 3_000
"""How long a flow is remembered after both sides closed it, in ms: packets sent again may follow,
at intervals of up to 1.6 s."""

OFFER_MS = 2_000
"""How long an accepted flow waits for its caller, in ms: a caller gives up after 1.4 s."""

PENDING_MS = 150
"""How long a new flow counts as a request about to come, in ms."""

STUCK_MS = 2_000
STUCK_TIMES = 10
"""When a request counts as stuck: after 2 s, or ten times the usual time if that is longer. Its
answer was lost, or a grey upstream lets it hang."""

RECENT = 16
"""Requests over which the time to their answers is averaged."""

TOO_QUICK = 8
"""How many times quicker than usual an answer is that can't be one.

A grey upstream answers with an error at once; it is idle and quick, and would get all new flows.
Where a service answers some requests out of a cache, all its upstreams do, and none looks worse.
"""

RECENT_RESULTS = 8
"""Results over which their goodness is averaged: few, as a grey upstream fails half of them."""

FORGIVE_MS = 5_000
"""Half-life of bad results, in ms: an upstream that gets no more flows must be tried again."""

POSITIONS = 1 << 32
OFFER_SPAN = 1 << 16
"""How far the caller's first packets may acknowledge beyond the upstream's first position."""


@dataclasses.dataclass(slots=True)
class Held:
    """One flow; times in ms.

    `offered` is the upstream's first position once it accepted, `held` says that the caller's
    packets were taken here. `given_at` is when an upstream that may be gone was first given a
    packet that it has not answered. `asked_end` and `answered_end` are the positions after the last
    data of either side.
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
        """Tell whether both sides have closed the flow."""
        return self.closed_by_caller and self.closed_by_upstream


class Results:
    """How long requests took of late and how many were answered at all.

    `latency` in ms; `bad` is the share of bad results at the time `at` (ms). `on_answer`, if set,
    is called with the time (ms) and how long the request took (ms).
    """

    def __init__(self) -> None:
        self.latency = 0.0
        self.bad = 0.0
        self.at = 0
        self.on_answer: typing.Callable[[int, int], None] | None = None

    def answered(self, since: int, now: int) -> None:
        """Note a request that was answered."""
        took = now - since
        if self.on_answer is not None:
            self.on_answer(now, took)
        if took < self.latency / TOO_QUICK:
            self.note(1.0, now)
            return
        self.latency += (took - self.latency) / RECENT if self.latency else took
        self.note(0.0, now)

    def failed(self, now: int) -> None:
        """Note a request whose flow ended without an answer."""
        self.note(1.0, now)

    def note(self, bad: float, now: int) -> None:
        """Take one result into the mean."""
        before = 1 - self.good_at(now)
        self.bad = before + (bad - before) / RECENT_RESULTS
        self.at = now

    def good_at(self, now: int) -> float:
        """Return the share of good results."""
        return 1 - self.bad * 0.5 ** ((now - self.at) / FORGIVE_MS)


class Table:
    """The flows of one upstream and the work that they mean."""

    def __init__(self) -> None:
        self.results = Results()
        self.flows: dict[packet.Flow, Held] = {}
        self.busy: dict[packet.Flow, int] = {}
        self.pending: dict[packet.Flow, int] = {}

    def open(self, flow: packet.Flow, source: view.Address, now: int) -> Held:
        """Note an opening packet that goes to the upstream now."""
        held = self.flows.get(flow)
        if held is None:
            held = self.add(flow, source, now)
            self.pending[flow] = now
        return held

    def add(self, flow: packet.Flow, source: view.Address, now: int) -> Held:
        """Remember a flow."""
        if len(self.flows) >= MAX_FLOWS:
            self.forget(next(iter(self.flows)))
        held = self.flows[flow] = Held(source, now, now)
        return held

    def forget(self, flow: packet.Flow) -> None:
        """Forget a flow and its work."""
        self.flows.pop(flow, None)
        self.busy.pop(flow, None)
        self.pending.pop(flow, None)

    def from_caller(self, held: Held, received: packet.Packet, now: int) -> None:
        """Note a packet that goes to the upstream: new data means work there."""
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
        """Note a packet of the upstream: data means that its work for the flow is done."""
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

    def holding(self, flow: packet.Flow, acknowledged: int) -> messages.Holding:
        """Return what is known of the flow at this upstream."""
        held = self.flows.get(flow)
        if held is None:
            return messages.Holding.ABSENT
        if held.held:
            return messages.Holding.HELD
        if held.offered is None:
            return messages.Holding.ABSENT
        if acknowledged and not continues(held.offered, acknowledged):
            return messages.Holding.ABSENT
        return messages.Holding.OFFERED

    def running(self, now: int) -> int:
        """Return the requests that run at the upstream or are about to."""
        stuck = max(STUCK_MS, STUCK_TIMES * self.results.latency)
        for _ in drop_older(self.busy, now - stuck):
            self.results.failed(now)
        drop_older(self.pending, now - PENDING_MS)
        return len(self.busy) + len(self.pending)

    def sweep(self, idle: int, now: int) -> int:
        """Forget flows that ended or were silent for `idle` ms; return how many."""
        over = [flow for flow, held in self.flows.items() if now >= end_of_memory(held, idle)]
        for flow in over:
            self.forget(flow)
        return len(over)


def ends_unanswered(held: Held, sent: packet.Packet) -> bool:
    """Tell whether the upstream closes the flow without having sent an answer.

    Packets overtake one another: a close that comes before the answer's data stands behind it in
    the stream.
    """
    return sent.closes and sent.sequence == held.answered_end


def drop_older(times: dict[packet.Flow, int], oldest: float) -> list[packet.Flow]:
    """Drop the flows noted before `oldest` (ms) from times in their order; return them."""
    dropped = []
    while times:
        flow, since = next(iter(times.items()))
        if since >= oldest:
            break
        del times[flow]
        dropped.append(flow)
    return dropped


def end_of_memory(held: Held, idle: int) -> int:
    """Return when the flow may be forgotten, in ms."""
    if held.closed:
        return held.seen_at + LINGER_MS
    if not held.held:
        return held.seen_at + OFFER_MS
    return held.seen_at + idle


def continues(offered: int, acknowledged: int) -> bool:
    """Tell whether a caller that acknowledges this position went on with that offer.

    Copies of an opening packet may be accepted by two upstreams; the caller goes on with one.
    """
    return (acknowledged - offered) % POSITIONS < OFFER_SPAN
