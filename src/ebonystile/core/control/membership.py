"""Track the processes of the fleet by the platform's list and by statements of the processes.

Failure detection and refutation follow SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-
consistent Infection-style Process Group Membership Protocol", DSN 2002): each period one random
peer is probed; one that does not answer is probed through other peers, then suspected; it refutes
the suspicion by a higher generation. Membership updates are piggybacked on other messages, each a
bounded number of times. Membership never removes a listed upstream from routing: across a partition
all peers on the other side look dead, so the view keeps such an upstream until the list drops it.
"""

import collections
import dataclasses
import enum
import math
import typing

from ebonystile.core import rng, view
from ebonystile.core.control import assembly

MAX_MEMBERS = 20_000
"""Maximum number of members; beyond it, the one that sent nothing for the longest is evicted."""

MAX_UPDATES = 64
"""Maximum number of queued membership updates; beyond it, the oldest is dropped."""

UPDATES_PER_MESSAGE = 4
"""Membership updates in one message, about 60 bytes each."""


class MemberState(enum.IntEnum):
    """The state of a member; of two statements of one generation the higher state prevails."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """A statement on one process, made by itself or by another.

    `generation` is the start time of the process in ms, raised by one with each refutation. Of two
    statements on one name, that of the higher generation prevails, then that of the higher state.
    """

    name: str
    role: str
    address: view.Address
    zone: str
    generation: int
    state: MemberState

    @property
    def rank(self) -> tuple[int, int]:
        """The precedence of this statement among those on the same name."""
        return (self.generation, self.state)

    def instance(self) -> assembly.Instance:
        """Return the instance that this statement describes."""
        leaving = self.state is MemberState.LEAVING
        return assembly.Instance(self.name, self.role, self.address, self.zone, leaving)


@dataclasses.dataclass(slots=True)
class Member:
    """The prevailing statement on a process.

    `received_at` is when the process itself last sent something. At `until` a suspected member
    counts as dead, and any other is removed.
    """

    statement: Statement
    received_at: int
    until: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How long a statement is valid unless it is received again."""

    suspect_timeout_ms: int = 8_000
    unlisted_ttl_ms: int = 60_000
    listed_ttl_ms: int = 600_000


