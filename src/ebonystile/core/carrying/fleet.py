"""Keep the upstreams that may be used, from the entries that upstreams publish in the store.

The list can be wrong both ways: an upstream that crashed stays listed until its lease expires, and
a running one loses its entry if the store is unavailable for longer than the lease.
"""

import dataclasses
import typing

from ebonystile.core import view

RELIST_GRACE_MS = 2_300
"""How long entries and drains lost in an outage of the store are kept after its return, in ms.

They are written again within about 2 s of the return. Dropping the entries earlier would cut
callers off from upstreams that work.
"""

UNLISTED_TTL_MS, MAX_UNLISTED = 60_000, 256
"""How long, and how many, upstreams are remembered after the loss of their entries.

An upstream cut off from the store still serves its flows, so it is asked before an open flow is
reset. A minute is several times the idle timeout of flows.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream, from its start to its end.

    `address` is that of its sidecar. `started_at`, the time of its start in ms since the epoch,
    distinguishes incarnations of the same `name`. `slow_start_until` is the end of its slow start
    in ms of this process's clock. `created_position` is the store's position that created the
    entry; it orders incarnations whose entries give no time of start.
    """

    name: str
    started_at: int
    service: str
    address: view.Address
    zone: str
    slots: int
    leaving: bool
    slow_start_until: int
    key: int
    created_position: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the identity of this incarnation of the upstream."""
        return (self.name, self.started_at)


def make_upstream(
    name: str,
    started_at: int,
    service: str,
    address: view.Address,
    zone: str,
    slots: int,
    *,
    leaving: bool = False,
    slow_start_until: int = 0,
    created_position: int = 0,
) -> Upstream:
    """Return an upstream with its ranking key.

    The key is derived from the sidecar's address, so a restart of the upstream changes no ranking.
    """
    key = view.key_of(f"{address[0]}:{address[1]}")
    return Upstream(
        name,
        started_at,
        service,
        address,
        zone,
        slots,
        leaving,
        slow_start_until,
        key,
        created_position,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Index:
    """The upstreams by their sidecars' addresses and by service."""

    by_address: dict[view.Address, Upstream]
    by_service: dict[str, list[Upstream]]


def index_upstreams(upstreams: typing.Iterable[Upstream]) -> Index:
    """Return the index of the upstreams; of those with the same address it keeps the youngest.

    An address may be reused while the entry of its former upstream has not expired. Keeping both
    would send packets of one service to an upstream of another. Without times of start the most
    recently created entry wins, since an upstream that has ended creates no entries.
    """
    by_address = {u.address: u for u in sorted(upstreams, key=start_order)}
    by_service: dict[str, list[Upstream]] = {}
    for upstream in by_address.values():
        by_service.setdefault(upstream.service, []).append(upstream)
    return Index(by_address, by_service)


def start_order(upstream: Upstream) -> tuple[int, int, str]:
    """Return the sort key that orders upstreams by their start, the oldest first."""
    return (upstream.started_at, upstream.created_position, upstream.name)


class Fleet:
    """The known upstreams by name, the drained availability zones, and the region of each zone.

    `expiring` holds the time in ms at which an upstream without an entry is dropped,
    `drains_ending` that at which the drain of a zone ends, `unlisted_until` the dropped ones that
    may still be running. `added_count` counts the upstreams added.
    """

    def __init__(self) -> None:
        self.drained: set[str] = set()
        self.drains_ending: dict[str, int] = {}
        self.regions: dict[str, str] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.expiring: dict[str, int] = {}
        self.unlisted_until: dict[view.Address, tuple[Upstream, int]] = {}
        self.cached_index: Index | None = None
        self.added_count = 0

    def drain(self, zone: str) -> bool:
        """Drain a zone; return whether it was not drained before."""
        self.drains_ending.pop(zone, None)
        is_new = zone not in self.drained
        self.drained.add(zone)
        return is_new

    def end_drain(self, zone: str, now: int, keep_until: int = 0) -> bool:
        """End the drain of a zone; return whether it has ended.

        If `keep_until` is later than `now`, the zone stays drained until that time in ms.
        """
        if zone not in self.drained:
            return False
        if keep_until > now:
            self.drains_ending.setdefault(zone, keep_until)
            return False
        self.drained.remove(zone)
        self.drains_ending.pop(zone, None)
        return True

    def put(self, upstream: Upstream) -> None:
        """Add an upstream by its published entry, or update it."""
        self.expiring.pop(upstream.name, None)
        if self.upstreams.get(upstream.name) == upstream:
            return
        self.added_count += upstream.name not in self.upstreams
        self.upstreams[upstream.name] = upstream
        self.cached_index = None

    def remove(self, name: str, now: int, keep_until: int = 0) -> bool:
        """Remove an upstream that has lost its entry; return whether it was removed.

        If `keep_until` is later than `now`, it is kept until that time in ms.
        """
        if name not in self.upstreams:
            return False
        if keep_until > now:
            self.expiring.setdefault(name, keep_until)
            return False
        gone = self.upstreams.pop(name)
        self.expiring.pop(name, None)
        self.cached_index = None
        self.note_unlisted(gone, now + UNLISTED_TTL_MS)
        return True

    def note_unlisted(self, upstream: Upstream, until: int) -> None:
        """Record, until a time in ms, that an upstream without an entry may be running."""
        if len(self.unlisted_until) < MAX_UNLISTED or upstream.address in self.unlisted_until:
            self.unlisted_until[upstream.address] = (upstream, until)

    def expire(self, now: int) -> list[str]:
        """Remove upstreams and end drains whose grace period is over; return the upstreams."""
        self.unlisted_until = {a: d for a, d in self.unlisted_until.items() if d[1] > now}
        for zone in [zone for zone, until in self.drains_ending.items() if until <= now]:
            self.end_drain(zone, now)
        over = [name for name, until in self.expiring.items() if until <= now]
        for name in over:
            self.remove(name, now)
        return over

    @property
    def index(self) -> "Index":
        """Return the index, rebuilt on the first use after a change."""
        if self.cached_index is None:
            self.cached_index = index_upstreams(self.upstreams.values())
        return self.cached_index

    @property
    def by_address(self) -> dict[view.Address, Upstream]:
        """Return the upstreams by their sidecars' addresses."""
        return self.index.by_address

    def upstreams_of(self, service: str) -> typing.Sequence[Upstream]:
        """Return the upstreams of a service."""
        return self.index.by_service.get(service, ())

    def accepting(self, service: str, regions: typing.Sequence[str] = ()) -> list[Upstream]:
        """Return the upstreams of a service that accept new flows, in `regions` if given."""
        drained = self.drained
        members = [u for u in self.upstreams_of(service) if not u.leaving and u.zone not in drained]
        return [u for u in members if self.is_in_regions(u.zone, regions)] if regions else members

    def is_in_regions(self, zone: str, regions: typing.Sequence[str]) -> bool:
        """Return whether a zone lies in one of the regions, or no regions are given."""
        return not regions or self.regions.get(zone) in regions

    def unlisted(self) -> list[Upstream]:
        """Return the upstreams without an entry whose address no listed upstream has taken."""
        return [gone for a, (gone, _) in self.unlisted_until.items() if a not in self.by_address]

    def lapsed(self) -> list[Upstream]:
        """Return the upstreams that have lost their entries and are kept for a grace period."""
        return [self.upstreams[name] for name in self.expiring]

    def is_listed(self, upstream: Upstream) -> bool:
        """Return whether this incarnation of the upstream is listed."""
        listed = self.upstreams.get(upstream.name)
        return listed is not None and listed.started_at == upstream.started_at
