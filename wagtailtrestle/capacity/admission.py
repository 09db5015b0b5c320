"""Admission control: refuses immediately what is predicted to miss its deadline.

Work is counted in engine-seconds: the share of one full engine's time that a run consumes. A cell of ``n`` healthy
engines serves ``n`` engine-seconds per second, whatever the mix of requests.
"""

import math
import zlib

from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.capacity.grants import WaitingRequest
from wagtailtrestle.capacity.late_service import OverloadTime, gives_up_at, is_worth_waiting, latest_late_start
from wagtailtrestle.contracts.outcomes import Reason

MIN_FINISH_MARGIN = 1.0
FINISH_MARGIN_SPAN = 0.5
"""Factors on a predicted finish time, which must still be within the deadline: the minimum applies where only goodput
counts, and the span is added in proportion to the weight of discarded prefill."""

LENGTH_MARGIN_SHARE = 0.7
"""Share of the gap between the expected and the maximum output length that a prediction allows for."""

SHORT_PROMPT_TOKENS = 512
"""Prompts of up to this many uncached tokens are started without a margin."""

COLD_TOLERANCE = 3.0
"""Factor by which the predicted finish of a model without any measurements may exceed the deadline."""

TRUSTED_CONFIDENCE = 0.5
"""Mean confidence of the engines' models from which on a predicted wait leads to refusal."""

WAIT_TOLERANCE = 1.5
"""Factor by which a predicted wait may exceed the time left. The prediction assumes that higher tiers keep arriving at
their current rate, but a burst may end and leave free slots."""

RATE_WINDOW_S = 5.0
"""Time constant over which the arrival rate of work is averaged."""

DEMAND_WINDOW_S = 1.0
"""Time constant over which demand and grants are averaged to detect an overload; bursts last for a few seconds."""

OVERLOAD_ABOVE = 1.2
"""Demand of higher tiers, in multiples of the cell's capacity, above which no long prompt is started."""

GRANT_WINDOW_S = 1.5
"""Time constant over which grants are averaged: a few run lengths, to follow a burst or a loss of engines quickly."""
MIN_FULL_SHARE = 0.6
"""Share of the window in which the cell must have been full before its grant rate is used."""

START_WAIT_SHARE = 0.5
"""Share of the time to its latest start that a request may be predicted to wait. The prediction leaves out later
arrivals of higher tiers, and a request that would be refused in the end is better refused immediately."""

SUSTAINED_OVERLOAD_S = 3.0
SUSTAINED_WAIT_SHARE = 0.15
"""Share that replaces ``START_WAIT_SHARE`` with late service once an overload has lasted this long. At 1.1 times
capacity, a share of 0.5 let 49 of 263 refused requests wait for more than an eighth of their target, a share of 0.15
let 9 of 262, and as many were served in time. Applied after 1 s, it cost a burst of 3 s one in 30 timely requests."""

MIN_RATE_EVIDENCE_S = 0.5
MIN_RATE_REQUESTS = 10
"""Minimum time and number of requests for an early arrival rate: a first arrival says nothing about a rate."""

MIN_SERVICE_SHARE = 0.05
"""Minimum share of the cell that higher tiers are assumed to leave to a tier."""

MIN_RETRY_AFTER_S = 1.0
MIN_INTERACTIVE_RETRY_AFTER_S = 0.3
"""Minimum Retry-After of requests with a target time to first token, often about a second: after a whole second their
callers could not retry in time."""

FIRST_TOKEN_MARGIN = 1.5
"""Factor on the predicted time to first token, which must still meet the target. Of 1,766 runs, half had their first
token within 1.1 times the prediction and 90 of 100 within 2.3; with a larger factor hardly any engine would be
suitable."""
PREFILL_CHUNK_TOKENS = 1024
"""Prompt tokens that an engine is assumed to prefill between two decode steps of other runs."""

MIN_RATE = 1e-6
RETRY_JITTER = 0.25
"""Retry-After is longer by up to this share, so that callers refused together don't retry together."""

MAX_PREEMPTED_ATTEMPTS = 5
"""Attempts after which a request that was preempted repeatedly is refused for good."""

