"""Implement the caller's side of one flow, its requests and feeds, as a state machine.

Its methods take commands, datagrams and ticks with the time in ms. Datagrams to send, outcomes of
requests and feed events are collected in `outbox`, `outcomes` and `events`.
"""

import dataclasses
import functools

from ebonystile.caller import messages
from ebonystile.core import rng, view
from ebonystile.core.calls import progress

MAX_RESEND_MS = 2_000
"""Longest interval between two resends, in ms; the first is `progress.FIRST_RESEND_MS`."""

SETTLE_GRACE_MS = 2_000
"""Time in ms after its deadline during which a request without an outcome is settled."""

HEARTBEATS_PER_LEASE = 3
"""The next heartbeat is sent after the remaining lease divided by this number.

At intervals as long as the lease, an idle flow would end just as its heartbeat arrives.
So several heartbeats fit into any lease, and a lost one does not end an idle flow.
"""

MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS = 1_000, 60_000
"""Shortest and longest interval between two heartbeats, in ms."""

MAX_CLOSE_ATTEMPTS = 6
"""Maximum number of times that `Close` is sent.

A home that never receives it keeps the flow until its lease ends, which can delay the exit of a
leaving upstream.
"""

HOME_TIMEOUT_MS = 6_000
"""Time in ms without any message after which a waiting caller reopens its flow elsewhere.

A dead home stays in the balancers' views for a while, and messages sent to it get no answer.
"""

MAX_EARLY_EVENTS = 64
"""Maximum number of events buffered out of order; a home leaves fewer unacknowledged."""

FEED_TIMEOUT_MS = 1_000
"""Time in ms without an event after which a feed is requested again from its position."""


MESSAGES_AFTER_CLOSE = (messages.Opened, messages.Moved, messages.Closed)
"""Messages that are processed even after the flow was closed."""


