"""The sidecar daemon: connects the sidecar core to its upstream, timers and the store feed."""

import typing

from ebonystile import clock, loop
from ebonystile.carrier import report, shell
from ebonystile.core import view
from ebonystile.core.carrying import messages, packet, sidecar
from ebonystile.platform import entries, node, packets

if typing.TYPE_CHECKING:
    from ebonystile import metrics

LEAVE_MS = 50
"""Time that a leaving sidecar keeps running, in ms. Its upstream is reachable only through it, so
a short time until the replacement starts loses the fewest packets."""


class Daemon(shell.Shell):
    """The shell around a sidecar core."""

    def __init__(self, settings: node.Node):
        super().__init__("sidecar", settings)
        self.core = sidecar.Sidecar(
            settings.internal,
            settings.service,
            clock.now(),
            self.feed.sources.seeds,
            zone=settings.zone,
        )
        self.core.route_table = self.feed.route_table
        self.core.fleet = self.feed.fleet
        self.upstream = entries.address_of(settings.upstream)
        self.outbound = self.loop.listen(
            entries.address_of(settings.from_upstream), self.on_upstream, shell.BUFFER_BYTES
        )
        self.core.table.request_stats.on_answer = self.report.record_answer
        self.caller_port = entries.address_of(settings.packets)[1]

    def add_metrics(self, registry: "metrics.Metrics") -> None:
        """Register the metrics of a sidecar and its upstream."""
        table = self.core.table
        self.report.latency(report.ANSWERS)
        registry.gauge("flows", "Flows in the flow table.", lambda: len(table.flows))
        registry.gauge(
            "running", "Running requests.", lambda: table.running_requests(self.loop.now)
        )
        registry.gauge(
            "good",
            "Share of recent requests that succeeded.",
            lambda: table.request_stats.success_rate(self.loop.now),
        )

    def on_view(self) -> None:
        """Pass the changed view of the store to the core and send due announcements."""
        self.core.is_view_current = self.feed.is_current()
        self.core.view_confirmed_at = self.feed.reader.confirmed_at
        self.core.revision = self.feed.reader.revision or 0
        self.core.announcer.is_relay = self.feed.sources.announces_relay
        now = clock.now()
        self.core.on_view(now)
        self.apply_effects(self.core.announce(now))

    def on_upstream(self, data: bytes, source: view.Address) -> None:
        """Parse a packet of the upstream and pass it to the core."""
        sent = packets.from_upstream(data)
        if sent is None:
            self.counts["packets_refused"] += 1
            return
        self.counts["packets_out"] += 1
        self.apply_effects(self.core.on_upstream(sent, self.loop.now))

    def on_message(
        self, message: messages.Message, received: packet.Packet | None, source: view.Address
    ) -> None:
        """Pass a message to the core and carry out its effects."""
        self.apply_effects(self.core.on_message(message, received, source, self.loop.now))

    def on_tick(self, now: int) -> None:
        """Run the core's periodic work."""
        self.apply_effects(self.core.on_tick(now))

    def on_leave(self) -> None:
        """Accept no new flows, and stop after `LEAVE_MS`."""
        self.core.leaving = True
        self.loop.call_at(clock.now() + LEAVE_MS, self.loop.stop)

    def send_to_upstream(self, raw: bytes) -> None:
        """Send a packet to the upstream."""
        self.counts["packets_in"] += 1
        loop.send(self.outbound, raw, self.upstream)

    def send_to_caller(self, raw: bytes, flow: packet.Flow) -> None:
        """Send a packet to the flow's caller."""
        loop.send(self.outbound, raw, (packet.caller_host(flow), self.caller_port))
