"""Write structured log lines to standard output without ever waiting for its reader.

A budget bounds the lines of a second, one for each kind of event, so that a frequent event never
pushes out a rare one; what is left out is counted and told in a line of its own.
"""

import collections
import os
import time
import typing

from ebonystile import clock, logline

LINES_PER_S = 40
"""Lines of one kind of event in a second. A line costs about 15 microseconds."""

BUFFER_BYTES = 64 << 10
"""Most bytes kept for a reader that does not read; further lines are counted and dropped."""

OUTPUT = 1
"""The file descriptor of standard output."""

RARE = frozenset({"start", "stop", "reload", "store_lost", "store_back", "bug", "configured"})
"""Events that no budget suppresses: each stands for a change of the process itself."""


class Journal:
    """The log of one process; `left_out` counts the lines that it never wrote, by event."""

    def __init__(self, program: str, name: str, descriptor: int = OUTPUT):
        self.program = program
        self.name = name
        self.descriptor = descriptor
        self.second = 0
        self.written: collections.Counter[str] = collections.Counter()
        self.suppressed: collections.Counter[str] = collections.Counter()
        self.left_out: collections.Counter[str] = collections.Counter()
        self.dropped = 0
        self.waiting = b""
        os.set_blocking(descriptor, False)

    def event(self, event: str, **fields: typing.Any) -> None:
        """Log an event with its fields."""
        self.turn(clock.now())
        if event not in RARE:
            self.written[event] += 1
            if self.written[event] > LINES_PER_S:
                self.suppressed[event] += 1
                self.left_out[event] += 1
                return
        self.line(event, fields)

    def turn(self, now: int) -> None:
        """Begin a new second, and tell what the last one left out."""
        second = now // 1000
        if second == self.second:
            return
        self.second = second
        self.written.clear()
        if self.suppressed or self.dropped:
            told = {**self.suppressed, "no_reader": self.dropped}
            self.suppressed.clear()
            self.dropped = 0
            self.line("lines_suppressed", {k: v for k, v in told.items() if v})

    def line(self, event: str, fields: typing.Mapping[str, typing.Any]) -> None:
        """Write one line, or what fits of it now."""
        pairs = {
            "time_ms": time.time_ns() // clock.NS_PER_MS,
            "program": self.program,
            "process": self.name,
            "event": event,
            **fields,
        }
        text = " ".join(f"{key}={logline.text_of(value)}" for key, value in pairs.items())
        if len(self.waiting) > BUFFER_BYTES:
            self.dropped += 1
            self.left_out[event] += 1
            return
        self.waiting += text.encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes; a full pipe keeps the rest for the next line."""
        try:
            written = os.write(self.descriptor, self.waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            written = len(self.waiting)
        self.waiting = self.waiting[written:]
