"""Serve what this process has read of the store to other processes, by the store's own calls.

A relay answers watches only while it reads the store itself, so that two processes can never take
one another's word for the store's. Lists are given to anybody, as the store may refuse a process.
"""

import collections
import dataclasses
from collections import abc

import msgspec

from ebonystile import clock, loop
from ebonystile.carrier import pages
from ebonystile.core import view
from ebonystile.platform import entries, store

HISTORY = 2_000
"""Changes kept for readers that are behind; one that is further behind reads everything."""

PAGE_ITEMS = 500
"""Items of one page of a list, as the store gives."""

JSON = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A watch that waits for a change after `revision` until `deadline` (ms)."""

    connection: pages.Connection
    revision: int
    deadline: int


class Relay:
    """What this process has read, and the watches of others that wait for more.

    `is_direct` tells whether the store's own word is being read just now.
    """

    def __init__(
        self, owner: loop.Loop, address: view.Address, is_direct: abc.Callable[[], bool]
    ) -> None:
        self.owner = owner
        self.is_direct = is_direct
        self.items: dict[str, entries.Item] = {}
        self.history: collections.deque[entries.Item] = collections.deque(maxlen=HISTORY)
        self.revision = 0
        self.floor = 0
        self.waiting: list[Waiting] = []
        self.server = pages.Server(owner, address, self.on_request)

    def restart(self, revision: int) -> None:
        """Begin the history anew at the revision of a list; older readers read everything."""
        self.history.clear()
        self.floor = revision
        self.revision = max(self.revision, revision)

    def take(self, item: entries.Item) -> None:
        """Keep an item for others."""
        if item.tombstone:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        if len(self.history) == HISTORY:
            self.floor = self.history[0].revision
        self.history.append(item)

    def advance(self, revision: int) -> None:
        """Note up to which revision all is known, and answer those that waited for it."""
        self.revision = max(self.revision, revision)
        waiting, self.waiting = self.waiting, []
        # Most readers stand at the same revision, and their answer is made once.
        answers = {asked: self.answer_to(asked) for asked in {one.revision for one in waiting}}
        for one in waiting:
            self.answer_or_wait(one, answers[one.revision])

    def expire(self, now: int) -> None:
        """Answer the watches whose time is over, and all of them once the store is lost."""
        if not self.waiting:
            return
        direct = self.is_direct()
        over = [w for w in self.waiting if not direct or w.deadline <= now]
        self.waiting = [w for w in self.waiting if direct and w.deadline > now]
        for one in over:
            one.connection.answer(self.news(one.revision) if direct else pages.Page(503))

    def on_request(self, connection: pages.Connection, target: str) -> None:
        """Answer a call of another process."""
        path, _, query = target.partition("?")
        fields = fields_of(query)
        if path == store.WATCH_PATH:
            now = clock.now()
            wait = number(fields.get("wait_ms"))
            deadline = now + wait
            revision = number(fields.get("after"))
            self.answer_or_wait(Waiting(connection, revision, deadline), self.answer_to(revision))
            self.owner.at(deadline, lambda: self.expire(clock.now()))
        elif path == store.RANGE_PATH:
            connection.answer(self.page(fields.get("prefix", ""), fields.get("after", "")))
        else:
            connection.answer(pages.Page(404))

    def answer_or_wait(self, one: Waiting, answer: pages.Page | None) -> None:
        """Give a watch its answer, or let it wait if there is none yet."""
        if answer is None:
            self.waiting.append(one)
        else:
            one.connection.answer(answer)

    def answer_to(self, revision: int) -> pages.Page | None:
        """Return what a watch from this revision is told now, None if nothing is new."""
        if not self.is_direct():
            return pages.Page(503)
        if revision < self.floor:
            return pages.Page(410)
        if any(item.revision > revision for item in self.history):
            return self.news(revision)
        return None

    def news(self, revision: int) -> pages.Page:
        """Return what has changed after a revision."""
        changed = [item for item in self.history if item.revision > revision]
        return json_page(entries.News(changed, max(revision, self.revision)))

    def page(self, prefix: str, after: str) -> pages.Page:
        """Return a page of the items whose keys begin so."""
        if not self.revision:
            return pages.Page(503)
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return json_page(entries.Page(items, self.revision, more, self.is_direct()))


def fields_of(query: str) -> dict[str, str]:
    """Return the fields of a query; the library is loaded by the first one, not at the start."""
    import urllib.parse

    return dict(urllib.parse.parse_qsl(query))


def number(text: str | None) -> int:
    """Return the whole number that stands in a query, 0 where there is none."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 20 else 0


def json_page(body: msgspec.Struct) -> pages.Page:
    """Return the answer with this body."""
    return pages.Page(200, msgspec.json.encode(body), JSON)
