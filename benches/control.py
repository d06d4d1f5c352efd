"""Measure the control part: view, spread, platform calls and flow tables against the fleet's size.

Sections: `view` (one process, target size), `flows` (sidecar core), `wire` (many control cores on
an in-memory wire with a fake clock), `churn` (a nightly replacement on that wire) and `processes`
(real daemons on loopback). Processor time on the wire is that of the cores and the codec, without
system calls; `processes` gives the whole.
"""

import argparse
import collections
import dataclasses
import gc
import math
import multiprocessing
import pathlib
import random
import statistics
import time
import tracemalloc
import typing

from benches import fleet, report, target
from ebonystile.caller import messages as caller_messages
from ebonystile.core import view
from ebonystile.core.calls import events, sidecar, sidecar_state
from ebonystile.core.control import configuration, store
from ebonystile.peer import control, messages
from standins import processes, system

MB = 1 << 20
WIRE_SIZES = (50, 100, 200, 400)
SIDECARS_PER_BALANCER = 8
LOSS = 0.02
IN_FORCE_MS, CPU_SHARE, MEMORY_MB, BYTES_S, CALLS_S = 10_000, 1.5, 32, 11_000, 200
CHANGES_DAY, REPLACED_DAY, FAILED_DAY, DAY_S = 1_800, 1_000, 22, 86_400
CHANGES_PER_REPLACEMENT = 3
"""Changes of the list when an instance is replaced: leaving, gone, and the new one."""


def rss_mb(pid: int | str = "self") -> float:
    """Return the resident memory of a process in MB; raise if it has ended."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ProcessLookupError(f"process {pid} has ended")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds (ticks of 10 ms)."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def timed(action: typing.Callable[[], typing.Any], repeat: int = 5) -> float:
    """Return the median time of an action in ms."""
    spans = []
    for _ in range(repeat):
        begin = time.perf_counter()
        action()
        spans.append((time.perf_counter() - begin) * 1000)
    return statistics.median(spans)


def in_child(work: typing.Callable[..., dict[str, float]], *arguments) -> dict[str, float]:
    """Return what `work` returns, run in a fresh process, so that its memory is its own."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(work, arguments)


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.slope, line.intercept


# The view of one process


def view_memory(scale: float) -> dict[str, float]:
    """Build a view from a packed snapshot; return resident and traced memory in MB, and size."""
    packed = control.pack_update(target.make_update(target.make_published(scale)))
    gc.collect()
    before = rss_mb()
    tracemalloc.start()
    conf = configuration.Configuration()
    conf.apply(control.unpack_update(packed))
    endpoints = len(conf.view.endpoints)
    gc.collect()
    traced = tracemalloc.get_traced_memory()[0] / MB
    peak = tracemalloc.get_traced_memory()[1] / MB
    tracemalloc.stop()
    return {"endpoints": endpoints, "traced": traced, "peak": peak, "rss": rss_mb() - before}


def bench_view() -> None:
    """Measure building and changing the view at the target size, and its memory over sizes."""
    points = []
    for scale in (0.125, 0.25, 0.5, 1.0):
        report.progress(f"view: scale {scale}")
        found = in_child(view_memory, scale)
        points.append((found["endpoints"], found["traced"]))
        size = int(found["endpoints"])
        aim = {"at_most": MEMORY_MB} if scale == 1.0 else {}
        emit(f"view_memory_{size}_traced", found["traced"], "MB", **aim)
        emit(f"view_memory_{size}_peak_traced", found["peak"], "MB", **aim)
    per_endpoint, base = slope(points)
    emit("view_memory_per_endpoint", per_endpoint * MB, "bytes")
    emit("view_memory_intercept", base, "MB")
    update = target.make_update(target.make_published())
    packed = control.pack_update(update)
    emit("snapshot_size", len(packed) / 1024, "KB")
    emit("snapshot_pack", timed(lambda: control.pack_update(update), 3), "ms")
    emit("snapshot_unpack", timed(lambda: control.unpack_update(packed), 3), "ms")
    full = timed(lambda: build(update), 3)
    emit("snapshot_apply_and_view", full, "ms")
    conf = build(update)
    for name, change in (("labels_shard", change_labels), ("instance", change_instance)):
        gc.collect()
        span = timed(change(conf), 20)
        emit(f"delta_{name}_apply_and_view", span, "ms", baseline=full, at_most=0.05)


