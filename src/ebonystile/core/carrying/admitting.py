"""Admit, keep waiting or refuse new flows of routes that state a time limit or an objective.

Flows that wait are queued for each service. All answers about the service's upstreams serve the
queue in its order, whichever flow they were queried for. While flows wait, one of them queries the
sidecars at each step on behalf of all, so that the number of queries depends neither on the number
of flows that wait nor on their ages.
"""

import dataclasses
import functools
import typing

from ebonystile.core.carrying import (
    admission,
    balancer_state,
    effects,
    ending,
    fleet,
    flow_search,
    messages,
    opening,
    packet,
    placing,
    predicting,
    routes,
    scheduling,
    waiting,
)

REPORT_TTL_MS = 100
"""Age in ms from which answers no longer count for a flow that was not queried for: as long as
placements are remembered."""

STATUS_TTL_MS = flow_search.ROUND_MS
"""Age in ms from which the answers about a flow that may be open no longer count: as old as they
can be where a flow is placed by a single round."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The best upstream for a flow and whether it has room.

    `usual_ms` is the usual latency of the upstreams that answered, in ms, 0 if unknown.
    """

    candidate: placing.Candidate
    has_room: bool
    usual_ms: float

    @property
    def wait_ms(self) -> float:
        """Return the predicted wait at the upstream, in ms."""
        return predicting.predicted_wait_ms(self.candidate.load, self.usual_ms)

    @property
    def service_ms(self) -> float:
        """Return the predicted time from the start of the request to its answer, in ms."""
        return predicting.predicted_finish_ms(self.candidate.load, self.usual_ms) - self.wait_ms


def is_subject(state: balancer_state.BalancerState, flow: packet.Flow) -> bool:
    """Return whether new flows of this flow's route are subject to admission."""
    traits = state.route_table.routes.traits_of(flow)
    return state.is_admission_enabled and admission.is_stated(traits)


def decide_placement(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect] | None:
    """Return the effects that place, defer or refuse a new flow, or None to wait for answers."""
    if not is_subject(state, search.flow):
        return opening.decide_placement(state, search, now)
    holder = search.holder()
    if holder is not None:
        return opening.place_flow(state, search, holder, now)
    queue = queue_of(state, search)
    if opening.find_candidate(state, search, now) is not None:
        queue.record_report(waiting.Report(search.asked_at, search.ordered_answers()))
        return serve_queue(state, queue, search, now)
    if is_disconnected(state, search, now):
        return refuse(state, search, admission.Reason.DISCONNECTED, None, now)
    if not search.is_deferred or not search.asked or not search.is_round_over(now):
        return None
    return None if search.has_next_round else serve_queue(state, queue, search, now)


def queue_of(state: balancer_state.BalancerState, search: flow_search.Search) -> waiting.WaitQueue:
    """Return the queue in which the flow waits or would wait."""
    return (
        state.wait_queues.by_flow.get(search.flow)
        or state.wait_queues.by_key[key_of(state, search)]
    )


def key_of(state: balancer_state.BalancerState, search: flow_search.Search) -> waiting.Key:
    """Return the key of the queue in which the flow would wait."""
    return (search.service, tuple(state.route_table.routes.regions_of(search.flow)))


def serve_queue(
    state: balancer_state.BalancerState,
    queue: waiting.WaitQueue,
    search: flow_search.Search,
    now: int,
) -> list[effects.Effect]:
    """Admit the flows of the queue for which there is room, then decide about the search's flow."""
    traits = state.route_table.routes.traits_of(search.flow)
    entry = waiting.Entry(search.flow, traits.priority, search.opened_at, search.asked_at)
    state.wait_queues.add(key_of(state, search), entry, now + opening.DEFER_STEP_MS)
    todo: list[effects.Effect] = []
    ordered = queue.ordered(now)
    for entry in ordered:
        first = state.searches[entry.flow]
        verdict, choice = decide_flow(state, queue, first, 0, now)
        if isinstance(verdict, admission.Wait):
            break
        todo.extend(carry_out(verdict, state, queue, first, choice, now))
    if search.flow not in queue.entries or state.searches.get(search.flow) is not search:
        return todo
    ahead = position_of(search.flow, ordered, queue)
    verdict, choice = decide_flow(state, queue, search, ahead, now)
    return [*todo, *carry_out(verdict, state, queue, search, choice, now)]


