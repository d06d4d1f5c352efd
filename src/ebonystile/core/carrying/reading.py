"""Schedule a process's reads and watches of the platform's store, and track if its view is current.

Revisions are positions (`core.positions`). An answer of a later epoch shows that the store was
restored from an older copy: all that was read of it may be changed or missing there, so everything
is read again.

The store is read once in full and then watched from the revision of the first page, so changes
made while the pages were read are seen. At startup a stale read is enough, which costs a tenth of a
consistent one: the watch that follows at once brings newer changes. Every call has a short timeout,
as the process routes by an old view while it waits on a dead connection.

Each answer confirms the view as of a time: that at which the call was made, or, if a watch of the
store has ended without changes, that until which the store waited. A relay states the time of its
own confirmation, relative to the receipt of the call. So the time is never later than the moment at
which the store had no further change, however long an answer was under way, and it does not grow
younger on its way through a relay. A view whose time is too old has expired: it no longer counts as
current, and its process reads from another source, first of all from the store itself. So a change
is in force in time wherever the store can be reached, whatever became of the relays.
"""

import dataclasses
import enum

from ebonystile.core import rng

READ_TIMEOUT_MS = 1_500
"""Timeout of a plain call, in ms; the store usually answers in 4 ms, at worst in 300 ms."""

FIRST_BYTE_TIMEOUT_MS = 600
"""Timeout for the first byte of a plain call's answer, in ms, so that an unresponsive store does
not delay startup. The whole call may take longer, as a large configuration is slow on narrow links.
"""

DEFAULT_CHANGE_MS = 3_000
"""Time in ms within which a change must be in force, if the settings state none."""

MAX_CHANGE_MS = 10_000
"""Upper limit of that time, in ms, so that a hung watch is noticed."""

CHECK_TIMEOUT_MS = 600
"""Timeout of a watch that does not wait, in ms."""

RELAY_READ_TIMEOUT_MS = 600
"""Timeout of a plain call to a relay, in ms."""

RELAY_WATCH_WAIT_MS = 1_000
RELAY_WATCH_MARGIN_MS = 400
"""How long a watch of a relay waits, and how much longer it may take, in ms. Relays are free to
call, and one that hangs or is cut off should be replaced long before the view expires."""

CHANGE_PAUSE_MS = 150
"""Pause after a watch that returned changes, in ms. Changes come in groups, and each watch that
returns one is charged as a call."""

MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1_000
"""Range of the mean pause after a failed call, in ms. It doubles with each further failure; the
pause itself is between half and one and a half times the mean."""


class Kind(enum.Enum):
    """What a call requests; the configuration includes the zones that operators have drained."""

    CONFIGURATION = "configuration"
    ENTRIES = "entries"
    WATCH = "watch"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call to the store or to a relay, made at `made_at`; times in ms.

    A list continues after the key `after`; a watch waits for changes after `revision` until
    `wait_until`. The call has failed if it is not complete at `deadline`, or if no byte of the
    answer has arrived at `first_byte_by`. `allow_stale` permits a stale read, of some seconds ago.
    `of_relay` is set if a relay is called.
    """

    kind: Kind
    deadline: int
    made_at: int
    after: str = ""
    revision: int = 0
    wait_until: int = 0
    first_byte_by: int | None = None
    allow_stale: bool = False
    of_relay: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits that follow from the time within which a change must be in force; all in ms.

    A watch of the store waits for `watch_wait_ms`. A view expires `max_age_ms` after the time as of
    which it was confirmed: that is late enough for the answer of a slow store to the watch, and
    leaves time to read from another source.
    """

    watch_wait_ms: int
    max_age_ms: int

    @property
    def watch_margin_ms(self) -> int:
        """Return how much longer than its wait a watch of the store may take."""
        return self.max_age_ms - self.watch_wait_ms


