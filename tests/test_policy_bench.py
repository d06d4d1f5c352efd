"""Check with the bench's small model what the decisions together are meant to prevent."""

import dataclasses

import pytest

from benches import policy, policy_model, report

SITE = policy_model.Site("small", 6, 2, 3, 100, 3000, session=1, long_share=0.0)
CHOSEN = policy_model.Setup(policy.POLICIES[policy.CHOSEN])
ALONE = policy_model.Setup(policy.POLICIES["rendezvous"])


def test_same_seed_same_figures():
    first, second = (policy_model.run(SITE, CHOSEN, 0.9) for _ in range(2))
    assert first == second


def test_work_lies_more_evenly_than_by_ranking_alone():
    even = policy.quantile(policy_model.run(SITE, CHOSEN, 0.9).work, 0.5)
    alone = policy.quantile(policy_model.run(SITE, ALONE, 0.9).work, 0.5)
    assert even - 1 <= 0.6 * (alone - 1)


def test_twice_the_capacity_does_not_lower_what_is_done():
    """Callers ask for twice what the upstreams can do.

    Queued without a look at deadlines, most requests would be run too late for their callers. What
    would be late is refused when it comes, so the slots do only what still counts.
    """
    site = dataclasses.replace(SITE, urgent_share=0.5)
    at_capacity = policy_model.run(site, CHOSEN, 1.0)
    overloaded = policy_model.run(site, CHOSEN, 2.0)
    late = policy_model.run(site, dataclasses.replace(CHOSEN, early=False), 2.0)
    goodput = 2 * overloaded.done / overloaded.asked
    assert goodput >= 0.9 * at_capacity.done / at_capacity.asked
    assert goodput >= 1.5 * 2 * late.done / late.asked


def test_brown_out_of_a_third_does_not_become_an_outage():
    """Two of six upstreams take five times as long for a while, at 0.6 of the capacity.

    Their sidecars pass new work on and refuse what would be late; callers repeat only within
    their budget. Without one the browned-out upstreams get many times the repeats.
    """
    tallies = {case.name: policy.run_case(case) for case in policy.brown_out_cases(SITE)}
    chosen = tallies["brown_out.chosen"]
    unbounded = tallies["brown_out.unbounded_repeats"]
    assert chosen.done >= 0.9 * chosen.asked
    assert chosen.done > tallies["brown_out.rendezvous"].done
    assert chosen.repeats <= 0.02 * chosen.asked
    assert unbounded.repeats > 10 * max(1, chosen.repeats)


@pytest.mark.parametrize("what", ["join", "leave", "slow", "lie"])
def test_no_policy_decision_breaks_a_flow(what):
    name = SITE.endpoints()[0].name
    change = policy_model.Change(8000, what, name)
    spare = (name,) if what == "join" else ()
    tally = policy_model.run(SITE, CHOSEN, 0.7, changes=(change,), spare=spare)
    assert tally.ended_by_death == 0
    assert tally.last_open_at_leaving <= change.at + policy.LEAVE_BOUND_MS
    assert tally.done >= 0.95 * tally.asked


def test_measures_say_whether_the_aim_is_met():
    met = report.measure("a", 1.0, "x", baseline=2.0, at_most=0.5)
    assert (met.ratio, met.aim, met.met) == (0.5, "<= 0.5", True)
    assert report.measure("a", 1.0, "x", at_least=2.0).met is False
    assert report.measure("a", 1.0, "x").met is None