def position_of(flow: packet.Flow, ordered: list[waiting.Entry], queue: waiting.WaitQueue) -> int:
    """Return how many flows of the queue are still before the flow."""
    before = 0
    for entry in ordered:
        if entry.flow == flow:
            break
        before += entry.flow in queue.entries
    return before


def choose(
    state: balancer_state.BalancerState,
    queue: waiting.WaitQueue,
    search: flow_search.Search,
    now: int,
) -> Choice | None:
    """Return the best upstream by the latest answers, or None if there are none."""
    report = report_for(state, queue, search, now)
    if report is None:
        return None
    placed = state.count_placements_since(report.asked_at)
    loads = [
        (upstream, opening.add_flows(answer.load, placed[upstream.address]))
        for upstream, answer in report.answers
        if upstream.address not in search.excluded
    ]
    requests = state.route_table.routes.traits_of(search.flow)
    candidates = placing.compare_candidates(loads, state.zone, now, requests)
    roomy = [
        candidate
        for candidate in candidates
        if has_room(
            candidate.load,
            placed[candidate.upstream.address],
            is_overloaded=candidate.is_overloaded,
            is_on_trial=queue.is_on_trial(candidate.upstream.address, now),
        )
    ]
    best = placing.pick_best(roomy or candidates)
    if best is None:
        return None
    usual_ms = predicting.median_latency(answer.load for _, answer in report.answers)
    return Choice(best, bool(roomy), usual_ms)


def report_for(
    state: balancer_state.BalancerState,
    queue: waiting.WaitQueue,
    search: flow_search.Search,
    now: int,
) -> waiting.Report | None:
    """Return the answers by which the flow is placed, or None if all are too old.

    Another balancer may have opened a flow that is not certainly unopened, so this flow is placed
    by the answers to its own queries where it has any.
    """
    is_recent = bool(search.answers) and now - search.asked_at <= REPORT_TTL_MS
    if is_recent and not is_unopened(state, search, now):
        return waiting.Report(search.asked_at, search.ordered_answers())
    if queue.report is None or now - queue.report.asked_at > REPORT_TTL_MS:
        return None
    return queue.report


def has_room(
    load: messages.Load, placed: int, *, is_overloaded: bool, is_on_trial: bool = False
) -> bool:
    """Return whether the upstream takes one more flow.

    `placed` flows were placed on it since it was queried. One answer must not place more than its
    queue holds, and only one per slot while no slot is free: all balancers place flows by the same
    answers, and the next answer shows the room that is left. Flows opened earlier don't count while
    a slot is free, as they may have no request. An upstream on trial gets a single flow.
    """
    if load.unresponsive or is_overloaded or (is_on_trial and placed):
        return False
    slots = max(1, load.slots)
    return placed < (slots if load.saturated else placing.OVERLOADED_REQUESTS_PER_SLOT * slots)


def decide_flow(
    state: balancer_state.BalancerState,
    queue: waiting.WaitQueue,
    search: flow_search.Search,
    ahead: int,
    now: int,
) -> tuple[admission.Verdict, Choice | None]:
    """Return the verdict on a flow with `ahead` others before it, and the best upstream for it."""
    choice = choose(state, queue, search, now)
    room = room_for(state, queue, search, choice, now)
    room = dataclasses.replace(room, ahead=ahead)
    return admission.decide(ending.request_in(state, search), room, now), choice


