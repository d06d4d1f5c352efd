"""An endpoint restarts, and the daemon beside it a second later; idle flows are then reset."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

HEARTBEAT_S = 0.77
"""`heartbeat_ms`; the store drops an entry after three such intervals of silence."""

COLD_S = 2.0
"""How long an endpoint is slow after its start, as its entry tells (`warmup_left_ms`)."""

DOWN_S = 0.5
"""`srv_crash` with `for_s = 0.5`: how long the endpoint is down."""

KILL_AFTER_S = 1.2
"""`node_kill` with `on = "side"`, this long after the crash."""

RESTART_S = 0.1
STABLE_S = 4.0
IDLE_S = 6.0
"""Pause of the flows: longer than `stable_ms`, shorter than `idle_timeout_ms` (15 s)."""

PORT = 443
FLOW_EVERY_S, WORK_S = 0.006, 0.06
"""A load that the two other endpoints can't bear alone, with four slots each."""


async def case() -> int:
    """Return whether an open flow was reset while all machines concerned were in touch."""
    fronts = {"front-a-1": "a", "front-a-2": "a"}
    sides = {f"side-a-{n}": ("a", "ledger") for n in (1, 2, 3)}
    async with loopback.Deployment(FOLDER, fronts, sides) as world:
        world.configure([world.route("feed", PORT, "ledger")], {"ledger"})
        await world.start()
        for machine in world.sides:
            machine.endpoint.work_s = WORK_S
        await asyncio.sleep(STABLE_S + 1)
        struck = world.machine("side-a-1")
        began = loopback.now()
        if loopback.in_trouble():
            former = struck.endpoint
            world.record.write(f"the endpoint {former.name} beside {struck.name} crashes")
            former.stop()
            world.tasks.append(asyncio.create_task(expire(world, former.name)))
            await asyncio.sleep(DOWN_S)
            await world.add_endpoint(struck, "ledger", COLD_S)
            struck.endpoint.work_s = WORK_S
            world.record.write(f"{struck.endpoint.name} starts there")
        world.tasks.append(asyncio.create_task(heartbeat(world, struck)))
        flows = []
        while loopback.now() < began + KILL_AFTER_S:
            flow = world.open_flow(PORT)
            flows.append(flow)
            world.tasks.append(asyncio.create_task(flow.ask(2)))
            await asyncio.sleep(FLOW_EVERY_S)
        if loopback.in_trouble():
            world.signal(struck, signal.SIGKILL)
            struck.process.wait()
            await asyncio.sleep(RESTART_S)
            world.spawn(struck)
            world.record.write(f"the daemon of {struck.name} is started again")
        await asyncio.sleep(IDLE_S)
        return await ask_again(world, struck, [flow for flow in flows if flow.state == "open"])


async def expire(world, name) -> None:
    """Remove the entry of a silent endpoint after three intervals, as the store does."""
    await asyncio.sleep(3 * HEARTBEAT_S)
    world.store.put(f"servers/{name}", None)
    world.record.write(f"the entry of {name} has expired")


async def heartbeat(world, machine) -> None:
    """Write the entry of a cold endpoint again as its `warmup_left_ms` changes."""
    left = COLD_S
    while left > 0:
        await asyncio.sleep(HEARTBEAT_S)
        left = max(0.0, left - HEARTBEAT_S)
        world.register(machine, warmup_left_s=left)


async def ask_again(world, struck, flows) -> int:
    """Send a second request on each flow after its pause; return whether one was reset."""
    world.record.write(f"{len(flows)} flows are open; each sends a further request")
    asked_at = loopback.now()
    answers = await asyncio.gather(*(flow.ask(3) for flow in flows))
    resets = [flow for flow in flows if flow.state == "reset"]
    for flow in resets:
        held = struck.endpoint.flows.get((flow.caller, flow.route), {}).get("open")
        sender = next(m.name for m in world.machines if m.host == flow.reset_by)
        world.record.write(
            f"flow from port {flow.caller[1]}: {flow.answers} requests answered before, reset by "
            f"{sender} {flow.ended_at - asked_at:.3f} s after the request, held by the endpoint "
            f"of {struck.name}: {bool(held)}"
        )
    world.record.write(f"{sum(answers)} answered, {len(resets)} open flows reset")
    for line in world.log_of(struck).splitlines():
        if "event=certainty" in line or "event=upstream" in line:
            world.record.write(line)
    return loopback.BROKEN if resets else loopback.HELD


loopback.run(case)
