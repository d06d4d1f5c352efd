"""Uneven load for the soak: bursts by route, slowed upstreams and a balancer's narrow link.

Loads overlap with one another and with the faults of the soak. They are drawn from a generator of
their own, so a seed draws the same faults with and without them.
"""

import collections
import math
import random
import time
import typing

from standins import ends, installation

KINDS = ("burst", "slow", "narrow")

LINK_MBPS = 2.0
"""Rate of the narrow link, in Mbit/s: a burst of the callers here exceeds it."""

NARROWED_SHARES = (1 / 4, 1 / 36)
"""Shares of its rate that a narrowed link is left with."""

SLOWED_MS = (100, 400)
"""Delays of the answers of a slowed upstream, in ms."""

MIN_LOAD_S, MAX_LOAD_S = 0.5, 2.5
"""Shortest and longest load, in s."""

MAX_PAUSE_S = 1.0
"""Longest time between the starts of two loads, in s."""

BURST_CALLERS_PER_S = 150
REQUESTS_PER_CALLER = 4
REQUEST_BYTES = 1_150
"""Length of a request of a burst, in bytes: nearly a full packet."""

BULK_ROUTE = ("198.18.0.2", 443)

ROUTES = {installation.ROUTE: installation.SERVICE, BULK_ROUTE: installation.SERVICE}

TRAITS: dict[tuple[str, int], dict[str, typing.Any]] = {
    installation.ROUTE: {
        "type": "safe",
        "latency_slo_ms": 300,
        "timeout_ms": 1_500,
        "priority": 1,
    },
    BULK_ROUTE: {
        "type": "upload",
        "latency_slo_ms": 1_000,
        "timeout_ms": 5_000,
        "priority": 2,
    },
}
"""Traits of each route's requests, by their names in the store."""


class Loads:
    """The loads of one run; `ends_at` has those under way, in s of the steady clock."""

    def __init__(self, running: installation.Installation, rng: random.Random):
        self.running = running
        self.rng = rng
        # Callers are as many as time allows; the loads drawn must not depend on their number.
        self.caller_rng = random.Random(rng.random())
        self.narrow = running.balancers[0]
        self.begin_by_kind = {
            "burst": self.begin_burst,
            "slow": self.begin_slow,
            "narrow": self.begin_narrow,
        }
        self.end_by_kind = {
            "burst": lambda: None,
            "slow": self.end_slow,
            "narrow": self.end_narrow,
        }
        self.ends_at: dict[str, float] = {}
        self.next_at = time.monotonic()
        self.burst_route = installation.ROUTE
        self.burst_from = 0.0
        self.callers: dict[int, ends.Caller] = {}
        self.requests_left: collections.Counter[int] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.served = 0

    def drive(self) -> list[ends.Caller]:
        """Begin and end loads that are due; return the callers that have ended since."""
        now = time.monotonic()
        for kind in [kind for kind, at in self.ends_at.items() if now >= at]:
            self.end(kind)
        if now >= self.next_at:
            self.begin(now)
        if "burst" in self.ends_at:
            self.add_callers(now)
        return self.drive_callers()

    def begin(self, now: float) -> None:
        """Begin a load of a random kind, unless one of the kind is under way."""
        self.next_at = now + self.rng.uniform(0, MAX_PAUSE_S)
        kind = self.rng.choice(KINDS)
        duration = self.rng.uniform(MIN_LOAD_S, MAX_LOAD_S)
        if kind in self.ends_at:
            return
        self.counts[kind] += 1
        self.ends_at[kind] = now + duration
        self.begin_by_kind[kind]()

    def end(self, kind: str) -> None:
        """End the load of a kind."""
        del self.ends_at[kind]
        self.end_by_kind[kind]()

    def end_all(self) -> None:
        """End every load."""
        for kind in list(self.ends_at):
            self.end(kind)

    def begin_burst(self) -> None:
        """Begin a burst of new flows to one route."""
        self.burst_route = self.rng.choice(sorted(ROUTES))
        self.burst_from = time.monotonic()

    def begin_slow(self) -> None:
        """Slow one upstream down."""
        self.rng.choice(self.running.sidecars).answer_delay_ms = self.rng.choice(SLOWED_MS)

    def end_slow(self) -> None:
        """Let every upstream answer at once."""
        for machine in self.running.sidecars:
            machine.answer_delay_ms = 0

    def begin_narrow(self) -> None:
        """Leave the narrow link with a share of its rate, while the settings state all of it."""
        self.running.set_link(self.narrow, LINK_MBPS * self.rng.choice(NARROWED_SHARES))

    def end_narrow(self) -> None:
        """Give the narrow link its rate back."""
        self.running.set_link(self.narrow, LINK_MBPS)

    def add_callers(self, now: float) -> None:
        """Add the callers of the burst that are due."""
        due = math.floor((now - self.burst_from) * BURST_CALLERS_PER_S)
        self.burst_from += due / BURST_CALLERS_PER_S
        for _ in range(due):
            through = self.caller_rng.choice(self.running.balancers)
            made = self.running.caller(through, self.request(), self.burst_route)
            self.callers[id(made)] = made
            self.requests_left[id(made)] = REQUESTS_PER_CALLER - 1

    def request(self) -> bytes:
        """Return a request of nearly a full packet."""
        return (b"%d" % self.caller_rng.randrange(1_000_000)).ljust(REQUEST_BYTES, b".")

    def drive_callers(self) -> list[ends.Caller]:
        """Send the next requests, close flows that have their answers; return ended callers."""
        ended = []
        for key, caller in list(self.callers.items()):
            if caller.waiting is None and not caller.over:
                self.continue_flow(key, caller)
            if caller.over:
                ended.append(caller)
                del self.callers[key]
                del self.requests_left[key]
        return ended

    def continue_flow(self, key: int, caller: ends.Caller) -> None:
        """Send the next request of a flow through any balancer, or close the flow."""
        self.served += 1
        if not self.requests_left[key]:
            self.running.close(caller)
            return
        self.requests_left[key] -= 1
        with self.running.lock:
            caller.through = self.caller_rng.choice(self.running.balancers)
            caller.ask(self.request(), installation.now_ms())
