"""Run a balancer of carried flows."""

import typing

from ebonystile import clock, loop
from ebonystile.carrier import shell
from ebonystile.core import view
from ebonystile.core.carrying import balancer, messages, packet
from ebonystile.platform import entries, node, packets

if typing.TYPE_CHECKING:
    from ebonystile import metrics

LEAST_LEAVE_MS = 1_500
"""How long a leaving balancer goes on at least, in ms: the fabric asks twice a second and takes it
out after two refusals."""

QUIET_MS = 700
"""It ends once no packet has come for this long, in ms."""

MOST_LEAVE_MS = 4_000
"""It ends after this time in any case, in ms, before the platform kills it."""


class Daemon(shell.Shell):
    """The shell of one balancer."""

    def __init__(self, settings: node.Node):
        super().__init__("balancer", settings)
        self.core = balancer.Balancer(
            settings.zone,
            clock.now(),
            self.feed.sources.seeds,
            is_seed=settings.is_seed,
        )
        self.core.current = self.feed.current
        self.core.fleet = self.feed.fleet
        address = entries.address_of(settings.packets)
        self.callers = self.loop.listen(address, self.on_caller, shell.BUFFER_BYTES)
        self.caller_port = address[1]
        self.alarm_at: int | None = None
        self.caller_at = clock.now()

    def add_metrics(self, held: "metrics.Metrics") -> None:
        """Add what a balancer holds."""
        held.gauge("homes", "Flows whose home is known.", lambda: len(self.core.homes))
        held.gauge("searches", "Searches under way.", lambda: len(self.core.searches))

    def ready(self) -> bool:
        """Tell whether packets can be served: a cut-off balancer's callers go to others."""
        return super().ready() and not self.core.unreachable(clock.now())

    def on_view(self) -> None:
        """Let the core use what the store says now."""
        self.core.set_fresh(self.feed.reader.fresh, clock.now())
        self.core.revision = self.feed.reader.revision or 0
        self.set_alarm()

    def on_caller(self, data: bytes, source: view.Address) -> None:
        """Act on a caller's packet."""
        received = packets.from_caller(data)
        if received is None:
            self.counts["packets_refused"] += 1
            return
        self.counts["packets"] += 1
        self.caller_at = self.loop.now
        self.carry_out(self.core.on_caller(received, self.loop.now))
        self.set_alarm()

    def on_message(
        self, message: messages.Message, received: packet.Packet | None, source: view.Address
    ) -> None:
        """Act on a sidecar's message."""
        self.carry_out(self.core.on_message(message, received, source, self.loop.now))
        self.set_alarm()

    def set_alarm(self) -> None:
        """Wake up when the next search is due."""
        due = self.core.next_due()
        if due is not None and (self.alarm_at is None or due < self.alarm_at):
            self.alarm_at = due
            self.loop.at(due, self.on_alarm)

    def on_alarm(self) -> None:
        """Go on with the searches that are due."""
        self.alarm_at = None
        self.carry_out(self.core.on_due(clock.now()))
        self.set_alarm()

    def on_tick(self, now: int) -> None:
        """Forget what is over, and end once the fabric sends no more."""
        self.carry_out(self.core.on_tick(now))
        if self.leaving_since is None:
            return
        left = now - self.leaving_since
        quiet = now - self.caller_at >= QUIET_MS
        if left >= MOST_LEAVE_MS or (left >= LEAST_LEAVE_MS and quiet):
            self.loop.stop()

    def on_leave(self) -> None:
        """Go on serving; the readiness page tells the fabric."""

    def to_caller(self, raw: bytes, flow: packet.Flow) -> None:
        """Send a packet to the flow's caller."""
        loop.send(self.callers, raw, (packet.caller_host(flow), self.caller_port))
