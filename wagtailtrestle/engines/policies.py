"""Policies that choose an engine for a request: the one in use and its baselines."""

import random
from collections.abc import Sequence
from typing import Protocol

from wagtailtrestle.contracts.messages import GrantRequest
from wagtailtrestle.engines.model import EngineModel
from wagtailtrestle.engines.prefix_cache import PrefixCacheIndex


class EngineView(Protocol):
    """Attributes of an engine that a policy may read.

    Attributes
    ----------
    running : int
        Granted runs that have not ended.
    pending_prefill_tokens : int
        Uncached prompt tokens of granted runs that have not produced a first token.
    reported_running : int
        Running and waiting runs in the engine's last load report.
    report_age_s : float
        Age of that report.
    available : bool
        Whether it may be given a run now: healthy, not draining, with a free slot.
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
    version: str
    available: bool


class EnginePolicy(Protocol):
    """Chooses one of the available engines, or ``None`` if none is suitable."""

    def choose(
        self, *, request: GrantRequest, engines: Sequence[EngineView], now: float, zone_cost_s: float = 0.0
    ) -> EngineView | None:
        """Return the engine for ``request``; one in another zone costs ``zone_cost_s`` more, where costs count."""


def candidates(request, engines):
    """Return the available engines that the request doesn't exclude."""
    return [engine for engine in engines if engine.available and request.accepts(engine)]


class PredictedFinish:
    """Lowest sum of predicted finish time, weighted prefill time and delay to the runs already on the engine.

    Parameters
    ----------
    prefill_weight : float
        From 0 (only finish times and delays count) to 1 (avoided prefill counts most).
    """

    __slots__ = ("_prefill_weight",)

    def __init__(self, *, prefill_weight):
        self._prefill_weight = prefill_weight

    def choose(self, *, request, engines, now, zone_cost_s=0.0):
        """Return the engine with the lowest :meth:`cost_s`, plus ``zone_cost_s`` if it is in another zone."""

        def cost_s(engine):
            other_zone = zone_cost_s and engine.zone != request.zone
            return self.cost_s(request, engine) + (zone_cost_s if other_zone else 0.0)

        return min(candidates(request, engines), key=cost_s, default=None)

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
    """Available engines in rotation; a baseline."""

    __slots__ = ("_turn",)

    def __init__(self):
        self._turn = 0

    def choose(self, *, request, engines, now, zone_cost_s=0.0):
        """Return the next engine."""
        allowed = candidates(request, engines)
        if not allowed:
            return None
        self._turn += 1
        return allowed[self._turn % len(allowed)]


class LeastReportedLoad:
    """The engine with the lowest reported load, as a share of its slots; a baseline."""

    __slots__ = ()

    def choose(self, *, request, engines, now, zone_cost_s=0.0):
        """Return the engine with the lowest reported load."""
        return min(candidates(request, engines), key=reported_load, default=None)


class TwoChoices:
    """The less loaded, by its last report, of two engines chosen at random; a baseline.

    Parameters
    ----------
    seed : int
    """

    __slots__ = ("_random",)

    def __init__(self, *, seed):
        self._random = random.Random(seed)

    def choose(self, *, request, engines, now, zone_cost_s=0.0):
        """Return the less loaded of two random engines."""
        allowed = candidates(request, engines)
        if not allowed:
            return None
        return min(self._random.sample(allowed, min(2, len(allowed))), key=reported_load)


def reported_load(engine):
    """Share of the engine's slots in use, by its last report."""
    return engine.reported_running / max(1, engine.slots)
