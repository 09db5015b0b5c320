"""Engines that announce in their answers that they are leaving, before any other source reports it."""

import time
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.steady_callers import SteadyCallers

PER_S = 40.0
NOTICE_S = 1.0
"""Time within which every router has received an answer from the engine, and so its notice."""
DRAIN_S = 2.0
"""Time after which a router that received the notice sends nothing more."""
OBSERVED_S = 3.0
WORK_S = 0.03


class LeavingAnswersTest(WorldCase):
    ROUTERS = 4
    SERVICE = "booking"
    PATHS = (("GET", "/status/1"), ("POST", "/book/1"))

    def setUp(self):
        super().setUp()
        self.leaving, self.other = (engine for engine in self.world.engines.values() if engine.service == self.SERVICE)
        for engine in (self.leaving, self.other):
            engine.delay_s = WORK_S
        self.callers = SteadyCallers(world=self.world, paths=self.PATHS, per_s=PER_S).start()
        self.addCleanup(self.callers.close)
        time.sleep(1.0)

    def check_nothing_arrives(self):
        marked_at = time.monotonic()
        time.sleep(NOTICE_S + DRAIN_S + OBSERVED_S)
        late = [at for at in self.leaving.arrivals if at > marked_at + NOTICE_S + DRAIN_S]
        self.assertEqual(len(late), 0)
        self.callers.close()
        self.assertEqual((self.callers.not_served(), set(self.callers.statuses())), ([], {200}))

    # Guards against work sent to an engine whose notice reached the routers while the store that they query was down.
    def test_an_engine_that_leaves_while_the_store_is_away_gets_nothing_more(self):
        self.world.store.down = True
        self.leaving.leaving = True
        self.check_nothing_arrives()

    # Guards against trusting the engine's entry in the store, which still says ready, over the engine itself.
    def test_an_engine_whose_entry_says_ready_all_the_while_gets_nothing_more(self):
        self.leaving.leaving = True
        self.check_nothing_arrives()

    # Guards against a notice that is lost with the scheduler while the store can't be queried.
    def test_the_next_scheduler_knows_it(self):
        self.world.store.down = True
        self.leaving.leaving = True
        time.sleep(NOTICE_S)
        scheduler = self.world.scheduler_of(self.SERVICE)
        self.world.routers[scheduler].kill()
        killed_at = time.monotonic()
        time.sleep(DRAIN_S + OBSERVED_S)
        self.assertEqual([at for at in self.leaving.arrivals if at > killed_at + DRAIN_S], [])
        arrivals_elsewhere = [at for at in self.other.arrivals if at > killed_at + DRAIN_S]
        self.assertGreater(len(arrivals_elsewhere), 0.5 * OBSERVED_S * PER_S)


class StrayNoticeTest(WorldCase):
    # Guards against an engine taken out of use because of an answer that another engine sent.
    def test_an_answer_with_another_id_takes_no_engine_out(self):
        engines = [engine for engine in self.world.engines.values() if engine.service == "booking"]
        for engine in engines:
            engine.leaving = True
            engine.script = ["crossed"] * 2
        for number in range(2):
            self.world.request("GET", "/status/1", request_id=f"r-{number}")
        for engine in engines:
            engine.leaving, engine.script = False, []
        self.assertEqual(self.world.request("GET", "/status/1", request_id="r-9").status, 200)


class LeavingStreamsTest(LeavingAnswersTest):
    # The same for an engine that reports its load, but whose reports don't say that it is leaving.
    SERVICE = "assistant"
    PATHS = (("POST", "/stream/x"), ("POST", "/stream-once/x"))


if __name__ == "__main__":
    unittest.main()
