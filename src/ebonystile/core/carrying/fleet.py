"""Keep the upstreams that may be used, from entries that each upstream publishes of itself.

The published list lags and has gaps: an upstream that crashed stays listed for some seconds, and
one that lives loses its entry if the store is away for longer than the entry's lease.
"""

import dataclasses
import typing

from ebonystile.core import view

RETURN_MS = 2_300
"""How long entries lost during an outage of the store are kept after its return, in ms.

An upstream that lives has published itself again within about 2 s of the return; without the
pause every caller would be cut off from upstreams that serve.
"""

DEPARTED_MS, MAX_DEPARTED = 60_000, 256
"""How long, in ms, and how many upstreams are remembered after their entries went.

One that only the store can't hear still serves its flows; whoever is about to tell a caller that
its flow is nowhere asks there too. A minute is several times what a flow may be idle.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One start of one upstream; `address` is where its sidecar hears other processes.

    `born` (ms since the epoch) tells one start from the next under the same `name`. `warm_at` is
    when it is through with its slow first seconds, by this process's clock in ms. `listed_at` is
    the store's revision at which its entry came to be; it tells the younger of two starts where
    neither says when it was.
    """

    name: str
    born: int
    service: str
    address: view.Address
    zone: str
    slots: int
    leaving: bool
    warm_at: int
    key: int
    listed_at: int = 0

    @property
    def boot(self) -> tuple[str, int]:
        """Return what tells this start of the upstream from all others."""
        return (self.name, self.born)


def make_upstream(
    name: str,
    born: int,
    service: str,
    address: view.Address,
    zone: str,
    slots: int,
    *,
    leaving: bool = False,
    warm_at: int = 0,
    listed_at: int = 0,
) -> Upstream:
    """Return an upstream with the key by which it is ranked.

    The key is that of its address: where the sidecar stays and the upstream starts anew, the
    ranking of all flows stays as it was.
    """
    key = view.key_of(f"{address[0]}:{address[1]}")
    return Upstream(name, born, service, address, zone, slots, leaving, warm_at, key, listed_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Index:
    """The upstreams by address, and by service for those that choose among them."""

    by_address: dict[view.Address, Upstream]
    by_service: dict[str, list[Upstream]]


def make_index(upstreams: typing.Iterable[Upstream]) -> Index:
    """Return the upstreams sorted out; of two at one address the younger holds.

    An address is used again soon after its upstream is gone, and the old entry may still stand:
    routing to both would show one service's packets to another's upstream. Where entries don't say
    when their upstreams started, the one that came to be last holds: one that is gone writes no
    more. Taken by name, the gone one held its address in half of all cases until it lapsed.
    """
    by_address = {u.address: u for u in sorted(upstreams, key=age)}
    by_service: dict[str, list[Upstream]] = {}
    for upstream in by_address.values():
        by_service.setdefault(upstream.service, []).append(upstream)
    return Index(by_address, by_service)


def age(upstream: Upstream) -> tuple[int, int, str]:
    """Return what orders the starts of upstreams, the oldest first."""
    return (upstream.born, upstream.listed_at, upstream.name)


class Fleet:
    """The upstreams known, by name, and the availability zones that operators drain.

    `regions` gives the region of each zone.
    """

    def __init__(self) -> None:
        self.drained: set[str] = set()
        self.regions: dict[str, str] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.fading: dict[str, int] = {}
        self.departed: dict[view.Address, tuple[Upstream, int]] = {}
        self.indexed: Index | None = None
        self.added = 0

    def put(self, upstream: Upstream) -> None:
        """Take in what an upstream says of itself now."""
        self.fading.pop(upstream.name, None)
        if self.upstreams.get(upstream.name) == upstream:
            return
        self.added += upstream.name not in self.upstreams
        self.upstreams[upstream.name] = upstream
        self.indexed = None

    def remove(self, name: str, now: int, keep_until: int = 0) -> bool:
        """Drop an upstream whose entry is gone, or not before `keep_until`; tell if it went."""
        if name not in self.upstreams:
            return False
        if keep_until > now:
            self.fading.setdefault(name, keep_until)
            return False
        gone = self.upstreams.pop(name)
        self.fading.pop(name, None)
        self.indexed = None
        self.note_departed(gone, now + DEPARTED_MS)
        return True

    def note_departed(self, upstream: Upstream, until: int) -> None:
        """Remember, until a time in ms, that an upstream without an entry may be alive."""
        if len(self.departed) < MAX_DEPARTED or upstream.address in self.departed:
            self.departed[upstream.address] = (upstream, until)

    def expire(self, now: int) -> list[str]:
        """Drop the upstreams whose time after an outage is over; return their names."""
        self.departed = {a: d for a, d in self.departed.items() if d[1] > now}
        over = [name for name, until in self.fading.items() if until <= now]
        for name in over:
            self.remove(name, now)
        return over

    @property
    def index(self) -> "Index":
        """Return the upstreams sorted out, anew only after a change: lists come in one piece."""
        if self.indexed is None:
            self.indexed = make_index(self.upstreams.values())
        return self.indexed

    @property
    def by_address(self) -> dict[view.Address, Upstream]:
        """Return the upstreams by their sidecars' addresses."""
        return self.index.by_address

    def of(self, service: str) -> typing.Sequence[Upstream]:
        """Return the upstreams of a service."""
        return self.index.by_service.get(service, ())

    def willing(self, service: str, regions: typing.Sequence[str] = ()) -> list[Upstream]:
        """Return the upstreams of a service that may get new flows of a route kept to `regions`."""
        drained = self.drained
        willing = [u for u in self.of(service) if not u.leaving and u.zone not in drained]
        return [u for u in willing if self.within(u.zone, regions)] if regions else willing

    def within(self, zone: str, regions: typing.Sequence[str]) -> bool:
        """Tell whether a zone lies in one of the regions that a route is kept to, if it is."""
        return not regions or self.regions.get(zone) in regions

    def perhaps_alive(self) -> list[Upstream]:
        """Return the upstreams without an entry whose address nobody else has taken."""
        return [gone for a, (gone, _) in self.departed.items() if a not in self.by_address]

    def predecessor(self, upstream: Upstream) -> Upstream | None:
        """Return an older start at the upstream's address whose entry still stands, if any."""
        others = (u for u in self.upstreams.values() if u.address == upstream.address)
        return next((u for u in others if age(u) < age(upstream)), None)

    def lives(self, upstream: Upstream) -> bool:
        """Tell whether that very start of the upstream is still listed."""
        known = self.upstreams.get(upstream.name)
        return known is not None and known.born == upstream.born
