"""Predicted finish against the deadline: what cannot make it is refused at once.

Work is counted in engine-seconds: the share of one full engine's time that a run uses
up. A cell of ``n`` healthy engines serves ``n`` engine-seconds a second, whatever the mix.
"""

import math
import zlib

from wagtailtrestle.capacity.grants import WaitingRequest
from wagtailtrestle.contracts.outcomes import Reason

MIN_FINISH_MARGIN = 1.0
FINISH_MARGIN_SPAN = 0.5
"""A finish is promised only if it would still hold so many times later than predicted: the
least margin where goodput alone counts, and the span more where thrown-away prefill does."""

LENGTH_CAUTION = 0.7
"""Part of the gap between the expected and the greatest output that a promise allows for."""

CHEAP_PROMPT_TOKENS = 512
"""Prompts up to this length are started without a margin."""

COLD_TOLERANCE = 3.0
"""How many times too late a prediction without any measurement may be and still be tried."""

TRUSTED_CONFIDENCE = 0.5
"""Mean confidence of the engines' models above which a predicted wait refuses."""

WAIT_TOLERANCE = 1.5
"""How many times too long a predicted wait may be and still be tried: it supposes that higher
tiers go on arriving as they do now, and a burst that ends leaves room."""

RATE_WINDOW_S = 5.0
"""Time over which the arrival of work is averaged."""

CROWDED_LOAD = 1.2
"""Demand of the tiers above, in multiples of the cell's capacity, at which no long prompt is begun."""

GRANT_WINDOW_S = 1.5
"""Time over which grants are averaged: a few runs' length, so that a burst or a loss of engines shows at once."""
GRANT_EVIDENCE = 0.6
"""Part of the window in which the cell must have been full before its rate is believed."""
START_WAIT_SHARE = 0.5
"""Part of the time to its start that a request may be predicted to wait. The prediction leaves out what
arrives above it meanwhile; and whoever will be refused in the end is better off told at once."""
MIN_RATE_EVIDENCE_S = 0.5
MIN_RATE_REQUESTS = 10
"""An early rate needs so many requests, and is taken over no shorter a time: a first arrival tells of none."""

MIN_SERVICE_SHARE = 0.05
"""Least share of the cell assumed to be left for a tier by those above it."""

MIN_RETRY_AFTER_S = 1.0
MIN_QUICK_RETRY_S = 0.3
"""The same where a first token is hoped for within about a second: told a second, nobody could come back in time."""

FIRST_TOKEN_MARGIN = 1.5
"""How many times later than predicted a first token may come and still be in time: of 1,766 runs half came
within 1.1 times the prediction and 90 of 100 within 2.3; with more, hardly any engine would suit."""
PIECE_TOKENS = 1024
"""Prompt tokens that an engine is taken to read between two tokens of other runs."""

MIN_RATE = 1e-6
RETRY_SPREAD = 0.25
"""Retry-After is longer by up to this share, so that callers refused together don't return together."""

MAX_ASKS = 5
"""Asks after which a request that was preempted again and again is refused for good."""


MAX_WAITING = 4096
"""Requests that may wait in one cell, so that a flood costs bounded memory and time."""

MAX_WORK_S = 600.0
"""Engine-seconds that may wait for each engine of the cell: more than any deadline waits for."""


class ArrivalRates:
    """Engine-seconds of admitted work arriving per second, by tier, over a fading window."""

    __slots__ = ("_clock", "_rate_by_tier", "_at_by_tier", "_began_at", "_noted")

    def __init__(self, *, clock):
        self._clock = clock
        self._began_at = None
        self._noted = 0
        self._rate_by_tier = {}
        self._at_by_tier = {}

    def note(self, tier, work_s):
        """Count admitted work."""
        if self._began_at is None:
            self._began_at = self._clock()
        self._noted += 1
        self._rate_by_tier[tier] = self.rate(tier) + work_s / RATE_WINDOW_S
        self._at_by_tier[tier] = self._clock()

    def rate(self, tier):
        """Present rate of one tier."""
        elapsed_s = self._clock() - self._at_by_tier.get(tier, 0.0)
        return self._rate_by_tier.get(tier, 0.0) * math.exp(-elapsed_s / RATE_WINDOW_S)

    def rate_above(self, tier):
        """Present rate of all tiers above this one."""
        return sum(self.rate(other) for other in self._rate_by_tier if other < tier)

    def early_rate_above(self, tier):
        """Present rate above, in the first seconds too, when the window is not full yet."""
        if self._noted < MIN_RATE_REQUESTS:
            return 0.0
        seen_s = max(MIN_RATE_EVIDENCE_S, self._clock() - self._began_at)
        return self.rate_above(tier) / (1.0 - math.exp(-seen_s / RATE_WINDOW_S))