def make_limits(change_ms: int) -> Limits:
    """Return the limits for the time in ms within which a change must be in force."""
    change_ms = min(change_ms, MAX_CHANGE_MS)
    return Limits(watch_wait_ms=change_ms // 2, max_age_ms=change_ms * 2 // 3)


class Reader:
    """The state of reading the store; the process makes the calls of `next_call` one at a time.

    `todo` are the pages still to be read, `complete` is set once all lists have been read,
    `source_answers` once the source has answered since it was chosen or a call failed, and
    `provisional` until a watch has confirmed that they are current. `confirmed_at` is the time in
    ms as of which the view is known to match the store, and `list_confirmed_at` that of the list
    being read; None if not known. `recovered_at` is when a
    call last succeeded after calls to the store had failed, in ms. `epoch` is the latest epoch of
    the store that an answer has shown, `restored_at` when it was first seen, in ms, 0 for the first
    epoch.
    """

    def __init__(self, randomness: rng.Rng, now: int, change_ms: int = DEFAULT_CHANGE_MS):
        self.randomness = randomness
        self.limits = make_limits(change_ms)
        self.todo: list[tuple[Kind, str]] = []
        self.revision: int | None = None
        self.next_at = now
        self.failures = 0
        self.source_answers = False
        self.store_failed = False
        self.provisional = False
        self.confirmed_at: int | None = None
        self.list_confirmed_at: int | None = None
        self.failing_since: int | None = None
        self.recovered_at = 0
        self.epoch: int | None = None
        self.restored_at = 0
        self.complete = False
        self.restart()
        self.allow_stale = True

    def restart(self) -> None:
        """Schedule a full, consistent read."""
        self.allow_stale = False
        self.todo = [(Kind.CONFIGURATION, ""), (Kind.ENTRIES, "")]
        self.revision = None

    def is_current(self, now: int) -> bool:
        """Return whether the view is complete and current, and the last call succeeded."""
        if not self.complete or self.failures or self.provisional:
            return False
        return self.fresh_until is not None and now < self.fresh_until

    @property
    def fresh_until(self) -> int | None:
        """Return the time in ms at which the view expires, None if it was never confirmed."""
        return None if self.confirmed_at is None else self.confirmed_at + self.limits.max_age_ms

    def is_expired(self, now: int) -> bool:
        """Return whether the view was confirmed once, but too long ago to count as current."""
        return self.fresh_until is not None and now >= self.fresh_until

    def next_call(self, now: int, *, relay: bool = False) -> Call | None:
        """Return the call to be made now to the store or a relay, or None before `next_at`."""
        if now < self.next_at:
            return None
        if self.todo:
            kind, after = self.todo[0]
            limit = RELAY_READ_TIMEOUT_MS if relay else READ_TIMEOUT_MS
            first_byte_by = now + FIRST_BYTE_TIMEOUT_MS
            return Call(
                kind,
                now + limit,
                now,
                after,
                first_byte_by=first_byte_by,
                allow_stale=self.allow_stale,
                of_relay=relay,
            )
        until, deadline = self.watch_times(now, relay=relay)
        return Call(Kind.WATCH, deadline, now, "", self.revision or 0, until, of_relay=relay)

    def watch_times(self, now: int, *, relay: bool) -> tuple[int, int]:
        """Return until when a watch made now waits for changes, and its deadline, in ms.

        A relay answers each time that its own view is confirmed, so a watch of it may wait for as
        long as this view is fresh; the store answers only when the wait is over. A watch does not
        wait if the view has yet to be confirmed, or would expire before an answer could come, or if
        it is the first one of a source, which may not answer at all.
        """
        margin = 0 if relay else self.limits.watch_margin_ms
        latest = (self.fresh_until or now) - margin
        if self.provisional or not self.source_answers or latest <= now:
            return now, now + (RELAY_WATCH_MARGIN_MS if relay else CHECK_TIMEOUT_MS)
        if relay:
            until = min(latest, now + RELAY_WATCH_WAIT_MS)
            return until, min(latest, until + RELAY_WATCH_MARGIN_MS)
        until = min(latest, now + self.limits.watch_wait_ms)
        return until, until + margin

    def on_listed(
        self,
        revision: int,
        next_after: str,
        now: int,
        *,
        current: bool = True,
        confirmed_at: int | None,
    ) -> None:
        """Record that a page of a list was read; `next_after` is its last key, empty at the end.

        `current` is False if the page came from a process that does not read the store itself.
        The watch that follows begins at the first page, so that page's time confirms the list.
        """
        self.on_answered(now)
        self.provisional = not current or self.allow_stale
        if self.revision is None:
            self.list_confirmed_at = confirmed_at if current and not self.allow_stale else None
        if self.revision is None or revision < self.revision:
            self.revision = revision
        kind, _ = self.todo.pop(0)
        if next_after:
            self.todo.insert(0, (kind, next_after))
        if not self.todo:
            self.complete = True
            self.confirm(self.list_confirmed_at)
        self.next_at = now

    def on_watched(
        self,
        revision: int,
        has_changes: bool,
        now: int,
        *,
        relay: bool = False,
        confirmed_at: int | None,
    ) -> None:
        """Record that a watch was answered; `has_changes` is set if it returned changes."""
        self.on_answered(now)
        self.provisional = False
        self.confirm(confirmed_at)
        self.revision = max(self.revision or 0, revision)
        self.next_at = now + (CHANGE_PAUSE_MS if has_changes and not relay else 0)

    def confirm(self, at: int | None) -> None:
        """Record that the view matched the store at a time in ms, unless a later one is known."""
        if at is not None and (self.confirmed_at is None or at > self.confirmed_at):
            self.confirmed_at = at

    def age_ms(self, now: int) -> int | None:
        """Return how long ago the view was last known to match the store, None if never."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def on_answered(self, now: int) -> None:
        """Record a successful call."""
        if self.store_failed:
            self.recovered_at = now
        self.store_failed = False
        self.failures = 0
        self.failing_since = None
        self.source_answers = True

    def on_source_changed(self) -> None:
        """Record that another source is read from now on."""
        self.source_answers = False

    def on_history_lost(self, now: int) -> None:
        """Record that the store has compacted the revision read so far, and start over."""
        self.on_answered(now)
        self.restart()
        self.next_at = now

    def is_earlier_epoch(self, epoch: int) -> bool:
        """Return whether the store has been restored since an epoch."""
        return self.epoch is not None and epoch < self.epoch

    def note_epoch(self, epoch: int, now: int) -> bool:
        """Record the epoch of an answer; return whether it shows a restoration of the store.

        If it does, everything is read again, and the view is not current until that is done.
        Entries that the copy lacks count as lost in an outage.
        """
        before, self.epoch = self.epoch, epoch
        if before is None or epoch == before:
            return False
        self.on_answered(now)
        self.recovered_at = self.restored_at = now
        self.restart()
        self.provisional = True
        self.next_at = now
        return True

    def on_failed(self, now: int, *, store: bool = True, at_once: bool = False) -> None:
        """Record a failed call; `at_once` skips the pause, as another source can be asked now.

        `store` is set if the store failed, directly or behind a relay.
        """
        self.store_failed = self.store_failed or store
        self.source_answers = False
        if self.failing_since is None:
            self.failing_since = now
        pause = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(self.failures, 10))
        self.failures += 1
        self.next_at = now
        if not at_once:
            self.next_at += pause // 2 + int(self.randomness.uniform(0, pause))

    def mark_stale(self, now: int) -> None:
        """Read everything again; the view does not count as current until that is done.

        Its time is dropped, as the clock stands still while the instance is suspended.
        """
        self.complete = False
        self.confirmed_at = None
        self.read_now(now)

    def read_now(self, now: int) -> None:
        """Read everything again at once, as a peer has a newer configuration."""
        self.restart()
        self.next_at = now
