"""Rank the upstreams of a service for a flow by rendezvous hashing.

Highest random weight (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996):
each pair of flow and upstream gets a hash, and the highest comes first. All processes compute the
same ranking without coordination. When an upstream leaves, only its own flows move, each to the
next upstream of its ranking.
"""

import struct
import typing

import xxhash

from ebonystile.core import view


def weight(flow: bytes, key: int) -> int:
    """Return the hash weight of the upstream with this key for the flow."""
    return xxhash.xxh3_64_intdigest(flow, seed=key)


def rank(flow: bytes, endpoints: typing.Iterable[view.Endpoint]) -> list[view.Endpoint]:
    """Return the endpoints by falling weight for the flow."""
    return sorted(endpoints, key=lambda e: (weight(flow, e.key), e.key), reverse=True)


def first(flow: bytes, endpoints: typing.Iterable[view.Endpoint]) -> view.Endpoint | None:
    """Return the endpoint of highest weight for the flow, or None if there are none."""
    return max(endpoints, key=lambda e: (weight(flow, e.key), e.key), default=None)


def first_accepting(flow: bytes, service: view.Service) -> view.Endpoint | None:
    """Return the accepting upstream of highest weight for the flow, or None if there are none."""
    keys = struct.unpack(f"!{len(service.accepting)}Q", service.accepting_keys)
    if not keys:
        return None
    weights = [xxhash.xxh3_64_intdigest(flow, seed=key) for key in keys]
    _, key = max(zip(weights, keys, strict=True))
    return service.accepting[keys.index(key)]
