"""Implement the caller's side of one flow, its requests and feeds, as a state machine.

Its methods take commands, datagrams and ticks with the time in ms. Datagrams to send, outcomes of
requests and feed events are collected in `outbox`, `outcomes` and `events`.
"""

import dataclasses
import functools

from ebonystile.caller import messages
from ebonystile.core import rng, view
from ebonystile.core.calls import progress

RESEND_LIMIT = 2_000
"""Longest interval between two resends, in ms; the first is `progress.RESEND_FIRST`."""

SETTLE_GRACE = 2_000
"""Time after its deadline in which the outcome of a request is still asked for, in ms."""

HEARTBEAT_SHARE = 3
"""The next heartbeat is sent after the remaining lease divided by this number.

So several heartbeats fit into any lease, and a lost one does not end an idle flow.
"""

HEARTBEAT_LEAST, HEARTBEAT_MOST = 1_000, 60_000
"""Shortest and longest interval between two heartbeats, in ms."""

CLOSE_TRIES = 6
"""How often `Close` is sent while unconfirmed. A home that never receives it keeps the flow until
its lease ends, which can delay the exit of a leaving upstream."""

SILENCE_LIMIT = 6_000
"""After this time without any message, in ms, a caller that waits reopens its flow elsewhere.

A dead home stays in the balancers' list for a while, and messages sent to it get no answer.
"""

FEED_AHEAD = 64
"""Most events buffered out of order; a home sends fewer without an acknowledgement."""

FEED_SILENCE = 1_000
"""After this time without an event, in ms, a feed is requested again from its position."""


AFTER_CLOSE = (messages.Opened, messages.Moved, messages.Closed)
"""Messages that are processed even after the flow was closed."""


