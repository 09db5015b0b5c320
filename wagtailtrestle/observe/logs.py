"""Configures loguru: plain text or JSON lines, without keys and prompts.

All log records pass through a single sink, so that secrets are redacted in one place.
"""

import json
import logging
import re
import traceback

from loguru import logger

from wagtailtrestle.observe.log_writer import LineBudget, LogWriter

HIDDEN = "(hidden)"
MAX_TEXT_CHARS = 2000
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
ENCODE_JSON = json.JSONEncoder(default=str).encode
BEARER = re.compile(r"(bearer|basic)\s+[^\s'\",;]+", re.IGNORECASE)
# Redacted by field name: the value of a key or prompt can't be distinguished from ordinary text.
SECRET_NAMES = frozenset(
    {
        "api_key",
        "authorization",
        "body",
        "content",
        "headers",
        "idempotency_key",
        "key",
        "key_sha256",
        "messages",
        "prompt",
        "resume_text",
        "secret",
        "text",
    }
)


def start_logs(*, stream, level="INFO", as_json=False):
    """Send the logs of this process and its libraries to ``stream`` without blocking the logging threads.

    Parameters
    ----------
    stream : file object
    level : str
        Minimum level.
    as_json : bool
        Write one JSON object per line instead of plain text.

    Returns
    -------
    LogWriter
        Must be closed before exit so that the last lines are written.
    """
    line = json_line if as_json else plain_line
    budget = LineBudget()
    writer = LogWriter(stream=stream)
    writer.start()

    def is_within_budget(record):
        left_out = budget.acquire((record["name"], record["line"]))
        if left_out:
            record["extra"]["lines_left_out_before"] = left_out
        return left_out is not None

    def sink(message):
        writer.put(line(message.record))

    logger.remove()
    # With diagnose=True loguru adds the values of variables to tracebacks, which may be prompts and keys.
    logger.add(
        sink, level=level, filter=is_within_budget, format="{message}", diagnose=False, backtrace=False, catch=True
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    return writer


def json_line(record):
    """Return a log record as one line of JSON."""
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "module": record["name"],
        "message": redacted(record["message"]),
    }
    for name, value in record["extra"].items():
        fields.setdefault(name, _field(name, value))
    if record["exception"] is not None:
        fields["exception"] = _exception_text(record["exception"])
    return ENCODE_JSON(fields)


def plain_line(record):
    """Return a log record as a line of plain text; a traceback follows on separate lines."""
    time = record["time"].strftime("%H:%M:%S.%f")[:-3]
    line = f"{time} {record['level'].name:<7} {record['name']}: {redacted(record['message'])}"
    for name, value in record["extra"].items():
        line += f" {name}={_field(name, value)}"
    if record["exception"] is not None:
        line += "\n" + _exception_text(record["exception"])
    return line


def redacted(text):
    """Return a text without bearer keys, truncated to ``MAX_TEXT_CHARS``."""
    text = BEARER.sub(rf"\1 {HIDDEN}", text)
    return text if len(text) <= MAX_TEXT_CHARS else text[:MAX_TEXT_CHARS] + "…"


def _field(name, value):
    if name.lower() in SECRET_NAMES:
        return HIDDEN
    if value is None or isinstance(value, (bool, int, float)):
        return value
    return redacted(str(value))


def _exception_text(exception):
    """Return a traceback whose last line is only the exception's type.

    The message of an exception may quote the data that caused it, such as a caller's body.
    """
    frames = "".join(traceback.format_tb(exception.traceback))
    return f"{frames}{exception.type.__name__}" if exception.type else frames


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard ``logging`` module, used by libraries, to loguru."""

    def emit(self, record):
        """Forward one record."""
        bound = logger.bind(library=record.name)
        level = record.levelname if record.levelname in LEVELS else record.levelno
        bound.opt(exception=record.exc_info).log(level, "{}", record.getMessage())
