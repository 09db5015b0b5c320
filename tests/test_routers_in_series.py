"""Routers are killed, restarted and paused in series under a flood; callers of another router are not affected."""

import os
import time
import unittest

from tests.test_tier_order import TIME_SCALE, Flood
from tests.utils.disturbances import KILL, PAUSE, RESTART, SCHEDULER, Disturbance, Event, random_plan, send_steadily
from tests.utils.running import PromiseChecks, Running

CALLERS = 60
FLOOD_S = 2.0
"""Time for tagging to fill every engine and its queue."""
SEEDS = [int(seed) for seed in os.environ.get("SERIES_SEEDS", "3 17").split()]
"""For other seeds, ``SERIES_SEEDS="1 2 3" python -m unittest tests.test_routers_in_series``."""


class RoutersInSeriesTest(PromiseChecks, unittest.TestCase):
    # Guards against questions and plans lost when schedulers change under a flood of tagging that fills every engine.
    # They are sent through one undisturbed router while others, most often the scheduler, are killed, restarted or
    # paused. Each new scheduler knows only what entries and engines report to it; anything it grants in excess waits
    # in an engine's queue, in order of arrival. Every question and plan must get a complete answer.

    def run_series(self, routers, events):
        running = Running(routers=routers, time_scale=TIME_SCALE).start()
        flood = Flood(running=running, callers=CALLERS).start()
        try:
            time.sleep(FLOOD_S)
            disturbance = Disturbance(running=running, events=events)
            disturbance.start_events(time.monotonic())
            results = send_steadily(running, router=disturbance.undisturbed_router)
            disturbance.wait()
            self.assert_promises(running, [*results, *list(flood.seen)])
        finally:
            running.close()
            flood.stop()
        slowest_s = max(each.result.total_s for each in results if each.result.planned.kind.name == "question")
        print(f"{routers} routers, {disturbance.history}: slowest question {slowest_s:.2f} s")
        lost = [each for each in results if not each.result.complete]
        self.assertEqual(lost, [], f"{len(lost)} of {len(results)}: {disturbance.history}")

    def test_scheduler_started_again_and_another_router_killed(self):
        events = [
            Event(at_s=0.57, kind=RESTART, on=SCHEDULER, for_s=0.5),
            Event(at_s=4.83, kind=KILL, on="other"),
        ]
        self.run_series(4, events)

    def test_scheduler_paused_and_then_the_next_one(self):
        events = [
            Event(at_s=1.76, kind=PAUSE, on=SCHEDULER, for_s=4.0),
            Event(at_s=4.45, kind=PAUSE, on=SCHEDULER, for_s=3.0),
        ]
        self.run_series(5, events)

    def test_scheduler_paused_twice(self):
        events = [
            Event(at_s=1.53, kind=PAUSE, on=SCHEDULER, for_s=3.0),
            Event(at_s=8.00, kind=PAUSE, on=SCHEDULER, for_s=3.0),
        ]
        self.run_series(3, events)

    def test_events_that_a_seed_gives(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_series(*random_plan(seed))


if __name__ == "__main__":
    unittest.main()
