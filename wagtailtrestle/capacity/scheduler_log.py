"""Log lines by which a wait in an engine's queue is traced to the scheduler that granted it."""

from loguru import logger


class SchedulerLog:
    """Tells when a scheduler is cautious, and when an engine becomes overfull or names a rate limit: a line a change.

    Parameters
    ----------
    cell : str
    runs : RunTable
    registration : Registration
    """

    __slots__ = ("_cell", "_runs", "_registration", "_was_recovering", "_overfull", "_limited")

    def __init__(self, *, cell, runs, registration):
        self._cell = cell
        self._runs = runs
        self._registration = registration
        self._was_recovering = False
        self._overfull = frozenset()
        self._limited = frozenset()

    def log_recovery(self):
        """Tell of a change, with what the scheduler knows then."""
        recovering = self._registration.recovering
        if recovering == self._was_recovering:
            return
        self._was_recovering = recovering
        logger.bind(
            awaited=sorted(self._registration.awaited),
            held=len(self._runs.grants_by_request_id),
            unknown={engine.name: engine.phantom for engine in self._runs.engines if engine.phantom},
            unreported=[engine.name for engine in self._runs.engines if not engine.reported],
        ).info("the scheduler of {} {}", self._cell, "is cautious" if recovering else "is cautious no more")

    def log_overfull(self):
        """Tell of engines that have come to hold more runs than they have places."""
        overfull = frozenset(engine.name for engine in self._runs.engines if engine.running > engine.slots)
        for name in sorted(overfull - self._overfull):
            self._warn_overfull(self._runs.engines_by_name[name])
        self._overfull = overfull

    def log_rate_limits(self):
        """Tell of engines whose rate limit has come into force, or ended."""
        limited = frozenset(engine.name for engine in self._runs.engines if engine.rate_limit.in_force)
        for name in sorted(limited ^ self._limited):
            limit = self._runs.engines_by_name[name].rate_limit.dump() if name in limited else None
            logger.bind(cell=self._cell, engine=name, rate_limit=limit).info("the rate limit of an engine changed")
        self._limited = limited

    def log_refused_retry(self, request, retries):
        """Tell of a retry that the budget has no room for."""
        logger.bind(cell=self._cell, request_id=request.request_id, entry=request.entry, **retries.dump()).info(
            "no retry is left in a cell"
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
