"""Run requests in a bounded number of slots, with a bounded queue, deadlines and cancellation."""

import collections
import dataclasses
import enum
import threading

from standins import web


class Outcome(enum.Enum):
    """The outcome of a request at the upstream."""

    DONE = "done"
    SHED = "shed"
    LATE = "late"
    LATE_RUNNING = "late running"
    CANCELLED = "cancelled"
    CANCELLED_RUNNING = "cancelled running"

    @property
    def ran(self) -> bool:
        """Whether the request had been started."""
        return self in (Outcome.DONE, Outcome.LATE_RUNNING, Outcome.CANCELLED_RUNNING)


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """One request at the upstream; `deadline` is in milliseconds since the epoch."""

    request: str
    deadline: int
    idempotent: bool
    started: bool = False
    cancelled: bool = False


class Slots:
    """Holds waiting and running jobs, and counts every start by request id.

    A repeated start of a request id is counted, not prevented, so that tests detect it.
    """

    def __init__(self, slots: int, queue: int):
        self.slots = slots
        self.queue = queue
        self.condition = threading.Condition()
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.draining = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.non_idempotent: set[str] = set()
        self.most_running = 0
        self.busy_ms = 0

    def run(self, job: Job, service_ms: int) -> Outcome:
        """Wait for a slot, hold it for the service time, and return the outcome."""
        with self.condition:
            refused = self.await_slot(job)
            if refused:
                return refused
            self.start(job)
            began = web.now_ms()
            try:
                return self.hold(job, began + service_ms)
            finally:
                self.busy_ms += web.now_ms() - began
                self.running.remove(job)
                self.condition.notify_all()

    def await_slot(self, job: Job) -> Outcome | None:
        """Wait in the queue; return the outcome if the job may not start, else None."""
        if self.draining or self.is_full():
            return Outcome.SHED
        self.waiting.append(job)
        try:
            while not (job.cancelled or self.draining or self.is_next(job)):
                left = job.deadline - web.now_ms()
                if left <= 0:
                    return Outcome.LATE
                self.condition.wait(left / 1000)
            if job.cancelled:
                return Outcome.CANCELLED
            if self.draining:
                return Outcome.SHED
            return Outcome.LATE if job.deadline <= web.now_ms() else None
        finally:
            self.waiting.remove(job)
            self.condition.notify_all()

    def is_full(self) -> bool:
        """Return whether all slots and the queue are full."""
        ahead = len(self.running) + len(self.waiting)
        return ahead >= self.slots + self.queue

    def is_next(self, job: Job) -> bool:
        """Return whether a slot is free and the job is first in the queue."""
        return len(self.running) < self.slots and self.waiting[0] is job

    def start(self, job: Job) -> None:
        """Take a slot and count the run."""
        job.started = True
        self.running.append(job)
        self.most_running = max(self.most_running, len(self.running))
        self.runs[job.request] += 1
        if not job.idempotent:
            self.non_idempotent.add(job.request)

    def hold(self, job: Job, until: int) -> Outcome:
        """Hold the slot until the end of the service time, the deadline or a cancellation."""
        while True:
            now = web.now_ms()
            if job.cancelled:
                return Outcome.CANCELLED_RUNNING
            if now >= until:
                return Outcome.DONE
            if now >= job.deadline:
                return Outcome.LATE_RUNNING
            self.condition.wait((min(until, job.deadline) - now) / 1000)

    def cancel(self, request: str) -> str:
        """Cancel all jobs of a request; return "waiting", "running" or "unknown"."""
        with self.condition:
            jobs = [j for j in (*self.waiting, *self.running) if j.request == request]
            for job in jobs:
                job.cancelled = True
            self.condition.notify_all()
        if not jobs:
            return "unknown"
        return "running" if any(j.started for j in jobs) else "waiting"

    def drain(self) -> None:
        """Start no further jobs; shed the waiting ones and let the running ones finish."""
        with self.condition:
            self.draining = True
            self.condition.notify_all()
