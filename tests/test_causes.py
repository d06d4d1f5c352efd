"""Which cause a flow's trouble is put down to, from the lines of all processes."""

import click.testing
import pytest

from ebonystile.commands import operator
from ebonystile.operator import carried, causes


def line(at, event, flow="f", **fields):
    return carried.Line(at, "b-1", event, {"flow": flow, **fields})


def only(*lines):
    (trouble,) = causes.find_disruptions(lines)
    return trouble.cause, trouble.began, trouble.lasted


def test_a_flow_that_was_placed_and_found_at_once_had_no_trouble():
    assert (
        causes.find_disruptions([line(1, "opened"), line(900, "found"), line(901, "probed")]) == []
    )


def test_a_lost_flow_counts_from_the_first_search_in_vain_until_its_caller_was_told():
    told = [
        line(100, "opened"),
        line(1_000, "not_found", reset="false"),
        line(1_400, "not_found", reset="true"),
    ]
    assert only(*told) == (causes.Cause.LOST_RESET, 1_000, 400)


def test_a_flow_whose_caller_never_hears_counts_as_not_told():
    silent = [line(1_000, "not_found", reset="false"), line(1_600, "not_found", reset="false")]
    assert only(*silent) == (causes.Cause.LOST_NO_RESET, 1_000, 600)


def test_a_flow_found_after_a_search_in_vain_was_served_late():
    found = [line(1_000, "not_found", reset="false"), line(1_200, "found")]
    assert only(*found) == (causes.Cause.FOUND_LATE, 1_000, 200)


@pytest.mark.parametrize(
    ("event", "cause"),
    [("held", causes.Cause.DEFERRED), ("open_returned", causes.Cause.REFUSED)],
)
def test_a_new_flow_that_had_to_wait_counts_until_it_was_placed(event, cause):
    assert only(line(1_000, event), line(1_025, "opened")) == (cause, 1_000, 25)


def test_a_new_flow_that_was_refused_and_never_placed_counts_by_the_last_word():
    refused = [line(1_000, "open_returned"), line(1_030, "not_placed", reset="true")]
    assert only(*refused) == (causes.Cause.NO_UPSTREAM, 1_000, 30)


def test_a_reset_tells_its_reason():
    assert only(line(5, "flow_reset", reason="no_route")) == (causes.Cause.NO_ROUTE, 5, 0)
    assert only(line(5, "flow_reset", reason="no_upstream")) == (causes.Cause.NO_UPSTREAM, 5, 0)
    assert only(line(5, "flow_lost")) == (causes.Cause.UPSTREAM_LOST, 5, 0)


def test_troubles_are_counted_by_span_and_cause():
    lines = [line(2_100 + n, "flow_lost", flow=f"f{n}") for n in range(3)]
    lines += [line(2_500, "held", flow="g"), line(2_900, "opened", flow="g")]
    lines += [line(4_100, "flow_lost", flow="h")]
    table = causes.rows(causes.find_disruptions(lines), 2_000)
    assert [(row.began, row.cause, row.flows, row.longest) for row in table] == [
        (2_000, causes.Cause.UPSTREAM_LOST, 3, 0),
        (2_000, causes.Cause.DEFERRED, 1, 400),
        (4_000, causes.Cause.UPSTREAM_LOST, 1, 0),
    ]


def test_the_command_prints_a_table_and_says_so_if_there_is_nothing(tmp_path):
    log = tmp_path / "log"
    log.write_text("time_ms=1500 program=sidecar process=s-1 event=flow_lost flow=f reason=x\n")
    ran = click.testing.CliRunner().invoke(operator.main, ["causes", str(log)])
    assert ran.exit_code == 0
    assert ran.output.splitlines()[0].split()[:3] == ["BEGAN", "CAUSE", "FLOWS"]
    assert "upstream lost it, caller told  1      0          0" in ran.output
    log.write_text("time_ms=1500 program=sidecar process=s-1 event=start\n")
    quiet = click.testing.CliRunner().invoke(operator.main, ["causes", str(log)])
    assert quiet.output == "No flow had trouble.\n" and quiet.exit_code == 0


def test_logs_without_a_line_of_ours_are_no_sign_that_all_is_well():
    ran = click.testing.CliRunner().invoke(operator.main, ["causes"], input="nothing\n")
    assert ran.exit_code != 0 and "no line of a carrying daemon" in ran.output
    assert len(ran.output.splitlines()) == 1


def test_a_new_flow_that_was_held_back_and_then_heard_of_no_more_was_not_told():
    assert only(line(1_000, "held"), line(1_300, "held")) == (
        causes.Cause.LOST_NO_RESET,
        1_000,
        300,
    )
