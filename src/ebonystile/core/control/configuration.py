"""Keep the configuration in force: merge updates from the platform and peers, refuse invalid ones.

Values and the list of instances arrive repeatedly, in any order, and from sources of different
revisions. Each key keeps its accepted value of the highest revision, so an older answer from a
stale replica or peer changes nothing. A value that fails validation is refused as a whole: the
older value stays in force, and the refusal and its faults are kept for operators.

Revisions are positions (`core.positions`), so the state of a platform that was restored from an
older copy is above all that was read before.
"""

import dataclasses
import json
import typing
import zlib

from ebonystile import errors
from ebonystile.core import positions, view
from ebonystile.core.control import assembly, store
from ebonystile.platform import documents

MAX_REFUSALS = 256
"""Refusals kept; beyond that, the one of the lowest revision is dropped."""

MAX_FAULTS = 8
"""Faults kept and distributed for one document; `ebonystile check` shows all of them."""

MAX_UPDATE_VALUES_BYTES = 512 << 10
"""Size of the values in one update; the requesting process pulls the rest afterwards."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Refusal:
    """The refusal of a value: its revision at the platform, its key and its faults."""

    revision: int
    key: str
    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Digest:
    """The revisions up to which a configuration is complete; they never decrease."""

    values: int = 0
    instances: int = 0

    def is_behind(self, other: "Digest") -> bool:
        """Return whether `other` is complete up to a higher revision in either part."""
        return other.values > self.values or other.instances > self.instances

    @property
    def newest(self) -> int:
        """The higher of the two revisions."""
        return max(self.values, self.instances)

    def merge(self, other: "Digest") -> "Digest":
        """Return the higher revision of each part."""
        return Digest(max(self.values, other.values), max(self.instances, other.instances))


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """What a configuration contains, so that an update can be limited to the rest.

    `refused_keys` holds the refused keys, each with the revision of the value in force here. A peer
    may have a newer value in force whose revision is below this digest; without the list of keys
    the peer would not send it.
    """

    digest: Digest = Digest()
    refused_keys: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """The answer to a pull: entries of both stores, and refusals."""

    values: store.Delta
    instances: store.Delta
    refusals: tuple[Refusal, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What an update changed: keys accepted or deleted, refusals, instances by name."""

    keys: tuple[str, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    instances: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.keys or self.refusals or self.instances)


def pack_value(value: typing.Any) -> bytes | None:
    """Return a JSON value as compressed bytes, as it is kept and sent; None is a deletion."""
    if value is None:
        return None
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def unpack_value(packed: bytes) -> typing.Any:
    """Return the JSON value; raise `SettingsError` if it is too large or invalid."""
    try:
        reader = zlib.decompressobj()
        text = reader.decompress(packed, documents.MAX_BYTES + 1)
        if len(text) > documents.MAX_BYTES:
            raise ValueError(f"more than {documents.MAX_BYTES} bytes")
        if not reader.eof:
            raise ValueError("cut short")
        return json.loads(text)
    except (ValueError, zlib.error, RecursionError) as error:
        fault = f"document: {error}"
        raise errors.SettingsError([fault], step="read document", peer="value") from error


def values_delta(
    after: int, revision: int, values: typing.Iterable[tuple[str, int, typing.Any]]
) -> store.Delta:
    """Return the delta for a read of the platform's values: (key, revision, value) each."""
    entries = tuple((key, store.Entry(rev, pack_value(value))) for key, rev, value in values)
    return store.Delta(after, revision, 0, entries)


def instances_delta(
    after: int, revision: int, instances: typing.Iterable[tuple[assembly.Instance, bool]]
) -> store.Delta:
    """Return the delta for a read of the platform's list: (instance, whether it is gone) each.

    The list has one revision, which all of its entries get.
    """
    entries = tuple(
        (instance.name, store.Entry(revision, None if gone else instance))
        for instance, gone in instances
    )
    return store.Delta(after, revision, 0, entries)


