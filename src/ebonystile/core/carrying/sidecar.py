"""Decide for one upstream which packets it receives and what the balancers are answered.

The sidecar is the last check before an upstream: every packet to the upstream passes it, and its
flow table is the authority on which flows the upstream holds.
"""

import dataclasses
import functools
import typing

from ebonystile.core import view
from ebonystile.core.carrying import (
    announcing,
    effects,
    fleet,
    messages,
    packet,
    routes,
    table,
    warming,
)

SILENT_MS = 60
"""How long an upstream may leave an opening packet unanswered before it counts as silent, in ms.
A healthy upstream answers within a millisecond, one on a slow instance within ten."""

RETRY_MS = 500
"""Interval at which a silent upstream is given one new flow as a trial, in ms."""

LOST_MS = 150
"""How long an upstream without an entry may leave a packet unanswered before its flows are lost, in
ms. Shorter than the 200 ms after which callers retransmit."""

MAX_ABSENT = 4_096
"""Bound on the flows remembered as absent after the upstream returned one of their packets."""


@dataclasses.dataclass(slots=True)
class Probed:
    """A probe of the upstream: a packet of an unknown flow, sent at `at` (ms) for `source`.

    If `kept`, the source still has the packet and needs only an answer, not the packet itself.
    """

    source: view.Address
    at: int
    kept: bool


