"""Decide what a caller sends: one flow's opens, requests and feeds, as a plain state machine.

Its methods take commands, datagrams and ticks with the time in ms; datagrams to send, final
outcomes and feed events are gathered in `outbox`, `outcomes` and `events`. The caller library and
tests drive it.
"""

import dataclasses
import functools

from ebonystile.caller import messages
from ebonystile.core import rng, view
from ebonystile.core.calls import progress

RESEND_LIMIT = 2_000
"""Longest time between two resends, in ms; the first is `progress.RESEND_FIRST`."""

SETTLE_GRACE = 2_000
"""How long after its deadline a request that must not be repeated may still be settled, in ms."""

HEARTBEAT_SHARE = 3
"""Heartbeats come when this part of what is left of the lease has passed.

Were they as far apart as the lease is long, an idle flow would end just as its heartbeat came. One
that is lost is followed by the next after a third of the rest, so several fit into any lease.
"""

HEARTBEAT_LEAST, HEARTBEAT_MOST = 1_000, 60_000
"""Shortest and longest time between two heartbeats, in ms."""

CLOSE_TRIES = 6
"""How often a close is said until the home confirms it: a home that never hears of it holds the
flow until its lease ends, and an upstream that leaves alone would wait for that."""

SILENCE_LIMIT = 6_000
"""After this long without any word, in ms, a caller that waits opens its flow anew elsewhere.

A home that has died stays in the list for a while, longer if the platform is down, and what is
sent to it vanishes without an answer.
"""

FEED_AHEAD = 64
"""Most events held that came before an earlier one: more than a home sends unacknowledged."""

FEED_SILENCE = 1_000
"""After this long without an event, in ms, a feed is asked for anew from its position."""


AFTER_CLOSE = (messages.Opened, messages.Moved, messages.Closed)
"""What still counts once a flow is closed: where its home is, and that it has ended."""


