"""The services and instances known to a process, on which its routing decisions are based.

A `View` is immutable. Configuration code builds a new one whenever a newer document is accepted;
the cores replace a view only by one of the same or a higher revision.
"""

import dataclasses
import struct
import typing

import xxhash

from ebonystile.core.carrying import routes

Address = tuple[str, int]
"""An IPv4 address and a port; a process uses the same port for UDP and TCP."""

TOKEN = struct.Struct("!QQQ")
"""Wire format of a token: upstream key, incarnation, service key (24 bytes)."""


def key_of(name: str) -> int:
    """Return the 64-bit hash (xxh3) that identifies a name in tokens and rankings."""
    return xxhash.xxh3_64_intdigest(name.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The home of a flow: the keys of its upstream and service, and the home's incarnation.

    `incarnation` is a random number drawn for each home that a sidecar creates. It differs after a
    restart of the sidecar and when a flow id is used again, so that a delayed packet of the old
    home is never taken for one of the new home.
    """

    upstream: int
    incarnation: int
    service: int

    def pack(self) -> bytes:
        """Return the token's 24 bytes."""
        return TOKEN.pack(self.upstream, self.incarnation, self.service)


def unpack_token(data: bytes) -> Token | None:
    """Return the token in `data`, or None if its length is wrong."""
    if len(data) != TOKEN.size:
        return None
    return Token(*TOKEN.unpack(data))


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An upstream and its sidecar; `address` is the sidecar's."""

    name: str
    address: Address
    zone: str
    leaving: bool = False
    key: int = 0


def make_endpoint(name: str, address: Address, zone: str, *, leaving: bool = False) -> Endpoint:
    """Return an endpoint with the key of its name."""
    return Endpoint(name, address, zone, leaving, key_of(name))


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and all upstreams that its selector matches, including those that are leaving.

    `accepting` are the upstreams that accept new work; `accepting_keys` holds their keys in the
    same order, 8 bytes each. The contiguous copy is faster to rank than the endpoints' attributes.
    """

    name: str
    address: str
    upstreams: tuple[Endpoint, ...]
    accepting: tuple[Endpoint, ...]
    accepting_keys: bytes
    key: int
    requests: routes.RequestTraits = routes.NO_TRAITS


def make_service(
    name: str,
    address: str,
    upstreams: typing.Iterable[Endpoint],
    requests: routes.RequestTraits = routes.NO_TRAITS,
) -> Service:
    """Return a service with its key and its accepting upstreams."""
    members = tuple(upstreams)
    accepting = tuple(u for u in members if not u.leaving)
    keys = struct.pack(f"!{len(accepting)}Q", *[u.key for u in accepting])
    return Service(name, address, members, accepting, keys, key_of(name), requests)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Services by name, endpoints by key, and the balancers' addresses at one revision.

    `revision` is the platform's revision of the documents, `instances_revision` that of its list of
    instances. Neither decreases from one view to the next.
    """

    revision: int
    services: dict[str, Service]
    endpoints: dict[int, Endpoint]
    balancers: tuple[Address, ...]
    instances_revision: int = 0

    def services_of(self, name: str) -> frozenset[str]:
        """Return the names of the services that the upstream `name` serves."""
        return frozenset(
            s.name for s in self.services.values() if any(u.name == name for u in s.upstreams)
        )


def make_view(
    revision: int,
    services: typing.Iterable[Service],
    endpoints: typing.Iterable[Endpoint] = (),
    balancers: typing.Iterable[Address] = (),
) -> View:
    """Return a view; `endpoints` need not repeat the upstreams of the services."""
    by_name = {s.name: s for s in services}
    by_key = {e.key: e for e in endpoints}
    for service in by_name.values():
        by_key.update((u.key, u) for u in service.upstreams)
    return View(revision, by_name, by_key, tuple(balancers))


EMPTY = View(0, {}, {}, ())
