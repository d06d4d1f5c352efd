"""Let hypothesis put together any sequence of work, planned changes and faults over the cores.

The same checks hold as in the matrix, after every step and once everything has settled. Runs are
derandomized: the same sequences, and the same verdict, each time.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

import tests.wire as wires
from ebonystile.core.calls import events
from tests import matrix

HOMES = st.integers(0, 4)
CALLERS = st.integers(0, 3)
MESSAGES = st.sampled_from([*matrix.PACKETS.values(), "Return", "Settle", "Close", "UnknownFlow"])
DELAYS = st.sampled_from([(), (1, 1), (1, 400), (250,), (2_000,), (matrix.LONG,), (1, matrix.LONG)])
PATHS = st.sampled_from(["report", "slow/200", "slow/2500", "answers/4000"])
MAX_CALLERS = 4
SETTLE_MS = 14_000


class Flows(stateful.RuleBasedStateMachine):
    """Two services on five upstreams, and whatever may befall them."""

    def __init__(self):
        super().__init__()
        self.scenario = matrix.Scenario(matrix.Case((), 1))
        self.wire = self.scenario.wire
        self.strikes: list[tuple[str, tuple[int, ...]]] = []
        self.wire.message_delays = self.message_delays
        self.wire.schedule_every(500, self.wire.confirm)
        self.wire.schedule_every(50, self.scenario.collect)
        self.scenario.callers.append(self.wire.add_caller())
        self.wire.run(20)

    def message_delays(self, _source, _target, kind):
        """Return the delays of a message; each strike hits one."""
        for number, (name, delays) in enumerate(self.strikes):
            if name == kind:
                del self.strikes[number]
                return list(delays)
        return [wires.HOP_MS]

    def home(self, number):
        homes = list(self.wire.sidecars.values()) or self.scenario.started
        return homes[number % len(homes)]

    def caller(self, number):
        return self.scenario.callers[number % len(self.scenario.callers)]

    @stateful.precondition(lambda self: len(self.scenario.callers) < MAX_CALLERS)
    @stateful.rule(service=st.sampled_from([wires.SERVICE, matrix.PHOTOS]))
    def open(self, service):
        self.scenario.callers.append(self.wire.add_caller(service))

    @stateful.rule(number=CALLERS, path=PATHS, size=st.sampled_from([0, 3_000]), safe=st.booleans())
    def ask(self, number, path, size, safe):
        self.scenario.ask(self.caller(number), path, size=size, idempotent=safe)

    @stateful.rule(number=CALLERS)
    def subscribe(self, number):
        caller = self.caller(number)
        if not caller.closed and len(caller.subscriptions) < 2:
            caller.subscribe("spans", 900, self.scenario.caller_clock(caller))

    @stateful.rule(number=CALLERS, cancel=st.booleans())
    def end_requests(self, number, cancel):
        caller = self.caller(number)
        for request in list(caller.pending):
            act = caller.cancel if cancel else caller.settle
            act(request, self.scenario.caller_clock(caller))

    @stateful.precondition(lambda self: len(self.scenario.callers) > 1)
    @stateful.rule()
    def close(self):
        self.scenario.callers[-1].close()

    @stateful.rule(duration=st.sampled_from([1, 5, 30, 150, 700, 2_500]))
    def run(self, duration):
        self.wire.run(duration)

    @stateful.rule(kind=MESSAGES, delays=DELAYS, count=st.integers(1, 4))
    def strike(self, kind, delays, count):
        self.strikes += [(kind, delays)] * count

    @stateful.rule(number=HOMES, duration=st.sampled_from([300, 1_500, matrix.LONG]))
    def pause(self, number, duration):
        self.wire.pause(self.home(number), duration)

    @stateful.rule(number=HOMES, fault=st.sampled_from(sorted(matrix.PROCESS_FAULTS)))
    def befall(self, number, fault):
        if "for good" in fault and len(self.wire.sidecars) < 4:
            return
        matrix.PROCESS_FAULTS[fault](self.scenario, self.home(number), None, None)

    @stateful.rule(number=HOMES)
    def leave(self, number):
        self.scenario.leave(self.home(number))

    @stateful.rule(number=HOMES)
    def stay(self, number):
        self.scenario.cancel_leaving(self.home(number).name)

    @stateful.rule(number=HOMES)
    def stop_planned(self, number):
        """Stop a process as SIGTERM does; it ends once it is drained."""
        home = self.home(number)
        self.wire.post(home, events.Leave("SIGTERM"))
        self.scenario.leaver = home
        self.scenario.leaving.add(home.name)
        self.wire.schedule(300, self.scenario.stop_drained)

    @stateful.rule()
    def restore_platform(self):
        self.wire.platform_down = False

    @stateful.invariant()
    def nothing_is_wrong(self):
        assert self.scenario.checks.violations == []

    def teardown(self):
        self.strikes.clear()
        self.scenario.heal()
        self.wire.tick_ms = 100
        self.wire.run(SETTLE_MS)
        assert self.scenario.checks.check_at_end() == []


TestFlows = Flows.TestCase
TestFlows.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    # Shrinking a failure would take minutes; the first one found is told as it is.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
)
