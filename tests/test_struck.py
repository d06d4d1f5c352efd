"""Whether the faults of a played day struck something, told from its report."""

import json

from benches import struck

KILL = {"kind": "herd_kill", "at": 9.0, "how": "power"}


def report(*events, starts=4):
    return {
        "events": [{"at_s": at, "kind": kind, "what": what} for at, kind, what in events],
        "nodes": [{"role": "balancer", "n": 2, "starts": starts}],
    }


def test_a_kill_that_names_no_instance_struck_nothing():
    day = {"faults": [KILL]}
    assert struck.idle_entries(day, report((9.0, "herd_kill (power)", "front-a-1"))) == []
    (idle,) = struck.idle_entries(day, report((9.0, "herd_kill (power)", "")))
    assert (idle.kind, idle.at) == ("herd_kill", 9.0)


def test_a_kill_that_the_report_does_not_hold_struck_nothing():
    assert struck.idle_entries({"faults": [KILL]}, report())


def test_of_two_faults_of_a_kind_each_must_have_struck():
    day = {"faults": [KILL, {**KILL, "at": 16.0}]}
    once = report((9.1, "herd_kill (power)", "front-a-1"), (16.0, "herd_kill (power)", ""))
    assert [entry.at for entry in struck.idle_entries(day, once)] == [16.0]


def test_troubles_of_the_store_name_nobody():
    day = {"faults": [{"kind": "platform_down", "at": 1.0}]}
    assert struck.idle_entries(day, report((1.0, "platform_down (silent)", ""))) == []


def test_a_kill_after_which_no_process_started_struck_nothing():
    day = {"faults": [KILL]}
    assert struck.starts_missing(day, report(starts=2))
    assert not struck.starts_missing(day, report(starts=3))
    assert not struck.starts_missing({"faults": []}, report(starts=2))


def test_the_command_names_what_struck_nothing(tmp_path, capsys):
    day, played = tmp_path / "day.toml", tmp_path / "report.json"
    day.write_text('faults = [{ kind = "node_kill", at = 3.0 }]\n')
    played.write_text(json.dumps(report((3.0, "node_kill", ""))))
    assert struck.main([str(day), str(played)]) == struck.IDLE
    assert capsys.readouterr().out == "day.toml: node_kill at 3 s struck nothing\n"
    assert struck.main([str(day)]) == struck.MISSED
    assert struck.main([str(day), str(tmp_path / "none")]) == struck.MISSED
