"""Measure what a line of a carrying daemon's log costs: written, left out, and with no reader."""

import json
import os
import pathlib
import time

from ebonystile.carrier import journal

LINES = 20_000
FIELDS = {
    "flow": "100.64.0.7:40001>198.18.0.1:443",
    "service": "line-status",
    "upstream": "i-2faa5dc249",
    "cost": 0.5,
    "running": 0,
    "flows": 2,
    "latency_ms": 14,
    "good": 1.0,
    "asked": 11,
    "answered": 11,
    "copy": 0,
    "version": 15,
    "searched_ms": 2,
}
"""The line of a choice, the longest of the frequent ones."""

REGULAR = "reload"
"""An event that no budget leaves out."""


def microseconds(log: journal.Journal, event: str) -> float:
    """Return the processor time of one line."""
    began = time.process_time()
    for _ in range(LINES):
        log.event(event, **FIELDS)
    return (time.process_time() - began) / LINES * 1e6


def main() -> None:
    """Print the figures as one JSON line."""
    with pathlib.Path(os.devnull).open("wb") as sink:
        written = microseconds(journal.Journal("balancer", "b-1", sink.fileno()), REGULAR)
        left_out = microseconds(journal.Journal("balancer", "b-1", sink.fileno()), "opened")
    reading, writing = os.pipe()
    unread = microseconds(journal.Journal("balancer", "b-1", writing), REGULAR)
    os.close(reading)
    os.close(writing)
    most = written * 1e-6 * journal.MAX_LINES_PER_S * 100
    print(
        json.dumps(
            {
                "lines": LINES,
                "written_us": round(written, 1),
                "left_out_us": round(left_out, 1),
                "no_reader_us": round(unread, 1),
                "one_event_at_its_limit_core_percent": round(most, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