MAX_WAITING = 4096
"""Requests that may wait in one cell, so that a flood takes bounded memory and time."""

MAX_WORK_S = 600.0
"""Engine-seconds of work that may wait per engine of the cell: more than can be served within any deadline."""


class ArrivalRates:
    """Rates of work by tier, in engine-seconds per second, as exponential moving averages."""

    __slots__ = ("_clock", "_window_s", "_rate_by_tier", "_at_by_tier", "_began_at", "_recorded")

    def __init__(self, *, clock, window_s=RATE_WINDOW_S):
        self._clock = clock
        self._window_s = window_s
        self._began_at = None
        self._recorded = 0
        self._rate_by_tier = {}
        self._at_by_tier = {}

    def record(self, tier, work_s):
        """Add arrived work."""
        if self._began_at is None:
            self._began_at = self._clock()
        self._recorded += 1
        self._rate_by_tier[tier] = self.rate(tier) + work_s / self._window_s
        self._at_by_tier[tier] = self._clock()

    def rate(self, tier):
        """Return the current rate of one tier."""
        elapsed_s = self._clock() - self._at_by_tier.get(tier, 0.0)
        return self._rate_by_tier.get(tier, 0.0) * math.exp(-elapsed_s / self._window_s)

    def rate_above(self, tier):
        """Return the current rate of all tiers above this one."""
        return sum(self.rate(other) for other in self._rate_by_tier if other < tier)

    def rates_below(self, tier):
        """Return the current rates of the tiers below this one."""
        return [self.rate(other) for other in self._rate_by_tier if other > tier]

    def early_rate_above(self, tier):
        """Return the rate of all tiers above this one, corrected for a window that is not full yet.

        It is 0 until enough requests have arrived.
        """
        if self._recorded < MIN_RATE_REQUESTS:
            return 0.0
        seen_s = max(MIN_RATE_EVIDENCE_S, self._clock() - self._began_at)
        return self.rate_above(tier) / (1.0 - math.exp(-seen_s / self._window_s))


class GrantRate:
    """Work granted per second while the cell is full, in engine-seconds, as an exponential moving average.

    By its engines' models, a cell looks faster than it is while engines are slow or broken. Its grants show the
    work it really takes up, but only while it is full: with free slots they show the demand instead. The grants
    that filled the slots count too, so the rate is too high at first.
    """

    __slots__ = ("_clock", "_work_s", "_grants", "_seconds", "_at", "_is_full")

    def __init__(self, *, clock):
        self._clock = clock
        self._is_full = True
        self._work_s = 0.0
        self._grants = 0.0
        self._seconds = 0.0
        self._at = clock()

    def record(self, work_s):
        """Count a grant."""
        self._decay()
        self._work_s += work_s
        self._grants += 1.0

    def set_full(self, is_full):
        """Include the time from now on if the cell is full, else leave it out."""
        self._decay()
        self._is_full = is_full

    def mean_work_s(self):
        """Return the mean work of a grant; 0 before the first."""
        return self._work_s / self._grants if self._grants else 0.0

    def per_s(self):
        """Return the current rate; ``None`` until the cell was full for most of a window."""
        self._decay()
        if self._seconds < MIN_FULL_SHARE * GRANT_WINDOW_S:
            return None
        return self._work_s / self._seconds

    def _decay(self):
        now = self._clock()
        elapsed_s = now - self._at
        self._at = now
        kept = math.exp(-elapsed_s / GRANT_WINDOW_S)
        self._work_s *= kept
        self._grants *= kept
        self._seconds *= kept
        if self._is_full:
            self._seconds += GRANT_WINDOW_S * (1.0 - kept)


