"""The demo's verdict detects every kind of violation."""

import pytest

from standins import verdict


def make_errand(*tries, idempotent=False, faults=()):
    listed = [{"request": r, "outcome": o, "reason": ""} for r, o in tries]
    return {
        "kind": "report",
        "idempotent": idempotent,
        "took_ms": 7,
        "tries": listed,
        "faults": list(faults),
    }


def judge(errands=(), sessions=(), runs=None, wrong_service=0):
    record = {"service": "ledger", "errands": list(errands), "sessions": list(sessions)}
    half = {"runs": runs or {}, "wrong_service": wrong_service}
    return verdict.judge([record], [half, {"runs": {}, "wrong_service": 0}])


ANSWERED = make_errand(("a", "answered"))
RETRIED = make_errand(("a", "not_run"), ("b", "answered"))


@pytest.mark.parametrize(
    ("errand", "runs", "broken"),
    [
        (ANSWERED, {"a": 1}, {}),
        (RETRIED, {"b": 1}, {}),
        (make_errand(("a", "answered"), idempotent=True), {"a": 2}, {}),
        (ANSWERED, {}, {"lost": 1}),
        (ANSWERED, {"a": 2}, {"doubled": 1}),
        (RETRIED, {"a": 1, "b": 1}, {"doubled": 1, "untrue_refusals": 1}),
        (make_errand(("a", "not_run")), {}, {"lost": 1}),
        (make_errand(("a", "outcome_unknown")), {"a": 1}, {"lost": 1}),
        (make_errand(("a", "none")), {}, {"lost": 1}),
        (make_errand(("a", "answered"), faults=["wrong bytes"]), {"a": 1}, {"wrong_answers": 1}),
        (
            make_errand(("a", "answered"), faults=["wrong service"]),
            {"a": 1},
            {"wrong_answers": 1, "wrong_service": 1},
        ),
    ],
)
def test_errands(errand, runs, broken):
    judged = judge([errand], runs=runs)
    found = {name: getattr(judged, name) for name in verdict.PROMISES if getattr(judged, name)}
    assert found == broken
    assert judged.kept == (not broken)
    assert judged.requests == len(errand["tries"])


@pytest.mark.parametrize(
    ("reopened", "faults", "broken"), [(0, [], 0), (1, [], 1), (0, ["feed silent"], 1)]
)
def test_sessions(reopened, faults, broken):
    session = {"feed_events": 3, "latest_ms": 40, "reopened": reopened, "faults": faults}
    judged = judge(sessions=[session])
    assert judged.feed_delay_ms_max == 40
    assert (judged.flows, judged.feed_events, judged.broken_flows) == (1, 3, broken)


def test_what_an_upstream_refused_as_anothers_is_told():
    assert judge(wrong_service=2).wrong_service == 2


def test_imbalance_is_the_busiest_over_the_mean():
    samples = {"photo": {"a": 30, "b": 10, "c": 20}, "idle": {"a": 0}}
    assert verdict.imbalance(samples) == {"photo": 1.5}


def test_latencies_are_told_by_kind():
    assert judge([ANSWERED] * 3, runs={"a": 1}).latency_ms == {
        "report": {"p50": 7, "p99": 7, "max": 7}
    }
