"""Check which word on a process holds, and that what is kept of the gone is bounded."""

import dataclasses

import pytest

from ebonystile.core import budget
from ebonystile.core.control import assembly, membership, store

ADDRESS = ("10.0.0.1", 7000)
NOW = 1_000_000
ALIVE, LEAVING, SUSPECT, DEAD = membership.MemberState


def said(state, generation=5, name="x"):
    return membership.Statement(name, "upstream", ADDRESS, "umea", generation, state)


def make(**listed):
    members = membership.make_membership(
        "me", "balancer", ("10.0.0.9", 7000), "umea", NOW, membership.Limits()
    )
    members.listed = {n: store.Entry(1, i) for n, i in listed.items()}
    return members


@pytest.mark.parametrize(
    ("first", "second", "holds"),
    [
        (said(ALIVE), said(LEAVING), LEAVING),
        (said(LEAVING), said(ALIVE), LEAVING),
        (said(ALIVE), said(SUSPECT), SUSPECT),
        (said(SUSPECT), said(ALIVE), SUSPECT),
        (said(SUSPECT), said(ALIVE, 6), ALIVE),
        (said(ALIVE, 6), said(DEAD), ALIVE),
        (said(DEAD), said(ALIVE, 6), ALIVE),
    ],
)
def test_word_of_higher_generation_then_of_worse_state_holds(first, second, holds):
    members = make()
    members.apply_statement(said(ALIVE, 1), NOW)
    for statement in (first, second, first):
        members.apply_statement(statement, NOW)
    assert members.statement_of("x").state is holds


@pytest.mark.parametrize(("own", "state"), [(ALIVE, SUSPECT), (LEAVING, DEAD)])
def test_suspicion_is_refuted_by_a_higher_generation(own, state):
    members = make()
    if own is LEAVING:
        members.leave()
    assert members.apply_statement(dataclasses.replace(members.own, state=state), NOW)
    assert members.own.generation == NOW + 1
    assert members.own.state is own


def test_clock_that_stepped_back_before_a_restart_does_not_silence_the_new_process():
    members = make()
    predecessor = dataclasses.replace(members.own, generation=NOW + 900)
    members.apply_statement(predecessor, NOW + 100)
    assert members.own.generation == NOW + 901
    assert not members.is_superseded


def test_suspected_process_counts_as_dead_later_and_is_forgotten_in_the_end():
    limits = membership.Limits()
    members = make()
    members.receive_statement(said(ALIVE), NOW)
    members.suspect("x", NOW)
    members.prune(NOW + limits.suspect_timeout_ms)
    assert members.statement_of("x").state is DEAD
    members.prune(NOW + limits.suspect_timeout_ms + limits.unlisted_ttl_ms)
    assert members.members == {}


def test_word_of_a_process_goes_before_the_list_until_they_agree():
    listed = assembly.Instance("x", "upstream", ADDRESS, "umea", False)
    members = make(x=listed)
    assert members.override_for("x") is None
    members.receive_statement(said(LEAVING), NOW)
    assert members.override_for("x").leaving
    members.listed = {"x": store.Entry(2, dataclasses.replace(listed, leaving=True))}
    assert members.override_for("x") is None


def test_unlisted_process_counts_only_while_it_is_heard():
    members = make()
    members.receive_statement(said(ALIVE), NOW)
    assert members.override_for("x") is not None
    assert members.prune(NOW + membership.Limits().unlisted_ttl_ms) == ["x"]
    assert members.override_for("x") is None


def test_what_is_kept_is_bounded(monkeypatch):
    monkeypatch.setattr(membership, "MAX_MEMBERS", 50)
    members = make()
    for i in range(200):
        members.receive_statement(said(ALIVE, name=f"x{i}"), NOW + i)
    assert len(members.members) == 50
    assert len(members.updates) <= membership.MAX_UPDATES
    passed_on = 0
    while members.updates:
        passed_on += len(members.take_updates())
    assert passed_on < membership.MAX_UPDATES * 40


def test_budget_refuses_beyond_its_burst_and_says_when_to_come_back():
    allowance = budget.Budget(rate=1_000, burst=2_000)
    assert allowance.take(1_500, NOW)
    assert not allowance.take(1_000, NOW)
    ready = allowance.ready_at(1_000, NOW)
    assert ready == NOW + 500
    assert allowance.take(1_000, ready)
