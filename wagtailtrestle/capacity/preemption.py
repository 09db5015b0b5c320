"""Which lower-tier runs to cancel so that waiting higher tiers meet their deadlines.

A look-ahead lays the first waiting requests, in order, on the places as they are
predicted to free by themselves. Only a request that would start too late there, and that
a freed place would save, takes a victim: never more than needed, and no run that ends
in time anyway.
"""

import heapq
import itertools

from wagtailtrestle.capacity.admission import MAX_ASKS, finish_margin, promised_s, run_s, tolerance, uncached_tokens
from wagtailtrestle.capacity.grants import Grant, WaitingRequest
from wagtailtrestle.record import record

LOOK_AHEAD = 32
"""Waiting requests considered in one round."""

CANCEL_S = 0.1
"""Time a cancelled run's place takes to come back."""

PREEMPT_TIMEOUT_S = 1.0
"""After this a preempted run that did not end is no longer counted on: its entry or engine is silent."""

RISK_FACTOR = 1.25
"""A predicted free place may come this much later than predicted."""

RISK_S = 0.1
"""Time kept in hand before a deadline, whatever is predicted."""

RISK_SHARE = 0.1
"""Further time kept in hand, as a share of the time from the ask to the deadline."""

EAGER_RISK_S = 0.4
"""Further time kept in hand when goodput counts most and thrown-away prefill least."""

LOST_FACTOR = 3.0
"""How many times dearer a victim is that could not be resumed in time."""

MAX_VICTIMS = 2
"""Runs cancelled for one request. If their places did not help it, no further one will."""

SHORT_S = 0.05


@record
class _Place:
    """One place and when it is free; ``grant`` is what holds it until then."""

    free_at: float
    engine: object
    grant: Grant | None = None


class PreemptionPlanner:
    """Chooses victims of one cell.

    Parameters
    ----------
    clock : callable
    prefill_weight : float
        From 0 (act early, goodput counts) to 1 (act as late as possible).

    Attributes
    ----------
    margin : float
        Factor on a predicted finish, the same as at the grant.
    """

    __slots__ = ("margin", "_clock", "_risk_s")

    def __init__(self, *, clock, prefill_weight):
        self.margin = finish_margin(prefill_weight)
        self._clock = clock
        self._risk_s = RISK_S + EAGER_RISK_S * (1.0 - prefill_weight)

    def victims(self, *, waiting, engines):
        """Return the grants to take back for the ``waiting`` requests, which are in order."""
        usable = [engine for engine in engines if engine.limit]
        candidates = [grant for engine in usable for grant in engine.grants_by_request_id.values()]
        candidates = [grant for grant in candidates if self._may_yield(grant)]
        lowest = max((grant.request.tier for grant in candidates), default=0)
        if not any(request.request.tier < lowest for request in waiting):
            return []
        round_ = _Round(planner=self, usable=usable, candidates=candidates, now=self._clock(), risk_s=self._risk_s)
        for request in waiting:
            round_.place(request)
        return round_.victims

    def _may_yield(self, grant):
        return grant.request.repeatable and grant.preempted_at is None and grant.orphaned_at is None

    def price(self, grant, engine, now):
        """Prompt tokens thrown away if the run is cancelled now."""
        if not grant.started:
            prefill_s = engine.model.prefill_s(grant.prefill_tokens + engine.pending_prefill_tokens)
            done = min(1.0, (now - grant.granted_at) / max(prefill_s, SHORT_S))
            return grant.prefill_tokens * done
        # The prompt stays for a while in that engine's cache and the run may come back to
        # it, so half of what is cached there is taken as kept.
        held = grant.request.prompt_tokens + grant.request.done_tokens + grant.output_tokens
        return held - engine.cache.cached_tokens(grant.request.prefix_blocks) / 2.0


