"""The state of configuration distribution, and the operations that its modules share.

The modules `watching`, `pulling`, `probing` and `catching_up` change this state and append effects;
`gossip.decide` is the only entry point from outside.
"""

import dataclasses
import typing

from ebonystile.core import budget, positions, rng, view
from ebonystile.core.calls import effects
from ebonystile.core.control import configuration, membership
from ebonystile.peer import control

MAX_SKEW_MS = 1_000
"""Maximum clock difference between instances that is tolerated, in ms.

A confirmation time from a peer is capped at the own time plus this bound: a watcher whose clock
runs ahead would otherwise seem to confirm the configuration long after it has died, and no other
process would take over.
"""

PEERS_REFRESH_MS = 5_000
"""Minimum interval between two rebuilds of the lists of peers, in ms."""

RESTORED_GRACE_MS = 2_500
"""How long a new epoch of the platform is not read, in ms. The platform was restored from an older
copy, and what the copy lacks is written again meanwhile; a process that read the copy at once would
go back to older documents."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The parameters of gossip and of the calls to the platform.

    exchange_ms: interval of the exchange with a random peer.
    answer_timeout_ms: time after which a peer counts as not answering.
    fanout: peers to which a change is pushed.
    push_gap_ms, list_push_gap_ms: minimum interval between two pushes, the latter if only the list
    of instances has changed.
    pull_jitter_ms, pull_timeout_ms: largest delay before a pull, and its timeout.
    watch_ms, call_margin_ms: duration of one watch of the platform, and the extra time of its call.
    call_gap_ms, instances_gap_ms: minimum interval between reads of the values, and of the list.
    min_backoff_ms, max_backoff_ms: pause after a failed call, doubled with each further failure.
    stale_after_ms: age of the platform's last confirmation at which further processes watch it.
    promotion_ms: how long such a process stays a watcher.
    watchers, max_watchers: watchers per zone, normally and while the confirmation is old.
    epoch_ms: how long a choice of watchers lasts.
    solo_watch_ms: duration of a watch by a process that receives nothing from any peer.
    solo_gap_ms, max_solo_calls_per_s: minimum interval between the calls of a process that is no
    watcher while the confirmation is old, and the maximum rate of such calls in the whole fleet.
    catch_up_timeout_ms: timeout of one catch-up round.
    max_pause_ms: a longer gap between two events means that the process was paused.
    update_bytes_per_s, update_burst_bytes: limits on the updates sent, per second and in a burst.
    """

    exchange_ms: int = 1_000
    answer_timeout_ms: int = 700
    fanout: int = 4
    push_gap_ms: int = 1_000
    list_push_gap_ms: int = 3_000
    pull_jitter_ms: int = 100
    pull_timeout_ms: int = 1_000
    watch_ms: int = 2_000
    call_gap_ms: int = 500
    instances_gap_ms: int = 2_000
    call_margin_ms: int = 3_000
    min_backoff_ms: int = 500
    max_backoff_ms: int = 15_000
    stale_after_ms: int = 6_500
    promotion_ms: int = 60_000
    watchers: int = 2
    max_watchers: int = 8
    epoch_ms: int = 600_000
    solo_watch_ms: int = 30_000
    solo_gap_ms: int = 60_000
    max_solo_calls_per_s: int = 50
    catch_up_timeout_ms: int = 4_000
    max_pause_ms: int = 2_000
    update_bytes_per_s: int = 3_000
    update_burst_bytes: int = 4_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a process as a sealed datagram."""

    address: view.Address
    message: control.Message


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Ask the platform for the changes after a revision; it may wait for one until `wait_until`.

    If `whole`, all pages are read, for a snapshot.
    """

    stream: str
    after: int
    wait_until: int
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Send a pull to a process over a websocket and post its answer as an event."""

    address: view.Address
    pull: control.Pull
    wait_until: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewInForce:
    """Use the configuration's current view: it has changed, or was confirmed after a pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewStale:
    """Stop using the view until the next `ViewInForce`: it may be out of date."""


