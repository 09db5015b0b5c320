"""Reads routers' log files, in any order, which may contain truncated or foreign lines."""

import json
import re
from datetime import datetime

ENDED = re.compile(
    r"(?P<service>[^/ ]+)/(?P<route>\S+) (?P<outcome>\w+) after (?P<took_s>[\d.]+) s, (?P<runs>\d+) runs"
)
"""Message of the line logged when a request ends."""
REFUSED_ON_ARRIVAL = "refused on arrival"
ROUTER_STARTED = "router started"
LEFT_OUT_FIELD = "lines_left_out_before"
REQUEST_ID_SUFFIX = re.compile(r"-\d+-[0-9a-f]+$")
"""Suffix of a request id after the router's name: the process's start time and a random part."""


class LogLine:
    """One line of a router's log.

    Parameters
    ----------
    at : float
        Unix seconds.
    router : str
        Name of the router that wrote the line, empty if unknown.
    message : str
    fields : dict of str to object
        All other fields of the line.
    """

    __slots__ = ("at", "router", "message", "fields")

    def __init__(self, *, at, router, message, fields):
        self.at = at
        self.router = router
        self.message = message
        self.fields = fields


class RouterLogs:
    """The lines of all files, ordered by time.

    Attributes
    ----------
    lines : list of LogLine
    unparsed : int
        Number of lines that are truncated or not a router's.
    left_out : int
        Number of lines that routers report as left out under load.
    zone_by_router : dict of str to str
    """

    __slots__ = ("lines", "unparsed", "left_out", "zone_by_router")

    def __init__(self):
        self.lines = []
        self.unparsed = 0
        self.left_out = 0
        self.zone_by_router = {}

    def add_file(self, texts):
        """Add the lines of one file; ``texts`` is an iterable of str."""
        last_router = ""
        added = []
        for text in texts:
            line = read_line(text)
            if line is None:
                self.unparsed += bool(text.strip())
                continue
            last_router = line.router or last_router
            line.router = last_router
            added.append(line)
            self._update_totals(line)
        self._fill_in_router(added)
        self.lines.extend(added)
        self.lines.sort(key=lambda line: line.at)

    def _update_totals(self, line):
        left_out = line.fields.get(LEFT_OUT_FIELD, 0)
        self.left_out += left_out if isinstance(left_out, int) else 0
        if line.message == ROUTER_STARTED and line.router:
            self.zone_by_router[line.router] = str(line.fields.get("zone", ""))

    def _fill_in_router(self, added):
        # The first lines of a file may not name their router; most files are of a single router.
        first = next((line.router for line in added if line.router), "")
        for line in added:
            if line.router:
                return
            line.router = first


def read_line(text):
    """Parse one line; returns ``None`` if it is truncated or not a router's.

    A prefix written by a log collector is skipped, except for its last word, which is the router's name.
    """
    before, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at = datetime.fromisoformat(fields.pop("time")).timestamp()
        message = fields.pop("message")
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    if not isinstance(message, str):
        return None
    return LogLine(at=at, router=_router(before, message, fields), message=message, fields=fields)


def _router(before, message, fields):
    words = before.split()
    if words:
        return words[-1]
    if message == ROUTER_STARTED and isinstance(fields.get("name"), str):
        return fields["name"]
    request_id = fields.get("request_id")
    if isinstance(request_id, str) and REQUEST_ID_SUFFIX.search(request_id):
        return REQUEST_ID_SUFFIX.sub("", request_id)
    return ""