def build(update: configuration.Update) -> configuration.Configuration:
    """Return a configuration built from scratch, its view too."""
    conf = configuration.Configuration()
    conf.apply(update)
    assert conf.view.endpoints
    return conf


def change_labels(conf: configuration.Configuration) -> typing.Callable[[], None]:
    """Return a change of one label in one shard of labels, a new one each time."""

    def change() -> None:
        revision = conf.values.complete_revision + 1
        value = {
            "instances": {
                f"upstream-{n}": target.make_labels(n, target.SERVICES)
                for n in range(target.LABELS_PER_SHARD)
            }
        }
        value["instances"]["upstream-0"]["release"] = f"r{revision}"
        entry = store.Entry(revision, configuration.pack_value(value))
        conf.apply_values(store.Delta(revision - 1, revision, 0, (("labels/000", entry),)))
        assert conf.view.revision == revision

    return change


def change_instance(conf: configuration.Configuration) -> typing.Callable[[], None]:
    """Return a change of one listed instance, leaving and staying by turns."""

    def change() -> None:
        revision = conf.instances.complete_revision + 1
        own = conf.instances.entries["upstream-0"].value
        entry = store.Entry(revision, dataclasses.replace(own, leaving=not own.leaving))
        conf.apply_instances(store.Delta(revision - 1, revision, 0, (("upstream-0", entry),)))
        assert conf.view.instances_revision == revision

    return change


# Flow tables


def bench_flows() -> None:
    """Measure what a flow costs at its home: memory, the time to open it, and a heartbeat."""
    points = []
    for count in (1_000, 2_000, 4_000, 8_000):
        found = in_child(flow_costs, count)
        points.append((count, found["bytes"]))
        emit(f"flow_open_{count}", found["open_us"], "us")
        emit(f"flow_heartbeat_{count}", found["heartbeat_us"], "us")
    per_flow, _ = slope(points)
    emit("flow_memory_at_home", per_flow, "bytes")


def flow_costs(count: int) -> dict[str, float]:
    """Open `count` flows at one sidecar core; return bytes held and times in microseconds."""
    rng = random.Random(1)
    limits = sidecar_state.Limits(max_flows=count + 1, flow_lease_ms=3_600_000)
    home = sidecar.make_sidecar("line-1", 7, limits, rng, fleet.START)
    upstream = view.make_endpoint("line-1", ("10.0.0.1", 7000), "umea")
    shown = view.make_view(1, [view.make_service("line", "10.1.0.1:443", [upstream])])
    sidecar.decide(home, events.ViewChanged(shown), fleet.START)
    opens, beats = [], []
    for number in range(count):
        flow = rng.randbytes(caller_messages.ID_BYTES)
        caller = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 9000)
        padding = bytes(caller_messages.OPEN_BYTES)
        message = caller_messages.Open(flow, "line", b"", 0, fleet.START + 60_000, padding)
        opens.append((flow, caller, caller_messages.FROM_CALLER.encode(message)))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    open_flows(home, opens)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    home.flows.clear()
    begin = time.perf_counter()
    open_flows(home, opens)
    opened = time.perf_counter() - begin
    assert len(home.flows) == count
    for flow, caller, _ in opens:
        message = caller_messages.Heartbeat(flow, "line", home.flows[flow].token)
        beats.append((flow, caller, caller_messages.FROM_CALLER.encode(message)))
    begin = time.perf_counter()
    open_flows(home, beats)
    beaten = time.perf_counter() - begin
    return {
        "bytes": held,
        "open_us": opened / count * 1e6,
        "heartbeat_us": beaten / count * 1e6,
    }


def open_flows(home: sidecar_state.SidecarState, payloads: list[tuple]) -> None:
    """Hand the callers' datagrams to the core."""
    for _, caller, payload in payloads:
        forward = messages.Forward(caller, ("10.0.0.9", 7000), (), payload)
        sidecar.decide(home, events.Arrived(forward), fleet.START + 1)


# Many cores on a wire


@dataclasses.dataclass(slots=True)
class Load:
    """What a daemon of one role used a second: messages, bytes, share of a core in percent."""

    messages: float
    bytes: float
    cpu: float


