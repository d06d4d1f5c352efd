"""Parse the store's items: the configuration, drained zones and upstreams' entries.

Other writers share the store, so a malformed item raises `PlatformError` with a reason.
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
ALL_PREFIX = ""

STEP = "read the store"

TraitMs = typing.Annotated[float, msgspec.Meta(ge=0, le=routes.MAX_TRAIT_MS)]


class Item(msgspec.Struct):
    """One item of the store; `tombstone` marks a deleted key. `value` is base64 in JSON.

    `created` is the store's revision at which the key was created. Both revisions are positions
    once the answer is parsed, and in the answers of relays.
    """

    key: str
    value: bytes = b""
    revision: int = 0
    tombstone: bool = False
    created: int = 0


class Page(msgspec.Struct):
    """One page of a list, read at the store's revision `store_revision`.

    `current` is False in the answer of a relay that is not reading the store itself.
    """

    items: list[Item]
    store_revision: int
    has_more: bool = False
    current: bool = True


class WatchEvents(msgspec.Struct):
    """The answer to a watch; the next watch continues from `store_revision`."""

    events: list[Item]
    store_revision: int


class EntryBody(msgspec.Struct):
    """The entry that an upstream publishes.

    `address` is its address on its own instance, `max_concurrency` its number of slots,
    `warmup_left_ms` the rest of its slow start, `born` its start time in ms since the epoch.
    """

    service: str
    address: str
    zone: str
    max_concurrency: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: typing.Literal["ready", "draining"]
    warmup_left_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=3_600_000)] = 0.0
    born: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class ShareBody(msgspec.Struct):
    """A service and its weight in the split of a route's new flows."""

    service: str
    weight: typing.Annotated[int, msgspec.Meta(ge=0)]


class RouteBody(msgspec.Struct):
    """A route: `host` is its address, `prefix` its port between slashes.

    `backends` splits new flows over services, `service` is the only one if it is empty.
    `allowed_regions` names the regions whose upstreams may serve it, empty for all. The last four
    fields state the traits of its requests; they accept any value, as a malformed one must not
    keep a configuration from coming into force.
    """

    name: str
    host: str
    prefix: str
    service: str = ""
    backends: list[ShareBody] = []
    allowed_regions: list[str] | None = None
    type: typing.Any = None
    latency_slo_ms: typing.Any = None
    timeout_ms: typing.Any = None
    priority: typing.Any = None


class TraitsBody(msgspec.Struct):
    """The traits of a route's requests; a null or missing field is not stated."""

    type: typing.Literal["safe", "unsafe", "upload", "download"] | None = None
    latency_slo_ms: TraitMs | None = None
    timeout_ms: TraitMs | None = None
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=routes.MAX_PRIORITY)] | None = None


REQUEST_KINDS = {
    "safe": routes.RequestKind.IDEMPOTENT,
    "unsafe": routes.RequestKind.NON_IDEMPOTENT,
    "upload": routes.RequestKind.UPLOAD,
    "download": routes.RequestKind.DOWNLOAD,
}


class ServiceBody(msgspec.Struct):
    """A service: the length of its upstreams' slow start (s) and their new flows per s in it."""

    name: str
    warmup_s: typing.Annotated[float, msgspec.Meta(ge=0, le=3_600)] = 0.0
    warmup_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class LimitsBody(msgspec.Struct):
    """The limits; only the idle timeout of flows is used here."""

    idle_timeout_ms: int = routes.DEFAULT_IDLE_TIMEOUT_MS