class Call:
    """The caller's state of one flow; its home is the sidecar that its token names."""

    def __init__(self, service: str, randomness: rng.Rng, now: int, deadline: int):
        self.service = service
        self.randomness = randomness
        self.flow = randomness.randbytes(messages.ID_BYTES)
        self.token = b""
        self.stands_for: tuple[int, ...] = ()
        self.attempt = 0
        self.open_deadline = deadline
        self.open_resend_at = now
        self.open_wait = progress.RESEND_FIRST
        self.refusal: messages.OpenRefused | None = None
        self.closed = False
        self.closes_left = 0
        self.close_at = 0
        self.reopened = 0
        self.lease_until = now
        self.heartbeat_at = now + HEARTBEAT_MOST
        self.doubt = progress.Doubt()
        self.silent_since = now
        self.ticked_at = now
        self.pending: dict[bytes, progress.Pending] = {}
        self.subscriptions: dict[bytes, progress.Subscription] = {}
        self.outbox: list[bytes] = []
        self.outcomes: list[progress.Result] = []
        self.events: list[progress.Event] = []
        self.tick(now)

    # Commands

    def request(self, path: str, body: bytes, deadline: int, idempotent: bool, now: int) -> bytes:
        """Start a request and return its id."""
        total = max(1, -(-len(body) // messages.PART_BYTES))
        pending = progress.Pending(
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
        self.closes_left = CLOSE_TRIES
        self.say_close(self.ticked_at)

    @property
    def done(self) -> bool:
        """Return whether the flow is closed and its close was confirmed or sent often enough."""
        return self.closed and not self.closes_left

    def say_close(self, now: int) -> None:
        """Send `Close` to the home if there is one, and schedule the next attempt."""
        self.closes_left -= 1
        self.close_at = now + progress.RESEND_FIRST * (CLOSE_TRIES - self.closes_left)
        if self.token:
            self.send(messages.Close(self.flow, self.service, self.token))

    # Time

    def tick(self, now: int) -> None:
        """Send whatever is due and end requests past their deadline."""
        if self.closed:
            if self.closes_left and self.close_at <= now:
                self.say_close(now)
            return
        if not self.token:
            self.tick_open(now)
        elif self.heartbeat_at <= now:
            self.plan_heartbeat(now)
            self.send(messages.Heartbeat(self.flow, self.service, self.token))
        for pending in list(self.pending.values()):
            self.tick_request(pending, now)
        for subscription in self.subscriptions.values():
            silent = now - subscription.heard_at >= FEED_SILENCE
            if self.token and silent and subscription.resend_at <= now:
                self.send_subscribe(subscription, now)
                # The answer tells a feed without new events from a home that is gone.
                self.send(messages.Heartbeat(self.flow, self.service, self.token))
        self.watch_silence(now)

    def plan_heartbeat(self, now: int) -> None:
        """Schedule the next heartbeat."""
        wait = (self.lease_until - now) // HEARTBEAT_SHARE
        self.heartbeat_at = now + min(max(wait, HEARTBEAT_LEAST), HEARTBEAT_MOST)

    def watch_silence(self, now: int) -> None:
        """Reopen the flow if its home is silent, unless a pending request might then run twice.

        After a pause of the caller itself the silence is counted anew, since answers may still
        wait in its socket.
        """
        waiting = bool(self.subscriptions or self.pending) and bool(self.token)
        if not waiting or now - self.ticked_at > FEED_SILENCE:
            self.silent_since = now
        self.ticked_at = now
        if now - self.silent_since >= SILENCE_LIMIT and not self.in_doubt():
            self.silent_since = now
            self.reopen(now)

    def in_doubt(self) -> bool:
        """Return whether a request that must not run twice may have run at the current home."""
        return any(p.sent and not p.idempotent for p in self.pending.values())

    def tick_open(self, now: int) -> None:
        """Send `Open` if it is due; each attempt goes to the next upstream of the ranking."""
        if self.open_resend_at > now or now >= self.open_deadline:
            return
        # Jitter and backoff keep callers that lost their homes together from synchronized retries.
        self.open_resend_at = now + int(self.open_wait * (0.75 + self.randomness.random() / 2))
        self.open_wait = min(RESEND_LIMIT, 2 * self.open_wait)
        opening = messages.Open(self.flow, self.service, b"", self.attempt, self.open_deadline, b"")
        lacking = messages.OPEN_BYTES - len(messages.FROM_CALLER.encode(opening))
        self.send(dataclasses.replace(opening, padding=bytes(max(0, lacking))))
        self.attempt += 1

    def tick_request(self, pending: progress.Pending, now: int) -> None:
        """Send the message that is due for a request, or end it after its deadline."""
        if now >= pending.deadline:
            self.overdue(pending, now)
        if pending.id not in self.pending or not self.token or pending.resend_at > now:
            return
        self.back_off(pending, now)
        if pending.settling:
            self.send(
                messages.Settle(self.flow, self.service, self.token, pending.id, pending.deadline)
            )
        elif pending.cancelled:
            self.send(messages.Cancel(self.flow, self.service, self.token, pending.id))
        elif pending.answer:
            self.fetch(pending)
        else:
            self.send_request(pending, now)

    def overdue(self, pending: progress.Pending, now: int) -> None:
        """Settle a request whose deadline has passed; end it as unknown after `SETTLE_GRACE`."""
        if not pending.sent:
            self.finish(
                progress.Result(
                    pending.id, progress.Outcome.NOT_RUN, reason="it was never sent", retry_at=now
                )
            )
        elif now >= pending.deadline + SETTLE_GRACE:
            self.finish(
                progress.Result(pending.id, progress.Outcome.UNKNOWN, reason="no answer in time")
            )
        elif not pending.settling and not pending.answer:
            pending.settling = True
            pending.resend_at = now
            pending.wait = progress.RESEND_FIRST

    def back_off(self, pending: progress.Pending, now: int) -> None:
        """Schedule the next resend of a request, with exponential backoff."""
        pending.resend_at = now + pending.wait
        pending.wait = min(RESEND_LIMIT, pending.wait * 2)

    # Sending

    def send(self, message: messages.FromCaller) -> None:
        """Put a datagram into the outbox."""
        self.outbox.append(messages.FROM_CALLER.encode(message))

    def send_request(self, pending: progress.Pending, now: int) -> None:
        """Send the parts known to be missing; the last of them requests a report."""
        if pending.resend_at <= now:
            pending.resend_at = now + pending.wait
        numbers = pending.missing or (pending.total - 1,)
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
                    pending.total,
                    number == numbers[-1],
                    pending.body[start : start + messages.PART_BYTES],
                )
            )

    def send_subscribe(self, subscription: progress.Subscription, now: int) -> None:
        """Send `Subscribe` for a feed after its position."""
        subscription.resend_at = now + progress.RESEND_FIRST * 2
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

    def fetch(self, pending: progress.Pending) -> None:
        """Request the first missing parts of an answer, at most `messages.WINDOW`."""
        numbers = []
        for number in range(pending.answer_total):
            if number not in pending.answer_parts:
                numbers.append(number)
                if len(numbers) == messages.WINDOW:
                    break
        self.send(
            messages.Fetch(
                self.flow, self.service, self.token, pending.id, pending.answer, tuple(numbers)
            )
        )

    # Receiving

    def receive(self, message: messages.ToCaller, now: int) -> None:
        """Process a message for this flow."""
        if message.flow != self.flow:
            return
        self.silent_since = now
        if self.closed and not isinstance(message, AFTER_CLOSE):
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
            self.on_opened_again(message)
            return
        self.token = message.token
        self.stands_for = message.replaces
        self.lease_until = message.lease_until
        self.plan_heartbeat(now)
        self.refusal = None
        for pending in self.pending.values():
            self.send_request(pending, now)
        for subscription in self.subscriptions.values():
            self.send_subscribe(subscription, now)

    def on_opened_again(self, message: messages.Opened) -> None:
        """Use a successor's token, close an unrelated second home, and ignore other copies.

        A late copy of `Opened` may come from the flow's current or former home; closing that one
        would end the flow.
        """
        if self.is_replaced_by(message):
            self.token = message.token
            self.stands_for = message.replaces
            return
        if view.unpack_token(message.token).incarnation not in self.stands_for:
            self.send(messages.Close(self.flow, self.service, message.token))

    def is_replaced_by(self, message: messages.Opened | messages.Moved) -> bool:
        """Return whether the message's home has replaced the current one."""
        token = view.unpack_token(self.token)
        return token is not None and token.incarnation in message.replaces

    @on_message.register
    def on_open_refused(self, message: messages.OpenRefused, now: int) -> None:
        """Postpone the next open until the time that the refusal gives."""
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
        self.doubt = progress.Doubt()
        self.token = message.token
        self.stands_for = message.replaces
        self.lease_until = message.lease_until
        self.plan_heartbeat(now)
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
        pending.missing = tuple(n for n in message.missing if 0 <= n < pending.total)
        pending.wait = progress.RESEND_FIRST
        pending.resend_at = now
        self.send_request(pending, now)

    @on_message.register
    def on_running(self, message: messages.Running, now: int) -> None:
        """Note that the request is complete at its home, so resends carry one part only."""
        pending = self.pending.get(message.request)
        if pending is not None:
            pending.missing = ()
            pending.doubt = progress.Doubt()

    @on_message.register
    def on_answer_part(self, message: messages.AnswerPart, now: int) -> None:
        """Collect the parts of an answer; parts of another answer discard those of the first."""
        pending = self.pending.get(message.request)
        if pending is None:
            return
        if pending.answer != message.answer:
            pending.answer = message.answer
            pending.answer_total = message.parts
            pending.answer_parts = {}
            pending.status = message.status
        if not 0 <= message.part < pending.answer_total:
            return
        is_new = message.part not in pending.answer_parts
        pending.answer_parts[message.part] = message.body
        pending.wait = progress.RESEND_FIRST
        pending.resend_at = now + progress.RESEND_FIRST
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
            # parts would each trigger another one.
            self.fetch(pending)

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
            if subscription.doubt.add(now):
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
        if pending.doubt.add(now):
            self.reopen(now)

    def on_unknown_heartbeat(self, now: int) -> None:
        """Reopen a flow whose heartbeats are answered with `UnknownFlow`.

        The lease ends during a long pause of the caller. Without this the next request that must
        not run twice would end as unknown, although it has not run.
        """
        if not self.doubt.add(now):
            self.heartbeat_at = now + progress.RESEND_FIRST
        elif not self.in_doubt():
            self.reopen(now)

    @on_message.register
    def on_feed_event(self, message: messages.FeedEvent, now: int) -> None:
        """Deliver events once and in order; buffer those that arrive out of order."""
        subscription = self.subscriptions.get(message.request)
        if subscription is None:
            return
        subscription.heard_at = now
        subscription.doubt = progress.Doubt()
        if subscription.position < message.position <= subscription.position + FEED_AHEAD:
            subscription.ahead[message.position] = message.body
        while (body := subscription.ahead.pop(subscription.position + 1, None)) is not None:
            subscription.position += 1
            self.events.append(progress.Event(subscription.id, subscription.position, body))
        self.send(
            messages.Acknowledge(
                self.flow, self.service, self.token, subscription.id, subscription.position
            )
        )

    @on_message.register
    def on_feed_ended(self, message: messages.FeedEnded, now: int) -> None:
        """Subscribe again at the time that the message gives."""
        subscription = self.subscriptions.get(message.request)
        if subscription is not None:
            subscription.resend_at = max(now, message.retry_at)

    @on_message.register
    def on_closed(self, message: messages.Closed, now: int) -> None:
        """Stop sending `Close`; a confirmation for a second home comes while the flow is open."""
        if self.closed:
            self.closes_left = 0

    def reopen(self, now: int) -> None:
        """Open the flow under a new id after its home was lost, and resume requests and feeds.

        Requests that must not run twice end as unknown, since the lost home may have run them, and
        so do cancelled ones.
        """
        self.reopened += 1
        self.doubt = progress.Doubt()
        for pending in list(self.pending.values()):
            if pending.sent and (pending.cancelled or not pending.idempotent):
                self.finish(
                    progress.Result(
                        pending.id, progress.Outcome.UNKNOWN, reason="the flow's home is lost"
                    )
                )
            pending.doubt = progress.Doubt()
            pending.answer = b""
            pending.answer_parts = {}
            pending.missing = tuple(range(min(pending.total, messages.WINDOW)))
        for subscription in self.subscriptions.values():
            subscription.doubt = progress.Doubt()
        self.flow = self.randomness.randbytes(messages.ID_BYTES)
        self.token = b""
        self.stands_for = ()
        self.attempt = 0
        self.open_resend_at = now
        self.open_wait = progress.RESEND_FIRST
        self.open_deadline = max(
            [self.open_deadline, now + RESEND_LIMIT * 15]
            + [pending.deadline for pending in self.pending.values()]
        )
        self.tick_open(now)

    def finish(self, result: progress.Result) -> None:
        """Record the outcome of a request, once."""
        if self.pending.pop(result.request, None) is not None:
            self.outcomes.append(result)
