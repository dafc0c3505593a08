"""Log events on standard error, one a line: key=value for terminals, JSON otherwise.

Levels: `error` for what needs intervention, `warning` for faults that were handled, `info` for changes of
state, `debug` for the steps of each job. Each line holds the dispatcher's name, and the id of the job that it
is about, if any.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import Any

from eiderpin.log_stream import LogHandler, LogStream, closed_writer, non_blocking_writer

LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("auto", "logfmt", "json")
# Attributes of log records, and the fields that they are written as.
FIELDS = {"asctime": "time", "levelname": "level", "message": "msg"}

logger = logging.getLogger("eiderpin")


def set_up(name: str, log_format: str = "", level: str = "") -> LogStream:
    """Write log events to standard error as dispatcher `name`, without blocking.

    What is not given is taken from EIDERPIN_LOG_FORMAT and EIDERPIN_LOG_LEVEL. Raises `ValueError` for an
    unknown format or level. Returns the stream, whose `write_pending` the event loop must call regularly.
    """
    log_format = log_format or os.environ.get("EIDERPIN_LOG_FORMAT", "auto")
    level = level or os.environ.get("EIDERPIN_LOG_LEVEL", "info")
    if log_format not in FORMATS:
        raise ValueError(f"log format {log_format!r}: one of {', '.join(FORMATS)} is expected")
    if level not in LEVELS:
        raise ValueError(f"log level {level!r}: one of {', '.join(LEVELS)} is expected")
    stream = LogStream(non_blocking_writer(sys.stderr.fileno()) if sys.stderr is not None else closed_writer)
    handler = LogHandler(stream)
    uses_logfmt = log_format == "logfmt" or (
        log_format == "auto" and sys.stderr is not None and sys.stderr.isatty()
    )
    handler.setFormatter(_logfmt_formatter() if uses_logfmt else _json_formatter())

    def add_dispatcher(record: logging.LogRecord) -> bool:
        record.dispatcher = name
        return True

    handler.addFilter(add_dispatcher)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return stream


def _logfmt_formatter() -> logging.Formatter:
    from logfmter import Logfmter  # only the formatter that is used is imported

    # Logfmter writes the message under msg by itself.
    mapping = {new: old for old, new in FIELDS.items() if new != "msg"}
    return Logfmter([*mapping, "dispatcher"], mapping)


def _json_formatter() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(list(FIELDS), rename_fields=FIELDS)


def event(text: str, level: int = logging.INFO, /, **fields: Any) -> None:
    """Log one event with its fields."""
    logger.log(level, text, extra=fields)
