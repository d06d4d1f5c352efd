"""Schedule what a balancer sends in front of its own narrow link.

A link queues about 50 ms of traffic and drops the excess, whatever it is. Datagrams therefore wait
here, at levels: messages between processes, opening packets and packets without data first, then
for each priority of the routes the interactive flows before the bulk flows.
"""

import collections

from ebonystile.core.carrying import datagram, fair_queue, pacing, packet, routes, transfers

MAX_SCHEDULED_MBPS = 50
"""Rate of a link in Mbit/s above which it is not scheduled: one process can't fill it."""

PACED_SHARE = 0.97
"""Share of the link's rate that is used for datagrams; the rest is for TCP."""

BYTES_PER_MS_PER_MBPS = 125
"""Bytes per ms that make up 1 Mbit/s."""

FIRST_RANK = 0
"""Rank of the level of messages, opening packets and packets without data."""

LONGEST_WAIT_SHARE = 8
"""One in this many bytes goes to the level whose oldest datagram has waited longest, so that lower
levels are not starved."""

MAX_SHARE_CREDIT = 2_000
"""Bytes that lower levels may claim at most; more than the largest datagram."""

MAX_WAITING_BYTES = 1 << 20
"""Limit of the bytes that wait, headers included."""

MIN_WAKE_MS = 2
"""Shortest time to the next wake-up, in ms; a shorter one would cost a wake-up per packet."""

OPENING_EXPIRY_MS = 1_400
"""Time in ms after which a caller gives up an unanswered opening packet."""

DEFAULT_EXPIRY_MS = 5_000
"""Time in ms after which packets of a route without a time limit are dropped."""

DUPLICATE, OVERFLOW, EXPIRED, ABORTED = "duplicate", "overflow", "expired", "aborted"
"""Reasons for which datagrams are dropped."""


