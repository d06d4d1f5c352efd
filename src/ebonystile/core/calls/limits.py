"""Limit the concurrency and the queue of one upstream, and refuse late requests early.

A request that cannot end by its deadline would waste a slot and end with an unknown outcome, so it
is refused on arrival with a retry time. Times are in ms.
"""

import bisect
import dataclasses
import enum
import typing

from ebonystile.core import rng

Key = typing.Hashable
"""Identifies a request; in a sidecar it is the ledger's key."""

MAX_SERVICES = 64
"""Maximum number of services with their own estimate; further ones share one."""

ESTIMATE_WEIGHT = 1 / 16
"""Weight of the newest service time in the estimate."""

SHRINK_FACTOR = 0.7
"""Factor applied to the concurrency when the upstream sheds a request."""


class Order(enum.Enum):
    """The order in which queued requests run."""

    FIFO = "fifo"
    DEADLINE = "deadline"


class Outcome(enum.Enum):
    """How a run ended: with an answer, shed by the upstream, or without an answer."""

    DONE = "done"
    SHED = "shed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request holds a slot and is to be sent to the upstream now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """The request is queued; `start_by` is when it is expected to get a slot."""

    start_by: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused; the caller may retry at `retry_at`."""

    reason: str
    retry_at: int


Verdict = Run | Queue | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A queued request that is refused."""

    key: Key
    refusal: Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Promoted:
    """The queued requests that start now, and those that are refused."""

    started: list[Key]
    refused: list[Refused]


@dataclasses.dataclass(order=True, slots=True)
class QueuedRequest:
    """A queued request; the queue is sorted by `rank`."""

    rank: tuple[int, int]
    key: Key = dataclasses.field(compare=False)
    service: str = dataclasses.field(compare=False)
    deadline: int = dataclasses.field(compare=False)
    admitted_at: int = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A running request; times are in ms."""

    service: str
    started_at: int
    admitted_at: int


class Estimates:
    """Smoothed service times by service, in ms."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def record(self, service: str, duration_ms: int) -> None:
        """Record one service time in ms."""
        if service not in self.means and len(self.means) >= MAX_SERVICES:
            service = ""
        mean = self.means.get(service)
        self.means[service] = (
            duration_ms if mean is None else mean + (duration_ms - mean) * ESTIMATE_WEIGHT
        )

    def mean(self, service: str) -> float:
        """Return the estimate of a service, or 0 without one."""
        return self.means.get(service, self.means.get("", 0.0))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one upstream; `adaptive` reduces the concurrency while the upstream sheds.

    `min_retry_ms` and `max_retry_ms` are the shortest and longest retry delay of a refused
    caller, in ms.
    """

    slots: int = 2
    max_queued: int = 16
    order: Order = Order.FIFO
    adaptive: bool = True
    min_retry_ms: int = 50
    max_retry_ms: int = 10_000


