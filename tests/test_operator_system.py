"""Look at a running system as an operator does: real processes, one command after the other."""

import json
import time

import click.testing
import pytest

from ebonystile import clock
from ebonystile.caller import client
from ebonystile.commands import operator
from standins import system

ZONE = "umea"
WAIT_MS = 20_000
REQUEST_MS = 4_000
SHORT_DRAIN = {"drain_ms": 5_000, "max_deadline_ms": 5_000}


@pytest.fixture(scope="module")
def running(module_children, tmp_path_factory):
    """Run a line-status service of two upstreams behind two balancers, with one flow."""
    made = system.System(module_children)
    made.publish_services({"line-status": {"app": "line-status"}})
    for number in range(2):
        name = f"line-{number}"
        upstream = module_children.start_upstream(name, "line-status")
        made.label(name, {"app": "line-status"})
        made.start_sidecar(name, ZONE, upstream, **SHORT_DRAIN)
    for number in range(2):
        made.start_balancer(f"entry-{number}", ZONE)
    settings = {"platform": made.platform.url, "keys": [{"id": 1, "secret": made.key}]}
    path = tmp_path_factory.mktemp("operator") / "settings.json"
    path.write_text(json.dumps(settings))
    made.operator_settings = path
    made.caller = client.make_caller(made.addresses)
    made.flow = made.caller.open("line-status", clock.now() + WAIT_MS)
    yield made
    made.flow.close()
    made.caller.close()


def run(running, *arguments):
    command = [*arguments, "--settings", str(running.operator_settings)]
    result = click.testing.CliRunner().invoke(operator.main, command)
    assert result.exit_code == 0, result.output
    return result.stdout


def wait_for(condition):
    """Return what `condition` returns once that is true; it must become so in bounded time."""
    give_up = clock.now() + WAIT_MS
    while clock.now() < give_up:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError("it did not come about in time")


def status_of(running):
    return {p["process"]: p for p in json.loads(run(running, "status", "--json"))}


def explained(running):
    flow = running.flow.core.flow.hex()
    return json.loads(run(running, "explain", "line-status", flow, "--json"))


def test_status_shows_every_process_at_one_revision(running):
    found = wait_for(lambda: equal_revisions(status_of(running)))
    assert set(found) == {"line-0", "line-1", "entry-0", "entry-1"}
    assert sum(p["flows"] for p in found.values()) == 1
    assert all(p["zone"] == ZONE and p["leaving"] == "" for p in found.values())
    assert found["line-0"]["services"] == ["line-status"]


def equal_revisions(found):
    return found if len({p["revision"] for p in found.values()}) == 1 else None


def test_a_leaving_upstream_hands_its_flow_over_and_the_operator_sees_it(running):
    """The home of a flow gets the label `leaving`; a report has been filed on the flow before.

    The flow moves to the other upstream. `explain` names the new home, and the time line shows
    fenced, adopted and handed over in this order although two processes tell of them.
    """
    report = running.flow.request("reports", b"crack", clock.now() + REQUEST_MS, idempotent=False)
    assert report.status == 200
    [home] = [h["process"] for h in explained(running)["holders"]]
    running.label(home, {"app": "line-status", "leaving": "true"})
    holders = wait_for(lambda: moved_from(home, explained(running)["holders"]))
    assert holders[home]["target"] != home and holders[holders[home]["target"]]["holds"] == "home"
    assert status_of(running)[home]["leaving"]
    flow = running.flow.core.flow.hex()
    lines = run(running, "timeline", "--flow", flow[:12], "--json").splitlines()
    records = [json.loads(line) for line in lines]
    assert {r["flow"] for r in records} == {flow}
    names = [r["event"] for r in records]
    expected = ["opened", "entered", "started", "answered", "fenced", "adopted", "handed_over"]
    assert [name for name in names if name in expected] == expected
    requests = {r["request"] for r in records if r["event"] == "answered"}
    shown = run(running, "timeline", "--request", requests.pop(), "--upstream", home)
    assert "answered" in shown and "adopted" not in shown


def moved_from(home, holders):
    by_name = {h["process"]: h for h in holders}
    return by_name if by_name.get(home, {}).get("holds") == "moved" else None


def test_metrics_tell_what_was_done(running):
    for sidecar_port in sidecar_ports(running):
        text = system.HTTP.request("GET", f"http://127.0.0.1:{sidecar_port}/metrics").data.decode()
        assert "ebonystile_loop_lag_seconds_count" in text
        assert 'ebonystile_events_total{event="process_started"}' in text
        assert "# TYPE ebonystile_run_seconds summary" in text


def sidecar_ports(running):
    found = status_of(running).values()
    return [p["address"].rpartition(":")[2] for p in found if p["role"] == "sidecar"]


def test_a_refused_document_is_shown_with_its_faults(running):
    """A wrong document is published: the old one stays in force, and status says what is wrong."""
    before = status_of(running)["entry-0"]["revision"]
    system.processes.publish_value(running.platform, "services/00", {"services": {"x": {}}})
    found = wait_for(lambda: refusing(status_of(running)))
    assert any("services/00" in fault for fault in found["refusals"])
    assert found["revision"] >= before
    assert explained(running)["ranking"]


def refusing(found):
    return found["entry-0"] if found["entry-0"]["refusals"] else None


def test_a_taken_address_ends_the_second_process_with_status_1(running):
    [balancer, _] = running.balancers.values()
    path = running.settings("twin", balancer.port, ZONE, listen=f"127.0.0.1:{system.free_port()}")
    module = "ebonystile.commands.balancer"
    twin = running.children.launch("twin", module, "--settings", path)
    assert twin.wait() == 1
    path.write_text("{}")
    wrong = running.children.launch("wrong", module, "--settings", path)
    assert wrong.wait() == 2


def test_a_second_sigterm_changes_nothing(running):
    """A balancer gets SIGTERM twice while a caller still sends: it ends by itself, with 0."""
    balancer = running.balancers.pop("entry-1")
    balancer.child.signal(15)
    balancer.child.signal(15)
    assert balancer.child.wait() == 0
