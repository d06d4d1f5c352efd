"""Choose the processes that watch the platform, and schedule their calls.

The watchers of a zone are chosen by rendezvous hashing of its known balancers with a slowly
changing epoch. There is no election; where two processes disagree, both watch, which is harmless.
Every gossip message carries the time of the platform's last confirmation. As it grows old, further
balancers become watchers in the order of their ranks: twice as many every `stale_after_ms`, up to a
bound. This replaces watchers that are dead, stalled or partitioned, without a storm of calls during
an outage of the platform.
"""

import math

import xxhash

from ebonystile.core import positions
from ebonystile.core.control import gossip_state, store

VALUES, INSTANCES = "values", "instances"
STREAMS = (VALUES, INSTANCES)


def own_rank(state: gossip_state.GossipState, now: int) -> int:
    """Return the number of balancers of the zone that rank above this process in this epoch."""
    if now < state.rank_expires_at:
        return state.rank
    epoch = now // state.limits.epoch_ms
    state.rank_expires_at = min(
        now + gossip_state.PEERS_REFRESH_MS, (epoch + 1) * state.limits.epoch_ms
    )
    own_weight = weight(state.membership.own.name, epoch)
    state.rank = sum(
        weight(name, epoch) > own_weight
        for name in state.zone_peers
        if state.membership.is_usable(name)
    )
    return state.rank


def weight(name: str, epoch: int) -> int:
    """Return the hash weight of a process in an epoch."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=epoch)


def can_watch(state: gossip_state.GossipState) -> bool:
    """Return whether this process may be a watcher: sidecars only if no balancer is known."""
    return state.is_balancer or not state.balancers


def on_tick(state: gossip_state.GossipState, now: int) -> None:
    """Time out old calls and start those that are due."""
    for stream in state.streams.values():
        if stream.call_deadline and now >= stream.call_deadline:
            # The shell reported no result in time: a stalled executor must not stop all calls.
            on_failed(state, stream.name, now)
    wait = watch_duration_ms(state, now)
    if wait is None:
        return
    answered = state.catch_up.platform_answered if state.catch_up is not None else {}
    for stream in state.streams.values():
        if answered.get(stream.name):
            continue
        if not stream.call_deadline and now >= stream.next_at:
            start_call(state, stream, wait, now)


def watch_duration_ms(state: gossip_state.GossipState, now: int) -> int | None:
    """Return how long calls by this process should wait for changes (ms), or None for no calls.

    A process that is no watcher makes single calls at a low rate while the confirmation is old, and
    long watches if it receives nothing from any peer.
    """
    limits = state.limits
    if state.catch_up is not None:
        return 0
    stale_for = now - state.platform_confirmed_at - limits.stale_after_ms
    if can_watch(state):
        rank = own_rank(state, now)
        if rank < limits.watchers:
            return limits.watch_ms
        if now < state.promoted_until:
            return limits.watch_ms
        if now - max(state.peers_confirmed_at, state.started_at) > takeover_age_ms(state, rank):
            state.promoted_until = now + limits.promotion_ms + state.jitter(limits.promotion_ms)
            state.trace("watch_taken_over", rank=rank, stale_ms=now - state.peers_confirmed_at)
            return limits.watch_ms
        if now - state.received_at > limits.stale_after_ms:
            return limits.solo_watch_ms
    if stale_for > 0 and now >= state.solo_call_at:
        if state.solo_call_at:
            state.solo_call_at = now + solo_interval_ms(state) + state.jitter(limits.solo_gap_ms)
            return 0
        state.solo_call_at = now + state.jitter(solo_interval_ms(state))
    return None


def takeover_age_ms(state: gossip_state.GossipState, rank: int) -> float:
    """Return the age of the last confirmation (ms) at which a process of this rank takes over."""
    limits = state.limits
    if rank >= limits.max_watchers:
        return math.inf
    return limits.stale_after_ms * (1 + math.log2(1 + (rank - limits.watchers) / limits.watchers))


def solo_interval_ms(state: gossip_state.GossipState) -> int:
    """Return the minimum interval between one process's calls (ms) that keeps the fleet's rate."""
    fleet = len(state.balancers) + len(state.sidecars) + 1
    return max(state.limits.solo_gap_ms, fleet * 1000 // state.limits.max_solo_calls_per_s)


def start_call(
    state: gossip_state.GossipState, stream: gossip_state.Stream, wait: int, now: int
) -> None:
    """Ask the platform for the changes after the known revision, or for all if it was restored."""
    stream.called_at = now
    stream.wait_until = now + wait
    stream.call_deadline = stream.wait_until + state.limits.call_margin_ms
    after = 0 if stream.is_restored else known_revision(state, stream.name)
    state.pending.append(
        gossip_state.WatchPlatform(stream.name, after, stream.wait_until, whole=stream.is_restored)
    )


def known_revision(state: gossip_state.GossipState, name: str) -> int:
    """Return the revision up to which the stream is complete."""
    digest = state.configuration.digest
    return digest.values if name == VALUES else digest.instances


def is_new_epoch(state: gossip_state.GossipState, name: str, delta: store.Delta) -> bool:
    """Return whether a partial answer is of a later epoch than what is known of the stream."""
    known = known_revision(state, name)
    later = positions.epoch_of(delta.complete_revision) > positions.epoch_of(known)
    return bool(known) and later and delta.names is None


def on_restored(state: gossip_state.GossipState, name: str, delta: store.Delta, now: int) -> None:
    """Schedule a call for the whole stream, after the grace period of the new epoch."""
    stream = state.streams[name]
    stream.call_deadline = 0
    stream.failures = 0
    stream.is_restored = True
    due = now if state.may_read(delta.complete_revision, now) else state.new_epoch_at
    stream.next_at = due


def on_read(
    state: gossip_state.GossipState, name: str, delta: store.Delta, more: bool, now: int
) -> None:
    """Handle an answer; one of a revision below the known one counts as a failure.

    It comes from a replica that lags. Counted as a success, it would confirm the configuration
    although no watcher can read the newer values.
    """
    stream = state.streams[name]
    if delta.complete_revision < known_revision(state, name):
        state.trace("platform_older", stream=name, shown=delta.complete_revision)
        on_failed(state, name, now)
        return
    stream.call_deadline = 0
    stream.failures = 0
    stream.is_restored = False
    gap = state.limits.call_gap_ms if name == VALUES else state.limits.instances_gap_ms
    stream.next_at = now if more else max(now, stream.called_at + gap)
    if more:
        return
    stream.confirmed_at = answered_as_of(stream, delta, now)
    confirmed = min(s.confirmed_at for s in state.streams.values())
    state.own_confirmed_at = max(state.own_confirmed_at, confirmed)
    state.platform_confirmed_at = max(state.platform_confirmed_at, confirmed)


def answered_as_of(stream: gossip_state.Stream, delta: store.Delta, now: int) -> int:
    """Return the time in ms as of which an answer surely shows what the platform held.

    It may have been under way for as long as the call's margin: a watch that ended without changes
    was answered when its wait was over, any other call no earlier than it was made.
    """
    has_waited = not delta.entries and now >= stream.wait_until
    return stream.wait_until if has_waited else stream.called_at


def on_failed(state: gossip_state.GossipState, name: str, now: int) -> None:
    """Delay the next call by exponential backoff with jitter."""
    limits = state.limits
    stream = state.streams[name]
    stream.call_deadline = 0
    pause = min(limits.max_backoff_ms, limits.min_backoff_ms << min(stream.failures, 10))
    stream.failures += 1
    stream.next_at = now + pause // 2 + state.jitter(pause)
