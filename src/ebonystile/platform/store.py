"""Make the calls of the platform's store and translate its answers."""

import dataclasses

from ebonystile import errors
from ebonystile.core.carrying import reading
from ebonystile.platform import entries

RANGE_PATH, WATCH_PATH = "/-/kv-range", "/-/kv-watch"
"""The calls that read items by the beginning of their keys, and what has changed."""

PREFIXES = {
    reading.Kind.CONFIGURATION: entries.OPERATORS_PREFIX,
    reading.Kind.ENTRIES: entries.ENTRIES_PREFIX,
}
"""How the keys of each list begin. What operators wrote comes in one call: a process that has the
routes knows which zones are drained before it knows any upstream."""

OLD_WILL_DO = "&stale_ok=1"
"""What a query says where a state of some seconds ago will do; the call is priced a tenth."""

OK, GONE, UNAVAILABLE = 200, 410, 503


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """A page of a list, which goes on after the key `next_after` unless that is empty.

    `current` is False for the word of a peer that does not read the store itself just now.
    """

    items: tuple[entries.Item, ...]
    revision: int
    next_after: str
    current: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """What a watch brought."""

    items: tuple[entries.Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """The store has no history back to the revision that a watch named."""


Result = Listed | Watched | Forgotten


def path_of(call: reading.Call, now: int) -> str:
    """Return path and query of a call made `now` (ms)."""
    old = OLD_WILL_DO if call.allow_stale else ""
    if call.kind is not reading.Kind.WATCH:
        after = f"&after={quoted(call.after)}" if call.after else ""
        return f"{RANGE_PATH}?prefix={PREFIXES[call.kind]}{after}{old}"
    wait = max(0, call.wait_until - now)
    prefix = entries.EVERYTHING
    return f"{WATCH_PATH}?prefix={prefix}&after={call.revision}&wait_ms={wait}"


def quoted(key: str) -> str:
    """Return a key as it stands in a query.

    Only lists of several pages need it, so the library is loaded then and holds up no start.
    """
    import urllib.parse

    return urllib.parse.quote(key, safe="")


def result_of(call: reading.Call, status: int, body: bytes) -> Result:
    """Return what an answer says; raise `PlatformError` if it is no usable one."""
    if call.kind is reading.Kind.WATCH and status == GONE:
        return Forgotten()
    if status != OK:
        reason = f"status {status}"
        raise errors.PlatformError(reason, step=f"read {call.kind.value}", peer="platform")
    if call.kind is not reading.Kind.WATCH:
        page = entries.decode(entries.PAGES, body)
        more = page.items[-1].key if page.has_more and page.items else ""
        return Listed(tuple(page.items), page.store_revision, more, page.current)
    news = entries.decode(entries.NEWS, body)
    return Watched(tuple(news.events), news.store_revision)
