"""The faults that `matrix` injects into a scenario of carried flows. Times are in ms."""

from __future__ import annotations

import functools
import typing

from tests.carrying import world

if typing.TYPE_CHECKING:
    from tests.carrying import matrix

OUTAGE_MS = 1_500
LONG_DELAY_MS = 2_500

MESSAGE_FAULTS: dict[str, list[int]] = {
    "loss": [],
    "loss for long": [],
    "duplication": [world.DELAY_MS, 3, 700],
    "reordering": [60],
    "long delay": [LONG_DELAY_MS],
    "late duplicate": [world.DELAY_MS, LONG_DELAY_MS],
}
"""Faults of a message, with the delays of the copies that arrive."""


def kill(scenario: matrix.Scenario, node: world.Node, downtime_ms: int = 300) -> None:
    """Kill one process and restart it after its downtime."""
    node.alive = False
    scenario.schedule(downtime_ms, scenario.restart_process, node)


def kill_sidecar(scenario: matrix.Scenario, node: world.Node) -> None:
    """Kill a sidecar; its upstream keeps running and holds its flows."""
    kill(scenario, scenario.sidecar_near(node))


def kill_balancer(scenario: matrix.Scenario, node: world.Node) -> None:
    """Kill a balancer; the fabric sends its flows to another one at once."""
    killed = scenario.balancer_near(node)
    kill(scenario, killed)
    for caller in scenario.active_callers:
        if caller.through is killed:
            caller.through = scenario.balancer_for(killed.zone, caller.number)


def kill_all(scenario: matrix.Scenario, node: world.Node) -> None:
    """Kill all balancers and sidecars at once; callers and upstreams keep running."""
    for other in scenario.all_nodes():
        if other.alive:
            kill(scenario, other, downtime_ms=scenario.rng.randrange(200, 500))


def crash_upstream(scenario: matrix.Scenario, node: world.Node) -> None:
    """Crash an upstream and restart it under its id, at once or later; its flows are lost."""
    target = scenario.sidecar_near(node)
    target.upstream.flows.clear()
    target.upstream.alive = False
    scenario.schedule(scenario.rng.choice([1, 900]), start_upstream, scenario, target)


def start_upstream(scenario: matrix.Scenario, node: world.Node) -> None:
    """Restart an upstream without any flows."""
    if node.gone:
        return
    node.upstream.restart()
    if node.address in scenario.entries:
        entry = scenario.entries[node.address]
        scenario.change_entry(
            node,
            started_at=entry.started_at + 1_000,
            leaving=False,
            slow_start_until=scenario.now + 500,
        )
        scenario.distribute_entries(node)


def mute_upstream(scenario: matrix.Scenario, node: world.Node) -> None:
    """Let an upstream receive no packets for a while; it keeps its flows."""
    scenario.mute_until[scenario.sidecar_near(node).upstream.name] = scenario.now + OUTAGE_MS


def lose_power(scenario: matrix.Scenario, node: world.Node) -> None:
    """Cut the power of an instance; its upstream and sidecar restart later without state."""
    target = scenario.sidecar_near(node)
    entry = scenario.entries.pop(target.address, None)
    target.alive = target.upstream.alive = False
    target.upstream.flows.clear()
    scenario.schedule(700, scenario.distribute_entries, target)
    scenario.schedule(1_000, restore_power, scenario, target, entry)


def restore_power(scenario: matrix.Scenario, node: world.Node, entry) -> None:
    """Restart the processes of an instance under the same id."""
    if node.gone or entry is None:
        return
    scenario.entries[node.address] = entry
    start_upstream(scenario, node)
    scenario.restart_process(node)


def lose_all_power(scenario: matrix.Scenario, node: world.Node) -> None:
    """Cut the power of all instances at once."""
    for other in scenario.sidecars:
        if other.alive:
            lose_power(scenario, other)
    for other in scenario.balancers:
        kill(scenario, other, 1_000)


def freeze_sidecar(scenario: matrix.Scenario, node: world.Node) -> None:
    """Stop a sidecar for a while; it resumes with its old view and full buffers."""
    scenario.sidecar_near(node).frozen_until = scenario.now + OUTAGE_MS


def freeze_balancer(scenario: matrix.Scenario, node: world.Node) -> None:
    """Stop a balancer for a while; the fabric keeps sending it packets."""
    scenario.balancer_near(node).frozen_until = scenario.now + OUTAGE_MS


def cut_off(scenario: matrix.Scenario, node: world.Node, outward=True, inward=True) -> None:
    """Cut a sidecar off from every balancer."""
    target = scenario.sidecar_near(node)
    cuts = set()
    for other in scenario.balancers:
        cuts |= {(target.address, other.address)} if outward else set()
        cuts |= {(other.address, target.address)} if inward else set()
    scenario.cuts |= cuts
    scenario.schedule(OUTAGE_MS, scenario.cuts.difference_update, cuts)


