"""The platform stand-in, read through the daemons' platform client."""

import concurrent.futures
import threading

import pytest

from ebonystile import errors
from ebonystile.core import positions
from ebonystile.platform import client
from standins import processes, web


@pytest.fixture
def child(children):
    return children.start_platform()


@pytest.fixture
def platform(child):
    made = client.make_platform(child.url)
    yield made
    made.close()


def test_a_watch_gives_each_change_once_and_the_newest_value(child, platform):
    for value in ({"n": 1}, {"n": 2}):
        processes.publish_value(child, "services/0", value)
    processes.publish_value(child, "labels/0", {})
    first = platform.watch(0, 0)
    assert [(v.key, v.revision, v.value) for v in first.entries] == [
        ("services/0", 2, {"n": 2}),
        ("labels/0", 3, {}),
    ]
    processes.publish_value(child, "labels/0", None)
    second = platform.watch(first.revision, 0)
    assert [(v.key, v.value) for v in second.entries] == [("labels/0", None)]
    assert second.revision == 4
    assert platform.watch(4, 0) == client.Values(4, (), False)
    assert child.get("v1/values")["values"] == [{"key": "services/0", "revision": 2}]
    assert child.get("v1/values/services/0")["value"] == {"n": 2}


def test_large_values_come_in_pages(child, platform):
    for n in range(4):
        processes.publish_value(child, f"labels/{n}", "x" * 600_000)
    keys = []
    after = 0
    more = True
    while more:
        page = platform.watch(after, 0)
        keys += [value.key for value in page.entries]
        after, more = page.revision, page.more
    assert keys == [f"labels/{n}" for n in range(4)]


def test_a_waiting_watch_is_woken_and_counted_as_one_call(child, platform):
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        waiting = executor.submit(platform.watch, 0, web.now_ms() + 30_000)
        while child.get("standin/calls")["waiting"] == 0:
            threading.Event().wait(0.01)
        processes.publish_value(child, "labels/0", {})
        assert waiting.result(30).revision == 1
    assert child.get("standin/calls") == {"calls": 1, "by_path": {"watch": 1}, "waiting": 0}


def test_the_system_cannot_write(child):
    for path in ("v1/values", "v1/values/services/0", "v1/instances"):
        with pytest.raises(RuntimeError, match="405"):
            child.post(path, {"key": "services/0", "value": {}})
    assert child.get("v1/values")["revision"] == 0


@pytest.mark.parametrize("close", [False, True])
def test_down_is_an_error_and_up_again_shows_everything(child, platform, close):
    processes.publish_value(child, "labels/0", {})
    child.post("standin/mode", {"mode": "down", "close": close})
    for read in (platform.watch, platform.instances):
        with pytest.raises(errors.PlatformError):
            read(0, 0)
    child.post("standin/mode", {"mode": "up"})
    assert platform.watch(0, 0).revision == 1


def test_stale_and_older_answers_show_lower_revisions(child, platform):
    """A stale replica returns a lower revision and no values to a reader that is ahead of it."""
    for n in range(3):
        processes.publish_value(child, "labels/0", {"n": n})
    child.post("standin/mode", {"mode": "stale", "revision": 2})
    processes.publish_value(child, "labels/0", {"n": 3})
    assert platform.watch(3, 0) == client.Values(2, (), False)
    assert platform.watch(0, 0).entries[0].value == {"n": 1}
    child.post("standin/mode", {"mode": "older", "revision": 1, "share": 0.5})
    revisions = {platform.watch(0, 0).revision for _ in range(40)}
    assert revisions == {1, 4}


def test_slow_answers_come_and_the_list_lags(child, platform):
    child.post("standin/mode", {"mode": "slow", "delay_ms": 30, "list_lag_ms": 60_000})
    processes.publish_instance(child, "line-1", "upstream", "127.0.0.1:4001", "umea")
    assert platform.instances(0, 0) == client.Instances(0, (), False)
    child.post("standin/mode", {"mode": "up", "list_lag_ms": 50})
    listed = platform.instances(0, web.now_ms() + 10_000)
    instance = client.Instance(
        name="line-1", role="upstream", address="127.0.0.1:4001", zone="umea", state="live"
    )
    assert listed == client.Instances(1, (instance,), False)
    processes.publish_instance(child, "line-1", "upstream", "127.0.0.1:4001", "umea", "gone")
    gone = platform.instances(1, web.now_ms() + 10_000)
    assert [i.state for i in gone.entries] == ["gone"]


def test_a_restored_platform_gives_revisions_out_again(child, platform):
    processes.publish_value(child, "labels/0", {"n": 1})
    child.post("standin/backup", {})
    processes.publish_value(child, "labels/0", {"n": 2})
    lost = platform.watch(0, 0)
    child.post("standin/restore", {})
    restored = platform.watch(lost.revision, 0)
    assert restored.revision == positions.make_position(1, 1) > lost.revision
    assert [v.value for v in restored.entries] == [{"n": 1}]
    processes.publish_value(child, "labels/0", {"n": 3})
    assert [v.value for v in platform.watch(restored.revision, 0).entries] == [{"n": 3}]


def test_a_restoration_ends_waiting_watches(child, platform):
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        waiting = executor.submit(platform.watch, 0, web.now_ms() + 30_000)
        while child.get("standin/calls")["waiting"] == 0:
            threading.Event().wait(0.01)
        child.post("standin/restore", {})
        with pytest.raises(errors.PlatformError):
            waiting.result(30)
