"""Choice of an engine for a request, behind one protocol: ours and its baselines."""

import random
from collections.abc import Sequence
from typing import Protocol

from wagtailtrestle.contracts.messages import GrantRequest
from wagtailtrestle.engines.model import EngineModel
from wagtailtrestle.engines.prefix_cache import PrefixCacheIndex


class EngineView(Protocol):
    """One engine as a policy sees it.

    Attributes
    ----------
    running : int
        Runs the scheduler granted there and that have not ended.
    pending_prefill_tokens : int
        Uncached prompt tokens of granted runs that gave no first token yet.
    reported_running : int
        Runs, waiting ones included, in the engine's last load report.
    report_age_s : float
        Age of that report.
    available : bool
        Whether it may take this work now: healthy, not leaving, with a free place.
    """

    name: str
    model: EngineModel
    cache: PrefixCacheIndex
    running: int
    pending_prefill_tokens: int
    reported_running: int
    report_age_s: float
    slots: int
    zone: str
    hardware: str
    available: bool


class EnginePolicy(Protocol):
    """Picks one of the available engines, or ``None`` if none will do."""

    def choose(self, *, request: GrantRequest, engines: Sequence[EngineView], now: float) -> EngineView | None:
        """Return the engine for ``request``."""


def candidates(request, engines):
    """Return the available engines that the request was not told to avoid."""
    return [engine for engine in engines if engine.available and engine.name not in request.excluded_engines]


class PredictedFinish:
    """Least predicted finish, plus the prefill it repeats and the delay to those behind it.

    Parameters
    ----------
    prefill_weight : float
        From 0 (only finish times count) to 1 (prompt work saved counts most).
    """

    __slots__ = ("_prefill_weight",)

    def __init__(self, *, prefill_weight):
        self._prefill_weight = prefill_weight

    def choose(self, *, request, engines, now):
        """Return the engine of least cost in seconds."""
        return min(candidates(request, engines), key=lambda engine: self.cost_s(request, engine), default=None)

    def cost_s(self, request, engine):
        """Cost in seconds of running ``request`` on ``engine`` now."""
        model = engine.model
        prompt_tokens = request.prompt_tokens + request.done_tokens
        uncached = max(1, prompt_tokens - engine.cache.cached_tokens(request.prefix_blocks))
        concurrency = engine.running + 1
        finish_s = model.predict_finish_s(
            uncached_tokens=uncached,
            output_tokens=request.output_tokens,
            concurrency=concurrency,
            pending_prefill_tokens=engine.pending_prefill_tokens,
        )
        prefill_s = model.prefill_s(uncached)
        slower_step_s = model.step_s(concurrency) - model.step_s(engine.running)
        delay_s = engine.running * prefill_s + slower_step_s * engine.running * request.output_tokens
        return finish_s + delay_s / max(1, engine.slots) + self._prefill_weight * prefill_s


class RoundRobin:
    """Each available engine in its turn; a baseline."""

    __slots__ = ("_turn",)

    def __init__(self):
        self._turn = 0

    def choose(self, *, request, engines, now):
        """Return the next engine."""
        allowed = candidates(request, engines)
        if not allowed:
            return None
        self._turn += 1
        return allowed[self._turn % len(allowed)]


class LeastReportedLoad:
    """The engine that reported the fewest runs for its slots; a baseline."""

    __slots__ = ()

    def choose(self, *, request, engines, now):
        """Return the engine of least reported load."""
        return min(candidates(request, engines), key=reported_load, default=None)


class TwoChoices:
    """The less loaded, by report, of two engines picked at random; a baseline.

    Parameters
    ----------
    seed : int
    """

    __slots__ = ("_random",)

    def __init__(self, *, seed):
        self._random = random.Random(seed)

    def choose(self, *, request, engines, now):
        """Return the better of two."""
        allowed = candidates(request, engines)
        if not allowed:
            return None
        return min(self._random.sample(allowed, min(2, len(allowed))), key=reported_load)


def reported_load(engine):
    """Share of the engine's slots in use, by its last report."""
    return engine.reported_running / max(1, engine.slots)
