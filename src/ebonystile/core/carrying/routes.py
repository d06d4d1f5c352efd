"""Map addresses and ports to the services that receive their flows."""

import dataclasses
import enum
import typing

import xxhash

from ebonystile.core.carrying import packet, warming

SPLIT_SEED = 0x51
"""Hash seed that makes the split of a route's flows independent of the ranking of upstreams."""

DEFAULT_PRIORITY = 2
"""Priority of routes that state none; 0 is the highest."""

MAX_PRIORITY = 1_000
"""Largest number of a priority, which is the lowest one."""

MAX_TRAIT_MS = 3_600_000
"""Largest objective or timeout of requests, in ms."""


class RequestKind(enum.Enum):
    """What the requests of a route are: whether they may be repeated, and which side sends bulk.

    Uploads are non-idempotent, downloads are idempotent.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What the configuration states about the requests of a route or service.

    `objective_ms` is the response time that callers expect, `timeout_ms` the time after which they
    give a request up, both in ms and 0 if not stated. `kind` is None if not stated.
    """

    kind: RequestKind | None = None
    objective_ms: int = 0
    timeout_ms: int = 0
    priority: int = DEFAULT_PRIORITY


NO_TRAITS = RequestTraits()


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The destination of the flows to one address and port: services with their weights.

    `regions` are those whose upstreams may receive the flows; empty allows all regions.
    """

    name: str
    shares: tuple[tuple[str, int], ...]
    regions: tuple[str, ...] = ()
    requests: RequestTraits = NO_TRAITS

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

    def has_destinations_of(self, other: "Route") -> bool:
        """Return whether new flows go to the same upstreams as by another route."""
        return (self.shares, self.regions) == (other.shares, other.regions)

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that may receive flows of the route."""
        return tuple(service for service, weight in self.shares if weight > 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """All routes of one version of the configuration.

    `by_endpoint` maps encoded endpoints to their routes. `idle_timeout_ms` is the idle
    timeout of flows in ms. `slow_starts` gives the slow start of upstreams by service.
    `malformed_traits` names the routes whose request traits were malformed and left out.
    `states_objectives` is set if any route states an objective.
    """

    version: int
    by_endpoint: dict[bytes, Route]
    idle_timeout_ms: int
    slow_starts: typing.Mapping[str, warming.SlowStart] = dataclasses.field(default_factory=dict)
    malformed_traits: tuple[str, ...] = ()
    states_objectives: bool = False

    def find(self, flow: packet.Flow) -> Route | None:
        """Return the route of the flow, or None if there is none."""
        return self.by_endpoint.get(packet.route_endpoint(flow))

    def traits_of(self, flow: packet.Flow) -> RequestTraits:
        """Return what the flow's route states about its requests."""
        route = self.find(flow)
        return route.requests if route is not None else NO_TRAITS

    def regions_of(self, flow: packet.Flow) -> tuple[str, ...]:
        """Return the regions that the flow's route is restricted to, empty for all regions."""
        route = self.find(flow)
        return route.regions if route is not None else ()

    def slow_start_of(self, service: str) -> warming.SlowStart:
        """Return the slow start of the upstreams of a service."""
        return self.slow_starts.get(service, warming.NO_SLOW_START)


DEFAULT_IDLE_TIMEOUT_MS = 15_000
"""Idle timeout of flows in ms while no configuration is known."""

EMPTY = Routes(0, {}, DEFAULT_IDLE_TIMEOUT_MS)


def make_routes(
    version: int,
    routes: typing.Iterable[tuple[str, int, Route]],
    idle_timeout_ms: int,
    slow_starts: typing.Mapping[str, warming.SlowStart] | None = None,
    malformed_traits: tuple[str, ...] = (),
) -> Routes:
    """Return the routes of a version from their addresses and ports."""
    by_endpoint = {packet.endpoint_of(host, port): route for host, port, route in routes}
    states_objectives = any(route.requests.objective_ms for route in by_endpoint.values())
    return Routes(
        version,
        by_endpoint,
        idle_timeout_ms,
        slow_starts or {},
        malformed_traits,
        states_objectives,
    )


class RouteTable:
    """The routes in force, and the services that may hold flows opened under earlier versions.

    The version never decreases: a late response of the store, or one of a peer that lags behind,
    must not restore a route that was removed.
    """

    def __init__(self) -> None:
        self.routes = EMPTY
        self.former_services: dict[bytes, set[str]] = {}

    def replace(self, newer: Routes) -> bool:
        """Put the routes in force if their version is newer; return whether it is."""
        if newer.version <= self.routes.version:
            return False
        for end, route in self.routes.by_endpoint.items():
            kept = newer.by_endpoint.get(end)
            if kept is not None and kept.shares != route.shares:
                self.former_services.setdefault(end, set()).update(route.services)
        self.former_services = {
            e: s for e, s in self.former_services.items() if e in newer.by_endpoint
        }
        self.routes = newer
        return True

    def services_of(self, flow: packet.Flow) -> tuple[str, ...]:
        """Return the services that may hold the open flow, the most likely first."""
        route = self.routes.find(flow)
        if route is None:
            return ()
        names = dict.fromkeys([route.service_of(flow), *route.services])
        names.update(
            dict.fromkeys(sorted(self.former_services.get(packet.route_endpoint(flow), ())))
        )
        return tuple(names)
