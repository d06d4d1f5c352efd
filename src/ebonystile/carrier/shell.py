"""The base of both daemons: settings, event loop, store feed, signals and readiness check."""

import collections
import os
import signal
import time
import typing
from collections import abc

from ebonystile import clock, errors, loop
from ebonystile.carrier import feed, journal, pages, report
from ebonystile.core import view
from ebonystile.core.carrying import effects, messages, packet
from ebonystile.peer import carrying
from ebonystile.platform import entries, node, packets

if typing.TYPE_CHECKING:
    from ebonystile import metrics

TICK_MS = 200
"""Interval of the checks for pauses, changed settings and expired state, in ms."""

PAUSE_MS = 1_500
"""Gap between two ticks after which the view counts as stale, in ms."""

SUSPENDED_NS = 500 * clock.NS_PER_MS
"""Lead of the boot-time clock over the monotonic clock that shows a suspension, in ns."""

BUFFER_BYTES = 256 << 10
"""Socket buffer size in bytes: some hundred datagrams, 20 to 50 ms of work. Callers have resent a
packet that waits longer, so a larger buffer would only delay newer packets."""


def read_suspended_ns() -> int:
    """Return for how long the instance has been suspended since its boot, in ns."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.monotonic_ns()


class Shell:
    """Connects a core to sockets, the store feed, timers, signals, the log and metrics."""

    def __init__(self, program: str, settings: node.Node):
        self.settings = settings
        self.log = journal.Journal(program, settings.name)
        self.counts: collections.Counter[str] = collections.Counter()
        self.effect_handlers = dict(EFFECT_HANDLERS)
        self.loop = loop.Loop()
        self.feed = feed.StoreFeed(self.loop, settings, self.log, self.on_view)
        self.peer_socket = self.loop.listen(settings.internal, self.on_datagram, BUFFER_BYTES)
        self.readiness_server = pages.Server(
            self.loop, entries.address_of(settings.ready), self.on_request
        )
        self.report = report.Report(self.loop, self.log, self.counts, self.feed, self.add_metrics)
        if settings.metrics:
            self.report.serve(settings.metrics)
        self.leaving_since: int | None = None
        self.last_tick = clock.now()
        self.last_suspended_ns = read_suspended_ns()
        self.last_settings_stamp = settings_stamp()
        self.loop.call_every(TICK_MS, self.tick)
        loop.install_signal_handlers(self.loop, self.leave, self.log_signal)
        signal.signal(signal.SIGHUP, lambda *_: self.loop.post(self.reload))

    def run(self) -> None:
        """Run until the loop is stopped."""
        self.feed.make_next_call()
        self.log.event("start", zone=self.settings.zone, address=self.settings.packets)
        try:
            self.loop.run()
        except Exception as error:
            # Without its loop the process would stay alive and serve nothing.
            self.log.event("bug", error=repr(error), at=origin_of(error), **self.describe_core())
            raise
        self.log.event("stop", **self.counts, **self.feed.counts)

    def describe_core(self) -> dict[str, int]:
        """Return the sizes of the core's state, to explain a bug by its last log line."""
        return {
            "listed": len(self.feed.fleet.by_address),
            "unlisted": len(self.feed.fleet.unlisted_until),
        }

    def add_metrics(self, registry: "metrics.Metrics") -> None:
        """Register the metrics of this program."""
        raise NotImplementedError

    def on_request(self, connection: pages.Connection, target: str) -> None:
        """Answer an HTTP request at the readiness address."""
        if target.partition("?")[0] != node.READY_PATH:
            connection.answer(pages.Response(404))
        else:
            connection.answer(pages.Response(200 if self.is_ready() else 503))

    def is_ready(self) -> bool:
        """Return whether the fabric should send packets here."""
        return self.feed.reader.complete and self.leaving_since is None

    def on_view(self) -> None:
        """Pass the changed view of the store to the core."""

    def on_datagram(self, data: bytes, source: view.Address) -> None:
        """Decode a datagram of another process and pass its messages to the core."""
        try:
            message = carrying.unpack(data)
        except errors.DatagramError as error:
            self.counts["datagrams_refused"] += 1
            self.log.event("datagram_refused", peer=f"{source[0]}:{source[1]}", reason=str(error))
            return
        if isinstance(message, messages.ProbeMany):
            for raw in message.raws:
                self.dispatch_message(messages.Probe(raw), source)
        else:
            self.dispatch_message(message, source)

    def dispatch_message(self, message: messages.Message, source: view.Address) -> None:
        """Pass a message to the core; drop it if the packet in it is malformed."""
        raw = getattr(message, "raw", None)
        received = packets.from_caller(raw) if raw is not None else None
        if raw is not None and received is None:
            self.counts["datagrams_refused"] += 1
            return
        self.on_message(message, received, source)

    def on_message(
        self, message: messages.Message, received: packet.Packet | None, source: view.Address
    ) -> None:
        """Pass a message, with the parsed packet in it if any, to the core."""
        raise NotImplementedError

    def apply_effects(self, todo: abc.Iterable[effects.Effect]) -> None:
        """Carry out the effects that the core returned."""
        for effect in todo:
            self.effect_handlers[type(effect)](effect, self)

    def send_to_upstream(self, raw: bytes) -> None:
        """Send a packet to the upstream; only a sidecar has one."""
        raise NotImplementedError

    def send_to_caller(self, raw: bytes, flow: packet.Flow) -> None:
        """Send a packet to the flow's caller."""
        raise NotImplementedError

    def tick(self) -> None:
        """Detect a pause and changed settings, then run the core's periodic work."""
        now = clock.now()
        suspended = read_suspended_ns()
        gap = now - self.last_tick
        if gap > PAUSE_MS or suspended - self.last_suspended_ns > SUSPENDED_NS:
            # Routes may have been dropped and upstreams replaced during the pause.
            self.log.event("woke", gap_ms=gap)
            self.feed.reread()
        self.last_tick = now
        self.last_suspended_ns = suspended
        stamp = settings_stamp()
        if stamp != self.last_settings_stamp:
            self.last_settings_stamp = stamp
            self.reload()
        self.on_tick(now)

    def on_tick(self, now: int) -> None:
        """Run the core's periodic work; `now` is in ms."""
        raise NotImplementedError

    def reload(self) -> None:
        """Read the settings again; an invalid file leaves the old ones in place."""
        try:
            self.settings = node.read(node.path())
        except errors.SettingsError as error:
            self.log.event("reload", taken=False, reason=str(error))
            return
        self.feed.fleet.regions = self.settings.regions
        self.log.event("reload", taken=True)

    def leave(self, name: str) -> None:
        """Start the shutdown that the signal `name` asks for."""
        self.leaving_since = clock.now()
        self.log.event("leaving", signal=name)
        self.on_leave()

    def on_leave(self) -> None:
        """Start the shutdown of the core."""
        raise NotImplementedError

    def log_signal(self, name: str) -> None:
        """Log a further signal, which has no effect."""
        self.log.event("signal_again", signal=name)


