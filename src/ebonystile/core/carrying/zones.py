"""Decide by predicted finish when a new flow leaves its availability zone.

Crossing has a cost in time, so the share of flows that leave a zone grows with the wait in it.
"""

from ebonystile.core.carrying import routes

CROSSING_SHARE = 0.1
"""Cost of another availability zone as a share of the objective. Callers notice nothing while the
answer stays within the objective, and traffic between zones is charged by the byte."""

BULK_CROSSING_SHARE = 0.5
"""The same for uploads and downloads, which carry most of the bytes."""

PATH_MS = 3.0
"""Round trip between availability zones in ms, the lower bound of the cost of crossing."""

BULK_KINDS = frozenset({routes.RequestKind.UPLOAD, routes.RequestKind.DOWNLOAD})


def crossing_cost_ms(requests: routes.RequestTraits, own_finish_ms: float | None) -> float:
    """Return the cost of another zone in ms; `own_finish_ms` is None without upstreams to compare.

    Only the path counts if the own zone would answer after the objective.
    """
    if own_finish_ms is None or own_finish_ms > requests.objective_ms:
        return PATH_MS
    share = BULK_CROSSING_SHARE if requests.kind in BULK_KINDS else CROSSING_SHARE
    return max(PATH_MS, share * requests.objective_ms)


BUSY_WINDOW_FLOWS = 16
"""Window of the moving average of how often the own zone was too busy, in new flows."""

MIN_BUSY_SHARE = 0.25
"""Share of a service's new flows for which the own zone was too busy, from which upstreams of other
zones are queried in the first round. It saves a round trip and decides about no flow."""

MAX_SERVICES = 256
"""Services whose averages are kept; a further one evicts the least recently used."""


class ZoneDemand:
    """Moving averages, by service, of how often the own zone was too busy for a new flow."""

    def __init__(self) -> None:
        self.busy_shares: dict[str, float] = {}

    def record(self, service: str, was_too_busy: bool) -> None:
        """Record whether no upstream of the own zone had a short queue for a new flow."""
        share = self.busy_shares.pop(service, 0.0)
        share += (was_too_busy - share) / BUSY_WINDOW_FLOWS
        if len(self.busy_shares) >= MAX_SERVICES:
            del self.busy_shares[next(iter(self.busy_shares))]
        self.busy_shares[service] = share

    def is_often_too_busy(self, service: str) -> bool:
        """Return whether upstreams of other zones should be queried in the first round."""
        return self.busy_shares.get(service, 0.0) >= MIN_BUSY_SHARE
