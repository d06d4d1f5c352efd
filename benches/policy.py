"""Measure the policies under load and faults: `scripts/bench policy [--quick] [--plot FILE]`.

Every policy gets the same seeded arrivals. Figures are those of a model (`policy_model`) around the
real decision modules; they compare policies and are no promise about a machine.
"""

import concurrent.futures
import dataclasses
import statistics
import typing
from collections import abc

import click

from benches import drain_cost, policy_model, policy_plot, report
from ebonystile.core.calls import limits
from ebonystile.core.placing import placement

Site = policy_model.Site

SITES = [
    Site("line-status", 7, 2, 3, 100, 20_000),
    Site("photo", 3, 2, 3, 2000, 8_000),
    Site("ledger", 7, 3, 4, 150, 20_000),
    Site("evidence", 4, 3, 4, 1000, 8_000),
    Site("large", 200, 2, 9, 100, 40_000),
]
"""Sizes of both users, and one of 200 upstreams. Service times are assumptions of this bench."""

CHOSEN = "power-of-two"
POLICIES: dict[str, typing.Any] = {
    "rendezvous": placement.KeepLocal(),
    "random": placement.RandomUpstream(),
    "bounded-loads": placement.BoundedLoads(),
    CHOSEN: placement.PowerOfTwo(),
    "least-of-all": placement.LeastLoaded(),
    "lexicographic": placement.Lexicographic(),
    "oracle": policy_model.Oracle(),
}

LOADS = (0.5, 0.9, 1.0, 1.2, 2.0)
SETTLE_SEEDS = 6
SETTLE_LOAD = 0.7
SETTLED = 1.2
"""Imbalance has settled when it is back within so many times what it was before."""

