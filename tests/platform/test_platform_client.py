"""The client must refuse malformed and inconsistent answers of the platform."""

import json

import pytest

from ebonystile import errors
from ebonystile.core import positions
from ebonystile.platform import client
from standins import web

INSTANCE = {
    "name": "line-1",
    "role": "upstream",
    "address": "127.0.0.1:4001",
    "zone": "umea",
    "state": "live",
}


@pytest.fixture
def canned(serve):
    """Return a function that serves one fixed answer and returns a client of it."""
    return lambda answer: client.make_platform(serve(answer))


def values(revision, *revisions, more=False):
    """Return an answer to a watch whose values have these revisions."""
    entries = [{"key": f"labels/{n}", "revision": n, "value": {}} for n in revisions]
    return json.dumps({"revision": revision, "values": entries, "more": more}).encode()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"\xff\xfe",
        b"[" * 100_000,
        b"{}",
        b'{"revision": "5", "values": [], "more": false}',
        b'{"revision": -1, "values": [], "more": false}',
        b'{"revision": 5, "values": [{}], "more": false}',
        b'{"revision": 99999999999999999999, "values": [], "more": false}',
        values(9, 8, 7),
        values(9, 7, 7),
        values(9, 10),
        values(9, 3),
        values(4, more=True),
        b'{"revision": 5, "epoch": -1, "values": [], "more": false}',
        b'{"revision": 5, "epoch": 99999999, "values": [], "more": false}',
        b" " * (client.MAX_ANSWER_BYTES + 1),
    ],
)
def test_invalid_watch_answers_raise_platform_errors(canned, body):
    with pytest.raises(errors.PlatformError):
        canned(web.Answer(200, body)).watch(5, 0)


@pytest.mark.parametrize(
    "change",
    [
        {"role": "cache"},
        {"state": "asleep"},
        {"address": "line-1:4001"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:70000"},
        {"address": 4001},
        {"name": ""},
        {"zone": None},
    ],
)
def test_invalid_instances_raise_platform_errors(canned, change):
    entry = {**INSTANCE, **change}
    body = json.dumps({"revision": 1, "instances": [entry], "more": False}).encode()
    with pytest.raises(errors.PlatformError):
        canned(web.Answer(200, body)).instances(0, 0)


def test_valid_answers_are_returned(canned):
    watched = canned(web.Answer(200, values(9, 6, 8))).watch(5, 0)
    assert [entry.revision for entry in watched.entries] == [6, 8]
    entry = {**INSTANCE, "added later": 1}
    body = json.dumps({"revision": 1, "instances": [entry], "more": False}).encode()
    listed = canned(web.Answer(200, body)).instances(0, 0)
    assert listed.entries[0].address == ("127.0.0.1", 4001)


@pytest.mark.parametrize("answer", [web.Answer(500), web.Answer(302), web.Answer(cut=True)])
def test_other_statuses_and_cut_connections_are_errors(canned, answer):
    with pytest.raises(errors.PlatformError):
        canned(answer).watch(0, 0)


def test_an_answer_of_a_restored_platform_begins_from_the_start(canned):
    """Its revisions are lower than the one asked from, and would be refused in the same epoch."""
    body = json.loads(values(4, 2, 3))
    watched = canned(web.Answer(200, json.dumps({**body, "epoch": 2}).encode())).watch(9, 0)
    assert watched.revision == positions.make_position(2, 4)
    assert [positions.text_of(entry.revision) for entry in watched.entries] == ["2:2", "2:3"]
