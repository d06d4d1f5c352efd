"""Hold the state of one balancer's carried flows and the operations shared by its modules.

The other modules, such as `opening` and `finding`, read and change this state; the balancer process
uses `balancer.Balancer`. The state is soft: `homes` caches the sidecars' answers, and a
packet of a flow that is not in the cache starts a search.
"""

import collections
import dataclasses
import heapq
from collections import abc

from ebonystile.core import budget, view
from ebonystile.core.carrying import (
    admission,
    announcing,
    batches,
    effects,
    fleet,
    flow_search,
    flow_sizes,
    messages,
    packet,
    routes,
    waiting,
    zones,
)

FAN_OUT_MESSAGES_PER_S, FAN_OUT_BURST = 1_000, 300
"""Rate and burst, in messages, of probes and of the queries to all sidecars that follow the first
round for an open flow. Without the limit, these would delay new flows after an outage."""

UNREACHABLE_TIMEOUT_MS = 800
"""Time in ms without a message from any sidecar, counted from the first unanswered query, after
which this balancer counts as cut off and reports that it is not ready."""

MIN_VIEW_AGE_MS = 1_000
"""Time in ms that the view must have been current before a flow not found is reset, if neither a
seed nor the witnesses have confirmed the view. Upstreams publish entries that were lost in an
outage of the store again within about two heartbeats."""

PLACEMENT_MEMORY_MS = 100
"""How long a placement is remembered, in ms: longer than most answers take."""

MAX_PENDING = 1_000
"""Flows not found that wait for a confirmed view; a further one evicts the oldest."""


MAX_TICK_GAP_MS = 250
"""Gap between two ticks, which are 200 ms apart, beyond which the process has been paused."""

RESUME_MS = 50
"""Time after the end of a pause in which packets that arrived during it are read, in ms."""

LinkRoomFinder = abc.Callable[[routes.RequestTraits, int], admission.LinkRoom | None]
"""Returns what the balancer's own link predicts for a request with these traits, at a time in ms,
or None if it predicts nothing."""


@dataclasses.dataclass(slots=True)
class Home:
    """The upstream that holds a flow; times in ms.

    Until `verified_until` the home counts as confirmed by its sidecar, even if the upstream has no
    entry in the store. `opened_at` is when the caller of a flow placed here sent its first opening
    packet, and `openings` how many of its copies were sent to the upstream.
    """

    upstream: fleet.Upstream
    seen_at: int
    verified_until: int = 0
    opened_at: int = 0
    openings: int = 0


@dataclasses.dataclass(slots=True)
class Unrouted:
    """An open flow without a route: its latest packet, and since when one has waited, in ms."""

    received: packet.Packet
    since: int


