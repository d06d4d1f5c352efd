"""Keep track of who is there: the list as a hint, and what processes say of themselves.

Failure detection and refutation follow SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-
consistent Infection-style Process Group Membership Protocol", DSN 2002): each period one random
peer is asked; one that does not answer is asked through others, then suspected; it refutes by a
higher generation; news travels on the messages that are sent anyway, each item a bounded number
of times. Nothing here decides that an upstream is dead for routing: the view keeps it until the
list drops it, since across a partition every peer on the far side looks dead.
"""

import collections
import dataclasses
import enum
import math
import typing

from ebonystile.core import rng, view
from ebonystile.core.control import assembly

MAX_MEMBERS = 20_000
"""Members remembered at once; beyond it the one longest silent is dropped."""

MAX_UPDATES = 64
"""Items of news waiting to be passed on; beyond it the oldest is dropped."""

UPDATES_PER_MESSAGE = 4
"""Items of news in one message, about 60 bytes each."""


class MemberState(enum.IntEnum):
    """What is believed of a member, in the order in which words of one generation prevail."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What is said of one process.

    `generation` is the start of the process in ms, raised by one with each refutation; of two
    statements on one name the one of the higher generation holds, then that of the worse state.
    """

    name: str
    role: str
    address: view.Address
    zone: str
    generation: int
    state: MemberState

    @property
    def rank(self) -> tuple[int, int]:
        """The order of statements on one name."""
        return (self.generation, self.state)

    def instance(self) -> assembly.Instance:
        """Return the instance that this statement describes."""
        leaving = self.state is MemberState.LEAVING
        return assembly.Instance(self.name, self.role, self.address, self.zone, leaving)


