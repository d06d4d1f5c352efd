"""Check, over a wire's whole run, what must always hold; each fault found is one line."""

import collections

import tests.wire as wires
from ebonystile.core.calls import call, events, ledger, progress, sidecar_state

LATE_MS = call.SETTLE_GRACE_MS + call.MAX_RESEND_MS
"""A final word is later than promised if it comes this long after its deadline."""

MAX_HONOURED_INCARNATIONS = 64


class Checks:
    """Follow every decision of a wire; `faults` gathers what should not have happened."""

    def __init__(self, wire: wires.Wire):
        self.wire = wire
        self.faults: list[str] = []
        self.revisions: dict[int, tuple[int, int]] = {}
        self.asked: dict[bytes, Asked] = {}
        wire.on_decision = self.after_event

    def fault(self, text: str) -> None:
        """Note a fault once."""
        line = f"t={self.wire.now - wires.START}: {text}"
        if not any(known.endswith(text) for known in self.faults):
            self.faults.append(line)

    def after_event(self, home: wires.SidecarProcess, event) -> None:
        """Check one home after one decision."""
        core = home.core
        revision = (core.view.revision, core.view.instances_revision)
        if revision < self.revisions.get(core.incarnation, (0, 0)):
            self.fault(f"{home.name}: the view went back")
        self.revisions[core.incarnation] = revision
        if isinstance(event, events.Tick):
            check_tables(self, home.name, core)
        else:
            check_single_home(self)

    def ask(self, caller: call.Call, request: bytes, body: bytes, path: str, idempotent: bool):
        """Remember what a caller asked, so that the end can be judged."""
        deadline = caller.pending[request].deadline
        self.asked[request] = Asked(caller, body, path, deadline, idempotent)

    def at_end(self) -> list[str]:
        """Judge the whole run and return the faults."""
        self.faults += self.wire.misplaced_runs
        check_runs(self)
        check_words(self)
        check_feeds(self)
        return self.faults


class Asked:
    """One request as its caller asked it, and its final word."""

    def __init__(self, caller, body, path, deadline, idempotent):
        self.caller = caller
        self.body = body
        self.path = path
        self.deadline = deadline
        self.idempotent = idempotent
        self.result: progress.Result | None = None
        self.told_at = 0


def check_tables(checks: Checks, name: str, core: sidecar_state.SidecarState) -> None:
    """Check that no table grows beyond its bound and that the counts agree with the tables."""
    entries = core.ledger.entries.values()
    receiving = sum(len(p) for e in entries for p in e.parts.values())
    if receiving != core.upload_bytes:
        checks.fault(f"{name}: {core.upload_bytes} bytes counted, {receiving} held")
    if len(core.flows) > core.limits.max_flows or len(entries) > core.limits.max_records:
        checks.fault(f"{name}: a table is beyond its bound")
    if len(core.sources) > 8:
        checks.fault(f"{name}: too many feeds are polled")
    if any(len(f.honoured_incarnations) > MAX_HONOURED_INCARNATIONS for f in core.flows.values()):
        checks.fault(f"{name}: a flow answers for ever more incarnations")
    running = {e.key for e in entries if e.state is ledger.RequestState.RUNNING}
    if running != set(core.slots.running):
        checks.fault(f"{name}: slots and ledger disagree")


def check_single_home(checks: Checks) -> None:
    """Check that no incarnation is answered for by two homes that may run requests."""
    held = collections.defaultdict(set)
    for home in checks.wire.sidecars.values():
        for flow in home.core.flows.values() if home.core else ():
            if flow.is_fenced:
                continue
            for incarnation in flow.honoured_incarnations:
                held[(flow.id, incarnation)].add(home.name)
    for names in held.values():
        if len(names) > 1:
            checks.fault(f"two homes of one flow may run: {sorted(names)}")


def check_runs(checks: Checks) -> None:
    """Check that nothing ran twice that must not, and nothing ran that was said not to have."""
    wire = checks.wire
    bodies = collections.Counter()
    for request, asked in checks.asked.items():
        if not asked.idempotent:
            bodies[asked.body] += wire.all_runs[request]
    for body, count in bodies.items():
        if count > 1:
            checks.fault(f"{body[:12]!r} ran {count} times")
    for request in wire.reported_not_run:
        if wire.all_runs[request]:
            checks.fault(f"{checks.asked[request].body[:12]!r} was said not run, but ran")


def check_words(checks: Checks) -> None:
    """Check that every caller has the whole right answer or a truthful final word, in time."""
    for request, asked in checks.asked.items():
        label = f"{asked.body[:12]!r}"
        if asked.result is None:
            # A caller that closes its flow ends what is under way on it by itself.
            if not asked.caller.closed:
                checks.fault(f"{label}: no final word")
            continue
        if asked.told_at > asked.deadline + LATE_MS:
            checks.fault(f"{label}: the final word came {asked.told_at - asked.deadline} ms late")
        if asked.result.outcome is progress.Outcome.ANSWERED:
            if asked.result.body != checks.wire.answer_to(asked.path, asked.body):
                checks.fault(f"{label}: a wrong answer")
        elif asked.result.outcome is progress.Outcome.NOT_RUN and checks.wire.all_runs[request]:
            checks.fault(f"{label}: told not run, but it ran")


def check_feeds(checks: Checks) -> None:
    """Check that feeds lose and repeat nothing."""
    for caller in checks.wire.callers.values():
        positions = collections.defaultdict(list)
        for event in caller.events:
            positions[event.subscription].append(event.position)
            if event.body != b"event %d" % event.position:
                checks.fault("a feed brought a wrong event")
        for seen in positions.values():
            if seen != list(range(seen[0], seen[0] + len(seen))):
                checks.fault("a feed lost or repeated an event")
