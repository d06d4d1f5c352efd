"""Invariants that are checked over the whole run of a wire; each violation is one line."""

import collections

import tests.wire as wires
from ebonystile.core.calls import call, events, ledger, progress, sidecar_state

OUTCOME_GRACE_MS = call.SETTLE_GRACE_MS + call.MAX_RESEND_MS
"""Longest time from a request's deadline to its outcome, in ms."""

MAX_HONOURED_INCARNATIONS = 64


class Checks:
    """Check the invariants after every decision of a wire and collect the violations."""

    def __init__(self, wire: wires.Wire):
        self.wire = wire
        self.violations: list[str] = []
        self.revisions: dict[int, tuple[int, int]] = {}
        self.requests: dict[bytes, RequestRecord] = {}
        wire.on_decision = self.after_event

    def add_violation(self, text: str) -> None:
        """Record a violation, once for each text."""
        line = f"t={self.wire.now - wires.START}: {text}"
        if not any(known.endswith(text) for known in self.violations):
            self.violations.append(line)

    def after_event(self, sidecar: wires.SidecarProcess, event) -> None:
        """Check the invariants that concern one sidecar after one decision."""
        core = sidecar.core
        revision = (core.view.revision, core.view.instances_revision)
        if revision < self.revisions.get(core.incarnation, (0, 0)):
            self.add_violation(f"{sidecar.name}: the view has an older revision than before")
        self.revisions[core.incarnation] = revision
        if isinstance(event, events.Tick):
            check_tables(self, sidecar.name, core)
        else:
            check_single_home(self)

    def record_request(
        self, caller: call.Call, request: bytes, body: bytes, path: str, idempotent: bool
    ):
        """Record a request that a caller sends, to check its outcome at the end."""
        deadline = caller.pending[request].deadline
        self.requests[request] = RequestRecord(caller, body, path, deadline, idempotent)

    def check_at_end(self) -> list[str]:
        """Check the whole run and return all violations."""
        self.violations += self.wire.misplaced_runs
        check_runs(self)
        check_outcomes(self)
        check_feeds(self)
        return self.violations


class RequestRecord:
    """A request as its caller sent it, with its result."""

    def __init__(self, caller, body, path, deadline, idempotent):
        self.caller = caller
        self.body = body
        self.path = path
        self.deadline = deadline
        self.idempotent = idempotent
        self.result: progress.Result | None = None
        self.outcome_at = 0


def check_tables(checks: Checks, name: str, core: sidecar_state.SidecarState) -> None:
    """Check that no table grows beyond its bound and that the counts agree with the tables."""
    entries = core.ledger.entries.values()
    receiving = sum(len(p) for e in entries for p in e.parts.values())
    if receiving != core.upload_bytes:
        checks.add_violation(
            f"{name}: {core.upload_bytes} upload bytes counted, {receiving} stored"
        )
    if len(core.flows) > core.limits.max_flows or len(entries) > core.limits.max_records:
        checks.add_violation(f"{name}: a table exceeds its limit")
    if len(core.sources) > 8:
        checks.add_violation(f"{name}: too many feeds are polled")
    if any(len(f.honoured_incarnations) > MAX_HONOURED_INCARNATIONS for f in core.flows.values()):
        checks.add_violation(f"{name}: a flow honours too many incarnations")
    running = {e.key for e in entries if e.state is ledger.RequestState.RUNNING}
    if running != set(core.slots.running):
        checks.add_violation(f"{name}: slots and ledger differ")


def check_single_home(checks: Checks) -> None:
    """Check that no incarnation of a flow is honoured by two homes that may run requests."""
    held = collections.defaultdict(set)
    for sidecar in checks.wire.sidecars.values():
        for flow in sidecar.core.flows.values() if sidecar.core else ():
            if flow.is_fenced:
                continue
            for incarnation in flow.honoured_incarnations:
                held[(flow.id, incarnation)].add(sidecar.name)
    for names in held.values():
        if len(names) > 1:
            checks.add_violation(f"two homes of one flow may run: {sorted(names)}")


def check_runs(checks: Checks) -> None:
    """Check that only idempotent requests ran twice and that none reported as not run ran."""
    wire = checks.wire
    bodies = collections.Counter()
    for request, record in checks.requests.items():
        if not record.idempotent:
            bodies[record.body] += wire.all_runs[request]
    for body, count in bodies.items():
        if count > 1:
            checks.add_violation(f"{body[:12]!r} ran {count} times")
    for request in wire.reported_not_run:
        if wire.all_runs[request]:
            checks.add_violation(
                f"{checks.requests[request].body[:12]!r} was reported as not run, but ran"
            )


def check_outcomes(checks: Checks) -> None:
    """Check that every request got a correct answer or a truthful outcome in time."""
    for request, record in checks.requests.items():
        label = f"{record.body[:12]!r}"
        if record.result is None:
            # A caller that closes its flow ends its pending requests itself.
            if not record.caller.closed:
                checks.add_violation(f"{label}: no outcome")
            continue
        if record.outcome_at > record.deadline + OUTCOME_GRACE_MS:
            checks.add_violation(
                f"{label}: the outcome came {record.outcome_at - record.deadline} ms late"
            )
        if record.result.outcome is progress.Outcome.ANSWERED:
            if record.result.body != checks.wire.answer_to(record.path, record.body):
                checks.add_violation(f"{label}: wrong answer")
        elif record.result.outcome is progress.Outcome.NOT_RUN and checks.wire.all_runs[request]:
            checks.add_violation(f"{label}: reported as not run, but it ran")


def check_feeds(checks: Checks) -> None:
    """Check that feeds neither lose nor repeat events."""
    for caller in checks.wire.callers.values():
        positions = collections.defaultdict(list)
        for event in caller.events:
            positions[event.subscription].append(event.position)
            if event.body != b"event %d" % event.position:
                checks.add_violation("a feed brought a wrong event")
        for seen in positions.values():
            if seen != list(range(seen[0], seen[0] + len(seen))):
                checks.add_violation("a feed lost or repeated an event")
