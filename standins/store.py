"""Stand-in for the platform's store: keys, values, revisions, watches and failures.

Only the read side is served over HTTP. `set_mode` makes it refuse calls (503) or leave them
unanswered; `forget` drops the history, so that watches fail with 410 and readers list everything
again; after `age`, reads that allow stale data get the state of that moment.
"""

import base64
import dataclasses
import json
import threading
import time

from standins import web

PAGE_ITEMS = 500
MAX_WAIT_S = 30.0
SERVING, REFUSING, SILENT = "serving", "refusing", "silent"


@dataclasses.dataclass(frozen=True)
class Item:
    """A written item; a value of None marks a deleted key."""

    key: str
    value: bytes | None
    revision: int

    def document(self):
        """Return the JSON document of the item in watches and lists."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        text = base64.b64encode(self.value).decode()
        created = self.revision
        return {
            "key": self.key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }


class Store:
    """The store and its server; methods are thread-safe."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.floor = 0
        self.revision = 10
        self.mode = SERVING
        self.calls = 0
        self.old: tuple[dict[str, Item], int] | None = None
        self.server = web.Server(0, self)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def address(self) -> str:
        """Return `ip:port`."""
        return f"127.0.0.1:{self.server.server_port}"

    def put(self, key: str, value) -> None:
        """Write a value, encoded as JSON unless it is bytes; None deletes the key."""
        data = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            item = Item(key, data, self.revision)
            self.history.append(item)
            if data is None:
                self.items.pop(key, None)
            else:
                self.items[key] = item
            self.changed.notify_all()

    def forget(self) -> None:
        """Drop the history."""
        with self.changed:
            self.history.clear()
            self.floor = self.revision
            self.changed.notify_all()

    def age(self) -> None:
        """Serve the current state from now on to reads that allow stale data."""
        with self.changed:
            self.old = (dict(self.items), self.revision)

    def set_mode(self, mode: str) -> None:
        """Set whether calls are served, refused or left unanswered."""
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def close(self) -> None:
        """Stop the server."""
        self.set_mode(REFUSING)
        self.server.shutdown()
        self.server.server_close()

    def answer(self, query: web.Query) -> web.Answer:
        """Return the response to an HTTP request."""
        self.calls += 1
        with self.changed:
            if self.mode == SILENT:
                self.changed.wait_for(lambda: self.mode != SILENT, MAX_WAIT_S)
                return web.Answer(cut=True)
            if self.mode == REFUSING:
                return web.Answer(503)
            state = self.items, self.revision
            if self.old is not None and query.parameters.get("stale_ok") == "1":
                state = self.old
            if query.path == "-/kv-range":
                prefix, after = query.parameters.get("prefix", ""), query.parameters.get("after")
                return page(*state, prefix, after)
            if query.path == "-/kv-watch":
                return self.watch(query)
        return web.Answer(404)

    def watch(self, query: web.Query) -> web.Answer:
        """Wait for changes after a revision and return them; the lock must be held."""
        prefix = query.parameters.get("prefix", "")
        after = query.number("after", 0)
        until = time.monotonic() + query.number("wait_ms", 0) / 1000

        def news():
            return [i for i in self.history if i.revision > after and i.key.startswith(prefix)]

        while self.mode == SERVING and after >= self.floor and not news():
            left = until - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        if self.mode != SERVING:
            return web.Answer(cut=True)
        if after < self.floor:
            return web.Answer(410)
        events = [item.document() for item in news()]
        return web.json_answer({"events": events, "store_revision": self.revision})


def page(items: dict[str, Item], revision: int, prefix: str, after: str | None) -> web.Answer:
    """Return one page of the items with a prefix."""
    keys = sorted(k for k in items if k.startswith(prefix) and k > (after or ""))
    documents = [items[key].document() for key in keys[:PAGE_ITEMS]]
    more = len(keys) > PAGE_ITEMS
    return web.json_answer({"items": documents, "has_more": more, "store_revision": revision})
