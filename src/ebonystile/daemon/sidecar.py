"""Run a sidecar: its core, the upstream beside it, and the sidecars that it hands flows to."""

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
TRANSFER_WAIT_MS = 2_000
FEED_WAIT_MS = 1_000
FEED_EVENTS = 256
FEED_THREADS = 64
"""Long polls of different feeds under way at once; each holds a thread while it waits."""

BULK_THREADS = 4
LINGER_MS = 2_000
"""A drained sidecar still shows callers their flows' new homes for this long, in ms."""

EXECUTOR_FAILED = "the executor failed"


class Daemon:
    """The shell of one sidecar."""

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
        self.runs = concurrent.futures.ThreadPoolExecutor(config.slots, "run")
        self.polls = concurrent.futures.ThreadPoolExecutor(FEED_THREADS, "feed")
        self.bulk = concurrent.futures.ThreadPoolExecutor(BULK_THREADS, "bulk")
        self.control = concurrent.futures.ThreadPoolExecutor(2, "control")
        self.handles = itertools.count(1)
        self.replies: dict[int, concurrent.futures.Future] = {}
        self.leave_by = 0
        self.drained_at = 0
        self.asking_health = False
        self.asking_load = False
        self.loop = loop.Loop()
        self.peers = self.loop.listen(config.address, self.on_peer)
        identity = answers.Identity(
            config.name, answers.SIDECAR, config.zone, self.incarnation, now
        )
        self.report = reporting.make_reporter(
            identity, self.core, self.loop, self.counts, config.event_limit, self.surroundings
        )
        self.run_time = self.report.metrics.latency(
            "run_seconds", "Time from handing a request to the upstream to its answer."
        )
        self.control_plane = control.Control(
            self.loop,
            config,
            "upstream",
            self.incarnation,
            self.on_view,
            self.on_behind,
            self.report.event,
        )
        self.server = server.serve(
            config.address,
            {
                TRANSFER_PATH: self.on_transfer,
                **self.control_plane.handlers(),
                **self.report.handlers(config.keys),
            },
            self.report.metrics.text,
            healthy=self.healthy,
            connection_limit=config.tcp_connection_limit,
        )
        self.control_plane.start(self.seal, self.peers)
        self.loop.every(events.TICK_MS, self.tick)
        self.loop.every(config.health_poll_ms, self.ask_health)
        self.loop.every(config.load_poll_ms, self.ask_load)
        guard.on_signals(self.loop, self.leave)

    def run(self) -> None:
        """Run until the process has left."""
        self.report.event("process_started", address=":".join(map(str, self.config.address)))
        guard.run(self.loop)
        self.control_plane.stop()
        self.server.stop()
        for pool in (self.runs, self.polls, self.bulk, self.control):
            pool.shutdown(wait=False, cancel_futures=True)
        self.upstream.close()
        logs.event("process_stopped", **self.counts)

    # What happens

    def post(self, event: typing.Any) -> None:
        """Let the owner thread give the core an event; for executors' threads."""
        self.loop.post(functools.partial(self.take, event))

    def take(self, event: typing.Any) -> None:
        """Give the core an event and carry out what it decides."""
        for effect in sidecar.decide(self.core, event, clock.now()):
            carry_out(effect, self)

    def on_peer(self, data: bytes, source: view.Address) -> None:
        """Take a datagram from a balancer or another sidecar."""
        message = inbound.packet_of(data, source, self.seal, self.control_plane, self.counts)
        if type(message) is messages.Forward:
            self.take(events.Arrived(message))
        elif type(message) is messages.LoadReport:
            self.take(events.LoadReported(message))

    def on_view(self, newer: view.View) -> None:
        """Act by a newer view, or learn that the present one is still in force."""
        self.take(events.ViewChanged(newer))

    def on_behind(self) -> None:
        """Log that the view may be old; the core noticed the pause itself and holds new work."""
        self.report.event("behind")

    def on_transfer(self, question: bytes) -> bytes:
        """Answer a sidecar that hands a flow over; runs in a thread of the server."""
        body = self.bulk_seal.open(question, replayable=True).body
        message = transfer.TRANSFERS.from_items(body)
        if not isinstance(message, transfer.Transfer):
            raise errors.DatagramError("not a transfer", step="take transfer", peer="sidecar")
        reply: concurrent.futures.Future = concurrent.futures.Future()
        handle = next(self.handles)
        self.replies[handle] = reply
        self.post(events.TransferArrived(handle, message))
        try:
            return self.sealed_transfer(reply.result(TRANSFER_WAIT_MS / 1000))
        except TimeoutError as error:
            raise errors.PeerError("the core is busy", step="take transfer", peer="core") from error
        finally:
            self.replies.pop(handle, None)

    def sealed_transfer(self, message: transfer.Transfer | transfer.TransferReply) -> bytes:
        """Return a transfer or its reply as it travels."""
        return self.bulk_seal.seal(transfer.TRANSFERS.to_items(message))

    def surroundings(self) -> answers.Surroundings:
        """Return what operators see of the shell."""
        suspected = {*siblings.suspected(self.core, clock.now()), *self.control_plane.suspected()}
        return answers.Surroundings(
            suspected=tuple(sorted(suspected)), refusals=self.control_plane.refusals()
        )

    def healthy(self) -> bool:
        """Whether the process has a configuration and takes new work, for `/healthz`."""
        return self.core.view.revision > 0 and not self.core.leaving_reason

    def tick(self) -> None:
        """Let the core look at the time, and end a process that has left."""
        self.take(events.Tick())
        if not self.leave_by:
            return
        now = clock.now()
        if not sidecar.is_drained(self.core):
            self.drained_at = 0
        elif not self.drained_at:
            self.drained_at = now
        if now >= self.leave_by or (self.drained_at and now - self.drained_at >= LINGER_MS):
            self.loop.stop()

    def leave(self, reason: str) -> None:
        """Finish what runs, hand over what stays, then end."""
        self.report.event("stop_asked", reason=reason)
        self.leave_by = clock.now() + self.config.drain_ms
        self.control_plane.leave()
        self.take(events.Leave(reason))

    def ask_health(self) -> None:
        """Read whether the upstream is well, cold, or drains by itself."""
        if not self.asking_health:
            self.asking_health = True
            self.control.submit(self.upstream.health).add_done_callback(self.on_health)

    def on_health(self, future: concurrent.futures.Future) -> None:
        """Tell the core the upstream's health; leave when it says that it drains."""
        self.asking_health = False
        if future.cancelled() or future.exception() is not None:
            self.counts["health_failed"] += 1
            self.post(events.UpstreamHealth(False))
            return
        health = future.result()
        self.post(events.UpstreamHealth(health.ok, health.cold))
        if health.draining and not self.core.leaving_reason:
            self.post(events.Leave("the upstream drains"))

    def ask_load(self) -> None:
        """Read what load the upstream claims to have; its silence changes nothing."""
        if not self.asking_load:
            self.asking_load = True
            self.control.submit(self.upstream.load).add_done_callback(self.on_load)

    def on_load(self, future: concurrent.futures.Future) -> None:
        """Give the core the upstream's claim."""
        self.asking_load = False
        if future.cancelled() or future.exception() is not None:
            self.counts["load_failed"] += 1
        else:
            claim = future.result()
            self.post(events.UpstreamLoad(claim.running + claim.queued))

    # What is to be done

    def hand_over_request(self, job: client.Job) -> client.Reply:
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
        """Tell the core how a request that was handed over at `started` ended."""
        if future.cancelled():
            return
        now = clock.now()
        self.loop.post(functools.partial(self.run_time.record, now, now - started))
        error = future.exception()
        if error is None:
            reply = future.result()
            self.post(events.Finished(key, reply.status, reply.body))
        elif isinstance(error, errors.UpstreamError):
            retry_at = error.retry_at or 0
            self.post(events.Failed(key, error.reason, error.may_have_run, retry_at))
        else:
            logs.failure("run_failed", error)
            self.post(events.Failed(key, EXECUTOR_FAILED, True))

    def on_poll_done(self, effect: effects.PollFeed, future: concurrent.futures.Future) -> None:
        """Give the core the events of a feed."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            batch = tuple((e.position, e.body) for e in future.result())
            self.post(events.FeedBatch(effect.path, effect.after, batch))
        else:
            self.post(events.FeedFailed(effect.path, str(error)))

    def poll_feed(self, effect: effects.PollFeed) -> list[client.Event]:
        """Ask the upstream for the next events of a feed."""
        wait_until = clock.now() + FEED_WAIT_MS
        return self.upstream.events(
            effect.path, effect.after, FEED_EVENTS, wait_until, service=effect.service
        )

    def send_transfer(self, effect: effects.SendTransfer) -> transfer.TransferReply:
        """Send a flow to another sidecar and return its reply."""
        question = self.sealed_transfer(effect.transfer)
        wait_until = clock.now() + TRANSFER_WAIT_MS
        answer = bulk.exchange(effect.address, TRANSFER_PATH, question, wait_until)
        body = self.bulk_seal.open(answer, replayable=True).body
        reply = transfer.TRANSFERS.from_items(body)
        if not isinstance(reply, transfer.TransferReply):
            raise errors.DatagramError("not a reply", step="hand over", peer="sidecar")
        return reply

    def on_transfer_done(self, sent: transfer.Transfer, future: concurrent.futures.Future) -> None:
        """Tell the core what became of a transfer."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.post(events.TransferAnswered(sent.flow, future.result()))
            return
        if not isinstance(error, errors.EbonystileError):
            logs.failure("transfer_failed", error)
        self.post(events.TransferFailed(sent.flow, sent.id, str(error)))


