"""Distribute the configuration by gossip: `decide(spread, event, now)` returns effects.

A few watchers in each zone read the platform; all other processes learn changes from peers. Each
message between processes carries the sender's revisions, and a process that is behind pulls from
one that is ahead. A change is pushed at once to a few random peers, and each process exchanges
revisions with a random peer about once a second, so that a change reaches all processes in a number
of rounds that grows with the logarithm of the fleet (Demers et al., "Epidemic algorithms for
replicated database maintenance", 1987). The module uses no clock, socket, thread or global
randomness.
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
class Shown:
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
    """A call of the platform failed or gave no usable answer."""

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


def make_spread(
    name: str,
    role: str,
    address: view.Address,
    zone: str,
    seeds: tuple[view.Address, ...],
    limits: gossip_state.Limits,
    randomness: rng.Rng,
    now: int,
) -> gossip_state.Spread:
    """Return the state of a process that starts at `now`, with catch-up under way."""
    spread = gossip_state.Spread(
        membership.make_membership(name, role, address, zone, now, membership.Limits()),
        configuration.Configuration(),
        limits,
        randomness,
        tuple(seed for seed in seeds if seed != address),
        last_at=now,
        started_at=now,
        heard_at=now,
        update_budget=budget.Budget(limits.update_rate, limits.update_burst),
        catch_up=gossip_state.CatchUp(until=now),
    )
    spread.membership.listed = spread.configuration.instances.entries
    spread.streams = {name: gossip_state.Stream(name) for name in watching.STREAMS}
    catching_up.begin(spread, now)
    return spread


def decide(spread: gossip_state.Spread, event, now: int) -> list[gossip_state.Effect]:
    """Handle one event at time `now` (ms) and return the effects, in order."""
    notice_pause(spread, now)
    on_event(event, spread, now)
    if spread.changed and spread.caught_up:
        spread.changed = False
        spread.pending.append(gossip_state.InForce())
    taken = spread.pending
    spread.pending = []
    return taken


def notice_pause(spread: gossip_state.Spread, now: int) -> None:
    """Start catch-up after a pause of the process, since its view may be out of date.

    A running process ticks every 100 ms, so a long gap means that it was stopped. Probes and calls
    under way are dropped: their answers may have arrived and been lost during the pause.
    """
    gap = now - spread.last_at
    spread.last_at = max(spread.last_at, now)
    if gap <= spread.limits.pause_bound:
        return
    spread.trace("woke", gap_ms=gap)
    spread.probes.clear()
    spread.helping.clear()
    spread.ahead.clear()
    spread.pull = None
    for stream in spread.streams.values():
        stream.calling_until = 0
    spread.heard_at = now
    spread.pending.append(gossip_state.FellBehind())
    catching_up.begin(spread, now)


@functools.singledispatch
def on_event(event, spread: gossip_state.Spread, now: int) -> None:
    """Handle one event."""
    raise TypeError(f"no rule for {type(event).__name__}")


@on_event.register
def _(event: Tick, spread, now):
    spread.refresh_roster(now)
    pulling.on_tick(spread, now)
    probing.on_tick(spread, now)
    watching.on_tick(spread, now)
    catching_up.on_tick(spread, now)
    pulling.fill_in(spread, now)


@on_event.register
def _(event: Arrived, spread, now):
    on_message(event.message, spread, event.address, now)


@on_event.register
def _(event: Shown, spread, now):
    pulling.note_ahead(spread, event.address, configuration.Digest(event.revision), now)


@on_event.register
def _(event: PlatformRead, spread, now):
    before = spread.configuration.digest
    older = event.delta.complete < watching.known(spread, event.stream)
    if event.stream == watching.VALUES:
        keys, refusals = spread.configuration.apply_values(event.delta)
        changes = configuration.Changes(tuple(keys), tuple(refusals))
    else:
        names = spread.configuration.apply_instances(event.delta)
        changes = configuration.Changes(instances=tuple(names))
    if changes or spread.configuration.digest != before:
        spread.note_changes(changes, now)
    watching.on_read(spread, event.stream, event.delta, event.more, now)
    if not event.more:
        catching_up.on_platform(spread, event.stream, answered=not older)


@on_event.register
def _(event: PlatformFailed, spread, now):
    watching.on_failed(spread, event.stream, now)
    catching_up.on_platform(spread, event.stream, answered=False)


@on_event.register
def _(event: Fetched, spread, now):
    if event.update is None:
        pulling.on_busy(spread, event.reply, now)
    else:
        pulling.on_reply(spread, event.reply, event.update, now)


@on_event.register
def _(event: FetchFailed, spread, now):
    pulling.on_failed(spread, event.nonce, now)


@on_event.register
def _(event: Leave, spread, now):
    spread.membership.leave()
    probing.tell_random(spread)


@functools.singledispatch
def on_message(message, spread: gossip_state.Spread, address: view.Address, now: int) -> None:
    """Handle one message of another process."""
    raise TypeError(f"no rule for {type(message).__name__}")


@on_message.register
def _(message: control.Beat, spread, address, now):
    probing.on_beat(spread, address, message, now)
    catching_up.on_beat(spread, message)


@on_message.register
def _(message: control.Pull, spread, address, now):
    spread.send(address, pulling.serve(spread, message, now))


@on_message.register
def _(message: control.UpdateReply, spread, address, now):
    pulling.on_reply(spread, message, control.unpack_update(message.update), now)


@on_message.register
def _(message: control.TooLarge, spread, address, now):
    pulling.on_too_large(spread, message.nonce, now)


@on_message.register
def _(message: control.Busy, spread, address, now):
    pulling.on_busy(spread, message, now)


@on_message.register
def _(message: control.ProbeFor, spread, address, now):
    probing.on_probe_for(spread, address, message, now)
