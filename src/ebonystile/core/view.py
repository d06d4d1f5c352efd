"""What a process believes about services and instances: the input of every routing decision.

A `View` is immutable. Configuration code builds a new one whenever a newer document is accepted;
the cores only ever swap one view for another of the same or a higher revision.
"""

import dataclasses
import struct
import typing

import xxhash

Address = tuple[str, int]
"""An IPv4 address and a port. UDP and TCP of one process share the number."""

TOKEN = struct.Struct("!QQQ")
"""A token on the wire: upstream key, incarnation, service key (24 bytes)."""


def key_of(name: str) -> int:
    """Return the 64-bit key that stands for a name in tokens and rankings (xxh3)."""
    return xxhash.xxh3_64_intdigest(name.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The home of a flow: which upstream, which of its homes, for which service.

    `incarnation` is drawn at random for each home that a sidecar gives a flow. A restarted sidecar,
    or one that takes a flow of the same id again, is another home: a packet that was delayed for
    long can never be taken for one of the new home, which knows nothing of what the old one ran.
    """

    upstream: int
    incarnation: int
    service: int

    def pack(self) -> bytes:
        """Return the token's 24 bytes."""
        return TOKEN.pack(self.upstream, self.incarnation, self.service)


def unpack_token(data: bytes) -> Token | None:
    """Return the token in `data`, or None where there is none."""
    if len(data) != TOKEN.size:
        return None
    return Token(*TOKEN.unpack(data))


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An upstream with the sidecar beside it; `address` is the sidecar's."""

    name: str
    address: Address
    zone: str
    leaving: bool = False
    key: int = 0


def make_endpoint(name: str, address: Address, zone: str, *, leaving: bool = False) -> Endpoint:
    """Return an endpoint with its key worked out."""
    return Endpoint(name, address, zone, leaving, key_of(name))


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and every upstream that its selector matches now, those leaving included.

    `accepting` are those of them that may take new work; `accepting_keys` holds their keys, 8 bytes
    each in that order, side by side in memory: among thousands of services, fetching the keys from
    the endpoints one by one costs more than ranking them.
    """

    name: str
    address: str
    upstreams: tuple[Endpoint, ...]
    accepting: tuple[Endpoint, ...]
    accepting_keys: bytes
    key: int


def make_service(name: str, address: str, upstreams: typing.Iterable[Endpoint]) -> Service:
    """Return a service with its key and its accepting upstreams worked out."""
    members = tuple(upstreams)
    accepting = tuple(u for u in members if not u.leaving)
    keys = struct.pack(f"!{len(accepting)}Q", *[u.key for u in accepting])
    return Service(name, address, members, accepting, keys, key_of(name))


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Services by name, endpoints by key, and the balancers, all at one revision.

    `revision` is the platform's of the documents, `instances_revision` that of its list of
    instances; neither ever falls from one view to the next.
    """

    revision: int
    services: dict[str, Service]
    endpoints: dict[int, Endpoint]
    balancers: tuple[Address, ...]
    instances_revision: int = 0

    def services_of(self, name: str) -> frozenset[str]:
        """Return the names of the services that the upstream called `name` serves."""
        return frozenset(
            s.name for s in self.services.values() if any(u.name == name for u in s.upstreams)
        )


def make_view(
    revision: int,
    services: typing.Iterable[Service],
    endpoints: typing.Iterable[Endpoint] = (),
    balancers: typing.Iterable[Address] = (),
) -> View:
    """Return a view; endpoints that a service names need not be listed again."""
    by_name = {s.name: s for s in services}
    by_key = {e.key: e for e in endpoints}
    for service in by_name.values():
        by_key.update((u.key, u) for u in service.upstreams)
    return View(revision, by_name, by_key, tuple(balancers))


EMPTY = View(0, {}, {}, ())