class LinkScheduler:
    """Decides the order and the time at which datagrams are sent to the link.

    `dropped` counts the datagrams dropped by reason.
    """

    def __init__(self, link_mbps: float, now: int):
        self.configured_mbps = link_mbps
        self.rate_mbps = link_mbps
        self.pacer = pacing.Pacer(self.bytes_per_ms, now)
        self.transfers = transfers.Transfers()
        self.levels: dict[int, fair_queue.Level] = {}
        self.flows: dict[tuple[packet.Flow | None, bool], fair_queue.FlowQueue] = {}
        self.arrivals: collections.OrderedDict[datagram.Datagram, None] = collections.OrderedDict()
        self.waiting_by_identity: dict[tuple[packet.Flow, int, int], datagram.Datagram] = {}
        self.waiting_bytes = 0
        self.share_credit = 0.0
        self.due_at: int | None = None
        self.dropped: collections.Counter[str] = collections.Counter()

    @property
    def bytes_per_ms(self) -> float:
        """Return how many bytes may be sent per ms at the rate in force, headers included."""
        return paced_bytes_per_ms(self.rate_mbps)

    @property
    def is_narrowed(self) -> bool:
        """Return whether the rate in force is below half of the configured rate."""
        return 2 * self.rate_mbps < self.configured_mbps

    @property
    def backlog_ms(self) -> float:
        """Return how long it takes at the rate in force to send all that waits, in ms."""
        return self.waiting_bytes / self.bytes_per_ms

    def set_rate(self, mbps: float, now: int) -> None:
        """Put another rate in force; datagrams that wait are sent at the new rate."""
        self.rate_mbps = mbps
        self.pacer.set_rate(self.bytes_per_ms, now)
        if self.due_at is not None:
            self.due_at = now + MIN_WAKE_MS

    def predicted_wait_ms(self, traits: routes.RequestTraits, is_bulk: bool, now: int) -> float:
        """Return how long a datagram of a route would wait before it is sent, in ms.

        The prediction counts the bytes ahead of it at the rate in force. `is_bulk` selects the
        level of bulk flows.
        """
        rank = rank_of(traits, is_bulk=is_bulk)
        ahead = sum(level.bytes for level in self.levels.values() if level.rank <= rank)
        self.pacer.refill(now)
        ahead = max(0.0, ahead - self.pacer.credit)
        if any(level.rank > rank for level in self.levels.values()):
            ahead *= LONGEST_WAIT_SHARE / (LONGEST_WAIT_SHARE - 1)
        return ahead / self.bytes_per_ms

    def enqueue(self, added: datagram.Datagram, now: int) -> bool:
        """Return whether the datagram is to be sent at once; else it waits or was dropped."""
        transfer = self.record_transfer(added, now)
        if not self.waiting_bytes and self.pacer.take(added.size, now):
            return True
        if added.aborts:
            self.drop_flow(added.flow)
        if self.is_first_in_order(added) and self.pacer.take(added.size, now):
            self.earn_share(added.size)
            return True
        if not self.replace_copy(added):
            self.wait(added, transfer, now)
        return False

    def record_transfer(self, added: datagram.Datagram, now: int) -> transfers.Transfer | None:
        """Record a packet that belongs to a transfer; return None for any other datagram."""
        is_upload = added.traits.kind is routes.RequestKind.UPLOAD
        if not added.length:
            return None
        if is_upload or added.length >= transfers.FULL_PACKET_BYTES:
            return self.transfers.record(added.flow, added.length, now, is_upload=is_upload)
        return self.transfers.find(added.flow, now)

    def is_first_in_order(self, added: datagram.Datagram) -> bool:
        """Return whether the datagram belongs to the first level and nothing waits there."""
        if has_ordered_data(added) or self.waits_behind_data(added):
            return False
        # What lower levels may claim must not be taken by a stream of small messages.
        return FIRST_RANK not in self.levels and self.share_credit < MAX_SHARE_CREDIT

    def waits_behind_data(self, added: datagram.Datagram) -> bool:
        """Return whether the packet closes a flow whose data waits: it must not overtake them."""
        return added.closes and (added.flow, True) in self.flows

    def replace_copy(self, added: datagram.Datagram) -> bool:
        """Drop a copy of a packet that waits, and return whether it is one.

        The waiting packet gets the copy's bytes and address, as the flow's home may have changed.
        """
        waiting = self.waiting_by_identity.get(added.identity)
        if waiting is None:
            return False
        if len(waiting.data) == len(added.data):
            waiting.data = added.data
            waiting.address = added.address
        self.dropped[DUPLICATE] += 1
        return True

    def wait(self, added: datagram.Datagram, transfer: transfers.Transfer | None, now: int) -> None:
        """Add a datagram to the queue of its flow."""
        added.enqueued_at = now
        added.deadline = now + expiry_ms(added)
        flow = self.flow_queue(added, transfer)
        added.rank = flow.level.rank
        flow.append(added)
        self.waiting_bytes += added.size
        self.arrivals[added] = None
        if added.identity is not None:
            self.waiting_by_identity[added.identity] = added
        while self.waiting_bytes > MAX_WAITING_BYTES:
            self.drop_newest()
        if self.due_at is None and self.waiting_bytes:
            self.due_at = self.next_wake(added, now)

    def flow_queue(
        self, added: datagram.Datagram, transfer: transfers.Transfer | None
    ) -> fair_queue.FlowQueue:
        """Return the queue of a datagram's flow, at the level where the datagram belongs.

        All data of a flow waits at one level, so that its packets keep their order.
        """
        has_data = has_ordered_data(added) or self.waits_behind_data(added)
        key = (added.flow, has_data)
        flow = self.flows.get(key)
        is_bulk = added.traits.kind is routes.RequestKind.UPLOAD or (
            transfer is not None and transfer.is_bulk
        )
        if flow is None:
            flow = self.flows[key] = fair_queue.FlowQueue(
                added.flow, transfer.number if transfer is not None else 0
            )
            rank = rank_of(added.traits, is_bulk=is_bulk) if has_data else FIRST_RANK
            self.level(rank).add_flow(flow)
        elif is_bulk and has_data and not flow.level.is_bulk:
            self.move_to_bulk(flow, added, transfer)
        return flow

    def move_to_bulk(
        self,
        flow: fair_queue.FlowQueue,
        added: datagram.Datagram,
        transfer: transfers.Transfer | None,
    ) -> None:
        """Move what waits in a flow that has become bulk to the level of bulk flows."""
        before = flow.level
        before.remove_flow(flow)
        if not before.bytes:
            del self.levels[before.rank]
        if transfer is not None:
            flow.start = transfer.number
        self.level(rank_of(added.traits, is_bulk=True)).add_flow(flow)

    def level(self, rank: int) -> fair_queue.Level:
        """Return the level of this rank."""
        level = self.levels.get(rank)
        if level is None:
            is_bulk = rank != FIRST_RANK and rank % 2 == 0
            level = self.levels[rank] = fair_queue.Level(rank, is_bulk=is_bulk)
        return level

    def next_due(self, now: int) -> int | None:
        """Return the time in ms at which `pop_due` must run next, or None if nothing waits."""
        return None if self.due_at is None else max(self.due_at, now)

    def pop_due(self, now: int) -> list[datagram.Datagram]:
        """Return the datagrams to send now, in order."""
        due: list[datagram.Datagram] = []
        self.due_at = None
        while self.waiting_bytes:
            self.drop_expired(now)
            if not self.waiting_bytes:
                break
            level = self.choose_level()
            flow = level.next_flow()
            head = flow.waiting[0]
            if head.deadline <= now:
                self.drop(flow, flow.pop_oldest(), EXPIRED)
                continue
            if not self.pacer.take(head.size, now):
                self.due_at = self.next_wake(head, now)
                break
            self.account_share(level, head.size)
            due.append(self.forget(flow, level.pop(flow)))
        return due

    def next_wake(self, head: datagram.Datagram, now: int) -> int:
        """Return the time in ms at which there is credit for the next datagram."""
        self.pacer.refill(now)
        return max(now + MIN_WAKE_MS, self.pacer.ready_at(head.size))

    def choose_level(self) -> fair_queue.Level:
        """Return the level to be served next.

        It is the first one, unless the level that has waited longest has bytes to claim.
        """
        first = self.levels[min(self.levels)]
        if len(self.levels) == 1:
            return first
        longest = self.levels[next(iter(self.arrivals)).rank]
        size = longest.next_flow().waiting[0].size
        return longest if self.share_credit >= size else first

    def account_share(self, level: fair_queue.Level, size: int) -> None:
        """Record that a level sends a datagram, for the share of the one that waits longest."""
        if len(self.levels) > 1 and level.rank == min(self.levels):
            self.earn_share(size)
        else:
            self.share_credit = max(0.0, self.share_credit - size)

    def earn_share(self, size: int) -> None:
        """Add to the bytes that the level that has waited longest may claim."""
        earned = self.share_credit + size / (LONGEST_WAIT_SHARE - 1)
        self.share_credit = min(earned, MAX_SHARE_CREDIT)

    def drop_expired(self, now: int) -> None:
        """Drop the datagrams that have waited longest and are past their deadline."""
        while self.arrivals:
            oldest = next(iter(self.arrivals))
            if oldest.deadline > now:
                return
            flow = self.flow_of(oldest)
            self.drop(flow, flow.pop_oldest(), EXPIRED)

    def flow_of(self, waiting: datagram.Datagram) -> fair_queue.FlowQueue:
        """Return the queue in which a datagram waits."""
        return self.flows[waiting.flow, waiting.rank != FIRST_RANK]

    def drop_flow(self, flow: packet.Flow | None) -> None:
        """Drop all that waits of a flow that has been aborted."""
        for key in ((flow, True), (flow, False)):
            queue = self.flows.get(key)
            while queue is not None and queue.waiting:
                self.drop(queue, queue.pop_newest(), ABORTED)

    def drop_newest(self) -> None:
        """Drop the newest datagram of the bulk flow with the most bytes, or else of any flow."""
        bulk = [flow for flow in self.flows.values() if flow.level.is_bulk]
        largest = max(bulk or self.flows.values(), key=lambda flow: flow.bytes)
        self.drop(largest, largest.pop_newest(), OVERFLOW)

    def drop(self, flow: fair_queue.FlowQueue, removed: datagram.Datagram, reason: str) -> None:
        """Count a datagram that was removed from the queue of its flow as dropped."""
        self.forget(flow, removed)
        self.dropped[reason] += 1

    def forget(self, flow: fair_queue.FlowQueue, removed: datagram.Datagram) -> datagram.Datagram:
        """Drop what is kept of a datagram that no longer waits, and return the datagram."""
        self.waiting_bytes -= removed.size
        del self.arrivals[removed]
        if removed.identity is not None:
            del self.waiting_by_identity[removed.identity]
        if not flow.waiting:
            del self.flows[flow.flow, flow.level.rank != FIRST_RANK]
        if not flow.level.bytes:
            del self.levels[flow.level.rank]
        return removed


