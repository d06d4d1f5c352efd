"""Check what a sidecar makes of load reports that are late, overtaken, frozen or false."""

import pytest

from ebonystile.core.placing import load
from tests import policy_helpers as given


def test_frozen_sidecar_is_not_taken_for_an_idle_one():
    """A sibling's process freezes just after it reported that it is idle.

    Callers passed to it would wait for ever. Its report therefore stops counting after 3 s.
    """
    table = given.table_of(given.load_of("a"))
    assert table.candidate("a", 3000).work == 0.5
    assert table.candidate("a", 3001) is None


def test_overtaken_report_does_not_make_a_busy_sibling_idle():
    table = given.table_of(given.load_of("a", at=5, running=9))
    assert not table.record_report(given.load_of("a", at=4), 10)
    assert table.siblings["a"].load.running == 9
    assert table.record_report(given.load_of("a", at=1, incarnation=2), 11)


def test_own_sends_count_until_a_report_can_contain_them():
    table = given.table_of(given.load_of("a"))
    for at in (100, 100, 195):
        table.record_sent("a", at)
    assert table.candidate("a", 195).work == 2
    table.record_report(given.load_of("a", at=200, running=2), 200)
    assert table.candidate("a", 200).work == 2


def test_table_is_bounded_and_forgets():
    table = load.LoadTable(limit=2)
    assert [table.record_report(given.load_of(n), 0) for n in "abc"] == [True, True, False]
    table.retain({"b"})
    assert list(table.siblings) == ["b"]


def test_reporter_tells_changes_at_once_but_bounds_its_traffic():
    reporter = load.Reporter(interval_ms=1000, min_gap_ms=100, work_step=2)
    idle, busy = given.load_of(), given.load_of(running=2)
    assert reporter.record_if_due(idle, 0)
    assert not reporter.record_if_due(busy, 50)
    assert reporter.record_if_due(busy, 100)
    assert not reporter.record_if_due(busy, 1099)
    assert reporter.record_if_due(given.load_of(running=2, leaving=True), 1099)
    assert reporter.record_if_due(given.load_of(running=2, leaving=True), 2099)


@pytest.mark.parametrize("count", [1, 5, 9, 10, 40, 200])
def test_receivers_are_few_and_everyone_hears_from_as_many(count):
    service = given.endpoints(count)
    heard = dict.fromkeys((e.name for e in service), 0)
    for one in service:
        others = [e for e in service if e is not one]
        chosen = load.Reporter(fanout=8).receivers(one.key, others)
        assert len({e.name for e in chosen}) == len(chosen) == min(8, count - 1)
        for each in chosen:
            heard[each.name] += 1
    assert set(heard.values()) == {min(8, count - 1)}


def test_flow_counts_as_pending_until_its_request_or_the_end_of_the_window():
    idle_flows = load.IdleFlows(window_ms=200)
    idle_flows.add(b"a", 0)
    idle_flows.add(b"b", 100)
    idle_flows.remove(b"b")
    assert idle_flows.count(200) == 1
    assert idle_flows.count(201) == 0


@pytest.mark.parametrize(
    ("claim", "at", "extra"),
    [
        pytest.param(0, 10, 0, id="a claim to be idle is worth nothing"),
        pytest.param(2, 10, 1, id="a claim to be busy adds caution"),
        pytest.param(10**9, 10, 2, id="bounded by the slots"),
        pytest.param(10**9, 30_001, 0, id="not for ever: a frozen claim"),
    ],
)
def test_lying_upstream_can_only_lose_work(claim, at, extra):
    reported = load.ReportedLoad(stale_after_ms=30_000)
    reported.record_report(claim, 0)
    reported.record_report(claim, 20_000 if at > 20_000 else 1)
    assert reported.excess(observed=1, slots=2, now=at) == extra


def test_ramp_grows_to_the_whole():
    ramp = load.Ramp(since=1000, duration_ms=1000, initial_share=250)
    assert [ramp.share_at(t) for t in (900, 1000, 1500, 2000, 9000)] == [250, 250, 625, 1000, 1000]
