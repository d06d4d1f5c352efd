"""Upstream stand-in: serves the API of docs/UPSTREAM.md and counts runs by request id."""

import argparse
import dataclasses
import json
import random
import sys
import threading
import typing

import cbor2

from standins import answers, reports, slots, web

STOP_TIMEOUT_MS = 60_000
"""How long to wait for running requests after SIGTERM."""

MAX_EVENTS = 1000
"""Maximum number of events in one response."""

SHED_RETRY_MS = 50
"""Retry delay sent with a shed request, times one more than the queued jobs."""


@dataclasses.dataclass(slots=True)
class Pace:
    """Draws service times from a seeded log-normal distribution, longer during slow start."""

    service_ms: float
    spread: float
    cold_ms: int
    cold_requests: int
    cold_factor: float
    seed: int
    started: int = 0
    served: int = 0
    source: random.Random = dataclasses.field(init=False)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self.source = random.Random(self.seed)

    def in_slow_start(self, now: int) -> bool:
        """Return whether the upstream is still in slow start."""
        return now < self.started + self.cold_ms or self.served < self.cold_requests

    def draw(self, now: int) -> int:
        """Return the service time of the next request in milliseconds."""
        with self.lock:
            factor = self.cold_factor if self.in_slow_start(now) else 1.0
            self.served += 1
            return round(self.service_ms * factor * self.source.lognormvariate(0, self.spread))


class Upstream:
    """Handles requests as an upstream does; the `standin/` paths are for tests."""

    def __init__(self, options: argparse.Namespace):
        self.name = options.name
        self.services = frozenset(options.service)
        self.connection_limit = options.connections
        self.slots = slots.Slots(options.slots, options.queue)
        self.pace = Pace(
            options.service_ms,
            options.spread,
            options.cold_ms,
            options.cold_requests,
            options.cold_factor,
            options.seed,
            web.now_ms(),
        )
        self.feed_start = options.feed_start
        self.feed_interval = options.feed_interval
        self.health = reports.Reporter()
        self.load = reports.Reporter()
        self.wrong_service = 0
        self.stopping = threading.Event()
        self.frozen = threading.Event()
        self.server: web.Server | None = None

    def answer(self, query: web.Query) -> web.Answer:
        """Return the response to an HTTP request."""
        head, _, rest = query.path.partition("/")
        route = self.routes().get((query.method, head))
        if route is None:
            return web.json_answer({"error": "no such path"}, 404, X_Not_Run="1")
        while self.frozen.is_set() and head != "standin":
            if self.stopping.wait(0.01):
                return web.Answer(cut=True)
        return route(query, rest)

    def routes(self) -> dict[tuple[str, str], typing.Callable[[web.Query, str], web.Answer]]:
        """Return the handler of each method and first path segment."""
        return {
            ("POST", "requests"): self.run,
            ("DELETE", "requests"): self.cancel,
            ("GET", "feeds"): self.events,
            ("GET", "health"): self.get_health,
            ("GET", "load"): self.get_load,
            ("POST", "drain"): self.drain,
            ("GET", "standin"): self.get_runs,
            ("POST", "standin"): self.set_faults,
        }

    def run(self, query: web.Query, path: str) -> web.Answer:
        """Run a request in a slot and return its result."""
        request = bytes.fromhex(query.headers["x-request-id"]).hex()
        deadline = int(query.headers["x-deadline"])
        idempotent = {"0": False, "1": True}[query.headers["x-idempotent"]]
        service = query.headers["x-service"]
        if service not in self.services:
            return self.refuse_service()
        if self.server and self.server.connections > self.connection_limit:
            return self.refuse(slots.Outcome.SHED)
        job = slots.Job(request, deadline, idempotent)
        outcome = self.slots.run(job, self.pace.draw(web.now_ms()))
        if outcome is not slots.Outcome.DONE:
            return self.refuse(outcome)
        if path.startswith(answers.BULK_PREFIX):
            size = int(path.removeprefix(answers.BULK_PREFIX))
            return web.Answer(200, answers.bulk(request, size), "application/octet-stream")
        return web.Answer(200, answers.receipt(request, self.name, service, path, query.body))

    def refuse_service(self) -> web.Answer:
        """Refuse a request for a service that this upstream does not serve."""
        self.wrong_service += 1
        return web.json_answer({"error": "wrong service"}, 421, X_Not_Run="1")

    def refuse(self, outcome: slots.Outcome) -> web.Answer:
        """Return an error response that says why, and whether the request was started."""
        headers = {"X-Not-Run": "0" if outcome.ran else "1"}
        status = 499
        if outcome is slots.Outcome.SHED:
            status = 503
            wait = SHED_RETRY_MS * (1 + len(self.slots.waiting))
            headers["Retry-After-Ms"] = str(wait)
        elif outcome in (slots.Outcome.LATE, slots.Outcome.LATE_RUNNING):
            status = 504
        body = json.dumps({"error": outcome.value}).encode()
        return web.Answer(status, body, headers=headers)

    def cancel(self, query: web.Query, request: str) -> web.Answer:
        """Cancel a request, queued or running."""
        return web.json_answer({"was": self.slots.cancel(request)})

    def events(self, query: web.Query, path: str) -> web.Answer:
        """Return the events after a position; wait up to `wait_ms` if there are none yet."""
        service = query.headers["x-service"]
        if service not in self.services:
            return self.refuse_service()
        feed = answers.Feed(service, self.feed_start, self.feed_interval)
        after = query.number("after", 0)
        limit = min(query.number("limit", MAX_EVENTS), MAX_EVENTS)
        wait_until = web.now_ms() + query.number("wait_ms", 0)
        next_at = min(wait_until, feed.due(after + 1))
        self.stopping.wait(max(0, next_at - web.now_ms()) / 1000)
        last = min(after + limit, feed.latest(web.now_ms()))
        events = [[n, feed.event(path, n)] for n in range(after + 1, last + 1)]
        return web.Answer(200, cbor2.dumps(events), "application/cbor")

    def get_health(self, query: web.Query, rest: str) -> web.Answer:
        """Return the health report, altered by the injected faults."""
        now = web.now_ms()
        draining = self.slots.draining
        truth = {"ok": True, "draining": draining, "cold": self.pace.in_slow_start(now)}
        return web.json_answer(self.health.report(now, truth))

    def get_load(self, query: web.Query, rest: str) -> web.Answer:
        """Return the load report, altered by the injected faults."""
        truth = {
            "running": len(self.slots.running),
            "queued": len(self.slots.waiting),
            "slots": self.slots.slots,
            "connections": self.server.connections if self.server else 0,
            "connection_limit": self.connection_limit,
        }
        return web.json_answer(self.load.report(web.now_ms(), truth))

    def drain(self, query: web.Query, rest: str) -> web.Answer:
        """Start draining."""
        self.slots.drain()
        return web.json_answer({"draining": True})

    def counts(self) -> dict[str, typing.Any]:
        """Return the run counts that the tests and the demo check."""
        with self.slots.condition:
            return {
                "name": self.name,
                "runs": dict(self.slots.runs),
                "non_idempotent": sorted(self.slots.non_idempotent),
                "wrong_service": self.wrong_service,
                "most_running": self.slots.most_running,
                "busy_ms": self.slots.busy_ms,
            }

    def get_runs(self, query: web.Query, rest: str) -> web.Answer:
        """Return the run counts."""
        return web.json_answer(self.counts())

    def set_faults(self, query: web.Query, rest: str) -> web.Answer:
        """Set the injected faults; those not given are cleared."""
        faults = query.json()
        self.health.set_faults(
            faults.get("health_lag_ms", 0),
            faults.get("freeze_health", False),
            faults.get("lie_health"),
        )
        self.load.set_faults(
            faults.get("load_lag_ms", 0), faults.get("freeze_load", False), faults.get("lie_load")
        )
        self.pace.service_ms = faults.get("service_ms", self.pace.service_ms)
        if faults.get("freeze", False):
            self.frozen.set()
        else:
            self.frozen.clear()
        return web.json_answer({})

    def stop(self) -> None:
        """Start draining and end waiting feed reads."""
        self.slots.drain()
        self.stopping.set()


