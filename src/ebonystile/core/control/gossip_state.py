"""The state of configuration distribution, and the operations that its modules share.

The modules `watching`, `pulling`, `probing` and `catching_up` change this state and append effects;
`spread.decide` is the only entry point from outside.
"""

import dataclasses
import typing

from ebonystile.core import budget, rng, view
from ebonystile.core.calls import effects
from ebonystile.core.control import configuration, membership
from ebonystile.peer import control

SKEW_BOUND = 1_000
"""Largest clock difference between instances that is allowed for, in ms.

A confirmation time from a peer is capped at the own time plus this bound: a watcher whose clock
runs ahead would otherwise seem to confirm the configuration long after it has died, and no other
process would take over.
"""

ROSTER_MS = 5_000
"""Least time between two rebuilds of the lists of peers, in ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The parameters of configuration distribution; times are in ms, budgets in bytes.

    exchange: interval of the gossip exchange with a random peer.
    answer: time after which a peer counts as not answering.
    fanout: peers to which a change is pushed.
    rumour_gap, list_rumour_gap: least time between two pushes, the latter if only the list of
    instances has changed.
    pull_jitter, pull_timeout: largest delay before a pull, and its timeout.
    watch, call_margin: duration of one watch of the platform, and what its call may take beyond it.
    call_gap, instances_gap: least time between two reads of the values, and of the list.
    backoff_least, backoff_most: pause after a failed call, doubled with each further failure.
    stale: age of the platform's last confirmation at which further processes become watchers.
    promotion: how long such a process stays a watcher.
    watchers, watchers_most: watchers per zone, normally and while the confirmation is old.
    epoch: how long a choice of watchers lasts.
    solo_wait: duration of a watch by a process that receives nothing from any peer.
    solo_gap, solo_rate: interval of the calls of processes that are no watchers while the
    confirmation is old, and the rate of such calls over the whole fleet, per second.
    start_bound: timeout of one catch-up round.
    pause_bound: longest gap between two events of a running process; a longer one is a pause.
    update_rate, update_burst: bytes of updates sent to other processes, per second and at once.
    """

    exchange: int = 1_000
    answer: int = 700
    fanout: int = 4
    rumour_gap: int = 1_000
    list_rumour_gap: int = 3_000
    pull_jitter: int = 100
    pull_timeout: int = 1_000
    watch: int = 2_000
    call_gap: int = 500
    instances_gap: int = 2_000
    call_margin: int = 3_000
    backoff_least: int = 500
    backoff_most: int = 15_000
    stale: int = 6_500
    promotion: int = 60_000
    watchers: int = 2
    watchers_most: int = 8
    epoch: int = 600_000
    solo_wait: int = 30_000
    solo_gap: int = 60_000
    solo_rate: int = 50
    start_bound: int = 4_000
    pause_bound: int = 2_000
    update_rate: int = 3_000
    update_burst: int = 4_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a process as a sealed datagram."""

    address: view.Address
    message: control.Message


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Ask the platform for the changes after a revision, waiting for some until `wait_until`."""

    stream: str
    after: int
    wait_until: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Send a pull to a process over a websocket and post its answer as an event."""

    address: view.Address
    pull: control.Pull
    wait_until: int


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Use the configuration's current view: it has changed, or was confirmed after a pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class FellBehind:
    """Stop using the view until the next `InForce`: it may be out of date."""


Effect = SendMessage | WatchPlatform | Fetch | InForce | FellBehind | effects.Trace


@dataclasses.dataclass(slots=True)
class Stream:
    """The state of the calls for one of the platform's two streams, of which one runs at a time.

    `confirmed_at` is when the platform last answered with a revision not below the known one.
    """

    name: str
    calling_until: int = 0
    called_at: int = 0
    next_at: int = 0
    failures: int = 0
    confirmed_at: int = 0


@dataclasses.dataclass(slots=True)
class PullUnderWay:
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

    until: int
    asked: dict[int, view.Address] = dataclasses.field(default_factory=dict)
    peers_answered: int = 0
    highest: configuration.Digest = configuration.Digest()
    platform: dict[str, bool] = dataclasses.field(default_factory=dict)
    rounds: int = 0


@dataclasses.dataclass(slots=True)
class Spread:
    """The state of configuration distribution in one process."""

    membership: membership.Membership
    configuration: configuration.Configuration
    limits: Limits
    randomness: rng.Rng
    seeds: tuple[view.Address, ...]
    last_at: int
    started_at: int
    streams: dict[str, Stream] = dataclasses.field(default_factory=dict)
    fresh_as_of: int = 0
    own_fresh: int = 0
    others_fresh: int = 0
    heard_at: int = 0
    promoted_until: int = 0
    solo_at: int = 0
    rank: int = 0
    rank_at: int = 0
    zone_mates: list[str] = dataclasses.field(default_factory=list)
    balancers: list[str] = dataclasses.field(default_factory=list)
    sidecars: list[str] = dataclasses.field(default_factory=list)
    roster_at: int = 0
    roster_stale: bool = True
    exchange_at: int = 0
    rumour_at: int = 0
    told_at: int = 0
    prune_at: int = 0
    fill_at: int = 0
    ahead: dict[view.Address, configuration.Digest] = dataclasses.field(default_factory=dict)
    pull_at: int = 0
    pull: PullUnderWay | None = None
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    helping: dict[str, tuple[view.Address, int]] = dataclasses.field(default_factory=dict)
    catch_up: CatchUp | None = None
    update_budget: budget.Budget = dataclasses.field(default_factory=lambda: budget.Budget(1, 1))
    changed: bool = False
    pending: list[Effect] = dataclasses.field(default_factory=list)

    @property
    def caught_up(self) -> bool:
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

    def jitter(self, span: int) -> int:
        """Return a random time from 0 up to `span` ms."""
        return int(self.randomness.random() * span)

    def new_nonce(self) -> int:
        """Return a random nonce; never 0, which stands for none."""
        return 1 + self.randomness.randrange(1 << 62)

    def beat(
        self, nonce: int = 0, answers: int = 0, first: membership.Statement | None = None
    ) -> control.Beat:
        """Return a beat with the next membership updates, `first` ahead of them."""
        news = self.membership.take_news()
        if first is not None:
            news = (first, *(n for n in news if n.name != first.name))
        digest = self.configuration.digest
        return control.Beat(
            control.pack_statement(self.membership.own),
            nonce,
            answers,
            digest.values,
            digest.instances,
            self.fresh_as_of,
            self.caught_up,
            tuple(control.pack_statement(item) for item in news),
        )

    def note_fresh(self, as_of: int, now: int) -> None:
        """Take over a peer's time of the platform's last confirmation, capped by `SKEW_BOUND`."""
        as_of = min(as_of, now + SKEW_BOUND)
        self.fresh_as_of = max(self.fresh_as_of, as_of)
        if as_of > self.own_fresh:
            self.others_fresh = max(self.others_fresh, as_of)

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
            if self.membership.instance_listed(name) is None:
                self.membership.drop(name, now)
            self.configuration.say(name, self.membership.overlay(name))
        self.roster_stale = self.roster_stale or bool(changes.instances)
        self.changed = True
        gap = self.limits.rumour_gap if changes.keys else self.limits.list_rumour_gap
        due = max(now, self.told_at + gap)
        self.rumour_at = min(self.rumour_at or due, due)

    def note_members(self, names: typing.Iterable[str]) -> None:
        """Update the view with what the membership knows of these processes."""
        for name in names:
            self.roster_stale = True
            before = self.configuration.said.get(name)
            overlay = self.membership.overlay(name)
            if overlay != before:
                self.configuration.say(name, overlay)
                self.changed = True

    def refresh_roster(self, now: int) -> None:
        """Rebuild the lists of peers by role; not often, as it visits every instance."""
        if not self.roster_stale or now < self.roster_at:
            return
        self.roster_stale = False
        self.roster_at = now + ROSTER_MS
        self.rank_at = 0
        self.balancers = self.membership.names("balancer")
        self.sidecars = self.membership.names("upstream")
        zone = self.membership.own.zone
        self.zone_mates = [n for n in self.balancers if self.membership.zone_of(n) == zone]


def digest_of(beat: control.Beat) -> configuration.Digest:
    """Return the revisions up to which the sender of a beat is complete."""
    return configuration.Digest(beat.values, beat.instances)
