"""Show each safeguard of the cores at work alone; `scripts/mutants` takes them out one by one."""

import dataclasses
import types

import pytest

import tests.wire as wires
from ebonystile import clock, errors
from ebonystile.caller import messages
from ebonystile.core import view
from ebonystile.core.calls import balancer, effects, events, progress, sidecar, sidecar_state
from ebonystile.daemon import sidecar as shell
from ebonystile.peer import messages as peer_messages
from ebonystile.peer import transfer
from ebonystile.upstream import client

NOW = wires.START
FLOW = b"f" * 16
CALLER = ("10.0.0.3", 1)
VIA = ("10.0.0.2", 100)
OTHER = ("10.0.0.2", 101)


class One:
    """One sidecar's core with a view of itself and two siblings, and what it did last."""

    def __init__(self, **limits):
        self.wire = wires.make_service(count=3, balancers=2, **limits)
        self.homes = list(self.wire.homes.values())
        self.core = self.homes[0].core
        self.did = []
        self.take(events.ViewChanged(self.core.view), NOW)

    def take(self, event, now):
        """Give the core an event, keep what it does, and return its words to callers."""
        self.did = sidecar.decide(self.core, event, now)
        return [
            messages.TO_CALLER.decode(e.payload)
            for e in self.did
            if isinstance(e, effects.ToCaller)
        ]

    def tick(self, now):
        return self.take(events.Tick(), now)

    def say(self, message, now):
        """Bring a caller's message to the core."""
        payload = messages.FROM_CALLER.encode(message)
        return self.take(events.Arrived(peer_messages.Forward(CALLER, VIA, (), payload)), now)

    def open(self, flow=FLOW, now=NOW, service=wires.SERVICE):
        """Open a flow here and return its token."""
        words = self.say(messages.Open(flow, service, b"", 0, now + 9_000, bytes(160)), now)
        return words[0].token

    def ask(self, token, request, deadline, now, **changes):
        """Send a whole request."""
        message = messages.Request(
            FLOW, wires.SERVICE, token, request, deadline, False, "r", 0, 1, True, b"body"
        )
        return self.say(dataclasses.replace(message, **changes), now)

    @property
    def runs(self):
        """The requests that the last event handed to the upstream."""
        return [e.key[1] for e in self.did if isinstance(e, effects.RunRequest)]

    def finish(self, request, now):
        return self.take(events.Finished((FLOW, request), 200, b"answer"), now)


def kinds(words):
    return [type(word).__name__ for word in words]


def test_shell_checks_the_deadline_at_the_moment_of_hand_off():
    """The process is paused between the decision and the hand-off, past the deadline.

    The upstream must not see the request: its record may be gone by now.
    """
    seen = []
    daemon = types.SimpleNamespace(
        upstream=types.SimpleNamespace(run=seen.append),
        config=types.SimpleNamespace(upstream="http://127.0.0.1:1"),
    )
    job = client.Job(b"r", wires.SERVICE, "r", b"", clock.now() - 1, False)
    with pytest.raises(errors.UpstreamError) as caught:
        shell.Daemon.hand_over_request(daemon, job)
    assert not caught.value.may_have_run
    assert seen == []


def test_repeat_gets_the_recorded_answer_until_the_deadline():
    one = One()
    token = one.open()
    one.ask(token, b"r", NOW + 30_000, NOW)
    assert one.runs == [b"r"]
    first = one.finish(b"r", NOW + 50)
    for now in range(NOW + 100, NOW + 30_000, 700):
        one.tick(now)
        assert one.ask(token, b"r", NOW + 30_000, now) == first
        assert one.runs == []


