"""Pull updates from peers that are ahead, and answer the pulls of others within a budget."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.control import configuration, gossip_state, membership
from ebonystile.peer import control

MAX_AHEAD = 8
"""Peers remembered as ahead."""

OTHERS = 4
"""Other peers named in the refusal of a pull."""

KEY_BYTES = 16
INSTANCE_BYTES = 30
"""Approximate size of a key and of a listed instance in a packed update."""

DATAGRAM_ESTIMATE = 4_000
"""Estimated size (bytes) above which an answer counts as too large for a datagram."""

FILL_MS = 5_000
"""Least time between two pulls for the older values of refused documents, in ms."""

WEBSOCKET_TIMEOUTS = 5
"""Timeout of a pull over a websocket, as a multiple of that of a datagram."""


def note_ahead(
    spread: gossip_state.Spread, address: view.Address, digest: configuration.Digest, now: int
) -> None:
    """Remember a peer that is ahead and schedule a pull; jitter spreads the pulls of the fleet."""
    if not spread.configuration.digest.behind(digest):
        spread.ahead.pop(address, None)
        return
    if len(spread.ahead) >= MAX_AHEAD and address not in spread.ahead:
        return
    if not spread.ahead and spread.pull is None:
        spread.pull_at = now + spread.jitter(spread.limits.pull_jitter)
    spread.ahead[address] = digest


def on_tick(spread: gossip_state.Spread, now: int) -> None:
    """Time out the pull under way and start one that is due."""
    if spread.pull is not None and now >= spread.pull.deadline:
        forget(spread, now)
    if spread.pull is not None or now < spread.pull_at or not spread.ahead:
        return
    own = spread.configuration.digest
    for address in [a for a, digest in spread.ahead.items() if not own.behind(digest)]:
        del spread.ahead[address]
    if spread.ahead:
        addresses = list(spread.ahead)
        start(spread, addresses[spread.randomness.randrange(len(addresses))], now)


def fill_in(spread: gossip_state.Spread, now: int) -> None:
    """Pull the older value of a refused document, which may be in force in other processes."""
    if spread.pull is not None or now < spread.fill_at or not spread.configuration.incomplete:
        return
    spread.fill_at = now + FILL_MS + spread.jitter(FILL_MS)
    for name in membership.pick(spread.balancers, 1, spread.randomness, set()):
        start(spread, spread.membership.address_of(name), now)


def start(spread: gossip_state.Spread, address: view.Address, now: int) -> None:
    """Send a pull; the answer to a first one is large, so it goes over a websocket."""
    wanted = spread.configuration.wanted()
    pull = control.make_pull(spread.new_nonce(), wanted)
    deadline = now + spread.limits.pull_timeout
    if wanted.digest.values == 0:
        fetch(spread, address, pull, now)
        return
    spread.pull = gossip_state.PullUnderWay(pull.nonce, address, deadline)
    spread.send(address, pull)


def fetch(spread: gossip_state.Spread, address: view.Address, pull: control.Pull, now: int) -> None:
    """Send a pull over a websocket."""
    wait_until = now + WEBSOCKET_TIMEOUTS * spread.limits.pull_timeout
    spread.pull = gossip_state.PullUnderWay(pull.nonce, address, wait_until)
    spread.pending.append(gossip_state.Fetch(address, pull, wait_until))


def forget(spread: gossip_state.Spread, now: int) -> None:
    """Drop the pull under way and its peer, and schedule a pull from another peer."""
    spread.ahead.pop(spread.pull.address, None)
    spread.pull = None
    spread.pull_at = now + spread.jitter(spread.limits.pull_jitter)


def on_reply(
    spread: gossip_state.Spread,
    reply: control.UpdateReply,
    update: configuration.Update,
    now: int,
) -> None:
    """Apply an update, even a late one: joining never reverts an entry."""
    before = spread.configuration.digest
    changes = spread.configuration.apply(update)
    if changes or spread.configuration.digest != before:
        spread.note_changes(changes, now)
    spread.note_fresh(reply.fresh_as_of, now)
    if spread.pull is not None and spread.pull.nonce == reply.nonce:
        spread.pull = None
        spread.pull_at = now


def on_too_large(spread: gossip_state.Spread, nonce: int, now: int) -> None:
    """Repeat the pull over a websocket."""
    if spread.pull is not None and spread.pull.nonce == nonce:
        pull = control.make_pull(nonce, spread.configuration.wanted())
        fetch(spread, spread.pull.address, pull, now)


def on_failed(spread: gossip_state.Spread, nonce: int, now: int) -> None:
    """Drop the failed pull and schedule one from another peer."""
    if spread.pull is not None and spread.pull.nonce == nonce:
        forget(spread, now)


def on_busy(spread: gossip_state.Spread, busy: control.Busy, now: int) -> None:
    """Turn to the peers named by a busy one; a starting process may know only its seeds."""
    if spread.pull is None or spread.pull.nonce != busy.nonce:
        return
    digest = spread.ahead.get(spread.pull.address)
    forget(spread, now)
    if digest is not None:
        for address in busy.others:
            note_ahead(spread, address, digest, now)


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """An answer to a pull, not yet packed; packing may be done in any thread."""

    pull: control.Pull
    caught_up: bool
    fresh_as_of: int
    update: configuration.Update


def prepare(spread: gossip_state.Spread, pull: control.Pull, now: int) -> Prepared | control.Busy:
    """Return the answer to a pull, or a refusal if the budget does not allow it."""
    update = spread.configuration.update_for(control.wanted_of(pull))
    size = estimate(update)
    if not spread.update_budget.take(size, now):
        return busy(spread, pull, size, now)
    return Prepared(pull, spread.caught_up, spread.fresh_as_of, update)


def estimate(update: configuration.Update) -> int:
    """Return the approximate packed size of an update; its values are already compressed."""
    values = sum(KEY_BYTES + len(entry.value or b"") for _, entry in update.values.entries)
    names = len(update.values.names or ()) + len(update.instances.names or ())
    return values + INSTANCE_BYTES * len(update.instances.entries) + KEY_BYTES * names


def finish(prepared: Prepared) -> control.UpdateReply:
    """Return the prepared answer, packed."""
    packed = control.pack_update(prepared.update)
    return control.UpdateReply(
        prepared.pull.nonce, prepared.caught_up, prepared.fresh_as_of, packed
    )


def serve(
    spread: gossip_state.Spread, pull: control.Pull, now: int
) -> control.UpdateReply | control.TooLarge | control.Busy:
    """Return the answer to a pull that arrived as a datagram, or a refusal if it does not fit."""
    update = spread.configuration.update_for(control.wanted_of(pull))
    if estimate(update) > DATAGRAM_ESTIMATE:
        return control.TooLarge(pull.nonce)
    reply = finish(Prepared(pull, spread.caught_up, spread.fresh_as_of, update))
    if len(reply.update) > control.DATAGRAM_BYTES:
        return control.TooLarge(pull.nonce)
    if not spread.update_budget.take(len(reply.update), now):
        return busy(spread, pull, len(reply.update), now)
    return reply


def busy(spread: gossip_state.Spread, pull: control.Pull, size: int, now: int) -> control.Busy:
    """Return the refusal of a pull, with other peers to ask."""
    names = membership.pick(spread.balancers, OTHERS, spread.randomness, set())
    others = (spread.membership.address_of(n) for n in names if spread.membership.usable(n))
    return control.Busy(pull.nonce, spread.update_budget.ready_at(size, now), tuple(others))
