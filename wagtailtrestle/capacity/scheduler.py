"""Capacity of one cell: grants places on its engines in order of tier, refuses, preempts.

All state is soft: it is the sum of what entries hold. A grant is capacity, never identity,
so a scheduler that is wrong, late or doubled can fill an engine too far or too little but
can't make a request run twice.
"""

import itertools
from collections import Counter

from wagtailtrestle.capacity.admission import Admission
from wagtailtrestle.capacity.crash_signs import CrashSigns
from wagtailtrestle.capacity.isolation import Isolation
from wagtailtrestle.capacity.preemption import LOOK_AHEAD, PreemptionPlanner
from wagtailtrestle.capacity.registration import Registration
from wagtailtrestle.capacity.retry_budget import RetryBudget, RetryLimits
from wagtailtrestle.capacity.run_table import RunTable
from wagtailtrestle.capacity.scheduler_log import SchedulerLog
from wagtailtrestle.capacity.tier_queue import TierQueue
from wagtailtrestle.contracts.messages import (
    EngineDown,
    EngineNotice,
    GrantRequest,
    Preempt,
    Refused,
    Register,
    RunFinished,
    RunProgress,
    RunStarted,
    Withdraw,
)
from wagtailtrestle.contracts.outcomes import Reason, RunDone
from wagtailtrestle.engines.silence_limits import granted_message
from wagtailtrestle.entry.cells import CellDigest

TRIES_IN_A_ROW = 128
"""Waiting requests tried in one round, so that no message costs unbounded time."""

MAX_COMPARED = 12
"""Engines compared for one request, and as many more that hold half of its prompt's parts: those with room, in order
of their pace. Comparing all of 78 took most of the scheduler's processor time, four fifths of 2.4 ms a request, and
served callers no better on days of load."""

UNPARK_IN_A_ROW = 32
"""Parked requests tried again at each tick, as predictions change with time."""