class CellSpeed:
    """Combined speeds of a cell's engines, computed at each tick and read for each request.

    Parameters
    ----------
    engines : iterable of EngineState

    Attributes
    ----------
    min_step_s : float
        Decode step of the fastest engine with one run.
    """

    __slots__ = ("min_step_s", "_prefill_s", "_decode_s", "_step_s", "_min_prefill_s")

    def __init__(self, *, engines=()):
        prefills, decodes, full_steps, steps = [0.0], [0.0], [0.0], [0.0]
        if engines:
            prefills = [engine.model.prefill_s(1) for engine in engines]
            full_steps = [engine.model.step_s(max(1, engine.limit)) for engine in engines]
            decodes = [step_s / max(1, engine.limit) for step_s, engine in zip(full_steps, engines, strict=True)]
            steps = [engine.model.step_s(1) for engine in engines]
        self._prefill_s = sum(prefills) / len(prefills)
        self._decode_s = sum(decodes) / len(decodes)
        self._step_s = sum(full_steps) / len(full_steps)
        self._min_prefill_s = min(prefills)
        self.min_step_s = min(steps)

    def work_s(self, request):
        """Return the engine-seconds of a request on an engine of mean speed with nothing of its prompt cached."""
        return (request.prompt_tokens + request.done_tokens) * self._prefill_s + request.output_tokens * self._decode_s

    def first_token_s(self, request):
        """Return the seconds to its first token on a full engine of mean speed with nothing of its prompt cached."""
        return (request.prompt_tokens + request.done_tokens) * self._prefill_s + self._step_s

    def shortest_run_s(self, request):
        """Return the seconds to its last token on the fastest engine with no other run."""
        prompt_s = (request.prompt_tokens + request.done_tokens) * self._min_prefill_s
        return prompt_s + request.output_tokens * self.min_step_s