def test_past_the_record_the_outcome_is_unknown():
    """The record has been dropped: "not run" would be a lie and a run would be the second one."""
    one = One()
    token = one.open()
    one.ask(token, b"r", NOW + 1_000, NOW)
    one.finish(b"r", NOW + 50)
    for late in range(0, 20_000, 500):
        one.tick(NOW + late)
    settle = messages.Settle(FLOW, wires.SERVICE, token, b"r", NOW + 1_000)
    assert kinds(one.say(settle, NOW + 20_000)) == ["OutcomeUnknown"]
    assert kinds(one.ask(token, b"r", NOW + 1_000, NOW + 20_000)) == ["OutcomeUnknown"]


def test_deadlines_far_away_are_neither_run_nor_promised():
    one = One()
    token = one.open()
    assert kinds(one.ask(token, b"r", NOW + 10_000_000, NOW)) == ["OutcomeUnknown"]
    assert one.runs == []


def test_full_ledger_refuses_for_good_without_room_for_a_tombstone():
    """The caller is told "not run" while the ledger is full; a late copy comes when it is not."""
    one = One(ledger=3, ledger_margin=100)
    token = one.open()
    for number in range(3):
        one.ask(token, b"%d" % number, NOW + 1_000, NOW)
        one.finish(b"%d" % number, NOW + 1)
    assert kinds(one.ask(token, b"r", NOW + 5_000, NOW + 10)) == ["NotRun"]
    assert len(one.core.ledger.entries) == 3
    for now in range(NOW + 50, NOW + 3_000, 50):
        one.tick(now)
    assert not one.core.ledger.is_full
    assert kinds(one.ask(token, b"r", NOW + 5_000, NOW + 3_000)) == ["NotRun"]
    assert one.runs == []
    assert kinds(one.ask(token, b"s", NOW + 6_000, NOW + 3_000)) == []
    assert one.runs == [b"s"]


def test_settled_request_never_runs():
    """A caller in doubt settles a request whose only copy is still on its way."""
    one = One()
    token = one.open()
    settle = messages.Settle(FLOW, wires.SERVICE, token, b"r", NOW + 5_000)
    assert kinds(one.say(settle, NOW)) == ["NotRun"]
    assert kinds(one.ask(token, b"r", NOW + 5_000, NOW + 100)) == ["NotRun"]
    assert one.runs == []


def test_queued_request_past_its_deadline_does_not_start():
    one = One(slots=1)
    token = one.open()
    one.ask(token, b"1", NOW + 5_000, NOW)
    one.ask(token, b"2", NOW + 200, NOW)
    words = one.finish(b"1", NOW + 300)
    assert "NotRun" in kinds(words)
    assert one.runs == []


@pytest.mark.parametrize(("may_have_run", "word"), [(True, "OutcomeUnknown"), (False, "NotRun")])
def test_failure_is_told_truthfully(may_have_run, word):
    one = One()
    token = one.open()
    one.ask(token, b"r", NOW + 5_000, NOW)
    failed = events.Failed((FLOW, b"r"), "the connection broke", may_have_run)
    assert kinds(one.take(failed, NOW + 50)) == [word]


def test_leaving_upstream_takes_no_new_work_and_refuses_what_waits_at_once():
    """What runs goes on; what waits is refused at once; a balancer's old view changes nothing."""
    one = One(slots=1)
    token = one.open()
    one.ask(token, b"1", NOW + 9_000, NOW)
    one.ask(token, b"2", NOW + 9_000, NOW)
    words = one.take(events.Leave("SIGTERM"), NOW + 10)
    assert [w.request for w in words] == [b"2"]
    assert kinds(words) == ["NotRun"]
    assert kinds(one.ask(token, b"3", NOW + 9_000, NOW + 20)) == ["NotRun"]
    opening = messages.Open(b"g" * 16, wires.SERVICE, b"", 0, NOW + 9_000, bytes(160))
    assert one.say(opening, NOW + 20) == []
    assert [type(e) for e in one.did if not isinstance(e, effects.Trace)] == [effects.ToSidecar]
    assert kinds(one.finish(b"1", NOW + 30)) == ["AnswerPart"]
    assert one.runs == []


