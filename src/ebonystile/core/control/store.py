"""A store of versioned entries whose copies can be merged in any order without reverting.

A store is a join-semilattice (Shapiro et al., "Conflict-free Replicated Data Types", 2011): each
key keeps its entry of the highest revision, so merging is idempotent, commutative and monotonic.
Deletions are kept as tombstones, so that a delta can carry them. Beyond a bound the oldest are
dropped, and `floor` is the revision up to which that has happened. A copy behind the floor is also
sent the names of all keys, and deletes its own keys up to the floor that are not among them.
"""

import dataclasses
import typing

MAX_TOMBSTONES = 2_048
"""Tombstones kept; beyond that, the oldest are dropped. A copy that is behind the dropped ones is
sent the names of all keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A value as of a revision of the platform; a tombstone if the value is None."""

    revision: int
    value: typing.Any

    @property
    def rank(self) -> tuple[int, bool, typing.Any]:
        """The precedence among entries of one key: by revision, with a deterministic tie-break."""
        return (self.revision, self.value is not None, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The entries above `after` and up to `complete_revision` of another store or of the platform.

    `names` holds all keys of the sending store if the receiving copy is behind dropped tombstones:
    an entry of that copy at or below `floor` whose key is not in `names` was deleted.
    """

    after: int
    complete_revision: int
    floor: int
    entries: tuple[tuple[str, Entry], ...]
    names: tuple[str, ...] | None = None


@dataclasses.dataclass(slots=True)
class Store:
    """Entries by key, with every change of the platform up to the revision `complete_revision`."""

    complete_revision: int = 0
    floor: int = 0
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    tombstones: dict[str, int] = dataclasses.field(default_factory=dict)

    def is_newer(self, key: str, entry: Entry) -> bool:
        """Return whether the entry is newer than the stored one of its key.

        An unknown key at or below the floor was deleted and its tombstone dropped; accepting it
        from a peer that is behind would restore a deleted service.
        """
        own = self.entries.get(key)
        if own is None:
            return entry.revision > self.floor
        return entry.rank > own.rank

    def put(self, key: str, entry: Entry) -> bool:
        """Store the entry if it is newer than the stored one; return whether it was stored."""
        if not self.is_newer(key, entry):
            return False
        self.set_entry(key, entry)
        return True

    def set_entry(self, key: str, entry: Entry) -> None:
        """Set the entry of a key, without comparing revisions."""
        self.entries[key] = entry
        self.tombstones.pop(key, None)
        if entry.value is None:
            self.tombstones[key] = entry.revision

    def remove(self, key: str) -> None:
        """Remove a key, without a tombstone."""
        del self.entries[key]
        self.tombstones.pop(key, None)

    def delta(self, after: int, limit: int | None = None) -> Delta:
        """Return the entries that a copy complete up to `after` lacks, oldest first.

        A `limit` in bytes of values cuts the delta short, but never within one revision.
        """
        entries = [(k, e) for k, e in self.entries.items() if e.revision > after]
        entries.sort(key=lambda item: item[1].revision)
        names = tuple(self.entries) if after < self.floor else None
        complete_revision = self.complete_revision
        if limit is not None:
            count = count_within(entries, limit)
            if count < len(entries):
                entries = entries[:count]
                complete_revision = min(complete_revision, entries[-1][1].revision)
        return Delta(after, complete_revision, self.floor, tuple(entries), names)

    def deleted_by(self, delta: Delta, kept: typing.Container[str] = ()) -> list[str]:
        """Return the keys that a delta's `names` show as deleted, except those in `kept`."""
        if delta.names is None:
            return []
        named = set(delta.names)
        return [
            key
            for key, entry in self.entries.items()
            if key not in named and key not in kept and entry.revision <= delta.floor
        ]

    def advance(self, delta: Delta) -> None:
        """Raise `complete_revision` and `floor` after the entries of `delta` were stored."""
        if delta.after <= self.complete_revision:
            self.complete_revision = max(self.complete_revision, delta.complete_revision)
            self.floor = max(self.floor, min(delta.floor, self.complete_revision))
        self.trim()

    def trim(self) -> None:
        """Drop the oldest tombstones beyond the bound, and raise the floor accordingly."""
        if len(self.tombstones) > MAX_TOMBSTONES:
            revisions = sorted(self.tombstones.values())
            oldest = revisions[len(revisions) - MAX_TOMBSTONES - 1]
            self.floor = max(self.floor, min(oldest, self.complete_revision))
        for key in [k for k, revision in self.tombstones.items() if revision <= self.floor]:
            self.remove(key)

    def merge(self, delta: Delta, kept: typing.Container[str] = ()) -> list[str]:
        """Merge a delta or snapshot and return the keys that changed."""
        changed = self.deleted_by(delta, kept)
        for key in changed:
            self.remove(key)
        changed += [key for key, entry in delta.entries if self.put(key, entry)]
        self.advance(delta)
        return changed


def count_within(entries: list[tuple[str, Entry]], limit: int) -> int:
    """Return how many entries fit into `limit` bytes: whole revisions, and at least one."""
    size = 0
    for index, (_, entry) in enumerate(entries):
        size += len(entry.value or b"")
        whole = index and entry.revision != entries[index - 1][1].revision
        if size > limit and whole:
            return index
    return len(entries)
