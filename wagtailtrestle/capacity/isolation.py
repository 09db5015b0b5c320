"""Isolation of suspects: requests that may have crashed engines and must run alone on an engine.

Under load no engine becomes empty by itself, so one engine of the cell is reserved: it gets no new runs until its
current ones have ended, then it gets the suspect alone until that ends. The current runs are not cancelled: their
prefill is worth more than a suspect's wait.
"""

from wagtailtrestle.capacity.admission import tolerance, undisturbed_run_s
from wagtailtrestle.capacity.grants import WaitingRequest
from wagtailtrestle.capacity.team_queue import due_time
from wagtailtrestle.record import record

MAX_SUSPECTS = 16
"""Maximum of suspects that may wait in one cell, as they are served one by one."""

UNKNOWN_LOAD_S = 5.0
"""Assumed duration of runs that are known only from a load report."""

RELEASE_BEFORE_START_S = 1.0
"""A reserved engine is released for a request of a higher tier with less time than this to its latest start."""


@record
class IsolationStep:
    """The next step for a suspect: its empty engine, or ``None`` if none becomes empty in time."""

    waiting: WaitingRequest
    engine: object


class Isolation:
    """Reserves at most one engine of a cell for suspects, one suspect after another.

    Parameters
    ----------
    clock : callable
    queue : TierQueue
        Its isolated requests are the waiting suspects.
    """

    __slots__ = ("_clock", "_queue", "_reserved")

    def __init__(self, *, clock, queue):
        self._clock = clock
        self._queue = queue
        self._reserved = None

    def has_capacity(self):
        """Whether one more suspect may wait."""
        return len(self._queue.isolated_by_request_id) < MAX_SUSPECTS

    def is_possible(self, waiting: WaitingRequest, engines):
        """Whether some engine would be empty in time for the suspect."""
        return any(self._in_time(waiting, engine) for engine in _usable(waiting, engines))

    def next(self, engines) -> IsolationStep | None:
        """Return the step to take now, if any; ``engines`` are those of the cell."""
        self._release_if_over()
        if not self._queue.isolated_by_request_id or any(engine.runs_alone for engine in engines):
            return None
        waiting = self._suspect()
        if waiting is None:
            return None
        engine = self._engine_for(waiting, engines)
        if engine is None:
            self.release()
            return IsolationStep(waiting=waiting, engine=None)
        if engine.running == 0 and engine.within_rate_limit:
            self.release()
            return IsolationStep(waiting=waiting, engine=engine)
        self._reserve(engine, waiting)
        return None

    def release_for_urgent(self, engines):
        """Release the reserved engine if a request of a higher tier needs it, or the cell has no other."""
        self._release_if_over()
        if self._reserved is None:
            return
        waiting = self._queue.isolated_by_request_id[self._reserved.kept_for]
        first = self._queue.first(1)
        if not first or first[0].request.tier >= waiting.request.tier:
            return
        # Otherwise the engine would stay empty for a suspect of a lower tier while a request of a higher one expires.
        only_one = sum(1 for engine in engines if engine.limit) <= 1
        if only_one or first[0].latest_start - self._clock() < RELEASE_BEFORE_START_S:
            self.release()

    def release(self):
        """Release the reserved engine for other work."""
        if self._reserved is not None:
            self._reserved.kept_for = None
            self._reserved = None

    def _release_if_over(self):
        if self._reserved is not None and self._reserved.kept_for not in self._queue.isolated_by_request_id:
            self.release()

    def _suspect(self):
        """Return the suspect whose engine is reserved, or the first one if no higher tier waits."""
        isolated_by_id = self._queue.isolated_by_request_id
        if self._reserved is not None:
            return isolated_by_id[self._reserved.kept_for]
        waiting = min(isolated_by_id.values(), key=lambda each: (each.request.tier, due_time(each)))
        return None if self._queue.any_waiting_above(waiting.request.tier) else waiting

    def _engine_for(self, waiting, engines):
        usable = [engine for engine in _usable(waiting, engines) if self._in_time(waiting, engine)]
        if self._reserved in usable:
            return self._reserved
        return min(usable, key=lambda engine: self._end_s(waiting, engine), default=None)

    def _reserve(self, engine, waiting):
        if self._reserved is not engine:
            self.release()
        self._reserved = engine
        engine.kept_for = waiting.request_id

    def _in_time(self, waiting, engine):
        return self._end_s(waiting, engine) <= tolerance(engine) * (waiting.deadline - self._clock())

    def _end_s(self, waiting, engine):
        return _empty_s(engine) + undisturbed_run_s(waiting.request, engine, 1, 0)


def _usable(waiting, engines):
    request = waiting.request
    return [
        engine for engine in engines if engine.limit and request.accepts(engine) and not engine.rest_s(request.entry)
    ]


def _empty_s(engine):
    """Return the predicted time until the engine is empty if it gets no new runs."""
    grants = engine.grants_by_request_id.values()
    known_s = max((engine.remaining_s(grant) for grant in grants), default=0.0)
    return max(known_s, UNKNOWN_LOAD_S if engine.phantom else 0.0)
