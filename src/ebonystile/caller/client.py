"""Call services from a program: open flows, send requests, follow feeds.

A `Caller` owns one UDP socket and one thread. Each datagram is sent to a balancer picked at random,
as a network with equal-cost routes would. The outcome of a request is a result or a typed error:
`NotRunError` guarantees that the request was not run; after `OutcomeUnknownError` it may have run.
"""

import concurrent.futures
import queue
import random
import secrets
import threading
import time
import typing
from collections import abc

from ebonystile import clock, errors, loop
from ebonystile.caller import budget, messages
from ebonystile.core import view
from ebonystile.core.calls import call, progress

TICK_MS = 20
CLOSE_TIMEOUT_MS = 1_000
"""Longest time for which a closing caller resends `Close` to homes that have not confirmed it."""

DEFAULT_ALLOWANCE = budget.Allowance()


class Flow:
    """One open flow to a service; its methods may be called from any thread."""

    def __init__(self, caller: "Caller", core: call.Call):
        self.caller = caller
        self.core = core
        self.futures: dict[bytes, concurrent.futures.Future] = {}
        self.feeds: dict[bytes, queue.SimpleQueue] = {}

    def submit(
        self, path: str, body: bytes, deadline: int, *, idempotent: bool
    ) -> concurrent.futures.Future:
        """Send a request; return a future for its `Result`, whatever the outcome."""
        future: concurrent.futures.Future = concurrent.futures.Future()

        def begin() -> None:
            request = self.core.request(path, body, deadline, idempotent, clock.now())
            future.request = request
            self.futures[request] = future
            self.caller.flush(self)

        self.caller.loop.post(begin)
        return future

    def request(
        self, path: str, body: bytes, deadline: int, *, idempotent: bool
    ) -> progress.Result:
        """Send a request and return its answer; raise `CallError` if there is none."""
        result = self.submit(path, body, deadline, idempotent=idempotent).result()
        return require_answer(result, self.core.service)

    def subscribe(self, path: str, position: int = 0) -> "Feed":
        """Subscribe to the events of a feed that follow `position`."""
        incoming: queue.SimpleQueue = queue.SimpleQueue()
        started: concurrent.futures.Future = concurrent.futures.Future()

        def begin() -> None:
            subscription = self.core.subscribe(path, position, clock.now())
            self.feeds[subscription] = incoming
            self.caller.flush(self)
            started.set_result(subscription)

        self.caller.loop.post(begin)
        return Feed(self, started.result(), incoming)

    def cancel(self, future: concurrent.futures.Future) -> None:
        """Cancel a request; its future still gets the outcome."""
        self.post(lambda: self.core.cancel(future.request, clock.now()))

    def settle(self, future: concurrent.futures.Future) -> None:
        """Ask for the outcome of a request; one that has not fully arrived will not be run."""
        self.post(lambda: self.core.settle(future.request, clock.now()))

    def close(self) -> None:
        """Close the flow; the outcome of pending requests is unknown."""
        self.post(self.core.close)
        self.caller.loop.post(self.resolve_futures)

    def resolve_futures(self) -> None:
        """Resolve the pending requests of a closed flow as unknown."""
        for request, future in self.futures.items():
            reason = "the flow was closed"
            future.set_result(progress.Result(request, progress.Outcome.UNKNOWN, reason=reason))
        self.futures.clear()

    def post(self, action: abc.Callable[[], typing.Any]) -> None:
        """Run `action` in the caller's thread and send the datagrams that it produces."""

        def do() -> None:
            action()
            self.caller.flush(self)

        self.caller.loop.post(do)


class Feed:
    """The events of one subscription, in order and without duplicates."""

    def __init__(self, flow: Flow, subscription: bytes, incoming: queue.SimpleQueue):
        self.flow = flow
        self.subscription = subscription
        self.incoming = incoming

    def next(self, wait_until: int) -> progress.Event | None:
        """Return the next event, or None if none came until `wait_until` (ms)."""
        try:
            return self.incoming.get(timeout=clock.seconds_until(wait_until))
        except queue.Empty:
            return None

    def close(self) -> None:
        """Unsubscribe from the feed."""
        self.flow.post(lambda: self.flow.core.unsubscribe(self.subscription))


