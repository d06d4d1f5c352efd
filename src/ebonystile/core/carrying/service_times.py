"""Estimate how long requests run at one upstream, by route, from when a slot was free for them.

The time that a request waits for a slot is left out: balancers derive it from the number of running
requests, and the latency of a busy upstream would count it twice.
"""

import dataclasses

from ebonystile.core.carrying import packet

MAX_ROUTES = 256
"""Routes whose times are kept; a further one evicts the least recently used."""

WORK_WINDOW_REQUESTS = 64
"""Window of the moving average of a route's work, in requests."""

SLOWNESS_WINDOW_REQUESTS = 16
"""Window of the moving average of the slowness, in requests: about a second at a busy upstream.
It is shorter than that of the work, so that a slowdown is not taken for a change of one route."""

MAX_RATIO = 8
"""A sample counts as at most this many times the expected time, so that a single pause of the
instance does not keep new flows away, and is dropped if it is this many times shorter."""

MIN_SAMPLE_MS = 1
"""Lower bound of a sample in ms, the resolution of the clock."""

RUNNING_WEIGHT = 0.25
"""Weight of a request that has run for too long and is not answered yet. One that takes twice as
long as usual is within the difference that balancers ignore."""

STALE_MS = 5_000
"""Time in ms after a route's last sample after which its service time counts as unknown, so that an
upstream that gets no requests of the route is tried again."""


@dataclasses.dataclass(slots=True)
class RouteWork:
    """The average work of a route's requests, in ms at a slowness of 1, over `count` samples.

    `sampled_at` is when the last one was recorded, in ms.
    """

    work_ms: float
    sampled_at: int
    count: int = 1

    def add(self, work_ms: float) -> None:
        """Add a sample in ms to the moving average."""
        self.count = min(self.count + 1, WORK_WINDOW_REQUESTS)
        self.work_ms += (work_ms - self.work_ms) / self.count


class SlotTracker:
    """Which requests occupy the slots of one upstream, and which wait, first in, first out.

    `running` holds when a slot was free for each request, `waiting` when each arrived, both in ms
    and oldest first. `partial` holds the requests of several packets, which may be incomplete.
    """

    def __init__(self, slots: int = 1) -> None:
        self.slots = slots
        self.running: dict[packet.Flow, int] = {}
        self.waiting: dict[packet.Flow, int] = {}
        self.partial: set[packet.Flow] = set()
        self.released_at = 0

    def arrive(self, flow: packet.Flow, now: int) -> None:
        """Record a packet of a request; the request arrives with its last one."""
        if self.release(flow, now) is not None:
            self.partial.add(flow)
        has_free_slot = len(self.running) < self.slots
        (self.running if has_free_slot else self.waiting)[flow] = now

    def release(self, flow: packet.Flow, now: int) -> int | None:
        """Record the end of a flow's request; return when a slot was free for it, None without one.

        An upstream may answer a request that counts as waiting, as one that counts as running may
        be incomplete. A slot was then free at the latest end of another request.
        """
        self.partial.discard(flow)
        since = self.running.pop(flow, None)
        if since is None:
            arrived_at = self.waiting.pop(flow, None)
            since = None if arrived_at is None else max(arrived_at, self.released_at)
        if since is not None:
            self.released_at = now
            self.start_waiting(now)
        return since

    def start_waiting(self, now: int) -> None:
        """Let the oldest waiting requests occupy the free slots."""
        while self.waiting and len(self.running) < self.slots:
            flow = next(iter(self.waiting))
            del self.waiting[flow]
            self.running[flow] = now

    def oldest(self) -> tuple[packet.Flow, int] | None:
        """Return the running request that is oldest and since when it runs, None if incomplete."""
        found: tuple[packet.Flow, int] | None = next(iter(self.running.items()), None)
        if found is None or found[0] in self.partial:
            return None
        return found


class ServiceTimes:
    """The service times at one upstream: the work of each route times the upstream's slowness.

    The routes share the slowness, so a slowdown seen on one route applies to all at once. A route
    without samples is unknown: if the mean of other routes stood for it, an upstream that has only
    had long requests would get no short ones, and would never find out that they are short.
    """

    def __init__(self) -> None:
        self.by_route: dict[bytes, RouteWork] = {}
        self.slowness = 1.0

    def record(self, route: bytes, took_ms: int, now: int) -> None:
        """Record that a request of the route ran for `took_ms`; one far too short is left out."""
        if self.is_far_too_fast(route, took_ms):
            return
        sample_ms: float = max(MIN_SAMPLE_MS, took_ms)
        work = self.by_route.pop(route, None)
        if work is None:
            work = RouteWork(sample_ms / self.slowness, now)
        else:
            sample_ms = min(sample_ms, MAX_RATIO * self.expected_ms(work))
            self.add_sample(work, sample_ms)
        work.sampled_at = now
        self.put(route, work)

    def add_sample(self, work: RouteWork, sample_ms: float) -> None:
        """Add a sample to the work of a route and to the slowness."""
        slowness = sample_ms / work.work_ms
        work.add(sample_ms / self.slowness)
        self.slowness += (slowness - self.slowness) / SLOWNESS_WINDOW_REQUESTS

    def put(self, route: bytes, work: RouteWork) -> None:
        """Store the work of the most recently used route."""
        if len(self.by_route) >= MAX_ROUTES:
            del self.by_route[next(iter(self.by_route))]
        self.by_route[route] = work

    def expected_ms(self, work: RouteWork) -> float:
        """Return the service time of requests with this work, in ms."""
        return work.work_ms * self.slowness

    def is_far_too_fast(self, route: bytes, took_ms: float) -> bool:
        """Return whether a service time is far shorter than the route's, False if that is unknown.

        Routes differ in their work: a short request must not be taken for an error because the
        requests of other routes are long.
        """
        work = self.by_route.get(route)
        return work is not None and took_ms < self.expected_ms(work) / MAX_RATIO

    def estimate_ms(self, route: bytes, slots: SlotTracker, now: int) -> float:
        """Return the expected service time of a request of the route, in ms, 0 if unknown."""
        work = self.by_route.get(route)
        if work is None or now - work.sampled_at >= STALE_MS:
            return 0.0
        return self.expected_ms(work) * self.overrun(slots, now)

    def overrun(self, slots: SlotTracker, now: int) -> float:
        """Return the factor for the request that has run longest, 1 unless it has run too long."""
        oldest = slots.oldest()
        if oldest is None:
            return 1.0
        flow, since = oldest
        work = self.by_route.get(packet.route_endpoint(flow))
        if work is None:
            return 1.0
        ratio = min(MAX_RATIO, (now - since) / self.expected_ms(work))
        return 1 + RUNNING_WEIGHT * max(0.0, ratio - 1)
