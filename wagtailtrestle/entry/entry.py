"""The entry: owns every request that callers sent to this router.

Runs one :class:`wagtailtrestle.entry.request_task.RequestTask` per request and routes the
messages of callers and schedulers to them.
"""

import asyncio
import dataclasses
import math

from wagtailtrestle.broken_invariant import report_failed_task
from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.capacity.retry_budget import RETRY_WINDOW_S
from wagtailtrestle.contracts.exchange import AnswerRefusal
from wagtailtrestle.contracts.messages import (
    EngineDown,
    EngineNotice,
    Granted,
    Queued,
    Refused,
    Register,
    RunFinished,
    Withdraw,
)
from wagtailtrestle.contracts.outcomes import Executed, Reason, RunNotSent
from wagtailtrestle.engines.notices import NOTICE_AGE_TOLERANCE_S, EngineNotices
from wagtailtrestle.entry.cells import cells_of, choose_cell
from wagtailtrestle.entry.direct_dispatch import DirectDispatch
from wagtailtrestle.entry.final_answers import DEFAULT_RETRY_AFTER_S, refusal_of
from wagtailtrestle.entry.request_task import Displaced, RequestState, RequestTask
from wagtailtrestle.entry.retry_record import RetryRecord
from wagtailtrestle.entry.run_counts import RunCounts


class RequestContext:
    """Services of the router that a request's task may use.

    Parameters
    ----------
    name : str
        This router's name.
    schedulers : SchedulerLink
    claims : Claims
    crashes : CrashWatch
    retries : RetryRecord
    declaration : Callable
        Returns the declaration in force.
    notices : EngineNotices
        Notices that this router received from engines.
    run_counts : RunCounts
    now : Callable
        The loop's clock, seconds.
    zone : str
        This router's availability zone.
    direct : DirectDispatch
        Decides on runs without a silent scheduler.
    streams : StreamVersions or None
        Versions that began streams; ``None`` where no caller resumes a stream at another router.
    """

    __slots__ = (
        "name",
        "claims",
        "crashes",
        "retries",
        "run_counts",
        "now",
        "zone",
        "direct",
        "streams",
        "_schedulers",
        "_declaration",
        "_notices",
    )

    def __init__(
        self,
        *,
        name,
        schedulers,
        claims,
        crashes,
        retries,
        declaration,
        notices,
        run_counts,
        now,
        zone,
        direct,
        streams,
    ):
        self.name = name
        self.streams = streams
        self.zone = zone
        self.direct = direct
        self.claims = claims
        self.crashes = crashes
        self.retries = retries
        self.run_counts = run_counts
        self.now = now
        self._schedulers = schedulers
        self._declaration = declaration
        self._notices = notices

    def send(self, cell, message):
        """Send to the cell's scheduler; the next registration makes up for a lost message."""
        self._schedulers.send(cell=cell, message=message)

    def address_of(self, engine):
        """Address of a declared engine, or ``None``."""
        declared = self._declaration().engines_by_name.get(engine)
        return declared.address if declared else None

    def start_ms_of(self, engine):
        """Start time of a declared engine as known here; 0 where engines don't report it."""
        declared = self._declaration().engines_by_name.get(engine)
        return declared.start_ms if declared else 0

    def version_of(self, engine):
        """Software version of a declared engine as known here; empty if it is not declared."""
        declared = self._declaration().engines_by_name.get(engine)
        return declared.version if declared else ""

    def is_available(self, engine):
        """Whether an engine is declared and not draining, as far as this router knows.

        The engine's own notice takes precedence over its entry in the store, which may be older: the store can be
        unreachable or restored from a backup.
        """
        declared = self._declaration().engines_by_name.get(engine)
        return declared is not None and not declared.leaving and not self._notices.is_leaving(declared)

    def was_limited(self, granted):
        """Whether this router or the scheduler recently received a limit from an engine."""
        return (
            self._notices.is_limited(granted.engine)
            or self._notices.limits_rejections(granted.engine)
            or granted.limit_age_s != math.inf
            or granted.limits_rejections
        )

    def scheduler_is_informed(self, granted):
        """Whether the scheduler knew of the rate limit or back-off that the granted engine sent to this router."""
        declared = self._declaration().engines_by_name[granted.engine]
        return self._notices.rest_s(declared) <= 0.0 and not self._notices.are_newer_than(granted)

    def retry_after_s(self, service):
        """Time until some engine of a service accepts requests of this router again, with a minimum."""
        engines = self._declaration().engines_by_name.values()
        back_offs_s = [self._notices.rest_s(engine) for engine in engines if engine.service == service]
        return max(DEFAULT_RETRY_AFTER_S, min(back_offs_s, default=0.0))

    def resend_notices(self, engine):
        """Send an engine's recent notices to the scheduler again, so that its next grant accounts for them."""
        for notice in self._notices.for_engines((engine,)):
            self.forward_notice(notice)

    def forward_notice(self, notice):
        """Forward an engine's notice to the scheduler of its cell."""
        engine = self._declaration().engines_by_name.get(notice.engine)
        if engine is not None:
            self.send(engine.cell, notice)

    def service(self, name):
        """Present declaration of a service, or ``None``."""
        return self._declaration().services_by_name.get(name)