def test_leaving_upstream_refuses_an_upload_at_its_first_part():
    """The caller must not upload for minutes only to hear at the end that nothing was run."""
    one = One(slots=1)
    token = one.open()
    one.ask(token, b"1", NOW + 9_000, NOW)
    one.take(events.Leave("SIGTERM"), NOW + 10)
    assert kinds(one.ask(token, b"2", NOW + 9_000, NOW + 20, parts=500)) == ["NotRun"]
    assert one.core.upload_bytes == 0


def test_service_that_was_taken_away_gets_no_new_work():
    one = One()
    token = one.open()
    one.wire.publish({wires.SERVICE: one.homes[1:], "photos": one.homes[:1]})
    assert one.core.served_services == {"photos"}
    one.core.flows[FLOW].handover = None
    assert kinds(one.ask(token, b"r", NOW + 9_000, NOW + 20)) == ["NotRun"]
    assert kinds(one.ask(token, b"s", NOW + 9_000, NOW + 20, parts=500)) == ["NotRun"]
    assert one.runs == []


def test_woken_process_takes_no_new_work_until_its_view_is_confirmed():
    """While the process was paused, its upstream may have been given to another service."""
    one = One()
    token = one.open()
    woken = NOW + one.core.limits.pause_bound + 1_000
    assert kinds(one.ask(token, b"r", woken + 9_000, woken)) == ["NotRun"]
    assert one.runs == []
    one.take(events.ViewChanged(one.core.view), woken + 10)
    one.ask(token, b"s", woken + 9_000, woken + 20)
    assert one.runs == [b"s"]


def test_views_never_go_back():
    one = One()
    older = one.core.view
    newer = one.wire.publish({wires.SERVICE: one.homes[:1]})
    one.take(events.ViewChanged(older), NOW)
    assert one.core.view is newer
    entry = next(iter(one.wire.balancers.values()))
    assert not balancer.change_view(entry, older)
    assert entry.view is newer


def other_service_token(token):
    """Return the token with another service in it."""
    return dataclasses.replace(view.unpack_token(token), service=view.key_of("photos")).pack()


def test_packet_of_another_service_is_stopped_at_the_balancer_and_at_the_home():
    """A token of one service comes with the name of another, or with the name that it forges."""
    one = One()
    token = one.open()
    entry = next(iter(one.wire.balancers.values()))
    for service, used in (("photos", token), (wires.SERVICE, other_service_token(token))):
        message = messages.Heartbeat(FLOW, service, used)
        payload = messages.FROM_CALLER.encode(message)
        assert balancer.route(entry, CALLER, payload, NOW) == balancer.Drop("wrong_service")
    one.ask(token, b"r", NOW + 9_000, NOW, service="photos")
    assert one.runs == []
    forged = other_service_token(token)
    one.ask(forged, b"r", NOW + 9_000, NOW, service="photos")
    assert one.runs == []
    one.ask(forged, b"r", NOW + 9_000, NOW)
    assert one.runs == []


def test_token_of_another_home_of_the_flow_runs_nothing():
    one = One()
    token = one.open()
    older = dataclasses.replace(view.unpack_token(token), incarnation=12345).pack()
    one.ask(older, b"r", NOW + 9_000, NOW)
    assert one.runs == []


def transfer_to(one, **changes):
    """Return a transfer to a core that holds nothing yet."""
    made = transfer.Transfer(
        b"t" * 16,
        one.core.incarnation,
        NOW + 20_000,
        FLOW,
        wires.SERVICE,
        (5,),
        CALLER,
        VIA,
        0,
        0,
        (),
        (),
    )
    return dataclasses.replace(made, **changes)


def reply_to(one, message, now=NOW):
    one.take(events.TransferArrived(1, message), now)
    return next(e.reply for e in one.did if isinstance(e, effects.AnswerTransfer))


