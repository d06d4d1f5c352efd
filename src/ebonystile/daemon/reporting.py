"""Report the events of a process to its log, time line and metrics, and answer operators."""

import collections
import functools
import threading
import typing
from collections import abc
from concurrent import futures

from ebonystile import clock, logline, logs, loop, metrics, timeline
from ebonystile.core.calls import balancer, sidecar_state
from ebonystile.daemon import answers, operator
from ebonystile.operator import messages

LAG_INTERVAL_MS = 250
"""Interval at which the owner thread's lag is measured, in ms."""

TRANSFER_FIELD = "transfer"
TRANSFER_STEPS = {"fenced": 0, "adopted": 1, "handed_over": 2}
"""The events of one handover in causal order; they come from two processes."""

RATE_LIMITED_EVENTS = frozenset({"dropped", "unknown_flow"})
MAX_EVENTS_PER_S = 10
"""Events that any sender of invalid datagrams can cause, and how many of each enter the time line
per second. Beyond the limit they are only counted and logged: a flood would otherwise evict all
other events from the time line.
"""

SECOND_MS = 1_000

DETAIL_LEVEL = "DEBUG"
"""Log level of events of single flows and requests; the time line keeps them at any level."""


class Reporter:
    """The log, the time line, the metrics and the operators' answers of one process.

    `event`, `ask`, the handlers that `handlers` returns and `metrics.text` are thread-safe.
    """

    def __init__(
        self,
        identity: answers.Identity,
        core: balancer.Balancer | sidecar_state.SidecarState,
        owner: loop.Loop,
        counts: collections.Counter[str],
        event_limit: int,
        shell_state: abc.Callable[[], answers.ShellState],
    ):
        self.identity = identity
        self.core = core
        self.owner = owner
        self.counts = counts
        self.shell_state = shell_state
        self.ring = timeline.make_ring(
            identity.name, identity.role, identity.incarnation, event_limit
        )
        self.metrics = metrics.make_metrics()
        self.metrics.tally("events", "Events by their names.", counts, "event")
        self.lag = self.metrics.latency(
            "loop_lag_seconds", "Lag of the event loop of the owner thread."
        )
        self.lag_due = clock.now() + LAG_INTERVAL_MS
        self.lock = threading.Lock()
        self.rate_window_end = 0
        self.rate_window_counts: collections.Counter[str] = collections.Counter()
        add_gauges(core, self.metrics)
        owner.call_every(LAG_INTERVAL_MS, self.measure_lag)

    def event(
        self,
        name: str,
        /,
        *,
        level: str = "INFO",
        flow: bytes = b"",
        request: bytes = b"",
        **fields: typing.Any,
    ) -> None:
        """Count an event, log it and add it to the time line."""
        with self.lock:
            self.counts[name] += 1
            is_limited = name in RATE_LIMITED_EVENTS and self.is_rate_limited(name)
        ids = {key: value for key, value in (("flow", flow), ("request", request)) if value}
        logs.event(name, level=level, **ids, **fields)
        if is_limited:
            return
        link = fields.pop(TRANSFER_FIELD, b"")
        self.ring.add(
            clock.now(),
            name,
            flow=flow,
            request=request,
            upstream=upstream_of(self.identity),
            link=link,
            step=TRANSFER_STEPS.get(name, 0) if link else 0,
            fields=tuple((key, logline.format_value(value)) for key, value in fields.items()),
        )

    def is_rate_limited(self, name: str) -> bool:
        """Count a rate-limited event; return whether it exceeds the limit for this second."""
        now = clock.now()
        if now >= self.rate_window_end:
            self.rate_window_end = now + SECOND_MS
            self.rate_window_counts.clear()
        self.rate_window_counts[name] += 1
        return self.rate_window_counts[name] > MAX_EVENTS_PER_S

    def handlers(self, keys: abc.Iterable[typing.Any]) -> dict[str, operator.Handler]:
        """Return the TCP server's handlers for operators' questions, by path."""
        handler = operator.make_handler(keys, self.identity.incarnation, self.ask)
        return {messages.PATH: handler}

    def ask(self, question: messages.Question) -> futures.Future[messages.Answer]:
        """Return a future of the owner thread's answer to a question; thread-safe."""
        future: futures.Future[messages.Answer] = futures.Future()
        self.owner.post(functools.partial(self.answer, question, future))
        return future

    def answer(self, question: messages.Question, future: futures.Future) -> None:
        """Answer a question unless its future was cancelled."""
        if not future.set_running_or_notify_cancel():
            return
        try:
            future.set_result(answers.answer(question, self.process_state()))
        except Exception as error:
            # The asking thread handles the error; the owner thread must go on routing packets.
            future.set_exception(error)

    def process_state(self) -> answers.ProcessState:
        """Return a snapshot of the process."""
        return answers.ProcessState(
            self.core, self.identity, self.shell_state(), self.ring, clock.now()
        )

    def measure_lag(self) -> None:
        """Record by how much the owner thread runs this timer late."""
        now = clock.now()
        self.lag.record(now, now - self.lag_due)
        self.lag_due = now + LAG_INTERVAL_MS


@functools.singledispatch
def add_gauges(
    core: balancer.Balancer | sidecar_state.SidecarState, registry: metrics.Metrics
) -> None:
    """Register gauges of a core; each read is atomic, so another thread may do it."""
    registry.gauge("revision", "Revision of the documents in force.", lambda: core.view.revision)


@add_gauges.register
def _(core: sidecar_state.SidecarState, registry: metrics.Metrics) -> None:
    add_gauges.dispatch(object)(core, registry)
    registry.gauge("flows", "Flows known, those handed over included.", lambda: len(core.flows))
    registry.gauge("running", "Requests that run.", lambda: len(core.slots.running))
    registry.gauge("queued", "Requests that wait for a slot.", lambda: len(core.slots.queue))
    registry.gauge(
        "concurrency",
        "Requests that may run, less than the slots after the upstream shed.",
        lambda: core.slots.concurrency,
    )
    registry.gauge(
        "suspected",
        "1 while the upstream is suspected.",
        lambda: core.balance.suspicion.is_suspected(core.name),
    )
    registry.gauge("ledger", "Requests remembered.", lambda: len(core.ledger.entries))
    registry.gauge(
        "leaving", "1 while the process takes no new work.", lambda: bool(core.leaving_reason)
    )


def upstream_of(identity: answers.Identity) -> str:
    """Return the upstream that a process's events refer to: a sidecar's own, else none."""
    return identity.name if identity.role == answers.SIDECAR else ""


def make_reporter(
    identity: answers.Identity,
    core: balancer.Balancer | sidecar_state.SidecarState,
    owner: loop.Loop,
    counts: collections.Counter[str],
    event_limit: int,
    shell_state: abc.Callable[[], answers.ShellState] = answers.ShellState,
) -> Reporter:
    """Return the reporter of one process; `shell_state` is called for each operator's question."""
    return Reporter(identity, core, owner, counts, event_limit, shell_state)
