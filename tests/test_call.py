"""Test the safeguards of the caller's state machine; `scripts/mutants` removes them in turn."""

import functools

import pytest

import tests.wire as wires
from ebonystile.caller import messages
from ebonystile.core import view
from ebonystile.core.calls import call, progress

NOW = wires.START


def caller_with_token():
    """Return a caller's core that has a token, of incarnation 7."""
    caller = call.Call(wires.SERVICE, wires.random.Random(1), NOW, NOW + 9_000)
    token = view.Token(1, 7, view.key_of(wires.SERVICE)).pack()
    caller.receive(messages.Opened(caller.flow, token, 0, NOW + 9_000, (7,)), NOW)
    caller.outbox.clear()
    return caller


def sent(caller):
    """Return the messages that the caller has sent since the last call."""
    outbox = [messages.FROM_CALLER.decode(payload) for payload in caller.outbox]
    caller.outbox.clear()
    return outbox


@pytest.mark.parametrize("idempotent", [False, True])
def test_cancelled_request_that_never_arrived_is_not_run(idempotent):
    """A cancelled request whose copies all arrive late must not run or stay without an outcome."""
    wire = wires.make_service(count=2)
    caller = wire.add_caller()
    wire.run(200)
    wire.message_delays = lambda _s, _t, kind: [3_000] if kind == "Request" else [1]
    request = caller.request("report", b"r", wire.now + 9_000, idempotent, wire.now)
    wire.run(60)
    caller.cancel(request, wire.now)
    wire.run(1_000)
    assert [o.outcome for o in caller.outcomes] == [progress.Outcome.NOT_RUN]
    wire.run(9_000)
    assert wire.all_runs[request] == 0
    assert caller.reopen_count == 0


def test_flow_whose_lease_has_ended_is_opened_anew_before_a_request_needs_it():
    """After a pause of the caller longer than the lease, a request must not end as unknown."""
    wire = wires.make_service(count=2, flow_lease_ms=3_000)
    caller = wire.add_caller()
    wire.run(200)
    paused = dict(wire.callers)
    wire.callers.clear()
    wire.run(10_000)
    wire.callers.update(paused)
    wire.run(2_000)
    assert caller.reopen_count == 1
    request = caller.request("report", b"r", wire.now + 9_000, False, wire.now)
    wire.run(2_000)
    assert [(o.request, o.outcome) for o in caller.outcomes] == [
        (request, progress.Outcome.ANSWERED)
    ]


def test_second_home_is_closed():
    caller = caller_with_token()
    second = view.Token(2, 8, view.key_of(wires.SERVICE)).pack()
    caller.receive(messages.Opened(caller.flow, second, 1, NOW + 9_000, (8,)), NOW)
    assert [(type(m), m.token) for m in sent(caller)] == [(messages.Close, second)]


def test_parts_of_two_runs_of_a_request_are_not_mixed():
    caller = caller_with_token()
    request = caller.request("r", b"", NOW + 9_000, True, NOW)

    def part(answer, number, body):
        caller.receive(messages.AnswerPart(caller.flow, request, answer, number, 2, 200, body), NOW)

    part(b"one", 0, b"a")
    part(b"two", 1, b"B")
    assert caller.outcomes == []
    part(b"two", 0, b"A")
    assert [o.body for o in caller.outcomes] == [b"AB"]


def test_feed_is_delivered_in_order_and_once():
    caller = caller_with_token()
    feed = caller.subscribe("spans", 0, NOW)
    for position in (2, 1, 1, 3, 2, 2, 3):
        caller.receive(messages.FeedEvent(caller.flow, feed, position, b"%d" % position), NOW)
    assert [(e.position, e.body) for e in caller.events] == [(1, b"1"), (2, b"2"), (3, b"3")]


def test_one_search_without_a_home_does_not_end_a_request():
    """A single search that misses the home, as views differ, must not end a request that runs.

    Each part of an upload gets an `UnknownFlow`; they must count as one.
    """
    caller = caller_with_token()
    request = caller.request("r", bytes(50_000), NOW + 9_000, False, NOW)
    unknown = messages.UnknownFlow(caller.flow, request, "no upstream holds the flow")
    for _ in range(messages.WINDOW):
        caller.receive(unknown, NOW)
    assert caller.outcomes == []
    for attempt in range(1, progress.UNKNOWN_FLOW_LIMIT):
        assert caller.outcomes == []
        caller.receive(unknown, NOW + attempt * progress.FIRST_RESEND_MS)
    assert [o.outcome for o in caller.outcomes] == [progress.Outcome.UNKNOWN]


@pytest.mark.parametrize("token", [b"", b"short", bytes(99)])
def test_answer_with_a_foreign_token_changes_nothing(token):
    """A malformed token in an answer must not replace the flow's token."""
    caller = caller_with_token()
    before = caller.token
    caller.receive(messages.Opened(caller.flow, token, 1, NOW + 9_000, ()), NOW)
    caller.receive(messages.Moved(caller.flow, token, NOW + 9_000, (7,)), NOW)
    assert caller.token == before
    fresh = call.Call(wires.SERVICE, wires.random.Random(1), NOW, NOW + 9_000)
    fresh.receive(messages.Opened(fresh.flow, token, 0, NOW + 9_000, ()), NOW)
    assert fresh.token == b""


def test_reopened_flow_does_not_repeat_what_may_have_run():
    caller = caller_with_token()
    request = caller.request("r", b"", NOW + 9_000, False, NOW)
    caller.reopen(NOW)
    token = view.Token(2, 9, view.key_of(wires.SERVICE)).pack()
    sent(caller)
    caller.receive(messages.Opened(caller.flow, token, 0, NOW + 9_000, (9,)), NOW)
    assert sent(caller) == []
    assert [(o.request, o.outcome) for o in caller.outcomes] == [
        (request, progress.Outcome.UNKNOWN)
    ]


def test_home_timeout_does_not_end_a_request_that_may_have_run():
    """A partition longer than the home timeout must not end a request that may have run."""
    caller = caller_with_token()
    caller.subscribe("spans", 0, NOW)
    caller.request("r", b"", NOW + 20_000, False, NOW)
    for now in range(NOW, NOW + 2 * call.HOME_TIMEOUT_MS, 50):
        caller.tick(now)
    assert caller.reopen_count == 0
    assert caller.outcomes == []


def test_repeated_parts_of_a_large_answer_trigger_no_fetch():
    """Repeated parts of an answer must not trigger further fetches, which would multiply them.

    After a whole window, repeated or not, the caller fetches the next one once.
    """
    caller = caller_with_token()
    request = caller.request("large", b"", NOW + 9_000, True, NOW)
    part = functools.partial(
        messages.AnswerPart, caller.flow, request, b"a", status=200, parts=3 * messages.WINDOW
    )
    caller.outbox.clear()
    for number in (*range(messages.WINDOW), *range(messages.WINDOW)):
        caller.receive(part(part=number, body=b"x"), NOW + 50)
    fetches = [messages.FROM_CALLER.decode(payload) for payload in caller.outbox]
    assert [type(message) for message in fetches] == [messages.Fetch]
    assert fetches[0].parts == tuple(range(messages.WINDOW, 2 * messages.WINDOW))
