"""Decide whether a sidecar keeps an open or passes it to a sibling.

A balancer gets no load reports and sends an open (the request for a new flow) to an upstream by the
flow's ranking alone. The sidecar that receives it compares its own exact load with its siblings'
recent reports.
"""

import dataclasses
import functools
import math
import typing

from ebonystile.core import rng, view
from ebonystile.core.placing import load, ranking, suspicion
from ebonystile.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class KeepLocal:
    """Keep every open where the ranking placed it: rendezvous hashing alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class RandomUpstream:
    """Choose any upstream at random; a baseline for comparisons."""


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedLoads:
    """Take the first upstream of the ranking whose work is at most `factor` times the mean.

    Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
    """

    factor: float = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """Compare the own load with that of `candidates` randomly chosen siblings.

    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001. An open
    is passed on only if the difference is at least `work_gap` requests per slot or, where the
    sibling has no more work, a share `flow_gap` of the flows held. A reported load decays towards
    the mean with the age of its report, with a time constant of `report_fade` times the recent
    latency of requests: see Dahlin, "Interpreting Stale Load Information", IEEE TPDS 2000.
    """

    candidates: int = 2
    work_gap: float = 0.3
    flow_gap: float = 0.1
    report_fade: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Choose the least loaded of the own upstream and all siblings with reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lexicographic:
    """Choose the upstream of least latency among those that are not the busiest.

    Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024: if all
    candidates are at or above the quantile `hot_quantile` of work, the least loaded one is chosen,
    otherwise the one of least latency below it.
    """

    candidates: int = 3
    hot_quantile: float = 0.75


Policy = KeepLocal | RandomUpstream | BoundedLoads | PowerOfTwo | LeastLoaded | Lexicographic


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What a policy chooses from: the own upstream and the siblings that may take the flow."""

    flow: bytes
    own: load.Candidate
    zone: str
    siblings: list[load.Candidate]
    endpoints: list[view.Endpoint]


def choose(
    policy: Policy,
    flow: bytes,
    own: messages.LoadReport,
    table: load.LoadTable,
    siblings: typing.Iterable[view.Endpoint],
    now: int,
    randomness: rng.Rng,
) -> str | None:
    """Return the name of the sibling that the open is passed to, or None to keep it.

    `siblings` are the other upstreams of the service that the view shows as accepting. A sidecar
    that is leaving or full, or whose upstream is suspected, passes the open to the least
    loaded sibling with room, whatever the difference. One that is leaving passes it to a sibling
    without a report if no other has room.
    """
    endpoints = [e for e in siblings if not table.is_leaving(e.name)]
    known = [s for e in endpoints if (s := table.candidate(e.name, now)) is not None]
    choice = Choice(flow, load.make_candidate(own), own.zone, _eligible(known), endpoints)
    if choice.own.has_capacity and not (own.suspected and choice.siblings):
        # A cold upstream needs some work to warm up: one request at a time.
        if own.work == 0 and own.ramp < messages.FULL_RAMP:
            return None
        return decide(policy, choice, randomness)
    if choice.siblings:
        return min(choice.siblings, key=lambda s: s.work).name
    if own.leaving:
        unreported = ranking.first(
            flow, [e for e in endpoints if table.candidate(e.name, now) is None]
        )
        return unreported.name if unreported else None
    return None


def _eligible(known: list[load.Candidate]) -> list[load.Candidate]:
    """Return the siblings with room; suspected ones only in panic mode."""
    with_capacity = [s for s in known if s.has_capacity]
    trusted = [s for s in with_capacity if not s.suspected]
    suspected = sum(1 for s in known if s.suspected)
    return with_capacity if suspicion.is_panic(suspected, len(known)) else trusted


def _sample(choice: Choice, count: int, randomness: rng.Rng) -> list[load.Candidate]:
    if len(choice.siblings) <= count:
        return choice.siblings
    return randomness.sample(choice.siblings, count)


def _discount_by_age(
    choice: Choice, sampled: list[load.Candidate], report_fade: float
) -> list[load.Candidate]:
    """Return the candidates, the work of each moved towards the mean by the age of its report."""
    time_constant_ms = report_fade * choice.own.latency_ms
    if time_constant_ms <= 0 or not sampled:
        return sampled
    mean = (choice.own.work + sum(s.work for s in choice.siblings)) / (len(choice.siblings) + 1)
    return [
        dataclasses.replace(s, work=mean + (s.work - mean) * math.exp(-s.age_ms / time_constant_ms))
        for s in sampled
    ]


@functools.singledispatch
def decide(policy: typing.Any, choice: Choice, randomness: rng.Rng) -> str | None:
    """Return the name of the sibling that the policy prefers to the own upstream, or None."""
    raise TypeError(f"no such placement policy: {policy!r}")


@decide.register
def _keep_local(policy: KeepLocal, choice: Choice, randomness: rng.Rng) -> str | None:
    return None


@decide.register
def _random_upstream(policy: RandomUpstream, choice: Choice, randomness: rng.Rng) -> str | None:
    index = int(randomness.random() * (len(choice.siblings) + 1))
    return choice.siblings[index].name if index < len(choice.siblings) else None


@decide.register
def _bounded(policy: BoundedLoads, choice: Choice, randomness: rng.Rng) -> str | None:
    upstreams = [choice.own, *choice.siblings]
    bound = policy.factor * sum(s.work for s in upstreams) / len(upstreams)
    if choice.own.work <= bound:
        return None
    by_name = {s.name: s for s in choice.siblings if s.work <= bound}
    best = ranking.first(choice.flow, [e for e in choice.endpoints if e.name in by_name])
    return best.name if best else None


@decide.register
def _power_of_two(policy: PowerOfTwo, choice: Choice, randomness: rng.Rng) -> str | None:
    sampled = _discount_by_age(
        choice, _sample(choice, policy.candidates, randomness), policy.report_fade
    )
    if not sampled:
        return None
    # The zone is a tie-breaker only, so that it never causes imbalance.
    best = min(sampled, key=lambda s: (s.work, s.zone != choice.zone, s.flows))
    if choice.own.work - best.work >= policy.work_gap:
        return best.name
    fewest = min(sampled, key=lambda s: (s.flows, s.zone != choice.zone))
    fewer = choice.own.flows - fewest.flows >= max(1.0, policy.flow_gap * choice.own.flows)
    return fewest.name if fewer and fewest.work <= choice.own.work else None


@decide.register
def _least_loaded(policy: LeastLoaded, choice: Choice, randomness: rng.Rng) -> str | None:
    best = min(choice.siblings, key=lambda s: (s.work, s.flows), default=choice.own)
    return best.name if (best.work, best.flows) < (choice.own.work, choice.own.flows) else None


@decide.register
def _lexicographic(policy: Lexicographic, choice: Choice, randomness: rng.Rng) -> str | None:
    sampled = [choice.own, *_sample(choice, policy.candidates, randomness)]
    ordered = sorted(s.work for s in [choice.own, *choice.siblings])
    threshold = ordered[min(int(policy.hot_quantile * len(ordered)), len(ordered) - 1)]
    cold = [s for s in sampled if s.work < threshold]
    best = min(cold, key=lambda s: s.latency_ms) if cold else min(sampled, key=lambda s: s.work)
    return None if best is choice.own else best.name
