"""Notices in the heads of engines' answers, as received by one router: limits, draining and back-off."""

import math

from loguru import logger

from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.contracts.messages import EngineNotice, Granted
from wagtailtrestle.engines.rate_limit import LIMIT_NOTICE_TTL_S
from wagtailtrestle.engines.rejection_limit import NOTICE_TTL_S as REJECTIONS_NOTICE_TTL_S

NOTICE_AGE_TOLERANCE_S = 0.5
"""Amount by which a scheduler's notice may be older than this router's, so that grants in transit are used."""

MAX_BACK_OFF_S = 3600.0
"""Longest back-off that an engine may ask for; a longer one is shortened to it."""

LEAVING_NOTICE_TTL_S = 300.0
"""Time for which a draining notice applies unless the engine reports a newer start; after it, an engine that restarted
under the same name without reporting its start is used again."""


def read_notice(command, *, limit, leaving, retry_after=None, max_rejections=None):
    """Build the notice in an answer's head.

    Parameters
    ----------
    command : StartRun
        The run that was answered.
    limit : str or None
        Requests per second, as the header states them.
    leaving : bool
    retry_after : str or None
        Seconds, as the header states them, in an answer that rejects the request.
    max_rejections : str or None
        Requests per second that the engine can reject without falling over, as the header states them.

    Returns
    -------
    EngineNotice or None
        ``None`` if the head has only an invalid limit, which neither sets nor ends one. Without any of these headers
        the notice says that there is no limit.
    """
    limit_per_s = math.inf if limit is None else _read_number(limit)
    rest_s = 0.0 if retry_after is None else min(MAX_BACK_OFF_S, _read_number(retry_after) or 0.0)
    max_rejections_per_s = math.inf if max_rejections is None else _read_number(max_rejections)
    has_invalid_limit = limit_per_s is None or max_rejections_per_s is None
    if has_invalid_limit and not leaving and not rest_s:
        return None
    return EngineNotice(
        engine=command.engine,
        limit_per_s=math.inf if limit_per_s is None else limit_per_s,
        leaving=leaving,
        start_ms=command.start_ms,
        rest_s=rest_s,
        max_rejections_per_s=math.inf if max_rejections_per_s is None else max_rejections_per_s,
    )


