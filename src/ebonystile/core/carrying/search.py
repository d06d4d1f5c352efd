"""Follow one search: whom a balancer has asked about a flow, and what they said."""

import dataclasses
import typing

from ebonystile.core import view
from ebonystile.core.carrying import effects, fleet, messages, packet

WAVE_MS = 20
"""How long a wave of questions is waited for before the next one, in ms: a round trip between
availability zones takes 2 ms, the rest is for instances that are slow."""

GIVE_UP_MS = 350
"""How long a search takes at most, in ms. An instance whose share of a core is used up stands still
for up to 100 ms; the caller's next copy comes 200 and 400 ms after the last."""

UNLISTED_MS = 120
"""How long sidecars without an entry are waited for when nobody else is, in ms: an instance whose
share of a core is used up stands still for up to 100 ms, and most of them are gone for good."""

PROBE_MS = 400
"""How long an upstream that was probed is waited for, in ms."""

SILENCE_MS = 1_000
"""How long a sidecar that did not answer is left out of the choice for new flows, in ms."""

PROBED_BLIND = 2
"""Upstreams probed with a packet of an unknown flow while another sidecar is silent."""

PROBED_EARLY = 22
"""Upstreams probed with a packet of an unknown flow before the view is confirmed: more than are
asked to take a new flow."""

MAX_PACKETS = 16
"""Packets held during a search: as many as a sender has under way."""

FIRST_WAVE = 11
"""Sidecars asked at once for an open flow, in the order in which those for a new flow are: eight of
the own zone and the first three of others. A service has about 5 upstreams at the target size."""

LATER_WAVE = 256
"""Sidecars asked in each further wave: within what the budget of such messages gives at once."""


@dataclasses.dataclass(slots=True)
class Search:
    """One search; `due` is when to go on, `give_up_at` when to end, in ms.

    `service` is that of a flow to be opened, empty for one that is open somewhere. `later` gives
    the waves after the last of `waves`, worked out only if they are wanted. `probed` holds whose
    upstreams were given a packet to find out, `excluded` who gave one back.
    `revision` is the furthest that any of them has read the store, `asked_at` when the last of them
    were asked or probed, in ms. `looks` counts the searches for an open flow in a row, with this
    one. `held` marks a new flow that waits since all upstreams are
    overloaded.
    """

    flow: packet.Flow
    service: str
    packets: list[packet.Packet]
    waves: list[list[fleet.Upstream]]
    started_at: int
    due: int
    later: typing.Callable[[], list[list[fleet.Upstream]]] | None = None
    previous: typing.Any = None
    give_up_at: int = 0
    asked_at: int = 0
    asked: dict[view.Address, fleet.Upstream] = dataclasses.field(default_factory=dict)
    answers: dict[view.Address, tuple[fleet.Upstream, messages.Answer]] = dataclasses.field(
        default_factory=dict
    )
    looks: int = 1
    held: bool = False
    revision: int = 0
    excluded: set[view.Address] = dataclasses.field(default_factory=set)
    probed: set[view.Address] = dataclasses.field(default_factory=set)

    @property
    def opening(self) -> bool:
        """Tell whether the flow is to be opened."""
        return bool(self.service)

    def hold(self, received: packet.Packet) -> None:
        """Keep a further packet of the flow until the search is over."""
        if len(self.packets) < MAX_PACKETS:
            self.packets.append(received)

    @property
    def goes_on(self) -> bool:
        """Tell whether there is a wave left."""
        return bool(self.waves) or self.later is not None

    def next_wave(self, now: int) -> list[fleet.Upstream]:
        """Return whom to ask now."""
        if not self.waves and self.later is not None:
            self.waves, self.later = self.later(), None
        wave = [u for u in self.waves.pop(0) if u.address not in self.asked]
        self.asked.update((u.address, u) for u in wave)
        self.asked_at = now
        self.due = now + WAVE_MS
        self.give_up_at = max(self.give_up_at, now + GIVE_UP_MS)
        return wave

    def answer(self, upstream: fleet.Upstream, answer: messages.Answer) -> bool:
        """Take in an answer; tell whether it was asked for."""
        if upstream.address not in self.asked and not self.probed:
            return False
        self.answers[upstream.address] = (upstream, answer)
        self.revision = max(self.revision, answer.revision)
        return True

    def decisive(self, answer: messages.Answer) -> bool:
        """Tell whether the answer ends the search by itself."""
        return answer.flow_status >= messages.FlowStatus.OFFERED

    def exclude(self, address: view.Address) -> None:
        """Leave out an upstream that gave the flow's packet back."""
        self.excluded.add(address)
        self.asked.pop(address, None)
        self.answers.pop(address, None)

    def keeper(self) -> fleet.Upstream | None:
        """Return the upstream that holds the flow, or has accepted it, if one said so."""
        kept = [
            (answer.flow_status, upstream)
            for upstream, answer in self.answers.values()
            if self.decisive(answer) and upstream.address not in self.excluded
        ]
        return max(kept, key=lambda pair: pair[0])[1] if kept else None

    def in_order(self) -> list[tuple[fleet.Upstream, messages.Answer]]:
        """Return the answers in the order of asking, which differs from flow to flow."""
        return [self.answers[address] for address in self.asked if address in self.answers]

    def unknown(self) -> list[fleet.Upstream]:
        """Return the upstreams that may hold the flow without their sidecar's knowing."""
        return [
            u
            for u, a in self.in_order()
            if a.flow_status is messages.FlowStatus.UNKNOWN and u.address not in self.probed
        ]

    def open_probes(self) -> bool:
        """Tell whether an upstream that was probed has neither kept nor returned the packet yet."""
        return bool(self.probed) and not self.probed <= self.excluded

    def unanswered(self) -> list[fleet.Upstream]:
        """Return those that were asked and have not answered."""
        return [u for address, u in self.asked.items() if address not in self.answers]

    def awaited(self) -> list[fleet.Upstream]:
        """Return those whose answer is still due, be it to a question or to a probe."""
        probed = [self.asked[a] for a in self.probed - self.excluded if a in self.asked]
        return [*self.unanswered(), *probed]

    def all_answered(self) -> bool:
        """Tell whether everybody asked has answered."""
        return len(self.answers) >= len(self.asked)

    def exhausted(self) -> bool:
        """Tell whether nobody is left who could still say something new."""
        return self.settled() and not self.goes_on and not self.unknown()

    def wave_over(self, now: int) -> bool:
        """Tell whether there is nothing to wait for in the present wave."""
        return self.settled() or now >= self.due

    def trace_end(self, now: int, *, reset: bool, **more: typing.Any) -> effects.Effect:
        """Return the log line of a search that ends in vain; `reset` if its caller is told."""
        return effects.trace(
            "not_placed" if self.opening else "not_found",
            flow=packet.flow_text(self.flow),
            asked=len(self.asked),
            answered=len(self.answers),
            reset=reset,
            searched_ms=now - self.started_at,
            **more,
        )

    def settled(self) -> bool:
        """Tell whether everybody has said what there is to say for now."""
        return self.all_answered() and not self.open_probes()


def later_waves(
    rest: list[fleet.Upstream], others: typing.Iterable[fleet.Upstream]
) -> list[list[fleet.Upstream]]:
    """Return whom to ask about an open flow after the first wave."""
    rest = [*rest, *others]
    return [rest[at : at + LATER_WAVE] for at in range(0, len(rest), LATER_WAVE)]


def with_first(former: fleet.Upstream, wave: list[fleet.Upstream]) -> list[fleet.Upstream]:
    """Return the wave with the upstream known so far in it."""
    return [former, *(u for u in wave if u.address != former.address)]
