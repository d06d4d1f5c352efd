"""List the safeguards that `scripts/mutants` takes out one by one, as replacements of text."""

import dataclasses
import pathlib

CORE = "src/ebonystile/core/"

TESTS = (
    "tests/test_safeguards.py",
    "tests/test_call.py",
    "tests/test_leaving.py",
    "tests/test_seal.py",
    "tests/test_handover_faults.py",
    "tests/test_path.py",
    "tests/test_matrix_sequences.py",
    "tests/test_matrix_requests.py",
    "tests/test_matrix_moves.py",
    "tests/test_matrix_pairs.py",
)
CARRYING_TESTS = (
    "tests/carrying/test_paths.py",
    "tests/carrying/test_no_upstream.py",
    "tests/carrying/test_loss.py",
    "tests/carrying/test_table.py",
    "tests/carrying/test_reading.py",
    "tests/carrying/test_sourcing.py",
    "tests/carrying/test_placing.py",
    "tests/carrying/test_fleet.py",
    "tests/carrying/test_announcing.py",
    "tests/carrying/test_overloaded.py",
    "tests/carrying/test_admission.py",
    "tests/carrying/test_admission_load.py",
    "tests/carrying/test_drained.py",
    "tests/carrying/test_warming.py",
    "tests/carrying/test_service_times.py",
    "tests/carrying/test_predicted_finish.py",
    "tests/carrying/test_scheduling.py",
    "tests/carrying/test_link_rate.py",
    "tests/carrying/test_link_load.py",
    "tests/carrier/test_link.py",
    "tests/carrying/test_zone_demand.py",
    "tests/carrier/test_feed.py",
    "tests/carrier/test_relay.py",
    "tests/carrier/test_restored.py",
    "tests/carrier/test_unanswered.py",
    "tests/platform/test_entries.py",
    "tests/carrying/test_random_steps.py",
)
"""The tests that must notice, the quickest first: of the product's calls and of carried flows."""


@dataclasses.dataclass(frozen=True)
class Mutation:
    """One safeguard: where it stands, its text, and what stands there without it."""

    name: str
    path: str
    old: str
    new: str

    @property
    def group(self) -> str:
        """Return whether the safeguard is of carried flows or of the product's calls."""
        places = ("/carrying/", "/carrier/", "/platform/store.py")
        return "carrying" if any(place in self.path for place in places) else "calls"

    @property
    def tests(self) -> tuple[str, ...]:
        """Return the tests that must notice."""
        return CARRYING_TESTS if self.group == "carrying" else TESTS


def apply(mutation: Mutation, root: pathlib.Path) -> None:
    """Take a safeguard out of a copy; raise `ValueError` unless it stands there exactly once."""
    path = root / mutation.path
    text = path.read_text()
    if text.count(mutation.old) != 1:
        raise ValueError(f"{mutation.name}: found {text.count(mutation.old)} times")
    path.write_text(text.replace(mutation.old, mutation.new))