class Admission:
    """Decides about requests by the engines' models and the queue.

    Parameters
    ----------
    clock : callable
    queue : TierQueue
    lengths : OutputLengths
    held : HeldByTier
    floor : TierFloor
    prefill_weight : float
        From 0 (start what may just finish in time) to 1 (start only what finishes in time with a margin).
    features : callable
        Returns the ``Features`` in force.
    """

    __slots__ = (
        "_clock",
        "_queue",
        "_lengths",
        "_held",
        "_floor",
        "_margin",
        "_arrival_rates",
        "_demand_rates",
        "_served_rates",
        "_overload_time",
        "_grant_rate",
        "_engines",
        "_speed",
        "_features",
    )

    def __init__(self, *, clock, queue, lengths, held, floor, prefill_weight, features=all_off):
        self._features = features
        self._margin = finish_margin(prefill_weight)
        self._lengths = lengths
        self._held = held
        self._floor = floor
        self._speed = CellSpeed()
        self._clock = clock
        self._queue = queue
        self._arrival_rates = ArrivalRates(clock=clock)
        self._demand_rates = ArrivalRates(clock=clock, window_s=DEMAND_WINDOW_S)
        self._served_rates = ArrivalRates(clock=clock, window_s=DEMAND_WINDOW_S)
        self._overload_time = OverloadTime(clock=clock)
        self._grant_rate = GrantRate(clock=clock)
        self._engines = ()

    def set_engines(self, engines):
        """Use these engines from now on."""
        self._engines = tuple(engines)
        self.measure_speed()

    def measure_speed(self):
        """Recompute the cell's speed from the engines' models, which change over seconds."""
        self._speed = CellSpeed(engines=self._engines)

    def waiting(self, original):
        """Build the queue entry of a request, with its expected output and predicted work."""
        now = self._clock()
        request = self._lengths.expect(original)
        return WaitingRequest(
            request=request,
            asked_tokens=original.output_tokens,
            arrived_at=now,
            deadline=now + request.remaining_s,
            # A request that must run alone occupies a whole engine for the duration of its run.
            work_s=self._speed.shortest_run_s(request) if request.alone else self._speed.work_s(request),
            shortest_run_s=self._speed.shortest_run_s(request),
        )

    def offer(self, waiting: WaitingRequest):
        """Add an arriving request's work to the demand, whether it is admitted or not."""
        if self._features().late_service:
            self._demand_rates.record(waiting.request.tier, waiting.work_s)

    def admit(self, waiting: WaitingRequest):
        """Add an admitted request's work to the demand of its tier."""
        self._arrival_rates.record(waiting.request.tier, waiting.work_s)

    def granted(self, waiting: WaitingRequest):
        """Add a grant to the work that the cell has taken up."""
        self._grant_rate.record(waiting.work_s)
        self._floor.record(waiting.request.tier, waiting.work_s, by_floor=waiting.by_floor)
        if self._features().late_service:
            self._served_rates.record(waiting.request.tier, waiting.work_s)

    def update_occupancy(self):
        """Update whether the cell is full; called several times within ``GRANT_WINDOW_S``."""
        self._grant_rate.set_full(not any(engine.free_slots and not engine.backs_off for engine in self._engines))
        if self._features().late_service:
            self._overload_time.observe(
                demand_per_s=self._demand_rates.rate_above(math.inf),
                granted_per_s=self._served_rates.rate_above(math.inf),
                capacity_per_s=self._capacity(),
            )

    def overflow(self) -> WaitingRequest | None:
        """Return a waiting request to refuse because too many wait, or ``None``.

        Predicted waits lead to no refusal while lower tiers wait or the models are cold. A flood could then fill the
        process's memory, and each tick would take longer than the interval between ticks, so that engines would
        stay idle beside a full queue.
        """
        max_work_s = MAX_WORK_S * max(1, len(self._engines))
        too_much_work = self._queue.work_s > max_work_s and len(self._queue) > 1
        if len(self._queue) > MAX_WAITING or too_much_work:
            return self._queue.peek_last()
        return None

    def refusal(self, waiting: WaitingRequest):
        """Return the reason to refuse an arriving request, or ``None`` to let it wait or run.

        A request is refused for load only if no lower tier waits and no repeatable run of a lower tier is left to be
        preempted; until then it waits ahead of them.
        """
        request = waiting.request
        if not any(self._is_possible(engine, request) for engine in self._engines):
            return Reason.NO_ENGINE
        rest_s = self._back_off_s(request)
        if rest_s and rest_s > waiting.latest_start - self._clock():
            return Reason.OVERLOADED
        if request.first_token_within_s:
            return self._refusal_by_start(waiting)
        possible = [engine for engine in self._engines if self._is_possible(engine, request)]
        if not any(self.could_finish(waiting, engine) for engine in possible):
            return Reason.DEADLINE_UNREACHABLE
        # Parked requests wait although slots are free, because no engine with free slots is suitable for them. Later
        # arrivals take nothing from them, and refusing those arrivals would leave engines idle.
        if self._has_free_slot(request) and not self._queue.ready:
            return None
        if self._has_lower_tier(request.tier):
            return None
        if request.attempt > MAX_PREEMPTED_ATTEMPTS and request.done_tokens:
            return Reason.PREEMPTED
        if not self._models_trusted():
            return None
        full_s = min(run_s(request, engine, max(1, engine.limit), 0) for engine in possible)
        slack_s = waiting.deadline - self._clock() - full_s
        if self.wait_s(waiting) > WAIT_TOLERANCE * slack_s:
            return Reason.OVERLOADED
        return None

    def _refusal_by_start(self, waiting):
        if self._missed_target(waiting):
            return None if self.make_late(waiting) else Reason.OVERLOADED
        # A request with a target time to first token is not judged by its predicted finish, as its deadline is many
        # times its run time. It can't wait, however, and an immediate refusal costs its caller least.
        if self._has_free_slot(waiting.request):
            return None
        granted_per_s = self._granted_per_s()
        if granted_per_s is None:
            return None
        tier = waiting.request.tier
        left_per_s = granted_per_s - self._rate_served_before(tier, granted_per_s)
        left_per_s = max(left_per_s, MIN_SERVICE_SHARE * granted_per_s, MIN_RATE)
        # Slots of lower-tier runs go to this tier first as they end. If the request were refused now, the next such
        # slot would go to a request of a lower tier that arrived after it.
        share = 1.0 if self._held.any_below(tier, floor=self._floor.share) else self._start_wait_share()
        wait_s = self._wait_s(waiting, left_per_s=left_per_s, total_per_s=granted_per_s)
        if wait_s > share * (waiting.latest_start - self._clock()) and not self.make_late(waiting):
            return Reason.OVERLOADED
        return None

    def _start_wait_share(self):
        sustained = self._features().late_service and self._overload_time.seconds > SUSTAINED_OVERLOAD_S
        return SUSTAINED_WAIT_SHARE if sustained else START_WAIT_SHARE

    def _granted_per_s(self):
        """Return the work that the full cell grants per second; ``None`` if unknown."""
        granted_per_s = self._grant_rate.per_s()
        if granted_per_s is None or not self._is_limited():
            return granted_per_s
        # Right after an engine announces a rate limit, the grant rate still reflects its earlier speed.
        return min(granted_per_s, self._capacity())

    def _missed_target(self, waiting):
        # A request that another scheduler held registers with the time left to its target, which may be none. A timely
        # request would otherwise wait behind it. Without a known patience it can't be late, but may take a free slot.
        request = waiting.request
        if not self._features().late_service or not request.patience_s:
            return False
        return request.first_token_within_s < self._speed.min_step_s

    def make_late(self, waiting: WaitingRequest):
        """Let a request that can't meet its target wait on as late, and return whether it is worth waiting."""
        if not self._features().late_service:
            return False
        late_until = latest_late_start(waiting, first_token_s=self._speed.first_token_s(waiting.request))
        if late_until is None:
            return False
        granted_per_s = self._granted_per_s()
        worth_waiting = is_worth_waiting(
            ahead_s=self._queue.work_ahead_of_late_s(waiting.request.tier),
            granted_per_s=self._capacity() if granted_per_s is None else granted_per_s,
            overloaded_s=self._overload_time.seconds,
            left_s=late_until - self._clock(),
        )
        if worth_waiting:
            waiting.late_until = late_until
        return worth_waiting

    @staticmethod
    def _is_possible(engine, request):
        return not engine.leaving and request.accepts(engine)

    def could_finish(self, waiting: WaitingRequest, engine):
        """Whether the engine could finish it in time if all runs that may be preempted for it were cancelled."""
        if waiting.request.first_token_within_s and not waiting.is_late:
            return True
        held = [
            grant for grant in engine.grants_by_request_id.values() if not _is_preemptable(grant, waiting.request.tier)
        ]
        predicted_s = undisturbed_run_s(waiting.request, engine, len(held) + 1, 0)
        return predicted_s <= tolerance(engine) * (waiting.deadline - self._clock())

    def should_wait_for_suitable(self, waiting: WaitingRequest):
        """Whether a request should wait briefly for a suitable engine instead of taking any free slot."""
        if waiting.is_late:
            return True
        if self._clock() >= waiting.wait_for_suitable_until:
            return False
        return any(
            engine.limit
            and waiting.request.accepts_version(engine.version)
            and not engine.rate_limit.in_force
            and meets_targets_when_idle(waiting, engine)
            for engine in self._engines
        )

    def can_finish_now(self, waiting: WaitingRequest, engine):
        """Whether the engine would finish it in time if it were granted now, without making the runs there late."""
        if waiting.is_late:
            return self._is_useful_late(waiting, engine)
        if waiting.request.first_token_within_s:
            return meets_targets(waiting, engine, now=self._clock())
        uncached = uncached_tokens(waiting.request, engine)
        if uncached > SHORT_PROMPT_TOKENS and not waiting.by_floor and self._is_overloaded_above(waiting.request.tier):
            return False
        prefill_s = engine.model.prefill_s(uncached)
        if engine.would_delay(prefill_s=prefill_s, tier=waiting.request.tier):
            return False
        concurrency = min(max(1, engine.limit), engine.running + 1 + len(self._queue))
        predicted_s = conservative_run_s(waiting, engine, concurrency, engine.pending_prefill_tokens, self._margin)
        return predicted_s <= tolerance(engine) * (waiting.deadline - self._clock())

    def _is_useful_late(self, waiting, engine):
        """Whether the engine would begin before the caller gives up and finish before the deadline."""
        now = self._clock()
        first_token_s = engine.model.predict_first_token_s(
            uncached_tokens=uncached_tokens(waiting.request, engine),
            concurrency=engine.running + 1,
            pending_prefill_tokens=engine.pending_prefill_tokens,
        )
        finish_s = run_s(waiting.request, engine, max(1, engine.limit), engine.pending_prefill_tokens)
        return now + first_token_s <= gives_up_at(waiting) and finish_s <= tolerance(engine) * (waiting.deadline - now)

    def wait_s(self, waiting: WaitingRequest):
        """Return the predicted wait: the work ahead divided by the capacity that the other tiers leave."""
        capacity = self._capacity()
        left_per_s = capacity - self._rate_served_before(waiting.request.tier, capacity)
        left_per_s = max(left_per_s, MIN_SERVICE_SHARE * max(1.0, capacity))
        return self._wait_s(waiting, left_per_s=left_per_s, total_per_s=capacity)

    def _rate_served_before(self, tier, total_per_s):
        """Work per second served before this tier: that of higher tiers, and of lower ones within their floors."""
        rate = self._arrival_rates.rate_above(tier)
        floor_per_s = self._floor.share * total_per_s
        if floor_per_s:
            rate += sum(min(floor_per_s, lower) for lower in self._arrival_rates.rates_below(tier))
        return rate

    def _wait_s(self, waiting, *, left_per_s, total_per_s):
        """Return the predicted wait in strict tier order, or by the tier's floor if that serves it earlier."""
        wait_s = self._queue.work_ahead_s(waiting) / left_per_s
        floor_per_s = self._floor.share * total_per_s
        if not floor_per_s:
            return wait_s
        return min(wait_s, self._queue.work_ahead_in_tier_s(waiting) / floor_per_s)

    def retry_after_s(self, request):
        """Return the time in which what waits now in this tier and above would be served, with jitter."""
        ahead = sum(work for tier, work in self._queue.work_by_tier().items() if tier <= request.tier)
        min_s = MIN_RETRY_AFTER_S if not request.first_token_within_s else MIN_INTERACTIVE_RETRY_AFTER_S
        wait_s = max(min_s, ahead / self._service_rate(request.tier), self._back_off_s(request))
        spread = zlib.crc32(request.request_id.encode()) / 2**32
        return wait_s * (1.0 + RETRY_JITTER * spread)

    def _service_rate(self, tier):
        capacity = self._capacity()
        left = capacity - self._arrival_rates.rate_above(tier)
        return max(left, MIN_SERVICE_SHARE * max(1.0, capacity))

    def _is_overloaded_above(self, tier):
        # A cell that starts under overload has idle engines for a second. Long prompts of the lowest tier started in
        # that time are soon preempted for higher tiers, and their prefill is lost.
        capacity = self._capacity()
        return self._arrival_rates.early_rate_above(tier) > OVERLOAD_ABOVE * capacity

    def _capacity(self):
        """Engine-seconds of work that the cell can take up per second."""
        return sum(self._capacity_of(engine) for engine in self._engines if engine.limit)

    def _capacity_of(self, engine):
        # Slots that a rate limit leaves empty are no capacity: requests would queue for them in vain.
        if not engine.rate_limit.in_force:
            return engine.health_share
        return min(engine.health_share, engine.rate_limit.per_s() * self._grant_rate.mean_work_s())

    def _is_limited(self):
        return any(engine.rate_limit.in_force for engine in self._engines)

    def _has_free_slot(self, request):
        return any(
            engine.free_slots and request.accepts_version(engine.version) and not engine.rest_s(request.entry)
            for engine in self._engines
        )

    def _back_off_s(self, request):
        """Time until some engine's back-off for this entry ends; 0 if one accepts requests now."""
        min_s = math.inf
        for engine in self._engines:
            if not engine.leaving:
                min_s = min(min_s, engine.rest_s(request.entry))
            if not min_s:
                break
        return 0.0 if min_s == math.inf else min_s

    def _has_lower_tier(self, tier):
        if any(rank > tier and not self._floor.protects(rank) for rank in self._queue.waiting_by_tier()):
            return True
        return self._held.any_preemptable_below(tier, floor=self._floor.share)

    def _models_trusted(self):
        confidences = [engine.model.confidence() for engine in self._engines]
        return sum(confidences) >= TRUSTED_CONFIDENCE * len(confidences)