class GrantRate:
    """Engine-seconds of work granted per second of a full cell, over a fading window.

    Judged by its engines' models, a cell looks faster than it is while engines are slow or broken.
    What it really takes up is seen in its grants, but only while it is full: beside free places they
    tell how much was asked for. What filled the places counts too, so the rate is too high at first.
    """

    __slots__ = ("_clock", "_work_s", "_grants", "_seconds", "_at", "_is_full")

    def __init__(self, *, clock):
        self._clock = clock
        self._is_full = True
        self._work_s = 0.0
        self._grants = 0.0
        self._seconds = 0.0
        self._at = clock()

    def note(self, work_s):
        """Count a grant."""
        self._fade()
        self._work_s += work_s
        self._grants += 1.0

    def note_full(self, is_full):
        """Count the time from now on, or leave it out while places are free."""
        self._fade()
        self._is_full = is_full

    def mean_work_s(self):
        """Mean work of a grant; 0 before the first."""
        return self._work_s / self._grants if self._grants else 0.0

    def per_s(self):
        """Present rate; ``None`` until the cell was full for most of a window."""
        self._fade()
        if self._seconds < GRANT_EVIDENCE * GRANT_WINDOW_S:
            return None
        return self._work_s / self._seconds

    def _fade(self):
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
    """Speeds of a cell's engines taken together, laid out seldom and read for each request.

    Parameters
    ----------
    engines : iterable of EngineState
    """

    __slots__ = ("_prefill_s", "_decode_s", "_least_prefill_s", "_least_step_s")

    def __init__(self, *, engines=()):
        prefills, decodes, steps = [0.0], [0.0], [0.0]
        if engines:
            prefills = [engine.model.prefill_s(1) for engine in engines]
            decodes = [engine.model.step_s(max(1, engine.limit)) / max(1, engine.limit) for engine in engines]
            steps = [engine.model.step_s(1) for engine in engines]
        self._prefill_s = sum(prefills) / len(prefills)
        self._decode_s = sum(decodes) / len(decodes)
        self._least_prefill_s = min(prefills)
        self._least_step_s = min(steps)

    def work_s(self, request):
        """Engine-seconds that a request takes up on an engine of mean speed that holds nothing of its prompt."""
        return (request.prompt_tokens + request.done_tokens) * self._prefill_s + request.output_tokens * self._decode_s

    def shortest_run_s(self, request):
        """Least seconds to its last token on the fastest engine, alone there."""
        prompt_s = (request.prompt_tokens + request.done_tokens) * self._least_prefill_s
        return prompt_s + request.output_tokens * self._least_step_s


