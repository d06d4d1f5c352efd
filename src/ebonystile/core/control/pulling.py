"""Pull updates from peers that are ahead, and answer the pulls of others within a budget."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.control import configuration, gossip_state, membership
from ebonystile.peer import control

MAX_PEERS_AHEAD = 8
"""Maximum number of peers recorded as ahead. Any one of them can send what is missing."""

MAX_ALTERNATIVES = 4
"""Other peers named in the refusal of a pull."""

KEY_BYTES = 16
INSTANCE_BYTES = 30
"""Approximate size of a key and of a listed instance in a packed update."""

MAX_DATAGRAM_ESTIMATE_BYTES = 4_000
"""Estimated size (bytes) above which an answer counts as too large for a datagram."""

PULL_OLDER_MS = 5_000
"""Minimum interval between two pulls for the older values of refused documents, in ms."""

WEBSOCKET_TIMEOUT_FACTOR = 5
"""Timeout of a pull over a websocket, as a multiple of that of a datagram."""


def note_peer_ahead(
    state: gossip_state.GossipState, address: view.Address, digest: configuration.Digest, now: int
) -> None:
    """Record a peer that is ahead and schedule a pull; jitter spreads the pulls of the fleet."""
    if not state.configuration.digest.is_behind(digest):
        state.peers_ahead.pop(address, None)
        return
    if len(state.peers_ahead) >= MAX_PEERS_AHEAD and address not in state.peers_ahead:
        return
    if not state.peers_ahead and state.pull is None:
        state.pull_at = now + state.jitter(state.limits.pull_jitter_ms)
    state.peers_ahead[address] = digest


def on_tick(state: gossip_state.GossipState, now: int) -> None:
    """Time out the pull under way and start one that is due."""
    if state.pull is not None and now >= state.pull.deadline:
        drop_pull(state, now)
    if state.pull is not None or now < state.pull_at or not state.peers_ahead:
        return
    own = state.configuration.digest
    for address in [a for a, digest in state.peers_ahead.items() if not own.is_behind(digest)]:
        del state.peers_ahead[address]
    addresses = [a for a, d in state.peers_ahead.items() if state.may_read(d.newest, now)]
    if addresses:
        start_pull(state, addresses[state.randomness.randrange(len(addresses))], now)


def pull_older(state: gossip_state.GossipState, now: int) -> None:
    """Pull the older value of a refused document, which may be in force in other processes."""
    if state.pull is not None or now < state.pull_older_at or not state.configuration.is_incomplete:
        return
    state.pull_older_at = now + PULL_OLDER_MS + state.jitter(PULL_OLDER_MS)
    for name in membership.pick_random(state.balancers, 1, state.randomness, set()):
        start_pull(state, state.membership.address_of(name), now)


def start_pull(state: gossip_state.GossipState, address: view.Address, now: int) -> None:
    """Send a pull; the answer to a first one is large, so it goes over a websocket."""
    request = state.configuration.pull_request()
    pull = control.make_pull(state.new_nonce(), request)
    deadline = now + state.limits.pull_timeout_ms
    if request.digest.values == 0:
        start_fetch(state, address, pull, now)
        return
    state.pull = gossip_state.PendingPull(pull.nonce, address, deadline)
    state.send(address, pull)


def start_fetch(
    state: gossip_state.GossipState, address: view.Address, pull: control.Pull, now: int
) -> None:
    """Send a pull over a websocket."""
    wait_until = now + WEBSOCKET_TIMEOUT_FACTOR * state.limits.pull_timeout_ms
    state.pull = gossip_state.PendingPull(pull.nonce, address, wait_until)
    state.pending.append(gossip_state.Fetch(address, pull, wait_until))


def drop_pull(state: gossip_state.GossipState, now: int) -> None:
    """Drop the pull under way and its peer, and schedule a pull from another peer."""
    state.peers_ahead.pop(state.pull.address, None)
    state.pull = None
    state.pull_at = now + state.jitter(state.limits.pull_jitter_ms)


def on_reply(
    state: gossip_state.GossipState,
    reply: control.UpdateReply,
    update: configuration.Update,
    now: int,
) -> None:
    """Apply an update, even a late one: merging never reverts an entry."""
    revision = max(update.values.complete_revision, update.instances.complete_revision)
    if not state.may_read(revision, now):
        on_failed(state, reply.nonce, now)
        return
    before = state.configuration.digest
    changes = state.configuration.apply(update)
    if changes or state.configuration.digest != before:
        state.note_changes(changes, now)
    state.note_platform_confirmed(reply.platform_confirmed_at, now)
    if state.pull is not None and state.pull.nonce == reply.nonce:
        state.pull = None
        state.pull_at = now


def on_too_large(state: gossip_state.GossipState, nonce: int, now: int) -> None:
    """Repeat the pull over a websocket."""
    if state.pull is not None and state.pull.nonce == nonce:
        pull = control.make_pull(nonce, state.configuration.pull_request())
        start_fetch(state, state.pull.address, pull, now)


def on_failed(state: gossip_state.GossipState, nonce: int, now: int) -> None:
    """Drop the failed pull and schedule one from another peer."""
    if state.pull is not None and state.pull.nonce == nonce:
        drop_pull(state, now)


def on_busy(state: gossip_state.GossipState, busy: control.Busy, now: int) -> None:
    """Drop the pull, and record the alternatives named by the busy peer as ahead as well.

    A process that has just started may have no other peers than its seeds.
    """
    if state.pull is None or state.pull.nonce != busy.nonce:
        return
    digest = state.peers_ahead.get(state.pull.address)
    drop_pull(state, now)
    if digest is not None:
        for address in busy.alternatives:
            note_peer_ahead(state, address, digest, now)


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedAnswer:
    """An answer to a pull, not yet packed; packing may be done in any thread."""

    pull: control.Pull
    caught_up: bool
    platform_confirmed_at: int
    update: configuration.Update


def prepare_answer(
    state: gossip_state.GossipState, pull: control.Pull, now: int
) -> PreparedAnswer | control.Busy:
    """Return the answer to a pull, or a refusal if the budget does not allow it."""
    update = state.configuration.update_for(control.pull_request_of(pull))
    size = estimate_bytes(update)
    if not state.update_budget.take(size, now):
        return make_busy(state, pull, size, now)
    return PreparedAnswer(pull, state.is_caught_up, state.platform_confirmed_at, update)


def estimate_bytes(update: configuration.Update) -> int:
    """Return the approximate packed size of an update; its values are already compressed."""
    values = sum(KEY_BYTES + len(entry.value or b"") for _, entry in update.values.entries)
    names = len(update.values.names or ()) + len(update.instances.names or ())
    return values + INSTANCE_BYTES * len(update.instances.entries) + KEY_BYTES * names


def pack_answer(prepared: PreparedAnswer) -> control.UpdateReply:
    """Return the prepared answer, packed."""
    packed = control.pack_update(prepared.update)
    return control.UpdateReply(
        prepared.pull.nonce, prepared.caught_up, prepared.platform_confirmed_at, packed
    )


def answer_datagram(
    state: gossip_state.GossipState, pull: control.Pull, now: int
) -> control.UpdateReply | control.TooLarge | control.Busy:
    """Return the answer to a pull by datagram, or a refusal: too large, or over the budget."""
    update = state.configuration.update_for(control.pull_request_of(pull))
    if estimate_bytes(update) > MAX_DATAGRAM_ESTIMATE_BYTES:
        return control.TooLarge(pull.nonce)
    reply = pack_answer(
        PreparedAnswer(pull, state.is_caught_up, state.platform_confirmed_at, update)
    )
    if len(reply.update) > control.MAX_DATAGRAM_UPDATE_BYTES:
        return control.TooLarge(pull.nonce)
    if not state.update_budget.take(len(reply.update), now):
        return make_busy(state, pull, len(reply.update), now)
    return reply


def make_busy(
    state: gossip_state.GossipState, pull: control.Pull, size: int, now: int
) -> control.Busy:
    """Return the refusal of a pull, with other peers to ask."""
    names = membership.pick_random(state.balancers, MAX_ALTERNATIVES, state.randomness, set())
    others = (state.membership.address_of(n) for n in names if state.membership.is_usable(n))
    return control.Busy(pull.nonce, state.update_budget.ready_at(size, now), tuple(others))
