"""Write structured log lines to standard output without blocking on its reader.

Each kind of event has its own limit of lines per second, so that a frequent event doesn't crowd
out a rare one. Suppressed lines are counted and reported in a line of their own.
"""

import collections
import os
import time
import typing

from ebonystile import clock, logline

MAX_LINES_PER_S = 40
"""Maximum lines of one kind of event per second."""

MAX_BUFFERED_BYTES = 64 << 10
"""Bytes buffered for a reader that does not read; further lines are dropped and counted."""

STDOUT_FD = 1
"""File descriptor of standard output."""

UNLIMITED_EVENTS = frozenset(
    {"start", "stop", "reload", "store_lost", "store_back", "bug", "configured"}
)
"""Events without a limit: each is a rare change in the state of the process."""


class Journal:
    """The log of one process; `left_out` counts the lines never written, by event."""

    def __init__(self, program: str, name: str, descriptor: int = STDOUT_FD):
        self.program = program
        self.name = name
        self.descriptor = descriptor
        self.second = 0
        self.written: collections.Counter[str] = collections.Counter()
        self.suppressed: collections.Counter[str] = collections.Counter()
        self.left_out: collections.Counter[str] = collections.Counter()
        self.dropped = 0
        self.buffer = b""
        os.set_blocking(descriptor, False)

    def event(self, event: str, **fields: typing.Any) -> None:
        """Log an event with its fields, unless its limit is reached."""
        self.start_second(clock.now())
        if event not in UNLIMITED_EVENTS:
            self.written[event] += 1
            if self.written[event] > MAX_LINES_PER_S:
                self.suppressed[event] += 1
                self.left_out[event] += 1
                return
        self.write_line(event, fields)

    def start_second(self, now: int) -> None:
        """Reset the counts when a new second begins, and log how many lines were suppressed."""
        second = now // 1000
        if second == self.second:
            return
        self.second = second
        self.written.clear()
        if self.suppressed or self.dropped:
            counts = {**self.suppressed, "no_reader": self.dropped}
            self.suppressed.clear()
            self.dropped = 0
            self.write_line("lines_suppressed", {k: v for k, v in counts.items() if v})

    def write_line(self, event: str, fields: typing.Mapping[str, typing.Any]) -> None:
        """Format one line and write it, or buffer what does not fit."""
        pairs = {
            "time_ms": time.time_ns() // clock.NS_PER_MS,
            "program": self.program,
            "process": self.name,
            "event": event,
            **fields,
        }
        text = " ".join(f"{key}={logline.format_value(value)}" for key, value in pairs.items())
        if len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.left_out[event] += 1
            return
        self.buffer += text.encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write as much as possible; what a full pipe does not take stays buffered."""
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the error can't be logged.
            written = len(self.buffer)
        self.buffer = self.buffer[written:]
