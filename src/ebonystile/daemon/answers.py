"""Answer operators' questions from the state of a core; called by the thread that owns the core."""

import dataclasses
import functools

import ebonystile
from ebonystile import timeline
from ebonystile.core import view
from ebonystile.core.calls import balancer, sidecar_state
from ebonystile.core.placing import ranking
from ebonystile.operator import messages

MAX_RECORDS_BYTES = 1_500_000
"""Upper bound on the bytes of events in one answer, so that it fits a websocket message."""

BALANCER = "balancer"
SIDECAR = "sidecar"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a process; `started_at` is the time of its start in ms."""

    name: str
    role: str
    zone: str
    incarnation: int
    started_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShellState:
    """State outside the core: queued inbox items, suspected processes, refused documents."""

    queued: int = 0
    leaving: str = ""
    suspected: tuple[str, ...] = ()
    refusals: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessState:
    """A snapshot of a process, taken by its owner thread to answer an operator's question."""

    core: balancer.Balancer | sidecar_state.SidecarState
    identity: Identity
    shell: ShellState
    ring: timeline.EventRing
    now: int


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSummary:
    """The numbers of flows and requests of a core, and the services that it serves."""

    flows: int = 0
    running: int = 0
    queued: int = 0
    leaving: str = ""
    services: tuple[str, ...] = ()


@functools.singledispatch
def answer(question: messages.Question, process: ProcessState) -> messages.Answer:
    """Return the answer to one question."""
    return messages.Refused(question.id, "unknown question")


@answer.register
def _(question: messages.StatusRequest, process: ProcessState) -> messages.Status:
    identity = process.identity
    summary = summarize_core(process.core)
    return messages.Status(
        id=question.id,
        process=identity.name,
        role=identity.role,
        zone=identity.zone,
        version=ebonystile.__version__,
        incarnation=identity.incarnation,
        now=process.now,
        started=identity.started_at,
        revision=process.core.view.revision,
        instances_revision=process.core.view.instances_revision,
        leaving=summary.leaving or process.shell.leaving,
        flows=summary.flows,
        running=summary.running,
        queued=summary.queued + process.shell.queued,
        suspected=process.shell.suspected,
        services=summary.services,
        refusals=process.shell.refusals,
    )


@answer.register
def _(question: messages.EventsRequest, process: ProcessState) -> messages.Events:
    record_filter = timeline.Filter(
        question.flow, question.request, question.upstream, question.event, question.since
    )
    limit = min(question.limit, messages.MAX_EVENTS)
    records = []
    size = 0
    for record in reversed(process.ring.select(record_filter, limit)):
        encoded = messages.RECORDS.encode(record)
        size += len(encoded)
        if size > MAX_RECORDS_BYTES:
            break
        records.append(encoded)
    return messages.Events(question.id, tuple(reversed(records)))


@answer.register
def _(question: messages.ExplainRequest, process: ProcessState) -> messages.Explanation:
    service = process.core.view.services.get(question.service)
    upstreams = service.upstreams if service else ()
    ranked = ranking.rank(question.flow, (u for u in upstreams if not u.leaving))
    sends_to, why = find_route(process.core, question)
    holds, target = find_flow_status(process.core, question)
    return messages.Explanation(
        id=question.id,
        process=process.identity.name,
        role=process.identity.role,
        incarnation=process.identity.incarnation,
        revision=process.core.view.revision,
        known=service is not None,
        ranking=tuple(u.name for u in ranked),
        leaving=tuple(u.name for u in upstreams if u.leaving),
        sends_to=sends_to,
        why=why,
        holds=holds,
        target=target,
    )


@answer.register
def _(question: messages.ProcessesRequest, process: ProcessState) -> messages.Processes:
    current_view = process.core.view
    balancers = [(f"{a[0]}:{a[1]}", BALANCER, a) for a in current_view.balancers]
    sidecars = [(e.name, SIDECAR, e.address) for e in current_view.endpoints.values()]
    return messages.Processes(question.id, (*balancers, *sorted(sidecars)))


@functools.singledispatch
def summarize_core(core: balancer.Balancer | sidecar_state.SidecarState) -> CoreSummary:
    """Return a summary of the core; a balancer has no flows and no requests."""
    return CoreSummary()


@summarize_core.register
def _(core: sidecar_state.SidecarState) -> CoreSummary:
    flow_count = sum(not flow.is_fenced for flow in core.flows.values())
    slots = core.slots
    return CoreSummary(
        flow_count,
        len(slots.running),
        len(slots.queue),
        core.leaving_reason,
        tuple(core.served_services),
    )


def find_route(
    core: balancer.Balancer | sidecar_state.SidecarState, question: messages.ExplainRequest
) -> tuple[str, str]:
    """Return the upstream that the question's token maps to in this view, and the reason."""
    token = view.unpack_token(question.token)
    if token is None:
        return "", "no token: an open goes by the ranking"
    if token.service != view.key_of(question.service):
        return "", "the token is of another service: dropped"
    home = core.view.endpoints.get(token.upstream)
    if home is None:
        return "", "the token's upstream is not in this view: an open goes by the ranking"
    return home.name, f"the token names it (flow incarnation {token.incarnation:016x})"


@functools.singledispatch
def find_flow_status(
    core: balancer.Balancer | sidecar_state.SidecarState, question: messages.ExplainRequest
) -> tuple[int, str]:
    """Return the status of the flow in this process, and its target where it moves or has moved."""
    return messages.ABSENT, ""


@find_flow_status.register
def _(core: sidecar_state.SidecarState, question: messages.ExplainRequest) -> tuple[int, str]:
    flow = core.flows.get(question.flow)
    if flow is None or flow.service != question.service:
        return messages.ABSENT, ""
    if flow.moved_to is not None:
        return messages.MOVED, flow.moved_to.name
    if flow.handover is not None:
        return messages.FENCED, flow.handover.target.name
    return messages.HOME, core.name