class Limiter:
    """The slots and the queue of one upstream.

    Every admitted request is removed by exactly one of `finish`, `cancel`, `withdraw`, `expire` or
    `refuse_queued`; a request that none of them removes keeps its slot. `promote` calls `expire`.
    """

    def __init__(self, limits: Limits):
        self.limits = limits
        self.running: dict[Key, Started] = {}
        self.queue: list[QueuedRequest] = []
        self.estimates = Estimates()
        self.concurrency = float(limits.slots)
        self.shrunk_at: int | None = None
        self.next_retry_at = 0
        self.sequence = 0
        self.mean_latency = 0.0

    @property
    def free_slots(self) -> int:
        """Return how many requests may start now; negative after a reduction of the concurrency."""
        return max(1, int(self.concurrency)) - len(self.running)

    def admit(
        self, key: Key, service: str, deadline: int, now: int, randomness: rng.Rng
    ) -> Verdict:
        """Start, queue or refuse a request that was not admitted before.

        With a free slot it starts regardless of the estimate: a wrong estimate could otherwise
        refuse every request and would never be corrected.
        """
        if deadline <= now:
            return self.refuse("deadline passed", now, randomness)
        if self.free_slots > 0 and not self.queue:
            self.running[key] = Started(service, now, now)
            return Run()
        if len(self.queue) >= self.limits.max_queued:
            return self.refuse("queue full", now, randomness)
        waiting = QueuedRequest(self.rank(deadline), key, service, deadline, now)
        place = bisect.bisect(self.queue, waiting)
        start_by = now + self.expected_wait(place, now)
        if start_by + self.estimates.mean(service) > deadline:
            return self.refuse("would be too late", now, randomness)
        self.queue.insert(place, waiting)
        return Queue(start_by)

    def rank(self, deadline: int) -> tuple[int, int]:
        """Return the sort key of a new request in the queue."""
        self.sequence += 1
        return (deadline if self.limits.order is Order.DEADLINE else 0, self.sequence)

    def expected_wait(self, ahead: int, now: int) -> int:
        """Return the expected wait of a request with `ahead` queued before it, in ms."""
        if self.free_slots > ahead:
            return 0
        remaining = 0.0
        for started in self.running.values():
            mean = self.estimates.mean(started.service)
            remaining += max(mean - (now - started.started_at), mean / 4)
        remaining += sum(self.estimates.mean(w.service) for w in self.queue[:ahead])
        return int(remaining / max(1, int(self.concurrency)))

    def refuse(self, reason: str, now: int, randomness: rng.Rng) -> Refuse:
        """Return a refusal whose `retry_at` prevents synchronized retries.

        Refused callers get consecutive retry times, spaced by the expected time per request, so
        that they return at about the rate that the upstream serves. Once these times reach the
        longest delay, retries are spread at random over the whole interval.
        """
        mean = max((self.estimates.mean(s.service) for s in self.running.values()), default=0.0)
        step = max(mean, 1.0) / max(1, int(self.concurrency))
        soonest = now + max(self.limits.min_retry_ms, self.expected_wait(len(self.queue), now))
        self.next_retry_at = int(max(self.next_retry_at, soonest) + step)
        latest = now + self.limits.max_retry_ms
        if self.next_retry_at > latest:
            self.next_retry_at = latest
            return Refuse(reason, int(randomness.uniform(min(soonest, latest), latest)))
        return Refuse(reason, int(self.next_retry_at + randomness.uniform(0, step)))

    def promote(self, now: int, randomness: rng.Rng) -> Promoted:
        """Start queued requests while slots are free; refuse those past their deadline."""
        promoted = Promoted([], self.expire(now, randomness))
        while self.queue and self.free_slots > 0:
            waiting = self.queue.pop(0)
            self.running[waiting.key] = Started(waiting.service, now, waiting.admitted_at)
            promoted.started.append(waiting.key)
        return promoted

    def expire(self, now: int, randomness: rng.Rng) -> list[Refused]:
        """Remove and refuse the queued requests past their deadline."""
        late = [w for w in self.queue if w.deadline <= now]
        if late:
            self.queue = [w for w in self.queue if w.deadline > now]
        return [Refused(w.key, self.refuse("deadline passed", now, randomness)) for w in late]

    def refuse_queued(
        self,
        reason: str,
        now: int,
        randomness: rng.Rng,
        services: typing.Container[str] | None = None,
    ) -> list[Refused]:
        """Remove and refuse the queued requests of the services, or of all services if None."""
        queued = [w for w in self.queue if services is None or w.service in services]
        self.queue = [w for w in self.queue if not (services is None or w.service in services)]
        return [Refused(w.key, self.refuse(reason, now, randomness)) for w in queued]

    def finish(self, key: Key, outcome: Outcome, now: int) -> bool:
        """Free the slot of a run that ended; return whether it held one."""
        started = self.running.pop(key, None)
        if started is None:
            return False
        if outcome is Outcome.DONE:
            self.estimates.record(started.service, now - started.started_at)
            self.mean_latency += (now - started.admitted_at - self.mean_latency) / 8
            grown = self.concurrency + 1 / max(1.0, self.concurrency)
            self.concurrency = min(float(self.limits.slots), grown)
        elif outcome is Outcome.SHED:
            self.shrink(started, now)
        return True

    def shrink(self, started: Started, now: int) -> None:
        """Reduce the concurrency, unless the run started before the last reduction.

        Additive increase, multiplicative decrease (Chiu and Jain, 1989).
        """
        if not self.limits.adaptive:
            return
        if self.shrunk_at is not None and started.started_at <= self.shrunk_at:
            return
        self.shrunk_at = now
        self.concurrency = max(1.0, self.concurrency * SHRINK_FACTOR)

    def cancel(self, key: Key) -> bool:
        """Free the slot or the place in the queue; return whether the request had one."""
        return self.running.pop(key, None) is not None or self.withdraw(key)

    def withdraw(self, key: Key) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        kept = [w for w in self.queue if w.key != key]
        held = len(kept) < len(self.queue)
        self.queue = kept
        return held
