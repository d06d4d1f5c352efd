"""Keep routes, drained zones and upstreams up to date with the items read from the store."""

import collections
import dataclasses
import typing
from collections import abc

from ebonystile import errors
from ebonystile.carrier import journal, relay
from ebonystile.core import positions
from ebonystile.core.carrying import fleet, reading, routes
from ebonystile.platform import entries, store


class Contents:
    """The routes, drained zones and upstreams in force; each applied item goes to the relay too.

    `positions_by_key` holds the position of the latest item applied of each key, `listed_keys` the
    keys of the list being read, and `list_position` the position of its first page.
    """

    def __init__(
        self,
        internal_port: int,
        reader: reading.Reader,
        store_relay: relay.StoreRelay,
        log: journal.Journal,
    ):
        self.internal_port = internal_port
        self.reader = reader
        self.relay = store_relay
        self.log = log
        self.counts: collections.Counter[str] = collections.Counter()
        self.route_table = routes.RouteTable()
        self.fleet = fleet.Fleet()
        self.positions_by_key: dict[str, int] = {}
        self.listed_keys: set[str] = set()
        self.list_position = 0

    def add_page(self, call: reading.Call, page: store.Listed) -> None:
        """Record the keys of a page of a list."""
        if not call.after:
            self.listed_keys = set()
            self.list_position = page.revision
        self.listed_keys.update(item.key for item in page.items)

    def forget_missing(self, prefix: str, names: abc.Iterable[str]) -> list[str]:
        """Remove from the relay the names that the list just read lacks, and return them.

        A relay's list may be older than what this process has already read. Names changed after it
        are kept, so that no new upstream is dropped and no new drain ended.
        """
        gone = []
        for name in names:
            key = prefix + name
            if key in self.listed_keys or self.positions_by_key.get(key, 0) > self.list_position:
                continue
            self.relay.items.pop(key, None)
            gone.append(name)
        return gone

    def drop_missing(self, now: int) -> None:
        """Drop the upstreams that a complete list lacks."""
        for name in self.forget_missing(entries.ENTRIES_PREFIX, self.fleet.upstreams):
            self.remove_upstream(name, "unlisted", now)

    def end_unlisted_drains(self, now: int) -> None:
        """End the drains that a complete list lacks.

        A restored store may be older than a drain. It ends after a grace period then, or flows
        would go to the zone until the drain is written again.
        """
        restored_at = self.reader.restored_at
        keep_until = restored_at + fleet.RELIST_GRACE_MS if restored_at else 0
        for zone in self.forget_missing(entries.DRAINED_PREFIX, sorted(self.fleet.drained)):
            at_once = self.fleet.end_drain(zone, now, keep_until)
            self.log_change("zone_taken_back", self.list_position, zone=zone, at_once=at_once)

    def apply_item(self, item: entries.Item, now: int, *, is_stale: bool) -> None:
        """Apply one item, unless a later revision of its key has been applied.

        The revision of a stale read is not recorded: the store may have lost it in a restoration
        and given it out again.
        """
        known = self.positions_by_key.get(item.key, 0)
        if item.revision <= known:
            if item.revision < known:
                self.counts["older_items"] += 1
                known_revision = positions.revision_of(known)
                self.log_change(
                    "item_older", item.revision, key=item.key, known_revision=known_revision
                )
            return
        if not is_stale:
            self.positions_by_key[item.key] = item.revision
        self.relay.add_item(item)
        if item.key == entries.CONFIGURATION_KEY:
            self.apply_configuration(item)
        elif item.key.startswith(entries.DRAINED_PREFIX):
            self.apply_drain(item, now)
        elif item.key.startswith(entries.ENTRIES_PREFIX):
            is_new_epoch = positions.epoch_of(known) < positions.epoch_of(item.revision)
            self.apply_entry(item, now, is_new_epoch=is_new_epoch)

    def apply_configuration(self, item: entries.Item) -> None:
        """Put a newer configuration in force; keep the old one if it is malformed."""
        if item.tombstone:
            return
        try:
            newer = entries.routes_of(item)
        except errors.PlatformError as error:
            self.counts["malformed"] += 1
            self.log_change("configuration_refused", item.revision, reason=str(error))
            return
        if self.route_table.replace(newer):
            routes_count = len(newer.by_endpoint)
            self.log_change("configured", item.revision, version=newer.version, routes=routes_count)
            self.log_malformed_traits(item, newer)

    def log_malformed_traits(self, item: entries.Item, newer: routes.Routes) -> None:
        """Log that routes are in force without the request traits that they state."""
        if newer.malformed_traits:
            self.counts["malformed"] += 1
            self.log_change(
                "route_traits_ignored",
                item.revision,
                version=newer.version,
                routes=len(newer.malformed_traits),
                first=newer.malformed_traits[0],
            )

    def apply_drain(self, item: entries.Item, now: int) -> None:
        """Start or end the drain of the zone that the key names; the value is ignored."""
        try:
            zone = entries.drained_zone_of(item.key)
        except errors.PlatformError as error:
            self.counts["malformed"] += 1
            self.log_change("drain_malformed", item.revision, reason=str(error))
            return
        if item.tombstone:
            if self.fleet.end_drain(zone, now):
                self.log_change("zone_taken_back", item.revision, zone=zone, at_once=True)
        elif self.fleet.drain(zone):
            members = sum(u.zone == zone for u in self.fleet.by_address.values())
            self.log_change("zone_drained", item.revision, zone=zone, upstreams=members)

    def apply_entry(self, item: entries.Item, now: int, *, is_new_epoch: bool) -> None:
        """Add, update or remove an upstream by its entry; a malformed entry removes it.

        `is_new_epoch` is set for the first entry read since the store was restored.
        """
        name = item.key.removeprefix(entries.ENTRIES_PREFIX)
        if item.tombstone:
            self.remove_upstream(name, "entry_gone", now)
            return
        try:
            upstream = entries.upstream_of(item, self.internal_port, now)
        except errors.PlatformError as error:
            self.counts["malformed"] += 1
            self.log.event("entry_malformed", upstream=name, reason=str(error))
            self.fleet.remove(name, now)
            return
        before = self.fleet.upstreams.get(name)
        if is_new_epoch and before is not None and before.leaving:
            # A restored store may be older than the announcement, and an upstream stays leaving.
            upstream = dataclasses.replace(upstream, leaving=True)
        self.fleet.put(upstream)
        if before is None or (before.started_at, before.leaving) != (
            upstream.started_at,
            upstream.leaving,
        ):
            self.log_change(
                "upstream",
                item.revision,
                upstream=name,
                service=upstream.service,
                born=upstream.started_at,
                leaving=upstream.leaving,
            )

    def remove_upstream(self, name: str, reason: str, now: int) -> None:
        """Drop an upstream; only after a grace period if an outage may have lost its entry."""
        recovered_at = now if self.reader.failures else self.reader.recovered_at
        keep_until = recovered_at + fleet.RELIST_GRACE_MS if recovered_at else 0
        gone = self.fleet.remove(name, now, keep_until)
        self.log.event("upstream_gone", upstream=name, reason=reason, at_once=gone)

    def log_change(self, event: str, position: int, **fields: typing.Any) -> None:
        """Log an event about what was read at a position of the store."""
        self.log.event(event, **fields, revision=positions.revision_of(position))
