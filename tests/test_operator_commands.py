"""The operators' commands against a balancer and a sidecar on loopback, with real cores.

Only the part of the processes that answers operators runs; the platform is its stand-in.
"""

import contextlib
import json
import socket
from concurrent import futures

import click.testing
import pytest

import ebonystile
from ebonystile import settings
from ebonystile.commands import operator
from ebonystile.daemon import answers, server
from ebonystile.daemon import operator as daemon_operator
from ebonystile.operator import messages
from standins import processes
from tests import test_answers

ROOT = processes.ROOT
KEYS = [{"id": 1, "secret": "ab" * 32}]
OTHER_KEYS = [{"id": 1, "secret": "cd" * 32}]
FLOW = test_answers.FLOW.hex()


def run(*arguments):
    return click.testing.CliRunner().invoke(operator.main, [str(a) for a in arguments])


@contextlib.contextmanager
def serve_operators(process):
    """Answer operators' queries from the state of a process, on the serving thread."""

    def ask(question):
        future = futures.Future()
        future.set_result(answers.answer(question, process))
        return future

    keys = [settings.Key.model_validate(key) for key in KEYS]
    handler = daemon_operator.make_handler(keys, process.identity.incarnation, ask)
    running = server.serve(("127.0.0.1", 0), {messages.PATH: handler}, lambda: b"")
    try:
        yield running
    finally:
        running.stop()


@pytest.fixture
def addresses(tmp_path):
    """Addresses of a balancer, a sidecar and a port without a server."""
    sidecar = test_answers.make_process(answers.SIDECAR)
    test_answers.hold_flow(sidecar)
    sidecar.ring.add(500, "opened", flow=test_answers.FLOW, fields=(("service", "s"),))
    balancer = test_answers.make_process(answers.BALANCER)
    balancer.ring.add(600, "configured")
    with serve_operators(balancer) as b, serve_operators(sidecar) as s, socket.socket() as dead:
        dead.bind(("127.0.0.1", 0))
        yield {"balancer": b.address, "sidecar": s.address, "dead": dead.getsockname()}


def write(tmp_path, name, value):
    path = tmp_path / name
    path.write_text(json.dumps(value))
    return path


def address_text(address):
    return f"{address[0]}:{address[1]}"


@pytest.fixture
def options(tmp_path, addresses):
    """Options that select the three processes without a platform."""
    path = write(
        tmp_path, "op.json", {"processes": [address_text(addresses["balancer"])], "keys": KEYS}
    )
    named = [x for address in addresses.values() for x in ("--process", address_text(address))]
    return ["--settings", path, *named]


def test_status_shows_all_processes_and_marks_unreachable_ones(options):
    result = run("status", *options)
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    assert lines[0].split()[:5] == ["PROCESS", "ROLE", "ZONE", "ADDRESS", "REVISION"]
    assert any("unreachable: Connection refused" in line for line in lines)
    assert "1 of 3 did not answer" in lines
    found = json.loads(run("status", "--json", *options).output)
    assert [p["reachable"] for p in found].count(True) == 2
    assert {p["flows"] for p in found if p["reachable"]} == {0, 1}


def test_explain_names_home_ranking_and_revision(options):
    result = run("explain", "s", FLOW, "--token", test_answers.HOME.hex(), *options)
    assert result.exit_code == 0, result.output
    assert f"service s, flow {FLOW}, revision 7" in result.output
    assert "u1 (incarnation 00000000000000aa, revision 7) holds the flow" in result.output
    assert "to u1, the token names it" in result.output
    assert "did not answer: Connection refused" in result.output
    found = json.loads(run("explain", "s", FLOW, "--json", *options).output)
    assert [h["holds"] for h in found["holders"]] == ["home"]