class Admission:
    """Judges requests against the engines' models and the queue.

    Parameters
    ----------
    clock : callable
    queue : TierQueue
    lengths : OutputLengths
    held : HeldByTier
    prefill_weight : float
        From 0 (start what may just finish) to 1 (start only what surely finishes).
    """

    __slots__ = ("_clock", "_queue", "_lengths", "_held", "_margin", "_rates", "_granted", "_engines", "_speed")

    def __init__(self, *, clock, queue, lengths, held, prefill_weight):
        self._margin = finish_margin(prefill_weight)
        self._lengths = lengths
        self._held = held
        self._speed = CellSpeed()
        self._clock = clock
        self._queue = queue
        self._rates = ArrivalRates(clock=clock)
        self._granted = GrantRate(clock=clock)
        self._engines = ()

    def set_engines(self, engines):
        """Judge by these engines from now on."""
        self._engines = tuple(engines)
        self.measure_speed()

    def measure_speed(self):
        """Lay out what the engines' models say now; their speeds change over seconds."""
        self._speed = CellSpeed(engines=self._engines)

    def waiting(self, asked):
        """Build the queue's view of a request, with its expected output and predicted work."""
        now = self._clock()
        request = self._lengths.expect(asked)
        return WaitingRequest(
            request=request,
            asked_tokens=asked.output_tokens,
            arrived_at=now,
            deadline=now + request.remaining_s,
            # An engine that must run nothing else is used up as a whole for as long as the run takes.
            work_s=self._speed.shortest_run_s(request) if request.alone else self._speed.work_s(request),
            shortest_run_s=self._speed.shortest_run_s(request),
        )

    def admit(self, waiting: WaitingRequest):
        """Count an admitted request's work as demand of its tier."""
        self._rates.note(waiting.request.tier, waiting.work_s)

    def granted(self, waiting: WaitingRequest):
        """Count a grant as work that the cell took up."""
        self._granted.note(waiting.work_s)

    def note_places(self):
        """Take in whether the cell is full; a few times within ``GRANT_WINDOW_S``."""
        self._granted.note_full(not any(engine.free_slots and not engine.backs_off for engine in self._engines))

    def overflow(self) -> WaitingRequest | None:
        """Return a waiting request to give up as too many wait, or ``None``.

        Predicted waits refuse nothing while lower tiers are left or the models are cold.
        A flood could then fill the process's memory, and each tick would take longer
        than the time between two, so that engines stand idle beside a full queue.
        """
        most_work_s = MAX_WORK_S * max(1, len(self._engines))
        too_much_work = self._queue.work_s > most_work_s and len(self._queue) > 1
        if len(self._queue) > MAX_WAITING or too_much_work:
            return self._queue.last()
        return None

    def refusal(self, waiting: WaitingRequest):
        """Reason to refuse an arriving request, or ``None`` to let it wait or run.

        A higher tier is refused for load only once nothing lower waits and no lower
        repeatable run is left to be preempted; until then it stays, ahead of them.
        """
        request = waiting.request
        if not any(self._is_possible(engine, request) for engine in self._engines):
            return Reason.NO_ENGINE
        rest_s = self._rest_s(request)
        if rest_s and rest_s > waiting.latest_start - self._clock():
            return Reason.OVERLOADED
        if request.first_token_within_s:
            return self._refusal_by_start(waiting)
        possible = [engine for engine in self._engines if self._is_possible(engine, request)]
        if not any(self.could_finish(waiting, engine) for engine in possible):
            return Reason.DEADLINE_UNREACHABLE
        # Parked requests wait although places are free, as no engine with room suits them. What
        # arrives behind them takes nothing from them; refused, it would find engines idle.
        if self._places_free(request) and not self._queue.ready:
            return None
        if self._holds_lower(request.tier):
            return None
        if request.attempt > MAX_ASKS and request.done_tokens:
            return Reason.PREEMPTED
        if not self._models_trusted():
            return None
        full_s = min(run_s(request, engine, max(1, engine.limit), 0) for engine in possible)
        slack_s = waiting.deadline - self._clock() - full_s
        if self.wait_s(waiting) > WAIT_TOLERANCE * slack_s:
            return Reason.OVERLOADED
        return None

    def _refusal_by_start(self, waiting):
        # A request that only has to begin soon is not judged by its predicted finish: its deadline is
        # many times its run. What it can't do is wait, and told so at once its caller loses least.
        if self._places_free(waiting.request):
            return None
        granted_per_s = self._granted.per_s()
        if granted_per_s is None:
            return None
        # Right after an engine names a limit the rate of grants still tells what it took before.
        granted_per_s = min(granted_per_s, self._capacity()) if self._is_limited() else granted_per_s
        tier = waiting.request.tier
        left_per_s = granted_per_s - self._rates.rate_above(tier)
        left_per_s = max(left_per_s, MIN_SERVICE_SHARE * granted_per_s, MIN_RATE)
        # While runs of lower tiers end, their places go to this tier first: refused now, it would see
        # the next of them go to a lower one that came after it.
        share = 1.0 if self._held.any_below(tier) else START_WAIT_SHARE
        if self._queue.work_ahead_s(waiting) / left_per_s > share * (waiting.latest_start - self._clock()):
            return Reason.OVERLOADED
        return None

    @staticmethod
    def _is_possible(engine, request):
        return not engine.leaving and engine.name not in request.excluded_engines

    def could_finish(self, waiting: WaitingRequest, engine):
        """Whether the engine could finish it if all that may be preempted for it were gone."""
        if waiting.request.first_token_within_s:
            return True
        held = [grant for grant in engine.grants_by_request_id.values() if not _yields(grant, waiting.request.tier)]
        predicted_s = shielded_run_s(waiting.request, engine, len(held) + 1, 0)
        return predicted_s <= tolerance(engine) * (waiting.deadline - self._clock())

    def waits_for_better(self, waiting: WaitingRequest):
        """Whether a request that no free place suits had better wait for one that does, for a moment."""
        if self._clock() >= waiting.choosy_until:
            return False
        return any(
            engine.limit and not engine.rate_limit.in_force and suits_empty(waiting, engine) for engine in self._engines
        )

    def can_finish_now(self, waiting: WaitingRequest, engine):
        """Whether the engine would finish it in time if it were granted there now, and those there too."""
        if waiting.request.first_token_within_s:
            return suits(waiting, engine, now=self._clock())
        uncached = uncached_tokens(waiting.request, engine)
        if uncached > CHEAP_PROMPT_TOKENS and self._crowded(waiting.request.tier):
            return False
        prefill_s = engine.model.prefill_s(uncached)
        if engine.would_delay(prefill_s=prefill_s, tier=waiting.request.tier):
            return False
        concurrency = min(max(1, engine.limit), engine.running + 1 + len(self._queue))
        predicted_s = promised_s(waiting, engine, concurrency, engine.pending_prefill_tokens, self._margin)
        return predicted_s <= tolerance(engine) * (waiting.deadline - self._clock())

    def wait_s(self, waiting: WaitingRequest):
        """Predicted wait: the work ahead over what the tiers above leave of the cell."""
        return self._queue.work_ahead_s(waiting) / self._service_rate(waiting.request.tier)

    def retry_after_s(self, request):
        """Time until what waits now in this tier and above would be served."""
        ahead = sum(work for tier, work in self._queue.work_by_tier().items() if tier <= request.tier)
        least_s = MIN_RETRY_AFTER_S if not request.first_token_within_s else MIN_QUICK_RETRY_S
        wait_s = max(least_s, ahead / self._service_rate(request.tier), self._rest_s(request))
        spread = zlib.crc32(request.request_id.encode()) / 2**32
        return wait_s * (1.0 + RETRY_SPREAD * spread)

    def _service_rate(self, tier):
        capacity = self._capacity()
        left = capacity - self._rates.rate_above(tier)
        return max(left, MIN_SERVICE_SHARE * max(1.0, capacity))

    def _crowded(self, tier):
        # A cell that starts under overload has idle engines for a second. Long prompts of the
        # lowest tier begun then are cancelled soon for those above, and their prefill is lost.
        capacity = self._capacity()
        return self._rates.early_rate_above(tier) > CROWDED_LOAD * capacity

    def _capacity(self):
        """Engine-seconds of work that the cell can take up a second."""
        return sum(self._capacity_of(engine) for engine in self._engines if engine.limit)

    def _capacity_of(self, engine):
        # Counted as free, the places that a rate limit leaves empty would have requests queue for them in vain.
        if not engine.rate_limit.in_force:
            return engine.health_share
        return min(engine.health_share, engine.rate_limit.per_s() * self._granted.mean_work_s())

    def _is_limited(self):
        return any(engine.rate_limit.in_force for engine in self._engines)

    def _places_free(self, request):
        return any(engine.free_slots and not engine.rest_s(request.entry) for engine in self._engines)

    def _rest_s(self, request):
        """Time until some engine takes a request of this entry again; 0 if one does now."""
        least_s = math.inf
        for engine in self._engines:
            if not engine.leaving:
                least_s = min(least_s, engine.rest_s(request.entry))
            if not least_s:
                break
        return 0.0 if least_s == math.inf else least_s

    def _holds_lower(self, tier):
        if any(rank > tier for rank in self._queue.waiting_by_tier()):
            return True
        return self._held.any_yielding_below(tier)

    def _models_trusted(self):
        confidences = [engine.model.confidence() for engine in self._engines]
        return sum(confidences) >= TRUSTED_CONFIDENCE * len(confidences)


