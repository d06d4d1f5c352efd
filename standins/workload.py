"""Generate load on one service through the caller library and record every result.

One process serves one group of callers. It reads JSON lines on standard input: lists of balancer
addresses (each datagram goes to any of them), then `stop`. At the end it prints a line
`record {...}`, which `standins.verdict` compares with the run counts of the upstreams.
"""

import argparse
import dataclasses
import hashlib
import json
import random
import sys
import threading
import typing

from ebonystile import clock
from ebonystile.caller import client
from ebonystile.core.calls import progress
from standins import answers

OPEN_MS = 60_000
DEADLINE_MS = 15_000
"""Deadline of a request, from its start."""

GIVE_UP_MS = 30_000
"""How long a refused request is retried before it counts as lost."""

WAIT_MARGIN_MS = 20_000
"""How long after the deadline the library may take to return a result."""

STALL_MS = 5_000
"""How much longer than its interval a feed may go without an event."""

BULK_BYTES = 300_000

ARRIVAL_SECONDS = 5.0
"""Callers start spread over this time, so that load reports can follow the new flows."""


@dataclasses.dataclass(slots=True)
class Tried:
    """One attempt to send a request, with its outcome."""

    request: str
    outcome: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Errand:
    """A request that should run once, with all attempts; repeated only after `not_run`."""

    kind: str
    idempotent: bool
    took_ms: int = 0
    tries: list[Tried] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Session:
    """One flow and its faults; `latest_ms` is the longest delay of a feed event."""

    feed_events: int = 0
    latest_ms: int = 0
    reopened: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Record:
    """The results of all callers in this process."""

    service: str
    errands: list[Errand] = dataclasses.field(default_factory=list)
    sessions: list[Session] = dataclasses.field(default_factory=list)


