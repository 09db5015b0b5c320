"""Engines that name a rate limit in their answers, for all routers together."""

import time
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.steady_callers import SteadyCallers, most_within

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS = 5
HEARD_S = 1.0
"""Time in which every router has answered callers from the engine, and has been told."""
HELD_S = 8.0
WORK_S = 0.03
PER_S = 40.0
BOOKINGS = [("GET", "/status/1")]


def most_allowed(limit_per_s):
    """Requests that the users allow within ``WINDOW_S``."""
    return EXCESS_RATIO * limit_per_s * WINDOW_S + EXCESS


class LimitCase(WorldCase):
    ROUTERS = 4
    SERVICE = "booking"

    def setUp(self):
        super().setUp()
        self.limited, self.other = (engine for engine in self.world.engines.values() if engine.service == self.SERVICE)
        for engine in (self.limited, self.other):
            engine.work_s = WORK_S

    def call(self, *, per_s=PER_S, paths=BOOKINGS):
        callers = SteadyCallers(world=self.world, paths=paths, per_s=per_s).start()
        self.addCleanup(callers.close)
        return callers

    def check_limit(self, engine, since, limit_per_s):
        arrivals = [at for at in engine.arrivals if at > since]
        self.assertLessEqual(most_within(arrivals, WINDOW_S), most_allowed(limit_per_s))
        return arrivals


class NamedLimitTest(LimitCase):
    # Guards against a limit that an engine names in its answers and that no router reads or passes on.
    def test_an_engine_that_names_a_limit_gets_no_more_than_it_takes(self):
        callers = self.call()
        time.sleep(1.0)
        self.limited.limit = "2.3"
        named_at = time.monotonic()
        time.sleep(HEARD_S + HELD_S)
        arrivals = self.check_limit(self.limited, named_at + HEARD_S, 2.3)
        self.assertGreaterEqual(len(arrivals), 0.5 * 2.3 * HELD_S)
        callers.close()
        self.assertEqual(set(callers.statuses()), {200})


if __name__ == "__main__":
    unittest.main()
