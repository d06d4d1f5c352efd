"""What may befall a step of a day of carried flows; `matrix` plays it there. Times in ms."""

from __future__ import annotations

import functools
import typing

from tests.carrying import world

if typing.TYPE_CHECKING:
    from tests.carrying import matrix

OUTAGE_MS = 1_500
LONG_MS = 2_500

MESSAGE_FAULTS: dict[str, list[int]] = {
    "loss": [],
    "loss for long": [],
    "duplication": [world.DELAY_MS, 3, 700],
    "reordering": [60],
    "long delay": [LONG_MS],
    "late duplicate": [world.DELAY_MS, LONG_MS],
}
"""What becomes of the message that is the step: after how many ms its copies arrive."""


def kill(day: matrix.Day, node: world.Node, dark_ms: int = 300) -> None:
    """Kill one process; it is started again."""
    node.alive = False
    day.later(dark_ms, day.restart_process, node)


def kill_sidecar(day: matrix.Day, node: world.Node) -> None:
    """Kill a sidecar; its upstream and that one's flows live on."""
    kill(day, day.sidecar_near(node))


def kill_balancer(day: matrix.Day, node: world.Node) -> None:
    """Kill a balancer; the fabric hands its flows to another one at once."""
    killed = day.balancer_near(node)
    kill(day, killed)
    for caller in day.living:
        if caller.through is killed:
            caller.through = day.balancer_for(killed.zone, caller.number)


def kill_all(day: matrix.Day, node: world.Node) -> None:
    """Kill every process of the system at once; callers and upstreams live on."""
    for other in day.everyone():
        if other.alive:
            kill(day, other, dark_ms=day.rng.randrange(200, 500))


def crash_upstream(day: matrix.Day, node: world.Node) -> None:
    """Let an upstream crash and start anew under its id, at once or later; its flows are gone."""
    struck = day.sidecar_near(node)
    struck.upstream.flows.clear()
    struck.upstream.alive = False
    day.later(day.rng.choice([1, 900]), start_upstream, day, struck)


def start_upstream(day: matrix.Day, node: world.Node) -> None:
    """Start an upstream anew, with nothing of before."""
    if node.gone:
        return
    node.upstream.restart()
    if node.address in day.entry_of:
        entry = day.entry_of[node.address]
        day.entry(
            node, started_at=entry.started_at + 1_000, leaving=False, slow_start_until=day.now + 500
        )
        day.spread(node)


def mute_upstream(day: matrix.Day, node: world.Node) -> None:
    """Let an upstream take nothing for a while; it keeps its flows."""
    day.mute_until[day.sidecar_near(node).upstream.name] = day.now + OUTAGE_MS


def lose_power(day: matrix.Day, node: world.Node) -> None:
    """Let an instance lose power, upstream and sidecar; both are back later, with nothing."""
    struck = day.sidecar_near(node)
    entry = day.entry_of.pop(struck.address, None)
    struck.alive = struck.upstream.alive = False
    struck.upstream.flows.clear()
    day.later(700, day.spread, struck)
    day.later(1_000, power_returns, day, struck, entry)


def power_returns(day: matrix.Day, node: world.Node, entry) -> None:
    """Start what ran on an instance, under the same id."""
    if node.gone or entry is None:
        return
    day.entry_of[node.address] = entry
    start_upstream(day, node)
    day.restart_process(node)


def lose_all_power(day: matrix.Day, node: world.Node) -> None:
    """Let every instance lose power at once."""
    for other in day.sidecars:
        if other.alive:
            lose_power(day, other)
    for other in day.balancers:
        kill(day, other, 1_000)


def freeze_sidecar(day: matrix.Day, node: world.Node) -> None:
    """Stop a sidecar for a while; it wakes with its old view and full buffers."""
    day.sidecar_near(node).frozen_until = day.now + OUTAGE_MS


def freeze_balancer(day: matrix.Day, node: world.Node) -> None:
    """Stop a balancer for a while; the fabric still sends it packets."""
    day.balancer_near(node).frozen_until = day.now + OUTAGE_MS


