"""Route callers' datagrams at a balancer, without any state of flows.

Any packet of a flow may arrive at any balancer, so the packet itself determines its destination:
by its token or, for an open, by the ranking of the upstreams for its flow id.
"""

import dataclasses

import cbor2

from ebonystile.caller import messages as caller_messages
from ebonystile.core import fairness, rng, view
from ebonystile.core.placing import ranking
from ebonystile.peer import messages

MIN_OPEN_RETRY_MS = 500
"""Shortest retry delay of a refused open; jitter adds up to as much."""

RANDOM_START_SHARE = 0.25
"""Share of packets whose home is gone that are sent first to a random upstream."""

FROM_CALLER_KINDS = frozenset(caller_messages.FROM_CALLER.by_kind)


@dataclasses.dataclass(slots=True)
class Relay:
    """Send a caller's datagram to a sidecar; not frozen, since that makes creation slower."""

    address: view.Address
    forward: messages.Forward


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send a datagram to a caller."""

    caller: view.Address
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Drop a datagram and count it; `reason` is one of a small fixed set."""

    reason: str


@dataclasses.dataclass(slots=True)
class Balancer:
    """The state of a balancer; `address` is its own address towards sidecars."""

    address: view.Address
    randomness: rng.Rng
    gate: fairness.Gate
    view: "view.View"


def make_balancer(
    address: view.Address, randomness: rng.Rng, gate: fairness.Gate | None = None
) -> Balancer:
    """Return a balancer with an empty view."""
    return Balancer(address, randomness, gate or fairness.Gate(fairness.Bounds()), view.EMPTY)


def change_view(balancer: Balancer, newer: view.View) -> bool:
    """Use a view unless it is older than the current one; return whether it is used."""
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
        # The library may raise any exception on malformed input.
        return Drop("malformed")
    # A caller may send any value; one that can't be hashed must not reach the set of kinds.
    if type(kind) is not int or kind not in FROM_CALLER_KINDS:
        return Drop("malformed")
    if type(flow) is not bytes or type(token) is not bytes:
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
    """Return the sidecar that the token names, or the first one to try if that one is gone."""
    if len(data) != view.TOKEN.size:
        return Drop("no_token")
    upstream, _, token_service = view.TOKEN.unpack(data)
    if token_service != view.key_of(service_name):
        # The home checks this too. A token of one service proves nothing about another.
        return Drop("wrong_service")
    home = balancer.view.endpoints.get(upstream)
    if home is not None:
        return home
    service = balancer.view.services.get(service_name)
    if service is None or not service.upstreams:
        return Drop("no_upstream")
    return first_sidecar(balancer, flow, service)


def first_sidecar(balancer: Balancer, flow: bytes, service: view.Service) -> view.Endpoint:
    """Return the sidecar to try first for a flow whose home is gone.

    Most flows are opened at the first upstream of their ranking, or handed over to it while loads
    are unknown. If it is dead, every packet sent there is lost until the list shows it, so some
    packets start at a random upstream.
    """
    candidates = service.accepting or service.upstreams
    if balancer.randomness.random() < RANDOM_START_SHARE:
        return candidates[balancer.randomness.randrange(len(candidates))]
    return ranking.first(flow, candidates)


def route_open(
    balancer: Balancer, caller: view.Address, payload: bytes, items: list, now: int
) -> Relay | Reply | Drop:
    """Route an open to the `attempt`-th upstream of the flow's ranking, so retries differ."""
    if len(payload) < caller_messages.OPEN_BYTES or len(items) != 7:
        # Prevents amplification: an answer must not be larger than the open, whose source address
        # may be forged.
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
    """Return an `OpenRefused` with the time of a retry."""
    if retry_at is None:
        retry_at = now + int(MIN_OPEN_RETRY_MS * (1 + balancer.randomness.random()))
    refusal = caller_messages.OpenRefused(flow, attempt, reason, retry_at)
    return Reply(caller, caller_messages.TO_CALLER.encode(refusal))
