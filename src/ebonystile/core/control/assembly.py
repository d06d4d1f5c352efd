"""Build the view incrementally from services, labels and instances.

A view may have 16,000 endpoints. A change of one instance makes one new endpoint and one new tuple
for each service it serves, and copies the dictionaries, whose other values are shared.
"""

import collections
import dataclasses
import sys
import typing

from ebonystile.core import view
from ebonystile.core.carrying import routes

Pair = tuple[str, str]
"""A label's key and value."""

LEAVING_LABEL: Pair = ("leaving", "true")

MAX_POOL_TUPLES = 65_536
"""Size of the pool of interned tuples; a full pool is cleared, which only costs memory."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Instance:
    """An instance as listed by the platform, or by its own statement."""

    name: str
    role: str
    address: view.Address
    zone: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """A service as published; `selector` holds the matching values of each label key."""

    address: str
    selector: tuple[tuple[str, tuple[str, ...]], ...]
    requests: routes.RequestTraits = routes.NO_TRAITS

    def pairs(self) -> typing.Iterator[Pair]:
        """Return every label pair that the selector contains."""
        return ((key, value) for key, values in self.selector for value in values)

    def matches(self, labels: tuple[Pair, ...]) -> bool:
        """Return whether the labels have one of the selector's values for each of its keys."""
        have = dict(labels)
        return all(have.get(key) in values for key, values in self.selector)


class Claims:
    """The value of each name, where several documents may define the same name.

    The document with the lowest key wins, whatever the order of arrival, so that all processes
    agree. The values of the others are kept until it drops the name, so operators can move a name
    from one document to another without a gap.
    """

    def __init__(self) -> None:
        self.values: dict[str, typing.Any] = {}
        self.sources: dict[str, str] = {}
        self.shadowed: dict[str, dict[str, typing.Any]] = {}
        self.names: dict[str, tuple[str, ...]] = {}

    def replace(self, source: str, values: dict[str, typing.Any]) -> list[str]:
        """Replace all values of a document; return the names whose value changed."""
        changed = []
        former = self.names.pop(source, ())
        for name in {*former, *values}:
            if self.set_claim(name, source, values.get(name)):
                changed.append(name)
        if values:
            self.names[source] = tuple(values)
        return sorted(changed)

    def set_claim(self, name: str, source: str, value: typing.Any) -> bool:
        """Set or remove a document's value of a name; return whether the name's value changed."""
        claims = self.shadowed.pop(name, {})
        before = self.values.pop(name, None)
        if before is not None:
            claims[self.sources.pop(name)] = before
        claims.pop(source, None)
        if value is not None:
            claims[source] = value
        if not claims:
            return before is not None
        winner = min(claims)
        self.values[name] = claims.pop(winner)
        self.sources[name] = winner
        if claims:
            self.shadowed[name] = claims
        return self.values[name] != before

    def conflicts(self) -> list[str]:
        """Return one line for each name that more than one document defines."""
        return [
            f"{name}: in {self.sources[name]} and {', '.join(sorted(claims))};"
            f" {self.sources[name]} holds"
            for name, claims in sorted(self.shadowed.items())
        ]


