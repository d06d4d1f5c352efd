"""Check the answers of a process to operators' questions."""

import random

import pytest

from ebonystile import timeline
from ebonystile.core import view
from ebonystile.core.calls import balancer, flows, sidecar, sidecar_state
from ebonystile.daemon import answers
from ebonystile.operator import messages

ID = bytes(16)
FLOW = b"\x0f" * 16
UPSTREAMS = [
    view.make_endpoint("u1", ("10.0.0.1", 1), "a"),
    view.make_endpoint("u2", ("10.0.0.2", 1), "a", leaving=True),
    view.make_endpoint("u3", ("10.0.0.3", 1), "b"),
]
VIEW = view.make_view(7, [view.make_service("s", "10.1.0.1:1", UPSTREAMS)], (), [("10.0.0.9", 2)])
HOME = view.Token(view.key_of("u1"), 0xAA, view.key_of("s")).pack()
OTHER_SERVICE = view.Token(view.key_of("u1"), 0xAA, view.key_of("t")).pack()
GONE = view.Token(view.key_of("u9"), 0xAA, view.key_of("s")).pack()


def make_process(role, shell=None):
    if role == answers.BALANCER:
        core = balancer.make_balancer(("10.0.0.9", 2), random.Random(1))
    else:
        core = sidecar.make_sidecar("u1", 0xAA, sidecar_state.Limits(), random.Random(1), 0)
    core.view = VIEW
    identity = answers.Identity("u1", role, "a", 0xAA, 1_000)
    ring = timeline.make_ring("u1", role, 0xAA, 10)
    return answers.ProcessState(core, identity, shell or answers.ShellState(), ring, 61_000)


def hold_flow(process):
    caller = ("10.9.0.1", 5)
    flow = flows.Flow(FLOW, "s", HOME, caller, caller, 99_000, {0xAA})
    process.core.flows[FLOW] = flow
    return flow


def test_status_of_a_sidecar():
    process = make_process(answers.SIDECAR, answers.ShellState(1, "", ("b1",), ("bad",)))
    hold_flow(process)
    process.core.slots.admit((FLOW, ID), "ledger", 1 << 60, 0, random.Random(1))
    process.core.served_services = frozenset({"s"})
    status = answers.answer(messages.StatusRequest(ID), process)
    assert (status.revision, status.flows, status.running, status.queued) == (7, 1, 1, 1)
    assert (status.suspected, status.refusals, status.services) == (("b1",), ("bad",), ("s",))
    assert status.now - status.started == 60_000


def test_status_excludes_flows_handed_over():
    process = make_process(answers.SIDECAR)
    hold_flow(process).moved_to = UPSTREAMS[2]
    assert answers.answer(messages.StatusRequest(ID), process).flows == 0


def test_status_of_a_leaving_balancer():
    process = make_process(answers.BALANCER, answers.ShellState(leaving="SIGTERM"))
    status = answers.answer(messages.StatusRequest(ID), process)
    assert (status.role, status.leaving, status.flows) == ("balancer", "SIGTERM", 0)


def test_events_are_the_newest_that_fit(monkeypatch):
    process = make_process(answers.SIDECAR)
    for time in range(5):
        process.ring.add(time, "opened", flow=FLOW)
    question = messages.EventsRequest(ID, FLOW[:2], b"", "", "", 2, 9)
    answer = answers.answer(question, process)
    assert [messages.RECORDS.decode(r).time for r in answer.records] == [2, 3, 4]
    monkeypatch.setattr(answers, "MAX_RECORDS_BYTES", 2 * len(answer.records[0]))
    answer = answers.answer(question, process)
    assert [messages.RECORDS.decode(r).time for r in answer.records] == [3, 4]


@pytest.mark.parametrize(
    ("token", "sends_to", "why"),
    [
        (HOME, "u1", "the token names it"),
        (b"", "", "no token"),
        (b"short", "", "no token"),
        (OTHER_SERVICE, "", "the token is of another service"),
        (GONE, "", "the token's upstream is not in this view"),
    ],
)
def test_explain_maps_a_token_to_its_upstream(token, sends_to, why):
    question = messages.ExplainRequest(ID, "s", FLOW, token)
    reply = answers.answer(question, make_process(answers.BALANCER))
    assert (reply.sends_to, reply.holds, reply.known) == (sends_to, messages.ABSENT, True)
    assert reply.why.startswith(why)
    assert set(reply.ranking) == {"u1", "u3"} and reply.leaving == ("u2",)


def test_explain_reports_the_status_of_a_flow():
    process = make_process(answers.SIDECAR)
    question = messages.ExplainRequest(ID, "s", FLOW, b"")
    assert answers.answer(question, process).holds == messages.ABSENT
    flow = hold_flow(process)
    assert answers.answer(question, process).holds == messages.HOME
    flow.handover = flows.Handover(ID, UPSTREAMS[2], 9)
    reply = answers.answer(question, process)
    assert (reply.holds, reply.target) == (messages.FENCED, "u3")
    flow.moved_to = UPSTREAMS[0]
    reply = answers.answer(question, process)
    assert (reply.holds, reply.target) == (messages.MOVED, "u1")


def test_explain_of_an_unknown_service():
    question = messages.ExplainRequest(ID, "none", FLOW, HOME)
    reply = answers.answer(question, make_process(answers.SIDECAR))
    assert (reply.known, reply.ranking) == (False, ())


def test_processes_lists_balancers_and_sidecars():
    reply = answers.answer(messages.ProcessesRequest(ID), make_process(answers.BALANCER))
    assert ("10.0.0.9:2", "balancer", ("10.0.0.9", 2)) in reply.processes
    assert ("u3", "sidecar", ("10.0.0.3", 1)) in reply.processes
