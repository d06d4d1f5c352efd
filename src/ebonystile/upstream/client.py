"""A client for one upstream (docs/UPSTREAM.md): run, cancel, health, load, feeds and drain.

Nothing is retried here: a request that was sent may run although its answer is lost, and a retry
could run it again. The calling code decides by `UpstreamError.may_have_run`.
"""

import dataclasses
import typing
import urllib.parse

import cbor2
import pydantic

from ebonystile import clock, errors, webclient
from ebonystile.caller import messages

MAX_ANSWER_BYTES = messages.MAX_PARTS * messages.PART_BYTES
"""Largest answer in bytes that can be sent to a caller in parts."""

MAX_REPORT_BYTES = 1 << 16
"""Largest response on the control connections, in bytes."""

MAX_EVENTS_BYTES = 4 << 20
"""Largest response of a feed, in bytes."""

MAX_RETRY_MS = 600_000
"""Longest retry delay that an upstream may set, in milliseconds; longer ones are shortened."""

CONTROL_TIMEOUT_MS = 1000
"""Timeout of health, load, cancellation and drain calls, in milliseconds."""

POLL_MARGIN_MS = 2000
"""Time added to the timeout of a long poll for its response to arrive, in milliseconds."""

CONTROL_CONNECTIONS = 4

FEED_CONNECTIONS = 32
"""Pooled connections for long polls; further ones are opened as needed, but not reused."""

NO_ANSWER_STATUSES = frozenset({421, 499, 502, 503, 504})
"""HTTP statuses that mean no answer of the service; every other status is an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request for the upstream; `deadline` is in milliseconds since the epoch."""

    request: bytes
    service: str
    path: str
    body: bytes
    deadline: int
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The service's answer to a request."""

    status: int
    body: bytes


class Health(pydantic.BaseModel):
    """The health that an upstream reports."""

    model_config = pydantic.ConfigDict(frozen=True, strict=True)

    ok: bool
    draining: bool
    cold: bool


class Load(pydantic.BaseModel):
    """The load that an upstream reports."""

    model_config = pydantic.ConfigDict(frozen=True, strict=True)

    running: pydantic.NonNegativeInt
    queued: pydantic.NonNegativeInt
    slots: pydantic.NonNegativeInt
    connections: pydantic.NonNegativeInt
    connection_limit: pydantic.NonNegativeInt