def meets_targets(waiting, engine, *, now):
    """Whether the engine would meet the request's target time to first token without stalling the streams there."""
    first_token_s = engine.model.predict_first_token_s(
        uncached_tokens=uncached_tokens(waiting.request, engine),
        concurrency=engine.running + 1,
        pending_prefill_tokens=engine.pending_prefill_tokens,
    )
    if now + FIRST_TOKEN_MARGIN * first_token_s > waiting.arrived_at + waiting.request.first_token_within_s:
        return False
    return not engine.running or not stalls_others(waiting.request, engine)


def meets_targets_when_idle(waiting, engine):
    """Whether the engine would meet the request's targets if it were idle."""
    request = waiting.request
    first_token_s = engine.model.predict_first_token_s(
        uncached_tokens=uncached_tokens(request, engine), concurrency=1, pending_prefill_tokens=0
    )
    return FIRST_TOKEN_MARGIN * first_token_s <= request.first_token_within_s and not stalls_others(request, engine)


def stalls_others(request, engine):
    """Whether prefilling the prompt would pause other streams on the engine for longer than their target.

    An engine prefills a prompt in chunks, one before each decode step of the other runs; one of their events is
    delayed by all the chunks between its tokens.
    """
    if not request.pause_within_s:
        return False
    between_tokens = min(uncached_tokens(request, engine), request.event_tokens * PREFILL_CHUNK_TOKENS)
    event_s = request.event_tokens * engine.model.step_s(engine.limit) + engine.model.prefill_s(between_tokens)
    return event_s > request.pause_within_s


