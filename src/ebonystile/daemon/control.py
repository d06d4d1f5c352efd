"""Run the control core of a process: its calls to the platform, its messages and its pulls.

The core (`core.control.gossip`) runs in the owner thread. Calls to the platform and pulls over a
websocket block, so they run in executors whose callbacks post events. Large updates are packed and
unpacked outside the owner thread as well, to keep the packet path free.
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
from ebonystile.core import positions, view
from ebonystile.core.calls import effects
from ebonystile.core.control import (
    assembly,
    configuration,
    gossip,
    gossip_state,
    pulling,
    store,
    watching,
)
from ebonystile.peer import bulk, control, seal
from ebonystile.platform import client

PATH = "/control"
"""Path of the websocket for pulls."""

CBOR_ARRAY = 4
"""Major type of a CBOR array (RFC 8949); no message of the packet path starts with it."""

TICK_MS = 100
WHOLE_READ_MS = 1_000
"""How long after its wait a whole read may begin further pages, in ms; the core gives it 3 s."""

PULL_TIMEOUT_S = 2
"""Longest time for which a peer's pull waits for the owner thread, in seconds."""

EVENT_LEVELS = {
    "document_refused": "ERROR",
    "superseded": "ERROR",
    "catch_up_waiting": "WARNING",
    "platform_older": "WARNING",
    "platform_restored": "WARNING",
}
"""Log levels of events that need an operator's attention; all others are INFO."""

PLATFORM_THREADS = 3
PULL_THREADS = 2

EventCallback = abc.Callable[..., None]


