"""Check that all ranking functions agree, and that few flows move when an upstream leaves."""

import random

from ebonystile.core import view
from ebonystile.core.placing import ranking

RNG = random.Random(3)
FLOWS = [RNG.randbytes(16) for _ in range(300)]
MEMBERS = [view.make_endpoint(f"u{n}", ("10.0.0.1", n + 1), "a", leaving=n == 2) for n in range(6)]
SERVICE = view.make_service("ledger", "10.1.0.1:443", MEMBERS)


def test_first_choices_agree():
    for flow in FLOWS:
        best = ranking.rank(flow, SERVICE.accepting)[0]
        assert ranking.first(flow, SERVICE.accepting) == best
        assert ranking.first_accepting(flow, SERVICE) == best


def test_no_accepting_upstream():
    assert ranking.first_accepting(FLOWS[0], view.make_service("x", "", MEMBERS[2:3])) is None
    assert ranking.first(FLOWS[0], []) is None


def test_only_flows_of_the_leaving_upstream_move_and_each_to_its_second_choice():
    leaving, *rest = SERVICE.accepting
    for flow in FLOWS:
        before = ranking.rank(flow, SERVICE.accepting)
        after = ranking.rank(flow, rest)
        assert after == [u for u in before if u != leaving]
