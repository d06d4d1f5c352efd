"""Decide whether a new flow is admitted, waits at the balancer or is refused.

The decision applies to routes that state a time limit or an objective. It has no I/O: what is known
of the flow is a `Request`, what is known of the upstreams, the balancer's link and the flows that
wait before it is a `Room`. Times are in ms.
"""

import dataclasses
import enum

from ebonystile.core.carrying import routes

COPY_SENT_MS = (0, 200, 600)
"""When a caller sends its opening packet and its copies, in ms from the first."""

COPY_MARGIN_MS = 50
"""Allowance for the way of the opening packet and of the reset together, in ms: the link's own
queue holds 50 ms, and other delays are a few ms."""

MAX_WAIT_MS = 1_000
"""How long a flow may wait at most, in ms from its first packet. Its caller gives up after 1,400 ms
and needs the rest for the answer."""

MIN_WAIT_SHARE = 0.5
"""Least share of the objective for which a flow may wait. Predictions are rough, and a caller that
is refused retries at once, so that a short lack of room would use up its tries."""

QUEUE_SHARE = 0.5
"""Share of a flow's wait that the flows before it may take by the prediction. Those that come later
with a higher priority or another caller's turn take the rest."""

MIN_KNOWN_RATE_PER_S = 5.0
"""Rate of admissions, in flows per second, from which it predicts how long the flows before a new
one wait. At lower rates a single admission changes the prediction too much."""

DISCONNECTED_REFUSAL_MS = 120
"""Age in ms at which a flow is refused if no sidecar answers: late enough for an instance that
stalls for 100 ms, and early enough to reach the caller before it sends a copy."""

DISCONNECTED_MS = 100
"""Time in ms without a message from any sidecar after which a new flow is refused."""


class Reason(enum.Enum):
    """Why a flow is refused.

    TIME_LIMIT: its answer would be past the time limit. NARROW_LINK: an upload can't finish within
    its objective over this balancer's narrowed link. CROWDED: the flows that wait before it take
    all the room until its wait ends. NO_ROOM: its wait has ended without room. DISCONNECTED: no
    sidecar answers. SEARCHES: the limit of concurrent searches is reached.
    """

    TIME_LIMIT = "time_limit"
    NARROW_LINK = "narrow_link"
    CROWDED = "crowded"
    NO_ROOM = "no_room"
    DISCONNECTED = "disconnected"
    SEARCHES = "searches"


@dataclasses.dataclass(frozen=True, slots=True)
class LinkRoom:
    """What this balancer's own link predicts for a request of one level.

    `wait_ms` is the time that a packet would wait in front of the link, `bytes_per_ms` the rate in
    force, and `is_narrowed` whether that is below half of the configured rate.
    """

    wait_ms: float
    bytes_per_ms: float
    is_narrowed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A new flow as its opening packets show it.

    `opened_at` is when its caller sent the first opening packet, by the number of the first copy
    that arrived here. `copies` are the numbers of the copies that arrived here. `was_forwarded` is
    set unless it is certain that this balancer has not forwarded any of them.
    """

    traits: routes.RequestTraits
    opened_at: int
    copies: frozenset[int]
    was_forwarded: bool = False

    @property
    def objective_ms(self) -> int:
        """Return the objective, or the time limit where only that is stated."""
        return self.traits.objective_ms or self.traits.timeout_ms

    def is_unopened(self, now: int) -> bool:
        """Return whether no balancer can have opened the flow.

        Only then may a refusal reset it. This balancer has forwarded no copy, and every copy that
        the caller can have sent by the time at which a reset arrives has arrived here, so no other
        balancer has received one.
        """
        arrival = now + COPY_MARGIN_MS
        sent = {n for n, after in enumerate(COPY_SENT_MS) if self.opened_at + after <= arrival}
        return not self.was_forwarded and sent <= self.copies

    def copy_due(self, now: int) -> int | None:
        """Return by when a copy that may be on its way has arrived, or None if none is."""
        if self.was_forwarded or 0 not in self.copies:
            return None
        dues = [
            self.opened_at + after + COPY_MARGIN_MS
            for number, after in enumerate(COPY_SENT_MS)
            if number not in self.copies
        ]
        return next((due for due in dues if due - 2 * COPY_MARGIN_MS <= now < due), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The room for a flow; durations in ms.

    `has_room` is whether an upstream that was queried takes one more flow. `wait_ms` is the
    predicted wait at the best upstream and `service_ms` its service time. `ahead` flows wait before
    this one, and `admitted_per_s` were admitted lately. `link` is None where this balancer's link
    is not scheduled; `request_bytes` are those of a flow of the route, 0 if unknown.
    """

    has_room: bool
    wait_ms: float = 0.0
    service_ms: float = 0.0
    ahead: int = 0
    admitted_per_s: float = 0.0
    link: LinkRoom | None = None
    request_bytes: float = 0.0

    @property
    def queue_ms(self) -> float:
        """Return how long the flows ahead take to be admitted, 0 if unknown."""
        if self.admitted_per_s < MIN_KNOWN_RATE_PER_S:
            return 0.0
        return self.ahead * 1000.0 / self.admitted_per_s

    @property
    def link_ms(self) -> float:
        """Return how long the request takes over this balancer's link, 0 if unknown."""
        if self.link is None:
            return 0.0
        return self.link.wait_ms + self.request_bytes / max(self.link.bytes_per_ms, 0.001)

    @property
    def admitted_ms(self) -> float:
        """Return how long the request takes from its admission to its answer."""
        return self.link_ms + self.wait_ms + self.service_ms

    @property
    def finish_ms(self) -> float:
        """Return the predicted time to the answer, with the wait at this balancer."""
        return self.queue_ms + self.admitted_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The flow is placed now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The flow waits for room, at the latest until `until`."""

    until: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The flow is refused."""

    reason: Reason


