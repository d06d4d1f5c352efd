"""Speak docs/UPSTREAM.md with one upstream: run, cancel, health, load, feeds and drain.

Nothing here tries twice: a request that was sent may run although its answer is lost, and a second
try could run it again. Whoever calls decides, by `UpstreamError.may_have_run`.
"""

import dataclasses
import typing
import urllib.parse

import cbor2
import pydantic

from ebonystile import clock, errors, webclient
from ebonystile.caller import messages

MAX_ANSWER = messages.MAX_PARTS * messages.PART_BYTES
"""Largest answer in bytes: what can be passed on to a caller in parts."""

MAX_REPORT = 1 << 16
"""Largest answer to anything but a request or a feed, in bytes."""

MAX_EVENTS_BYTES = 4 << 20
"""Largest answer of a feed in bytes."""

MAX_RETRY_MS = 600_000
"""Longest time that an upstream may tell a caller to stay away, in milliseconds."""

CONTROL_MS = 1000
"""Time that the upstream has for health, load, cancellation and drain, in milliseconds."""

WAIT_MARGIN_MS = 2000
"""Time beyond the end of a long poll after which the answer is given up, in milliseconds."""

CONTROL_CONNECTIONS = 4

FEED_CONNECTIONS = 32
"""Kept connections for long polls; more are opened at need, but not kept."""

NO_ANSWER = frozenset({421, 499, 502, 503, 504})
"""Statuses that say that the service gave no answer; every other one is the service's answer."""


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
    """What the upstream says of its health."""

    model_config = pydantic.ConfigDict(frozen=True, strict=True)

    ok: bool
    draining: bool
    cold: bool


class Load(pydantic.BaseModel):
    """What the upstream says of its load."""

    model_config = pydantic.ConfigDict(frozen=True, strict=True)

    running: pydantic.NonNegativeInt
    queued: pydantic.NonNegativeInt
    slots: pydantic.NonNegativeInt
    connections: pydantic.NonNegativeInt
    connection_limit: pydantic.NonNegativeInt


