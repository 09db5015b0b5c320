"""Evaluates routers' logs: the history of one request, and counts of lost requests."""

from collections import Counter
from datetime import UTC, datetime

from wagtailtrestle.observe.log_reading import ENDED, REFUSED_ON_ARRIVAL
from wagtailtrestle.output.table import table

SERVED = frozenset({"answered", "recorded"})
UNKNOWN = "?"
HEADING_BY_KEY = {"cause": "cause", "tier": "tier", "team": "team", "zone": "zone", "second": "second (UTC)"}
KEYS = tuple(HEADING_BY_KEY)


class Loss:
    """A request that was not answered."""

    __slots__ = ("at", "cause", "tier", "team", "zone")

    def __init__(self, *, at, cause, tier, team, zone):
        self.at = at
        self.cause = cause
        self.tier = tier
        self.team = team
        self.zone = zone

    def value(self, key):
        """Return the group to which the loss belongs in a table by ``key``."""
        return _clock_text(self.at, digits=0) if key == "second" else getattr(self, key)


def request_history(logs, request_id):
    """Return the lines about one request, ordered by time.

    ``request_id`` is the caller's or the router's id. The line for the request's end has both; those of
    its runs have only the router's.
    """
    ids = {request_id}
    for line in logs.lines:
        named = {line.fields.get("request_id"), line.fields.get("caller_request_id")} - {None}
        if named & ids:
            ids |= named
    return [
        line
        for line in logs.lines
        if line.fields.get("request_id") in ids or line.fields.get("caller_request_id") in ids
    ]


def request_history_text(lines):
    """Format the lines of a request: time, seconds since the first line, router, message and fields."""
    began_at = lines[0].at
    shown = []
    for line in lines:
        inputs = " ".join(f"{name}={value}" for name, value in line.fields.items() if name not in ("level", "module"))
        elapsed = f"{line.at - began_at:+.3f} s"
        shown.append(f"{_clock_text(line.at, digits=3)} {elapsed} {line.router or UNKNOWN}: {line.message}  {inputs}")
    return "\n".join(shown)


def find_losses(logs, *, begin=None, end=None):
    """Return the unanswered requests between two times, Unix seconds.

    Returns
    -------
    list of Loss
    int
        Number of requests answered in the same period.
    """
    lost = []
    answered = 0
    for line in logs.lines:
        if (begin is not None and line.at < begin) or (end is not None and line.at >= end):
            continue
        ended = ENDED.fullmatch(line.message)
        if ended is not None and ended["outcome"] in SERVED:
            answered += 1
        elif ended is not None:
            lost.append(_loss(logs, line, ended["outcome"]))
        elif line.message == REFUSED_ON_ARRIVAL:
            lost.append(_loss(logs, line, str(line.fields.get("reason", UNKNOWN))))
    return lost, answered


def losses_text(lost, answered, *, key, logs):
    """Format a table of lost requests by ``key`` and cause, with notes on its completeness."""
    keys = ("cause",) if key == "cause" else (key, "cause")
    counts = Counter(tuple(loss.value(each) for each in keys) for loss in lost)
    ranked = sorted(counts.items()) if key == "second" else counts.most_common()
    rows = [(*values, count) for values, count in ranked]
    lines = [f"{len(lost)} lost, {answered} answered"]
    if rows:
        lines.append(table(header=(*(HEADING_BY_KEY[each] for each in keys), "requests"), rows=rows))
    if logs.left_out:
        lines.append(f"Routers left out {logs.left_out} lines under load: the counts are lower bounds.")
    if logs.unparsed:
        lines.append(f"{logs.unparsed} lines were truncated or of no router, and are not counted.")
    return "\n".join(lines)


def _loss(logs, line, cause):
    return Loss(
        at=line.at,
        cause=cause,
        tier=str(line.fields.get("tier", UNKNOWN)),
        team=str(line.fields.get("team", "")) or UNKNOWN,
        zone=logs.zone_by_router.get(line.router, UNKNOWN),
    )


def _clock_text(at, *, digits):
    text = datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds" if digits else "seconds")
    return text.partition("T")[2].partition("+")[0]
