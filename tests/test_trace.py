"""`ebonystile trace` and `ebonystile logs` over the logs of several processes."""

import click.testing
import pytest

from ebonystile.carrier import journal
from ebonystile.commands import operator
from ebonystile.operator import carried

FLOW = "100.64.0.7:40001>198.18.0.1:443"
LINES = [
    'time_ms=2000 program=balancer process=b-2 event=not_found flow="' + FLOW + '" asked=7 '
    "answered=7 reset=true searched_ms=3",
    'time_ms=1000 program=balancer process=b-1 event=opened flow="' + FLOW + '" upstream=u-1 '
    "cost=0.5 asked=3 answered=3 copy=0 version=7 searched_ms=1",
    'time_ms=1500 program=balancer process=b-1 event=opened flow="1.1.1.1:1>2.2.2.2:2" upstream=u',
    "Traceback (most recent call last):",
    "  36.4 b-1 time_ms=1200 program=sidecar process=s-1 event=flow_lost flow=" + FLOW,
]


def invoke(*arguments, **options):
    return click.testing.CliRunner().invoke(operator.main, arguments, **options)


def run(*arguments, **options):
    return invoke("trace", *arguments, **options)


def test_lines_of_all_processes_are_ordered_and_end_with_the_last_decision(tmp_path):
    first, second = tmp_path / "one.log", tmp_path / "two.log"
    first.write_text("\n".join(LINES[:2]))
    second.write_text("\n".join(LINES[2:]))
    ran = run(FLOW, str(first), str(second))
    assert ran.exit_code == 0
    lines = ran.output.splitlines()
    assert [line.split()[2] for line in lines[:-1]] == ["opened", "flow_lost", "not_found"]
    assert lines[-1].startswith("Last decision, by b-2: It was not found: 7 of 7 sidecars answered")
    assert lines[-1].endswith("within 3 ms (reset sent: true).")


def test_logs_are_read_from_standard_input():
    ran = run(FLOW, input=LINES[1])
    assert "placed on u-1 at cost 0.5" in ran.output


def test_a_flow_without_a_logged_decision_is_reported():
    assert "No process has logged a decision" in run("1.2.3.4:5>6.7.8.9:10", input=LINES[0]).output


