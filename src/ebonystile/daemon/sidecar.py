"""Run a sidecar: its core, the calls to its upstream and the transfers to other sidecars."""

import collections
import concurrent.futures
import functools
import itertools
import random
import secrets
import typing

from ebonystile import clock, errors, logs, loop, settings
from ebonystile.core import view
from ebonystile.core.calls import effects, events, siblings, sidecar, sidecar_state
from ebonystile.daemon import answers, control, guard, inbound, reporting, server, tuning
from ebonystile.peer import bulk, messages, seal, transfer
from ebonystile.upstream import client

TRANSFER_PATH = "/transfer"
TRANSFER_TIMEOUT_MS = 2_000
FEED_POLL_MS = 1_000
MAX_FEED_EVENTS = 256
FEED_THREADS = 64
"""Upper bound on concurrent long polls of feeds; each blocks a thread."""

BULK_THREADS = 4
LINGER_MS = 2_000
"""Time for which a drained sidecar still redirects callers to their flows' new homes, in ms."""

EXECUTOR_FAILED = "the executor failed"


class Daemon:
    """The sockets, threads and calls around one sidecar's core."""

    def __init__(self, config: settings.SidecarSettings):
        self.config = config
        self.incarnation = secrets.randbits(63)
        now = clock.now()
        self.core = sidecar.make_sidecar(
            config.name,
            self.incarnation,
            make_limits(config),
            random.Random(secrets.randbits(64)),
            now,
            tuning.make_policy(config.spreading),
        )
        self.seal = seal.make_seal(config.keys, self.incarnation)
        self.bulk_seal = seal.make_seal(config.keys, self.incarnation)
        self.counts: collections.Counter[str] = collections.Counter()
        self.upstream = client.make_upstream(config.upstream, config.slots, clock.now)
        self.run_calls = concurrent.futures.ThreadPoolExecutor(config.slots, "run")
        self.feed_calls = concurrent.futures.ThreadPoolExecutor(FEED_THREADS, "feed")
        self.bulk_calls = concurrent.futures.ThreadPoolExecutor(BULK_THREADS, "bulk")
        self.control_calls = concurrent.futures.ThreadPoolExecutor(2, "control")
        self.transfer_handles = itertools.count(1)
        self.pending_replies: dict[int, concurrent.futures.Future] = {}
        self.leave_deadline = 0
        self.drained_at = 0
        self.health_pending = False
        self.load_pending = False
        self.loop = loop.Loop()
        self.peers = self.loop.listen(config.address, self.on_peer_datagram)
        identity = answers.Identity(
            config.name, answers.SIDECAR, config.zone, self.incarnation, now
        )
        self.reporter = reporting.make_reporter(
            identity, self.core, self.loop, self.counts, config.event_limit, self.shell_state
        )
        self.run_time = self.reporter.metrics.latency(
            "run_seconds", "Time from handing a request to the upstream to its answer."
        )
        self.control_plane = control.Control(
            self.loop,
            config,
            "upstream",
            self.incarnation,
            self.on_view,
            self.on_view_stale,
            self.reporter.event,
        )
        self.server = server.serve(
            config.address,
            {
                TRANSFER_PATH: self.on_transfer,
                **self.control_plane.handlers(),
                **self.reporter.handlers(config.keys),
            },
            self.reporter.metrics.text,
            is_healthy=self.is_healthy,
            connection_limit=config.tcp_connection_limit,
        )
        self.control_plane.start(self.seal, self.peers)
        self.loop.call_every(events.TICK_MS, self.tick)
        self.loop.call_every(config.health_poll_ms, self.fetch_health)
        self.loop.call_every(config.load_poll_ms, self.fetch_load)
        guard.install_signal_handlers(self.loop, self.leave)

    def run(self) -> None:
        """Run until the sidecar has drained or its drain has timed out."""
        self.reporter.event("process_started", address=":".join(map(str, self.config.address)))
        guard.run(self.loop)
        self.control_plane.stop()
        self.server.stop()
        for pool in (self.run_calls, self.feed_calls, self.bulk_calls, self.control_calls):
            pool.shutdown(wait=False, cancel_futures=True)
        self.upstream.close()
        logs.event("process_stopped", **self.counts)

    # Events

    def post_event(self, event: typing.Any) -> None:
        """Have the owner thread pass an event to the core; thread-safe."""
        self.loop.post(functools.partial(self.handle_event, event))

    def handle_event(self, event: typing.Any) -> None:
        """Pass an event to the core and execute the effects that it returns."""
        for effect in sidecar.decide(self.core, event, clock.now()):
            execute(effect, self)

    def on_peer_datagram(self, data: bytes, source: view.Address) -> None:
        """Handle a datagram from a balancer or another sidecar."""
        message = inbound.open_packet(data, source, self.seal, self.control_plane, self.counts)
        if type(message) is messages.Forward:
            self.handle_event(events.Arrived(message))
        elif type(message) is messages.LoadReport:
            self.handle_event(events.LoadReported(message))

    def on_view(self, newer: view.View) -> None:
        """Pass a newer view, or the confirmation of the current one, to the core."""
        self.handle_event(events.ViewChanged(newer))

    def on_view_stale(self) -> None:
        """Log that the view may be stale; the core detects pauses itself and defers new work."""
        self.reporter.event("behind")

    def on_transfer(self, sealed_transfer: bytes) -> bytes:
        """Answer a transfer of a flow from another sidecar; runs in a thread of the server."""
        body = self.bulk_seal.open(sealed_transfer, replayable=True).body
        message = transfer.TRANSFERS.from_items(body)
        if not isinstance(message, transfer.Transfer):
            raise errors.DatagramError("not a transfer", step="take transfer", peer="sidecar")
        reply: concurrent.futures.Future = concurrent.futures.Future()
        handle = next(self.transfer_handles)
        self.pending_replies[handle] = reply
        self.post_event(events.TransferArrived(handle, message))
        try:
            return self.seal_transfer(reply.result(TRANSFER_TIMEOUT_MS / 1000))
        except TimeoutError as error:
            raise errors.PeerError("the core is busy", step="take transfer", peer="core") from error
        finally:
            self.pending_replies.pop(handle, None)

    def seal_transfer(self, message: transfer.Transfer | transfer.TransferReply) -> bytes:
        """Return a transfer or its reply encoded and sealed for sending."""
        return self.bulk_seal.seal(transfer.TRANSFERS.to_items(message))

    def shell_state(self) -> answers.ShellState:
        """Return the state outside the core that operators are shown."""
        suspected = {*siblings.suspected(self.core, clock.now()), *self.control_plane.suspected()}
        return answers.ShellState(
            suspected=tuple(sorted(suspected)), refusals=self.control_plane.refusals()
        )

    def is_healthy(self) -> bool:
        """Return whether the process has a configuration and accepts new work, for `/healthz`."""
        return self.core.view.revision > 0 and not self.core.leaving_reason

    def tick(self) -> None:
        """Pass a tick to the core; stop a leaving process that has drained or timed out."""
        self.handle_event(events.Tick())
        if not self.leave_deadline:
            return
        now = clock.now()
        if not sidecar.is_drained(self.core):
            self.drained_at = 0
        elif not self.drained_at:
            self.drained_at = now
        if now >= self.leave_deadline or (self.drained_at and now - self.drained_at >= LINGER_MS):
            self.loop.stop()

    def leave(self, reason: str) -> None:
        """Begin to drain: finish running requests, hand flows over, then stop."""
        self.reporter.event("stop_asked", reason=reason)
        self.leave_deadline = clock.now() + self.config.drain_ms
        self.control_plane.leave()
        self.handle_event(events.Leave(reason))

    def fetch_health(self) -> None:
        """Fetch whether the upstream is healthy, cold or draining."""
        if not self.health_pending:
            self.health_pending = True
            self.control_calls.submit(self.upstream.health).add_done_callback(self.on_health)

    def on_health(self, future: concurrent.futures.Future) -> None:
        """Pass the upstream's health to the core; leave if the upstream drains."""
        self.health_pending = False
        if future.cancelled() or future.exception() is not None:
            self.counts["health_failed"] += 1
            self.post_event(events.UpstreamHealth(False))
            return
        health = future.result()
        self.post_event(events.UpstreamHealth(health.ok, health.cold))
        if health.draining and not self.core.leaving_reason:
            self.post_event(events.Leave("the upstream drains"))

    def fetch_load(self) -> None:
        """Fetch the load that the upstream reports."""
        if not self.load_pending:
            self.load_pending = True
            self.control_calls.submit(self.upstream.load).add_done_callback(self.on_load)

    def on_load(self, future: concurrent.futures.Future) -> None:
        """Pass the load that the upstream reports to the core; a failed call is only counted."""
        self.load_pending = False
        if future.cancelled() or future.exception() is not None:
            self.counts["load_failed"] += 1
        else:
            load = future.result()
            self.post_event(events.UpstreamLoad(load.running + load.queued))

    # Calls to the upstream and to other sidecars

    def run_request(self, job: client.Job) -> client.Reply:
        """Run a request at the upstream; see `effects.RunRequest` for the check of the deadline."""
        if clock.now() >= job.deadline:
            raise errors.UpstreamError(
                "its deadline has passed",
                step="run request",
                peer=self.config.upstream,
                may_have_run=False,
            )
        return self.upstream.run(job)

    def on_run_done(
        self, key: tuple[bytes, bytes], started: int, future: concurrent.futures.Future
    ) -> None:
        """Pass the result of a request that was sent to the upstream at `started` to the core."""
        if future.cancelled():
            return
        now = clock.now()
        self.loop.post(functools.partial(self.run_time.record, now, now - started))
        error = future.exception()
        if error is None:
            reply = future.result()
            self.post_event(events.Finished(key, reply.status, reply.body))
        elif isinstance(error, errors.UpstreamError):
            retry_at = error.retry_at or 0
            self.post_event(events.Failed(key, error.reason, error.may_have_run, retry_at))
        else:
            logs.exception("run_failed", error)
            self.post_event(events.Failed(key, EXECUTOR_FAILED, True))

    def on_poll_done(self, effect: effects.PollFeed, future: concurrent.futures.Future) -> None:
        """Pass the events of a feed to the core."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            batch = tuple((e.position, e.body) for e in future.result())
            self.post_event(events.FeedBatch(effect.path, effect.after, batch))
        else:
            self.post_event(events.FeedFailed(effect.path, str(error)))

    def poll_feed(self, effect: effects.PollFeed) -> list[client.Event]:
        """Fetch the next events of a feed from the upstream."""
        wait_until = clock.now() + FEED_POLL_MS
        return self.upstream.events(
            effect.path, effect.after, MAX_FEED_EVENTS, wait_until, service=effect.service
        )

    def send_transfer(self, effect: effects.SendTransfer) -> transfer.TransferReply:
        """Send a flow to another sidecar and return its reply."""
        sealed_transfer = self.seal_transfer(effect.transfer)
        wait_until = clock.now() + TRANSFER_TIMEOUT_MS
        sealed_reply = bulk.exchange(effect.address, TRANSFER_PATH, sealed_transfer, wait_until)
        body = self.bulk_seal.open(sealed_reply, replayable=True).body
        reply = transfer.TRANSFERS.from_items(body)
        if not isinstance(reply, transfer.TransferReply):
            raise errors.DatagramError("not a reply", step="hand over", peer="sidecar")
        return reply

    def on_transfer_done(self, sent: transfer.Transfer, future: concurrent.futures.Future) -> None:
        """Pass the result of a transfer to the core."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.post_event(events.TransferAnswered(sent.flow, future.result()))
            return
        if not isinstance(error, errors.EbonystileError):
            logs.exception("transfer_failed", error)
        self.post_event(events.TransferFailed(sent.flow, sent.id, str(error)))


