"""Run a balancer: relay callers' datagrams to sidecars, and the sidecars' answers to callers."""

import collections
import random
import secrets

from ebonystile import clock, logs, loop, settings
from ebonystile.core import view
from ebonystile.core.calls import balancer
from ebonystile.daemon import answers, control, guard, inbound, reporting, server, tuning
from ebonystile.peer import messages, seal

LEAVE_IDLE_MS = 1_000
"""A leaving balancer stops once it has received no caller's datagram for this long, in ms."""


class Daemon:
    """The sockets, threads and calls around one balancer's core."""

    def __init__(self, config: settings.BalancerSettings):
        self.config = config
        self.incarnation = secrets.randbits(63)
        self.core = balancer.make_balancer(
            config.address, random.Random(self.incarnation), tuning.make_gate(config.gate)
        )
        self.seal = seal.make_seal(config.keys, self.incarnation)
        self.counts: collections.Counter[str] = collections.Counter()
        self.loop = loop.Loop()
        self.callers = self.loop.listen(config.listen, self.on_caller_datagram)
        self.peers = self.loop.listen(config.address, self.on_peer_datagram)
        self.leave_deadline = 0
        self.leaving_reason = ""
        self.last_datagram_at = clock.now()
        identity = answers.Identity(
            config.name, answers.BALANCER, config.zone, self.incarnation, self.last_datagram_at
        )
        self.reporter = reporting.make_reporter(
            identity, self.core, self.loop, self.counts, config.event_limit, self.shell_state
        )
        self.is_view_stale = True
        self.control_plane = control.Control(
            self.loop,
            config,
            "balancer",
            self.incarnation,
            self.on_view,
            self.on_view_stale,
            self.reporter.event,
        )
        self.server = server.serve(
            config.address,
            {**self.control_plane.handlers(), **self.reporter.handlers(config.keys)},
            self.reporter.metrics.text,
            is_healthy=self.is_healthy,
            connection_limit=config.tcp_connection_limit,
        )
        self.control_plane.start(self.seal, self.peers)
        self.loop.call_every(200, self.tick)
        guard.install_signal_handlers(self.loop, self.leave)

    def run(self) -> None:
        """Run until the balancer has left."""
        self.reporter.event("process_started", listen=":".join(map(str, self.config.listen)))
        guard.run(self.loop)
        self.control_plane.stop()
        self.server.stop()
        logs.event("process_stopped", **self.counts)

    def is_healthy(self) -> bool:
        """Return whether the balancer has a current view and is not leaving, for `/healthz`."""
        return self.core.view.revision > 0 and not self.is_view_stale and not self.leave_deadline

    def on_view_stale(self) -> None:
        """Stop routing by a stale view, as after a pause; callers retry through other balancers."""
        self.is_view_stale = True

    def shell_state(self) -> answers.ShellState:
        """Return the state outside the core that operators are shown."""
        return answers.ShellState(
            queued=len(self.loop.inbox),
            leaving=self.leaving_reason,
            suspected=self.control_plane.suspected(),
            refusals=self.control_plane.refusals(),
        )

    def on_view(self, newer: view.View) -> None:
        """Route by a newer view, or go on by the current one, which is confirmed."""
        self.is_view_stale = False
        before = self.core.view.revision
        if balancer.change_view(self.core, newer) and newer.revision != before:
            self.reporter.event("configured", revision=newer.revision)

    def on_caller_datagram(self, payload: bytes, caller: view.Address) -> None:
        """Route a caller's datagram."""
        self.last_datagram_at = self.loop.now
        if self.is_view_stale:
            self.counts["dropped_behind"] += 1
            return
        action = balancer.route(self.core, caller, payload, self.loop.now)
        if type(action) is balancer.Relay:
            content = messages.pack_forward(action.forward)
            loop.send(self.peers, self.seal.seal_content(content), action.address)
            self.counts["relayed"] += 1
        elif type(action) is balancer.Reply:
            loop.send(self.callers, action.payload, action.caller)
            self.counts["refused"] += 1
        else:
            self.counts["dropped_" + action.reason] += 1

    def on_peer_datagram(self, data: bytes, source: view.Address) -> None:
        """Relay a sidecar's answer to its caller."""
        message = inbound.open_packet(data, source, self.seal, self.control_plane, self.counts)
        if type(message) is messages.Return:
            loop.send(self.callers, message.payload, message.caller)
            self.counts["returned"] += 1

    def leave(self, reason: str) -> None:
        """Begin to leave: relay until no more packets arrive or the drain times out."""
        self.reporter.event("leaving", reason=reason)
        self.leaving_reason = reason
        self.last_datagram_at = clock.now()
        self.leave_deadline = self.last_datagram_at + self.config.drain_ms
        self.control_plane.leave()

    def tick(self) -> None:
        """Report the loop's lag to the gate; stop a leaving balancer that is idle or timed out."""
        now = clock.now()
        self.core.gate.observe(self.loop.lag(self.callers), now)
        if not self.leave_deadline:
            return
        if now >= self.leave_deadline or now - self.last_datagram_at >= LEAVE_IDLE_MS:
            self.loop.stop()


def run(config: settings.BalancerSettings) -> None:
    """Run a balancer until it has received a stop signal and has left."""
    daemon = Daemon(config)
    logs.setup("ebonystile-balancer", config.name, daemon.incarnation, config.log_level)
    daemon.run()
