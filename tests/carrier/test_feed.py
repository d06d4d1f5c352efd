"""What a process makes of lists and watches, also where they come late, twice or from a relay."""

import json
import random
import socket

import pytest

from ebonystile import clock, loop
from ebonystile.carrier import feed, journal
from ebonystile.core.carrying import reading
from ebonystile.platform import entries, node, store

DRAINED = "op/evacuate/umea"


@pytest.fixture
def made():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    settings = node.Node("n", "balancer", "umea", "127.0.0.1:1", "127.0.0.1:2", port, "127.0.0.1:3")
    built = feed.StoreFeed(loop.Loop(), settings, journal.Journal("balancer", "n"), lambda: None)
    yield built
    built.relay.server.close()


def item(key, revision, body=None):
    data = b"" if body is None else json.dumps(body).encode()
    return entries.Item(key, data, revision, tombstone=False, created=revision)


def gone(key, revision):
    return entries.Item(key, b"", revision, tombstone=True)


def configuration(revision=5, version=1):
    return item("op/config", revision, {"version": version, "routes": []})


def entry(name, revision):
    body = {
        "service": "s",
        "address": "127.0.0.9:80",
        "zone": "umea",
        "max_concurrency": 2,
        "state": "ready",
    }
    return item(f"servers/{name}", revision, body)


def take_list(made, kind, items, revision, next_after="", after=""):
    call = reading.Call(kind, clock.now() + 1_000, after)
    if not made.reader.todo:
        made.reader.restart()
    while made.reader.todo[0][0] is not kind:
        made.reader.todo.pop(0)
    made.apply_result(call, store.Listed(tuple(items), revision, next_after, True), clock.now())


def operators(made, items, revision, **pages):
    take_list(made, reading.Kind.CONFIGURATION, items, revision, **pages)


def upstreams(made, items, revision):
    take_list(made, reading.Kind.ENTRIES, items, revision)


def news(made, items, revision):
    call = reading.Call(reading.Kind.WATCH, clock.now() + 1_000)
    made.apply_result(call, store.Watched(tuple(items), revision), clock.now())


def test_a_drained_zone_is_known_before_any_upstream_is(made):
    """What operators wrote comes in one list, and that of upstreams only after it."""
    path = store.build_path(made.reader.next_call(clock.now()), clock.now())
    assert "prefix=op/" in path
    operators(made, [configuration(), item(DRAINED, 6, {})], 9)
    assert made.fleet.drained == {"umea"} and not made.fleet.upstreams


def test_a_drained_zone_is_kept_over_several_pages(made):
    operators(made, [configuration(), item("op/evacuate/a", 6)], 9, next_after="op/evacuate/a")
    operators(made, [item(DRAINED, 7)], 9, after="op/evacuate/a")
    assert made.fleet.drained == {"a", "umea"}


def test_a_watch_brings_the_drain_and_its_end(made):
    news(made, [item(DRAINED, 11)], 11)
    assert made.fleet.drained == {"umea"}
    news(made, [gone(DRAINED, 12)], 12)
    assert made.fleet.drained == set()


def test_the_end_of_a_drain_that_no_watch_brought_is_seen_in_the_next_list(made):
    """The store drops its history while the key is removed."""
    news(made, [item(DRAINED, 11)], 11)
    operators(made, [configuration()], 20)
    assert made.fleet.drained == set()


def test_an_older_list_does_not_end_a_drain(made):
    """A process falls back to a relay that has read less than itself."""
    news(made, [item(DRAINED, 11)], 11)
    operators(made, [configuration()], 10)
    assert made.fleet.drained == {"umea"}


def test_an_older_list_does_not_begin_a_drain_again(made):
    news(made, [item(DRAINED, 11)], 11)
    news(made, [gone(DRAINED, 15)], 15)
    operators(made, [configuration(), item(DRAINED, 11)], 12)
    assert made.fleet.drained == set()


def test_an_older_list_does_not_drop_an_upstream_that_has_just_come(made):
    """A relay's older list lacks it, and the watch from there on brings an item known already.

    The upstream would then get no new flow until its entry changes.
    """
    news(made, [entry("u1", 11)], 11)
    upstreams(made, [], 10)
    news(made, [entry("u1", 11)], 11)
    assert list(made.fleet.upstreams) == ["u1"]
    upstreams(made, [], 12)
    assert list(made.fleet.upstreams) == []


def test_a_store_that_fails_leaves_zones_drained(made):
    news(made, [item(DRAINED, 11)], 11)
    made.call = reading.Call(reading.Kind.WATCH, clock.now() + 1_000)
    made.on_failure("silent")
    made.apply_result(
        reading.Call(reading.Kind.WATCH, clock.now()), store.HistoryLost(), clock.now()
    )
    assert made.fleet.drained == {"umea"}


def test_bad_keys_name_no_zone_and_lose_nothing(made):
    keys = ["op/evacuate/", "op/evacuate", "op/evacuated/x", "op/other"]
    news(made, [item(key, 11 + place) for place, key in enumerate(keys)], 15)
    assert made.fleet.drained == set() and made.counts["malformed"] == 1
    many = [item(f"op/evacuate/zone-{number}", 20 + number) for number in range(1_000)]
    random.Random(1).shuffle(many)
    news(made, [*many, item(DRAINED, 2_000)], 2_000)
    assert len(made.fleet.drained) == 1_001 and "umea" in made.fleet.drained
