"""Placement of new flows while the queues of all upstreams are full."""

import collections
import dataclasses

from ebonystile.core.carrying import opening, placing
from ebonystile.platform import packets
from standins import ends
from tests.carrying import world

REQUEST_MS = 30
QUEUE_LENGTH = 12
SHED = b"shed"


@dataclasses.dataclass
class Work:
    """The running and queued requests of one upstream; `taken` holds those already accepted."""

    running: int = 0
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)
    taken: set = dataclasses.field(default_factory=set)


class LoadedWorld(world.World):
    """A simulation whose upstreams have a few slots and a short queue of requests."""

    def __init__(self, slots=2, **sizes):
        super().__init__(zones=("a",), **sizes)
        self.slots = slots
        self.work = {node.address: Work() for node in self.sidecars}

    def from_upstream(self, node, raw):
        sent = packets.from_upstream(raw)
        if not sent.length or sent.returned:
            super().from_upstream(node, raw)
            return
        work = self.work[node.address]
        if raw in work.taken:
            return
        work.taken.add(raw)
        if work.running < self.slots:
            work.running += 1
            self.schedule(REQUEST_MS, self.done, node, raw)
        elif len(work.waiting) < QUEUE_LENGTH:
            work.waiting.append(raw)
        else:
            super().from_upstream(node, raw[: packets.HEADER.size] + SHED.ljust(sent.length))

    def done(self, node, raw):
        work = self.work[node.address]
        work.running -= 1
        if work.waiting:
            work.running += 1
            self.schedule(REQUEST_MS, self.done, node, work.waiting.popleft())
        super().from_upstream(node, raw)

    def fill(self, requests):
        """Send requests on open flows, spread evenly over the upstreams."""
        for caller in [self.open(50_000 + n) for n in range(requests)]:
            self.ask(caller, b"x" * 20)
        self.run(5 * world.DELAY_MS)


def open_with_requests(scene, count, **where):
    """Return callers that open flows now and send a request at once."""
    callers = [scene.caller(40_000 + n, **where) for n in range(count)]
    for caller in callers:
        scene.ask(caller, b"y" * 20)
    return callers


def count_shed(callers):
    return sum(caller.answer is not None and caller.answer.startswith(SHED) for caller in callers)


def test_new_flows_are_deferred_while_all_queues_are_full():
    """New flows placed while open flows fill all queues would be refused.

    The upstreams have room for 56 requests and get 54 on open flows and 30 on new ones.
    """
    scene = LoadedWorld(upstreams=4)
    scene.fill(54)
    late = open_with_requests(scene, 30)
    scene.run(1_200)
    assert all(caller.answer is not None for caller in late)
    assert count_shed(late) == 0


def test_a_flow_is_placed_after_the_longest_deferral(monkeypatch):
    """A flow deferred for as long as all upstreams are overloaded would outlast its caller."""
    monkeypatch.setattr(placing.Candidate, "is_overloaded", True)
    scene = LoadedWorld(upstreams=2)
    (caller,) = open_with_requests(scene, 1)
    scene.run(opening.MAX_DEFER_MS - 30)
    assert not caller.open
    scene.run(100)
    assert caller.open and caller.answer is not None


def test_a_flow_is_not_deferred_while_upstreams_have_capacity():
    scene = LoadedWorld(upstreams=4)
    scene.fill(8)
    (caller,) = open_with_requests(scene, 1)
    scene.run(4 * world.DELAY_MS + 2)
    assert caller.open
    assert not [event for _, event, _ in scene.traces if event == "held"]


def test_deferred_flows_send_few_queries():
    """Queries of 100 deferred flows must not exceed one round per flow and interval."""
    scene = LoadedWorld(upstreams=4)
    scene.fill(54)
    scene.sent.clear()
    open_with_requests(scene, 100)
    scene.run(opening.MAX_DEFER_MS)
    steps = opening.MAX_DEFER_MS / opening.DEFER_STEP_MS
    assert len(scene.sent) < 100 * 4 * 2 * steps
    assert ends.OPEN_TIMEOUT_MS > opening.MAX_DEFER_MS
