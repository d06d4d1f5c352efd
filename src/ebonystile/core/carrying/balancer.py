"""Handle the packets and messages that a balancer of carried flows receives.

A packet of a flow whose home is known is forwarded to it. Any other packet starts a search, which
the module `opening` (a new flow) or `finding` (an open one) decides.
"""

import functools
import heapq
import typing

from ebonystile.core import view
from ebonystile.core.carrying import (
    admitting,
    announcing,
    asking,
    balancer_state,
    effects,
    ending,
    finding,
    flow_search,
    messages,
    opening,
    packet,
    probing,
)

MAX_HOMES = 100_000
"""Homes of flows, about 300 bytes each, beyond which idle ones expire four times as early."""

MAX_SEARCHES = 1_000
"""Limit of concurrent searches; further packets are dropped, and callers retransmit them."""

MAX_OPEN_FLOW_SEARCHES = 128
"""Limit of concurrent searches for open flows. After an outage all open flows are searched for at
the same time; the limit leaves capacity for new flows."""

SIDECAR_ROTATION_MS = 200
"""How long a balancer that is cut off queries one sidecar before it tries the next, in ms."""

EXPIRY_INTERVAL_MS = 1_000
"""Interval at which idle flows are dropped, in ms: each time all flows are checked, which is too
much work for every tick."""

NO_FLOW = bytes(12)
"""A flow that does not exist, for queries that only test whether a sidecar answers."""


