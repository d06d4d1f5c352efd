"""Put every fault at every step of a day of carried flows, and check what must always hold.

A case is a step, a fault and a seed. It plays the same `Day` on the cores, joined by `world`, and
the fault strikes when the step happens for the n-th time (n from the seed). Times in ms.
"""

import dataclasses
import random
import typing

from ebonystile.core.carrying import balancer, routes
from ebonystile.platform import packets
from tests.carrying import faults, world

PHOTOS_ROUTE = ("198.18.0.2", 443)
ACTIVE_MS = 4_000
HEALED_MS = 6_000
"""After the last fault: longer than any caller waits for a flow that is gone, copies included."""

CALLERS = 18
PAUSE_MS = 180
"""Between a caller's answer and its next request."""

SEARCH_MS = 1_000
"""Longest time from a probe of an upstream to the end of the search."""

MOVED_MS = 2_000
MOVED_UPSTREAMS = 3
"""A flow counts as moved when this many other upstreams got its packets within `MOVED_MS` and its
own got none."""

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
"""Steps of the day itself."""

STEPS = (*MESSAGE_STEPS, *MOMENTS)
FREQUENT = frozenset({"packet of an open flow", "Carry", "answered"})
RARE = frozenset({*QUESTION_STEPS, *MOMENTS} - {"Ask", "Answer"})

TEST_SEEDS = 1
"""Seeds of each cell in the tests; `scripts/fault-matrix` plays more."""


@dataclasses.dataclass(frozen=True)
class Case:
    """One case."""

    step: str
    fault: str
    seed: int


