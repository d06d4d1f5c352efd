"""Decide which packets one upstream receives, and answer the balancers' questions about its flows.

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

UNRESPONSIVE_MS = 60
"""How long an upstream may leave an opening packet unanswered before it is unresponsive, in ms. A
healthy upstream answers within a millisecond, one on a slow instance within ten."""

TRIAL_INTERVAL_MS = 500
"""Interval at which an unresponsive upstream is given one new flow as a trial, in ms."""

LOST_TIMEOUT_MS = 150
"""How long an upstream without an entry may leave a packet unanswered before its flows are lost, in
ms. Shorter than the 200 ms after which callers retransmit."""

MAX_ABSENT = 4_096
"""Bound on the flows remembered as absent after the upstream returned one of their packets."""


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A probe of the upstream: a packet of an unknown flow, sent at `sent_at` (ms) for `source`.

    If `packet_kept`, the source still has the packet and needs only an answer.
    """

    source: view.Address
    sent_at: int
    packet_kept: bool


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
        self.pending_probes: dict[packet.Flow, PendingProbe] = {}
        self.leaving = False
        self.unanswered_since: int | None = None
        self.probed_since: int | None = None
        self.last_trial_at = 0
        self.upstream_sent_at = now
        self.last_listed: fleet.Upstream | None = None
        self.is_view_current = False
        self.view_confirmed_at: int | None = None
        self.revision = 0
        self.list_grown_at = now
        self.seen_added = 0
        self.has_had_view = False
        self.first_view: frozenset[str] | None = None
        self.shown_version = 0
        self.saw_start = False
        self.had_unseen_flows: bool | None = None

    @property
    def listed_upstream(self) -> fleet.Upstream | None:
        """Return the entry of this sidecar's upstream, or None if it has none."""
        return self.fleet.by_address.get(self.address)

    @property
    def known_version(self) -> int:
        """Return the newest version of the configuration that is known or was shown by balancers.

        It is 0 before the first view: the former process of this sidecar may have passed on flows
        that were opened by a newer version.
        """
        if self.first_view is None:
            return 0
        return max(self.route_table.routes.version, self.shown_version)

    def has_unseen_flows(self, now: int) -> bool:
        """Return whether the upstream may hold flows that are missing in the flow table.

        After a restart of the sidecar the table is empty while the upstream's flows are still open,
        and a full table evicts flows that are. Every flow has a packet within the idle timeout, so
        the table is complete after that time.
        """
        if self.is_upstream_gone(now):
            return False
        idle_timeout_ms = self.route_table.routes.idle_timeout_ms
        evicted_at = self.table.evicted_at
        if evicted_at is not None and now - evicted_at < idle_timeout_ms:
            return True
        return not self.saw_start and now - self.started_at < idle_timeout_ms

    def is_upstream_gone(self, now: int) -> bool:
        """Return whether the upstream has ended: it has no entry and leaves probes unanswered.

        This happens when an instance loses power after its upstream has left, and only the sidecar
        is started again. Answering UNKNOWN for it would delay the reset of every lost flow until
        the caller's timeout. Only probes that an upstream answers count.
        """
        if (
            self.probed_since is None
            or not self.is_view_current
            or self.listed_upstream is not None
        ):
            return False
        return now - self.probed_since >= LOST_TIMEOUT_MS

    def on_view(self, now: int) -> None:
        """Update from the view the upstream's entry and whether this sidecar has seen it start.

        Flows are placed only on upstreams with an entry, so an upstream that started after this
        sidecar has no flow that the table misses. Flows already in the table are kept: the first
        may arrive before the entry, and the upstream returns packets of flows of an earlier start.

        The first view must match the store at a time after this sidecar's start. A relay's may be
        older, and lack an entry by which flows were placed before.
        """
        listed = self.listed_upstream
        if self.fleet.added_count != self.seen_added:
            self.seen_added = self.fleet.added_count
            self.list_grown_at = now
        if self.is_view_current:
            self.has_had_view = True
            if self.first_view is None and self.is_view_fresh():
                self.first_view = frozenset(self.fleet.upstreams)
        if listed is not None:
            self.table.slots.slots = max(1, listed.slots)
        if listed is None or listed.service != self.service or self.first_view is None:
            return
        if (
            self.last_listed is None or listed.incarnation != self.last_listed.incarnation
        ) and self.is_new_start(listed, now):
            self.saw_start = True
        self.last_listed = listed

    def is_view_fresh(self) -> bool:
        """Return whether the view matched the store at a time after this sidecar's start."""
        return self.view_confirmed_at is not None and self.view_confirmed_at >= self.started_at

    def is_new_start(self, listed: fleet.Upstream, now: int) -> bool:
        """Return whether the entry shows an upstream that started after this sidecar.

        Its entry was created after the first view, and it is in its slow start. The entry of an
        earlier start at the same address shows nothing: this sidecar may have restarted alone, a
        moment after its upstream, while its former process had already placed flows there.

        An upstream that lost its entry in an outage gets a new one, and may have started before
        this sidecar. The part of its slow start that is over tells.
        """
        if now >= listed.slow_start_until or listed.name in self.first_view:
            return False
        slow_start = self.route_table.routes.slow_start_of(self.service)
        age_ms = slow_start.duration_ms - (listed.slow_start_until - now)
        return age_ms <= now - self.started_at

    def has_lost_upstream(
        self, record: table.FlowRecord, received: packet.Packet, now: int
    ) -> bool:
        """Return whether the upstream of an open flow has ended while this sidecar keeps running.

        Its entry is gone, and it has sent nothing for `LOST_TIMEOUT_MS` after a packet of the flow
        that an upstream answers. One that is only cut off from the store still answers, and keeps
        its flows.
        """
        if (
            not received.is_answered
            or not self.is_view_current
            or self.last_listed is None
            or self.fleet.is_listed(self.last_listed)
        ):
            return False
        if not record.delivered_at or self.upstream_sent_at >= record.delivered_at:
            record.delivered_at = now
            return False
        return now - record.delivered_at >= LOST_TIMEOUT_MS

    def is_unresponsive(self, now: int) -> bool:
        """Return whether the upstream leaves opening packets unanswered.

        Every `TRIAL_INTERVAL_MS` it counts as responsive until one new flow has been sent to it, so
        that its recovery is noticed.
        """
        if self.unanswered_since is None or now - self.unanswered_since < UNRESPONSIVE_MS:
            return False
        return now - self.last_trial_at < TRIAL_INTERVAL_MS

    def load(self, now: int) -> messages.Load:
        """Return the current load of the upstream."""
        listed = self.listed_upstream
        slots = listed.slots if listed else 1
        return messages.Load(
            running=self.table.running_requests(now),
            flows=len(self.table.flows),
            slots=slots,
            latency=round(self.table.request_stats.latency),
            success_rate=self.table.request_stats.success_rate(now),
            accepting=not self.refusal_reason(),
            unresponsive=self.is_unresponsive(now),
            saturated=len(self.table.busy) >= slots,
            full=not self.has_capacity(now),
        )

    def has_capacity(self, now: int) -> bool:
        """Return whether the limit of the slow start admits one more new flow."""
        listed = self.listed_upstream
        slow_start = self.route_table.routes.slow_start_of(self.service)
        return self.slow_start.has_capacity(
            slow_start, listed.slow_start_until if listed else None, now
        )

    def refusal_reason(self) -> messages.Reason | None:
        """Return why the upstream accepts no new flows, or None if it does."""
        listed = self.listed_upstream
        if self.leaving or (listed is not None and listed.leaving):
            return messages.Reason.LEAVING
        if listed is not None and listed.service != self.service:
            return messages.Reason.OTHER_SERVICE
        # A balancer that is cut off from the store may still send flows to a drained zone.
        if self.zone in self.fleet.drained:
            return messages.Reason.DRAINED
        return None

    def flow_status(self, flow: packet.Flow, acknowledged: int, now: int) -> messages.FlowStatus:
        """Return whether the upstream holds the flow; UNKNOWN while the table is incomplete."""
        status = self.table.flow_status(flow, acknowledged)
        if (
            status is messages.FlowStatus.ABSENT
            and self.has_unseen_flows(now)
            and flow not in self.absent
        ):
            return messages.FlowStatus.UNKNOWN
        return status

    def make_answer(self, flow: packet.Flow, acknowledged: int, now: int) -> messages.Answer:
        """Return the answer to a balancer's question about the flow."""
        status = self.flow_status(flow, acknowledged, now)
        version = self.known_version
        load = self.load(now)
        if self.route_table.routes.traits_of(flow).objective_ms:
            load.latency = round(self.table.service_time_ms(flow, now))
        return messages.Answer(flow, version, status, load, self.revision)

    def make_return(self, reason: messages.Reason, raw: bytes) -> messages.Return:
        """Return the message that returns a packet to the balancer it came from."""
        return messages.Return(reason, self.route_table.routes.version, raw)

    def on_tick(self, now: int) -> list[effects.Effect]:
        """Drop expired state, and return the announcements and log entries that are due."""
        self.fleet.expire(now)
        self.table.set_measures_service_times(self.route_table.routes.states_objectives)
        self.table.expire(self.route_table.routes.idle_timeout_ms, now)
        oldest = now - self.route_table.routes.idle_timeout_ms
        self.absent = {f: at for f, at in self.absent.items() if at > oldest}
        self.pending_probes = {f: s for f, s in self.pending_probes.items() if s.sent_at > oldest}
        return [*self.log_completeness(now), *self.announce(now)]

    def log_completeness(self, now: int) -> list[effects.Effect]:
        """Log when the flow table becomes complete or incomplete."""
        incomplete = self.has_unseen_flows(now)
        if incomplete == self.had_unseen_flows:
            return []
        self.had_unseen_flows = incomplete
        listed = self.listed_upstream
        return [
            effects.trace(
                "certainty",
                knows_all_flows=not incomplete,
                saw_start=self.saw_start,
                upstream=listed.name if listed else "",
                since_start_ms=now - self.started_at,
            )
        ]

    def announce(self, now: int) -> list[effects.Effect]:
        """Return the announcements that are due: of an upstream without an entry, or as a relay."""
        if not self.has_had_view:
            return []
        if self.listed_upstream is not None:
            return self.announcer.due_announcements(True, now)
        witnesses = announcing.witnesses_of(self.fleet)
        return self.announcer.due_announcements(False, now, witnesses)

    def listened_ms(self, now: int) -> int:
        """Return for how long, in ms, this sidecar has received the announcements meant for it.

        Which sidecars are witnesses depends on the list of upstreams, so the time starts again with
        each upstream added. `now` may be slightly before the last change of the list.
        """
        return max(0, now - max(self.started_at, self.list_grown_at)) if self.is_view_current else 0

    def on_message(
        self,
        message: messages.Message,
        received: packet.Packet | None,
        source: view.Address,
        now: int,
    ) -> list[effects.Effect]:
        """Handle a message; `received` is the packet in it, if any."""
        return handle_message(message, self, received, source, now)

    def probe_upstream(
        self, received: packet.Packet, source: view.Address, now: int, *, packet_kept: bool
    ) -> list[effects.Effect]:
        """Handle a packet of a flow that is not in the table: probe the upstream with it once."""
        if received.flow in self.absent or not self.has_unseen_flows(now):
            return [effects.Send(source, self.make_absent_reply(received, packet_kept, now))]
        self.pending_probes[received.flow] = PendingProbe(source, now, packet_kept)
        if self.probed_since is None and received.is_answered:
            self.probed_since = now
        return [effects.ToUpstream(received.raw)]

    def make_absent_reply(
        self, received: packet.Packet, packet_kept: bool, now: int
    ) -> messages.Message:
        """Return the message to a balancer that the upstream does not hold the packet's flow.

        The packet is left out if the balancer has kept it. After a power loss dozens of upstreams
        are probed for each open flow, many with full-size packets.
        """
        if packet_kept:
            load = self.load(now)
            return messages.Answer(
                received.flow, self.known_version, messages.FlowStatus.ABSENT, load, self.revision
            )
        return self.make_return(messages.Reason.ABSENT, received.raw)

    def on_upstream(self, sent: packet.Packet, now: int) -> list[effects.Effect]:
        """Handle a packet that the upstream sent or returned."""
        if self.unanswered_since is not None and now - self.unanswered_since >= UNRESPONSIVE_MS:
            # It may have crashed and restarted, cold, before its entry shows the new start.
            self.slow_start.record_restart(now)
        self.unanswered_since = None
        self.probed_since = None
        self.upstream_sent_at = now
        if sent.returned:
            return self.on_returned(sent, now)
        probe = self.pending_probes.pop(sent.flow, None)
        record = self.table.resume(sent.flow)
        if record is None:
            source = probe.source if probe else self.address
            record = self.table.add(sent.flow, source, now)
        if not sent.accepts:
            record.is_held = True
        self.absent.pop(sent.flow, None)
        self.table.on_upstream_packet(record, sent, now)
        if probe is None:
            return [effects.ToCaller(sent)]
        answer = self.make_answer(sent.flow, 0, now)
        return [effects.ToCaller(sent), effects.Send(probe.source, answer)]

    def on_returned(self, sent: packet.Packet, now: int) -> list[effects.Effect]:
        """Handle a packet that the upstream did not take."""
        record = self.table.find(sent.flow)
        if sent.opens:
            if record is None or record.is_held:
                return []
            self.table.remove(sent.flow, now)
            back = self.make_return(messages.Reason.FULL, sent.raw)
            return [
                effects.trace("open_returned", flow=packet.flow_text(sent.flow)),
                effects.Send(record.source, back),
            ]
        probe = self.pending_probes.pop(sent.flow, None)
        self.record_absent(sent.flow, now)
        if record is not None and record.is_held and not record.is_closed:
            # The upstream has restarted or dropped the flow. Without a reset the caller would
            # retransmit until its timeout.
            self.table.remove(sent.flow, now)
            self.slow_start.record_restart(now)
            age = now - record.opened_at
            return [
                effects.trace("flow_lost", flow=packet.flow_text(sent.flow), opened_ms_ago=age),
                effects.Reset(sent.flow, sent.acknowledged),
            ]
        self.table.remove(sent.flow, now)
        if probe is None:
            return []
        return [effects.Send(probe.source, self.make_absent_reply(sent, probe.packet_kept, now))]

    def record_absent(self, flow: packet.Flow, now: int) -> None:
        """Remember that the upstream does not hold the flow."""
        if len(self.absent) >= MAX_ABSENT:
            del self.absent[next(iter(self.absent))]
        self.absent[flow] = now


