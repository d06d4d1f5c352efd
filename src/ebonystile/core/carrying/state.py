"""Hold what one balancer believes about carried flows, and the steps that its parts share.

The parts (`opening`, `finding`) decide by this state and change it; `balancer.Balancer` is the only
entrance from outside. Nothing here must outlive the process: `homes` is a cache of what sidecars
have said, and a packet of a flow that is not in it starts a search.
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
    messages,
    packet,
    routes,
    search,
)

FANOUT_PER_S, FANOUT_BURST = 1_000, 300
"""Messages a second, and at once, for searches beyond their first wave: these ask everybody there
is, and probe all who do not know. Unbounded, the searches after an outage would keep a balancer
from answering new flows."""

UNREACHABLE_MS = 800
"""Silence of all sidecars asked after which this balancer asks the fabric for no more packets."""

VIEW_AGE_MS = 1_000
"""How long this process must have had its view before it tells a caller that a flow is gone, in
ms, where nobody can tell of upstreams without an entry: entries lost in an outage of the store
come back within about two heartbeats."""

PLACED_MS = 100
"""How long a placing is remembered, in ms: answers to questions are seldom older."""

MAX_PENDING = 1_000
"""Flows not found that wait for a confirmed view; one more takes the place of the oldest."""


@dataclasses.dataclass(slots=True)
class Home:
    """Where a flow lives, as a sidecar said; times in ms.

    `checked_until` is how long a sidecar's word holds that a flow lives on although the upstream's
    entry is gone.
    """

    upstream: fleet.Upstream
    seen_at: int
    checked_until: int = 0


class State:
    """What one balancer believes."""

    def __init__(
        self, zone: str, now: int, seeds: tuple[view.Address, ...] = (), *, is_seed: bool = False
    ):
        self.zone = zone
        self.started_at = now
        self.confirmation = announcing.Confirmation(seeds, is_seed, now)
        self.placed: collections.deque[tuple[int, view.Address]] = collections.deque()
        self.pending: dict[packet.Flow, packet.Packet] = {}
        self.current = routes.Current()
        self.fleet = fleet.Fleet()
        self.homes: dict[packet.Flow, Home] = {}
        self.searches: dict[packet.Flow, search.Search] = {}
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
        """Return when the next search or question wants to go on, in ms."""
        dues = (
            self.next_search_due(),
            self.batch.due,
            self.probes.due,
            self.confirmation.ask_at,
            self.pending_until(),
        )
        return min((due for due in dues if due is not None), default=None)

    def pending_until(self) -> int | None:
        """Return when the pending flows can be decided at the latest, in ms."""
        if not self.pending or not self.view_fresh or self.finding:
            return None
        return self.view_since + VIEW_AGE_MS

    def next_search_due(self) -> int | None:
        """Return when the next single search wants to go on, in ms."""
        while self.dues:
            due, flow = self.dues[0]
            found = self.searches.get(flow)
            if found is not None and found.due == due:
                return due
            heapq.heappop(self.dues)
        return None

    def wait(self, found: search.Search, due: int) -> None:
        """Go on with the search at the time `due` in ms."""
        found.due = due
        heapq.heappush(self.dues, (due, found.flow))

    def view_confirmed(self, now: int) -> bool:
        """Tell whether the view is the store's present word, and nobody is missing in it.

        It has been for a while, or a seed or witnesses have told of all upstreams without an entry.
        """
        if not self.view_fresh:
            return False
        return self.confirmation.confirmed or now - self.view_since >= VIEW_AGE_MS

    def set_fresh(self, fresh: bool, now: int) -> None:
        """Note whether the view is the store's present word."""
        if fresh and not self.view_fresh:
            self.view_since = now
            self.confirmation.view_began(now)
        self.view_fresh = fresh

    def unreachable(self, now: int) -> bool:
        """Tell whether no sidecar has answered for a while, though some were asked."""
        return self.unheard_since is not None and now - self.unheard_since > UNREACHABLE_MS

    def keep_pending(self, received: packet.Packet) -> None:
        """Keep a packet of a flow that was not found until the view is confirmed."""
        if len(self.pending) >= MAX_PENDING:
            del self.pending[next(iter(self.pending))]
        self.pending[received.flow] = received

    def note_placed(self, upstream: fleet.Upstream, now: int) -> None:
        """Note that a new flow was placed on the upstream just now."""
        while self.placed and self.placed[0][0] < now - PLACED_MS:
            self.placed.popleft()
        self.placed.append((now, upstream.address))

    def placed_since(self, asked_at: int) -> collections.Counter[view.Address]:
        """Return how many flows were placed on each upstream at or after a time in ms."""
        return collections.Counter(address for at, address in self.placed if at >= asked_at)

    def patience(self, found: search.Search) -> int:
        """Return until when a search waits for those whose word is still out, in ms."""
        if any(self.fleet.lives(upstream) for upstream in found.awaited()):
            return found.give_up_at
        return min(found.give_up_at, found.asked_at + search.UNLISTED_MS)

    def missing(self, found: search.Search) -> list[fleet.Upstream]:
        """Return the upstreams with an entry whose sidecars have not answered.

        A silent one without an entry is gone as a rule, and nothing waits for it that a flow needs
        which lives elsewhere.
        """
        return [upstream for upstream in found.unanswered() if self.fleet.lives(upstream)]

    def end(self, found: search.Search) -> list[effects.Effect]:
        """End a search; the caller's next packet may begin another one."""
        del self.searches[found.flow]
        self.finding -= not found.opening
        return []

    def remember(self, flow: packet.Flow, upstream: fleet.Upstream, now: int) -> Home:
        """Remember where a flow lives."""
        home = self.homes[flow] = Home(upstream, now)
        self.missing_since.pop(flow, None)
        self.pending.pop(flow, None)
        return home

    def ask_next(self, found: search.Search, now: int) -> list[effects.Effect]:
        """Ask the next wave."""
        wave = found.next_wave(now)
        self.wait(found, found.due)
        if self.unheard_since is None:
            self.unheard_since = now
        version = self.current.routes.version
        acknowledged = 0 if found.opening else found.packets[0].acknowledged
        question = messages.Ask(found.flow, version, acknowledged)
        return [effects.Send(u.address, question) for u in wave]
