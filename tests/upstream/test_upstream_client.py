"""Check how the client handles an upstream's answers, valid and invalid."""

import concurrent.futures
import os
import socket

import cbor2
import pytest

from ebonystile import errors
from ebonystile.upstream import client
from standins import answers, web

DEADLINE_MS = 60_000


def make_job(*, path="reports", body=b"", service="line-status", deadline=None, idempotent=False):
    return client.Job(
        os.urandom(16), service, path, body, deadline or web.now_ms() + DEADLINE_MS, idempotent
    )


@pytest.fixture(scope="module")
def child(module_children):
    return module_children.start_upstream("line-1", "line-status", "--service-ms", 1)


@pytest.fixture
def upstream(child):
    made = client.make_upstream(child.url, 4)
    yield made
    made.close()


@pytest.fixture
def canned(serve):
    """Return a function that serves one fixed answer and returns a client for it."""
    return lambda answer: client.make_upstream(serve(answer), 2)


def test_large_upload_and_answer_arrive_complete(upstream, child):
    photo = os.urandom(3_000_000)
    job = make_job(body=photo)
    reply = upstream.run(job)
    expected = answers.receipt(job.request.hex(), "line-1", "line-status", "reports", photo)
    assert reply == client.Reply(200, expected)
    bulk = make_job(path="answers/2500000")
    assert upstream.run(bulk).body == answers.bulk(bulk.request.hex(), 2_500_000)
    counts = child.get("standin/runs")
    assert counts["runs"][job.request.hex()] == 1
    assert job.request.hex() in counts["non_idempotent"]


def test_request_for_another_service_is_refused_and_counted(upstream, child):
    before = child.get("standin/runs")["wrong_service"]
    job = make_job(service="ledger")
    with pytest.raises(errors.UpstreamError) as caught:
        upstream.run(job)
    assert not caught.value.may_have_run
    with pytest.raises(errors.UpstreamError):
        upstream.events("spans", 0, 1, 0, service="ledger")
    counts = child.get("standin/runs")
    assert counts["wrong_service"] == before + 2
    assert job.request.hex() not in counts["runs"]


@pytest.mark.parametrize("path", ["../drain", "a/../../drain", "./x"])
def test_dot_segments_in_a_callers_path_are_refused(upstream, path):
    with pytest.raises(errors.UpstreamError) as caught:
        upstream.run(make_job(path=path))
    assert not caught.value.may_have_run
    assert not upstream.health().draining


@pytest.mark.parametrize("path", ["a b/ö?x=1#y", "%2e%2e/drain", "", "x" * 500])
def test_special_characters_in_a_path_arrive_unchanged(upstream, path):
    job = make_job(path=path)
    expected = answers.receipt(job.request.hex(), "line-1", "line-status", path, b"")
    assert upstream.run(job).body == expected


def test_nothing_is_sent_after_the_deadline(upstream, child):
    job = make_job(deadline=web.now_ms() - 1)
    with pytest.raises(errors.UpstreamError) as caught:
        upstream.run(job)
    assert not caught.value.may_have_run
    assert job.request.hex() not in child.get("standin/runs")["runs"]


def test_refused_connection_is_not_run():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    with pytest.raises(errors.UpstreamError) as caught:
        client.make_upstream(f"http://127.0.0.1:{port}", 1).run(make_job())
    assert not caught.value.may_have_run


@pytest.mark.parametrize(
    ("answer", "may_have_run", "has_retry_time"),
    [
        (web.Answer(cut=True), True, False),
        (web.Answer(503), True, False),
        (web.Answer(503, headers={"X-Not-Run": "1", "Retry-After-Ms": "70"}), False, True),
        (web.Answer(503, headers={"X-Not-Run": "1", "Retry-After-Ms": "-70"}), False, False),
        (web.Answer(503, headers={"X-Not-Run": "yes", "Retry-After-Ms": "9" * 99}), True, False),
        (web.Answer(200, headers={"X-Not-Run": "0"}), True, False),
        (web.Answer(200, b"x" * (client.MAX_ANSWER_BYTES + 1)), True, False),
    ],
)
def test_error_of_a_lost_or_refused_answer_shows_whether_it_may_have_run(
    canned, answer, may_have_run, has_retry_time
):
    with pytest.raises(errors.UpstreamError) as caught:
        canned(answer).run(make_job())
    assert caught.value.may_have_run == may_have_run
    assert (caught.value.retry_at is not None) == has_retry_time


@pytest.mark.parametrize("status", [200, 201, 302, 404, 409, 500])
def test_statuses_of_the_service_are_answers(canned, status):
    assert canned(web.Answer(status, b"x")).run(make_job()) == client.Reply(status, b"x")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"\x81" * 10_000,
        cbor2.dumps({}),
        cbor2.dumps([7]),
        cbor2.dumps([[1, b"a", 2]]),
        cbor2.dumps([[1, "text"]]),
        cbor2.dumps([[2, b"gap"]]),
        cbor2.dumps([[1, b"a"], [1, b"again"]]),
        cbor2.dumps([[n, b""] for n in range(1, 8)]),
    ],
)
def test_malformed_feeds_are_upstream_errors(canned, body):
    with pytest.raises(errors.UpstreamError):
        canned(web.Answer(200, body)).events("spans", 0, 3, 0, service="line-status")


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"\xff", b'{"ok": 1}', b'{"ok": "yes", "draining": 0, "cold": 0}']
)
def test_malformed_reports_are_upstream_errors(canned, body):
    made = canned(web.Answer(200, body))
    for report in (made.health, made.load):
        with pytest.raises(errors.UpstreamError):
            report()


def test_pooled_connection_that_the_upstream_closed_is_replaced(upstream):
    """Guards against a request lost on an idle connection that the upstream has closed."""
    upstream.run(make_job())
    for connection in list(upstream.requests.pool.pool.queue):
        if connection is not None and connection.sock is not None:
            connection.sock.shutdown(socket.SHUT_RDWR)
    assert upstream.run(make_job()).status == 200


def test_long_polls_reuse_their_connections(child):
    """Guards against a new connection to the upstream for every poll."""
    made = client.make_upstream(child.url, 1)
    with concurrent.futures.ThreadPoolExecutor(6) as executor:
        for _ in range(3):
            wait_until = web.now_ms() + 300
            polls = [
                executor.submit(made.events, "none", 1 << 50, 1, wait_until, service="line-status")
                for _ in range(6)
            ]
            assert [poll.result() for poll in polls] == [[]] * 6
    assert made.feeds.pool.num_connections <= 6
    made.close()
