"""Simulate the network between the calls' cores, with a fake clock and a seeded scheduler.

It delivers the cores' messages late, repeatedly or not at all, as a test specifies. It also
simulates the upstreams and counts every run.
"""

import collections
import dataclasses
import functools
import heapq
import random
import typing

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import balancer, call, effects, events, ledger, sidecar, sidecar_state
from ebonystile.peer import bulk, messages, transfer

START = 1_800_000_000_000
HOP_MS = 1
RUN_MS = 20
FEED_START = START - 100_000
FEED_EVERY_MS = 100
TRANSFER_WAIT_MS = 500
LEAVE_BOUND_MS = 3_000
"""Time after which a leaving upstream must get no new request, in ms."""

SERVICE = "ledger"
ZONE = "caudan"


@dataclasses.dataclass
class SidecarProcess:
    """A sidecar's process with its upstream; `runs` counts the runs by request id.

    While the process is paused, `inbox` holds the events that arrive and `held_effects` the
    effects that were not performed yet. `jobs` are the requests that its upstream runs.
    """

    name: str
    address: view.Address
    core: sidecar_state.SidecarState | None
    served_services: set[str] = dataclasses.field(default_factory=lambda: {SERVICE})
    clock_offset: int = 0
    paused_until: int = 0
    inbox: list = dataclasses.field(default_factory=list)
    held_effects: list = dataclasses.field(default_factory=list)
    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    run_services: dict[bytes, str] = dataclasses.field(default_factory=dict)
    jobs: dict[ledger.Key, int] = dataclasses.field(default_factory=dict)
    upstream_down_until: int = 0
    stale: bool = False
    left_at: int | None = None


def ignore(*_) -> None:
    """Do nothing; the default of the hooks."""


