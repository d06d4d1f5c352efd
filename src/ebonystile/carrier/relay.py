"""Serve this process's copy of the store to other processes, with calls like the store's.

Where the store has revisions, a relay has positions, so that its readers see a restoration of the
store: the history of a new epoch begins above all earlier positions.

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

MAX_HISTORY_ITEMS = 2_000
"""Changes kept for watches from older revisions; older ones must read the lists again."""

PAGE_ITEMS = 500
"""Items in one page of a list, as in the store's answers."""

JSON_CONTENT_TYPE = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWatch:
    """A watch received at `received_at` (ms), open until a change after `revision`.

    It ends without one at `deadline` (ms).
    """

    connection: pages.Connection
    revision: int
    received_at: int
    deadline: int


class StoreRelay:
    """The items that this process has read, and the open watches of other processes.

    `is_direct` returns whether this process is reading the store itself and its view is current,
    `confirmed_at` the time in ms as of which its view is known to match the store, or None.
    """

    def __init__(
        self,
        event_loop: loop.Loop,
        address: view.Address,
        is_direct: abc.Callable[[], bool],
        confirmed_at: abc.Callable[[], int | None],
    ) -> None:
        self.event_loop = event_loop
        self.is_direct = is_direct
        self.confirmed_at = confirmed_at
        self.items: dict[str, entries.Item] = {}
        self.history: collections.deque[entries.Item] = collections.deque(maxlen=MAX_HISTORY_ITEMS)
        self.revision = 0
        self.oldest_revision = 0
        self.pending_watches: list[PendingWatch] = []
        self.server = pages.Server(event_loop, address, self.on_request)

    def restart(self, revision: int) -> None:
        """Restart the history at the revision of a list; watches from before it get 410."""
        self.history.clear()
        self.oldest_revision = self.revision = revision

    def add_item(self, item: entries.Item) -> None:
        """Add a changed item to the copy and the history."""
        if item.tombstone:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        if len(self.history) == MAX_HISTORY_ITEMS:
            self.oldest_revision = self.history[0].revision
        self.history.append(item)

    def advance(self, revision: int) -> None:
        """Set the revision up to which the copy is complete, and answer all watches.

        Those without changes get an answer too, as it confirms the views of their processes.
        """
        self.revision = max(self.revision, revision)
        watches, self.pending_watches = self.pending_watches, []
        # Most watches start from the same revision, so each answer is encoded once.
        answers = {
            after: self.confirming_answer(after) for after in {watch.revision for watch in watches}
        }
        for watch in watches:
            self.answer_or_keep(watch, answers[watch.revision])

    def expire_watches(self, now: int) -> None:
        """Answer the watches past their deadline, and all of them once the store is lost."""
        if not self.pending_watches:
            return
        direct = self.is_direct()
        ended = [w for w in self.pending_watches if not direct or w.deadline <= now]
        self.pending_watches = [w for w in self.pending_watches if direct and w.deadline > now]
        for watch in ended:
            answer = self.final_answer(watch.revision) if direct else pages.Response(503)
            self.answer(watch.connection, watch.received_at, answer)

    def on_request(self, connection: pages.Connection, target: str) -> None:
        """Answer a list or watch request of another process."""
        path, _, query = target.partition("?")
        fields = parse_query(query)
        now = clock.now()
        if path == store.RELAY_WATCH_PATH:
            wait = parse_int(fields.get("wait_ms"))
            deadline = now + wait
            revision = parse_int(fields.get("after"))
            self.answer_or_keep(
                PendingWatch(connection, revision, now, deadline), self.watch_answer(revision)
            )
            self.event_loop.call_at(deadline, lambda: self.expire_watches(clock.now()))
        elif path == store.RELAY_RANGE_PATH:
            page = self.list_page(fields.get("prefix", ""), fields.get("after", ""))
            self.answer(connection, now, page)
        else:
            connection.answer(pages.Response(404))

    def answer_or_keep(self, watch: PendingWatch, answer: pages.Response | None) -> None:
        """Send the answer of a watch, or keep the watch open if there is none yet."""
        if answer is None:
            self.pending_watches.append(watch)
        else:
            self.answer(watch.connection, watch.received_at, answer)

    def answer(
        self, connection: pages.Connection, received_at: int, response: pages.Response
    ) -> None:
        """Answer a call received at a time in ms, with the time as of which the view is confirmed.

        That time is relative to the receipt, so a delayed answer does not look like a later one.
        """
        confirmed_at = self.confirmed_at()
        if response.status == store.OK and confirmed_at is not None:
            headers = ((store.CONFIRMED_HEADER, str(confirmed_at - received_at)),)
            response = dataclasses.replace(response, headers=headers)
        connection.answer(response)

    def watch_answer(self, revision: int) -> pages.Response | None:
        """Return the answer to a watch from this revision, None if nothing has changed since."""
        if not self.is_direct():
            return pages.Response(503)
        if revision < self.oldest_revision:
            return pages.Response(410)
        if any(item.revision > revision for item in self.history):
            return self.changes_since(revision)
        return None

    def confirming_answer(self, revision: int) -> pages.Response | None:
        """Return the answer to a watch from this revision now that the view has been confirmed.

        A watch from a later revision than this relay's stays open: the relay may reach it.
        """
        answer = self.watch_answer(revision)
        if answer is None and revision <= self.revision:
            return self.changes_since(revision)
        return answer

    def final_answer(self, revision: int) -> pages.Response:
        """Return the answer to a watch from this revision at its deadline.

        A reader that is still ahead may have read changes that the store has lost in a restoration.
        Like the store, the relay answers that it doesn't have the revision.
        """
        if revision > self.revision:
            return pages.Response(410)
        return self.changes_since(revision)

    def changes_since(self, revision: int) -> pages.Response:
        """Return the answer with the changes after a revision."""
        changed = [item for item in self.history if item.revision > revision]
        return json_response(entries.WatchEvents(changed, self.revision))

    def list_page(self, prefix: str, after: str) -> pages.Response:
        """Return a page of the items whose keys begin with `prefix` and sort behind `after`."""
        if not self.revision:
            return pages.Response(503)
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return json_response(entries.Page(items, self.revision, more, self.is_direct()))


def parse_query(query: str) -> dict[str, str]:
    """Return the fields of a query string; `urllib.parse` is imported late for a faster start."""
    import urllib.parse

    return dict(urllib.parse.parse_qsl(query))


def parse_int(text: str | None) -> int:
    """Return the integer in a query field, 0 if it is missing or malformed."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 20 else 0


def json_response(body: msgspec.Struct) -> pages.Response:
    """Return an answer with this body as JSON."""
    return pages.Response(200, msgspec.json.encode(body), JSON_CONTENT_TYPE)
