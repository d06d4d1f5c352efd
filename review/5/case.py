"""A side machine freezes; a route is added; flows on it move to a balancer that has not read it."""

import asyncio
import pathlib
import re
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

FREEZE_S = 4.0
"""`node_freeze` with `count = 1, for_s = 4.0`."""

STABLE_S = 4.0
"""`stable_ms` of the small deployments."""

ROUNDS = 3
FIRST_PORT = 500
FLOW_EVERY_S, ASK_EVERY_S = 0.01, 0.1
LONG_FLOWS = 40


async def case() -> int:
    """Return whether an open flow was reset while all machines concerned were in touch."""
    for _ in range(6):
        fronts = {f"front-a-{n}": "a" for n in (1, 2, 3)}
        sides = {f"side-a-{n}": ("a", "ledger") for n in (1, 2, 3, 4)}
        async with loopback.Deployment(FOLDER, fronts, sides) as world:
            routes = [world.route("feed", 443, "ledger")]
            world.configure([*routes], {"ledger"})
            await world.start()
            await asyncio.sleep(3)
            if len({source_of(world, front) for front in world.fronts}) < 2:
                continue
            world.tasks += [asyncio.create_task(long_flow(world)) for _ in range(LONG_FLOWS)]
            await asyncio.sleep(3)
            resets = 0
            for number in range(ROUNDS):
                routes.append(world.route(f"added-{number}", FIRST_PORT + number, "ledger"))
                resets += await play_round(world, routes, FIRST_PORT + number)
            world.record.write(f"{resets} open flows were reset")
            return loopback.BROKEN if resets else loopback.HELD
    raise RuntimeError("in each deployment all balancers read from one relay")


def source_of(world, front) -> str:
    """Return the address of the relay that a balancer reads from."""
    found = re.findall(r"event=reads_from source=([0-9.]+):", world.log_of(front))
    return found[-1] if found else ""


async def long_flow(world) -> None:
    """Keep a long flow open, with a request from time to time."""
    while True:
        flow = world.open_flow(443)
        while flow.state in ("opening", "open"):
            await flow.ask(2)
            await asyncio.sleep(0.5)


async def play_round(world, routes, port) -> int:
    """Add a route while a machine is frozen and a balancer joins; return the flows reset."""
    sources = {front.name: source_of(world, front) for front in world.fronts}
    stale = next(f for f in world.fronts if sources[f.name])
    fresh = next(f for f in world.fronts if sources[f.name] not in ("", sources[stale.name]))
    joining = next(f for f in world.fronts if f not in (stale, fresh))
    relay = next(s for s in world.sides if s.host == sources[stale.name])
    world.record.write(
        f"{stale.name} reads from {relay.name}, {fresh.name} from {sources[fresh.name]}"
    )
    # Planned work: the third balancer is stopped and, some seconds later, started.
    world.signal(joining, signal.SIGTERM)
    while joining in world.router.rotation or joining.process.poll() is None:
        await asyncio.sleep(0.02)
    await asyncio.sleep(STABLE_S + 0.5)
    await world.router.asked()
    world.spawn(joining)
    world.record.write(f"{joining.name} starts")
    if loopback.in_trouble():
        world.signal(relay, signal.SIGSTOP)
    thaw_at = loopback.now() + FREEZE_S
    await asyncio.sleep(0.05)
    world.configure([*routes], {"ledger"})
    world.record.write(f"version {world.version} confirmed: route {port} added")
    flows = []
    began = loopback.now()
    while joining not in world.router.rotation and loopback.now() < began + 1.5:
        flow = world.open_flow(port)
        flows.append(flow)
        world.tasks.append(asyncio.create_task(keep_asking(flow)))
        await asyncio.sleep(FLOW_EVERY_S)
    opened = [flow for flow in flows if flow.state == "open"]
    world.record.write(f"{len(opened)} of {len(flows)} flows are open as {joining.name} joins")
    await asyncio.sleep(1.5)
    resets = [flow for flow in flows if flow.state == "reset" and flow in opened]
    for flow in resets:
        sender = next(m.name for m in world.machines if m.host == flow.reset_by)
        holder = [
            s.name
            for s in world.sides
            if s.endpoint.flows.get((flow.caller, flow.route), {}).get("open")
        ]
        world.record.write(
            f"flow from port {flow.caller[1]} on route {port}: opened {flow.opened_at - began:.3f} "
            f"s after the confirmation, {flow.answers} requests answered, reset by {sender} "
            f"{flow.ended_at - began:.3f} s after it; held by the endpoint of {', '.join(holder)}"
        )
    await asyncio.sleep(max(0.0, thaw_at - loopback.now()))
    if loopback.in_trouble():
        world.signal(relay, signal.SIGCONT)
    await asyncio.sleep(STABLE_S)
    for flow in flows:
        flow.close()
    return len(resets)


async def keep_asking(flow) -> None:
    """Send requests on a flow until it ends."""
    while flow.state in ("opening", "open"):
        await flow.ask(1)
        await asyncio.sleep(ASK_EVERY_S)


loopback.run(case)
