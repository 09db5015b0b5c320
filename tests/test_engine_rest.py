"""Engines that reject a request and ask the router that sent it to back off."""

import time
import unittest
from collections import defaultdict

from tests.test_platform_router import WorldCase
from tests.utils.steady_callers import SteadyCallers

PER_S = 40.0
BACK_OFF_S = 3.0
SLACK_S = 0.5
"""Time after the answer during which requests already in flight may still arrive."""
MAX_PER_BACK_OFF = 2
OBSERVED_S = 8.0
WORK_S = 0.03


class BackOffCase(WorldCase):
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

    def reject_all(self, engines):
        """Make these engines reject all requests."""
        for engine in engines:
            engine.retry_after = str(BACK_OFF_S)
            engine.script = ["full"] * 10_000

    def check_back_off(self, engine):
        """Check that no router sent too much between half a second after a rejection and the end of the back-off."""
        times_by_router = defaultdict(list)
        for at, router in engine.rejections:
            times_by_router[router].append(at)
        for times in times_by_router.values():
            for back_off_at in times:
                within = [at for at in times if back_off_at + SLACK_S < at < back_off_at + BACK_OFF_S]
                self.assertLessEqual(len(within), MAX_PER_BACK_OFF)
        self.assertGreater(len(engine.rejections), 0)


class BackOffTest(BackOffCase):
    # Guards against a router that keeps sending to an engine that asked it to back off.
    def test_back_off_of_one_engine_is_kept_and_no_request_is_refused(self):
        self.reject_all(self.engines[:1])
        time.sleep(OBSERVED_S)
        self.check_back_off(self.engines[0])
        self.callers.close()
        self.assertEqual((self.callers.not_served(), set(self.callers.statuses())), ([], {200}))

    # Guards against the same when all engines ask for it, so that no other engine is left to send to.
    def test_back_off_of_all_engines_is_kept_and_refusals_have_a_retry_after(self):
        self.reject_all(self.engines)
        time.sleep(OBSERVED_S)
        for engine in self.engines:
            self.check_back_off(engine)
            engine.script = []
        time.sleep(BACK_OFF_S + 1.0)
        answered = len(self.callers.answers)
        time.sleep(1.0)
        self.callers.close()
        refused = [answer for answer in self.callers.answers if answer.status != 200]
        self.assertEqual({answer.status for answer in refused} - {429, 503}, set())
        self.assertTrue(all(float(answer.headers["Retry-After"]) > 0.0 for answer in refused))
        self.assertEqual(set(self.callers.statuses()[answered:]), {200})


if __name__ == "__main__":
    unittest.main()