class Scheduler:
    """Admission of one cell.

    Parameters
    ----------
    cell : str
    policy : EnginePolicy
    clock : callable
        Returns the loop's time in seconds.
    entries : EntryLink
        Carries answers back.
    prefill_weight : float
        From 0 (goodput by tier) to 1 (no prefill thrown away).
    runs_outlive_routers : bool
        Whether engines go on with the runs of a router that died, and report them.
    retry_limits : callable
        Returns the present ``RetryLimits`` of this cell.
    """

    __slots__ = (
        "cell",
        "_policy",
        "_clock",
        "_entries",
        "_runs",
        "_queue",
        "_admission",
        "_planner",
        "_isolation",
        "_registration",
        "_crash_signs",
        "_retries",
        "_retries_used_up",
        "_elsewhere",
        "_members",
        "_granting",
        "_log",
        "_runs_outlive_routers",
        "_rollout",
        "_held_back",
        "_handlers_by_type",
    )

    def __init__(
        self,
        *,
        cell,
        policy,
        clock,
        entries,
        prefill_weight=0.5,
        runs_outlive_routers=False,
        retry_limits=RetryLimits,
    ):
        self.cell = cell
        self._runs_outlive_routers = runs_outlive_routers
        self._rollout = None
        self._held_back = frozenset()
        self._policy = policy
        self._clock = clock
        self._entries = entries
        self._runs = RunTable(clock=clock)
        self._queue = TierQueue()
        self._admission = Admission(
            clock=clock,
            queue=self._queue,
            lengths=self._runs.lengths,
            held=self._runs.held,
            prefill_weight=prefill_weight,
        )
        self._planner = PreemptionPlanner(clock=clock, prefill_weight=prefill_weight)
        self._isolation = Isolation(clock=clock, queue=self._queue)
        self._registration = Registration(clock=clock)
        self._crash_signs = CrashSigns(clock=clock)
        self._retries = RetryBudget(clock=clock, limits=retry_limits)
        self._retries_used_up = False
        self._elsewhere = set()
        self._log = SchedulerLog(cell=cell, runs=self._runs, registration=self._registration)
        self._members = frozenset()
        self._granting = True
        self._handlers_by_type = {
            GrantRequest: self._on_grant_request,
            Withdraw: self._on_withdraw,
            RunStarted: self._runs.on_started,
            RunProgress: self._runs.on_progress,
            RunFinished: self._on_finished,
            Register: self._on_register,
            EngineNotice: self._runs.on_notice,
        }

    # What is declared and seen.

    def set_engines(self, by_name):
        """Put the declared engines of this cell in force; what is known of kept ones stays."""
        self._runs.declare(by_name)
        self._crash_signs.keep(by_name)
        self._runs.hold_back(self._held_back)
        self._admission.set_engines(self._runs.usable_engines)
        if self._registration.cautious:
            self._runs.distrust()
        self._grant_ready()

    def set_rollout(self, rollout, held_back):
        """Have a roll-out, or ``None``, send requests to engines that are held back from all others.

        Parameters
        ----------
        rollout : Rollout or None
        held_back : frozenset of str
            Names of engines.
        """
        self._rollout = rollout
        if held_back == self._held_back:
            return
        self._held_back = held_back
        self._runs.hold_back(held_back)
        self._admission.set_engines(self._runs.usable_engines)
        self._grant_ready()

    def runs_by_version(self):
        """How many runs the engines of each version hold."""
        counts = Counter()
        for engine in self._runs.engines:
            counts[engine.version] += engine.running
        return counts

    def set_teams(self, share_by_name):
        """Put the declared shares of teams in force."""
        self._queue.set_shares(share_by_name)

    def expect_orphans(self):
        """Begin with what the engines themselves report: a router died lately, whose runs nobody registers."""
        self._registration.expect_orphans()

    def take_over(self):
        """Begin anew: this router is scheduler again, after another one was."""
        self._registration.take_over()
        self._retries.begin()
        self._runs.distrust()

    def set_members(self, entries):
        """Take in the live view of routers; what those that left hold is let go."""
        gone = self._members - frozenset(entries)
        self._members = frozenset(entries)
        self._elsewhere &= self._members
        self._retries.keep(self._members)
        self._registration.set_members(self._members)
        if self._registration.cautious:
            self._runs.distrust()
        for entry in gone:
            self._drop_entry(entry)
        self._grant_ready()

    @property
    def awaited_entries(self):
        """Members whose registration is awaited; whoever can ask them to register may do so."""
        return self._registration.awaited if self._registration.cautious else frozenset()

    def on_load_report(self, report):
        """Correct an engine's account by its own report."""
        if self._runs.on_load_report(report):
            self._runs.hold_back(self._held_back)
            self._admission.set_engines(self._runs.usable_engines)
        self._grant_ready()

    def on_cache_events(self, events):
        """Correct what an engine's prefix cache is believed to hold by its own, late, word."""
        engine = self._runs.engines_by_name.get(events.engine)
        if engine is None:
            return
        if events.restarted:
            engine.cache.clear()
        engine.cache.removed(events.removed)
        engine.cache.stored(events.stored)

    def on_unreachable(self, engine):
        """Grant nothing on an engine that does not answer, until it reports again."""
        state = self._runs.engines_by_name.get(engine)
        if state is not None:
            state.mark_unreachable()
        for entry in self._crash_signs.entries_cut_by(engine):
            self._entries.send(entry=entry, message=EngineDown(engine=engine))

    def mark_leaving(self, engine, leaving=True):
        """Grant nothing more on this engine, or again if the platform's list takes it back."""
        state = self._runs.engines_by_name.get(engine)
        if state is not None:
            state.mark_leaving(leaving)

    def stop_granting(self):
        """Grant nothing more: the router is draining and another will be scheduler."""
        self._granting = False

    # What drives it.

    def receive(self, message):
        """Act on one message of an entry."""
        self._notice_pause()
        self._handlers_by_type[type(message)](message)
        if not isinstance(message, RunStarted | RunProgress):
            self._grant_ready()

    def tick(self):
        """Sweep deadlines, preempt, and grant what has become possible; about every 50 ms."""
        self._notice_pause()
        self._log.note_caution()
        self._runs.tick()
        self._log.note_overfull()
        self._log.note_limited()
        self._runs.order_by_pace()
        self._admission.measure_speed()
        self._retries_used_up = not self._may_retry()
        for waiting in self._queue.pop_expired(self._clock()):
            self._refuse(waiting.request, Reason.OVERLOADED)
        self._queue.unpark_some(UNPARK_IN_A_ROW)
        self._isolation.yield_to_urgent(self._runs.engines)
        self._grant_ready()
        self._admission.note_places()
        self._preempt()

    # What is told.

    def digest(self):
        """Summary by which entries choose between cells."""
        waiting_by_tier = self._queue.waiting_by_tier()
        tiers = [grant.request.tier for grant in self._runs.grants_by_request_id.values()] + list(waiting_by_tier)
        return CellDigest(
            free=sum(engine.free_slots for engine in self._runs.engines),
            waiting_by_tier=waiting_by_tier,
            lowest_tier=max(tiers, default=None),
        )

    def dump(self):
        """Return a plain view of everything held, for the state dump."""
        return {
            "cell": self.cell,
            "granting": self._granting,
            "members": sorted(self._members),
            "awaited": sorted(self.awaited_entries),
            "waiting_by_tier": self._queue.waiting_by_tier(),
            "work_by_tier": {tier: round(work, 3) for tier, work in self._queue.work_by_tier().items()},
            "running": {request_id: grant.engine for request_id, grant in self._runs.grants_by_request_id.items()},
            "retries": self._retries.dump(),
            "engines": {name: engine.dump() for name, engine in self._runs.engines_by_name.items()},
        }

    # Messages of entries.

    def _on_grant_request(self, request):
        grant = self._runs.grants_by_request_id.get(request.request_id)
        if grant is not None and request.attempt == grant.request.attempt:
            self._tell_granted(grant)
            return
        waiting = self._queue.waiting_by_request_id.get(request.request_id)
        if waiting is not None and request.attempt <= waiting.request.attempt:
            return
        if self._runs.ended.holds(request) or (grant is not None and request.attempt < grant.request.attempt):
            return
        if grant is not None:
            self._runs.end(grant)
        self._queue.remove(request.request_id)
        self._consider(request)

    def _on_finished(self, message):
        grant = self._runs.grants_by_request_id.get(message.request_id)
        if self._rollout is not None and grant is not None and grant.engine == message.engine and message.duration_s:
            engine = self._runs.engines_by_name.get(grant.engine)
            if engine is not None:
                self._rollout.note_end(
                    request=grant.request,
                    engine=engine.name,
                    version=engine.version,
                    finished=message,
                    was_full=grant.filled,
                )
        if grant is not None and grant.engine == message.engine:
            self._note_end(grant.request, message)
        self._runs.on_finished(message)

    def _note_end(self, request, finished):
        if finished.never_sent:
            self._retries.take_back(request.request_id)
        elif finished.result == RunDone.__name__:
            self._retries.note_success(request.entry)
        self._crash_signs.note_end(engine=finished.engine, entry=request.entry, result=finished.result)

    def _on_withdraw(self, message):
        waiting = self._queue.remove(message.request_id)
        if waiting is not None:
            self._runs.ended.note(waiting.request)
        grant = self._runs.grants_by_request_id.get(message.request_id)
        if grant is not None:
            self._runs.end(grant)

    def _on_register(self, message):
        # An entry that has not heard of the former scheduler's death yet says that it holds nothing here.
        # Were it no longer awaited, engines would be filled beside the runs that it tells of a moment later.
        if message.elsewhere:
            # Its runs go on, though another scheduler counts them now. Were their places free here, entries that
            # have not heard of the change yet got second runs on them: 29 on an engine of 16 places were seen, and
            # what waits in an engine's queue can't be moved. A report shows when they are gone.
            self._elsewhere.add(message.entry)
            self._retries.keep(self._members - self._elsewhere)
            self._drop_entry(message.entry)
            return
        self._elsewhere.discard(message.entry)
        self._registration.registered(message.entry)
        self._retries.take_history(message.entry, message.retries)
        for notice in message.notices:
            self._runs.on_notice(notice)
        running_by_id = {record.request.request_id: record for record in message.running}
        asked_by_id = {request.request_id: request for request in message.waiting}
        for grant in self._runs.of_entry(message.entry):
            asked = asked_by_id.get(grant.request_id)
            in_flight = asked is not None and asked.attempt == grant.request.attempt
            record = running_by_id.get(grant.request_id)
            held = record is not None and record.engine == grant.engine
            if not in_flight and not held:
                self._let_go(grant)
        for waiting in self._waiting_of(message.entry):
            if waiting.request_id not in asked_by_id:
                self._queue.remove(waiting.request_id)
        for record in message.running:
            self._hold_registered(record)
        for request in message.waiting:
            self._on_registered_ask(request)

    def _let_go(self, grant):
        # A router that was started again registers without what its predecessor had sent to engines, and these go on
        # with it. Were the places free at once, runs granted there would wait in the engine's queue, up to their
        # deadline. A report shows when the runs are gone; where engines report nothing, the router's word decides.
        if grant.orphaned_at is None or not self._runs_outlive_routers:
            self._runs.end(grant)

    def _on_registered_ask(self, request):
        # The entry says it still waits, so an answer to this ask was lost on the way.
        if self._runs.ended.holds(request):
            self._consider(request)
        else:
            self._on_grant_request(request)

    def _hold_registered(self, record):
        self._queue.remove(record.request.request_id)
        grant = self._runs.hold_registered(record)
        if grant.preempted_at is not None:
            self._tell_preempt(grant)

    # Queue, grants, refusals.

    def _consider(self, request):
        if request.is_retry and not self._may_retry():
            self._log.note_no_retry(request, self._retries)
            self._refuse(request, Reason.RETRY_BUDGET)
            return
        waiting = self._admission.waiting(request)
        reason = self._admission.refusal(waiting)
        if reason is not None:
            self._refuse(request, reason)
            return
        if request.alone:
            self._set_aside(waiting)
            return
        self._admission.admit(waiting)
        self._queue.push(waiting)
        while (given_up := self._admission.overflow()) is not None:
            self._queue.remove(given_up.request_id)
            self._refuse(given_up.request, Reason.OVERLOADED)

    def _may_retry(self):
        queued = self._queue.waiting_by_request_id.values()
        entries = self._members - self._elsewhere - self.awaited_entries
        return self._retries.has_room(waiting=sum(waiting.request.is_retry for waiting in queued), entries=entries)

    def _set_aside(self, waiting):
        if not self._isolation.has_room():
            self._refuse(waiting.request, Reason.OVERLOADED)
        elif not self._isolation.possible(waiting, self._runs.engines):
            self._refuse(waiting.request, Reason.DEADLINE_UNREACHABLE)
        else:
            self._admission.admit(waiting)
            self._queue.set_aside(waiting)

    def _grant_ready(self):
        if not self._granting or not len(self._queue):
            return
        self._serve_suspects()
        open_engines = self._open_engines()
        self._queue.unpark({engine.name for engine in open_engines})
        for _ in range(TRIES_IN_A_ROW):
            if not open_engines and self._rollout is None:
                return
            waiting = self._queue.pop()
            if waiting is None:
                return
            self._try(waiting, open_engines)
            open_engines = self._open_engines()

    def _serve_suspects(self):
        # Until every entry registered, what runs on an engine is not known, so none is known empty.
        if self._registration.cautious:
            return
        while (step := self._isolation.next(self._runs.engines)) is not None:
            if step.engine is None:
                self._queue.remove(step.waiting.request_id)
                self._refuse(step.waiting.request, Reason.DEADLINE_UNREACHABLE)
            else:
                self._queue.take(step.waiting)
                self._grant(step.waiting, step.engine)

    def _open_engines(self):
        cautious = self._registration.cautious
        engines = self._runs.engines
        return [engine for engine in engines if engine.free_slots and (engine.reported or not cautious)]

    def _try(self, waiting, open_engines):
        """Grant the request on one of the engines with room, park it, or refuse it."""
        open_engines = [engine for engine in open_engines if not engine.rest_s(waiting.request.entry)]
        exposed = self._exposed_engine(waiting.request)
        if exposed is not None:
            self._grant(waiting, exposed)
            return
        suited = self._suited(waiting, open_engines)
        if not suited and waiting.request.first_token_within_s and not self._admission.waits_for_better(waiting):
            suited = open_engines
        engine = self._policy.choose(request=waiting.request, engines=suited, now=self._clock()) if suited else None
        if engine is not None:
            self._grant(waiting, engine)
            return
        others = [engine for engine in self._runs.usable_engines if not engine.leaving]
        if any(self._admission.could_finish(waiting, engine) for engine in others):
            self._queue.park(waiting, tried_engines=frozenset(engine.name for engine in open_engines))
        else:
            self._refuse(waiting.request, Reason.DEADLINE_UNREACHABLE)

    def _exposed_engine(self, request):
        """The engine on which a roll-out tries this request, or ``None``: the fullest, so that it is seen full."""
        if self._rollout is None or not self._rollout.wants(request):
            return None
        tried = [
            engine
            for engine in self._runs.engines
            if engine.reserved
            and self._rollout.is_target(engine.version)
            and engine.free_rollout_slots
            and not engine.rest_s(request.entry)
        ]
        return max(tried, key=lambda engine: (engine.running, engine.name), default=None)

    def _suited(self, waiting, open_engines):
        """The engines among which to choose: of many, a few that are the likeliest, unless none of these suits."""
        likely = self._likely(waiting.request, open_engines)
        suited = [engine for engine in likely if self._admission.can_finish_now(waiting, engine)]
        if suited or len(likely) == len(open_engines):
            return suited
        return [engine for engine in open_engines if self._admission.can_finish_now(waiting, engine)]

    def _likely(self, request, open_engines):
        if len(open_engines) <= MAX_COMPARED:
            return open_engines
        first = open_engines[:MAX_COMPARED]
        blocks = request.prefix_blocks
        if not blocks:
            return first
        middle = blocks[len(blocks) // 2]
        holders = (engine for engine in open_engines[MAX_COMPARED:] if middle in engine.cache)
        return first + list(itertools.islice(holders, MAX_COMPARED))

    def _grant(self, waiting, engine):
        self._admission.granted(waiting)
        grant = self._runs.hold(
            waiting.request,
            asked_tokens=waiting.asked_tokens,
            engine_name=engine.name,
            deadline=waiting.deadline,
        )
        if waiting.request.is_retry:
            self._retries.spend(entry=waiting.request.entry, request_id=waiting.request_id)
        if self._rollout is not None:
            self._rollout.note_grant(waiting.request, engine.version)
        self._tell_granted(grant)

    def _tell_granted(self, grant):
        engine = self._runs.engines_by_name.get(grant.engine)
        if engine is None:
            return
        message = granted_message(grant, engine, retries_used_up=self._retries_used_up)
        if not self._entries.send(entry=grant.request.entry, message=message):
            self._runs.end(grant)

    def _refuse(self, request, reason):
        self._runs.ended.note(request)
        refused = Refused(
            request_id=request.request_id,
            attempt=request.attempt,
            reason=reason,
            retry_after_s=self._admission.retry_after_s(request),
        )
        self._entries.send(entry=request.entry, message=refused)

    # Preemption, members that left, pauses.

    def _preempt(self):
        if not self._granting or not len(self._queue) or self._holds_unconfirmed():
            return
        first = self._queue.first(LOOK_AHEAD)
        # Places that free on an engine kept for a suspect are not for those who wait, and a run that yields
        # on an engine with a rate limit makes no room for another.
        engines = [
            engine for engine in self._runs.engines if engine.kept_for is None and not engine.rate_limit.in_force
        ]
        for grant in self._planner.victims(waiting=first, engines=engines):
            if self._tell_preempt(grant):
                grant.preempted_at = self._clock()

    def _holds_unconfirmed(self):
        # A scheduler that woke from a pause may hold runs that ended long ago; by them it would
        # cancel others. A new one holds only what entries registered, and acts on it at once:
        # waiting for the last entry could let a higher tier expire while a lower one runs.
        awaited = self.awaited_entries
        return any(grant.request.entry in awaited for grant in self._runs.grants_by_request_id.values())

    def _tell_preempt(self, grant):
        message = Preempt(request_id=grant.request_id, engine=grant.engine)
        return self._entries.send(entry=grant.request.entry, message=message)

    def _waiting_of(self, entry):
        return [waiting for waiting in self._queue.waiting_by_request_id.values() if waiting.request.entry == entry]

    def _drop_entry(self, entry):
        for waiting in self._waiting_of(entry):
            self._queue.remove(waiting.request_id)
        self._runs.orphan(entry)

    def _notice_pause(self):
        if self._registration.woke():
            self._registration.begin()
            self._runs.distrust()
