"""Write logs: one line of key=value pairs for each event, on standard error (logfmt).

Each line starts with time, level, program, process and incarnation; the event's own fields follow.
"""

import datetime
import logging
import sys
import traceback
import typing

import loguru

from ebonystile import logline

MIN_LIBRARY_LEVEL = logging.WARNING
"""Least level taken over from libraries that log by the standard module."""


def setup(program: str, name: str, incarnation: int, level: str = "INFO") -> None:
    """Send every event of this process to standard error, from `level` on."""
    loguru.logger.remove()
    loguru.logger.configure(
        extra={"program": program, "process": name, "incarnation": f"{incarnation:016x}"}
    )
    loguru.logger.add(
        sys.stderr, level=level, format=format_record, backtrace=False, diagnose=False
    )
    logging.basicConfig(handlers=[LibraryHandler()], level=MIN_LIBRARY_LEVEL, force=True)


def event(name: str, /, *, level: str = "INFO", **fields: typing.Any) -> None:
    """Log the event with its fields; ids are given as bytes and come out as hex."""
    loguru.logger.bind(fields=fields).log(level, name)


def failure(name: str, error: BaseException, /, **fields: typing.Any) -> None:
    """Log a bug: an exception that nobody expected, with its traceback in one field."""
    lines = traceback.format_exception(error)
    event(name, level="ERROR", **fields, error=repr(error), traceback="".join(lines))


def format_record(record: typing.Any) -> str:
    """Return the line as loguru wants it: a template that it fills from the record."""
    record["extra"]["line"] = format_line(record)
    return "{extra[line]}\n"


def format_line(record: typing.Any) -> str:
    """Return the line that stands for the record."""
    extra = record["extra"]
    utc = record["time"].astimezone(datetime.UTC)
    pairs = {
        "time": utc.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        "level": record["level"].name,
        "program": extra.get("program", "ebonystile"),
        "process": extra.get("process", "none"),
        "incarnation": extra.get("incarnation", "0"),
        "event": record["message"],
    }
    pairs.update(extra.get("fields", {}))
    return " ".join(f"{key}={logline.format_value(value)}" for key, value in pairs.items())


class LibraryHandler(logging.Handler):
    """Take over what libraries log by the standard module."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's record as an event of its own."""
        level = record.levelname if record.levelname in logging.getLevelNamesMapping() else "ERROR"
        event("library", level=level, logger=record.name, message=record.getMessage())
