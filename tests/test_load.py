"""Check the handling of load reports that are late, out of order, stuck or false."""

import pytest

from ebonystile.core.placing import load
from tests import policy_helpers as given


def test_report_of_a_frozen_sidecar_expires():
    """A sidecar that freezes while idle must not keep attracting flows by its last report."""
    table = given.table_of(given.load_of("a"))
    assert table.candidate("a", 3000).work == 0.5
    assert table.candidate("a", 3001) is None


def test_report_that_arrives_out_of_order_is_dropped():
    table = given.table_of(given.load_of("a", at=5, running=9))
    assert not table.record_report(given.load_of("a", at=4), 10)
    assert table.siblings["a"].load.running == 9
    assert table.record_report(given.load_of("a", at=1, incarnation=2), 11)


def test_sent_opens_count_until_a_report_can_contain_them():
    table = given.table_of(given.load_of("a"))
    for at in (100, 100, 195):
        table.record_sent("a", at)
    assert table.candidate("a", 195).work == 2
    table.record_report(given.load_of("a", at=200, running=2), 200)
    assert table.candidate("a", 200).work == 2


def test_table_is_bounded_and_drops_former_siblings():
    table = load.LoadTable(limit=2)
    assert [table.record_report(given.load_of(n), 0) for n in "abc"] == [True, True, False]
    table.retain({"b"})
    assert list(table.siblings) == ["b"]


def test_reporter_reports_changes_early_but_not_too_often():
    reporter = load.Reporter(interval_ms=1000, min_gap_ms=100, work_step=2)
    idle, busy = given.load_of(), given.load_of(running=2)
    assert reporter.record_if_due(idle, 0)
    assert not reporter.record_if_due(busy, 50)
    assert reporter.record_if_due(busy, 100)
    assert not reporter.record_if_due(busy, 1099)
    assert reporter.record_if_due(given.load_of(running=2, leaving=True), 1099)
    assert reporter.record_if_due(given.load_of(running=2, leaving=True), 2099)


@pytest.mark.parametrize("count", [1, 5, 9, 10, 40, 200])
def test_each_sidecar_receives_as_many_reports_as_it_sends(count):
    service = given.endpoints(count)
    received = dict.fromkeys((e.name for e in service), 0)
    for one in service:
        others = [e for e in service if e is not one]
        chosen = load.Reporter(fanout=8).receivers(one.key, others)
        assert len({e.name for e in chosen}) == len(chosen) == min(8, count - 1)
        for each in chosen:
            received[each.name] += 1
    assert set(received.values()) == {min(8, count - 1)}


def test_flow_counts_as_pending_until_its_request_or_the_end_of_the_window():
    idle_flows = load.IdleFlows(window_ms=200)
    idle_flows.add(b"a", 0)
    idle_flows.add(b"b", 100)
    idle_flows.remove(b"b")
    assert idle_flows.count(200) == 1
    assert idle_flows.count(201) == 0


@pytest.mark.parametrize(
    ("work", "at", "excess"),
    [
        pytest.param(0, 10, 0, id="reported idle: no effect"),
        pytest.param(2, 10, 1, id="reported busy: raises the load"),
        pytest.param(10**9, 10, 2, id="bounded by the slots"),
        pytest.param(10**9, 30_001, 0, id="unchanged for too long: ignored"),
    ],
)
def test_reported_load_can_only_raise_the_observed_load(work, at, excess):
    reported = load.ReportedLoad(stale_after_ms=30_000)
    reported.record_report(work, 0)
    reported.record_report(work, 20_000 if at > 20_000 else 1)
    assert reported.excess(observed=1, slots=2, now=at) == excess


def test_ramp_grows_to_the_whole_weight():
    ramp = load.Ramp(since=1000, duration_ms=1000, initial_share=250)
    assert [ramp.share_at(t) for t in (900, 1000, 1500, 2000, 9000)] == [250, 250, 625, 1000, 1000]
