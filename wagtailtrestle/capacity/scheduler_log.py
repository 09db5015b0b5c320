"""Log lines that allow a wait in an engine's queue to be traced to the scheduler that granted the run."""

import math

from loguru import logger

AVAILABLE = "available"
UNREACHABLE = "unreachable"
AWAITS_ENTRY = "awaits its entry"
EJECTED = "ejected"

FLOOR_LOG_INTERVAL_S = 1.0
"""Interval between lines on the floor, which serves a tier many times a second while it is in use."""


class SchedulerLog:
    """Logs changes of a scheduler's recovery state, and of engines that become overfull, rate-limited or unavailable.

    Parameters
    ----------
    cell : str
    runs : RunTable
    registration : Registration
    """

    __slots__ = (
        "_cell",
        "_runs",
        "_registration",
        "_was_recovering",
        "_overfull",
        "_limited",
        "_unavailable",
        "_floor_grants_by_tier",
        "_floor_logged_at",
    )

    def __init__(self, *, cell, runs, registration):
        self._cell = cell
        self._runs = runs
        self._registration = registration
        self._was_recovering = False
        self._overfull = frozenset()
        self._limited = frozenset()
        self._unavailable = {}
        self._floor_grants_by_tier = {}
        self._floor_logged_at = -math.inf

    def log_recovery(self):
        """Log that recovery began or ended, with the scheduler's knowledge at that time."""
        recovering = self._registration.recovering
        if recovering == self._was_recovering:
            return
        self._was_recovering = recovering
        logger.bind(
            awaited=sorted(self._registration.awaited),
            held=len(self._runs.grants_by_request_id),
            unknown={engine.name: engine.phantom for engine in self._runs.engines if engine.phantom},
            unreported=[engine.name for engine in self._runs.engines if not engine.reported],
        ).info("the scheduler of {} {}", self._cell, "is recovering" if recovering else "is no longer recovering")

    def log_overfull(self):
        """Log engines that have come to hold more runs than they have slots."""
        overfull = frozenset(engine.name for engine in self._runs.engines if engine.running > engine.slots)
        for name in sorted(overfull - self._overfull):
            self._warn_overfull(self._runs.engines_by_name[name])
        self._overfull = overfull

    def log_rate_limits(self):
        """Log engines whose rate limit came into force or ended."""
        limited = frozenset(engine.name for engine in self._runs.engines if engine.rate_limit.in_force)
        for name in sorted(limited ^ self._limited):
            limit = self._runs.engines_by_name[name].rate_limit.dump() if name in limited else None
            logger.bind(cell=self._cell, engine=name, rate_limit=limit).info("engine rate limit changed")
        self._limited = limited

    def log_unavailable(self):
        """Log engines that were marked as unreachable or ejected, and those that are used again."""
        unavailable = {}
        for engine in self._runs.engines:
            if engine.is_unreachable:
                unavailable[engine.name] = UNREACHABLE
            elif engine.awaits_entry:
                unavailable[engine.name] = AWAITS_ENTRY
            elif not engine.health_share:
                unavailable[engine.name] = EJECTED
        for name in sorted(unavailable.keys() | self._unavailable.keys()):
            state, before = unavailable.get(name, AVAILABLE), self._unavailable.get(name, AVAILABLE)
            if state != before:
                logger.bind(cell=self._cell, engine=name, state=state, before=before).info(
                    "engine availability changed"
                )
        self._unavailable = unavailable

    def log_floor(self, grants_by_tier, now):
        """Log, at most once a second, the tiers that their floor served since the last line."""
        if now - self._floor_logged_at < FLOOR_LOG_INTERVAL_S or grants_by_tier == self._floor_grants_by_tier:
            return
        last = self._floor_grants_by_tier
        served = {tier: count - last.get(tier, 0) for tier, count in sorted(grants_by_tier.items())}
        self._floor_grants_by_tier = dict(grants_by_tier)
        self._floor_logged_at = now
        served = {tier: count for tier, count in served.items() if count}
        logger.bind(cell=self._cell, grants_by_tier=served).info("tiers {} served by their floor", list(served))

    def log_refused_retry(self, request, retries):
        """Log a retry refused because the retry budget is exhausted."""
        logger.bind(cell=self._cell, request_id=request.request_id, entry=request.entry, **retries.dump()).info(
            "retry refused: no retries left in the budget of the cell"
        )

    def _warn_overfull(self, engine):
        logger.bind(
            cell=self._cell,
            places=engine.slots,
            granted=len(engine.grants_by_request_id),
            unknown=engine.phantom,
            reported=engine.reported_running,
            report_age_s=round(engine.report_age_s, 3),
        ).warning("engine {} holds more runs than it has places", engine.name)
