"""Tell where a flow goes and why, from what each process says of it."""

import dataclasses
import typing
from collections import abc

from ebonystile.operator import client, messages

HOLDS = {
    messages.HOME: "holds the flow",
    messages.FENCED: "is handing the flow over to {target}",
    messages.MOVED: "handed the flow over to {target} and passes its packets on",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What all processes together say of one flow; `revision` is the highest seen."""

    service: str
    flow: bytes
    revision: int
    newest: tuple[messages.Explanation, ...]
    behind: tuple[messages.Explanation, ...]
    holders: tuple[messages.Explanation, ...]
    silent: tuple[client.Reply, ...]


def route_of(service: str, flow: bytes, replies: abc.Sequence[client.Reply]) -> Route:
    """Return the route by the answers of all processes."""
    told = [r.answer for r in replies if isinstance(r.answer, messages.Explanation)]
    told.sort(key=lambda e: (e.role, e.process))
    revision = max((e.revision for e in told), default=0)
    return Route(
        service,
        flow,
        revision,
        tuple(e for e in told if e.revision == revision),
        tuple(e for e in told if e.revision < revision),
        tuple(e for e in told if e.holds != messages.ABSENT),
        tuple(r for r in replies if not isinstance(r.answer, messages.Explanation)),
    )


def lines(route: Route) -> list[str]:
    """Return the explanation as lines of text."""
    return [
        f"service {route.service}, flow {route.flow.hex()}, revision {route.revision}",
        *ranking_lines(route),
        *holder_lines(route),
        *routing_lines(route),
        *caveat_lines(route),
    ]


def ranking_lines(route: Route) -> list[str]:
    """Tell where opens of the flow go at the newest revision."""
    if not route.newest:
        return ["no process answered"]
    said = route.newest[0]
    if not said.known:
        return [f"no service of this name at revision {said.revision}: opens are refused"]
    if not said.ranking:
        return ["no upstream of the service takes new flows: opens are refused"]
    tried = ", ".join(f"{n}. {name}" for n, name in enumerate(said.ranking, 1))
    found = [f"a new open tries, by its attempts: {tried}"]
    if said.leaving:
        found.append(f"leaving, kept for the flows that they hold: {', '.join(said.leaving)}")
    return found


def holder_lines(route: Route) -> list[str]:
    """Tell which sidecars know the flow."""
    if not route.holders:
        return ["no process that answered holds the flow"]
    return [
        f"{e.process} (incarnation {e.incarnation:016x}, revision {e.revision}) "
        + HOLDS.get(e.holds, "is in an unknown state with the flow").format(target=e.target)
        for e in route.holders
    ]


def routing_lines(route: Route) -> list[str]:
    """Tell where balancers send the flow's packets, those of one mind on one line."""
    by_way: dict[tuple[str, str], list[str]] = {}
    for e in (*route.newest, *route.behind):
        if e.role == "balancer":
            by_way.setdefault((e.sends_to, e.why), []).append(e.process)
    return [
        f"{', '.join(names)}: {f'to {target}, ' if target else ''}{why}"
        for (target, why), names in by_way.items()
    ]


def caveat_lines(route: Route) -> list[str]:
    """Tell what may make the rest untrue."""
    behind = [f"{e.process} is at revision {e.revision}" for e in route.behind]
    silent = [f"{r.process.name} did not answer: {r.error}" for r in route.silent]
    return behind + silent


def as_json(route: Route) -> dict[str, typing.Any]:
    """Return the route as JSON holds it."""
    return {
        "service": route.service,
        "flow": route.flow.hex(),
        "revision": route.revision,
        "ranking": list(route.newest[0].ranking) if route.newest else [],
        "holders": [object_of(e) for e in route.holders],
        "processes": [object_of(e) for e in (*route.newest, *route.behind)],
        "unreachable": [{"process": r.process.name, "error": r.error} for r in route.silent],
    }


def object_of(explanation: messages.Explanation) -> dict[str, typing.Any]:
    """Return what one process says as JSON holds it."""
    names = {messages.ABSENT: "absent", messages.HOME: "home"}
    names |= {messages.FENCED: "fenced", messages.MOVED: "moved"}
    return {
        "process": explanation.process,
        "role": explanation.role,
        "incarnation": f"{explanation.incarnation:016x}",
        "revision": explanation.revision,
        "sends_to": explanation.sends_to,
        "why": explanation.why,
        "holds": names.get(explanation.holds, "unknown"),
        "target": explanation.target,
    }
