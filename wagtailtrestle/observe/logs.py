"""Set-up of loguru: lines for a person or JSON, without keys and prompts.

Everything logged passes the one sink made here, so that what must not be seen is
hidden in one place, whoever logged it.
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
BEARER = re.compile(r"(bearer|basic)\s+[^\s'\",;]+", re.IGNORECASE)
# Names, not values, decide: a key or a prompt can't be told from an ordinary word.
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
    """Send this process's logs, and those of its libraries, to ``stream``; never blocks who logs.

    Parameters
    ----------
    stream : file object
    level : str
        Lowest level shown.
    as_json : bool
        One JSON object a line, else a line for a person.

    Returns
    -------
    LogWriter
        To be closed at the end, so that the last lines are written.
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
    # loguru's own diagnosis prints the values of variables beside a traceback: prompts and keys.
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
    return json.dumps(fields, default=str)


def plain_line(record):
    """Return a log record as a line for a person; a traceback follows on lines of its own."""
    time = record["time"].strftime("%H:%M:%S.%f")[:-3]
    line = f"{time} {record['level'].name:<7} {record['name']}: {redacted(record['message'])}"
    for name, value in record["extra"].items():
        line += f" {name}={_field(name, value)}"
    if record["exception"] is not None:
        line += "\n" + _exception_text(record["exception"])
    return line


def redacted(text):
    """Return a text without bearer keys, cut to a bounded length."""
    text = BEARER.sub(rf"\1 {HIDDEN}", text)
    return text if len(text) <= MAX_TEXT_CHARS else text[:MAX_TEXT_CHARS] + "…"


def _field(name, value):
    if name.lower() in SECRET_NAMES:
        return HIDDEN
    if value is None or isinstance(value, (bool, int, float)):
        return value
    return redacted(str(value))


def _exception_text(exception):
    """Return a traceback whose last line is the exception's type alone.

    The message of an exception may quote what it failed on, for instance a caller's body.
    """
    frames = "".join(traceback.format_tb(exception.traceback))
    return f"{frames}{exception.type.__name__}" if exception.type else frames


class _LibraryHandler(logging.Handler):
    """Passes what libraries log through the standard module on to loguru."""

    def emit(self, record):
        """Pass one record on."""
        bound = logger.bind(library=record.name)
        level = record.levelname if record.levelname in LEVELS else record.levelno
        bound.opt(exception=record.exc_info).log(level, "{}", record.getMessage())