@functools.singledispatch
def carry_out(effect: typing.Any, daemon: Daemon) -> None:
    """Do what the core asks for."""
    raise TypeError(f"no way to carry out {type(effect).__name__}")


@carry_out.register
def _(effect: effects.ToCaller, daemon):
    content = messages.pack_return(messages.Return(effect.caller, effect.payload))
    loop.send(daemon.peers, daemon.seal.seal_content(content), effect.balancer)


@carry_out.register
def _(effect: effects.ToSidecar, daemon):
    content = messages.pack_forward(effect.forward)
    loop.send(daemon.peers, daemon.seal.seal_content(content), effect.address)


@carry_out.register
def _(effect: effects.SendLoad, daemon):
    content = messages.pack_load(effect.report)
    for address in effect.addresses:
        loop.send(daemon.peers, daemon.seal.seal_content(content), address)
    daemon.counts["load_reports"] += len(effect.addresses)


@carry_out.register
def _(effect: effects.RunRequest, daemon):
    job = client.Job(
        effect.key[1], effect.service, effect.path, effect.body, effect.deadline, effect.idempotent
    )
    future = daemon.runs.submit(daemon.hand_over_request, job)
    future.add_done_callback(functools.partial(daemon.on_run_done, effect.key, clock.now()))


@carry_out.register
def _(effect: effects.CancelRequest, daemon):
    daemon.control.submit(daemon.upstream.cancel, effect.key[1])


