"""Keep a process from using its view after a start or a pause until the view is up to date.

The process asks the platform and several peers at once and takes the highest revision:

- platform down: the answer of one peer that has itself caught up is enough;
- platform answers an older revision than the peers: the peers' revision is taken;
- all peers behind the platform: the platform's revision is taken and distributed;
- no peers: the platform's answer is enough once the peers' time to answer is over;
- no answer at all: the process does not serve, and asks again.
"""

from ebonystile.core.control import gossip_state, membership, probing, watching
from ebonystile.peer import control

PEERS_ASKED = 3
"""Random peers asked in addition to the seeds."""

SEEDS_ASKED = 4


def begin(spread: gossip_state.Spread, now: int, rounds: int = 0) -> None:
    """Ask the platform and several peers; the view is not used until `finish`."""
    catch_up = gossip_state.CatchUp(now + spread.limits.start_bound, rounds=rounds)
    spread.catch_up = catch_up
    for stream in spread.streams.values():
        stream.next_at = now if not rounds else stream.next_at
    seeds = list(spread.seeds)
    addresses = {
        seeds.pop(spread.randomness.randrange(len(seeds)))
        for _ in range(min(SEEDS_ASKED, len(seeds)))
    }
    names = membership.pick(spread.balancers, PEERS_ASKED, spread.randomness, set())
    addresses.update(spread.membership.address_of(name) for name in names)
    addresses.discard(spread.membership.own.address)
    for address in sorted(addresses):
        catch_up.asked[probing.ask(spread, address, "", now)] = address


def on_beat(spread: gossip_state.Spread, beat: control.Beat) -> None:
    """Count the answer of a peer, unless that peer is itself catching up."""
    catch_up = spread.catch_up
    if catch_up is None or catch_up.asked.pop(beat.answers, None) is None:
        return
    if beat.caught_up:
        catch_up.peers_answered += 1
    catch_up.highest = catch_up.highest.join(gossip_state.digest_of(beat))


def on_platform(spread: gossip_state.Spread, stream: str, answered: bool) -> None:
    """Record whether the platform answered for a stream."""
    if spread.catch_up is not None:
        spread.catch_up.platform[stream] = answered


def on_tick(spread: gossip_state.Spread, now: int) -> None:
    """Finish once there are enough answers, or start another round.

    The process goes on waiting while a peer that answered is ahead, since callers may already
    depend on the newer configuration. A peer that dies does not answer the next round, so it
    cannot block the process for good.
    """
    catch_up = spread.catch_up
    if catch_up is None:
        return
    by_platform = all(catch_up.platform.get(name) for name in watching.STREAMS)
    waiting = catch_up.asked or len(catch_up.platform) < len(watching.STREAMS)
    late = now >= catch_up.until
    if waiting and not late:
        return
    behind = spread.configuration.digest.behind(catch_up.highest)
    if not behind and (by_platform or catch_up.peers_answered):
        finish(spread, by_platform)
    elif late:
        if catch_up.rounds == 0:
            reason = "a peer shows more" if behind else "neither the platform nor a peer answers"
            spread.trace("catch_up_waiting", reason=reason)
        begin(spread, now, catch_up.rounds + 1)


def finish(spread: gossip_state.Spread, by_platform: bool) -> None:
    """End catch-up; the view is used from now on."""
    digest = spread.configuration.digest
    spread.trace(
        "caught_up",
        values=digest.values,
        instances=digest.instances,
        platform=by_platform,
        peers=spread.catch_up.peers_answered,
    )
    spread.catch_up = None
    spread.changed = True