class Wire:
    """The processes by address, a queue of timed actions, and hooks for faults.

    `message_delays(source, target, kind)` returns the delays (ms) at which copies of a message
    arrive, none if it is lost; `run_delays` does so for requests to an upstream. `on_step(step,
    process, after)` is called for each traced event of a sidecar, before and after its effects are
    performed, and may pause or kill the process. `on_decision(process, event)` is called after each
    decision. `SidecarProcess.clock_offset` and `caller_clock_offsets` shift clocks (ms).
    """

    def __init__(self, seed: int = 1, limits: sidecar_state.Limits | None = None):
        self.rng = random.Random(seed)
        self.now = START
        self.limits = limits or sidecar_state.Limits()
        self.queue: list = []
        self.count = 0
        self.sidecars: dict[view.Address, SidecarProcess] = {}
        self.balancers: dict[view.Address, balancer.Balancer] = {}
        self.callers: dict[view.Address, call.Call] = {}
        self.traces: list[tuple[int, str, effects.Trace]] = []
        self.dropped: collections.Counter = collections.Counter()
        self.run_ms = RUN_MS
        self.message_delays: typing.Callable[..., list[int]] = lambda *_: [HOP_MS]
        self.run_delays: typing.Callable[[SidecarProcess], list[int]] = lambda _: [HOP_MS]
        self.revision = 0
        self.all_runs: collections.Counter = collections.Counter()
        self.runs_by_body: collections.Counter = collections.Counter()
        self.reported_not_run: set[bytes] = set()
        self.caller_clock_offsets: dict[view.Address, int] = {}
        self.blocked: dict[tuple, int] = {}
        self.replies: dict[int, typing.Callable] = {}
        self.on_step: typing.Callable[..., None] = ignore
        self.on_decision: typing.Callable[..., None] = ignore
        self.views: list[view.View] = []
        self.platform_down = False
        self.misplaced_runs: list[str] = []
        self.tick_ms = events.TICK_MS
        self.repeat_ticks()

    # Time

    def schedule(self, delay: int, action: typing.Callable[[], None]) -> None:
        """Schedule an action after `delay` ms."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, action))

    def schedule_every(self, period: int, action: typing.Callable[[], None]) -> None:
        """Schedule an action every `period` ms."""

        def again():
            action()
            self.schedule(period, again)

        self.schedule(period, again)

    def run(self, duration: int, until: typing.Callable[[], bool] = lambda: False) -> bool:
        """Run for `duration` ms, or until `until` holds; return whether it holds."""
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            if until():
                return True
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end
        return until()

    def repeat_ticks(self) -> None:
        """Tick every core that is not paused, now and after `tick_ms`."""
        self.tick()
        self.schedule(self.tick_ms, self.repeat_ticks)

    def tick(self) -> None:
        """Tick every core that is not paused."""
        for process in list(self.sidecars.values()):
            self.post(process, events.Tick())
        for address, caller in list(self.callers.items()):
            caller.tick(self.caller_clock(address))
            self.flush(address, caller)

    def caller_clock(self, address: view.Address) -> int:
        """Return the time by a caller's clock."""
        return self.now + self.caller_clock_offsets.get(address, 0)

    # Parts

    def add_sidecar(
        self, name: str, port: int, kind: str = SERVICE, offset: int = 0
    ) -> SidecarProcess:
        """Start a sidecar with its upstream; it replaces a process with the same address."""
        address = ("10.0.0.1", port)
        core = sidecar.make_sidecar(
            name, self.rng.getrandbits(62) + 1, self.limits, self.rng, self.now + offset
        )
        process = SidecarProcess(name, address, core, {kind}, offset)
        self.sidecars[address] = process
        return process

    def add_balancer(self, port: int) -> balancer.Balancer:
        """Start a balancer."""
        address = ("10.0.0.2", port)
        self.balancers[address] = balancer.make_balancer(address, self.rng)
        return self.balancers[address]

    def add_caller(self, service: str = SERVICE, deadline: int = 30_000) -> call.Call:
        """Start a caller that opens a flow."""
        address = ("10.0.0.3", 1000 + len(self.callers))
        caller = call.Call(service, self.rng, self.now, self.now + deadline)
        self.callers[address] = caller
        self.flush(address, caller)
        return caller

    def publish(
        self,
        services: dict[str, typing.Iterable[SidecarProcess]],
        leaving: typing.Container[str] = (),
        to: typing.Iterable | None = None,
    ) -> view.View:
        """Show a new view to the processes `to`, or to all."""
        self.revision += 1
        members = {
            name: [
                view.make_endpoint(h.name, h.address, ZONE, leaving=h.name in leaving)
                for h in processes
            ]
            for name, processes in services.items()
        }
        made = view.make_view(
            self.revision,
            [view.make_service(name, "10.1.0.1:443", m) for name, m in members.items()],
            [view.make_endpoint(h.name, a, ZONE) for a, h in self.sidecars.items()],
            balancers=self.balancers,
        )
        self.views.append(made)
        for part in (
            list(self.sidecars.values()) + list(self.balancers.values()) if to is None else to
        ):
            self.show_view(part, made)
        return made

    def show_view(self, part: SidecarProcess | balancer.Balancer, made: view.View) -> None:
        """Deliver a view to one process."""
        if isinstance(part, SidecarProcess):
            self.post(part, events.ViewChanged(made))
        else:
            balancer.change_view(part, made)

    def confirm(self) -> None:
        """Send the latest view to every process, as a renewed watch does."""
        parts = list(self.sidecars.values()) + list(self.balancers.values())
        for part in parts:
            if not self.platform_down and not (isinstance(part, SidecarProcess) and part.stale):
                deliver = functools.partial(self.show_view, part, self.views[-1])
                self.send("platform", part.address, "View", deliver)

    def kill(self, process: SidecarProcess) -> None:
        """Kill a sidecar's process; the runs at its upstream go on."""
        process.core = None
        if self.sidecars.get(process.address) is process:
            del self.sidecars[process.address]

    def kill_upstream(self, process: SidecarProcess, duration: int) -> None:
        """Kill an upstream with its runs, and restart it after `duration` ms."""
        process.upstream_down_until = self.now + duration
        for key in list(process.jobs):
            del process.jobs[key]
            self.post(process, events.Failed(key, "the connection broke", True))

    def block(self, source, target, duration: int) -> None:
        """Drop every message from one process to another for `duration` ms."""
        self.blocked[(source, target)] = self.now + duration

    def pause(self, process: SidecarProcess, duration: int) -> None:
        """Pause a sidecar's process; events that arrive meanwhile wait in its inbox."""
        process.paused_until = max(process.paused_until, self.now + duration)
        self.schedule(duration, lambda: self.wake(process))

    def wake(self, process: SidecarProcess) -> None:
        """Resume a paused process: perform its held effects, then post the events in its inbox."""
        if process.paused_until > self.now:
            return
        held, process.held_effects = process.held_effects, []
        for core, decided in held:
            self.perform_all(process, core, decided)
        waiting, process.inbox = process.inbox, []
        for event in waiting:
            # A view sent before the wake-up confirms nothing; the daemons read it again.
            if not isinstance(event, events.ViewChanged):
                self.post(process, event)

    def traces_of(self, event: str) -> list[str]:
        """Return the names of the sidecars that traced an event, in order."""
        return [name for _, name, trace in self.traces if trace.event == event]

    # Messages

    def send(self, source, target, kind: str, deliver: typing.Callable[[], None]) -> None:
        """Deliver a message with the delays from `message_delays`, unless the path is blocked."""
        if self.blocked and self.blocked.get((source, target), 0) > self.now:
            return
        for delay in self.message_delays(source, target, kind):
            self.schedule(delay, deliver)

    def flush(self, address: view.Address, caller: call.Call) -> None:
        """Send each datagram in a caller's outbox to a random balancer."""
        outbox, caller.outbox = caller.outbox, []
        for payload in outbox:
            choice = self.rng.choice(list(self.balancers) or [None])
            kind = type(caller_messages.FROM_CALLER.decode(payload)).__name__
            self.send(
                address, choice, kind, lambda p=payload, c=choice: self.at_balancer(c, address, p)
            )

    def at_balancer(self, address, caller: view.Address, payload: bytes) -> None:
        """Route a caller's datagram at a balancer."""
        part = self.balancers.get(address)
        if part is None:
            return
        action = balancer.route(part, caller, payload, self.now)
        if isinstance(action, balancer.Relay):
            self.to_sidecar(address, action.address, action.forward)
        elif isinstance(action, balancer.Reply):
            self.to_caller(address, action.caller, action.payload)
        else:
            self.dropped[action.reason] += 1

    def to_sidecar(self, source, target: view.Address, forward: messages.Forward) -> None:
        """Send a forwarded datagram to the process that has the address on arrival."""
        kind = type(caller_messages.FROM_CALLER.decode(forward.payload)).__name__

        def deliver():
            process = self.sidecars.get(target)
            if process is not None:
                self.post(process, events.Arrived(forward))

        self.send(source, target, kind, deliver)

    def to_sibling(self, source, target: view.Address, report: messages.LoadReport) -> None:
        """Send a load report to the process that has the address on arrival."""

        def deliver():
            process = self.sidecars.get(target)
            if process is not None:
                self.post(process, events.LoadReported(report))

        self.send(source, target, "LoadReport", deliver)

    def to_caller(self, source, target: view.Address, payload: bytes) -> None:
        """Send a datagram to a caller."""
        message = caller_messages.TO_CALLER.decode(payload)

        def deliver():
            caller = self.callers.get(target)
            if caller is not None:
                caller.receive(message, self.caller_clock(target))
                self.flush(target, caller)

        self.send(source, target, type(message).__name__, deliver)

    def post(self, process: SidecarProcess, event) -> None:
        """Post an event to a sidecar's core and perform the effects."""
        if process.core is None:
            return
        if process.paused_until > self.now:
            if not isinstance(event, events.Tick):
                process.inbox.append(event)
            return
        core = process.core
        decided = sidecar.decide(core, event, self.now + process.clock_offset)
        self.on_decision(process, event)
        steps = [e.event for e in decided if isinstance(e, effects.Trace)]
        for step in steps:
            self.on_step(step, process, False)
        self.perform_all(process, core, decided)
        for step in steps:
            self.on_step(step, process, True)

    def perform_all(
        self, process: SidecarProcess, core: sidecar_state.SidecarState, decided: list
    ) -> None:
        """Perform effects if the process still runs; hold them while it is paused."""
        if process.core is not core:
            return
        if process.paused_until > self.now:
            process.held_effects.append((core, decided))
            return
        for effect in decided:
            self.perform(process, effect)

    def perform(self, process: SidecarProcess, effect: effects.Effect) -> None:
        """Perform an effect as the sidecar's daemon does."""
        if isinstance(effect, effects.ToCaller):
            self.send_via_balancer(process, effect)
        elif isinstance(effect, effects.ToSidecar):
            self.to_sidecar(process.address, effect.address, effect.forward)
        elif isinstance(effect, effects.SendLoad):
            for address in effect.addresses:
                self.to_sibling(process.address, address, effect.report)
        elif isinstance(effect, effects.RunRequest):
            self.send_to_upstream(process, effect)
        elif isinstance(effect, effects.CancelRequest):
            if process.jobs.pop(effect.key, None) is not None:
                self.post(process, events.Failed(effect.key, "cancelled", True))
        elif isinstance(effect, effects.PollFeed):
            core = process.core
            self.schedule(FEED_EVERY_MS, lambda: self.feed(process, core, effect))
        elif isinstance(effect, effects.SendTransfer):
            self.transfer(process, effect)
        elif isinstance(effect, effects.AnswerTransfer):
            self.replies.pop(effect.handle)(effect.reply)
        elif isinstance(effect, effects.Trace):
            self.traces.append((self.now, process.name, effect))

    def send_via_balancer(self, process: SidecarProcess, effect: effects.ToCaller) -> None:
        """Send a message for a caller through a balancer, which relays it if it still runs."""
        message = caller_messages.TO_CALLER.decode(effect.payload)
        if isinstance(message, caller_messages.NotRun):
            self.reported_not_run.add(message.request)

        def relay():
            if effect.balancer in self.balancers:
                self.to_caller(effect.balancer, effect.caller, effect.payload)

        self.send(process.address, effect.balancer, "Return", relay)

    def send_to_upstream(self, process: SidecarProcess, effect: effects.RunRequest) -> None:
        """Check the deadline as the daemon does and send the request to the upstream."""
        core = process.core
        if self.now + process.clock_offset >= effect.deadline:
            late = events.Failed(effect.key, "the deadline passed before it started", False)
            self.schedule(0, lambda: self.post_to(process, core, late))
            return
        if process.left_at is not None and self.now > process.left_at + LEAVE_BOUND_MS:
            self.misplaced_runs.append(f"{process.name} got new work after it was to leave")
        delays = self.run_delays(process)
        if not delays:
            lost = events.Failed(effect.key, "the connection broke", True)
            self.schedule(1_000, lambda: self.post_to(process, core, lost))
        for delay in delays[:1]:
            self.schedule(delay - 1, lambda: self.start(process, core, effect))

    def start(
        self, process: SidecarProcess, core: sidecar_state.SidecarState, effect: effects.RunRequest
    ) -> None:
        """Run a request at the upstream, which refuses one past its deadline."""
        request = effect.key[1]
        if (
            process.upstream_down_until > self.now
            or self.now + process.clock_offset >= effect.deadline
        ):
            refused = events.Failed(effect.key, "the upstream refuses", False)
            self.schedule(0, lambda: self.post_to(process, core, refused))
            return
        if effect.service not in process.served_services:
            self.misplaced_runs.append(f"{process.name} ran a request of {effect.service}")
        process.runs[request] += 1
        self.all_runs[request] += 1
        self.runs_by_body[effect.body] += 1
        process.run_services[request] = effect.service
        process.jobs[effect.key] = self.count
        job = self.count
        body = self.answer_to(effect.path, effect.body)

        def done():
            if process.jobs.get(effect.key) == job:
                del process.jobs[effect.key]
                self.post_to(process, core, events.Finished(effect.key, 200, body))

        slow = int(effect.path.split("/")[1]) if effect.path.startswith("slow/") else self.run_ms
        self.schedule(slow, done)

    @staticmethod
    def answer_to(path: str, body: bytes) -> bytes:
        """Return the upstreams' answer to a request; all upstreams give the same one."""
        if path.startswith("answers/"):
            return bytes(i % 251 for i in range(int(path.split("/")[1])))
        return b"done:" + body[:100]

    def feed(
        self, process: SidecarProcess, core: sidecar_state.SidecarState, effect: effects.PollFeed
    ) -> None:
        """Return the events of a feed to the sidecar; all upstreams have the same ones."""
        newest = (self.now - FEED_START) // FEED_EVERY_MS
        last = min(newest, effect.after + 64)
        batch = tuple((p, b"event %d" % p) for p in range(effect.after + 1, last + 1))
        self.post_to(process, core, events.FeedBatch(effect.path, effect.after, batch))

    def post_to(self, process: SidecarProcess, core: sidecar_state.SidecarState, event) -> None:
        """Post an event if the sidecar has not been restarted since."""
        if process.core is core:
            self.post(process, event)

    def transfer(self, process: SidecarProcess, effect: effects.SendTransfer) -> None:
        """Deliver a transfer to its target and the reply back, or post a failure after a timeout.

        A paused target receives the transfer when it resumes, however late.
        """
        core = process.core
        content = effect.transfer
        ended = []

        def arrive():
            target = self.sidecars.get(effect.address)
            if target is not None:
                self.count += 1
                self.replies[self.count] = answer
                self.post(target, events.TransferArrived(self.count, content))

        def answer(reply):
            self.send(effect.address, process.address, "TransferReply", lambda: back(reply))

        def back(reply):
            if not ended:
                ended.append(True)
                self.post_to(process, core, events.TransferAnswered(content.flow, reply))

        def give_up():
            if not ended:
                ended.append(True)
                failed = events.TransferFailed(content.flow, content.id, "no answer in time")
                self.post_to(process, core, failed)

        if len(transfer.TRANSFERS.encode(content)) <= bulk.MAX_MESSAGE_BYTES:
            self.send(process.address, effect.address, "Transfer", arrive)
        self.schedule(TRANSFER_WAIT_MS, give_up)


def make_service(count: int = 3, balancers: int = 3, seed: int = 1, **limits) -> Wire:
    """Return a wire with one service of `count` upstreams and some balancers."""
    wire = Wire(seed, sidecar_state.Limits(**limits))
    for number in range(balancers):
        wire.add_balancer(100 + number)
    processes = [wire.add_sidecar(f"ledger-{number}", 200 + number) for number in range(count)]
    wire.publish({SERVICE: processes})
    return wire