@dataclasses.dataclass(slots=True)
class Member:
    """The statement that holds on a process, when it was heard itself, and when that ends.

    `until` is when a suspected member counts as dead, or a dead or silent one is forgotten.
    """

    statement: Statement
    received_at: int
    until: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How long states last, in ms."""

    suspect_timeout_ms: int = 8_000
    unlisted_ttl_ms: int = 60_000
    listed_ttl_ms: int = 600_000


class Membership:
    """What one process knows of the others."""

    def __init__(self, own: Statement, limits: Limits, now: int):
        self.own = own
        self.limits = limits
        self.started_at = now
        self.members: dict[str, Member] = {}
        self.listed: typing.Mapping[str, typing.Any] = {}
        self.updates: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.is_superseded = False
        self.queue_update(own.name)

    def queue_update(self, name: str) -> None:
        """Queue what is known of `name` to be passed on, about twice log2 of the fleet times."""
        self.updates.pop(name, None)
        self.updates[name] = 2 * math.ceil(math.log2(len(self.members) + len(self.listed) + 2))
        if len(self.updates) > MAX_UPDATES:
            self.updates.popitem(last=False)

    def take_updates(self) -> tuple[Statement, ...]:
        """Return the next items to pass on, those sent least often first."""
        names = sorted(self.updates, key=self.updates.__getitem__, reverse=True)[
            :UPDATES_PER_MESSAGE
        ]
        statements = []
        for name in names:
            self.updates[name] -= 1
            if self.updates[name] <= 0:
                del self.updates[name]
            statement = self.statement_of(name)
            if statement is not None:
                statements.append(statement)
        return tuple(statements)

    def statement_of(self, name: str) -> Statement | None:
        """Return what holds on `name`, this process included."""
        if name == self.own.name:
            return self.own
        member = self.members.get(name)
        return member.statement if member else None

    def leave(self) -> None:
        """Say from now on that this process is leaving."""
        self.own = dataclasses.replace(self.own, state=MemberState.LEAVING)
        self.queue_update(self.own.name)

    def receive_statement(self, statement: Statement, now: int) -> bool:
        """Take in what a process says of itself; return whether that is new."""
        changed = self.apply_statement(statement, now, by_itself=True)
        member = self.members.get(statement.name)
        if member is not None and member.statement.generation <= statement.generation:
            member.received_at = now
            if statement.state < MemberState.SUSPECT <= member.statement.state:
                return changed
            member.until = now + self.validity_ms(statement)
        return changed

    def validity_ms(self, statement: Statement) -> int:
        """Return how long a statement holds unless it is heard again.

        A process that the list does not show counts for a short while only: its word was spread
        once, and nobody would say that it has gone.
        """
        if statement.state is MemberState.SUSPECT:
            return self.limits.suspect_timeout_ms
        listed = self.listed_instance(statement.name) is not None
        return self.limits.listed_ttl_ms if listed else self.limits.unlisted_ttl_ms

    def mark_gone(self, name: str, now: int) -> None:
        """Let a process that the list now shows as gone count as dead.

        News of its former life still goes round. Forgetting the process would let that news put a
        stopped upstream back into the view; held for dead, it takes a newer start to come back.
        """
        member = self.members.get(name)
        if member is not None:
            member.statement = dataclasses.replace(member.statement, state=MemberState.DEAD)
            member.until = now + self.limits.unlisted_ttl_ms
            self.updates.pop(name, None)

    def is_listed_gone(self, name: str) -> bool:
        """Tell whether the list shows that the process has gone."""
        entry = self.listed.get(name)
        return entry is not None and entry.value is None

    def apply_statement(self, statement: Statement, now: int, *, by_itself: bool = False) -> bool:
        """Take in a statement, of the process `by_itself` or not; return whether that is new."""
        if statement.name == self.own.name:
            return self.apply_own_statement(statement, now)
        member = self.members.get(statement.name)
        if member is None:
            if statement.state is MemberState.DEAD:
                return False
            if self.is_listed_gone(statement.name) and not by_itself:
                return False
            self.evict_oldest()
            member = Member(statement, now, 0)
            self.members[statement.name] = member
        elif statement.rank <= member.statement.rank:
            return False
        member.statement = statement
        member.until = now + self.validity_ms(statement)
        self.queue_update(statement.name)
        return True

    def apply_own_statement(self, statement: Statement, now: int) -> bool:
        """Refute a suspicion, or notice that another process has taken this name.

        A replacement has the later start and so the higher generation; a process that was paused
        and wakes must not fight it. Only a process that started just now, on a clock that has
        stepped back, answers with a generation above that of its predecessor.
        """
        if statement.rank <= self.own.rank:
            return False
        accused = statement.state in (MemberState.SUSPECT, MemberState.DEAD)
        if accused or now - self.started_at < self.limits.suspect_timeout_ms:
            self.own = dataclasses.replace(self.own, generation=statement.generation + 1)
            self.queue_update(self.own.name)
            return True
        self.is_superseded = True
        return True

    def suspect(self, name: str, now: int) -> bool:
        """Suspect a process that answered neither this one nor others asked to try."""
        statement = self.statement_of(name) or self.listed_statement(name)
        if statement is None or statement.state >= MemberState.SUSPECT:
            return False
        return self.apply_statement(dataclasses.replace(statement, state=MemberState.SUSPECT), now)

    def listed_statement(self, name: str) -> Statement | None:
        """Return what the list says, as a statement that anything said by the process overrides."""
        instance = self.listed_instance(name)
        if instance is None:
            return None
        told = MemberState.LEAVING if instance.leaving else MemberState.ALIVE
        return Statement(name, instance.role, instance.address, instance.zone, 0, told)

    def listed_instance(self, name: str) -> assembly.Instance | None:
        """Return the instance as the platform lists it."""
        entry = self.listed.get(name)
        return entry.value if entry is not None else None

    def is_usable(self, name: str) -> bool:
        """Tell whether the process may be counted on: not suspected, dead or leaving."""
        statement = self.statement_of(name) or self.listed_statement(name)
        return statement is not None and statement.state is MemberState.ALIVE

    def address_of(self, name: str) -> view.Address | None:
        """Return where to reach a process: by its own word, else by the list."""
        statement = self.statement_of(name) or self.listed_statement(name)
        return statement.address if statement else None

    def zone_of(self, name: str) -> str | None:
        """Return the zone of a process: by its own word, else by the list."""
        statement = self.statement_of(name) or self.listed_statement(name)
        return statement.zone if statement else None

    def override_for(self, name: str) -> assembly.Instance | None:
        """Return what goes before the list for `name`, or None where the list may stand.

        What a process says of itself stands while it is heard of; a suspicion changes nothing.
        """
        member = self.members.get(name)
        if member is None or member.statement.generation == 0:
            return None
        statement = member.statement
        listed = self.listed_instance(name)
        if statement.state is MemberState.DEAD:
            return None
        if statement.state is MemberState.SUSPECT:
            # A suspicion hides whether the process had said that it leaves; the list decides.
            leaving = listed is not None and listed.leaving
            instance = dataclasses.replace(statement.instance(), leaving=leaving)
        else:
            instance = statement.instance()
        return None if instance == listed else instance

    def prune(self, now: int) -> list[str]:
        """Turn old suspicions into deaths and forget the long gone; return the names changed."""
        changed = []
        for name, member in list(self.members.items()):
            if member.until > now:
                continue
            if member.statement.state is MemberState.SUSPECT:
                dead = dataclasses.replace(member.statement, state=MemberState.DEAD)
                self.apply_statement(dead, now)
            else:
                del self.members[name]
                self.updates.pop(name, None)
            changed.append(name)
        return changed

    def evict_oldest(self) -> None:
        """Drop the member longest silent once there are too many."""
        if len(self.members) >= MAX_MEMBERS:
            oldest = min(self.members, key=lambda name: self.members[name].received_at)
            del self.members[oldest]

    def suspected(self) -> tuple[str, ...]:
        """Return the names of those that are suspected or count as dead."""
        return tuple(
            sorted(n for n, m in self.members.items() if m.statement.state >= MemberState.SUSPECT)
        )

    def names_of_role(self, role: str) -> list[str]:
        """Return everyone of a role but this process, by the list and by their own word."""
        listed = (n for n, e in self.listed.items() if e.value and e.value.role == role)
        said = (n for n, m in self.members.items() if m.statement.role == role)
        return sorted({*listed, *said} - {self.own.name})


def make_membership(
    name: str, role: str, address: view.Address, zone: str, now: int, limits: Limits
) -> Membership:
    """Return the membership of a process that starts `now`; its generation is that time."""
    own = Statement(name, role, address, zone, now, MemberState.ALIVE)
    return Membership(own, limits, now)


def pick_random(
    names: typing.Sequence[str], count: int, randomness: rng.Rng, excluded: set[str]
) -> list[str]:
    """Return up to `count` different names at random, none of them banned."""
    picked: list[str] = []
    for _ in range(3 * count):
        if len(picked) == count or not names:
            break
        name = names[randomness.randrange(len(names))]
        if name not in excluded and name not in picked:
            picked.append(name)
    return picked
