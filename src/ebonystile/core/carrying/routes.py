"""Hold the routes in force: which service new flows to an address and port go to."""

import dataclasses
import typing

import xxhash

from ebonystile.core.carrying import packet, warming

SPLIT_SEED = 0x51
"""Seed that keeps the split of a route's flows independent of their ranking."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the flows of one address and port go: services with their weights.

    `regions` are those whose upstreams may get the flows, empty for all.
    """

    name: str
    shares: tuple[tuple[str, int], ...]
    regions: tuple[str, ...] = ()

    def service_of(self, flow: packet.Flow) -> str:
        """Return the service of a new flow, the same one for every copy of its opening packet."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        point = xxhash.xxh3_64_intdigest(flow, seed=SPLIT_SEED) % sum(w for _, w in self.shares)
        for service, weight in self.shares:
            point -= weight
            if point < 0:
                return service
        return self.shares[-1][0]

    @property
    def services(self) -> tuple[str, ...]:
        """Return every service that flows of the route may go to."""
        return tuple(service for service, weight in self.shares if weight > 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """All routes of one version of the configuration.

    `idle` is how long a flow may be silent before it may be forgotten, in ms. `warm_ups` tells by
    service how upstreams start.
    """

    version: int
    by_end: dict[bytes, Route]
    idle: int
    warm_ups: typing.Mapping[str, warming.WarmUp] = dataclasses.field(default_factory=dict)

    def find(self, flow: packet.Flow) -> Route | None:
        """Return the route of the flow, or None where there is none."""
        return self.by_end.get(packet.route_end(flow))

    def regions_of(self, flow: packet.Flow) -> tuple[str, ...]:
        """Return the regions that the flow's route is kept to, empty for all of them."""
        route = self.find(flow)
        return route.regions if route is not None else ()

    def warm_up_of(self, service: str) -> warming.WarmUp:
        """Return how the upstreams of a service start."""
        return self.warm_ups.get(service, warming.UNBOUNDED)


DEFAULT_IDLE = 15_000
"""Silence after which a flow may be forgotten while no configuration says so, in ms."""

EMPTY = Routes(0, {}, DEFAULT_IDLE)


def make_routes(
    version: int,
    routes: typing.Iterable[tuple[str, int, Route]],
    idle: int,
    warm_ups: typing.Mapping[str, warming.WarmUp] | None = None,
) -> Routes:
    """Return routes given with their addresses and ports."""
    by_end = {packet.end_of(host, port): route for host, port, route in routes}
    return Routes(version, by_end, idle, warm_ups or {})


class Current:
    """The routes in force, and where flows opened under earlier ones may still live.

    A version never falls: a late answer of the platform, or one of a peer that lags, would
    otherwise bring back a route that was dropped, and a caller's request would run by it.
    """

    def __init__(self) -> None:
        self.routes = EMPTY
        self.former: dict[bytes, set[str]] = {}

    def replace(self, newer: Routes) -> bool:
        """Put newer routes in force; return whether they are newer."""
        if newer.version <= self.routes.version:
            return False
        for end, route in self.routes.by_end.items():
            kept = newer.by_end.get(end)
            if kept is not None and kept.shares != route.shares:
                self.former.setdefault(end, set()).update(route.services)
        self.former = {e: s for e, s in self.former.items() if e in newer.by_end}
        self.routes = newer
        return True

    def services_of(self, flow: packet.Flow) -> tuple[str, ...]:
        """Return the services that may hold the open flow, the likeliest first."""
        route = self.routes.find(flow)
        if route is None:
            return ()
        names = dict.fromkeys([route.service_of(flow), *route.services])
        names.update(dict.fromkeys(sorted(self.former.get(packet.route_end(flow), ()))))
        return tuple(names)
