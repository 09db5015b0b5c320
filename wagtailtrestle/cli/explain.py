"""``wagtailtrestle explain``: request outcomes, reconstructed from router log files."""

from datetime import UTC, datetime

from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.observe.log_reading import RouterLogs
from wagtailtrestle.observe.losses import KEYS, find_losses, losses_text, request_history, request_history_text


def explain(environment, *, files, request_id, by, begin, end):
    """Print the log lines of one request or a table of lost requests, and return the exit status."""
    if not files:
        environment.print_error("Give at least one log file. Nothing was read.")
        return ExitStatus.USAGE
    if by not in KEYS:
        environment.print_error(f"--by is {by!r}; allowed: {', '.join(KEYS)}. Nothing was read.")
        return ExitStatus.USAGE
    times = [_time(environment, name, text) for name, text in (("--begin", begin), ("--end", end))]
    if ExitStatus.USAGE in times:
        return ExitStatus.USAGE
    logs = _read(environment, files)
    if logs is None:
        return ExitStatus.USAGE
    if request_id is not None:
        return _print_request_lines(environment, logs, request_id)
    lost, answered = find_losses(logs, begin=times[0], end=times[1])
    environment.print_result(losses_text(lost, answered, key=by, logs=logs))
    return ExitStatus.DONE


def _print_request_lines(environment, logs, request_id):
    lines = request_history(logs, request_id)
    if not lines:
        environment.print_error(
            f"No log line mentions {request_id}. Give the files of all routers: a second try may reach another one."
        )
        return ExitStatus.CHECK_FAILED
    environment.print_result(request_history_text(lines))
    return ExitStatus.DONE


def _read(environment, files):
    logs = RouterLogs()
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as opened:
                logs.add_file(opened)
        except OSError as error:
            environment.print_error(f"{file} can't be read: {error.strerror}. Nothing was counted.")
            return None
    return logs


def _time(environment, name, text):
    """Parse a timestamp in the logs' format (UTC if it has no offset) into Unix seconds; ``None`` stays ``None``."""
    if text is None:
        return None
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        environment.print_error(
            f"{name} is {text!r}; allowed: a time as in the logs, 2026-05-05T18:37:25. Nothing was read."
        )
        return ExitStatus.USAGE
    return (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp()