class Day(world.World):
    """Callers keep asking while upstreams leave, come and go, and a fault strikes."""

    def __init__(self, case: Case):
        super().__init__(zones=("a", "b", "c"), upstreams=6, balancers=3)
        self.case = case
        self.rng = random.Random(repr(case))
        skips = (0, 3, 9, 20, 40) if case.step in FREQUENT else (0, 0, 1, 2)
        self.skip = 0 if case.step in RARE else self.rng.choice(skips)
        self.struck = False
        self.healed = False
        self.lossy = (None, None)
        self.lossy_until = 0
        self.found: list[str] = []
        self.ports = iter(range(42_000, 60_000))
        self.living: list[world.ends.Caller] = []
        self.homes: dict[bytes, tuple[world.Node, typing.Any]] = {}
        self.strayed: dict[bytes, list[tuple[int, str]]] = {}
        self.reached_at: dict[bytes, int] = {}
        self.ran: dict[bytes, str] = {}
        self.asked = 0
        self.stale: set[tuple[str, int]] = set()
        self.withheld: dict[tuple[str, int], typing.Any] = {}
        self.lost_at: dict[tuple[str, int], int] = {}
        self.mute_until: dict[str, int] = {}
        self.sidecars[4].upstream.room = 1  # Further opening packets come back.
        for zone in ("a", "b"):
            self.add_upstream(zone, "photos")
        self.allowed = {world.ROUTE: {"s"}, PHOTOS_ROUTE: {"photos"}}
        self.configure(2, {world.ROUTE: "s", PHOTOS_ROUTE: "photos"})
        self.known()

    # The day

    def play(self) -> list[str]:
        """Play the day and return what was found."""
        for number in range(CALLERS):
            self.later(60 * number, self.begin, number)
        leaver = self.sidecars[1]
        plan = [
            (800, self.leave, leaver),
            (1_200, self.move_flows),
            (1_500, self.change_routes),
            (1_900, self.replace, leaver),
            (2_200, self.restart_one),
            (2_500, self.move_flows),
            (2_700, self.restart_all),
            (3_050, self.change_drained, "zone drained", {"c"}),
            (3_800, self.change_drained, "zone taken back", set()),
        ]
        for delay, *action in plan:
            self.later(delay, *action)
        self.run(ACTIVE_MS)
        self.heal()
        self.run(HEALED_MS)
        self.check_served()
        self.check_forgotten()
        return self.found

    def begin(self, number: int) -> None:
        """Open a flow of one caller; every fifth one sends photos."""
        route = PHOTOS_ROUTE if number % 5 == 4 else world.ROUTE
        zone = "abc"[number % 3]
        flow = world.packet.end_of("100.64.0.7", next(self.ports)) + world.packet.end_of(*route)
        caller = world.ends.Caller(flow, self.now)
        caller.through = self.balancer_for(zone, number)
        caller.number = number
        self.callers[flow] = caller
        self.living.append(caller)
        self.go_on_asking(caller)

    def balancer_for(self, zone: str, number: int) -> world.Node:
        """Return a balancer that the fabric hands packets to: a living one, of this zone first."""
        living = [b for b in self.balancers if b.alive] or self.balancers
        return next((b for b in living if b.zone == zone), living[number % len(living)])

    def go_on_asking(self, caller) -> None:
        """Ask again once the answer is there; open anew where the flow is over."""
        if caller.over:
            self.living.remove(caller)
            self.later(100, self.begin, caller.number)
            return
        if caller.waiting is None:
            self.asked += 1
            caller.asked_at = self.now
            self.ask(caller, b"q%d" % self.asked)
        self.later(PAUSE_MS, self.go_on_asking, caller)

    def moment(self, step: str, node: world.Node) -> None:
        """Let the fault strike at a step of the day itself."""
        if step == self.case.step and self.due():
            self.strike(node)

    def spread(self, node: world.Node) -> None:
        """Let entries reach everybody, each at a time of its own, as watchers and relays do."""
        self.moment("entry changed", node)
        for other in self.everyone():
            self.later(self.rng.randrange(1, 400), self.learn, other)

    def learn(self, node: world.Node) -> None:
        """Let one process know the entries of now, unless it can't hear the store."""
        if node.alive and node.address not in self.stale and self.now >= node.frozen_until:
            self.known([node])

    def leave(self, node: world.Node) -> None:
        """Let an upstream leave by its entry."""
        if node.address in self.entry_of:
            self.entry(node, leaving=True)
            self.spread(node)

    def replace(self, node: world.Node) -> None:
        """End an upstream with its instance, and start another one elsewhere."""
        self.end(node)
        self.add_upstream(node.zone, "s", slow_start_until=self.now + 500)
        added = self.sidecars[-1]
        added.core.route_table.replace(self.sidecars[0].core.route_table.routes)
        self.spread(added)

    def end(self, node: world.Node) -> None:
        """End an instance for good, its entry with it."""
        node.alive = False
        node.upstream.alive = False
        node.gone = True
        self.entry_of.pop(node.address, None)
        self.withheld.pop(node.address, None)

    def change_routes(self) -> None:
        """Send the photos' new flows to the other service, one process after another."""
        self.allowed[PHOTOS_ROUTE].add("s")
        self.moment("configuration spread", self.sidecars[0])
        made = {world.ROUTE: "s", PHOTOS_ROUTE: "s"}
        for node in self.everyone():
            if node.address not in self.stale:
                self.later(self.rng.randrange(1, 400), self.configure, 3, made, [node])

    def configure(self, version: int, by_route, nodes=None) -> None:
        """Put routes in force at processes that live."""
        self.newest = (version, by_route)
        self.set_routes(version, by_route, nodes)

    def move_flows(self) -> None:
        """Let the fabric hand every flow to another balancer."""
        living = [b for b in self.balancers if b.alive] or self.balancers
        for caller in self.living:
            place = living.index(caller.through) if caller.through in living else 0
            caller.through = living[(place + 1) % len(living)]
        self.moment("fabric moves flows", living[0])

    def change_drained(self, step: str, zones: set[str]) -> None:
        """Let operators drain these zones and no others, known to each process after a while."""
        self.drained = zones
        self.spread(self.sidecars[2])
        self.moment(step, self.sidecars[2])

    def restart_one(self) -> None:
        """Restart a sidecar beside its living upstream, as an upgrade does."""
        node = self.sidecars[2]
        self.restart_process(node)
        self.moment("sidecar restarted", node)

    def restart_all(self) -> None:
        """Restart every process: now upstreams must be probed for flows to be found."""
        for node in self.everyone():
            self.restart_process(node)

    def restart_process(self, node: world.Node) -> None:
        """Start a process anew, unless its instance is gone."""
        if node.gone:
            return
        if isinstance(node.core, balancer.Balancer):
            self.restart_balancer(node)
            node.core.set_view_current(False, self.now)
            node.core.set_view_current(node.address not in self.stale, self.now)
        else:
            self.restart_sidecar(node)
            node.core.is_view_current = node.address not in self.stale

    # Faults

    def delays(self, step: str, origin, target) -> list[int]:
        """Let the fault of the case have its way with a message."""
        usual = [world.DELAY_MS]
        if self.now < self.lossy_until and (origin, target) == self.lossy:
            return []
        if step != self.case.step or not self.due():
            return usual
        if self.case.fault in faults.MESSAGE_FAULTS:
            if self.case.fault == "loss for long":
                self.lossy, self.lossy_until = (origin, target), self.now + faults.OUTAGE_MS
            return faults.MESSAGE_FAULTS[self.case.fault]
        node = self.nodes.get(target) or self.nodes.get(origin) or self.sidecars[0]
        self.later(0, self.strike, node)
        return usual

    def due(self) -> bool:
        """Tell whether this is the occurrence to strike at."""
        if self.struck or self.healed:
            return False
        self.skip -= 1
        self.struck = self.skip < 0
        return self.struck

    def strike(self, node: world.Node) -> None:
        """Bring the fault about at a process; a message fault needs a message."""
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

    def heal(self) -> None:
        """End every fault that still lasts."""
        self.healed = True
        self.cuts.clear()
        self.stale.clear()
        self.mute_until = {name: min(at, self.now) for name, at in self.mute_until.items()}
        for address, entry in self.withheld.items():
            self.entry_of[address] = entry
        self.withheld.clear()
        for node in self.everyone():
            node.frozen_until = min(node.frozen_until, self.now)
            if not node.alive and not node.gone:
                self.restart_process(node)
        self.configure(*self.newest, [n for n in self.everyone() if n.alive])
        self.known([n for n in self.everyone() if n.alive])

    # What is seen at both ends

    def at_node(self, origin, target, message):
        node = self.nodes[target]
        if node.alive and self.now < node.frozen_until:
            # A frozen process finds what came meanwhile in its buffers.
            self.later(node.frozen_until - self.now, self.at_node, origin, target, message)
            return
        super().at_node(origin, target, message)

    def at_upstream(self, node, raw):
        if self.now < self.mute_until.get(node.upstream.name, 0):
            return
        shown = packets.from_caller(raw)
        if shown.opens and shown.flow not in node.upstream.flows:
            self.check_opening(node, shown)
        before = len(node.upstream.ran)
        super().at_upstream(node, raw)
        for request in node.upstream.ran[before:]:
            self.check_run(node, request)
        if not shown.opens:
            self.note_stray(node, shown.flow)

    def check_opening(self, node, shown) -> None:
        """Check that an upstream may get this new flow, by what its sidecar knows."""
        route = node.core.route_table.routes.find(shown.flow)
        service = node.core.service
        _, end = world.ends.ends(shown.flow)
        allowed = self.allowed[world.ROUTE if end == MAIN_END else PHOTOS_ROUTE]
        if service not in allowed:
            self.found.append(f"a flow for {sorted(allowed)} opened at {service}")
        elif node.core.route_table.routes.version == self.newest[0] and (
            route is None or service not in route.services
        ):
            self.found.append("a flow opened against the newest configuration, which was known")
        own = node.core.listed_upstream
        if node.zone in node.core.fleet.drained:
            self.found.append("a flow opened in a zone that its sidecar knows to be drained")
        if own is not None and own.leaving:
            self.found.append("a flow opened at an upstream that its sidecar knows to be leaving")

    def check_run(self, node, request: bytes) -> None:
        """Check that a request has run nowhere else."""
        first = self.ran.setdefault(request, node.upstream.name)
        if first != node.upstream.name:
            self.found.append(f"{request!r} ran at {first} and at {node.upstream.name}")

    def note_stray(self, node, flow) -> None:
        """Check that a flow's packets do not go to several other upstreams and not to its own."""
        home = self.homes.get(flow)
        if home is None or not self.holds(*home, flow):
            return
        if node is home[0]:
            self.reached_at[flow] = self.now
            return
        recent = [s for s in self.strayed.get(flow, []) if self.now - s[0] < MOVED_MS]
        recent.append((self.now, node.upstream.name))
        self.strayed[flow] = recent
        if len({name for _, name in recent}) >= MOVED_UPSTREAMS:
            self.later(world.DELAY_MS, self.check_moved, flow)

    def check_moved(self, flow) -> None:
        """Note a moved flow, if its own upstream was not probed at the same time."""
        others = {name for _, name in self.strayed.get(flow, [])}
        if self.now - self.reached_at.get(flow, 0) >= MOVED_MS:
            self.found.append(f"a flow's packets went to {len(others)} others, not to its home")

    def holds(self, node, accepted, flow) -> bool:
        """Tell whether the upstream still holds what it accepted."""
        return node.upstream.alive and node.upstream.flows.get(flow) is accepted

    def at_caller(self, raw):
        got = packets.from_upstream(raw)
        caller = self.callers.get(got.flow)
        if caller is not None and got.accepts and not caller.open and not caller.over:
            self.note_home(got)
        if caller is not None and got.aborts and not caller.over:
            self.check_reset(caller)
        super().at_caller(raw)

    def note_home(self, got) -> None:
        """Remember which upstream's acceptance the caller takes."""
        for node in self.sidecars:
            accepted = node.upstream.flows.get(got.flow)
            if accepted is not None and accepted.position == got.sequence:
                self.homes[got.flow] = (node, accepted)

    def check_reset(self, caller) -> None:
        """Check that a caller who is told that its flow has ended is told the truth.

        A flow is open once its upstream has the end of the handshake. An upstream that takes no
        packet while its sidecar knows no flows can't be told from one that has lost the flow. A
        balancer that has started since the entry of an upstream went has never heard of it.
        """
        node, accepted = self.homes.get(caller.flow, (None, None))
        if node is None or not accepted.opened:
            return
        if self.now < self.mute_until.get(node.upstream.name, 0) + SEARCH_MS:
            return
        if caller.through.core.view_current_since > self.lost_at.get(node.address, self.now):
            return
        if self.holds(node, accepted, caller.flow):
            self.found.append(f"reset although {node.upstream.name} holds the flow")

    # At the end

    def check_served(self) -> None:
        """Once all faults are over, every caller is answered and new flows open."""
        for caller in self.living:
            if caller.waiting is not None and self.now - caller.asked_at > HEALED_MS // 2:
                self.found.append(f"healed, but flow {caller.number} stays silent")
        for place, node in enumerate(self.balancers):
            late = self.caller(61_000 + place, through=node)
            self.run(300)
            if not late.open:
                self.found.append("healed, but a new flow does not open")

    def check_forgotten(self) -> None:
        """Once callers are gone, nothing of their flows is kept."""
        for caller in self.callers.values():
            caller.over = True
        self.living.clear()
        self.queue = [item for item in self.queue if item[2] != self.go_on_asking]
        self.run(2 * routes.DEFAULT_IDLE_TIMEOUT_MS)
        for node in self.balancers:
            core = node.core
            if core.searches or core.queued or core.homes or core.open_flow_searches:
                self.found.append("a balancer keeps something of flows that are over")
        for node in self.sidecars:
            if node.alive and (node.core.table.flows or node.core.pending_probes):
                self.found.append("a sidecar keeps something of flows that are over")


MAIN_END = world.packet.end_of(*world.ROUTE)

FAULTS = (*faults.MESSAGE_FAULTS, *faults.PROCESS_FAULTS)


def applies(step: str, fault: str) -> bool:
    """Tell whether a fault can befall a step: only a message can be lost, doubled or late."""
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
    """Play a case; return whether its fault struck, and what was found."""
    day = Day(case)
    found = day.play()
    return day.struck, found


def faults_of(cases: list[Case]) -> list[str]:
    """Play cases and return one line for each that found a fault; its seed plays it again."""
    found = [(case, play(case)[1]) for case in cases]
    return [f"{case}: {faults}" for case, faults in found if faults]
