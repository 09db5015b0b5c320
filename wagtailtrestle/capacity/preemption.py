"""Chooses the lower-tier runs to cancel so that waiting requests of higher tiers meet their deadlines.

A look-ahead assigns the first waiting requests, in order, to slots at the times when these are
predicted to become free by themselves. Only a request that would start too late there, and that
a slot freed now would save, preempts a run: never more runs than needed, and none that ends in
time anyway.
"""

import heapq
import itertools

from wagtailtrestle.capacity.admission import (
    MAX_PREEMPTED_ATTEMPTS,
    conservative_run_s,
    finish_margin,
    run_s,
    tolerance,
    uncached_tokens,
)
from wagtailtrestle.capacity.grants import Grant, WaitingRequest
from wagtailtrestle.record import record

LOOK_AHEAD = 32
"""Waiting requests considered in one round."""

CANCEL_DELAY_S = 0.1
"""Time until a cancelled run's slot is free."""

PREEMPT_TIMEOUT_S = 1.0
"""Time after which a preempted run that has not ended is no longer expected to: its entry or engine is silent."""

FREE_SLOT_DELAY_FACTOR = 1.25
"""Factor by which a slot may become free later than predicted."""

SAFETY_MARGIN_S = 0.1
"""Fixed time reserved before a deadline."""

SAFETY_MARGIN_SHARE = 0.1
"""Further time reserved, as a share of the time from the request's arrival to its deadline."""

EAGER_SAFETY_MARGIN_S = 0.4
"""Further time reserved when goodput counts most and discarded prefill least."""

MISSED_DEADLINE_FACTOR = 3.0
"""Factor on the cost of a victim that could not finish in time if it were resumed."""

MAX_VICTIMS = 2
"""Maximum of runs cancelled for one request. If their slots did not help it, no further one will."""

MIN_DURATION_S = 0.05


@record
class _Slot:
    """One slot and when it becomes free; ``grant`` holds it until then."""

    free_at: float
    engine: object
    grant: Grant | None = None


class PreemptionPlanner:
    """Chooses the runs to preempt in one cell.

    Parameters
    ----------
    clock : callable
    prefill_weight : float
        From 0 (preempt early, for goodput) to 1 (preempt as late as possible, to save prefill).
    floor : TierFloor
        Protects the runs that it admitted.
    passes_over : callable
        Returns whether a waiting request would not take a slot that becomes free on an engine.

    Attributes
    ----------
    margin : float
        Factor on a predicted finish time, the same as for grants.
    """

    __slots__ = ("margin", "passes_over", "_clock", "_safety_margin_s", "_floor")

    def __init__(self, *, clock, prefill_weight, floor, passes_over=lambda waiting, engine: False):
        self._floor = floor
        self.passes_over = passes_over
        self.margin = finish_margin(prefill_weight)
        self._clock = clock
        self._safety_margin_s = SAFETY_MARGIN_S + EAGER_SAFETY_MARGIN_S * (1.0 - prefill_weight)

    def victims(self, *, waiting, engines):
        """Return the grants to preempt for the ``waiting`` requests, which are in order."""
        usable = [engine for engine in engines if engine.limit]
        candidates = [grant for engine in usable for grant in engine.grants_by_request_id.values()]
        candidates = [grant for grant in candidates if self._is_preemptable(grant)]
        lowest = max((grant.request.tier for grant in candidates), default=0)
        if not any(request.request.tier < lowest for request in waiting):
            return []
        round_ = _Round(
            planner=self, usable=usable, candidates=candidates, now=self._clock(), safety_margin_s=self._safety_margin_s
        )
        for request in waiting:
            round_.assign(request)
        return round_.victims

    def _is_preemptable(self, grant):
        if grant.by_floor and self._floor.protects(grant.request.tier):
            return False
        return grant.request.repeatable and grant.preempted_at is None and grant.orphaned_at is None

    def cost(self, grant, engine, now):
        """Return the prompt tokens whose prefill is discarded if the run is cancelled now."""
        if not grant.started:
            prefill_s = engine.model.prefill_s(grant.prefill_tokens + engine.pending_prefill_tokens)
            done = min(1.0, (now - grant.granted_at) / max(prefill_s, MIN_DURATION_S))
            return grant.prefill_tokens * done
        # The prompt stays in that engine's cache for a while and the run may be resumed there, so half of the cached
        # tokens count as kept.
        held = grant.request.prompt_tokens + grant.request.done_tokens + grant.output_tokens
        return held - engine.cache.cached_tokens(grant.request.prefix_blocks) / 2.0


