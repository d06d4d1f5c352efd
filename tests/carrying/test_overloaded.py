"""Play a rush of callers against upstreams with slots and queues, and check what callers get."""

import collections
import dataclasses

from ebonystile.core.carrying import opening, placing
from ebonystile.platform import packets
from standins import ends
from tests.carrying import world

WORK_MS = 30
QUEUE = 12
SHED = b"shed"


@dataclasses.dataclass
class Work:
    """What one upstream runs and queues; a copy of a request in `taken` is no further one."""

    running: int = 0
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)
    taken: set = dataclasses.field(default_factory=set)


class Rush(world.World):
    """A world whose upstreams take time for a request, on a few slots with a short queue."""

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
            self.later(WORK_MS, self.done, node, raw)
        elif len(work.waiting) < QUEUE:
            work.waiting.append(raw)
        else:
            super().from_upstream(node, raw[: packets.HEADER.size] + SHED.ljust(sent.length))

    def done(self, node, raw):
        work = self.work[node.address]
        work.running -= 1
        if work.waiting:
            work.running += 1
            self.later(WORK_MS, self.done, node, work.waiting.popleft())
        super().from_upstream(node, raw)

    def fill(self, requests):
        """Let callers with open flows send requests, evenly over the upstreams."""
        for caller in [self.open(50_000 + n) for n in range(requests)]:
            self.ask(caller, b"x" * 20)
        self.run(5 * world.DELAY_MS)


def newcomers(scene, count, **where):
    """Return callers that open flows now and ask at once."""
    callers = [scene.caller(40_000 + n, **where) for n in range(count)]
    for caller in callers:
        scene.ask(caller, b"y" * 20)
    return callers


def shed_of(callers):
    return sum(caller.answer is not None and caller.answer.startswith(SHED) for caller in callers)


def test_new_flows_wait_out_a_rush_instead_of_being_refused_by_full_upstreams():
    """All callers come back at once; open flows fill the queues, and new flows come on top.

    The upstreams have room for 56 requests and get 54 on open flows and 30 on new ones. Placed at
    once, a third of the new ones is refused; half a second later all upstreams are idle.
    """
    scene = Rush(upstreams=4)
    scene.fill(54)
    late = newcomers(scene, 30)
    scene.run(1_200)
    assert all(caller.answer is not None for caller in late)
    assert shed_of(late) == 0


def test_a_flow_does_not_wait_longer_than_its_caller(monkeypatch):
    """The rush does not end; after 0.8 s the flow goes to the least busy upstream all the same."""
    monkeypatch.setattr(placing.Candidate, "is_overloaded", True)
    scene = Rush(upstreams=2)
    (caller,) = newcomers(scene, 1)
    scene.run(opening.MAX_DEFER_MS - 30)
    assert not caller.open
    scene.run(100)
    assert caller.open and caller.answer is not None


def test_a_flow_waits_for_no_upstream_that_is_not_crowded():
    scene = Rush(upstreams=4)
    scene.fill(8)
    (caller,) = newcomers(scene, 1)
    scene.run(4 * world.DELAY_MS + 2)
    assert caller.open
    assert not [event for _, event, _ in scene.traces if event == "held"]


def test_held_flows_ask_few_questions():
    """A balancer holds 100 flows back; each asks a wave of sidecars every 25 ms at most."""
    scene = Rush(upstreams=4)
    scene.fill(54)
    scene.sent.clear()
    newcomers(scene, 100)
    scene.run(opening.MAX_DEFER_MS)
    steps = opening.MAX_DEFER_MS / opening.DEFER_STEP_MS
    assert len(scene.sent) < 100 * 4 * 2 * steps
    assert ends.OPEN_LIMIT_MS > opening.MAX_DEFER_MS
