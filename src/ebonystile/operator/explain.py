"""Explain where a flow is routed and why, from the answers of all processes."""

import dataclasses
import typing
from collections import abc

from ebonystile.core import positions
from ebonystile.operator import client, messages

HOLDS = {
    messages.HOME: "holds the flow",
    messages.FENCED: "is handing the flow over to {target}",
    messages.MOVED: "handed the flow over to {target} and passes its packets on",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The merged answers about one flow, by revision; `revision` is the highest of any process.

    `holders` have a record of the flow; `unanswered` are the replies without an answer.
    """

    service: str
    flow: bytes
    revision: int
    newest: tuple[messages.Explanation, ...]
    stale: tuple[messages.Explanation, ...]
    holders: tuple[messages.Explanation, ...]
    unanswered: tuple[client.Reply, ...]


def route_of(service: str, flow: bytes, replies: abc.Sequence[client.Reply]) -> Route:
    """Build the route of a flow from the replies of all processes."""
    answers = [r.answer for r in replies if isinstance(r.answer, messages.Explanation)]
    answers.sort(key=lambda e: (e.role, e.process))
    revision = max((e.revision for e in answers), default=0)
    return Route(
        service,
        flow,
        revision,
        tuple(e for e in answers if e.revision == revision),
        tuple(e for e in answers if e.revision < revision),
        tuple(e for e in answers if e.holds != messages.ABSENT),
        tuple(r for r in replies if not isinstance(r.answer, messages.Explanation)),
    )


def lines(route: Route) -> list[str]:
    """Format the route as lines of text."""
    revision = positions.text_of(route.revision)
    return [
        f"service {route.service}, flow {route.flow.hex()}, revision {revision}",
        *ranking_lines(route),
        *holder_lines(route),
        *routing_lines(route),
        *caveat_lines(route),
    ]


def ranking_lines(route: Route) -> list[str]:
    """Return the lines on the upstreams that a new open tries at the newest revision."""
    if not route.newest:
        return ["no process answered"]
    answer = route.newest[0]
    if not answer.known:
        revision = positions.text_of(answer.revision)
        return [f"no service of this name at revision {revision}: opens are refused"]
    if not answer.ranking:
        return ["no upstream of the service takes new flows: opens are refused"]
    tried = ", ".join(f"{n}. {name}" for n, name in enumerate(answer.ranking, 1))
    parts = [f"a new open tries, in order: {tried}"]
    if answer.leaving:
        parts.append(f"leaving, kept for the flows that they hold: {', '.join(answer.leaving)}")
    return parts


def holder_lines(route: Route) -> list[str]:
    """Return a line for each sidecar that has a record of the flow."""
    if not route.holders:
        return ["no process that answered holds the flow"]
    return [
        f"{e.process} (incarnation {e.incarnation:016x}, revision {positions.text_of(e.revision)}) "
        + HOLDS.get(e.holds, "is in an unknown state with the flow").format(target=e.target)
        for e in route.holders
    ]


def routing_lines(route: Route) -> list[str]:
    """Return a line for each target of the flow's packets, with the balancers that send there."""
    by_target: dict[tuple[str, str], list[str]] = {}
    for e in (*route.newest, *route.stale):
        if e.role == "balancer":
            by_target.setdefault((e.sends_to, e.why), []).append(e.process)
    return [
        f"{', '.join(names)}: {f'to {target}, ' if target else ''}{why}"
        for (target, why), names in by_target.items()
    ]


def caveat_lines(route: Route) -> list[str]:
    """Return a line for each process whose stale or missing answer makes the rest uncertain."""
    stale = [f"{e.process} is at revision {positions.text_of(e.revision)}" for e in route.stale]
    unanswered = [f"{r.process.name} did not answer: {r.error}" for r in route.unanswered]
    return stale + unanswered


def as_json(route: Route) -> dict[str, typing.Any]:
    """Return the route as a JSON object."""
    return {
        "service": route.service,
        "flow": route.flow.hex(),
        "revision": route.revision,
        "ranking": list(route.newest[0].ranking) if route.newest else [],
        "holders": [object_of(e) for e in route.holders],
        "processes": [object_of(e) for e in (*route.newest, *route.stale)],
        "unreachable": [{"process": r.process.name, "error": r.error} for r in route.unanswered],
    }


def object_of(explanation: messages.Explanation) -> dict[str, typing.Any]:
    """Return the answer of one process as a JSON object."""
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
