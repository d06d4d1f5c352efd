"""Detect failing peers passively (outlier detection) and let them return gradually.

Failures are detected in real traffic; only suspected peers are probed. A suspected peer gets no
traffic for a hold time and is then probed, with at most `probes` probes under way over all peers;
`returns` successful probes in a row end the suspicion and start a ramp. Each suspicion soon after
the last one doubles the hold time (route flap damping, RFC 2439), so a flapping peer stays out of
use. Times are in milliseconds.
"""

import collections
import dataclasses
import typing

from ebonystile.core.placing import load
from ebonystile.peer import messages

MAX_PEERS = 4096
"""Peers with a record; only peers that failed recently have one."""


PANIC = 0.5
"""Share of the known peers; if more are suspected, suspicion is ignored."""


def is_panic(suspected: int, known: int) -> bool:
    """Return whether so many peers are suspected that suspicion is to be ignored (panic mode).

    If most peers fail, the cause is probably elsewhere, or the rest cannot carry the load: leaving
    the suspected ones out would overload the others and turn a brown-out into an outage.
    """
    return suspected > PANIC * known


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When a peer becomes suspected, and for how long.

    A peer is suspected after `failures` failures in a row, or a share `share` of failures among
    the last `window` results. The hold time is `hold` ms at first, doubles with each further
    suspicion up to `longest` ms, and halves again with each `calm` ms without one.
    """

    failures: int = 3
    share: float = 0.5
    window: int = 20
    hold: int = 2000
    longest: int = 120_000
    calm: int = 60_000
    probes: int = 2
    probe_timeout: int = 1000
    returns: int = 2


@dataclasses.dataclass(slots=True)
class Peer:
    """The record of a peer that failed recently."""

    results: collections.deque[bool]
    in_a_row: int = 0
    flaps: int = 0
    touched: int = 0
    suspected_until: int | None = None
    probe_until: int | None = None
    good_probes: int = 0
    returned: int | None = None


class Suspicion:
    """The suspicion of a set of peers, by name."""

    def __init__(self, rules: Rules):
        self.rules = rules
        self.peers: dict[str, Peer] = {}

    def succeeded(self, name: str, now: int) -> None:
        """Record a success in real traffic."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.results.append(True)
        peer.in_a_row = 0
        self.calm_down(name, peer, now)

    def failed(self, name: str, now: int) -> bool:
        """Record a failure in real traffic; return whether the peer is suspected because of it."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                return False
            peer = self.peers[name] = Peer(collections.deque(maxlen=self.rules.window))
        peer.results.append(False)
        peer.in_a_row += 1
        if peer.suspected_until is not None or not self.bad(peer):
            peer.touched = now
            return False
        self.suspect(peer, now)
        return True

    def bad(self, peer: Peer) -> bool:
        """Return whether the peer's results exceed the failure limits."""
        if peer.in_a_row >= self.rules.failures:
            return True
        failures = sum(1 for good in peer.results if not good)
        return (
            len(peer.results) == self.rules.window
            and failures >= self.rules.share * self.rules.window
        )

    def suspect(self, peer: Peer, now: int) -> None:
        """Suspect the peer for a hold time that doubles with each flap."""
        peer.flaps = max(0, peer.flaps - (now - peer.touched) // self.rules.calm)
        held = min(self.rules.hold << min(peer.flaps, 16), self.rules.longest)
        peer.suspected_until = now + held
        peer.flaps += 1
        peer.touched = now
        peer.good_probes = 0
        peer.probe_until = None
        peer.returned = None
        peer.results.clear()

    def calm_down(self, name: str, peer: Peer, now: int) -> None:
        """Remove the record of a peer that has had no failure for long enough."""
        if peer.suspected_until is None and now - peer.touched > self.rules.calm * (peer.flaps + 1):
            del self.peers[name]

    def suspected(self, name: str) -> bool:
        """Return whether the peer is suspected; only successful probes end a suspicion."""
        peer = self.peers.get(name)
        return peer is not None and peer.suspected_until is not None

    def due_probes(self, now: int) -> list[str]:
        """Return the names of the peers to probe now; each result is to be passed to `probed`.

        A probe without a result counts as failed after `probe_timeout` ms. The longest overdue
        peers come first, and at most `probes` probes are under way at a time.
        """
        for peer in self.peers.values():
            if peer.probe_until is not None and peer.probe_until <= now:
                self.probe_failed(peer, now)
        out = sum(1 for p in self.peers.values() if p.probe_until is not None)
        due = [
            (peer.suspected_until, name)
            for name, peer in self.peers.items()
            if peer.suspected_until is not None
            and peer.suspected_until <= now
            and peer.probe_until is None
        ]
        chosen = [name for _, name in sorted(due)[: max(0, self.rules.probes - out)]]
        for name in chosen:
            self.peers[name].probe_until = now + self.rules.probe_timeout
        return chosen

    def probed(self, name: str, good: bool, now: int) -> bool:
        """Record the result of a probe; return whether it ended the suspicion."""
        peer = self.peers.get(name)
        if peer is None or peer.suspected_until is None:
            return False
        if not good:
            self.probe_failed(peer, now)
            return False
        peer.probe_until = None
        peer.good_probes += 1
        if peer.good_probes < self.rules.returns:
            return False
        peer.suspected_until = None
        peer.returned = now
        peer.touched = now
        peer.in_a_row = 0
        peer.results.clear()
        return True

    def probe_failed(self, peer: Peer, now: int) -> None:
        """Start the hold time again, as long as the last one."""
        peer.probe_until = None
        peer.good_probes = 0
        held = min(self.rules.hold << min(max(peer.flaps - 1, 0), 16), self.rules.longest)
        peer.suspected_until = now + held

    def ramp(self, name: str, now: int, length: int) -> int:
        """Return the share of its weight, in thousandths, that a peer gets after a suspicion."""
        peer = self.peers.get(name)
        if peer is None or peer.returned is None:
            return messages.FULL_RAMP
        return load.Ramp(peer.returned, length).at(now)

    def keep(self, names: typing.Container[str]) -> None:
        """Remove the records of peers that are not in `names`."""
        self.peers = {n: p for n, p in self.peers.items() if n in names}