class _Round:
    """One look-ahead: slots by the time they become free, and the victims found so far."""

    __slots__ = (
        "victims",
        "_planner",
        "_now",
        "_safety_margin_s",
        "_slots",
        "_sequence",
        "_candidates",
        "_engine_by_name",
    )

    def __init__(self, *, planner, usable, candidates, now, safety_margin_s):
        self.victims = []
        self._planner = planner
        self._now = now
        self._safety_margin_s = safety_margin_s
        self._sequence = itertools.count()
        self._candidates = candidates
        self._engine_by_name = {engine.name: engine for engine in usable}
        self._slots = []
        for engine in usable:
            for slot in self._slots_of(engine):
                self._push(slot)

    def assign(self, waiting: WaitingRequest):
        """Assign the request the first slot that becomes free in time, or else a victim's slot."""
        run_s_by_engine = {engine.name: self._run_s(waiting, engine) for engine in self._engine_by_name.values()}
        slot = self._pop_slot_in_time(waiting, run_s_by_engine)
        if slot is None:
            slot = self._choose_victim(waiting, run_s_by_engine)
        if slot is not None:
            end = slot.free_at + run_s_by_engine[slot.engine.name]
            self._push(_Slot(free_at=end, engine=slot.engine))

    def _slots_of(self, engine):
        ends = sorted(
            (self._end(grant, engine), index, grant)
            for index, grant in enumerate(engine.grants_by_request_id.values())
            if not self._is_silent(grant)
        )
        over = max(0, engine.running - engine.limit)
        places = [_Slot(free_at=self._now, engine=engine) for _ in range(engine.free_slots)]
        return places + [_Slot(free_at=end, engine=engine, grant=grant) for end, _, grant in ends[over:]]

    def _end(self, grant, engine):
        if grant.preempted_at is not None:
            return max(self._now, grant.preempted_at + CANCEL_DELAY_S)
        return self._now + engine.remaining_s(grant)

    def _is_silent(self, grant):
        return grant.preempted_at is not None and self._now - grant.preempted_at > PREEMPT_TIMEOUT_S

    def _push(self, slot):
        heapq.heappush(self._slots, (slot.free_at, next(self._sequence), slot))

    def _run_s(self, waiting, engine):
        if not waiting.request.accepts(engine) or engine.rest_s(waiting.request.entry):
            return float("inf")
        if self._planner.passes_over(waiting, engine):
            return float("inf")
        return run_s(waiting.request, engine, engine.limit, 0)

    def _in_time(self, waiting, slot, duration_s):
        # A cold model may be too optimistic by as much as admission assumes it to be too pessimistic. If a request
        # waited for the latest moment that such a prediction allows, it would get its slot too late, while the run
        # that it could have preempted continued. A slot whose run was preempted already is as good as another victim's.
        preempted = slot.grant is not None and slot.grant.preempted_at is not None
        uncertainty = 1.0 if preempted else tolerance(slot.engine)
        expected = self._now + FREE_SLOT_DELAY_FACTOR * (slot.free_at - self._now) + uncertainty * duration_s
        safety_margin_s = self._safety_margin_s + SAFETY_MARGIN_SHARE * (waiting.deadline - waiting.arrived_at)
        return expected + safety_margin_s <= waiting.deadline

    def _pop_slot_in_time(self, waiting, run_s_by_engine):
        passed_over = []
        found = None
        while self._slots and found is None:
            entry = heapq.heappop(self._slots)
            slot = entry[2]
            if slot.grant is not None and slot.grant in self.victims:
                continue
            if self._in_time(waiting, slot, run_s_by_engine[slot.engine.name]):
                found = slot
            else:
                passed_over.append(entry)
        for entry in passed_over:
            heapq.heappush(self._slots, entry)
        return found

    def _choose_victim(self, waiting, run_s_by_engine):
        free_at = self._now + CANCEL_DELAY_S
        if waiting.victims >= MAX_VICTIMS:
            return None
        saved = {name for name, engine in self._engine_by_name.items() if self._would_save(waiting, engine, free_at)}
        eligible = [
            (self._victim_order(grant, run_s_by_engine[grant.engine]), grant)
            for grant in self._candidates
            if grant.request.tier > waiting.request.tier and grant.engine in saved
        ]
        if not eligible:
            return None
        victim = min(eligible, key=lambda entry: entry[0])[1]
        self._candidates = [grant for grant in self._candidates if grant is not victim]
        self.victims.append(victim)
        waiting.victims += 1
        return _Slot(free_at=free_at, engine=self._engine_by_name[victim.engine])

    def _would_save(self, waiting, engine, free_at):
        # The same prediction as for grants: otherwise the request would not be granted the freed slot, which would go
        # to another one, and the next round would cancel another run for it.
        if not waiting.request.accepts(engine) or engine.rest_s(waiting.request.entry):
            return False
        if self._planner.passes_over(waiting, engine):
            return False
        duration_s = conservative_run_s(
            waiting, engine, engine.limit, engine.pending_prefill_tokens, self._planner.margin
        )
        return free_at + duration_s <= self._now + tolerance(engine) * (waiting.deadline - self._now)

    def _victim_order(self, grant, needed_s):
        """Return the sort key: lowest tier first, then not preempted too often, then least cost per second freed."""
        engine = self._engine_by_name[grant.engine]
        cost = self._planner.cost(grant, engine, self._now)
        if self._would_miss_deadline(grant, engine):
            cost *= MISSED_DEADLINE_FACTOR
        freed_s = max(MIN_DURATION_S, min(engine.remaining_s(grant), needed_s))
        return (-grant.request.tier, grant.request.attempt >= MAX_PREEMPTED_ATTEMPTS, cost / freed_s, grant.request_id)

    def _would_miss_deadline(self, grant, engine):
        uncached = uncached_tokens(grant.request, engine) + grant.output_tokens
        again_s = engine.model.predict_finish_s(
            uncached_tokens=uncached,
            output_tokens=grant.remaining_tokens,
            concurrency=engine.limit,
            pending_prefill_tokens=0,
        )
        return self._now + CANCEL_DELAY_S + again_s > grant.deadline