SMOOTH_MS = 2000
LEAVE_BOUND_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run: which site, setup and load, and what happens meanwhile."""

    name: str
    site: Site
    setup: policy_model.Setup
    offered: float
    seed: int = 1
    changes: tuple[policy_model.Change, ...] = ()
    spare: tuple[str, ...] = ()


def run_case(case: Case) -> policy_model.Tally:
    """Run one case; in a worker process."""
    return policy_model.run(
        case.site, case.setup, case.offered, seed=case.seed, changes=case.changes, spare=case.spare
    )


def quantile(values: list, share: float) -> float:
    """Return a quantile, 0 of nothing."""
    ordered = sorted(values)
    return float(ordered[min(int(share * len(ordered)), len(ordered) - 1)]) if ordered else 0.0


def alone(site: Site) -> Site:
    """Return the site with one request on each flow, as `Caller.ask` sends them."""
    return dataclasses.replace(site, session=1, long_share=0.0)


# Imbalance at 0.9 of the capacity


def imbalance_cases(sites: abc.Iterable[Site]) -> abc.Iterator[Case]:
    """Yield a run of every policy at every site, with flows of one request and with mixed ones."""
    for site in sites:
        for shape, shaped in (("single", alone(site)), ("mixed", site)):
            for name, policy in POLICIES.items():
                setup = policy_model.Setup(policy)
                yield Case(f"{site.name}.{shape}.{name}", shaped, setup, 0.9)


def imbalance_measures(tallies: dict[str, policy_model.Tally]) -> abc.Iterator[report.Measure]:
    """Yield the imbalance of work and of flows held, against rendezvous alone and the oracle."""
    for name, tally in tallies.items():
        place, policy = name.rsplit(".", 1)
        base, best = tallies[f"{place}.rendezvous"], tallies[f"{place}.oracle"]
        judged = policy == CHOSEN
        for share, label in ((0.5, "p50"), (0.99, "p99"), (1.0, "worst")):
            value = quantile(tally.work, share)
            key = f"imbalance.{name}.work_{label}"
            at_most = 0.5 if judged and label != "worst" else None
            of_base = quantile(base.work, share)
            yield report.measure(key, value, "max/mean", baseline=of_base, at_most=at_most)
            if judged and label != "worst":
                yield report.measure(
                    f"{key}_excess", value - 1, "max/mean - 1", baseline=of_base - 1, at_most=0.5
                )
                yield report.measure(
                    f"{key}_to_oracle",
                    value,
                    "max/mean",
                    baseline=quantile(best.work, share),
                    at_most=1.15,
                )
        held = quantile(tally.held, 0.5)
        yield report.measure(
            f"imbalance.{name}.held_p50", held, "max/mean", baseline=quantile(base.held, 0.5)
        )
        yield report.measure(f"imbalance.{name}.passed", tally.passed / tally.opens, "of opens")
        yield report.measure(
            f"imbalance.{name}.reports", reports_a_second(tally), "1/s and sidecar"
        )
        for share, label in ((0.5, "p50"), (0.99, "p99")):
            yield report.measure(
                f"imbalance.{name}.latency_{label}",
                quantile(tally.latencies, share),
                "ms",
                baseline=quantile(base.latencies, share),
            )


def reports_a_second(tally: policy_model.Tally) -> float:
    """Return how many load reports each sidecar sent a second."""
    lasted = (tally.samples[-1][0] - tally.samples[0][0]) / 1000
    return tally.reports / len(tally.samples[0][1]) / lasted


# What each part of the chosen policy is worth


def ablation_setups() -> dict[str, policy_model.Setup]:
    """Return the chosen setup, and it with one part changed or taken out."""
    chosen = policy_model.Setup(placement.PowerOfTwo())
    return {
        "chosen": chosen,
        "one_pass": dataclasses.replace(chosen, passes=1),
        "no_fade": dataclasses.replace(chosen, policy=placement.PowerOfTwo(report_fade=0.0)),
        "no_gap": dataclasses.replace(chosen, policy=placement.PowerOfTwo(work_gap=0.0)),
        "eight_candidates": dataclasses.replace(chosen, policy=placement.PowerOfTwo(8)),
        "own_sends_not_counted": dataclasses.replace(chosen, count_sent=False),
        "reports_each_second_only": dataclasses.replace(chosen, report_step=1 << 30),
    }


def ablation_cases(sites: abc.Iterable[Site]) -> abc.Iterator[Case]:
    """Yield a run of every variant, one request a flow."""
    for site in sites:
        for name, setup in ablation_setups().items():
            yield Case(f"ablation.{site.name}.{name}", alone(site), setup, 0.9)


def ablation_measures(tallies: dict[str, policy_model.Tally]) -> abc.Iterator[report.Measure]:
    """Yield the imbalance of each variant, against the chosen setup."""
    for name, tally in tallies.items():
        base = tallies[f"{name.rsplit('.', 1)[0]}.chosen"]
        for share, label in ((0.5, "p50"), (0.99, "p99")):
            yield report.measure(
                f"{name}.work_{label}",
                quantile(tally.work, share),
                "max/mean",
                baseline=quantile(base.work, share),
            )
        yield report.measure(f"{name}.passed", tally.passed / tally.opens, "of opens")
        yield report.measure(f"{name}.reports", reports_a_second(tally), "1/s and sidecar")


# Goodput and refusals below and beyond capacity


OVERLOAD_SETUPS = {
    "chosen": policy_model.Setup(placement.PowerOfTwo()),
    "rendezvous": policy_model.Setup(placement.KeepLocal()),
    "no_refusal": policy_model.Setup(placement.PowerOfTwo(), early=False),
    "deadline_order": policy_model.Setup(placement.PowerOfTwo(), order=limits.Order.DEADLINE),
}


def overload_cases(sites: abc.Iterable[Site]) -> abc.Iterator[Case]:
    """Yield runs from half to twice the capacity; half of the requests are urgent."""
    for site in sites:
        urgent = dataclasses.replace(alone(site), urgent_share=0.5)
        for name, setup in OVERLOAD_SETUPS.items():
            for offered in LOADS:
                yield Case(f"{site.name}.{name}.{offered}", urgent, setup, offered)


def overload_measures(
    tallies: dict[str, policy_model.Tally], sites: abc.Iterable[Site]
) -> abc.Iterator[report.Measure]:
    """Yield goodput as a share of the capacity, refusals and latencies."""
    for site in sites:
        for setup in OVERLOAD_SETUPS:
            at = {offered: tallies[f"{site.name}.{setup}.{offered}"] for offered in LOADS}
            good = {offered: offered * t.done / t.asked for offered, t in at.items()}
            for offered, tally in at.items():
                name = f"overload.{site.name}.{setup}.{offered}"
                at_least = 0.9 if offered == 2.0 and setup == "chosen" else None
                yield report.measure(
                    f"{name}.goodput",
                    good[offered],
                    "of capacity",
                    baseline=good[1.0],
                    at_least=at_least,
                )
                yield report.measure(f"{name}.refused", tally.refused / tally.asked, "of asked")
                yield report.measure(f"{name}.late", tally.late / tally.asked, "of asked")
                yield report.measure(f"{name}.needless", tally.needless / tally.asked, "of asked")
                yield report.measure(f"{name}.repeats", tally.repeats / tally.asked, "of asked")
                for share, label in ((0.5, "p50"), (0.99, "p99")):
                    latency = quantile(tally.latencies, share)
                    yield report.measure(f"{name}.latency_{label}", latency, "ms")


# A brown-out of a third


def brown_out_cases(site: Site) -> abc.Iterator[Case]:
    """Yield runs in which a third of the upstreams takes five times as long for a while."""
    lasted = site.requests / (0.6 * site.capacity)
    third = [e.name for e in site.endpoints()][: (site.upstreams + 2) // 3]
    changes = [policy_model.Change(int(lasted * 0.4), "slow", name) for name in third]
    changes += [policy_model.Change(int(lasted * 0.8), "recover", name) for name in third]
    setups = {
        "chosen": policy_model.Setup(placement.PowerOfTwo()),
        "rendezvous": policy_model.Setup(placement.KeepLocal()),
        "unbounded_repeats": policy_model.Setup(placement.PowerOfTwo(), budgets=False),
    }
    for name, setup in setups.items():
        yield Case(f"brown_out.{name}", alone(site), setup, 0.6, changes=tuple(changes))


def brown_out_measures(tallies: dict[str, policy_model.Tally]) -> abc.Iterator[report.Measure]:
    """Yield what was still done, and how often requests were sent again."""
    base = tallies["brown_out.rendezvous"]
    for name, tally in tallies.items():
        at_least = 0.95 if name.endswith("chosen") else None
        yield report.measure(
            f"{name}.done", tally.done / tally.asked, "of asked", at_least=at_least
        )
        yield report.measure(f"{name}.repeats", tally.repeats / tally.asked, "of asked")
        yield report.measure(
            f"{name}.latency_p99",
            quantile(tally.latencies, 0.99),
            "ms",
            baseline=quantile(base.latencies, 0.99),
        )


# Time to settle


def settle_cases(site: Site, seeds: int) -> abc.Iterator[Case]:
    """Yield runs in which one thing happens to one upstream in the middle."""
    names = [e.name for e in site.endpoints()]
    when = int(site.requests / (SETTLE_LOAD * site.capacity) * 0.4)
    for what in ("join", "leave", "die", "slow", "lie"):
        change = policy_model.Change(when, what, names[0])
        spare = (names[0],) if what == "join" else ()
        for policy in (CHOSEN, "rendezvous"):
            setup = policy_model.Setup(POLICIES[policy])
            for seed in range(1, seeds + 1):
                name = f"settle.{what}.{policy}.{seed}"
                yield Case(name, alone(site), setup, SETTLE_LOAD, seed, (change,), spare)


def settle_measures(
    cases: list[Case], tallies: dict[str, policy_model.Tally]
) -> abc.Iterator[report.Measure]:
    """Yield how long it takes until the work lies again as it should, over all seeds."""
    groups: dict[str, list[Case]] = {}
    for case in cases:
        groups.setdefault(case.name.rsplit(".", 1)[0], []).append(case)
    for name, group in groups.items():
        what = name.split(".")[1]
        change = group[0].changes[0]
        runs = [tallies[case.name] for case in group]
        shift = shares if what in ("join", "lie") else imbalances
        value = settle_time(runs, change, shift)
        yield report.measure(f"{name}.settle", value, "ms")
        if what in ("join", "leave", "slow", "lie"):
            broken = sum(t.ended_by_death for t in runs)
            yield report.measure(f"{name}.broken_flows", broken, "flows", at_most=0)
        if what == "leave":
            last = max(max(t.last_open_at_leaving - change.at, 0) for t in runs)
            at_most = LEAVE_BOUND_MS if CHOSEN in name else None
            yield report.measure(f"{name}.last_new_work", last, "ms", at_most=at_most)
        if what == "die":
            last = max(max(t.last_pass_to_dead - change.at, 0) for t in runs)
            yield report.measure(f"{name}.last_passed_to_dead", last, "ms")
            lost = statistics.mean(t.lost_opens / max(1, t.opens) for t in runs)
            yield report.measure(f"{name}.opened_twice", lost, "of opens")


def imbalances(sample: dict[str, float], change: policy_model.Change) -> float:
    """Return max over mean of the work."""
    mean = sum(sample.values()) / len(sample)
    return max(sample.values()) / mean if mean else 1.0


def shares(sample: dict[str, float], change: policy_model.Change) -> float:
    """Return how many times more the mean has than the upstream in question, 1 if it is as much."""
    own = sample.get(change.upstream, 0.0)
    mean = sum(sample.values()) / len(sample)
    return 1.0 + max(0.0, mean - own)


def settle_time(
    runs: list[policy_model.Tally],
    change: policy_model.Change,
    measure_of: abc.Callable[[dict[str, float], policy_model.Change], float],
) -> float:
    """Return the ms from the change to the last time that the smoothed mean was out of bounds.

    What is missing at the end counts as never settled and gives the rest of the run.
    """
    bins: dict[int, list[float]] = {}
    for tally in runs:
        for at, sample in tally.samples:
            bins.setdefault((at - change.at) // SMOOTH_MS, []).append(measure_of(sample, change))
    means = {number: statistics.mean(values) for number, values in sorted(bins.items())}
    before = [mean for number, mean in means.items() if number < 0]
    normal = statistics.mean(before) if change.what != "join" else 1.1
    out = [number for number, mean in means.items() if number >= 0 and mean > SETTLED * normal]
    return float((max(out) + 1) * SMOOTH_MS) if out else 0.0


# All together


def run_all(cases: list[Case], jobs: int) -> dict[str, policy_model.Tally]:
    """Run cases in worker processes and return their tallies by name."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        return dict(zip((c.name for c in cases), pool.map(run_case, cases), strict=True))