def origin_of(error: Exception) -> str:
    """Return the function and line in which an error was raised."""
    raised = error.__traceback__
    while raised.tb_next is not None:
        raised = raised.tb_next
    return f"{raised.tb_frame.f_code.co_qualname}:{raised.tb_lineno}"


def settings_stamp() -> tuple[int, int]:
    """Return the settings file's modification time (ns) and size, zeros if it can't be read."""
    try:
        status = os.stat(node.path())
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def handle_send(effect: effects.Send, shell: Shell) -> None:
    """Send a message to another process."""
    loop.send(shell.peer_socket, carrying.pack(effect.message), effect.address)


def handle_reset(effect: effects.Reset, shell: Shell) -> None:
    """Send a reset to the flow's caller."""
    shell.counts["resets"] += 1
    shell.send_to_caller(packets.make_reset(effect.flow, effect.position), effect.flow)


def handle_trace(effect: effects.Trace, shell: Shell) -> None:
    """Log and count an event of the core; record how long a search took."""
    fields = dict(effect.fields)
    shell.counts[effect.event] += 1
    if "searched_ms" in fields:
        shell.report.record_search(effect.event, fields["searched_ms"])
    shell.log.event(effect.event, **fields)


EFFECT_HANDLERS: dict[type, abc.Callable] = {
    effects.Send: handle_send,
    effects.ToUpstream: lambda effect, shell: shell.send_to_upstream(effect.raw),
    effects.ToCaller: lambda effect, shell: shell.send_to_caller(
        effect.packet.raw, effect.packet.flow
    ),
    effects.Reset: handle_reset,
    effects.Reread: lambda effect, shell: shell.feed.schedule_read(effect.version),
    effects.AddRelay: lambda effect, shell: shell.feed.add_announced(effect.address),
    effects.Trace: handle_trace,
}
