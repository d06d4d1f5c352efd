"""Batch the queries and probes of searches that address many sidecars.

After an outage all open flows are searched for at the same time. One message per flow and sidecar
would be many times what a balancer can send and sidecars can answer.
"""

import dataclasses
import math
import typing

from ebonystile.core import view
from ebonystile.core.carrying import fleet, flow_search, packet

BATCH_DELAY_MS = 20
"""How long a search waits for others to join its batch, in ms."""

MAX_BATCH_FLOWS = 64
"""Limit of flows in one batch; a query takes 16 bytes per flow in one datagram."""

QUERY_MEMORY_MS = 1_000
"""How long the flows of a batch are kept to match its answers, in ms."""


@dataclasses.dataclass(slots=True)
class AskBatch:
    """The searches that wait to query all sidecars.

    After an outage no sidecar holds the flows of any caller, and all must say so. Asked one by one
    that is a message for each flow and sidecar; in a batch it is one for each sidecar.

    `due` is the time of the next batch in ms, or None. `asked_flows` holds the time and the flows
    of each query sent, by the number that its answer repeats.
    """

    waiting: dict[packet.Flow, flow_search.Search] = dataclasses.field(default_factory=dict)
    due: int | None = None
    last_number: int = 0
    asked_flows: dict[int, tuple[int, tuple[packet.Flow, ...]]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, search: flow_search.Search, now: int) -> None:
        """Add a search to the next batch."""
        self.waiting[search.flow] = search
        if self.due is None:
            self.due = now + BATCH_DELAY_MS

    def discard(self, search: flow_search.Search) -> None:
        """Remove a search that ends, if it waits."""
        self.waiting.pop(search.flow, None)
        if not self.waiting:
            self.due = None

    def take(self, now: int) -> list[flow_search.Search]:
        """Remove the searches of the next batch and return them."""
        flows = list(self.waiting)[:MAX_BATCH_FLOWS]
        taken = [self.waiting.pop(flow) for flow in flows]
        self.due = now + BATCH_DELAY_MS if self.waiting else None
        return taken

    def register_flows(self, flows: tuple[packet.Flow, ...], now: int) -> int:
        """Record a query about these flows and return its number."""
        self.asked_flows = {
            n: kept for n, kept in self.asked_flows.items() if now - kept[0] < QUERY_MEMORY_MS
        }
        self.last_number = (self.last_number + 1) % (1 << 32)
        self.asked_flows[self.last_number] = (now, flows)
        return self.last_number

    def flows_of(self, number: int) -> tuple[packet.Flow, ...]:
        """Return the flows of a query, or none if it has expired."""
        return self.asked_flows[number][1] if number in self.asked_flows else ()


MAX_PROBE_BYTES = 1_200
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

    def add(self, search: flow_search.Search, upstreams: list[fleet.Upstream], now: int) -> None:
        """Add a search to the next batch."""
        self.waiting[search.flow] = (search, upstreams)
        if self.due is None:
            self.due = now + BATCH_DELAY_MS

    def discard(self, search: flow_search.Search) -> None:
        """Remove a search that ends, if it waits."""
        self.waiting.pop(search.flow, None)
        if not self.waiting:
            self.due = None

    def next_flows(self) -> tuple[list[packet.Flow], int]:
        """Return the flows of the next batch and the number of messages it takes.

        A batch is limited by its messages as well as by its flows: packets of uploads fill a
        message each, and the batch must fit the burst of the fan-out budget.
        """
        flows: list[packet.Flow] = []
        addresses: set[view.Address] = set()
        size = message_count = 0
        for flow, (search, upstreams) in self.waiting.items():
            new_addresses = addresses.union(u.address for u in upstreams)
            new_size = size + len(search.probe_packet().raw) * len(upstreams)
            new_message_count = max(len(new_addresses), math.ceil(new_size / MAX_PROBE_BYTES))
            is_full = (
                len(flows) >= MAX_BATCH_FLOWS or new_message_count > flow_search.LATER_ROUND_SIZE
            )
            if flows and is_full:
                break
            flows.append(flow)
            addresses, size, message_count = new_addresses, new_size, new_message_count
        return flows, message_count

    def take(
        self, flows: list[packet.Flow], now: int
    ) -> list[tuple[flow_search.Search, list[fleet.Upstream]]]:
        """Remove these flows; return their searches, with the upstreams to probe."""
        taken = [self.waiting.pop(flow) for flow in flows]
        self.due = now + BATCH_DELAY_MS if self.waiting else None
        return taken


def group_into_datagrams(raws: typing.Iterable[bytes]) -> list[tuple[bytes, ...]]:
    """Return the packets in groups, each of which fits into one datagram."""
    groups: list[list[bytes]] = []
    bytes_left = 0
    for raw in raws:
        if not groups or len(raw) > bytes_left:
            groups.append([])
            bytes_left = MAX_PROBE_BYTES
        groups[-1].append(raw)
        bytes_left -= len(raw)
    return [tuple(group) for group in groups]