def room_for(
    state: balancer_state.BalancerState,
    queue: waiting.WaitQueue,
    search: flow_search.Search,
    choice: Choice | None,
    now: int,
) -> admission.Room:
    """Return the room for the first flow of a queue, at the upstream and on the own link."""
    link, size = None, 0.0
    if state.find_link_room is not None:
        link = state.find_link_room(state.route_table.routes.traits_of(search.flow), now)
        size = state.flow_sizes.average(search.flow)
    room = admission.Room(
        False, admitted_per_s=queue.admitted_per_s(now), link=link, request_bytes=size
    )
    if choice is None:
        return room
    return dataclasses.replace(
        room, has_room=choice.has_room, wait_ms=choice.wait_ms, service_ms=choice.service_ms
    )


def find_link_room(
    link: scheduling.LinkScheduler, traits: routes.RequestTraits, now: int
) -> admission.LinkRoom:
    """Return what a scheduled link predicts for requests with these traits."""
    is_bulk = traits.kind is routes.RequestKind.UPLOAD
    wait_ms = link.predicted_wait_ms(traits, is_bulk, now)
    return admission.LinkRoom(wait_ms, link.bytes_per_ms, link.is_narrowed)


@functools.singledispatch
def carry_out(
    verdict: typing.Any,
    state: balancer_state.BalancerState,
    queue: waiting.WaitQueue,
    search: flow_search.Search,
    choice: Choice | None,
    now: int,
) -> list[effects.Effect]:
    """Return the effects of a verdict on a flow in the queue."""
    raise TypeError(f"expected a verdict, found {type(verdict).__name__}")


@carry_out.register
def _(verdict: admission.Admit, state, queue, search, choice, now):
    if choice is None or choice.candidate.load.full:
        # Its sidecar would return the opening packet at once.
        return end_unserved(state, search, admission.Reason.NO_ROOM, choice, now, reset=False)
    chosen = choice.candidate
    if needs_status(state, search, chosen.upstream, now):
        return ask_status(state, search, now)
    todo = opening.place_flow(state, search, chosen.upstream, now, chosen)
    queue.record_admission(search.flow, now)
    return todo


@carry_out.register
def _(verdict: admission.Wait, state, queue, search, choice, now):
    state.schedule(search, max(now + 1, verdict.until))
    queue.record_wait(now)
    if search.is_deferred:
        return []
    search.is_deferred = True
    inputs = opening.placement_inputs(choice.candidate) if choice is not None else {}
    flow = packet.flow_text(search.flow)
    return [effects.trace("held", flow=flow, max_wait_ms=verdict.until - now, **inputs)]


@carry_out.register
def _(verdict: admission.Refuse, state, queue, search, choice, now):
    return refuse(state, search, verdict.reason, choice, now)


def needs_status(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    upstream: fleet.Upstream,
    now: int,
) -> bool:
    """Return whether sidecars must be asked first whether the flow is open.

    Another balancer may have opened it since its own queries. If their answers are lost, it is
    placed after `MAX_WAIT_MS` all the same; two upstreams may then have accepted it, and its caller
    continues with one of them.
    """
    if is_unopened(state, search, now) or now >= search.opened_at + admission.MAX_WAIT_MS:
        return False
    is_recent = now - search.asked_at <= STATUS_TTL_MS
    return not (is_recent and upstream.address in search.answers)


def ask_status(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect]:
    """Return the queries of a flow that needs its status, unless its last ones are recent."""
    retry_at = search.asked_at + STATUS_TTL_MS + 1
    if now >= retry_at:
        return ask_again(state, search, now)
    if search.due <= now:
        state.schedule(search, retry_at)
    return []


def refuse(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    reason: admission.Reason,
    choice: Choice | None,
    now: int,
) -> list[effects.Effect]:
    """End a search without placing its flow, and reset the flow if no balancer can have opened it.

    Sidecars have only been queried about such a flow, so nothing of it has run.
    """
    reset = is_unopened(state, search, now)
    return end_unserved(state, search, reason, choice, now, reset=reset)


def is_unopened(state: balancer_state.BalancerState, search: flow_search.Search, now: int) -> bool:
    """Return whether no balancer can have opened the flow."""
    return ending.request_in(state, search).is_unopened(now)


