"""What engines say of themselves in the heads of their answers, as one router heard it."""

import math

from loguru import logger

from wagtailtrestle.contracts.messages import EngineNotice, Granted
from wagtailtrestle.engines.rate_limit import KEPT_S

HEARD_SLACK_S = 0.5
"""How much older than this router's own word a steward's may be: grants that were on their way are used."""


def read_notice(engine, *, limit, leaving):
    """Build the notice of an answer's head.

    Parameters
    ----------
    engine : str
    limit : str or None
        Requests a second, as the engine wrote them.
    leaving : bool

    Returns
    -------
    EngineNotice or None
        ``None`` if nothing can be told from it: a limit that can't be read neither holds nor ends.
    """
    limit_per_s = _read_limit(limit)
    if limit_per_s is None and not leaving:
        return None
    return EngineNotice(engine=engine, limit_per_s=math.inf if limit_per_s is None else limit_per_s, leaving=leaving)


def _read_limit(text):
    if text is None:
        return math.inf
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0.0 else None


class EngineNotices:
    """What engines said lately in answers that this router read.

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
        self._forget_old()
        before = self._heard_by_engine.get(notice.engine)
        limit_per_s = math.inf if before is None else before.limit_per_s
        if notice.limit_per_s != limit_per_s:
            logger.bind(
                engine=notice.engine, limit_per_s=_shown(notice.limit_per_s), before_per_s=_shown(limit_per_s)
            ).info("an engine names another rate limit in its answers")
        if notice.names_limit:
            self._heard_by_engine[notice.engine] = Heard(limit_per_s=notice.limit_per_s, at=self._clock())
        else:
            self._heard_by_engine.pop(notice.engine, None)
        if notice.leaving:
            logger.bind(engine=notice.engine).info("an engine says in an answer that it leaves")

    def is_limited(self, engine) -> bool:
        """Whether the engine named a limit when it was last heard."""
        return self._age_s(engine) < KEPT_S

    def are_unknown_to(self, granted: Granted) -> bool:
        """Whether a steward granted a place on an engine without having heard of the limit that it names."""
        age_s = self._age_s(granted.engine)
        return age_s < KEPT_S and granted.limit_age_s > age_s + HEARD_SLACK_S

    def of(self, engines):
        """Notices of these engines to tell a steward, with their age."""
        now = self._clock()
        return tuple(
            EngineNotice(engine=engine, limit_per_s=heard.limit_per_s, age_s=now - heard.at)
            for engine, heard in self._heard_by_engine.items()
            if engine in engines and now - heard.at < KEPT_S
        )

    def dump(self):
        """Plain data for the state dump."""
        return {engine: heard.dump(now=self._clock()) for engine, heard in self._heard_by_engine.items()}

    def _age_s(self, engine):
        heard = self._heard_by_engine.get(engine)
        return math.inf if heard is None else self._clock() - heard.at

    def _forget_old(self):
        horizon = self._clock() - KEPT_S
        for engine in [engine for engine, heard in self._heard_by_engine.items() if heard.at < horizon]:
            del self._heard_by_engine[engine]


class Heard:
    """A limit that an engine named, and when it was heard.

    Parameters
    ----------
    limit_per_s : float
        Requests a second.
    at : float
        Time on the router's clock.
    """

    __slots__ = ("limit_per_s", "at")

    def __init__(self, *, limit_per_s, at):
        self.limit_per_s = limit_per_s
        self.at = at

    def dump(self, *, now):
        """Plain data for the state dump."""
        return {"limit_per_s": self.limit_per_s, "age_s": round(now - self.at, 3)}


def _shown(limit_per_s):
    # JSON has no infinity.
    return None if limit_per_s == math.inf else limit_per_s