def make_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(prog="standins.upstream", description=__doc__)
    web.port_option(parser)
    add = parser.add_argument
    add("--name", required=True, help="name of the instance")
    add("--service", action="append", required=True, help="service that it serves; may be repeated")
    add("--slots", type=int, default=2, help="requests that run at one time")
    add("--queue", type=int, default=4, help="requests that wait for a slot")
    add("--connections", type=int, default=2000, help="connection limit")
    add("--service-ms", type=float, default=10, help="median service time")
    add("--spread", type=float, default=0.0, help="sigma of the log-normal service time; 0: fixed")
    add("--seed", type=int, default=0, help="seed of the service times")
    add("--cold-ms", type=int, default=0, help="duration of slow start after the start, in ms")
    add("--cold-requests", type=int, default=0, help="number of requests in slow start")
    add("--cold-factor", type=float, default=5.0, help="factor on service times during slow start")
    add("--feed-start", type=int, default=0, help="time of position 0 of all feeds, ms since epoch")
    add("--feed-interval", type=int, default=1000, help="time from one event to the next, in ms")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Serve until SIGTERM, print the counts; return 0 if all running requests finished."""
    options = make_parser().parse_args(arguments)
    app = Upstream(options)
    app.server = web.Server(options.port, app)
    finished = web.serve(app.server, app.stop, STOP_TIMEOUT_MS)
    print(f"counts {json.dumps(app.counts())}", flush=True)
    return 0 if finished else 1


if __name__ == "__main__":
    sys.exit(main())
