"""Decide for one upstream: which packets it gets, what comes back from it, and what to answer.

The sidecar is the last door. It alone gives packets to its upstream, and the table of flows that
it keeps is where the system knows where a flow lives.
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
"""How long an upstream may leave an opening packet unanswered before it counts as silent, in ms:
one that serves answers within a millisecond, one whose instance is slow within ten."""

RETRY_MS = 500
"""How often a silent upstream is tried with a real flow, in ms."""

LOST_MS = 150
"""How long an upstream whose entry is gone may leave a flow's packet unanswered, in ms.

Callers send a packet again after 200 ms; an upstream that lives has acknowledged it by then.
"""

MAX_ABSENT = 4_096
"""Flows remembered as absent after the upstream returned a packet of theirs."""


@dataclasses.dataclass(slots=True)
class Probed:
    """A packet of an unknown flow, given to the upstream on behalf of `source` at a time in ms.

    `kept` says that the source has kept the packet and wants to know only what becomes of it.
    """

    source: view.Address
    at: int
    kept: bool


class Sidecar:
    """What one sidecar believes; methods return what is to be done, in order."""

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
        self.current = routes.Current()
        self.fleet = fleet.Fleet()
        self.table = table.Table()
        self.warming = warming.Warming()
        self.absent: dict[packet.Flow, int] = {}
        self.probed: dict[packet.Flow, Probed] = {}
        self.leaving = False
        self.unanswered_since: int | None = None
        self.probed_since: int | None = None
        self.tried_at = 0
        self.heard_at = now
        self.listed: fleet.Upstream | None = None
        self.view_fresh = False
        self.revision = 0
        self.grown_at = now
        self.known_added = 0
        self.first_view: frozenset[str] | None = None
        self.saw_start = False
        self.was_incomplete: bool | None = None

    @property
    def own(self) -> fleet.Upstream | None:
        """Return the upstream beside this process, as it is listed."""
        return self.fleet.by_address.get(self.address)

    def incomplete(self, now: int) -> bool:
        """Tell whether the upstream may hold flows that this process has not seen yet.

        After a restart the table is empty while the upstream's flows live on. Any flow that still
        matters shows a packet within the idle limit, after which the table is whole again.
        """
        if self.saw_start or self.upstream_gone(now):
            return False
        return now - self.started_at < self.current.routes.idle

    def upstream_gone(self, now: int) -> bool:
        """Tell whether no upstream is there any more: not listed, and silent when it is probed.

        It left just before its instance lost power, and only the sidecar was started again. If that
        said that it does not know, no flow that was lost could be told from one that lived there,
        and their callers would wait until their time limits. One that lives answers a probe.
        """
        if self.probed_since is None or not self.view_fresh or self.own is not None:
            return False
        return now - self.probed_since >= LOST_MS

    def view_changed(self, now: int) -> None:
        """Note the upstream's entry, and whether it has started while this process looked on.

        Flows are placed on upstreams that have an entry. One that started since then has no flow
        that went past this process, so the table is whole at once. It is kept as it is: the entry
        may arrive here after the first flows have, and packets of flows that ended with an earlier
        start come back from the upstream.
        """
        own = self.own
        if self.fleet.added != self.known_added:
            self.known_added = self.fleet.added
            self.grown_at = now
        if self.view_fresh and self.first_view is None:
            self.first_view = frozenset(self.fleet.upstreams)
        if own is None or own.service != self.service or self.first_view is None:
            return
        if (self.listed is None or own.boot != self.listed.boot) and self.is_new(own, now):
            self.saw_start = True
        self.listed = own

    def is_new(self, own: fleet.Upstream, now: int) -> bool:
        """Tell whether an upstream's entry shows that no flow was placed there before this start.

        It appeared while this process looked on, or that of the upstream before it still stands:
        then both, the instance's processes and the upstream, ended within an entry's lease of a few
        heartbeats. The entry of one that lives is gone as well after its instance was dark for a
        while; but that one is through with its slow first seconds, which last shorter than a lease.

        After a loss of power of everything all sidecars know so at once that the flows before it
        are over. Every upstream would else be probed for each of those flows, and most callers
        would reach their time limit before a balancer is through with them.
        """
        if now >= own.warm_at:
            return False
        return own.name not in self.first_view or self.fleet.predecessor(own) is not None

    def upstream_lost(self, held: table.Held, now: int) -> bool:
        """Tell whether the upstream has gone for good while this process runs on.

        Its entry is gone, and it has not stirred since it was last given a packet of the flow. An
        upstream that only the store can't hear answers, and keeps its flows.
        """
        if not self.view_fresh or self.listed is None or self.fleet.lives(self.listed):
            return False
        if not held.given_at or self.heard_at >= held.given_at:
            held.given_at = now
            return False
        return now - held.given_at >= LOST_MS

    def silent(self, now: int) -> bool:
        """Tell whether the upstream leaves opening packets unanswered.

        One flow each `RETRY_MS` goes to it all the same, or nobody would notice its return.
        """
        if self.unanswered_since is None or now - self.unanswered_since < SILENT_MS:
            return False
        return now - self.tried_at < RETRY_MS

    def load(self, now: int) -> messages.Load:
        """Return what is observed of the upstream."""
        own = self.own
        slots = own.slots if own else 1
        return messages.Load(
            running=self.table.running(now),
            flows=len(self.table.flows),
            slots=slots,
            latency=round(self.table.results.latency),
            good=self.table.results.good_at(now),
            accepting=not self.refusal(),
            silent=self.silent(now),
            saturated=len(self.table.busy) >= slots,
            full=not self.room(now),
        )

    def room(self, now: int) -> bool:
        """Tell whether the upstream may get one more new flow, as far as it is cold."""
        own = self.own
        warm_up = self.current.routes.warm_up_of(self.service)
        return self.warming.room(warm_up, own.warm_at if own else None, now)

    def refusal(self) -> messages.Reason | None:
        """Return why no new flow may come, or None if one may."""
        own = self.own
        if self.leaving or (own is not None and own.leaving):
            return messages.Reason.LEAVING
        if own is not None and own.service != self.service:
            return messages.Reason.OTHER_SERVICE
        # A balancer that is cut off from the store may not know yet that the zone is drained.
        if self.zone in self.fleet.drained:
            return messages.Reason.DRAINED
        return None

    def holding(self, flow: packet.Flow, acknowledged: int, now: int) -> messages.Holding:
        """Return whether the upstream holds the flow."""
        holding = self.table.holding(flow, acknowledged)
        if holding is messages.Holding.ABSENT and self.incomplete(now) and flow not in self.absent:
            return messages.Holding.UNKNOWN
        return holding

    def answer(self, flow: packet.Flow, acknowledged: int, now: int) -> messages.Answer:
        """Return what a balancer is told of the flow."""
        holding = self.holding(flow, acknowledged, now)
        version = self.current.routes.version
        return messages.Answer(flow, version, holding, self.load(now), self.revision)

    def returned(self, reason: messages.Reason, raw: bytes) -> messages.Return:
        """Return the message that gives a packet back."""
        return messages.Return(reason, self.current.routes.version, raw)

    def on_tick(self, now: int) -> list[effects.Effect]:
        """Forget what is over."""
        self.fleet.expire(now)
        self.table.sweep(self.current.routes.idle, now)
        old = now - self.current.routes.idle
        self.absent = {f: at for f, at in self.absent.items() if at > old}
        self.probed = {f: s for f, s in self.probed.items() if s.at > old}
        return [*self.note_certainty(now), *self.announce(now)]

    def note_certainty(self, now: int) -> list[effects.Effect]:
        """Log when this process begins or ceases to know all flows of its upstream."""
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
        """Tell the seeds of an upstream without an entry, or that others may read from here."""
        if self.first_view is None:
            return []
        if self.own is not None:
            return self.announcer.due(True, now)
        witnesses = announcing.witnesses_of(self.fleet)
        return self.announcer.due(False, now, witnesses)

    def listening(self, now: int) -> int:
        """Return for how long, in ms, this process has heard of all sidecars that it does not list.

        One that starts while the list is still filling does not know its witnesses yet. A datagram
        may be read with the time of just before the last change of the list.
        """
        return max(0, now - max(self.started_at, self.grown_at)) if self.view_fresh else 0

    def on_message(
        self,
        message: messages.Message,
        received: packet.Packet | None,
        source: view.Address,
        now: int,
    ) -> list[effects.Effect]:
        """Act on a balancer's message; `received` is the packet in it."""
        return act(message, self, received, source, now)

    def give_unknown(
        self, received: packet.Packet, source: view.Address, now: int, *, kept: bool
    ) -> list[effects.Effect]:
        """Let the upstream say whether it holds the flow, once for each flow."""
        if received.flow in self.absent or not self.incomplete(now):
            return [effects.Send(source, self.refused(received, kept, now))]
        self.probed[received.flow] = Probed(source, now, kept)
        if self.probed_since is None:
            self.probed_since = now
        return [effects.ToUpstream(received.raw)]

    def refused(self, received: packet.Packet, kept: bool, now: int) -> messages.Message:
        """Return what tells a balancer that its packet is of no flow here.

        Where it has kept the packet, that need not travel back: after a loss of everything dozens
        of upstreams are probed for each open flow, with whole packets of uploads.
        """
        if kept:
            version = self.current.routes.version
            load = self.load(now)
            return messages.Answer(
                received.flow, version, messages.Holding.ABSENT, load, self.revision
            )
        return self.returned(messages.Reason.ABSENT, received.raw)

    def on_upstream(self, sent: packet.Packet, now: int) -> list[effects.Effect]:
        """Act on a packet that the upstream sent or would not take."""
        if self.unanswered_since is not None and now - self.unanswered_since >= SILENT_MS:
            # It may have crashed and be back, cold, before its entry says so.
            self.warming.note_restart(now)
        self.unanswered_since = None
        self.probed_since = None
        self.heard_at = now
        if sent.returned:
            return self.on_returned(sent, now)
        held = self.table.flows.get(sent.flow)
        found: list[effects.Effect] = []
        if held is None:
            probe = self.probed.pop(sent.flow, None)
            source = probe.source if probe else self.address
            held = self.table.add(sent.flow, source, now)
            held.held = not sent.accepts
            if probe is not None:
                found.append(effects.Send(source, self.answer(sent.flow, 0, now)))
        self.table.from_upstream(held, sent, now)
        return [effects.ToCaller(sent), *found]

    def on_returned(self, sent: packet.Packet, now: int) -> list[effects.Effect]:
        """Act on a packet that the upstream would not take."""
        held = self.table.flows.get(sent.flow)
        if sent.opens:
            if held is None or held.held:
                return []
            self.table.forget(sent.flow)
            back = self.returned(messages.Reason.FULL, sent.raw)
            return [
                effects.trace("open_returned", flow=packet.flow_text(sent.flow)),
                effects.Send(held.source, back),
            ]
        probe = self.probed.pop(sent.flow, None)
        self.note_absent(sent.flow, now)
        if held is not None and held.held and not held.closed:
            # The upstream held the flow and holds it no more: it has started anew, or given the
            # flow up. The caller would go on sending into nothing until its time is over.
            self.table.forget(sent.flow)
            self.warming.note_restart(now)
            age = now - held.opened_at
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
    """Act on one message of a balancer; one that is none of a sidecar's changes nothing."""
    return [effects.trace("message_refused", message=type(message).__name__)]


