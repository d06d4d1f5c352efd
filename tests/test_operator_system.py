"""The operators' commands against a running system of real processes."""

import json
import time

import click.testing
import pytest
import pytest_bdd
from pytest_bdd import given, then, when

from ebonystile import clock
from ebonystile.caller import client
from ebonystile.commands import operator
from standins import processes, system

pytest_bdd.scenarios("features/operators.feature")

ZONE = "umea"
SERVICE = "line-status"
WAIT_MS = 20_000
REQUEST_MS = 4_000
SHORT_DRAIN = {"drain_ms": 5_000, "max_deadline_ms": 5_000}
PROCESSES = {"line-0", "line-1", "entry-0", "entry-1"}
EXPECTED_ORDER = ["opened", "entered", "started", "answered", "fenced", "adopted", "handed_over"]


@pytest.fixture(scope="module")
def running(module_children, tmp_path_factory):
    made = system.System(module_children)
    made.publish_services({SERVICE: {"app": SERVICE}})
    for number in range(2):
        name = f"line-{number}"
        upstream = module_children.start_upstream(name, SERVICE)
        made.label(name, {"app": SERVICE})
        made.start_sidecar(name, ZONE, upstream, **SHORT_DRAIN)
    for number in range(2):
        made.start_balancer(f"entry-{number}", ZONE)
    settings = {"platform": made.platform.url, "keys": [{"id": 1, "secret": made.key}]}
    path = tmp_path_factory.mktemp("operator") / "settings.json"
    path.write_text(json.dumps(settings))
    made.operator_settings = path
    made.caller = client.make_caller(made.addresses)
    yield made
    made.caller.close()


def run(running, *arguments):
    command = [*arguments, "--settings", str(running.operator_settings)]
    result = click.testing.CliRunner().invoke(operator.main, command)
    assert result.exit_code == 0, result.output
    return result.stdout


def wait_for(condition):
    """Wait until `condition` returns a true value and return it; fail after `WAIT_MS`."""
    deadline = clock.now() + WAIT_MS
    while clock.now() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError("condition not met in time")


def status_of(running):
    return {p["process"]: p for p in json.loads(run(running, "status", "--json"))}


def explain_flow(running, flow):
    return json.loads(run(running, "explain", SERVICE, flow.core.flow.hex(), "--json"))


def holders_of(running, flow):
    return {h["process"]: h for h in explain_flow(running, flow)["holders"]}


@given("a line-status service of two upstreams behind two balancers")
def _(running):
    for number in range(2):
        running.label(f"line-{number}", {"app": SERVICE})
    wait_for(lambda: not any(p["leaving"] for p in status_of(running).values()))
    running.revision_before = max(p["revision"] for p in status_of(running).values())


@given("a caller with an open flow", target_fixture="flow")
def open_flow(running, request):
    flow = running.caller.open(SERVICE, clock.now() + WAIT_MS)
    request.addfinalizer(flow.close)
    return flow


@given("a defect report filed on the flow")
def _(flow):
    answer = flow.request("reports", b"crack", clock.now() + REQUEST_MS, idempotent=False)
    assert answer.status == 200


@when("the home of the flow is labelled as leaving", target_fixture="home")
def leave_home(running, flow):
    [home] = holders_of(running, flow)
    running.label(home, {"app": SERVICE, "leaving": "true"})
    return home


@when("a document is published whose service has neither address nor selector")
def _(running):
    processes.publish_value(running.platform, "services/00", {"services": {"x": {}}})


@then("status shows every process at one revision")
def _(running):
    def settled():
        found = status_of(running)
        return found if len({p["revision"] for p in found.values()}) == 1 else None

    found = wait_for(settled)
    assert set(found) == PROCESSES
    assert min(p["revision"] for p in found.values()) >= running.revision_before
    assert all(p["zone"] == ZONE and p["reachable"] for p in found.values())
    assert found["line-0"]["services"] == [SERVICE]


@then("one process holds the flow")
def _(running, flow):
    assert [h["holds"] for h in holders_of(running, flow).values()] == ["home"]
    wait_for(lambda: sum(p["flows"] for p in status_of(running).values()) == 1)


@then("explain names the other upstream as the new home")
def _(running, flow, home):
    def moved():
        # Processes are queried in parallel: the new home may answer just before it adopts the
        # flow, and the old one just after it has handed it over. Then no answer shows the home.
        holders = holders_of(running, flow)
        has_moved = holders[home]["holds"] == "moved" and holders[home]["target"] in holders
        return holders if has_moved else None

    holders = wait_for(moved)
    target = holders[home]["target"]
    assert target != home and holders[target]["holds"] == "home"


@then("status shows the old home as leaving")
def _(running, home):
    assert status_of(running)[home]["leaving"]


@then("the time line of the flow is in the order of cause and effect")
def _(running, flow, home):
    flow_id = flow.core.flow.hex()
    lines = run(running, "timeline", "--flow", flow_id[:12], "--json").splitlines()
    records = [json.loads(line) for line in lines]
    assert {r["flow"] for r in records} == {flow_id}
    assert [r["event"] for r in records if r["event"] in EXPECTED_ORDER] == EXPECTED_ORDER
    [request] = {r["request"] for r in records if r["event"] == "answered"}
    shown = run(running, "timeline", "--request", request, "--upstream", home)
    assert "answered" in shown and "adopted" not in shown


@then("status shows each fault of it")
def _(running):
    def refusals():
        status = status_of(running)["entry-0"]
        return status["refusals"]

    faults = wait_for(refusals)
    assert all("services/00" in fault for fault in faults)
    assert any("address" in f for f in faults) and any("selector" in f for f in faults)


@then("the older document stays in force")
def _(running, flow):
    assert explain_flow(running, flow)["ranking"]


def test_every_process_serves_its_metrics(running):
    for process in status_of(running).values():
        url = f"http://{process['address']}/metrics"
        text = system.HTTP.request("GET", url).data.decode()
        assert "ebonystile_loop_lag_seconds_count" in text
        assert 'ebonystile_events_total{event="process_started"}' in text
        assert ("# TYPE ebonystile_run_seconds summary" in text) == (process["role"] == "sidecar")


def test_an_address_in_use_ends_the_second_process_with_status_1(running):
    [balancer, _] = running.balancers.values()
    path = running.settings("twin", balancer.port, ZONE, listen=f"127.0.0.1:{system.free_port()}")
    module = "ebonystile.commands.balancer"
    twin = running.children.launch("twin", module, "--settings", path)
    assert twin.wait() == 1
    path.write_text("{}")
    wrong = running.children.launch("wrong", module, "--settings", path)
    assert wrong.wait() == 2


def test_a_second_sigterm_changes_nothing(running):
    """A balancer that gets SIGTERM twice while a caller still sends exits with status 0."""
    balancer = running.balancers.pop("entry-1")
    balancer.child.signal(15)
    balancer.child.signal(15)
    assert balancer.child.wait() == 0