@carry_out.register
def _(effect: effects.PollFeed, daemon):
    future = daemon.polls.submit(daemon.poll_feed, effect)
    future.add_done_callback(functools.partial(daemon.on_poll_done, effect))


@carry_out.register
def _(effect: effects.SendTransfer, daemon):
    future = daemon.bulk.submit(daemon.send_transfer, effect)
    future.add_done_callback(functools.partial(daemon.on_transfer_done, effect.transfer))


@carry_out.register
def _(effect: effects.AnswerTransfer, daemon):
    future = daemon.replies.get(effect.handle)
    if future is not None and not future.done():
        future.set_result(effect.reply)


@carry_out.register
def _(effect: effects.Trace, daemon):
    daemon.report.event(
        effect.event,
        level=reporting.DETAIL,
        flow=effect.flow,
        request=effect.request,
        **dict(effect.fields),
    )


def make_limits(config: settings.SidecarSettings) -> sidecar_state.Limits:
    """Return the core's bounds as the settings give them."""
    return sidecar_state.Limits(
        slots=config.slots,
        queue=config.queue_limit,
        flows=config.flow_limit,
        ledger=config.ledger_limit,
        upload_bytes=config.ledger_bytes_limit,
        answers_bytes=config.ledger_bytes_limit,
        flow_lease=config.flow_lease_ms,
        ledger_margin=config.ledger_margin_ms,
        max_deadline=config.max_deadline_ms,
    )


def run(config: settings.SidecarSettings) -> None:
    """Run a sidecar until it is told to leave and has left."""
    daemon = Daemon(config)
    logs.setup("ebonystile-sidecar", config.name, daemon.incarnation, config.log_level)
    daemon.run()