def smaller(sites: list[Site]) -> list[Site]:
    """Return two small sites that still show which policy is better."""
    return [dataclasses.replace(s, requests=3000) for s in sites[1:3]]


@click.command()
@click.option("--quick", is_flag=True, help="Small sites only, for tests; not for figures.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a plot to this file.")
@click.option("--jobs", default=3, show_default=True, help="Worker processes.")
def main(quick: bool, plot: str | None, jobs: int) -> None:
    """Measure the policies and print one JSON object a line."""
    sites = smaller(SITES) if quick else SITES
    line = sites[-1] if quick else sites[0]
    measures: list[report.Measure] = []

    report.progress("imbalance at 0.9 of the capacity")
    tallies = run_all(list(imbalance_cases(sites)), jobs)
    measures += imbalance_measures(tallies)
    report.progress("parts of the chosen policy")
    parts = [s for s in sites if s.service < 1000]
    measures += ablation_measures(run_all(list(ablation_cases(parts)), jobs))
    report.progress("goodput from 0.5 to 2 times the capacity")
    users = [s for s in sites if s.upstreams < 100]
    measures += overload_measures(run_all(list(overload_cases(users)), jobs), users)
    report.progress("brown-out of a third")
    measures += brown_out_measures(run_all(list(brown_out_cases(line)), jobs))
    report.progress("time to settle")
    cases = list(settle_cases(line, 2 if quick else SETTLE_SEEDS))
    measures += settle_measures(cases, run_all(cases, jobs))
    report.progress("draining cost and long flows")
    measures += drain_cost.measures()

    for each in measures:
        report.emit(each)
    if plot:
        policy_plot.draw(measures, plot)


if __name__ == "__main__":
    main()
