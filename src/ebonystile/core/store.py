"""Hold versioned entries by key so that copies can be joined in any order and nothing reverts.

A store is a join-semilattice (Shapiro et al., "Conflict-free Replicated Data Types", 2011): each
key keeps its entry of the highest revision, so joining is idempotent, commutative and monotonic.
Deletions stay as tombstones, so that a delta can carry them; the oldest are dropped beyond a
bound, and `floor` remembers up to which revision that has happened.
"""

import dataclasses
import typing

MAX_TOMBSTONES = 2_048
"""Tombstones kept; a copy that is behind the dropped ones gets a snapshot instead of a delta."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A value as of a revision of the platform; a tombstone where the value is None."""

    revision: int
    value: typing.Any

    @property
    def rank(self) -> tuple[int, bool, typing.Any]:
        """The order of entries of one key: by revision, then the same way in every process."""
        return (self.revision, self.value is not None, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """All entries above `after` of a store that is complete up to `complete`.

    With `after` 0 it is a snapshot: a key that it lacks was deleted if it is at or below `floor`.
    """

    after: int
    complete: int
    floor: int
    entries: tuple[tuple[str, Entry], ...]


@dataclasses.dataclass(slots=True)
class Store:
    """Entries by key; every change of the platform up to `complete` is contained."""

    complete: int = 0
    floor: int = 0
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)

    def wants(self, key: str, entry: Entry) -> bool:
        """Tell whether the entry is newer than what is known of its key.

        An unknown key at or below the floor has been deleted and its tombstone dropped: taking it
        from a peer that is behind would bring a deleted service back.
        """
        own = self.entries.get(key)
        if own is None:
            return entry.revision > self.floor
        return entry.rank > own.rank

    def put(self, key: str, entry: Entry) -> bool:
        """Keep the entry if it is newer than what is known of its key."""
        if not self.wants(key, entry):
            return False
        self.entries[key] = entry
        return True

    def delta(self, after: int) -> Delta:
        """Return what a copy complete up to `after` lacks: a snapshot if it is below the floor."""
        if after < self.floor:
            after = 0
        entries = tuple((k, e) for k, e in self.entries.items() if e.revision > after)
        return Delta(after, self.complete, self.floor, entries)

    def deleted_by(self, delta: Delta, kept: typing.Container[str] = ()) -> list[str]:
        """Return the keys that a snapshot shows as deleted, but for those `kept`."""
        if delta.after > 0 or delta.floor == 0:
            return []
        named = {key for key, _ in delta.entries}
        return [
            key
            for key, entry in self.entries.items()
            if key not in named and key not in kept and entry.revision <= delta.floor
        ]

    def advance(self, delta: Delta) -> None:
        """Note how far the store is complete now that the entries of `delta` are in it."""
        if delta.after <= self.complete:
            self.complete = max(self.complete, delta.complete)
            self.floor = max(self.floor, min(delta.floor, self.complete))
        self.trim()

    def trim(self) -> None:
        """Drop the oldest tombstones beyond the bound and raise the floor over them."""
        tombstones = [
            (entry.revision, key) for key, entry in self.entries.items() if entry.value is None
        ]
        floor = self.floor
        if len(tombstones) > MAX_TOMBSTONES:
            tombstones.sort()
            oldest = tombstones[len(tombstones) - MAX_TOMBSTONES - 1][0]
            floor = max(floor, min(oldest, self.complete))
        self.floor = floor
        for revision, key in tombstones:
            if revision <= floor:
                del self.entries[key]

    def join(self, delta: Delta, kept: typing.Container[str] = ()) -> list[str]:
        """Take in a delta or snapshot and return the keys that changed."""
        changed = self.deleted_by(delta, kept)
        for key in changed:
            del self.entries[key]
        changed += [key for key, entry in delta.entries if self.put(key, entry)]
        self.advance(delta)
        return changed
