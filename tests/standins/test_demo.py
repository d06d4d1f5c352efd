"""Replacing all upstreams and balancers of a service under load violates no guarantee."""

import json
import os
import subprocess
import sys

import pytest

from standins import processes, verdict


def test_small_demo_keeps_every_promise_and_ends_what_it_started(tmp_path):
    environment = {**os.environ, "PYTHONPATH": f"{processes.ROOT / 'src'}:{processes.ROOT}"}
    demo = subprocess.Popen(
        [sys.executable, "-m", "standins.demo", "--small", "--logs", tmp_path],
        cwd=processes.ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        stdout, stderr = demo.communicate(timeout=110)
    finally:
        demo.terminate()
    figures = json.loads(stdout.splitlines()[-1])
    assert {name: figures[name] for name in verdict.PROMISES} == dict.fromkeys(verdict.PROMISES, 0)
    assert figures["late_work"] == 0
    assert demo.returncode == 0, stderr
    assert (figures["upstreams_replaced"], figures["balancers_replaced"]) == (2, 3)
    assert figures["requests"] > 100
    assert figures["feed_events"] > 100
    assert (tmp_path / "entry-1.log").read_text()
    assert not group_lives(demo.pid)


def group_lives(group):
    """Return whether a process of the group is still running."""
    try:
        os.killpg(group, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize("arguments", [["--no-such-option"], ["surplus"]])
def test_wrong_options_are_told(arguments):
    done = subprocess.run(
        [sys.executable, "-m", "standins.demo", *arguments],
        cwd=processes.ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert "usage" in done.stderr
