"""Limit the rate of opens at an overloaded balancer, fairly across services and callers.

An overloaded balancer answers all its callers late, so it accepts only as many opens as its
capacity allows. Each service, and each caller within it, gets a max-min fair share of the capacity,
computed from estimated rates. Opens beyond the share are refused at random, in proportion to the
excess (Stoica, Shenker and Zhang, "Core-Stateless Fair Queueing", SIGCOMM 1998). Callers are hashed
into a bounded number of buckets (McKenney, "Stochastic Fairness Queueing", 1990). The salt of the
hash changes at intervals, so that no caller shares a bucket with a greedy one for long.

Times are in ms, rates in opens per second.
"""

import dataclasses
import math

import xxhash

from ebonystile.core import rng

MAX_SERVICES = 4096
"""Maximum number of services with their own rate; further ones share one."""

OTHER_SERVICES = "*"
"""The name under which further services are counted together."""

BUCKETS_PER_SERVICE = 64
"""Number of caller buckets per service."""

MAX_BUCKETS = 16_384
"""Maximum number of caller buckets in all services; further callers share one per service."""

RESALT_INTERVAL_MS = 20_000
"""Interval at which callers are hashed into other buckets."""

SHARE_INTERVAL_MS = 100
"""Shortest interval between two computations of the shares."""

RATE_WINDOW_MS = 1000.0
"""Time constant of the rate estimates."""

MIN_RATE = 0.01
"""A rate below this many opens per second is dropped."""


@dataclasses.dataclass(slots=True)
class Rate:
    """An exponentially averaged rate of opens per second."""

    value: float = 0.0
    updated_at: int = 0

    def add(self, now: int) -> float:
        """Count one open and return the rate."""
        self.value = self.decayed(now) + 1000.0 / RATE_WINDOW_MS
        self.updated_at = max(now, self.updated_at)
        return self.value

    def decayed(self, now: int) -> float:
        """Return the rate, decayed to time `now`."""
        return self.value * math.exp(-max(0, now - self.updated_at) / RATE_WINDOW_MS)


def fair_share(rates: list[float], capacity: float) -> float:
    """Return the share f for which the sum of min(rate, f) is the capacity, or infinity."""
    left = capacity
    for count, rate in enumerate(sorted(rates)):
        share = left / (len(rates) - count)
        if rate > share:
            return share
        left -= rate
    return math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The open is accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The open is refused; the caller may retry at `retry_at`."""

    reason: str
    retry_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The capacity of a balancer, which is reduced while packets wait longer than `max_lag_ms`."""

    opens_per_second: float = 5000.0
    max_lag_ms: int = 50
    min_retry_ms: int = 200
    max_retry_ms: int = 5000


@dataclasses.dataclass(slots=True)
class ServiceRates:
    """The rate of a service, and the rates and fair share of its callers by bucket."""

    rate: Rate
    caller_rates: dict[int, Rate]
    caller_share: float = math.inf


class Gate:
    """Admission control for the opens at a balancer."""

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.capacity = bounds.opens_per_second
        self.lag = 0
        self.total = Rate()
        self.services: dict[str, ServiceRates] = {}
        self.bucket_count = 0
        self.service_share = math.inf
        self.shares_updated_at: int | None = None
        self.pruned_at: int | None = None

    def observe(self, lag: int, now: int) -> None:
        """Record how long the last packet waited in the inbox, in ms."""
        self.lag = lag
        self.update(now)

    def admit(
        self, service: str, caller: str, deadline: int, now: int, randomness: rng.Rng
    ) -> Accept | Refuse:
        """Accept or refuse one open."""
        if now + self.lag >= deadline:
            return self.refuse("would be too late", now, randomness)
        self.update(now)
        self.total.add(now)
        entry = self.service_rates(service)
        rate = entry.rate.add(now)
        caller_rate = self.bucket_rate(entry, caller, now).add(now)
        allowed = entry.caller_share / caller_rate
        if entry.caller_share == math.inf:
            allowed = self.service_share / rate
        if allowed < 1.0 and randomness.random() >= allowed:
            return self.refuse("balancer overloaded", now, randomness)
        return Accept()

    def service_rates(self, service: str) -> ServiceRates:
        """Return the record of a service, or the shared one beyond `MAX_SERVICES`."""
        if service not in self.services and len(self.services) >= MAX_SERVICES:
            service = OTHER_SERVICES
        if service not in self.services:
            self.services[service] = ServiceRates(Rate(), {})
        return self.services[service]

    def bucket_rate(self, entry: ServiceRates, caller: str, now: int) -> Rate:
        """Return the rate of a caller's bucket, or of a shared one beyond `MAX_BUCKETS`."""
        bucket = (
            xxhash.xxh3_64_intdigest(caller.encode(), seed=now // RESALT_INTERVAL_MS)
            % BUCKETS_PER_SERVICE
        )
        if bucket not in entry.caller_rates:
            if self.bucket_count >= MAX_BUCKETS:
                bucket = 0
            if bucket not in entry.caller_rates:
                entry.caller_rates[bucket] = Rate()
                self.bucket_count += 1
        return entry.caller_rates[bucket]

    def refuse(self, reason: str, now: int, randomness: rng.Rng) -> Refuse:
        """Return a refusal with a random retry time."""
        bounds = self.bounds
        return Refuse(
            reason, now + int(randomness.uniform(bounds.min_retry_ms, bounds.max_retry_ms))
        )

    def update(self, now: int) -> None:
        """Update the capacity and the shares, at most once per `SHARE_INTERVAL_MS`.

        The configured capacity may be too high for this machine, so the effective one shrinks
        while the inbox lags and grows back slowly.
        """
        if self.shares_updated_at is not None and now - self.shares_updated_at < SHARE_INTERVAL_MS:
            return
        self.shares_updated_at = now
        if self.lag > self.bounds.max_lag_ms:
            self.capacity = max(self.capacity * 0.8, self.bounds.opens_per_second / 20)
        else:
            self.capacity = min(self.capacity * 1.05, self.bounds.opens_per_second)
        self.prune(now)
        if self.total.decayed(now) > self.capacity or self.service_share < math.inf:
            self.compute_shares(now)

    def compute_shares(self, now: int) -> None:
        """Compute the share of each service, and of the callers of services that exceed it."""
        rates = [entry.rate.decayed(now) for entry in self.services.values()]
        self.service_share = fair_share(rates, self.capacity)
        for entry, rate in zip(self.services.values(), rates, strict=True):
            entry.caller_share = math.inf
            if rate > self.service_share:
                callers = [r.decayed(now) for r in entry.caller_rates.values()]
                entry.caller_share = fair_share(callers, self.service_share)

    def prune(self, now: int) -> None:
        """Drop rates that have decayed, at most once per `RATE_WINDOW_MS`, to bound the tables."""
        if self.pruned_at is not None and now - self.pruned_at < RATE_WINDOW_MS:
            return
        self.pruned_at = now
        for name, entry in list(self.services.items()):
            if entry.rate.decayed(now) < MIN_RATE:
                del self.services[name]
                continue
            kept = {b: r for b, r in entry.caller_rates.items() if r.decayed(now) >= MIN_RATE}
            entry.caller_rates = kept
        self.bucket_count = sum(len(entry.caller_rates) for entry in self.services.values())
