"""Call services from a program: open flows, send requests, follow feeds.

A `Caller` owns one UDP socket and one thread; every datagram goes to any of the balancers, as the
fabric would hand it. Final words come as results or as typed errors: `NotRunError` promises that
the request was not run, `OutcomeUnknownError` says that nobody can tell.
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
LAST_WORDS_MS = 1_000
"""Longest time, in ms, that a caller which ends says again that its flows are closed."""

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
        """Send a request; the future gives the `Result`, whatever the outcome."""
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
        return answer_of(result, self.core.service)

    def subscribe(self, path: str, position: int = 0) -> "Feed":
        """Follow a feed after `position`."""
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
        """Ask for a request to be stopped; its future still gives the final word."""
        self.post(lambda: self.core.cancel(future.request, clock.now()))

    def settle(self, future: concurrent.futures.Future) -> None:
        """Ask what became of a request; if it never came whole, it never will run."""
        self.post(lambda: self.core.settle(future.request, clock.now()))

    def close(self) -> None:
        """End the flow; requests under way end as unknown."""
        self.post(self.core.close)
        self.caller.loop.post(self.end_futures)

    def end_futures(self) -> None:
        """End what was under way on a closed flow."""
        for request, future in self.futures.items():
            reason = "the flow was closed"
            future.set_result(progress.Result(request, progress.Outcome.UNKNOWN, reason=reason))
        self.futures.clear()

    def post(self, action: abc.Callable[[], typing.Any]) -> None:
        """Do something in the caller's thread and send what comes of it."""

        def do() -> None:
            action()
            self.caller.flush(self)

        self.caller.loop.post(do)


class Feed:
    """The events of one subscription, in order, each once."""

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
        """Stop following the feed."""
        self.flow.post(lambda: self.flow.core.unsubscribe(self.subscription))


class Caller:
    """A program's way to the system: one socket and one thread for all its flows."""

    def __init__(
        self,
        balancers: abc.Callable[[], abc.Sequence[view.Address]],
        local: str,
        allowance: budget.Allowance,
    ):
        self.balancers = balancers
        self.randomness = random.Random(secrets.randbits(64))
        self.flows: dict[bytes, Flow] = {}
        self.budget = budget.Budget(allowance, clock.now())
        self.budget_lock = threading.Lock()
        self.end_by = 0
        self.loop = loop.Loop()
        self.udp = self.loop.listen((local, 0), self.on_datagram)
        self.loop.call_every(TICK_MS, self.tick)
        self.thread = threading.Thread(target=self.loop.run, name="caller", daemon=True)
        self.thread.start()

    def open(self, service: str, deadline: int) -> Flow:
        """Return a new flow at once; it opens in the background, until `deadline` (ms)."""
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
        """Send a request on a flow of its own and return its answer; raise `CallError` if none.

        Being on a flow of its own, it is placed by the load of that moment. Where it surely was
        not run it is sent again, on another flow, when the refusal says and while the retry budget
        lasts; an idempotent one is sent again too where its outcome is unknown.
        """
        backoff = budget.Backoff()
        while True:
            flow = self.open(service, deadline)
            try:
                result = flow.request(path, body, deadline, idempotent=idempotent)
            except errors.NotRunError as error:
                again = backoff.next_at(clock.now(), self.randomness, error.retry_at)
                if not self.may_repeat(again, deadline):
                    raise
            except errors.OutcomeUnknownError:
                again = backoff.next_at(clock.now(), self.randomness)
                if not (idempotent and self.may_repeat(again, deadline)):
                    raise
            else:
                with self.budget_lock:
                    self.budget.succeeded()
                return result
            finally:
                flow.close()
            time.sleep(clock.seconds_until(again))

    def may_repeat(self, again: int, deadline: int) -> bool:
        """Take a repeat at `again` from the budget, unless it would be too late."""
        with self.budget_lock:
            return again < deadline and self.budget.spend(clock.now())

    def close(self) -> None:
        """End the thread and the socket; wait a moment until closed flows' homes have heard it."""
        self.loop.post(self.begin_to_end)
        self.thread.join()

    def begin_to_end(self) -> None:
        """Set the time by which the thread ends."""
        self.end_by = clock.now() + LAST_WORDS_MS

    def on_datagram(self, data: bytes, source: view.Address) -> None:
        """Give a datagram to its flow; whatever is none of ours is dropped."""
        try:
            message = messages.TO_CALLER.decode(data)
        except errors.DatagramError:
            return
        flow = self.flows.get(message.flow)
        if flow is not None:
            flow.core.receive(message, clock.now())
            self.flush(flow)

    def tick(self) -> None:
        """Let every flow look at the time."""
        now = clock.now()
        for flow in list(self.flows.values()):
            flow.core.tick(now)
            self.flush(flow)
            if flow.core.is_done:
                del self.flows[flow.core.flow]
        if self.end_by and (now >= self.end_by or not self.closing()):
            self.loop.stop()

    def closing(self) -> bool:
        """Whether a home may still have to hear that its flow has ended."""
        return any(flow.core.closed for flow in self.flows.values())

    def flush(self, flow: Flow) -> None:
        """Send what a flow has to send and hand out what has come to an end."""
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
            # The flow was opened anew under another id, after its home was lost.
            self.flows = {f.core.flow: f for f in self.flows.values()}


def answer_of(result: progress.Result, service: str) -> progress.Result:
    """Return an answered result; raise the error that any other one stands for."""
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
    """Return a caller that sends to `balancers`: their addresses, or what returns them."""
    source = balancers if callable(balancers) else lambda: balancers
    return Caller(source, local, allowance)