def cut_balancer(scenario: matrix.Scenario, node: world.Node) -> None:
    """Cut a balancer off from every sidecar and from the store; callers still reach it."""
    target = scenario.balancer_near(node)
    cuts = {(target.address, n.address) for n in scenario.sidecars}
    cuts |= {(there, here) for here, there in cuts}
    scenario.cuts |= cuts
    scenario.without_store.add(target.address)
    target.core.set_view_current(False, scenario.now)
    scenario.schedule(OUTAGE_MS, scenario.cuts.difference_update, cuts)


def balancer_without_store(scenario: matrix.Scenario, node: world.Node) -> None:
    """Cut a balancer off from the store until the end; its view is not current."""
    target = scenario.balancer_near(node)
    scenario.without_store.add(target.address)
    target.core.set_view_current(False, scenario.now)


def sidecar_without_store(scenario: matrix.Scenario, node: world.Node) -> None:
    """Cut a sidecar off from the store until the end; its view is not current."""
    target = scenario.sidecar_near(node)
    scenario.without_store.add(target.address)
    target.core.is_view_current = False


def lose_entry(scenario: matrix.Scenario, node: world.Node) -> None:
    """Remove the entry of an upstream that keeps running."""
    target = scenario.sidecar_near(node)
    if target.address in scenario.entries:
        scenario.withheld_entries[target.address] = scenario.entries.pop(target.address)
        scenario.entry_lost_at[target.address] = scenario.now
        scenario.distribute_entries(target)


def reuse_address(scenario: matrix.Scenario, node: world.Node) -> None:
    """End an instance; an upstream of the other service takes its address after 300 ms."""
    target = scenario.sidecar_near(node)
    if target.gone:
        return
    other = "photos" if target.core.service == "s" else "s"
    target.alive = target.upstream.alive = False
    scenario.entries.pop(target.address, None)
    scenario.schedule(300, take_address, scenario, target, other)


def take_address(scenario: matrix.Scenario, node: world.Node, service: str) -> None:
    """Start an upstream of another service at the address, with a sidecar of its own."""
    if node.gone:
        return
    number = next(scenario.upstream_number)
    node.upstream = world.ends.Upstream(f"u{number}", 1_000_000 * number)
    node.core.service = service
    scenario.entries[node.address] = world.fleet.make_upstream(
        f"u{number}",
        scenario.now,
        service,
        node.address,
        node.zone,
        2,
        slow_start_until=scenario.now + 500,
    )
    scenario.restart_process(node)
    scenario.distribute_entries(node)


def leave_and_return(scenario: matrix.Scenario, node: world.Node) -> None:
    """Mark an upstream as leaving, and undo that soon."""
    target = scenario.sidecar_near(node)
    scenario.mark_leaving(target)
    scenario.schedule(scenario.rng.choice([5, 100, 600]), end_leaving, scenario, target)


def end_leaving(scenario: matrix.Scenario, node: world.Node) -> None:
    """Mark an upstream as no longer leaving."""
    if node.address in scenario.entries:
        scenario.change_entry(node, leaving=False)
        scenario.distribute_entries(node)


def all_leave(scenario: matrix.Scenario, node: world.Node) -> None:
    """Mark all upstreams of a service as leaving, and undo that."""
    for other in scenario.sidecars:
        if other.core.service == "s" and other.alive:
            leave_and_return(scenario, other)


def move_flows_twice(scenario: matrix.Scenario, node: world.Node) -> None:
    """Let the fabric send every flow to another balancer, twice."""
    scenario.move_flows()
    scenario.schedule(30, scenario.move_flows)


PROCESS_FAULTS: dict[str, typing.Callable[[matrix.Scenario, world.Node], None]] = {
    "sidecar killed": kill_sidecar,
    "balancer killed": kill_balancer,
    "all processes killed": kill_all,
    "upstream crashes": crash_upstream,
    "upstream silent": mute_upstream,
    "instance loses power": lose_power,
    "all instances lose power": lose_all_power,
    "sidecar frozen": freeze_sidecar,
    "balancer frozen": freeze_balancer,
    "sidecar cut off": cut_off,
    "sidecar cut off inward": functools.partial(cut_off, outward=False),
    "sidecar cut off outward": functools.partial(cut_off, inward=False),
    "balancer cut off": cut_balancer,
    "balancer without the store": balancer_without_store,
    "sidecar without the store": sidecar_without_store,
    "entry lost, upstream lives": lose_entry,
    "address used by another service": reuse_address,
    "leaving and staying": leave_and_return,
    "everybody leaves and stays": all_leave,
    "fabric moves flows twice": move_flows_twice,
}
"""Faults of processes, by name."""