def test_timeline_merges_and_filters(options):
    found = run("timeline", "--json", *options).output.splitlines()
    assert [json.loads(x)["event"] for x in found if x[0] == "{"] == ["opened", "configured"]
    only = run("timeline", "--flow", FLOW[:6], *options).output
    assert "service=s" in only and "configured" not in only


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        (["status"], 2, "Missing option '--settings'"),
        (["status", "--settings", "none"], 2, "none: No such file"),
        (["explain", "s", "zz"], 2, "not hexadecimal"),
        (["explain", "s", "0f0f"], 2, "a flow id is 32 hexadecimal digits"),
        (["status", "--process", "here"], 2, 'give it as "ip:port"'),
        (["nonsense"], 2, "No such command"),
    ],
)
def test_a_wrong_command_line_gives_a_message_and_status_2(options, arguments, status, message):
    settings_option = [] if "--settings" in arguments or "Missing" in message else options
    result = run(*arguments, *settings_option)
    assert result.exit_code == status
    assert message in result.output and "Traceback" not in result.output


def test_a_query_signed_with_another_key_gets_no_answer(tmp_path, addresses):
    path = write(tmp_path, "op.json", {"processes": ["127.0.0.1:1"], "keys": OTHER_KEYS})
    result = run("status", "--settings", path, "--process", address_text(addresses["sidecar"]))
    assert result.exit_code == 1
    assert "none of 1 processes answered" in result.output


def test_processes_are_listed_by_the_platform_or_else_by_a_process(tmp_path, addresses, children):
    """With the platform down, the processes are discovered from the answer of one of them."""
    platform = children.start_platform()
    for name, role in (("b1", "balancer"), ("u1", "upstream")):
        address = address_text(addresses["balancer" if role == "balancer" else "sidecar"])
        processes.publish_instance(platform, name, role, address, "a")
    processes.publish_instance(platform, "old", "upstream", "127.0.0.1:1", "a", "gone")
    known = [address_text(addresses["balancer"])]
    value = {"platform": platform.url, "processes": known, "keys": KEYS, "wait_ms": 500}
    path = write(tmp_path, "op.json", value)
    found = json.loads(run("status", "--json", "--settings", path).stdout)
    assert [p["reachable"] for p in found] == [True, True]
    platform.post("standin/mode", {"mode": "down"})
    result = run("status", "--json", "--settings", path)
    assert "the platform's list can't be read" in result.stderr
    assert {"u1", "u2", "u3"} < {p["process"] for p in json.loads(result.stdout)}


SERVICES = {"services": {"s": {"address": "10.1.0.1:1", "selector": {"app": "s"}}}}
LABELS = {"instances": {name: {"app": "s", "track": name} for name in ("u1", "u2", "u3")}}
INSTANCES = [
    {"name": f"u{n}", "role": "upstream", "address": f"10.0.0.{n}:1", "zone": "a", "state": "live"}
    for n in (1, 2, 3)
]


def test_preview_shows_what_a_selector_would_match_and_move(tmp_path, addresses, children):
    """A narrowed selector removes u1, which holds a flow, and u2 from the service."""
    platform = children.start_platform()
    processes.publish_value(platform, "services/main", SERVICES)
    processes.publish_value(platform, "labels/main", LABELS)
    for instance in INSTANCES:
        fields = {**instance, "address": address_text(addresses["sidecar"])}
        platform.post("standin/instances", fields)
    path = write(tmp_path, "op.json", {"platform": platform.url, "keys": KEYS})
    narrowed = {"services": {"s": {"address": "10.1.0.1:1", "selector": {"track": "u3"}}}}
    change = write(tmp_path, "main.json", narrowed)
    result = run("preview", change, "--settings", path, "--json")
    assert result.exit_code == 0, result.output
    found = json.loads(result.stdout)
    [service] = found["changes"]
    assert (service["before"], service["after"], service["leave"]) == (3, 1, ["u1", "u2"])
    assert service["flows"]["u1"] == 1
    assert "s: loses more than half of its upstreams at once" in found["warnings"]
    assert "u1: would serve no service" in found["warnings"]
    wrong = write(tmp_path, "main.json", {"services": {"s": {"address": "x", "selector": {}}}})
    result = run("preview", wrong, "--settings", path)
    assert result.exit_code == 2
    assert "address" in result.stderr and "selector" in result.stderr


