"""Keep a process from using its view after a start or a pause until the view is up to date.

The process asks the platform and several peers at once and takes the highest revision:

- platform down: the answer of one peer that has itself caught up is enough;
- platform answers an older revision than the peers: the peers' revision is taken;
- all peers behind the platform: the platform's revision is taken and distributed;
- no peer answers: the platform's answer is enough once the round has timed out;
- neither answers: the process does not serve, and asks again.
"""

from ebonystile.core.control import gossip_state, membership, probing, watching
from ebonystile.peer import control

MAX_PEERS_ASKED = 3
"""Random peers asked in addition to the seeds."""

MAX_SEEDS_ASKED = 4


def begin_catch_up(state: gossip_state.GossipState, now: int, rounds: int = 0) -> None:
    """Ask the platform and several peers; the view is not used until `finish_catch_up`."""
    catch_up = gossip_state.CatchUp(now + state.limits.catch_up_timeout_ms, rounds=rounds)
    state.catch_up = catch_up
    for stream in state.streams.values():
        stream.next_at = now if not rounds else stream.next_at
    seeds = list(state.seeds)
    addresses = {
        seeds.pop(state.randomness.randrange(len(seeds)))
        for _ in range(min(MAX_SEEDS_ASKED, len(seeds)))
    }
    names = membership.pick_random(state.balancers, MAX_PEERS_ASKED, state.randomness, set())
    addresses.update(state.membership.address_of(name) for name in names)
    addresses.discard(state.membership.own.address)
    for address in sorted(addresses):
        catch_up.pending_answers[probing.send_probe(state, address, "", now)] = address


def on_gossip(state: gossip_state.GossipState, message: control.Gossip) -> None:
    """Count the answer of a peer, unless that peer is itself catching up."""
    catch_up = state.catch_up
    if catch_up is None or catch_up.pending_answers.pop(message.answered_nonce, None) is None:
        return
    if message.caught_up:
        catch_up.peers_answered += 1
    catch_up.highest_digest = catch_up.highest_digest.merge(gossip_state.digest_of(message))


def on_platform(state: gossip_state.GossipState, stream: str, answered: bool) -> None:
    """Record whether the platform answered for a stream."""
    if state.catch_up is not None:
        state.catch_up.platform_answered[stream] = answered


def on_tick(state: gossip_state.GossipState, now: int) -> None:
    """Finish once there are enough answers, or start another round.

    The process keeps waiting while a peer that answered is ahead, since callers may already
    depend on the newer configuration. A peer that dies does not answer the next round, so it
    cannot block the process forever.
    """
    catch_up = state.catch_up
    if catch_up is None:
        return
    by_platform = all(catch_up.platform_answered.get(name) for name in watching.STREAMS)
    waiting = catch_up.pending_answers or len(catch_up.platform_answered) < len(watching.STREAMS)
    timed_out = now >= catch_up.deadline
    if waiting and not timed_out:
        return
    behind = state.configuration.digest.is_behind(catch_up.highest_digest)
    if not behind and (by_platform or catch_up.peers_answered):
        finish_catch_up(state, by_platform)
    elif timed_out:
        if catch_up.rounds == 0:
            reason = "a peer shows more" if behind else "neither the platform nor a peer answers"
            state.trace("catch_up_waiting", reason=reason)
        begin_catch_up(state, now, catch_up.rounds + 1)


def finish_catch_up(state: gossip_state.GossipState, by_platform: bool) -> None:
    """End catch-up; the view is used from now on."""
    digest = state.configuration.digest
    state.trace(
        "caught_up",
        values=digest.values,
        instances=digest.instances,
        platform=by_platform,
        peers=state.catch_up.peers_answered,
    )
    state.catch_up = None
    state.view_changed = True