class Sidecar:
    """The state of one sidecar. Its methods return the effects to be carried out, in order."""

    def __init__(
        self,
        address: view.Address,
        service: str,
        now: int,
        seeds: tuple[view.Address, ...] = (),
        *,
        zone: str = "",
    ):
        self.address = address
        self.zone = zone
        self.announcer = announcing.Announcer(seeds)
        self.service = service
        self.service_key = view.key_of(service)
        self.started_at = now
        self.route_table = routes.RouteTable()
        self.fleet = fleet.Fleet()
        self.table = table.FlowTable()
        self.slow_start = warming.SlowStartTracker()
        self.absent: dict[packet.Flow, int] = {}
        self.probed: dict[packet.Flow, Probed] = {}
        self.leaving = False
        self.unanswered_since: int | None = None
        self.probed_since: int | None = None
        self.tried_at = 0
        self.heard_at = now
        self.listed: fleet.Upstream | None = None
        self.is_view_current = False
        self.revision = 0
        self.grown_at = now
        self.known_added = 0
        self.first_view: frozenset[str] | None = None
        self.saw_start = False
        self.was_incomplete: bool | None = None

    @property
    def own(self) -> fleet.Upstream | None:
        """Return the entry of this sidecar's upstream, or None if it has none."""
        return self.fleet.by_address.get(self.address)

    def incomplete(self, now: int) -> bool:
        """Return whether the upstream may hold flows that are missing in the flow table.

        After a restart of the sidecar the table is empty while the upstream's flows are still open.
        Every flow has a packet within the idle timeout, so the table is complete after that time.
        """
        if self.saw_start or self.upstream_gone(now):
            return False
        return now - self.started_at < self.route_table.routes.idle_timeout_ms

    def upstream_gone(self, now: int) -> bool:
        """Return whether the upstream has ended: it has no entry and leaves probes unanswered.

        This happens when an upstream leaves, its instance loses power, and only the sidecar is
        started again. Answering UNKNOWN for it would delay the reset of every lost flow until the
        caller's timeout.
        """
        if self.probed_since is None or not self.is_view_current or self.own is not None:
            return False
        return now - self.probed_since >= LOST_MS

    def view_changed(self, now: int) -> None:
        """Update from the view the upstream's entry and whether this sidecar has seen it start.

        Flows are placed only on upstreams with an entry, so an upstream that started after this
        sidecar has no flow that the table misses. Flows already in the table are kept: the first
        may arrive before the entry, and the upstream returns packets of flows of an earlier start.
        """
        own = self.own
        if self.fleet.added_count != self.known_added:
            self.known_added = self.fleet.added_count
            self.grown_at = now
        if self.is_view_current and self.first_view is None:
            self.first_view = frozenset(self.fleet.upstreams)
        if own is None or own.service != self.service or self.first_view is None:
            return
        if (self.listed is None or own.incarnation != self.listed.incarnation) and self.is_new(
            own, now
        ):
            self.saw_start = True
        self.listed = own

    def is_new(self, own: fleet.Upstream, now: int) -> bool:
        """Return whether the entry shows an upstream that started after this sidecar, or with it.

        Either the entry appeared after the first view, or the entry of an earlier start at the same
        address has not expired yet: the instance restarted within one lease. An upstream that only
        lost its entry while its instance was unreachable is no longer cold, as a warm-up is shorter
        than a lease.

        So after a power loss of all instances every sidecar knows at once that earlier flows are
        gone, and no upstream is probed for each of them.
        """
        if now >= own.slow_start_until:
            return False
        return own.name not in self.first_view or self.fleet.predecessor(own) is not None

    def upstream_lost(self, record: table.FlowRecord, now: int) -> bool:
        """Return whether the upstream of an open flow has ended while this sidecar keeps running.

        Its entry is gone, and it has sent nothing for `LOST_MS` after a packet of the flow. An
        upstream that is only cut off from the store still answers, and keeps its flows.
        """
        if not self.is_view_current or self.listed is None or self.fleet.is_listed(self.listed):
            return False
        if not record.delivered_at or self.heard_at >= record.delivered_at:
            record.delivered_at = now
            return False
        return now - record.delivered_at >= LOST_MS

    def silent(self, now: int) -> bool:
        """Return whether the upstream leaves opening packets unanswered.

        Every `RETRY_MS` it counts as responsive until one new flow has been sent to it, so that its
        recovery is noticed.
        """
        if self.unanswered_since is None or now - self.unanswered_since < SILENT_MS:
            return False
        return now - self.tried_at < RETRY_MS

    def load(self, now: int) -> messages.Load:
        """Return the current load of the upstream."""
        own = self.own
        slots = own.slots if own else 1
        return messages.Load(
            running=self.table.running_requests(now),
            flows=len(self.table.flows),
            slots=slots,
            latency=round(self.table.request_stats.latency),
            success_rate=self.table.request_stats.success_rate(now),
            accepting=not self.refusal(),
            unresponsive=self.silent(now),
            saturated=len(self.table.busy) >= slots,
            full=not self.room(now),
        )

    def room(self, now: int) -> bool:
        """Return whether the limit for cold upstreams admits one more new flow."""
        own = self.own
        slow_start = self.route_table.routes.slow_start_of(self.service)
        return self.slow_start.has_capacity(slow_start, own.slow_start_until if own else None, now)

    def refusal(self) -> messages.Reason | None:
        """Return why the upstream accepts no new flows, or None if it does."""
        own = self.own
        if self.leaving or (own is not None and own.leaving):
            return messages.Reason.LEAVING
        if own is not None and own.service != self.service:
            return messages.Reason.OTHER_SERVICE
        # A balancer that is cut off from the store may not know that the zone is drained.
        if self.zone in self.fleet.drained:
            return messages.Reason.DRAINED
        return None

    def holding(self, flow: packet.Flow, acknowledged: int, now: int) -> messages.FlowStatus:
        """Return whether the upstream holds the flow; UNKNOWN while the table is incomplete."""
        holding = self.table.flow_status(flow, acknowledged)
        if (
            holding is messages.FlowStatus.ABSENT
            and self.incomplete(now)
            and flow not in self.absent
        ):
            return messages.FlowStatus.UNKNOWN
        return holding

    def answer(self, flow: packet.Flow, acknowledged: int, now: int) -> messages.Answer:
        """Return the answer to a balancer's question about the flow."""
        holding = self.holding(flow, acknowledged, now)
        version = self.route_table.routes.version
        return messages.Answer(flow, version, holding, self.load(now), self.revision)

    def returned(self, reason: messages.Reason, raw: bytes) -> messages.Return:
        """Return the message that returns a packet to the balancer it came from."""
        return messages.Return(reason, self.route_table.routes.version, raw)

    def on_tick(self, now: int) -> list[effects.Effect]:
        """Drop expired state, and return the announcements and log entries that are due."""
        self.fleet.expire(now)
        self.table.expire(self.route_table.routes.idle_timeout_ms, now)
        old = now - self.route_table.routes.idle_timeout_ms
        self.absent = {f: at for f, at in self.absent.items() if at > old}
        self.probed = {f: s for f, s in self.probed.items() if s.at > old}
        return [*self.note_certainty(now), *self.announce(now)]

    def note_certainty(self, now: int) -> list[effects.Effect]:
        """Log when the flow table becomes complete or incomplete."""
        incomplete = self.incomplete(now)
        if incomplete == self.was_incomplete:
            return []
        self.was_incomplete = incomplete
        own = self.own
        return [
            effects.trace(
                "certainty",
                knows_all_flows=not incomplete,
                saw_start=self.saw_start,
                upstream=own.name if own else "",
                since_start_ms=now - self.started_at,
            )
        ]

    def announce(self, now: int) -> list[effects.Effect]:
        """Return the announcements that are due: of an upstream without an entry, or as a relay."""
        if self.first_view is None:
            return []
        if self.own is not None:
            return self.announcer.due_announcements(True, now)
        witnesses = announcing.witnesses_of(self.fleet)
        return self.announcer.due_announcements(False, now, witnesses)

    def listening(self, now: int) -> int:
        """Return for how long, in ms, this sidecar has received the announcements meant for it.

        Which sidecars are witnesses depends on the list of upstreams, so the time starts again with
        each upstream added. `now` may be slightly before the last change of the list.
        """
        return max(0, now - max(self.started_at, self.grown_at)) if self.is_view_current else 0

    def on_message(
        self,
        message: messages.Message,
        received: packet.Packet | None,
        source: view.Address,
        now: int,
    ) -> list[effects.Effect]:
        """Handle a message; `received` is the packet in it, if any."""
        return act(message, self, received, source, now)

    def give_unknown(
        self, received: packet.Packet, source: view.Address, now: int, *, kept: bool
    ) -> list[effects.Effect]:
        """Handle a packet of a flow that is not in the table: probe the upstream with it once."""
        if received.flow in self.absent or not self.incomplete(now):
            return [effects.Send(source, self.refused(received, kept, now))]
        self.probed[received.flow] = Probed(source, now, kept)
        if self.probed_since is None:
            self.probed_since = now
        return [effects.ToUpstream(received.raw)]

    def refused(self, received: packet.Packet, kept: bool, now: int) -> messages.Message:
        """Return the message that says that the upstream does not hold the packet's flow.

        The packet is left out if the balancer has kept it. After a power loss dozens of upstreams
        are probed for each open flow, many with full-size packets.
        """
        if kept:
            version = self.route_table.routes.version
            load = self.load(now)
            return messages.Answer(
                received.flow, version, messages.FlowStatus.ABSENT, load, self.revision
            )
        return self.returned(messages.Reason.ABSENT, received.raw)

    def on_upstream(self, sent: packet.Packet, now: int) -> list[effects.Effect]:
        """Handle a packet that the upstream sent or returned."""
        if self.unanswered_since is not None and now - self.unanswered_since >= SILENT_MS:
            # It may have crashed and restarted, cold, before its entry shows the new start.
            self.slow_start.record_restart(now)
        self.unanswered_since = None
        self.probed_since = None
        self.heard_at = now
        if sent.returned:
            return self.on_returned(sent, now)
        record = self.table.flows.get(sent.flow)
        found: list[effects.Effect] = []
        if record is None:
            probe = self.probed.pop(sent.flow, None)
            source = probe.source if probe else self.address
            record = self.table.add(sent.flow, source, now)
            record.is_held = not sent.accepts
            if probe is not None:
                found.append(effects.Send(source, self.answer(sent.flow, 0, now)))
        self.table.on_upstream_packet(record, sent, now)
        return [effects.ToCaller(sent), *found]

    def on_returned(self, sent: packet.Packet, now: int) -> list[effects.Effect]:
        """Handle a packet that the upstream did not take."""
        record = self.table.flows.get(sent.flow)
        if sent.opens:
            if record is None or record.is_held:
                return []
            self.table.forget(sent.flow)
            back = self.returned(messages.Reason.FULL, sent.raw)
            return [
                effects.trace("open_returned", flow=packet.flow_text(sent.flow)),
                effects.Send(record.source, back),
            ]
        probe = self.probed.pop(sent.flow, None)
        self.note_absent(sent.flow, now)
        if record is not None and record.is_held and not record.is_closed:
            # The upstream has restarted or dropped the flow. Without a reset the caller would
            # retransmit until its timeout.
            self.table.forget(sent.flow)
            self.slow_start.record_restart(now)
            age = now - record.opened_at
            return [
                effects.trace("flow_lost", flow=packet.flow_text(sent.flow), opened_ms_ago=age),
                effects.Reset(sent.flow, sent.acknowledged),
            ]
        self.table.forget(sent.flow)
        if probe is None:
            return []
        return [effects.Send(probe.source, self.refused(sent, probe.kept, now))]

    def note_absent(self, flow: packet.Flow, now: int) -> None:
        """Remember that the upstream does not hold the flow."""
        if len(self.absent) >= MAX_ABSENT:
            del self.absent[next(iter(self.absent))]
        self.absent[flow] = now