def test_preview_from_files_needs_no_platform(tmp_path, options):
    (tmp_path / "now").mkdir()
    present = write(tmp_path / "now", "main.json", SERVICES)
    labels = write(tmp_path / "now", "all.json", LABELS)
    listed = write(tmp_path, "instances.json", INSTANCES)
    change = write(tmp_path, "main.json", {"services": {}})
    unlisted = write(tmp_path, "all.json", {"instances": {**LABELS["instances"], "u9": {}}})
    arguments = ["--present", present, "--present", labels, "--instances", listed, "--no-flows"]
    result = run("preview", change, unlisted, *arguments, *options)
    assert result.exit_code == 0, result.output
    assert "3 -> absent" in result.output
    assert "warning: s: the service is removed; its flows end" in result.output
    assert "warning: u9: has labels but is not on the platform's list" in result.output
    assert "1 services change, 0 stay as they are" in result.output


TRAITS = {"kind": "upload", "objective_ms": 1_089, "timeout_ms": 5_445, "priority": 1}


def test_preview_and_check_show_the_traits_of_requests(tmp_path, options):
    (tmp_path / "now").mkdir()
    present = write(tmp_path / "now", "main.json", SERVICES)
    listed = write(tmp_path, "instances.json", INSTANCES)
    stated = {"services": {"s": {**SERVICES["services"]["s"], **TRAITS}}}
    change = write(tmp_path, "main.json", stated)
    shown = "upload, objective 1089 ms, timeout 5445 ms, priority 1"
    checked = run("check", change, present)
    assert f"main.json: services document ok\n  s: requests: {shown}\n" in checked.output
    assert checked.output.count("requests") == 1
    arguments = ["--present", present, "--instances", listed, "--no-flows", *options]
    result = run("preview", change, *arguments)
    assert result.exit_code == 0, result.output
    assert f"not stated -> {shown}" in result.output
    [service] = json.loads(run("preview", change, "--json", *arguments).stdout)["changes"]
    assert service["requests_before"]["kind"] is None
    assert service["requests_after"] == TRAITS


def test_check_accepts_every_example():
    examples = sorted((ROOT / "examples").glob("*.json5"))
    result = run("check", *examples)
    assert result.exit_code == 0, result.output
    assert result.output.count(" ok\n") == len(examples) >= 5


def test_check_shows_every_fault_of_every_file(tmp_path):
    first = write(tmp_path, "a.json", {"name": "a", "listn": "x", "upstrem": "y", "zone": ""})
    second = write(tmp_path, "b.json", {"services": {"s": {"adress": "1", "selector": {}}}})
    third = write(tmp_path, "c.json", {"nothing": "known"})
    result = run("check", first, second, third, tmp_path / "none")
    assert result.exit_code == 2
    for message in ("a.json: zone: ", "a.json: listn: ", "b.json: services.s.", "c.json: holds no"):
        assert message in result.output
    assert "none: No such file" in result.output


def test_settings_page_is_what_the_command_prints():
    printed = run("settings").output
    assert printed == (ROOT / "docs" / "SETTINGS.md").read_text()
    assert printed.count("| required |") > 10
    assert "| `from_upstream` | ip:port | required for sidecars |" in printed
    assert "| `objective_ms` | number from 0 to 3600000 | `0` |" in printed


@pytest.mark.parametrize("shell", ["bash", "fish", "zsh"])
def test_completion(shell):
    result = run("completion", shell)
    assert result.exit_code == 0 and "_EBONYSTILE_COMPLETE" in result.output


def test_version_and_help():
    assert run("--version").output == f"ebonystile, version {ebonystile.__version__}\n"
    assert all(name in run("--help").output for name in operator.main.commands)