def make_wire(balancers: int, sidecars: int = 0, seed: int = 1) -> fleet.Fleet:
    """Return a fleet that has settled, over nine zones and with loss."""
    made = fleet.Fleet(seed, loss=LOSS, delay=(1, 30), measure=True)
    made.publish_value("services/000", {"services": {"service-0": target.make_service(0)}})
    seeds = ["b0", "b1", "b2"]
    for n in range(balancers):
        made.add(f"b{n}", target.ZONES[n % 9], seeds=seeds[:n])
    for n in range(sidecars):
        made.add(f"u{n}", target.ZONES[n % 9], role="upstream", seeds=seeds)
    made.run(60_000, lambda: made.has_converged(1))
    made.run(8_000)
    return made


def loads(made: fleet.Fleet, span: int) -> dict[str, Load]:
    """Let time pass and return the load by role."""
    totals = collections.defaultdict(lambda: [0, 0, 0, 0])
    before = {n: counters(node) for n, node in made.names.items()}
    made.run(span)
    for name, node in made.names.items():
        if not node.alive:
            continue
        total = totals[node.core.membership.own.role]
        grown = zip(counters(node), before.get(name, (0, 0, 0)), strict=True)
        for index, (after, first) in enumerate(grown):
            total[index] += after - first
        total[3] += 1
    return {
        role: Load(sent / count / span * 1e3, size / count / span * 1e3, busy / count / span / 1e4)
        for role, (sent, size, busy, count) in totals.items()
    }


def counters(node: fleet.Node) -> tuple[int, int, int]:
    """Return a node's messages, bytes (both ways) and processor time in ns."""
    return node.sent + node.received, node.sent_bytes + node.received_bytes, node.busy_ns


def bench_wire(sizes: typing.Sequence[int], trials: int) -> None:
    """Measure load, calls and the time until a change is in force over sizes of the fleet."""
    points = collections.defaultdict(list)
    for size in sizes:
        report.progress(f"wire: {size} balancers")
        made = make_wire(size)
        calls = sum(made.calls.values())
        load = loads(made, 10_000)["balancer"]
        rate = (sum(made.calls.values()) - calls) / 10
        emit(f"wire_{size}_messages", load.messages, "messages/s")
        emit(f"wire_{size}_bytes", load.bytes, "bytes/s", at_most=BYTES_S)
        emit(f"wire_{size}_cpu", load.cpu, "% of a core", at_most=CPU_SHARE)
        emit(f"wire_{size}_platform_calls", rate, "calls/s", at_most=CALLS_S)
        points["messages"].append((size, load.messages))
        points["bytes"].append((size, load.bytes))
        points["cpu"].append((size, load.cpu))
        points["platform_calls"].append((size, rate))
        spans = [span for _ in range(trials) for span in change_spans(made, kill=0)]
        emit_spans(f"in_force_{size}", spans)
        points["in_force_worst"].append((math.log2(size), max(spans)))
        emit_spans(f"in_force_{size}_half_of_watchers_killed", change_spans(made, kill=0.5))
        emit_spans(f"in_force_{size}_all_watchers_killed", change_spans(made, kill=1.0))
    if len(sizes) > 2:
        extrapolate(points)


def extrapolate(points: dict[str, list[tuple[float, float]]]) -> None:
    """Print the slopes and what they give at the target size."""
    aims = {"bytes": BYTES_S, "cpu": CPU_SHARE, "platform_calls": CALLS_S}
    for name, found in points.items():
        per_unit, base = slope(found)
        at = math.log2(target.BALANCERS) if name == "in_force_worst" else target.BALANCERS
        unit = "log2 of balancers" if name == "in_force_worst" else "balancer"
        aim = aims.get(name, IN_FORCE_MS if name == "in_force_worst" else None)
        emit(f"slope_{name}", per_unit, f"per {unit}")
        emit(f"extrapolated_2000_{name}", per_unit * at + base, "as measured", at_most=aim)


def change_spans(made: fleet.Fleet, kill: float) -> list[int]:
    """Publish a change, kill a share of the watchers at once; return the times in ms."""
    watchers = made.watchers()
    made.kill(*watchers[: round(len(watchers) * kill)])
    began = made.now
    number = made.streams["values"].revision + 1
    document = {"services": {"service-0": target.make_service(number)}}
    revision = made.publish_value("services/000", document)
    if not made.run(60_000, lambda: made.has_converged(revision)):
        report.progress(f"not in force everywhere within 60 s at {len(made.names)}")
    spans = [in_force(node, revision, made.now) - began for node in alive(made)]
    made.run(4_000)
    return spans


