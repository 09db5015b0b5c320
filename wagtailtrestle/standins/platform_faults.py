"""Faults that the platform stand-in can inject, set with ``POST /faults``."""

from wagtailtrestle.contracts.outcomes import StoreUnavailable

DOWN_NO = ""
DOWN_UNAVAILABLE = "unavailable"
DOWN_CUT = "cut"
SILENT_NO = ""
SILENT_OPEN = "open"
SILENT_ALL = "all"
EVERY = -1


class PlatformFaults:
    """Active faults of the platform.

    Parameters
    ----------
    down : str
        ``"unavailable"``: every call gets 503 and is not applied; ``"cut"``: the
        connection is closed without an answer, nothing is applied; ``""``: up.
    slow_s : float
        Delay of every call before it takes effect.
    lose_answers : int
        Number of next writes that take effect but get no answer; -1 for all.
    drop_watch_events : bool
        Writes made while this is set are never reported to a watch.
    silent : str
        ``"open"``: connections that are open now never answer again, while new ones
        work; ``"all"``: every connection is silent until this is cleared.
    stale_versions : int
        Reads return the value from this number of writes ago.
    rate_limit_per_s : int
        Calls above this rate get 429 and are not applied; 0 for no limit.
    """

    __slots__ = (
        "down",
        "slow_s",
        "lose_answers",
        "drop_watch_events",
        "silent",
        "stale_versions",
        "rate_limit_per_s",
    )

    def __init__(
        self,
        *,
        down=DOWN_NO,
        slow_s=0.0,
        lose_answers=0,
        drop_watch_events=False,
        silent=SILENT_NO,
        stale_versions=0,
        rate_limit_per_s=0,
    ):
        self.down = down
        self.slow_s = slow_s
        self.lose_answers = lose_answers
        self.drop_watch_events = drop_watch_events
        self.silent = silent
        self.stale_versions = stale_versions
        self.rate_limit_per_s = rate_limit_per_s

    def dump(self):
        """Return a plain dict."""
        return {name: getattr(self, name) for name in self.__slots__}

    def consume_lost_answer(self):
        """Return whether to drop the answer to the write that just took effect; use up one of the count."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.lose_answers == EVERY


_CHECKS_BY_NAME = {
    "down": (lambda v: v in (DOWN_NO, DOWN_UNAVAILABLE, DOWN_CUT), 'one of "", "unavailable", "cut"'),
    "slow_s": (lambda v: _is_number(v) and 0 <= v <= 3600, "seconds from 0 to 3600"),
    "lose_answers": (lambda v: _is_integer(v) and v >= EVERY, "a whole number, -1 for all"),
    "drop_watch_events": (lambda v: isinstance(v, bool), "true or false"),
    "silent": (lambda v: v in (SILENT_NO, SILENT_OPEN, SILENT_ALL), 'one of "", "open", "all"'),
    "stale_versions": (lambda v: _is_integer(v) and v >= 0, "a whole number from 0"),
    "rate_limit_per_s": (lambda v: _is_integer(v) and v >= 0, "a whole number from 0"),
}


def parse_faults(fields):
    """Parse faults from a JSON object; missing fields keep their defaults.

    Returns
    -------
    PlatformFaults or list of str
        All problems, if there are any.
    """
    if not isinstance(fields, dict):
        return ["faults: must be an object"]
    problems = []
    for name, value in fields.items():
        if name not in _CHECKS_BY_NAME:
            problems.append(f"{name}: unknown, allowed: {', '.join(_CHECKS_BY_NAME)}")
            continue
        is_allowed, allowed = _CHECKS_BY_NAME[name]
        if not is_allowed(value):
            problems.append(f"{name}: must be {allowed}")
    return problems or PlatformFaults(**fields)


class RateLimit:
    """Rate limit over fixed windows of one second."""

    __slots__ = ("_window", "_calls")

    def __init__(self):
        self._window = 0
        self._calls = 0

    def refuse(self, *, limit_per_s, now):
        """Count one call; return ``StoreUnavailable`` if it is above ``limit_per_s`` (0: no limit), else ``None``."""
        if int(now) != self._window:
            self._window = int(now)
            self._calls = 0
        self._calls += 1
        if limit_per_s and self._calls > limit_per_s:
            return StoreUnavailable(detail=f"more than {limit_per_s} calls a second")
        return None


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)
