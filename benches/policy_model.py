"""Model a service just closely enough to measure decisions: slots, service times and reports.

The decisions are the real ones of `ebonystile.core` and `ebonystile.caller.budget`; the model adds
a fake clock, seeded arrivals that are the same for every policy, and upstreams that do nothing but
take time. It is no simulator of the system: packets are not lost and balancers are not modelled
beyond the ranking. Times are milliseconds.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from ebonystile.caller import budget
from ebonystile.core import view
from ebonystile.core.calls import limits
from ebonystile.core.placing import load, placement, ranking
from ebonystile.peer import messages

HOP = 1
"""One way between two instances (ms)."""

REOPEN = 200
"""A caller whose open was lost asks the next of the ranking after so long (ms)."""

CALLERS = 50
"""Caller processes; each has a retry budget of its own."""

COLD_RUNS = 50
COLD_FACTOR = 3.0
"""A cold upstream takes so many times longer at first, and less with each of its first runs."""

VIEW_LAG = 2000
"""The balancers learn so late that an upstream joins or leaves (ms)."""

RANKED = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Oracle:
    """Place each open by every upstream's true load: what no real process can do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A service: its upstreams and what is asked of it. `service` is the mean service time."""

    name: str
    upstreams: int
    slots: int
    zones: int
    service: int
    requests: int
    session: int = 5
    long_share: float = 0.1
    urgent_share: float = 0.0

    @property
    def capacity(self) -> float:
        """Requests that all upstreams can end in one ms."""
        return self.upstreams * self.slots / self.service

    @property
    def patience(self) -> int:
        """How long after it is sent a request must be done, unless it is urgent."""
        return 10 * self.service

    def endpoints(self) -> list[view.Endpoint]:
        """Return the upstreams."""
        return [
            view.make_endpoint(f"{self.name}-{i}", ("127.0.0.1", 1024 + i), f"z{i % self.zones}")
            for i in range(self.upstreams)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A flow that a caller opens: when, where it ranks, and (pause before, service time) each."""

    at: int
    flow: bytes
    ranked: tuple[str, ...]
    requests: tuple[tuple[int, int], ...]
    caller: int
    patience: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Something that happens to an upstream at a time: join, leave, die, slow, lie or recover."""

    at: int
    what: str
    upstream: str


@dataclasses.dataclass(slots=True)
class Setup:
    """What is compared: the placement policy and the settings around it."""

    policy: typing.Any
    order: limits.Order = limits.Order.FIFO
    early: bool = True
    budgets: bool = True
    count_sent: bool = True
    report_step: int = 2
    report_least: int = 100
    ramp: int = 30_000
    stale_after: int = 3000
    passes: int = 3


def arrivals(site: Site, offered: float, seed: int) -> list[Arrival]:
    """Return flows that together ask for `offered` times the capacity of the site.

    Short flows make one to `session` requests. A share of `long_share` are feeds, held for about a
    thousand service times, that ask for something now and then.
    """
    chance = random.Random(seed)
    endpoints = site.endpoints()
    short = (1 + site.session) / 2
    feed = 20.0
    per_flow = (1 - site.long_share) * short + site.long_share * feed
    rate = offered * site.capacity / per_flow
    now, asked, flows = 0.0, 0, []
    while asked < site.requests:
        now += chance.expovariate(rate)
        is_feed = chance.random() < site.long_share
        count = int(feed) if is_feed else chance.randint(1, site.session)
        pause = 50 * site.service if is_feed else 2 * site.service
        requests = tuple(
            (int(chance.expovariate(1 / pause)) if i else 2 * HOP, service_time(site, chance))
            for i in range(count)
        )
        asked += count
        flow = chance.randbytes(16)
        ranked = tuple(e.name for e in ranking.rank(flow, endpoints)[:RANKED])
        urgent = chance.random() < site.urgent_share
        patience = 3 * site.service if urgent else site.patience
        caller = chance.randrange(CALLERS)
        flows.append(Arrival(int(now), flow, ranked, requests, caller, patience))
    return flows


def service_time(site: Site, chance: random.Random) -> int:
    """Return a log-normal service time with the site's mean and a deviation of about its half."""
    sigma = 0.47
    return max(1, int(site.service * math.exp(chance.gauss(-sigma * sigma / 2, sigma))))


@dataclasses.dataclass(slots=True)
class Asked:
    """A request under way, from its first sending to its end."""

    key: bytes
    flow: "Flow"
    service: int
    sent: int
    deadline: int
    finish_at: int = 0


@dataclasses.dataclass(slots=True)
class Flow:
    """An open flow: its caller's arrival, its home, and which request is next."""

    arrival: Arrival
    attempt: int = 0
    home: "Node | None" = None
    next: int = 0


class Node:
    """An upstream and its sidecar."""

    def __init__(self, site: Site, endpoint: view.Endpoint, setup: Setup, started: int):
        self.endpoint = endpoint
        self.name = endpoint.name
        self.slots = site.slots
        self.limiter = limits.Limiter(limits.Limits(slots=site.slots, order=setup.order))
        self.table = load.LoadTable(setup.stale_after)
        self.reporter = load.Reporter(min_gap_ms=setup.report_least, work_step=setup.report_step)
        self.idle_flows = load.IdleFlows()
        self.ramp = load.Ramp(started, setup.ramp)
        self.flows = 0
        self.runs = 0
        self.cold = False
        self.slow = 1.0
        self.alive = True
        self.leaving = False
        self.reported_load = load.ReportedLoad()
        self.waiting: dict[bytes, tuple[Asked, budget.Backoff]] = {}

    def observed(self, now: int) -> messages.LoadReport:
        """Return what the sidecar observes."""
        running, queued = len(self.limiter.running), len(self.limiter.queue)
        return messages.LoadReport(
            name=self.name,
            incarnation=1,
            zone=self.endpoint.zone,
            at=now,
            slots=self.slots,
            connections=100_000,
            flows=self.flows,
            running=running,
            queued=queued,
            caution=self.reported_load.excess(running + queued, self.slots, now),
            pending=self.idle_flows.count(now),
            latency=int(self.limiter.mean_latency),
            ramp=self.ramp.share_at(now),
            leaving=self.leaving,
        )

    @property
    def work(self) -> float:
        """Requests a slot."""
        return (len(self.limiter.running) + len(self.limiter.queue)) / self.slots

    def takes(self, service: int) -> int:
        """Return how long the upstream takes for a request that takes `service` when warm."""
        factor = self.slow
        if self.cold:
            left = max(0, COLD_RUNS - self.runs) / COLD_RUNS
            factor *= 1 + (COLD_FACTOR - 1) * left
        return max(1, int(service * factor))


@dataclasses.dataclass(slots=True)
class Tally:
    """What was counted in one run, warm-up left out."""

    asked: int = 0
    done: int = 0
    refused: int = 0
    needless: int = 0
    late: int = 0
    repeats: int = 0
    opens: int = 0
    passed: int = 0
    reports: int = 0
    lost_opens: int = 0
    last_open_at_leaving: int = 0
    last_pass_to_dead: int = 0
    ended_by_death: int = 0
    work: list[float] = dataclasses.field(default_factory=list)
    held: list[float] = dataclasses.field(default_factory=list)
    samples: list[tuple[int, dict[str, float]]] = dataclasses.field(default_factory=list)
    latencies: list[int] = dataclasses.field(default_factory=list)
    good_at: collections.Counter = dataclasses.field(default_factory=collections.Counter)


class Model:
    """One run of a site under one setup."""

    def __init__(
        self,
        site: Site,
        setup: Setup,
        flows: list[Arrival],
        *,
        changes: typing.Sequence[Change] = (),
        spare: tuple[str, ...] = (),
        seed: int = 1,
    ):
        self.site = site
        self.setup = setup
        self.chance = random.Random(seed)
        self.endpoints = {e.name: e for e in site.endpoints()}
        self.nodes = {
            name: Node(site, e, setup, -(10**9))
            for name, e in self.endpoints.items()
            if name not in spare
        }
        self.in_view = set(self.nodes)
        self.seen: dict[str, list[view.Endpoint]] = {}
        self.targets: dict[str, list[Node]] = {}
        self.change_view()
        self.running: dict[bytes, Asked] = {}
        self.budgets = [budget.RetryBudget(budget.Allowance(), 0) for _ in range(CALLERS)]
        self.tally = Tally()
        self.heap: list[tuple[int, int, typing.Callable, tuple]] = []
        self.counter = itertools.count()
        self.warm_up = flows[len(flows) // 5].at
        self.end = flows[-1].at
        self.now = 0
        for flow in flows:
            self.at(flow.at, self.open, Flow(flow))
        for change in changes:
            self.at(change.at, self.change, change)
        self.at(0, self.tick)
        self.at(self.warm_up, self.sample)

    def at(self, when: int, what: typing.Callable, *arguments: typing.Any) -> None:
        """Have something happen at a time."""
        heapq.heappush(self.heap, (when, next(self.counter), what, arguments))

    def run(self) -> Tally:
        """Run until the last arrival has had its chance."""
        last = self.end + self.site.patience
        while self.heap and self.heap[0][0] <= last:
            self.now, _, what, arguments = heapq.heappop(self.heap)
            what(*arguments)
        return self.tally

    @property
    def counted(self) -> bool:
        """Whether the warm-up is over."""
        return self.now >= self.warm_up

    # Callers

    def open(self, flow: Flow) -> None:
        """Send an open to its place in the ranking, as a balancer does."""
        ranked = [n for n in flow.arrival.ranked if n in self.in_view]
        if flow.attempt == 0:
            self.tally.opens += self.counted
        if isinstance(self.setup.policy, Oracle):
            open_to = [n for n in self.nodes.values() if n.alive and not n.leaving]
            best = min(
                open_to, key=lambda n: (n.work + n.idle_flows.count(self.now) / n.slots, n.flows)
            )
            self.take(best, flow)
            return
        if not ranked:
            ranked = sorted(self.in_view)
        self.arrive(self.nodes[ranked[flow.attempt % len(ranked)]], flow)

    def arrive(self, node: Node, flow: Flow, visited: tuple[str, ...] = ()) -> None:
        """Let a sidecar keep the open or, as long as it may be, pass it on."""
        if not node.alive:
            if visited:
                self.tally.last_pass_to_dead = self.now
            self.lose(flow)
            return
        now = self.now
        if len(visited) >= self.setup.passes:
            self.take(node, flow)
            return
        siblings = [e for e in self.seen[node.name] if e.name not in visited]
        own = node.observed(now)
        chosen = placement.choose(
            self.setup.policy, flow.arrival.flow, own, node.table, siblings, now, self.chance
        )
        if chosen is None:
            self.take(node, flow)
            return
        if self.setup.count_sent:
            node.table.record_sent(chosen, now)
        self.tally.passed += self.counted
        self.at(now + HOP, self.arrive, self.nodes[chosen], flow, (*visited, node.name))

    def take(self, node: Node, flow: Flow) -> None:
        """Make the sidecar the home of the flow."""
        if node.leaving:
            self.tally.last_open_at_leaving = self.now
        flow.home = node
        node.flows += 1
        node.idle_flows.add(flow.arrival.flow, self.now)
        self.tell(node)
        self.ask_next(flow)

    def lose(self, flow: Flow) -> None:
        """Let the caller open again elsewhere: nothing was run, so nothing is broken."""
        self.tally.lost_opens += 1
        flow.attempt += 1
        self.at(self.now + REOPEN, self.open, flow)

    def ask_next(self, flow: Flow) -> None:
        """Have the caller send the flow's next request, or close it."""
        if flow.next >= len(flow.arrival.requests):
            flow.home.flows -= 1
            self.tell(flow.home)
            return
        pause, service = flow.arrival.requests[flow.next]
        flow.next += 1
        self.at(self.now + pause, self.ask, flow, service)

    def ask(self, flow: Flow, service: int) -> None:
        """Send a request for the first time."""
        self.tally.asked += self.counted
        key = flow.arrival.flow + bytes([flow.next])
        asked = Asked(key, flow, service, self.now, self.now + flow.arrival.patience)
        self.send(asked, budget.Backoff())

    def send(self, asked: Asked, backoff: budget.Backoff) -> None:
        """Bring a request to its home, and go by its verdict."""
        node = asked.flow.home
        if not node.alive:
            self.tally.ended_by_death += 1
            return
        node.idle_flows.remove(asked.flow.arrival.flow)
        deadline = asked.deadline if self.setup.early else 1 << 60
        would_end = self.would_end(node, asked)
        verdict = node.limiter.admit(asked.key, self.site.name, deadline, self.now, self.chance)
        if isinstance(verdict, limits.Run):
            self.start(node, asked)
        elif isinstance(verdict, limits.Queue):
            node.waiting[asked.key] = (asked, backoff)
        else:
            self.tally.needless += self.counted and would_end <= asked.deadline
            self.refused(asked, backoff, verdict)
        self.tell(node)

    def would_end(self, node: Node, asked: Asked) -> int:
        """Return when the request would end if it joined the queue, known to nobody real."""
        free = [self.running[key].finish_at for key in node.limiter.running]
        free += [self.now] * (node.slots - len(free))
        heapq.heapify(free)
        ahead = [node.waiting[w.key][0] for w in node.limiter.queue]
        for each in ahead:
            heapq.heappush(free, heapq.heappop(free) + node.takes(each.service))
        return max(self.now, free[0]) + node.takes(asked.service)

    def start(self, node: Node, asked: Asked) -> None:
        """Have the upstream run a request; it is cancelled at its deadline."""
        asked.finish_at = self.now + node.takes(asked.service)
        if self.setup.early:
            asked.finish_at = min(asked.finish_at, asked.deadline)
        self.running[asked.key] = asked
        self.at(asked.finish_at, self.finish, node, asked)

    def finish(self, node: Node, asked: Asked) -> None:
        """End a run, tell its caller, and start what waits."""
        del self.running[asked.key]
        if not node.alive:
            self.tally.ended_by_death += 1
            return
        node.runs += 1
        node.limiter.finish(asked.key, limits.Outcome.DONE, self.now)
        took = self.now - asked.sent
        if self.now < asked.deadline:
            self.budgets[asked.flow.arrival.caller].record_success()
            self.tally.done += asked.sent >= self.warm_up
            self.tally.good_at[self.now // 1000] += 1
            if self.counted:
                self.tally.latencies.append(took)
        else:
            self.tally.late += self.counted
        self.promote(node)
        self.ask_next(asked.flow)
        self.tell(node)

    def promote(self, node: Node) -> None:
        """Start what waits and answer what is given up."""
        promoted = node.limiter.promote(self.now, self.chance)
        for key in promoted.started:
            self.start(node, node.waiting.pop(key)[0])
        for each in promoted.refused:
            asked, backoff = node.waiting.pop(each.key)
            self.refused(asked, backoff, each.refusal)

    def refused(self, asked: Asked, backoff: budget.Backoff, answer: limits.Refuse) -> None:
        """Repeat a refused request when told to, if the budget and the deadline allow."""
        purse = self.budgets[asked.flow.arrival.caller]
        again = backoff.next_at(self.now, self.chance, answer.retry_at)
        if not self.setup.budgets:
            again = self.now + 10
        if again < asked.deadline and (not self.setup.budgets or purse.spend(self.now)):
            self.tally.repeats += self.counted
            self.at(again, self.send, asked, backoff)
            return
        self.tally.refused += asked.sent >= self.warm_up
        self.ask_next(asked.flow)

    # Sidecars

    def tell(self, node: Node) -> None:
        """Send the node's load to its siblings if it is due."""
        if not node.alive or not node.reporter.can_report(self.now, node.leaving):
            return
        told = node.observed(self.now)
        if not node.reporter.record_if_due(told, self.now):
            return
        for target in self.targets[node.name]:
            self.tally.reports += self.counted
            self.at(self.now + HOP, self.hear, target, told)

    def hear(self, node: Node, told: messages.LoadReport) -> None:
        """Let a node take in a report."""
        node.table.record_report(told, self.now)

    def tick(self) -> None:
        """Let time pass for every node, as a daemon's timer does."""
        for node in self.nodes.values():
            if node.alive:
                self.promote(node)
                self.tell(node)
        self.at(self.now + 50, self.tick)

    # What happens to upstreams

    def change(self, change: Change) -> None:
        """Change an upstream; balancers and sidecars hear of it `VIEW_LAG` later."""
        dispatch = {
            "join": self.join,
            "leave": self.leave,
            "die": self.die,
            "slow": self.slow,
            "lie": self.lie,
            "recover": self.recover,
        }
        dispatch[change.what](change.upstream)

    def join(self, name: str) -> None:
        """Start a cold upstream; its sidecar reports at once, the view follows."""
        node = Node(self.site, self.endpoints[name], self.setup, self.now)
        node.cold = True
        self.nodes[name] = node
        self.at(self.now + VIEW_LAG, self.enter_view, name)
        self.change_view()

    def enter_view(self, name: str) -> None:
        """Let the balancers know an upstream."""
        self.in_view.add(name)
        self.change_view()

    def leave_view(self, name: str) -> None:
        """Let the balancers forget an upstream."""
        self.in_view.discard(name)
        self.change_view()

    def leave(self, name: str) -> None:
        """Begin to drain an upstream."""
        self.nodes[name].leaving = True
        self.tell(self.nodes[name])
        self.at(self.now + VIEW_LAG, self.leave_view, name)

    def die(self, name: str) -> None:
        """Kill an upstream and its sidecar."""
        self.nodes[name].alive = False
        self.at(self.now + VIEW_LAG, self.leave_view, name)

    def slow(self, name: str) -> None:
        """Make an upstream five times slower."""
        self.nodes[name].slow = 5.0

    def lie(self, name: str) -> None:
        """Make an upstream claim to be overwhelmed, for ever."""
        self.nodes[name].reported_load.record_report(10**6, self.now)

    def recover(self, name: str) -> None:
        """End what `slow` began."""
        self.nodes[name].slow = 1.0

    def change_view(self) -> None:
        """Work out again who passes to whom and who reports to whom."""
        known = [n for n in self.nodes if n in self.in_view]
        for name, node in self.nodes.items():
            others = [self.endpoints[n] for n in known if n != name]
            self.seen[name] = others
            receivers = node.reporter.receivers(node.endpoint.key, others)
            self.targets[name] = [self.nodes[e.name] for e in receivers]

    # Measuring

    def sample(self) -> None:
        """Note how evenly work and flows lie on the upstreams that take any."""
        nodes = [n for n in self.nodes.values() if n.alive and not n.leaving]
        work = {n.name: n.work for n in nodes}
        mean = sum(work.values()) / len(work)
        if mean > 0:
            self.tally.work.append(max(work.values()) / mean)
        flows = [n.flows / n.slots for n in nodes]
        if sum(flows):
            self.tally.held.append(max(flows) * len(flows) / sum(flows))
        self.tally.samples.append((self.now, work))
        if self.now < self.end:
            self.at(self.now + max(10, self.site.service // 2), self.sample)


def run(
    site: Site,
    setup: Setup,
    offered: float,
    *,
    seed: int = 1,
    changes: typing.Sequence[Change] = (),
    spare: tuple[str, ...] = (),
) -> Tally:
    """Return what one run gave; the same seed gives the same arrivals to every setup."""
    flows = arrivals(site, offered, seed)
    return Model(site, setup, flows, changes=changes, spare=spare, seed=seed).run()
