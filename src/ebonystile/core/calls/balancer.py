"""Decide where a balancer sends each datagram. It keeps no state about any flow.

Any packet of a flow can arrive at any balancer, and balancers come and go; so the way to the
flow's home is in the packet itself: in its token or, for an open, in the ranking by its flow id.
"""

import dataclasses

import cbor2

from ebonystile.caller import messages as caller_messages
from ebonystile.core import rng, view
from ebonystile.core.calls import fairness
from ebonystile.core.placing import ranking
from ebonystile.peer import messages

MIN_OPEN_RETRY_MS = 500
"""Shortest time in ms after which a caller is asked to open again; up to twice that."""

RANDOM_START_SHARE = 0.25
"""Share of packets without a reachable home that start their walk at a random upstream."""

FROM_CALLER_KINDS = frozenset(caller_messages.FROM_CALLER.by_kind)


@dataclasses.dataclass(slots=True)
class Relay:
    """Send a caller's datagram to a sidecar. Not frozen: that doubles the time to make one."""

    address: view.Address
    forward: messages.Forward


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send a datagram to a caller."""

    caller: view.Address
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Count a datagram that leads nowhere; `reason` is one of a small fixed set."""

    reason: str


@dataclasses.dataclass(slots=True)
class Balancer:
    """What a balancer knows: its own address towards sidecars, and the view in force."""

    address: view.Address
    randomness: rng.Rng
    gate: fairness.Gate
    view: "view.View"


def make_balancer(
    address: view.Address, randomness: rng.Rng, gate: fairness.Gate | None = None
) -> Balancer:
    """Return a balancer that knows no services yet."""
    return Balancer(address, randomness, gate or fairness.Gate(fairness.Bounds()), view.EMPTY)


def change_view(balancer: Balancer, newer: view.View) -> bool:
    """Take a view unless it is older than the one in force; return whether it was taken."""
    if newer.revision < balancer.view.revision:
        return False
    balancer.view = newer
    return True


def route(
    balancer: Balancer, caller: view.Address, payload: bytes, now: int
) -> Relay | Reply | Drop:
    """Return what to do with a caller's datagram.

    Only kind, flow, service and token are read here; the home checks the rest.
    """
    try:
        items = cbor2.loads(payload)
        kind, flow, service_name, token = items[:4]
    except Exception:
        # Whatever the library raises, the datagram is not one of ours.
        return Drop("malformed")
    if kind not in FROM_CALLER_KINDS or type(flow) is not bytes or type(token) is not bytes:
        return Drop("malformed")
    if type(service_name) is not str:
        return Drop("malformed")
    if kind == caller_messages.Open.KIND:
        return route_open(balancer, caller, payload, items, now)
    target = find_sidecar(balancer, flow, service_name, token)
    if isinstance(target, Drop):
        return target
    return Relay(target.address, messages.Forward(caller, balancer.address, (), payload))


def find_sidecar(
    balancer: Balancer, flow: bytes, service_name: str, data: bytes
) -> view.Endpoint | Drop:
    """Return the sidecar that the token names, or one at which to start looking for the flow."""
    if len(data) != view.TOKEN.size:
        return Drop("no_token")
    upstream, _, token_service = view.TOKEN.unpack(data)
    if token_service != view.key_of(service_name):
        # The home would refuse it too; a token of one service says nothing about another.
        return Drop("wrong_service")
    home = balancer.view.endpoints.get(upstream)
    if home is not None:
        return home
    service = balancer.view.services.get(service_name)
    if service is None or not service.upstreams:
        return Drop("no_upstream")
    return first_sidecar(balancer, flow, service)


def first_sidecar(balancer: Balancer, flow: bytes, service: view.Service) -> view.Endpoint:
    """Return the sidecar to ask first for a flow whose home is gone.

    The first of the ranking is where most flows are opened, or handed to while loads are not known.
    If that sidecar has died, every walk that begins there would be lost until the list shows it; so
    some begin elsewhere.
    """
    candidates = service.accepting or service.upstreams
    if balancer.randomness.random() < RANDOM_START_SHARE:
        return candidates[balancer.randomness.randrange(len(candidates))]
    return ranking.first(flow, candidates)


def route_open(
    balancer: Balancer, caller: view.Address, payload: bytes, items: list, now: int
) -> Relay | Reply | Drop:
    """Send an open to the `attempt`-th of the flow's ranking, so a retry meets another upstream."""
    if len(payload) < caller_messages.OPEN_BYTES or len(items) != 7:
        # An answer must not be larger than the question, or callers' addresses could be forged to
        # flood a third party.
        return Drop("malformed")
    flow, service_name, attempt = items[1], items[2], items[4]
    if type(attempt) is not int or attempt < 0:
        return Drop("malformed")
    service = balancer.view.services.get(service_name)
    if service is None or not service.accepting:
        reason = "no upstream serves it" if service else "unknown service"
        return refuse_open(balancer, caller, flow, attempt, reason, now)
    deadline = items[5]
    if type(deadline) is not int:
        return Drop("malformed")
    verdict = balancer.gate.admit(service_name, caller[0], deadline, now, balancer.randomness)
    if isinstance(verdict, fairness.Refuse):
        return refuse_open(balancer, caller, flow, attempt, verdict.reason, now, verdict.retry_at)
    if attempt == 0:
        target = ranking.first_accepting(flow, service)
    else:
        ranked = ranking.rank(flow, service.accepting)
        target = ranked[attempt % len(ranked)]
    return Relay(target.address, messages.Forward(caller, balancer.address, (), payload))


def refuse_open(
    balancer: Balancer,
    caller: view.Address,
    flow: bytes,
    attempt: int,
    reason: str,
    now: int,
    retry_at: int | None = None,
) -> Reply:
    """Refuse an open, saying when to come back; opening runs nothing, so this is always true."""
    if retry_at is None:
        retry_at = now + int(MIN_OPEN_RETRY_MS * (1 + balancer.randomness.random()))
    refusal = caller_messages.OpenRefused(flow, attempt, reason, retry_at)
    return Reply(caller, caller_messages.TO_CALLER.encode(refusal))
