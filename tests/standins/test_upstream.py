"""The upstream stand-in follows docs/UPSTREAM.md."""

import concurrent.futures
import os
import threading

import pytest

from ebonystile import errors
from ebonystile.upstream import client
from standins import processes, reports, slots, web

FAR = 60_000
LONG_MS = 50_000


def make_job(deadline_ms=FAR):
    return client.Job(os.urandom(16), "s", "p", b"", web.now_ms() + deadline_ms, False)


def wait_for(condition):
    """Wait until a condition holds; raise AssertionError on timeout."""
    pause = threading.Event()
    for _ in range(3000):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError("condition not met in time")


@pytest.fixture
def executor():
    with concurrent.futures.ThreadPoolExecutor(16) as made:
        yield made


@pytest.fixture
def busy(children, executor):
    """Start an upstream with one slot, taken by a long request, and a queue of one."""
    child = children.start_upstream("u-1", "s", "--slots", 1, "--queue", 1, "--service-ms", LONG_MS)
    upstream = client.make_upstream(child.url, 8)
    job = make_job()
    answer = executor.submit(upstream.run, job)
    wait_for(lambda: upstream.load().running == 1)
    return child, upstream, job, answer


def fault_of(answer):
    """Return the UpstreamError that a run raised."""
    error = answer.exception(timeout=30)
    assert isinstance(error, errors.UpstreamError)
    return error


def test_cancellation_frees_the_slot(busy):
    child, upstream, job, answer = busy
    child.post("standin/faults", {"service_ms": 1})
    upstream.cancel(job.request)
    assert fault_of(answer).may_have_run
    assert upstream.run(make_job()).status == 200
    assert child.get("standin/runs")["runs"][job.request.hex()] == 1


def test_cancelled_in_the_queue_is_not_run(busy, executor):
    child, upstream, first, answer = busy
    waiting = make_job()
    waiting_answer = executor.submit(upstream.run, waiting)
    wait_for(lambda: upstream.load().queued == 1)
    upstream.cancel(waiting.request)
    assert not fault_of(waiting_answer).may_have_run
    assert waiting.request.hex() not in child.get("standin/runs")["runs"]
    upstream.cancel(first.request)
    assert fault_of(answer).may_have_run


def test_what_is_shed_or_late_was_not_run(busy, executor):
    child, upstream, first, answer = busy
    late = make_job(300)
    late_answer = executor.submit(upstream.run, late)
    wait_for(lambda: upstream.load().queued == 1)
    shed = make_job()
    error = fault_of(executor.submit(upstream.run, shed))
    assert not error.may_have_run
    assert error.retry_at is not None
    fault_of(late_answer)
    wait_for(lambda: upstream.load().queued == 0)
    assert list(child.get("standin/runs")["runs"]) == [first.request.hex()]
    upstream.cancel(first.request)
    fault_of(answer)


def test_drain_finishes_what_runs_and_starts_nothing(children, executor):
    """On SIGTERM the running request is answered completely, then the exit status is 0."""
    child = children.start_upstream("u-1", "s", "--slots", 1, "--service-ms", 700)
    upstream = client.make_upstream(child.url, 4)
    job = make_job()
    answer = executor.submit(upstream.run, job)
    wait_for(lambda: upstream.load().running == 1)
    waiting = executor.submit(upstream.run, make_job())
    wait_for(lambda: upstream.load().queued == 1)
    upstream.drain()
    assert upstream.health().draining
    assert not fault_of(waiting).may_have_run
    assert not fault_of(executor.submit(upstream.run, make_job())).may_have_run
    child.popen.terminate()
    assert answer.result(timeout=30).status == 200
    assert child.wait() == 0
    assert job.request.hex() in child.lines[-1]


def test_upstreams_of_a_service_agree_on_every_position(children):
    start = web.now_ms()
    options = ("--feed-start", start, "--feed-interval", 20)
    upstreams = [
        client.make_upstream(children.start_upstream(name, "s", *options).url, 2)
        for name in ("u-1", "u-2")
    ]
    events = []
    while len(events) < 12:
        after = events[-1].position if events else 0
        upstream = upstreams[len(events) % 2]
        events += upstream.events("spans", after, 5, web.now_ms() + 10_000, service="s")
    assert [e.position for e in events] == list(range(1, len(events) + 1))
    again = upstreams[0].events("spans", 0, len(events), 0, service="s")
    assert again == events


def test_cold_start_ends_after_some_requests(children):
    child = children.start_upstream("u-1", "s", "--service-ms", 0, "--cold-requests", 2)
    upstream = client.make_upstream(child.url, 2)
    seen = []
    for _ in range(3):
        seen.append(upstream.health().cold)
        upstream.run(make_job())
    assert seen == [True, True, False]


def test_connections_over_the_limit_are_shed(children):
    child = children.start_upstream("u-1", "s", "--connections", 0)
    with pytest.raises(errors.UpstreamError) as caught:
        client.make_upstream(child.url, 2).run(make_job())
    assert not caught.value.may_have_run
    assert child.get("standin/runs")["runs"] == {}


def test_reports_lie_and_a_frozen_upstream_says_nothing(children):
    child = children.start_upstream("u-1", "s")
    upstream = client.make_upstream(child.url, 2)
    child.post("standin/faults", {"lie_health": {"ok": False}, "lie_load": {"running": 77}})
    assert not upstream.health().ok
    assert upstream.load().running == 77
    child.post("standin/faults", {"freeze": True})
    with pytest.raises(errors.UpstreamError):
        upstream.health()
    child.post("standin/faults", {})
    assert upstream.health().ok


def test_a_request_that_is_sent_twice_is_counted_twice(children):
    """Tests rely on the counts to detect a request that ran twice."""
    child = children.start_upstream("u-1", "s", "--service-ms", 0)
    upstream = client.make_upstream(child.url, 2)
    job = make_job()
    upstream.run(job)
    upstream.run(job)
    assert child.get("standin/runs")["runs"] == {job.request.hex(): 2}


@pytest.mark.parametrize(
    ("lag", "frozen", "expected"),
    [(0, False, [0, 1, 2, 3]), (100, False, [0, 0, 1, 2]), (0, True, [0, 0, 0, 0])],
)
def test_reports_lag_and_freeze(lag, frozen, expected):
    reporter = reports.Reporter()
    reporter.report(0, {"n": 0})
    reporter.set_faults(lag, frozen, None)
    given = [reporter.report(100 * n, {"n": n})["n"] for n in range(4)]
    assert given == expected


def test_outcomes_tell_what_was_started():
    ran = {outcome for outcome in slots.Outcome if outcome.ran}
    expected = {"DONE", "LATE_RUNNING", "CANCELLED_RUNNING"}
    assert {outcome.name for outcome in ran} == expected


def test_a_child_that_does_not_get_ready_is_reported(children):
    with pytest.raises(RuntimeError, match="did not become ready"):
        children.start("broken", "standins.no_such_module")
    assert isinstance(children.children[0], processes.Child)
    assert children.children[0].popen.returncode != 0
