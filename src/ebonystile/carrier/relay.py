"""Serve this process's copy of the store to other processes, with the store's own HTTP calls.

A relay answers watches only while it reads the store directly: two relays that read from each
other would both treat stale data as current. Lists are always served, marked as not current if
need be, for processes that can't read the store.
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
"""Changes kept for watches from older revisions; older ones must read the lists again."""

PAGE_ITEMS = 500
"""Items in one page of a list, as in the store's answers."""

JSON = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A watch that is open until a change after `revision` or until `deadline` (ms)."""

    connection: pages.Connection
    revision: int
    deadline: int


class Relay:
    """The items that this process has read, and the open watches of other processes.

    `is_direct` returns whether this process is reading the store itself and its view is current.
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
        """Restart the history at the revision of a list; watches from before it get 410."""
        self.history.clear()
        self.floor = revision
        self.revision = max(self.revision, revision)

    def take(self, item: entries.Item) -> None:
        """Add a changed item to the copy and the history."""
        if item.tombstone:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        if len(self.history) == HISTORY:
            self.floor = self.history[0].revision
        self.history.append(item)

    def advance(self, revision: int) -> None:
        """Set the revision up to which the copy is complete, and answer the watches it concerns."""
        self.revision = max(self.revision, revision)
        waiting, self.waiting = self.waiting, []
        # Most watches start from the same revision, so each answer is encoded once.
        answers = {asked: self.answer_to(asked) for asked in {one.revision for one in waiting}}
        for one in waiting:
            self.answer_or_wait(one, answers[one.revision])

    def expire(self, now: int) -> None:
        """Answer the watches past their deadline, and all of them once the store is lost."""
        if not self.waiting:
            return
        direct = self.is_direct()
        over = [w for w in self.waiting if not direct or w.deadline <= now]
        self.waiting = [w for w in self.waiting if direct and w.deadline > now]
        for one in over:
            one.connection.answer(self.news(one.revision) if direct else pages.Page(503))

    def on_request(self, connection: pages.Connection, target: str) -> None:
        """Answer a list or watch request of another process."""
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
        """Send the answer of a watch, or keep the watch open if there is none yet."""
        if answer is None:
            self.waiting.append(one)
        else:
            one.connection.answer(answer)

    def answer_to(self, revision: int) -> pages.Page | None:
        """Return the answer to a watch from this revision, None if nothing has changed since."""
        if not self.is_direct():
            return pages.Page(503)
        if revision < self.floor:
            return pages.Page(410)
        if any(item.revision > revision for item in self.history):
            return self.news(revision)
        return None

    def news(self, revision: int) -> pages.Page:
        """Return the answer with the changes after a revision."""
        changed = [item for item in self.history if item.revision > revision]
        return json_page(entries.News(changed, max(revision, self.revision)))

    def page(self, prefix: str, after: str) -> pages.Page:
        """Return a page of the items whose keys begin with `prefix` and sort behind `after`."""
        if not self.revision:
            return pages.Page(503)
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return json_page(entries.Page(items, self.revision, more, self.is_direct()))


def fields_of(query: str) -> dict[str, str]:
    """Return the fields of a query string; `urllib.parse` is imported late for a faster start."""
    import urllib.parse

    return dict(urllib.parse.parse_qsl(query))


def number(text: str | None) -> int:
    """Return the integer in a query field, 0 if it is missing or malformed."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 20 else 0


def json_page(body: msgspec.Struct) -> pages.Page:
    """Return an answer with this body as JSON."""
    return pages.Page(200, msgspec.json.encode(body), JSON)
