"""Check the events, metrics and answers of a process's reporter."""

import collections
import random
import re

import pytest

from ebonystile import loop, timeline
from ebonystile.core.calls import balancer, sidecar, sidecar_state
from ebonystile.daemon import answers, reporting
from ebonystile.operator import messages
from standins import processes

EVENT = re.compile(r"\.(?:trace|event|report_event)\(\s*\"(\w+)\"")
LOG_ONLY = {"library"}
"""Events of third-party libraries."""


def make_test_reporter(role=answers.SIDECAR):
    randomness = random.Random(1)
    if role == answers.SIDECAR:
        core = sidecar.make_sidecar("u1", 7, sidecar_state.Limits(), randomness, 0)
    else:
        core = balancer.make_balancer(("127.0.0.1", 1), randomness)
    identity = answers.Identity("u1", role, "a", 7, 0)
    counts = collections.Counter()
    return reporting.make_reporter(identity, core, loop.Loop(), counts, 1_000)


def recorded_events(report):
    return report.ring.select(timeline.Filter(), 1_000)


def test_an_event_is_counted_kept_and_linked():
    report = make_test_reporter()
    report.event("fenced", flow=b"f", target="u2", transfer=b"t")
    report.event("adopted", flow=b"f", service="s", transfer=b"t")
    fenced, adopted = recorded_events(report)
    assert (fenced.upstream, fenced.fields) == ("u1", (("target", "u2"),))
    assert (fenced.link, adopted.link) == (b"t", b"t")
    assert fenced.step < adopted.step
    assert report.counts == {"fenced": 1, "adopted": 1}


@pytest.mark.parametrize("name", sorted(reporting.RATE_LIMITED_EVENTS))
def test_a_flood_of_invalid_datagrams_does_not_fill_the_time_line(name):
    """Guards against a flood of one event that evicts all earlier events."""
    report = make_test_reporter()
    report.event("answered", flow=b"f")
    for _ in range(5_000):
        report.event(name, level="DEBUG")
    assert report.counts[name] == 5_000
    assert recorded_events(report)[0].event == "answered"
    assert len(recorded_events(report)) < 1_000


@pytest.mark.parametrize("role", [answers.SIDECAR, answers.BALANCER])
def test_the_owner_thread_answers_and_metrics_show_the_core(role):
    report = make_test_reporter(role)
    future = report.ask(messages.StatusRequest(bytes(16)))
    assert not future.done()
    report.owner.step()
    assert future.result(0).process == "u1"
    assert b"ebonystile_revision 0.0" in report.metrics.text()
    assert (b"ebonystile_ledger" in report.metrics.text()) == (role == answers.SIDECAR)


def test_an_event_may_have_a_field_called_name():
    """Guards against a clash of the field `name` with the parameter for the event's name."""
    report = make_test_reporter()
    report.event("peer_dead", name="ledger-2")
    assert recorded_events(report)


def test_an_exception_in_an_answer_reaches_the_asking_thread_only():
    report = make_test_reporter()
    report.shell_state = None
    future = report.ask(messages.StatusRequest(bytes(16)))
    report.owner.step()
    assert isinstance(future.exception(0), TypeError)


def test_every_event_is_documented_for_operators():
    page = (processes.ROOT / "docs" / "OPERATORS.md").read_text()
    sources = (processes.ROOT / "src").rglob("*.py")
    names = [name for path in sources for name in EVENT.findall(path.read_text())]
    assert len(set(names)) > 20
    missing = {name for name in names if f"`{name}`" not in page}
    assert missing <= LOG_ONLY