def suits(waiting, engine, *, now):
    """Whether a request that is to begin soon begins in time on the engine, and those there don't stall."""
    first_token_s = engine.model.predict_first_token_s(
        uncached_tokens=uncached_tokens(waiting.request, engine),
        concurrency=engine.running + 1,
        pending_prefill_tokens=engine.pending_prefill_tokens,
    )
    if now + FIRST_TOKEN_MARGIN * first_token_s > waiting.arrived_at + waiting.request.first_token_within_s:
        return False
    return not engine.running or not stalls_others(waiting.request, engine)


def suits_empty(waiting, engine):
    """The same for the engine if it had nothing to do."""
    request = waiting.request
    first_token_s = engine.model.predict_first_token_s(
        uncached_tokens=uncached_tokens(request, engine), concurrency=1, pending_prefill_tokens=0
    )
    return FIRST_TOKEN_MARGIN * first_token_s <= request.first_token_within_s and not stalls_others(request, engine)


def stalls_others(request, engine):
    """Whether reading the prompt would make the streams beside it pause for longer than their callers hope.

    An engine reads a prompt in pieces, one before each token that it makes for the others; an event
    of theirs waits for all the pieces that fall between its tokens.
    """
    if not request.pause_within_s:
        return False
    between_tokens = min(uncached_tokens(request, engine), request.event_tokens * PIECE_TOKENS)
    event_s = request.event_tokens * engine.model.step_s(engine.limit) + engine.model.prefill_s(between_tokens)
    return event_s > request.pause_within_s


