"""Compare the results recorded by callers with the run counts of the upstreams."""

import collections
import dataclasses
import typing

PROMISES = (
    "broken_flows",
    "lost",
    "doubled",
    "wrong_service",
    "untrue_refusals",
    "wrong_answers",
)
"""Counters that are zero if every guarantee holds."""

Document = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Verdict:
    """The results of one run; `faults` describes each violation."""

    broken_flows: int = 0
    lost: int = 0
    doubled: int = 0
    wrong_service: int = 0
    untrue_refusals: int = 0
    wrong_answers: int = 0
    outcome_unknown: int = 0
    not_run: int = 0
    requests: int = 0
    flows: int = 0
    feed_events: int = 0
    feed_delay_ms_max: int = 0
    latency_ms: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether every guarantee holds."""
        return not any(getattr(self, name) for name in PROMISES)


def judge(records: list[Document], counts: list[Document]) -> Verdict:
    """Return the verdict from the callers' records and all upstreams' counts."""
    verdict = Verdict()
    runs: collections.Counter[str] = collections.Counter()
    for count in counts:
        runs.update(count["runs"])
        verdict.wrong_service += count["wrong_service"]
    verdict.latency_ms = latencies(records)
    for record in records:
        for errand in record["errands"]:
            judge_errand(verdict, record["service"], errand, runs)
        for session in record["sessions"]:
            judge_session(verdict, record["service"], session)
    return verdict


def judge_errand(
    verdict: Verdict, service: str, errand: Document, runs: collections.Counter[str]
) -> None:
    """Check one request, over all of its attempts."""
    tries = errand["tries"]
    name = f"{service} {errand['kind']} {tries[-1]['request']}"
    verdict.requests += len(tries)
    for tried in tries:
        verdict.not_run += tried["outcome"] == "not_run"
        verdict.outcome_unknown += tried["outcome"] in ("outcome_unknown", "none")
        if tried["outcome"] == "not_run" and runs[tried["request"]]:
            verdict.untrue_refusals += 1
            verdict.faults.append(f"{name}: run although refused: {tried['reason']}")
    total = sum(runs[tried["request"]] for tried in tries)
    if not errand["idempotent"] and total > 1:
        verdict.doubled += 1
        verdict.faults.append(f"{name}: run {total} times")
    if tries[-1]["outcome"] != "answered" or not total:
        verdict.lost += 1
        verdict.faults.append(f"{name}: lost: {tries[-1]['outcome']} {tries[-1]['reason']}")
    if errand["faults"]:
        verdict.wrong_answers += 1
        verdict.wrong_service += "wrong service" in errand["faults"]
        verdict.faults.append(f"{name}: {errand['faults']}")


def judge_session(verdict: Verdict, service: str, session: Document) -> None:
    """Check one flow: it is broken if it was reopened, or lost its feed or a request's outcome."""
    verdict.flows += 1
    verdict.feed_events += session["feed_events"]
    verdict.feed_delay_ms_max = max(verdict.feed_delay_ms_max, session["latest_ms"])
    if session["reopened"] or session["faults"]:
        verdict.broken_flows += 1
        verdict.faults.append(f"{service} flow: {session}")


def latencies(records: list[Document]) -> dict[str, dict[str, int]]:
    """Return latency percentiles in ms for each kind of request, retries included."""
    taken = collections.defaultdict(list)
    for record in records:
        for errand in record["errands"]:
            taken[errand["kind"]].append(errand["took_ms"])
    found = {}
    for kind, times in sorted(taken.items()):
        times.sort()
        last = len(times) - 1
        found[kind] = {
            "p50": times[last // 2],
            "p99": times[round(last * 0.99)],
            "max": times[last],
        }
    return found


def imbalance(samples: dict[str, dict[str, int]]) -> dict[str, float]:
    """Return for each service the ratio of the busiest upstream's work to the mean."""
    found = {}
    for service, work in samples.items():
        mean = sum(work.values()) / len(work) if work else 0
        if mean:
            found[service] = round(max(work.values()) / mean, 2)
    return found
