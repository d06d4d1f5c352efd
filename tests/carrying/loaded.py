"""Simulate upstreams with a few slots and a short queue, and callers that load them over time."""

import collections
import dataclasses
import random

from ebonystile.core.carrying import packet, routes
from ebonystile.platform import packets
from standins import ends
from tests.carrying import world

REQUEST_MS = 30
QUEUE_LENGTH = 12
SHED = b"shed"
SHORT_ROUTE = ("198.18.0.1", 444)


@dataclasses.dataclass
class Work:
    """The running and queued requests of one upstream; `taken` holds those already accepted."""

    running: int = 0
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)
    taken: set = dataclasses.field(default_factory=set)


class LoadedWorld(world.World):
    """A simulation whose upstreams have a few slots and a short queue of requests."""

    def __init__(self, slots=2, zones=("a",), **sizes):
        super().__init__(zones=zones, **sizes)
        self.slots = slots
        self.work = {node.address: Work() for node in self.sidecars}

    def request_ms(self, node, raw):
        """Return how long the upstream of the sidecar runs the request, in ms."""
        return REQUEST_MS

    def from_upstream(self, node, raw):
        sent = packets.from_upstream(raw)
        if not sent.length or sent.returned:
            super().from_upstream(node, raw)
            return
        work = self.work[node.address]
        if raw in work.taken:
            return
        work.taken.add(raw)
        if work.running < self.slots:
            self.run_request(node, raw)
        elif len(work.waiting) < QUEUE_LENGTH:
            work.waiting.append(raw)
        else:
            super().from_upstream(node, raw[: packets.HEADER.size] + SHED.ljust(sent.length))

    def run_request(self, node, raw):
        self.work[node.address].running += 1
        self.schedule(self.request_ms(node, raw), self.done, node, raw)

    def done(self, node, raw):
        work = self.work[node.address]
        work.running -= 1
        if work.waiting:
            self.run_request(node, work.waiting.popleft())
        super().from_upstream(node, raw)

    def fill(self, requests):
        """Send requests on open flows, spread evenly over the upstreams."""
        for caller in [self.open(50_000 + n) for n in range(requests)]:
            self.ask(caller, b"x" * 20)
        self.run(5 * world.DELAY_MS)


class DemandWorld(LoadedWorld):
    """A simulation of callers that open a flow for each request, at random times.

    The work of a request varies evenly by half of that of its route in `work_ms`. `slowness` gives
    the factor on it at an upstream by the address of its sidecar.
    """

    def __init__(self, objective_ms, work_ms=40, short_ms=5, kind=None, seed=1, **sizes):
        super().__init__(**sizes)
        self.random = random.Random(seed)
        self.work_ms = {world.ROUTE: work_ms, SHORT_ROUTE: short_ms}
        self.slowness = collections.defaultdict(lambda: 1.0)
        self.made = []
        self.set_requests(routes.RequestTraits(kind, objective_ms))

    def set_requests(self, requests):
        """Put a version of the routes in force with these traits."""
        version = self.sidecars[0].core.route_table.routes.version + 1
        route = routes.Route("r", (("s", 1),), requests=requests)
        ends_of_routes = [(*place, route) for place in self.work_ms]
        made = routes.make_routes(version, ends_of_routes, routes.DEFAULT_IDLE_TIMEOUT_MS)
        for node in self.all_nodes():
            node.core.route_table.replace(made)

    def request_ms(self, node, raw):
        endpoint = packet.route_endpoint(packets.from_upstream(raw).flow)
        by_endpoint = {packet.endpoint_of(*place): ms for place, ms in self.work_ms.items()}
        varied = by_endpoint[endpoint] * self.random.uniform(0.5, 1.5)
        return max(1, round(varied * self.slowness[node.address]))

    def delays(self, step, origin, target):
        places = {self.nodes[address].zone for address in (origin, target) if address}
        return [world.DELAY_MS if len(places) == 1 else 2 * world.DELAY_MS]

    def demand(self, per_s, zone, until, place=world.ROUTE):
        """Make requests at random times until a time in ms, each through any balancer of a zone."""
        wait = self.random.expovariate(per_s / 1_000)
        if self.now + wait < until:
            self.schedule(max(0, round(wait)), self.make_request, per_s, zone, until, place)

    def make_request(self, per_s, zone, until, place):
        number = len(self.made)
        flow = packet.endpoint_of(f"100.64.{number % 200}.7", 1_024 + number // 200)
        caller = ends.Caller(flow + packet.endpoint_of(*place), self.now)
        caller.through = self.random.choice([b for b in self.balancers if b.zone == zone])
        caller.ask(b"q" * 20, self.now)
        self.callers[caller.flow] = caller
        self.made.append(caller)
        self.send_due(caller)
        self.demand(per_s, zone, until, place)

    def deliver_to_caller(self, raw):
        super().deliver_to_caller(raw)
        caller = self.callers.get(packets.from_upstream(raw).flow)
        if caller is not None and caller.answer is not None and not caller.over:
            self.end_flow(caller)

    def end_flow(self, caller):
        caller.over = True
        origin, target = ends.ends(caller.flow)
        end = ends.pack(origin, target, packets.RST, caller.sequence, caller.acknowledged)
        self.send_to_balancer(caller, end)

    def times_ms(self, since=0, zone=None):
        """Return the response times in ms, in order; a refused request counts as infinite."""
        return sorted(
            response_ms(caller)
            for caller in self.made
            if caller.started_at >= since and zone in (None, caller.through.zone)
        )

    def p99_ms(self, since=0, zone=None):
        """Return the 99th percentile of the response times in ms."""
        times = self.times_ms(since, zone)
        return times[len(times) * 99 // 100]

    def placements(self, since, until, zone=None):
        """Return the names of the upstreams that got new flows, from the balancers of a zone."""
        return [
            fields["upstream"]
            for at, event, fields in self.traces
            if event == "opened"
            and since <= at < until
            and zone in (None, self.zone_of_flow(fields["flow"]))
        ]

    def zone_of_flow(self, text):
        origin, target = (end.split(":") for end in text.split(">"))
        flow = packet.endpoint_of(origin[0], int(origin[1]))
        return self.callers[flow + packet.endpoint_of(target[0], int(target[1]))].through.zone


def response_ms(caller):
    """Return the time in ms until a caller's request was answered, infinite if it was refused."""
    if caller.answer is None or caller.answer.startswith(SHED):
        return float("inf")
    return caller.answered_at - caller.started_at
