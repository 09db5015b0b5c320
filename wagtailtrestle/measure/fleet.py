"""Actual speeds of the engines in a measured run, and the bound on their throughput."""

import random

MIN_SPEED = 0.8
MAX_SPEED = 1.2
STEP_GROWTH = 0.03
CACHE_TOKENS = 65_536
PREFILL_CHUNK_TOKENS = 512


class TrueSpeed:
    """Actual speed of one engine, which the declaration only approximates.

    Parameters
    ----------
    slots : int
    base_step_s, per_run_step_s : float
    prefill_tokens_per_s : float
    """

    __slots__ = ("slots", "base_step_s", "per_run_step_s", "prefill_tokens_per_s")

    def __init__(self, *, slots, base_step_s, per_run_step_s, prefill_tokens_per_s):
        self.slots = slots
        self.base_step_s = base_step_s
        self.per_run_step_s = per_run_step_s
        self.prefill_tokens_per_s = prefill_tokens_per_s

    def cost_s(self, arrival):
        """Return the seconds of this engine that a request uses in a full batch with an ideal cache."""
        step_s = self.base_step_s + self.per_run_step_s * self.slots
        prefill_s = (arrival.prompt_tokens - arrival.reusable_tokens) / self.prefill_tokens_per_s
        return prefill_s + arrival.output_tokens * step_s / self.slots


def true_speeds(declared_engines, *, seed):
    """Return speeds by engine name: each declared speed times a factor drawn from ``MIN_SPEED`` to ``MAX_SPEED``."""
    rng = random.Random(f"speeds {seed}")
    speed_by_name = {}
    for engine in declared_engines:
        slowdown = 1.0 / rng.uniform(MIN_SPEED, MAX_SPEED)
        step_s = engine.step_ms / 1000.0 * slowdown
        speed_by_name[engine.name] = TrueSpeed(
            slots=engine.slots,
            base_step_s=step_s * (1.0 - STEP_GROWTH),
            per_run_step_s=step_s * STEP_GROWTH,
            prefill_tokens_per_s=engine.prefill_tokens_per_s / slowdown,
        )
    return speed_by_name


def fleet_cost_s(speed_by_name, arrival):
    """Return the seconds of the entire fleet that a request uses; the fleet serves at most a sum of 1 per second."""
    return 1.0 / sum(1.0 / speed.cost_s(arrival) for speed in speed_by_name.values())


def remaining_capacity(speed_by_name, name, factor, cost_of):
    """Return the share of the fleet's capacity that remains while one engine is ``factor`` times slower.

    ``cost_of`` maps an engine's speed to the mean seconds that a request uses on it.
    """
    rate_by_name = {engine: 1.0 / cost_of(speed) for engine, speed in speed_by_name.items()}
    lost = rate_by_name[name] * (1.0 - 1.0 / factor)
    return 1.0 - lost / sum(rate_by_name.values())