@functools.singledispatch
def handle_message(
    message: typing.Any,
    sidecar: Sidecar,
    received: packet.Packet | None,
    source: view.Address,
    now: int,
) -> list[effects.Effect]:
    """Handle a message by its type; a message that is not meant for a sidecar is only logged."""
    return [effects.trace("message_refused", message=type(message).__name__)]


@handle_message.register
def _(message: messages.Ask, sidecar, received, source, now):
    answer = sidecar.make_answer(message.flow, message.acknowledged, now)
    return [
        effects.Send(source, answer),
        *effects.make_reread(message.version, sidecar.route_table.routes.version),
    ]


@handle_message.register
def _(message: messages.AskMany, sidecar, received, source, now):
    statuses = tuple(
        sidecar.flow_status(flow, acknowledged, now) for flow, acknowledged in message.questions
    )
    load = sidecar.load(now)
    answer = messages.AnswerMany(
        message.number, sidecar.known_version, statuses, load, sidecar.revision
    )
    return [
        effects.Send(source, answer),
        *effects.make_reread(message.version, sidecar.route_table.routes.version),
    ]


@handle_message.register
def _(message: messages.Open, sidecar, received, source, now):
    if not received.opens:
        return handle_message(messages.Carry(message.raw), sidecar, received, source, now)
    reason = open_refusal_reason(message, received, sidecar, now)
    if reason is not None:
        return [
            effects.trace("open_refused", flow=packet.flow_text(received.flow), reason=reason.name),
            effects.Send(source, sidecar.make_return(reason, received.raw)),
            *effects.make_reread(message.version, sidecar.route_table.routes.version),
        ]
    sidecar.table.open(received.flow, source, now).source = source
    sidecar.absent.pop(received.flow, None)
    sidecar.shown_version = max(sidecar.shown_version, message.version)
    sidecar.slow_start.record_opened(now)
    if sidecar.unanswered_since is None:
        sidecar.unanswered_since = now
    if now - sidecar.last_trial_at >= TRIAL_INTERVAL_MS:
        sidecar.last_trial_at = now
    return [
        effects.ToUpstream(received.raw),
        *effects.make_reread(message.version, sidecar.route_table.routes.version),
    ]


