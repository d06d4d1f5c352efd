"""Handle the packets and messages that a balancer of carried flows receives.

A packet of a flow whose home is known is forwarded to it. Any other packet starts a search, which
`opening` or `finding` decides.
"""

import functools
import heapq
import typing

from ebonystile.core import view
from ebonystile.core.carrying import (
    announcing,
    asking,
    balancer_state,
    effects,
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

MAX_FINDING = 128
"""Limit of concurrent searches for open flows. After an outage all open flows are searched for at
the same time; the limit leaves capacity for new flows."""

PROBE_MS = 200
"""How long an unreachable balancer queries one sidecar before it tries the next, in ms."""

SWEEP_MS = 1_000
"""Interval at which idle flows expire, in ms: the sweep visits all flows, which is too much for
every tick."""

NO_FLOW = bytes(12)
"""A flow that does not exist, for queries that only test whether a sidecar answers."""


class Balancer(balancer_state.BalancerState):
    """The core of one balancer; its methods return the effects to carry out, in order."""

    def on_caller(self, received: packet.Packet, now: int) -> list[effects.Effect]:
        """Forward a caller's packet to the home of its flow, or begin a search for it."""
        found = self.searches.get(received.flow)
        if found is not None:
            found.hold(received)
            return []
        home = self.homes.get(received.flow)
        if home is None or received.opens:
            return self.begin(received, home, now)
        if self.route_table.routes.find(received.flow) is None:
            return self.without_route(received)
        if not self.fleet.is_listed(home.upstream) and now >= home.verified_until:
            return self.begin(received, home, now)
        home.seen_at = now
        return [effects.Send(home.upstream.address, messages.Carry(received.raw))]

    def without_route(self, received: packet.Packet) -> list[effects.Effect]:
        """Reset a flow without a route, or drop the packet while the configuration may be stale."""
        self.homes.pop(received.flow, None)
        if received.aborts or not self.is_view_current or not self.route_table.routes.version:
            return []
        return [
            effects.trace(
                "flow_reset",
                flow=packet.flow_text(received.flow),
                reason="no_route",
                version=self.route_table.routes.version,
            ),
            effects.Reset(received.flow, received.acknowledged),
        ]

    def begin(
        self, received: packet.Packet, home: balancer_state.Home | None, now: int
    ) -> list[effects.Effect]:
        """Begin a search for the upstream of a flow."""
        route = self.route_table.routes.find(received.flow)
        if route is None:
            return self.without_route(received)
        if len(self.searches) >= MAX_SEARCHES:
            return []
        if received.opens:
            begun = opening.search_for(self, received, route.service_of(received.flow), now)
        elif self.open_flow_searches < MAX_FINDING:
            begun = finding.search_for(self, received, now)
        else:
            finding.queue(self, received, now)
            return []
        if home is not None:
            begun.previous = home
            begun.waves[:1] = [flow_search.with_first(home.upstream, (begun.waves or [[]])[0])]
        if not begun.goes_on and (received.opens or self.is_view_confirmed(now)):
            return self.nobody(received)
        if not begun.goes_on:
            # After an outage of the store its list can be empty while all upstreams are running.
            self.not_found_since.setdefault(received.flow, now)
            self.add_pending(received)
            return []
        self.searches[received.flow] = begun
        self.open_flow_searches += not begun.opening
        return (
            self.ask_next_round(begun, now)
            if begun.waves
            else asking.ask_everybody(self, begun, now)
        )

    def begin_queued(self, now: int) -> list[effects.Effect]:
        """Begin searches for queued flows up to the limit, the oldest first."""
        todo: list[effects.Effect] = []
        while self.queued and self.open_flow_searches < MAX_FINDING:
            flow = next(iter(self.queued))
            received, until = self.queued.pop(flow)
            if now < until and flow not in self.searches and flow not in self.homes:
                todo.extend(self.begin(received, None, now))
        return todo

    def begin_pending(self, now: int) -> list[effects.Effect]:
        """Search again for the flows that were not found before the view was confirmed.

        Waiting for the callers' next copies would take many of them past their timeouts.
        """
        todo: list[effects.Effect] = []
        while (
            self.pending and self.open_flow_searches < MAX_FINDING and self.is_view_confirmed(now)
        ):
            flow = next(iter(self.pending))
            received = self.pending.pop(flow)
            if flow not in self.searches and flow not in self.homes:
                todo.extend(finding.look_again(self, [received], now, now))
        return todo

    def nobody(self, received: packet.Packet) -> list[effects.Effect]:
        """Reset a flow without any upstream, or drop the packet while the view may be stale."""
        if not self.is_view_current or received.aborts:
            return []
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
        todo = act(message, self, received, source, now)
        if self.queued:
            todo.extend(self.begin_queued(now))
        if self.pending:
            todo.extend(self.begin_pending(now))
        return todo

    def on_due(self, now: int) -> list[effects.Effect]:
        """Advance all searches and send all batches that are due."""
        todo = self.ask_unlisted(now)
        if self.pending:
            todo.extend(self.begin_pending(now))
        if self.ask_batch.due is not None and self.ask_batch.due <= now:
            todo.extend(asking.ask_batch(self, now))
        if self.probe_batch.due is not None and self.probe_batch.due <= now:
            todo.extend(probing.send_probes(self, now))
        due = self.next_search_due()
        while due is not None and due <= now:
            _, flow = heapq.heappop(self.due_heap)
            found = self.searches[flow]
            todo.extend(self.go_on(found, now))
            if self.searches.get(flow) is found and found.due <= now:
                self.schedule(found, now + 1)
            due = self.next_search_due()
        return [*todo, *self.begin_queued(now)]

    def ask_unlisted(self, now: int) -> list[effects.Effect]:
        """Return the queries for sidecars without an entry, if they are due."""
        if self.confirmation.ask_at is None or self.confirmation.ask_at > now:
            return []
        return self.confirmation.due_questions(announcing.witnesses_of(self.fleet), now)

    def on_tick(self, now: int) -> list[effects.Effect]:
        """Drop expired state; while unreachable, query one sidecar to notice the end of that."""
        self.fleet.expire(now)
        self.unresponsive_until = {
            a: until for a, until in self.unresponsive_until.items() if until > now
        }
        self.unresponsive_since = {
            a: at for a, at in self.unresponsive_since.items() if a in self.unresponsive_until
        }
        if now >= self.next_expiry_at:
            self.sweep(now)
        known = list(self.fleet.by_address)
        if not self.is_cut_off(now) or not known:
            return []
        question = messages.Ask(NO_FLOW, self.route_table.routes.version)
        return [effects.Send(known[now // PROBE_MS % len(known)], question)]

    def sweep(self, now: int) -> None:
        """Drop the flows that have been idle for too long."""
        self.next_expiry_at = now + SWEEP_MS
        idle = self.route_table.routes.idle_timeout_ms
        if len(self.homes) > MAX_HOMES:
            idle = idle // 4
        self.homes = {f: h for f, h in self.homes.items() if now - h.seen_at < idle}
        self.not_found_since = {f: at for f, at in self.not_found_since.items() if now - at < idle}

    def go_on(self, found: flow_search.Search, now: int) -> list[effects.Effect]:
        """Decide by the answers so far, ask further sidecars, or end the search."""
        decide = opening.decide if found.opening else finding.decide
        decided = decide(self, found, now)
        if decided is not None:
            return decided
        if not found.wave_over(now):
            return []
        self.note_silent(found, now)
        if found.goes_on and found.opening:
            return self.ask_next_round(found, now)
        if found.goes_on:
            return asking.ask_everybody(self, found, now)
        until = self.answer_deadline(found)
        if now < until and not found.exhausted():
            self.schedule(found, until)
            return []
        return self.end_of_search(found, now)

    def note_silent(self, found: flow_search.Search, now: int) -> None:
        """Record the sidecars that did not answer in time as silent for `SILENCE_MS`."""
        for upstream in found.unanswered():
            self.unresponsive_until[upstream.address] = now + flow_search.SILENCE_MS
            self.unresponsive_since.setdefault(upstream.address, now)

    def end_of_search(self, found: flow_search.Search, now: int) -> list[effects.Effect]:
        """End a failed search: reset the flow if it has certainly ended, else drop its packets.

        A search for an open flow is repeated if the result is uncertain although all sidecars
        with an entry answered.
        """
        self.end_search(found)
        last = found.packets[-1]
        missing = self.unanswered_listed(found)
        not_found = not missing and not found.unknown()
        if found.opening:
            over = not_found and self.is_view_current
        elif not self.is_view_confirmed(now):
            over = False
            if not_found:
                self.not_found_since.setdefault(found.flow, now)
            self.add_pending(last)
        else:
            over = not_found and finding.confirmed(self, found, now)
            if not (over or missing or last.aborts) and found.looks < finding.MOST_LOOKS:
                due = now + finding.CONFIRM_MS
                return finding.look_again(self, found.packets, now, due, found.looks + 1)
        traced = found.trace_end(now, reset=over)
        if not over or last.aborts:
            return [traced]
        self.homes.pop(found.flow, None)
        return [traced, effects.Reset(found.flow, last.acknowledged)]


@functools.singledispatch
def act(
    message: typing.Any,
    balancer: Balancer,
    received: packet.Packet | None,
    source: view.Address,
    now: int,
) -> list[effects.Effect]:
    """Handle one message of a sidecar; a kind that balancers don't accept is only logged."""
    return [effects.trace("message_refused", message=type(message).__name__)]


@act.register
def _(message: messages.Answer, balancer, received, source, now):
    todo = effects.make_reread(message.version, balancer.route_table.routes.version)
    found = balancer.searches.get(message.flow)
    if found is None:
        return todo
    upstream = found.asked.get(source) or balancer.fleet.by_address.get(source)
    if source in found.probed and message.flow_status is messages.FlowStatus.ABSENT:
        found.exclude(source)
    elif upstream is None or not found.answer(upstream, message):
        return todo
    if found.decisive(message) or found.settled():
        todo.extend(balancer.go_on(found, now))
    return todo


@act.register
def _(message: messages.Announce, balancer, received, source, now):
    if not message.is_listed:
        announcing.record_unlisted(balancer.fleet, source, now + announcing.SEED_TTL_MS)
    return [effects.ReadFrom(source)] if message.is_relay else []


@act.register
def _(message: messages.AskUnlisted, balancer, received, source, now):
    return [
        effects.Send(
            source, announcing.make_unlisted_answer(balancer.fleet, now - balancer.started_at)
        )
    ]


@act.register
def _(message: messages.AnswerUnlisted, balancer, received, source, now):
    for address in message.sidecars:
        announcing.record_unlisted(balancer.fleet, address, now + announcing.ASKER_TTL_MS)
    witnesses = announcing.witnesses_of(balancer.fleet)
    balancer.confirmation.record_answer(source, message.listened_ms, witnesses)
    return []


@act.register
def _(message: messages.AnswerMany, balancer, received, source, now):
    todo = effects.make_reread(message.version, balancer.route_table.routes.version)
    answers = {
        holding: messages.Answer(NO_FLOW, message.version, holding, message.load, message.revision)
        for holding in messages.FlowStatus
    }
    flows = balancer.ask_batch.flows_of(message.number)
    for flow, holding in zip(flows, message.flow_statuses, strict=False):
        found = balancer.searches.get(flow)
        if found is None or source not in found.asked:
            continue
        found.answer(found.asked[source], answers[holding])
        if found.decisive(answers[holding]) or found.settled():
            todo.extend(balancer.go_on(found, now))
    return todo


@act.register
def _(message: messages.Return, balancer, received, source, now):
    todo = effects.make_reread(message.version, balancer.route_table.routes.version)
    home = balancer.homes.get(received.flow)
    if home is not None and home.upstream.address == source:
        del balancer.homes[received.flow]
    found = balancer.searches.get(received.flow)
    if found is not None:
        found.exclude(source)
        found.hold(received)
        if found.exhausted():
            todo.extend(balancer.go_on(found, now))
        return todo
    if message.reason is messages.Reason.NO_ROUTE:
        return todo
    todo.extend(balancer.begin(received, None, now))
    begun = balancer.searches.get(received.flow)
    if begun is not None:
        begun.exclude(source)
        if begun.exhausted():
            todo.extend(balancer.go_on(begun, now))
    return todo
