"""Keep a process's configuration up to date from the platform."""

import concurrent.futures
import functools
import threading
import time
from collections import abc

from ebonystile import clock, errors, logs, loop
from ebonystile.core import assembly, configuration, store, view
from ebonystile.platform import client

PAUSE_S = 0.5
"""Time in seconds before the platform is asked again after it gave no answer."""

CONFIRM_MS = 1_000
"""Longest watch in ms: each answer, also an empty one, confirms the view in force."""


class Watcher:
    """Watch values and instances, each in a thread of its own, and show each newer view."""

    def __init__(
        self,
        owner: loop.Loop,
        url: str,
        on_view: abc.Callable[[view.View], None],
    ):
        self.owner = owner
        self.on_view = on_view
        self.platform = client.make_platform(url, clock.now)
        self.configuration = configuration.Configuration()
        self.stopping = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(2, "watch")
        self.pool.submit(self.watch, self.read_values)
        self.pool.submit(self.watch, self.read_instances)

    def stop(self) -> None:
        """End the threads; an open watch ends with the process's interest in it."""
        self.stopping.set()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def watch(self, read: abc.Callable[[], None]) -> None:
        """Read again and again until stopped."""
        while not self.stopping.is_set():
            try:
                read()
            except errors.PlatformError as error:
                logs.event("platform_failed", level="WARNING", error=str(error))
                time.sleep(PAUSE_S)

    def read_values(self) -> None:
        """Read what has been published since."""
        after = self.configuration.digest.values
        answer = self.platform.watch(after, clock.now() + CONFIRM_MS)
        values = [(entry.key, entry.revision, entry.value) for entry in answer.entries]
        delta = configuration.values_delta(after, answer.revision, values)
        empty = store.Delta(0, 0, 0, ())
        self.owner.post(functools.partial(self.apply, configuration.Update(delta, empty)))

    def read_instances(self) -> None:
        """Read how the list has changed since."""
        after = self.configuration.digest.instances
        answer = self.platform.instances(after, clock.now() + CONFIRM_MS)
        listed = [
            (
                assembly.Instance(e.name, e.role, e.address, e.zone, e.state == "leaving"),
                e.state == "gone",
            )
            for e in answer.entries
        ]
        delta = configuration.instances_delta(after, answer.revision, listed)
        empty = store.Delta(0, 0, 0, ())
        self.owner.post(functools.partial(self.apply, configuration.Update(empty, delta)))

    def refusals(self) -> tuple[str, ...]:
        """Return the faults of every document that is refused now; for the owner thread."""
        return tuple(
            f"{refusal.key} at revision {refusal.revision}: {fault}"
            for refusal in self.configuration.refused
            for fault in refusal.faults
        )

    def apply(self, update: configuration.Update) -> None:
        """Take in an answer, in the owner thread."""
        changes = self.configuration.apply(update)
        for refusal in changes.refusals:
            logs.event(
                "document_refused",
                level="ERROR",
                key=refusal.key,
                revision=refusal.revision,
                faults="; ".join(refusal.faults),
            )
        self.on_view(self.configuration.view)
