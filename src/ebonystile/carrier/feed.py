"""Read the store, or a relay of it, and keep routes, drained zones and upstreams up to date."""

import collections
import dataclasses
import random
import typing
from collections import abc

from ebonystile import clock, errors, loop
from ebonystile.carrier import calls, journal, relay
from ebonystile.core import positions, view
from ebonystile.core.carrying import fleet, reading, routes, sourcing
from ebonystile.platform import entries, node, store

CATCH_UP_DELAY_MS = 300
"""How long to wait for the watch to deliver a newer version that a peer has, in ms, before all
lists are read again."""


class StoreFeed:
    """Makes the calls of the reader and applies the answers to `route_table` and `fleet`."""

    def __init__(
        self,
        event_loop: loop.Loop,
        settings: node.Node,
        log: journal.Journal,
        on_change: abc.Callable[[], None],
    ):
        self.event_loop = event_loop
        self.internal_port = settings.internal_port
        self.store_address = entries.address_of(settings.store)
        seeds = tuple(
            (entries.host_of(seed), settings.internal_port)
            for seed in settings.seeds
            if entries.host_of(seed) != settings.host
        )
        self.sources = sourcing.Sources(settings.internal, settings.zone, seeds)
        self.source: sourcing.Source = sourcing.STORE
        self.log = log
        self.on_change = on_change
        self.reader = reading.Reader(random.Random(), clock.now())
        self.clients: dict[sourcing.Source, calls.Client] = {}
        self.relay = relay.StoreRelay(event_loop, settings.internal, self.is_direct)
        self.call: reading.Call | None = None
        self.route_table = routes.RouteTable()
        self.fleet = fleet.Fleet()
        self.fleet.regions = settings.regions
        self.revisions: dict[str, int] = {}
        self.listed_keys: set[str] = set()
        self.list_revision = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.wanted_version = 0

    def make_next_call(self) -> None:
        """Make the next call now, or set a timer for when it is due."""
        now = clock.now()
        if self.call is not None:
            return
        source = self.sources.choose(self.reader.complete, now)
        call = self.reader.next_call(now, relay=source is not sourcing.STORE)
        if call is None:
            self.event_loop.call_at(self.reader.next_at, self.make_next_call)
            return
        self.switch_to(source)
        self.call = call
        client = self.clients[source]
        path = store.build_path(call, now)
        client.get(
            path, call.deadline, self.on_answer, self.on_failure, first_byte_by=call.first_byte_by
        )

    def switch_to(self, source: sourcing.Source) -> None:
        """Switch to a source, and close the connection to the previous one."""
        if source != self.source and self.source in self.clients:
            self.clients.pop(self.source).cancel()
        if source != self.source:
            self.log.event(
                "reads_from", source=source_text(source), before=source_text(self.source)
            )
        self.source = source
        if source not in self.clients:
            address = self.store_address if source is sourcing.STORE else source
            self.clients[source] = calls.Client(self.event_loop, address)

    def is_current(self) -> bool:
        """Return whether the view is known to match the store."""
        return self.reader.is_current

    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.route_table.routes.version

    def is_direct(self) -> bool:
        """Return whether the store itself is being read and the view is current."""
        return self.source is sourcing.STORE and self.reader.is_current

    def schedule_read(self, version: int) -> None:
        """Schedule a read in case the watch does not deliver a peer's newer version in time."""
        if version <= max(self.wanted_version, self.route_table.routes.version):
            return
        self.wanted_version = version
        self.event_loop.call_at(
            clock.now() + CATCH_UP_DELAY_MS, lambda: self.read_if_behind(version)
        )

    def read_if_behind(self, version: int) -> None:
        """Read all lists again unless the configuration has arrived meanwhile."""
        if version <= self.route_table.routes.version:
            return
        self.log.event("behind", version=self.route_table.routes.version, shown=version)
        if self.call is not None and self.call.kind is not reading.Kind.WATCH:
            return
        self.cancel_call()
        self.reader.read_now(clock.now())
        self.make_next_call()

    def reread(self) -> None:
        """Mark the view as stale and read all lists again, as after a pause."""
        self.cancel_call()
        self.reader.mark_stale(clock.now())
        self.on_change()
        self.make_next_call()

    def add_announced(self, address: view.Address) -> None:
        """Add a sidecar as a source, and read from it at once if there is no view yet.

        A process that starts during an outage of the store can read only from its seeds and from
        announced relays.
        """
        self.sources.add_announced(address)
        if not self.reader.complete and self.call is None:
            self.reader.next_at = clock.now()
            self.make_next_call()

    def cancel_call(self) -> None:
        """Cancel the call in progress, if any."""
        if self.call is not None:
            self.clients[self.source].cancel()
            self.call = None

    def on_answer(self, answer: calls.Answer) -> None:
        """Apply an answer of the store or a relay, and make the next call."""
        call, self.call = self.call, None
        now = clock.now()
        try:
            epoch = store.epoch_in(answer.headers)
            result = store.parse_result(call, answer.status, answer.body, epoch)
            self.check_epoch(call, result)
        except errors.PlatformError as error:
            store_failed = self.source is sourcing.STORE or answer.status == store.UNAVAILABLE
            self.record_failure(call, str(error), store_failed)
            return
        self.counts["store_answered" if self.source is sourcing.STORE else "relay_answered"] += 1
        self.sources.on_answered(self.source)
        was_failing = self.reader.failing_since
        self.apply_result(call, result, now)
        if was_failing is not None:
            self.log.event("store_back", away_ms=now - was_failing)
        self.on_change()
        self.make_next_call()

    def check_epoch(self, call: reading.Call, result: store.Result) -> None:
        """Raise `PlatformError` if an answer comes from before the store's latest restoration.

        A relay that has not read the restored store yet would bring back what was lost.
        """
        if isinstance(result, store.HistoryLost):
            return
        epoch = positions.epoch_of(result.revision)
        if self.reader.is_earlier_epoch(epoch):
            self.counts["older_answers"] += 1
            self.log.event(
                "answer_older",
                source=source_text(self.source),
                epoch=epoch,
                known_epoch=self.reader.epoch,
            )
            reason = f"epoch {epoch} is over, the store is in epoch {self.reader.epoch}"
            raise errors.PlatformError(reason, step=f"read {call.kind.value}", peer="platform")

    def on_failure(self, reason: str) -> None:
        """Handle a call that failed without an answer."""
        call, self.call = self.call, None
        self.record_failure(call, reason, self.source is sourcing.STORE)

    def record_failure(self, call: reading.Call, reason: str, store_failed: bool) -> None:
        """Record a failed call and retry; log only the first of several failures in a row."""
        now = clock.now()
        self.counts["store_failed" if self.source is sourcing.STORE else "relay_failed"] += 1
        if self.reader.failing_since is None:
            source = source_text(self.source)
            self.log.event("store_lost", call=call.kind.value, source=source, reason=reason)
        self.sources.on_failed(self.source, now)
        others = self.sources.has_alternative(self.reader.complete, now)
        self.reader.on_failed(now, store=store_failed, at_once=others)
        self.relay.expire_watches(now)
        self.on_change()
        self.make_next_call()

    def apply_result(self, call: reading.Call, result: store.Result, now: int) -> None:
        """Apply the result of a call to the view and to the relay."""
        if isinstance(result, store.HistoryLost):
            self.log.event("history_gone", revision=positions.revision_of(call.revision))
            self.reader.on_history_lost(now)
            return
        if self.note_epoch(result.revision, now):
            return
        for item in result.items:
            self.apply_item(item, now, is_stale=call.allow_stale)
        if isinstance(result, store.Watched):
            from_relay = self.source is not sourcing.STORE
            self.reader.on_watched(result.revision, bool(result.items), now, relay=from_relay)
            self.sources.refresh(self.fleet)
            self.relay.advance(result.revision)
            return
        if not call.after:
            self.listed_keys = set()
            self.list_revision = result.revision
        self.listed_keys.update(item.key for item in result.items)
        self.reader.on_listed(result.revision, result.next_after, now, current=result.current)
        if result.next_after:
            return
        if call.kind is reading.Kind.CONFIGURATION:
            self.end_unlisted_drains(now)
            return
        self.drop_missing(now)
        self.sources.refresh(self.fleet)
        self.relay.restart(self.reader.revision)
        self.relay.advance(self.reader.revision)

    def note_epoch(self, position: int, now: int) -> bool:
        """Record the epoch of an answer; return whether it shows a restoration of the store."""
        before, known = self.reader.epoch, self.reader.revision
        is_restored = self.reader.note_epoch(positions.epoch_of(position), now)
        if is_restored:
            self.log.event(
                "store_restored",
                epoch=self.reader.epoch,
                before=before,
                revision=positions.revision_of(position),
                known_revision=positions.revision_of(known or 0),
                source=source_text(self.source),
            )
        return is_restored

    def forget_missing(self, prefix: str, names: abc.Iterable[str]) -> list[str]:
        """Remove from the relay the names that the list just read lacks, and return them.

        A relay's list may be older than what this process has already read. Names changed after it
        are kept, so that no new upstream is dropped and no new drain ended.
        """
        gone = []
        for name in names:
            key = prefix + name
            if key in self.listed_keys or self.revisions.get(key, 0) > self.list_revision:
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
            self.log_change("zone_taken_back", self.list_revision, zone=zone, at_once=at_once)

    def apply_item(self, item: entries.Item, now: int, *, is_stale: bool) -> None:
        """Apply one item, unless a later revision of its key has been applied.

        The revision of a stale read is not recorded: the store may have lost it in a restoration
        and given it out again.
        """
        known = self.revisions.get(item.key, 0)
        if item.revision <= known:
            if item.revision < known:
                self.counts["older_items"] += 1
                known_revision = positions.revision_of(known)
                self.log_change(
                    "item_older", item.revision, key=item.key, known_revision=known_revision
                )
            return
        if not is_stale:
            self.revisions[item.key] = item.revision
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


def source_text(source: sourcing.Source) -> str:
    """Return a source as text for logs."""
    return "store" if source is sourcing.STORE else f"{source[0]}:{source[1]}"