Verdict = Admit | Wait | Refuse


def is_stated(traits: routes.RequestTraits) -> bool:
    """Return whether a route states what admission needs: a time limit or an objective."""
    return bool(traits.timeout_ms or traits.objective_ms)


def opened_at(copy_number: int, now: int) -> int:
    """Return when the caller sent the first opening packet, if this copy has just arrived."""
    return now - COPY_SENT_MS[min(copy_number, len(COPY_SENT_MS) - 1)]


def decide(request: Request, room: Room, now: int) -> Verdict:
    """Return whether the flow is admitted, waits or is refused."""
    if is_past_limit(request, room, now):
        return refuse_when_safe(request, Reason.TIME_LIMIT, now) or Refuse(Reason.TIME_LIMIT)
    is_unopened = request.is_unopened(now)
    if is_unopened and is_late_upload(request, room, now):
        return Refuse(Reason.NARROW_LINK)
    objective_at = request.opened_at + request.objective_ms
    if room.has_room and not room.ahead and now + room.link_ms + room.wait_ms <= objective_at:
        return Admit()
    until = wait_until(request, room)
    if now < until:
        is_crowded = is_unopened and room.queue_ms > QUEUE_SHARE * (until - now)
        return Refuse(Reason.CROWDED) if is_crowded else Wait(until)
    return decide_last(request, room, now)


def decide_last(request: Request, room: Room, now: int) -> Verdict:
    """Return the verdict on a flow whose wait has ended.

    Without room it is refused if that is safe. Otherwise its caller would get nothing until it
    gives up, so it is placed all the same.
    """
    if room.has_room or not is_stated(request.traits):
        return Admit()
    return refuse_when_safe(request, Reason.NO_ROOM, now) or Admit()


def refuse_when_safe(request: Request, reason: Reason, now: int) -> Verdict | None:
    """Return the refusal if a reset is safe, a wait if it may be safe soon, or None.

    A copy that the caller is sending about now may still arrive here, which shows that no other
    balancer has received it.
    """
    if request.is_unopened(now):
        return Refuse(reason)
    due = request.copy_due(now)
    return Wait(due) if due is not None else None


def is_past_limit(request: Request, room: Room, now: int) -> bool:
    """Return whether the answer would be past the time limit."""
    limit = request.traits.timeout_ms
    return bool(limit) and now + room.finish_ms > request.opened_at + limit


def is_late_upload(request: Request, room: Room, now: int) -> bool:
    """Return whether an upload can't finish within its objective over a narrowed link.

    Its next try may reach another balancer, whose link is not narrowed.
    """
    if request.traits.kind is not routes.RequestKind.UPLOAD or not request.traits.objective_ms:
        return False
    if room.link is None or not room.link.is_narrowed:
        return False
    return now + room.finish_ms > request.opened_at + request.traits.objective_ms


def wait_until(request: Request, room: Room) -> int:
    """Return until when the flow may wait: then its answer can still meet the objective."""
    objective = request.objective_ms
    allowed = max(objective - room.admitted_ms, objective * MIN_WAIT_SHARE)
    return request.opened_at + int(min(MAX_WAIT_MS, allowed))