def uncached_tokens(request, engine):
    """Tokens the engine would prefill for the request."""
    total = request.prompt_tokens + request.done_tokens
    return max(1, total - engine.cache.cached_tokens(request.prefix_blocks))


def run_s(request, engine, concurrency, pending_prefill_tokens):
    """Predicted seconds from dispatch to the last token."""
    return engine.model.predict_finish_s(
        uncached_tokens=uncached_tokens(request, engine),
        output_tokens=request.output_tokens,
        concurrency=concurrency,
        pending_prefill_tokens=pending_prefill_tokens,
    )


def shielded_run_s(request, engine, concurrency, pending_prefill_tokens):
    """Predicted seconds to the last token if no further prompt is prefilled beside it.

    The scheduler keeps it so where it must: see :meth:`EngineState.would_delay`.
    """
    prefill_s = engine.model.prefill_s(uncached_tokens(request, engine) + pending_prefill_tokens)
    return prefill_s + request.output_tokens * engine.model.step_s(concurrency)


def finish_margin(prefill_weight):
    """Factor on a predicted finish, by how much thrown-away prefill weighs."""
    return MIN_FINISH_MARGIN + FINISH_MARGIN_SPAN * prefill_weight


def promised_s(waiting, engine, concurrency, pending_prefill_tokens, margin):
    """Time to the last token that is promised, with ``margin`` as its factor.

    A long prompt cut short by its deadline wastes its prefill, so it is started only if
    it would finish with a longer answer than expected too. A short one may be tried.
    """
    request = waiting.request
    if uncached_tokens(request, engine) <= CHEAP_PROMPT_TOKENS:
        return shielded_run_s(request, engine, concurrency, pending_prefill_tokens)
    predicted_s = run_s(request, engine, concurrency, pending_prefill_tokens)
    unexpected_tokens = LENGTH_CAUTION * (waiting.asked_tokens - request.output_tokens)
    return margin * (predicted_s + unexpected_tokens * engine.model.token_interval_s(concurrency))


def tolerance(engine):
    """Factor on the time left: above 1 while the engine's model has few measurements.

    A cold model knows only declared figures. Refusing by them would keep the engine
    cold for ever if they are too pessimistic: every request would be refused, and no
    run would correct the model.
    """
    return 1.0 + (COLD_TOLERANCE - 1.0) * (1.0 - engine.model.confidence())


def _yields(grant, tier):
    return grant.request.tier > tier and grant.request.repeatable
