"""Check which statement on a process prevails, and that the state is bounded."""

import dataclasses

import pytest

from ebonystile.core import budget
from ebonystile.core.control import assembly, membership, store

ADDRESS = ("10.0.0.1", 7000)
NOW = 1_000_000
ALIVE, LEAVING, SUSPECT, DEAD = membership.MemberState


def statement(state, generation=5, name="x"):
    return membership.Statement(name, "upstream", ADDRESS, "umea", generation, state)


def make(**listed):
    members = membership.make_membership(
        "me", "balancer", ("10.0.0.9", 7000), "umea", NOW, membership.Limits()
    )
    members.listed = {n: store.Entry(1, i) for n, i in listed.items()}
    return members


@pytest.mark.parametrize(
    ("first", "second", "prevailing"),
    [
        (statement(ALIVE), statement(LEAVING), LEAVING),
        (statement(LEAVING), statement(ALIVE), LEAVING),
        (statement(ALIVE), statement(SUSPECT), SUSPECT),
        (statement(SUSPECT), statement(ALIVE), SUSPECT),
        (statement(SUSPECT), statement(ALIVE, 6), ALIVE),
        (statement(ALIVE, 6), statement(DEAD), ALIVE),
        (statement(DEAD), statement(ALIVE, 6), ALIVE),
    ],
)
def test_statement_of_higher_generation_then_of_higher_state_prevails(first, second, prevailing):
    members = make()
    members.apply_statement(statement(ALIVE, 1), NOW)
    for each in (first, second, first):
        members.apply_statement(each, NOW)
    assert members.statement_of("x").state is prevailing


@pytest.mark.parametrize(("own", "state"), [(ALIVE, SUSPECT), (LEAVING, DEAD)])
def test_suspicion_is_refuted_by_a_higher_generation(own, state):
    members = make()
    if own is LEAVING:
        members.leave()
    assert members.apply_statement(dataclasses.replace(members.own, state=state), NOW)
    assert members.own.generation == NOW + 1
    assert members.own.state is own


def test_restart_after_the_clock_was_set_back_overrides_the_predecessor():
    members = make()
    predecessor = dataclasses.replace(members.own, generation=NOW + 900)
    members.apply_statement(predecessor, NOW + 100)
    assert members.own.generation == NOW + 901
    assert not members.is_superseded


def test_suspected_process_becomes_dead_and_is_then_removed():
    limits = membership.Limits()
    members = make()
    members.receive_statement(statement(ALIVE), NOW)
    members.suspect("x", NOW)
    members.prune(NOW + limits.suspect_timeout_ms)
    assert members.statement_of("x").state is DEAD
    members.prune(NOW + limits.suspect_timeout_ms + limits.unlisted_ttl_ms)
    assert members.members == {}


def test_own_statement_of_a_process_overrides_the_list_until_they_agree():
    listed = assembly.Instance("x", "upstream", ADDRESS, "umea", False)
    members = make(x=listed)
    assert members.override_for("x") is None
    members.receive_statement(statement(LEAVING), NOW)
    assert members.override_for("x").leaving
    members.listed = {"x": store.Entry(2, dataclasses.replace(listed, leaving=True))}
    assert members.override_for("x") is None


def test_unlisted_process_is_removed_unless_it_sends_messages():
    members = make()
    members.receive_statement(statement(ALIVE), NOW)
    assert members.override_for("x") is not None
    assert members.prune(NOW + membership.Limits().unlisted_ttl_ms) == ["x"]
    assert members.override_for("x") is None


def test_members_and_updates_are_bounded(monkeypatch):
    monkeypatch.setattr(membership, "MAX_MEMBERS", 50)
    members = make()
    for i in range(200):
        members.receive_statement(statement(ALIVE, name=f"x{i}"), NOW + i)
    assert len(members.members) == 50
    assert len(members.updates) <= membership.MAX_UPDATES
    sent = 0
    while members.updates:
        sent += len(members.take_updates())
    assert sent < membership.MAX_UPDATES * 40


def test_budget_refuses_beyond_its_burst_until_the_time_it_returns():
    allowance = budget.Budget(rate=1_000, burst=2_000)
    assert allowance.take(1_500, NOW)
    assert not allowance.take(1_000, NOW)
    ready = allowance.ready_at(1_000, NOW)
    assert ready == NOW + 500
    assert allowance.take(1_000, ready)
