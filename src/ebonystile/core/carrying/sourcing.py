"""Choose where a process reads: a few of each zone watch the store, and the rest watch those few.

Every change wakes every watch of the store, and each is a priced call: with 72 processes watching
for themselves, calls were the largest price of a day. So the sidecars of a zone that come first by
a hash of their addresses watch the store, and serve what they read to everybody else. No election
is held: whoever disagrees for a moment reads more than it must. A reader passes over a source that
fails, and in the end asks the store itself.
"""

import dataclasses
import math

import xxhash

from ebonystile.core import view
from ebonystile.core.carrying import fleet

WATCHERS = 2
"""Least number of sidecars of each availability zone that watch the store."""

SIDECARS_EACH = 50
"""Sidecars of a zone for each watcher, where they are more than 100.

A relay holds a connection for each reader and sends it every change, and its server drops the
oldest connection beyond 256. 50 leave room for the readers of relays that have failed.
"""

MAX_ANNOUNCED = 8
"""Sidecars kept that offered themselves, the latest; each zone has two that do."""

RELAY_BAD_MS = 2_000
"""How long a relay that failed is passed over, in ms."""

STORE_BAD_MS = 2_000
"""How long the store is passed over after a failed call while a relay has its word, in ms."""

STORE = None
"""The source that is the store itself; every other source is a relay's address."""

Source = view.Address | None


@dataclasses.dataclass(slots=True)
class Sources:
    """Where one process may read, best first; `bad_until` holds those that failed, in ms.

    `own` is this process's address, `seeds` whom to ask while nobody else is known. `index` is that
    of the fleet by which the relays were worked out. `announced` are sidecars that offered
    themselves, for a process that has no view; `leads` tells that this one offers itself, as the
    first few of its zone do.
    """

    own: view.Address
    zone: str
    seeds: tuple[view.Address, ...] = ()
    relays: tuple[view.Address, ...] = ()
    announced: tuple[view.Address, ...] = ()
    is_watcher: bool = False
    leads: bool = False
    index: fleet.Index | None = None
    bad_until: dict[Source, int] = dataclasses.field(default_factory=dict)

    def refresh(self, known: fleet.Fleet) -> None:
        """Work out anew who watches the store, if the list has changed.

        Every watch that ends asks for it, once a second at least, and to sort thousands of
        upstreams each time would cost more than all else that an idle process does.
        """
        if known.index is self.index:
            return
        self.index = known.index
        by_zone: dict[str, list[fleet.Upstream]] = {}
        for upstream in known.by_address.values():
            by_zone.setdefault(upstream.zone, []).append(upstream)
        watching = {
            zone: [u.address for u in sorted(members, key=place)[: watchers(len(members))]]
            for zone, members in by_zone.items()
        }
        near = watching.get(self.zone, [])
        far = [addresses[0] for zone, addresses in sorted(watching.items()) if zone != self.zone]
        self.is_watcher = self.own in near
        self.leads = self.own in near[:WATCHERS]
        near = sorted(near, key=self.preference)
        self.relays = tuple(address for address in (*near, *far) if address != self.own)

    def offer(self, address: view.Address) -> None:
        """Note a sidecar that offers what it has read."""
        if address not in self.announced:
            self.announced = (*self.announced, address)[-MAX_ANNOUNCED:]

    def preference(self, relay: view.Address) -> int:
        """Return the place of a relay for this process, so that readers spread over a zone's."""
        return xxhash.xxh3_64_intdigest(f"{self.own}{relay}".encode())

    def ordered(self, complete: bool) -> list[Source]:
        """Return all sources, the best first; `complete` tells whether a whole view is held.

        At the start nothing is known but the seeds, and the store's own word is worth two calls.
        """
        if not complete:
            return [STORE, *self.relays, *self.announced, *self.seeds]
        if self.is_watcher:
            return [STORE, *self.relays]
        return [*self.relays, STORE]

    def choose(self, complete: bool, now: int) -> Source:
        """Return the best source that has not just failed, else the one longest untried."""
        ordered = self.ordered(complete)
        good = [source for source in ordered if self.bad_until.get(source, 0) <= now]
        if good:
            return good[0]
        return min(ordered, key=lambda source: self.bad_until[source])

    def others(self, complete: bool, now: int) -> bool:
        """Tell whether a source is left that has not just failed."""
        return any(self.bad_until.get(s, 0) <= now for s in self.ordered(complete))

    def failed(self, source: Source, now: int) -> None:
        """Pass over a source for a while."""
        self.bad_until[source] = now + (STORE_BAD_MS if source is STORE else RELAY_BAD_MS)

    def worked(self, source: Source) -> None:
        """Note that a source answers."""
        self.bad_until.pop(source, None)


def watchers(sidecars: int) -> int:
    """Return how many of a zone's sidecars watch the store."""
    return max(WATCHERS, math.ceil(sidecars / SIDECARS_EACH))


def place(upstream: fleet.Upstream) -> tuple[int, int]:
    """Return the order in which the sidecars of a zone watch the store, those leaving last."""
    return (upstream.leaving, upstream.key)