class BalancerState:
    """The state of one balancer.

    `find_link_room` is None unless admission is enabled and the link is scheduled.
    """

    def __init__(
        self, zone: str, now: int, seeds: tuple[view.Address, ...] = (), *, is_seed: bool = False
    ):
        self.zone = zone
        self.started_at = now
        self.confirmation = announcing.ListConfirmation(seeds, is_seed, now)
        self.placements: collections.deque[tuple[int, view.Address]] = collections.deque()
        self.pending: dict[packet.Flow, packet.Packet] = {}
        self.route_table = routes.RouteTable()
        self.zone_demand = zones.ZoneDemand()
        self.fleet = fleet.Fleet()
        self.homes: dict[packet.Flow, Home] = {}
        self.searches: dict[packet.Flow, flow_search.Search] = {}
        self.unresponsive_until: dict[view.Address, int] = {}
        self.unresponsive_since: dict[view.Address, int] = {}
        self.unrouted: dict[packet.Flow, Unrouted] = {}
        self.is_view_current = False
        self.view_current_since = now
        self.view_confirmed_at: int | None = None
        self.revision = 0
        self.unanswered_since: int | None = None
        self.not_found_since: dict[packet.Flow, int] = {}
        self.next_expiry_at = now
        self.open_flow_searches = 0
        self.queued: dict[packet.Flow, tuple[packet.Packet, int]] = {}
        self.due_heap: list[tuple[int, packet.Flow]] = []
        self.ask_batch = batches.AskBatch()
        self.probe_batch = batches.ProbeBatch()
        self.fan_out_budget = budget.Budget(FAN_OUT_MESSAGES_PER_S, FAN_OUT_BURST)
        self.is_admission_enabled = False
        self.wait_queues = waiting.WaitQueues()
        self.refused: collections.Counter[str] = collections.Counter()
        self.find_link_room: LinkRoomFinder | None = None
        self.flow_sizes = flow_sizes.FlowSizes()
        self.ticked_at = now
        self.resumed_at = now - RESUME_MS

    def next_due(self) -> int | None:
        """Return the time in ms at which `on_due` must run next, or None."""
        dues = (
            self.next_search_due(),
            self.ask_batch.due,
            self.probe_batch.due,
            self.confirmation.ask_at,
            self.pending_until(),
            self.wait_queues.next_ask_at(),
        )
        return min((due for due in dues if due is not None), default=None)

    def pending_until(self) -> int | None:
        """Return the time in ms by which the view is confirmed for pending flows, or None."""
        if not self.pending or not self.is_view_current or self.open_flow_searches:
            return None
        return self.view_current_since + MIN_VIEW_AGE_MS

    def next_search_due(self) -> int | None:
        """Return the time in ms at which the next search is due, or None."""
        while self.due_heap:
            due, flow = self.due_heap[0]
            search = self.searches.get(flow)
            if search is not None and search.due == due:
                return due
            heapq.heappop(self.due_heap)
        return None

    def schedule(self, search: flow_search.Search, due: int) -> None:
        """Schedule the search's next step at the time `due` in ms."""
        search.due = due
        heapq.heappush(self.due_heap, (due, search.flow))

    def is_view_confirmed(self, now: int) -> bool:
        """Return whether the view is current and complete.

        It counts as complete after `MIN_VIEW_AGE_MS`, or earlier once a seed or enough witnesses
        have listed the sidecars of upstreams without an entry.
        """
        if not self.is_view_current:
            return False
        return self.confirmation.confirmed or now - self.view_current_since >= MIN_VIEW_AGE_MS

    def set_view_current(self, is_current: bool, now: int) -> None:
        """Record whether the view matches the store's present content."""
        if is_current and not self.is_view_current:
            self.view_current_since = now
            self.confirmation.on_view_current(now)
        self.is_view_current = is_current

    def is_cut_off(self, now: int) -> bool:
        """Return whether sidecars were asked and none has answered for `UNREACHABLE_TIMEOUT_MS`."""
        return (
            self.unanswered_since is not None
            and now - self.unanswered_since > UNREACHABLE_TIMEOUT_MS
        )

    def add_pending(self, received: packet.Packet) -> None:
        """Keep a packet of a flow not found, to search again once the view is confirmed."""
        if len(self.pending) >= MAX_PENDING:
            del self.pending[next(iter(self.pending))]
        self.pending[received.flow] = received

    def record_placement(self, upstream: fleet.Upstream, now: int) -> None:
        """Record that a new flow was placed on the upstream."""
        while self.placements and self.placements[0][0] < now - PLACEMENT_MEMORY_MS:
            self.placements.popleft()
        self.placements.append((now, upstream.address))

    def count_placements_since(self, asked_at: int) -> collections.Counter[view.Address]:
        """Return how many flows were placed on each upstream at or after a time in ms."""
        return collections.Counter(address for at, address in self.placements if at >= asked_at)

    def record_tick(self, now: int) -> None:
        """Record the time of the periodic work, and whether a pause has ended."""
        if now - self.ticked_at > MAX_TICK_GAP_MS:
            self.resumed_at = now
        self.ticked_at = now

    def is_timely(self, now: int) -> bool:
        """Return whether a packet read now has just arrived.

        One that arrived during a pause of this process is so old that its caller may have sent a
        copy since, which another balancer may have received.
        """
        return now - self.ticked_at <= MAX_TICK_GAP_MS and now - self.resumed_at >= RESUME_MS

    def answer_deadline(self, search: flow_search.Search) -> int:
        """Return the time in ms until which a search waits for outstanding answers."""
        if any(u.address in self.fleet.by_address for u in search.pending_upstreams()):
            return search.deadline
        return min(search.deadline, search.asked_at + flow_search.UNLISTED_TIMEOUT_MS)

    def unanswered_listed(self, search: flow_search.Search) -> list[fleet.Upstream]:
        """Return the upstreams whose sidecars have not answered and whose address has an entry.

        It may be the entry of another start: a balancer places flows by the former one for a while,
        and knows a sidecar that announced itself by its address alone. Those without an entry are
        left out: most of them have ended, and a search doesn't wait for them.
        """
        return [u for u in search.unanswered() if u.address in self.fleet.by_address]

    def end_search(self, search: flow_search.Search) -> list[effects.Effect]:
        """End a search; the caller's next packet may begin another one.

        A batch holds running searches only. A later search for the same flow would count as waiting
        in the batch in place of the one that has ended, and never be sent.
        """
        del self.searches[search.flow]
        self.ask_batch.discard(search)
        self.probe_batch.discard(search)
        self.wait_queues.remove(search.flow)
        self.open_flow_searches -= not search.is_opening
        return []

    def remember_home(self, flow: packet.Flow, upstream: fleet.Upstream, now: int) -> Home:
        """Store the upstream that holds a flow."""
        home = self.homes[flow] = Home(upstream, now)
        self.not_found_since.pop(flow, None)
        self.pending.pop(flow, None)
        return home

    def ask_next_round(self, search: flow_search.Search, now: int) -> list[effects.Effect]:
        """Return the queries to the search's next round of sidecars."""
        upstreams = search.next_round(now)
        self.schedule(search, search.due)
        if self.unanswered_since is None:
            self.unanswered_since = now
        version = self.route_table.routes.version
        acknowledged = 0 if search.is_opening else search.packets[0].acknowledged
        question = messages.Ask(search.flow, version, acknowledged)
        return [effects.Send(u.address, question) for u in upstreams]