@functools.singledispatch
def act(
    message: typing.Any,
    sidecar: Sidecar,
    received: packet.Packet | None,
    source: view.Address,
    now: int,
) -> list[effects.Effect]:
    """Handle a message by its type; a message that is not meant for a sidecar is only logged."""
    return [effects.trace("message_refused", message=type(message).__name__)]


@act.register
def _(message: messages.Ask, sidecar, received, source, now):
    answered = sidecar.answer(message.flow, message.acknowledged, now)
    return [
        effects.Send(source, answered),
        *effects.make_reread(message.version, sidecar.route_table.routes.version),
    ]


@act.register
def _(message: messages.AskMany, sidecar, received, source, now):
    holdings = tuple(sidecar.holding(flow, at, now) for flow, at in message.questions)
    version = sidecar.route_table.routes.version
    load = sidecar.load(now)
    answered = messages.AnswerMany(message.number, version, holdings, load, sidecar.revision)
    return [
        effects.Send(source, answered),
        *effects.make_reread(message.version, sidecar.route_table.routes.version),
    ]


@act.register
def _(message: messages.Open, sidecar, received, source, now):
    reason = refusal_of(message, received, sidecar, now)
    if reason is not None:
        return [
            effects.trace("open_refused", flow=packet.flow_text(received.flow), reason=reason.name),
            effects.Send(source, sidecar.returned(reason, received.raw)),
            *effects.make_reread(message.version, sidecar.route_table.routes.version),
        ]
    sidecar.table.open(received.flow, source, now).source = source
    sidecar.slow_start.record_opened(now)
    if sidecar.unanswered_since is None:
        sidecar.unanswered_since = now
    if now - sidecar.tried_at >= RETRY_MS:
        sidecar.tried_at = now
    return [
        effects.ToUpstream(received.raw),
        *effects.make_reread(message.version, sidecar.route_table.routes.version),
    ]


