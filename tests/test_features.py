"""Steps of the features that state the promises, run on the simulated network of `tests.wire`."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

import tests.wire as wires
from ebonystile.core.calls import events, progress

scenarios("features/promises.feature")

LINE_STATUS = wires.SERVICE
EVIDENCE = "evidence"
MAX_WAIT_MS = 20_000


class ScenarioState:
    """State shared by the steps of one scenario."""

    def __init__(self):
        self.wire = wires.make_service(count=3)
        self.caller = None
        self.request = None
        self.asked = []

    def open(self):
        self.caller = self.wire.add_caller()
        assert self.wire.run(2_000, lambda: self.caller.token)

    def home(self):
        """Return the home of the caller's flow."""
        held = [
            h for h in self.wire.sidecars.values() if h.core and self.caller.flow in h.core.flows
        ]
        return next(h for h in held if not h.core.flows[self.caller.flow].is_fenced)

    def ask(self, path="report", idempotent=False, caller=None):
        caller = caller or self.caller
        now = self.wire.now
        self.request = caller.request(path, b"body", now + 8_000, idempotent, now)
        self.asked.append((caller, self.request, path))
        return self.request

    def outcome(self, caller=None, request=None):
        """Wait for the outcome of a request and return it."""
        caller = caller or self.caller
        request = request or self.request
        found = []

        def ended():
            found[:] = [o for o in caller.outcomes if o.request == request]
            return found

        assert self.wire.run(MAX_WAIT_MS, ended)
        return found[0]

    def publish(self, leaving=(), to=None):
        homes = [h for h in self.wire.sidecars.values() if LINE_STATUS in h.served_services]
        others = [h for h in self.wire.sidecars.values() if EVIDENCE in h.served_services]
        return self.wire.publish({LINE_STATUS: homes, EVIDENCE: others}, leaving, to=to)


@pytest.fixture
def state():
    return ScenarioState()


@given("a caller follows the live feed of the line-status service")
def follow_feed(state):
    state.open()
    state.caller.subscribe("spans", 900, state.wire.now)
    state.wire.run(500)


@given(parsers.re("a caller holds a flow to the (ledger|line-status service)"))
def hold_flow(state):
    state.open()


@when("every upstream is replaced in turn")
def replace_upstreams(state):
    for number, home in enumerate(list(state.wire.sidecars.values())):
        state.wire.add_sidecar(f"new-{number}", 300 + number)
        state.publish(leaving={home.name})
        state.wire.run(3_000)
        state.wire.kill(home)
        state.publish()
        state.wire.run(1_000)


@then("the feed has lost and repeated no event")
def check_feed_complete(state):
    positions = [e.position for e in state.caller.events]
    assert positions == list(range(901, 901 + len(positions)))
    assert positions[-1] >= (state.wire.now - wires.FEED_START) // wires.FEED_EVERY_MS - 20


@then("the caller never reopened its flow")
def check_never_reopened(state):
    assert state.caller.reopen_count == 0


@when("the address of its upstream goes to the evidence service")
def reuse_address(state):
    home = state.home()
    state.wire.kill(home)
    new_home = state.wire.add_sidecar("evidence-0", home.address[1], EVIDENCE)
    # Balancers keep their old view and go on sending to that address.
    state.publish(to=[new_home])


@when("the caller sends an offset demand")
def send_demand(state):
    state.ask()
    state.wire.run(MAX_WAIT_MS)


@then("no upstream ran a request of another service")
def check_no_foreign_runs(state):
    assert state.wire.misplaced_runs == []
    assert state.wire.all_runs[state.request] <= 1
    assert all(
        state.request not in h.runs
        for h in state.wire.sidecars.values()
        if EVIDENCE in h.served_services
    )


@given("answers come late, twice and out of order")
def disorder_answers(state):
    rng = state.wire.rng
    state.wire.message_delays = lambda *_: [
        rng.randrange(1, 60) for _ in range(rng.choice([1, 1, 2]))
    ]


@when("several callers ask for large answers at the same time")
def request_large_answers(state):
    for size in (10, 5_000, 40_000, 100_000):
        state.ask(f"answers/{size}", caller=state.wire.add_caller())


@then("each has the whole answer to its own request")
def check_whole_answers(state):
    for caller, request, path in state.asked:
        assert state.outcome(caller, request).body == state.wire.answer_to(path, b"body")