Report = typing.TypeVar("Report", Health, Load)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a feed; positions count from 1 without gaps."""

    position: int
    body: bytes


class Upstream:
    """One upstream; every method blocks and may be called from several threads.

    Runs, feeds and control have connections of their own, so that neither long polls nor a full
    set of runs can hold up a cancellation or a health check.
    """

    def __init__(self, url: str, connections: int, now: webclient.Clock):
        self.url = url
        self.now = now
        self.work = webclient.Client(url, connections, block=True, now=now)
        self.feeds = webclient.Client(url, FEED_CONNECTIONS, block=False, now=now)
        self.control = webclient.Client(url, CONTROL_CONNECTIONS, block=False, now=now)

    def run(self, job: Job) -> Reply:
        """Run the job and return the service's answer.

        Raise `UpstreamError` where there is none; its `may_have_run` is False only if nothing was
        sent or the upstream itself said that it did not start the job.
        """
        headers = {
            "X-Request-Id": job.request.hex(),
            "X-Service": job.service,
            "X-Deadline": str(job.deadline),
            "X-Idempotent": "1" if job.idempotent else "0",
        }
        response = self.work.exchange(
            "POST",
            f"/requests/{self.safe_path(job.path, 'run request')}",
            deadline=job.deadline,
            limit=MAX_ANSWER,
            fail=self.error_maker("run request"),
            headers=headers,
            body=job.body,
        )
        not_run = response.headers.get("X-Not-Run")
        if not_run is not None or response.status in NO_ANSWER:
            raise self.refusal(response, "run request", may_have_run=not_run != "1")
        return Reply(response.status, response.body)

    def cancel(self, request: bytes) -> None:
        """Tell the upstream that nobody wants the answer any more."""
        self.command("DELETE", f"/requests/{request.hex()}", "cancel request")

    def drain(self) -> None:
        """Ask the upstream to finish what runs and to start nothing new."""
        self.command("POST", "/drain", "begin drain")

    def health(self) -> Health:
        """Ask for the upstream's health; it may lag behind or mislead."""
        return self.report("/health", Health, "read health")

    def load(self) -> Load:
        """Ask for the upstream's load; it may lag behind or mislead."""
        return self.report("/load", Load, "read load")

    def events(
        self, path: str, after: int, limit: int, wait_until: int, *, service: str
    ) -> list[Event]:
        """Return at most `limit` events that follow position `after`.

        Wait for the first until `wait_until` (ms since the epoch); an empty list says that there
        was none. Events that do not follow on `after` without a gap are an error.
        """
        step = "read feed"
        wait_ms = max(0, wait_until - self.now())
        query = urllib.parse.urlencode({"after": after, "limit": limit, "wait_ms": wait_ms})
        response = self.feeds.exchange(
            "GET",
            f"/feeds/{self.safe_path(path, step)}?{query}",
            deadline=self.now() + wait_ms + WAIT_MARGIN_MS,
            limit=MAX_EVENTS_BYTES,
            fail=self.error_maker(step),
            headers={"X-Service": service},
        )
        if response.status != 200:
            raise self.refusal(response, step, may_have_run=False)
        return self.parse_events(response.body, after, limit, step)

    def parse_events(self, body: bytes, after: int, limit: int, step: str) -> list[Event]:
        """Check every event of a feed's answer."""
        try:
            items = cbor2.loads(body)
        except (cbor2.CBORError, ValueError, RecursionError) as error:
            raise self.error(f"not CBOR: {error}", step) from error
        if type(items) is not list or len(items) > limit:
            raise self.error(f"not a list of at most {limit} events", step)
        events = []
        for position, item in enumerate(items, after + 1):
            match item:
                case [int(found), bytes(event)] if found == position:
                    events.append(Event(position, event))
                case _:
                    raise self.error(f"not the event at position {position}", step)
        return events

    def safe_path(self, path: str, step: str) -> str:
        """Return the path of a caller, quoted for the request line.

        A caller's `../drain` would reach another part of the upstream's interface than
        `requests/`, and drain it; so dot segments are refused before anything is sent.
        """
        if {".", ".."} & set(path.split("/")):
            raise errors.UpstreamError(
                "dot segments in the path", step=step, peer=self.url, may_have_run=False
            )
        return urllib.parse.quote(path)

    def command(self, method: str, path: str, step: str) -> webclient.Response:
        """Make a short call on the control connections; raise unless it succeeds."""
        response = self.control.exchange(
            method,
            path,
            deadline=self.now() + CONTROL_MS,
            limit=MAX_REPORT,
            fail=self.error_maker(step),
        )
        if response.status != 200:
            raise self.refusal(response, step, may_have_run=False)
        return response

    def report(self, path: str, model: type[Report], step: str) -> Report:
        """Read and check a report."""
        response = self.command("GET", path, step)
        try:
            return model.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            fault = error.errors()[0]
            raise self.error(f"{fault['loc']}: {fault['msg']}", step) from error

    def refusal(
        self, response: webclient.Response, step: str, *, may_have_run: bool
    ) -> errors.UpstreamError:
        """Return the error for a response that is no answer, with the time to come back."""
        return errors.UpstreamError(
            f"status {response.status}",
            step=step,
            peer=self.url,
            may_have_run=may_have_run,
            retry_at=self.retry_at(response),
        )

    def retry_at(self, response: webclient.Response) -> int | None:
        """Return the time to come back, where the upstream gave a believable one."""
        text = response.headers.get("Retry-After-Ms", "")
        if not (text.isascii() and text.isdecimal() and len(text) < 10):
            return None
        return self.now() + min(int(text), MAX_RETRY_MS)

    def error(self, reason: str, step: str) -> errors.UpstreamError:
        """Return the error for an answer that cannot be used."""
        return errors.UpstreamError(reason, step=step, peer=self.url)

    def error_maker(self, step: str) -> webclient.ErrorMaker:
        """Return what makes the errors of one step."""
        return lambda reason, may_have_run: errors.UpstreamError(
            reason, step=step, peer=self.url, may_have_run=may_have_run
        )

    def close(self) -> None:
        """Close the kept connections."""
        for client in (self.work, self.feeds, self.control):
            client.close()


def make_upstream(url: str, connections: int, now: webclient.Clock = clock.now) -> Upstream:
    """Return a client for the upstream at `url` that runs at most `connections` jobs at a time."""
    return Upstream(url, connections, now)
