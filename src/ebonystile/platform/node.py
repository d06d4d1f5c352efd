"""Read the settings file that the platform generates from the template `deploy/settings.json`."""

import os
import pathlib
import typing

import msgspec

from ebonystile import errors
from ebonystile.core import view
from ebonystile.core.carrying import reading
from ebonystile.platform import entries

FILE_VARIABLE = "EBONYSTILE_NODE_FILE"
"""Environment variable with the path of the settings file."""

READY_PATH = "/-/ready"
"""Path of the readiness check at the readiness address."""

STEP = "read settings"


MEANINGS = {
    "name": "name of this instance, as logs show it",
    "role": "balancer or sidecar",
    "zone": "availability zone",
    "regions": "region of each availability zone, for routes that are kept to some regions",
    "packets": "where the fabric sends callers' packets; callers hear at the same port",
    "ready": "where the platform asks whether packets may come",
    "internal_port": "where the system's processes hear one another, by UDP and TCP",
    "store": "the platform's store",
    "seeds": "balancers to ask while the store can't be read at the start, and about sidecars "
    "whose upstreams have no entry",
    "from_upstream": "sidecars: where the upstream sends its packets",
    "upstream": "sidecars: where the upstream takes packets",
    "service": "sidecars: the upstream's service",
    "link_mbps": "rate of this instance's own link in each direction, in Mbit/s; 0 if not known",
    "change_bounds_ms": "times within which changes in the store must be in force, such as a new "
    "configuration or the leave of an upstream; the shortest counts, 3000 if there is none",
    "admission": "balancers: whether new flows wait or are refused by the objective and the time "
    "limit of their route while there is too little room",
    "metrics": "where counters and latencies are served, nowhere if left out",
}
"""Meaning of each field of the settings."""

FORMATS = {
    "name": "name",
    "role": '"balancer" or "sidecar"',
    "zone": "name",
    "regions": "object of zone to region",
    "packets": "ip:port",
    "ready": "ip:port",
    "internal_port": "number from 1 to 65535",
    "store": "ip:port",
    "seeds": "list of ip:port",
    "from_upstream": "ip:port",
    "upstream": "ip:port",
    "service": "name",
    "link_mbps": "number from 0",
    "change_bounds_ms": "list of numbers from 500",
    "admission": "true or false",
    "metrics": "ip:port",
}
"""Format of each field."""

SIDECAR_FIELDS = frozenset({"from_upstream", "upstream", "service"})
"""Fields that only sidecars use."""


class Node(msgspec.Struct):
    """The settings of a process on one instance; `MEANINGS` explains each field."""

    name: str
    role: typing.Literal["balancer", "sidecar"]
    zone: str
    packets: str
    ready: str
    internal_port: typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    store: str
    seeds: list[str] = []
    regions: dict[str, str] = {}
    from_upstream: str = ""
    upstream: str = ""
    service: str = ""
    link_mbps: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    change_bounds_ms: list[typing.Annotated[int, msgspec.Meta(ge=500)]] = []
    admission: bool = False
    metrics: str = ""

    @property
    def host(self) -> str:
        """Return this instance's address."""
        return self.packets.rpartition(":")[0]

    @property
    def change_ms(self) -> int:
        """Return the time in ms within which any change in the store must be in force."""
        return min(self.change_bounds_ms, default=reading.DEFAULT_CHANGE_MS)

    @property
    def is_seed(self) -> bool:
        """Return whether this instance is one of the seeds."""
        return any(entries.host_of(seed) == self.host for seed in self.seeds)

    @property
    def internal(self) -> view.Address:
        """Return the address at which this process receives messages of other processes."""
        return (self.host, self.internal_port)


def path() -> pathlib.Path:
    """Return the path of the settings file; raise `SettingsError` if the variable is not set."""
    named = os.environ.get(FILE_VARIABLE)
    if not named:
        raise errors.SettingsError([f"{FILE_VARIABLE} is not set"], step=STEP, peer="environment")
    return pathlib.Path(named)


def read(file: pathlib.Path) -> Node:
    """Return the settings in the file; raise `SettingsError` if they are invalid."""
    try:
        node = msgspec.json.decode(file.read_bytes(), type=Node)
        addresses = [node.packets, node.ready, node.store, *node.seeds]
        if node.role == "sidecar":
            addresses += [node.from_upstream, node.upstream]
        if node.metrics:
            addresses.append(node.metrics)
        for address in addresses:
            entries.address_of(address)
    except OSError as error:
        raise errors.SettingsError([str(error)], step=STEP, peer=str(file)) from error
    except (msgspec.MsgspecError, errors.PlatformError) as error:
        raise errors.SettingsError([str(error)], step=STEP, peer=str(file)) from error
    return node