@functools.singledispatch
def execute(effect: typing.Any, daemon: Daemon) -> None:
    """Execute one effect of the core."""
    raise TypeError(f"no handler for the effect {type(effect).__name__}")


@execute.register
def _(effect: effects.ToCaller, daemon):
    content = messages.pack_return(messages.Return(effect.caller, effect.payload))
    loop.send(daemon.peers, daemon.seal.seal_content(content), effect.balancer)


@execute.register
def _(effect: effects.ToSidecar, daemon):
    content = messages.pack_forward(effect.forward)
    loop.send(daemon.peers, daemon.seal.seal_content(content), effect.address)


@execute.register
def _(effect: effects.SendLoad, daemon):
    content = messages.pack_load(effect.report)
    for address in effect.addresses:
        loop.send(daemon.peers, daemon.seal.seal_content(content), address)
    daemon.counts["load_reports"] += len(effect.addresses)


@execute.register
def _(effect: effects.RunRequest, daemon):
    job = client.Job(
        effect.key[1], effect.service, effect.path, effect.body, effect.deadline, effect.idempotent
    )
    future = daemon.run_calls.submit(daemon.run_request, job)
    future.add_done_callback(functools.partial(daemon.on_run_done, effect.key, clock.now()))


@execute.register
def _(effect: effects.CancelRequest, daemon):
    daemon.control_calls.submit(daemon.upstream.cancel, effect.key[1])


