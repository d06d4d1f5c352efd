"""Build requests to the platform's store and parse its answers."""

import dataclasses
import typing

from ebonystile import errors
from ebonystile.core.carrying import reading
from ebonystile.platform import entries

RANGE_PATH, WATCH_PATH = "/-/kv-range", "/-/kv-watch"
"""Paths of the calls that list items by key prefix and that watch for changes."""

PREFIXES = {
    reading.Kind.CONFIGURATION: entries.OPERATORS_PREFIX,
    reading.Kind.ENTRIES: entries.ENTRIES_PREFIX,
}
"""Key prefix of each list. One list holds all that operators write, so that drained zones are known
together with the routes and before any upstream."""

ALLOW_STALE = "&stale_ok=1"
"""Query field that allows an answer some seconds old, at a tenth of the price of a call."""

OK, GONE, UNAVAILABLE = 200, 410, 503

EPOCH_HEADER = "store-era"
"""Header of each answer with the store's epoch, which rises by one each time that the store is
restored from an older copy."""

MAX_EPOCH_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """A page of a list; the next page begins after the key `next_after`, unless that is empty.

    `current` is False if it comes from a relay that is not reading the store itself.
    """

    items: tuple[entries.Item, ...]
    revision: int
    next_after: str
    current: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """The changes that a watch returned, complete up to `revision`."""

    items: tuple[entries.Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store's history no longer reaches back to the revision that a watch asked for."""


Result = Listed | Watched | HistoryLost


def build_path(call: reading.Call, now: int) -> str:
    """Return the path and query of a call made at `now` (ms)."""
    allow_stale = ALLOW_STALE if call.allow_stale else ""
    if call.kind is not reading.Kind.WATCH:
        after = f"&after={quote_key(call.after)}" if call.after else ""
        return f"{RANGE_PATH}?prefix={PREFIXES[call.kind]}{after}{allow_stale}"
    wait = max(0, call.wait_until - now)
    prefix = entries.ALL_PREFIX
    return f"{WATCH_PATH}?prefix={prefix}&after={call.revision}&wait_ms={wait}"


def quote_key(key: str) -> str:
    """Return a key quoted for a query.

    `urllib.parse` is imported late for a faster start: only lists of several pages need it.
    """
    import urllib.parse

    return urllib.parse.quote(key, safe="")


def epoch_in(headers: typing.Mapping[str, str]) -> int:
    """Return the epoch in an answer's headers, 0 if there is none; raise `PlatformError`."""
    text = headers.get(EPOCH_HEADER, "0")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        reason = f'"{text}" is not an epoch'
        raise errors.PlatformError(reason, step="read the store", peer="platform")
    return int(text)


def parse_result(call: reading.Call, status: int, body: bytes) -> Result:
    """Return the parsed answer of a call; raise `PlatformError` if it failed or is malformed."""
    if call.kind is reading.Kind.WATCH and status == GONE:
        return HistoryLost()
    if status != OK:
        reason = f"status {status}"
        raise errors.PlatformError(reason, step=f"read {call.kind.value}", peer="platform")
    if call.kind is not reading.Kind.WATCH:
        page = entries.decode(entries.PAGE_DECODER, body)
        more = page.items[-1].key if page.has_more and page.items else ""
        return Listed(tuple(page.items), page.store_revision, more, page.current)
    news = entries.decode(entries.WATCH_DECODER, body)
    return Watched(tuple(news.events), news.store_revision)
