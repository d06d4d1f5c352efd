"""Queue the datagrams of one level, with deficit round robin among callers.

Shreedhar and Varghese, "Efficient Fair Queueing Using Deficit Round Robin", SIGCOMM 1995.
"""

import collections
import dataclasses
import heapq
import itertools

from ebonystile.core.carrying import datagram, packet

INTERACTIVE_QUANTUM = 1_300
"""Bytes that a caller may send per turn at a level of interactive flows: one full packet."""

BULK_QUANTUM = 96 * 1024
"""Bytes that a caller may send per turn at a level of bulk flows. Transfers that share the link
packet by packet all finish late together."""

Caller = bytes | None
"""A caller's address, None for messages between processes."""


class FlowQueue:
    """The datagrams of one flow that wait at a level; `start` orders the bulk flows of a caller."""

    def __init__(self, flow: packet.Flow | None, start: int):
        self.flow = flow
        self.start = start
        self.waiting: collections.deque[datagram.Datagram] = collections.deque()
        self.bytes = 0
        self.level: Level | None = None

    @property
    def caller(self) -> Caller:
        """Return the flow's caller."""
        return None if self.flow is None else packet.caller_address(self.flow)

    def append(self, added: datagram.Datagram) -> None:
        """Add a datagram at the end."""
        self.waiting.append(added)
        self.count(added.size)

    def pop_oldest(self) -> datagram.Datagram:
        """Remove the oldest datagram and return it."""
        return self.remove(self.waiting.popleft())

    def pop_newest(self) -> datagram.Datagram:
        """Remove the newest datagram and return it."""
        return self.remove(self.waiting.pop())

    def remove(self, removed: datagram.Datagram) -> datagram.Datagram:
        """Count a datagram that was taken out."""
        self.count(-removed.size)
        return removed

    def count(self, size: int) -> None:
        """Add to the bytes that wait in the flow and at its level."""
        self.bytes += size
        self.level.bytes += size


@dataclasses.dataclass(slots=True)
class Turn:
    """A caller's flows at a level in the order of service, and the bytes left of its turn."""

    caller: Caller
    deficit: int
    flows: list[tuple[int, int, FlowQueue]] = dataclasses.field(default_factory=list)


class Level:
    """The queues of one level; `bytes` is what waits there, headers included."""

    def __init__(self, rank: int, *, is_bulk: bool):
        self.rank = rank
        self.is_bulk = is_bulk
        self.quantum = BULK_QUANTUM if is_bulk else INTERACTIVE_QUANTUM
        self.bytes = 0
        self.turns: collections.deque[Turn] = collections.deque()
        self.by_caller: dict[Caller, Turn] = {}
        self.numbers = itertools.count()

    def add_flow(self, flow: FlowQueue) -> None:
        """Add a flow's queue, which may hold datagrams already."""
        flow.level = self
        self.bytes += flow.bytes
        for moved in flow.waiting:
            moved.rank = self.rank
        turn = self.by_caller.get(flow.caller)
        if turn is None:
            turn = self.by_caller[flow.caller] = Turn(flow.caller, self.quantum)
            self.turns.append(turn)
        self.add_to_turn(turn, flow)

    def add_to_turn(self, turn: Turn, flow: FlowQueue) -> None:
        """Add a flow to its caller's: bulk flows in order of their start, others take turns."""
        number = next(self.numbers)
        heapq.heappush(turn.flows, (flow.start if self.is_bulk else number, number, flow))

    def remove_flow(self, flow: FlowQueue) -> None:
        """Remove a flow's queue, to move it to another level."""
        self.bytes -= flow.bytes
        turn = self.by_caller[flow.caller]
        turn.flows = [entry for entry in turn.flows if entry[2] is not flow]
        heapq.heapify(turn.flows)

    def next_flow(self) -> FlowQueue:
        """Return the flow whose oldest datagram is next; something must wait at the level."""
        while True:
            turn = self.turns[0]
            while turn.flows and not turn.flows[0][2].waiting:
                heapq.heappop(turn.flows)
            if not turn.flows:
                self.turns.popleft()
                del self.by_caller[turn.caller]
                continue
            flow = turn.flows[0][2]
            if flow.waiting[0].size <= turn.deficit:
                return flow
            turn.deficit += self.quantum
            self.turns.rotate(-1)

    def pop(self, flow: FlowQueue) -> datagram.Datagram:
        """Remove the oldest datagram of the flow that `next_flow` returned, and return it."""
        sent = flow.pop_oldest()
        turn = self.turns[0]
        turn.deficit -= sent.size
        if not self.is_bulk:
            heapq.heappop(turn.flows)
            if flow.waiting:
                self.add_to_turn(turn, flow)
        return sent
