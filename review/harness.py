"""A small deployment on loopback for the scripts of the review.

It reuses the project's stand-ins of the store, the endpoints and the requesters
(`standins.installation`) and adds what the pages say of the platform: the daemons start with the
commands of the deploy file, one that ends is started again after a short delay, the router sends a
flow to a balancer chosen by a hash over those in rotation, and entries lapse after three check-in
intervals of silence.
"""

import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import types

ROOT = pathlib.Path(__file__).resolve().parent.parent


def free_port() -> int:
    """Return a port that is free on loopback at the moment."""
    with socket.socket() as tried:
        tried.bind(("127.0.0.1", 0))
        return tried.getsockname()[1]


# `standins.system` needs a library that the daemons don't; only its `free_port` is used here.
sys.modules.setdefault("standins.system", types.SimpleNamespace(free_port=free_port))

from standins import installation  # noqa: E402

ROUTE = ("127.9.0.1", 443)
"""Address and port of the route, on loopback like all others; nothing is ever sent there."""

installation.ROUTE = ROUTE

CHECK_IN_S = 0.770
"""Check-in interval of the endpoints, `heartbeat_ms` in the settings on the pages."""

HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10
"""Exit statuses of a scenario; `run.sh` makes 1 of BROKEN and 2 of any other, as an error of Python
exits with 1."""

RESTART_S = 0.5
"""Delay after which the platform starts a daemon again that has ended."""

COMMANDS = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]


class Deployment(installation.Installation):
    """An installation whose platform restarts daemons, routes flows and lets entries lapse."""

    def __init__(self, directory: pathlib.Path, record, restart_s: float = RESTART_S, **sizes):
        super().__init__(directory, **sizes)
        self.restart_s = restart_s
        self.record_file = record
        self.began = time.monotonic()
        self.dark: set[str] = set()
        self.killed_at: dict[str, float] = {}
        self.restart_at: dict[str, float] = {}
        self.own_ends: dict[str, list[float]] = {}
        self.misses = {m.name: 0 for m in self.balancers}
        self.silent_since: dict[str, float] = {}
        self.boots = itertools.count(1)
        self.ids = {m.name: f"endpoint-{next(self.boots)}" for m in self.sidecars}
        self.stopping = threading.Event()
        self.platform_threads = [
            threading.Thread(target=self.supervise, daemon=True),
            threading.Thread(target=self.check_readiness, daemon=True),
        ]

    def note(self, text: str) -> None:
        """Write a line to the record."""
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.record_file)

    def publish(self, machine, **changes) -> None:
        """Write the entry of an endpoint under the id of its boot."""
        body = {
            "service": installation.SERVICE,
            "address": f"{machine.host}:{self.ports.upstream}",
            "zone": "a",
            "version": "v1",
            "max_concurrency": 2,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
            **changes,
        }
        self.store.put(f"servers/{self.ids[machine.name]}", body)

    def on_upstream_packet(self, machine) -> None:
        """Pass a packet to the endpoint, and note the requests that it runs."""
        before = len(machine.upstream.ran)
        super().on_upstream_packet(machine)
        for request in machine.upstream.ran[before:]:
            self.note(f"run at {machine.name}: {request.decode()}")

    def spawn(self, machine, output) -> None:
        """Start a daemon with the command of the deploy file."""
        command = COMMANDS[machine.role]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["EBONYSTILE_NODE_FILE"] = str(machine.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        machine.lines_at_start = len(self.lines(machine))
        machine.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
        )

    def begin(self) -> None:
        """Start the platform's own work, after the daemons have started."""
        for thread in self.platform_threads:
            thread.start()

    def end(self) -> None:
        """End the platform's work, so that nothing is started any more."""
        self.stopping.set()
        for thread in self.platform_threads:
            thread.join(10)

    def supervise(self) -> None:
        """Start ended daemons again, and drop the entries of endpoints that are silent."""
        while not self.stopping.wait(0.02):
            now = time.monotonic()
            for machine in (*self.balancers, *self.sidecars):
                if machine.name in self.dark or machine.process.poll() is None:
                    continue
                if machine.name not in self.restart_at:
                    self.restart_at[machine.name] = now + self.restart_s
                    self.on_ended(machine, now)
                elif now >= self.restart_at[machine.name]:
                    del self.restart_at[machine.name]
                    self.note(f"platform starts {machine.name}")
                    self.start(machine)
            for name, since in list(self.silent_since.items()):
                if now - since >= 3 * CHECK_IN_S:
                    del self.silent_since[name]
                    self.note(f"store drops the entry of {name}")
                    self.store.put(f"servers/{name}", None)

    def on_ended(self, machine, now: float) -> None:
        """Record that a daemon has ended, and whether that was by itself."""
        by_kill = (
            now - self.killed_at.get(machine.name, -1e9) <= 1.0 or machine.process.returncode <= 0
        )
        if not by_kill:
            self.own_ends.setdefault(machine.name, []).append(now - self.began)
        status = machine.process.returncode
        self.note(f"{machine.name} ended, status {status}, {'killed' if by_kill else 'BY ITSELF'}")

    def check_readiness(self) -> None:
        """Ask the balancers twice a second, and route the flows over those in rotation."""
        while not self.stopping.wait(0.5):
            for machine in self.balancers:
                self.misses[machine.name] = (
                    0 if self.is_ready(machine) else (self.misses[machine.name] + 1)
                )
            self.route_flows()

    def rotation(self) -> list:
        """Return the balancers that the router uses; all if fewer than half are ready."""
        ready = [m for m in self.balancers if self.misses[m.name] < 2]
        return ready if 2 * len(ready) >= len(self.balancers) else self.balancers

    def route_flows(self) -> None:
        """Send each flow to the balancer that the router's hash selects (`mod`)."""
        used = self.rotation()
        with self.lock:
            for flow, caller in self.callers.items():
                caller.through = used[hash(flow) % len(used)]

    def power_off(self, machines) -> None:
        """Cut the power of machines; the endpoint of a sidecar's machine is gone with it."""
        now = time.monotonic()
        for machine in machines:
            self.dark.add(machine.name)
            self.killed_at[machine.name] = now
            self.signal(machine, signal.SIGKILL)
            if machine.upstream is not None:
                with self.lock:
                    machine.upstream.alive = False
                self.silent_since[self.ids[machine.name]] = now
        self.note(f"power lost: {' '.join(m.name for m in machines)}")

    def power_on(self, machines) -> None:
        """Start machines again; endpoints are empty and register under a new id at once."""
        for machine in machines:
            if machine.upstream is not None:
                with self.lock:
                    machine.upstream.restart()
                self.ids[machine.name] = f"endpoint-{next(self.boots)}"
                self.publish(machine)
            self.restart_at.pop(machine.name, None)
            machine.process.wait(5)
            self.start(machine)
            self.dark.discard(machine.name)
        self.note(f"power back: {' '.join(m.name for m in machines)}")

    def terminate(self, machine) -> None:
        """Stop a daemon by SIGTERM; the platform starts it again."""
        self.killed_at[machine.name] = time.monotonic()
        self.note(f"SIGTERM to {machine.name}")
        self.signal(machine, signal.SIGTERM)

    def kill_daemons(self, machines) -> None:
        """Kill daemons; the platform starts them again."""
        for machine in machines:
            self.killed_at[machine.name] = time.monotonic()
            self.signal(machine, signal.SIGKILL)
        self.note(f"killed: {' '.join(m.name for m in machines)}")


