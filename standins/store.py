"""Stand-in for the platform's store: keys, values, revisions, watches and failures.

Only the read side is served over HTTP. `set_mode` makes it refuse calls (503) or leave them
unanswered; `forget` drops the history, so that watches fail with 410 and readers list everything
again; `open_door` serves at a further address that fails on its own, so that only some instances
are affected; after `age`, reads that allow stale data get the state of that moment. `back_up` keeps
a copy, and `restore` goes back to it: what was written since is gone, its revisions are given out
again, and the epoch in the header `Store-Era` of all answers rises by one.
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
    created: int

    def document(self):
        """Return the JSON document of the item in watches and lists."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        text = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": text,
            "revision": self.revision,
            "created": self.created,
            "lease": 0,
        }


@dataclasses.dataclass(frozen=True)
class Copy:
    """The items at a revision."""

    items: dict[str, Item]
    revision: int

    def page(self, prefix: str, after: str) -> web.Answer:
        """Return one page of the items with a prefix, from behind the key `after`."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        documents = [self.items[key].document() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return web.json_answer(
            {"items": documents, "has_more": more, "store_revision": self.revision}
        )


class Address:
    """An address on loopback at which a store is served, with its own mode.

    `changed` guards the store and its addresses; subclasses answer the calls.
    """

    def __init__(self, changed: threading.Condition):
        self.changed = changed
        self.mode = SERVING
        self.server = web.Server(0, self)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    @property
    def address(self) -> str:
        """Return `ip:port`."""
        return f"127.0.0.1:{self.server.server_port}"

    def set_mode(self, mode: str) -> None:
        """Set whether calls at this address are served, refused or left unanswered."""
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def close(self) -> None:
        """Stop serving at this address."""
        self.set_mode(REFUSING)
        self.server.shutdown()
        self.server.server_close()


class Door(Address):
    """A further address of a store, which fails some instances while the others are served.

    While it is silent it leaves all calls unanswered, also those that were waiting before.
    """

    def __init__(self, served: "Store"):
        self.served = served
        super().__init__(served.changed)

    def answer(self, query: web.Query) -> web.Answer:
        """Return the store's response to an HTTP request, unless this address fails."""
        if self.mode == REFUSING:
            return web.Answer(503)
        answer = self.served.answer(query)
        with self.changed:
            if self.mode == SERVING:
                return answer
            self.changed.wait_for(lambda: self.mode != SILENT, MAX_WAIT_S)
        return web.Answer(cut=True)


class Store(Address):
    """The store and its server; methods are thread-safe."""

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.floor = 0
        self.revision = 10
        self.epoch = 1
        self.calls = 0
        self.old: Copy | None = None
        self.backup = self.copy()
        self.doors: list[Door] = []
        super().__init__(threading.Condition())

    def open_door(self) -> Door:
        """Serve at a further address, which can fail on its own."""
        self.doors.append(Door(self))
        return self.doors[-1]

    def copy(self) -> Copy:
        """Return the current state."""
        return Copy(dict(self.items), self.revision)

    def put(self, key: str, value) -> None:
        """Write a value, encoded as JSON unless it is bytes; None deletes the key."""
        data = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            before = self.items.pop(key, None)
            created = before.created if before is not None else self.revision
            item = Item(key, data, self.revision, created)
            self.history.append(item)
            if data is not None:
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
            self.old = self.copy()

    def back_up(self) -> None:
        """Keep a copy of the current state."""
        with self.changed:
            self.backup = self.copy()

    def restore(self) -> dict[str, bytes | None]:
        """Go back to the copy, in a new epoch; waiting watches are cut.

        Return the values that the copy lacks by their keys, None for a key deleted since.
        """
        with self.changed:
            lost = {
                key: self.items[key].value if key in self.items else None
                for key in {*self.items, *self.backup.items}
                if self.items.get(key) != self.backup.items.get(key)
            }
            self.items, self.revision = dict(self.backup.items), self.backup.revision
            self.history = [item for item in self.history if item.revision <= self.revision]
            self.floor = min(self.floor, self.revision)
            self.epoch += 1
            self.changed.notify_all()
        return lost

    def close(self) -> None:
        """Stop serving, at all addresses."""
        for door in self.doors:
            door.close()
        super().close()

    def answer(self, query: web.Query) -> web.Answer:
        """Return the response to an HTTP request, with the epoch in its headers."""
        self.calls += 1
        with self.changed:
            answer = self.answer_call(query)
            return dataclasses.replace(answer, headers={"Store-Era": str(self.epoch)})

    def answer_call(self, query: web.Query) -> web.Answer:
        """Return the response to a call; the lock must be held."""
        if self.mode == SILENT:
            self.changed.wait_for(lambda: self.mode != SILENT, MAX_WAIT_S)
            return web.Answer(cut=True)
        if self.mode == REFUSING:
            return web.Answer(503)
        if query.path == "-/kv-range":
            is_stale = self.old is not None and query.parameters.get("stale_ok") == "1"
            state = self.old if is_stale else self.copy()
            return state.page(query.parameters.get("prefix", ""), query.parameters.get("after", ""))
        if query.path == "-/kv-watch":
            return self.watch(query)
        return web.Answer(404)

    def watch(self, query: web.Query) -> web.Answer:
        """Wait for changes after a revision and return them; the lock must be held."""
        prefix = query.parameters.get("prefix", "")
        after = query.number("after", 0)
        epoch = self.epoch
        until = time.monotonic() + query.number("wait_ms", 0) / 1000

        def news():
            return [i for i in self.history if i.revision > after and i.key.startswith(prefix)]

        def is_serving():
            return self.mode == SERVING and self.epoch == epoch

        def has_history():
            return self.floor <= after <= self.revision

        while is_serving() and has_history() and not news():
            left = until - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        if not is_serving():
            return web.Answer(cut=True)
        if not has_history():
            return web.Answer(410)
        events = [item.document() for item in news()]
        return web.json_answer({"events": events, "store_revision": self.revision})
