"""Engines for requests that are suspected of crashing them and must run beside no other.

Under load no engine becomes empty by itself, so one engine of the cell is kept: it gets nothing
more until what runs there has ended, then the suspect, and nothing beside it until that
ends. What the engine still runs is not cancelled: its prefill is worth more than a suspect's wait.
"""

from wagtailtrestle.capacity.admission import shielded_run_s, tolerance
from wagtailtrestle.capacity.grants import WaitingRequest
from wagtailtrestle.capacity.team_queue import due
from wagtailtrestle.record import record

MAX_SUSPECTS = 16
"""Suspects that may wait in one cell: they are served one by one."""

UNKNOWN_END_S = 5.0
"""Time that load which only a report showed is taken to last."""

YIELD_S = 1.0
"""A kept engine is let go for a higher tier that has this little left to its latest start."""


@record
class Isolated:
    """The next step for a suspect: its empty engine, or ``None`` if none comes in time."""

    waiting: WaitingRequest
    engine: object


class Isolation:
    """Keeps at most one engine of a cell for suspects, one suspect after another.

    Parameters
    ----------
    clock : callable
    queue : TierQueue
        Its requests set aside are the suspects that wait.
    """

    __slots__ = ("_clock", "_queue", "_kept")

    def __init__(self, *, clock, queue):
        self._clock = clock
        self._queue = queue
        self._kept = None

    def has_room(self):
        """Whether one more suspect may wait."""
        return len(self._queue.aside_by_request_id) < MAX_SUSPECTS

    def possible(self, waiting: WaitingRequest, engines):
        """Whether some engine would be empty in time for the suspect."""
        return any(self._in_time(waiting, engine) for engine in _usable(waiting, engines))

    def next(self, engines) -> Isolated | None:
        """Return the step to take now, if any; ``engines`` are those that may be granted at all."""
        self._release_if_over()
        if not self._queue.aside_by_request_id or any(engine.runs_alone for engine in engines):
            return None
        waiting = self._suspect()
        if waiting is None:
            return None
        engine = self._engine_for(waiting, engines)
        if engine is None:
            self.release()
            return Isolated(waiting=waiting, engine=None)
        if engine.running == 0 and engine.within_rate_limit:
            self.release()
            return Isolated(waiting=waiting, engine=engine)
        self._keep(engine, waiting)
        return None

    def yield_to_urgent(self, engines):
        """Let the kept engine go if a request of a higher tier needs it, or the cell has no other."""
        self._release_if_over()
        if self._kept is None:
            return
        waiting = self._queue.aside_by_request_id[self._kept.kept_for]
        first = self._queue.first(1)
        if not first or first[0].request.tier >= waiting.request.tier:
            return
        # Kept on, the engine would stand empty for a suspect of a lower tier while a
        # request of a higher one expires.
        only_one = sum(1 for engine in engines if engine.limit) <= 1
        if only_one or first[0].latest_start - self._clock() < YIELD_S:
            self.release()

    def release(self):
        """Let the kept engine take other work again."""
        if self._kept is not None:
            self._kept.kept_for = None
            self._kept = None

    def _release_if_over(self):
        if self._kept is not None and self._kept.kept_for not in self._queue.aside_by_request_id:
            self.release()

    def _suspect(self):
        """Return the suspect whose engine is kept, or the first one if its turn has come."""
        aside_by_id = self._queue.aside_by_request_id
        if self._kept is not None:
            return aside_by_id[self._kept.kept_for]
        waiting = min(aside_by_id.values(), key=lambda each: (each.request.tier, due(each)))
        return None if self._queue.waits_above(waiting.request.tier) else waiting

    def _engine_for(self, waiting, engines):
        usable = [engine for engine in _usable(waiting, engines) if self._in_time(waiting, engine)]
        if self._kept in usable:
            return self._kept
        return min(usable, key=lambda engine: self._end_s(waiting, engine), default=None)

    def _keep(self, engine, waiting):
        if self._kept is not engine:
            self.release()
        self._kept = engine
        engine.kept_for = waiting.request_id

    def _in_time(self, waiting, engine):
        return self._end_s(waiting, engine) <= tolerance(engine) * (waiting.deadline - self._clock())

    def _end_s(self, waiting, engine):
        return _empty_s(engine) + shielded_run_s(waiting.request, engine, 1, 0)


def _usable(waiting, engines):
    request = waiting.request
    return [
        engine
        for engine in engines
        if engine.limit and engine.name not in request.excluded_engines and not engine.rest_s(request.entry)
    ]


def _empty_s(engine):
    """Predicted time until nothing runs there, if it takes nothing more."""
    grants = engine.grants_by_request_id.values()
    known_s = max((engine.remaining_s(grant) for grant in grants), default=0.0)
    return max(known_s, UNKNOWN_END_S if engine.phantom else 0.0)
