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
