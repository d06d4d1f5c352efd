"""Exchange revisions and membership with random peers, and detect peers that do not answer."""

from ebonystile.core import view
from ebonystile.core.control import gossip_state, membership, pulling
from ebonystile.peer import control

INDIRECT_PROBERS = 3
"""Peers asked to probe one that does not answer."""

ANY_PEER_SHARE = 0.2
"""Share of exchanges that may go to dead peers, by which the fleet rejoins after a partition."""

OTHER_ROLE_SHARE = 0.125
"""Share of a balancer's exchanges that go to sidecars."""

SEED_SHARE = 0.05
"""Share of exchanges with the configured seeds, which reconnect the fleet after long partitions."""

SIDECAR_INTERVAL_FACTOR = 4
"""Multiple of the exchange interval for sidecars: they are many and no source of newer state."""

PRUNE_INTERVAL_MS = 2_000
MAX_INDIRECT_PROBES = 256
MAX_GENERATION = 1 << 63


def on_tick(state: gossip_state.GossipState, now: int) -> None:
    """Do what is due: time out probes, exchange, push a change, prune the membership."""
    for nonce, probe in list(state.probes.items()):
        if now >= probe.deadline:
            on_probe_timeout(state, nonce, probe, now)
    if now >= state.exchange_at:
        span = state.limits.exchange_ms * (1 if state.is_balancer else SIDECAR_INTERVAL_FACTOR)
        state.exchange_at = now + span // 2 + state.jitter(span)
        probe_random(state, now)
    if state.push_at and now >= state.push_at and state.is_caught_up:
        state.push_at = 0
        state.pushed_at = now
        push_to_random(state)
    if now >= state.prune_at:
        state.prune_at = now + PRUNE_INTERVAL_MS
        state.note_members(state.membership.prune(now))
        for name in [n for n, (_, until) in state.indirect_probes.items() if now >= until]:
            del state.indirect_probes[name]


def probe_random(state: gossip_state.GossipState, now: int) -> None:
    """Send a gossip message to one random peer and request a reply."""
    name = choose_peer(state)
    if name is None:
        if state.seeds:
            send_probe(state, state.seeds[state.randomness.randrange(len(state.seeds))], "", now)
        return
    address = state.membership.address_of(name)
    if address is not None:
        send_probe(state, address, name, now)


def choose_peer(state: gossip_state.GossipState) -> str | None:
    """Return the name of a random peer, or None for one of the seeds."""
    draw = state.randomness.random()
    names = state.balancers or state.sidecars
    if state.is_balancer and state.sidecars and draw < OTHER_ROLE_SHARE:
        names = state.sidecars
    if state.seeds and draw > 1 - SEED_SHARE:
        return None
    any_peer = state.randomness.random() < ANY_PEER_SHARE
    for _ in range(8):
        if not names:
            break
        name = names[state.randomness.randrange(len(names))]
        if any_peer or state.membership.is_usable(name):
            return name
    return None


def send_probe(state: gossip_state.GossipState, address: view.Address, name: str, now: int) -> int:
    """Send a gossip message that requests a reply; a peer with a `name` must send one in time.

    Without a reply it is probed indirectly, and then suspected. Return the nonce of the probe.
    """
    nonce = state.new_nonce()
    if name:
        state.probes[nonce] = gossip_state.Probe(name, now + state.limits.answer_timeout_ms)
    first = newer_statement(state, name, MAX_GENERATION)
    state.send(address, state.make_gossip(nonce=nonce, first=first))
    return nonce


def newer_statement(
    state: gossip_state.GossipState, name: str, generation: int
) -> membership.Statement | None:
    """Return the statement on a process if it overrides that of the process itself, else None.

    A suspected process must receive it to refute the suspicion, and a process whose name was taken
    by another one during a pause must receive it to yield.
    """
    statement = state.membership.statement_of(name)
    if statement is None:
        return None
    is_suspected = statement.state >= membership.MemberState.SUSPECT
    return statement if is_suspected or statement.generation > generation else None


