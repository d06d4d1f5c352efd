"""Make sidecars known that the store's list does not show.

An upstream that lives may have no entry: the store was away for longer than entries last, or can't
hear that upstream. A balancer that has just started would find its flows nowhere, and one that
starts while the store is away would know no sidecar at all. So sidecars tell the seeds, the few
balancers whose addresses stand in everybody's settings, and the witnesses, a few sidecars that
everybody finds in the list; balancers ask those.
"""

import dataclasses
import heapq

from ebonystile.core import view
from ebonystile.core.carrying import effects, fleet, messages

UNLISTED_EVERY_MS = 200
"""How often a sidecar whose upstream has no entry says so, in ms: at every tick."""

UNLISTED_FOR_MS = 10_000
"""How long it does, in ms: an upstream that reaches the store is listed within about 2 s."""

SEED_KEEPS_MS = 1_000
"""How long a seed remembers an announcement, in ms: five of them. A sidecar may end together with
its instance soon after it has announced itself, and whoever asks it then waits for nothing."""

ASKER_KEEPS_MS = 3_000
"""How long a balancer asks the sidecars that a seed has named, in ms: what was lost with all
processes is looked for in the first seconds."""

RELAY_EVERY_MS = 1_000
"""How often a sidecar that others may read from says so, in ms."""

SEED_LISTENED_MS = 2 * UNLISTED_EVERY_MS
"""How long a seed must have listened, and a balancer had its view, in ms, for the seed's answer to
confirm it: two announcements, of which one may be lost."""

WITNESSES, WITNESSES_AGREED = 4, 3
"""Sidecars that are told of those without an entry, and how many of them must agree that they have
heard of all. An entry more or less in somebody's list changes one of the four at most."""

WITNESS_LISTENED_MS = 500
"""How long a witness must have listened, its list unchanged, in ms: instances that lost power
together start within 300 ms of one another, and one of two announcements may be lost."""

ASK_EVERY_MS = 100
ASK_FOR_MS = 1_000
"""How often, and for how long, a balancer asks seeds and witnesses, in ms; by then its view is
confirmed by its age."""

MOST_TOLD = 128
"""Sidecars named in one answer, 6 bytes each."""


class Announcer:
    """When one sidecar announces itself; `relays` is set where others may read from it."""

    def __init__(self, seeds: tuple[view.Address, ...]):
        self.seeds = seeds
        self.relays = False
        self.unlisted_since: int | None = None
        self.announced_at: int | None = None

    def due(
        self, listed: bool, now: int, witnesses: tuple[view.Address, ...] = ()
    ) -> list[effects.Effect]:
        """Return the announcements to be sent now, at a tick or after a change of the view."""
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
        """Return the time between two announcements, in ms."""
        return RELAY_EVERY_MS if self.unlisted_since is None else UNLISTED_EVERY_MS


@dataclasses.dataclass(slots=True)
class Confirmation:
    """What seeds and witnesses say to one balancer about sidecars without an entry.

    `confirmed` is set once a seed that has listened for long enough, or most of the witnesses, have
    answered since the view is there. They are asked next at `ask_at` and no more from `give_up_at`
    on; `seeds_from` is when a seed's word may be taken, all in ms.
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
        """Note that the view is the store's present word from now on."""
        self.confirmed = False
        self.agreed.clear()
        self.ask_at = now
        self.seeds_from = now + SEED_LISTENED_MS
        self.give_up_at = now + ASK_FOR_MS

    def ask(self, witnesses: tuple[view.Address, ...], now: int) -> list[effects.Effect]:
        """Return the questions that are due, none once there was an answer that holds."""
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
        """Take the word of a seed or a witness that has listened for so long, in ms."""
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
        """Take the view for whole, and ask no more."""
        self.confirmed = True
        self.ask_at = None


def witnesses_of(known: fleet.Fleet) -> tuple[view.Address, ...]:
    """Return the sidecars that everybody with this list tells and asks."""
    listed = known.by_address.values()
    return tuple(u.address for u in heapq.nsmallest(WITNESSES, listed, key=lambda u: u.key))


def note(known: fleet.Fleet, address: view.Address, until: int) -> None:
    """Remember a sidecar without an entry, until a time in ms, with the upstreams that may live."""
    host, port = address
    known.note_departed(fleet.make_upstream(f"{host}:{port}", 0, "", address, "", 1), until)


def answer(known: fleet.Fleet, listening: int) -> messages.AnswerUnlisted:
    """Return what this process, which has listened for so many ms, tells of those without an entry.

    If there are more than one answer holds, it says that it has not listened: the asker must not
    take its view for confirmed, and tell callers of those left out that their flows are gone.
    """
    told = [upstream.address for upstream in known.perhaps_alive()]
    heard_all = len(told) <= MOST_TOLD
    return messages.AnswerUnlisted(listening if heard_all else 0, tuple(told[-MOST_TOLD:]))