def _read_number(text):
    """Return the decimal number in a header, or ``None`` if it is not a finite number or is negative."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


class EngineNotices:
    """Recent notices in answers that this router received.

    Parameters
    ----------
    router : str
        This router's name.
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = ("_clock", "_received_by_engine", "_router")

    def __init__(self, *, router, clock):
        self._router = router
        self._clock = clock
        self._received_by_engine = {}

    def process(self, notice: EngineNotice):
        """Apply a notice that has just been received."""
        self._remove_expired()
        received = self._received_by_engine.get(notice.engine)
        if received is None or is_earlier_start(received.start_ms, notice.start_ms):
            received = self._received_by_engine[notice.engine] = ReceivedNotices(start_ms=notice.start_ms)
        if is_earlier_start(notice.start_ms, received.start_ms):
            return
        self._update_limit(notice, received)
        self._update_max_rejections(notice, received)
        if notice.rest_s:
            logger.bind(engine=notice.engine, rest_s=notice.rest_s).info("an engine asked this router to back off")
            if received.back_off_until <= self._clock():
                received.back_off_from = self._clock()
            received.back_off_until = max(received.back_off_until, self._clock() + notice.rest_s)
        if notice.leaving:
            if received.leaving_at == -math.inf:
                logger.bind(engine=notice.engine).info("an engine announced in an answer that it is draining")
            received.leaving_at = self._clock()

    def is_limited(self, engine) -> bool:
        """Whether the last answer of the engine stated a limit that has not expired."""
        return self._limit_age_s(engine) < LIMIT_NOTICE_TTL_S

    def limits_rejections(self, engine) -> bool:
        """Whether the engine's last answer stated that it can reject only so many requests."""
        received = self._received_by_engine.get(engine)
        return received is not None and self._has_max_rejections(received)

    def is_leaving(self, engine: DeclaredEngine) -> bool:
        """Whether the engine announced that it is draining and has not restarted since."""
        received = self._received_by_engine.get(engine.name)
        if received is None or is_earlier_start(received.start_ms, engine.start_ms):
            return False
        return self._clock() - received.leaving_at < LEAVING_NOTICE_TTL_S

    def rest_s(self, engine: DeclaredEngine) -> float:
        """Time left of the back-off that the engine asked of this router; not positive without one."""
        received = self._received_by_engine.get(engine.name)
        if received is None or is_earlier_start(received.start_ms, engine.start_ms):
            return 0.0
        return received.back_off_until - self._clock()

    def rested_s(self, engine: DeclaredEngine) -> float:
        """Time since the start of the engine's current back-off; 0 without one."""
        if self.rest_s(engine) <= 0.0:
            return 0.0
        return self._clock() - self._received_by_engine[engine.name].back_off_from

    def are_newer_than(self, granted: Granted) -> bool:
        """Whether a grant was made before its scheduler received the limit that the engine states."""
        age_s = self._limit_age_s(granted.engine)
        return age_s < LIMIT_NOTICE_TTL_S and granted.limit_age_s > age_s + NOTICE_AGE_TOLERANCE_S

    @property
    def engines(self):
        """Names of the engines with a recent notice."""
        return tuple(self._received_by_engine)

    def for_engines(self, engines):
        """Return the notices of these engines, with their ages, to send to a scheduler."""
        now = self._clock()
        notices = []
        for engine in engines:
            received = self._received_by_engine.get(engine)
            if received is None:
                continue
            common_fields = {"engine": engine, "start_ms": received.start_ms, "entry": self._router}
            is_limited = now - received.limit_at < LIMIT_NOTICE_TTL_S
            if is_limited or self._has_max_rejections(received):
                # One notice for both limits, since a later notice without one of them would end it.
                notices.append(
                    EngineNotice(
                        **common_fields,
                        limit_per_s=received.limit_per_s if is_limited else math.inf,
                        max_rejections_per_s=received.max_rejections_per_s,
                        age_s=now - max(received.limit_at, received.max_rejections_at),
                    )
                )
            if now - received.leaving_at < LEAVING_NOTICE_TTL_S:
                notices.append(EngineNotice(**common_fields, leaving=True, age_s=now - received.leaving_at))
            if received.back_off_until > now:
                notices.append(EngineNotice(**common_fields, rest_s=received.back_off_until - now))
        return tuple(notices)

    def dump(self):
        """Plain data for the state dump."""
        return {engine: received.dump(now=self._clock()) for engine, received in self._received_by_engine.items()}

    def _update_limit(self, notice, received):
        if notice.limit_per_s != received.limit_per_s:
            logger.bind(
                engine=notice.engine,
                limit_per_s=_json_number(notice.limit_per_s),
                before_per_s=_json_number(received.limit_per_s),
            ).info("an engine states another rate limit in its answers")
        received.limit_per_s = notice.limit_per_s
        received.limit_at = self._clock() if notice.has_rate_limit else -math.inf

    def _update_max_rejections(self, notice, received):
        if notice.max_rejections_per_s != received.max_rejections_per_s:
            logger.bind(
                engine=notice.engine,
                max_per_s=_json_number(notice.max_rejections_per_s),
                before_per_s=_json_number(received.max_rejections_per_s),
            ).info("an engine states another number of rejections that it can bear")
        received.max_rejections_per_s = notice.max_rejections_per_s
        received.max_rejections_at = self._clock() if notice.limits_rejections else -math.inf

    def _has_max_rejections(self, received):
        return self._clock() - received.max_rejections_at < REJECTIONS_NOTICE_TTL_S

    def _limit_age_s(self, engine):
        received = self._received_by_engine.get(engine)
        return math.inf if received is None else self._clock() - received.limit_at

    def _remove_expired(self):
        now = self._clock()
        self._received_by_engine = {
            engine: received
            for engine, received in self._received_by_engine.items()
            if now - received.limit_at < LIMIT_NOTICE_TTL_S
            or now - received.leaving_at < LEAVING_NOTICE_TTL_S
            or self._has_max_rejections(received)
            or received.back_off_until > now
        }


class ReceivedNotices:
    """Recent notices of one start of an engine.

    Parameters
    ----------
    start_ms : int
        See ``DeclaredEngine``.

    Attributes
    ----------
    limit_per_s : float
        Requests per second; infinite without a limit.
    max_rejections_per_s : float
        Requests per second that it can reject; infinite without such a limit.
    limit_at, max_rejections_at, leaving_at : float
        When it stated these limits and when it announced that it is draining, on the router's clock; minus infinity if
        it did not.
    back_off_from, back_off_until : float
        Start and end of the back-off that it asked of this router.
    """

    __slots__ = (
        "start_ms",
        "limit_per_s",
        "limit_at",
        "max_rejections_per_s",
        "max_rejections_at",
        "leaving_at",
        "back_off_from",
        "back_off_until",
    )

    def __init__(self, *, start_ms):
        self.start_ms = start_ms
        self.limit_per_s = math.inf
        self.limit_at = -math.inf
        self.max_rejections_per_s = math.inf
        self.max_rejections_at = -math.inf
        self.leaving_at = -math.inf
        self.back_off_from = -math.inf
        self.back_off_until = -math.inf

    def dump(self, *, now):
        """Plain data for the state dump."""
        return {
            "limit_per_s": _json_number(self.limit_per_s),
            "limit_age_s": _json_number(now - self.limit_at),
            "max_rejections_per_s": _json_number(self.max_rejections_per_s),
            "leaving_age_s": _json_number(now - self.leaving_at),
            "rest_s": _json_number(max(0.0, self.back_off_until - now)),
        }


def is_earlier_start(start_ms, other_ms):
    """Whether a start of an engine precedes another; unknown starts count as the same."""
    return 0 < start_ms < other_ms


def _json_number(number):
    # JSON has no infinity.
    return None if number == math.inf else round(number, 3)