def refusal_of(
    message: messages.Open, received: packet.Packet, sidecar: Sidecar, now: int
) -> messages.Reason | None:
    """Return why the new flow is refused, or None if the upstream may get it.

    A balancer with an outdated view may send flows of another service whose upstream had this
    address before, or flows of a route that has been removed.
    """
    if message.service != sidecar.service_key:
        return messages.Reason.OTHER_SERVICE
    known = sidecar.route_table.routes
    if known.version >= message.version > 0:
        route = known.find(received.flow)
        if route is None or sidecar.service not in route.services:
            return messages.Reason.NO_ROUTE
        if not sidecar.fleet.is_in_regions(sidecar.zone, route.regions):
            return messages.Reason.OTHER_REGION
    if received.flow in sidecar.table.flows:
        return None
    if not sidecar.room(now):
        return messages.Reason.COLD
    return sidecar.refusal()


@act.register
def _(message: messages.Carry, sidecar, received, source, now):
    holding = sidecar.table.flow_status(received.flow, received.acknowledged)
    if holding is messages.FlowStatus.ABSENT:
        return sidecar.give_unknown(received, source, now, kept=False)
    record = sidecar.table.flows[received.flow]
    if record.is_held and not received.aborts and sidecar.upstream_lost(record, now):
        sidecar.table.forget(received.flow)
        return [
            effects.trace(
                "flow_lost", flow=packet.flow_text(received.flow), reason="upstream_gone"
            ),
            effects.Reset(received.flow, received.acknowledged),
        ]
    record.source = source
    sidecar.table.on_caller_packet(record, received, now)
    return [effects.ToUpstream(received.raw)]


@act.register
def _(message: messages.Announce, sidecar, received, source, now):
    if not message.listed:
        announcing.record_unlisted(sidecar.fleet, source, now + announcing.SEED_TTL_MS)
    return []


@act.register
def _(message: messages.AskUnlisted, sidecar, received, source, now):
    return [
        effects.Send(source, announcing.make_unlisted_answer(sidecar.fleet, sidecar.listening(now)))
    ]


@act.register
def _(message: messages.Probe, sidecar, received, source, now):
    return sidecar.give_unknown(received, source, now, kept=True)
