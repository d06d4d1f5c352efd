"""Simulate callers that try again, by routes with request traits, under more load than fits."""

import collections
import dataclasses

from ebonystile.core.carrying import packet, routes
from standins import ends
from tests.carrying import loaded, world

MAX_TRIES = 3
"""How often a caller tries a request."""

FIRST_PORT = 1_024

TRAITS = routes.RequestTraits(
    routes.RequestKind.IDEMPOTENT, objective_ms=300, timeout_ms=1_500, priority=2
)
URGENT = dataclasses.replace(TRAITS, priority=0)
URGENT_ROUTE = ("198.18.0.2", 443)
STATED = {world.ROUTE: TRAITS, URGENT_ROUTE: URGENT}


@dataclasses.dataclass
class Outcome:
    """One request: its tries, when it started, and when it was answered (ms), if it was."""

    host: str
    route: tuple[str, int]
    started_at: int
    tries: list[ends.Caller] = dataclasses.field(default_factory=list)

    @property
    def answered_at(self) -> int | None:
        """Return when an upstream answered the request, or None."""
        for caller in self.tries:
            if caller.answer and not caller.answer.startswith(loaded.SHED):
                return caller.answered_at
        return None

    def is_served(self, within_ms: int) -> bool:
        """Return whether the request was answered within a time limit."""
        return self.answered_at is not None and self.answered_at <= self.started_at + within_ms


class RetryingWorld(loaded.LoadedWorld):
    """A simulation with requests of several callers and routes, through all balancers in turn."""

    def __init__(self, traits=STATED, **sizes):
        super().__init__(**sizes)
        self.traits = traits
        for node in self.balancers:
            node.core.is_admission_enabled = True
        self.state_traits(2)
        for node in self.sidecars:
            node.upstream.room = 1_000_000
        self.outcomes = []
        self.ports = collections.Counter()
        self.reset_delays = []
        self.run(300)

    def state_traits(self, version):
        """Put routes with the traits in force at all nodes."""
        made = routes.make_routes(
            version,
            [
                (host, port, routes.Route(host, (("s", 1),), requests=traits))
                for (host, port), traits in self.traits.items()
            ],
            routes.DEFAULT_IDLE_TIMEOUT_MS,
        )
        for node in self.all_nodes():
            node.core.route_table.replace(made)

    def request(self, host="100.64.0.7", route=world.ROUTE, through=None):
        """Start a request on a new flow and return its outcome."""
        outcome = Outcome(host, route, self.now)
        self.outcomes.append(outcome)
        self.try_once(outcome, through)
        return outcome

    def try_once(self, outcome, through=None):
        """Open a flow for the request, from a new port and by default through the next balancer."""
        self.ports[outcome.host] += 1
        number = self.ports[outcome.host]
        flow = packet.endpoint_of(outcome.host, FIRST_PORT + number) + packet.endpoint_of(
            *outcome.route
        )
        made = ends.Caller(flow, self.now)
        made.through = through or self.balancers[sum(self.ports.values()) % len(self.balancers)]
        made.outcome = outcome
        outcome.tries.append(made)
        self.callers[flow] = made
        made.ask(b"y" * 20, self.now)
        self.send_due(made)

    def deliver_to_caller(self, raw):
        """Deliver a packet; a caller whose flow is reset tries again, up to `MAX_TRIES`."""
        flow = world.packets.from_upstream(raw).flow
        caller = self.callers.get(flow)
        was_over = caller is None or caller.over
        was_open = caller is not None and caller.open
        super().deliver_to_caller(raw)
        if was_over or not caller.resets:
            return
        assert not was_open, "a reset reached an open flow"
        self.reset_delays.append(self.now - caller.started_at)
        outcome = getattr(caller, "outcome", None)
        if outcome is not None and len(outcome.tries) < MAX_TRIES:
            self.try_once(outcome)

    def demand(self, per_s, ms, host="100.64.0.7", route=world.ROUTE):
        """Start requests of one caller at an even rate for a time."""
        for number in range(per_s * ms // 1_000):
            self.schedule(number * 1_000 // per_s, self.request, host, route)

    def events(self, name):
        """Return the fields of the log events of a name."""
        return [fields for _, event, fields in self.traces if event == name]
