"""HTTP/1.1 client for external systems, with deadlines and bounded bodies, without retries."""

import dataclasses
import typing

import urllib3

from ebonystile import clock, errors

MIN_TIMEOUT_S = 0.001
"""Smallest timeout in seconds; with less time left, nothing is sent."""

CHUNK_BYTES = 1 << 16

Clock = typing.Callable[[], int]

ErrorMaker = typing.Callable[[str, bool], errors.EbonystileError]
"""Return an error from a reason and from whether the request may have reached the server."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response with its complete body."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes


class Client:
    """Client of one HTTP server with a pool of persistent connections.

    With `block`, a call waits for one of the `connections`; else it opens another one.
    """

    def __init__(self, url: str, connections: int, *, block: bool, now: Clock = clock.now):
        self.now = now
        self.pool = urllib3.connectionpool.connection_from_url(
            url, maxsize=connections, block=block, retries=False
        )

    def exchange(
        self,
        method: str,
        path: str,
        *,
        deadline: int,
        limit: int,
        fail: ErrorMaker,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Response:
        """Send one request and return its response of at most `limit` bytes before the deadline.

        The request is not retried, even if the server closes a persistent connection as the
        request is sent: the server may have read it, so the error reports it as possibly sent.
        """
        seconds = (deadline - self.now()) / 1000
        if seconds < MIN_TIMEOUT_S:
            raise fail("the deadline has passed", False)
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=seconds, read=seconds),
                pool_timeout=seconds,
                preload_content=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.EmptyPoolError,
            urllib3.exceptions.LocationValueError,
        ) as error:
            raise fail(f"not sent: {error}", False) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise fail(f"no answer: {error}", True) from error
        return Response(
            response.status, response.headers, self.read(response, deadline, limit, fail)
        )

    def read(
        self, response: urllib3.BaseHTTPResponse, deadline: int, limit: int, fail: ErrorMaker
    ) -> bytes:
        """Return the whole body; close the connection if the body is not read to its end."""
        parts = []
        size = 0
        try:
            for part in response.stream(CHUNK_BYTES):
                parts.append(part)
                size += len(part)
                if size > limit:
                    raise fail(f"answer larger than {limit} bytes", True)
                if self.now() > deadline:
                    raise fail("answer not complete before the deadline", True)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            response.close()
            raise fail(f"answer cut off: {error}", True) from error
        except errors.EbonystileError:
            response.close()
            raise
        response.release_conn()
        return b"".join(parts)

    def close(self) -> None:
        """Close the persistent connections."""
        self.pool.close()
