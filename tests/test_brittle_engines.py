"""Engines that fall over when they have to reject too many requests within a second, and say so in their answers."""

import time
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.steady_callers import SteadyCallers

PER_S = 60.0
WORK_S = 0.15
ROOM = 3
"""Requests that an engine runs at once, of the 8 slots that it declares: others occupy the rest."""
BRITTLE = 4
NOTICE_S = 3.0
"""Time within which every router and scheduler must know that the engines are brittle."""
OBSERVED_S = 6.0
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1


class BrittleCase(WorldCase):
    ROUTERS = 4
    SERVICE = "booking"
    PATHS = (("GET", "/status/1"), ("POST", "/book/1"))

    def setUp(self):
        super().setUp()
        self.engines = [engine for engine in self.world.engines.values() if engine.service == self.SERVICE]
        for engine in self.engines:
            engine.delay_s = WORK_S
        self.callers = SteadyCallers(world=self.world, paths=self.PATHS, per_s=PER_S).start()
        self.addCleanup(self.callers.close)
        time.sleep(1.0)

    def make_brittle(self):
        for engine in self.engines:
            engine.room, engine.brittle = ROOM, BRITTLE
        time.sleep(NOTICE_S)
        for engine in self.engines:
            engine.falls.clear()

    def check_falls(self):
        falls = sum(len(engine.falls) for engine in self.engines)
        print(f"{falls} falls of {len(self.engines)} engines")
        self.assertLessEqual(falls, MAX_FALLS + MAX_FALLS_SHARE * len(self.engines))


class FloodTest(BrittleCase):
    # Guards against a flood that is passed on to engines which can't bear to reject it.
    def test_flood_does_not_bring_brittle_engines_down(self):
        self.make_brittle()
        since = len(self.callers.answers)
        time.sleep(OBSERVED_S)
        self.check_falls()
        served = sum(answer.status == 200 for answer in self.callers.answers[since:])
        self.assertGreaterEqual(served, 0.5 * len(self.engines) * ROOM / WORK_S * OBSERVED_S)

    # Guards against a new scheduler that knows nothing of what its predecessor had learned of the engines.
    def test_change_of_scheduler_does_not_bring_them_down(self):
        self.make_brittle()
        self.world.routers[self.world.scheduler_of(self.SERVICE)].kill()
        time.sleep(OBSERVED_S)
        self.check_falls()


if __name__ == "__main__":
    unittest.main()
