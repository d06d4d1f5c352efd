"""Gather searches that must ask or probe many sidecars, so that they share messages.

After an outage all open flows are looked for at the same time. One by one that is a message for
each flow and sidecar, many times what a balancer can send and sidecars can answer.
"""

import dataclasses
import math
import typing

from ebonystile.core import view
from ebonystile.core.carrying import fleet, packet, search

GATHER_MS = 20
"""How long searches that must ask everybody wait for others of the kind, in ms."""

MOST_TOGETHER = 64
"""Flows asked about in one datagram, 16 bytes each."""

REMEMBER_MS = 1_000
"""How long the flows of a batch are remembered for its answers, in ms."""


@dataclasses.dataclass(slots=True)
class AskBatch:
    """The searches that wait to ask everybody, and those that did, by the number of the asking.

    After an outage nobody holds the flows that all callers send packets of, and everybody must say
    so. One by one that is a message for each flow and sidecar; together it is one for each sidecar.
    """

    waiting: dict[packet.Flow, search.Search] = dataclasses.field(default_factory=dict)
    due: int | None = None
    number: int = 0
    asked: dict[int, tuple[int, tuple[packet.Flow, ...]]] = dataclasses.field(default_factory=dict)

    def add(self, found: search.Search, now: int) -> None:
        """Let a search wait for the next asking."""
        self.waiting[found.flow] = found
        if self.due is None:
            self.due = now + GATHER_MS

    def take(self, searches: dict[packet.Flow, search.Search], now: int) -> list[search.Search]:
        """Return the searches to ask about now, those that still go on."""
        flows = list(self.waiting)[:MOST_TOGETHER]
        taken = [self.waiting.pop(flow) for flow in flows]
        self.due = now + GATHER_MS if self.waiting else None
        return [found for found in taken if searches.get(found.flow) is found]

    def remember(self, flows: tuple[packet.Flow, ...], now: int) -> int:
        """Return a number for an asking about these flows."""
        self.asked = {n: kept for n, kept in self.asked.items() if now - kept[0] < REMEMBER_MS}
        self.number = (self.number + 1) % (1 << 32)
        self.asked[self.number] = (now, flows)
        return self.number

    def flows_of(self, number: int) -> tuple[packet.Flow, ...]:
        """Return the flows of an asking, none if it is forgotten."""
        return self.asked[number][1] if number in self.asked else ()


MOST_PROBE_BYTES = 1_200
"""Bytes of packets in one datagram of probes; a longer packet goes alone."""


@dataclasses.dataclass(slots=True)
class ProbeBatch:
    """The searches that wait to probe many upstreams, and whom each.

    After an outage the same dozens of upstreams are probed for hundreds of flows. Each in a message
    of its own they wait for the budget of such messages longer than their callers have time.
    """

    waiting: dict[packet.Flow, tuple[search.Search, list[fleet.Upstream]]] = dataclasses.field(
        default_factory=dict
    )
    due: int | None = None

    def add(self, found: search.Search, upstreams: list[fleet.Upstream], now: int) -> None:
        """Let a search wait for the next probes."""
        self.waiting[found.flow] = (found, upstreams)
        if self.due is None:
            self.due = now + GATHER_MS

    def next_flows(self) -> tuple[list[packet.Flow], int]:
        """Return the flows to probe for next, and how many messages that takes.

        Packets of uploads fill a message each, so a batch ends at the messages that the budget
        gives at once, not at a number of flows only.
        """
        flows: list[packet.Flow] = []
        addresses: set[view.Address] = set()
        size = wanted = 0
        for flow, (found, upstreams) in self.waiting.items():
            all_addresses = addresses.union(u.address for u in upstreams)
            whole_size = size + len(found.packets[0].raw) * len(upstreams)
            messages_then = max(len(all_addresses), math.ceil(whole_size / MOST_PROBE_BYTES))
            full = len(flows) >= MOST_TOGETHER or messages_then > search.LATER_WAVE
            if flows and full:
                break
            flows.append(flow)
            addresses, size, wanted = all_addresses, whole_size, messages_then
        return flows, wanted

    def take(
        self, flows: list[packet.Flow], searches: dict[packet.Flow, search.Search], now: int
    ) -> list[tuple[search.Search, list[fleet.Upstream]]]:
        """Return the searches of these flows that still go on, with whom to probe."""
        taken = [self.waiting.pop(flow) for flow in flows]
        self.due = now + GATHER_MS if self.waiting else None
        return [(found, to) for found, to in taken if searches.get(found.flow) is found]


def datagrams(raws: typing.Iterable[bytes]) -> list[tuple[bytes, ...]]:
    """Return packets in groups that fit into a datagram each."""
    groups: list[list[bytes]] = []
    room = 0
    for raw in raws:
        if not groups or len(raw) > room:
            groups.append([])
            room = MOST_PROBE_BYTES
        groups[-1].append(raw)
        room -= len(raw)
    return [tuple(group) for group in groups]