class Requesters:
    """Requesters that keep one flow each, with pauses between their requests.

    A request that is not answered within the time budget is given up, and the next one uses a new
    flow from a new port. `ended` has when a flow ended for its requester, in ms, and `unanswered`
    the flows that were open when a request on them was given up.
    """

    def __init__(self, deployment: Deployment, count: int, pause_s: tuple, budget_s: float):
        self.deployment = deployment
        self.pause_s = pause_s
        self.budget_s = budget_s
        self.randomness = random.Random(43)
        self.flows = [None] * count
        self.requests = [""] * count
        self.asked_at = [0.0] * count
        self.next_at = [0.0] * count
        self.number = 0
        self.counts = {"sent": 0, "answered": 0, "reset": 0, "not opened": 0, "never answered": 0}
        self.ended: dict = {}
        self.unanswered: set = set()

    def step(self) -> None:
        """Let each requester do what is due."""
        now = time.monotonic()
        for i, caller in enumerate(self.flows):
            if caller is None:
                if now >= self.next_at[i]:
                    self.open_flow(i, now)
            elif caller.over:
                self.finish(i, "reset" if caller.resets else "not opened", now)
                self.leave(i)
            elif caller.waiting is None and self.asked_at[i]:
                self.finish(i, "answered", now)
            elif caller.waiting is None and now >= self.next_at[i]:
                self.begin_request(i, now)
                self.deployment.ask(caller, self.requests[i].encode())
            elif caller.waiting is not None and now - self.asked_at[i] > self.budget_s:
                self.finish(i, "never answered" if caller.open else "not opened", now)
                if caller.open:
                    self.unanswered.add(caller.flow)
                self.leave(i)

    def begin_request(self, i: int, now: float) -> None:
        """Note the next request of a requester as sent."""
        self.number += 1
        self.requests[i] = f"request {self.number} of requester {i}"
        self.asked_at[i] = now
        self.counts["sent"] += 1
        self.deployment.note(f"sent: {self.requests[i]}")

    def open_flow(self, i: int, now: float) -> None:
        """Open a new flow with a first request."""
        self.begin_request(i, now)
        first = self.deployment.rotation()[0]
        self.flows[i] = self.deployment.caller(first, self.requests[i].encode(), route=ROUTE)
        self.deployment.route_flows()

    def finish(self, i: int, how: str, now: float) -> None:
        """Count and note how a request ended."""
        if self.asked_at[i]:
            self.counts[how] += 1
            self.deployment.note(f"{how}: {self.requests[i]}, flow {self.flows[i].flow.hex()}")
        self.asked_at[i] = 0.0
        self.next_at[i] = now + self.randomness.uniform(*self.pause_s)

    def leave(self, i: int) -> None:
        """Leave a flow that has ended or was given up."""
        with self.deployment.lock:
            self.flows[i].over = True
        self.ended[self.flows[i].flow] = installation.now_ms()
        self.flows[i] = None


def run(play, folder: pathlib.Path, make) -> int:
    """Play a case on the deployment that `make` returns; write the record to the folder.

    Return `HELD`, `BROKEN`, or `COULD_NOT_RUN`, also after any error of the case itself.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary, (folder / "record.txt").open("w") as record:
        try:
            with make(pathlib.Path(temporary), record) as deployment:
                deployment.begin()
                try:
                    return BROKEN if play(deployment, trouble) else HELD
                finally:
                    deployment.end()
        except Exception as error:
            print(f"could not run: {error!r}", file=record)
            return COULD_NOT_RUN
