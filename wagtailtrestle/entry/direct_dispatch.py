"""Decides when an entry dispatches a plain call itself because the cell's scheduler does not answer.

A scheduler that is killed, frozen or partitioned is detected after about a second, and a plain call has less time than
that. A direct run is a first run of a plain service on an engine that nothing known to this router excludes. Each entry
has a bounded number of them at a time; what an engine has no slot for, it refuses without running it.
"""

import hashlib
import math
from collections import defaultdict

from wagtailtrestle.contracts.declaration import PLAIN
from wagtailtrestle.contracts.messages import Granted
from wagtailtrestle.engines.rate_limit import LIMIT_NOTICE_TTL_S
from wagtailtrestle.engines.rejection_limit import NOTICE_TTL_S

MAX_DIRECT_RUNS = 2
"""Direct runs per request. The second one follows a connection that could not be made."""

MAX_TIMER_DELAY_SHARE = 0.5
"""Delay of a timer, as a share of the waiting time, from which on this process counts as stalled. Answers that arrived
during the stall are read after the timers have run, so they must not count as missing."""


class DirectDispatch:
    """Chooses engines for direct runs and counts these runs by cell.

    Parameters
    ----------
    features : callable
        Returns the ``Features`` in force.
    declaration : callable
        Returns the declaration in force.
    notices : EngineNotices
        Notices that this router received from engines.
    occupancy : callable
        ``occupancy(engine)`` returns the number of this entry's runs on an engine, or infinity if one of them must be
        alone there.
    routers : callable
        ``routers(cell)`` returns the number of routers that share a cell's slots; 0 if nothing may run directly there.
    reserved_engines : callable
        ``reserved_engines(service, engines)`` returns the names of the engines that a rollout may have reserved.
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = (
        "_features",
        "_declaration",
        "_notices",
        "_occupancy",
        "_routers",
        "_reserved_engines",
        "_clock",
        "_answers_by_cell",
        "_limited_until_by_engine",
        "_limits_rejections_until_by_cell",
        "_ids_by_cell",
        "_waits_by_id",
    )

    def __init__(self, *, features, declaration, notices, occupancy, routers, reserved_engines, clock):
        self._features = features
        self._declaration = declaration
        self._notices = notices
        self._occupancy = occupancy
        self._routers = routers
        self._reserved_engines = reserved_engines
        self._clock = clock
        self._answers_by_cell = defaultdict(int)
        self._limited_until_by_engine = {}
        self._limits_rejections_until_by_cell = {}
        self._ids_by_cell = defaultdict(set)
        self._waits_by_id = {}

    # What the entry hears.

    def record_answer(self, cell, message):
        """Record a message of a cell's scheduler to this entry, which shows that the scheduler is alive."""
        self._answers_by_cell[cell] += 1
        if isinstance(message, Granted) and message.limit_age_s < LIMIT_NOTICE_TTL_S:
            self._limited_until_by_engine[message.engine] = self._clock() + LIMIT_NOTICE_TTL_S - message.limit_age_s
        if isinstance(message, Granted) and message.limits_rejections:
            self._limits_rejections_until_by_cell[cell] = self._clock() + NOTICE_TTL_S

    # Waiting requests.

    def begin_wait(self, grant_request, *, direct_runs, wake):
        """Begin the wait for an answer to a grant request that is sent now.

        Parameters
        ----------
        grant_request : GrantRequest
        direct_runs : int
            Direct runs that the request had before.
        wake : callable
            Called without arguments when a direct run of the cell has ended, so that this request may have the next.

        Returns
        -------
        DirectWait or None
            ``None`` if the request may not run directly.
        """
        self.end_wait(grant_request.request_id)
        after_s = self._features().direct_after_s
        if not after_s:
            return None
        service = self._declaration().services_by_name.get(grant_request.service)
        is_plain = service is not None and service.kind == PLAIN
        is_first_run = not grant_request.is_retry and not grant_request.alone and direct_runs < MAX_DIRECT_RUNS
        if not is_plain or not is_first_run:
            return None
        return DirectWait(
            grant_request=grant_request,
            after_s=after_s,
            now=self._clock(),
            answers=self._answers_by_cell[grant_request.cell],
            wake=wake,
        )

    def end_wait(self, request_id):
        """End a request's wait for a direct run, if any."""
        self._waits_by_id.pop(request_id, None)

    def start_run(self, wait):
        """Choose the engine for a waiting request and count its direct run.

        Returns
        -------
        str or None
            The engine's name; ``None`` if the request waits on. The wait's ``check_at`` is then the time of the next
            check, infinite if the scheduler is alive.
        """
        now, request = self._clock(), wait.grant_request
        if self._answers_by_cell[request.cell] != wait.answers or not self._features().direct_after_s:
            wait.check_at = math.inf
            self.end_wait(request.request_id)
            return None
        was_stalled = now - wait.check_at > MAX_TIMER_DELAY_SHARE * wait.after_s
        wait.check_at = now + wait.after_s
        if was_stalled:
            return None
        engine = self._choose_engine(request) if self._has_place(request.cell) else None
        if engine is None:
            self._waits_by_id[request.request_id] = wait
            return None
        self.end_wait(request.request_id)
        self._ids_by_cell[request.cell].add(request.request_id)
        return engine

    def end_run(self, cell, request_id):
        """End a request's direct run, if it has one, and wake the waiting request that may have the next."""
        if request_id not in self._ids_by_cell[cell]:
            return
        self._ids_by_cell[cell].discard(request_id)
        waits = [wait for wait in self._waits_by_id.values() if wait.grant_request.cell == cell]
        if waits:
            first = min(waits, key=lambda wait: (wait.grant_request.tier, wait.began_at))
            self.end_wait(first.grant_request.request_id)
            first.check_at = self._clock()
            first.wake()

    # Decisions.

    def _has_place(self, cell):
        routers = self._routers(cell)
        if routers < 1 or self._limits_rejections(cell):
            return False
        slots = sum(engine.slots for engine in self._engines_of(cell) if not self._is_leaving(engine))
        return len(self._ids_by_cell[cell]) < math.ceil(slots / routers)

    def _limits_rejections(self, cell):
        """Whether engines of the cell fall over if they reject too many requests, which only its scheduler counts."""
        if self._clock() < self._limits_rejections_until_by_cell.get(cell, -math.inf):
            return True
        return any(self._notices.limits_rejections(engine.name) for engine in self._engines_of(cell))

    def _choose_engine(self, request):
        engines = [
            engine for engine in self._declaration().engines_by_name.values() if engine.service == request.service
        ]
        reserved = self._reserved_engines(request.service, engines)
        runs_by_engine = {
            engine.name: self._occupancy(engine.name)
            for engine in engines
            if engine.cell == request.cell
            and engine.name not in reserved
            and request.accepts(engine)
            and self._accepts_runs(engine)
        }
        # An engine whose slots this entry alone fills would refuse the run.
        slots_by_engine = {engine.name: engine.slots for engine in engines}
        free = [name for name, runs in runs_by_engine.items() if runs < slots_by_engine[name]]
        return min(free, key=lambda name: (runs_by_engine[name], _rank(name, request.request_id)), default=None)

    def _accepts_runs(self, engine):
        """Whether the engine is not draining, asked for no back-off and announced no rate limit, as far as known."""
        return (
            not self._is_leaving(engine)
            and self._notices.rest_s(engine) <= 0.0
            and not self._notices.is_limited(engine.name)
            and self._limited_until_by_engine.get(engine.name, -math.inf) <= self._clock()
        )

    def _is_leaving(self, engine):
        return engine.leaving or self._notices.is_leaving(engine)

    def _engines_of(self, cell):
        return [engine for engine in self._declaration().engines_by_name.values() if engine.cell == cell]


class DirectWait:
    """One request's wait for its scheduler's answer.

    Parameters
    ----------
    grant_request : GrantRequest
    after_s : float
        Time without an answer after which the scheduler counts as silent.
    now : float
        Time at which the grant request is sent.
    answers : int
        Messages received from the cell's scheduler before.
    wake : callable

    Attributes
    ----------
    check_at : float
        Time at which the request is considered for a direct run.
    """

    __slots__ = ("grant_request", "after_s", "began_at", "answers", "wake", "check_at")

    def __init__(self, *, grant_request, after_s, now, answers, wake):
        self.grant_request = grant_request
        self.after_s = after_s
        self.began_at = now
        self.answers = answers
        self.wake = wake
        self.check_at = now + after_s


def _rank(engine, request_id):
    return hashlib.blake2b(f"{engine}\n{request_id}".encode(), digest_size=8).digest()