def end_unserved(
    state: balancer_state.BalancerState,
    search: flow_search.Search,
    reason: admission.Reason,
    choice: Choice | None,
    now: int,
    *,
    reset: bool,
) -> list[effects.Effect]:
    """End a search without placing its flow."""
    state.end_search(search)
    searched_ms = now - search.started_at
    wait_ms = choice.wait_ms if choice is not None else 0.0
    traced = trace_refusal(state, search.flow, reason, wait_ms, searched_ms, reset=reset)
    if not reset:
        return [traced]
    return [traced, effects.Reset(search.flow, search.packets[-1].acknowledged)]


def query_for_queues(state: balancer_state.BalancerState, now: int) -> list[effects.Effect]:
    """Return the queries that are due for the flows that wait: for one flow of each queue."""
    todo: list[effects.Effect] = []
    for queue in state.wait_queues.due(now):
        queue.ask_at = now + opening.DEFER_STEP_MS
        search = state.searches[queue.next_asker().flow]
        if not is_asking(search, now):
            todo.extend(ask_again(state, search, now))
    return todo


def is_asking(search: flow_search.Search, now: int) -> bool:
    """Return whether the queries of a flow that waits are in progress.

    Starting them again would leave out the later rounds while the first ones are not answered.
    """
    is_over = search.is_round_over(now) and not search.has_next_round
    return not is_over and now < search.asked_at + flow_search.ROUND_MS


def ask_again(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> list[effects.Effect]:
    """Return the queries of a flow that waits to the first round of sidecars."""
    state.wait_queues.by_flow[search.flow].entries[search.flow].asked_at = now
    again = opening.renew_search(state, search, now)
    if again.rounds:
        return state.ask_next_round(again, now)
    state.schedule(again, now)
    return []


def is_disconnected(
    state: balancer_state.BalancerState, search: flow_search.Search, now: int
) -> bool:
    """Return whether a flow is refused as no sidecar answers this balancer.

    That is safe only for a flow that no balancer can have opened. The caller then tries again at
    another balancer and does not wait until it gives up.
    """
    silent_since = state.unanswered_since
    if search.answers or silent_since is None or now - silent_since < admission.DISCONNECTED_MS:
        return False
    is_due = now >= search.started_at + admission.DISCONNECTED_REFUSAL_MS
    return is_due and is_unopened(state, search, now)


def next_check(
    state: balancer_state.BalancerState, search: flow_search.Search, until: int, now: int
) -> int:
    """Return when a search that waits for answers is checked next, at the latest at `until`."""
    refusal_at = search.started_at + admission.DISCONNECTED_REFUSAL_MS
    if not search.is_opening or now >= refusal_at:
        return until
    if not is_subject(state, search.flow):
        return until
    return min(until, refusal_at)


def refuse_unsearched(
    state: balancer_state.BalancerState,
    received: packet.Packet,
    home: balancer_state.Home | None,
    now: int,
) -> list[effects.Effect]:
    """Reset a new flow beyond the limit of searches, if that is safe; otherwise drop the packet.

    Safe are only first opening packets that have just arrived and were not forwarded: the caller
    has sent no copy to another balancer yet.
    """
    if not received.opens or not is_subject(state, received.flow):
        return []
    if not ending.request_of(state, received, home, now).is_unopened(now):
        return []
    return [
        trace_refusal(state, received.flow, admission.Reason.SEARCHES, 0.0, 0, reset=True),
        effects.Reset(received.flow, received.acknowledged),
    ]


def trace_refusal(
    state: balancer_state.BalancerState,
    flow: packet.Flow,
    reason: admission.Reason,
    wait_ms: float,
    searched_ms: int,
    *,
    reset: bool,
) -> effects.Effect:
    """Count a flow that is not placed, and return the log event of it."""
    state.refused[reason.value] += 1
    return effects.trace(
        "refused",
        flow=packet.flow_text(flow),
        reason=reason.value,
        reset=reset,
        predicted_wait_ms=round(wait_ms),
        timeout_ms=state.route_table.routes.traits_of(flow).timeout_ms,
        searched_ms=searched_ms,
    )
