"""Matches requests with engines of different speeds: long responses need fast engines, short ones fit slow ones.

Applies to requests with a target time to first token; others are judged by their predicted finish anyway. An engine is
slow if its token interval with all slots in use is more than ``SLOW_RATIO`` times the usual one.
"""

import math

from wagtailtrestle.capacity.admission import uncached_tokens

SAFE_LENGTH_FACTOR = 2.4
LAST_CHANCE_LENGTH_FACTOR = 1.6
MIN_LENGTH_FACTOR = 0.4
LENGTH_FACTORS = (SAFE_LENGTH_FACTOR, LAST_CHANCE_LENGTH_FACTOR, 1.0, MIN_LENGTH_FACTOR)
"""Response lengths by which an engine is judged, as multiples of the expected length: the quantiles 0.9, 0.75, 0.5 and
0.1 of a log-normal error of a factor of two, the typical error of single estimates. The 0.9 quantile is used where
some engine satisfies it, because a run that misses its deadline holds a slot for ten seconds without benefit, while
waiting for a faster engine takes tens of milliseconds."""

SLOW_RATIO = 2.0
"""Token interval of a slow engine, as a multiple of that of the engine at ``REFERENCE_QUANTILE``. Engines of one
service differed fourfold, and those of one kind by less than a fifth."""

REFERENCE_QUANTILE = 0.25
"""Quantile of the engines' token intervals that counts as usual, fastest first. The median would lie between the two
kinds after the loss of some fast engines."""

SHORT_SHARE = 0.5
"""Share of the time left within which a response must end on a slow engine to count as short there."""

SCARCE_SHARE = 0.25
"""Share of the slots of a class of engines below which its free slots are scarce."""

LAST_CHANCE_S = 0.1
"""Time before its latest start at which a request accepts a less suitable engine: two ticks of the scheduler."""

STALE_AFTER_S = 10.0
"""Time after which the measurements of an idle engine with no finished run are not relied on. Otherwise an engine that
was slow for a while would get no long responses again if no short ones were there to correct its model."""


MEASURE_INTERVAL_S = 0.25
"""Time between two divisions of the engines into classes. One takes about 0.2 ms for 78 engines, and their models
change over seconds."""


class _EngineClass:
    """Engines of similar speed, with bounds of their speeds.

    Parameters
    ----------
    engines : list of EngineState
        Fastest first.
    """

    __slots__ = ("engines", "slots", "_max_interval_s", "_max_prefill_s")

    def __init__(self, *, engines=()):
        self.engines = engines
        self.slots = sum(engine.limit for engine in engines)
        self._max_interval_s = max((_interval_s(engine) for engine in engines), default=0.0)
        self._max_prefill_s = max((engine.model.prefill_s(1) for engine in engines), default=0.0)

    def max_finish_s(self, waiting, factor):
        """Return the seconds to the last token on the slowest engine, with nothing of the prompt cached."""
        request = waiting.request
        prompt_s = (request.prompt_tokens + request.done_tokens) * self._max_prefill_s
        return prompt_s + _tokens(waiting, factor) * self._max_interval_s

    def has_free_share(self, free_slots):
        """Whether so many free slots are not scarce."""
        return free_slots >= SCARCE_SHARE * self.slots


