"""Distribute the configuration by gossip: `decide(state, event, now)` returns effects.

A few watchers in each zone read the platform; all other processes get changes from peers. Each
gossip message carries the sender's revisions, and a process that is behind pulls from one that is
ahead. A change is pushed at once to a few random balancers. Each balancer also exchanges revisions
with a random peer about once a second, and each sidecar less often. So a change reaches all
processes in a number of rounds that grows with the logarithm of the fleet (Demers et al., "Epidemic
algorithms for replicated database maintenance", 1987). The module uses no clock, socket, thread or
global randomness.
"""

import dataclasses
import functools

from ebonystile.core import budget, rng, view
from ebonystile.core.control import (
    catching_up,
    configuration,
    gossip_state,
    membership,
    probing,
    pulling,
    store,
    watching,
)
from ebonystile.peer import control


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Posted about every 100 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A control message arrived and passed its authentication."""

    address: view.Address
    message: control.Message


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A packet of the data path carried a revision above the known one."""

    address: view.Address
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRead:
    """The platform answered a watch; `more` if there are further parts to read."""

    stream: str
    delta: store.Delta
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFailed:
    """A call to the platform failed or gave no usable answer."""

    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """A pull over a websocket was answered; `update` is already unpacked."""

    reply: control.UpdateReply | control.Busy
    update: configuration.Update | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """A pull over a websocket failed or gave no usable answer."""

    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The process was asked to stop."""


def make_state(
    name: str,
    role: str,
    address: view.Address,
    zone: str,
    seeds: tuple[view.Address, ...],
    limits: gossip_state.Limits,
    randomness: rng.Rng,
    now: int,
) -> gossip_state.GossipState:
    """Return the state of a process that starts at `now`, with catch-up under way."""
    state = gossip_state.GossipState(
        membership.make_membership(name, role, address, zone, now, membership.Limits()),
        configuration.Configuration(),
        limits,
        randomness,
        tuple(seed for seed in seeds if seed != address),
        last_event_at=now,
        started_at=now,
        received_at=now,
        update_budget=budget.Budget(limits.update_bytes_per_s, limits.update_burst_bytes),
        catch_up=gossip_state.CatchUp(deadline=now),
    )
    state.membership.listed = state.configuration.instances.entries
    state.streams = {name: gossip_state.Stream(name) for name in watching.STREAMS}
    catching_up.begin_catch_up(state, now)
    return state


def decide(state: gossip_state.GossipState, event, now: int) -> list[gossip_state.Effect]:
    """Handle one event at time `now` (ms) and return the effects, in order."""
    detect_pause(state, now)
    on_event(event, state, now)
    if state.view_changed and state.is_caught_up:
        state.view_changed = False
        state.pending.append(gossip_state.ViewInForce())
    pending_effects = state.pending
    state.pending = []
    return pending_effects


def detect_pause(state: gossip_state.GossipState, now: int) -> None:
    """Start catch-up after a pause of the process, since its view may be out of date.

    A running process ticks every 100 ms, so a long gap means that it was stopped. Probes and calls
    under way are dropped: their answers may have arrived and been lost during the pause.
    """
    gap = now - state.last_event_at
    state.last_event_at = max(state.last_event_at, now)
    if gap <= state.limits.max_pause_ms:
        return
    state.trace("woke", gap_ms=gap)
    state.probes.clear()
    state.indirect_probes.clear()
    state.peers_ahead.clear()
    state.pull = None
    for stream in state.streams.values():
        stream.call_deadline = 0
    state.received_at = now
    state.pending.append(gossip_state.ViewStale())
    catching_up.begin_catch_up(state, now)


@functools.singledispatch
def on_event(event, state: gossip_state.GossipState, now: int) -> None:
    """Handle one event."""
    raise TypeError(f"no handler for {type(event).__name__}")


@on_event.register
def _(event: Tick, state, now):
    state.refresh_peers(now)
    pulling.on_tick(state, now)
    probing.on_tick(state, now)
    watching.on_tick(state, now)
    catching_up.on_tick(state, now)
    pulling.pull_older(state, now)


@on_event.register
def _(event: Arrived, state, now):
    on_message(event.message, state, event.address, now)


@on_event.register
def _(event: RevisionSeen, state, now):
    pulling.note_peer_ahead(state, event.address, configuration.Digest(event.revision), now)


@on_event.register
def _(event: PlatformRead, state, now):
    may_read = state.may_read(event.delta.complete_revision, now)
    if not may_read or watching.is_new_epoch(state, event.stream, event.delta):
        watching.on_restored(state, event.stream, event.delta, now)
        return
    before = state.configuration.digest
    older = event.delta.complete_revision < watching.known_revision(state, event.stream)
    if event.stream == watching.VALUES:
        keys, refusals = state.configuration.apply_values(event.delta)
        changes = configuration.Changes(tuple(keys), tuple(refusals))
    else:
        names = state.configuration.apply_instances(event.delta)
        changes = configuration.Changes(instances=tuple(names))
    if changes or state.configuration.digest != before:
        state.note_changes(changes, now)
    watching.on_read(state, event.stream, event.delta, event.more, now)
    if not event.more:
        catching_up.on_platform(state, event.stream, answered=not older)


@on_event.register
def _(event: PlatformFailed, state, now):
    watching.on_failed(state, event.stream, now)
    catching_up.on_platform(state, event.stream, answered=False)


@on_event.register
def _(event: Fetched, state, now):
    if event.update is None:
        pulling.on_busy(state, event.reply, now)
    else:
        pulling.on_reply(state, event.reply, event.update, now)


@on_event.register
def _(event: FetchFailed, state, now):
    pulling.on_failed(state, event.nonce, now)


@on_event.register
def _(event: Leave, state, now):
    state.membership.leave()
    probing.push_to_random(state)


@functools.singledispatch
def on_message(message, state: gossip_state.GossipState, address: view.Address, now: int) -> None:
    """Handle one message of another process."""
    raise TypeError(f"no handler for {type(message).__name__}")


@on_message.register
def _(message: control.Gossip, state, address, now):
    probing.on_gossip(state, address, message, now)
    catching_up.on_gossip(state, message)


@on_message.register
def _(message: control.Pull, state, address, now):
    state.send(address, pulling.answer_datagram(state, message, now))


@on_message.register
def _(message: control.UpdateReply, state, address, now):
    pulling.on_reply(state, message, control.unpack_update(message.update), now)


@on_message.register
def _(message: control.TooLarge, state, address, now):
    pulling.on_too_large(state, message.nonce, now)


@on_message.register
def _(message: control.Busy, state, address, now):
    pulling.on_busy(state, message, now)


@on_message.register
def _(message: control.ProbeFor, state, address, now):
    probing.on_probe_for(state, address, message, now)
