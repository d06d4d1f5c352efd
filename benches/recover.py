"""Measure how long latency stays bad after a sidecar was slow for a while.

A small system of real processes: callers keep feeds and ask again and again; one sidecar gets only
one part in `factor` of its processor for some seconds, then all of it again. Printed are the
latencies of each second, and the time from the end of the slow-down to the first of three good
seconds. A recovery that takes longer than the slow-down's own backlog explains is a system that
keeps itself busy.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import multiprocessing
import signal
import statistics
import sys
import time

from ebonystile import clock, errors
from ebonystile.caller import client
from ebonystile.core.calls import progress
from standins import processes, system, web

SERVICE = "line-status"
UPSTREAMS, BALANCERS = 2, 2
SLICE_S = 0.02
"""Period in which the slow sidecar runs for its part and is stopped for the rest."""

ARRIVAL_S, WARM_UP_S, SLOW_S = 3, 10, 10
CALLER_PROCESSES = 4
"""Callers of one process share its processor; four keep up with 200 feeds."""

GOOD_SECONDS = 3
GOOD_RATIO = 2.0
"""A second is good if 95% of its requests take at most so many times as long as before."""

FEED_INTERVAL_MS = 500
DEADLINE_MS, OPEN_MS = 15_000, 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request: when it was sent, in s from the start, and how long it took, in ms."""

    at: float
    took_ms: int
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the callers of one process do; `started` and `ends` in s of the monotonic clock."""

    balancers: list[tuple[str, int]]
    users: int
    pause_s: float
    started: float
    ends: float


def use_all(plan: Plan) -> list[Sample]:
    """Be all callers of one process; return their requests."""
    caller = client.make_caller(lambda: plan.balancers)
    with concurrent.futures.ThreadPoolExecutor(plan.users) as pool:
        numbers = range(plan.users)
        found = [pool.submit(use, caller, plan, number) for number in numbers]
        return [sample for future in found for sample in future.result()]


def use(caller: client.Caller, plan: Plan, number: int) -> list[Sample]:
    """Be one caller with a flow, a feed, and a request after every pause."""
    time.sleep(ARRIVAL_S * number / plan.users)
    flow = open_flow(caller)
    feed = flow.subscribe(f"feeds/{number}")
    samples = []
    while time.monotonic() < plan.ends:
        at, began = time.monotonic() - plan.started, clock.now()
        body = b"report %d %d" % (number, began)
        asked = flow.submit("reports", body, began + DEADLINE_MS, idempotent=False)
        answered = asked.result().outcome is progress.Outcome.ANSWERED
        samples.append(Sample(at, clock.now() - began, answered))
        next_at = clock.now() + round(1000 * plan.pause_s)
        while clock.now() < next_at:
            feed.next(next_at)
    return samples


def open_flow(caller: client.Caller) -> client.Flow:
    """Open a flow, coming back when told to."""
    while True:
        try:
            return caller.open(SERVICE, clock.now() + OPEN_MS)
        except errors.NotRunError as error:
            time.sleep(clock.seconds_until(error.retry_at))


def throttle(child: processes.Child, factor: int, until: float) -> None:
    """Let a process run for one part in `factor` of the time."""
    while time.monotonic() < until:
        child.signal(signal.SIGSTOP)
        time.sleep(SLICE_S * (1 - 1 / factor))
        child.signal(signal.SIGCONT)
        time.sleep(SLICE_S / factor)


def percentile(samples: list[Sample], share: float) -> int:
    """Return the latency in ms that a share of the requests keeps."""
    ordered = sorted(s.took_ms for s in samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def by_second(samples: list[Sample]) -> dict[int, list[Sample]]:
    """Return the requests by the second in which they were sent."""
    seconds: dict[int, list[Sample]] = {}
    for sample in samples:
        seconds.setdefault(int(sample.at), []).append(sample)
    return seconds


def recovery_s(samples: list[Sample], usual: int, ended: float) -> int | None:
    """Return after how many seconds the first of the good ones comes; None if none does."""
    seconds = by_second(samples)
    good = 0
    for second in range(int(ended), max(seconds)):
        here = seconds.get(second, [])
        fine = here and all(s.answered for s in here)
        good = good + 1 if fine and percentile(here, 0.95) <= GOOD_RATIO * usual else 0
        if good == GOOD_SECONDS:
            return second - GOOD_SECONDS + 1 - int(ended)
    return None


def measure(options: argparse.Namespace, factor: int) -> dict:
    """Run the system once and return its figures."""
    with processes.Children() as children:
        running = system.System(children)
        running.publish_services({SERVICE: {"app": SERVICE}})
        for number in range(BALANCERS):
            running.start_balancer(f"b{number}", "a")
        sidecars = []
        for number in range(UPSTREAMS):
            upstream = children.start_upstream(
                f"u{number}",
                SERVICE,
                *("--feed-start", web.now_ms(), "--feed-interval", FEED_INTERVAL_MS),
            )
            running.label(f"u{number}", {"app": SERVICE, "zone": "a"})
            sidecars.append(running.start_sidecar(f"u{number}", "a", upstream))
        balancers = running.addresses()
        started = time.monotonic()
        ends = started + WARM_UP_S + SLOW_S + options.watch_s
        shares = [options.users // CALLER_PROCESSES] * CALLER_PROCESSES
        plans = [Plan(balancers, share, options.pause_s, started, ends) for share in shares]
        context = multiprocessing.get_context("spawn")
        with concurrent.futures.ProcessPoolExecutor(CALLER_PROCESSES, context) as pool:
            using = [pool.submit(use_all, plan) for plan in plans]
            time.sleep(max(0, started + WARM_UP_S - time.monotonic()))
            throttle(sidecars[0].child, factor, started + WARM_UP_S + SLOW_S)
            ended = time.monotonic() - started
            samples = [sample for future in using for sample in future.result()]
    usual = percentile([s for s in samples if ARRIVAL_S + 2 < s.at < WARM_UP_S], 0.95)
    slow = [s for s in samples if WARM_UP_S <= s.at < ended]
    return {
        "factor": factor,
        "users": options.users,
        "usual_p95_ms": usual,
        "slow_median_ms": statistics.median(s.took_ms for s in slow),
        "slow_p95_ms": percentile(slow, 0.95),
        "unanswered": sum(not s.answered for s in samples),
        "recovery_s": recovery_s(samples, usual, ended),
        "p95_by_second": {k: percentile(v, 0.95) for k, v in sorted(by_second(samples).items())},
    }


def main() -> None:
    """Measure each factor and print one JSON line for it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--factors", type=int, nargs="+", default=[5, 20])
    parser.add_argument("--users", type=int, default=40)
    parser.add_argument("--pause-s", type=float, default=0.5, help="between a caller's requests")
    parser.add_argument("--watch-s", type=float, default=30, help="after the slow-down")
    options = parser.parse_args()
    for factor in options.factors:
        json.dump(measure(options, factor), sys.stdout)
        print(flush=True)


if __name__ == "__main__":
    main()