def test_lines_of_the_journal_can_be_parsed(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as file:
        log = journal.Journal("balancer", "b-1", file.fileno())
        log.event("flow_reset", flow=FLOW, reason="no_route", note='a "b"\n c')
    line = carried.parse(path.read_text())
    assert line.event == "flow_reset" and line.process == "b-1"
    assert line.fields == {"flow": FLOW, "reason": "no_route", "note": 'a "b"\n c'}


@pytest.mark.parametrize("event", sorted(carried.SENTENCE_BY_EVENT))
def test_every_sentence_can_be_formatted_with_missing_fields(event):
    assert carried.Line(1, "p", event, {}).sentence()


def test_frequent_events_are_limited_and_counted_and_rare_ones_are_not(tmp_path, monkeypatch):
    now = [1_000]
    monkeypatch.setattr(journal.clock, "now", lambda: now[0])
    path = tmp_path / "log"
    with path.open("wb") as file:
        log = journal.Journal("balancer", "b-1", file.fileno())
        for _ in range(journal.MAX_LINES_PER_S + 25):
            log.event("opened", flow=FLOW)
            log.event("configured", version=1)
        now[0] = 2_000
        log.event("start")
    lines = [carried.parse(text) for text in path.read_text().splitlines()]
    counts = [line.event for line in lines]
    assert counts.count("opened") == journal.MAX_LINES_PER_S
    assert counts.count("configured") == journal.MAX_LINES_PER_S + 25
    [suppressed] = [line for line in lines if line.event == "lines_suppressed"]
    assert suppressed.fields == {"opened": "25"}


@pytest.mark.parametrize(
    ("options", "events"),
    [
        ([], ["opened", "flow_lost", "opened", "not_found"]),
        (["--event", "opened"], ["opened", "opened"]),
        (["--process", "s-1"], ["flow_lost"]),
        (["--upstream", "u"], ["opened"]),
        (["--at", "1970-01-01T00:00:03Z", "--within-s", "1"], ["not_found"]),
        (["--at", "1970-01-01T00:01:00Z"], []),
    ],
)
def test_logs_of_all_processes_are_merged_and_filtered(options, events):
    """An operator can search by time, process or event without knowing a flow."""
    ran = invoke("logs", *options, input="\n".join(LINES))
    assert [line.split()[2] for line in ran.output.splitlines()] == events


def test_an_invalid_time_is_refused():
    assert "is not a time like" in invoke("logs", "--at", "noon", input="").output


REFUSED = (
    'time_ms=5300 process=b-1 event=refused flow="' + FLOW + '" reason=late '
    "predicted_wait_ms=2100 timeout_ms=1500 searched_ms=120 reset=true"
)
LINK_LINES = [
    "time_ms=100 process=b-1 event=link_busy bytes=9000",
    "time_ms=300 process=b-1 event=link_idle bytes=9000 longest_wait_ms=40 dropped=0",
    "time_ms=4000 process=b-1 event=link_rate configured_mbps=5.0 rate_mbps=2.5",
    "time_ms=4200 process=b-1 event=link_rate configured_mbps=5.0 rate_mbps=1.25",
    "time_ms=4900 process=b-1 event=link_busy bytes=20000",
    "time_ms=5000 process=b-2 event=link_busy bytes=7",
    "time_ms=5250 process=b-1 event=link_rate configured_mbps=5.0 rate_mbps=0.625",
    "time_ms=5400 process=b-1 event=link_rate configured_mbps=5.0 rate_mbps=0.781",
    "time_ms=6100 process=b-1 event=link_idle bytes=30000 longest_wait_ms=900 dropped=7",
    "time_ms=7000 process=b-1 event=link_rate configured_mbps=5.0 rate_mbps=5.0",
    "time_ms=20000 process=b-1 event=link_busy bytes=8000",
]


def test_a_refused_flow_shows_the_inputs_the_limit_and_the_link_of_its_balancer():
    """Guards against a refusal of which an operator can't see what made it so."""
    lines = run(FLOW, input="\n".join([*LINK_LINES, REFUSED])).output.splitlines()
    assert [line.split()[2] for line in lines[:4]] == [
        "link_busy",
        "link_rate",
        "refused",
        "link_idle",
    ]
    assert lines[4] == (
        "Last decision, by b-1: It was refused before it was opened, so nothing has run (late): "
        "predicted wait 2100 ms, with a time limit of 1500 ms; it had waited 120 ms "
        "(reset sent: true)."
    )
    assert lines[5:] == [
        "Link of b-1: A backlog began, with 20000 bytes waiting.",
        "Link of b-1: The rate in force became 0.625 of the configured 5.0 Mbit/s.",
        "Link of b-1: The backlog ended: up to 30000 bytes waited, the longest for 900 ms, and 7 "
        "datagrams were dropped.",
    ]


def test_the_first_and_the_lowest_rate_of_the_time_are_shown_without_the_steps_between():
    late = f'time_ms=4100 process=b-1 event=opened flow="{FLOW}" upstream=u copy=0'
    shown = run(FLOW, input="\n".join([*LINK_LINES, late])).output
    rates = [line for line in shown.splitlines() if line.startswith("Link") and "rate" in line]
    assert [line.split()[8] for line in rates] == ["2.5", "0.625"]


def test_a_link_that_was_free_is_not_shown():
    quiet = run(FLOW, input="\n".join([LINK_LINES[0], LINK_LINES[1], LINK_LINES[-1], REFUSED]))
    assert "Link of" not in quiet.output


def test_the_backlog_of_a_balancer_that_restarted_is_over():
    """Guards against a backlog without an end that would explain every later flow."""
    restarted = "time_ms=3000 process=b-1 event=start zone=a address=x"
    ran = run(FLOW, input="\n".join([LINK_LINES[0], restarted, REFUSED]))
    assert "Link of" not in ran.output


def test_a_placement_shows_its_prediction_if_it_was_logged():
    predicted = LINES[1] + " wait_ms=80 finish_ms=230"
    assert run(FLOW, input=predicted).output.endswith(
        "Predicted: 80 ms until it runs, 230 ms until its answer.\n"
    )
    assert "Predicted" not in run(FLOW, input=LINES[1]).output


def test_a_flow_that_was_deferred_last_shows_the_load_of_the_best_upstream():
    held = f'time_ms=1 process=b-1 event=held flow="{FLOW}" cost=6.5 running=12'
    assert run(FLOW, input=held).output.endswith(
        "It was deferred: the best upstream that answered has 12 requests running, at cost 6.5.\n"
    )
