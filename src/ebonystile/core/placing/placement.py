"""Decide whether a sidecar keeps an open or passes it to a sibling.

A balancer knows no loads and sends an open to an upstream by the flow's ranking alone. The sidecar
that receives it knows its own load exactly and that of its siblings from recent reports.
"""

import dataclasses
import functools
import math
import typing

from ebonystile.core import rng, view
from ebonystile.core.placing import load, ranking, suspicion
from ebonystile.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class KeepHome:
    """Keep every open where the ranking placed it: rendezvous hashing alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Anywhere:
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
    is passed on only if the difference is at least `gap` requests per slot or, where the sibling
    has no more work, a share `flow_gap` of the flows held. A reported load decays towards the mean
    with the age of its report, with a time constant of `fade` times the recent latency of requests:
    see Dahlin, "Interpreting Stale Load Information", IEEE TPDS 2000.
    """

    candidates: int = 2
    gap: float = 0.3
    flow_gap: float = 0.1
    fade: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeastOfAll:
    """Choose the least loaded of all known siblings, however small the difference."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lexicographic:
    """Choose the upstream of least latency among those that are not the busiest.

    Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024: if all
    candidates are at or above the quantile `hot` of work, the least loaded one is chosen, otherwise
    the one of least latency below it.
    """

    candidates: int = 3
    hot: float = 0.75


Policy = KeepHome | Anywhere | BoundedLoads | PowerOfTwo | LeastOfAll | Lexicographic


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """What a policy chooses from: the own upstream and the siblings that may take the flow."""

    flow: bytes
    own: load.Standing
    zone: str
    siblings: list[load.Standing]
    endpoints: list[view.Endpoint]


def choose(
    policy: Policy,
    flow: bytes,
    own: messages.LoadReport,
    table: load.LoadTable,
    siblings: typing.Iterable[view.Endpoint],
    now: int,
    chance: rng.Rng,
) -> str | None:
    """Return the name of the sibling that the open is passed to, or None to keep it.

    `siblings` are the other upstreams of the service that the view shows as accepting. A sidecar
    that is leaving or full, or whose upstream is suspected, passes the open to any sibling with
    room, whatever the difference in load.
    """
    endpoints = [e for e in siblings if not table.known_leaving(e.name)]
    known = [s for e in endpoints if (s := table.standing(e.name, now)) is not None]
    scene = Scene(flow, load.standing(own), own.zone, _usable(known), endpoints)
    if scene.own.room and not (own.suspected and scene.siblings):
        # A cold upstream needs some work to warm up: one request at a time.
        if own.work == 0 and own.ramp < messages.FULL_RAMP:
            return None
        return decide(policy, scene, chance)
    if scene.siblings:
        return min(scene.siblings, key=lambda s: s.work).name
    if own.leaving:
        unheard = ranking.first(flow, [e for e in endpoints if table.standing(e.name, now) is None])
        return unheard.name if unheard else None
    return None


def _usable(known: list[load.Standing]) -> list[load.Standing]:
    """Return the siblings with room; suspected ones only in panic mode."""
    roomy = [s for s in known if s.room]
    trusted = [s for s in roomy if not s.suspected]
    suspected = sum(1 for s in known if s.suspected)
    return roomy if suspicion.is_panic(suspected, len(known)) else trusted


def _some(scene: Scene, count: int, chance: rng.Rng) -> list[load.Standing]:
    if len(scene.siblings) <= count:
        return scene.siblings
    return chance.sample(scene.siblings, count)


def _faded(scene: Scene, some: list[load.Standing], fade: float) -> list[load.Standing]:
    """Return the candidates, the work of each moved towards the mean by the age of its report."""
    constant = fade * scene.own.latency
    if constant <= 0 or not some:
        return some
    mean = (scene.own.work + sum(s.work for s in scene.siblings)) / (len(scene.siblings) + 1)
    return [
        dataclasses.replace(s, work=mean + (s.work - mean) * math.exp(-s.age / constant))
        for s in some
    ]


@functools.singledispatch
def decide(policy: typing.Any, scene: Scene, chance: rng.Rng) -> str | None:
    """Return the name of the sibling that the policy prefers to the own upstream, or None."""
    raise TypeError(f"no such placement policy: {policy!r}")


@decide.register
def _keep(policy: KeepHome, scene: Scene, chance: rng.Rng) -> str | None:
    return None


@decide.register
def _anywhere(policy: Anywhere, scene: Scene, chance: rng.Rng) -> str | None:
    place = int(chance.random() * (len(scene.siblings) + 1))
    return scene.siblings[place].name if place < len(scene.siblings) else None


@decide.register
def _bounded(policy: BoundedLoads, scene: Scene, chance: rng.Rng) -> str | None:
    everyone = [scene.own, *scene.siblings]
    bound = policy.factor * sum(s.work for s in everyone) / len(everyone)
    if scene.own.work <= bound:
        return None
    by_name = {s.name: s for s in scene.siblings if s.work <= bound}
    best = ranking.first(scene.flow, [e for e in scene.endpoints if e.name in by_name])
    return best.name if best else None


@decide.register
def _power_of_two(policy: PowerOfTwo, scene: Scene, chance: rng.Rng) -> str | None:
    some = _faded(scene, _some(scene, policy.candidates, chance), policy.fade)
    if not some:
        return None
    # The zone is a tie-breaker only, so that it never causes imbalance.
    best = min(some, key=lambda s: (s.work, s.zone != scene.zone, s.flows))
    if scene.own.work - best.work >= policy.gap:
        return best.name
    fewest = min(some, key=lambda s: (s.flows, s.zone != scene.zone))
    fewer = scene.own.flows - fewest.flows >= max(1.0, policy.flow_gap * scene.own.flows)
    return fewest.name if fewer and fewest.work <= scene.own.work else None


@decide.register
def _least_of_all(policy: LeastOfAll, scene: Scene, chance: rng.Rng) -> str | None:
    best = min(scene.siblings, key=lambda s: (s.work, s.flows), default=scene.own)
    return best.name if (best.work, best.flows) < (scene.own.work, scene.own.flows) else None


@decide.register
def _lexicographic(policy: Lexicographic, scene: Scene, chance: rng.Rng) -> str | None:
    some = [scene.own, *_some(scene, policy.candidates, chance)]
    ordered = sorted(s.work for s in [scene.own, *scene.siblings])
    hot = ordered[min(int(policy.hot * len(ordered)), len(ordered) - 1)]
    cold = [s for s in some if s.work < hot]
    best = min(cold, key=lambda s: s.latency) if cold else min(some, key=lambda s: s.work)
    return None if best is scene.own else best.name
