"""Convert the policy settings into the parameters of the cores."""

from ebonystile import settings
from ebonystile.core import fairness
from ebonystile.core.calls import limits
from ebonystile.core.placing import balance, placement, suspicion


def make_policy(config: settings.SpreadingSettings) -> balance.Policy:
    """Return a sidecar's policy for placement, queueing, load reports and suspicion."""
    return balance.Policy(
        placement_policy=make_placement(config),
        max_passes=config.passes,
        order=limits.Order(config.queue_order),
        adaptive=config.when_shed == "shrink",
        max_retry_ms=config.return_horizon_ms,
        report_interval_ms=config.report_ms,
        min_report_gap_ms=config.report_least_ms,
        report_work_step=config.report_step,
        report_fanout=config.report_fanout,
        stale_after_ms=config.stale_after_ms,
        ramp_ms=config.ramp_ms,
        reported_load_ttl_ms=config.claim_frozen_ms,
        suspicion_rules=suspicion.Rules(
            failures=config.suspect_failures,
            hold_ms=config.suspect_hold_ms,
            max_hold_ms=max(config.suspect_hold_ms, config.suspect_longest_ms),
        ),
    )


def make_placement(config: settings.SpreadingSettings) -> placement.Policy:
    """Return the policy that places a new flow here or forwards its open to another sidecar."""
    if config.placement == "power-of-two":
        return placement.PowerOfTwo(
            config.candidates, config.work_gap, config.flow_gap, config.report_fade
        )
    others: dict[str, placement.Policy] = {
        "rendezvous": placement.KeepLocal(),
        "bounded-loads": placement.BoundedLoads(),
        "least-of-all": placement.LeastLoaded(),
        "lexicographic": placement.Lexicographic(),
    }
    return others[config.placement]


def make_gate(config: settings.GateSettings) -> fairness.Gate:
    """Return a balancer's admission gate for opens."""
    return fairness.Gate(
        fairness.Bounds(
            config.opens_per_second,
            config.lag_ms,
            config.return_soonest_ms,
            max(config.return_soonest_ms, config.return_latest_ms),
        )
    )
