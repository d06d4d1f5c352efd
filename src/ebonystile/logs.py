"""Write logs to standard error, one line of key=value pairs (logfmt) per event.

Each line begins with time, level, program, process, incarnation and event; the fields of the event
follow.
"""

import datetime
import logging
import sys
import traceback
import typing

import loguru

from ebonystile import logline

MIN_LIBRARY_LEVEL = logging.WARNING
"""Lowest level of the records of libraries, which use the standard module, that are logged."""


def setup(program: str, name: str, incarnation: int, level: str = "INFO") -> None:
    """Write this process's events of at least `level` to standard error."""
    loguru.logger.remove()
    loguru.logger.configure(
        extra={"program": program, "process": name, "incarnation": f"{incarnation:016x}"}
    )
    loguru.logger.add(
        sys.stderr, level=level, format=format_record, backtrace=False, diagnose=False
    )
    logging.basicConfig(handlers=[LibraryHandler()], level=MIN_LIBRARY_LEVEL, force=True)


def event(name: str, /, *, level: str = "INFO", **fields: typing.Any) -> None:
    """Log an event with its fields; bytes, such as ids, are written as hex."""
    loguru.logger.bind(fields=fields).log(level, name)


def exception(name: str, error: BaseException, /, **fields: typing.Any) -> None:
    """Log an unexpected exception as an error event, with its traceback in one field."""
    lines = traceback.format_exception(error)
    event(name, level="ERROR", **fields, error=repr(error), traceback="".join(lines))


def format_record(record: typing.Any) -> str:
    """Return the template of a line, which loguru fills from the record."""
    record["extra"]["line"] = format_line(record)
    return "{extra[line]}\n"


def format_line(record: typing.Any) -> str:
    """Return a record as a line."""
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
    """Forward records of the standard module, which libraries use, to the log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's record as an event."""
        level = record.levelname if record.levelname in logging.getLevelNamesMapping() else "ERROR"
        event("library", level=level, logger=record.name, message=record.getMessage())
