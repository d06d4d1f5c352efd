"""Inject every fault at every step of a scenario of carried flows, and check invariants.

A case is a step, a fault and a seed. It runs the same `Scenario` on the cores, connected by
`world`, and the fault is injected when the step happens for the n-th time (n from the seed). Times
are in ms.
"""

import dataclasses
import random
import typing

from ebonystile.core.carrying import balancer, routes
from ebonystile.platform import packets
from tests.carrying import faults, world

PHOTOS_ROUTE = ("198.18.0.2", 443)
ACTIVE_MS = 4_000
RECOVERY_MS = 6_000
"""Time after the last fault, longer than a caller's timeout for a lost flow with retransmissions.
"""

CALLERS = 18
REQUEST_INTERVAL_MS = 180
"""Interval at which a caller checks for its answer and sends the next request."""

MAX_SEARCH_MS = 1_000
"""Longest time from a probe of an upstream to the end of the search."""

MOVED_MS = 2_000
MOVED_UPSTREAMS = 3
"""A flow counts as moved if this many upstreams other than its home got its packets within
`MOVED_MS`, and its home got none."""

PACKET_STEPS = ("first packet", "packet of an open flow", "Open", "Carry", "accepted", "answered")
QUESTION_STEPS = (
    "Ask",
    "Answer",
    "AskMany",
    "AnswerMany",
    "Probe",
    "Return",
    "AskUnlisted",
    "AnswerUnlisted",
)
MESSAGE_STEPS = (*PACKET_STEPS, *QUESTION_STEPS)
"""Steps that are messages, by `World.delays`."""

MOMENTS = (
    "entry changed",
    "configuration spread",
    "fabric moves flows",
    "sidecar restarted",
    "zone drained",
    "zone taken back",
)
"""Steps that are no messages."""

STEPS = (*MESSAGE_STEPS, *MOMENTS)
FREQUENT = frozenset({"packet of an open flow", "Carry", "answered"})
RARE = frozenset({*QUESTION_STEPS, *MOMENTS} - {"Ask", "Answer"})

TEST_SEEDS = 1
"""Seeds per cell in the tests; `scripts/fault-matrix` runs more."""


@dataclasses.dataclass(frozen=True)
class Case:
    """A fault to be injected at a step, and the seed of the scenario's randomness."""

    step: str
    fault: str
    seed: int


