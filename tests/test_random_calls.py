"""Random messages, views and pauses into the core of a sidecar of the product's own calls.

Whatever comes, no exception may end the process, also while no upstream is listed, or only this one
or leaving ones. `--hypothesis-profile=long` runs more and longer examples.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import effects, events, sidecar, sidecar_state
from ebonystile.peer import messages

MAX_TICKS = 20
"""Ticks that pass in one step of time at most."""

START = 1_800_000_000_000
LIMITS = sidecar_state.Limits(slots=1, max_queued=2, max_flows=3, max_records=5)
CALLER, VIA = ("100.64.0.7", 40_001), ("10.0.0.2", 1)
FLOWS = tuple(bytes([number]) * caller_messages.ID_BYTES for number in range(4))
REQUESTS = tuple(bytes([16 + number]) * caller_messages.ID_BYTES for number in range(4))
SERVICES = ("s", "t")
NAMES = ("u1", "u2", "u3")
PATHS = ("/a", "/b")

flows = st.sampled_from(FLOWS)
requests = st.sampled_from(REQUESTS)
services = st.sampled_from(("s", "s", "s", "t"))
paths = st.sampled_from(PATHS)
positions = st.integers(0, 40)
places = st.integers(0, 19)
validity = st.sampled_from((True,) * 5 + (False,))
rarely = st.sampled_from((False,) * 9 + (True,))
delays = st.sampled_from((0, 1, 50, 300, 1_000, 3_500, 30_000, 400_000))
"""Time in ms until a deadline, or between two steps."""


def make_endpoint(name, *, leaving=False):
    return view.make_endpoint(name, ("10.0.1.1", 1 + NAMES.index(name)), "a", leaving=leaving)


members = st.one_of(
    st.just([]),
    st.just([make_endpoint("u1")]),
    st.just([make_endpoint("u1"), make_endpoint("u2")]),
    st.lists(
        st.builds(make_endpoint, st.sampled_from(NAMES), leaving=st.booleans()),
        max_size=3,
        unique_by=lambda endpoint: endpoint.name,
    ),
)


class SidecarMachine(stateful.RuleBasedStateMachine):
    """The sidecar of `u1`; its upstream answers late, fails, or doesn't answer."""

    def __init__(self):
        super().__init__()
        self.now = START
        self.revision = 0
        self.running = []
        self.polled = []
        self.handed_over = []
        self.core = sidecar.make_sidecar("u1", 1, LIMITS, random.Random(1), self.now)
        self.change_view({"s": [make_endpoint("u1")], "t": []})

    def post(self, event):
        for effect in sidecar.decide(self.core, event, self.now):
            if isinstance(effect, effects.ToSidecar):
                assert messages.pack_forward(effect.forward)
            elif isinstance(effect, effects.RunRequest):
                self.running.append(effect.key)
            elif isinstance(effect, effects.PollFeed):
                self.polled.append(effect)
            elif isinstance(effect, effects.SendTransfer):
                self.handed_over.append(effect.transfer)
        del self.running[:-20], self.polled[:-20], self.handed_over[:-20]

    def send(self, message):
        payload = caller_messages.FROM_CALLER.encode(message)
        self.post(events.Arrived(messages.Forward(CALLER, VIA, (), payload)))

    def address_of(self, place, flow, *, is_valid):
        """Return flow, service and token of an open flow, or of `flow` with an invalid token."""
        opened = list(self.core.flows.values())
        if not opened or not is_valid:
            return (flow, "s", bytes(view.TOKEN.size))
        chosen = opened[place % len(opened)]
        return (chosen.id, chosen.service, chosen.token)

    @stateful.rule(flow=flows, service=services, attempt=st.integers(0, 3), delay=delays)
    def open(self, flow, service, attempt, delay):
        padding = bytes(caller_messages.OPEN_BYTES)
        message = caller_messages.Open(flow, service, b"", attempt, self.now + delay, padding)
        self.send(message)

    @stateful.rule(
        place=places,
        flow=flows,
        is_valid=validity,
        request=requests,
        delay=delays,
        idempotent=st.booleans(),
        path=paths,
        part=st.sampled_from((0, 0, 1)),
        parts=st.sampled_from((1, 1, 2)),
        report=st.booleans(),
    )
    def request(self, place, flow, is_valid, request, delay, idempotent, path, part, parts, report):
        address = self.address_of(place, flow, is_valid=is_valid)
        deadline = self.now + delay
        numbers = (part, parts, report)
        self.send(
            caller_messages.Request(*address, request, deadline, idempotent, path, *numbers, b"x")
        )

    @stateful.rule(
        place=places,
        flow=flows,
        is_valid=validity,
        request=requests,
        kind=st.sampled_from(("fetch", "subscribe", "acknowledge", "cancel", "settle")),
        path=paths,
        position=positions,
        delay=delays,
    )
    def send_on_flow(self, place, flow, is_valid, request, kind, path, position, delay):
        address = (*self.address_of(place, flow, is_valid=is_valid), request)
        made = {
            "fetch": lambda: caller_messages.Fetch(*address, self.answer_of(address), (position,)),
            "subscribe": lambda: caller_messages.Subscribe(*address, path, position),
            "acknowledge": lambda: caller_messages.Acknowledge(*address, position),
            "cancel": lambda: caller_messages.Cancel(*address),
            "settle": lambda: caller_messages.Settle(*address, self.now + delay),
        }
        self.send(made[kind]())

    def answer_of(self, address):
        """Return the id of the answer to a request, or another id if it has none."""
        flow, _, _, request = address
        known = self.core.ledger.get(flow, request)
        return known.answer_id if known is not None and known.answer_id else REQUESTS[0]

    @stateful.rule(place=places, flow=flows, is_valid=validity, closes=rarely)
    def keep_or_close(self, place, flow, is_valid, closes):
        made = caller_messages.Close if closes else caller_messages.Heartbeat
        self.send(made(*self.address_of(place, flow, is_valid=is_valid)))

    @stateful.rule(
        place=places,
        status=st.sampled_from((200, 404, 503)),
        size=st.sampled_from((0, 1, 3_000)),
        fails=st.booleans(),
        may_have_run=st.booleans(),
        delay=delays,
    )
    def finish(self, place, status, size, fails, may_have_run, delay):
        """End a request at the upstream, perhaps one that has ended before."""
        if not self.running:
            return
        key = self.running[place % len(self.running)]
        if fails:
            self.post(events.Failed(key, "refused", may_have_run, self.now + delay))
        else:
            self.post(events.Finished(key, status, bytes(size)))

    @stateful.rule(place=places, count=st.integers(0, 5), fails=st.booleans())
    def answer_feed(self, place, count, fails):
        if not self.polled:
            return
        poll = self.polled[place % len(self.polled)]
        batch = tuple((poll.after + number + 1, b"e") for number in range(count))
        if fails:
            self.post(events.FeedFailed(poll.path, "refused"))
        else:
            self.post(events.FeedBatch(poll.path, poll.after, batch))

    @stateful.rule(place=places)
    def fail_handover(self, place):
        if self.handed_over:
            sent = self.handed_over[place % len(self.handed_over)]
            self.post(events.TransferFailed(sent.flow, sent.id, "no answer"))

    @stateful.rule(listed=st.fixed_dictionaries(dict.fromkeys(SERVICES, members)))
    def change_view(self, listed):
        self.revision += 1
        made = [view.make_service(n, "10.1.0.1:443", m) for n, m in listed.items() if m or n == "s"]
        self.post(events.ViewChanged(view.make_view(self.revision, made, balancers=[VIA])))

    @stateful.rule(loses=rarely)
    def lose_all_services(self, loses):
        if not loses:
            return
        self.revision += 1
        self.post(events.ViewChanged(view.make_view(self.revision, [])))

    @stateful.rule(
        name=st.sampled_from(NAMES),
        flow_count=st.integers(0, 9),
        running=st.integers(0, 9),
        slots=st.integers(0, 2),
        leaving=st.booleans(),
    )
    def report_load(self, name, flow_count, running, slots, leaving):
        report = messages.LoadReport(
            name, 1, "a", self.now, slots, 9, flow_count, running, leaving=leaving
        )
        self.post(events.LoadReported(report))

    @stateful.rule(ok=st.booleans(), in_slow_start=st.booleans(), work=st.integers(0, 9))
    def observe_upstream(self, ok, in_slow_start, work):
        self.post(events.UpstreamHealth(ok, in_slow_start))
        self.post(events.UpstreamLoad(work))

    @stateful.rule(leaves=rarely)
    def leave(self, leaves):
        if leaves:
            self.post(events.Leave("SIGTERM"))

    @stateful.rule(ms=delays, is_paused=st.booleans())
    def pass_time(self, ms, is_paused):
        end = self.now + ms
        step = max(events.TICK_MS, ms // MAX_TICKS)
        while not is_paused and self.now + step < end:
            self.now += step
            self.post(events.Tick())
        self.now = end
        self.post(events.Tick())

    @stateful.invariant()
    def state_is_bounded(self):
        assert len(self.core.flows) <= LIMITS.max_flows
        assert len(self.core.slots.queue) <= LIMITS.max_queued
        assert set(self.core.sources) <= set(PATHS)
        assert not self.core.effects, "effects that nothing performs"


def test_a_subscription_with_the_id_of_a_request_ends_no_sidecar():
    """While the flow was handed over, one message of its caller ended the process."""
    machine = SidecarMachine()
    machine.change_view({"s": [make_endpoint("u1"), make_endpoint("u2")], "t": []})
    machine.open(FLOWS[0], "s", 0, 30_000)
    flow = machine.core.flows[FLOWS[0]]
    address = (flow.id, flow.service, flow.token, REQUESTS[0])
    machine.send(
        caller_messages.Request(*address, machine.now + 30_000, True, "/a", 0, 1, False, b"x")
    )
    machine.post(events.Finished((flow.id, REQUESTS[0]), 200, b"x"))
    machine.post(events.Leave("SIGTERM"))
    assert flow.is_fenced
    machine.send(caller_messages.Subscribe(*address, "/a", 0))
    assert flow.is_fenced and not flow.feeds


TestSidecar = SidecarMachine.TestCase
if hypothesis.settings.get_current_profile_name() == "suite":
    TestSidecar.settings = hypothesis.settings(max_examples=150, stateful_step_count=80)