class _Round:
    """One look-ahead: places by the time they free, and the victims found so far."""

    __slots__ = ("victims", "_planner", "_now", "_risk_s", "_places", "_sequence", "_candidates", "_engine_by_name")

    def __init__(self, *, planner, usable, candidates, now, risk_s):
        self.victims = []
        self._planner = planner
        self._now = now
        self._risk_s = risk_s
        self._sequence = itertools.count()
        self._candidates = candidates
        self._engine_by_name = {engine.name: engine for engine in usable}
        self._places = []
        for engine in usable:
            for place in self._places_of(engine):
                self._push(place)

    def place(self, waiting: WaitingRequest):
        """Give the request the first place that comes in time, or a victim's."""
        run_s_by_engine = {engine.name: self._run_s(waiting, engine) for engine in self._engine_by_name.values()}
        place = self._take_in_time(waiting, run_s_by_engine)
        if place is None:
            place = self._take_victim(waiting, run_s_by_engine)
        if place is not None:
            end = place.free_at + run_s_by_engine[place.engine.name]
            self._push(_Place(free_at=end, engine=place.engine))

    def _places_of(self, engine):
        ends = sorted(
            (self._end(grant, engine), index, grant)
            for index, grant in enumerate(engine.grants_by_request_id.values())
            if not self._is_silent(grant)
        )
        over = max(0, engine.running - engine.limit)
        places = [_Place(free_at=self._now, engine=engine) for _ in range(engine.free_slots)]
        return places + [_Place(free_at=end, engine=engine, grant=grant) for end, _, grant in ends[over:]]

    def _end(self, grant, engine):
        if grant.preempted_at is not None:
            return max(self._now, grant.preempted_at + CANCEL_S)
        return self._now + engine.remaining_s(grant)

    def _is_silent(self, grant):
        return grant.preempted_at is not None and self._now - grant.preempted_at > PREEMPT_TIMEOUT_S

    def _push(self, place):
        heapq.heappush(self._places, (place.free_at, next(self._sequence), place))

    def _run_s(self, waiting, engine):
        if engine.name in waiting.request.excluded_engines or engine.rest_s(waiting.request.entry):
            return float("inf")
        return run_s(waiting.request, engine, engine.limit, 0)

    def _in_time(self, waiting, place, duration_s):
        # A cold model may be too optimistic by as much as admission takes it to be too
        # pessimistic. Waited for to the last moment by such a prediction, a request would
        # be given its place too late, while what it could have displaced went on running.
        # A place that was taken back already is as good as another victim's would be.
        taken_back = place.grant is not None and place.grant.preempted_at is not None
        caution = 1.0 if taken_back else tolerance(place.engine)
        expected = self._now + RISK_FACTOR * (place.free_at - self._now) + caution * duration_s
        risk_s = self._risk_s + RISK_SHARE * (waiting.deadline - waiting.arrived_at)
        return expected + risk_s <= waiting.deadline

    def _take_in_time(self, waiting, run_s_by_engine):
        passed_over = []
        found = None
        while self._places and found is None:
            entry = heapq.heappop(self._places)
            place = entry[2]
            if place.grant is not None and place.grant in self.victims:
                continue
            if self._in_time(waiting, place, run_s_by_engine[place.engine.name]):
                found = place
            else:
                passed_over.append(entry)
        for entry in passed_over:
            heapq.heappush(self._places, entry)
        return found

    def _take_victim(self, waiting, run_s_by_engine):
        free_at = self._now + CANCEL_S
        if waiting.victims >= MAX_VICTIMS:
            return None
        saved = {name for name, engine in self._engine_by_name.items() if self._would_save(waiting, engine, free_at)}
        suited = [
            (self._order(grant, run_s_by_engine[grant.engine]), grant)
            for grant in self._candidates
            if grant.request.tier > waiting.request.tier and grant.engine in saved
        ]
        if not suited:
            return None
        victim = min(suited, key=lambda entry: entry[0])[1]
        self._candidates = [grant for grant in self._candidates if grant is not victim]
        self.victims.append(victim)
        waiting.victims += 1
        return _Place(free_at=free_at, engine=self._engine_by_name[victim.engine])

    def _would_save(self, waiting, engine, free_at):
        # The same promise as at the grant: a place that the request would then not be
        # given goes to another, and the next round would cancel another run for it.
        if engine.name in waiting.request.excluded_engines or engine.rest_s(waiting.request.entry):
            return False
        duration_s = promised_s(waiting, engine, engine.limit, engine.pending_prefill_tokens, self._planner.margin)
        return free_at + duration_s <= self._now + tolerance(engine) * (waiting.deadline - self._now)

    def _order(self, grant, needed_s):
        """Lowest tier first, then those not preempted too often, then least price per second freed."""
        engine = self._engine_by_name[grant.engine]
        price = self._planner.price(grant, engine, self._now)
        if self._would_be_lost(grant, engine):
            price *= LOST_FACTOR
        freed_s = max(SHORT_S, min(engine.remaining_s(grant), needed_s))
        return (-grant.request.tier, grant.request.attempt >= MAX_ASKS, price / freed_s, grant.request_id)

    def _would_be_lost(self, grant, engine):
        uncached = uncached_tokens(grant.request, engine) + grant.output_tokens
        again_s = engine.model.predict_finish_s(
            uncached_tokens=uncached,
            output_tokens=grant.remaining_tokens,
            concurrency=engine.limit,
            pending_prefill_tokens=0,
        )
        return self._now + CANCEL_S + again_s > grant.deadline
