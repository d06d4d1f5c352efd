"""Replace every upstream and every balancer under load, and check that no guarantee is violated.

Progress goes to standard error; the last line on standard output is a JSON object. The exit status
is 1 if a guarantee was violated. Run by `scripts/demo`.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
import time

from standins import fleet, processes, verdict, workload

BALANCERS = 3
BALANCER_SECONDS = 5.0
"""Time between two replacements of balancers, so that they last as long as those of upstreams."""
STEADY_SECONDS = 8.0
"""How long the callers run before the first and after the last replacement; the imbalance of slot
time is measured in these periods."""

RECORD_SECONDS = 60.0

LIMIT_SECONDS = 180
"""Time limit of a run, after which it is aborted with a nonzero exit status."""

USERS = {
    "line-status": ("--feeds", 56, "--kind", "report", "--bulk-share", 0.1),
    "photo": ("--uploads", 6, "--upload-every", 2.5, "--least", 1_000_000, "--most", 3_000_000),
    "ledger": ("--feeds", 42, "--kind", "demand", "--bulk-share", 0.1),
    "evidence": ("--uploads", 4, "--upload-every", 2.0, "--least", 200_000, "--most", 900_000),
}
"""Options of the callers of each service; reports and demands are not idempotent."""


class Demo:
    """One run of the demo."""

    def __init__(self, children: processes.Children, folder: pathlib.Path, small: bool):
        self.children = children
        self.small = small
        self.services = fleet.SERVICES[:1] if small else fleet.SERVICES
        self.fleet = fleet.Fleet(children, folder)
        self.users: list[processes.Child] = []
        self.began = time.monotonic()
        self.replaced: collections.Counter[str] = collections.Counter()

    def log_progress(self, text: str) -> None:
        """Print progress."""
        print(f"{time.monotonic() - self.began:6.1f} s  {text}", file=sys.stderr, flush=True)

    def run(self) -> dict:
        """Run the demo and return its results."""
        self.start_system()
        self.start_users()
        time.sleep(workload.ARRIVAL_SECONDS)
        evening = self.measure(STEADY_SECONDS)
        self.replace_all()
        self.log_progress("callers continue after the last replacement")
        morning = self.measure(STEADY_SECONDS)
        records = self.stop_users()
        self.log_progress("stopping all processes and collecting the run counts of the upstreams")
        self.fleet.stop_all()
        return self.figures(records, evening, morning)

    def size(self, service: fleet.Service) -> int:
        """Return the number of upstreams of a service."""
        return 2 if self.small else service.upstreams

    def start_system(self) -> None:
        """Start platform, balancers, upstreams and sidecars."""
        self.log_progress("starting platform, balancers, upstreams and sidecars")
        self.fleet.publish_services(self.services)
        for number in range(BALANCERS):
            zones = fleet.NORRLAND + fleet.PORT_LOUIS
            self.fleet.system.start_balancer(f"entry-{number + 1}", zones[number * 3 % len(zones)])
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            started = [
                pool.submit(
                    self.fleet.add_upstream,
                    service,
                    f"{service.name}-{number + 1}",
                    service.zones[number % len(service.zones)],
                )
                for service in self.services
                for number in range(self.size(service))
            ]
            for future in started:
                future.result()
        self.log_progress(f"{len(self.fleet.members)} upstreams with sidecars are up")

    def start_users(self) -> None:
        """Start the callers and send them the addresses of the balancers."""
        fixed = (
            *("--feed-start", self.fleet.feed_start),
            *("--feed-interval", fleet.FEED_INTERVAL_MS),
        )
        for service in self.services:
            options = ("--service", service.name, *USERS[service.name], *fixed)
            users = self.children.start(f"users-{service.name}", "standins.workload", *options)
            self.users.append(users)
        self.update_callers()
        self.log_progress("callers started: feeds, reports, demands, uploads")

    def update_callers(self) -> None:
        """Send the current addresses of the balancers to the callers."""
        for users in self.users:
            users.send_line(self.fleet.system.addresses())

    def measure(self, seconds: float) -> dict[str, float]:
        """Return the imbalance of slot time in each service over the next `seconds`."""
        before = self.busy()
        time.sleep(seconds)
        after = self.busy()
        work: dict[str, dict[str, int]] = {service.name: {} for service in self.services}
        for (service, name), busy in after.items():
            work[service][name] = busy - before[service, name]
        return verdict.imbalance(work)

    def busy(self) -> dict[tuple[str, str], int]:
        """Return the total slot time of each upstream so far, in ms."""
        return {
            (member.service.name, name): member.sidecar.upstream.get("standin/runs")["busy_ms"]
            for name, member in list(self.fleet.members.items())
        }

    def replace_all(self) -> None:
        """Replace all upstreams, one at a time in each service, and all balancers concurrently."""
        self.log_progress("replacing every upstream and every balancer")
        pool = concurrent.futures.ThreadPoolExecutor(len(self.services) + 1)
        tasks = [pool.submit(self.replace_upstreams, service) for service in self.services]
        tasks.append(pool.submit(self.replace_balancers))
        try:
            for task in tasks:
                task.result()
        finally:
            pool.shutdown(wait=False, cancel_futures=True)

    def replace_upstreams(self, service: fleet.Service) -> None:
        """Replace the upstreams of a service, each by a new one in the same zone."""
        members = [m for m in list(self.fleet.members.values()) if m.service is service]
        for member in members:
            name = member.sidecar.name
            self.fleet.add_upstream(service, f"{name}-new", member.sidecar.zone)
            self.fleet.remove_upstream(member)
            if self.fleet.faults:
                return
            self.replaced["upstream"] += 1
            self.log_progress(f"replaced upstream {name}")

    def replace_balancers(self) -> None:
        """Replace every balancer by a new one in the same zone."""
        for balancer in list(self.fleet.system.balancers.values()):
            time.sleep(BALANCER_SECONDS)
            self.fleet.system.start_balancer(f"{balancer.name}-new", balancer.zone)
            self.update_callers()
            self.fleet.remove_balancer(balancer, self.update_callers)
            self.replaced["balancer"] += 1
            self.log_progress(f"replaced balancer {balancer.name}")

    def stop_users(self) -> list[dict]:
        """Let the callers finish their requests and return their records."""
        for users in self.users:
            users.send_line("stop")
        records = []
        for users in self.users:
            status = users.wait(RECORD_SECONDS)
            line = users.lines[-1] if users.lines else ""
            if status != 0 or not line.startswith("record "):
                self.fleet.faults.append(f"{users.name} ended with {status}: {line[:200]}")
                continue
            records.append(json.loads(line.removeprefix("record ")))
        return records

    def figures(
        self, records: list[dict], evening: dict[str, float], morning: dict[str, float]
    ) -> dict:
        """Return the results that the demo prints."""
        judged = verdict.judge(records, self.fleet.counts)
        for fault in (*judged.faults[:20], *self.fleet.faults):
            self.log_progress(f"FAULT {fault}")
        fields = dataclasses.asdict(judged)
        del fields["faults"]
        return {
            **fields,
            "late_work": self.fleet.late_work,
            "stop_faults": len(self.fleet.faults),
            "imbalance_max_over_mean": max(evening.values(), default=None),
            "imbalance_by_service": evening,
            "imbalance_after_the_night": morning,
            "upstreams_replaced": self.replaced["upstream"],
            "balancers_replaced": self.replaced["balancer"],
            "seconds": round(time.monotonic() - self.began, 1),
        }


def interrupt(*_: object) -> None:
    """Raise KeyboardInterrupt, so that the `with` blocks stop all child processes."""
    raise KeyboardInterrupt


def main(arguments: list[str] | None = None) -> int:
    """Run the demo; return 0 if no guarantee was violated."""
    signal.signal(signal.SIGTERM, interrupt)
    signal.signal(signal.SIGALRM, interrupt)
    signal.alarm(LIMIT_SECONDS)
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--small", action="store_true", help="one service with two upstreams")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the log of each process")
    options = parser.parse_args(arguments)
    with contextlib.ExitStack() as stack:
        folder = options.logs
        if folder is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        children = stack.enter_context(processes.Children())
        figures = Demo(children, folder, options.small).run()
    print(json.dumps(figures), flush=True)
    broken = [name for name in (*verdict.PROMISES, "late_work", "stop_faults") if figures[name]]
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