def paced_bytes_per_ms(mbps: float) -> float:
    """Return how many bytes of datagrams a link of this rate gets per ms."""
    return PACED_SHARE * BYTES_PER_MS_PER_MBPS * mbps


def has_ordered_data(added: datagram.Datagram) -> bool:
    """Return whether the datagram waits in the order of its flow's data."""
    return bool(added.length) and not added.aborts


def rank_of(traits: routes.RequestTraits, *, is_bulk: bool) -> int:
    """Return the rank of the level of a route's data; the lowest rank is served first."""
    return FIRST_RANK + 1 + 2 * traits.priority + is_bulk


def name_of(rank: int) -> str:
    """Return the name of a level in metrics."""
    if rank == FIRST_RANK:
        return "first"
    priority, is_bulk = divmod(rank - FIRST_RANK - 1, 2)
    return f"{'bulk' if is_bulk else 'interactive'}-{priority}"


def expiry_ms(added: datagram.Datagram) -> int:
    """Return after how long in ms the caller has given up what a datagram is for."""
    if added.flow is None or added.opens:
        return OPENING_EXPIRY_MS
    return added.traits.timeout_ms or DEFAULT_EXPIRY_MS


def make_scheduler(link_mbps: float, now: int) -> LinkScheduler | None:
    """Return the scheduler of a link, or None if its rate is unknown (0) or needs no scheduling."""
    return LinkScheduler(link_mbps, now) if 0 < link_mbps <= MAX_SCHEDULED_MBPS else None
