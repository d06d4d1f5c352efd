"""Inject every fault at every step of a scenario of flows, and check invariants.

A case is a list of steps with faults and a seed. It runs the same `Scenario` on the cores,
connected by `tests/wire.py`, and each fault is injected when its step happens for the n-th time
(n from the seed). Times are in ms; limits are short enough for every deadline to pass in a case.
"""

import dataclasses
import functools
import itertools
import random
import typing

import tests.checks as checking
import tests.wire as wires
from ebonystile.core.calls import call, events, progress, sidecar

PHOTOS = "photos"
DEADLINE = 3_000
LONG = 4_500
"""Longer than any deadline of a case with its margin."""

LIMITS = {
    "slots": 2,
    "max_queued": 8,
    "max_records": 200,
    "ledger_margin_ms": 500,
    "max_deadline_ms": 8_000,
    "flow_lease_ms": 40_000,
    "handover_timeout_ms": 2_000,
    "handover_retry_ms": 100,
    "max_pause_ms": 1_000,
    "feed_resend_ms": 150,
}
ACTIVE_MS = 5_500
SETTLE_MS = 2_500
QUIET_MS = 1_000

PACKETS = {
    "open": "Open",
    "open answered": "Opened",
    "request sent": "Request",
    "part delivered": "AnswerPart",
    "acknowledged": "Acknowledge",
    "cancelled": "Cancel",
    "transfer sent": "Transfer",
    "transfer answered": "TransferReply",
    "token moved": "Moved",
    "configuration read": "View",
}
TRACES = {
    "entered in the ledger": "entered",
    "handed to the upstream": "started",
    "answered": "answered",
    "drain begun": "leaving",
    "fenced": "fenced",
    "transfer received": "adopted",
    "handed over": "handed_over",
}
TIMES = {"running": "started", "configuration accepted": "", "configuration spread": ""}
STEPS = (*PACKETS, *TRACES, *TIMES)
REQUEST_STEPS = (
    "open",
    "open answered",
    "request sent",
    "entered in the ledger",
    "handed to the upstream",
    "running",
    "answered",
    "part delivered",
    "acknowledged",
    "cancelled",
)
MOVE_STEPS = tuple(step for step in STEPS if step not in REQUEST_STEPS)
RARE_STEPS = frozenset(
    {
        "cancelled",
        "open answered",
        "token moved",
        "drain begun",
        "fenced",
        "transfer sent",
        "transfer answered",
        "transfer received",
        "handed over",
        "configuration accepted",
        "configuration spread",
    }
)
"""Steps that happen only once or twice in a scenario."""

TEST_SEEDS = 2
"""Seeds of each cell in the tests; `scripts/fault-matrix` runs more."""

RUNNING_MS = 30


@dataclasses.dataclass(frozen=True)
class Case:
    """A case: `puts` are (step, fault) pairs."""

    puts: tuple[tuple[str, str], ...]
    seed: int


