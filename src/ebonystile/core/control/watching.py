"""Choose the processes that watch the platform, and schedule their calls.

The watchers of a zone are chosen by rendezvous hashing of its known balancers with a slowly
changing epoch. There is no election; where two processes disagree, both watch, which is harmless.
Every beat carries the time of the platform's last confirmation (`fresh_as_of`). As it grows old,
more processes become watchers, by rank and with jitter: twice as many every `stale` ms, up to a
bound. This replaces watchers that are dead, stalled or partitioned, without a storm of calls during
an outage of the platform.
"""

import math

import xxhash

from ebonystile.core.control import gossip_state, store

VALUES, INSTANCES = "values", "instances"
STREAMS = (VALUES, INSTANCES)


def rank_of_self(spread: gossip_state.Spread, now: int) -> int:
    """Return the number of balancers of the zone that rank above this process in this epoch."""
    if now < spread.rank_at:
        return spread.rank
    epoch = now // spread.limits.epoch
    spread.rank_at = min(now + gossip_state.ROSTER_MS, (epoch + 1) * spread.limits.epoch)
    own_weight = weight(spread.membership.own.name, epoch)
    spread.rank = sum(
        weight(name, epoch) > own_weight
        for name in spread.zone_mates
        if spread.membership.usable(name)
    )
    return spread.rank


def weight(name: str, epoch: int) -> int:
    """Return the hash weight of a process in an epoch."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=epoch)


def may_watch(spread: gossip_state.Spread) -> bool:
    """Return whether this process may be a watcher: sidecars only if no balancer is known."""
    return spread.is_balancer or not spread.balancers


def on_tick(spread: gossip_state.Spread, now: int) -> None:
    """Time out old calls and start those that are due."""
    for stream in spread.streams.values():
        if stream.calling_until and now >= stream.calling_until:
            # The shell reported no result in time: a stalled executor must not stop all calls.
            on_failed(spread, stream.name, now)
    wait = duty(spread, now)
    if wait is None:
        return
    answered = spread.catch_up.platform if spread.catch_up is not None else {}
    for stream in spread.streams.values():
        if answered.get(stream.name):
            continue
        if not stream.calling_until and now >= stream.next_at:
            call(spread, stream, wait, now)


def duty(spread: gossip_state.Spread, now: int) -> int | None:
    """Return how long calls by this process should wait for changes (ms), or None for no calls."""
    limits = spread.limits
    if spread.catch_up is not None:
        return 0
    stale_for = now - spread.fresh_as_of - limits.stale
    if may_watch(spread):
        rank = rank_of_self(spread, now)
        if rank < limits.watchers:
            return limits.watch
        if now < spread.promoted_until:
            return limits.watch
        if now - max(spread.others_fresh, spread.started_at) > patience(spread, rank):
            spread.promoted_until = now + limits.promotion + spread.jitter(limits.promotion)
            spread.trace("watch_taken_over", rank=rank, stale_ms=now - spread.others_fresh)
            return limits.watch
        if now - spread.heard_at > limits.stale:
            return limits.solo_wait
    if stale_for > 0 and now >= spread.solo_at:
        if spread.solo_at:
            spread.solo_at = now + solo_gap(spread) + spread.jitter(limits.solo_gap)
            return 0
        spread.solo_at = now + spread.jitter(solo_gap(spread))
    return None


def patience(spread: gossip_state.Spread, rank: int) -> float:
    """Return the age of the last confirmation (ms) at which a process of this rank takes over."""
    limits = spread.limits
    if rank >= limits.watchers_most:
        return math.inf
    return limits.stale * (1 + math.log2(1 + (rank - limits.watchers) / limits.watchers))


def solo_gap(spread: gossip_state.Spread) -> int:
    """Return the least interval of one process's calls (ms) that keeps to the fleet's rate."""
    fleet = len(spread.balancers) + len(spread.sidecars) + 1
    return max(spread.limits.solo_gap, fleet * 1000 // spread.limits.solo_rate)


def call(spread: gossip_state.Spread, stream: gossip_state.Stream, wait: int, now: int) -> None:
    """Ask the platform for the changes after the known revision."""
    stream.called_at = now
    stream.calling_until = now + wait + spread.limits.call_margin
    spread.pending.append(
        gossip_state.WatchPlatform(stream.name, known(spread, stream.name), now + wait)
    )


def known(spread: gossip_state.Spread, name: str) -> int:
    """Return the revision up to which the stream is complete."""
    digest = spread.configuration.digest
    return digest.values if name == VALUES else digest.instances


def on_read(
    spread: gossip_state.Spread, name: str, delta: store.Delta, more: bool, now: int
) -> None:
    """Handle an answer; one of a revision below the known one counts as a failure.

    It comes from a replica that lags. Counted as a success, it would confirm the configuration
    although no watcher can read the newer values.
    """
    stream = spread.streams[name]
    if delta.complete < known(spread, name):
        spread.trace("platform_older", stream=name, shown=delta.complete)
        on_failed(spread, name, now)
        return
    stream.calling_until = 0
    stream.failures = 0
    gap = spread.limits.call_gap if name == VALUES else spread.limits.instances_gap
    stream.next_at = now if more else max(now, stream.called_at + gap)
    if more:
        return
    stream.confirmed_at = now
    confirmed = min(s.confirmed_at for s in spread.streams.values())
    spread.own_fresh = max(spread.own_fresh, confirmed)
    spread.fresh_as_of = max(spread.fresh_as_of, confirmed)


def on_failed(spread: gossip_state.Spread, name: str, now: int) -> None:
    """Delay the next call by exponential backoff with jitter."""
    limits = spread.limits
    stream = spread.streams[name]
    stream.calling_until = 0
    pause = min(limits.backoff_most, limits.backoff_least << min(stream.failures, 10))
    stream.failures += 1
    stream.next_at = now + pause // 2 + spread.jitter(pause)