class EngineMatch:
    """Decides which engines with free slots a request may take.

    Parameters
    ----------
    clock : callable
    features : callable
        Returns the ``Features`` in force.

    Attributes
    ----------
    slow_names : frozenset of str
        Names of the slow engines.
    """

    __slots__ = (
        "slow_names",
        "_clock",
        "_features",
        "_engines",
        "_fast",
        "_slow",
        "_untested",
        "_last_finish_by_name",
        "_measured_at",
    )

    def __init__(self, *, clock, features):
        self._clock = clock
        self._features = features
        self._engines = ()
        self._fast = self._slow = _EngineClass()
        self.slow_names = frozenset()
        self._untested = frozenset()
        self._last_finish_by_name = {}
        self._measured_at = -math.inf

    def applies(self, waiting):
        """Whether engines are matched for this request."""
        return self._features().engine_match and waiting.request.first_token_within_s > 0.0

    def measure(self, engines):
        """Divide the engines into classes by their models; called at each tick."""
        if not self._features().engine_match or self._clock() < self._measured_at + MEASURE_INTERVAL_S:
            return
        self._measured_at = self._clock()
        usable = sorted((engine for engine in engines if engine.limit), key=_interval_s)
        self._untested = self._find_untested(usable)
        tested = [engine for engine in usable if engine.name not in self._untested]
        max_s = SLOW_RATIO * _interval_s(tested[int(REFERENCE_QUANTILE * len(tested))]) if tested else 0.0
        slow = [engine for engine in tested if _interval_s(engine) > max_s]
        self.slow_names = frozenset(engine.name for engine in slow)
        self._engines = usable
        self._slow = _EngineClass(engines=slow)
        self._fast = _EngineClass(engines=[engine for engine in usable if engine.name not in self.slow_names])

    def permitted(self, waiting, available):
        """Return the engines, of those with free slots, that the request may take now.

        A request that is not short takes a slow engine only if many slow slots are free, so that enough are left for
        short ones. Shortly before its latest start it accepts a less certain finish there.

        Returns
        -------
        list of EngineState or None
            ``None`` if no engine of the cell could finish the request in time.
        """
        factor, fastest = self._strictest(waiting)
        if fastest is None:
            return None if self._is_hopeless(waiting) else available
        if waiting.request.excluded_engines:
            available = [engine for engine in available if waiting.request.accepts(engine)]
        slow_names = self.slow_names
        if not slow_names:
            return self._fitting(waiting, available, factor, self._fast)
        slow = [engine for engine in available if engine.name in slow_names]
        fast = [engine for engine in available if engine.name not in slow_names] if slow else available
        permitted = self._fitting(waiting, fast, factor, self._fast)
        if not slow:
            return permitted
        if self.is_short(waiting):
            return permitted + slow
        if fastest.name not in slow_names:
            if not self._slow.has_free_share(sum(engine.free_slots for engine in slow)):
                return permitted
            if self._clock() >= waiting.latest_start - LAST_CHANCE_S:
                factor = min(factor, LAST_CHANCE_LENGTH_FACTOR)
        return permitted + self._fitting(waiting, slow, factor, self._slow)

    def preferred(self, waiting, permitted):
        """Return the engines to try first: the slow ones for a short response while fast slots are scarce."""
        if not self.slow_names or not self.is_short(waiting):
            return permitted
        free_slots = sum(engine.free_slots for engine in permitted if engine.name not in self.slow_names)
        if self._fast.has_free_share(free_slots):
            return permitted
        return [engine for engine in permitted if engine.name in self.slow_names] or permitted

    def passes_over(self, waiting, engine):
        """Whether the request would leave a slot of this engine to short responses if no other slot were free."""
        return engine.name in self.slow_names and self.applies(waiting) and not self.is_short(waiting)

    def unsuitable_names(self, waiting):
        """Return the engines whose free slots alone are no reason to try a parked request again before a tick."""
        if not self.slow_names or self.is_short(waiting):
            return frozenset()
        fastest = self._strictest(waiting)[1]
        return frozenset() if fastest is None or fastest.name in self.slow_names else self.slow_names

    def refused_names(self, waiting):
        """Return the engines that the request will not take even at its last chance, so that late ones may use them."""
        names = self.unsuitable_names(waiting)
        if not names:
            return names
        factor = min(LAST_CHANCE_LENGTH_FACTOR, self._strictest(waiting)[0])
        return frozenset() if any(self._fits(waiting, engine, factor) for engine in self._slow.engines) else names

    def is_short(self, waiting):
        """Whether the response would certainly end on any slow engine within a part of the time left."""
        left_s = waiting.deadline - self._clock()
        return self._slow.max_finish_s(waiting, SAFE_LENGTH_FACTOR) <= SHORT_SHARE * left_s

    def _is_hopeless(self, waiting):
        """Whether no engine of the cell would finish even a much shorter response than expected in time.

        Judged by the clean step of a single run, which engines report. The interference in the token interval is
        corrected only by runs, so refusals by it could last.
        """
        left_s = waiting.deadline - self._clock()
        tokens = _tokens(waiting, MIN_LENGTH_FACTOR)
        for engine in self._engines:
            if engine.name in self._untested:
                return False
            prompt_s = engine.model.prefill_s(uncached_tokens(waiting.request, engine))
            if prompt_s + tokens * engine.model.step_s(1) <= left_s:
                return False
        return bool(self._engines)

    def _strictest(self, waiting):
        """Return the largest length factor with which some engine would finish in time, and the fastest such engine.

        The factor is 0 and the engine ``None`` if there is none.
        """
        for factor in LENGTH_FACTORS:
            for engine in self._engines:
                if _may_be_granted(waiting, engine, self._clock()) and self._fits(waiting, engine, factor):
                    return factor, engine
        return 0.0, None

    def _fitting(self, waiting, engines, factor, engine_class):
        if engine_class.max_finish_s(waiting, factor) <= waiting.deadline - self._clock():
            return engines
        return [engine for engine in engines if self._fits(waiting, engine, factor)]

    def _fits(self, waiting, engine, factor):
        # Prompts that the engine still has to prefill are left out: the target time to first token limits them.
        if engine.name in self._untested and (not engine.running or not engine.model.finished_runs):
            return True
        left_s = waiting.deadline - self._clock() - _tokens(waiting, factor) * _interval_s(engine)
        return left_s >= 0.0 and engine.model.prefill_s(uncached_tokens(waiting.request, engine)) <= left_s

    def _find_untested(self, engines):
        """Return the names of the engines that have no measurements, or only old ones."""
        now = self._clock()
        last_by_name = {}
        untested = set()
        for engine in engines:
            finished_runs = engine.model.finished_runs
            last = self._last_finish_by_name.get(engine.name)
            if last is None or last[0] != finished_runs or engine.running:
                last = (finished_runs, now)
            last_by_name[engine.name] = last
            if not finished_runs or now - last[1] > STALE_AFTER_S:
                untested.add(engine.name)
        self._last_finish_by_name = last_by_name
        return frozenset(untested)


def _may_be_granted(waiting, engine, now):
    if not engine.limit or not waiting.request.accepts(engine):
        return False
    return engine.rest_s(waiting.request.entry) <= max(0.0, waiting.latest_start - now)


def _interval_s(engine):
    """Return the token interval with all usable slots in use."""
    return engine.model.token_interval_s(engine.limit)


def _tokens(waiting, factor):
    expected = waiting.request.output_tokens
    return min(factor * expected, max(expected, waiting.asked_tokens))