class Scenario:
    """A run in which callers send requests, an upstream is replaced and faults are injected."""

    def __init__(self, case: Case):
        self.case = case
        self.rng = random.Random(repr(case))
        self.wire = wires.Wire(self.rng.randrange(1 << 30), wires.sidecar_state.Limits(**LIMITS))
        self.checks = checking.Checks(self.wire)
        self.armed = [Injection(self, step, fault) for step, fault in case.puts]
        self.ended: set[str] = set()
        self.ports = itertools.count(300)
        self.callers: list[call.Call] = []
        self.labels: dict[str, set[str]] = {}
        self.started: list[wires.SidecarProcess] = []
        self.leaving: set[str] = set()
        self.injected: list[str] = []
        self.wire.message_delays = self.message_delays
        self.wire.run_delays = self.run_delays
        self.wire.on_step = self.on_step
        self.make_parts()

    def make_parts(self) -> None:
        """Start two balancers and the upstreams of two services."""
        for port in (100, 101):
            self.wire.add_balancer(port)
        for number in range(3):
            self.add_sidecar(f"ledger-{number}", wires.SERVICE, 200 + number)
        for number in range(2):
            self.add_sidecar(f"photos-{number}", PHOTOS, 210 + number)
        self.publish(at_once=True)

    def add_sidecar(self, name: str, kind: str, port: int) -> wires.SidecarProcess:
        """Start an upstream with its sidecar and label it."""
        self.labels[name] = {kind}
        self.started.append(self.wire.add_sidecar(name, port, kind))
        return self.started[-1]

    def process_named(self, name: str) -> wires.SidecarProcess | None:
        """Return a running sidecar by name."""
        return next((h for h in self.wire.sidecars.values() if h.name == name), None)

    def publish(self, at_once: bool = False) -> None:
        """Publish labels and instances; processes receive them at different times."""
        members = {
            service: [h for h in self.wire.sidecars.values() if service in self.labels[h.name]]
            for service in (wires.SERVICE, PHOTOS)
        }
        if at_once:
            self.wire.publish(members, self.leaving)
            return
        self.on_step("configuration spread", self.busiest(), False)
        self.wire.publish(members, self.leaving, to=())
        self.wire.confirm()
        self.on_step("configuration spread", self.busiest(), True)

    def busiest(self) -> wires.SidecarProcess:
        """Return the home of the first caller's flow, or else any sidecar."""
        flow = self.callers[0].flow if self.callers else b""
        processes = list(self.wire.sidecars.values()) or self.started
        held = [h for h in processes if h.core and flow in h.core.flows]
        serving = [h for h in held if not h.core.flows[flow].is_fenced]
        return (serving or held or processes)[0]

    # The scenario

    def play(self) -> list[str]:
        """Run the scenario and return the violations found."""
        wire = self.wire
        wire.schedule_every(500, wire.confirm)
        wire.schedule_every(50, self.collect)
        self.callers = [
            wire.add_caller(),
            wire.add_caller(),
            wire.add_caller(PHOTOS),
            wire.add_caller(),
        ]
        first, second, third, fourth = self.callers
        feed = first.subscribe("spans", 900, wire.now)
        plan = [
            (60, lambda: self.ask(first, "report")),
            (80, lambda: self.ask(second, "answers/3000", idempotent=True)),
            (100, lambda: self.ask(third, "upload", size=3_000)),
            (200, lambda: self.ask_and_cancel(first)),
            (380, lambda: self.ask(second, "slow/300")),
            (500, self.begin_drain),
            (520, lambda: self.ask(first, "report")),
            (700, lambda: self.ask(fourth, "report")),
            (900, lambda: self.ask(first, "answers/2500", size=2_000)),
            (1_300, self.stop_drained),
            (1_400, lambda: self.ask(first, "report")),
            (1_500, lambda: self.ask(second, "report")),
            (1_900, self.add_replacement),
            (2_500, lambda: self.ask(first, "report", size=1_500)),
            (2_600, lambda: self.settle_some()),
            (2_800, lambda: self.ask(third, "upload", idempotent=True)),
            (4_800, lambda: second.close()),
        ]
        for delay, action in plan:
            wire.schedule(delay, action)
        wire.run(ACTIVE_MS)
        self.heal()
        # The home of this flow may be lost: the caller notices with this request, which may fail.
        self.ask(fourth, "report")
        wire.run(SETTLE_MS)
        seen = first.subscriptions[feed].position
        probe = self.ask(first, "probe", idempotent=True)
        wire.run(DEADLINE + SETTLE_MS)
        last = self.ask(fourth, "report")
        wire.run(DEADLINE + SETTLE_MS)
        self.check_living((probe, last), first.subscriptions[feed].position - seen)
        wire.tick_ms = 400
        wire.message_delays = lambda *_: [wires.HOP_MS]
        wire.run(QUIET_MS)
        return self.checks.check_at_end()

    def check_living(self, probes: tuple[bytes, ...], moved: int) -> None:
        """Check that requests are answered and feeds continue after the last fault."""
        if not any(h.core and h.core.can_start(wires.SERVICE) for h in self.wire.sidecars.values()):
            return
        for result in (self.checks.requests[probe].result for probe in probes):
            if result is None or result.outcome is not progress.Outcome.ANSWERED:
                self.checks.add_violation(
                    f"healed, but a request ended as {result and result.reason!r}"
                )
        if not moved:
            self.checks.add_violation("healed, but the feed has stopped")

    def ask(self, caller: call.Call, path: str, *, size: int = 0, idempotent: bool = False):
        """Send a request with a unique body."""
        if caller.closed:
            return None
        body = b"%d:%s " % (len(self.checks.requests), path.encode()) + b"x" * size
        return self.send(caller, path, body, idempotent)

    def send(self, caller: call.Call, path: str, body: bytes, idempotent: bool) -> bytes:
        """Send a request and record it for the checks."""
        now = self.caller_clock(caller)
        request = caller.request(path, body, now + DEADLINE, idempotent, now)
        self.checks.record_request(caller, request, body, path, idempotent)
        return request

    def caller_clock(self, caller: call.Call) -> int:
        """Return the time on the caller's clock."""
        address = next(a for a, c in self.wire.callers.items() if c is caller)
        return self.wire.caller_clock(address)

    def ask_and_cancel(self, caller: call.Call) -> None:
        """Send a slow request and cancel it a little later."""
        request = self.ask(caller, "slow/600")
        self.wire.schedule(120, lambda: caller.cancel(request, self.caller_clock(caller)))

    def settle_some(self) -> None:
        """Settle all requests without an outcome that are not idempotent."""
        for request, asked in self.checks.requests.items():
            if asked.result is None and not asked.idempotent:
                asked.caller.settle(request, self.caller_clock(asked.caller))

    def collect(self) -> None:
        """Record outcomes; resend requests that were not run, under a new id."""
        for caller in self.callers:
            for result in caller.outcomes:
                asked = self.checks.requests[result.request]
                if asked.result is not None:
                    self.checks.add_violation("two outcomes of one request")
                    continue
                asked.result = result
                asked.outcome_at = self.caller_clock(caller)
                elapsed = self.wire.now - wires.START
                if result.outcome is progress.Outcome.NOT_RUN and elapsed < ACTIVE_MS:
                    again = functools.partial(
                        self.send_again, caller, asked.path, asked.body, asked.idempotent
                    )
                    self.wire.schedule(max(20, result.retry_at - self.caller_clock(caller)), again)
            caller.outcomes.clear()

    def send_again(self, caller, path: str, body: bytes, idempotent: bool) -> None:
        """Resend a request that was not run, as a new one."""
        if not caller.closed and self.wire.now - wires.START < ACTIVE_MS:
            self.send(caller, path, body, idempotent)

    def begin_drain(self) -> None:
        """Start draining the home of the first flow, as a rolling upgrade does."""
        self.leaver = self.busiest()
        self.leave(self.leaver)

    def leave(self, process: wires.SidecarProcess) -> None:
        """Mark an instance as leaving."""
        self.leaving.add(process.name)
        if (
            not self.wire.platform_down
            and not process.stale
            and process.paused_until <= self.wire.now
        ):
            process.left_at = self.wire.now
        self.publish()

    def cancel_leaving(self, name: str) -> None:
        """Unmark a leaving instance, also if its process was restarted."""
        self.leaving.discard(name)
        for process in self.wire.sidecars.values():
            if process.name == name:
                process.left_at = None
        self.publish()

    def stop_drained(self) -> None:
        """Stop the leaving sidecar once it is drained and has no running requests."""
        process = self.leaver
        if self.running_core(process) is None:
            return
        elapsed = self.wire.now - wires.START
        if process.name in self.leaving and elapsed < ACTIVE_MS:
            if sidecar.is_drained(process.core) and not process.jobs:
                self.end(process)
                self.publish()
            else:
                self.wire.schedule(200, self.stop_drained)

    def running_core(self, process: wires.SidecarProcess):
        """Return the core, or None if the process no longer runs at its address."""
        return process.core if self.wire.sidecars.get(process.address) is process else None

    def end(self, process: wires.SidecarProcess) -> None:
        """Kill a process and unmark its instance."""
        self.wire.kill(process)
        self.leaving.discard(process.name)

    def add_replacement(self) -> None:
        """Start a replacement."""
        self.add_sidecar("ledger-new", wires.SERVICE, 220)
        self.publish()

    # Faults

    def message_delays(self, source, target, kind: str) -> list[int]:
        """Return the delays of a message under the active faults."""
        delays = [wires.HOP_MS]
        for injection in self.armed:
            delays = injection.on_message(source, target, kind, delays)
        return delays

    def run_delays(self, process: wires.SidecarProcess) -> list[int]:
        """Return the delays of delivering a request to an upstream."""
        for injection in self.armed:
            if (
                injection.step == "handed to the upstream"
                and injection.fault in PACKET_FAULTS
                and injection.is_due()
            ):
                return {"loss": [], "loss for long": [], "long delay": [LONG]}.get(
                    injection.fault, [40]
                )
        return [wires.HOP_MS]

    def on_step(self, step: str, process: wires.SidecarProcess, after: bool) -> None:
        """Inject the faults that are armed for a step."""
        for injection in self.armed:
            injection.on_step(step, process, after)

    def heal(self) -> None:
        """End every lasting fault."""
        self.wire.blocked.clear()
        self.wire.platform_down = False
        for injection in self.armed:
            injection.over = True
        for process in list(self.wire.sidecars.values()):
            process.stale = False
            process.upstream_down_until = 0
            process.paused_until = min(process.paused_until, self.wire.now)
            self.wire.wake(process)
        self.publish()