class Scenario(world.World):
    """Callers keep sending requests while upstreams change and one fault is injected."""

    def __init__(self, case: Case):
        super().__init__(zones=("a", "b", "c"), upstreams=6, balancers=3)
        self.case = case
        self.rng = random.Random(repr(case))
        skips = (0, 3, 9, 20, 40) if case.step in FREQUENT else (0, 0, 1, 2)
        self.skip = 0 if case.step in RARE else self.rng.choice(skips)
        self.injected = False
        self.faults_ended = False
        self.lossy_link = (None, None)
        self.lossy_until = 0
        self.violations: list[str] = []
        self.ports = iter(range(42_000, 60_000))
        self.active_callers: list[world.ends.Caller] = []
        self.homes: dict[bytes, tuple[world.Node, typing.Any]] = {}
        self.misrouted: dict[bytes, list[tuple[int, str]]] = {}
        self.home_reached_at: dict[bytes, int] = {}
        self.ran_at: dict[bytes, str] = {}
        self.request_count = 0
        self.without_store: set[tuple[str, int]] = set()
        self.withheld_entries: dict[tuple[str, int], typing.Any] = {}
        self.entry_lost_at: dict[tuple[str, int], int] = {}
        self.mute_until: dict[str, int] = {}
        self.sidecars[4].upstream.room = 1  # Further opening packets come back.
        for zone in ("a", "b"):
            self.add_upstream(zone, "photos")
        self.allowed = {world.ROUTE: {"s"}, PHOTOS_ROUTE: {"photos"}}
        self.configure(2, {world.ROUTE: "s", PHOTOS_ROUTE: "photos"})
        self.publish_entries()

    # The scenario

    def play(self) -> list[str]:
        """Run the scenario and return the violations found."""
        for number in range(CALLERS):
            self.schedule(60 * number, self.open_flow, number)
        leaver = self.sidecars[1]
        plan = [
            (800, self.mark_leaving, leaver),
            (1_200, self.move_flows),
            (1_500, self.change_routes),
            (1_900, self.replace_instance, leaver),
            (2_200, self.restart_one),
            (2_500, self.move_flows),
            (2_700, self.restart_all),
            (3_050, self.change_drained, "zone drained", {"c"}),
            (3_800, self.change_drained, "zone taken back", set()),
        ]
        for delay, *action in plan:
            self.schedule(delay, *action)
        self.run(ACTIVE_MS)
        self.end_faults()
        self.run(RECOVERY_MS)
        self.check_all_served()
        self.check_no_state_left()
        return self.violations

    def open_flow(self, number: int) -> None:
        """Open a flow of a caller; every fifth caller uses the photos route."""
        route = PHOTOS_ROUTE if number % 5 == 4 else world.ROUTE
        zone = "abc"[number % 3]
        flow = world.packet.endpoint_of("100.64.0.7", next(self.ports)) + world.packet.endpoint_of(
            *route
        )
        caller = world.ends.Caller(flow, self.now)
        caller.through = self.balancer_for(zone, number)
        caller.number = number
        self.callers[flow] = caller
        self.active_callers.append(caller)
        self.send_next_request(caller)

    def balancer_for(self, zone: str, number: int) -> world.Node:
        """Return the balancer that the fabric selects: a running one, preferably of this zone."""
        living = [b for b in self.balancers if b.alive] or self.balancers
        return next((b for b in living if b.zone == zone), living[number % len(living)])

    def send_next_request(self, caller) -> None:
        """Send the next request once the last one is answered; replace a flow that has ended."""
        if caller.over:
            self.active_callers.remove(caller)
            self.schedule(100, self.open_flow, caller.number)
            return
        if caller.waiting is None:
            self.request_count += 1
            caller.asked_at = self.now
            self.ask(caller, b"q%d" % self.request_count)
        self.schedule(REQUEST_INTERVAL_MS, self.send_next_request, caller)

    def on_step(self, step: str, node: world.Node) -> None:
        """Inject the fault if this step is the case's step and it is due."""
        if step == self.case.step and self.is_due():
            self.inject(node)

    def distribute_entries(self, node: world.Node) -> None:
        """Deliver the entries to every process after a random delay, as watchers and relays do."""
        self.on_step("entry changed", node)
        for other in self.all_nodes():
            self.schedule(self.rng.randrange(1, 400), self.update_view, other)

    def update_view(self, node: world.Node) -> None:
        """Update a process's view to the current entries, unless it is cut off from the store."""
        if node.alive and node.address not in self.without_store and self.now >= node.frozen_until:
            self.publish_entries([node])

    def mark_leaving(self, node: world.Node) -> None:
        """Mark an upstream as leaving in its entry."""
        if node.address in self.entries:
            self.change_entry(node, leaving=True)
            self.distribute_entries(node)

    def replace_instance(self, node: world.Node) -> None:
        """End an instance with its upstream, and start another one at a new address."""
        self.end_instance(node)
        self.add_upstream(node.zone, "s", slow_start_until=self.now + 500)
        added = self.sidecars[-1]
        added.core.route_table.replace(self.sidecars[0].core.route_table.routes)
        self.distribute_entries(added)

    def end_instance(self, node: world.Node) -> None:
        """End an instance for good and remove its entry."""
        node.alive = False
        node.upstream.alive = False
        node.gone = True
        self.entries.pop(node.address, None)
        self.withheld_entries.pop(node.address, None)

    def change_routes(self) -> None:
        """Route new flows of the photos route to the other service, process by process."""
        self.allowed[PHOTOS_ROUTE].add("s")
        self.on_step("configuration spread", self.sidecars[0])
        made = {world.ROUTE: "s", PHOTOS_ROUTE: "s"}
        for node in self.all_nodes():
            if node.address not in self.without_store:
                self.schedule(self.rng.randrange(1, 400), self.configure, 3, made, [node])

    def configure(self, version: int, by_route, nodes=None) -> None:
        """Put routes in force in these processes, all by default."""
        self.newest = (version, by_route)
        self.set_routes(version, by_route, nodes)

    def move_flows(self) -> None:
        """Let the fabric send the packets of every flow to another balancer."""
        living = [b for b in self.balancers if b.alive] or self.balancers
        for caller in self.active_callers:
            place = living.index(caller.through) if caller.through in living else 0
            caller.through = living[(place + 1) % len(living)]
        self.on_step("fabric moves flows", living[0])

    def change_drained(self, step: str, zones: set[str]) -> None:
        """Drain exactly these zones; each process learns of it after a random delay."""
        self.drained = zones
        self.distribute_entries(self.sidecars[2])
        self.on_step(step, self.sidecars[2])

    def restart_one(self) -> None:
        """Restart a sidecar while its upstream keeps running, as an upgrade does."""
        node = self.sidecars[2]
        self.restart_process(node)
        self.on_step("sidecar restarted", node)

    def restart_all(self) -> None:
        """Restart every process, so that flows are found only by probing upstreams."""
        for node in self.all_nodes():
            self.restart_process(node)

    def restart_process(self, node: world.Node) -> None:
        """Restart a process, unless its instance has ended."""
        if node.gone:
            return
        if isinstance(node.core, balancer.Balancer):
            self.restart_balancer(node)
            node.core.set_view_current(False, self.now)
            node.core.set_view_current(node.address not in self.without_store, self.now)
        else:
            self.restart_sidecar(node)
            node.core.is_view_current = node.address not in self.without_store

    # Faults

    def delays(self, step: str, origin, target) -> list[int]:
        """Return the delays of a message's copies, changed by the fault if it is due."""
        usual = [world.DELAY_MS]
        if self.now < self.lossy_until and (origin, target) == self.lossy_link:
            return []
        if step != self.case.step or not self.is_due():
            return usual
        if self.case.fault in faults.MESSAGE_FAULTS:
            if self.case.fault == "loss for long":
                self.lossy_link, self.lossy_until = (origin, target), self.now + faults.OUTAGE_MS
            return faults.MESSAGE_FAULTS[self.case.fault]
        node = self.nodes.get(target) or self.nodes.get(origin) or self.sidecars[0]
        self.schedule(0, self.inject, node)
        return usual

    def is_due(self) -> bool:
        """Count an occurrence of the step; return whether the fault is to be injected now."""
        if self.injected or self.faults_ended:
            return False
        self.skip -= 1
        self.injected = self.skip < 0
        return self.injected

    def inject(self, node: world.Node) -> None:
        """Inject the case's process fault at a node."""
        faults.PROCESS_FAULTS[self.case.fault](self, node)

    def sidecar_near(self, node: world.Node) -> world.Node:
        """Return the node if it is a sidecar, else one of its zone."""
        if node in self.sidecars:
            return node
        living = [n for n in self.sidecars if n.alive]
        return next((n for n in living if n.zone == node.zone), self.sidecars[0])

    def balancer_near(self, node: world.Node) -> world.Node:
        """Return the node if it is a balancer, else one of its zone."""
        return node if node in self.balancers else self.balancer_for(node.zone, 0)

    def end_faults(self) -> None:
        """End all faults that are still in effect."""
        self.faults_ended = True
        self.cuts.clear()
        self.without_store.clear()
        self.mute_until = {name: min(at, self.now) for name, at in self.mute_until.items()}
        for address, entry in self.withheld_entries.items():
            self.entries[address] = entry
        self.withheld_entries.clear()
        for node in self.all_nodes():
            node.frozen_until = min(node.frozen_until, self.now)
            if not node.alive and not node.gone:
                self.restart_process(node)
        self.configure(*self.newest, [n for n in self.all_nodes() if n.alive])
        self.publish_entries([n for n in self.all_nodes() if n.alive])

    # Checks at upstreams and callers

    def deliver_to_node(self, origin, target, message):
        node = self.nodes[target]
        if node.alive and self.now < node.frozen_until:
            # A frozen process handles buffered messages when it resumes.
            self.schedule(
                node.frozen_until - self.now, self.deliver_to_node, origin, target, message
            )
            return
        super().deliver_to_node(origin, target, message)

    def deliver_to_upstream(self, node, raw):
        if self.now < self.mute_until.get(node.upstream.name, 0):
            return
        shown = packets.from_caller(raw)
        if shown.opens and shown.flow not in node.upstream.flows:
            self.check_opening(node, shown)
        before = len(node.upstream.ran)
        super().deliver_to_upstream(node, raw)
        for request in node.upstream.ran[before:]:
            self.check_runs_once(node, request)
        if not shown.opens:
            self.record_misrouted(node, shown.flow)

    def check_opening(self, node, shown) -> None:
        """Check that the upstream may get this new flow, as far as its sidecar can know."""
        route = node.core.route_table.routes.find(shown.flow)
        service = node.core.service
        _, endpoint = world.ends.ends(shown.flow)
        allowed = self.allowed[world.ROUTE if endpoint == MAIN_ENDPOINT else PHOTOS_ROUTE]
        if service not in allowed:
            self.violations.append(f"a flow for {sorted(allowed)} opened at {service}")
        elif node.core.route_table.routes.version == self.newest[0] and (
            route is None or service not in route.services
        ):
            self.violations.append(
                "a flow opened against the newest configuration, which was known"
            )
        own = node.core.listed_upstream
        if node.zone in node.core.fleet.drained:
            self.violations.append("a flow opened in a zone that its sidecar knows to be drained")
        if own is not None and own.leaving:
            self.violations.append(
                "a flow opened at an upstream that its sidecar knows to be leaving"
            )

    def check_runs_once(self, node, request: bytes) -> None:
        """Check that a request has run at no other upstream."""
        first = self.ran_at.setdefault(request, node.upstream.name)
        if first != node.upstream.name:
            self.violations.append(f"{request!r} ran at {first} and at {node.upstream.name}")

    def record_misrouted(self, node, flow) -> None:
        """Check that a flow's packets do not go to several upstreams without reaching its home."""
        home = self.homes.get(flow)
        if home is None or not self.holds(*home, flow):
            return
        if node is home[0]:
            self.home_reached_at[flow] = self.now
            return
        recent = [s for s in self.misrouted.get(flow, []) if self.now - s[0] < MOVED_MS]
        recent.append((self.now, node.upstream.name))
        self.misrouted[flow] = recent
        if len({name for _, name in recent}) >= MOVED_UPSTREAMS:
            self.schedule(world.DELAY_MS, self.check_moved, flow)

    def check_moved(self, flow) -> None:
        """Record a violation unless the flow's home got its packets as well."""
        others = {name for _, name in self.misrouted.get(flow, [])}
        if self.now - self.home_reached_at.get(flow, 0) >= MOVED_MS:
            self.violations.append(
                f"a flow's packets went to {len(others)} others, not to its home"
            )

    def holds(self, node, accepted, flow) -> bool:
        """Return whether the upstream still holds the flow that it accepted."""
        return node.upstream.alive and node.upstream.flows.get(flow) is accepted

    def deliver_to_caller(self, raw):
        got = packets.from_upstream(raw)
        caller = self.callers.get(got.flow)
        if caller is not None and got.accepts and not caller.open and not caller.over:
            self.record_home(got)
        if caller is not None and got.aborts and not caller.over:
            self.check_reset(caller)
        super().deliver_to_caller(raw)

    def record_home(self, got) -> None:
        """Record the upstream whose acceptance the caller takes as the flow's home."""
        for node in self.sidecars:
            accepted = node.upstream.flows.get(got.flow)
            if accepted is not None and accepted.position == got.sequence:
                self.homes[got.flow] = (node, accepted)

    def check_reset(self, caller) -> None:
        """Check that a flow is reset only if its home does not hold it.

        A flow is open once its upstream has received the end of the handshake. Two cases are
        allowed: a mute upstream whose sidecar has no flow table looks like one that has lost the
        flow, and a balancer that started after an upstream lost its entry does not know it.
        """
        node, accepted = self.homes.get(caller.flow, (None, None))
        if node is None or not accepted.opened:
            return
        if self.now < self.mute_until.get(node.upstream.name, 0) + MAX_SEARCH_MS:
            return
        if caller.through.core.view_current_since > self.entry_lost_at.get(node.address, self.now):
            return
        if self.holds(node, accepted, caller.flow):
            self.violations.append(f"reset although {node.upstream.name} holds the flow")

    # Checks at the end

    def check_all_served(self) -> None:
        """Check that after the end of all faults every caller is answered and new flows open."""
        for caller in self.active_callers:
            if caller.waiting is not None and self.now - caller.asked_at > RECOVERY_MS // 2:
                self.violations.append(f"healed, but flow {caller.number} stays silent")
        for place, node in enumerate(self.balancers):
            late = self.caller(61_000 + place, through=node)
            self.run(300)
            if not late.open:
                self.violations.append("healed, but a new flow does not open")

    def check_no_state_left(self) -> None:
        """Check that no state of flows is kept after their callers have gone."""
        for caller in self.callers.values():
            caller.over = True
        self.active_callers.clear()
        self.queue = [item for item in self.queue if item[2] != self.send_next_request]
        self.run(2 * routes.DEFAULT_IDLE_TIMEOUT_MS)
        for node in self.balancers:
            core = node.core
            if core.searches or core.queued or core.homes or core.open_flow_searches:
                self.violations.append("a balancer keeps something of flows that are over")
        for node in self.sidecars:
            if node.alive and (node.core.table.flows or node.core.pending_probes):
                self.violations.append("a sidecar keeps something of flows that are over")


MAIN_ENDPOINT = world.packet.endpoint_of(*world.ROUTE)

FAULTS = (*faults.MESSAGE_FAULTS, *faults.PROCESS_FAULTS)


def applies(step: str, fault: str) -> bool:
    """Return whether a fault fits a step; message faults fit only steps that are messages."""
    return fault in faults.PROCESS_FAULTS or step in MESSAGE_STEPS


def cases_of_step(step: str, count: int) -> list[Case]:
    """Return the cases of one step: every fault, `count` seeds each."""
    return [
        Case(step, fault, random.Random(repr((step, fault, n))).randrange(1 << 30))
        for fault in FAULTS
        if applies(step, fault)
        for n in range(count)
    ]


def play(case: Case) -> tuple[bool, list[str]]:
    """Run a case; return whether its fault was injected, and the violations found."""
    scenario = Scenario(case)
    violations = scenario.play()
    return scenario.injected, violations


def faults_of(cases: list[Case]) -> list[str]:
    """Run cases and return one line for each with violations; its seed reproduces them."""
    results = [(case, play(case)[1]) for case in cases]
    return [f"{case}: {violations}" for case, violations in results if violations]
