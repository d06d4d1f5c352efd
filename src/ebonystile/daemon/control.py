"""Run the control core of a process: its calls of the platform, its messages and its pulls.

The core (`core.control.gossip`) decides in the owner thread. Calls of the platform and pulls over a
websocket block, so they run in executors whose callbacks post events; packing and unpacking of
large updates happens there as well, to keep the packet path free.
"""

import concurrent.futures
import functools
import random
import secrets
import socket
import sys
import typing
from collections import abc

from ebonystile import clock, errors, logs, loop, settings
from ebonystile.core import view
from ebonystile.core.calls import effects
from ebonystile.core.control import assembly, configuration, gossip, gossip_state, pulling, watching
from ebonystile.peer import bulk, control, seal
from ebonystile.platform import client

PATH = "/control"
"""Path of the websocket over which pulls with large answers go."""

CBOR_ARRAY = 4
"""Major type of a CBOR array (RFC 8949): the first byte of the packet path is never one."""

TICK_MS = 100
PULL_TIMEOUT_S = 2
"""Longest time that a peer's pull waits for the owner thread, in seconds."""

EVENT_LEVELS = {
    "document_refused": "ERROR",
    "superseded": "ERROR",
    "catch_up_waiting": "WARNING",
    "platform_older": "WARNING",
}
"""Levels of the events that operators should look at; the others are INFO."""

PLATFORM_THREADS = 3
FETCH_THREADS = 2

EventCallback = abc.Callable[..., None]


class Control:
    """The shell of one control core; everything but `on_pull` belongs to the owner thread."""

    def __init__(
        self,
        owner: loop.Loop,
        config: settings.ProcessSettings,
        role: str,
        incarnation: int,
        on_view: abc.Callable[[view.View], None],
        on_view_stale: abc.Callable[[], None],
        report_event: EventCallback = logs.event,
    ):
        self.owner = owner
        self.on_view = on_view
        self.on_view_stale = on_view_stale
        self.report_event = report_event
        self.bulk_seal = seal.make_seal(config.keys, incarnation)
        self.core = gossip.make_state(
            config.name,
            role,
            config.address,
            config.zone,
            tuple(config.seeds),
            make_limits(config),
            random.Random(secrets.randbits(64)),
            clock.now(),
        )
        self.platform = client.make_platform(config.platform, clock.now)
        self.platform_calls = concurrent.futures.ThreadPoolExecutor(PLATFORM_THREADS, "platform")
        self.pull_calls = concurrent.futures.ThreadPoolExecutor(FETCH_THREADS, "fetch")
        self.seal: seal.Seal
        self.socket: socket.socket

    def start(self, own_seal: seal.Seal, peers: socket.socket) -> None:
        """Begin to catch up; messages go out by the socket towards the other processes."""
        self.seal = own_seal
        self.socket = peers
        self.owner.call_every(TICK_MS, functools.partial(self.handle_event, gossip.Tick()))
        self.handle_event(gossip.Tick())

    def stop(self) -> None:
        """End the executors; what waits for an answer is not waited for."""
        self.platform_calls.shutdown(wait=False, cancel_futures=True)
        self.pull_calls.shutdown(wait=False, cancel_futures=True)
        self.platform.close()

    def handlers(self) -> dict[str, abc.Callable[[bytes], bytes]]:
        """Return what the TCP server needs to answer pulls."""
        return {PATH: self.on_pull}

    def post_event(self, event: typing.Any) -> None:
        """Let the owner thread give the core an event; for executors' threads."""
        self.owner.post(functools.partial(self.handle_event, event))

    def handle_event(self, event: typing.Any) -> None:
        """Give the core an event and carry out what it decides."""
        for effect in gossip.decide(self.core, event, clock.now()):
            execute(effect, self)

    def leave(self) -> None:
        """Tell the other processes that this one is leaving."""
        self.handle_event(gossip.Leave())

    def on_opened(self, opened: seal.Opened, source: view.Address) -> bool:
        """Take a sealed datagram if it is a control message; return whether it was.

        Every datagram shows its sender's revision: a higher one than ours leads to a pull.
        """
        if opened.revision > self.core.configuration.digest.values:
            self.handle_event(gossip.RevisionSeen(source, opened.revision))
        if not opened.content or opened.content[0] >> 5 != CBOR_ARRAY:
            return False
        self.handle_event(gossip.Arrived(source, control.CONTROL.decode(opened.content)))
        return True

    def suspected(self) -> tuple[str, ...]:
        """Return the names of the processes that are suspected or count as dead."""
        return self.core.membership.suspected()

    def refusals(self) -> tuple[str, ...]:
        """Return the faults of every document that is refused now, and names claimed twice."""
        refused = tuple(
            f"{refusal.key} at revision {refusal.revision}: {fault}"
            for refusal in self.core.configuration.current_refusals
            for fault in refusal.faults
        )
        return refused + tuple(self.core.configuration.conflicts())

    def on_pull(self, question: bytes) -> bytes:
        """Answer a peer's pull; runs in a thread of the server."""
        body = self.bulk_seal.open(question, replayable=True).body
        pull = control.CONTROL.from_items(body)
        if not isinstance(pull, control.Pull):
            raise errors.DatagramError("not a pull", step="answer pull", peer="peer")
        future: concurrent.futures.Future = concurrent.futures.Future()
        self.owner.post(functools.partial(self.prepare_answer, pull, future))
        try:
            prepared = future.result(PULL_TIMEOUT_S)
        except TimeoutError as error:
            raise errors.PeerError("the core is busy", step="answer pull", peer="core") from error
        reply = prepared if isinstance(prepared, control.Busy) else pulling.pack_answer(prepared)
        return self.bulk_seal.seal(control.CONTROL.to_items(reply))

    def prepare_answer(self, pull: control.Pull, future: concurrent.futures.Future) -> None:
        """Have the core put an answer together, in the owner thread."""
        try:
            future.set_result(pulling.prepare_answer(self.core, pull, clock.now()))
        except Exception as error:
            # The asking thread reports it; the owner thread must go on.
            future.set_exception(error)

    def call_platform(self, effect: gossip_state.WatchPlatform) -> gossip.PlatformRead:
        """Make one call of the platform; runs in an executor."""
        if effect.stream == watching.VALUES:
            answer = self.platform.watch(effect.after, effect.wait_until)
            values = ((entry.key, entry.revision, entry.value) for entry in answer.entries)
            delta = configuration.values_delta(effect.after, answer.revision, values)
            return gossip.PlatformRead(effect.stream, delta, answer.more)
        listed = self.platform.instances(effect.after, effect.wait_until)
        instances = (instance_of(entry) for entry in listed.entries)
        delta = configuration.instances_delta(effect.after, listed.revision, instances)
        return gossip.PlatformRead(effect.stream, delta, listed.more)

    def on_platform_done(self, stream: str, future: concurrent.futures.Future) -> None:
        """Tell the core what the platform answered."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.post_event(future.result())
            return
        if not isinstance(error, errors.EbonystileError):
            logs.failure("platform_call_failed", error)
        else:
            self.report_event("platform_failed", level="WARNING", stream=stream, error=str(error))
        self.post_event(gossip.PlatformFailed(stream))

    def fetch(self, effect: gossip_state.Fetch) -> gossip.Fetched:
        """Send a pull over a websocket and unpack its answer; runs in an executor."""
        question = self.bulk_seal.seal(control.CONTROL.to_items(effect.pull))
        data = bulk.exchange(effect.address, PATH, question, effect.wait_until)
        body = self.bulk_seal.open(data, replayable=True).body
        reply = control.CONTROL.from_items(body)
        if isinstance(reply, control.UpdateReply):
            return gossip.Fetched(reply, control.unpack_update(reply.update))
        if isinstance(reply, control.Busy):
            return gossip.Fetched(reply)
        raise errors.DatagramError("not an answer to a pull", step="pull", peer="peer")

    def on_fetch_done(self, nonce: int, future: concurrent.futures.Future) -> None:
        """Tell the core what a pull brought."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.post_event(future.result())
            return
        if not isinstance(error, errors.EbonystileError):
            logs.failure("pull_failed", error)
        else:
            self.report_event("pull_failed", level="DEBUG", error=str(error))
        self.post_event(gossip.FetchFailed(nonce))


