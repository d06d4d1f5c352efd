"""Make answers and feed events that a caller can check without asking anyone."""

import dataclasses
import hashlib
import json

BULK_PREFIX = "answers/"
"""A request to `answers/<n>` is answered with n bytes made from its request id."""


def bulk(request: str, size: int) -> bytes:
    """Return the `size` bytes that belong to the request id (hex), the same everywhere."""
    return hashlib.shake_256(request.encode()).digest(size)


def digest(body: bytes) -> str:
    """Return the SHA-256 of a body in hex."""
    return hashlib.sha256(body).hexdigest()


def receipt(request: str, name: str, service: str, path: str, body: bytes) -> bytes:
    """Return the answer to an ordinary request: who ran it, and what arrived."""
    fields = {
        "request": request,
        "name": name,
        "service": service,
        "path": path,
        "bytes": len(body),
        "digest": digest(body),
    }
    return json.dumps(fields).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Feed:
    """A feed that is the same at every upstream of a service.

    Event `n` (from 1) of each path exists from `start + n * interval` on, both in milliseconds;
    so two upstreams with the same settings agree on every position without talking.
    """

    service: str
    start: int
    interval: int

    def latest(self, now: int) -> int:
        """Return the position of the newest event, 0 before the first."""
        return max(0, (now - self.start) // self.interval)

    def due(self, position: int) -> int:
        """Return the time from which the event exists."""
        return self.start + position * self.interval

    def event(self, path: str, position: int) -> bytes:
        """Return the body of one event."""
        return event_body(self.service, path, position)


def event_body(service: str, path: str, position: int) -> bytes:
    """Return what the event at this position says, for callers to compare."""
    name = f"{service}/{path}/{position}"
    return f"{name} {digest(name.encode())[:16]}".encode()
