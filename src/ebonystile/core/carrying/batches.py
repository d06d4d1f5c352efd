"""Batch the queries and probes of searches that address many sidecars.

After an outage all open flows are searched for at the same time. One message per flow and sidecar
would be many times what a balancer can send and sidecars can answer.
"""

import dataclasses
import math
import typing

from ebonystile.core import view
from ebonystile.core.carrying import fleet, flow_search, packet

GATHER_MS = 20
"""How long a search waits for others to join its batch, in ms."""

MOST_TOGETHER = 64
"""Limit of flows in one batch; a query takes 16 bytes per flow in one datagram."""

REMEMBER_MS = 1_000
"""How long the flows of a batch are kept to match its answers, in ms."""


@dataclasses.dataclass(slots=True)
class AskBatch:
    """The searches that wait to query all sidecars.

    `due` is the time of the next batch in ms, or None. `asked` holds the time and the flows of each
    query sent, by the number that its answer repeats.
    """

    waiting: dict[packet.Flow, flow_search.Search] = dataclasses.field(default_factory=dict)
    due: int | None = None
    number: int = 0
    asked: dict[int, tuple[int, tuple[packet.Flow, ...]]] = dataclasses.field(default_factory=dict)

    def add(self, found: flow_search.Search, now: int) -> None:
        """Add a search to the next batch."""
        self.waiting[found.flow] = found
        if self.due is None:
            self.due = now + GATHER_MS

    def take(
        self, searches: dict[packet.Flow, flow_search.Search], now: int
    ) -> list[flow_search.Search]:
        """Remove the next batch and return its searches that are still running."""
        flows = list(self.waiting)[:MOST_TOGETHER]
        taken = [self.waiting.pop(flow) for flow in flows]
        self.due = now + GATHER_MS if self.waiting else None
        return [found for found in taken if searches.get(found.flow) is found]

    def register_flows(self, flows: tuple[packet.Flow, ...], now: int) -> int:
        """Record a query about these flows and return its number."""
        self.asked = {n: kept for n, kept in self.asked.items() if now - kept[0] < REMEMBER_MS}
        self.number = (self.number + 1) % (1 << 32)
        self.asked[self.number] = (now, flows)
        return self.number

    def flows_of(self, number: int) -> tuple[packet.Flow, ...]:
        """Return the flows of a query, or none if it has expired."""
        return self.asked[number][1] if number in self.asked else ()


MOST_PROBE_BYTES = 1_200
"""Limit of packet bytes in one datagram of probes; a longer packet gets its own datagram."""


@dataclasses.dataclass(slots=True)
class ProbeBatch:
    """The searches that wait to probe many upstreams, with the upstreams of each.

    After an outage the same upstreams are probed for hundreds of flows. With one message per probe
    most searches would wait for the fan-out budget beyond their callers' timeouts.
    """

    waiting: dict[packet.Flow, tuple[flow_search.Search, list[fleet.Upstream]]] = dataclasses.field(
        default_factory=dict
    )
    due: int | None = None

    def add(self, found: flow_search.Search, upstreams: list[fleet.Upstream], now: int) -> None:
        """Add a search to the next batch."""
        self.waiting[found.flow] = (found, upstreams)
        if self.due is None:
            self.due = now + GATHER_MS

    def next_flows(self) -> tuple[list[packet.Flow], int]:
        """Return the flows of the next batch and the number of messages it takes.

        A batch is limited by its messages as well as by its flows: packets of uploads fill a
        message each, and the batch must fit the burst of the fan-out budget.
        """
        flows: list[packet.Flow] = []
        addresses: set[view.Address] = set()
        size = wanted = 0
        for flow, (found, upstreams) in self.waiting.items():
            all_addresses = addresses.union(u.address for u in upstreams)
            whole_size = size + len(found.packets[0].raw) * len(upstreams)
            messages_then = max(len(all_addresses), math.ceil(whole_size / MOST_PROBE_BYTES))
            full = len(flows) >= MOST_TOGETHER or messages_then > flow_search.LATER_WAVE
            if flows and full:
                break
            flows.append(flow)
            addresses, size, wanted = all_addresses, whole_size, messages_then
        return flows, wanted

    def take(
        self, flows: list[packet.Flow], searches: dict[packet.Flow, flow_search.Search], now: int
    ) -> list[tuple[flow_search.Search, list[fleet.Upstream]]]:
        """Remove these flows; return the searches still running, with the upstreams to probe."""
        taken = [self.waiting.pop(flow) for flow in flows]
        self.due = now + GATHER_MS if self.waiting else None
        return [(found, to) for found, to in taken if searches.get(found.flow) is found]


def datagrams(raws: typing.Iterable[bytes]) -> list[tuple[bytes, ...]]:
    """Return the packets in groups, each of which fits into one datagram."""
    groups: list[list[bytes]] = []
    room = 0
    for raw in raws:
        if not groups or len(raw) > room:
            groups.append([])
            room = MOST_PROBE_BYTES
        groups[-1].append(raw)
        room -= len(raw)
    return [tuple(group) for group in groups]