class ConfigurationBody(msgspec.Struct):
    """One version of the configuration."""

    version: typing.Annotated[int, msgspec.Meta(ge=1)]
    routes: list[RouteBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


PAGE_DECODER = msgspec.json.Decoder(Page)
WATCH_DECODER = msgspec.json.Decoder(WatchEvents)
ENTRY_DECODER = msgspec.json.Decoder(EntryBody)
CONFIGURATION_DECODER = msgspec.json.Decoder(ConfigurationBody)

Body = typing.TypeVar("Body")


def decode(decoder: "msgspec.json.Decoder[Body]", data: bytes) -> Body:
    """Return the decoded JSON; raise `PlatformError` if it does not match the decoder's type."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.PlatformError(str(error), step=STEP, peer="platform") from error


def upstream_of(item: Item, port: int, now: int) -> fleet.Upstream:
    """Return the upstream of an entry; raise `PlatformError` if the entry is malformed.

    `port` is its sidecar's internal port, on the same address. `now` is in ms.
    """
    body = decode(ENTRY_DECODER, item.value)
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
        created_position=item.created,
    )


def host_of(text: str) -> str:
    """Return the IPv4 address in `ip:port`; raise `PlatformError` if it is malformed."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numbers = [int(p) for p in parts if p.isascii() and p.isdigit() and len(p) <= 3]
    if len(numbers) != 4 or len(parts) != 4 or max(numbers) > 255 or not port.isdigit():
        raise errors.PlatformError(
            f'"{text}" is not an IPv4 address and a port', step=STEP, peer="platform"
        )
    return host


def routes_of(item: Item) -> routes.Routes:
    """Return the routes of a configuration; raise `PlatformError` if it is malformed."""
    body = decode(CONFIGURATION_DECODER, item.value)
    traits = [traits_of(route) for route in body.routes]
    return routes.make_routes(
        body.version,
        (
            route_of(route, stated or routes.NO_TRAITS)
            for route, stated in zip(body.routes, traits, strict=True)
        ),
        body.limits.idle_timeout_ms,
        {service.name: slow_start_of(service) for service in body.services},
        tuple(
            route.name for route, stated in zip(body.routes, traits, strict=True) if stated is None
        ),
    )


def traits_of(body: RouteBody) -> routes.RequestTraits | None:
    """Return what a route states about its requests, or None if any of it is malformed."""
    stated = {field: getattr(body, field) for field in TraitsBody.__struct_fields__}
    try:
        traits = msgspec.convert(stated, TraitsBody)
    except msgspec.ValidationError:
        return None
    priority = routes.DEFAULT_PRIORITY if traits.priority is None else traits.priority
    return routes.RequestTraits(
        REQUEST_KINDS.get(traits.type),
        int(traits.latency_slo_ms or 0),
        int(traits.timeout_ms or 0),
        priority,
    )


def slow_start_of(body: ServiceBody) -> warming.SlowStart:
    """Return the slow start of a service's upstreams."""
    return warming.SlowStart(int(body.warmup_s * 1_000), body.warmup_per_s)


def route_of(
    body: RouteBody, requests: routes.RequestTraits = routes.NO_TRAITS
) -> tuple[str, int, routes.Route]:
    """Return address, port and route; raise `PlatformError` if the address or port is invalid."""
    shares = tuple((b.service, b.weight) for b in body.backends if b.weight > 0)
    shares = shares or ((body.service, 1),)
    port = body.prefix.strip("/")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        reason = f'route "{body.name}": "{body.prefix}" is not a port between slashes'
        raise errors.PlatformError(reason, step=STEP, peer="platform")
    host = host_of(f"{body.host}:{port}")
    return (
        host,
        int(port),
        routes.Route(body.name, shares, tuple(body.allowed_regions or ()), requests),
    )


def drained_zone_of(key: str) -> str:
    """Return the zone that a drain key names; raise `PlatformError` if it names none."""
    zone = key.removeprefix(DRAINED_PREFIX)
    if not zone:
        raise errors.PlatformError(f'key "{key}" names no zone', step=STEP, peer="platform")
    return zone


def address_of(text: str) -> view.Address:
    """Return the address and port in `ip:port`."""
    host = host_of(text)
    return host, int(text.rpartition(":")[2])