class Users:
    """The callers of one service; each runs in its own thread."""

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.service = options.service
        self.balancers: list[tuple[str, int]] = []
        self.caller = client.make_caller(lambda: self.balancers)
        self.stopping = threading.Event()
        self.record = Record(self.service)
        self.lock = threading.Lock()
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start all callers."""
        for number in range(self.options.feeds):
            self.begin(self.crew, number)
        for number in range(self.options.uploads):
            self.begin(self.uploader, number)

    def begin(self, user: typing.Callable[[random.Random], None], number: int) -> None:
        """Start one caller with its own random source."""
        source = random.Random(f"{self.service} {user.__name__} {number}")
        thread = threading.Thread(target=self.arrive, args=(user, source), daemon=True)
        self.threads.append(thread)
        thread.start()

    def arrive(self, user: typing.Callable[[random.Random], None], source: random.Random) -> None:
        """Run one caller after a random delay."""
        if not self.stopping.wait(source.uniform(0, ARRIVAL_SECONDS)):
            user(source)

    def crew(self, source: random.Random) -> None:
        """Keep one flow open, follow a feed on it and send requests at intervals."""
        flow, session = self.open()
        watcher = threading.Thread(target=self.follow, args=(flow, session, source), daemon=True)
        watcher.start()
        while not self.pause(source, self.options.every):
            text = f"{self.options.kind} {source.getrandbits(64):x}".encode()
            self.run_errand(
                flow, session, self.options.kind, f"{self.options.kind}s", text, idempotent=False
            )
            if source.random() < self.options.bulk_share:
                path = f"{answers.BULK_PREFIX}{BULK_BYTES}"
                self.run_errand(flow, session, "bulk", path, b"", idempotent=True)
        watcher.join()
        self.leave(flow, session)

    def uploader(self, source: random.Random) -> None:
        """Send uploads at intervals, each on a new flow."""
        while not self.pause(source, self.options.upload_every):
            flow, session = self.open()
            body = source.randbytes(source.randint(self.options.least, self.options.most))
            self.run_errand(flow, session, "upload", "uploads", body, idempotent=True)
            self.leave(flow, session)

    def pause(self, source: random.Random, seconds: float) -> bool:
        """Wait about `seconds`; return whether to stop."""
        return self.stopping.wait(source.uniform(0.5, 1.5) * seconds)

    def open(self) -> tuple[client.Flow, Session]:
        """Open a flow and add its session to the record."""
        session = Session()
        with self.lock:
            self.record.sessions.append(session)
        return self.caller.open(self.service, clock.now() + OPEN_MS), session

    def leave(self, flow: client.Flow, session: Session) -> None:
        """Close a flow and record how often it was reopened."""
        session.reopened = flow.core.reopen_count
        flow.close()

    def follow(self, flow: client.Flow, session: Session, source: random.Random) -> None:
        """Follow a feed from now on, and check that no event is missing, repeated or altered."""
        path = f"spans/{source.randrange(self.options.paths)}"
        service_feed = answers.Feed(
            self.service, self.options.feed_start, self.options.feed_interval
        )
        position = service_feed.latest(clock.now())
        feed = flow.subscribe(path, position)
        quiet_since = clock.now()
        while not self.stopping.is_set():
            event = feed.next(clock.now() + 500)
            if event is None:
                if clock.now() - quiet_since > STALL_MS + self.options.feed_interval:
                    session.faults.append(f"feed silent since {quiet_since} at {position}")
                    quiet_since = clock.now()
                continue
            quiet_since = clock.now()
            position += 1
            session.feed_events += 1
            session.latest_ms = max(session.latest_ms, quiet_since - service_feed.due(position))
            body = answers.event_body(self.service, path, position)
            if (event.position, event.body) != (position, body):
                session.faults.append(f"event {event.position} in place of {position}")
                position = event.position

    def run_errand(
        self,
        flow: client.Flow,
        session: Session,
        kind: str,
        path: str,
        body: bytes,
        *,
        idempotent: bool,
    ) -> None:
        """Send a request and record the result; retry only while it was not run."""
        errand = Errand(kind, idempotent)
        began = clock.now()
        while True:
            result = self.send(flow, errand, path, body)
            if result is None or result.outcome is progress.Outcome.UNKNOWN:
                session.faults.append(f"{kind}: {errand.tries[-1].reason}")
                break
            if result.outcome is progress.Outcome.ANSWERED:
                self.check(errand, result, path, body)
                break
            if clock.now() > began + GIVE_UP_MS:
                break
            threading.Event().wait(clock.seconds_until(result.retry_at) + 0.01)
        errand.took_ms = clock.now() - began
        with self.lock:
            self.record.errands.append(errand)

    def send(
        self, flow: client.Flow, errand: Errand, path: str, body: bytes
    ) -> progress.Result | None:
        """Send a request once and record its outcome; return None if there is none in time."""
        deadline = clock.now() + DEADLINE_MS
        future = flow.submit(path, body, deadline, idempotent=errand.idempotent)
        try:
            result = future.result((DEADLINE_MS + WAIT_MARGIN_MS) / 1000)
        except TimeoutError:
            request = getattr(future, "request", b"")
            errand.tries.append(Tried(request.hex(), "none", "no final word"))
            return None
        errand.tries.append(Tried(result.request.hex(), result.outcome.value, result.reason))
        return result

    def check(self, errand: Errand, result: progress.Result, path: str, body: bytes) -> None:
        """Check that the answer is complete and belongs to the request."""
        request = result.request.hex()
        if result.status != 200:
            errand.faults.append(f"status {result.status}")
        elif path.startswith(answers.BULK_PREFIX):
            if result.body != answers.bulk(request, BULK_BYTES):
                errand.faults.append("wrong bytes")
        else:
            self.check_receipt(errand, request, result.body, body)

    def check_receipt(self, errand: Errand, request: str, receipt: bytes, body: bytes) -> None:
        """Check the fields of a receipt against the request."""
        fields = json.loads(receipt)
        digest = hashlib.sha256(body).hexdigest()
        if fields["service"] != self.service:
            errand.faults.append("wrong service")
        if (fields["request"], fields["digest"]) != (request, digest):
            errand.faults.append("receipt of something else")

    def stop(self) -> None:
        """Wait for all callers to finish their requests, then close the client."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.caller.close()


def make_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(prog="standins.workload", description=__doc__)
    add = parser.add_argument
    add("--service", required=True)
    add("--feeds", type=int, default=0, help="callers that keep a flow open with a feed")
    add("--paths", type=int, default=4, help="number of different feeds")
    add("--feed-start", type=int, default=0, help="time of position 0 of all feeds")
    add("--feed-interval", type=int, default=500, help="ms from one event to the next")
    add("--kind", default="report", help="kind of the requests that are not idempotent")
    add("--every", type=float, default=1.0, help="seconds between these requests of one caller")
    add("--bulk-share", type=float, default=0.0, help="share of them followed by a bulk answer")
    add("--uploads", type=int, default=0, help="callers that upload")
    add("--upload-every", type=float, default=3.0, help="seconds between uploads of one caller")
    add("--least", type=int, default=1_000_000, help="smallest upload in bytes")
    add("--most", type=int, default=3_000_000, help="largest upload in bytes")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Generate load until `stop` or the end of standard input."""
    users = Users(make_parser().parse_args(arguments))
    print("ready", flush=True)
    started = False
    for line in sys.stdin:
        document = json.loads(line)
        if document == "stop":
            break
        users.balancers = [(host, port) for host, port in document]
        if not started:
            started = True
            users.start()
    users.stop()
    print(f"record {json.dumps(dataclasses.asdict(users.record))}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
