"""Build requests to the platform's store and parse its answers.

Parsed answers hold positions in place of the store's revisions. A relay answers the same calls on
paths of its own, in positions and without an epoch, which stands for epoch 0.
"""

import dataclasses
import typing

from ebonystile import errors
from ebonystile.core import positions
from ebonystile.core.carrying import reading
from ebonystile.platform import entries

RANGE_PATH, WATCH_PATH = "/-/kv-range", "/-/kv-watch"
"""Paths of the calls that list items by key prefix and that watch for changes."""

RELAY_RANGE_PATH, RELAY_WATCH_PATH = "/relay/2/range", "/relay/2/watch"
"""Paths of the same calls of relays, with the version of their answers. A process of a version that
takes positions for revisions, or an answer without a time for a confirmation, uses other paths,
gets 404 and reads the store itself."""

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

MAX_EPOCH_DIGITS = 7

CONFIRMED_HEADER = "confirmed-after-ms"
"""Header of a relay's answers: when its view was last known to match the store, in ms after it
received the call, so negative if that was before. It is left out if that is not known."""

MAX_CONFIRMED_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """A page of a list; the next page begins after the key `next_after`, unless that is empty.

    `revision` is the position at which it was read. `current` is False if it comes from a relay
    that is not reading the store itself. It matched the store at `confirmed_at` (ms), None if not
    known.
    """

    items: tuple[entries.Item, ...]
    revision: int
    next_after: str
    current: bool
    confirmed_at: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """The changes that a watch returned, complete up to the position `revision`.

    There were no further ones at `confirmed_at` (ms), None if not known.
    """

    items: tuple[entries.Item, ...]
    revision: int
    confirmed_at: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store's history no longer reaches back to the revision that a watch asked for."""


Result = Listed | Watched | HistoryLost


def build_path(call: reading.Call, now: int) -> str:
    """Return the path and query of a call made at `now` (ms)."""
    allow_stale = ALLOW_STALE if call.allow_stale else ""
    if call.kind is not reading.Kind.WATCH:
        path = RELAY_RANGE_PATH if call.of_relay else RANGE_PATH
        after = f"&after={quote_key(call.after)}" if call.after else ""
        return f"{path}?prefix={PREFIXES[call.kind]}{after}{allow_stale}"
    wait = max(0, call.wait_until - now)
    prefix = entries.ALL_PREFIX
    if call.of_relay:
        return f"{RELAY_WATCH_PATH}?prefix={prefix}&after={call.revision}&wait_ms={wait}"
    after = positions.revision_of(call.revision)
    return f"{WATCH_PATH}?prefix={prefix}&after={after}&wait_ms={wait}"


def quote_key(key: str) -> str:
    """Return a key quoted for a query.

    `urllib.parse` is imported late for a faster start: only lists of several pages need it.
    """
    import urllib.parse

    return urllib.parse.quote(key, safe="")


def epoch_in(headers: typing.Mapping[str, str]) -> int:
    """Return the epoch in an answer's headers, 0 if there is none; raise `PlatformError`."""
    text = headers.get(EPOCH_HEADER, "0")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_EPOCH_DIGITS
    if not is_number or int(text) > positions.MAX_EPOCH:
        reason = f'"{text}" is not a number from 0 to {positions.MAX_EPOCH}'
        raise errors.PlatformError(reason, step="read the store", peer="platform")
    return int(text)


def confirmed_at_in(call: reading.Call, headers: typing.Mapping[str, str], now: int) -> int | None:
    """Return the time in ms as of which an answer read at `now` shows what the store holds.

    None if a relay does not state it; raise `PlatformError` if it is malformed.
    """
    if not call.of_relay:
        has_waited = call.kind is reading.Kind.WATCH and now >= call.wait_until
        return call.wait_until if has_waited else call.made_at
    text = headers.get(CONFIRMED_HEADER)
    if text is None:
        return None
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit()) or len(digits) > MAX_CONFIRMED_DIGITS:
        reason = f'"{text}" is not a number of milliseconds'
        raise errors.PlatformError(reason, step=f"read {call.kind.value}", peer="relay")
    return min(now, call.made_at + int(text))


def parse_result(
    call: reading.Call,
    status: int,
    body: bytes,
    epoch: int = 0,
    confirmed_at: int | None = None,
) -> Result:
    """Return the parsed answer of a call; raise `PlatformError` if it failed or is malformed.

    `epoch` is the one in the answer's headers, `confirmed_at` what `confirmed_at_in` returned.
    """
    if call.kind is reading.Kind.WATCH and status == GONE:
        return HistoryLost()
    if status != OK:
        reason = f"status {status}"
        raise errors.PlatformError(reason, step=f"read {call.kind.value}", peer="platform")
    if call.kind is not reading.Kind.WATCH:
        page = entries.decode(entries.PAGE_DECODER, body)
        more = page.items[-1].key if page.has_more and page.items else ""
        position = positions.make_position(epoch, page.store_revision)
        return Listed(place_items(page.items, epoch), position, more, page.current, confirmed_at)
    news = entries.decode(entries.WATCH_DECODER, body)
    position = positions.make_position(epoch, news.store_revision)
    if news.events and not call.of_relay:
        # It ended with the first change, and not at the end of its wait.
        confirmed_at = call.made_at
    return Watched(place_items(news.events, epoch), position, confirmed_at)


def place_items(items: list[entries.Item], epoch: int) -> tuple[entries.Item, ...]:
    """Replace the revisions of items by their positions in an epoch, and return the items."""
    for item in items:
        item.revision = positions.make_position(epoch, item.revision)
        item.created = positions.make_position(epoch, item.created)
    return tuple(items)