@when("an offset demand is delayed in transit and settled meanwhile")
def delay_and_settle(state):
    state.wire.message_delays = lambda _s, _t, kind: [3_000] if kind == "Request" else [1]
    state.ask()
    state.wire.run(100)
    state.caller.settle(state.request, state.wire.now)


@then("the caller learns at once that it was not run")
def check_not_run_at_once(state):
    asked_at = state.wire.now
    assert state.outcome().outcome is progress.Outcome.NOT_RUN
    assert state.wire.now - asked_at < 500


@then("the demand that arrives late is not run")
def check_never_run(state):
    state.wire.run(10_000)
    assert state.wire.all_runs[state.request] == 0


@when("each copy of its defect report is duplicated and the answers are lost")
def duplicate_requests(state):
    lost_until = state.wire.now + 2_000

    def message_delays(_source, _target, kind):
        if kind in ("AnswerPart", "Running") and state.wire.now < lost_until:
            return []
        return [1, 300] if kind == "Request" else [1]

    state.wire.message_delays = message_delays
    state.ask()
    state.wire.run(400)


@when("the upstream leaves meanwhile")
def leave_upstream(state):
    state.publish(leaving={state.home().name})


@then("the defect report ran once")
def check_run_once(state):
    state.wire.run(10_000)
    assert state.wire.all_runs[state.request] == 1


@then("the caller has the answer")
def check_answered(state):
    assert state.outcome().outcome is progress.Outcome.ANSWERED


@when("the home of its flow dies while it runs the defect report")
def kill_home(state):
    state.ask("slow/1000")
    state.wire.run(300)
    state.wire.kill(state.home())
    state.publish()


@then("the caller learns that the outcome is unknown")
def check_outcome_unknown(state):
    assert state.outcome().outcome is progress.Outcome.UNKNOWN


@given("callers send requests all the time")
def send_requests_continuously(state):
    callers = [state.wire.add_caller() for _ in range(4)]
    state.caller = callers[0]

    def ask():
        if state.wire.now < wires.START + 9_000:
            state.ask(caller=state.wire.rng.choice(callers))

    state.wire.schedule_every(60, ask)
    state.wire.run(1_000)


@when("an upstream is marked as leaving and one balancer does not receive the change")
def mark_leaving(state):
    state.leaving_home = state.home()
    state.leaving_home.left_at = state.wire.now
    outdated = next(iter(state.wire.balancers.values()))
    parts = [*state.wire.sidecars.values(), *state.wire.balancers.values()]
    state.publish(leaving={state.leaving_home.name}, to=[p for p in parts if p is not outdated])


@then("it receives no new requests after three seconds")
def check_no_new_requests(state):
    state.wire.run(3_000)
    before = state.leaving_home.runs.total()
    state.wire.run(4_000)
    assert state.leaving_home.runs.total() == before
    assert state.wire.misplaced_runs == []


@then("the callers' requests are answered elsewhere")
def check_answered_elsewhere(state):
    state.wire.run(MAX_WAIT_MS)
    for caller, request, _ in state.asked[-20:]:
        assert state.outcome(caller, request).outcome is progress.Outcome.ANSWERED


@when("the sidecar of the upstream gets SIGTERM while it runs the defect report")
def stop_upstream(state):
    state.ask("slow/1000")
    state.wire.run(300)
    state.leaving_home = state.home()
    state.wire.post(state.leaving_home, events.Leave("SIGTERM"))


@then("the upstream has handed its flows over")
def check_handed_over(state):
    state.wire.run(2_000)
    assert state.leaving_home.core.flows[state.caller.flow].moved_to is not None


@given("a configuration is in force on every balancer")
def record_configuration(state):
    state.older = state.wire.views[-1]
    state.newer = state.publish()


@when("the platform answers with an older revision")
def answer_older_revision(state):
    for part in [*state.wire.balancers.values(), *state.wire.sidecars.values()]:
        state.wire.show_view(part, state.older)


@then("the newer configuration stays in force everywhere")
def check_newer_in_force(state):
    assert all(b.view is state.newer for b in state.wire.balancers.values())
    assert all(h.core.view is state.newer for h in state.wire.sidecars.values())
