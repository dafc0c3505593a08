"""Events on standard error, one a line: key=value for people, JSON for programs.

Levels: `error` for what needs a person, `warning` for what went wrong and was met, `info` for changes of
state, `debug` for what happens to each job. Every line bears the dispatcher's name, and a job's id where it
is of one.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import Any

from eiderpin.log_stream import LogHandler, LogStream, nowhere, without_waiting

LEVELS = ("debug", "info", "warning", "error")
FORMATS = ("auto", "logfmt", "json")
FIELDS = {"asctime": "time", "levelname": "level", "message": "msg"}

logger = logging.getLogger("eiderpin")


def set_up(name: str, form: str = "", level: str = "") -> LogStream:
    """Events go to standard error from now on, as dispatcher `name`, and hold nobody up. What is not given
    is taken from EIDERPIN_LOG_FORMAT and EIDERPIN_LOG_LEVEL. Raises `ValueError` for a format or level that
    there is not. Returns the stream, which whoever runs the loop has to push on now and then."""
    form = form or os.environ.get("EIDERPIN_LOG_FORMAT", "auto")
    level = level or os.environ.get("EIDERPIN_LOG_LEVEL", "info")
    if form not in FORMATS:
        raise ValueError(f"log format {form!r}: one of {', '.join(FORMATS)} is expected")
    if level not in LEVELS:
        raise ValueError(f"log level {level!r}: one of {', '.join(LEVELS)} is expected")
    stream = LogStream(without_waiting(sys.stderr.fileno()) if sys.stderr is not None else nowhere)
    handler = LogHandler(stream)
    terminal = form == "logfmt" or (form == "auto" and sys.stderr is not None and sys.stderr.isatty())
    handler.setFormatter(_logfmt() if terminal else _json())

    def named(record: logging.LogRecord) -> bool:
        record.dispatcher = name
        return True

    handler.addFilter(named)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return stream


def _logfmt() -> logging.Formatter:
    from logfmter import Logfmter  # only the form that is used is imported

    mapping = {new: old for old, new in FIELDS.items() if new != "msg"}  # that one it writes by itself
    return Logfmter([*mapping, "dispatcher"], mapping)


def _json() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(list(FIELDS), rename_fields=FIELDS)


def event(text: str, level: int = logging.INFO, /, **fields: Any) -> None:
    """One event with its figures."""
    logger.log(level, text, extra=fields)