def test_refused_transfer_stays_refused():
    """The target refuses while it leaves; it stays after all, and a late copy arrives.

    The old home has gone to another target: taking the copy would make a second home.
    """
    one = One()
    one.take(events.Leave("label"), NOW)
    assert not reply_to(one, transfer_to(one)).accepted
    one.core.leaving_reason = ""
    reply = reply_to(one, transfer_to(one))
    assert not reply.accepted
    assert reply.reason


def test_late_transfer_and_one_for_another_incarnation_are_refused():
    one = One()
    assert not reply_to(one, transfer_to(one, deadline=NOW)).accepted
    assert not reply_to(one, transfer_to(one, incarnation=99)).accepted
    assert reply_to(one, transfer_to(one, id=b"u" * 16)).accepted


def test_same_transfer_is_taken_once():
    """The reply was lost, and the flow has ended meanwhile. The copy must not revive it."""
    one = One()
    assert reply_to(one, transfer_to(one)).accepted
    token = one.core.flows[FLOW].token
    one.say(messages.Close(FLOW, wires.SERVICE, token), NOW + 10)
    assert reply_to(one, transfer_to(one), NOW + 20).accepted
    assert FLOW not in one.core.flows


def test_taken_transfer_is_remembered_past_its_deadline():
    """The old home's clock is behind, so it still asks; a refusal would send it to a third one."""
    one = One()
    assert reply_to(one, transfer_to(one)).accepted
    late = NOW + 20_000 + one.core.limits.transfer_memory // 2
    one.core.flows.clear()
    one.tick(late)
    assert reply_to(one, transfer_to(one), late).accepted
    one.tick(late + one.core.limits.transfer_memory)
    assert not one.core.accepted_transfers


def test_close_meant_for_a_second_home_does_not_end_the_flow_that_it_was_joined_with():
    one = One()
    one.open()
    assert reply_to(one, transfer_to(one)).accepted
    second = view.Token(one.core.siblings(wires.SERVICE)[0].key, 5, view.key_of(wires.SERVICE))
    one.say(messages.Close(FLOW, wires.SERVICE, second.pack()), NOW + 10)
    assert FLOW in one.core.flows
    one.say(messages.Close(FLOW, wires.SERVICE, one.core.flows[FLOW].token), NOW + 20)
    assert FLOW not in one.core.flows


def test_what_the_old_home_has_forgotten_is_unknown_at_the_new_one():
    """The old home's clock ran ahead, so it dropped a record whose deadline has not come here."""
    one = One()
    reply_to(one, transfer_to(one, forgotten_before=NOW + 5_000))
    token = one.core.flows[FLOW].token
    assert kinds(one.ask(token, b"r", NOW + 4_000, NOW + 10)) == ["OutcomeUnknown"]
    assert one.runs == []
    one.ask(token, b"s", NOW + 6_000, NOW + 10)
    assert one.runs == [b"s"]


def test_request_that_ran_at_a_lost_target_does_not_run_again():
    """The target takes the flow, runs a request, and is restarted before its reply has arrived.

    The request must not run again, its caller hears that its outcome is unknown, and the next one
    is answered in a flow opened anew.
    """
    wire = wires.make_service(count=2)
    caller = wire.add_caller()
    wire.run(100)
    old = next(h for h in wire.homes.values() if caller.flow in h.core.flows)
    target = next(h for h in wire.homes.values() if h is not old)
    wire.judge = lambda s, t, k: [] if k == "TransferReply" and wire.traces_of("adopted") else [1]
    wire.publish({wires.SERVICE: list(wire.homes.values())}, leaving={old.name})
    wire.run(2_000, lambda: wire.traces_of("adopted"))
    # The caller knows no new token yet: its packets come by the old home's signpost, or a walk.
    request = caller.request("report", b"r", wire.now + 9_000, False, wire.now)
    wire.judge = lambda s, t, k: [] if k in ("TransferReply", "AnswerPart", "Moved") else [1]
    wire.run(60)
    ran = wire.all_runs[request]
    wire.kill(target)
    again = wire.add_home(target.name, target.address[1])
    wire.show(again, wire.views[-1])
    wire.judge = lambda *_: [1]
    wire.run(12_000)
    assert wire.all_runs[request] <= max(1, ran)
    assert [o.outcome for o in caller.outcomes] == [progress.Outcome.UNKNOWN]
    later = caller.request("report", b"r", wire.now + 9_000, False, wire.now)
    wire.run(12_000)
    assert [o.outcome for o in caller.outcomes if o.request == later] == [progress.Outcome.ANSWERED]


