"""Announce sidecars that are missing in the store.

A running upstream has no entry in the store after an outage of the store that was longer than the
lease of its entry, or while it can't reach the store. A balancer that starts then would not find
its flows, and one that starts during an outage would know no sidecar. So sidecars announce
themselves to the seeds (a few balancers whose addresses are in the settings of all processes) and
to the witnesses (a few sidecars that all processes select alike from the list of upstreams), and
balancers ask seeds and witnesses.
"""

import dataclasses
import heapq

from ebonystile.core import view
from ebonystile.core.carrying import effects, fleet, messages

UNLISTED_EVERY_MS = 200
"""Interval of the announcements of a sidecar whose upstream has no entry, in ms: every tick."""

UNLISTED_FOR_MS = 10_000
"""How long a sidecar whose upstream has no entry announces itself, in ms. An upstream that can
reach the store has an entry again within about 2 s."""

SEED_KEEPS_MS = 1_000
"""How long a seed or witness keeps an announcement, in ms: five intervals. Balancers wait for the
answers of announced sidecars, so one that has ended must be dropped soon."""

ASKER_KEEPS_MS = 3_000
"""How long a balancer keeps the sidecars without an entry that a seed or witness named, in ms.
Most searches for flows come in the first seconds after a restart of all processes."""

RELAY_EVERY_MS = 1_000
"""Interval of the announcements of a relay, in ms."""

SEED_LISTENED_MS = 2 * UNLISTED_EVERY_MS
"""How long a seed must have received announcements, and a balancer had a current view, before the
seed's answer confirms that view, in ms: two intervals, as one announcement may be lost."""

WITNESSES, WITNESSES_AGREED = 4, 3
"""Number of witnesses, and how many of them must answer to confirm a view. One entry more or less
in a process's list of upstreams changes at most one of its witnesses."""

WITNESS_LISTENED_MS = 500
"""How long a witness must have received announcements, with no entry added, for its answer to
count, in ms. Instances restart within 300 ms of each other after a common power loss, and one of
two announcements may be lost."""

ASK_EVERY_MS = 100
ASK_FOR_MS = 1_000
"""Interval at which a balancer asks seeds and witnesses, and for how long it does, in ms. After
that time the age of the view confirms it."""

MOST_TOLD = 128
"""Bound on the sidecars in one answer, 6 bytes each."""


class Announcer:
    """The announcements of one sidecar; `relays` is set if it is a relay."""

    def __init__(self, seeds: tuple[view.Address, ...]):
        self.seeds = seeds
        self.relays = False
        self.unlisted_since: int | None = None
        self.announced_at: int | None = None

    def due(
        self, listed: bool, now: int, witnesses: tuple[view.Address, ...] = ()
    ) -> list[effects.Effect]:
        """Return the announcements due now; called at each tick and change of the view."""
        if listed:
            self.unlisted_since = None
        elif self.unlisted_since is None:
            self.unlisted_since = now
            self.announced_at = None
        elif now - self.unlisted_since >= UNLISTED_FOR_MS:
            return []
        if listed and not self.relays:
            return []
        if self.announced_at is not None and now - self.announced_at < self.pause():
            return []
        self.announced_at = now
        announced = messages.Announce(listed, self.relays)
        told = self.seeds if listed else (*self.seeds, *witnesses)
        return [effects.Send(address, announced) for address in told]

    def pause(self) -> int:
        """Return the interval between two announcements, in ms."""
        return RELAY_EVERY_MS if self.unlisted_since is None else UNLISTED_EVERY_MS


@dataclasses.dataclass(slots=True)
class Confirmation:
    """Whether seeds or witnesses have confirmed that one balancer's view lacks no sidecar.

    `confirmed` is set once a seed, or enough witnesses, that have received announcements for long
    enough have answered since the view became current. The next questions are due at `ask_at`, the
    last ones before `give_up_at`; seeds are asked from `seeds_from` on. Times are in ms.
    """

    seeds: tuple[view.Address, ...]
    is_seed: bool
    started_at: int
    confirmed: bool = False
    ask_at: int | None = None
    give_up_at: int = 0
    seeds_from: int = 0
    agreed: set[view.Address] = dataclasses.field(default_factory=set)

    def view_began(self, now: int) -> None:
        """Record that the view is current from now on, and start asking."""
        self.confirmed = False
        self.agreed.clear()
        self.ask_at = now
        self.seeds_from = now + SEED_LISTENED_MS
        self.give_up_at = now + ASK_FOR_MS

    def ask(self, witnesses: tuple[view.Address, ...], now: int) -> list[effects.Effect]:
        """Return the questions that are due; none once the view is confirmed."""
        if self.ask_at is None or self.ask_at > now:
            return []
        by_seeds = now >= self.seeds_from
        if by_seeds and self.is_seed and now - self.started_at >= SEED_LISTENED_MS:
            self.settle()
            return []
        self.ask_at = now + ASK_EVERY_MS if now < self.give_up_at else None
        asked = (*witnesses, *self.seeds) if by_seeds else witnesses
        return [effects.Send(address, messages.AskUnlisted()) for address in asked]

    def take(
        self, source: view.Address, listening: int, witnesses: tuple[view.Address, ...]
    ) -> None:
        """Handle the answer of a seed or witness.

        `listening` is for how long it has received announcements, in ms.
        """
        if self.ask_at is None:
            return
        if source in self.seeds and listening >= SEED_LISTENED_MS:
            self.settle()
        if source not in witnesses or listening < WITNESS_LISTENED_MS:
            return
        self.agreed.add(source)
        if len(self.agreed.intersection(witnesses)) >= WITNESSES_AGREED:
            self.settle()

    def settle(self) -> None:
        """Mark the view as confirmed, and stop asking."""
        self.confirmed = True
        self.ask_at = None


def witnesses_of(known: fleet.Fleet) -> tuple[view.Address, ...]:
    """Return the witnesses: the sidecars with the lowest keys, the same for equal lists."""
    listed = known.by_address.values()
    return tuple(u.address for u in heapq.nsmallest(WITNESSES, listed, key=lambda u: u.key))


def note(known: fleet.Fleet, address: view.Address, until: int) -> None:
    """Add a sidecar without an entry to the upstreams that may be alive, until a time in ms."""
    host, port = address
    known.note_unlisted(fleet.make_upstream(f"{host}:{port}", 0, "", address, "", 1), until)


def answer(known: fleet.Fleet, listening: int) -> messages.AnswerUnlisted:
    """Return the answer that names the sidecars without an entry; `listening` is in ms.

    If there are more than fit, `listening` is 0 in the answer: it must not confirm the balancer's
    view, or flows at the sidecars left out would be reset.
    """
    told = [upstream.address for upstream in known.unlisted()]
    heard_all = len(told) <= MOST_TOLD
    return messages.AnswerUnlisted(listening if heard_all else 0, tuple(told[-MOST_TOLD:]))
