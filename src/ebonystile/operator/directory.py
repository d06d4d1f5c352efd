"""Discover the processes of the system, from the platform's list or else from a process."""

import dataclasses
import typing
from collections import abc

from ebonystile import clock, errors
from ebonystile.core import view
from ebonystile.core.control import assembly, configuration
from ebonystile.operator import client, messages
from ebonystile.platform import client as platform_client

ROLES = {"balancer": "balancer", "upstream": "sidecar"}
"""The program that runs on an instance, by its role in the platform's list."""


@dataclasses.dataclass(frozen=True, slots=True)
class Discovery:
    """The processes to query, and warnings about failures while discovering them."""

    processes: tuple[client.Process, ...]
    warnings: tuple[str, ...] = ()


def find(
    query_client: client.Client,
    platform: platform_client.Platform | None,
    seeds: abc.Sequence[view.Address],
) -> Discovery:
    """Return the processes of the platform's list or, without it, those that the `seeds` know."""
    warnings = []
    if platform is not None:
        try:
            entries = read_instance_list(platform, clock.now() + query_client.wait_ms)
            return Discovery(tuple(process_of(entry) for entry in entries if entry.state != "gone"))
        except errors.PlatformError as error:
            warnings.append(f"the platform's list can't be read: {error.reason}")
    replies = query_client.ask_all(processes_at(seeds), messages.ProcessesRequest)
    warnings += [f"{r.process.name} did not answer: {r.error}" for r in replies if r.error]
    return Discovery(tuple(processes_from_replies(replies)), tuple(warnings))


def read_instance_list(
    platform: platform_client.Platform, wait_until: int
) -> tuple[platform_client.Instance, ...]:
    """Return the complete list of instances; raise `PlatformError`."""
    return platform_client.read_all_pages(platform.instances, wait_until).entries


def process_of(entry: platform_client.Instance) -> client.Process:
    """Return the process on an instance of the list."""
    return client.Process(entry.name, ROLES[entry.role], entry.address)


def processes_at(addresses: abc.Iterable[view.Address]) -> list[client.Process]:
    """Return processes known by address only, without a role."""
    return [client.Process(f"{host}:{port}", "", (host, port)) for host, port in addresses]


def processes_from_replies(replies: abc.Iterable[client.Reply]) -> list[client.Process]:
    """Return every process that an answer names or that was queried, one for each address."""
    by_address: dict[view.Address, client.Process] = {}
    for reply in replies:
        if isinstance(reply.answer, messages.Processes):
            for name, role, address in reply.answer.processes:
                by_address.setdefault(tuple(address), client.Process(name, role, tuple(address)))
        by_address.setdefault(reply.process.address, reply.process)
    return sorted(by_address.values(), key=lambda p: (p.role, p.name))


def read_configuration(
    platform: platform_client.Platform, wait_until: int
) -> configuration.Configuration:
    """Return the configuration as the platform publishes it now; raise `PlatformError`."""
    values = platform_client.read_all_pages(platform.watch, wait_until)
    instances = platform_client.read_all_pages(platform.instances, wait_until)
    return make_configuration(
        values.revision,
        [(value.key, value.revision, value.value) for value in values.entries],
        instances.entries,
        instances.revision,
    )


def make_configuration(
    revision: int,
    values: abc.Iterable[tuple[str, int, typing.Any]],
    instances: abc.Iterable[platform_client.Instance],
    instances_revision: int,
) -> configuration.Configuration:
    """Build a configuration from published values and a list of instances."""
    made = configuration.Configuration()
    made.apply_values(configuration.values_delta(0, revision, values))
    entries = [(instance_of(entry), entry.state == "gone") for entry in instances]
    made.apply_instances(configuration.instances_delta(0, instances_revision, entries))
    return made


def instance_of(entry: platform_client.Instance) -> assembly.Instance:
    """Convert an instance of the platform's list to the one that views are assembled from."""
    leaving = entry.state == "leaving"
    return assembly.Instance(entry.name, entry.role, entry.address, entry.zone, leaving)