class Injection:
    """A fault, injected when its step happens for the n-th time."""

    def __init__(self, scenario: Scenario, step: str, fault: str):
        self.scenario = scenario
        self.step = step
        self.fault = fault
        self.skip = scenario.rng.choice([0, 0, 1] if step in RARE_STEPS else [0, 0, 0, 1, 1, 2, 4])
        self.done = False
        self.over = False
        self.until = 0

    def is_due(self) -> bool:
        """Count an occurrence of the step and return whether to inject the fault now."""
        if self.done or self.over:
            return False
        if self.skip:
            self.skip -= 1
            return False
        self.done = True
        self.scenario.injected.append(f"{self.step}/{self.fault}")
        return True

    def on_message(self, source, target, kind: str, delays: list[int]) -> list[int]:
        """Return the changed delays of a message, or inject a process fault when it is sent."""
        if PACKETS.get(self.step) != kind:
            return delays
        wire = self.scenario.wire
        if self.fault not in PACKET_FAULTS:
            if self.is_due():
                process = (
                    wire.sidecars.get(target)
                    or wire.sidecars.get(source)
                    or self.scenario.busiest()
                )
                delay = 0 if self.fault.endswith("before") else 2
                wire.schedule(delay, lambda: self.inject(process, source, target))
            return delays
        if self.fault == "loss for long" and wire.now < self.until:
            return []
        if not self.is_due():
            return delays
        self.until = wire.now + DEADLINE // 2
        return PACKET_FAULTS[self.fault](delays)

    def on_step(self, step: str, process: wires.SidecarProcess, after: bool) -> None:
        """Inject the fault at a step of a sidecar."""
        if self.fault in PACKET_FAULTS:
            return
        if TRACES.get(self.step) == step or self.step == step:
            if after == self.fault.endswith("after") and self.is_due():
                self.inject(process, None, None)
        elif self.step == "running" and step == "started" and after and self.is_due():
            self.scenario.wire.schedule(RUNNING_MS // 3, lambda: self.inject(process, None, None))
        elif self.step == "configuration accepted" and step in (
            "leaving",
            "services_lost",
            "staying",
        ):
            self.on_accepted(process, after)

    def on_accepted(self, process: wires.SidecarProcess, after: bool) -> None:
        """Inject the fault when a sidecar acts on a newer view."""
        if after == self.fault.endswith("after") and self.is_due():
            self.inject(process, None, None)

    def inject(self, process: wires.SidecarProcess, source, target) -> None:
        """Apply the process fault."""
        PROCESS_FAULTS[self.fault](self.scenario, process, source, target)


PACKET_FAULTS: dict[str, typing.Callable[[list[int]], list[int]]] = {
    "loss": lambda delays: [],
    "loss for long": lambda delays: [],
    "duplication": lambda delays: [*delays, 3, 700],
    "reordering": lambda delays: [60],
    "long delay": lambda delays: [LONG],
    "late duplicate": lambda delays: [*delays, LONG],
}
"""Maps the delays of the affected message to its delays under the fault."""


def kill_sidecar(scenario: Scenario, process, source, target) -> None:
    """Kill a sidecar; it restarts at the same address as a new incarnation."""
    if scenario.running_core(process) is None:
        return
    scenario.wire.kill(process)
    scenario.wire.schedule(300, functools.partial(restart, scenario, process))


def restart(scenario: Scenario, process: wires.SidecarProcess) -> None:
    """Restart an instance at its address, unless the address is taken."""
    if process.address not in scenario.wire.sidecars:
        again = scenario.wire.add_sidecar(
            process.name, process.address[1], offset=scenario.rng.choice([0, 400, -400])
        )
        again.served_services = process.served_services
        again.left_at = process.left_at
        scenario.wire.show_view(again, scenario.wire.views[-1])


def kill_for_good(scenario: Scenario, process, source, target) -> None:
    """Kill a sidecar for good; the list is updated late."""
    if scenario.running_core(process) is not None:
        scenario.wire.kill(process)
        scenario.leaving.discard(process.name)
        scenario.wire.schedule(1_500, scenario.publish)


def kill_balancer(scenario: Scenario, process, source, target) -> None:
    """Kill a balancer and start another one elsewhere."""
    balancers = scenario.wire.balancers
    address = next((a for a in (target, source) if a in balancers), next(iter(balancers)))
    del balancers[address]
    port = next(scenario.ports)
    scenario.wire.add_balancer(port)
    scenario.publish()


def kill_upstream(scenario: Scenario, process, source, target) -> None:
    """Kill the upstream of a sidecar; it restarts after a while."""
    if scenario.running_core(process) is not None:
        scenario.wire.kill_upstream(process, 800)


def pause(scenario: Scenario, process, source, target, duration: int = LONG) -> None:
    """Pause a sidecar for longer than any deadline; it resumes with its old view."""
    scenario.wire.pause(process, duration)


def short_pause(scenario: Scenario, process, source, target) -> None:
    """Pause a sidecar for less than the deadlines."""
    pause(scenario, process, source, target, 1_200)


def reuse_address(scenario: Scenario, process, source, target) -> None:
    """Kill a sidecar; its address goes to another service's upstream before the list shows it."""
    if scenario.running_core(process) is None:
        return
    scenario.wire.kill(process)
    scenario.leaving.discard(process.name)
    name = f"photos-at-{process.address[1]}"
    if name not in scenario.labels:
        sidecar_process = scenario.add_sidecar(name, PHOTOS, process.address[1])
        scenario.wire.show_view(sidecar_process, scenario.wire.views[-1])
    scenario.wire.schedule(900, scenario.publish)


def others(scenario: Scenario, process) -> list:
    """Return the addresses of the other sidecars."""
    return [a for a in scenario.wire.sidecars if a != process.address]


def cut_off(scenario: Scenario, process, source, target) -> None:
    """Block all messages between a sidecar and the other processes."""
    for other in [*others(scenario, process), *scenario.wire.balancers, "platform"]:
        scenario.wire.block(process.address, other, 2_500)
        scenario.wire.block(other, process.address, 2_500)


def cut_inward(scenario: Scenario, process, source, target) -> None:
    """Block all messages to a sidecar."""
    for other in [*others(scenario, process), *scenario.wire.balancers, "platform"]:
        scenario.wire.block(other, process.address, 2_500)


def cut_outward(scenario: Scenario, process, source, target) -> None:
    """Block all messages from a sidecar to other sidecars and to balancers."""
    for other in [*others(scenario, process), *scenario.wire.balancers]:
        scenario.wire.block(process.address, other, 2_500)


def cut_siblings(scenario: Scenario, process, source, target) -> None:
    """Block messages between sidecars for longer than the handover timeout."""
    for one, other in itertools.permutations(list(scenario.wire.sidecars), 2):
        scenario.wire.block(one, other, 3_200)


def platform_down(scenario: Scenario, process, source, target) -> None:
    """Make the platform unreachable until the faults are healed."""
    scenario.wire.platform_down = True


def platform_stale(scenario: Scenario, process, source, target) -> None:
    """Keep one sidecar on its old view."""
    process.stale = True


def platform_older(scenario: Scenario, process, source, target) -> None:
    """Let the platform return its first revision to all processes."""
    for part in [*scenario.wire.sidecars.values(), *scenario.wire.balancers.values()]:
        scenario.wire.show_view(part, scenario.wire.views[0])


def list_lags(scenario: Scenario, process, source, target) -> None:
    """Make an instance leave that the list still shows as live."""
    if scenario.running_core(process) is not None:
        scenario.wire.post(process, events.Leave("SIGTERM"))


def move_service(scenario: Scenario, process, source, target) -> None:
    """Move an upstream to the other service by its label.

    After `LEAVE_BOUND_MS` it must not run requests of the old service, unless the platform was
    unreachable or the view stale; a pause of the process is no exception.
    """
    scenario.labels[process.name] = {PHOTOS}
    process.served_services.add(PHOTOS)
    scenario.publish()

    def end_grace():
        blocked_until = scenario.wire.blocked.get(("platform", process.address), 0)
        if not (scenario.wire.platform_down or process.stale or blocked_until):
            process.served_services.discard(wires.SERVICE)

    scenario.wire.schedule(wires.LEAVE_BOUND_MS, end_grace)


def remove_label(scenario: Scenario, process, source, target) -> None:
    """Remove an upstream's label."""
    scenario.labels[process.name] = set()
    scenario.publish()


def restore_label(scenario: Scenario, process, source, target) -> None:
    """Remove an upstream's label and restore it soon."""
    kept = scenario.labels[process.name]
    remove_label(scenario, process, source, target)

    def restore():
        scenario.labels[process.name] = kept
        scenario.publish()

    scenario.wire.schedule(scenario.rng.choice([30, 150, 600]), restore)


def leave_and_stay(scenario: Scenario, process, source, target) -> None:
    """Mark an upstream as leaving and unmark it soon after."""
    scenario.leave(process)

    def cancel_leaving():
        scenario.cancel_leaving(process.name)

    scenario.wire.schedule(scenario.rng.choice([5, 40, 200, 700]), cancel_leaving)


def both_at_once(scenario: Scenario, process, source, target) -> None:
    """Move one upstream to the other service while another one leaves."""
    move_service(scenario, process, source, target)
    rest = [
        h
        for h in scenario.wire.sidecars.values()
        if h is not process and wires.SERVICE in h.served_services
    ]
    if len(rest) > 1:
        leave_and_stay(scenario, rest[0], source, target)


def clocks_apart(scenario: Scenario, process, source, target) -> None:
    """Move one sidecar's clock ahead, as after a suspend of the machine."""
    process.clock_offset += 1_500


def caller_clock_behind(scenario: Scenario, process, source, target) -> None:
    """Set the callers' clocks behind those of the other processes."""
    for address in scenario.wire.callers:
        scenario.wire.caller_clock_offsets[address] = -400


PROCESS_FAULTS: dict[str, typing.Callable] = {
    "kill sidecar before": kill_sidecar,
    "kill sidecar after": kill_sidecar,
    "kill sidecar for good after": kill_for_good,
    "kill balancer before": kill_balancer,
    "kill balancer after": kill_balancer,
    "kill upstream before": kill_upstream,
    "kill upstream after": kill_upstream,
    "pause past deadlines before": pause,
    "pause past deadlines after": pause,
    "short pause before": short_pause,
    "address reused after": reuse_address,
    "partition both ways after": cut_off,
    "partition inward after": cut_inward,
    "partition outward after": cut_outward,
    "partition of siblings after": cut_siblings,
    "platform down after": platform_down,
    "platform stale after": platform_stale,
    "platform older after": platform_older,
    "list lagging after": list_lags,
    "selector moves the service after": move_service,
    "label removed after": remove_label,
    "label removed and restored after": restore_label,
    "leaving and staying after": leave_and_stay,
    "move and leave at once after": both_at_once,
    "clock leaps after": clocks_apart,
    "callers' clocks behind after": caller_clock_behind,
}
"""Faults of processes, injected before or after the effects of the step."""

FAULTS = (*PACKET_FAULTS, *PROCESS_FAULTS)

PAIRED = (
    ("open answered", "late duplicate"),
    ("request sent", "late duplicate"),
    ("request sent", "loss for long"),
    ("handed to the upstream", "pause past deadlines before"),
    ("entered in the ledger", "kill sidecar before"),
    ("drain begun", "leaving and staying after"),
    ("fenced", "partition of siblings after"),
    ("transfer sent", "late duplicate"),
    ("transfer answered", "loss for long"),
    ("transfer received", "kill sidecar after"),
    ("transfer received", "leaving and staying after"),
    ("handed over", "leaving and staying after"),
    ("token moved", "loss for long"),
    ("answered", "kill balancer after"),
    ("configuration read", "loss for long"),
    ("running", "clock leaps after"),
)


def play(case: Case) -> list[str]:
    """Run a case and return the violations found."""
    return Scenario(case).play()


def seeds_of(*key: str, count: int) -> list[int]:
    """Return the seeds of one cell of the matrix."""
    return [random.Random(repr((key, n))).randrange(1 << 30) for n in range(count)]


def applies(step: str, fault: str) -> bool:
    """Return whether a fault applies to a step: only messages are lost, duplicated or delayed.

    A request reaches its upstream over a connection, which never duplicates it.
    """
    if fault not in PACKET_FAULTS or step in PACKETS:
        return True
    return step == "handed to the upstream" and "dupl" not in fault


def cases_of_step(step: str, count: int) -> list[Case]:
    """Return the cases of one step: every fault, `count` seeds each."""
    return [
        Case(((step, fault),), seed)
        for fault in FAULTS
        if applies(step, fault)
        for seed in seeds_of(step, fault, count=count)
    ]


def cases_of_pairs(count: int) -> list[Case]:
    """Return the cases of two faults together."""
    return [
        Case(pair, seed)
        for pair in itertools.combinations(PAIRED, 2)
        for seed in seeds_of(*map(repr, pair), count=count)
    ]


def faults_of(cases: list[Case]) -> list[str]:
    """Run cases and return a line for each with violations, with the seed that reproduces it."""
    found = [(case, play(case)) for case in cases]
    return [f"{case.puts} seed {case.seed}: {faults}" for case, faults in found if faults]
