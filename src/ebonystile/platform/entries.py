"""Translate what lies in the store: the configuration, drained zones and upstreams' entries.

Anybody may have written there. What does not have the form described names no upstream, and is
told apart from an entry that is gone by a reason.
"""

import typing

import msgspec

from ebonystile import errors
from ebonystile.core import view
from ebonystile.core.carrying import fleet, routes, warming

OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
DRAINED_PREFIX = "op/evacuate/"
ENTRIES_PREFIX = "servers/"
EVERYTHING = ""

STEP = "read the store"


class Item(msgspec.Struct):
    """One item, or with `tombstone` the word that it is gone. `value` comes as base64.

    `created` is the store's revision at which the key came to be.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    tombstone: bool = False
    created: int = 0


class Page(msgspec.Struct):
    """One page of a list; `store_revision` is the store's at that moment.

    A relay that does not read the store itself just now says so by `current`.
    """

    items: list[Item]
    store_revision: int
    has_more: bool = False
    current: bool = True


class News(msgspec.Struct):
    """What a watch brought; the next one goes on from `store_revision`."""

    events: list[Item]
    store_revision: int


class EntryBody(msgspec.Struct):
    """What an upstream says of itself.

    `address` is where its own instance reaches it. `max_concurrency` is its number of slots,
    `warmup_left_ms` how much longer it is slow after its start, `born` the time of the start in ms
    since the epoch.
    """

    service: str
    address: str
    zone: str
    max_concurrency: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: typing.Literal["ready", "draining"]
    warmup_left_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=3_600_000)] = 0.0
    born: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class ShareBody(msgspec.Struct):
    """One of the services that a route's new flows are split over."""

    service: str
    weight: typing.Annotated[int, msgspec.Meta(ge=0)]


class RouteBody(msgspec.Struct):
    """A route: `host` is its address, `prefix` its port between slashes; `backends` splits it.

    `allowed_regions` names the regions whose upstreams may serve it, empty for all.
    """

    name: str
    host: str
    prefix: str
    service: str = ""
    backends: list[ShareBody] = []
    allowed_regions: list[str] | None = None


class ServiceBody(msgspec.Struct):
    """A service: how long its upstreams are cold, in s, and how many flows a second they bear."""

    name: str
    warmup_s: typing.Annotated[float, msgspec.Meta(ge=0, le=3_600)] = 0.0
    warmup_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class LimitsBody(msgspec.Struct):
    """The limits; only the silence after which a flow may be forgotten has a meaning here."""

    idle_timeout_ms: int = routes.DEFAULT_IDLE


class ConfigurationBody(msgspec.Struct):
    """The whole configuration at one version."""

    version: typing.Annotated[int, msgspec.Meta(ge=1)]
    routes: list[RouteBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


PAGES = msgspec.json.Decoder(Page)
NEWS = msgspec.json.Decoder(News)
ENTRIES = msgspec.json.Decoder(EntryBody)
CONFIGURATIONS = msgspec.json.Decoder(ConfigurationBody)

Body = typing.TypeVar("Body")


def decode(decoder: "msgspec.json.Decoder[Body]", data: bytes) -> Body:
    """Return what the bytes hold; raise `PlatformError` if they have another form."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.PlatformError(str(error), step=STEP, peer="platform") from error


def upstream_of(item: Item, port: int, now: int) -> fleet.Upstream:
    """Return the upstream that an entry names; raise `PlatformError` if it names none.

    Its sidecar hears other processes at the same address at `port`. `now` is in ms.
    """
    body = decode(ENTRIES, item.value)
    host = host_of(body.address)
    return fleet.make_upstream(
        item.key.removeprefix(ENTRIES_PREFIX),
        body.born,
        body.service,
        (host, port),
        body.zone,
        body.max_concurrency,
        leaving=body.state == "draining",
        slow_start_until=now + int(body.warmup_left_ms) if body.warmup_left_ms else 0,
        created_revision=item.created,
    )


def host_of(text: str) -> str:
    """Return the IPv4 address in `ip:port`; raise `PlatformError` if there is none."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numbers = [int(p) for p in parts if p.isascii() and p.isdigit() and len(p) <= 3]
    if len(numbers) != 4 or len(parts) != 4 or max(numbers) > 255 or not port.isdigit():
        raise errors.PlatformError(f'"{text}" is no address', step=STEP, peer="platform")
    return host


def routes_of(item: Item) -> routes.Routes:
    """Return the routes of a configuration; raise `PlatformError` if it holds none."""
    body = decode(CONFIGURATIONS, item.value)
    return routes.make_routes(
        body.version,
        (route_of(route) for route in body.routes),
        body.limits.idle_timeout_ms,
        {service.name: warm_up_of(service) for service in body.services},
    )


def warm_up_of(body: ServiceBody) -> warming.SlowStart:
    """Return how the upstreams of a service start."""
    return warming.SlowStart(int(body.warmup_s * 1_000), body.warmup_per_s)


def route_of(body: RouteBody) -> tuple[str, int, routes.Route]:
    """Return the address, the port and the route; raise `PlatformError` if there is none."""
    shares = tuple((b.service, b.weight) for b in body.backends if b.weight > 0)
    shares = shares or ((body.service, 1),)
    port = body.prefix.strip("/")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        fault = f'route {body.name}: "{body.prefix}" is no port'
        raise errors.PlatformError(fault, step=STEP, peer="platform")
    host = host_of(f"{body.host}:{port}")
    return host, int(port), routes.Route(body.name, shares, tuple(body.allowed_regions or ()))


def drained_zone_of(key: str) -> str:
    """Return the zone that an operator drains by a key; raise `PlatformError` if it names none."""
    zone = key.removeprefix(DRAINED_PREFIX)
    if not zone:
        raise errors.PlatformError(f'"{key}" names no zone', step=STEP, peer="platform")
    return zone


def address_of(text: str) -> view.Address:
    """Return the address and port in `ip:port`."""
    host = host_of(text)
    return host, int(text.rpartition(":")[2])
