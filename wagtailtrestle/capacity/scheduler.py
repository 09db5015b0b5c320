"""Scheduler of one cell: grants slots on its engines in order of tier, refuses requests and preempts runs.

All state is soft and can be rebuilt from what entries hold. A grant only assigns a slot; whether a request runs, and
that it does not run twice, is decided by its entry. So a scheduler that is wrong, late or duplicated can overfill or
underfill an engine but can't make a request run twice.
"""

import itertools
from collections import Counter

from wagtailtrestle.capacity.admission import Admission
from wagtailtrestle.capacity.crash_signs import CrashSigns
from wagtailtrestle.capacity.engine_match import EngineMatch
from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.capacity.isolation import Isolation
from wagtailtrestle.capacity.late_service import has_slot_for_late
from wagtailtrestle.capacity.preemption import LOOK_AHEAD, PreemptionPlanner
from wagtailtrestle.capacity.registration import Registration
from wagtailtrestle.capacity.retry_budget import RetryBudget, RetryLimits
from wagtailtrestle.capacity.run_table import RunTable
from wagtailtrestle.capacity.scheduler_log import SchedulerLog
from wagtailtrestle.capacity.tier_floor import TierFloor
from wagtailtrestle.capacity.tier_queue import TierQueue
from wagtailtrestle.contracts.messages import (
    EngineDown,
    EngineNotice,
    GrantRequest,
    Preempt,
    Queued,
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

MAX_TRIES_PER_ROUND = 128
"""Limit of waiting requests tried in one round, so that handling a message takes bounded time."""

MAX_FLOOR_FAILURES_PER_ROUND = 16
"""Requests of tiers below their floor that may be tried in vain in one round before it continues in strict order.
Otherwise a tier that no free slot suits could use up all tries, and the slots would stay empty until the next round."""

MAX_COMPARED = 12
"""Engines with free slots compared for one request, fastest first, and as many more that have half of its prompt in
their cache. Comparing all of 78 engines took four fifths of the scheduler's 2.4 ms of processor time per request,
without serving callers better under load."""

MAX_UNPARKED_PER_TICK = 32
"""Parked requests retried at each tick, because predictions change over time."""


class Scheduler:
    """Grants, refuses and preempts the requests of one cell.

    Parameters
    ----------
    cell : str
    policy : EnginePolicy
    clock : callable
        Returns the loop's time in seconds.
    entries : EntryLink
        Carries the answers to entries.
    prefill_weight : float
        From 0 (maximise goodput by tier) to 1 (discard no prefill).
    runs_outlive_routers : bool
        Whether engines continue the runs of a router that died, and report them.
    retry_limits : callable
        Returns the current ``RetryLimits`` of this cell.
    features : callable
        Returns the ``Features`` in force.
    serves_plain_calls : bool
        Whether the cell's service is a plain one, whose calls entries may dispatch while the scheduler is silent.
    needs_version : callable
        See :class:`RunTable`.
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
        "_entries_using_other_scheduler",
        "_members",
        "_granting",
        "_log",
        "_runs_outlive_routers",
        "_rollout",
        "_features",
        "_serves_plain_calls",
        "_floor",
        "_match",
        "_zone_grants",
        "_unfit_refusals",
        "_late_grants",
        "_late_refusals",
        "_reserved",
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
        features=all_off,
        serves_plain_calls=False,
        needs_version=lambda: False,
    ):
        self.cell = cell
        self._runs_outlive_routers = runs_outlive_routers
        self._rollout = None
        self._features = features
        self._serves_plain_calls = serves_plain_calls
        self._match = EngineMatch(clock=clock, features=features)
        self._zone_grants = Counter()
        self._unfit_refusals = 0
        self._late_grants = 0
        self._late_refusals = 0
        self._reserved = frozenset()
        self._policy = policy
        self._clock = clock
        self._entries = entries
        self._runs = RunTable(clock=clock, needs_version=needs_version)
        self._queue = TierQueue()
        self._floor = TierFloor(clock=clock, features=features)
        self._admission = Admission(
            clock=clock,
            queue=self._queue,
            lengths=self._runs.lengths,
            held=self._runs.held,
            floor=self._floor,
            prefill_weight=prefill_weight,
            features=features,
        )
        self._planner = PreemptionPlanner(
            clock=clock, prefill_weight=prefill_weight, floor=self._floor, passes_over=self._match.passes_over
        )
        self._isolation = Isolation(clock=clock, queue=self._queue)
        self._registration = Registration(clock=clock)
        self._crash_signs = CrashSigns(clock=clock)
        self._retries = RetryBudget(clock=clock, limits=retry_limits)
        self._retries_used_up = False
        self._entries_using_other_scheduler = set()
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

    # Declarations and observations.

    def set_engines(self, by_name):
        """Apply the declared engines of this cell; the state of those already known is kept."""
        self._runs.declare(by_name)
        self._crash_signs.retain_engines(by_name)
        self._runs.set_reserved(self._reserved)
        self._admission.set_engines(self._runs.usable_engines)
        if self._registration.recovering:
            self._runs.invalidate_reports()
        self._refuse_version_gone()
        self._grant_ready()

    def set_rollout(self, rollout, reserved):
        """Apply a rollout, or ``None``, that sends requests to engines reserved for it.

        Parameters
        ----------
        rollout : Rollout or None
        reserved : frozenset of str
            Names of the reserved engines.
        """
        self._rollout = rollout
        if reserved == self._reserved:
            return
        self._reserved = reserved
        self._runs.set_reserved(reserved)
        self._admission.set_engines(self._runs.usable_engines)
        self._grant_ready()

    def runs_by_version(self):
        """Count the runs on the engines of each version."""
        counts = Counter()
        for engine in self._runs.engines:
            counts[engine.version] += engine.running
        return counts

    def set_teams(self, share_by_name):
        """Apply the declared shares of teams."""
        self._queue.set_shares(share_by_name)

    def expect_orphans(self):
        """Grant by engines' own reports at first: a router died recently, and no entry registers its runs."""
        self._registration.expect_orphans()

    def resume(self):
        """Await registrations and reports again: this router is scheduler again after another router was."""
        self._registration.resume()
        self._retries.begin()
        self._runs.invalidate_reports()

    def set_members(self, entries):
        """Apply the current view of routers; waiting requests of departed ones are dropped, their runs orphaned."""
        departed = self._members - frozenset(entries)
        self._members = frozenset(entries)
        self._entries_using_other_scheduler &= self._members
        self._retries.retain_successes(self._members)
        self._registration.set_members(self._members)
        if self._registration.recovering:
            self._runs.invalidate_reports()
        for entry in departed:
            self._drop_entry(entry)
        self._grant_ready()

    @property
    def awaited_entries(self):
        """Members whose registration is awaited, so that callers can request it."""
        return self._registration.awaited if self._registration.recovering else frozenset()

    def on_load_report(self, report):
        """Correct an engine's run counts by its own report."""
        if self._runs.on_load_report(report):
            self._runs.set_reserved(self._reserved)
            self._admission.set_engines(self._runs.usable_engines)
        self._grant_ready()

    def on_cache_events(self, events):
        """Correct the assumed content of an engine's prefix cache by its own, delayed, events."""
        engine = self._runs.engines_by_name.get(events.engine)
        if engine is None:
            return
        if events.restarted:
            engine.cache.clear()
        engine.cache.removed(events.removed)
        engine.cache.stored(events.stored)

    def on_unreachable(self, engine):
        """Grant nothing on an engine that does not answer until it reports again.

        Entries whose runs it cut recently are notified that it is down.
        """
        state = self._runs.engines_by_name.get(engine)
        if state is not None:
            state.mark_unreachable()
        for entry in self._crash_signs.pop_entries_cut_by(engine):
            self._entries.send(entry=entry, message=EngineDown(engine=engine))

    def mark_leaving(self, engine, leaving=True):
        """Grant nothing more on a draining engine, or again if the platform's list clears the mark."""
        state = self._runs.engines_by_name.get(engine)
        if state is not None:
            state.mark_leaving(leaving)

    def stop_granting(self):
        """Grant nothing more: this router is draining and another one becomes scheduler."""
        self._granting = False

    # Events.

    def receive(self, message):
        """Process one message of an entry."""
        self._recover_after_pause()
        self._handlers_by_type[type(message)](message)
        if not isinstance(message, RunStarted | RunProgress):
            self._grant_ready()
        if isinstance(message, GrantRequest):
            self._acknowledge_waiting(message)

    def tick(self):
        """Expire requests, preempt, and grant what has become possible; called about every 50 ms."""
        self._recover_after_pause()
        self._log.log_recovery()
        self._runs.tick()
        self._log.log_overfull()
        self._log.log_rate_limits()
        self._log.log_unavailable()
        self._log.log_floor(self._floor.grants_by_tier, self._clock())
        self._runs.sort_by_speed()
        self._admission.measure_speed()
        self._match.measure(self._runs.usable_engines)
        self._retries_used_up = not self._may_retry()
        self._refuse_version_gone()
        for waiting in self._queue.pop_expired(self._clock()):
            if waiting.is_late or not self._admission.make_late(waiting):
                self._unfit_refusals += bool(waiting.tried_engines) and self._match.applies(waiting)
                self._refuse_waiting(waiting)
            else:
                self._queue.push_late(waiting)
        self._queue.unpark_oldest(MAX_UNPARKED_PER_TICK)
        self._isolation.release_for_urgent(self._runs.engines)
        self._grant_ready()
        self._admission.update_occupancy()
        self._preempt()

    # Reporting.

    def digest(self):
        """Return the summary by which entries choose between cells."""
        waiting_by_tier = self._queue.waiting_by_tier()
        tiers = [grant.request.tier for grant in self._runs.grants_by_request_id.values()] + list(waiting_by_tier)
        return CellDigest(
            free=sum(engine.free_slots for engine in self._runs.engines),
            waiting_by_tier=waiting_by_tier,
            lowest_tier=max(tiers, default=None),
        )

    def dump(self):
        """Return plain data for the state dump."""
        return {
            "cell": self.cell,
            "granting": self._granting,
            "members": sorted(self._members),
            "awaited": sorted(self.awaited_entries),
            "waiting_by_tier": self._queue.waiting_by_tier(),
            "work_by_tier": {tier: round(work, 3) for tier, work in self._queue.work_by_tier().items()},
            "running": {request_id: grant.engine for request_id, grant in self._runs.grants_by_request_id.items()},
            "late_waiting": len(self._queue.late),
            "late_grants": self._late_grants,
            "late_refusals": self._late_refusals,
            "floor_grants_by_tier": dict(self._floor.grants_by_tier),
            "retries": self._retries.dump(),
            "zone_grants": dict(self._zone_grants),
            "unfit_refusals": self._unfit_refusals,
            "engines": {name: engine.dump() for name, engine in self._runs.engines_by_name.items()},
        }

    # Messages of entries.

    def _on_grant_request(self, request, *, is_new=True):
        grant = self._runs.grants_by_request_id.get(request.request_id)
        if grant is not None and request.attempt == grant.request.attempt:
            self._send_granted(grant)
            return
        waiting = self._queue.waiting_by_request_id.get(request.request_id)
        if waiting is not None and request.attempt <= waiting.request.attempt:
            return
        if self._runs.ended.covers(request) or (grant is not None and request.attempt < grant.request.attempt):
            return
        if grant is not None:
            self._runs.end(grant)
        self._queue.remove(request.request_id)
        self._consider(request, is_new=is_new)

    def _on_finished(self, message):
        grant = self._runs.grants_by_request_id.get(message.request_id)
        if self._rollout is not None and grant is not None and grant.engine == message.engine and message.duration_s:
            engine = self._runs.engines_by_name.get(grant.engine)
            # A resumed stream has no choice of version, so its run says nothing of how the versions compare.
            if engine is not None and not grant.request.version:
                self._rollout.record_run_end(
                    request=grant.request,
                    engine=engine.name,
                    version=engine.version,
                    finished=message,
                    was_full=grant.filled,
                )
        if grant is not None and grant.engine == message.engine:
            self._record_end(grant.request, message)
        self._runs.on_finished(message)

    def _record_end(self, request, finished):
        if finished.never_sent:
            self._retries.refund(request.request_id)
        elif finished.result == RunDone.__name__:
            self._retries.record_success(request.entry)
        self._crash_signs.record_end(engine=finished.engine, entry=request.entry, result=finished.result)

    def _on_withdraw(self, message):
        waiting = self._queue.remove(message.request_id)
        if waiting is not None:
            self._runs.ended.record(waiting.request)
        grant = self._runs.grants_by_request_id.get(message.request_id)
        if grant is not None:
            self._runs.end(grant)

    def _on_register(self, message):
        # An entry that does not know yet that the previous scheduler died registers with no runs here. It is still
        # awaited afterwards: otherwise engines would be overfilled beside the runs it registers a moment later.
        if message.elsewhere:
            # The entry's runs continue, but another scheduler counts them now. If their slots were freed here, entries
            # that do not know of the change yet would get second runs on them: 29 runs on an engine of 16 slots were
            # seen, and a run in an engine's queue can't be moved. A load report shows when the runs have ended.
            self._entries_using_other_scheduler.add(message.entry)
            self._retries.retain_successes(self._members - self._entries_using_other_scheduler)
            self._drop_entry(message.entry)
            return
        self._entries_using_other_scheduler.discard(message.entry)
        self._registration.record_registration(message.entry)
        self._retries.apply_history(message.entry, message.retries)
        for notice in message.notices:
            self._runs.on_notice(notice)
        running_by_id = {record.request.request_id: record for record in message.running}
        waiting_by_id = {request.request_id: request for request in message.waiting}
        for grant in self._runs.grants_of_entry(message.entry):
            waiting_request = waiting_by_id.get(grant.request_id)
            in_flight = waiting_request is not None and waiting_request.attempt == grant.request.attempt
            record = running_by_id.get(grant.request_id)
            held = record is not None and record.engine == grant.engine
            if not in_flight and not held:
                self._end_unless_orphaned(grant)
        for waiting in self._waiting_of(message.entry):
            if waiting.request_id not in waiting_by_id:
                self._queue.remove(waiting.request_id)
        for record in message.running:
            self._hold_registered(record)
        for request in message.waiting:
            self._on_registered_request(request)

    def _end_unless_orphaned(self, grant):
        # A restarted router registers without the runs of its previous process, which engines continue. If their slots
        # were freed immediately, runs granted there would wait in the engine's queue, up to their deadline. A load
        # report shows when the runs have ended; where engines report nothing, the router's registration decides.
        if grant.orphaned_at is None or not self._runs_outlive_routers:
            self._runs.end(grant)

    def _on_registered_request(self, request):
        # The entry still waits, so the answer to this request was lost.
        if self._runs.ended.covers(request):
            self._consider(request, is_new=False)
        else:
            self._on_grant_request(request, is_new=False)

    def _hold_registered(self, record):
        self._queue.remove(record.request.request_id)
        grant = self._runs.hold_registered(record)
        if grant.preempted_at is not None:
            self._send_preempt(grant)

    # Queue, grants, refusals.

    def _consider(self, request, *, is_new):
        if request.is_retry and not self._may_retry():
            self._log.log_refused_retry(request, self._retries)
            self._refuse(request, Reason.RETRY_BUDGET)
            return
        if self._is_version_gone(request):
            self._refuse(request, Reason.VERSION_GONE)
            return
        waiting = self._admission.waiting(request)
        if is_new:
            # Registered requests arrived over the time that they have waited; as new ones they would look like a burst.
            self._admission.offer(waiting)
        reason = None if self._reserved_engines(request) else self._admission.refusal(waiting)
        if reason is not None:
            self._refuse(request, reason)
            return
        if request.alone:
            self._queue_isolated(waiting)
            return
        if waiting.is_late:
            self._queue.push_late(waiting)
        else:
            self._admission.admit(waiting)
            self._queue.push(waiting)
        while (excess := self._admission.overflow()) is not None:
            self._queue.remove(excess.request_id)
            self._refuse_waiting(excess)

    def _may_retry(self):
        queued = self._queue.waiting_by_request_id.values()
        entries = self._members - self._entries_using_other_scheduler - self.awaited_entries
        return self._retries.has_budget(waiting=sum(waiting.request.is_retry for waiting in queued), entries=entries)

    def _queue_isolated(self, waiting):
        if not self._isolation.has_capacity():
            self._refuse(waiting.request, Reason.OVERLOADED)
        elif not self._isolation.is_possible(waiting, self._runs.engines):
            self._refuse(waiting.request, Reason.DEADLINE_UNREACHABLE)
        else:
            self._admission.admit(waiting)
            self._queue.push_isolated(waiting)

    def _grant_ready(self):
        if not self._granting or not len(self._queue):
            return
        self._serve_suspects()
        available_engines = self._available_engines()
        self._queue.unpark({engine.name for engine in available_engines})
        floor_failures = 0
        for _ in range(MAX_TRIES_PER_ROUND):
            if not available_engines and self._rollout is None:
                return
            use_floor = floor_failures < MAX_FLOOR_FAILURES_PER_ROUND
            waiting = self._pop_next(use_floor=use_floor) or self._pop_late()
            if waiting is None:
                return
            self._try_grant(waiting, available_engines)
            floor_failures += waiting.by_floor and waiting.request_id not in self._runs.grants_by_request_id
            if not self._queue.ready and not self._queue.late.ready:
                return
            available_engines = self._available_engines()

    def _acknowledge_waiting(self, request):
        if not self._serves_plain_calls or not self._features().direct_after_s:
            return
        if request.request_id in self._queue.waiting_by_request_id:
            self._entries.send(entry=request.entry, message=Queued(request_id=request.request_id))

    def _pop_next(self, *, use_floor):
        """Remove and return the next request: of a tier below its floor, else in strict order of tiers."""
        if use_floor and self._floor.share:
            for tier in self._floor.entitled(self._queue.waiting_by_tier()):
                waiting = self._queue.pop(tier=tier)
                if waiting is not None:
                    waiting.by_floor = True
                    return waiting
        waiting = self._queue.pop()
        if waiting is not None:
            waiting.by_floor = False
        return waiting

    def _pop_late(self):
        """Remove and return the first late request if timely ones leave a slot to it."""
        if not self._queue.late.ready or not has_slot_for_late(self._runs.engines):
            return None
        open_names = self._queue.refused_by_timely()
        if open_names is not None and not any(
            engine.free_slots for engine in self._runs.engines if engine.name in open_names
        ):
            return None
        waiting = self._queue.pop_late()
        if waiting is not None:
            waiting.by_floor = False
        return waiting

    def _serve_suspects(self):
        # Until every entry has registered, runs on an engine may be unknown, so no engine counts as empty.
        if self._registration.recovering:
            return
        while (step := self._isolation.next(self._runs.engines)) is not None:
            if step.engine is None:
                self._queue.remove(step.waiting.request_id)
                self._refuse(step.waiting.request, Reason.DEADLINE_UNREACHABLE)
            else:
                self._queue.pop_isolated(step.waiting)
                self._grant(step.waiting, step.engine)

    def _available_engines(self):
        recovering = self._registration.recovering
        engines = self._runs.engines
        return [engine for engine in engines if engine.free_slots and (not recovering or engine.reported)]

    def _try_grant(self, waiting, available_engines):
        """Grant the request on one of the engines with free slots, park it, or refuse it."""
        available_engines = [engine for engine in available_engines if not engine.rest_s(waiting.request.entry)]
        tried_engines = frozenset(engine.name for engine in available_engines)
        if waiting.request.version:
            available_engines = [engine for engine in available_engines if waiting.request.accepts(engine)]
        if waiting.is_late:
            open_names = self._queue.refused_by_timely()
            if open_names is not None:
                available_engines = [engine for engine in available_engines if engine.name in open_names]
        exposed = self._exposed_engine(waiting.request)
        if exposed is not None:
            self._grant(waiting, exposed)
            return
        matched = self._match.applies(waiting)
        permitted = self._match.permitted(waiting, available_engines) if matched else available_engines
        if permitted is None:
            self._unfit_refusals += 1
            self._refuse(waiting.request, Reason.DEADLINE_UNREACHABLE)
            return
        suitable = self._suitable(waiting, permitted)
        # The zone is compared only among engines that meet the targets, so it can't cause a target to be missed.
        zone_cost_s = self._features().zone_cost_s if suitable and waiting.request.zone else 0.0
        if (
            not suitable
            and waiting.request.first_token_within_s
            and not self._admission.should_wait_for_suitable(waiting)
        ):
            suitable = permitted
        engine = None
        if suitable:
            engine = self._policy.choose(
                request=waiting.request, engines=suitable, now=self._clock(), zone_cost_s=zone_cost_s
            )
        if engine is not None:
            self._grant(waiting, engine)
            return
        others = [engine for engine in self._runs.usable_engines if not engine.leaving]
        if waiting.request.version:
            others = [engine for engine in others if waiting.request.accepts_version(engine.version)]
            others += self._reserved_engines(waiting.request)
        if any(self._admission.could_finish(waiting, engine) for engine in others):
            refused_engines = frozenset()
            if matched:
                tried_engines |= self._match.unsuitable_names(waiting)
                if not waiting.is_late:
                    refused_engines = self._match.refused_names(waiting)
            self._queue.park(waiting, tried_engines=tried_engines, refused_engines=refused_engines)
        else:
            self._refuse(waiting.request, Reason.DEADLINE_UNREACHABLE)

    def _exposed_engine(self, request):
        """Return the fullest engine on which the rollout tries this request, or ``None``.

        The fullest one is used so that the new version is also observed on a full engine. A stream that a reserved
        version began goes on there at the least loaded one.
        """
        if request.version:
            free = [
                engine
                for engine in self._reserved_engines(request)
                if request.accepts(engine) and engine.free_rollout_slots and not engine.rest_s(request.entry)
            ]
            return min(free, key=lambda engine: (engine.running, engine.name), default=None)
        if self._rollout is None or not self._rollout.should_expose(request):
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

    def _reserved_engines(self, request):
        """Return the engines reserved by a rollout in progress that have the version of a resumed stream."""
        if not request.version or self._rollout is None or not self._rollout.is_running:
            return []
        return [
            engine
            for engine in self._runs.engines
            if engine.reserved and not engine.leaving and request.accepts_version(engine.version)
        ]

    def _is_version_gone(self, request):
        """Whether a resumed stream can't go on, since no engine of its version is left among those of its cell."""
        if not request.version or not self._runs.engines or self._reserved_engines(request):
            return False
        return not any(
            request.accepts_version(engine.version) and not engine.leaving for engine in self._runs.usable_engines
        )

    def _refuse_version_gone(self):
        waiting_by_id = self._queue.waiting_by_request_id
        gone = [waiting for waiting in waiting_by_id.values() if self._is_version_gone(waiting.request)]
        for waiting in gone:
            self._queue.remove(waiting.request_id)
            self._refuse(waiting.request, Reason.VERSION_GONE)

    def _suitable(self, waiting, available_engines):
        """Return the engines that can finish the request, from the shortlist or, failing that, from all."""
        if self._match.applies(waiting):
            preferred = self._match.preferred(waiting, available_engines)
            if preferred is not available_engines:
                shortlist = self._shortlist(waiting.request, preferred)
                suitable = [engine for engine in shortlist if self._admission.can_finish_now(waiting, engine)]
                if suitable:
                    return suitable
        shortlist = self._shortlist(waiting.request, available_engines)
        suitable = [engine for engine in shortlist if self._admission.can_finish_now(waiting, engine)]
        if suitable or len(shortlist) == len(available_engines):
            return suitable
        return [engine for engine in available_engines if self._admission.can_finish_now(waiting, engine)]

    def _shortlist(self, request, available_engines):
        if len(available_engines) <= MAX_COMPARED:
            return available_engines
        first = available_engines[:MAX_COMPARED]
        blocks = request.prefix_blocks
        if not blocks:
            return first
        middle = blocks[len(blocks) // 2]
        holders = (engine for engine in available_engines[MAX_COMPARED:] if middle in engine.cache)
        return first + list(itertools.islice(holders, MAX_COMPARED))

    def _grant(self, waiting, engine):
        self._admission.granted(waiting)
        grant = self._runs.hold(
            waiting.request,
            asked_tokens=waiting.asked_tokens,
            engine_name=engine.name,
            deadline=waiting.deadline,
        )
        grant.by_floor = waiting.by_floor
        if waiting.request.zone:
            self._zone_grants["same" if engine.zone == waiting.request.zone else "other"] += 1
        self._late_grants += waiting.is_late
        if waiting.request.is_retry:
            self._retries.spend(entry=waiting.request.entry, request_id=waiting.request_id)
        if self._rollout is not None:
            self._rollout.record_grant(waiting.request, engine.version)
        self._send_granted(grant)

    def _send_granted(self, grant):
        engine = self._runs.engines_by_name.get(grant.engine)
        if engine is None:
            return
        message = granted_message(grant, engine, retries_used_up=self._retries_used_up)
        if not self._entries.send(entry=grant.request.entry, message=message):
            self._runs.end(grant)

    def _refuse_waiting(self, waiting):
        self._late_refusals += waiting.is_late
        self._refuse(waiting.request, Reason.OVERLOADED)

    def _refuse(self, request, reason):
        self._runs.ended.record(request)
        refused = Refused(
            request_id=request.request_id,
            attempt=request.attempt,
            reason=reason,
            retry_after_s=self._retry_after_s(request, reason),
        )
        self._entries.send(entry=request.entry, message=refused)

    def _retry_after_s(self, request, reason):
        if reason is Reason.VERSION_GONE:
            # Nothing tells whether the version comes back; a retry within the deadline would be refused again.
            return request.remaining_s
        return self._admission.retry_after_s(request)

    # Preemption, departed members, process pauses.

    def _preempt(self):
        if not self._granting or not len(self._queue) or self._holds_unconfirmed():
            return
        first = self._queue.first(LOOK_AHEAD)
        # A slot freed on an engine reserved for a suspect does not go to waiting requests, and preempting a run on
        # an engine with a rate limit does not let another one start there.
        engines = [
            engine for engine in self._runs.engines if engine.kept_for is None and not engine.rate_limit.in_force
        ]
        for grant in self._planner.victims(waiting=first, engines=engines):
            if self._send_preempt(grant):
                grant.preempted_at = self._clock()

    def _holds_unconfirmed(self):
        # After a pause a scheduler may hold runs that ended long ago, and would cancel others because of them. A new
        # scheduler holds only what entries registered and acts on it immediately: waiting for the last entry could
        # let a request of a higher tier expire while a lower tier runs.
        awaited = self.awaited_entries
        return any(grant.request.entry in awaited for grant in self._runs.grants_by_request_id.values())

    def _send_preempt(self, grant):
        message = Preempt(request_id=grant.request_id, engine=grant.engine)
        return self._entries.send(entry=grant.request.entry, message=message)

    def _waiting_of(self, entry):
        return [waiting for waiting in self._queue.waiting_by_request_id.values() if waiting.request.entry == entry]

    def _drop_entry(self, entry):
        for waiting in self._waiting_of(entry):
            self._queue.remove(waiting.request_id)
        self._runs.mark_orphaned(entry)

    def _recover_after_pause(self):
        if self._registration.detect_pause():
            self._registration.begin()
            self._runs.invalidate_reports()