def test_answer_and_feed_return_by_another_balancer():
    """The balancer that a packet came by has been replaced; the caller must not wait in vain."""
    one = One()
    token = one.open()
    one.ask(token, b"r", NOW + 9_000, NOW)
    one.core.view = dataclasses.replace(one.core.view, balancers=(OTHER,))
    one.finish(b"r", NOW + 50)
    assert {e.balancer for e in one.did if isinstance(e, effects.ToCaller)} == {OTHER}


def test_unacknowledged_feed_is_resent_by_other_balancers():
    """The balancer last heard from has died, and the view does not show it yet."""
    one = One()
    token = one.open()
    one.say(messages.Subscribe(FLOW, wires.SERVICE, token, b"s", "spans", 0), NOW)
    used = set()
    one.take(events.FeedBatch("spans", 0, ((1, b"e"),)), NOW + 10)
    for now in range(NOW + 50, NOW + 2_900, 50):
        one.tick(now)
        used |= {e.balancer for e in one.did if isinstance(e, effects.ToCaller)}
    assert used == {VIA, OTHER}


def test_a_caller_that_is_late_is_not_flooded_with_repeats_of_its_feed():
    """A caller and its balancers are seconds late on a busy machine; 20 events are under way to it.

    No acknowledgement comes for 6 s. If all of the events were sent again each time, what had to
    be worked off would grow faster than anybody late could work, and nobody would be in time again.
    Once the caller answers, it gets the rest within a few exchanges.
    """
    one = One()
    token = one.open()
    one.say(messages.Subscribe(FLOW, wires.SERVICE, token, b"s", "spans", 0), NOW)
    batch = tuple((position, b"%d" % position) for position in range(1, 21))
    first = one.take(events.FeedBatch("spans", 0, batch), NOW + 10)
    assert positions(first) == list(range(1, 21))
    repeated = []
    for now in range(NOW + 50, NOW + 6_000, 50):
        repeated += positions(one.tick(now))
    assert set(repeated) == {1}
    assert len(repeated) <= 8
    got, exchanges = 1, 0
    while got < 20:
        acknowledged = messages.Acknowledge(FLOW, wires.SERVICE, token, b"s", got)
        got = max(positions(one.say(acknowledged, NOW + 6_100)))
        exchanges += 1
    assert exchanges <= 5


def positions(told):
    """Return the positions of the feed's events among what the caller was told."""
    return [m.position for m in told if isinstance(m, messages.FeedEvent)]


def test_answer_is_held_until_its_caller_has_all_of_it():
    one = One()
    token = one.open()
    one.ask(token, b"r", NOW + 9_000, NOW)
    answer = one.finish(b"r", NOW + 50)
    one.say(messages.Acknowledge(FLOW, wires.SERVICE, token, b"r", 2), NOW + 60)
    assert one.ask(token, b"r", NOW + 9_000, NOW + 70) == answer
    one.say(messages.Acknowledge(FLOW, wires.SERVICE, token, b"r", 1), NOW + 80)
    assert one.core.ledger.answer_bytes == 0
    assert one.ask(token, b"r", NOW + 9_000, NOW + 90) == []
    assert one.runs == []


def test_incarnations_that_a_flow_answers_for_are_bounded():
    assert sidecar_state.flows.merge_incarnations(tuple(range(20)), (21,)) == (
        13,
        14,
        15,
        16,
        17,
        18,
        19,
        21,
    )
