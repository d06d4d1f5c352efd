"""The balancer daemon: connects the balancer core to sockets, timers and the store feed."""

import functools
import typing

from ebonystile import clock, loop
from ebonystile.carrier import link, shell
from ebonystile.core import view
from ebonystile.core.carrying import admitting, balancer, effects, messages, packet, scheduling
from ebonystile.platform import entries, node, packets

if typing.TYPE_CHECKING:
    from ebonystile import metrics

MIN_LEAVE_MS = 1_500
"""Minimum time that a leaving balancer keeps serving, in ms: the fabric checks readiness twice a
second and removes the balancer after two refusals."""

LEAVE_IDLE_MS = 700
"""Time without a caller's packet after which a leaving balancer stops, in ms."""

MAX_LEAVE_MS = 4_000
"""Maximum time that a leaving balancer runs, in ms; the platform kills it later."""


class Daemon(shell.Shell):
    """The shell around a balancer core."""

    def __init__(self, settings: node.Node):
        super().__init__("balancer", settings)
        self.core = balancer.Balancer(
            settings.zone,
            clock.now(),
            self.feed.sources.seeds,
            is_seed=settings.is_seed,
        )
        self.core.is_admission_enabled = settings.admission
        self.core.route_table = self.feed.route_table
        self.core.fleet = self.feed.fleet
        address = entries.address_of(settings.packets)
        self.caller_socket = self.loop.listen(address, self.on_caller, shell.BUFFER_BYTES)
        self.caller_port = address[1]
        self.timer_at: int | None = None
        self.last_packet_at = clock.now()
        self.link = self.make_link()

    def make_link(self) -> link.Link | None:
        """Return the link that datagrams are sent through, or None if it needs no scheduling."""
        scheduler = scheduling.make_scheduler(self.settings.link_mbps, clock.now())
        if scheduler is None:
            return None
        if self.settings.admission:
            self.core.find_link_room = functools.partial(admitting.find_link_room, scheduler)
        # Without a link that needs scheduling, messages are sent without any further call.
        self.effect_handlers[effects.Send] = lambda effect, _: self.link.send_message(effect)
        return link.Link(
            self.loop,
            scheduler,
            self.core,
            self.peer_socket,
            self.caller_socket,
            lambda effect: self.apply_effects([effect]),
            self.report,
        )

    def describe_core(self) -> dict[str, int]:
        """Return the sizes of the core's state, to explain a bug by its last log line."""
        return {
            **super().describe_core(),
            "searches": len(self.core.searches),
            "searches_of_open_flows": self.core.open_flow_searches,
            "pending": len(self.core.pending),
            "queued": len(self.core.queued),
        }

    def add_metrics(self, registry: "metrics.Metrics") -> None:
        """Register the metrics of a balancer."""
        registry.gauge("homes", "Flows whose home is known.", lambda: len(self.core.homes))
        registry.gauge("searches", "Searches under way.", lambda: len(self.core.searches))
        registry.gauge(
            "pending", "Flows that wait for a confirmed view.", lambda: len(self.core.pending)
        )
        if self.link is not None:
            self.link.add_metrics(registry)
        registry.gauge(
            "waiting", "Flows that wait for room.", lambda: len(self.core.wait_queues.by_flow)
        )
        registry.tally("refused", "Flows refused admission.", self.core.refused, "reason")

    def is_ready(self) -> bool:
        """Return whether packets can be served.

        A balancer that reaches no sidecar refuses, so that the fabric uses other balancers.
        """
        return super().is_ready() and not self.core.is_cut_off(clock.now())

    def on_view(self) -> None:
        """Pass the changed view of the store to the core."""
        self.core.set_view_current(self.feed.is_current(), clock.now())
        self.core.view_confirmed_at = self.feed.reader.confirmed_at
        self.core.revision = self.feed.reader.revision or 0
        self.apply_effects(self.core.reroute_searches(clock.now()))
        self.set_timer()

    def on_caller(self, data: bytes, source: view.Address) -> None:
        """Parse a caller's packet and pass it to the core."""
        received = packets.from_caller(data)
        if received is None:
            self.counts["packets_refused"] += 1
            return
        self.counts["packets"] += 1
        self.last_packet_at = self.loop.now
        if self.link is not None:
            self.link.current = received
        self.apply_effects(self.core.on_caller(received, self.loop.now))
        self.set_timer()

    def on_message(
        self, message: messages.Message, received: packet.Packet | None, source: view.Address
    ) -> None:
        """Pass a message to the core and carry out its effects."""
        if self.link is not None:
            self.link.on_message(message, source)
        self.apply_effects(self.core.on_message(message, received, source, self.loop.now))
        self.set_timer()

    def set_timer(self) -> None:
        """Set a timer for the next search that is due."""
        due = self.core.next_due()
        if due is not None and (self.timer_at is None or due < self.timer_at):
            self.timer_at = due
            self.loop.call_at(due, self.on_timer)

    def on_timer(self) -> None:
        """Advance the searches that are due."""
        self.timer_at = None
        self.apply_effects(self.core.on_due(clock.now()))
        self.set_timer()

    def on_tick(self, now: int) -> None:
        """Run the core's periodic work; stop a leaving balancer that gets no more packets."""
        self.apply_effects(self.core.on_tick(now))
        if self.link is not None:
            self.link.on_tick(now)
        if self.leaving_since is None:
            return
        leaving_ms = now - self.leaving_since
        is_idle = now - self.last_packet_at >= LEAVE_IDLE_MS and not self.has_backlog()
        if leaving_ms >= MAX_LEAVE_MS or (leaving_ms >= MIN_LEAVE_MS and is_idle):
            self.loop.stop()

    def has_backlog(self) -> bool:
        """Return whether datagrams wait for the link."""
        return self.link is not None and self.link.scheduler.waiting_bytes > 0

    def on_leave(self) -> None:
        """Keep serving; the readiness check already refuses, so the fabric removes the balancer."""

    def send_to_caller(self, raw: bytes, flow: packet.Flow) -> None:
        """Send a packet to the flow's caller."""
        if self.link is not None:
            self.link.send_to_caller(raw, flow, self.caller_port)
            return
        loop.send(self.caller_socket, raw, (packet.caller_host(flow), self.caller_port))