def open_refusal_reason(
    message: messages.Open, received: packet.Packet, sidecar: Sidecar, now: int
) -> messages.Reason | None:
    """Return why the new flow is refused, or None if the upstream may get it.

    A balancer with an outdated view may send flows of another service whose upstream had this
    address before, or flows of a route that has been removed.
    """
    if message.service != sidecar.service_key:
        return messages.Reason.OTHER_SERVICE
    current_routes = sidecar.route_table.routes
    if current_routes.version >= message.version > 0:
        route = current_routes.find(received.flow)
        if route is None or sidecar.service not in route.services:
            return messages.Reason.NO_ROUTE
        if not sidecar.fleet.is_in_regions(sidecar.zone, route.regions):
            return messages.Reason.OTHER_REGION
    if received.flow in sidecar.table.flows:
        return None
    if not sidecar.has_capacity(now):
        return messages.Reason.COLD
    return sidecar.refusal_reason()


@handle_message.register
def _(message: messages.Carry, sidecar, received, source, now):
    status = sidecar.table.flow_status(received.flow, received.acknowledged)
    if status is messages.FlowStatus.ABSENT:
        return sidecar.probe_upstream(received, source, now, packet_kept=False)
    record = sidecar.table.resume(received.flow)
    if record.is_held and not received.aborts and sidecar.has_lost_upstream(record, received, now):
        sidecar.table.remove(received.flow, now)
        return [
            effects.trace(
                "flow_lost", flow=packet.flow_text(received.flow), reason="upstream_gone"
            ),
            effects.Reset(received.flow, received.acknowledged),
        ]
    record.source = source
    sidecar.table.on_caller_packet(record, received, now)
    return [effects.ToUpstream(received.raw)]


@handle_message.register
def _(message: messages.Announce, sidecar, received, source, now):
    if not message.is_listed:
        announcing.record_unlisted(sidecar.fleet, source, now + announcing.SEED_TTL_MS)
    return []


@handle_message.register
def _(message: messages.AskUnlisted, sidecar, received, source, now):
    return [
        effects.Send(
            source, announcing.make_unlisted_answer(sidecar.fleet, sidecar.listened_ms(now))
        )
    ]


@handle_message.register
def _(message: messages.Probe, sidecar, received, source, now):
    return sidecar.probe_upstream(received, source, now, packet_kept=True)
