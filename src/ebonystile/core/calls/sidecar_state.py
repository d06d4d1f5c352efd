"""The state of a sidecar's core, and the operations that its modules share.

`opening`, `requests`, `feeds`, `siblings` and `handover` change this state and append effects;
`sidecar.decide` is the only entry point.
"""

import dataclasses

from ebonystile.caller import messages as caller_messages
from ebonystile.core import rng, view
from ebonystile.core.calls import effects, flows, ledger
from ebonystile.core.placing import balance, ranking
from ebonystile.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one sidecar. Times are in ms, sizes in bytes.

    A flow that must move and that no sibling accepts is offered again every `successor_retry_ms`,
    and its lease is shortened to `waiting_lease_ms`. That leaves time for three heartbeats, and is
    well below the 30 s after which common supervisors kill a process.
    """

    slots: int = 2
    max_queued: int = 64
    max_flows: int = 2_000
    max_records: int = 50_000
    max_upload_bytes: int = 64 << 20
    max_answer_bytes: int = 19 << 20
    max_stored_answer_bytes: int = 256 << 20
    flow_lease_ms: int = 300_000
    ledger_margin_ms: int = 5_000
    max_deadline_ms: int = 600_000
    feed_window: int = 32
    feed_resend_ms: int = 300
    feed_poll_ms: int = 1_000
    handover_retry_ms: int = 250
    handover_timeout_ms: int = 20_000
    successor_retry_ms: int = 1_000
    waiting_lease_ms: int = 10_000
    transfer_memory_ms: int = 600_000
    max_transfer_bytes: int = 1_500_000
    max_pause_ms: int = 3_000


@dataclasses.dataclass(slots=True)
class FeedSource:
    """One feed of the upstream, polled once for all its subscribers.

    `events` maps positions to bodies and holds at most `MAX_SOURCE_EVENTS`.
    """

    path: str
    service: str
    events: dict[int, bytes] = dataclasses.field(default_factory=dict)
    newest: int = 0
    polling: bool = False
    poll_at: int = 0


MAX_SOURCE_EVENTS = 1024
"""Maximum number of events of a feed kept for slow subscribers; others are polled again."""


class SidecarState:
    """The state of one sidecar, created with a new incarnation at every start."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        limits: Limits,
        randomness: rng.Rng,
        now: int,
        policy: balance.Policy = balance.DEFAULT_POLICY,
    ):
        self.name = name
        self.key = view.key_of(name)
        self.incarnation = incarnation
        self.limits = limits
        self.randomness = randomness
        self.view = view.EMPTY
        self.served_services: frozenset[str] = frozenset()
        self.flows: dict[bytes, flows.Flow] = {}
        self.ledger = ledger.Ledger(limits.max_records, limits.ledger_margin_ms)
        self.slots = balance.make_limiter(policy, limits.slots, limits.max_queued)
        self.balance = balance.LoadState(policy, now)
        self.sources: dict[str, FeedSource] = {}
        self.upload_bytes = 0
        self.leaving_reason = ""
        self.is_leaving_by_view = False
        self.has_flows_to_move = False
        self.feed_flow_ids: set[bytes] = set()
        self.leases_checked_at = now
        self.is_caught_up = True
        self.last_event_at = now
        self.accepted_transfers: dict[bytes, int] = {}
        self.refused_transfers: dict[bytes, int] = {}
        self.handover_count = 0
        self.next_balancer = 0
        self.effects: list[effects.Effect] = []

    def take_effects(self) -> list[effects.Effect]:
        """Return the effects collected so far and clear the list."""
        gathered = self.effects
        self.effects = []
        return gathered

    def emit(self, effect: effects.Effect) -> None:
        """Append an effect."""
        self.effects.append(effect)

    def trace(self, event: str, flow: bytes = b"", request: bytes = b"", **fields) -> None:
        """Append a `Trace` effect."""
        self.emit(effects.Trace(event, flow, request, tuple(fields.items())))

    def send_to_caller(
        self, caller: view.Address, via: view.Address, message: caller_messages.ToCaller
    ) -> None:
        """Send a message to a caller through the balancer `via`, or another if that one is gone.

        Any balancer can relay any answer, so a replaced balancer loses none.
        """
        balancers = self.view.balancers
        if balancers and via not in balancers:
            via = self.another_balancer(via)
        self.emit(effects.ToCaller(via, caller, caller_messages.TO_CALLER.encode(message)))

    def another_balancer(self, other_than: view.Address) -> view.Address:
        """Return a balancer other than `other_than` in round-robin order, if there is one."""
        choices = [b for b in self.view.balancers if b != other_than]
        if not choices:
            return other_than
        self.next_balancer += 1
        return choices[self.next_balancer % len(choices)]

    def send_to_flow(self, flow: flows.Flow, message: caller_messages.ToCaller) -> None:
        """Send a message to a flow's caller, at its last known address and balancer."""
        self.send_to_caller(flow.caller, flow.via, message)

    def siblings(self, service: str) -> list[view.Endpoint]:
        """Return the other upstreams of the service that accept new work."""
        known = self.view.services.get(service)
        if known is None:
            return []
        return [u for u in known.accepting if u.key != self.key]

    def can_start(self, service: str) -> bool:
        """Return whether new work for the service may start here now."""
        return not self.leaving_reason and self.is_caught_up and service in self.served_services

    def forward_to_next(self, forward: messages.Forward, flow: bytes, service: str) -> bool:
        """Forward a datagram to the next sidecar of the flow's ranking; False if all were tried.

        Upstreams that accept new work come first, since a handover moves a flow to one of them;
        leaving ones may still hold it. If the list of visited sidecars is full, the datagram is
        dropped without an answer: the flow may still be held by a sidecar that was not tried.
        """
        known = self.view.services.get(service)
        if known is None:
            return False
        visited = (*forward.visited, self.key)
        ranked = ranking.rank(flow, (u for u in known.upstreams if u.key not in visited))
        ranked.sort(key=lambda u: u.leaving)
        if not ranked:
            return False
        if len(visited) <= messages.MAX_VISITED:
            self.forward_to(ranked[0], forward)
        return True

    def forward_to(self, target: view.Endpoint, forward: messages.Forward) -> None:
        """Forward a datagram to another sidecar and add this one to its visited list."""
        passed = messages.Forward(
            forward.caller, forward.via, (*forward.visited, self.key), forward.payload
        )
        self.emit(effects.ToSidecar(target.address, passed))
