"""Join balancer and sidecar cores, callers and upstreams in memory, on a clock of its own."""

import dataclasses
import heapq
import itertools

from ebonystile.core.carrying import (
    balancer,
    balancer_state,
    effects,
    fleet,
    messages,
    packet,
    routes,
    sidecar,
)
from ebonystile.platform import packets
from standins import ends

DELAY_MS = 1
TICK_MS = 200
ROUTE = ("198.18.0.1", 443)
LATE = 10_000
"""A start so long ago that a sidecar knows all flows of its upstream, in ms."""


@dataclasses.dataclass
class Node:
    """A process: its core, address and zone; a dead one hears and says nothing.

    One that is `gone` is never started again.
    """

    core: object
    address: tuple[str, int]
    zone: str
    upstream: ends.Upstream | None = None
    alive: bool = True
    gone: bool = False
    frozen_until: int = 0


class World:
    """Everything that happens, in the order of its time in ms."""

    def __init__(self, zones=("a", "b"), upstreams=4, balancers=2, service="s", start=100_000):
        self.now = start
        self.queue = []
        self.numbers = itertools.count()
        self.cuts = set()
        self.traces = []
        self.sent = []
        self.nodes = {}
        self.balancers = []
        self.sidecars = []
        self.callers = {}
        self.entry_of = {}
        self.lapsing = []
        self.drained = set()
        self.upstream_number = itertools.count(1)
        for place in range(balancers):
            self.add_balancer(zones[place % len(zones)])
        for place in range(upstreams):
            self.add_upstream(zones[place % len(zones)], service)
        self.set_routes(1, {ROUTE: service})
        self.known()

    def add_balancer(self, zone):
        """Start a balancer that has had its view for long."""
        address = (f"10.0.0.{len(self.balancers) + 1}", 7720)
        core = balancer.Balancer(zone, self.now)
        node = Node(core, address, zone)
        self.nodes[address] = node
        self.balancers.append(node)
        self.later(TICK_MS, self.tick, node)
        return node

    def add_upstream(self, zone, service="s", **known):
        """Start an upstream with its sidecar, both long ago."""
        number = next(self.upstream_number)
        address = (f"10.0.1.{number}", 7720)
        core = sidecar.Sidecar(
            address, service, self.now - 3 * routes.DEFAULT_IDLE_TIMEOUT_MS, zone=zone
        )
        upstream = ends.Upstream(f"u{number}", 1_000_000 * number)
        node = Node(core, address, zone, upstream)
        self.nodes[address] = node
        self.sidecars.append(node)
        made = fleet.make_upstream(f"u{number}", 1, service, address, zone, 2, **known)
        self.entry_of[address] = made
        self.later(TICK_MS, self.tick, node)
        return node

    def everyone(self):
        return [*self.balancers, *self.sidecars]

    def set_routes(self, version, by_route, nodes=None):
        """Put routes in force at the nodes, at all of them unless named."""
        made = routes.make_routes(
            version,
            [(h, p, routes.Route(f"r{p}", ((s, 1),))) for (h, p), s in by_route.items()],
            routes.DEFAULT_IDLE_TIMEOUT_MS,
        )
        for node in self.everyone() if nodes is None else nodes:
            node.core.route_table.replace(made)

    def known(self, nodes=None):
        """Let the nodes know every upstream's entry as it is now."""
        listed = [*self.lapsing, *self.entry_of.values()]
        for node in self.everyone() if nodes is None else nodes:
            node.core.fleet.drained = set(self.drained)
            for made in listed:
                node.core.fleet.put(made)
            for name in set(node.core.fleet.upstreams) - {u.name for u in listed}:
                node.core.fleet.remove(name, self.now)
            if isinstance(node.core, balancer.Balancer):
                node.core.set_view_current(True, self.now - balancer_state.MIN_VIEW_AGE_MS - 1)
            else:
                node.core.is_view_current = True
                node.core.on_view(self.now)

    def entry(self, node, **changes):
        """Change a sidecar's upstream's entry; None as `gone` drops it."""
        self.entry_of[node.address] = dataclasses.replace(self.entry_of[node.address], **changes)

    def restart_balancer(self, node):
        """Let a balancer start anew with the view of now and nothing else."""
        before = node.core
        node.core = balancer.Balancer(node.zone, self.now)
        node.core.route_table = before.route_table
        node.alive = True
        self.known([node])

    def restart_sidecar(self, node):
        """Let a sidecar start anew: its upstream's flows live on, its own table is empty."""
        before = node.core
        node.core = sidecar.Sidecar(node.address, before.service, self.now, zone=node.zone)
        node.core.route_table = before.route_table
        node.alive = True
        self.known([node])

    def lose_power(self, node, warm_ms=2_000):
        """Let a sidecar and its upstream start anew; the entry before has yet to lapse.

        The new one is listed by the time that the sidecar reads the store.
        """
        former = self.entry_of[node.address]
        self.lapsing.append(former)
        node.upstream.restart()
        name, created_revision = f"{former.name}-again", former.created_revision + 1
        self.entry(
            node, name=name, created_revision=created_revision, slow_start_until=self.now + warm_ms
        )
        self.restart_sidecar(node)

    def later(self, delay, action, *arguments):
        heapq.heappush(self.queue, (self.now + delay, next(self.numbers), action, arguments))

    def run(self, ms):
        """Play the next `ms` milliseconds."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = end

    def tick(self, node):
        self.later(TICK_MS, self.tick, node)
        if node.alive and self.now >= node.frozen_until:
            self.carry_out(node, node.core.on_tick(self.now))

    def reaches(self, origin, target):
        return (origin, target) not in self.cuts

    def cut(self, one, other, both=True):
        """Let nothing through from one to the other."""
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def caller(self, port=40_001, zone="a", through=None):
        """Begin a flow of a new caller, through a balancer of its zone."""
        flow = packet.end_of("100.64.0.7", port) + packet.end_of(*ROUTE)
        made = ends.Caller(flow, self.now)
        made.through = through or next(b for b in self.balancers if b.zone == zone)
        self.callers[flow] = made
        self.drive(made)
        return made

    def ask(self, caller, request=b"q"):
        caller.ask(request, self.now)
        self.drive(caller)

    def delays(self, step, origin, target):
        """Return after how many ms each copy of a message arrives; a test's faults go here."""
        return [DELAY_MS]

    def drive(self, caller):
        """Let a caller send what is due."""
        for raw in caller.due(self.now):
            self.to_balancer(caller, raw)
        if not caller.over:
            self.later(max(1, caller.next_at - self.now), self.drive, caller)

    def at_balancer(self, node, raw):
        if node.alive and self.now >= node.frozen_until:
            self.carry_out(node, node.core.on_caller(packets.from_caller(raw), self.now))

    def at_node(self, origin, target, message):
        node = self.nodes[target]
        if not node.alive or self.now < node.frozen_until or not self.reaches(origin, target):
            return
        if isinstance(message, messages.ProbeMany):
            for raw in message.raws:
                self.at_node(origin, target, messages.Probe(raw))
            return
        raw = getattr(message, "raw", None)
        received = packets.from_caller(raw) if raw is not None else None
        self.carry_out(node, node.core.on_message(message, received, origin, self.now))

    def at_upstream(self, node, raw):
        for sent in node.upstream.on_packet(raw):
            self.later(0, self.from_upstream, node, sent)

    def from_upstream(self, node, raw):
        if node.alive:
            self.carry_out(node, node.core.on_upstream(packets.from_upstream(raw), self.now))

    def at_caller(self, raw):
        caller = self.callers.get(packets.from_upstream(raw).flow)
        if caller is None:
            return
        for sent in caller.on_packet(raw, self.now):
            self.to_balancer(caller, sent)
        self.drive(caller)

    def to_balancer(self, caller, raw):
        """Send a caller's packet to the balancer that the fabric hands its flow to."""
        opens = packets.from_caller(raw).opens
        step = "first packet" if opens else "packet of an open flow"
        for delay in self.delays(step, None, caller.through.address):
            self.later(delay, self.at_balancer, caller.through, raw)

    def carry_out(self, node, todo):
        for effect in todo:
            if isinstance(effect, effects.Send):
                self.sent.append((self.now, node.address, effect.message))
                step = type(effect.message).__name__
                for delay in self.delays(step, node.address, effect.address):
                    self.later(delay, self.at_node, node.address, effect.address, effect.message)
            elif isinstance(effect, effects.ToUpstream):
                self.later(0, self.at_upstream, node, effect.raw)
            elif isinstance(effect, effects.ToCaller):
                step = "accepted" if effect.packet.accepts else "answered"
                for delay in self.delays(step, node.address, None):
                    self.later(delay, self.at_caller, effect.packet.raw)
            elif isinstance(effect, effects.Reset):
                raw = packets.make_reset(effect.flow, effect.position)
                self.later(DELAY_MS, self.at_caller, raw)
            elif isinstance(effect, effects.Trace):
                self.traces.append((self.now, effect.event, dict(effect.fields)))
        if isinstance(node.core, balancer.Balancer):
            due = node.core.next_due()
            if due is not None:
                self.later(max(0, due - self.now), self.go_on, node)

    def go_on(self, node):
        if node.alive and self.now >= node.frozen_until:
            due = node.core.next_due()
            if due is not None and due <= self.now:
                self.carry_out(node, node.core.on_due(self.now))

    def home_of(self, caller):
        """Return the sidecar whose upstream the caller's flow was opened at."""
        return next(n for n in self.sidecars if caller.flow in n.upstream.opened)

    def open(self, port=40_001, **where):
        """Return a caller whose flow is open and has had an answer."""
        caller = self.caller(port, **where)
        self.ask(caller, b"hello")
        self.run(50)
        assert caller.answer is not None
        return caller
