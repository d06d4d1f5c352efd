"""Exchange revisions and membership with random peers, and detect peers that do not answer."""

from ebonystile.core import view
from ebonystile.core.control import gossip_state, membership, pulling
from ebonystile.peer import control

HELPERS = 3
"""Peers asked to probe one that does not answer."""

ANYONE_SHARE = 0.2
"""Share of exchanges that may go to peers counted as dead, so that a healed partition rejoins."""

OTHER_ROLE_SHARE = 0.125
"""Share of a balancer's exchanges that go to sidecars."""

SEEDS_SHARE = 0.05
"""Share of exchanges with the configured seeds, which reconnect the fleet after long partitions."""

SIDECAR_FACTOR = 4
"""Multiple of the exchange interval for sidecars: they are many and no source of newer state."""

PRUNE_MS = 2_000
MAX_HELPING = 256
MAX_GENERATION = 1 << 63


def on_tick(spread: gossip_state.Spread, now: int) -> None:
    """Do what is due: time out probes, exchange, push a change, prune the membership."""
    for nonce, probe in list(spread.probes.items()):
        if now >= probe.deadline:
            on_silence(spread, nonce, probe, now)
    if now >= spread.exchange_at:
        span = spread.limits.exchange * (1 if spread.is_balancer else SIDECAR_FACTOR)
        spread.exchange_at = now + span // 2 + spread.jitter(span)
        ask_random(spread, now)
    if spread.rumour_at and now >= spread.rumour_at and spread.caught_up:
        spread.rumour_at = 0
        spread.told_at = now
        tell_random(spread)
    if now >= spread.prune_at:
        spread.prune_at = now + PRUNE_MS
        spread.note_members(spread.membership.prune(now))
        for name in [n for n, (_, until) in spread.helping.items() if now >= until]:
            del spread.helping[name]


def ask_random(spread: gossip_state.Spread, now: int) -> None:
    """Send a beat to one random peer and ask for its beat."""
    name = choose(spread)
    if name is None:
        if spread.seeds:
            ask(spread, spread.seeds[spread.randomness.randrange(len(spread.seeds))], "", now)
        return
    address = spread.membership.address_of(name)
    if address is not None:
        ask(spread, address, name, now)


def choose(spread: gossip_state.Spread) -> str | None:
    """Return the name of a random peer, or None for one of the seeds."""
    draw = spread.randomness.random()
    names = spread.balancers or spread.sidecars
    if spread.is_balancer and spread.sidecars and draw < OTHER_ROLE_SHARE:
        names = spread.sidecars
    if spread.seeds and draw > 1 - SEEDS_SHARE:
        return None
    anyone = spread.randomness.random() < ANYONE_SHARE
    for _ in range(8):
        if not names:
            break
        name = names[spread.randomness.randrange(len(names))]
        if anyone or spread.membership.usable(name):
            return name
    return None


def ask(spread: gossip_state.Spread, address: view.Address, name: str, now: int) -> int:
    """Send a beat that asks for one; with a `name`, a peer that does not answer is suspected."""
    nonce = spread.new_nonce()
    if name:
        spread.probes[nonce] = gossip_state.Probe(name, now + spread.limits.answer)
    first = newer_word(spread, name, MAX_GENERATION)
    spread.send(address, spread.beat(nonce=nonce, first=first))
    return nonce


def newer_word(
    spread: gossip_state.Spread, name: str, generation: int
) -> membership.Statement | None:
    """Return the statement on a process if it overrides that of the process itself, else None.

    A suspected process must receive it to refute the suspicion, and a process whose name was taken
    by another one during a pause must receive it to yield.
    """
    statement = spread.membership.statement_of(name)
    if statement is None:
        return None
    accused = statement.state >= membership.State.SUSPECT
    return statement if accused or statement.generation > generation else None


def tell_random(spread: gossip_state.Spread) -> None:
    """Push this process's revisions to a few random balancers, which pull what they lack."""
    for name in pick_usable(spread, spread.limits.fanout, ""):
        spread.send(spread.membership.address_of(name), spread.beat())


def pick_usable(spread: gossip_state.Spread, count: int, banned: str) -> list[str]:
    """Return up to `count` random balancers that are usable."""
    names = membership.pick(spread.balancers, 2 * count, spread.randomness, {banned})
    return [name for name in names if spread.membership.usable(name)][:count]


def on_silence(spread: gossip_state.Spread, nonce: int, probe: gossip_state.Probe, now: int):
    """Have other peers probe one that did not answer; suspect it if they got no answer either."""
    del spread.probes[nonce]
    if probe.indirect:
        if spread.membership.suspect(probe.name, now):
            spread.trace("suspected", member=probe.name)
            spread.note_members([probe.name])
        return
    address = spread.membership.address_of(probe.name)
    if address is None or not spread.membership.usable(probe.name):
        return
    deadline = now + 3 * spread.limits.answer
    spread.probes[nonce] = gossip_state.Probe(probe.name, deadline, indirect=True)
    for name in pick_usable(spread, HELPERS, probe.name):
        question = control.ProbeFor(probe.name, address)
        spread.send(spread.membership.address_of(name), question)


def on_probe_for(
    spread: gossip_state.Spread, asker: view.Address, message: control.ProbeFor, now: int
) -> None:
    """Probe a process on behalf of another, which is sent the answer."""
    if len(spread.helping) >= MAX_HELPING:
        return
    spread.helping[message.name] = (asker, now + 2 * spread.limits.answer)
    spread.send(message.address, spread.beat(nonce=spread.new_nonce()))


def on_beat(
    spread: gossip_state.Spread, address: view.Address, beat: control.Beat, now: int
) -> None:
    """Apply a peer's statements on itself and others, and answer if it asks for a beat."""
    sender = control.unpack_statement(beat.sender)
    items = [control.unpack_statement(item) for item in beat.news]
    own_before = spread.membership.own
    superseded_before = spread.membership.superseded
    changed = [item.name for item in items if spread.membership.learn(item, now)]
    if sender.name != own_before.name and spread.membership.hear(sender, now):
        changed.append(sender.name)
    spread.note_members(n for n in changed if n != own_before.name)
    if spread.membership.own is not own_before:
        spread.trace("suspicion_refuted", generation=spread.membership.own.generation)
        spread.send(address, spread.beat())
    if spread.membership.superseded and not superseded_before:
        spread.trace("superseded", member=own_before.name)
    settle(spread, beat, sender, items)
    spread.heard_at = now
    spread.note_fresh(beat.fresh_as_of, now)
    pulling.note_ahead(spread, address, gossip_state.digest_of(beat), now)
    if beat.nonce:
        first = newer_word(spread, sender.name, sender.generation)
        spread.send(address, spread.beat(answers=beat.nonce, first=first))


def settle(
    spread: gossip_state.Spread,
    beat: control.Beat,
    sender: membership.Statement,
    items: list[membership.Statement],
) -> None:
    """End the probes that this beat answers, and relay it to a process that asked for the probe."""
    spread.probes.pop(beat.answers, None)
    alive = {item.name for item in items if item.state < membership.State.SUSPECT}
    alive.add(sender.name)
    for nonce in [n for n, p in spread.probes.items() if p.indirect and p.name in alive]:
        del spread.probes[nonce]
    helped = spread.helping.pop(sender.name, None)
    if helped is not None:
        spread.send(helped[0], spread.beat(first=sender))
