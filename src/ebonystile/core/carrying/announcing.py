"""Announce sidecars that are missing in the store.

A running upstream has no entry in the store after an outage of the store that was longer than the
lease of its entry, or while it can't reach the store. A balancer that starts then would not find
its flows, and one that starts during an outage would have no sidecar to query. So sidecars announce
themselves to the seeds (a few balancers whose addresses are in the settings of all processes) and
to the witnesses (a few sidecars that all processes select alike from the list of upstreams), and
balancers ask seeds and witnesses.
"""

import dataclasses
import heapq

from ebonystile.core import view
from ebonystile.core.carrying import effects, fleet, messages

ANNOUNCE_INTERVAL_MS = 200
"""Interval of the announcements of a sidecar whose upstream has no entry, in ms: every tick."""

ANNOUNCE_UNLISTED_MS = 10_000
"""How long a sidecar whose upstream has no entry announces itself, in ms. An upstream that can
reach the store has an entry again within about 2 s."""

SEED_TTL_MS = 1_000
"""How long a seed or witness keeps an announcement, in ms: five intervals. Balancers wait for the
answers of announced sidecars, so one that has ended must be dropped soon."""

ASKER_TTL_MS = 3_000
"""How long a balancer keeps the sidecars without an entry that a seed or witness named, in ms.
Most searches for flows come in the first seconds after a restart of all processes."""

RELAY_ANNOUNCE_INTERVAL_MS = 1_000
"""Interval of the announcements of a relay, in ms."""

SEED_MIN_LISTENED_MS = 2 * ANNOUNCE_INTERVAL_MS
"""How long a seed must have received announcements, and a balancer had a current view, before the
seed's answer confirms that view, in ms: two intervals, as one announcement may be lost."""

WITNESS_COUNT, WITNESS_QUORUM = 4, 3
"""Number of witnesses, and how many of them must answer to confirm a view. One entry more or less
in a process's list of upstreams changes at most one of its witnesses."""

WITNESS_MIN_LISTENED_MS = 500
"""How long a witness must have received announcements, with no entry added, for its answer to
count, in ms. Instances restart within 300 ms of each other after a common power loss, and one of
two announcements may be lost."""

ASK_INTERVAL_MS = 100
ASK_TIMEOUT_MS = 1_000
"""Interval at which a balancer asks seeds and witnesses, and for how long it does, in ms. After
that time the age of the view confirms it."""

MAX_UNLISTED_PER_ANSWER = 128
"""Bound on the sidecars in one answer, 6 bytes each."""


class Announcer:
    """The announcements of one sidecar; `is_relay` is set if it is a relay."""

    def __init__(self, seeds: tuple[view.Address, ...]):
        self.seeds = seeds
        self.is_relay = False
        self.unlisted_since: int | None = None
        self.announced_at: int | None = None

    def due_announcements(
        self, listed: bool, now: int, witnesses: tuple[view.Address, ...] = ()
    ) -> list[effects.Effect]:
        """Return the announcements due now; called at each tick and change of the view."""
        if listed:
            self.unlisted_since = None
        elif self.unlisted_since is None:
            self.unlisted_since = now
            self.announced_at = None
        elif now - self.unlisted_since >= ANNOUNCE_UNLISTED_MS:
            return []
        if listed and not self.is_relay:
            return []
        if self.announced_at is not None and now - self.announced_at < self.interval_ms():
            return []
        self.announced_at = now
        announcement = messages.Announce(listed, self.is_relay)
        addresses = self.seeds if listed else (*self.seeds, *witnesses)
        return [effects.Send(address, announcement) for address in addresses]

    def interval_ms(self) -> int:
        """Return the interval between two announcements, in ms."""
        return RELAY_ANNOUNCE_INTERVAL_MS if self.unlisted_since is None else ANNOUNCE_INTERVAL_MS


@dataclasses.dataclass(slots=True)
class ListConfirmation:
    """Whether seeds or witnesses have confirmed that one balancer's view lacks no sidecar.

    `confirmed` is set once a seed, or enough witnesses, that have received announcements for long
    enough have answered since the view became current. The next questions are due at `ask_at`, and
    they end at `give_up_at`; seeds are asked from `seeds_from` on. Times are in ms.
    """

    seeds: tuple[view.Address, ...]
    is_seed: bool
    started_at: int
    confirmed: bool = False
    ask_at: int | None = None
    give_up_at: int = 0
    seeds_from: int = 0
    answered: set[view.Address] = dataclasses.field(default_factory=set)

    def on_view_current(self, now: int) -> None:
        """Record that the view is current from now on, and start asking."""
        self.confirmed = False
        self.answered.clear()
        self.ask_at = now
        self.seeds_from = now + SEED_MIN_LISTENED_MS
        self.give_up_at = now + ASK_TIMEOUT_MS

    def due_questions(self, witnesses: tuple[view.Address, ...], now: int) -> list[effects.Effect]:
        """Return the questions that are due; none once the view is confirmed."""
        if self.ask_at is None or self.ask_at > now:
            return []
        by_seeds = now >= self.seeds_from
        if by_seeds and self.is_seed and now - self.started_at >= SEED_MIN_LISTENED_MS:
            self.confirm()
            return []
        self.ask_at = now + ASK_INTERVAL_MS if now < self.give_up_at else None
        asked = (*witnesses, *self.seeds) if by_seeds else witnesses
        return [effects.Send(address, messages.AskUnlisted()) for address in asked]

    def record_answer(
        self, source: view.Address, listened_ms: int, witnesses: tuple[view.Address, ...]
    ) -> None:
        """Handle the answer of a seed or witness.

        `listened_ms` is for how long it has received announcements.
        """
        if self.ask_at is None:
            return
        if source in self.seeds and listened_ms >= SEED_MIN_LISTENED_MS:
            self.confirm()
        if source not in witnesses or listened_ms < WITNESS_MIN_LISTENED_MS:
            return
        self.answered.add(source)
        if len(self.answered.intersection(witnesses)) >= WITNESS_QUORUM:
            self.confirm()

    def confirm(self) -> None:
        """Mark the view as confirmed, and stop asking."""
        self.confirmed = True
        self.ask_at = None


def witnesses_of(current_fleet: fleet.Fleet) -> tuple[view.Address, ...]:
    """Return the witnesses: the sidecars with the lowest keys, the same for equal lists."""
    listed = current_fleet.by_address.values()
    return tuple(u.address for u in heapq.nsmallest(WITNESS_COUNT, listed, key=lambda u: u.key))


def record_unlisted(current_fleet: fleet.Fleet, address: view.Address, until: int) -> None:
    """Add a sidecar without an entry to the upstreams that may be alive, until a time in ms."""
    host, port = address
    current_fleet.note_unlisted(fleet.make_upstream(f"{host}:{port}", 0, "", address, "", 1), until)


def make_unlisted_answer(current_fleet: fleet.Fleet, listened_ms: int) -> messages.AnswerUnlisted:
    """Return the answer that names the sidecars without an entry.

    A process that started after the entries lapsed does not have those that are kept here for a
    grace period, and would reset the flows of upstreams that still run.

    If there are more than fit, the answer's `listened_ms` is 0, so that it does not confirm the
    balancer's view. Otherwise flows at the sidecars left out would be reset.
    """
    without_entry = (*current_fleet.lapsed(), *current_fleet.unlisted())
    addresses = [upstream.address for upstream in without_entry]
    is_complete = len(addresses) <= MAX_UNLISTED_PER_ANSWER
    return messages.AnswerUnlisted(
        listened_ms if is_complete else 0, tuple(addresses[-MAX_UNLISTED_PER_ANSWER:])
    )