class Caller:
    """A client of the system: one socket and one thread for all its flows."""

    def __init__(
        self,
        balancers: abc.Callable[[], abc.Sequence[view.Address]],
        local: str,
        allowance: budget.Allowance,
    ):
        self.balancers = balancers
        self.randomness = random.Random(secrets.randbits(64))
        self.flows: dict[bytes, Flow] = {}
        self.budget = budget.RetryBudget(allowance, clock.now())
        self.budget_lock = threading.Lock()
        self.close_by = 0
        self.loop = loop.Loop()
        self.udp = self.loop.listen((local, 0), self.on_datagram)
        self.loop.call_every(TICK_MS, self.tick)
        self.thread = threading.Thread(target=self.loop.run, name="caller", daemon=True)
        self.thread.start()

    def open(self, service: str, deadline: int) -> Flow:
        """Return a new flow at once; it is opened in the background, by `deadline` (ms)."""
        core = call.Call(service, self.randomness, clock.now(), deadline)
        flow = Flow(self, core)

        def begin() -> None:
            self.flows[core.flow] = flow
            self.flush(flow)

        self.loop.post(begin)
        return flow

    def ask(
        self, service: str, path: str, body: bytes, deadline: int, *, idempotent: bool
    ) -> progress.Result:
        """Send a request on a new flow and return its answer; raise `CallError` if there is none.

        A new flow is placed by the current load. A request that was certainly not run is retried
        on another flow, not before the time in the refusal and while the retry budget lasts. An
        idempotent request is also retried if its outcome is unknown.
        """
        backoff = budget.Backoff()
        while True:
            flow = self.open(service, deadline)
            try:
                result = flow.request(path, body, deadline, idempotent=idempotent)
            except errors.NotRunError as error:
                retry_at = backoff.next_at(clock.now(), self.randomness, error.retry_at)
                if not self.take_retry(retry_at, deadline):
                    raise
            except errors.OutcomeUnknownError:
                retry_at = backoff.next_at(clock.now(), self.randomness)
                if not (idempotent and self.take_retry(retry_at, deadline)):
                    raise
            else:
                with self.budget_lock:
                    self.budget.record_success()
                return result
            finally:
                flow.close()
            time.sleep(clock.seconds_until(retry_at))

    def take_retry(self, retry_at: int, deadline: int) -> bool:
        """Take a retry from the budget; return False if it is empty or the deadline too early."""
        with self.budget_lock:
            return retry_at < deadline and self.budget.spend(clock.now())

    def close(self) -> None:
        """End the thread and the socket, after at most `CLOSE_TIMEOUT_MS` for closing flows."""
        self.loop.post(self.begin_close)
        self.thread.join()

    def begin_close(self) -> None:
        """Set the time at which the thread ends at the latest."""
        self.close_by = clock.now() + CLOSE_TIMEOUT_MS

    def on_datagram(self, data: bytes, source: view.Address) -> None:
        """Pass a datagram to its flow; drop malformed ones and those of unknown flows."""
        try:
            message = messages.TO_CALLER.decode(data)
        except errors.DatagramError:
            return
        flow = self.flows.get(message.flow)
        if flow is not None:
            flow.core.receive(message, clock.now())
            self.flush(flow)

    def tick(self) -> None:
        """Run the timers of every flow and remove those that are done."""
        now = clock.now()
        for flow in list(self.flows.values()):
            flow.core.tick(now)
            self.flush(flow)
            if flow.core.is_done:
                del self.flows[flow.core.flow]
        if self.close_by and (now >= self.close_by or not self.is_closing()):
            self.loop.stop()

    def is_closing(self) -> bool:
        """Return whether the home of a closed flow has not confirmed the close yet."""
        return any(flow.core.closed for flow in self.flows.values())

    def flush(self, flow: Flow) -> None:
        """Send a flow's queued datagrams and deliver its outcomes and feed events."""
        core = flow.core
        for payload in core.outbox:
            loop.send(self.udp, payload, self.randomness.choice(self.balancers()))
        core.outbox.clear()
        for result in core.outcomes:
            future = flow.futures.pop(result.request, None)
            if future is not None:
                future.set_result(result)
        core.outcomes.clear()
        for event in core.events:
            incoming = flow.feeds.get(event.subscription)
            if incoming is not None:
                incoming.put(event)
        core.events.clear()
        if core.flow not in self.flows:
            # The flow was reopened under another id after its home was lost.
            self.flows = {f.core.flow: f for f in self.flows.values()}


def require_answer(result: progress.Result, service: str) -> progress.Result:
    """Return the result if it was answered; otherwise raise the error for its outcome."""
    if result.outcome is progress.Outcome.ANSWERED:
        return result
    if result.outcome is progress.Outcome.NOT_RUN:
        raise errors.NotRunError(
            result.reason, step="request", peer=service, retry_at=result.retry_at
        )
    raise errors.OutcomeUnknownError(result.reason, step="request", peer=service)


def make_caller(
    balancers: abc.Sequence[view.Address] | abc.Callable[[], abc.Sequence[view.Address]],
    local: str = "127.0.0.1",
    allowance: budget.Allowance = DEFAULT_ALLOWANCE,
) -> Caller:
    """Return a caller; `balancers` are their addresses, or a function that returns them."""
    source = balancers if callable(balancers) else lambda: balancers
    return Caller(source, local, allowance)
