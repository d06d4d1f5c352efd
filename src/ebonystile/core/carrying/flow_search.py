"""Track one search: the sidecars that a balancer has asked about a flow, and their answers."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import effects, fleet, messages, packet, routes

ROUND_MS = 20
"""Time allowed for the answers to a round of queries before the next one is sent, in ms. A round
trip between availability zones takes 2 ms; the rest is for slow instances."""

SEARCH_TIMEOUT_MS = 350
"""Time limit of a search after its last round, in ms. An instance that exceeds its CPU quota stalls
for up to 100 ms; a caller retransmits 200 and 400 ms after the last copy."""

UNLISTED_TIMEOUT_MS = 120
"""Time limit in ms of a search that waits only for sidecars without an entry. Most of those have
ended; an instance that exceeds its CPU quota stalls for up to 100 ms."""

PROBE_TIMEOUT_MS = 400
"""Time allowed for the answer to a probe, in ms."""

SIDECAR_EXCLUSION_MS = 1_000
"""How long a sidecar that did not answer is not asked to take new flows, in ms."""

MAX_BLIND_PROBES = 2
"""Limit of upstreams probed for one flow while a sidecar that was asked has not answered."""

MAX_EARLY_PROBES = 22
"""Limit of upstreams probed for one flow before the view is confirmed: more than are asked to take
a new flow."""

MAX_HELD_PACKETS = 16
"""Packets held during a search: a sender has no more in flight."""

FIRST_ROUND_SIZE = 11
"""Sidecars in the first round for an open flow, in the order used for a new flow: eight of the
same zone and three of others. A service usually has fewer upstreams."""

LATER_ROUND_SIZE = 256
"""Sidecars in each later round: within the burst of the budget `fan_out_budget`."""


@dataclasses.dataclass(slots=True)
class Search:
    """The state of one search; times in ms.

    `service` is that of a flow to be opened, empty for one that is already open. `due` is the time
    of the next step, `deadline` that of the end, `asked_at` that of the last round or probe.
    `make_later_rounds` computes the rounds that follow `rounds`, at least one, when they are
    needed; it is set by `plan_later_rounds`. `probed` holds the addresses that were sent a probe,
    `excluded` those that answered a probe with ABSENT or returned a packet; `probed_with_answered`
    is set if the probes carried a packet that an upstream answers. `revision` is the newest
    revision of the store in the answers. `attempt` counts the consecutive searches for an open
    flow, including this one. `is_deferred` is set while a new flow waits because all upstreams are
    overloaded. `opened_at` is when the caller of a new flow sent its first opening packet, `route`
    and `version` are those of the configuration that named its service, and `was_forwarded` is set
    if this balancer may have forwarded one of the packets.
    """

    flow: packet.Flow
    service: str
    packets: list[packet.Packet]
    rounds: list[list[fleet.Upstream]]
    started_at: int
    due: int
    make_later_rounds: typing.Callable[[], list[list[fleet.Upstream]]] | None = None
    previous_home: typing.Any = None
    deadline: int = 0
    asked_at: int = 0
    asked: dict[view.Address, fleet.Upstream] = dataclasses.field(default_factory=dict)
    answers: dict[view.Address, tuple[fleet.Upstream, messages.Answer]] = dataclasses.field(
        default_factory=dict
    )
    attempt: int = 1
    is_deferred: bool = False
    opened_at: int = 0
    route: routes.Route | None = None
    version: int = 0
    was_forwarded: bool = False
    revision: int = 0
    excluded: set[view.Address] = dataclasses.field(default_factory=set)
    probed: set[view.Address] = dataclasses.field(default_factory=set)
    probed_with_answered: bool = False

    @property
    def is_opening(self) -> bool:
        """Return whether the search is for a new flow."""
        return bool(self.service)

    def continue_from(self, former: "Search") -> None:
        """Take over the packets and times of the former search for the same new flow."""
        self.started_at = former.started_at
        self.opened_at = former.opened_at
        self.packets = former.packets
        self.was_forwarded = self.was_forwarded or former.was_forwarded

    def add_packet(self, received: packet.Packet) -> None:
        """Store a further packet of the flow until the search ends."""
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(received)

    def plan_later_rounds(
        self, upstream_count: int, make: typing.Callable[[], list[list[fleet.Upstream]]]
    ) -> None:
        """Set how the rounds that follow `rounds` are computed, from `upstream_count` upstreams.

        A search that expects a round which turns out to ask nobody would end the process. So
        without upstreams there is no later round, and the search ends by the answers it has.
        """
        self.make_later_rounds = make if upstream_count else None

    @property
    def has_next_round(self) -> bool:
        """Return whether there is a round left to ask."""
        return bool(self.rounds) or self.make_later_rounds is not None

    def next_round(self, now: int) -> list[fleet.Upstream]:
        """Start the next round and return its upstreams."""
        if not self.rounds and self.make_later_rounds is not None:
            self.rounds, self.make_later_rounds = self.make_later_rounds(), None
        upstreams = [u for u in self.rounds.pop(0) if u.address not in self.asked]
        self.asked.update((u.address, u) for u in upstreams)
        self.asked_at = now
        self.due = now + ROUND_MS
        self.deadline = max(self.deadline, now + SEARCH_TIMEOUT_MS)
        return upstreams

    def record_answer(self, upstream: fleet.Upstream, answer: messages.Answer) -> bool:
        """Record an answer; return False if its sidecar was not asked and no probe was sent."""
        if upstream.address not in self.asked and not self.probed:
            return False
        self.answers[upstream.address] = (upstream, answer)
        self.revision = max(self.revision, answer.revision)
        return True

    def is_decisive(self, answer: messages.Answer) -> bool:
        """Return whether the answer names its upstream as the flow's home."""
        return answer.flow_status >= messages.FlowStatus.OFFERED

    def exclude(self, address: view.Address) -> None:
        """Exclude an upstream that does not hold the flow, or did not accept it."""
        self.excluded.add(address)
        self.asked.pop(address, None)
        self.answers.pop(address, None)

    def holder(self) -> fleet.Upstream | None:
        """Return the upstream that holds the flow or has accepted it, or None."""
        holders = [
            (answer.flow_status, upstream)
            for upstream, answer in self.answers.values()
            if self.is_decisive(answer) and upstream.address not in self.excluded
        ]
        return max(holders, key=lambda pair: pair[0])[1] if holders else None

    def ordered_answers(self) -> list[tuple[fleet.Upstream, messages.Answer]]:
        """Return the answers in the order of the queries, which differs from flow to flow."""
        return [self.answers[address] for address in self.asked if address in self.answers]

    def uncertain_upstreams(self) -> list[fleet.Upstream]:
        """Return the upstreams whose sidecars answered UNKNOWN and that were not probed."""
        return [
            u
            for u, a in self.ordered_answers()
            if a.flow_status is messages.FlowStatus.UNKNOWN and u.address not in self.probed
        ]

    def probe_packet(self) -> packet.Packet:
        """Return the packet to probe with: one that an upstream answers, if there is any."""
        return next((p for p in self.packets if p.is_answered), self.packets[0])

    def has_silent_probes(self) -> bool:
        """Return whether probes are unanswered that an upstream which holds the flow ignores."""
        return self.has_open_probes() and not self.probed_with_answered

    def has_open_probes(self) -> bool:
        """Return whether a probed upstream has not returned the packet yet."""
        return bool(self.probed) and not self.probed <= self.excluded

    def unanswered(self) -> list[fleet.Upstream]:
        """Return the upstreams whose sidecars were asked and have not answered."""
        return [u for address, u in self.asked.items() if address not in self.answers]

    def pending_upstreams(self) -> list[fleet.Upstream]:
        """Return the upstreams with an unanswered query or probe."""
        probed = [self.asked[a] for a in self.probed - self.excluded if a in self.asked]
        return [*self.unanswered(), *probed]

    def has_all_answers(self) -> bool:
        """Return whether every sidecar asked has answered."""
        return len(self.answers) >= len(self.asked)

    def is_exhausted(self) -> bool:
        """Return whether no further query, probe or answer can change the result."""
        return self.is_settled() and not self.has_next_round and not self.uncertain_upstreams()

    def is_round_over(self, now: int) -> bool:
        """Return whether the present round is answered or its time is over."""
        return self.is_settled() or now >= self.due

    def trace_end(self, now: int, *, reset: bool, **more: typing.Any) -> effects.Effect:
        """Return the log event of a failed search; `reset` is whether the caller gets a reset."""
        return effects.trace(
            "not_placed" if self.is_opening else "not_found",
            flow=packet.flow_text(self.flow),
            asked=len(self.asked),
            answered=len(self.answers),
            reset=reset,
            searched_ms=now - self.started_at,
            **more,
        )

    def is_settled(self) -> bool:
        """Return whether all queries and probes sent so far are answered."""
        return self.has_all_answers() and not self.has_open_probes()


def split_into_rounds(
    likely: list[fleet.Upstream], others: typing.Iterable[fleet.Upstream]
) -> list[list[fleet.Upstream]]:
    """Return the rounds for an open flow after the first one."""
    likely = [*likely, *others]
    return [likely[at : at + LATER_ROUND_SIZE] for at in range(0, len(likely), LATER_ROUND_SIZE)]


def prepend_upstream(
    upstream: fleet.Upstream, upstreams: list[fleet.Upstream]
) -> list[fleet.Upstream]:
    """Return the round with the flow's former home moved to its head."""
    return [upstream, *(u for u in upstreams if u.address != upstream.address)]