@execute.register
def _(effect: effects.PollFeed, daemon):
    future = daemon.feed_calls.submit(daemon.poll_feed, effect)
    future.add_done_callback(functools.partial(daemon.on_poll_done, effect))


@execute.register
def _(effect: effects.SendTransfer, daemon):
    future = daemon.bulk_calls.submit(daemon.send_transfer, effect)
    future.add_done_callback(functools.partial(daemon.on_transfer_done, effect.transfer))


@execute.register
def _(effect: effects.AnswerTransfer, daemon):
    future = daemon.pending_replies.get(effect.handle)
    if future is not None and not future.done():
        future.set_result(effect.reply)


@execute.register
def _(effect: effects.Trace, daemon):
    daemon.reporter.event(
        effect.event,
        level=reporting.DETAIL_LEVEL,
        flow=effect.flow,
        request=effect.request,
        **dict(effect.fields),
    )


def make_limits(config: settings.SidecarSettings) -> sidecar_state.Limits:
    """Return the core's limits from the settings."""
    return sidecar_state.Limits(
        slots=config.slots,
        max_queued=config.queue_limit,
        max_flows=config.flow_limit,
        max_records=config.ledger_limit,
        max_upload_bytes=config.ledger_bytes_limit,
        max_stored_answer_bytes=config.ledger_bytes_limit,
        flow_lease_ms=config.flow_lease_ms,
        ledger_margin_ms=config.ledger_margin_ms,
        max_deadline_ms=config.max_deadline_ms,
    )


def run(config: settings.SidecarSettings) -> None:
    """Run a sidecar until it has received a stop signal and drained."""
    daemon = Daemon(config)
    logs.setup("ebonystile-sidecar", config.name, daemon.incarnation, config.log_level)
    daemon.run()