@act.register
def _(message: messages.Ask, sidecar, received, source, now):
    answered = sidecar.answer(message.flow, message.acknowledged, now)
    return [
        effects.Send(source, answered),
        *effects.read_again(message.version, sidecar.current.routes.version),
    ]


@act.register
def _(message: messages.AskMany, sidecar, received, source, now):
    holdings = tuple(sidecar.holding(flow, at, now) for flow, at in message.questions)
    version = sidecar.current.routes.version
    load = sidecar.load(now)
    answered = messages.AnswerMany(message.number, version, holdings, load, sidecar.revision)
    return [
        effects.Send(source, answered),
        *effects.read_again(message.version, sidecar.current.routes.version),
    ]


@act.register
def _(message: messages.Open, sidecar, received, source, now):
    reason = refusal_of(message, received, sidecar, now)
    if reason is not None:
        return [
            effects.trace("open_refused", flow=packet.flow_text(received.flow), reason=reason.name),
            effects.Send(source, sidecar.returned(reason, received.raw)),
            *effects.read_again(message.version, sidecar.current.routes.version),
        ]
    sidecar.table.open(received.flow, source, now).source = source
    sidecar.warming.note_opened(now)
    if sidecar.unanswered_since is None:
        sidecar.unanswered_since = now
    if now - sidecar.tried_at >= RETRY_MS:
        sidecar.tried_at = now
    return [
        effects.ToUpstream(received.raw),
        *effects.read_again(message.version, sidecar.current.routes.version),
    ]