def uncached_tokens(request, engine):
    """Return the tokens that the engine would prefill for the request."""
    total = request.prompt_tokens + request.done_tokens
    return max(1, total - engine.cache.cached_tokens(request.prefix_blocks))


def run_s(request, engine, concurrency, pending_prefill_tokens):
    """Return the predicted seconds from dispatch to the last token."""
    return engine.model.predict_finish_s(
        uncached_tokens=uncached_tokens(request, engine),
        output_tokens=request.output_tokens,
        concurrency=concurrency,
        pending_prefill_tokens=pending_prefill_tokens,
    )


def undisturbed_run_s(request, engine, concurrency, pending_prefill_tokens):
    """Return the predicted seconds to the last token if no further prompt is prefilled beside it.

    The scheduler ensures this where necessary: see :meth:`EngineState.would_delay`.
    """
    prefill_s = engine.model.prefill_s(uncached_tokens(request, engine) + pending_prefill_tokens)
    return prefill_s + request.output_tokens * engine.model.step_s(concurrency)


def finish_margin(prefill_weight):
    """Return the factor on a predicted finish time, by the weight of discarded prefill."""
    return MIN_FINISH_MARGIN + FINISH_MARGIN_SPAN * prefill_weight


def conservative_run_s(waiting, engine, concurrency, pending_prefill_tokens, margin):
    """Return a conservative prediction of the time to the last token, with ``margin`` as its factor.

    A long prompt that misses its deadline wastes its prefill, so it is started only if it would finish in time even
    with a longer answer than expected. A short prompt is predicted without this margin.
    """
    request = waiting.request
    if uncached_tokens(request, engine) <= SHORT_PROMPT_TOKENS:
        return undisturbed_run_s(request, engine, concurrency, pending_prefill_tokens)
    predicted_s = run_s(request, engine, concurrency, pending_prefill_tokens)
    unexpected_tokens = LENGTH_MARGIN_SHARE * (waiting.asked_tokens - request.output_tokens)
    return margin * (predicted_s + unexpected_tokens * engine.model.token_interval_s(concurrency))


def tolerance(engine):
    """Return a factor on the time left, which is above 1 while the engine's model has few measurements.

    A cold model has only declared figures. If they are too pessimistic and requests were refused by them, no run
    would ever correct the model.
    """
    return 1.0 + (COLD_TOLERANCE - 1.0) * (1.0 - engine.model.confidence())


def _is_preemptable(grant, tier):
    return grant.request.tier > tier and grant.request.repeatable
