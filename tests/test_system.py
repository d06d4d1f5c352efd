"""Run callers against real processes: platform, balancers, sidecars and upstreams."""

import pytest
from click import testing

from ebonystile import clock
from ebonystile.caller import client
from ebonystile.commands import call, operator
from standins import system

ZONE = "caudan"


@pytest.fixture
def running(children):
    """Run a ledger of two upstreams behind three balancers, and a caller."""
    made = system.System(children)
    made.publish_services({"ledger": {"app": "ledger"}})
    made.sidecars = []
    for number in range(2):
        upstream = children.start_upstream(f"ledger-{number}", "ledger")
        made.label(f"ledger-{number}", {"app": "ledger"})
        made.sidecars.append(made.start_sidecar(f"ledger-{number}", ZONE, upstream))
    for number in range(3):
        made.start_balancer(f"entry-{number}", ZONE)
    made.caller = client.make_caller(made.addresses)
    yield made
    made.caller.close()


def soon(ms=15_000):
    return clock.now() + ms


def test_requests_uploads_answers_and_feeds(running):
    flow = running.caller.open("ledger", soon())
    answer = flow.request("demands", b"offset 12", soon(), idempotent=False)
    assert answer.status == 200
    upload = flow.request("dossiers", bytes(300_000), soon(), idempotent=True)
    assert upload.status == 200
    whole = flow.request("answers/100000", b"", soon(), idempotent=True)
    assert len(whole.body) == 100_000
    feed = flow.subscribe("balances")
    assert [feed.next(soon()).position for _ in range(5)] == [1, 2, 3, 4, 5]
    flow.close()


def test_requests_on_flows_of_their_own(running):
    """Guards against requests without a flow that are refused or all go to one upstream."""
    for number in range(30):
        asked = running.caller.ask("ledger", "demands", b"%d" % number, soon(), idempotent=False)
        assert asked.status == 200
    assert all(s.upstream.get("standin/runs")["runs"] for s in running.sidecars)


def test_sigterm_of_a_sidecar_moves_its_flow(running):
    """Guards against a stop of the flow's home that loses requests or feed events.

    The sidecar hands the flow to its sibling and exits with status 0.
    """
    flow = running.caller.open("ledger", soon())
    feed = flow.subscribe("balances")
    first = feed.next(soon()).position
    flow.request("demands", b"1", soon(), idempotent=False)
    runs = [s.upstream.get("standin/runs")["runs"] for s in running.sidecars]
    home = running.sidecars[0 if runs[0] else 1]
    home.child.signal(15)
    assert home.child.wait() == 0
    assert flow.request("demands", b"2", soon(), idempotent=False).status == 200
    positions = [feed.next(soon()).position for _ in range(20)]
    assert positions == list(range(first + 1, first + 21))
    flow.close()


def run_call(running, *arguments):
    """Run `ebonystile call` and return its result."""
    balancers = [f"--balancer=127.0.0.1:{b.listen}" for b in running.balancers.values()]
    return testing.CliRunner().invoke(operator.main, ["call", *arguments, *balancers])


def test_call_command(running):
    answered = run_call(running, "ledger", "answers/5000", "--idempotent")
    assert (answered.exit_code, len(answered.stdout_bytes)) == (0, 5_000)
    events = run_call(running, "ledger", "balances", "--feed", "--position=3", "--count=4")
    assert [line.split()[0] for line in events.stdout.splitlines()] == ["4", "5", "6", "7"]
    refused = run_call(running, "archive", "photos", "--deadline-ms=300")
    assert refused.exit_code == call.EXIT_NOT_RUN