class Call:
    """The caller's state of one flow; its home is the sidecar that its token names."""

    def __init__(self, service: str, randomness: rng.Rng, now: int, deadline: int):
        self.service = service
        self.randomness = randomness
        self.flow = randomness.randbytes(messages.ID_BYTES)
        self.token = b""
        self.replaced_incarnations: tuple[int, ...] = ()
        self.attempt = 0
        self.open_deadline = deadline
        self.open_resend_at = now
        self.open_backoff = progress.FIRST_RESEND_MS
        self.refusal: messages.OpenRefused | None = None
        self.closed = False
        self.close_attempts_left = 0
        self.close_at = 0
        self.reopen_count = 0
        self.lease_until = now
        self.heartbeat_at = now + MAX_HEARTBEAT_MS
        self.unknown_flow = progress.UnknownFlowCount()
        self.waiting_since = now
        self.last_tick_at = now
        self.pending: dict[bytes, progress.PendingRequest] = {}
        self.subscriptions: dict[bytes, progress.Subscription] = {}
        self.outbox: list[bytes] = []
        self.outcomes: list[progress.Result] = []
        self.events: list[progress.Event] = []
        self.tick(now)

    # Commands

    def request(self, path: str, body: bytes, deadline: int, idempotent: bool, now: int) -> bytes:
        """Start a request and return its id."""
        total = max(1, -(-len(body) // messages.PART_BYTES))
        pending = progress.PendingRequest(
            self.randomness.randbytes(messages.ID_BYTES), path, body, deadline, idempotent, total
        )
        pending.missing = tuple(range(min(total, messages.WINDOW)))
        self.pending[pending.id] = pending
        if self.token:
            self.send_request(pending, now)
        return pending.id

    def subscribe(self, path: str, position: int, now: int) -> bytes:
        """Subscribe to a feed after `position` and return the subscription's id."""
        subscription = progress.Subscription(
            self.randomness.randbytes(messages.ID_BYTES), path, position
        )
        self.subscriptions[subscription.id] = subscription
        if self.token:
            self.send_subscribe(subscription, now)
        return subscription.id

    def unsubscribe(self, subscription: bytes) -> None:
        """End a subscription."""
        self.subscriptions.pop(subscription, None)

    def cancel(self, request: bytes, now: int) -> None:
        """Cancel a request; its outcome is still reported."""
        pending = self.pending.get(request)
        if pending is not None:
            pending.cancelled = True
            pending.resend_at = now
            self.tick(now)

    def settle(self, request: bytes, now: int) -> None:
        """Ask for the outcome of a request; one that is not complete at its home is refused."""
        pending = self.pending.get(request)
        if pending is not None:
            pending.settling = True
            pending.resend_at = now
            self.tick(now)

    def close(self) -> None:
        """Close the flow; pending requests get no outcome."""
        self.closed = True
        self.pending.clear()
        self.subscriptions.clear()
        self.close_attempts_left = MAX_CLOSE_ATTEMPTS
        self.send_close(self.last_tick_at)

    @property
    def is_done(self) -> bool:
        """Return whether the flow is closed and its close was confirmed or sent often enough."""
        return self.closed and not self.close_attempts_left

    def send_close(self, now: int) -> None:
        """Send `Close` to the home if there is one, and schedule the next attempt."""
        self.close_attempts_left -= 1
        self.close_at = now + progress.FIRST_RESEND_MS * (
            MAX_CLOSE_ATTEMPTS - self.close_attempts_left
        )
        if self.token:
            self.send(messages.Close(self.flow, self.service, self.token))

    # Time

    def tick(self, now: int) -> None:
        """Send the messages that are due and end requests past their deadline."""
        if self.closed:
            if self.close_attempts_left and self.close_at <= now:
                self.send_close(now)
            return
        if not self.token:
            self.tick_open(now)
        elif self.heartbeat_at <= now:
            self.schedule_heartbeat(now)
            self.send(messages.Heartbeat(self.flow, self.service, self.token))
        for pending in list(self.pending.values()):
            self.tick_request(pending, now)
        for subscription in self.subscriptions.values():
            is_silent = now - subscription.received_at >= FEED_TIMEOUT_MS
            if self.token and is_silent and subscription.resend_at <= now:
                self.send_subscribe(subscription, now)
                # The answer distinguishes a feed without new events from a home that is gone.
                self.send(messages.Heartbeat(self.flow, self.service, self.token))
        self.check_home_timeout(now)

    def schedule_heartbeat(self, now: int) -> None:
        """Schedule the next heartbeat."""
        wait = (self.lease_until - now) // HEARTBEATS_PER_LEASE
        self.heartbeat_at = now + min(max(wait, MIN_HEARTBEAT_MS), MAX_HEARTBEAT_MS)

    def check_home_timeout(self, now: int) -> None:
        """Reopen the flow if its home is unresponsive and no pending request might run twice.

        The timeout restarts after a pause of the caller itself, since answers may still wait in
        its socket.
        """
        waiting = bool(self.subscriptions or self.pending) and bool(self.token)
        if not waiting or now - self.last_tick_at > FEED_TIMEOUT_MS:
            self.waiting_since = now
        self.last_tick_at = now
        if now - self.waiting_since >= HOME_TIMEOUT_MS and not self.has_uncertain_requests():
            self.waiting_since = now
            self.reopen(now)

    def has_uncertain_requests(self) -> bool:
        """Return whether a request that must not run twice may have run at the current home."""
        return any(p.sent and not p.idempotent for p in self.pending.values())

    def tick_open(self, now: int) -> None:
        """Send `Open` if it is due; each attempt goes to the next upstream of the ranking."""
        if self.open_resend_at > now or now >= self.open_deadline:
            return
        # Jitter and backoff keep callers that lost their homes together from synchronized retries.
        self.open_resend_at = now + int(self.open_backoff * (0.75 + self.randomness.random() / 2))
        self.open_backoff = min(MAX_RESEND_MS, 2 * self.open_backoff)
        opening = messages.Open(self.flow, self.service, b"", self.attempt, self.open_deadline, b"")
        lacking = messages.OPEN_BYTES - len(messages.FROM_CALLER.encode(opening))
        self.send(dataclasses.replace(opening, padding=bytes(max(0, lacking))))
        self.attempt += 1

    def tick_request(self, pending: progress.PendingRequest, now: int) -> None:
        """Send the message that is due for a request, or end it after its deadline."""
        if now >= pending.deadline:
            self.settle_overdue(pending, now)
        if pending.id not in self.pending or not self.token or pending.resend_at > now:
            return
        self.schedule_resend(pending, now)
        if pending.settling:
            self.send(
                messages.Settle(self.flow, self.service, self.token, pending.id, pending.deadline)
            )
        elif pending.cancelled:
            self.send(messages.Cancel(self.flow, self.service, self.token, pending.id))
        elif pending.answer_id:
            self.send_fetch(pending)
        else:
            self.send_request(pending, now)

    def settle_overdue(self, pending: progress.PendingRequest, now: int) -> None:
        """Settle a request whose deadline has passed; end it as unknown after `SETTLE_GRACE_MS`."""
        if not pending.sent:
            self.finish(
                progress.Result(
                    pending.id, progress.Outcome.NOT_RUN, reason="it was never sent", retry_at=now
                )
            )
        elif now >= pending.deadline + SETTLE_GRACE_MS:
            self.finish(
                progress.Result(pending.id, progress.Outcome.UNKNOWN, reason="no answer in time")
            )
        elif not pending.settling and not pending.answer_id:
            pending.settling = True
            pending.resend_at = now
            pending.backoff = progress.FIRST_RESEND_MS

    def schedule_resend(self, pending: progress.PendingRequest, now: int) -> None:
        """Schedule the next resend of a request, with exponential backoff."""
        pending.resend_at = now + pending.backoff
        pending.backoff = min(MAX_RESEND_MS, pending.backoff * 2)

    # Sending

    def send(self, message: messages.FromCaller) -> None:
        """Put a datagram into the outbox."""
        self.outbox.append(messages.FROM_CALLER.encode(message))

    def send_request(self, pending: progress.PendingRequest, now: int) -> None:
        """Send the parts known to be missing; the last of them requests a report."""
        if pending.resend_at <= now:
            pending.resend_at = now + pending.backoff
        numbers = pending.missing or (pending.total_parts - 1,)
        pending.sent = True
        for number in numbers:
            start = number * messages.PART_BYTES
            self.send(
                messages.Request(
                    self.flow,
                    self.service,
                    self.token,
                    pending.id,
                    pending.deadline,
                    pending.idempotent,
                    pending.path,
                    number,
                    pending.total_parts,
                    number == numbers[-1],
                    pending.body[start : start + messages.PART_BYTES],
                )
            )

    def send_subscribe(self, subscription: progress.Subscription, now: int) -> None:
        """Send `Subscribe` for a feed after its position."""
        subscription.resend_at = now + progress.FIRST_RESEND_MS * 2
        self.send(
            messages.Subscribe(
                self.flow,
                self.service,
                self.token,
                subscription.id,
                subscription.path,
                subscription.position,
            )
        )

    def send_fetch(self, pending: progress.PendingRequest) -> None:
        """Request the first missing parts of an answer, at most `messages.WINDOW`."""
        numbers = []
        for number in range(pending.answer_total):
            if number not in pending.answer_parts:
                numbers.append(number)
                if len(numbers) == messages.WINDOW:
                    break
        self.send(
            messages.Fetch(
                self.flow, self.service, self.token, pending.id, pending.answer_id, tuple(numbers)
            )
        )

    # Receiving

    def receive(self, message: messages.ToCaller, now: int) -> None:
        """Process a message for this flow."""
        if message.flow != self.flow:
            return
        self.waiting_since = now
        if self.closed and not isinstance(message, MESSAGES_AFTER_CLOSE):
            return
        self.on_message(message, now)

    @functools.singledispatchmethod
    def on_message(self, message: messages.ToCaller, now: int) -> None:
        """Process one kind of message; those without a handler are ignored."""

    @on_message.register
    def on_opened(self, message: messages.Opened, now: int) -> None:
        """Use the first token; close a second home that a repeated open has created."""
        if view.unpack_token(message.token) is None:
            return
        if self.token:
            self.on_repeated_opened(message)
            return
        self.token = message.token
        self.replaced_incarnations = message.replaces
        self.lease_until = message.lease_until
        self.schedule_heartbeat(now)
        self.refusal = None
        for pending in self.pending.values():
            self.send_request(pending, now)
        for subscription in self.subscriptions.values():
            self.send_subscribe(subscription, now)

    def on_repeated_opened(self, message: messages.Opened) -> None:
        """Use a successor's token, close an unrelated second home, and ignore other copies.

        A late copy of `Opened` may come from the flow's current or former home; closing that one
        would end the flow.
        """
        if self.is_replaced_by(message):
            self.token = message.token
            self.replaced_incarnations = message.replaces
            return
        if view.unpack_token(message.token).incarnation not in self.replaced_incarnations:
            self.send(messages.Close(self.flow, self.service, message.token))

    def is_replaced_by(self, message: messages.Opened | messages.Moved) -> bool:
        """Return whether the message's home has replaced the current one."""
        token = view.unpack_token(self.token)
        return token is not None and token.incarnation in message.replaces

    @on_message.register
    def on_open_refused(self, message: messages.OpenRefused, now: int) -> None:
        """Postpone the next open until the refusal's retry time."""
        if not self.token:
            self.refusal = message
            self.open_resend_at = max(self.open_resend_at, message.retry_at)

    @on_message.register
    def on_moved(self, message: messages.Moved, now: int) -> None:
        """Use the new home's token if that home has replaced the current one.

        An idle second home that is handed over sends `Moved` too. It has no records of what the
        current home ran, so a request repeated there would run twice.
        """
        if view.unpack_token(message.token) is None or not self.is_replaced_by(message):
            return
        moved = message.token != self.token
        self.unknown_flow = progress.UnknownFlowCount()
        self.token = message.token
        self.replaced_incarnations = message.replaces
        self.lease_until = message.lease_until
        self.schedule_heartbeat(now)
        # The answer to a heartbeat repeats the same token. Subscribing again each time would send
        # another heartbeat at every tick.
        for subscription in self.subscriptions.values() if moved else ():
            subscription.resend_at = min(subscription.resend_at, now)

    @on_message.register
    def on_progress(self, message: messages.Progress, now: int) -> None:
        """Send the parts of a request that its home lacks."""
        pending = self.pending.get(message.request)
        if pending is None or not message.missing:
            return
        pending.missing = tuple(n for n in message.missing if 0 <= n < pending.total_parts)
        pending.backoff = progress.FIRST_RESEND_MS
        pending.resend_at = now
        self.send_request(pending, now)

    @on_message.register
    def on_running(self, message: messages.Running, now: int) -> None:
        """Note that the request is complete at its home, so resends carry one part only."""
        pending = self.pending.get(message.request)
        if pending is not None:
            pending.missing = ()
            pending.unknown_flow = progress.UnknownFlowCount()

    @on_message.register
    def on_answer_part(self, message: messages.AnswerPart, now: int) -> None:
        """Collect the parts of an answer; parts of another answer discard those of the first."""
        pending = self.pending.get(message.request)
        if pending is None:
            return
        if pending.answer_id != message.answer:
            pending.answer_id = message.answer
            pending.answer_total = message.parts
            pending.answer_parts = {}
            pending.status = message.status
        if not 0 <= message.part < pending.answer_total:
            return
        is_new = message.part not in pending.answer_parts
        pending.answer_parts[message.part] = message.body
        pending.backoff = progress.FIRST_RESEND_MS
        pending.resend_at = now + progress.FIRST_RESEND_MS
        have = len(pending.answer_parts)
        if have == pending.answer_total:
            body = b"".join(pending.answer_parts[n] for n in range(have))
            self.finish(
                progress.Result(pending.id, progress.Outcome.ANSWERED, pending.status, body)
            )
            # The home may free the answer now, and need not include it in a handover.
            self.send(
                messages.Acknowledge(self.flow, self.service, self.token, message.request, have)
            )
        elif is_new and have % messages.WINDOW == 0:
            # A repeated part triggers no fetch: each would bring a whole window, whose repeated
            # parts would each trigger another one. One late packet of a large answer became
            # thousands.
            self.send_fetch(pending)

    @on_message.register
    def on_not_run(self, message: messages.NotRun, now: int) -> None:
        """End a request that was not run."""
        self.finish(
            progress.Result(
                message.request,
                progress.Outcome.NOT_RUN,
                reason=message.reason,
                retry_at=message.retry_at,
            )
        )

    @on_message.register
    def on_outcome_unknown(self, message: messages.OutcomeUnknown, now: int) -> None:
        """End a request whose outcome is unknown."""
        self.finish(
            progress.Result(
                message.request,
                progress.Outcome.UNKNOWN,
                reason=message.reason,
                retry_at=message.retry_at,
            )
        )

    @on_message.register
    def on_unknown_flow(self, message: messages.UnknownFlow, now: int) -> None:
        """Reopen the flow once several resends in a row were answered with `UnknownFlow`."""
        subscription = self.subscriptions.get(message.request)
        if subscription is not None:
            if subscription.unknown_flow.record(now):
                self.reopen(now)
            return
        if not message.request:
            self.on_unknown_heartbeat(now)
            return
        pending = self.pending.get(message.request)
        if pending is None:
            return
        if pending.cancelled and not pending.settling:
            # The request may never have arrived; settling it refuses every later copy of it.
            pending.settling = True
            pending.resend_at = now
            return
        if pending.unknown_flow.record(now):
            self.reopen(now)

    def on_unknown_heartbeat(self, now: int) -> None:
        """Reopen a flow whose heartbeats are answered with `UnknownFlow`.

        The lease may end during a long pause of the caller. Without this the next request that must
        not run twice would end as unknown, although it has not run.
        """
        if not self.unknown_flow.record(now):
            self.heartbeat_at = now + progress.FIRST_RESEND_MS
        elif not self.has_uncertain_requests():
            self.reopen(now)

    @on_message.register
    def on_feed_event(self, message: messages.FeedEvent, now: int) -> None:
        """Deliver events once and in order; buffer those that arrive out of order."""
        subscription = self.subscriptions.get(message.request)
        if subscription is None:
            return
        subscription.received_at = now
        subscription.unknown_flow = progress.UnknownFlowCount()
        if subscription.position < message.position <= subscription.position + MAX_EARLY_EVENTS:
            subscription.early_events[message.position] = message.body
        while (body := subscription.early_events.pop(subscription.position + 1, None)) is not None:
            subscription.position += 1
            self.events.append(progress.Event(subscription.id, subscription.position, body))
        self.send(
            messages.Acknowledge(
                self.flow, self.service, self.token, subscription.id, subscription.position
            )
        )

    @on_message.register
    def on_feed_ended(self, message: messages.FeedEnded, now: int) -> None:
        """Subscribe again at the message's retry time."""
        subscription = self.subscriptions.get(message.request)
        if subscription is not None:
            subscription.resend_at = max(now, message.retry_at)

    @on_message.register
    def on_closed(self, message: messages.Closed, now: int) -> None:
        """Stop sending `Close`; a confirmation for a second home comes while the flow is open."""
        if self.closed:
            self.close_attempts_left = 0

    def reopen(self, now: int) -> None:
        """Open the flow under a new id after its home was lost, and resume requests and feeds.

        Requests that must not run twice end as unknown, since the lost home may have run them, and
        so do cancelled ones.
        """
        self.reopen_count += 1
        self.unknown_flow = progress.UnknownFlowCount()
        for pending in list(self.pending.values()):
            if pending.sent and (pending.cancelled or not pending.idempotent):
                self.finish(
                    progress.Result(
                        pending.id, progress.Outcome.UNKNOWN, reason="the flow's home is lost"
                    )
                )
            pending.unknown_flow = progress.UnknownFlowCount()
            pending.answer_id = b""
            pending.answer_parts = {}
            pending.missing = tuple(range(min(pending.total_parts, messages.WINDOW)))
        for subscription in self.subscriptions.values():
            subscription.unknown_flow = progress.UnknownFlowCount()
        self.flow = self.randomness.randbytes(messages.ID_BYTES)
        self.token = b""
        self.replaced_incarnations = ()
        self.attempt = 0
        self.open_resend_at = now
        self.open_backoff = progress.FIRST_RESEND_MS
        self.open_deadline = max(
            [self.open_deadline, now + MAX_RESEND_MS * 15]
            + [pending.deadline for pending in self.pending.values()]
        )
        self.tick_open(now)

    def finish(self, result: progress.Result) -> None:
        """Record the outcome of a request, once."""
        if self.pending.pop(result.request, None) is not None:
            self.outcomes.append(result)