class Entry:
    """Owner of the requests this router received from callers.

    Parameters
    ----------
    name : str
        This router's name.
    schedulers, claims, crashes, declaration
        See :class:`RequestContext`.
    loop : asyncio.AbstractEventLoop
    retry_window_s : callable, optional
        Returns the length of the retry budget's window.
    count : callable, optional
        See :class:`wagtailtrestle.entry.run_counts.RunCounts`.
    zone : str
        This router's availability zone.
    features : callable, optional
        Returns the ``Features`` in force.
    routers : callable, optional
        ``routers(cell)`` returns the number of routers that share a cell's slots while its scheduler is silent; 0, the
        default, if this entry may dispatch nothing there without it.
    reserved_engines : callable, optional
        ``reserved_engines(service, engines)`` returns the names of the engines that a rollout may have reserved.
    streams : StreamVersions, optional
        Versions that began streams, where callers may resume them at any router.
    """

    __slots__ = (
        "name",
        "tasks_by_id",
        "_context",
        "_declaration",
        "_direct",
        "_loop",
        "_notices",
        "_retries",
        "_run_counts",
        "_running_by_id",
        "_idle",
    )

    def __init__(
        self,
        *,
        name,
        schedulers,
        claims,
        crashes,
        declaration,
        loop,
        retry_window_s=lambda: RETRY_WINDOW_S,
        count=lambda name, **labels: None,
        zone="",
        features=all_off,
        routers=lambda cell: 0,
        reserved_engines=lambda service, engines: frozenset(),
        streams=None,
    ):
        self.name = name
        self.tasks_by_id = {}
        self._declaration = declaration
        self._loop = loop
        self._notices = EngineNotices(router=name, clock=loop.time)
        self._retries = RetryRecord(clock=loop.time, window_s=retry_window_s)
        self._run_counts = RunCounts(count=count)
        self._running_by_id = {}
        self._idle = asyncio.Event()
        self._idle.set()
        self._direct = DirectDispatch(
            features=features,
            declaration=declaration,
            notices=self._notices,
            occupancy=self._occupancy_of,
            routers=routers,
            reserved_engines=reserved_engines,
            clock=loop.time,
        )
        self._context = RequestContext(
            name=name,
            schedulers=schedulers,
            claims=claims,
            crashes=crashes,
            retries=self._retries,
            declaration=declaration,
            notices=self._notices,
            run_counts=self._run_counts,
            now=loop.time,
            zone=zone,
            direct=self._direct,
            streams=streams,
        )

    def submit(self, request, caller):
        """Start serving a request that this router owns from now on."""
        cells = cells_of(self._declaration(), request.service)
        cell = choose_cell(cells=cells, prefix_blocks=request.prefix_blocks, request_id=request.request_id)
        if cell is None:
            caller.post(AnswerRefusal(refusal=refusal_of(Reason.NO_ENGINE, executed=Executed.NO)))
            return
        task = RequestTask(request=request, caller=caller, context=self._context, cell=cell)
        self.tasks_by_id[request.request_id] = task
        self._idle.clear()
        running = self._loop.create_task(task.serve())
        self._running_by_id[request.request_id] = running
        running.add_done_callback(lambda done: self._remove_task(request.request_id, done))

    def post(self, request_id, event):
        """Deliver an event of a caller's exchange to its request; events of a finished request are dropped."""
        if isinstance(event, EngineNotice):
            if event.entry not in ("", self.name):
                # Asked of another router, which only carried the connection.
                self._context.forward_notice(event)
                return
            self._count_broken_back_off(event)
            self._notices.process(event)
            self._context.forward_notice(dataclasses.replace(event, entry=self.name))
            return
        task = self.tasks_by_id.get(request_id)
        if task is not None:
            task.post(event)

    def _count_broken_back_off(self, notice):
        engine = self._declaration().engines_by_name.get(notice.engine)
        if engine is None or not notice.rest_s:
            return
        rested_s = self._notices.rested_s(engine)
        # Requests already in flight when the engine first asked for the back-off are no fault.
        if rested_s > NOTICE_AGE_TOLERANCE_S:
            self._run_counts.count_broken_back_off(engine=notice.engine, rested_s=rested_s)

    def is_available(self, engine):
        """Whether an engine is declared and not draining, as far as this router knows; may be called by any thread."""
        return self._context.is_available(engine)

    def usable_address(self, engine):
        """Address of an engine that runs may be sent to now, or ``None``.

        Unlike for the runs of this entry, a back-off counts too: nobody else makes the engine's choice of router.
        """
        if not self._context.is_available(engine):
            return None
        declared = self._declaration().engines_by_name[engine]
        return None if self._notices.rest_s(declared) > 0.0 else declared.address

    def displace(self, request_id):
        """Drop a waiting request to admit one of a higher tier."""
        self.post(request_id, Displaced())

    def on_scheduler_message(self, message):
        """Deliver a scheduler's message to its request; a message about an engine concerns all requests."""
        self._record_answer(message)
        if isinstance(message, EngineDown):
            self._context.crashes.record_engine_down(message.engine)
            return
        if isinstance(message, Queued):
            return
        task = self.tasks_by_id.get(message.request_id)
        if isinstance(message, Granted) and not _awaits(task, message):
            self._return_grant(task, message)
            return
        if task is not None:
            task.post(message)

    def _record_answer(self, message):
        task = None if isinstance(message, EngineDown) else self.tasks_by_id.get(message.request_id)
        if task is not None:
            self._direct.record_answer(task.cell, message)
        elif not isinstance(message, Refused | Queued):
            engine = self._declaration().engines_by_name.get(message.engine)
            if engine is not None:
                self._direct.record_answer(engine.cell, message)

    def _occupancy_of(self, engine):
        tasks = [task for task in self.tasks_by_id.values() if task.engine == engine and task.is_dispatched]
        return math.inf if any(task.runs_alone for task in tasks) else len(tasks)

    def register(self, cell):
        """Build the registration of this entry's requests and notices of ``cell`` for a new scheduler."""
        tasks = [task for task in self.tasks_by_id.values() if task.cell == cell]
        waiting = [task.grant_request() for task in tasks if task.state is RequestState.QUEUED and task.attempt]
        running = [task.running_record() for task in tasks if task.state is RequestState.DISPATCHED]
        return Register(
            entry=self.name,
            cell=cell,
            waiting=tuple(waiting),
            running=tuple(running),
            notices=self._notices_of(cell),
            retries=self._retries.history(cell),
        )

    def _notices_of(self, cell):
        declared = self._declaration().engines_by_name
        known = [engine for engine in self._notices.engines if engine in declared]
        return self._notices.for_engines([engine for engine in known if declared[engine].cell == cell])

    def cells_in_use(self):
        """Cells that have a waiting or running request."""
        return {task.cell for task in self.tasks_by_id.values()}

    async def drained(self):
        """Wait until no request is left."""
        await self._idle.wait()

    async def close(self):
        """Cancel every request's task; used when the process ends after its drain."""
        running = list(self._running_by_id.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def dump(self):
        """Plain data for the state dump."""
        now = self._loop.time()
        return {
            "notices": self._notices.dump(),
            "requests": [
                {
                    "request_id": task.request.request_id,
                    "service": task.request.service,
                    "route": task.request.route,
                    "team": task.request.team,
                    "tier": task.request.tier,
                    "state": str(task.state),
                    "cell": task.cell,
                    "engine": task.engine,
                    "runs": task.runs,
                    "attempt": task.attempt,
                    "remaining_s": round(task.request.deadline - now, 3),
                }
                for task in self.tasks_by_id.values()
            ],
        }

    def _return_grant(self, task, granted):
        # Two schedulers may serve one cell for a moment, or a grant may cross a
        # withdrawal. The slot must be returned, or its engine looks busy for ever; the entry
        # registers again so that the scheduler's record of a running request's slot stays exact.
        if task is None:
            self._withdraw_grant(granted)
            return
        slot_return = RunFinished(
            request_id=granted.request_id,
            engine=granted.engine,
            result=RunNotSent.__name__,
            duration_s=0.0,
            never_sent=True,
        )
        if task.state is RequestState.DISPATCHED and task.engine != granted.engine:
            self._context.send(task.cell, slot_return)
        self._context.send(task.cell, self.register(task.cell))

    def _withdraw_grant(self, granted):
        engine = self._declaration().engines_by_name.get(granted.engine)
        if engine is not None:
            self._context.send(engine.cell, Withdraw(request_id=granted.request_id))

    def _remove_task(self, request_id, done):
        self.tasks_by_id.pop(request_id, None)
        self._running_by_id.pop(request_id, None)
        if not self.tasks_by_id:
            self._idle.set()
        report_failed_task(done, f"the task of request {request_id} failed")


def _awaits(task, granted):
    return task is not None and task.state is RequestState.QUEUED and task.attempt == granted.attempt
