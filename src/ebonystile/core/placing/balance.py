"""The load-balancing state of a sidecar: policy, siblings' loads, ramp and suspicion."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.calls import limits
from ebonystile.core.placing import load, placement, suspicion
from ebonystile.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How a sidecar distributes opens and limits its upstream.

    Load reports go to `report_fanout` siblings every `report_interval_ms`, and after a change of
    work by `report_work_step` as soon as `min_report_gap_ms` has passed since the last; a report
    older than `stale_after_ms` is ignored. An open is passed on at most `max_passes` times. A new
    upstream has its whole weight after `ramp_ms`.
    """

    placement_policy: placement.Policy = placement.PowerOfTwo()
    max_passes: int = 3
    order: limits.Order = limits.Order.FIFO
    adaptive: bool = True
    max_retry_ms: int = 10_000
    report_interval_ms: int = 1000
    min_report_gap_ms: int = 100
    report_work_step: int = 2
    report_fanout: int = 8
    stale_after_ms: int = 3000
    ramp_ms: int = 30_000
    reported_load_ttl_ms: int = 30_000
    suspicion_rules: suspicion.Rules = suspicion.Rules()


DEFAULT_POLICY = Policy()


class LoadState:
    """The load of a sidecar's own upstream and of its siblings, as this sidecar sees it."""

    def __init__(self, policy: Policy, now: int):
        self.policy = policy
        self.table = load.LoadTable(policy.stale_after_ms)
        self.reporter = load.Reporter(
            policy.report_interval_ms,
            policy.min_report_gap_ms,
            policy.report_work_step,
            policy.report_fanout,
        )
        self.receivers: tuple[view.Address, ...] = ()
        self.idle_flows = load.IdleFlows()
        self.reported_load = load.ReportedLoad(policy.reported_load_ttl_ms)
        self.ramp = load.Ramp(now, policy.ramp_ms)
        self.in_slow_start = False
        self.suspicion = suspicion.Suspicion(policy.suspicion_rules)

    def ramp_share(self, name: str, now: int) -> int:
        """Return the upstream's share of its weight after a start, a slow start or a suspicion."""
        returned = self.suspicion.ramp_share(name, now, self.policy.ramp_ms)
        return min(self.ramp.share_at(now), returned)

    def make_report(
        self, name: str, incarnation: int, zone: str, slots: limits.Limiter, flows: int, now: int
    ) -> messages.LoadReport:
        """Return a report of the observed load, without `connections` and `leaving`."""
        running, queued = len(slots.running), len(slots.queue)
        return messages.LoadReport(
            name=name,
            incarnation=incarnation,
            zone=zone,
            at=now,
            slots=slots.limits.slots,
            connections=0,
            flows=flows,
            running=running,
            queued=queued,
            pending=self.idle_flows.count(now),
            caution=self.reported_load.excess(running + queued, slots.limits.slots, now),
            latency=int(slots.mean_latency),
            ramp=self.ramp_share(name, now),
            suspected=self.suspicion.is_suspected(name),
        )


def make_limiter(policy: Policy, slots: int, queue: int) -> limits.Limiter:
    """Return the limiter of an upstream that runs no requests yet."""
    bounds = limits.Limits(slots, queue, policy.order, policy.adaptive)
    return limits.Limiter(dataclasses.replace(bounds, max_retry_ms=policy.max_retry_ms))
