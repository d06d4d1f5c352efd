"""Record every request that a sidecar may have run, so that none runs twice.

A request is recorded before it is sent to the upstream, and its record is kept until a margin
after its deadline. No request starts after its deadline, so a copy that arrives once the record has
been dropped cannot run. When the ledger is full, new requests are refused; records are never
dropped early.
"""

import dataclasses
import enum
import heapq

Key = tuple[bytes, bytes]
"""Flow id and request id."""


class RequestState(enum.IntEnum):
    """The state of a request; the values are sent in transfers."""

    RECEIVING = 1
    QUEUED = 2
    RUNNING = 3
    ANSWERED = 4
    NOT_RUN = 5
    UNKNOWN = 6


FINAL = frozenset({RequestState.ANSWERED, RequestState.NOT_RUN, RequestState.UNKNOWN})
PENDING = frozenset({RequestState.QUEUED, RequestState.RUNNING})


@dataclasses.dataclass(slots=True)
class Entry:
    """The record of one request: its received parts, then its outcome. Times are in ms."""

    flow: bytes
    request: bytes
    service: str
    path: str
    deadline: int
    idempotent: bool
    total_parts: int
    state: RequestState
    keep_until: int
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    started_at: int = 0
    answer_id: bytes = b""
    status: int = 0
    body: bytes = b""
    reason: str = ""
    retry_at: int = 0
    cancelled: bool = False

    @property
    def key(self) -> Key:
        """Return the request's key in the ledger."""
        return (self.flow, self.request)

    @property
    def is_delivered(self) -> bool:
        """Return whether the caller has acknowledged the answer, which is no longer stored."""
        return self.state is RequestState.ANSWERED and not self.answer_id


class Ledger:
    """The records of one sidecar, bounded in time by deadlines and in number by `limit`.

    A request without a record and with a deadline at or before `forgotten_before` may have had
    one that was dropped, so its outcome is unknown.
    """

    def __init__(self, limit: int, margin: int):
        self.limit = limit
        self.margin = margin
        self.entries: dict[Key, Entry] = {}
        self.by_flow: dict[bytes, dict[bytes, Entry]] = {}
        self.expiries: list[tuple[int, Key]] = []
        self.forgotten_before = 0
        self.answer_bytes = 0

    def get(self, flow: bytes, request: bytes) -> Entry | None:
        """Return the record of the request, or None."""
        return self.entries.get((flow, request))

    def of_flow(self, flow: bytes) -> list[Entry]:
        """Return the records of one flow."""
        return list(self.by_flow.get(flow, {}).values())

    @property
    def is_full(self) -> bool:
        """Return whether no further record may be added for a new request."""
        return len(self.entries) >= self.limit

    def add(self, entry: Entry) -> None:
        """Store a record."""
        self.entries[entry.key] = entry
        self.by_flow.setdefault(entry.flow, {})[entry.request] = entry
        self.answer_bytes += len(entry.body)
        heapq.heappush(self.expiries, (entry.keep_until, entry.key))

    def remove(self, entry: Entry) -> None:
        """Remove a record whose request can no longer run here."""
        del self.entries[entry.key]
        self.answer_bytes -= len(entry.body)
        requests = self.by_flow[entry.flow]
        del requests[entry.request]
        if not requests:
            del self.by_flow[entry.flow]

    def set_answer(self, entry: Entry, answer: bytes, body: bytes) -> None:
        """Set the answer id and body of a record; both are empty once delivered."""
        self.answer_bytes += len(body) - len(entry.body)
        entry.answer_id = answer
        entry.body = body

    def expire(self, now: int) -> list[Entry]:
        """Remove and return the expired records; those of pending requests stay."""
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            _, key = heapq.heappop(self.expiries)
            entry = self.entries.get(key)
            if entry is None:
                continue
            if entry.state in PENDING or entry.keep_until > now:
                heapq.heappush(self.expiries, (max(entry.keep_until, now + self.margin), key))
                continue
            self.remove(entry)
            expired.append(entry)
        self.forgotten_before = max(self.forgotten_before, now - self.margin)
        return expired


def make_tombstone(
    flow: bytes, request: bytes, service: str, deadline: int, keep_until: int
) -> Entry:
    """Return a `NOT_RUN` record, which keeps later copies of the request from running here."""
    return Entry(flow, request, service, "", deadline, False, 0, RequestState.NOT_RUN, keep_until)
