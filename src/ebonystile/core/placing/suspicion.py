"""Detect failing peers passively (outlier detection) and let them return gradually.

Failures are detected in real traffic; only suspected peers are probed. A suspected peer gets no
traffic for a hold time and is then probed, with at most `max_probes` probes under way over all
peers; `successes_to_return` successful probes in a row end the suspicion and start a ramp. Each
suspicion soon after the last one doubles the hold time (route flap damping, RFC 2439), so a
flapping peer stays out of use. Times are in milliseconds.
"""

import collections
import dataclasses
import typing

from ebonystile.core.placing import load
from ebonystile.peer import messages

MAX_PEERS = 4096
"""Peers with a record; only peers that failed recently have one."""


PANIC_SHARE = 0.5
"""Share of the known peers; if more are suspected, suspicion is ignored."""


def is_panic(suspected: int, known: int) -> bool:
    """Return whether so many peers are suspected that suspicion is to be ignored (panic mode).

    If most peers fail, the cause is probably elsewhere, or the rest cannot carry the load: leaving
    the suspected ones out would overload the others and turn a brown-out into an outage.
    """
    return suspected > PANIC_SHARE * known


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When a peer becomes suspected, and for how long.

    A peer is suspected after `failures` failures in a row, or a share `failure_share` of failures
    among the last `window` results. The hold time is `hold_ms` at first, doubles with each further
    suspicion up to `max_hold_ms`, and halves again with each `forgive_after_ms` without one.
    """

    failures: int = 3
    failure_share: float = 0.5
    window: int = 20
    hold_ms: int = 2000
    max_hold_ms: int = 120_000
    forgive_after_ms: int = 60_000
    max_probes: int = 2
    probe_timeout_ms: int = 1000
    successes_to_return: int = 2


@dataclasses.dataclass(slots=True)
class Peer:
    """The record of a peer that failed recently."""

    results: collections.deque[bool]
    consecutive_failures: int = 0
    flaps: int = 0
    updated_at: int = 0
    suspected_until: int | None = None
    probe_deadline: int | None = None
    probe_successes: int = 0
    returned_at: int | None = None


class Suspicion:
    """The suspicion of a set of peers, by name."""

    def __init__(self, rules: Rules):
        self.rules = rules
        self.peers: dict[str, Peer] = {}

    def record_success(self, name: str, now: int) -> None:
        """Record a success in real traffic."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.results.append(True)
        peer.consecutive_failures = 0
        self.forgive(name, peer, now)

    def record_failure(self, name: str, now: int) -> bool:
        """Record a failure in real traffic; return whether the peer is suspected because of it."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                return False
            peer = self.peers[name] = Peer(collections.deque(maxlen=self.rules.window))
        peer.results.append(False)
        peer.consecutive_failures += 1
        if peer.suspected_until is not None or not self.is_failing(peer):
            peer.updated_at = now
            return False
        self.suspect(peer, now)
        return True

    def is_failing(self, peer: Peer) -> bool:
        """Return whether the peer's results reach a limit of failures."""
        if peer.consecutive_failures >= self.rules.failures:
            return True
        failures = sum(1 for success in peer.results if not success)
        return (
            len(peer.results) == self.rules.window
            and failures >= self.rules.failure_share * self.rules.window
        )

    def suspect(self, peer: Peer, now: int) -> None:
        """Suspect the peer for a hold time that doubles with each flap."""
        peer.flaps = max(0, peer.flaps - (now - peer.updated_at) // self.rules.forgive_after_ms)
        hold_ms = min(self.rules.hold_ms << min(peer.flaps, 16), self.rules.max_hold_ms)
        peer.suspected_until = now + hold_ms
        peer.flaps += 1
        peer.updated_at = now
        peer.probe_successes = 0
        peer.probe_deadline = None
        peer.returned_at = None
        peer.results.clear()

    def forgive(self, name: str, peer: Peer, now: int) -> None:
        """Remove the record of a peer that has had no failure for long enough."""
        if peer.suspected_until is None and now - peer.updated_at > self.rules.forgive_after_ms * (
            peer.flaps + 1
        ):
            del self.peers[name]

    def is_suspected(self, name: str) -> bool:
        """Return whether the peer is suspected; only successful probes end a suspicion."""
        peer = self.peers.get(name)
        return peer is not None and peer.suspected_until is not None

    def due_probes(self, now: int) -> list[str]:
        """Return the names of the peers to probe now; pass each result to `record_probe`.

        A probe without a result counts as failed after `probe_timeout_ms`. The longest overdue
        peers come first, and at most `max_probes` probes are under way at a time.
        """
        for peer in self.peers.values():
            if peer.probe_deadline is not None and peer.probe_deadline <= now:
                self.restart_hold(peer, now)
        under_way = sum(1 for p in self.peers.values() if p.probe_deadline is not None)
        due = [
            (peer.suspected_until, name)
            for name, peer in self.peers.items()
            if peer.suspected_until is not None
            and peer.suspected_until <= now
            and peer.probe_deadline is None
        ]
        chosen = [name for _, name in sorted(due)[: max(0, self.rules.max_probes - under_way)]]
        for name in chosen:
            self.peers[name].probe_deadline = now + self.rules.probe_timeout_ms
        return chosen

    def record_probe(self, name: str, success: bool, now: int) -> bool:
        """Record the result of a probe; return whether it ended the suspicion."""
        peer = self.peers.get(name)
        if peer is None or peer.suspected_until is None:
            return False
        if not success:
            self.restart_hold(peer, now)
            return False
        peer.probe_deadline = None
        peer.probe_successes += 1
        if peer.probe_successes < self.rules.successes_to_return:
            return False
        peer.suspected_until = None
        peer.returned_at = now
        peer.updated_at = now
        peer.consecutive_failures = 0
        peer.results.clear()
        return True

    def restart_hold(self, peer: Peer, now: int) -> None:
        """Start the hold time again, as long as the last one."""
        peer.probe_deadline = None
        peer.probe_successes = 0
        hold_ms = min(self.rules.hold_ms << min(max(peer.flaps - 1, 0), 16), self.rules.max_hold_ms)
        peer.suspected_until = now + hold_ms

    def ramp_share(self, name: str, now: int, duration_ms: int) -> int:
        """Return the share of its weight, in thousandths, that a peer gets after a suspicion."""
        peer = self.peers.get(name)
        if peer is None or peer.returned_at is None:
            return messages.FULL_RAMP
        return load.Ramp(peer.returned_at, duration_ms).share_at(now)

    def retain(self, names: typing.Container[str]) -> None:
        """Remove the records of peers that are not in `names`."""
        self.peers = {n: p for n, p in self.peers.items() if n in names}
