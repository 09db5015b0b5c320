"""What engines say of themselves in the heads of their answers, as one router heard it."""

import math

from loguru import logger

from wagtailtrestle.contracts.messages import EngineNotice


def read_limit(text):
    """Requests a second that a header names; infinite without one, ``None`` if it can't be read."""
    if text is None:
        return math.inf
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0.0 else None


class EngineNotices:
    """The last notice of each engine that this router's answers came from.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = ("_clock", "_heard_by_engine")

    def __init__(self, *, clock):
        self._clock = clock
        self._heard_by_engine = {}

    def take(self, notice: EngineNotice):
        """Take in a notice that was read just now."""
        before = self._heard_by_engine.get(notice.engine)
        limit_per_s = math.inf if before is None else before.limit_per_s
        if notice.limit_per_s != limit_per_s:
            logger.bind(
                engine=notice.engine, limit_per_s=_shown(notice.limit_per_s), before_per_s=_shown(limit_per_s)
            ).info("an engine names another rate limit in its answers")
        if notice.names_limit or before is not None:
            self._heard_by_engine[notice.engine] = Heard(limit_per_s=notice.limit_per_s, at=self._clock())

    def names_limit(self, engine):
        """Whether the engine named a limit when it was last heard."""
        heard = self._heard_by_engine.get(engine)
        return heard is not None and heard.limit_per_s != math.inf

    def dump(self):
        """Plain data for the state dump."""
        return {engine: heard.dump(now=self._clock()) for engine, heard in self._heard_by_engine.items()}


class Heard:
    """A notice and when it was heard.

    Parameters
    ----------
    limit_per_s : float
        Requests a second, infinite without a limit.
    at : float
        Time on the router's clock.
    """

    __slots__ = ("limit_per_s", "at")

    def __init__(self, *, limit_per_s, at):
        self.limit_per_s = limit_per_s
        self.at = at

    def dump(self, *, now):
        """Plain data for the state dump."""
        return {"limit_per_s": _shown(self.limit_per_s), "age_s": round(now - self.at, 3)}


def _shown(limit_per_s):
    # JSON has no infinity.
    return None if limit_per_s == math.inf else limit_per_s