def instance_of(entry: client.Instance) -> tuple[assembly.Instance, bool]:
    """Return an entry of the platform's list, and whether the instance is gone."""
    leaving = entry.state == "leaving"
    name, zone = sys.intern(entry.name), sys.intern(entry.zone)
    instance = assembly.Instance(name, entry.role, entry.address, zone, leaving)
    return instance, entry.state == "gone"


def make_limits(config: settings.ProcessSettings) -> gossip_state.Limits:
    """Return the core's bounds as the settings give them."""
    return gossip_state.Limits(
        exchange_ms=config.exchange_ms,
        watch_ms=config.watch_ms,
        instances_gap_ms=config.instances_poll_ms,
    )


@functools.singledispatch
def execute(effect: typing.Any, shell: Control) -> None:
    """Do what the core asks for."""
    raise TypeError(f"no way to carry out {type(effect).__name__}")


@execute.register
def _(effect: gossip_state.SendMessage, shell):
    body = control.CONTROL.to_items(effect.message)
    loop.send(shell.socket, shell.seal.seal(body), effect.address)


@execute.register
def _(effect: gossip_state.WatchPlatform, shell):
    future = shell.platform_calls.submit(shell.call_platform, effect)
    future.add_done_callback(functools.partial(shell.on_platform_done, effect.stream))


@execute.register
def _(effect: gossip_state.Fetch, shell):
    future = shell.pull_calls.submit(shell.fetch, effect)
    future.add_done_callback(functools.partial(shell.on_fetch_done, effect.pull.nonce))


@execute.register
def _(effect: gossip_state.ViewInForce, shell):
    newest = shell.core.configuration.view
    shell.seal.revision = newest.revision
    shell.on_view(newest)


@execute.register
def _(effect: gossip_state.ViewStale, shell):
    shell.on_view_stale()


@execute.register
def _(effect: effects.Trace, shell):
    level = EVENT_LEVELS.get(effect.event, "INFO")
    shell.report_event(effect.event, level=level, **dict(effect.fields))