MUTATIONS = (
    Mutation(
        "deadline check before sending to the upstream",
        "src/ebonystile/daemon/sidecar.py",
        "if clock.now() >= job.deadline:",
        "if False:",
    ),
    Mutation(
        "deadline check when a slot is free",
        CORE + "calls/limits.py",
        "late = [w for w in self.queue if w.deadline <= now]",
        "late = []",
    ),
    Mutation(
        "tombstone before NotRun",
        CORE + "calls/requests.py",
        "        state.ledger.add(entry)\n    if entry is not None:",
        "    if entry is not None:",
    ),
    Mutation(
        "tombstone when a request is settled",
        CORE + "calls/requests.py",
        'refuse(state, flow, message.request, deadline, "settled before it ran", now)',
        'state.send_to_flow(flow, messages.NotRun(flow.id, message.request, "settled", now))',
    ),
    Mutation(
        "ledger lookup for a repeated request",
        CORE + "calls/requests.py",
        "    state.balance.idle_flows.remove(flow.id)\n"
        "    entry = state.ledger.get(flow.id, message.request)\n",
        "    state.balance.idle_flows.remove(flow.id)\n"
        "    entry = state.ledger.get(flow.id, message.request)\n"
        "    if entry is not None and entry.state in ledger.FINAL:\n"
        "        entry = None\n",
    ),
    Mutation(
        "record kept until a margin after its deadline",
        CORE + "calls/requests.py",
        "message.deadline + state.limits.ledger_margin_ms,\n    )\n    state.ledger.add(entry)",
        "now + state.limits.ledger_margin_ms,\n    )\n    state.ledger.add(entry)",
    ),
    Mutation(
        "forgotten_before of the ledger",
        CORE + "calls/requests.py",
        "forgotten = max(state.ledger.forgotten_before, flow.forgotten_before)",
        "forgotten = flow.forgotten_before",
    ),
    Mutation(
        "forgotten_before of a handover",
        CORE + "calls/requests.py",
        "forgotten = max(state.ledger.forgotten_before, flow.forgotten_before)",
        "forgotten = state.ledger.forgotten_before",
    ),
    Mutation(
        "barred_before when the ledger is full",
        CORE + "calls/requests.py",
        "flow.barred_before = max(flow.barred_before, deadline)",
        "pass",
    ),
    Mutation(
        "refusal when the ledger is full",
        CORE + "calls/requests.py",
        "    if state.ledger.is_full:\n        return",
        "    if False:\n        return",
    ),
    Mutation(
        "limit on how far away a deadline is",
        CORE + "calls/requests.py",
        "    if message.deadline > now + state.limits.max_deadline_ms:\n        # `NotRun`",
        "    if False:\n        # `NotRun`",
    ),
    Mutation(
        "unknown outcome after a lost connection",
        CORE + "calls/requests.py",
        "    if not may_have_run:\n        entry.state",
        "    if True:\n        entry.state",
    ),
    Mutation(
        "requests refused while leaving",
        CORE + "calls/requests.py",
        "    if state.leaving_reason:\n        return",
        "    if False:\n        return",
    ),
    Mutation(
        "opens refused while leaving",
        CORE + "calls/sidecar_state.py",
        "return not self.leaving_reason and self.is_caught_up and service in self.served_services",
        "return self.is_caught_up and service in self.served_services",
    ),
    Mutation(
        "queued requests refused on leaving",
        CORE + "calls/sidecar.py",
        "    requests.refuse_queued(state, None, state.leaving_reason, now)\n",
        "",
    ),
    Mutation(
        "requests of a service no longer served refused",
        CORE + "calls/requests.py",
        "    if flow.service not in state.served_services:\n",
        "    if False:\n",
    ),
    Mutation(
        "new work refused after a pause",
        CORE + "calls/sidecar.py",
        "if now - state.last_event_at > state.limits.max_pause_ms and state.is_caught_up:",
        "if False:",
    ),
    Mutation(
        "older view ignored at the home",
        CORE + "calls/sidecar.py",
        "    if event.view.revision < state.view.revision:\n        return\n",
        "",
    ),
    Mutation(
        "older view ignored at the balancer",
        CORE + "calls/balancer.py",
        "    if newer.revision < balancer.view.revision:\n        return False\n",
        "",
    ),
    Mutation(
        "service check at the balancer",
        CORE + "calls/balancer.py",
        "if token_service != view.key_of(service_name):",
        "if False:",
    ),
    Mutation(
        "service check at the home",
        CORE + "calls/sidecar.py",
        "        and flow.service == service\n        and token.service == view.key_of(service)\n",
        "",
    ),
    Mutation(
        "incarnation check at the home",
        CORE + "calls/sidecar.py",
        "        and token.incarnation in flow.honoured_incarnations\n",
        "",
    ),
    Mutation(
        "fencing waits for pending requests",
        CORE + "calls/handover.py",
        "    if any(entry.state in ledger.PENDING for entry in records):\n        return\n",
        "",
    ),
    Mutation(
        "fenced flow runs nothing",
        CORE + "calls/sidecar.py",
        "    elif flow.is_fenced:\n        answer_fenced",
        "    elif False:\n        answer_fenced",
    ),
    Mutation(
        "repeated transfer accepted once",
        CORE + "calls/handover.py",
        "accepted = message.id in state.accepted_transfers",
        "accepted = False",
    ),
    Mutation(
        "accepted transfers remembered",
        CORE + "calls/handover.py",
        "remove_expired(state.accepted_transfers, now - state.limits.transfer_memory_ms)",
        "remove_expired(state.accepted_transfers, now)",
    ),
    Mutation(
        "refused transfers remembered",
        CORE + "calls/handover.py",
        "state.refused_transfers[message.id] = message.deadline",
        "pass",
    ),
    Mutation(
        "deadline of a transfer",
        CORE + "calls/handover.py",
        "    if message.incarnation and message.deadline <= now:\n",
        "    if False:\n",
    ),
    Mutation(
        "one target once the records were sent",
        CORE + "calls/handover.py",
        "    if flow.handover.committed:\n        flow.handover.retry_at",
        "    if False:\n        flow.handover.retry_at",
    ),
    Mutation(
        "only the queried incarnation accepts a transfer",
        CORE + "calls/handover.py",
        "if not accepted and message.incarnation == state.incarnation:",
        "if not accepted and message.incarnation:",
    ),
    Mutation(
        "flow abandoned when its target has restarted",
        CORE + "calls/handover.py",
        "ran of the flow.\n        abandon_flow(state, flow)\n",
        "ran of the flow.\n        try_next_target(state, flow, now)\n",
    ),
    Mutation(
        "flow abandoned when its target is gone",
        CORE + "calls/handover.py",
        "    if not handover.committed:\n        return False\n",
        "    if True:\n        return False\n",
    ),
    Mutation(
        "lease shortened while no sibling takes a flow",
        CORE + "calls/handover.py",
        "    flow.lease_until = min(flow.lease_until, now + state.limits.waiting_lease_ms)\n",
        "",
    ),
    Mutation(
        "caller informed of the shortened lease",
        CORE + "calls/handover.py",
        "        flow.lease_sent_at = now\n        send_moved(state, flow)\n",
        "        flow.lease_sent_at = now\n",
    ),
    Mutation(
        "flow served between two rounds of refusals",
        CORE + "calls/handover.py",
        "    if target is None:\n        flow.handover = None\n",
        "    if target is None:\n",
    ),
    Mutation(
        "flow in handover not accepted back",
        CORE + "calls/handover.py",
        "if known is not None and known.handover is not None and not is_returning(known, message):",
        "if False:",
    ),
    Mutation(
        "fenced home not merged",
        CORE + "calls/handover.py",
        "    if known is not None and known.is_fenced:\n        known = None\n",
        "",
    ),
    Mutation(
        "records sent in a handover",
        CORE + "calls/handover.py",
        "        records = tuple(record_of(entry) for entry in state.ledger.of_flow(flow.id))\n",
        "",
    ),
    Mutation(
        "close only by the current token",
        CORE + "calls/sidecar.py",
        "    if message.token != flow.token:\n        # The close",
        "    if False:\n        # The close",
    ),
    Mutation(
        "token accepted only from a home that replaced the current one",
        CORE + "calls/call.py",
        "return token is not None and token.incarnation in message.replaces",
        "return True",
    ),
    Mutation(
        "second home closed",
        CORE + "calls/call.py",
        "self.send(messages.Close(self.flow, self.service, message.token))\n\n    def is",
        "pass\n\n    def is",
    ),
    Mutation(
        "answers of two runs not mixed",
        CORE + "calls/call.py",
        "        if pending.answer_id != message.answer:\n",
        "        if not pending.answer_id:\n",
    ),
    Mutation(
        "feed delivered in order",
        CORE + "calls/call.py",
        "subscription.early_events.pop(subscription.position + 1, None)",
        "subscription.early_events.pop(message.position, None)",
    ),
    Mutation(
        "feed delivered once",
        CORE + "calls/call.py",
        "            subscription.position += 1\n",
        "",
    ),
    Mutation(
        "unknown flow confirmed before reopening",
        CORE + "calls/progress.py",
        "UNKNOWN_FLOW_LIMIT = 3",
        "UNKNOWN_FLOW_LIMIT = 1",
    ),
    Mutation(
        "unknown flow counted once per resend",
        CORE + "calls/progress.py",
        "if now >= self.next_at:",
        "if now >= 0:",
    ),
    Mutation(
        "no second run elsewhere of a request that may have run",
        CORE + "calls/call.py",
        "            if pending.sent and (pending.cancelled or not pending.idempotent):\n",
        "            if False:\n",
    ),
    Mutation(
        "no reopening while a request may have run",
        CORE + "calls/call.py",
        "return any(p.sent and not p.idempotent for p in self.pending.values())",
        "return False",
    ),
    Mutation(
        "unresponsive home left",
        CORE + "calls/call.py",
        "HOME_TIMEOUT_MS = 6_000",
        "HOME_TIMEOUT_MS = 6_000_000",
    ),
    Mutation(
        "answer sent through another balancer",
        CORE + "calls/sidecar_state.py",
        "        if balancers and via not in balancers:\n",
        "        if False:\n",
    ),
    Mutation(
        "feed resent through another balancer",
        CORE + "calls/feeds.py",
        "            if feed.resends % 2 == 0:\n",
        "            if False:\n",
    ),
    Mutation(
        "answer kept until all of it was delivered",
        CORE + "calls/requests.py",
        "    if message.position == part_count(entry):\n",
        "    if True:\n",
    ),
    Mutation(
        "large answer delivered before the flow moves",
        CORE + "calls/handover.py",
        "    if sum(len(entry.body) for entry in records) > state.limits.max_transfer_bytes:\n",
        "    if False:\n",
    ),
    Mutation(
        "replay window",
        "src/ebonystile/peer/seal.py",
        "if behind >= REPLAY_WINDOW or self.seen >> behind & 1:",
        "if False:",
    ),
    Mutation(
        "check of the MAC",
        "src/ebonystile/peer/seal.py",
        "if not hmac.compare_digest(mac.digest(), data[1:SEALED_OFFSET]):",
        "if False:",
    ),
    Mutation(
        "last door: service of a new flow",
        CORE + "carrying/sidecar.py",
        "if message.service != sidecar.service_key:",
        "if False:",
    ),
    Mutation(
        "last door: route dropped",
        CORE + "carrying/sidecar.py",
        "if current_routes.version >= message.version > 0:",
        "if False:",
    ),
    Mutation(
        "a restarted sidecar's table is incomplete",
        CORE + "carrying/sidecar.py",
        "return now - self.started_at < self.route_table.routes.idle_timeout_ms",
        "return False",
    ),
    Mutation(
        "absent flows are probed once",
        CORE + "carrying/sidecar.py",
        "if received.flow in self.absent or not self.has_unseen_flows(now):",
        "if False:",
    ),
    Mutation(
        "an upstream that only the store can't hear keeps its flows",
        CORE + "carrying/sidecar.py",
        "if not record.delivered_at or self.upstream_sent_at >= record.delivered_at:",
        "if False:",
    ),
    Mutation(
        "silent upstream left out",
        CORE + "carrying/sidecar.py",
        "return now - self.last_trial_at < TRIAL_INTERVAL_MS",
        "return False",
    ),
    Mutation(
        "few upstreams probed while a sidecar is unresponsive",
        CORE + "carrying/probing.py",
        "unknown = unknown[: max(0, flow_search.MAX_BLIND_PROBES - len(search.probed))]",
        "pass",
    ),
    Mutation(
        "a seed that has just started confirms nothing",
        CORE + "carrying/announcing.py",
        "if source in self.seeds and listened_ms >= SEED_MIN_LISTENED_MS:",
        "if source in self.seeds:",
    ),
    Mutation(
        "flows not found are decided once the view is confirmed",
        CORE + "carrying/balancer.py",
        "            self.add_pending(last)\n",
        "            pass\n",
    ),
    Mutation(
        "unlisted sidecars named by seeds are asked",
        CORE + "carrying/balancer.py",
        "announcing.record_unlisted(balancer.fleet, address, now + announcing.ASKER_TTL_MS)",
        "pass",
    ),
    Mutation(
        "unlisted sidecars have a shorter timeout",
        CORE + "carrying/balancer_state.py",
        "return min(search.deadline, search.asked_at + flow_search.UNLISTED_TIMEOUT_MS)",
        "return search.deadline",
    ),
    Mutation(
        "an empty list resets no flow",
        CORE + "carrying/balancer.py",
        "if not search.has_next_round and (received.opens or self.is_view_confirmed(now)):",
        "if not search.has_next_round:",
    ),
    Mutation(
        "a search without upstreams has no later round",
        CORE + "carrying/flow_search.py",
        "self.make_later_rounds = make if upstream_count else None",
        "self.make_later_rounds = make",
    ),
    Mutation(
        "a search that has ended leaves the batch",
        CORE + "carrying/balancer_state.py",
        "self.ask_batch.discard(search)",
        "pass",
    ),
    Mutation(
        "a packet that waits for the view goes to a known home",
        CORE + "carrying/balancer.py",
        "if flow in self.searches or flow in self.homes:\n"
        "                todo.extend(self.on_caller(received, now))",
        "if flow in self.searches or flow in self.homes:\n                pass",
    ),
    Mutation(
        "sidecars whose entries are kept for a grace period are named",
        CORE + "carrying/announcing.py",
        "(*current_fleet.lapsed(), *current_fleet.unlisted())",
        "current_fleet.unlisted()",
    ),
    Mutation(
        "a search from before the present view resets no flow",
        CORE + "carrying/finding.py",
        "if search.started_at <= state.view_current_since:",
        "if False:",
    ),
    Mutation(
        "own placements count towards the load",
        CORE + "carrying/balancer_state.py",
        "self.placements.append((now, upstream.address))",
        "pass",
    ),
    Mutation(
        "new flows are deferred while upstreams are overloaded",
        CORE + "carrying/placing.py",
        "return load.saturated and load.running",
        "return False and load.running",
    ),
    Mutation(
        "the newest of two entries at one address counts",
        CORE + "carrying/fleet.py",
        "return (upstream.started_at, upstream.created_position, upstream.name)",
        "return (upstream.started_at, upstream.name)",
    ),
    Mutation(
        "no reset before the view is confirmed",
        CORE + "carrying/balancer_state.py",
        "return self.confirmation.confirmed or now - self.view_current_since >= MIN_VIEW_AGE_MS",
        "return True",
    ),
    Mutation(
        "no reset by a balancer behind the sidecars' revision",
        CORE + "carrying/finding.py",
        "if search.revision > state.revision:",
        "if False:",
    ),
    Mutation(
        "number of searches for open flows limited",
        CORE + "carrying/balancer.py",
        "elif self.open_flow_searches < MAX_OPEN_FLOW_SEARCHES:",
        "elif True:",
    ),
    Mutation(
        "later rounds of open flows batched",
        CORE + "carrying/balancer.py",
        "if search.has_next_round and search.is_opening:\n"
        "            return self.ask_next_round(search, now)",
        "if search.has_next_round:\n            return self.ask_next_round(search, now)",
    ),
    Mutation(
        "former services of a route searched",
        CORE + "carrying/routes.py",
        "        names.update(\n            dict.fromkeys(sorted(self.former_services.get("
        "packet.route_endpoint(flow), ())))\n        )\n",
        "        pass\n",
    ),
    Mutation(
        "version of routes never decreases",
        CORE + "carrying/routes.py",
        "if newer.version <= self.routes.version:",
        "if newer.version == self.routes.version:",
    ),
    Mutation(
        "upstreams kept after an outage of the store",
        CORE + "carrying/fleet.py",
        "if keep_until > now:",
        "if False:",
    ),
    Mutation(
        "offer told by the caller's position",
        CORE + "carrying/table.py",
        "if acknowledged and not continues_offer(record.offered_position, acknowledged):",
        "if False:",
    ),
    Mutation(
        "packets sent again are no new work",
        CORE + "carrying/table.py",
        "        if (\n            record.request_end is None\n            or 0 < (end - "
        "record.request_end) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2\n        ):\n",
        "        if True:\n",
    ),
    Mutation(
        "watch from the first page on",
        CORE + "carrying/reading.py",
        "if self.revision is None or revision < self.revision:",
        "if True:",
    ),
    Mutation(
        "rank decides among equally loaded upstreams",
        CORE + "carrying/placing.py",
        "COST_TOLERANCE = 0.05",
        "COST_TOLERANCE = -1.0",
    ),
    Mutation(
        "small differences of the predicted finish are ignored",
        CORE + "carrying/placing.py",
        "and s.finish_ms <= fastest.finish_ms + fastest.noise_ms",
        "and s.finish_ms <= fastest.finish_ms",
    ),
    Mutation(
        "an unknown service time counts as the median",
        CORE + "carrying/predicting.py",
        "return wait_ms + (load.latency or latency_ms)",
        "return wait_ms + load.latency",
    ),
    Mutation(
        "a failing upstream counts as slow",
        CORE + "carrying/placing.py",
        "        s.finish_ms /= relative_success_rate(s.load, best_success_rate) ** 2\n",
        "",
    ),
    Mutation(
        "the wait for a slot is no service time",
        CORE + "carrying/service_times.py",
        "            del self.waiting[flow]\n            self.running[flow] = now",
        "            self.running[flow] = self.waiting.pop(flow)",
    ),
    Mutation(
        "a request that runs for too long counts",
        CORE + "carrying/service_times.py",
        "return 1 + RUNNING_WEIGHT * max(0.0, ratio - 1)",
        "return 1.0",
    ),
    Mutation(
        "an upstream without recent requests is tried again",
        CORE + "carrying/service_times.py",
        "if work is None or now - work.sampled_at >= STALE_MS:",
        "if work is None:",
    ),
    Mutation(
        "a short request is no error",
        CORE + "carrying/table.py",
        "route is None or self.service_times.is_far_too_fast(route, now - slot_since)",
        "True",
    ),
    Mutation(
        "only routes with an objective get the service time",
        CORE + "carrying/sidecar.py",
        "if self.route_table.routes.traits_of(flow).objective_ms:",
        "if True:",
    ),
    Mutation(
        "crossing to another zone has a cost",
        CORE + "carrying/placing.py",
        "s.finish_ms += crossing_ms * (s.upstream.zone != zone)",
        "pass",
    ),
    Mutation(
        "a zone past the objective does not keep its flows",
        CORE + "carrying/zones.py",
        "if own_finish_ms is None or own_finish_ms > requests.objective_ms:",
        "if own_finish_ms is None:",
    ),
    Mutation(
        "bulk stays in its zone for longer",
        CORE + "carrying/zones.py",
        "BULK_CROSSING_SHARE if requests.kind in BULK_KINDS else CROSSING_SHARE",
        "CROSSING_SHARE",
    ),
    Mutation(
        "other zones are asked early only while the own is often too busy",
        CORE + "carrying/zones.py",
        "return self.busy_shares.get(service, 0.0) >= MIN_BUSY_SHARE",
        "return True",
    ),
    Mutation(
        "unlisted upstreams asked before a reset",
        CORE + "carrying/finding.py",
        "return [u for u in unlisted if now - since.get(u.address, now) < GONE_TIMEOUT_MS]",
        "return []",
    ),
    Mutation(
        "finding a flow clears its earlier failed search",
        CORE + "carrying/balancer_state.py",
        "        self.not_found_since.pop(flow, None)\n",
        "",
    ),
    Mutation(
        "an upstream through with its start is no new one",
        CORE + "carrying/sidecar.py",
        "if now >= listed.slow_start_until:",
        "if False:",
    ),
    Mutation(
        "an upstream that answers a probe is not gone",
        CORE + "carrying/sidecar.py",
        "        self.probed_since = None\n        self.upstream_sent_at = now\n",
        "        self.upstream_sent_at = now\n",
    ),
    Mutation(
        "witnesses agree",
        CORE + "carrying/announcing.py",
        ">= WITNESS_QUORUM:",
        ">= 1:",
    ),
    Mutation(
        "a growing list confirms nothing",
        CORE + "carrying/sidecar.py",
        "now - max(self.started_at, self.list_grown_at)",
        "now - self.started_at",
    ),
    Mutation(
        "few upstreams probed before the view is confirmed",
        CORE + "carrying/probing.py",
        "elif not state.is_view_confirmed(now):",
        "elif False:",
    ),
    Mutation(
        "probes share messages",
        CORE + "carrying/probing.py",
        "        len(unknown) > flow_search.FIRST_ROUND_SIZE\n"
        "        or state.open_flow_searches >= asking.MAX_SINGLE_SEARCHES\n",
        "        False\n",
    ),
    Mutation(
        "a late answer ends no batched search",
        CORE + "carrying/asking.py",
        "    if search.flow not in state.ask_batch.waiting:\n",
        "    if state.ask_batch.waiting.pop(search.flow, None):\n"
        "        return state.end_search(search)\n"
        "    if search.flow not in state.ask_batch.waiting:\n",
    ),
    Mutation(
        "unresponsive unlisted sidecars are skipped",
        CORE + "carrying/finding.py",
        " if now - since.get(u.address, now) < GONE_TIMEOUT_MS]",
        "]",
    ),
    Mutation(
        "an old state is followed by a watch at once",
        CORE + "carrying/reading.py",
        "self.provisional = not current or self.allow_stale",
        "self.provisional = not current",
    ),
    Mutation(
        "only a start reads an old state",
        CORE + "carrying/reading.py",
        "        self.allow_stale = False\n",
        "",
    ),
    Mutation(
        "an uncertain search is repeated",
        CORE + "carrying/balancer.py",
        "and search.attempt < finding.MAX_ATTEMPTS:",
        "and search.attempt < 2 and not_found:",
    ),
    Mutation(
        "relays grow with their zone",
        CORE + "carrying/sourcing.py",
        "return max(MIN_WATCHERS, math.ceil(sidecars / SIDECARS_PER_WATCHER))",
        "return MIN_WATCHERS",
    ),
    Mutation(
        "balancers query no sidecar in a drained zone",
        CORE + "carrying/fleet.py",
        "if not u.leaving and u.zone not in drained]",
        "if not u.leaving]",
    ),
    Mutation(
        "a sidecar in a drained zone refuses new flows",
        CORE + "carrying/sidecar.py",
        "if self.zone in self.fleet.drained:",
        "if False:",
    ),
    Mutation(
        "an older list takes nothing back",
        "src/ebonystile/carrier/contents.py",
        "if key in self.listed_keys or self.positions_by_key.get(key, 0) > self.list_position:",
        "if key in self.listed_keys:",
    ),
    Mutation(
        "the end of a drain is seen in the next list",
        "src/ebonystile/carrier/feed.py",
        "            self.contents.end_unlisted_drains(now)\n",
        "",
    ),
    Mutation(
        "a cold upstream gets what it bears",
        CORE + "carrying/sidecar.py",
        "    if not sidecar.has_capacity(now):\n        return messages.Reason.COLD\n",
        "",
    ),
    Mutation(
        "the span of a second slides",
        CORE + "carrying/warming.py",
        "now - self.opened[0] > WINDOW_MS:",
        "now // WINDOW_MS != self.opened[0] // WINDOW_MS:",
    ),
    Mutation(
        "an upstream that lost a flow is cold",
        CORE + "carrying/sidecar.py",
        "            self.slow_start.record_restart(now)\n            age =",
        "            age =",
    ),
    Mutation(
        "an upstream without an entry is cold",
        CORE + "carrying/warming.py",
        "if slow_start_until is None or now < slow_start_until:",
        "if slow_start_until is not None and now < slow_start_until:",
    ),
    Mutation(
        "a full upstream is chosen last",
        CORE + "carrying/placing.py",
        "return (self.load.unresponsive, self.load.full)",
        "return (self.load.unresponsive, False)",
    ),
    Mutation(
        "flows of a route stay in its regions",
        CORE + "carrying/fleet.py",
        "return not regions or self.regions.get(zone) in regions",
        "return True",
    ),
    Mutation(
        "a sidecar outside the route's regions refuses",
        CORE + "carrying/sidecar.py",
        "if not sidecar.fleet.is_in_regions(sidecar.zone, route.regions):",
        "if False:",
    ),
    Mutation(
        "probes stay in the route's regions",
        CORE + "carrying/probing.py",
        "    unknown = [u for u in unknown if state.fleet.is_in_regions(u.zone, regions)]\n",
        "",
    ),
    Mutation(
        "a restored store is read again",
        CORE + "carrying/reading.py",
        "if before is None or epoch == before:",
        "if True:",
    ),
    Mutation(
        "an answer from before a restoration is refused",
        "src/ebonystile/carrier/feed.py",
        "if self.reader.is_earlier_epoch(epoch):",
        "if False:",
    ),
    Mutation(
        "a drain lost in a restoration is kept for a while",
        "src/ebonystile/carrier/contents.py",
        "keep_until = restored_at + fleet.RELIST_GRACE_MS if restored_at else 0",
        "keep_until = 0",
    ),
    Mutation(
        "a leaving upstream stays so over a restoration",
        "src/ebonystile/carrier/contents.py",
        "if is_new_epoch and before is not None and before.leaving:",
        "if False:",
    ),
    Mutation(
        "a stale read sets no revision",
        "src/ebonystile/carrier/contents.py",
        "        if not is_stale:\n            self.positions",
        "        if True:\n            self.positions",
    ),
    Mutation(
        "a relay confirms no revision that it lacks",
        "src/ebonystile/carrier/relay.py",
        "        if revision > self.revision:\n",
        "        if False:\n",
    ),
    Mutation(
        "a view that was not confirmed for too long expires",
        CORE + "carrying/reading.py",
        "return self.fresh_until is not None and now >= self.fresh_until",
        "return False",
    ),
    Mutation(
        "an answer confirms no later time than its call",
        "src/ebonystile/platform/store.py",
        "return min(now, call.made_at + int(text))",
        "return now",
    ),
    Mutation(
        "changes confirm only the time at which their watch was made",
        "src/ebonystile/platform/store.py",
        "        confirmed_at = call.made_at\n",
        "        pass\n",
    ),
    Mutation(
        "a relay that is behind is not asked again",
        "src/ebonystile/carrier/feed.py",
        "            self.sources.on_failed(self.source, now)\n        self.reread",
        "            pass\n        self.reread",
    ),
    Mutation(
        "a version that the store does not have is not looked for again",
        "src/ebonystile/carrier/feed.py",
        "return max(self.route_table.routes.version, self.refuted_version)",
        "return self.route_table.routes.version",
    ),
    Mutation(
        "a source is checked before a watch of it waits",
        CORE + "carrying/reading.py",
        "if self.provisional or not self.source_answers or latest <= now:",
        "if self.provisional or latest <= now:",
    ),
    Mutation(
        "a relay is direct only once the store has answered",
        "src/ebonystile/carrier/feed.py",
        "self.source is sourcing.STORE and self.reader.source_answers",
        "self.source is sourcing.STORE",
    ),
    Mutation(
        "a flow that waits follows the configuration",
        CORE + "carrying/balancer.py",
        "            todo.extend(self.restart_opening(search, now))\n",
        "",
    ),
    Mutation(
        "an expired view is read from the store",
        CORE + "carrying/sourcing.py",
        "if self.is_watcher or expired:",
        "if self.is_watcher:",
    ),
    Mutation(
        "a relay confirms its readers' views whenever its own is confirmed",
        "src/ebonystile/carrier/relay.py",
        "        if answer is None and revision <= self.revision:\n",
        "        if False:\n",
    ),
    Mutation(
        "upstreams that a restored store lacks are kept for a while",
        CORE + "carrying/reading.py",
        "self.recovered_at = self.restored_at = now",
        "self.restored_at = now",
    ),
    Mutation(
        "a narrow link is sent no more than its rate",
        CORE + "carrying/pacing.py",
        "self.credit < size and self.credit < self.burst",
        "False",
    ),
    Mutation(
        "a datagram larger than the burst is sent in the end",
        CORE + "carrying/pacing.py",
        "self.credit < size and self.credit < self.burst",
        "self.credit < size",
    ),
    Mutation(
        "messages and opening packets go before data",
        CORE + "carrying/scheduling.py",
        "        rank = rank_of(added.traits, is_bulk=is_bulk) if has_data else FIRST_RANK\n"
        "            self.level(rank)",
        "        rank = rank_of(added.traits, is_bulk=is_bulk)\n            self.level(rank)",
    ),
    Mutation(
        "urgent routes go before others",
        CORE + "carrying/scheduling.py",
        "FIRST_RANK + 1 + 2 * traits.priority + is_bulk",
        "FIRST_RANK + 1 + is_bulk",
    ),
    Mutation(
        "a transfer without traits is bulk",
        CORE + "carrying/transfers.py",
        "return self.full_packets >= BULK_PACKETS",
        "return False",
    ),
    Mutation(
        "a flow is not bulk after a pause",
        CORE + "carrying/transfers.py",
        "is_paused = transfer is None or now - transfer.last_at >= PAUSE_MS",
        "is_paused = transfer is None",
    ),
    Mutation(
        "lower levels are not starved by higher ones",
        CORE + "carrying/scheduling.py",
        "return longest if self.share_credit >= size else first",
        "return first",
    ),
    Mutation(
        "lower levels are not starved by messages that pass at once",
        CORE + "carrying/scheduling.py",
        "FIRST_RANK not in self.levels and self.share_credit < MAX_SHARE_CREDIT",
        "FIRST_RANK not in self.levels",
    ),
    Mutation(
        "callers take turns at a level",
        CORE + "carrying/fair_queue.py",
        "            turn.deficit += self.quantum\n            self.turns.rotate(-1)\n",
        "            turn.deficit += self.quantum\n",
    ),
    Mutation(
        "a caller's transfers finish one after the other",
        CORE + "carrying/fair_queue.py",
        "(flow.start if self.is_bulk else number, number, flow)",
        "(number, number, flow)",
    ),
    Mutation(
        "copies of waiting packets are dropped",
        CORE + "carrying/scheduling.py",
        "        if waiting is None:\n            return False\n",
        "        return False\n",
    ),
    Mutation(
        "a waiting packet goes to the flow's present home",
        CORE + "carrying/scheduling.py",
        "            waiting.address = added.address\n",
        "",
    ),
    Mutation(
        "what waits for a link is bounded",
        CORE + "carrying/scheduling.py",
        "while self.waiting_bytes > MAX_WAITING_BYTES:",
        "while False:",
    ),
    Mutation(
        "the queue's bound is kept at the expense of bulk flows",
        CORE + "carrying/scheduling.py",
        "max(bulk or self.flows.values(), key",
        "max(self.flows.values(), key",
    ),
    Mutation(
        "packets that callers have given up are not sent",
        CORE + "carrying/scheduling.py",
        "if head.deadline <= now:",
        "if False:",
    ),
    Mutation(
        "expired packets of levels that are not served are dropped",
        CORE + "carrying/scheduling.py",
        "            self.drop_expired(now)\n",
        "",
    ),
    Mutation(
        "the data of an aborted flow is not sent",
        CORE + "carrying/scheduling.py",
        "        if added.aborts:\n            self.drop_flow(added.flow)\n",
        "",
    ),
    Mutation(
        "a closing packet does not overtake its flow's data",
        CORE + "carrying/scheduling.py",
        "return added.closes and (added.flow, True) in self.flows",
        "return False",
    ),
    Mutation(
        "the link's timer does not run for every datagram",
        CORE + "carrying/scheduling.py",
        "return max(now + MIN_WAKE_MS, self.pacer.ready_at(head.size))",
        "return max(now, self.pacer.ready_at(head.size))",
    ),
    Mutation(
        "late answers lower the rate in force",
        CORE + "carrying/link_rate.py",
        "if evidence.lateness_ms >= QUEUEING_MS:",
        "if False:",
    ),
    Mutation(
        "lost queries lower the rate in force",
        CORE + "carrying/link_rate.py",
        "return evidence.unanswered >= MAX_UNANSWERED and evidence.lateness_ms > NORMAL_MS",
        "return False",
    ),
    Mutation(
        "sidecars that are gone do not lower the rate in force",
        CORE + "carrying/link_rate.py",
        "evidence.unanswered >= MAX_UNANSWERED and evidence.lateness_ms > NORMAL_MS",
        "evidence.unanswered >= MAX_UNANSWERED",
    ),
    Mutation(
        "a slow sidecar does not lower the rate in force",
        CORE + "carrying/round_trips.py",
        "return sorted(values)[(len(values) - 1) // 2]",
        "return max(values)",
    ),
    Mutation(
        "slow answers at low use do not lower the rate in force",
        CORE + "carrying/link_rate.py",
        "if shows_queueing(evidence) and is_used:",
        "if shows_queueing(evidence):",
    ),
    Mutation(
        "lost queries lower the rate in force at low use",
        CORE + "carrying/link_rate.py",
        "is_used = shows_loss(evidence) or self",
        "is_used = self",
    ),
    Mutation(
        "queries to sidecars that are gone do not count as lost",
        CORE + "carrying/round_trips.py",
        "mean([share for share in unanswered if share < 1])",
        "mean(unanswered)",
    ),
    Mutation(
        "the rate in force recovers",
        CORE + "carrying/link_rate.py",
        "if is_unmeasured or shows_free_link(evidence):",
        "if is_unmeasured:",
    ),
    Mutation(
        "the rate in force recovers without queries",
        CORE + "carrying/link_rate.py",
        "if is_unmeasured or shows_free_link(evidence):",
        "if shows_free_link(evidence):",
    ),
    Mutation(
        "round trips over a stall do not count",
        CORE + "carrying/round_trips.py",
        "        for query in self.outstanding.values():\n            query.is_ambiguous = True\n",
        "        pass\n",
    ),
    Mutation(
        "a stall of the balancer is noticed",
        "src/ebonystile/carrier/link.py",
        "if is_behind or self.event_loop.overdue_ms() >= STALL_MS:",
        "if False:",
    ),
    Mutation(
        "a timer that an earlier one has replaced does nothing",
        "src/ebonystile/carrier/link.py",
        "if due != self.timer_at:",
        "if False:",
    ),
    Mutation(
        "resets to callers pass the scheduler of the link",
        "src/ebonystile/carrier/link.py",
        "aborts=True, is_to_caller=True",
        "is_to_caller=False",
    ),
    Mutation(
        "a refusal resets only a flow of which all copies arrived here",
        CORE + "carrying/admission.py",
        "return not self.was_forwarded and sent <= self.copies",
        "return not self.was_forwarded",
    ),
    Mutation(
        "a refusal resets no flow that was forwarded",
        CORE + "carrying/admission.py",
        "return not self.was_forwarded and sent <= self.copies",
        "return sent <= self.copies",
    ),
    Mutation(
        "a refusal allows for the way of the reset",
        CORE + "carrying/admission.py",
        "arrival = now + COPY_MARGIN_MS",
        "arrival = now",
    ),
    Mutation(
        "packets of a pause are not reset",
        CORE + "carrying/balancer_state.py",
        "return now - self.ticked_at <= MAX_TICK_GAP_MS and now - self.resumed_at >= RESUME_MS",
        "return True",
    ),
    Mutation(
        "a flow that may be open is queried for before it is placed",
        CORE + "carrying/admitting.py",
        "    if needs_status(state, search, chosen.upstream, now):\n",
        "    if False:\n",
    ),
    Mutation(
        "a flow past its time limit is refused at once",
        CORE + "carrying/admission.py",
        "    if is_past_limit(request, room, now):\n",
        "    if False:\n",
    ),
    Mutation(
        "a flow is refused at once if those before it take all the room",
        CORE + "carrying/admission.py",
        "is_crowded = is_unopened and room.queue_ms > QUEUE_SHARE * (until - now)",
        "is_crowded = False",
    ),
    Mutation(
        "an upload is refused over a narrowed link only",
        CORE + "carrying/admission.py",
        "if room.link is None or not room.link.is_narrowed:",
        "if room.link is None:",
    ),
    Mutation(
        "the highest priority is admitted first",
        CORE + "carrying/waiting.py",
        "keys[entry.flow] = (entry.priority, turn, entry.opened_at)",
        "keys[entry.flow] = (turn, entry.opened_at)",
    ),
    Mutation(
        "callers take turns",
        CORE + "carrying/waiting.py",
        "turns[entry.caller] = turn + 1",
        "turns[entry.caller] = turn",
    ),
    Mutation(
        "one flow of a queue queries for all",
        CORE + "carrying/admitting.py",
        "        queue.ask_at = now + opening.DEFER_STEP_MS\n",
        "        queue.ask_at = now + 1\n",
    ),
    Mutation(
        "one answer admits no more flows than the queues hold",
        CORE + "carrying/admitting.py",
        "return placed < (slots if load.saturated else",
        "return 0 < (slots if load.saturated else",
    ),
    Mutation(
        "an unresponsive upstream gets one waiting flow as a trial",
        CORE + "carrying/waiting.py",
        "return at is not None and now - at <= TRIAL_MEMORY_MS",
        "return False",
    ),
    Mutation(
        "the rate of admissions is known only after flows have waited",
        CORE + "carrying/waiting.py",
        "if measured_ms < MEASURED_MS or now - self.waited_at > MEASURED_MS:",
        "if not measured_ms:",
    ),
    Mutation(
        "a disconnected balancer refuses new flows early",
        CORE + "carrying/admitting.py",
        "    return min(until, refusal_at)\n",
        "    return until\n",
    ),
    Mutation(
        "a refusal that is not safe sends no reset",
        CORE + "carrying/admitting.py",
        "reset = is_unopened(state, search, now)",
        "reset = True",
    ),
)
"""Every safeguard that has a proof; docs/PROMISES.md tells which promise each serves."""
