"""Hold the state of one balancer's carried flows and the operations shared by its modules.

The other modules, such as `opening` and `finding`, read and change this state; callers use
`balancer.Balancer`. The state is soft: `homes` caches the sidecars' answers, and a packet of a flow
that is not in the cache starts a search.
"""

import collections
import dataclasses
import heapq

from ebonystile.core import budget, view
from ebonystile.core.carrying import (
    announcing,
    batches,
    effects,
    fleet,
    flow_search,
    messages,
    packet,
    routes,
)

FANOUT_PER_S, FANOUT_BURST = 1_000, 300
"""Rate and burst, in messages, of the second and later waves of searches, which go to all sidecars.
Without the limit, searches for open flows after an outage would delay new flows."""

UNREACHABLE_MS = 800
"""Time in ms without a message from any sidecar, counted from the first unanswered query, after
which this balancer counts as cut off and reports that it is not ready."""

VIEW_AGE_MS = 1_000
"""Time in ms that the view must have been current before a flow not found is reset, if neither a
seed nor the witnesses have confirmed the view. Upstreams publish entries that were lost in an
outage of the store again within about two heartbeats."""

PLACED_MS = 100
"""How long a placement is remembered, in ms: longer than most answers take."""

MAX_PENDING = 1_000
"""Flows not found that wait for a confirmed view; a further one evicts the oldest."""


@dataclasses.dataclass(slots=True)
class Home:
    """The upstream that holds a flow; times in ms.

    Until `checked_until` the home counts as confirmed by its sidecar, even if the upstream has no
    entry in the store.
    """

    upstream: fleet.Upstream
    seen_at: int
    checked_until: int = 0


class State:
    """The state of one balancer."""

    def __init__(
        self, zone: str, now: int, seeds: tuple[view.Address, ...] = (), *, is_seed: bool = False
    ):
        self.zone = zone
        self.started_at = now
        self.confirmation = announcing.ListConfirmation(seeds, is_seed, now)
        self.placed: collections.deque[tuple[int, view.Address]] = collections.deque()
        self.pending: dict[packet.Flow, packet.Packet] = {}
        self.route_table = routes.RouteTable()
        self.fleet = fleet.Fleet()
        self.homes: dict[packet.Flow, Home] = {}
        self.searches: dict[packet.Flow, flow_search.Search] = {}
        self.silence: dict[view.Address, int] = {}
        self.silent_since: dict[view.Address, int] = {}
        self.view_fresh = False
        self.view_since = now
        self.revision = 0
        self.unheard_since: int | None = None
        self.missing_since: dict[packet.Flow, int] = {}
        self.sweep_at = now
        self.finding = 0
        self.queued: dict[packet.Flow, tuple[packet.Packet, int]] = {}
        self.dues: list[tuple[int, packet.Flow]] = []
        self.batch = batches.AskBatch()
        self.probes = batches.ProbeBatch()
        self.fanout = budget.Budget(FANOUT_PER_S, FANOUT_BURST)

    def next_due(self) -> int | None:
        """Return the time in ms at which `on_due` must run next, or None."""
        dues = (
            self.next_search_due(),
            self.batch.due,
            self.probes.due,
            self.confirmation.ask_at,
            self.pending_until(),
        )
        return min((due for due in dues if due is not None), default=None)

    def pending_until(self) -> int | None:
        """Return the time in ms by which the view is confirmed for pending flows, or None."""
        if not self.pending or not self.view_fresh or self.finding:
            return None
        return self.view_since + VIEW_AGE_MS

    def next_search_due(self) -> int | None:
        """Return the time in ms at which the next search is due, or None."""
        while self.dues:
            due, flow = self.dues[0]
            found = self.searches.get(flow)
            if found is not None and found.due == due:
                return due
            heapq.heappop(self.dues)
        return None

    def wait(self, found: flow_search.Search, due: int) -> None:
        """Schedule the search's next step at the time `due` in ms."""
        found.due = due
        heapq.heappush(self.dues, (due, found.flow))

    def view_confirmed(self, now: int) -> bool:
        """Return whether the view is current and complete.

        It counts as complete after `VIEW_AGE_MS`, or earlier once a seed or enough witnesses have
        listed the sidecars of upstreams without an entry.
        """
        if not self.view_fresh:
            return False
        return self.confirmation.confirmed or now - self.view_since >= VIEW_AGE_MS

    def set_fresh(self, fresh: bool, now: int) -> None:
        """Record whether the view matches the store's present content."""
        if fresh and not self.view_fresh:
            self.view_since = now
            self.confirmation.on_view_current(now)
        self.view_fresh = fresh

    def unreachable(self, now: int) -> bool:
        """Return whether sidecars were asked and none has answered for `UNREACHABLE_MS`."""
        return self.unheard_since is not None and now - self.unheard_since > UNREACHABLE_MS

    def keep_pending(self, received: packet.Packet) -> None:
        """Keep a packet of a flow that was not found until the view is confirmed."""
        if len(self.pending) >= MAX_PENDING:
            del self.pending[next(iter(self.pending))]
        self.pending[received.flow] = received

    def note_placed(self, upstream: fleet.Upstream, now: int) -> None:
        """Record that a new flow was placed on the upstream."""
        while self.placed and self.placed[0][0] < now - PLACED_MS:
            self.placed.popleft()
        self.placed.append((now, upstream.address))

    def placed_since(self, asked_at: int) -> collections.Counter[view.Address]:
        """Return how many flows were placed on each upstream at or after a time in ms."""
        return collections.Counter(address for at, address in self.placed if at >= asked_at)

    def patience(self, found: flow_search.Search) -> int:
        """Return the time in ms until which a search waits for outstanding answers."""
        if any(self.fleet.is_listed(upstream) for upstream in found.awaited()):
            return found.give_up_at
        return min(found.give_up_at, found.asked_at + flow_search.UNLISTED_MS)

    def missing(self, found: flow_search.Search) -> list[fleet.Upstream]:
        """Return the upstreams with an entry whose sidecars have not answered.

        Those without an entry are left out: most of them have ended, and a search doesn't wait for
        them.
        """
        return [upstream for upstream in found.unanswered() if self.fleet.is_listed(upstream)]

    def end(self, found: flow_search.Search) -> list[effects.Effect]:
        """End a search; the caller's next packet may begin another one."""
        del self.searches[found.flow]
        self.finding -= not found.opening
        return []

    def remember(self, flow: packet.Flow, upstream: fleet.Upstream, now: int) -> Home:
        """Store the upstream that holds a flow."""
        home = self.homes[flow] = Home(upstream, now)
        self.missing_since.pop(flow, None)
        self.pending.pop(flow, None)
        return home

    def ask_next(self, found: flow_search.Search, now: int) -> list[effects.Effect]:
        """Return the queries to the search's next wave of sidecars."""
        wave = found.next_wave(now)
        self.wait(found, found.due)
        if self.unheard_since is None:
            self.unheard_since = now
        version = self.route_table.routes.version
        acknowledged = 0 if found.opening else found.packets[0].acknowledged
        question = messages.Ask(found.flow, version, acknowledged)
        return [effects.Send(u.address, question) for u in wave]
