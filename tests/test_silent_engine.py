"""A sound engine that falls silent for about a second and goes on."""

import time
import unittest
from collections import Counter

from tests.test_lost_engine_links import LinkedCase
from tests.utils.engine_links import Cut
from tests.utils.steady_callers import SteadyCallers

PER_S = 6.0
SILENCE_S = 1.1
EVENTS = 40
PAUSE_S = 0.03
"""Streams last 1.2 s, so that some are in progress during the whole silence."""


class SilentSecondTest(LinkedCase):
    SETTINGS = {"caller_threads": 128}

    # Guards against a short silence taken for a crash or a loss: runs repeated elsewhere, requests blamed, engines
    # ejected, or callers refused beside an engine that works.
    def test_runs_go_on_and_nothing_is_repeated(self):
        for engine in self.assistants:
            engine.events, engine.pause_s = EVENTS, PAUSE_S
        callers = SteadyCallers(world=self.world, paths=[("POST", "/stream/1")], per_s=PER_S).start()
        self.addCleanup(callers.close)
        time.sleep(2.0)
        routers = range(self.ROUTERS)
        self.world.links.cut(routers, Cut.HANG, engines=["a-1"])
        time.sleep(SILENCE_S)
        self.world.links.heal(routers, engines=["a-1"])
        healed_at = time.monotonic()
        time.sleep(3.0)
        callers.close()
        answers = [answer for _, answer in callers.answers_by_sending_time]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertTrue(all(len(answer.event_ids) == EVENTS for answer in answers))
        runs = Counter(seen["request-id"] for engine in self.assistants for seen in engine.seen)
        self.assertEqual([request_id for request_id, count in runs.items() if count > 1], [])
        self.assertEqual([self.world.state(router)["crashes"]["incidents"] for router in routers], [0] * self.ROUTERS)
        used_again = [at for at in self.world.engines["a-1"].arrivals if at > healed_at + 1.0]
        self.assertGreater(len(used_again), 0)


if __name__ == "__main__":
    unittest.main()
