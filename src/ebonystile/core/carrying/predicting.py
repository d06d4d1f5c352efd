"""Predict from an upstream's reported load when it would finish one more request."""

from ebonystile.core.carrying import messages


def predicted_wait_ms(load: messages.Load, latency_ms: float = 0.0) -> float:
    """Return how long one more request would wait for a slot, in ms.

    `latency_ms` is used where the load reports no latency.
    """
    slots = max(1, load.slots)
    ahead = max(0, load.running + 1 - slots)
    return ahead * (load.latency or latency_ms) / slots


def predicted_finish_ms(load: messages.Load, latency_ms: float = 0.0) -> float:
    """Return when one more request would be answered, in ms from now."""
    return predicted_wait_ms(load, latency_ms) + (load.latency or latency_ms)