class Balancer(balancer_state.BalancerState):
    """The core of one balancer; its methods return the effects to carry out, in order."""

    def on_caller(self, received: packet.Packet, now: int) -> list[effects.Effect]:
        """Forward a caller's packet to the home of its flow, or begin a search for it."""
        search = self.searches.get(received.flow)
        if search is not None:
            return self.add_to_search(search, received, now)
        home = self.homes.get(received.flow)
        if home is None or received.opens:
            return self.begin_search(received, home, now)
        if self.route_table.routes.find(received.flow) is None:
            request = ending.request_of(self, received, home, now)
            return ending.refuse_without_route(self, received, home, request, now)
        if not self.fleet.is_listed(home.upstream) and now >= home.verified_until:
            return self.begin_search(received, home, now)
        home.seen_at = now
        if self.find_link_room is not None:
            self.flow_sizes.record(received)
        return [effects.Send(home.upstream.address, messages.Carry(received.raw))]

    def add_to_search(
        self, search: flow_search.Search, received: packet.Packet, now: int
    ) -> list[effects.Effect]:
        """Keep a further packet of the flow, or end a search that the packet makes obsolete.

        A caller that continues its flow has received an upstream's acceptance, so copies of its
        opening packet need no search any more. One that would end without an upstream would reset
        the open flow, and one that finds it would drop or misplace the packet.
        """
        if search.is_opening == received.opens:
            search.add_packet(received)
            return []
        if received.opens:
            return []
        self.end_search(search)
        obsolete = effects.trace("opening_obsolete", flow=packet.flow_text(search.flow))
        return [obsolete, *self.on_caller(received, now)]

    def begin_search(
        self, received: packet.Packet, home: balancer_state.Home | None, now: int
    ) -> list[effects.Effect]:
        """Begin a search for the upstream of a flow."""
        route = self.route_table.routes.find(received.flow)
        if route is None and (received.opens or home is not None):
            request = ending.request_of(self, received, home, now)
            return ending.refuse_without_route(self, received, home, request, now)
        if route is None and not ending.can_judge_routes(self):
            return []
        if received.flow in self.unrouted:
            self.unrouted[received.flow].received = received
            return []
        if len(self.searches) >= MAX_SEARCHES:
            return admitting.refuse_unsearched(self, received, home, now)
        if received.opens:
            search = opening.make_placement_search(
                self, received, route.service_of(received.flow), now
            )
            search.was_forwarded = home is not None or not self.is_timely(now)
        elif self.open_flow_searches < MAX_OPEN_FLOW_SEARCHES:
            search = finding.make_location_search(self, received, now)
        else:
            finding.queue_packet(self, received, now)
            return []
        if home is not None:
            search.previous_home = home
            search.rounds[:1] = [
                flow_search.prepend_upstream(home.upstream, (search.rounds or [[]])[0])
            ]
        if not search.has_next_round and (received.opens or self.is_view_confirmed(now)):
            return self.refuse_without_upstream(received, home, now)
        if not search.has_next_round:
            # After an outage of the store its list can be empty while all upstreams are running.
            self.not_found_since.setdefault(received.flow, now)
            self.add_pending(received)
            return []
        self.searches[received.flow] = search
        self.open_flow_searches += not search.is_opening
        return (
            self.ask_next_round(search, now) if search.rounds else asking.ask_all(self, search, now)
        )

    def reroute_searches(self, now: int) -> list[effects.Effect]:
        """Begin the searches of new flows again whose destinations a newer configuration changes.

        A flow that waits for room would otherwise be placed by a version that is no longer in force
        here, also with a copy of its opening packet that was sent long after the change. Open flows
        without a route are looked at again, too; called whenever the view has changed or has been
        confirmed.
        """
        current = self.route_table.routes
        todo: list[effects.Effect] = []
        for received in ending.take_routed(self):
            todo.extend(self.on_caller(received, now))
        todo.extend(ending.reset_unrouted(self, now))
        opening_searches = [search for search in self.searches.values() if search.is_opening]
        for search in opening_searches:
            if search.version == current.version:
                continue
            route = current.find(search.flow)
            if route is not None and route.has_destinations_of(search.route):
                search.route, search.version = route, current.version
                continue
            todo.extend(self.restart_opening(search, now))
        return todo

    def restart_opening(self, search: flow_search.Search, now: int) -> list[effects.Effect]:
        """Begin the search of a new flow again by the present route; refuse it if there is none."""
        self.end_search(search)
        last, home = search.packets[-1], self.homes.get(search.flow)
        if self.route_table.routes.find(search.flow) is None:
            request = ending.request_in(self, search)
            return ending.refuse_without_route(self, last, home, request, now)
        todo = self.begin_search(last, home, now)
        again = self.searches.get(search.flow)
        if again is not None:
            again.continue_from(search)
        return todo

    def begin_queued_searches(self, now: int) -> list[effects.Effect]:
        """Begin searches for queued flows up to the limit, the oldest first."""
        todo: list[effects.Effect] = []
        while self.queued and self.open_flow_searches < MAX_OPEN_FLOW_SEARCHES:
            flow = next(iter(self.queued))
            received, until = self.queued.pop(flow)
            if now < until and flow not in self.searches and flow not in self.homes:
                todo.extend(self.begin_search(received, None, now))
        return todo

    def retry_pending(self, now: int) -> list[effects.Effect]:
        """Search again for the flows that were not found before the view was confirmed.

        Waiting for the callers' next copies would take many of them past their timeouts.
        """
        todo: list[effects.Effect] = []
        while (
            self.pending
            and self.open_flow_searches < MAX_OPEN_FLOW_SEARCHES
            and self.is_view_confirmed(now)
        ):
            flow = next(iter(self.pending))
            received = self.pending.pop(flow)
            if flow in self.searches or flow in self.homes:
                todo.extend(self.on_caller(received, now))
            else:
                reason = finding.RetryReason.VIEW_CONFIRMED
                todo.extend(finding.retry_search(self, [received], now, now, reason))
        return todo

    def refuse_without_upstream(
        self, received: packet.Packet, home: balancer_state.Home | None, now: int
    ) -> list[effects.Effect]:
        """Reset a flow without any upstream, or drop the packet while the view may be stale.

        A new flow that another balancer may have opened can be held by an upstream that accepts no
        more flows, so it is not reset.
        """
        if not self.is_view_current or received.aborts:
            return []
        if received.opens and not ending.request_of(self, received, home, now).is_unopened(now):
            return [ending.trace_dropped(received, "no_upstream")]
        return [
            effects.trace("flow_reset", flow=packet.flow_text(received.flow), reason="no_upstream"),
            effects.Reset(received.flow, received.acknowledged),
        ]

    def on_message(
        self,
        message: messages.Message,
        received: packet.Packet | None,
        source: view.Address,
        now: int,
    ) -> list[effects.Effect]:
        """Handle a sidecar's message; `received` is the packet in it, if any."""
        self.unanswered_since = None
        self.unresponsive_until.pop(source, None)
        self.unresponsive_since.pop(source, None)
        todo = handle_message(message, self, received, source, now)
        if self.queued:
            todo.extend(self.begin_queued_searches(now))
        if self.pending:
            todo.extend(self.retry_pending(now))
        return todo

    def on_due(self, now: int) -> list[effects.Effect]:
        """Advance all searches and send all batches that are due."""
        todo = self.ask_unlisted(now)
        todo.extend(admitting.query_for_queues(self, now))
        if self.pending:
            todo.extend(self.retry_pending(now))
        if self.ask_batch.due is not None and self.ask_batch.due <= now:
            todo.extend(asking.send_ask_batch(self, now))
        if self.probe_batch.due is not None and self.probe_batch.due <= now:
            todo.extend(probing.send_probes(self, now))
        due = self.next_search_due()
        while due is not None and due <= now:
            _, flow = heapq.heappop(self.due_heap)
            search = self.searches[flow]
            todo.extend(self.advance_search(search, now))
            if self.searches.get(flow) is search and search.due <= now:
                self.schedule(search, now + 1)
            due = self.next_search_due()
        return [*todo, *self.begin_queued_searches(now)]

    def ask_unlisted(self, now: int) -> list[effects.Effect]:
        """Return the queries for sidecars without an entry, if they are due."""
        if self.confirmation.ask_at is None or self.confirmation.ask_at > now:
            return []
        return self.confirmation.due_questions(announcing.witnesses_of(self.fleet), now)

    def on_tick(self, now: int) -> list[effects.Effect]:
        """Drop expired state; while cut off, query one sidecar to detect when that ends."""
        self.record_tick(now)
        todo = ending.expire_unrouted(self, now)
        self.wait_queues.expire(now)
        self.fleet.expire(now)
        self.unresponsive_until = {
            a: until for a, until in self.unresponsive_until.items() if until > now
        }
        self.unresponsive_since = {
            a: at for a, at in self.unresponsive_since.items() if a in self.unresponsive_until
        }
        if now >= self.next_expiry_at:
            self.expire_flows(now)
        addresses = list(self.fleet.by_address)
        if not self.is_cut_off(now) or not addresses:
            return todo
        question = messages.Ask(NO_FLOW, self.route_table.routes.version)
        asked = addresses[now // SIDECAR_ROTATION_MS % len(addresses)]
        return [*todo, effects.Send(asked, question)]

    def expire_flows(self, now: int) -> None:
        """Drop the flows that have been idle for too long."""
        self.next_expiry_at = now + EXPIRY_INTERVAL_MS
        idle = self.route_table.routes.idle_timeout_ms
        if len(self.homes) > MAX_HOMES:
            idle = idle // 4
        self.homes = {f: h for f, h in self.homes.items() if now - h.seen_at < idle}
        self.not_found_since = {f: at for f, at in self.not_found_since.items() if now - at < idle}

    def advance_search(self, search: flow_search.Search, now: int) -> list[effects.Effect]:
        """Decide by the answers so far, ask further sidecars, or end the search."""
        decide = admitting.decide_placement if search.is_opening else finding.decide_location
        decided = decide(self, search, now)
        if decided is not None:
            return decided
        if not search.is_round_over(now):
            return []
        self.exclude_unresponsive(search, now)
        if search.has_next_round and search.is_opening:
            return self.ask_next_round(search, now)
        if search.has_next_round:
            return asking.ask_all(self, search, now)
        until = self.answer_deadline(search)
        if now < until and not search.is_exhausted():
            self.schedule(search, admitting.next_check(self, search, until, now))
            return []
        return self.end_failed_search(search, now)

    def exclude_unresponsive(self, search: flow_search.Search, now: int) -> None:
        """Exclude sidecars that did not answer from new flows for `SIDECAR_EXCLUSION_MS`."""
        for upstream in search.unanswered():
            self.unresponsive_until[upstream.address] = now + flow_search.SIDECAR_EXCLUSION_MS
            self.unresponsive_since.setdefault(upstream.address, now)

    def end_failed_search(self, search: flow_search.Search, now: int) -> list[effects.Effect]:
        """End a failed search: reset the flow if certainly no upstream holds or accepts it.

        Otherwise its packets are dropped. A search for a new flow asks only upstreams that accept
        new flows, so it can't tell whether another balancer has opened the flow. A search for an
        open flow is repeated once the view is confirmed, or if the result is uncertain although all
        sidecars with an entry answered.
        """
        self.end_search(search)
        last = search.packets[-1]
        missing = self.unanswered_listed(search)
        not_found = not missing and not search.uncertain_upstreams()
        if search.is_opening:
            is_unopened = ending.request_in(self, search).is_unopened(now)
            has_ended = not_found and self.is_view_current and is_unopened
        elif self.route_table.routes.find(search.flow) is None:
            is_known = not_found and self.is_view_confirmed(now)
            has_ended = is_known and finding.is_confirmed_gone(self, search, now)
            if not has_ended:
                return ending.await_route(self, search, now)
        elif not self.is_view_confirmed(now):
            has_ended = False
            if not_found:
                self.not_found_since.setdefault(search.flow, now)
            self.add_pending(last)
        else:
            has_ended = not_found and finding.is_confirmed_gone(self, search, now)
            if not (has_ended or missing or last.aborts) and search.attempt < finding.MAX_ATTEMPTS:
                due = now + finding.RETRY_SEARCH_MS
                reason = finding.RetryReason.UNCERTAIN
                return finding.retry_search(
                    self, search.packets, now, due, reason, search.attempt + 1
                )
        traced = search.trace_end(now, reset=has_ended)
        if not has_ended or last.aborts:
            return [traced]
        self.homes.pop(search.flow, None)
        return [traced, effects.Reset(search.flow, last.acknowledged)]


@functools.singledispatch
def handle_message(
    message: typing.Any,
    balancer: Balancer,
    received: packet.Packet | None,
    source: view.Address,
    now: int,
) -> list[effects.Effect]:
    """Handle one message of a sidecar; a kind that balancers don't accept is only logged."""
    return [effects.trace("message_refused", message=type(message).__name__)]


@handle_message.register
def _(message: messages.Answer, balancer, received, source, now):
    todo = effects.make_reread(message.version, balancer.route_table.routes.version)
    search = balancer.searches.get(message.flow)
    if search is None:
        return todo
    upstream = search.asked.get(source) or balancer.fleet.by_address.get(source)
    if source in search.probed and message.flow_status is messages.FlowStatus.ABSENT:
        search.exclude(source)
    elif upstream is None or not search.record_answer(upstream, message):
        return todo
    if search.is_decisive(message) or search.is_settled():
        todo.extend(balancer.advance_search(search, now))
    return todo


@handle_message.register
def _(message: messages.Announce, balancer, received, source, now):
    if not message.is_listed:
        announcing.record_unlisted(balancer.fleet, source, now + announcing.SEED_TTL_MS)
    return [effects.AddRelay(source)] if message.is_relay else []


@handle_message.register
def _(message: messages.AskUnlisted, balancer, received, source, now):
    return [
        effects.Send(
            source, announcing.make_unlisted_answer(balancer.fleet, now - balancer.started_at)
        )
    ]


@handle_message.register
def _(message: messages.AnswerUnlisted, balancer, received, source, now):
    for address in message.sidecars:
        announcing.record_unlisted(balancer.fleet, address, now + announcing.ASKER_TTL_MS)
    witnesses = announcing.witnesses_of(balancer.fleet)
    balancer.confirmation.record_answer(source, message.listened_ms, witnesses)
    return []


@handle_message.register
def _(message: messages.AnswerMany, balancer, received, source, now):
    todo = effects.make_reread(message.version, balancer.route_table.routes.version)
    answers = {
        status: messages.Answer(NO_FLOW, message.version, status, message.load, message.revision)
        for status in messages.FlowStatus
    }
    flows = balancer.ask_batch.flows_of(message.number)
    for flow, status in zip(flows, message.flow_statuses, strict=False):
        search = balancer.searches.get(flow)
        if search is None or source not in search.asked:
            continue
        search.record_answer(search.asked[source], answers[status])
        if search.is_decisive(answers[status]) or search.is_settled():
            todo.extend(balancer.advance_search(search, now))
    return todo


@handle_message.register
def _(message: messages.Return, balancer, received, source, now):
    todo = effects.make_reread(message.version, balancer.route_table.routes.version)
    home = balancer.homes.get(received.flow)
    if home is not None and home.upstream.address == source:
        del balancer.homes[received.flow]
    is_only_copy = is_only_opening(received, home, source)
    search = balancer.searches.get(received.flow)
    if search is not None:
        search.was_forwarded = search.was_forwarded or not is_only_copy
        if search.is_opening or message.reason is messages.Reason.ABSENT:
            # Any other reason concerns the opening packet, and not whether the flow is open there.
            search.exclude(source)
        todo.extend(balancer.add_to_search(search, received, now))
        if balancer.searches.get(received.flow) is search and search.is_exhausted():
            todo.extend(balancer.advance_search(search, now))
        return todo
    if message.reason is messages.Reason.NO_ROUTE:
        return todo
    todo.extend(balancer.begin_search(received, None, now))
    new_search = balancer.searches.get(received.flow)
    if new_search is not None:
        new_search.was_forwarded = new_search.was_forwarded or not is_only_copy
        if is_only_copy:
            new_search.opened_at = home.opened_at
        new_search.exclude(source)
        if new_search.is_exhausted():
            todo.extend(balancer.advance_search(new_search, now))
    return todo


def is_only_opening(
    received: packet.Packet, home: balancer_state.Home | None, source: view.Address
) -> bool:
    """Return whether a returned packet is the only one of a new flow that was sent to an upstream.

    No upstream has taken the flow from this balancer then.
    """
    if home is None or home.upstream.address != source:
        return False
    return received.opens and not received.copy_number and home.openings == 1
