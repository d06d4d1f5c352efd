"""Choose the source a process reads the store's contents from: the store itself or a relay.

Each change completes every watch of the store, and each is charged as a call. So only a few
sidecars of each zone, the first by a hash of their addresses, watch the store and act as relays for
all other processes. There is no election: processes with different lists of upstreams may choose
different watchers for a while, which only costs some calls. A source that fails is skipped for a
time, and a process whose relays all fail reads from the store.
"""

import dataclasses
import math

import xxhash

from ebonystile.core import view
from ebonystile.core.carrying import fleet

MIN_WATCHERS = 2
"""Minimum number of sidecars in each availability zone that watch the store."""

SIDECARS_PER_WATCHER = 50
"""Sidecars of a zone per watcher, in zones with more than 100.

A relay keeps one connection for each reader, and its server closes the oldest beyond 256. The
margin is for the readers of relays that have failed.
"""

MAX_ANNOUNCED_RELAYS = 8
"""Bound on the announced relays that are kept, the latest ones; each zone has two."""

RELAY_EXCLUSION_MS = 2_000
"""How long a relay is skipped after a failed call, in ms."""

STORE_EXCLUSION_MS = 2_000
"""How long the store is skipped after a failed call while a relay can be read, in ms."""

STORE = None
"""The source that stands for the store itself; any other source is the address of a relay."""

Source = view.Address | None


@dataclasses.dataclass(slots=True)
class Sources:
    """The sources that one process may read from.

    `own_address` is this process's address. `relays` are the other watchers of this zone and one of
    each other zone, best first, computed from the fleet's `index`. `announced` are relays that
    announced themselves, and `seeds` the addresses from the settings; both are used until the
    process has a view. `is_watcher` is set if this process watches the store, `announces_relay` if
    it also announces itself as a relay, as the first few of each zone do. `excluded_until` is until
    when a failed source is skipped, in ms.
    """

    own_address: view.Address
    zone: str
    seeds: tuple[view.Address, ...] = ()
    relays: tuple[view.Address, ...] = ()
    announced: tuple[view.Address, ...] = ()
    is_watcher: bool = False
    announces_relay: bool = False
    index: fleet.Index | None = None
    excluded_until: dict[Source, int] = dataclasses.field(default_factory=dict)

    def refresh(self, current_fleet: fleet.Fleet) -> None:
        """Recompute the watchers if the list of upstreams has changed.

        This is called after every watch, so an unchanged list of thousands of upstreams must not be
        sorted again.
        """
        if current_fleet.index is self.index:
            return
        self.index = current_fleet.index
        by_zone: dict[str, list[fleet.Upstream]] = {}
        for upstream in current_fleet.by_address.values():
            by_zone.setdefault(upstream.zone, []).append(upstream)
        watching = {
            zone: [
                u.address for u in sorted(members, key=watcher_rank)[: watcher_count(len(members))]
            ]
            for zone, members in by_zone.items()
        }
        near = watching.get(self.zone, [])
        far = [addresses[0] for zone, addresses in sorted(watching.items()) if zone != self.zone]
        self.is_watcher = self.own_address in near
        self.announces_relay = self.own_address in near[:MIN_WATCHERS]
        near = sorted(near, key=self.relay_rank)
        self.relays = tuple(address for address in (*near, *far) if address != self.own_address)

    def add_announced(self, address: view.Address) -> None:
        """Add a relay that has announced itself."""
        if address not in self.announced:
            self.announced = (*self.announced, address)[-MAX_ANNOUNCED_RELAYS:]

    def relay_rank(self, relay: view.Address) -> int:
        """Return the rank of a relay for this process; readers spread evenly over the relays."""
        return xxhash.xxh3_64_intdigest(f"{self.own_address}{relay}".encode())

    def ranked_sources(self, complete: bool, expired: bool = False) -> list[Source]:
        """Return all sources, best first.

        `complete` is whether the process has a full view, `expired` whether that has not been
        confirmed for too long. At startup the store comes first: its data is current, and the list
        of relays is empty. It also does for an expired view: the other relays of the zone may be as
        stale as the last one, and there is little time left.
        """
        if not complete:
            return [STORE, *self.relays, *self.announced, *self.seeds]
        if self.is_watcher or expired:
            return [STORE, *self.relays]
        return [*self.relays, STORE]

    def choose(self, complete: bool, now: int, expired: bool = False) -> Source:
        """Return the best source that is not skipped, else the one to be used again soonest."""
        ranked = self.ranked_sources(complete, expired)
        available = [source for source in ranked if self.excluded_until.get(source, 0) <= now]
        if available:
            return available[0]
        return min(ranked, key=lambda source: self.excluded_until[source])

    def has_alternative(self, complete: bool, now: int) -> bool:
        """Return whether there is a source that has not failed recently."""
        return any(self.excluded_until.get(s, 0) <= now for s in self.ranked_sources(complete))

    def on_failed(self, source: Source, now: int) -> None:
        """Skip a source for a while after a failed call."""
        self.excluded_until[source] = now + (
            STORE_EXCLUSION_MS if source is STORE else RELAY_EXCLUSION_MS
        )

    def on_answered(self, source: Source) -> None:
        """Record that a source has answered."""
        self.excluded_until.pop(source, None)


def watcher_count(sidecars: int) -> int:
    """Return how many of the sidecars of a zone watch the store."""
    return max(MIN_WATCHERS, math.ceil(sidecars / SIDECARS_PER_WATCHER))


def watcher_rank(upstream: fleet.Upstream) -> tuple[int, int]:
    """Return the sort key by which a zone's watchers are selected; leaving sidecars come last."""
    return (upstream.leaving, upstream.key)
