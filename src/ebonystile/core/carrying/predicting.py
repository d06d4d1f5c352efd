"""Predict from an upstream's reported load when it would finish one more request."""

import typing

from ebonystile.core.carrying import messages, routes

NOISE_SHARE = 0.25
"""Share of the median service time up to which a difference of predicted finishes counts as noise.

Many balancers decide by the same answers. If small differences counted, all would choose the same
upstream, and the next one a moment later.
"""

MIN_NOISE_MS = 3.0
"""Least difference of predicted finishes that counts, in ms: service times are measured in whole
milliseconds, and those of short requests would differ by a quarter from rounding alone."""

UNKNOWN_SHARE = 0.1
"""Service time, as a share of the objective, that is assumed while no sidecar reports one."""


def predicted_wait_ms(
    load: messages.Load, latency_ms: float = 0.0, expected_requests: float = 0.0
) -> float:
    """Return how long one more request would wait for a slot, in ms.

    `latency_ms` is used where the load reports no latency. `expected_requests` are counted besides
    the running ones.
    """
    slots = max(1, load.slots)
    ahead = max(0.0, load.running + expected_requests + 1 - slots)
    return ahead * (load.latency or latency_ms) / slots


def predicted_finish_ms(
    load: messages.Load, latency_ms: float = 0.0, expected_requests: float = 0.0
) -> float:
    """Return when one more request would be answered, in ms from now."""
    wait_ms = predicted_wait_ms(load, latency_ms, expected_requests)
    return wait_ms + (load.latency or latency_ms)


def median_latency(loads: typing.Iterable[messages.Load]) -> float:
    """Return the lower median of the known latencies in ms, 0 if there are none."""
    latencies = sorted(load.latency for load in loads if load.latency)
    return latencies[(len(latencies) - 1) // 2] if latencies else 0.0


def typical_service_ms(
    loads: typing.Iterable[messages.Load], requests: routes.RequestTraits
) -> float:
    """Return the service time in ms that counts for upstreams of which none is known."""
    return median_latency(loads) or UNKNOWN_SHARE * requests.objective_ms
