"""The table of the regression runs, read from journal entries, and the command around it."""

import json
import stat

import click.testing
import pytest

from benches import regression


def score(*worths, gate=1.0, at=1):
    days = [{"name": f"trouble-{n}", "slot": "trouble", "G": w} for n, w in enumerate(worths)]
    days.append({"name": "quiet-1", "slot": "quiet", "G": 0.1})
    days.append({"name": "fresh-1a2b", "slot": "trouble", "G": 0.2})
    return {"id": f"s{at}", "cmd": "score", "site": "x", "figures": {"gate": gate}, "days": days}


def hunt(*broken):
    return {"cmd": "hunt", "site": "x", "days": [{"rules": rules} for rules in broken]}


def test_worth_is_that_of_standard_days_with_trouble():
    assert regression.worth_of(score(0.8, 0.9)) == pytest.approx(0.85)
    with pytest.raises(regression.RegressionError):
        regression.worth_of(score())


def test_a_fall_within_noise_holds_and_one_beyond_does_not():
    assert regression.outcome_of("x", [score(0.90), score(0.88)], None).holds
    assert not regression.outcome_of("x", [score(0.90), score(0.86)], None).holds
    assert regression.outcome_of("x", [score(0.86)], None).before is None


def test_a_failed_gate_or_a_broken_rule_does_not_hold():
    assert not regression.outcome_of("x", [score(0.9, gate=0.0)], None).holds
    good = regression.outcome_of("x", [score(0.9)], hunt({}, {}))
    bad = regression.outcome_of("x", [score(0.9)], hunt({}, {"FLOW": 1}))
    assert good.holds and not bad.holds
    assert regression.table([good, bad]).count("  <") == 1


def test_without_a_score_there_is_no_outcome():
    with pytest.raises(regression.RegressionError):
        regression.outcome_of("x", [], None)


def test_entries_come_in_their_order_and_of_one_deployment(tmp_path):
    for number, site in ((2, "x"), (1, "x"), (3, "y")):
        entry = {**score(0.5, at=number), "site": site}
        (tmp_path / f"{number}.json").write_text(json.dumps(entry))
    found = regression.entries(tmp_path, "score", "x")
    assert [entry["id"] for entry in found] == ["s1", "s2"]


def test_the_command_runs_the_bench_and_prints_the_table(tmp_path, monkeypatch):
    """A stand-in for the bench leaves an entry for each run, as that does."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "journal").mkdir()
    name = "recouvra-ebony"
    for entry in (score(0.9), hunt({}, {})):
        text = json.dumps({**entry, "site": name})
        (tmp_path / f"{entry['cmd']}.entry").write_text(text)
    bench = tmp_path / "bench"
    bench.write_text('#!/bin/sh\ncp "$1.entry" "journal/$(ls journal | wc -l).json"\n')
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    arguments = [str(bench), str(tmp_path), "--why", "a test", "--site", f"sites/{name}.toml"]
    done = click.testing.CliRunner().invoke(regression.main, arguments)
    assert done.exit_code == 0, done.output
    assert f"{name:24}       -   0.900  passed       2       0" in done.output


def test_a_run_that_leaves_no_entry_is_an_error_and_not_the_one_before(tmp_path, monkeypatch):
    """The bench gave its days up; the entry of an earlier run must not pass for this one's."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "journal").mkdir()
    (tmp_path / "journal" / "1.json").write_text(json.dumps(score(0.9)))
    bench = tmp_path / "bench"
    bench.write_text("#!/bin/sh\nexit 1\n")
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    with pytest.raises(regression.RegressionError, match="no entry, status 1"):
        regression.run(bench, "score", tmp_path / "x.toml", "a test")
