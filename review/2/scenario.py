"""Case 2: balancers that know no endpoint end by themselves, again and again."""

import pathlib
import sys
import time

import harness

HERE = pathlib.Path(__file__).resolve().parent
OUTAGES = 8
DARK_S = 5.0
KILL_AFTER_S = 2.0
BETWEEN_S = 6.0
PAUSE_S = (0.5, 6.0)
BUDGET_S = 2.5
"""Time budget of the requests on long flows, `span-feed` on the sheet of norrlinje-lb."""


def wait(requesters: harness.Requesters, seconds: float) -> None:
    """Let the requesters work for a time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        requesters.step()
        time.sleep(0.01)


def play(deployment: harness.Deployment, trouble: bool) -> bool:
    """Play the outages and return whether the rule was broken."""
    requesters = harness.Requesters(deployment, count=160, pause_s=PAUSE_S, budget_s=BUDGET_S)
    wait(requesters, 4.0)
    if not requesters.counts["answered"]:
        raise AssertionError("no request was answered before the first disruption")
    for _ in range(OUTAGES):
        if trouble:
            deployment.power_off(deployment.sidecars)
        wait(requesters, KILL_AFTER_S)
        if trouble:
            deployment.kill_daemons(deployment.balancers)
        wait(requesters, DARK_S - KILL_AFTER_S)
        if trouble:
            deployment.power_on(deployment.sidecars)
        wait(requesters, BETWEEN_S)
        deployment.note(f"requests so far: {requesters.counts}")
    for name, ends in sorted(deployment.own_ends.items()):
        deployment.note(f"{name} ended by itself {len(ends)} times")
    often = [name for name, ends in deployment.own_ends.items() if len(ends) >= 3]
    machines = len(deployment.balancers) + len(deployment.sidecars)
    limit = max(2, -(-machines // 10))
    broken = len(often) >= limit
    deployment.note(
        f"{len(often)} of {machines} machines ended three times or more by themselves "
        f"(limit {limit}): rule Fault {'BROKEN' if broken else 'held'}"
    )
    return broken


def make(folder: pathlib.Path, record) -> harness.Deployment:
    """Return the deployment of the case."""
    return harness.Deployment(folder, record, balancers=4, upstreams=4)


if __name__ == "__main__":
    sys.exit(harness.run(play, HERE, make))
