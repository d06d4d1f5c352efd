"""Join the decision cores by a small in-memory wire with a fake clock and a seeded scheduler.

Nothing here decides anything: it delivers what the cores send, late, twice or not at all as a test
asks, and stands in for the upstreams by counting every run.
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
"""An upstream that was told to leave gets no new work after this long, in ms."""

SERVICE = "ledger"
ZONE = "caudan"


@dataclasses.dataclass
class Home:
    """A sidecar's process with its upstream; `runs` counts each run by request id.

    `inbox` holds what arrives while the process is paused, `held` the effects that it had decided
    on but not carried out; `jobs` is what its upstream runs.
    """

    name: str
    address: view.Address
    core: sidecar_state.SidecarState | None
    kinds: set[str] = dataclasses.field(default_factory=lambda: {SERVICE})
    offset: int = 0
    paused_until: int = 0
    inbox: list = dataclasses.field(default_factory=list)
    held: list = dataclasses.field(default_factory=list)
    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    services: dict[bytes, str] = dataclasses.field(default_factory=dict)
    jobs: dict[ledger.Key, int] = dataclasses.field(default_factory=dict)
    upstream_down_until: int = 0
    stale: bool = False
    left_at: int | None = None


def no_watch(*_) -> None:
    """Watch nothing."""


class Wire:
    """Processes by address, a queue of timed actions, and hooks for faults.

    `judge(source, target, kind)` returns the delays (ms) at which a message arrives; none if lost.
    `watch(step, home, after)` is told of each step that a sidecar takes, before and after its
    effects are carried out; it may pause or kill the process. `inspect(home, event)` follows each
    decision. Processes have clocks of their own: `Home.offset`, and `offsets` for callers.
    """

    def __init__(self, seed: int = 1, limits: sidecar_state.Limits | None = None):
        self.rng = random.Random(seed)
        self.now = START
        self.limits = limits or sidecar_state.Limits()
        self.queue: list = []
        self.count = 0
        self.homes: dict[view.Address, Home] = {}
        self.balancers: dict[view.Address, balancer.Balancer] = {}
        self.callers: dict[view.Address, call.Call] = {}
        self.traces: list[tuple[int, str, effects.Trace]] = []
        self.dropped: collections.Counter = collections.Counter()
        self.run_ms = RUN_MS
        self.judge: typing.Callable[..., list[int]] = lambda *_: [HOP_MS]
        self.judge_run: typing.Callable[[Home], list[int]] = lambda _: [HOP_MS]
        self.revision = 0
        self.all_runs: collections.Counter = collections.Counter()
        self.runs_by_body: collections.Counter = collections.Counter()
        self.said_not_run: set[bytes] = set()
        self.offsets: dict[view.Address, int] = {}
        self.blocked: dict[tuple, int] = {}
        self.replies: dict[int, typing.Callable] = {}
        self.watch: typing.Callable[..., None] = no_watch
        self.inspect: typing.Callable[..., None] = no_watch
        self.views: list[view.View] = []
        self.platform_down = False
        self.ran_elsewhere: list[str] = []
        self.tick_ms = events.TICK_MS
        self.tick_again()

    # Time

    def at(self, delay: int, action: typing.Callable[[], None]) -> None:
        """Do something after `delay` ms."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, action))

    def every(self, period: int, action: typing.Callable[[], None]) -> None:
        """Do something again and again."""

        def again():
            action()
            self.at(period, again)

        self.at(period, again)

    def run(self, duration: int, until: typing.Callable[[], bool] = lambda: False) -> bool:
        """Let `duration` ms pass, or less if `until` holds; return whether it held."""
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            if until():
                return True
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end
        return until()

    def tick_again(self) -> None:
        """Tick every core that is not paused, now and after `tick_ms`."""
        self.tick()
        self.at(self.tick_ms, self.tick_again)

    def tick(self) -> None:
        """Tick every core that is not paused."""
        for home in list(self.homes.values()):
            self.post(home, events.Tick())
        for address, caller in list(self.callers.items()):
            caller.tick(self.caller_clock(address))
            self.flush(address, caller)

    def caller_clock(self, address: view.Address) -> int:
        """Return what a caller's clock says."""
        return self.now + self.offsets.get(address, 0)

    # Parts

    def add_home(self, name: str, port: int, kind: str = SERVICE, offset: int = 0) -> Home:
        """Start a sidecar with its upstream; a process that had the address is gone."""
        address = ("10.0.0.1", port)
        core = sidecar.make_sidecar(
            name, self.rng.getrandbits(62) + 1, self.limits, self.rng, self.now + offset
        )
        home = Home(name, address, core, {kind}, offset)
        self.homes[address] = home
        return home

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
        services: dict[str, typing.Iterable[Home]],
        leaving: typing.Container[str] = (),
        to: typing.Iterable | None = None,
    ) -> view.View:
        """Put a new view in force, at once, on the named processes or all."""
        self.revision += 1
        members = {
            name: [
                view.make_endpoint(h.name, h.address, ZONE, leaving=h.name in leaving)
                for h in homes
            ]
            for name, homes in services.items()
        }
        made = view.make_view(
            self.revision,
            [view.make_service(name, "10.1.0.1:443", m) for name, m in members.items()],
            [view.make_endpoint(h.name, a, ZONE) for a, h in self.homes.items()],
            balancers=self.balancers,
        )
        self.views.append(made)
        for part in list(self.homes.values()) + list(self.balancers.values()) if to is None else to:
            self.show(part, made)
        return made

    def show(self, part: Home | balancer.Balancer, made: view.View) -> None:
        """Let one process see a view."""
        if isinstance(part, Home):
            self.post(part, events.ViewChanged(made))
        else:
            balancer.change_view(part, made)

    def confirm(self) -> None:
        """Show every process what the platform has, as a watch that is renewed does."""
        parts = list(self.homes.values()) + list(self.balancers.values())
        for part in parts:
            if not self.platform_down and not (isinstance(part, Home) and part.stale):
                deliver = functools.partial(self.show, part, self.views[-1])
                self.send("platform", part.address, "View", deliver)

    def kill(self, home: Home) -> None:
        """End a sidecar's process without a word; what its upstream runs goes on."""
        home.core = None
        if self.homes.get(home.address) is home:
            del self.homes[home.address]

    def kill_upstream(self, home: Home, duration: int) -> None:
        """End an upstream with all that it runs; it is back after `duration`."""
        home.upstream_down_until = self.now + duration
        for key in list(home.jobs):
            del home.jobs[key]
            self.post(home, events.Failed(key, "the connection broke", True))

    def block(self, source, target, duration: int) -> None:
        """Let nothing pass from one process to another for a while."""
        self.blocked[(source, target)] = self.now + duration

    def pause(self, home: Home, duration: int) -> None:
        """Stop a sidecar's process; what arrives meanwhile waits in its socket."""
        home.paused_until = max(home.paused_until, self.now + duration)
        self.at(duration, lambda: self.wake(home))

    def wake(self, home: Home) -> None:
        """Let a paused process go on: with what it was about to do, then with what has arrived."""
        if home.paused_until > self.now:
            return
        held, home.held = home.held, []
        for core, decided in held:
            self.carry_out_all(home, core, decided)
        waiting, home.inbox = home.inbox, []
        for event in waiting:
            # A view that was sent before the wake-up proves nothing; the shells read anew.
            if not isinstance(event, events.ViewChanged):
                self.post(home, event)

    def traces_of(self, event: str) -> list[str]:
        """Return the names of the homes that took a step, in order."""
        return [name for _, name, trace in self.traces if trace.event == event]

    # Messages

    def send(self, source, target, kind: str, deliver: typing.Callable[[], None]) -> None:
        """Deliver a message as `judge` says, unless the way is blocked."""
        if self.blocked and self.blocked.get((source, target), 0) > self.now:
            return
        for delay in self.judge(source, target, kind):
            self.at(delay, deliver)

    def flush(self, address: view.Address, caller: call.Call) -> None:
        """Send what a caller has to send, each datagram to any balancer."""
        outbox, caller.outbox = caller.outbox, []
        for payload in outbox:
            choice = self.rng.choice(list(self.balancers) or [None])
            kind = type(caller_messages.FROM_CALLER.decode(payload)).__name__
            self.send(
                address, choice, kind, lambda p=payload, c=choice: self.at_balancer(c, address, p)
            )

    def at_balancer(self, address, caller: view.Address, payload: bytes) -> None:
        """Let a balancer route a datagram."""
        part = self.balancers.get(address)
        if part is None:
            return
        action = balancer.route(part, caller, payload, self.now)
        if isinstance(action, balancer.Relay):
            self.to_home(address, action.address, action.forward)
        elif isinstance(action, balancer.Reply):
            self.to_caller(address, action.caller, action.payload)
        else:
            self.dropped[action.reason] += 1

    def to_home(self, source, target: view.Address, forward: messages.Forward) -> None:
        """Send a forwarded datagram to whichever process has the address by then."""
        kind = type(caller_messages.FROM_CALLER.decode(forward.payload)).__name__

        def deliver():
            home = self.homes.get(target)
            if home is not None:
                self.post(home, events.Arrived(forward))

        self.send(source, target, kind, deliver)

    def to_sibling(self, source, target: view.Address, report: messages.LoadReport) -> None:
        """Send a load report to whichever process has the address by then."""

        def deliver():
            home = self.homes.get(target)
            if home is not None:
                self.post(home, events.LoadReported(report))

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

    def post(self, home: Home, event) -> None:
        """Give a sidecar's core an event and carry out the effects."""
        if home.core is None:
            return
        if home.paused_until > self.now:
            if not isinstance(event, events.Tick):
                home.inbox.append(event)
            return
        core = home.core
        decided = sidecar.decide(core, event, self.now + home.offset)
        self.inspect(home, event)
        steps = [e.event for e in decided if isinstance(e, effects.Trace)]
        for step in steps:
            self.watch(step, home, False)
        self.carry_out_all(home, core, decided)
        for step in steps:
            self.watch(step, home, True)

    def carry_out_all(self, home: Home, core: sidecar_state.SidecarState, decided: list) -> None:
        """Do what was decided if the process still runs, at its wake-up if it is paused."""
        if home.core is not core:
            return
        if home.paused_until > self.now:
            home.held.append((core, decided))
            return
        for effect in decided:
            self.carry_out(home, effect)

    def carry_out(self, home: Home, effect: effects.Effect) -> None:
        """Do what a sidecar's shell would do."""
        if isinstance(effect, effects.ToCaller):
            self.return_by(home, effect)
        elif isinstance(effect, effects.ToSidecar):
            self.to_home(home.address, effect.address, effect.forward)
        elif isinstance(effect, effects.SendLoad):
            for address in effect.addresses:
                self.to_sibling(home.address, address, effect.report)
        elif isinstance(effect, effects.RunRequest):
            self.hand_over(home, effect)
        elif isinstance(effect, effects.CancelRequest):
            if home.jobs.pop(effect.key, None) is not None:
                self.post(home, events.Failed(effect.key, "cancelled", True))
        elif isinstance(effect, effects.PollFeed):
            core = home.core
            self.at(FEED_EVERY_MS, lambda: self.feed(home, core, effect))
        elif isinstance(effect, effects.SendTransfer):
            self.transfer(home, effect)
        elif isinstance(effect, effects.AnswerTransfer):
            self.replies.pop(effect.handle)(effect.reply)
        elif isinstance(effect, effects.Trace):
            self.traces.append((self.now, home.name, effect))

    def return_by(self, home: Home, effect: effects.ToCaller) -> None:
        """Send an answer to the balancer, which relays it if it lives."""
        message = caller_messages.TO_CALLER.decode(effect.payload)
        if isinstance(message, caller_messages.NotRun):
            self.said_not_run.add(message.request)

        def relay():
            if effect.balancer in self.balancers:
                self.to_caller(effect.balancer, effect.caller, effect.payload)

        self.send(home.address, effect.balancer, "Return", relay)

    def hand_over(self, home: Home, effect: effects.RunRequest) -> None:
        """Check the deadline as the shell does and send the request to the upstream."""
        core = home.core
        if self.now + home.offset >= effect.deadline:
            late = events.Failed(effect.key, "the deadline passed before it started", False)
            self.at(0, lambda: self.post_to(home, core, late))
            return
        if home.left_at is not None and self.now > home.left_at + LEAVE_BOUND_MS:
            self.ran_elsewhere.append(f"{home.name} got new work after it was to leave")
        delays = self.judge_run(home)
        if not delays:
            lost = events.Failed(effect.key, "the connection broke", True)
            self.at(1_000, lambda: self.post_to(home, core, lost))
        for delay in delays[:1]:
            self.at(delay - 1, lambda: self.start(home, core, effect))

    def start(
        self, home: Home, core: sidecar_state.SidecarState, effect: effects.RunRequest
    ) -> None:
        """Run a request at the upstream, which refuses one whose deadline has passed."""
        request = effect.key[1]
        if home.upstream_down_until > self.now or self.now + home.offset >= effect.deadline:
            refused = events.Failed(effect.key, "the upstream refuses", False)
            self.at(0, lambda: self.post_to(home, core, refused))
            return
        if effect.service not in home.kinds:
            self.ran_elsewhere.append(f"{home.name} ran a request of {effect.service}")
        home.runs[request] += 1
        self.all_runs[request] += 1
        self.runs_by_body[effect.body] += 1
        home.services[request] = effect.service
        home.jobs[effect.key] = self.count
        job = self.count
        body = self.answer_to(effect.path, effect.body)

        def done():
            if home.jobs.get(effect.key) == job:
                del home.jobs[effect.key]
                self.post_to(home, core, events.Finished(effect.key, 200, body))

        slow = int(effect.path.split("/")[1]) if effect.path.startswith("slow/") else self.run_ms
        self.at(slow, done)

    @staticmethod
    def answer_to(path: str, body: bytes) -> bytes:
        """Return the answer that the upstreams give: any of them gives the same one."""
        if path.startswith("answers/"):
            return bytes(i % 251 for i in range(int(path.split("/")[1])))
        return b"done:" + body[:100]

    def feed(self, home: Home, core: sidecar_state.SidecarState, effect: effects.PollFeed) -> None:
        """Give the events of a feed: alike at every upstream."""
        newest = (self.now - FEED_START) // FEED_EVERY_MS
        last = min(newest, effect.after + 64)
        batch = tuple((p, b"event %d" % p) for p in range(effect.after + 1, last + 1))
        self.post_to(home, core, events.FeedBatch(effect.path, effect.after, batch))

    def post_to(self, home: Home, core: sidecar_state.SidecarState, event) -> None:
        """Post an event if the same start of the sidecar still runs."""
        if home.core is core:
            self.post(home, event)

    def transfer(self, home: Home, effect: effects.SendTransfer) -> None:
        """Carry a handover to its target and the reply back: one of it, or none in time.

        A paused target finds the transfer in its socket when it wakes, however late that is.
        """
        core = home.core
        content = effect.transfer
        ended = []

        def arrive():
            target = self.homes.get(effect.address)
            if target is not None:
                self.count += 1
                self.replies[self.count] = answer
                self.post(target, events.TransferArrived(self.count, content))

        def answer(reply):
            self.send(effect.address, home.address, "TransferReply", lambda: back(reply))

        def back(reply):
            if not ended:
                ended.append(True)
                self.post_to(home, core, events.TransferAnswered(content.flow, reply))

        def give_up():
            if not ended:
                ended.append(True)
                failed = events.TransferFailed(content.flow, content.id, "no answer in time")
                self.post_to(home, core, failed)

        if len(transfer.TRANSFERS.encode(content)) <= bulk.MAX_MESSAGE_BYTES:
            self.send(home.address, effect.address, "Transfer", arrive)
        self.at(TRANSFER_WAIT_MS, give_up)


def make_service(count: int = 3, balancers: int = 3, seed: int = 1, **limits) -> Wire:
    """Return a wire with one service of `count` upstreams behind some balancers."""
    wire = Wire(seed, sidecar_state.Limits(**limits))
    for number in range(balancers):
        wire.add_balancer(100 + number)
    homes = [wire.add_home(f"ledger-{number}", 200 + number) for number in range(count)]
    wire.publish({SERVICE: homes})
    return wire