def cut_off(day: matrix.Day, node: world.Node, outward=True, inward=True) -> None:
    """Cut a sidecar off from every balancer."""
    struck = day.sidecar_near(node)
    cuts = set()
    for other in day.balancers:
        cuts |= {(struck.address, other.address)} if outward else set()
        cuts |= {(other.address, struck.address)} if inward else set()
    day.cuts |= cuts
    day.later(OUTAGE_MS, day.cuts.difference_update, cuts)


def cut_balancer(day: matrix.Day, node: world.Node) -> None:
    """Cut a balancer off from every sidecar and from the store; callers still reach it."""
    struck = day.balancer_near(node)
    cuts = {(struck.address, n.address) for n in day.sidecars}
    cuts |= {(there, here) for here, there in cuts}
    day.cuts |= cuts
    day.stale.add(struck.address)
    struck.core.set_view_current(False, day.now)
    day.later(OUTAGE_MS, day.cuts.difference_update, cuts)


def balancer_without_store(day: matrix.Day, node: world.Node) -> None:
    """Let a balancer hear nothing new of the store until the end; it knows so."""
    struck = day.balancer_near(node)
    day.stale.add(struck.address)
    struck.core.set_view_current(False, day.now)


def sidecar_without_store(day: matrix.Day, node: world.Node) -> None:
    """Let a sidecar hear nothing new of the store until the end; it knows so."""
    struck = day.sidecar_near(node)
    day.stale.add(struck.address)
    struck.core.is_view_current = False


def lose_entry(day: matrix.Day, node: world.Node) -> None:
    """Let the store drop the entry of an upstream that lives on."""
    struck = day.sidecar_near(node)
    if struck.address in day.entry_of:
        day.withheld[struck.address] = day.entry_of.pop(struck.address)
        day.lost_at[struck.address] = day.now
        day.spread(struck)


def reuse_address(day: matrix.Day, node: world.Node) -> None:
    """End an instance; its address goes to an upstream of the other service within 300 ms."""
    struck = day.sidecar_near(node)
    if struck.gone:
        return
    other = "photos" if struck.core.service == "s" else "s"
    struck.alive = struck.upstream.alive = False
    day.entry_of.pop(struck.address, None)
    day.later(300, take_address, day, struck, other)


def take_address(day: matrix.Day, node: world.Node, service: str) -> None:
    """Start an upstream of another service at the address, with a sidecar of its own."""
    if node.gone:
        return
    number = next(day.upstream_number)
    node.upstream = world.ends.Upstream(f"u{number}", 1_000_000 * number)
    node.core.service = service
    day.entry_of[node.address] = world.fleet.make_upstream(
        f"u{number}", day.now, service, node.address, node.zone, 2, slow_start_until=day.now + 500
    )
    day.restart_process(node)
    day.spread(node)


def leave_and_stay(day: matrix.Day, node: world.Node) -> None:
    """Let an upstream leave, and take that back soon."""
    struck = day.sidecar_near(node)
    day.leave(struck)
    day.later(day.rng.choice([5, 100, 600]), stay, day, struck)


def stay(day: matrix.Day, node: world.Node) -> None:
    """Let an upstream stay after all."""
    if node.address in day.entry_of:
        day.entry(node, leaving=False)
        day.spread(node)


def everybody_leaves(day: matrix.Day, node: world.Node) -> None:
    """Let all upstreams of a service leave, and take that back."""
    for other in day.sidecars:
        if other.core.service == "s" and other.alive:
            leave_and_stay(day, other)


def fabric_moves(day: matrix.Day, node: world.Node) -> None:
    """Let the fabric hand every flow to another balancer, twice."""
    day.move_flows()
    day.later(30, day.move_flows)


PROCESS_FAULTS: dict[str, typing.Callable[[matrix.Day, world.Node], None]] = {
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
    "leaving and staying": leave_and_stay,
    "everybody leaves and stays": everybody_leaves,
    "fabric moves flows twice": fabric_moves,
}
"""What strikes a process, by name."""