Effect = SendMessage | WatchPlatform | Fetch | ViewInForce | ViewStale | effects.Trace


@dataclasses.dataclass(slots=True)
class Stream:
    """The calls for one of the platform's two streams; at most one runs at a time.

    `confirmed_at` is the time as of which the platform last showed a revision not below the known
    one. The call waits for a change until `wait_until`. If `is_restored`, the next call reads the
    whole stream, as the platform was restored.
    """

    name: str
    call_deadline: int = 0
    called_at: int = 0
    wait_until: int = 0
    next_at: int = 0
    failures: int = 0
    confirmed_at: int = 0
    is_restored: bool = False


@dataclasses.dataclass(slots=True)
class PendingPull:
    """The pull that has been sent and not yet answered."""

    nonce: int
    address: view.Address
    deadline: int


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe of the peer `name`, sent directly or by way of other processes (`indirect`)."""

    name: str
    deadline: int
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class CatchUp:
    """The answers that a process collects after a start or a pause before it uses its view."""

    deadline: int
    pending_answers: dict[int, view.Address] = dataclasses.field(default_factory=dict)
    peers_answered: int = 0
    highest_digest: configuration.Digest = configuration.Digest()
    platform_answered: dict[str, bool] = dataclasses.field(default_factory=dict)
    rounds: int = 0


@dataclasses.dataclass(slots=True)
class GossipState:
    """The state of gossip in one process.

    `platform_confirmed_at` is the latest time at which the platform is known to have confirmed the
    configuration; `own_confirmed_at` is the latest from this process's own calls,
    `peers_confirmed_at` the latest from peers' messages. `received_at` is when the last message of
    a peer arrived. `exchange_at`, `push_at`, `pull_at` and the like are when that action is due
    next. `peers_ahead` maps the addresses of peers with higher revisions to those revisions.
    `indirect_probes` maps the name of a process probed on behalf of another to the address of that
    other and a deadline. `new_epoch` is the latest epoch of the platform that an answer or a peer
    has shown, and `new_epoch_at` when it may be read, in ms.
    """

    membership: membership.Membership
    configuration: configuration.Configuration
    limits: Limits
    randomness: rng.Rng
    seeds: tuple[view.Address, ...]
    last_event_at: int
    started_at: int
    streams: dict[str, Stream] = dataclasses.field(default_factory=dict)
    platform_confirmed_at: int = 0
    own_confirmed_at: int = 0
    peers_confirmed_at: int = 0
    received_at: int = 0
    promoted_until: int = 0
    solo_call_at: int = 0
    rank: int = 0
    rank_expires_at: int = 0
    zone_peers: list[str] = dataclasses.field(default_factory=list)
    balancers: list[str] = dataclasses.field(default_factory=list)
    sidecars: list[str] = dataclasses.field(default_factory=list)
    refresh_peers_at: int = 0
    peers_stale: bool = True
    exchange_at: int = 0
    push_at: int = 0
    pushed_at: int = 0
    prune_at: int = 0
    pull_older_at: int = 0
    peers_ahead: dict[view.Address, configuration.Digest] = dataclasses.field(default_factory=dict)
    pull_at: int = 0
    pull: PendingPull | None = None
    new_epoch: int = 0
    new_epoch_at: int = 0
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    indirect_probes: dict[str, tuple[view.Address, int]] = dataclasses.field(default_factory=dict)
    catch_up: CatchUp | None = None
    update_budget: budget.Budget = dataclasses.field(default_factory=lambda: budget.Budget(1, 1))
    view_changed: bool = False
    pending: list[Effect] = dataclasses.field(default_factory=list)

    @property
    def is_caught_up(self) -> bool:
        """Whether this process may use its view."""
        return self.catch_up is None

    @property
    def is_balancer(self) -> bool:
        """Whether this process is a balancer."""
        return self.membership.own.role == "balancer"

    def send(self, address: view.Address, message: control.Message) -> None:
        """Append an effect that sends a message."""
        self.pending.append(SendMessage(address, message))

    def trace(self, event: str, **fields: typing.Any) -> None:
        """Append an effect that records an event for the log and the timeline."""
        self.pending.append(effects.Trace(event, fields=tuple(fields.items())))

    def may_read(self, position: int, now: int) -> bool:
        """Return whether a position may be read; one of a new epoch only after a grace period."""
        digest = self.configuration.digest
        epoch, known = positions.epoch_of(position), positions.epoch_of(digest.newest)
        if epoch <= known or not digest.newest:
            return True
        if epoch > self.new_epoch:
            self.new_epoch, self.new_epoch_at = epoch, now + RESTORED_GRACE_MS
            self.trace("platform_restored", epoch=epoch, before=known)
        return now >= self.new_epoch_at

    def jitter(self, span: int) -> int:
        """Return a random time from 0 up to `span` ms."""
        return int(self.randomness.random() * span)

    def new_nonce(self) -> int:
        """Return a random nonce; never 0, which stands for none."""
        return 1 + self.randomness.randrange(1 << 62)

    def make_gossip(
        self, nonce: int = 0, answered_nonce: int = 0, first: membership.Statement | None = None
    ) -> control.Gossip:
        """Return a gossip message with the next membership updates, `first` ahead of them."""
        updates = self.membership.take_updates()
        if first is not None:
            updates = (first, *(n for n in updates if n.name != first.name))
        digest = self.configuration.digest
        return control.Gossip(
            control.pack_statement(self.membership.own),
            nonce,
            answered_nonce,
            digest.values,
            digest.instances,
            self.platform_confirmed_at,
            self.is_caught_up,
            tuple(control.pack_statement(item) for item in updates),
        )

    def note_platform_confirmed(self, as_of: int, now: int) -> None:
        """Record a peer's time of the platform's last confirmation, capped by `MAX_SKEW_MS`."""
        as_of = min(as_of, now + MAX_SKEW_MS)
        self.platform_confirmed_at = max(self.platform_confirmed_at, as_of)
        if as_of > self.own_confirmed_at:
            self.peers_confirmed_at = max(self.peers_confirmed_at, as_of)

    def note_changes(self, changes: configuration.Changes, now: int) -> None:
        """Apply changes to the membership and the view, and schedule a push to peers."""
        for refusal in changes.refusals:
            self.trace(
                "document_refused",
                key=refusal.key,
                revision=refusal.revision,
                faults="; ".join(refusal.faults),
            )
        for name in changes.instances:
            if self.membership.listed_instance(name) is None:
                self.membership.mark_gone(name, now)
            self.configuration.set_override(name, self.membership.override_for(name))
        self.peers_stale = self.peers_stale or bool(changes.instances)
        self.view_changed = True
        gap = self.limits.push_gap_ms if changes.keys else self.limits.list_push_gap_ms
        due = max(now, self.pushed_at + gap)
        self.push_at = min(self.push_at or due, due)

    def note_members(self, names: typing.Iterable[str]) -> None:
        """Update the overrides of these processes in the view from their statements."""
        for name in names:
            self.peers_stale = True
            before = self.configuration.overrides.get(name)
            override = self.membership.override_for(name)
            if override != before:
                self.configuration.set_override(name, override)
                self.view_changed = True

    def refresh_peers(self, now: int) -> None:
        """Rebuild the lists of peers by role; not often, as it visits every instance."""
        if not self.peers_stale or now < self.refresh_peers_at:
            return
        self.peers_stale = False
        self.refresh_peers_at = now + PEERS_REFRESH_MS
        self.rank_expires_at = 0
        self.balancers = self.membership.names_of_role("balancer")
        self.sidecars = self.membership.names_of_role("upstream")
        zone = self.membership.own.zone
        self.zone_peers = [n for n in self.balancers if self.membership.zone_of(n) == zone]


def digest_of(message: control.Gossip) -> configuration.Digest:
    """Return the revisions up to which the sender of a message is complete."""
    return configuration.Digest(message.values, message.instances)
