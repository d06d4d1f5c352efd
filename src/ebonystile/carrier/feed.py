"""Read the store, or a relay of it, with one call at a time."""

import random
from collections import abc

from ebonystile import clock, errors, loop
from ebonystile.carrier import calls, contents, journal, relay
from ebonystile.core import positions, view
from ebonystile.core.carrying import reading, sourcing
from ebonystile.platform import entries, node, store

CATCH_UP_DELAY_MS = 300
"""How long to wait for the watch to deliver a newer version that a peer has, in ms, before all
lists are read again, which costs two calls. The version is usually on its way."""


class StoreFeed:
    """Makes the calls of the reader and applies the answers to the contents and the relay.

    Three versions of the configuration that peers have shown, 0 for none: `awaited_version` is the
    one that the source is given some time to bring, `reread_version` the one for which all lists
    are read again, and `refuted_version` the newest that the store itself did not have.
    """

    def __init__(
        self,
        event_loop: loop.Loop,
        settings: node.Node,
        log: journal.Journal,
        on_change: abc.Callable[[], None],
    ):
        self.event_loop = event_loop
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
        self.reader = reading.Reader(random.Random(), clock.now(), settings.change_ms)
        self.clients: dict[sourcing.Source, calls.Client] = {}
        self.relay = relay.StoreRelay(
            event_loop, settings.internal, self.is_direct, lambda: self.reader.confirmed_at
        )
        self.call: reading.Call | None = None
        self.contents = contents.Contents(settings.internal_port, self.reader, self.relay, log)
        self.counts = self.contents.counts
        self.route_table = self.contents.route_table
        self.fleet = self.contents.fleet
        self.fleet.regions = settings.regions
        self.awaited_version = 0
        self.reread_version = 0
        self.refuted_version = 0
        self.expiry_timer_at = 0

    def make_next_call(self) -> None:
        """Make the next call now, or set a timer for when it is due."""
        now = clock.now()
        if self.call is not None:
            return
        source = self.sources.choose(self.reader.complete, now, self.reader.is_expired(now))
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
                "reads_from",
                source=source_text(source),
                before=source_text(self.source),
                confirmed_ms_ago=self.age_ms(),
            )
            self.reader.on_source_changed()
        self.source = source
        if source not in self.clients:
            address = self.store_address if source is sourcing.STORE else source
            self.clients[source] = calls.Client(self.event_loop, address)

    def is_current(self) -> bool:
        """Return whether the view is known to match the store."""
        return self.reader.is_current(clock.now())

    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.route_table.routes.version

    def age_ms(self) -> int | None:
        """Return how long ago the view was last known to match the store, None if never."""
        return self.reader.age_ms(clock.now())

    def is_direct(self) -> bool:
        """Return whether the store itself is being read and answers, and the view is current."""
        is_answered = self.source is sourcing.STORE and self.reader.source_answers
        return is_answered and self.is_current()

    def known_version(self) -> int:
        """Return the newest version that is in force, or that the store did not have."""
        return max(self.route_table.routes.version, self.refuted_version)

    def schedule_read(self, version: int) -> None:
        """Schedule a read in case the watch does not deliver a peer's newer version in time."""
        if version <= max(self.awaited_version, self.known_version()):
            return
        self.awaited_version = version
        self.event_loop.call_at(
            clock.now() + CATCH_UP_DELAY_MS, lambda: self.read_if_behind(version)
        )

    def read_if_behind(self, version: int) -> None:
        """Read all lists again unless the configuration has arrived meanwhile.

        A relay that has not brought it is as far behind as this process, so another source is
        read. The check is repeated with the next message of a peer, until the store itself has
        been read.
        """
        if version >= self.awaited_version:
            self.awaited_version = 0
        if version <= self.known_version():
            return
        self.log.event(
            "behind",
            version=self.route_table.routes.version,
            shown=version,
            source=source_text(self.source),
            confirmed_ms_ago=self.age_ms(),
        )
        if self.call is not None and self.call.kind is not reading.Kind.WATCH:
            return
        self.cancel_call()
        now = clock.now()
        if self.source is not sourcing.STORE:
            self.sources.on_failed(self.source, now)
        self.reread_version = version
        self.reader.read_now(now)
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
            confirmed_at = store.confirmed_at_in(call, answer.headers, now)
            result = store.parse_result(call, answer.status, answer.body, epoch, confirmed_at)
            self.check_epoch(call, result)
        except errors.PlatformError as error:
            store_failed = self.source is sourcing.STORE or answer.status == store.UNAVAILABLE
            self.record_failure(call, str(error), store_failed)
            return
        self.counts["store_answered" if self.source is sourcing.STORE else "relay_answered"] += 1
        self.sources.on_answered(self.source)
        was_failing = self.reader.failing_since
        self.apply_result(call, result, now)
        if call.of_relay and call.kind is reading.Kind.WATCH and self.reader.is_expired(now):
            self.record_failure(call, "the relay's view has expired", store_failed=False)
            return
        self.set_expiry_timer()
        if was_failing is not None:
            self.log.event("store_back", away_ms=now - was_failing)
        self.on_change()
        self.make_next_call()

    def set_expiry_timer(self) -> None:
        """Set a timer for the expiry of the view, unless an earlier one will set it."""
        fresh_until = self.reader.fresh_until
        if fresh_until is None or self.expiry_timer_at > clock.now():
            return
        self.expiry_timer_at = fresh_until
        self.event_loop.call_at(fresh_until, self.check_expiry)

    def check_expiry(self) -> None:
        """Stop treating an expired view as current, also for the readers of the relay."""
        now = clock.now()
        if not self.reader.is_expired(now):
            self.set_expiry_timer()
            return
        self.log.event(
            "view_expired", source=source_text(self.source), confirmed_ms_ago=self.age_ms()
        )
        self.relay.expire_watches(now)
        self.on_change()

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
            self.log.event(
                "store_lost",
                call=call.kind.value,
                source=source,
                reason=reason,
                confirmed_ms_ago=self.age_ms(),
            )
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
            self.contents.apply_item(item, now, is_stale=call.allow_stale)
        if isinstance(result, store.Watched):
            self.reader.on_watched(
                result.revision,
                bool(result.items),
                now,
                relay=call.of_relay,
                confirmed_at=result.confirmed_at,
            )
            self.sources.refresh(self.fleet)
            self.relay.advance(result.revision)
            return
        self.contents.add_page(call, result)
        self.reader.on_listed(
            result.revision,
            result.next_after,
            now,
            current=result.current,
            confirmed_at=result.confirmed_at,
        )
        if result.next_after:
            return
        if call.kind is reading.Kind.CONFIGURATION:
            if not call.of_relay:
                self.refuted_version = max(self.refuted_version, self.reread_version)
            self.contents.end_unlisted_drains(now)
            return
        self.contents.drop_missing(now)
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


def source_text(source: sourcing.Source) -> str:
    """Return a source as text for logs."""
    return "store" if source is sourcing.STORE else f"{source[0]}:{source[1]}"
