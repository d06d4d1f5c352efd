"""Hold what one balancer believes about carried flows, and the steps that its parts share.

The parts (`opening`, `finding`) decide by this state and change it; `balancer.Balancer` is the only
entrance from outside. Nothing here must outlive the process: `homes` is a cache of what sidecars
have said, and a packet of a flow that is not in it starts a search.
"""

import dataclasses
import heapq

from ebonystile.core import budget, view
from ebonystile.core.carrying import effects, fleet, messages, packet, routes, search

WIDE_PER_S, WIDE_BURST = 1_000, 300
"""Messages a second, and at once, for searches beyond their first wave: these ask everybody there
is, and show packets to everybody who is unsure.

A message and its answer cost 100 microseconds. After an outage all flows are looked for; 40 wide
searches at once, one message each for 64 sidecars, kept a balancer with half a core from answering
for 350 ms.
"""

UNREACHABLE_MS = 800
"""Silence of all sidecars asked after which this balancer asks the fabric for no more packets."""

SURE_MS = 1_000
"""How long this process must have had its view before it tells a caller that a flow is gone, in
ms: entries lost in an outage come back within about two heartbeats of 0.8 s, and less would judge
by a list that is still filling. With 4 s, callers whose upstreams had crashed together with all
processes waited for their own time limits."""


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

    def __init__(self, zone: str, now: int):
        self.zone = zone
        self.current = routes.Current()
        self.fleet = fleet.Fleet()
        self.homes: dict[packet.Flow, Home] = {}
        self.searches: dict[packet.Flow, search.Search] = {}
        self.silence: dict[view.Address, int] = {}
        self.view_fresh = False
        self.view_since = now
        self.revision = 0
        self.unheard_since: int | None = None
        self.nowhere: dict[packet.Flow, int] = {}
        self.sweep_at = now
        self.finding = 0
        self.queued: dict[packet.Flow, tuple[packet.Packet, int]] = {}
        self.dues: list[tuple[int, packet.Flow]] = []
        self.batch = search.Batch()
        self.wide = budget.Budget(WIDE_PER_S, WIDE_BURST)

    def next_due(self) -> int | None:
        """Return when the next search wants to go on, in ms."""
        due = self.next_search_due()
        if due is None or self.batch.due is None:
            return self.batch.due if due is None else due
        return min(due, self.batch.due)

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

    def sure(self, now: int) -> bool:
        """Tell whether the view is the store's present word and has been for a while."""
        return self.view_fresh and now - self.view_since >= SURE_MS

    def set_fresh(self, fresh: bool, now: int) -> None:
        """Note whether the view is the store's present word."""
        if fresh and not self.view_fresh:
            self.view_since = now
        self.view_fresh = fresh

    def unreachable(self, now: int) -> bool:
        """Tell whether no sidecar has answered for a while, though some were asked."""
        return self.unheard_since is not None and now - self.unheard_since > UNREACHABLE_MS

    def end(self, found: search.Search) -> list[effects.Effect]:
        """End a search; the caller's next packet may begin another one."""
        del self.searches[found.flow]
        self.finding -= not found.opening
        return []

    def remember(self, flow: packet.Flow, upstream: fleet.Upstream, now: int) -> Home:
        """Remember where a flow lives."""
        home = self.homes[flow] = Home(upstream, now)
        self.nowhere.pop(flow, None)
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
