"""The load-balancing state of a sidecar: policy, siblings' loads, ramp and suspicion."""

import dataclasses

from ebonystile.core import view
from ebonystile.core.calls import limits
from ebonystile.core.placing import load, placement, suspicion
from ebonystile.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How a sidecar distributes opens and limits its upstream. Times are in ms.

    Load reports go to `report_fanout` siblings every `report_every`, and after a change of work by
    `report_step` as soon as `report_least` has passed since the last; a report older than
    `stale_after` is ignored. An open is passed on at most `passes` times. A new upstream has its
    whole weight after `ramp`.
    """

    placing: placement.Policy = placement.PowerOfTwo()
    passes: int = 3
    order: limits.Order = limits.Order.FIFO
    adaptive: bool = True
    return_horizon: int = 10_000
    report_every: int = 1000
    report_least: int = 100
    report_step: int = 2
    report_fanout: int = 8
    stale_after: int = 3000
    ramp: int = 30_000
    frozen_after: int = 30_000
    suspecting: suspicion.Rules = suspicion.Rules()


DEFAULT = Policy()


class Balance:
    """What a sidecar knows of the load of its own upstream and of its siblings."""

    def __init__(self, policy: Policy, now: int):
        self.policy = policy
        self.table = load.LoadTable(policy.stale_after)
        self.reporter = load.Reporter(
            policy.report_every, policy.report_least, policy.report_step, policy.report_fanout
        )
        self.receivers: tuple[view.Address, ...] = ()
        self.fresh = load.Fresh()
        self.caution = load.Caution(policy.frozen_after)
        self.ramp = load.Ramp(now, policy.ramp)
        self.cold = False
        self.suspicion = suspicion.Suspicion(policy.suspecting)

    def ramp_at(self, name: str, now: int) -> int:
        """Return the upstream's share of its weight after a start, a cold phase or a suspicion."""
        returned = self.suspicion.ramp(name, now, self.policy.ramp)
        return min(self.ramp.at(now), returned)

    def report_of(
        self, name: str, incarnation: int, zone: str, slots: limits.Limiter, flows: int, now: int
    ) -> messages.LoadReport:
        """Return the observed load; `connections` and `leaving` are left for the caller to set."""
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
            pending=self.fresh.count(now),
            caution=self.caution.extra(running + queued, slots.limits.slots, now),
            latency=int(slots.latency),
            ramp=self.ramp_at(name, now),
            suspected=self.suspicion.suspected(name),
        )


def make_limiter(policy: Policy, slots: int, queue: int) -> limits.Limiter:
    """Return the limiter of an upstream that runs no requests yet."""
    bounds = limits.Limits(slots, queue, policy.order, policy.adaptive)
    return limits.Limiter(dataclasses.replace(bounds, return_horizon=policy.return_horizon))
