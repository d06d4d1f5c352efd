"""Platform stand-in: serves the API of docs/PLATFORM.md, and can be down, stale, slow or older.

It can also be restored from an older copy, in a new epoch.

The API is read-only; operators and tests write through the `standin/` paths.
"""

import argparse
import collections
import dataclasses
import json
import random
import sys
import threading
import time
import typing

from standins import history, web

MAX_VALUE_BYTES = 1 << 20
"""Largest value in bytes."""

STOP_TIMEOUT_MS = 2000
"""How long to wait for calls in progress after SIGTERM."""

MODES = ("up", "down", "stale", "slow", "older")


@dataclasses.dataclass(frozen=True, slots=True)
class Mode:
    """The fault mode set by `POST /standin/mode`."""

    mode: str = "up"
    close: bool = False
    revision: int | None = None
    delay_ms: int = 500
    share: float = 0.5
    list_lag_ms: int = 0

    def __post_init__(self) -> None:
        if self.mode not in MODES:
            raise ValueError(f"mode must be one of {MODES}")


class Platform:
    """Serves reads and watches of values and instances."""

    def __init__(self, seed: int):
        self.condition = threading.Condition()
        self.values = history.History()
        self.instances = history.History()
        self.mode = Mode()
        self.held = {"values": 0, "instances": 0}
        self.epoch = 0
        self.random = random.Random(seed)
        self.calls: collections.Counter[str] = collections.Counter()
        self.waiting = 0
        self.stopping = False

    def answer(self, query: web.Query) -> web.Answer:
        """Return the response to an HTTP request."""
        if query.path.startswith("standin/"):
            return self.standin(query)
        if query.method != "GET":
            return web.json_answer({"error": "read only"}, 405)
        head, _, key = query.path.removeprefix("v1/").partition("/")
        with self.condition:
            self.calls[head] += 1
        if self.mode.mode == "slow":
            time.sleep(self.mode.delay_ms / 1000)
        if head in ("watch", "instances"):
            return self.delta(query, head)
        if head == "values":
            return self.read(key)
        return web.json_answer({"error": "no such path"}, 404)

    def refuse(self) -> web.Answer:
        """Return the response of a platform that is down."""
        if self.mode.close:
            return web.Answer(cut=True)
        return web.json_answer({"error": "down"}, 503)

    def ceiling(self, kind: str, now: int, older: bool) -> int:
        """Return the newest revision that the response may contain."""
        log = self.values if kind == "values" else self.instances
        revision = log.revision
        if kind == "instances" and self.mode.list_lag_ms:
            revision = log.revision_at(now - self.mode.list_lag_ms)
        if self.mode.mode == "stale" or (self.mode.mode == "older" and older):
            revision = min(revision, self.held[kind])
        return revision

    def delta(self, query: web.Query, head: str) -> web.Answer:
        """Return the changes after a revision; wait up to `wait_ms` if there are none yet."""
        kind = "values" if head == "watch" else "instances"
        log = self.values if kind == "values" else self.instances
        wait_until = web.now_ms() + query.number("wait_ms", 0)
        with self.condition:
            epoch = self.epoch
            after = query.number("after", 0) if query.number("epoch", 0) == epoch else 0
            older = self.random.random() < self.mode.share
            self.waiting += 1
            try:
                self.wait_newer(kind, after, wait_until, older)
            finally:
                self.waiting -= 1
            if self.mode.mode == "down" or self.epoch != epoch:
                return self.refuse()
            page = log.page(after, self.ceiling(kind, web.now_ms(), older), MAX_VALUE_BYTES)
        fields = {"epoch": epoch, "revision": page.revision, "more": page.more}
        if kind == "values":
            shown = [
                {"key": v.key, "revision": v.revision, "value": v.value} for v in page.versions
            ]
            return web.json_answer({**fields, "values": shown})
        return web.json_answer({**fields, "instances": [v.value for v in page.versions]})

    def wait_newer(self, kind: str, after: int, wait_until: int, older: bool) -> None:
        """Wait for a revision above `after` or the timeout; the lock must be held."""
        epoch = self.epoch
        while self.mode.mode != "down" and self.epoch == epoch and not self.stopping:
            now = web.now_ms()
            if self.ceiling(kind, now, older) > after or now >= wait_until:
                return
            # A lagging list becomes visible without anyone telling us, so look again soon.
            lagging = kind == "instances" and self.mode.list_lag_ms
            self.condition.wait(min(wait_until - now, 20 if lagging else wait_until - now) / 1000)

    def read(self, key: str) -> web.Answer:
        """Return one value, or every key with its revision."""
        with self.condition:
            if self.mode.mode == "down":
                return self.refuse()
            older = self.random.random() < self.mode.share
            revision = self.ceiling("values", web.now_ms(), older)
            versions = [v for v in self.values.newest(revision) if v.value is not None]
        if not key:
            keys = [{"key": v.key, "revision": v.revision} for v in versions]
            return web.json_answer({"revision": revision, "values": keys})
        for v in versions:
            if v.key == key:
                fields = {"key": v.key, "revision": v.revision, "value": v.value}
                return web.json_answer(fields)
        return web.json_answer({"error": "no such key"}, 404)

    def standin(self, query: web.Query) -> web.Answer:
        """Return the response to a request on the `standin/` paths."""
        change = {
            "standin/values": self.put_values,
            "standin/instances": self.put_instances,
            "standin/mode": self.set_mode,
            "standin/backup": self.back_up,
            "standin/restore": self.restore,
        }.get(query.path)
        with self.condition:
            if query.path == "standin/calls":
                calls = {"calls": sum(self.calls.values()), "by_path": dict(self.calls)}
                return web.json_answer({**calls, "waiting": self.waiting})
            if change is None or query.method != "POST":
                return web.json_answer({"error": "no such path"}, 404)
            document = query.json()
            answer = change(document)
            self.condition.notify_all()
            return answer

    def put_values(self, document: typing.Any) -> web.Answer:
        """Publish one `{"key", "value"}` or a list of them, in order."""
        entries = document if isinstance(document, list) else [document]
        for entry in entries:
            if len(json.dumps(entry["value"])) > MAX_VALUE_BYTES:
                return web.json_answer({"error": "value too large"}, 413)
        for entry in entries:
            self.values.put(entry["key"], entry["value"], web.now_ms())
        return web.json_answer({"revision": self.values.revision})

    def put_instances(self, document: typing.Any) -> web.Answer:
        """Publish one instance or a list of them, in order."""
        for entry in document if isinstance(document, list) else [document]:
            self.instances.put(entry["name"], entry, web.now_ms())
        return web.json_answer({"revision": self.instances.revision})

    def back_up(self, document: typing.Any) -> web.Answer:
        """Keep a copy of the values and the list."""
        for log in (self.values, self.instances):
            log.back_up()
        return web.json_answer({"epoch": self.epoch})

    def restore(self, document: typing.Any) -> web.Answer:
        """Go back to the copy, in a new epoch; waiting watches get 503."""
        for log in (self.values, self.instances):
            log.restore()
        self.epoch += 1
        return web.json_answer({"epoch": self.epoch})

    def set_mode(self, document: typing.Any) -> web.Answer:
        """Set the mode; stale and older freeze the current revision, or the one given."""
        self.mode = Mode(**document)
        self.held = {"values": self.values.revision, "instances": self.instances.revision}
        if self.mode.revision is not None:
            self.held["values"] = self.mode.revision
        return web.json_answer({"mode": self.mode.mode})

    def stop(self) -> None:
        """End the waiting watches."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()


def main(arguments: list[str] | None = None) -> int:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins.platform", description=__doc__)
    web.port_option(parser)
    parser.add_argument("--seed", type=int, default=0, help="seed that picks the older responses")
    options = parser.parse_args(arguments)
    app = Platform(options.seed)
    web.serve(web.Server(options.port, app), app.stop, STOP_TIMEOUT_MS)
    return 0


if __name__ == "__main__":
    sys.exit(main())
