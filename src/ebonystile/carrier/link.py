"""Send a balancer's datagrams through the scheduler in front of its narrow link."""

import functools
import socket
import typing
from collections import abc

from ebonystile import clock, loop
from ebonystile.carrier import report, shell
from ebonystile.core import view
from ebonystile.core.carrying import (
    backlog,
    balancer,
    datagram,
    effects,
    link_rate,
    messages,
    packet,
    scheduling,
)
from ebonystile.peer import carrying
from ebonystile.platform import packets

if typing.TYPE_CHECKING:
    from ebonystile import metrics

STALL_MS = 15
"""Delay of a timer or age of a socket's backlog in ms from which round trips are not evaluated. A
shorter one does not change what they show."""


class Link:
    """Connects a `LinkScheduler` to the sockets, the timers, the log and the metrics.

    `current` is the caller's packet that is being handled, which needs no second parsing.
    """

    def __init__(
        self,
        event_loop: loop.Loop,
        scheduler: scheduling.LinkScheduler,
        core: balancer.Balancer,
        peer_socket: socket.socket,
        caller_socket: socket.socket,
        apply_effect: abc.Callable[[effects.Effect], None],
        program_report: report.Report,
    ):
        self.event_loop = event_loop
        self.scheduler = scheduler
        self.core = core
        self.peer_socket = peer_socket
        self.caller_socket = caller_socket
        self.apply_effect = apply_effect
        self.report = program_report
        self.rate = link_rate.LinkRate(scheduler.configured_mbps, clock.now())
        self.backlog = backlog.Backlog()
        self.current: packet.Packet | None = None
        self.timer_at: int | None = None
        self.last_tick_at = clock.now()
        self.last_stall_at = 0

    def add_metrics(self, registry: "metrics.Metrics") -> None:
        """Register the metrics of the link."""
        scheduler = self.scheduler
        registry.gauge("link_bytes", "Bytes that wait.", lambda: scheduler.waiting_bytes)
        registry.gauge("link_mbps", "Rate in force in Mbit/s.", lambda: scheduler.rate_mbps)
        registry.tally(
            "link_dropped", "Datagrams dropped in the queue.", scheduler.dropped, "reason"
        )

    def send_message(self, effect: effects.Send) -> None:
        """Send a message to another process, at once or when its turn comes."""
        self.send(make_datagram(effect.message, effect.address, self))

    def send_to_caller(self, reset: bytes, flow: packet.Flow, port: int) -> None:
        """Send a reset to the flow's caller, at once or when its turn comes."""
        traits = self.core.route_table.routes.traits_of(flow)
        address = (packet.caller_host(flow), port)
        self.send(datagram.Datagram(reset, address, flow, traits, aborts=True, is_to_caller=True))

    def send(self, added: datagram.Datagram) -> None:
        """Send a datagram at once, or add it to the queue."""
        now = self.event_loop.now
        if self.scheduler.enqueue(added, now):
            self.transmit(added, now)
        if self.scheduler.waiting_bytes:
            self.observe_backlog()
            self.set_timer()

    def transmit(self, sent: datagram.Datagram, now: int) -> None:
        """Pass a datagram to the kernel."""
        self.rate.record_sent(sent.size, now)
        if sent.query is not None:
            self.rate.record_query(sent.address, sent.query, now)
        sender = self.caller_socket if sent.is_to_caller else self.peer_socket
        loop.send(sender, sent.data, sent.address)

    def set_timer(self) -> None:
        """Set a timer for when the next datagram can be sent."""
        due = self.scheduler.next_due(self.event_loop.now)
        if due is not None and (self.timer_at is None or due < self.timer_at):
            self.timer_at = due
            self.event_loop.call_at(due, functools.partial(self.on_timer, due))

    def on_timer(self, due: int) -> None:
        """Send the datagrams that are due, unless an earlier timer has replaced this one."""
        if due != self.timer_at:
            return
        self.timer_at = None
        now = clock.now()
        for sent in self.scheduler.pop_due(now):
            self.backlog.observe_wait(sent, now)
            self.report.record_link_wait(now, now - sent.enqueued_at, scheduling.name_of(sent.rank))
            self.transmit(sent, now)
        self.observe_backlog()
        self.set_timer()

    def observe_backlog(self) -> None:
        """Log whether a backlog has begun or ended."""
        traced = self.backlog.observe(self.scheduler)
        if traced is not None:
            self.apply_effect(traced)

    def on_message(self, message: messages.Message, source: view.Address) -> None:
        """Record the answer to a query, and whether this process is behind with its datagrams."""
        now = self.event_loop.now
        is_behind = self.event_loop.lag(self.peer_socket) >= STALL_MS
        if is_behind or self.event_loop.overdue_ms() >= STALL_MS:
            self.record_stall(now)
        if isinstance(message, messages.Answer):
            self.rate.record_answer(source, message.flow, now)

    def record_stall(self, now: int) -> None:
        """Record, once per step of the loop, that answers have waited in this process."""
        if now != self.last_stall_at:
            self.last_stall_at = now
            self.rate.record_stall(now)

    def on_tick(self, now: int) -> None:
        """Adjust the rate in force; `now` is in ms."""
        if now - self.last_tick_at >= shell.TICK_MS + STALL_MS:
            self.record_stall(now)
        self.last_tick_at = now
        traced = self.rate.adjust(now)
        if traced is None:
            return
        self.scheduler.set_rate(self.rate.mbps, now)
        self.set_timer()
        self.apply_effect(traced)

    def packet_of(self, raw: bytes) -> packet.Packet:
        """Return the parsed form of a packet that was received well-formed."""
        if self.current is not None and self.current.raw is raw:
            return self.current
        return packets.from_caller(raw)


@functools.singledispatch
def make_datagram(message: typing.Any, address: view.Address, link: Link) -> datagram.Datagram:
    """Return the datagram of a message, with what decides its place in the order."""
    return datagram.Datagram(carrying.pack(message), address)


@make_datagram.register
def _(message: messages.Ask, address, link):
    return datagram.Datagram(carrying.pack(message), address, query=message.flow)


@make_datagram.register(messages.Carry)
@make_datagram.register(messages.Open)
def _(message, address, link):
    carried = link.packet_of(message.raw)
    return datagram.Datagram(
        carrying.pack(message),
        address,
        carried.flow,
        link.core.route_table.routes.traits_of(carried.flow),
        carried.sequence,
        carried.length,
        carried.opens,
        carried.closes,
        carried.aborts,
    )
