"""Report what a process does: to its log, its time line, its metrics and to operators."""

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
"""How often the owner thread's lag is measured, in ms."""

TRANSFER_FIELD = "transfer"
TRANSFER_STEPS = {"fenced": 0, "adopted": 1, "handed_over": 2}
"""The events of one handover in the order of cause and effect, over two processes."""

RATE_LIMITED_EVENTS = frozenset({"dropped", "unknown_flow"})
MAX_EVENTS_PER_S = 10
"""Events that anybody can cause by sending rubbish, and how many of each are kept in a second.

All are counted; but a flood of them would push everything else out of the time line, at the very
moment when operators want to know what else happened.
"""

SECOND_MS = 1_000

DETAIL_LEVEL = "DEBUG"
"""Level of what happens to single flows and requests; the time line has it at any level."""


class Reporter:
    """The log, the time line, the metrics and the operators' answers of one process.

    `event`, `ask`, what `handlers` gives and `metrics.text` may be called from any thread.
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
        self.lag = self.metrics.latency("loop_lag_seconds", "Lag of the thread that decides.")
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
        """Count an event, log it and put it into the time line."""
        with self.lock:
            self.counts[name] += 1
            flooded = name in RATE_LIMITED_EVENTS and self.is_rate_limited(name)
        ids = {key: value for key, value in (("flow", flow), ("request", request)) if value}
        logs.event(name, level=level, **ids, **fields)
        if flooded:
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
        """Count a floodable event; tell whether this second has had enough of them."""
        now = clock.now()
        if now >= self.rate_window_end:
            self.rate_window_end = now + SECOND_MS
            self.rate_window_counts.clear()
        self.rate_window_counts[name] += 1
        return self.rate_window_counts[name] > MAX_EVENTS_PER_S

    def handlers(self, keys: abc.Iterable[typing.Any]) -> dict[str, operator.Handler]:
        """Return what the TCP server needs to answer operators."""
        handler = operator.make_handler(keys, self.identity.incarnation, self.ask)
        return {messages.PATH: handler}

    def ask(self, question: messages.Question) -> futures.Future[messages.Answer]:
        """Have the owner thread answer a question; may be called from any thread."""
        future: futures.Future[messages.Answer] = futures.Future()
        self.owner.post(functools.partial(self.answer, question, future))
        return future

    def answer(self, question: messages.Question, future: futures.Future) -> None:
        """Answer a question unless nobody waits for it any more."""
        if not future.set_running_or_notify_cancel():
            return
        try:
            future.set_result(answers.answer(question, self.process_state()))
        except Exception as error:
            # The asking thread reports it; the owner thread must go on routing packets.
            future.set_exception(error)

    def process_state(self) -> answers.ProcessState:
        """Return the process as it is at this moment."""
        return answers.ProcessState(
            self.core, self.identity, self.shell_state(), self.ring, clock.now()
        )

    def measure_lag(self) -> None:
        """Record by how much the owner thread is behind its timer."""
        now = clock.now()
        self.lag.record(now, now - self.lag_due)
        self.lag_due = now + LAG_INTERVAL_MS


@functools.singledispatch
def add_gauges(core: balancer.Balancer | sidecar_state.SidecarState, held: metrics.Metrics) -> None:
    """Expose the sizes of a core; each read is one step, so another thread may do it."""
    held.gauge("revision", "Revision of the documents in force.", lambda: core.view.revision)


@add_gauges.register
def _(core: sidecar_state.SidecarState, held: metrics.Metrics) -> None:
    add_gauges.dispatch(object)(core, held)
    held.gauge("flows", "Flows known, those handed over included.", lambda: len(core.flows))
    held.gauge("running", "Requests that run.", lambda: len(core.slots.running))
    held.gauge("queued", "Requests that wait for a slot.", lambda: len(core.slots.queue))
    held.gauge(
        "concurrency",
        "Requests that may run, less than the slots after the upstream shed.",
        lambda: core.slots.concurrency,
    )
    held.gauge(
        "suspected",
        "1 while the upstream is suspected.",
        lambda: core.balance.suspicion.is_suspected(core.name),
    )
    held.gauge("ledger", "Requests remembered.", lambda: len(core.ledger.entries))
    held.gauge(
        "leaving", "1 while the process takes no new work.", lambda: bool(core.leaving_reason)
    )


def upstream_of(identity: answers.Identity) -> str:
    """Return the upstream that a process's events are about."""
    return identity.name if identity.role == answers.SIDECAR else ""


def make_reporter(
    identity: answers.Identity,
    core: balancer.Balancer | sidecar_state.SidecarState,
    owner: loop.Loop,
    counts: collections.Counter[str],
    event_limit: int,
    shell_state: abc.Callable[[], answers.ShellState] = answers.ShellState,
) -> Reporter:
    """Return the reporter of one process; `shell_state` is read whenever operators ask."""
    return Reporter(identity, core, owner, counts, event_limit, shell_state)