def in_force(node: fleet.Node, revision: int, now: int) -> int:
    """Return when a revision was in force at a node; `now` if it is not yet."""
    return min((t for r, t in node.in_force_at.items() if r >= revision), default=now)


def alive(made: fleet.Fleet) -> list[fleet.Node]:
    """Return the nodes that were not killed."""
    return [node for node in made.names.values() if node.alive]


def emit_spans(name: str, spans: list[int]) -> None:
    """Print the median, p99 and worst of times until a change was in force."""
    ordered = sorted(spans)
    emit(f"{name}_p50", ordered[len(ordered) // 2], "ms")
    emit(f"{name}_p99", ordered[int(len(ordered) * 0.99)], "ms")
    emit(f"{name}_worst", ordered[-1], "ms", at_most=IN_FORCE_MS)


# Replacements


def bench_churn(balancers: int, span_s: int) -> None:
    """Replace every sidecar of a small fleet, and measure what one change costs each daemon."""
    sidecars = balancers * SIDECARS_PER_BALANCER
    report.progress(f"churn: {balancers} balancers, {sidecars} sidecars")
    made = make_wire(balancers, sidecars)
    quiet = loads(made, 10_000)
    for role, load in quiet.items():
        emit(f"quiet_with_sidecars_{role}_bytes", load.bytes, "bytes/s", at_most=BYTES_S)
        emit(f"quiet_with_sidecars_{role}_cpu", load.cpu, "% of a core", at_most=CPU_SHARE)
    calls = sum(made.calls.values())
    for n in range(sidecars):
        begin = made.now + span_s * 1000 * n // sidecars
        made.at(begin, replace_sidecar, made, f"u{n}")
    night = loads(made, span_s * 1000)
    rate = CHANGES_PER_REPLACEMENT * sidecars / span_s
    emit("night_list_changes", rate, "changes/s")
    calls_s = (sum(made.calls.values()) - calls) / span_s
    emit("night_platform_calls", calls_s, "calls/s", at_most=CALLS_S)
    for role, load in night.items():
        emit(f"night_{role}_bytes", load.bytes, "bytes/s", at_most=BYTES_S)
        emit(f"night_{role}_cpu", load.cpu, "% of a core", at_most=CPU_SHARE)
        per_change = (load.bytes - quiet[role].bytes) / rate
        emit(f"night_{role}_bytes_per_list_change", per_change, "bytes")
    made.run(20_000)
    stale = sum(shown_wrongly(node, made) for node in alive(made))
    emit("night_views_wrong_20_s_later", stale, "daemons", at_most=0)
    daily = CHANGES_PER_REPLACEMENT * (REPLACED_DAY + FAILED_DAY) / DAY_S
    emit("daily_list_changes", daily, "changes/s")


def replace_sidecar(made: fleet.Fleet, name: str) -> None:
    """Drain a sidecar, stop it, and start its replacement under a new name."""
    node = made.names[name]
    made.list_instance(node, leaving=True)
    made.at(made.now + 2_000, stop_sidecar, made, node)
    seeds = ["b0", "b1", "b2"]
    zone = node.core.membership.own.zone
    made.at(made.now + 3_000, made.add, f"{name}-next", zone, "upstream", seeds)


def stop_sidecar(made: fleet.Fleet, node: fleet.Node) -> None:
    """End a drained sidecar and take it off the list."""
    made.kill(node)
    made.list_instance(node, gone=True)


def shown_wrongly(node: fleet.Node, made: fleet.Fleet) -> bool:
    """Tell whether a node's view differs from the list."""
    listed = {n for n, e in made.streams["instances"].entries.items() if e.value is not None}
    upstreams = {n for n in listed if n.startswith("u")}
    return {e.name for e in node.core.configuration.view.endpoints.values()} != upstreams


# Real processes


def bench_processes(sizes: typing.Sequence[int], span_s: float) -> None:
    """Measure real balancers and sidecars at rest, and a balancer with the target's view."""
    points = collections.defaultdict(list)
    for size in sizes:
        report.progress(f"processes: {size} balancers")
        with processes.Children() as children:
            made = system.System(children)
            made.publish_services({"line": {"app": "line"}})
            seeds: list[str] = []
            for number in range(size):
                entry = made.start_balancer(f"entry-{number}", "umea", seeds=seeds[:2])
                seeds.append(f"127.0.0.1:{entry.port}")
            upstream = children.start_upstream("line-0", "line")
            beside = made.start_sidecar("line-0", "umea", upstream, seeds=seeds[:2])
            balancers = [b.child.popen.pid for b in made.balancers.values()]
            used = measure_processes(
                {"balancer": balancers, "sidecar": [beside.child.popen.pid]}, span_s
            )
        for role, (cpu, memory) in used.items():
            emit(f"process_{size}_{role}_cpu_at_rest", cpu, "% of a core", at_most=CPU_SHARE)
            emit(f"process_{size}_{role}_rss", memory, "MB")
            points[role].append((size, cpu))
    for role, found in points.items():
        emit(f"slope_process_{role}_cpu", slope(found)[0], "% of a core per balancer")
    bench_target_process(span_s)


def measure_processes(pids: dict[str, list[int]], span_s: float) -> dict[str, tuple[float, float]]:
    """Return by role the mean processor share (percent) and resident memory (MB)."""
    time.sleep(span_s)
    before = {pid: cpu_s(pid) for group in pids.values() for pid in group}
    begin = time.monotonic()
    time.sleep(span_s)
    passed = time.monotonic() - begin
    return {
        role: (
            statistics.mean((cpu_s(pid) - before[pid]) / passed * 100 for pid in group),
            statistics.mean(rss_mb(pid) for pid in group),
        )
        for role, group in pids.items()
    }


def bench_target_process(span_s: float) -> None:
    """Measure a balancer that holds the target's configuration against one with a small one."""
    published = target.make_published()
    with processes.Children() as children:
        made = system.System(children)
        made.publish_services({"line": {"app": "line"}})
        small = made.start_balancer("entry-0", "umea")
        low = measure_processes({"balancer": [small.child.popen.pid]}, span_s)["balancer"]
        report.progress("processes: publishing the target's configuration")
        values = [{"key": k, "value": v} for k, v in published.values.items()]
        made.platform.post("standin/values", values)
        listed = [
            {
                "name": i.name,
                "role": i.role,
                "address": f"{i.address[0]}:{i.address[1]}",
                "zone": i.zone,
                "state": "live",
            }
            for i in published.instances
            if i.role == "upstream"
        ]
        made.platform.post("standin/instances", listed)
        time.sleep(span_s)
        high = measure_processes({"balancer": [small.child.popen.pid]}, span_s)["balancer"]
    emit("process_target_view_rss", high[1], "MB")
    emit("process_target_view_rss_added", high[1] - low[1], "MB", at_most=MEMORY_MB)
    emit("process_target_view_cpu_at_rest", high[0], "% of a core", at_most=CPU_SHARE)


def emit(name: str, value: float, unit: str, **options: typing.Any) -> None:
    """Print one measure."""
    report.emit(report.measure(name, float(value), unit, **options))


def main() -> None:
    """Run the sections asked for."""
    parser = argparse.ArgumentParser(prog="scripts/bench control", description=__doc__)
    sections = ("view", "flows", "wire", "churn", "processes")
    parser.add_argument("--only", choices=sections, action="append")
    parser.add_argument("--sizes", type=int, nargs="+", default=WIRE_SIZES, help="of the wire")
    parser.add_argument("--trials", type=int, default=3, help="changes at each size of the wire")
    parser.add_argument("--churn", type=int, default=20, help="balancers of the churn")
    parser.add_argument("--night", type=int, default=120, help="seconds of the churn")
    parser.add_argument("--processes", type=int, nargs="+", default=(2, 4, 8, 16))
    parser.add_argument("--span", type=float, default=5.0, help="seconds at rest for processes")
    options = parser.parse_args()
    run = options.only or sections
    if "view" in run:
        bench_view()
    if "flows" in run:
        bench_flows()
    if "wire" in run:
        bench_wire(options.sizes, options.trials)
    if "churn" in run:
        bench_churn(options.churn, options.night)
    if "processes" in run:
        bench_processes(options.processes, options.span)


if __name__ == "__main__":
    main()
