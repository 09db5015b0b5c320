"""Engines announce limits, back-offs and leaving in series, while routers die or pause and the store is down."""

import os
import random
import threading
import time
import unittest

from tests.utils.asking_engines import (
    AskingEngine,
    RouterDisturbances,
    exceeded_back_off,
    exceeded_limit,
    received_after_leaving,
)
from tests.utils.platform_world import World
from tests.utils.steady_callers import SteadyCallers

SEEDS = [int(seed) for seed in os.environ.get("ASKING_SEEDS", "1 4").split()]
"""For other seeds, ``ASKING_SEEDS="1 2 3" python -m unittest tests.test_asking_engines``."""
ROUTERS = 4
ENGINES = 4
PER_S = 60.0
DURATION_S = 14.0
LAST_EVENT_S = 9.0
EVENTS = 7
REST_S = 2.5
ANSWERS = {200, 429, 503}


def plan(seed):
    """Return the events of a seed in chronological order: (time, kind, on, value, duration)."""
    rng = random.Random(seed)
    events = []
    leaves = False
    for _ in range(EVENTS):
        kind = rng.choice(("limit", "limit", "rest", "leave", "kill", "pause", "store"))
        if kind == "leave" and leaves:
            kind = "rest"
        leaves = leaves or kind == "leave"
        on = rng.randrange(ROUTERS if kind in ("kill", "pause") else ENGINES)
        value = round(rng.uniform(0.5, 6.0), 1) if kind == "limit" else rng.choice((0.3, 0.6, 1.0))
        events.append((rng.uniform(0.0, LAST_EVENT_S), kind, on, value, rng.uniform(1.0, 4.0)))
    return sorted(events)


class DisturbedWorld:
    """A world with callers, disturbed by the events of a seed."""

    def __init__(self, *, seed):
        self.events = plan(seed)
        self.disturbances = RouterDisturbances()
        self.world = World(routers=ROUTERS)
        for name in ("b-1", "b-2"):
            self.world.engines.pop(name).close()
        self.engines = [AskingEngine(name=f"n-{number}", service="booking", seed=seed) for number in range(ENGINES)]
        for engine in self.engines:
            engine.retry_after = str(REST_S)
            self.world.engines[engine.name] = engine
        self._busy_by_router = [threading.Lock() for _ in range(ROUTERS)]

    def run(self):
        """Apply all events, and return the answers by router."""
        self.world.start()
        paths = [("GET", "/status/1"), ("POST", "/book/1")]
        callers = SteadyCallers(world=self.world, paths=paths, per_s=PER_S).start()
        time.sleep(1.0)
        started_at = time.monotonic()
        timers = []
        for at, kind, on, value, for_s in self.events:
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            timers.append(threading.Thread(target=self._happen, args=(kind, on, value, for_s), daemon=True))
            timers[-1].start()
        time.sleep(max(0.0, started_at + DURATION_S - time.monotonic()))
        for timer in timers:
            timer.join()
        callers.close()
        return callers.answers_by_router

    def _happen(self, kind, on, value, for_s):
        match kind:
            case "limit" if self.engines[on].limit is None:
                self.engines[on].set_limit(value, for_s + 3.0)
            case "rest":
                self.engines[on].request_back_off(REST_S, value, for_s)
            case "leave":
                self.engines[on].leaving = True
            case "store":
                self.world.store.down = True
                time.sleep(for_s)
                self.world.store.down = False
            case "kill" | "pause":
                self._disturb(kind, on, for_s)

    def _disturb(self, kind, on, for_s):
        router = self.world.routers[on]
        with self._busy_by_router[on]:
            self.disturbances.record(str(on))
            if kind == "pause":
                router.freeze()
                time.sleep(for_s)
                router.resume()
            else:
                router.kill()
                time.sleep(0.3 * for_s)
                router.start()
                router.wait_ready()
            self.disturbances.record(str(on))


class AskingEnginesTest(unittest.TestCase):
    # Guards against a limit, back-off or leaving notice that is obeyed on its own but lost when it coincides with
    # another or when a router dies.
    def test_notices_of_engines_are_obeyed_during_disturbances(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed):
        disturbed = DisturbedWorld(seed=seed)
        try:
            answers_by_router = disturbed.run()
        finally:
            disturbed.world.close()
        description = f"seed {seed}: {[(round(at, 1), kind, on, value) for at, kind, on, value, _ in disturbed.events]}"
        for engine in disturbed.engines:
            for check in (exceeded_limit, received_after_leaving, exceeded_back_off):
                self.assertEqual(
                    check(engine, disturbed.disturbances), [], f"{check.__name__} {engine.name}, {description}"
                )
        statuses = {
            answer.status
            for router, answers in answers_by_router.items()
            if not disturbed.disturbances.times_by_router[str(router)]
            for answer in answers
        }
        self.assertLessEqual(statuses, ANSWERS, description)
        print(f"{description}: {[len(engine.received) for engine in disturbed.engines]} requests")


if __name__ == "__main__":
    unittest.main()
