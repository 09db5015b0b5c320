"""Engines that announce in their answers a rate limit for all routers together."""

import time
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.steady_callers import SteadyCallers, max_within

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
NOTICE_S = 1.0
"""Time within which every router has received an answer from the engine, and so its limit."""
OBSERVED_S = 8.0
RECOVERY_S = 7.0
"""Time after which an engine that no longer announces a limit receives its share of the load again."""
WORK_S = 0.03
PER_S = 40.0
BOOKINGS = [("GET", "/status/1")]


def max_allowed(limit_per_s):
    """Return how many requests the users allow within ``WINDOW_S``."""
    return EXCESS_RATIO * limit_per_s * WINDOW_S + EXCESS_REQUESTS


class LimitCase(WorldCase):
    ROUTERS = 4
    SERVICE = "booking"

    def setUp(self):
        super().setUp()
        self.limited, self.other = (engine for engine in self.world.engines.values() if engine.service == self.SERVICE)
        for engine in (self.limited, self.other):
            engine.delay_s = WORK_S

    def call(self, *, per_s=PER_S, paths=BOOKINGS, routers=None):
        callers = SteadyCallers(world=self.world, paths=paths, per_s=per_s, routers=routers).start()
        self.addCleanup(callers.close)
        return callers

    def check_limit(self, engine, since, limit_per_s):
        arrivals = [at for at in engine.arrivals if at > since]
        self.assertLessEqual(max_within(arrivals, WINDOW_S), max_allowed(limit_per_s))
        return arrivals


class NamedLimitTest(LimitCase):
    # Guards against a limit in an engine's answers that no router reads or passes on.
    def test_an_engine_that_names_a_limit_gets_no_more_than_it_takes(self):
        callers = self.call()
        time.sleep(1.0)
        self.limited.limit = "2.3"
        named_at = time.monotonic()
        time.sleep(NOTICE_S + OBSERVED_S)
        arrivals = self.check_limit(self.limited, named_at + NOTICE_S, 2.3)
        self.assertGreaterEqual(len(arrivals), 0.5 * 2.3 * OBSERVED_S)
        callers.close()
        self.assertEqual((callers.not_served(), set(callers.statuses())), ([], {200}))

    # Guards against limits of all engines that each router enforces by itself instead of all routers together.
    def test_limits_of_all_engines_are_kept_and_refusals_have_a_retry_after(self):
        callers = self.call()
        time.sleep(1.0)
        engines = (self.limited, self.other)
        for engine in engines:
            engine.limit = "2.3"
        named_at = time.monotonic()
        time.sleep(NOTICE_S + OBSERVED_S)
        for engine in engines:
            arrivals = self.check_limit(engine, named_at + NOTICE_S, 2.3)
            self.assertGreaterEqual(len(arrivals), 0.5 * 2.3 * OBSERVED_S)
        callers.close()
        refused = [answer for answer in callers.answers if answer.status != 200]
        self.assertEqual({answer.status for answer in refused} - {429, 503}, set())
        self.assertTrue(all(float(answer.headers["Retry-After"]) > 0.0 for answer in refused))

    # Guards against load that does not return, or returns abruptly, when an engine no longer announces a limit.
    def test_an_engine_that_names_no_limit_any_more_gets_its_share_again(self):
        callers = self.call()
        self.limited.limit = "2.3"
        time.sleep(4.0)
        self.limited.limit = None
        time.sleep(RECOVERY_S)
        since = time.monotonic()
        time.sleep(2.0)
        callers.close()
        mine, others = (sum(at > since for at in engine.arrivals) for engine in (self.limited, self.other))
        self.assertGreater(mine, 0.5 * others)
        self.assertEqual((callers.not_served(), set(callers.statuses())), ([], {200}))


class LimitedStreamsTest(LimitCase):
    SERVICE = "assistant"

    # Guards against streams that are counted when they end instead of when they reach their engine.
    def test_streams_that_outlast_the_window_keep_to_the_limit(self):
        for engine in (self.limited, self.other):
            engine.pause_s = 0.1
        callers = self.call(paths=[("POST", "/stream/x"), ("POST", "/stream-once/x")], per_s=15.0)
        time.sleep(1.0)
        self.limited.limit = "1.6"
        named_at = time.monotonic()
        time.sleep(NOTICE_S + OBSERVED_S)
        arrivals = self.check_limit(self.limited, named_at + NOTICE_S, 1.6)
        self.assertGreaterEqual(len(arrivals), 0.5 * 1.6 * OBSERVED_S)
        callers.close()

    # Guards against a broken stream that is resumed on an engine beyond that engine's limit.
    def test_streams_that_break_and_resume_elsewhere_keep_to_the_limit(self):
        for engine in (self.limited, self.other):
            engine.pause_s = 0.02
            engine.script = ["cut", "well"] * 500
        callers = self.call(paths=[("POST", "/stream/x")], per_s=15.0)
        time.sleep(1.0)
        for engine in (self.limited, self.other):
            engine.limit = "1.6"
        named_at = time.monotonic()
        resumed_before = self.resumed()
        time.sleep(NOTICE_S + OBSERVED_S)
        for engine in (self.limited, self.other):
            arrivals = self.check_limit(engine, named_at + NOTICE_S, 1.6)
            self.assertGreaterEqual(len(arrivals), 0.5 * 1.6 * OBSERVED_S)
        callers.close()
        self.assertGreater(self.resumed(), resumed_before)

    def resumed(self):
        """Number of streams resumed on an engine after they were broken off."""
        return sum("last-event-id" in seen for engine in (self.limited, self.other) for seen in engine.seen)


class SchedulerLostTest(LimitCase):
    # Guards against a limit that only the scheduler knows and that is lost with it.
    def test_the_next_scheduler_keeps_the_limit(self):
        scheduler = self.world.scheduler_of(self.SERVICE)
        callers = self.call(routers=[number for number in range(self.ROUTERS) if number != scheduler])
        time.sleep(1.0)
        self.limited.limit = "2.3"
        named_at = time.monotonic()
        time.sleep(3.0)
        self.world.routers[scheduler].kill()
        time.sleep(OBSERVED_S)
        self.check_limit(self.limited, named_at + NOTICE_S, 2.3)
        callers.close()


if __name__ == "__main__":
    unittest.main()
