"""Keep the new flows that wait for room, in the order in which they are admitted.

The order is by priority, then fair among callers, then by age. Fair means that a caller's flows
take turns with those of others: a flow's turn is the number of flows of its caller that wait before
it, plus those admitted in about the last second.
"""

import collections
import dataclasses
import math

from ebonystile.core import fairness, view
from ebonystile.core.carrying import fleet, messages, packet

MAX_CALLERS = 4_096
"""Callers whose rate of admissions is kept; a further one evicts the oldest."""

MEASURED_MS = 100
"""Time in ms for which flows must have waited until the rate of admissions is known, and after
which it is forgotten if none waits: before, it shows the demand and not the room."""

TRIAL_MEMORY_MS = 1_000
"""Time in ms for which an upstream is on trial after it was reported unresponsive: two intervals of
the trials of its sidecar."""


@dataclasses.dataclass(slots=True)
class Entry:
    """A flow that waits; `opened_at` and `asked_at`, the time of its last queries, in ms."""

    flow: packet.Flow
    priority: int
    opened_at: int
    asked_at: int

    @property
    def caller(self) -> bytes:
        """Return the caller's address."""
        return packet.caller_address(self.flow)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The answers to one flow's queries, sent at `asked_at` (ms)."""

    asked_at: int
    answers: list[tuple[fleet.Upstream, messages.Answer]]


@dataclasses.dataclass(slots=True)
class WaitQueue:
    """The flows that wait for the upstreams of one service.

    `ask_at` is the time in ms of the next queries on behalf of all of them, `report` the latest
    answers. `admitted` is the rate of admissions since flows began to wait at `began_at`, and
    `admitted_by_caller` that of each caller. `waited_at` is when a flow last had to wait.
    `unresponsive_at` has when upstreams were last reported unresponsive.
    """

    entries: dict[packet.Flow, Entry] = dataclasses.field(default_factory=dict)
    ask_at: int = 0
    report: Report | None = None
    began_at: int = 0
    waited_at: int = 0
    admitted: fairness.Rate = dataclasses.field(default_factory=fairness.Rate)
    admitted_by_caller: dict[bytes, fairness.Rate] = dataclasses.field(default_factory=dict)
    unresponsive_at: dict[view.Address, int] = dataclasses.field(default_factory=dict)

    def add(self, entry: Entry, ask_at: int) -> None:
        """Add a flow; the next queries for the queue are sent at `ask_at` if it was empty."""
        if not self.entries:
            self.ask_at = ask_at
        self.entries[entry.flow] = entry

    def record_report(self, report: Report) -> None:
        """Use these answers from now on, unless they are older than the latest ones."""
        if self.report is not None and self.report.asked_at > report.asked_at:
            return
        self.report = report
        for upstream, answer in report.answers:
            if answer.load.unresponsive:
                self.unresponsive_at[upstream.address] = report.asked_at

    def is_on_trial(self, address: view.Address, now: int) -> bool:
        """Return whether the upstream was reported unresponsive lately.

        Its sidecar then reports it responsive from time to time until it gets one new flow.
        """
        at = self.unresponsive_at.get(address)
        return at is not None and now - at <= TRIAL_MEMORY_MS

    def ordered(self, now: int) -> list[Entry]:
        """Return the flows in the order in which they are admitted."""
        turns: dict[bytes, int] = {}
        keys = {}
        for entry in sorted(self.entries.values(), key=age_order):
            turn = turns.get(entry.caller)
            if turn is None:
                turn = self.admitted_lately(entry.caller, now)
            turns[entry.caller] = turn + 1
            keys[entry.flow] = (entry.priority, turn, entry.opened_at)
        return sorted(self.entries.values(), key=lambda entry: keys[entry.flow])

    def admitted_lately(self, caller: bytes, now: int) -> int:
        """Return how many flows of the caller were admitted in about the last second."""
        rate = self.admitted_by_caller.get(caller)
        return round(rate.decayed(now)) if rate is not None else 0

    def record_wait(self, now: int) -> None:
        """Record that a flow has to wait."""
        if now - self.waited_at > MEASURED_MS:
            self.began_at = now
            self.admitted = fairness.Rate()
        self.waited_at = now

    def admitted_per_s(self, now: int) -> float:
        """Return the rate at which flows are admitted while others wait, 0 if unknown.

        The average is scaled up while it covers less than its window.
        """
        measured_ms = now - self.began_at
        if measured_ms < MEASURED_MS or now - self.waited_at > MEASURED_MS:
            return 0.0
        return self.admitted.decayed(now) / -math.expm1(-measured_ms / fairness.RATE_WINDOW_MS)

    def record_admission(self, flow: packet.Flow, now: int) -> None:
        """Count a flow that was admitted, against its caller only while others wait."""
        self.admitted.add(now)
        if not self.entries:
            return
        caller = packet.caller_address(flow)
        rate = self.admitted_by_caller.pop(caller, None) or fairness.Rate()
        if len(self.admitted_by_caller) >= MAX_CALLERS:
            del self.admitted_by_caller[next(iter(self.admitted_by_caller))]
        rate.add(now)
        self.admitted_by_caller[caller] = rate

    def next_asker(self) -> Entry:
        """Return the flow to query for: the one whose own queries are the oldest.

        Each flow ranks the upstreams in its own way, so the queries reach all of them in turn.
        """
        return min(self.entries.values(), key=lambda entry: entry.asked_at)

    def expire(self, now: int) -> bool:
        """Drop decayed rates; return whether the queue holds nothing any more."""
        self.admitted_by_caller = {
            caller: rate
            for caller, rate in self.admitted_by_caller.items()
            if rate.decayed(now) >= fairness.MIN_RATE
        }
        self.unresponsive_at = {
            address: at
            for address, at in self.unresponsive_at.items()
            if now - at <= TRIAL_MEMORY_MS
        }
        return not self.entries and self.admitted.decayed(now) < fairness.MIN_RATE


Key = tuple[str, tuple[str, ...]]
"""What the flows of a queue have in common: their service and the regions of their routes."""


class WaitQueues:
    """The queues of one balancer, and the queue of each flow that waits."""

    def __init__(self) -> None:
        self.by_key: collections.defaultdict[Key, WaitQueue] = collections.defaultdict(WaitQueue)
        self.by_flow: dict[packet.Flow, WaitQueue] = {}

    def next_ask_at(self) -> int | None:
        """Return the time in ms of the next queries for a queue, or None."""
        if not self.by_flow:
            return None
        return min(queue.ask_at for queue in self.by_key.values() if queue.entries)

    def due(self, now: int) -> list[WaitQueue]:
        """Return the queues whose queries are due."""
        if not self.by_flow:
            return []
        return [queue for queue in self.by_key.values() if queue.entries and queue.ask_at <= now]

    def add(self, key: Key, entry: Entry, ask_at: int) -> None:
        """Add a flow to a queue, unless it waits already."""
        if entry.flow in self.by_flow:
            return
        queue = self.by_flow[entry.flow] = self.by_key[key]
        queue.add(entry, ask_at)

    def remove(self, flow: packet.Flow) -> None:
        """Remove a flow, if it waits."""
        queue = self.by_flow.pop(flow, None)
        if queue is not None:
            del queue.entries[flow]

    def expire(self, now: int) -> None:
        """Drop the queues that hold nothing any more."""
        for key in [key for key, queue in self.by_key.items() if queue.expire(now)]:
            del self.by_key[key]


def age_order(entry: Entry) -> int:
    """Return the sort key that puts the oldest flow first."""
    return entry.opened_at
