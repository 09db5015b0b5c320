"""Routers that lose their network paths to engines, while callers, the store and the other routers still reach them."""

import time
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.engine_links import Cut
from tests.utils.platform_world import World
from tests.utils.steady_callers import SteadyCallers

PER_S = 40.0
DETECTION_S = 3.0
"""Time that routers have to notice a lost path."""
OBSERVED_S = 3.0
MIN_SHARE = 2 / 3
"""Least share of first tries served at the cut routers, relative to the others."""
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
"""More failures than these two together are too many."""
PATHS = (("POST", "/stream/1"), ("GET", "/status/1"), ("POST", "/book/1"))


class LinkedCase(WorldCase):
    ROUTERS = 4

    def setUp(self):
        self.world = World(routers=self.ROUTERS, linked=True, **self.SETTINGS).start()
        self.addCleanup(self.world.close)
        self.assistants = [self.world.engines["a-1"], self.world.engines["a-2"]]

    def steady_callers(self, routers):
        callers = SteadyCallers(world=self.world, paths=PATHS, per_s=PER_S, routers=routers).start()
        self.addCleanup(callers.close)
        return callers

    def served_share(self, callers, since):
        """Return how many of the answers to requests sent after ``since`` were successes, and their number."""
        callers.close()
        answers = [answer for sent_at, answer in callers.answers_by_sending_time if sent_at >= since]
        self.assertGreater(len(answers), 0)
        return sum(answer.status == 200 for answer in answers) / len(answers), len(answers)

    def check_served_alike(self, cut_routers, how, *, engines=None):
        """Cut routers from engines, and check that their callers are served about as often as the others'."""
        others = [number for number in range(self.ROUTERS) if number not in cut_routers]
        at_cut, at_others = self.steady_callers(cut_routers), self.steady_callers(others)
        time.sleep(1.0)
        self.world.links.cut(cut_routers, how, engines=engines)
        since = time.monotonic() + DETECTION_S
        time.sleep(DETECTION_S + OBSERVED_S)
        served, sent = self.served_share(at_cut, since)
        served_by_others, _ = self.served_share(at_others, since)
        failed = round(sent * (1.0 - served))
        print(f"{how}: {served:.3f} of {sent} first tries served at cut routers, {served_by_others:.3f} at others")
        self.assertGreaterEqual(served, MIN_SHARE * served_by_others)
        self.assertLessEqual(failed, MAX_FAILED + MAX_FAILED_SHARE * sent)
        self.assertGreaterEqual(served_by_others, 1.0 - MAX_FAILED_SHARE)


class LostLinksTest(LinkedCase):
    # Guards against routers that refuse every request because they lost their paths to engines which others reach.

    def test_connections_that_hang(self):
        self.check_served_alike((0, 1), Cut.HANG)

    def test_connections_that_are_refused(self):
        self.check_served_alike((0, 1), Cut.REFUSE)

    def test_most_routers_with_connections_that_are_reset(self):
        self.check_served_alike((1, 2, 3), Cut.RESET)


class PartitionedSchedulerTest(LinkedCase):
    # Guards against a scheduler that lost its own paths to engines and grants nothing to routers that reach them.

    def test_connections_of_the_scheduler_hang(self):
        scheduler = self.world.scheduler_of("assistant")
        self.check_served_alike((scheduler,), Cut.HANG)


if __name__ == "__main__":
    unittest.main()
