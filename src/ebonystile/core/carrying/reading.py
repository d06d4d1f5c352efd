"""Decide which call of the platform's store comes next, and how far the view can be trusted.

The store is read once in full and then watched from the revision of the first page, so that what
changed while the pages came is seen again. At a start an old state of it will do, which costs a
tenth of a call: the watch that follows at once brings what is newer. A call has a short limit of
its own: a connection may fall silent for good, and a process that waits on it would route by an
old view.
"""

import dataclasses
import enum

from ebonystile.core import rng

READ_MS = 1_500
"""Longest time for a plain call, in ms: the store answers in 4 ms, at its slowest in 300."""

BEGIN_MS = 600
"""How long the answer of a plain call may take to begin, in ms, so that a silent store holds up no
start. The limit of the whole call is longer: a large configuration takes its time on the
narrowest links."""

WATCH_MS = 5_000
"""How long a watch waits for news, in ms. A lost answer leaves the process without news until the
watch is over, so this and its margin must end before a change has to be in force."""

MARGIN_MS = 1_000
"""Time that a watch may take beyond its wait, in ms."""

RELAY_READ_MS = 600
"""Longest time for a plain call of a relay, in ms."""

RELAY_WATCH_MS = 1_000
RELAY_MARGIN_MS = 400
"""How long a watch of a relay waits, and may take beyond that, in ms. It costs no priced call, and
a relay that froze or was cut off must be replaced well before a change has to be in force."""

GATHER_MS = 150
"""Pause after a watch that brought news, in ms: every watch that a change wakes is a priced call,
and changes come in groups."""

BACKOFF_LEAST_MS = 100
BACKOFF_MOST_MS = 1_000
"""Pause after a failed call, in ms, doubled with each further failure."""


class Kind(enum.Enum):
    """What a call asks for; the configuration comes with the zones that operators drain."""

    CONFIGURATION = "configuration"
    ENTRIES = "entries"
    WATCH = "watch"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call; `after` continues a list, `revision` a watch until `wait_until` (ms).

    `deadline` is when the call counts as failed, `begin_by` when it does if no byte of an answer
    has come, both in ms. `may_be_old` lets the store answer with a state of some seconds ago.
    """

    kind: Kind
    deadline: int
    after: str = ""
    revision: int = 0
    wait_until: int = 0
    begin_by: int | None = None
    may_be_old: bool = False


class Reader:
    """The state of reading; the shell makes the calls that `next_call` returns, one at a time."""

    def __init__(self, randomness: rng.Rng, now: int):
        self.randomness = randomness
        self.todo: list[tuple[Kind, str]] = []
        self.revision: int | None = None
        self.next_at = now
        self.failures = 0
        self.store_failed = False
        self.provisional = False
        self.failing_since: int | None = None
        self.returned_at = 0
        self.complete = False
        self.start_over()
        self.may_be_old = True

    def start_over(self) -> None:
        """Read everything again: the history needed to go on is gone."""
        self.may_be_old = False
        self.todo = [(Kind.CONFIGURATION, ""), (Kind.ENTRIES, "")]
        self.revision = None

    @property
    def fresh(self) -> bool:
        """Tell whether the view is whole and the store's last call was answered."""
        return self.complete and not self.failures and not self.provisional

    def next_call(self, now: int, *, relay: bool = False) -> Call | None:
        """Return the call to be made now of the store or of a relay, or None before `next_at`."""
        if now < self.next_at:
            return None
        if self.todo:
            kind, after = self.todo[0]
            limit = RELAY_READ_MS if relay else READ_MS
            begin_by = now + BEGIN_MS
            return Call(kind, now + limit, after, begin_by=begin_by, may_be_old=self.may_be_old)
        until = now + (RELAY_WATCH_MS if relay else WATCH_MS)
        if self.provisional:
            # Until this watch is answered the view is not the store's present word.
            until = now
        margin = RELAY_MARGIN_MS if relay else MARGIN_MS
        return Call(Kind.WATCH, until + margin, "", self.revision or 0, until)

    def listed(self, revision: int, next_after: str, now: int, *, current: bool = True) -> None:
        """Note a page of a list that ended at the key `next_after`, empty for the last one.

        `current` is False for the word of a peer that does not read the store itself.
        """
        self.answered(now)
        self.provisional = not current or self.may_be_old
        if self.revision is None or revision < self.revision:
            self.revision = revision
        kind, _ = self.todo.pop(0)
        if next_after:
            self.todo.insert(0, (kind, next_after))
        if not self.todo:
            self.complete = True
        self.next_at = now

    def watched(self, revision: int, news: bool, now: int, *, relay: bool = False) -> None:
        """Note the end of a watch."""
        self.answered(now)
        self.provisional = False
        self.revision = max(self.revision or 0, revision)
        self.next_at = now + (GATHER_MS if news and not relay else 0)

    def answered(self, now: int) -> None:
        """Note that the store is there."""
        if self.store_failed:
            self.returned_at = now
        self.store_failed = False
        self.failures = 0
        self.failing_since = None

    def forgotten(self, now: int) -> None:
        """Note that the store has no history back to our revision."""
        self.answered(now)
        self.start_over()
        self.next_at = now

    def failed(self, now: int, *, store: bool = True, at_once: bool = False) -> None:
        """Note a call without a usable answer; `at_once` if another source can be asked now.

        `store` tells whether it was for want of the store, and not just of a relay.
        """
        self.store_failed = self.store_failed or store
        if self.failing_since is None:
            self.failing_since = now
        pause = min(BACKOFF_MOST_MS, BACKOFF_LEAST_MS << min(self.failures, 10))
        self.failures += 1
        self.next_at = now
        if not at_once:
            self.next_at += pause // 2 + int(self.randomness.uniform(0, pause))

    def distrust(self, now: int) -> None:
        """Read everything anew, and trust the view no more until that is done."""
        self.complete = False
        self.hurry(now)

    def hurry(self, now: int) -> None:
        """Read everything anew, at once: a peer has shown something newer."""
        self.start_over()
        self.next_at = now
