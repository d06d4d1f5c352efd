"""Version history of keyed documents, so that the platform can serve past revisions."""

import dataclasses
import json
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One version of a key; `value` is None if the key was deleted. `time` is in ms."""

    revision: int
    time: int
    key: str
    value: typing.Any

    @property
    def size(self) -> int:
        """Approximate size of the version in a response, in bytes."""
        return len(json.dumps(self.value)) + len(self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The newest versions after a revision, oldest first, complete up to `revision`.

    `more` is set if further versions follow.
    """

    revision: int
    versions: list[Version]
    more: bool


class History:
    """Versions of all keys, numbered in one sequence from 1; `backup` is the length of a copy."""

    def __init__(self) -> None:
        self.versions: list[Version] = []
        self.backup = 0

    @property
    def revision(self) -> int:
        """The revision of the newest version, 0 before the first."""
        return len(self.versions)

    def put(self, key: str, value: typing.Any, now: int) -> int:
        """Add a version and return its revision."""
        self.versions.append(Version(self.revision + 1, now, key, value))
        return self.revision

    def back_up(self) -> None:
        """Keep a copy of the current state."""
        self.backup = self.revision

    def restore(self) -> None:
        """Go back to the copy; later revisions are given out again."""
        del self.versions[self.backup :]

    def revision_at(self, time: int) -> int:
        """Return the newest revision written at `time` or before."""
        revision = self.revision
        while revision and self.versions[revision - 1].time > time:
            revision -= 1
        return revision

    def newest(self, ceiling: int) -> list[Version]:
        """Return the newest version of each key as at revision `ceiling`, oldest first."""
        by_key = {version.key: version for version in self.versions[:ceiling]}
        return sorted(by_key.values(), key=lambda version: version.revision)

    def page(self, after: int, ceiling: int, max_bytes: int) -> Page:
        """Return the changes after a revision, about `max_bytes` but at least one version."""
        versions: list[Version] = []
        size = 0
        for version in self.newest(ceiling):
            if version.revision <= after:
                continue
            if versions and size + version.size > max_bytes:
                return Page(versions[-1].revision, versions, True)
            versions.append(version)
            size += version.size
        return Page(ceiling, versions, False)