class Membership:
    """The members known to one process, and the updates that it has to send.

    `updates` maps a name to how often its statement is still to be sent. `is_superseded` is set
    once another process has taken this process's name.
    """

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
        """Queue the statement on `name` to be sent about 2 * log2(size of the fleet) times."""
        self.updates.pop(name, None)
        self.updates[name] = 2 * math.ceil(math.log2(len(self.members) + len(self.listed) + 2))
        if len(self.updates) > MAX_UPDATES:
            self.updates.popitem(last=False)

    def take_updates(self) -> tuple[Statement, ...]:
        """Return the updates for the next message, those sent least often first."""
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
        """Return the prevailing statement on `name`, which may be this process, or None."""
        if name == self.own.name:
            return self.own
        member = self.members.get(name)
        return member.statement if member else None

    def leave(self) -> None:
        """Mark this process as leaving, and queue that as an update."""
        self.own = dataclasses.replace(self.own, state=MemberState.LEAVING)
        self.queue_update(self.own.name)

    def receive_statement(self, statement: Statement, now: int) -> bool:
        """Apply the statement of a process on itself; return whether it changed anything."""
        changed = self.apply_statement(statement, now, by_itself=True)
        member = self.members.get(statement.name)
        if member is not None and member.statement.generation <= statement.generation:
            member.received_at = now
            if statement.state < MemberState.SUSPECT <= member.statement.state:
                return changed
            member.until = now + self.validity_ms(statement)
        return changed

    def validity_ms(self, statement: Statement) -> int:
        """Return how long a statement is valid unless it is received again.

        It is shorter for an unlisted process, whose end the platform's list will not show.
        """
        if statement.state is MemberState.SUSPECT:
            return self.limits.suspect_timeout_ms
        listed = self.listed_instance(statement.name) is not None
        return self.limits.listed_ttl_ms if listed else self.limits.unlisted_ttl_ms

    def mark_gone(self, name: str, now: int) -> None:
        """Mark a process as dead after the platform's list has shown it as gone.

        It is not removed: updates that are still in circulation would put a stopped upstream back
        into the view. A dead member comes back only by a statement of a higher generation.
        """
        member = self.members.get(name)
        if member is not None:
            member.statement = dataclasses.replace(member.statement, state=MemberState.DEAD)
            member.until = now + self.limits.unlisted_ttl_ms
            self.updates.pop(name, None)

    def is_listed_gone(self, name: str) -> bool:
        """Return whether the list shows the process as gone."""
        entry = self.listed.get(name)
        return entry is not None and entry.value is None

    def apply_statement(self, statement: Statement, now: int, *, by_itself: bool = False) -> bool:
        """Apply a statement, made `by_itself` by the process or not; return whether it is new."""
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
        """Refute a suspicion, or detect that another process has taken this name.

        A replacement started later and so has the higher generation; a process that wakes from a
        pause must yield to it. Only a process that has just started, on a clock that was set back,
        raises its generation above that of its predecessor.
        """
        if statement.rank <= self.own.rank:
            return False
        is_suspected = statement.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_suspected or now - self.started_at < self.limits.suspect_timeout_ms:
            self.own = dataclasses.replace(self.own, generation=statement.generation + 1)
            self.queue_update(self.own.name)
            return True
        self.is_superseded = True
        return True

    def suspect(self, name: str, now: int) -> bool:
        """Suspect a process that answered neither direct nor indirect probes."""
        statement = self.statement_of(name) or self.listed_statement(name)
        if statement is None or statement.state >= MemberState.SUSPECT:
            return False
        return self.apply_statement(dataclasses.replace(statement, state=MemberState.SUSPECT), now)

    def listed_statement(self, name: str) -> Statement | None:
        """Return the list's entry as a statement of generation 0, which any other overrides."""
        instance = self.listed_instance(name)
        if instance is None:
            return None
        state = MemberState.LEAVING if instance.leaving else MemberState.ALIVE
        return Statement(name, instance.role, instance.address, instance.zone, 0, state)

    def listed_instance(self, name: str) -> assembly.Instance | None:
        """Return the instance as listed by the platform, or None."""
        entry = self.listed.get(name)
        return entry.value if entry is not None else None

    def is_usable(self, name: str) -> bool:
        """Return whether the process is neither suspected nor dead nor leaving."""
        statement = self.statement_of(name) or self.listed_statement(name)
        return statement is not None and statement.state is MemberState.ALIVE

    def address_of(self, name: str) -> view.Address | None:
        """Return the address of a process by its statement, else by the list."""
        statement = self.statement_of(name) or self.listed_statement(name)
        return statement.address if statement else None

    def zone_of(self, name: str) -> str | None:
        """Return the zone of a process by its statement, else by the list."""
        statement = self.statement_of(name) or self.listed_statement(name)
        return statement.zone if statement else None

    def override_for(self, name: str) -> assembly.Instance | None:
        """Return the instance that overrides the list's entry for `name`, or None.

        A process's own statement overrides the list while it is valid; a suspicion does not.
        """
        member = self.members.get(name)
        if member is None or member.statement.generation == 0:
            return None
        statement = member.statement
        listed = self.listed_instance(name)
        if statement.state is MemberState.DEAD:
            return None
        if statement.state is MemberState.SUSPECT:
            # A suspicion replaces the state, so only the list shows whether the process leaves.
            leaving = listed is not None and listed.leaving
            instance = dataclasses.replace(statement.instance(), leaving=leaving)
        else:
            instance = statement.instance()
        return None if instance == listed else instance

    def prune(self, now: int) -> list[str]:
        """Mark suspects dead and remove other members after their `until`; return their names."""
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
        """Remove the member that sent nothing for the longest time if there are too many."""
        if len(self.members) >= MAX_MEMBERS:
            oldest = min(self.members, key=lambda name: self.members[name].received_at)
            del self.members[oldest]

    def suspected(self) -> tuple[str, ...]:
        """Return the names of the members that are suspected or dead."""
        return tuple(
            sorted(n for n, m in self.members.items() if m.statement.state >= MemberState.SUSPECT)
        )

    def names_of_role(self, role: str) -> list[str]:
        """Return all names of a role, listed or by their statements, without this process."""
        listed = (n for n, e in self.listed.items() if e.value and e.value.role == role)
        by_statement = (n for n, m in self.members.items() if m.statement.role == role)
        return sorted({*listed, *by_statement} - {self.own.name})


def make_membership(
    name: str, role: str, address: view.Address, zone: str, now: int, limits: Limits
) -> Membership:
    """Return the membership of a process that starts at `now`, which is its generation."""
    own = Statement(name, role, address, zone, now, MemberState.ALIVE)
    return Membership(own, limits, now)


def pick_random(
    names: typing.Sequence[str], count: int, randomness: rng.Rng, excluded: set[str]
) -> list[str]:
    """Return up to `count` different random names, none of them in `excluded`."""
    picked: list[str] = []
    for _ in range(3 * count):
        if len(picked) == count or not names:
            break
        name = names[randomness.randrange(len(names))]
        if name not in excluded and name not in picked:
            picked.append(name)
    return picked
