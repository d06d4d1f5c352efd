"""Deterministic answers and feed events that a caller can verify by itself."""

import dataclasses
import hashlib
import json

BULK_PREFIX = "answers/"
"""A request to `answers/<n>` is answered with n bytes derived from its request id."""


def bulk(request: str, size: int) -> bytes:
    """Return `size` bytes derived from a request id in hex."""
    return hashlib.shake_256(request.encode()).digest(size)


def digest(body: bytes) -> str:
    """Return the SHA-256 of a body in hex."""
    return hashlib.sha256(body).hexdigest()


def receipt(request: str, name: str, service: str, path: str, body: bytes) -> bytes:
    """Return the answer to an ordinary request: the upstream's name and what it received."""
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
    """A feed that is identical on all upstreams of a service.

    Event `n` (from 1) of each path exists from `start + n * interval` on, in milliseconds, so that
    upstreams with the same settings agree on every position.
    """

    service: str
    start: int
    interval: int

    def latest(self, now: int) -> int:
        """Return the position of the newest event, 0 before the first."""
        return max(0, (now - self.start) // self.interval)

    def due(self, position: int) -> int:
        """Return the time at which the event at a position appears."""
        return self.start + position * self.interval

    def event(self, path: str, position: int) -> bytes:
        """Return the body of an event."""
        return event_body(self.service, path, position)


def event_body(service: str, path: str, position: int) -> bytes:
    """Return the body of the event at a position, for callers to compare."""
    name = f"{service}/{path}/{position}"
    return f"{name} {digest(name.encode())[:16]}".encode()