def push_to_random(state: gossip_state.GossipState) -> None:
    """Push this process's revisions to a few random balancers, which pull what they lack."""
    for name in pick_usable(state, state.limits.fanout, ""):
        state.send(state.membership.address_of(name), state.make_gossip())


def pick_usable(state: gossip_state.GossipState, count: int, excluded: str) -> list[str]:
    """Return up to `count` random balancers that are usable."""
    names = membership.pick_random(state.balancers, 2 * count, state.randomness, {excluded})
    return [name for name in names if state.membership.is_usable(name)][:count]


def on_probe_timeout(
    state: gossip_state.GossipState, nonce: int, probe: gossip_state.Probe, now: int
):
    """Have other peers probe one that did not answer; suspect it if they got no answer either."""
    del state.probes[nonce]
    if probe.indirect:
        if state.membership.suspect(probe.name, now):
            state.trace("suspected", member=probe.name)
            state.note_members([probe.name])
        return
    address = state.membership.address_of(probe.name)
    if address is None or not state.membership.is_usable(probe.name):
        return
    deadline = now + 3 * state.limits.answer_timeout_ms
    state.probes[nonce] = gossip_state.Probe(probe.name, deadline, indirect=True)
    for name in pick_usable(state, INDIRECT_PROBERS, probe.name):
        request = control.ProbeFor(probe.name, address)
        state.send(state.membership.address_of(name), request)


def on_probe_for(
    state: gossip_state.GossipState, asker: view.Address, message: control.ProbeFor, now: int
) -> None:
    """Probe a process on behalf of another, which is sent the answer."""
    if len(state.indirect_probes) >= MAX_INDIRECT_PROBES:
        return
    state.indirect_probes[message.name] = (asker, now + 2 * state.limits.answer_timeout_ms)
    state.send(message.address, state.make_gossip(nonce=state.new_nonce()))


def on_gossip(
    state: gossip_state.GossipState, address: view.Address, message: control.Gossip, now: int
) -> None:
    """Apply a peer's statements on itself and others, and reply if it requests that."""
    sender = control.unpack_statement(message.sender)
    items = [control.unpack_statement(item) for item in message.updates]
    own_before = state.membership.own
    superseded_before = state.membership.is_superseded
    changed = [item.name for item in items if state.membership.apply_statement(item, now)]
    if sender.name != own_before.name and state.membership.receive_statement(sender, now):
        changed.append(sender.name)
    state.note_members(n for n in changed if n != own_before.name)
    if state.membership.own is not own_before:
        state.trace("suspicion_refuted", generation=state.membership.own.generation)
        state.send(address, state.make_gossip())
    if state.membership.is_superseded and not superseded_before:
        state.trace("superseded", member=own_before.name)
    settle_probes(state, message, sender, items)
    state.received_at = now
    state.note_platform_confirmed(message.platform_confirmed_at, now)
    pulling.note_peer_ahead(state, address, gossip_state.digest_of(message), now)
    if message.nonce:
        first = newer_statement(state, sender.name, sender.generation)
        state.send(address, state.make_gossip(answered_nonce=message.nonce, first=first))


def settle_probes(
    state: gossip_state.GossipState,
    message: control.Gossip,
    sender: membership.Statement,
    items: list[membership.Statement],
) -> None:
    """End the probes that this message answers; relay the answer to an indirect probe."""
    state.probes.pop(message.answered_nonce, None)
    alive = {item.name for item in items if item.state < membership.MemberState.SUSPECT}
    alive.add(sender.name)
    for nonce in [n for n, p in state.probes.items() if p.indirect and p.name in alive]:
        del state.probes[nonce]
    asker = state.indirect_probes.pop(sender.name, None)
    if asker is not None:
        state.send(asker[0], state.make_gossip(first=sender))