class Call:
    """One flow as its caller sees it."""

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
        """Begin a request and return its id."""
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
        """Begin to follow a feed after `position` and return the subscription's id."""
        subscription = progress.Subscription(
            self.randomness.randbytes(messages.ID_BYTES), path, position
        )
        self.subscriptions[subscription.id] = subscription
        if self.token:
            self.send_subscribe(subscription, now)
        return subscription.id

    def unsubscribe(self, subscription: bytes) -> None:
        """Stop following a feed."""
        self.subscriptions.pop(subscription, None)

    def cancel(self, request: bytes, now: int) -> None:
        """Ask for a request to be stopped; its final word still comes."""
        pending = self.pending.get(request)
        if pending is not None:
            pending.cancelled = True
            pending.resend_at = now
            self.tick(now)

    def settle(self, request: bytes, now: int) -> None:
        """Ask what became of a request, barring it if it never came whole."""
        pending = self.pending.get(request)
        if pending is not None:
            pending.settling = True
            pending.resend_at = now
            self.tick(now)

    def close(self) -> None:
        """End the flow; what is under way on it gets no final word."""
        self.closed = True
        self.pending.clear()
        self.subscriptions.clear()
        self.closes_left = CLOSE_TRIES
        self.say_close(self.ticked_at)

    @property
    def done(self) -> bool:
        """Whether the flow is closed and there is nothing more to say about it."""
        return self.closed and not self.closes_left

    def say_close(self, now: int) -> None:
        """Tell the home, if there is one by now, that the flow has ended."""
        self.closes_left -= 1
        self.close_at = now + progress.RESEND_FIRST * (CLOSE_TRIES - self.closes_left)
        if self.token:
            self.send(messages.Close(self.flow, self.service, self.token))

    # Time

    def tick(self, now: int) -> None:
        """Resend what has waited long enough and end what has run out of time."""
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
                # A feed without new events is silent too; this tells it from a home that is gone.
                self.send(messages.Heartbeat(self.flow, self.service, self.token))
        self.watch_silence(now)

    def plan_heartbeat(self, now: int) -> None:
        """Set the time of the next heartbeat."""
        wait = (self.lease_until - now) // HEARTBEAT_SHARE
        self.heartbeat_at = now + min(max(wait, HEARTBEAT_LEAST), HEARTBEAT_MOST)

    def watch_silence(self, now: int) -> None:
        """Leave a home that says nothing any more, unless it may have run what must not run twice.

        After a pause of the caller itself the answers still wait in its socket.
        """
        waiting = bool(self.subscriptions or self.pending) and bool(self.token)
        if not waiting or now - self.ticked_at > FEED_SILENCE:
            self.silent_since = now
        self.ticked_at = now
        if now - self.silent_since >= SILENCE_LIMIT and not self.in_doubt():
            self.silent_since = now
            self.reopen(now)

    def in_doubt(self) -> bool:
        """Whether only the present home can say what became of a request."""
        return any(p.sent and not p.idempotent for p in self.pending.values())

    def tick_open(self, now: int) -> None:
        """Open the flow, each time at the next upstream of its ranking."""
        if self.open_resend_at > now or now >= self.open_deadline:
            return
        # Jitter and longer waits keep callers that were all cut off from coming back in step.
        self.open_resend_at = now + int(self.open_wait * (0.75 + self.randomness.random() / 2))
        self.open_wait = min(RESEND_LIMIT, 2 * self.open_wait)
        opening = messages.Open(self.flow, self.service, b"", self.attempt, self.open_deadline, b"")
        lacking = messages.OPEN_BYTES - len(messages.FROM_CALLER.encode(opening))
        self.send(dataclasses.replace(opening, padding=bytes(max(0, lacking))))
        self.attempt += 1

    def tick_request(self, pending: progress.Pending, now: int) -> None:
        """Resend a request, settle it after its deadline, or end it."""
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
        """Settle a request whose deadline has passed; give it up after a grace."""
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
        """Set the time of the next resend."""
        pending.resend_at = now + pending.wait
        pending.wait = min(RESEND_LIMIT, pending.wait * 2)

    # Sending

    def send(self, message: messages.FromCaller) -> None:
        """Put a datagram into the outbox."""
        self.outbox.append(messages.FROM_CALLER.encode(message))

    def send_request(self, pending: progress.Pending, now: int) -> None:
        """Send the parts known to be missing; the last of them asks for a report."""
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
        """Ask for a feed from its position on."""
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
        """Ask for the first missing parts of the answer."""
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
        """Take in a datagram that the system sent for this flow."""
        if message.flow != self.flow:
            return
        self.silent_since = now
        if self.closed and not isinstance(message, AFTER_CLOSE):
            return
        self.on_message(message, now)

    @functools.singledispatchmethod
    def on_message(self, message: messages.ToCaller, now: int) -> None:
        """Act on a message; those without a rule of their own need nothing done."""

    @on_message.register
    def on_opened(self, message: messages.Opened, now: int) -> None:
        """Keep the first token; close a second home that a repeated open has made."""
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
        """Tell the present home, an earlier one and a second one apart.

        A copy of an answer that comes after a handover speaks of the home that the flow had or has;
        closing that would end the flow.
        """
        if self.is_replaced_by(message):
            self.token = message.token
            self.stands_for = message.replaces
            return
        if view.unpack_token(message.token).incarnation not in self.stands_for:
            self.send(messages.Close(self.flow, self.service, message.token))

    def is_replaced_by(self, message: messages.Opened | messages.Moved) -> bool:
        """Whether the message's home stands for the present one."""
        token = view.unpack_token(self.token)
        return token is not None and token.incarnation in message.replaces

    @on_message.register
    def on_open_refused(self, message: messages.OpenRefused, now: int) -> None:
        """Come back when told to."""
        if not self.token:
            self.refusal = message
            self.open_resend_at = max(self.open_resend_at, message.retry_at)

    @on_message.register
    def on_moved(self, message: messages.Moved, now: int) -> None:
        """Use the new home's token from now on, if that home stands for the present one.

        An idle second home that is handed over says the same of itself; it knows nothing of what
        the real one ran, so a request sent there again would run twice.
        """
        if view.unpack_token(message.token) is None or not self.is_replaced_by(message):
            return
        moved = message.token != self.token
        self.doubt = progress.Doubt()
        self.token = message.token
        self.stands_for = message.replaces
        self.lease_until = message.lease_until
        self.plan_heartbeat(now)
        # An answer to a heartbeat tells the same token again; to ask anew each time would keep
        # heartbeats and their answers going as fast as the caller ticks.
        for subscription in self.subscriptions.values() if moved else ():
            subscription.resend_at = min(subscription.resend_at, now)

    @on_message.register
    def on_progress(self, message: messages.Progress, now: int) -> None:
        """Send the missing parts."""
        pending = self.pending.get(message.request)
        if pending is None or not message.missing:
            return
        pending.missing = tuple(n for n in message.missing if 0 <= n < pending.total)
        pending.wait = progress.RESEND_FIRST
        pending.resend_at = now
        self.send_request(pending, now)

    @on_message.register
    def on_running(self, message: messages.Running, now: int) -> None:
        """Go on waiting; later copies need only ask."""
        pending = self.pending.get(message.request)
        if pending is not None:
            pending.missing = ()
            pending.doubt = progress.Doubt()

    @on_message.register
    def on_answer_part(self, message: messages.AnswerPart, now: int) -> None:
        """Gather the answer; parts of another run of the request start it anew."""
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
            # The home may let go of the answer now, and needs not carry it along in a handover.
            self.send(
                messages.Acknowledge(self.flow, self.service, self.token, message.request, have)
            )
        elif is_new and have % messages.WINDOW == 0:
            # A repeated part asks for nothing: each would bring a whole window, whose repeats would
            # bring one each in turn, so that one late packet of a large answer became thousands.
            self.fetch(pending)

    @on_message.register
    def on_not_run(self, message: messages.NotRun, now: int) -> None:
        """End a request that never was run."""
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
        """End a request whose outcome nobody knows."""
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
        """Believe that the home is lost once several walks, a resend apart, say so."""
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
            # The request itself may never have come; settling it bars every copy of it.
            pending.settling = True
            pending.resend_at = now
            return
        if pending.doubt.add(now):
            self.reopen(now)

    def on_unknown_heartbeat(self, now: int) -> None:
        """Leave a home that has forgotten the flow, before a request finds that out.

        After a long sleep of the caller the lease has ended. A request that must not be repeated
        would end as unknown, though it never could have run.
        """
        if not self.doubt.add(now):
            self.heartbeat_at = now + progress.RESEND_FIRST
        elif not self.in_doubt():
            self.reopen(now)

    @on_message.register
    def on_feed_event(self, message: messages.FeedEvent, now: int) -> None:
        """Deliver events once and in order; those that came too early wait for the others."""
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
        """Ask for the feed anew when told to."""
        subscription = self.subscriptions.get(message.request)
        if subscription is not None:
            subscription.resend_at = max(now, message.retry_at)

    @on_message.register
    def on_closed(self, message: messages.Closed, now: int) -> None:
        """Say no more; a confirmation for a second home comes while the flow itself is open."""
        if self.closed:
            self.closes_left = 0

    def reopen(self, now: int) -> None:
        """Open the flow anew after its home was lost, under a new id, and go on.

        Requests that must not be repeated end as unknown: the lost home may have run them. So do
        cancelled ones, which nobody wants to be run any more.
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
        """Record the final word on a request, once."""
        if self.pending.pop(result.request, None) is not None:
            self.outcomes.append(result)