def as_snapshot(delta: store.Delta) -> store.Delta:
    """Return the delta of a complete read, which shows what an earlier epoch had and this lacks."""
    names = tuple(key for key, entry in delta.entries if entry.value is not None)
    first = positions.make_position(positions.epoch_of(delta.complete_revision), 0)
    return dataclasses.replace(delta, after=0, floor=first, names=names)


class Configuration:
    """The accepted values, the refusals, the list of instances, and the view built from them."""

    def __init__(self) -> None:
        self.values = store.Store()
        self.instances = store.Store()
        self.refusals: dict[str, Refusal] = {}
        self.overrides: dict[str, assembly.Instance] = {}
        self.assembly = assembly.Assembly()
        self.is_view_stale = False

    @property
    def digest(self) -> Digest:
        """The revisions up to which this configuration is complete."""
        return Digest(self.values.complete_revision, self.instances.complete_revision)

    @property
    def view(self) -> view.View:
        """The view in force; rebuilt on access if something has changed."""
        if self.is_view_stale:
            self.is_view_stale = False
            self.assembly.build(self.values.complete_revision, self.instances.complete_revision)
        return self.assembly.view

    @property
    def current_refusals(self) -> list[Refusal]:
        """The refusals; one is removed when a value of its revision or above is accepted."""
        return sorted(self.refusals.values())

    def pull_request(self) -> PullRequest:
        """Return the request to send with a pull."""
        refused_keys = []
        for key in sorted(self.refusals):
            entry = self.values.entries.get(key)
            refused_keys.append((key, entry.revision if entry else 0))
        return PullRequest(self.digest, tuple(refused_keys))

    @property
    def is_incomplete(self) -> bool:
        """Whether a refused key has no value here, though other processes may have an older one."""
        return any(key not in self.values.entries for key in self.refusals)

    def update_for(self, request: PullRequest) -> Update:
        """Return what the requesting process lacks, or the first part of it.

        The list of instances is sent with the last part of the values.
        """
        values = self.values.delta(request.digest.values, MAX_UPDATE_VALUES_BYTES)
        values = dataclasses.replace(
            values, entries=values.entries + self.missing_entries(request, values)
        )
        refusals = tuple(
            r
            for r in self.current_refusals
            if values.after < r.revision <= values.complete_revision
        )
        if values.complete_revision < self.values.complete_revision:
            after = request.digest.instances
            return Update(values, store.Delta(after, after, 0, ()), refusals)
        return Update(values, self.instances.delta(request.digest.instances), refusals)

    def missing_entries(
        self, request: PullRequest, values: store.Delta
    ) -> tuple[tuple[str, store.Entry], ...]:
        """Return the entries in force for keys that the requesting process refused.

        The update contains as many of them as fit. If it contained only the first, and the
        requesting process refused that one too, the others would never be sent.
        """
        named = {key for key, _ in values.entries}
        entries = [
            (key, self.values.entries[key])
            for key, revision in request.refused_keys
            if key in self.values.entries
            and key not in named
            and self.values.entries[key].revision > revision
        ]
        return tuple(entries[: store.count_within(entries, MAX_UPDATE_VALUES_BYTES)])

    def apply(self, update: Update) -> Changes:
        """Apply a peer's update; return what changed."""
        keys, refusals = self.apply_values(update.values)
        for refusal in update.refusals:
            if self.record_refusal(refusal):
                refusals.append(refusal)
        names = self.apply_instances(update.instances)
        return Changes(tuple(keys), tuple(refusals), tuple(names))

    def apply_values(self, delta: store.Delta) -> tuple[list[str], list[Refusal]]:
        """Accept or refuse each newer value as a whole; return the changed keys and refusals."""
        accepted = []
        refusals = []
        for key, entry in delta.entries:
            if not self.values.is_newer(key, entry) and key not in self.refusals:
                continue
            faults = self.install_entry(key, entry)
            if not faults:
                accepted.append((key, entry))
            else:
                refusal = Refusal(entry.revision, key, tuple(faults[:MAX_FAULTS]))
                if self.record_refusal(refusal):
                    refusals.append(refusal)
        checked = dataclasses.replace(delta, entries=tuple(accepted))
        return self.merge_values(delta, checked), refusals

    def install_entry(self, key: str, entry: store.Entry) -> list[str]:
        """Validate an entry and, if it is the newest, add it to the view; return its faults."""
        if entry.value is None:
            document = None
        else:
            try:
                document = documents.parse(key, unpack_value(entry.value))
            except errors.SettingsError as error:
                return error.faults
        if self.values.is_newer(key, entry) or self.is_restoring(key, entry):
            self.put_document(key, document)
        return []

    def is_restoring(self, key: str, entry: store.Entry) -> bool:
        """Return whether an old value fills a key of which only a refused value was received."""
        return key in self.refusals and key not in self.values.entries

    def merge_values(self, delta: store.Delta, checked: store.Delta) -> list[str]:
        """Merge the accepted entries; a key with a refusal stays even if `delta.names` lacks it."""
        deleted = self.values.deleted_by(delta, self.refusals)
        for key in deleted:
            self.values.remove(key)
            self.put_document(key, None)
        changed = list(deleted)
        for key, entry in checked.entries:
            if self.is_restoring(key, entry) or self.values.is_newer(key, entry):
                self.values.set_entry(key, entry)
                changed.append(key)
                self.end_refusal(key, entry.revision)
        self.values.advance(checked)
        self.is_view_stale = True
        return changed

    def put_document(self, key: str, document: typing.Any) -> None:
        """Set a document in the assembly of the view; None removes it."""
        self.is_view_stale = True
        if key.startswith("services/"):
            specs = document.services if document is not None else {}
            self.assembly.put_services(key, {n: make_spec(s) for n, s in specs.items()})
        else:
            self.assembly.put_labels(key, document.instances if document is not None else {})

    def record_refusal(self, refusal: Refusal) -> bool:
        """Keep a refusal unless its key has a newer value or refusal; return whether kept."""
        entry = self.values.entries.get(refusal.key)
        if entry is not None and entry.revision >= refusal.revision:
            return False
        known = self.refusals.get(refusal.key)
        if known is not None and known >= refusal:
            return False
        self.refusals[refusal.key] = refusal
        if len(self.refusals) > MAX_REFUSALS:
            del self.refusals[min(self.refusals.values()).key]
        return True

    def end_refusal(self, key: str, revision: int) -> None:
        """Remove the refusal of a key if a value of its revision or above was accepted."""
        refusal = self.refusals.get(key)
        if refusal is not None and refusal.revision <= revision:
            del self.refusals[key]

    def apply_instances(self, delta: store.Delta) -> list[str]:
        """Apply a delta of the platform's list; return the names that changed."""
        before = self.instances.complete_revision
        names = self.instances.merge(delta)
        for name in names:
            self.update_instance(name)
        self.is_view_stale = (
            self.is_view_stale or bool(names) or self.instances.complete_revision != before
        )
        return names

    def set_override(self, name: str, instance: assembly.Instance | None) -> None:
        """Set the instance that overrides the list's entry; None removes the override."""
        if instance is None:
            self.overrides.pop(name, None)
        else:
            self.overrides[name] = instance
        self.update_instance(name)
        self.is_view_stale = True

    def update_instance(self, name: str) -> None:
        """Set an instance in the assembly of the view: its override, else the list's entry."""
        entry = self.instances.entries.get(name)
        listed = entry.value if entry is not None else None
        self.assembly.put_instance(name, self.overrides.get(name, listed))

    def conflicts(self) -> list[str]:
        """Return one line for each service or instance that is in more than one document."""
        return self.assembly.specs.conflicts() + self.assembly.labels.conflicts()


def make_spec(spec: documents.ServiceSpec) -> assembly.Spec:
    """Return a validated service in the compact form that the assembly uses."""
    selector = tuple(
        (key, (value,) if isinstance(value, str) else tuple(sorted(set(value))))
        for key, value in sorted(spec.selector.items())
    )
    return assembly.Spec(spec.address, selector, spec.requests())