def refusal_of(
    message: messages.Open, received: packet.Packet, sidecar: Sidecar, now: int
) -> messages.Reason | None:
    """Return why the upstream may not get the new flow, or None.

    A balancer with an old view may send flows of another service, whose upstream had this address
    before, or of a route that was dropped. Each would run where it must not.
    """
    if message.service != sidecar.service_key:
        return messages.Reason.OTHER_SERVICE
    known = sidecar.current.routes
    if known.version >= message.version > 0:
        route = known.find(received.flow)
        if route is None or sidecar.service not in route.services:
            return messages.Reason.NO_ROUTE
        if not sidecar.fleet.within(sidecar.zone, route.regions):
            return messages.Reason.OTHER_REGION
    if received.flow in sidecar.table.flows:
        return None
    if not sidecar.room(now):
        return messages.Reason.COLD
    return sidecar.refusal()


@act.register
def _(message: messages.Carry, sidecar, received, source, now):
    holding = sidecar.table.holding(received.flow, received.acknowledged)
    if holding is messages.Holding.ABSENT:
        return sidecar.give_unknown(received, source, now, kept=False)
    held = sidecar.table.flows[received.flow]
    if held.held and not received.aborts and sidecar.upstream_lost(held, now):
        sidecar.table.forget(received.flow)
        return [
            effects.trace(
                "flow_lost", flow=packet.flow_text(received.flow), reason="upstream_gone"
            ),
            effects.Reset(received.flow, received.acknowledged),
        ]
    held.source = source
    sidecar.table.from_caller(held, received, now)
    return [effects.ToUpstream(received.raw)]


@act.register
def _(message: messages.Announce, sidecar, received, source, now):
    if not message.listed:
        announcing.note(sidecar.fleet, source, now + announcing.SEED_KEEPS_MS)
    return []


@act.register
def _(message: messages.AskUnlisted, sidecar, received, source, now):
    return [effects.Send(source, announcing.answer(sidecar.fleet, sidecar.listening(now)))]


@act.register
def _(message: messages.Probe, sidecar, received, source, now):
    return sidecar.give_unknown(received, source, now, kept=True)
