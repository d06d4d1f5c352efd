"""Word the promises as the brief does, and bring about what they are meant for."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

import tests.wire as wires
from ebonystile.core.calls import events, progress

scenarios("features/promises.feature")

LINE_STATUS = wires.SERVICE
EVIDENCE = "evidence"
SOON = 20_000


class Stage:
    """What the steps of one scenario share."""

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
        held = [h for h in self.wire.homes.values() if h.core and self.caller.flow in h.core.flows]
        return next(h for h in held if not h.core.flows[self.caller.flow].is_fenced)

    def ask(self, path="report", idempotent=False, caller=None):
        caller = caller or self.caller
        now = self.wire.now
        self.request = caller.request(path, b"body", now + 8_000, idempotent, now)
        self.asked.append((caller, self.request, path))
        return self.request

    def outcome(self, caller=None, request=None):
        """Return the final word on a request, waiting for it."""
        caller = caller or self.caller
        request = request or self.request
        found = []

        def ended():
            found[:] = [o for o in caller.outcomes if o.request == request]
            return found

        assert self.wire.run(SOON, ended)
        return found[0]

    def publish(self, leaving=(), to=None):
        homes = [h for h in self.wire.homes.values() if LINE_STATUS in h.served_services]
        others = [h for h in self.wire.homes.values() if EVIDENCE in h.served_services]
        return self.wire.publish({LINE_STATUS: homes, EVIDENCE: others}, leaving, to=to)


@pytest.fixture
def stage():
    return Stage()


@given("a crew follows the live feed of the line-status service")
def follow(stage):
    stage.open()
    stage.caller.subscribe("spans", 900, stage.wire.now)
    stage.wire.run(500)


@given(parsers.re("an? (adjuster|crew) holds a flow to the (ledger|line-status service)"))
def hold(stage):
    stage.open()


@when("every upstream is replaced in turn")
def replace(stage):
    for number, home in enumerate(list(stage.wire.homes.values())):
        stage.wire.add_home(f"new-{number}", 300 + number)
        stage.publish(leaving={home.name})
        stage.wire.run(3_000)
        stage.wire.kill(home)
        stage.publish()
        stage.wire.run(1_000)


@then("the feed has lost and repeated no event")
def unbroken(stage):
    positions = [e.position for e in stage.caller.events]
    assert positions == list(range(901, 901 + len(positions)))
    assert positions[-1] >= (stage.wire.now - wires.FEED_START) // wires.FEED_EVERY_MS - 20


@then("the crew never had to open its flow anew")
def kept(stage):
    assert stage.caller.reopen_count == 0


@when("the address of its upstream goes to the evidence service")
def reuse(stage):
    home = stage.home()
    stage.wire.kill(home)
    taker = stage.wire.add_home("evidence-0", home.address[1], EVIDENCE)
    # The balancers have not heard of it: they go on sending to that address.
    stage.publish(to=[taker])


@when("the adjuster sends an offset demand")
def demand(stage):
    stage.ask()
    stage.wire.run(SOON)


@then("no upstream ran a request of another service")
def kept_apart(stage):
    assert stage.wire.misplaced_runs == []
    assert stage.wire.all_runs[stage.request] <= 1
    assert all(
        stage.request not in h.runs
        for h in stage.wire.homes.values()
        if EVIDENCE in h.served_services
    )


@given("answers come late, twice and out of order")
def disorder(stage):
    rng = stage.wire.rng
    stage.wire.message_delays = lambda *_: [
        rng.randrange(1, 60) for _ in range(rng.choice([1, 1, 2]))
    ]


@when("several callers ask for large answers at the same time")
def ask_all(stage):
    for size in (10, 5_000, 40_000, 100_000):
        stage.ask(f"answers/{size}", caller=stage.wire.add_caller())


@then("each has the whole answer to its own request")
def whole(stage):
    for caller, request, path in stage.asked:
        assert stage.outcome(caller, request).body == stage.wire.answer_to(path, b"body")


@when("an offset demand is held up on the way and settled meanwhile")
def hold_up(stage):
    stage.wire.message_delays = lambda _s, _t, kind: [3_000] if kind == "Request" else [1]
    stage.ask()
    stage.wire.run(100)
    stage.caller.settle(stage.request, stage.wire.now)


@then("the adjuster is told at once that it was not run")
def told(stage):
    asked_at = stage.wire.now
    assert stage.outcome().outcome is progress.Outcome.NOT_RUN
    assert stage.wire.now - asked_at < 500


@then("the demand that arrives late is not run")
def never(stage):
    stage.wire.run(10_000)
    assert stage.wire.all_runs[stage.request] == 0


@when("each copy of its defect report comes twice and the answers are lost")
def twice(stage):
    lost_until = stage.wire.now + 2_000

    def message_delays(_source, _target, kind):
        if kind in ("AnswerPart", "Running") and stage.wire.now < lost_until:
            return []
        return [1, 300] if kind == "Request" else [1]

    stage.wire.message_delays = message_delays
    stage.ask()
    stage.wire.run(400)


@when("the upstream leaves meanwhile")
def leave(stage):
    stage.publish(leaving={stage.home().name})


@then("the defect report ran once")
def once(stage):
    stage.wire.run(10_000)
    assert stage.wire.all_runs[stage.request] == 1


@then("the crew has the answer")
def answered(stage):
    assert stage.outcome().outcome is progress.Outcome.ANSWERED


@when("the home of its flow dies while it runs the defect report")
def die(stage):
    stage.ask("slow/1000")
    stage.wire.run(300)
    stage.wire.kill(stage.home())
    stage.publish()


@then("the crew is told that the outcome is unknown")
def unknown(stage):
    assert stage.outcome().outcome is progress.Outcome.UNKNOWN


@given("callers send requests all the time")
def keep_asking(stage):
    callers = [stage.wire.add_caller() for _ in range(4)]
    stage.caller = callers[0]

    def ask():
        if stage.wire.now < wires.START + 9_000:
            stage.ask(caller=stage.wire.rng.choice(callers))

    stage.wire.schedule_every(60, ask)
    stage.wire.run(1_000)


@when("an upstream is marked as leaving and some balancers do not hear of it")
def mark(stage):
    stage.leaver = stage.home()
    stage.leaver.left_at = stage.wire.now
    deaf = next(iter(stage.wire.balancers.values()))
    parts = [*stage.wire.homes.values(), *stage.wire.balancers.values()]
    stage.publish(leaving={stage.leaver.name}, to=[p for p in parts if p is not deaf])


@then("it gets no new work after three seconds")
def no_work(stage):
    stage.wire.run(3_000)
    before = stage.leaver.runs.total()
    stage.wire.run(4_000)
    assert stage.leaver.runs.total() == before
    assert stage.wire.misplaced_runs == []


@then("the callers' requests are answered elsewhere")
def elsewhere(stage):
    stage.wire.run(SOON)
    for caller, request, _ in stage.asked[-20:]:
        assert stage.outcome(caller, request).outcome is progress.Outcome.ANSWERED


@when("the upstream is told to stop while it runs the defect report")
def stop(stage):
    stage.ask("slow/1000")
    stage.wire.run(300)
    stage.leaver = stage.home()
    stage.wire.post(stage.leaver, events.Leave("SIGTERM"))


@then("the upstream has handed its flows over")
def handed_over(stage):
    stage.wire.run(2_000)
    assert stage.leaver.core.flows[stage.caller.flow].moved_to is not None


@given("a configuration is in force on every balancer")
def configured(stage):
    stage.older = stage.wire.views[-1]
    stage.newer = stage.publish()


@when("the platform answers with an older revision")
def revert(stage):
    for part in [*stage.wire.balancers.values(), *stage.wire.homes.values()]:
        stage.wire.show_view(part, stage.older)


@then("the newer configuration stays in force everywhere")
def in_force(stage):
    assert all(b.view is stage.newer for b in stage.wire.balancers.values())
    assert all(h.core.view is stage.newer for h in stage.wire.homes.values())