class Assembly:
    """The parts of the view, and the view last built from them."""

    def __init__(self) -> None:
        self.specs = Claims()
        self.labels = Claims()
        self.instances: dict[str, Instance] = {}
        self.services_by_instance: dict[str, tuple[str, ...]] = {}
        self.services_by_label: dict[Pair, tuple[str, ...]] = {}
        self.label_uses: collections.Counter[Pair] = collections.Counter()
        self.index_entries: dict[str, tuple[Spec, tuple[Pair, ...]]] = {}
        self.pool: dict[typing.Any, typing.Any] = {}
        self.changed_services: set[str] = set()
        self.changed_instances: set[str] = set()
        self.view = view.EMPTY

    def put_services(self, source: str, specs: dict[str, Spec]) -> None:
        """Replace the content of a document of services."""
        for name in self.specs.replace(source, specs):
            self.unindex_service(name)
            spec = self.specs.values.get(name)
            if spec is not None:
                self.index_service(name, spec)
            self.changed_services.add(name)

    def put_labels(self, source: str, labels: dict[str, dict[str, str]]) -> None:
        """Replace the content of a document of labels."""
        packed = {sys.intern(name): self.pack_labels(pairs) for name, pairs in labels.items()}
        self.changed_instances.update(self.labels.replace(source, packed))

    def put_instance(self, name: str, instance: Instance | None) -> None:
        """Set an instance, or remove it if None."""
        if self.instances.get(name) == instance:
            return
        if instance is None:
            del self.instances[name]
        else:
            self.instances[name] = instance
        self.changed_instances.add(name)

    def pack_labels(self, labels: dict[str, str]) -> tuple[Pair, ...]:
        """Return labels as a sorted tuple, shared by all instances with the same labels."""
        pairs = tuple(
            self.intern_tuple((sys.intern(k), sys.intern(v))) for k, v in sorted(labels.items())
        )
        return self.intern_tuple(pairs)

    def intern_tuple(self, item: tuple[typing.Any, ...]) -> tuple[typing.Any, ...]:
        """Return the pool's equal tuple, if there is one, to save memory."""
        if len(self.pool) >= MAX_POOL_TUPLES:
            self.pool.clear()
        return self.pool.setdefault(item, item)

    def index_service(self, name: str, spec: Spec) -> None:
        """Index the service by the key of its selector that the fewest services use."""
        self.label_uses.update(spec.pairs())
        _, key, values = min(
            (max(self.label_uses[key, value] for value in values), key, values)
            for key, values in spec.selector
        )
        pairs = tuple((key, value) for value in values)
        self.index_entries[name] = (spec, pairs)
        for pair in pairs:
            self.services_by_label[pair] = (*self.services_by_label.get(pair, ()), name)

    def unindex_service(self, name: str) -> None:
        """Remove the service from the index, if it is there."""
        if name not in self.index_entries:
            return
        spec, pairs = self.index_entries.pop(name)
        for pair in spec.pairs():
            self.label_uses[pair] -= 1
            if not self.label_uses[pair]:
                del self.label_uses[pair]
        for pair in pairs:
            rest = tuple(other for other in self.services_by_label[pair] if other != name)
            if rest:
                self.services_by_label[pair] = rest
            else:
                del self.services_by_label[pair]

    def services_for(self, name: str) -> tuple[str, ...]:
        """Return the sorted names of the services whose selectors match the instance."""
        instance = self.instances.get(name)
        if instance is None or instance.role != "upstream":
            return ()
        labels = self.labels.values.get(name, ())
        candidates = {s for pair in labels for s in self.services_by_label.get(pair, ())}
        names = tuple(sorted(s for s in candidates if self.specs.values[s].matches(labels)))
        return self.intern_tuple(names)

    def endpoint_for(self, name: str) -> view.Endpoint | None:
        """Return the instance's endpoint; it is leaving by its own state or by a label."""
        instance = self.instances.get(name)
        if instance is None or instance.role != "upstream":
            return None
        leaving = instance.leaving or LEAVING_LABEL in self.labels.values.get(name, ())
        return view.make_endpoint(
            instance.name, instance.address, sys.intern(instance.zone), leaving=leaving
        )

    def build(self, revision: int, instances_revision: int) -> view.View:
        """Return the view, rebuilt with all changes since the last call."""
        if self.changed_services:
            self.add_affected_instances()
        services = dict(self.view.services)
        endpoints = dict(self.view.endpoints)
        joined, left = self.refresh_endpoints(endpoints)
        for name in self.changed_services | joined.keys() | left.keys():
            self.refresh_service(services, name, joined.get(name, []), left.get(name, set()))
        balancers = self.view.balancers
        if any(self.can_affect_balancers(name) for name in self.changed_instances):
            balancers = self.balancer_addresses()
        self.changed_services.clear()
        self.changed_instances.clear()
        self.view = view.View(revision, services, endpoints, balancers, instances_revision)
        return self.view

    def add_affected_instances(self) -> None:
        """Mark as changed the instances that changed selectors may affect."""
        changed = self.changed_services & self.index_entries.keys()
        pairs = {pair for name in changed for pair in self.index_entries[name][1]}
        for name, labels in self.labels.values.items():
            if not pairs.isdisjoint(labels):
                self.changed_instances.add(name)
        for service in self.changed_services & self.view.services.keys():
            self.changed_instances.update(u.name for u in self.view.services[service].upstreams)

    def refresh_endpoints(
        self, endpoints: dict[int, view.Endpoint]
    ) -> tuple[dict[str, list[view.Endpoint]], dict[str, set[int]]]:
        """Rebuild the changed endpoints; return those that join and leave each service."""
        joined: dict[str, list[view.Endpoint]] = collections.defaultdict(list)
        left: dict[str, set[int]] = collections.defaultdict(set)
        for name in self.changed_instances:
            key = view.key_of(name)
            endpoint = self.endpoint_for(name)
            before = self.services_by_instance.pop(name, ())
            after = self.services_for(name)
            if after:
                self.services_by_instance[name] = after
            if endpoint is None:
                endpoints.pop(key, None)
            elif endpoints.get(key) != endpoint:
                endpoints[endpoint.key] = endpoint
            elif before == after:
                continue
            for service in before:
                left[service].add(key)
            for service in after:
                joined[service].append(endpoints[key])
        return joined, left

    def refresh_service(
        self,
        services: dict[str, view.Service],
        name: str,
        joined: list[view.Endpoint],
        left: set[int],
    ) -> None:
        """Rebuild one service, with its upstreams in the order of their names."""
        spec = self.specs.values.get(name)
        if spec is None:
            services.pop(name, None)
            return
        former = services[name].upstreams if name in services else ()
        stay = [u for u in former if u.key not in left]
        upstreams = sorted([*stay, *joined], key=lambda u: u.name)
        services[name] = view.make_service(name, spec.address, upstreams, spec.requests)

    def can_affect_balancers(self, name: str) -> bool:
        """Return whether a change of the instance can affect the list of balancers."""
        instance = self.instances.get(name)
        return instance is None or instance.role == "balancer"

    def balancer_addresses(self) -> tuple[view.Address, ...]:
        """Return the addresses of the balancers that are not leaving."""
        return tuple(
            sorted(
                i.address for i in self.instances.values() if i.role == "balancer" and not i.leaving
            )
        )