class Control:
    """The I/O around one control core; call its methods from the owner thread.

    `on_pull`, `post_event` and the methods that run in executors are the exceptions.
    """

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
        self.pull_calls = concurrent.futures.ThreadPoolExecutor(PULL_THREADS, "fetch")
        self.seal: seal.Seal
        self.socket: socket.socket

    def start(self, own_seal: seal.Seal, peers: socket.socket) -> None:
        """Begin to catch up; messages to other processes are sent from the socket `peers`."""
        self.seal = own_seal
        self.socket = peers
        self.owner.call_every(TICK_MS, functools.partial(self.handle_event, gossip.Tick()))
        self.handle_event(gossip.Tick())

    def stop(self) -> None:
        """Shut down the executors without waiting for calls in progress."""
        self.platform_calls.shutdown(wait=False, cancel_futures=True)
        self.pull_calls.shutdown(wait=False, cancel_futures=True)
        self.platform.close()

    def handlers(self) -> dict[str, abc.Callable[[bytes], bytes]]:
        """Return the TCP server's handler for pulls, by path."""
        return {PATH: self.on_pull}

    def post_event(self, event: typing.Any) -> None:
        """Have the owner thread pass an event to the core; thread-safe."""
        self.owner.post(functools.partial(self.handle_event, event))

    def handle_event(self, event: typing.Any) -> None:
        """Pass an event to the core and execute the effects that it returns."""
        for effect in gossip.decide(self.core, event, clock.now()):
            execute(effect, self)

    def leave(self) -> None:
        """Announce to the other processes that this one is leaving."""
        self.handle_event(gossip.Leave())

    def handle_datagram(self, opened: seal.OpenedDatagram, source: view.Address) -> bool:
        """Handle an opened datagram if it is a control message; return whether it was one.

        Every datagram carries its sender's revision; one that is higher than ours leads to a pull.
        """
        if opened.revision > self.core.configuration.digest.values:
            self.handle_event(gossip.RevisionSeen(source, opened.revision))
        if not opened.content or opened.content[0] >> 5 != CBOR_ARRAY:
            return False
        self.handle_event(gossip.Arrived(source, control.CONTROL.decode(opened.content)))
        return True

    def suspected(self) -> tuple[str, ...]:
        """Return the names of the processes that are suspected or considered dead."""
        return self.core.membership.suspected()

    def refusals(self) -> tuple[str, ...]:
        """Return the faults of all documents that are now refused, and the conflicts of names."""
        refused = tuple(
            f"{refusal.key} at revision {positions.text_of(refusal.revision)}: {fault}"
            for refusal in self.core.configuration.current_refusals
            for fault in refusal.faults
        )
        return refused + tuple(self.core.configuration.conflicts())

    def on_pull(self, sealed_pull: bytes) -> bytes:
        """Answer a peer's pull; runs in a thread of the server."""
        body = self.bulk_seal.open(sealed_pull, replayable=True).body
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
        """Prepare the answer to a pull from the core's state; runs in the owner thread."""
        try:
            future.set_result(pulling.prepare_answer(self.core, pull, clock.now()))
        except Exception as error:
            # The asking thread handles the error; the owner thread must go on.
            future.set_exception(error)

    def call_platform(self, effect: gossip_state.WatchPlatform) -> gossip.PlatformRead:
        """Make one call to the platform, or all for a whole stream; runs in an executor."""
        is_values = effect.stream == watching.VALUES
        read = self.platform.watch if is_values else self.platform.instances
        if effect.whole:
            answer = client.read_all_pages(read, effect.wait_until + WHOLE_READ_MS)
        else:
            answer = read(effect.after, effect.wait_until)
        make_delta = values_delta_of if is_values else instances_delta_of
        delta = make_delta(effect.after, answer)
        if effect.whole:
            delta = configuration.as_snapshot(delta)
        return gossip.PlatformRead(effect.stream, delta, answer.more)

    def on_platform_done(self, stream: str, future: concurrent.futures.Future) -> None:
        """Pass the result of a call to the platform to the core."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.post_event(future.result())
            return
        if not isinstance(error, errors.EbonystileError):
            logs.exception("platform_call_failed", error)
        else:
            self.report_event("platform_failed", level="WARNING", stream=stream, error=str(error))
        self.post_event(gossip.PlatformFailed(stream))

    def send_pull(self, effect: gossip_state.Fetch) -> gossip.Fetched:
        """Send a pull over a websocket and unpack its answer; runs in an executor."""
        sealed_pull = self.bulk_seal.seal(control.CONTROL.to_items(effect.pull))
        sealed_answer = bulk.exchange(effect.address, PATH, sealed_pull, effect.wait_until)
        body = self.bulk_seal.open(sealed_answer, replayable=True).body
        reply = control.CONTROL.from_items(body)
        if isinstance(reply, control.UpdateReply):
            return gossip.Fetched(reply, control.unpack_update(reply.update))
        if isinstance(reply, control.Busy):
            return gossip.Fetched(reply)
        raise errors.DatagramError("not an answer to a pull", step="pull", peer="peer")

    def on_pull_done(self, nonce: int, future: concurrent.futures.Future) -> None:
        """Pass the result of a pull to the core."""
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.post_event(future.result())
            return
        if not isinstance(error, errors.EbonystileError):
            logs.exception("pull_failed", error)
        else:
            self.report_event("pull_failed", level="DEBUG", error=str(error))
        self.post_event(gossip.FetchFailed(nonce))


def values_delta_of(after: int, answer: client.Values) -> store.Delta:
    """Return the delta of an answer to a watch of values."""
    values = ((entry.key, entry.revision, entry.value) for entry in answer.entries)
    return configuration.values_delta(after, answer.revision, values)


def instances_delta_of(after: int, answer: client.Instances) -> store.Delta:
    """Return the delta of an answer to a watch of the list of instances."""
    instances = (instance_of(entry) for entry in answer.entries)
    return configuration.instances_delta(after, answer.revision, instances)


def instance_of(entry: client.Instance) -> tuple[assembly.Instance, bool]:
    """Return the instance of an entry of the platform's list, and whether it is gone."""
    leaving = entry.state == "leaving"
    name, zone = sys.intern(entry.name), sys.intern(entry.zone)
    instance = assembly.Instance(name, entry.role, entry.address, zone, leaving)
    return instance, entry.state == "gone"


def make_limits(config: settings.ProcessSettings) -> gossip_state.Limits:
    """Return the core's limits from the settings."""
    return gossip_state.Limits(
        exchange_ms=config.exchange_ms,
        watch_ms=config.watch_ms,
        instances_gap_ms=config.instances_poll_ms,
    )


@functools.singledispatch
def execute(effect: typing.Any, shell: Control) -> None:
    """Execute one effect of the core."""
    raise TypeError(f"no handler for the effect {type(effect).__name__}")


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
    future = shell.pull_calls.submit(shell.send_pull, effect)
    future.add_done_callback(functools.partial(shell.on_pull_done, effect.pull.nonce))


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