Report = typing.TypeVar("Report", Health, Load)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a feed; positions start at 1 and have no gaps."""

    position: int
    body: bytes


class Upstream:
    """A client for one upstream; its methods block and are thread-safe.

    Requests, feeds and control calls use separate connection pools, so that neither long polls nor
    running requests can delay a cancellation or a health check.
    """

    def __init__(self, url: str, connections: int, now: webclient.Clock):
        self.url = url
        self.now = now
        self.requests = webclient.Client(url, connections, block=True, now=now)
        self.feeds = webclient.Client(url, FEED_CONNECTIONS, block=False, now=now)
        self.control = webclient.Client(url, CONTROL_CONNECTIONS, block=False, now=now)

    def run(self, job: Job) -> Reply:
        """Run the job and return the service's answer.

        Raise `UpstreamError` if there is none; its `may_have_run` is False only if nothing was sent
        or the upstream reported that it did not start the job.
        """
        headers = {
            "X-Request-Id": job.request.hex(),
            "X-Service": job.service,
            "X-Deadline": str(job.deadline),
            "X-Idempotent": "1" if job.idempotent else "0",
        }
        response = self.requests.exchange(
            "POST",
            f"/requests/{self.quote_path(job.path, 'run request')}",
            deadline=job.deadline,
            limit=MAX_ANSWER_BYTES,
            fail=self.error_factory("run request"),
            headers=headers,
            body=job.body,
        )
        not_run = response.headers.get("X-Not-Run")
        if not_run is not None or response.status in NO_ANSWER_STATUSES:
            raise self.make_status_error(response, "run request", may_have_run=not_run != "1")
        return Reply(response.status, response.body)

    def cancel(self, request: bytes) -> None:
        """Cancel a request."""
        self.call_control("DELETE", f"/requests/{request.hex()}", "cancel request")

    def drain(self) -> None:
        """Ask the upstream to finish its running requests and accept no new ones."""
        self.call_control("POST", "/drain", "begin drain")

    def health(self) -> Health:
        """Return the health that the upstream reports, which may be stale or wrong."""
        return self.read_report("/health", Health, "read health")

    def load(self) -> Load:
        """Return the load that the upstream reports, which may be stale or wrong."""
        return self.read_report("/load", Load, "read load")

    def events(
        self, path: str, after: int, limit: int, wait_until: int, *, service: str
    ) -> list[Event]:
        """Return at most `limit` events that follow position `after`.

        Wait for the first one until `wait_until` (ms since the epoch); return an empty list if none
        came. Raise `UpstreamError` if positions do not continue from `after` without gaps.
        """
        step = "read feed"
        wait_ms = max(0, wait_until - self.now())
        query = urllib.parse.urlencode({"after": after, "limit": limit, "wait_ms": wait_ms})
        response = self.feeds.exchange(
            "GET",
            f"/feeds/{self.quote_path(path, step)}?{query}",
            deadline=self.now() + wait_ms + POLL_MARGIN_MS,
            limit=MAX_EVENTS_BYTES,
            fail=self.error_factory(step),
            headers={"X-Service": service},
        )
        if response.status != 200:
            raise self.make_status_error(response, step, may_have_run=False)
        return self.parse_events(response.body, after, limit, step)

    def parse_events(self, body: bytes, after: int, limit: int, step: str) -> list[Event]:
        """Return the events in a feed's response; raise `UpstreamError` if any is malformed."""
        try:
            items = cbor2.loads(body)
        except (cbor2.CBORError, ValueError, RecursionError) as error:
            raise self.make_error(f"not CBOR: {error}", step) from error
        if type(items) is not list or len(items) > limit:
            raise self.make_error(f"not a list of at most {limit} events", step)
        events = []
        for position, item in enumerate(items, after + 1):
            match item:
                case [int(number), bytes(event)] if number == position:
                    events.append(Event(position, event))
                case _:
                    raise self.make_error(f"no valid event at position {position}", step)
        return events

    def quote_path(self, path: str, step: str) -> str:
        """Return a caller's path, quoted for the request line.

        Dot segments are refused before anything is sent: `../drain` would leave `requests/` and
        drain the upstream.
        """
        if {".", ".."} & set(path.split("/")):
            raise errors.UpstreamError(
                "dot segments in the path", step=step, peer=self.url, may_have_run=False
            )
        return urllib.parse.quote(path)

    def call_control(self, method: str, path: str, step: str) -> webclient.Response:
        """Make a call on the control connections; raise `UpstreamError` unless it succeeds."""
        response = self.control.exchange(
            method,
            path,
            deadline=self.now() + CONTROL_TIMEOUT_MS,
            limit=MAX_REPORT_BYTES,
            fail=self.error_factory(step),
        )
        if response.status != 200:
            raise self.make_status_error(response, step, may_have_run=False)
        return response

    def read_report(self, path: str, model: type[Report], step: str) -> Report:
        """Return the report at `path`; raise `UpstreamError` if it is malformed."""
        response = self.call_control("GET", path, step)
        try:
            return model.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            fault = error.errors()[0]
            raise self.make_error(f"{fault['loc']}: {fault['msg']}", step) from error

    def make_status_error(
        self, response: webclient.Response, step: str, *, may_have_run: bool
    ) -> errors.UpstreamError:
        """Return the error for a response with an unexpected status, with its retry time."""
        return errors.UpstreamError(
            f"status {response.status}",
            step=step,
            peer=self.url,
            may_have_run=may_have_run,
            retry_at=self.retry_at(response),
        )

    def retry_at(self, response: webclient.Response) -> int | None:
        """Return the retry time of a response (ms), or None if it has no valid one."""
        text = response.headers.get("Retry-After-Ms", "")
        if not (text.isascii() and text.isdecimal() and len(text) < 10):
            return None
        return self.now() + min(int(text), MAX_RETRY_MS)

    def make_error(self, reason: str, step: str) -> errors.UpstreamError:
        """Return the error for a malformed response."""
        return errors.UpstreamError(reason, step=step, peer=self.url)

    def error_factory(self, step: str) -> webclient.ErrorMaker:
        """Return a function that creates the errors of one step."""
        return lambda reason, may_have_run: errors.UpstreamError(
            reason, step=step, peer=self.url, may_have_run=may_have_run
        )

    def close(self) -> None:
        """Close the pooled connections."""
        for client in (self.requests, self.feeds, self.control):
            client.close()


def make_upstream(url: str, connections: int, now: webclient.Clock = clock.now) -> Upstream:
    """Return a client for the upstream at `url` that runs at most `connections` jobs at a time."""
    return Upstream(url, connections, now)
