"""Rollouts of a service to another version, with routers, engines and callers in real time."""

import os
import time
import unittest

from tests.utils.platform_world import wait_until
from tests.utils.rollout_world import BOOK_PATH, SHARE, SLACK, Callers, RolloutWorld, fails

DURATION_S = 12.0
RATE_PER_S = 60.0
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
REPEATS = int(os.environ.get("ROLLOUT_REPEATS", "1"))
"""Repetitions of each test; set with ``ROLLOUT_REPEATS=20 python -m unittest tests.test_rollouts``."""


class RolloutTest(unittest.TestCase):
    def run_rollout(self, *, after_order=None, duration_s=DURATION_S, end="completed", **version):
        """Order a version and wait until its rollout ends; return the world and the callers' answers by status."""
        world = RolloutWorld(**version)
        self.addCleanup(world.close)
        world.start()
        callers = Callers(world=world, rate_per_s=RATE_PER_S).start()
        time.sleep(1.0)
        world.order(duration_s=duration_s)
        if after_order is not None:
            after_order(world)
        until = world.ordered_at + duration_s + 1.0
        while world.state() not in ("completed", "rolled_back") and time.monotonic() < until:
            time.sleep(0.05)
        time.sleep(1.5)
        counts = callers.stop()
        new, old = len(world.arrivals(world.new)), len(world.arrivals(world.old))
        ended_s = None if world.ended_at is None else round(world.ended_at - world.ordered_at, 1)
        print(f"{world.state()} after {ended_s} s, {new} of {new + old} on the new version, answers {dict(counts)}")
        self.assertEqual(world.state(), end)
        self.assertLess(world.ended_at, world.ordered_at + duration_s)
        return world, counts

    def assert_exposed_little(self, world):
        """Check that the bad version got at most its share, and nothing five seconds after its fiftieth bad answer."""
        new, old = world.arrivals(world.new), world.arrivals(world.old)
        self.assertLessEqual(len(new), SHARE * (len(new) + len(old)) + SLACK)
        bad = sorted(at for engine in world.new for at in engine.bad_at)
        if len(bad) >= BAD_ANSWERS:
            self.assertLess(new[-1], bad[BAD_ANSWERS - 1] + ROLLBACK_S)
        self.assertLess(new[-1], world.ended_at + 0.5)

    def test_good_version_is_completed_and_no_caller_notices(self):
        # All callers get their answers. The old engines stop as soon as the rollout is reported as completed, so they
        # must have no runs at that moment and get none afterwards.
        for _ in range(REPEATS):
            world, counts = self.run_rollout()
            self.assertEqual(set(counts), {200})
            self.assertLess(world.arrivals(world.old)[-1], world.ended_at)

    def test_version_that_fails_half_of_its_runs_is_rolled_back(self):
        # Few callers see a failure: repeatable calls are retried on the old version, while bookings get the engine's
        # own answer.
        for _ in range(REPEATS):
            world, _ = self.run_rollout(is_bad=fails(0.5), end="rolled_back")
            self.assert_exposed_little(world)

    def test_version_that_fails_a_fifth_of_its_runs_is_rolled_back(self):
        for _ in range(REPEATS):
            world, _ = self.run_rollout(is_bad=fails(0.2), end="rolled_back")
            self.assert_exposed_little(world)

    def test_version_that_fails_on_one_route_later_only_is_rolled_back(self):
        for _ in range(REPEATS):
            world, _ = self.run_rollout(is_bad=fails(0.5, path=BOOK_PATH, after_s=3.0), end="rolled_back")
            self.assert_exposed_little(world)

    def test_version_that_fails_only_when_full_is_rolled_back(self):
        # The few requests of an untested version would never fill an engine if they were spread thinly. Here the old
        # engines are nearly full, so the new ones would be too.
        for _ in range(REPEATS):
            world, _ = self.run_rollout(is_bad=fails(0.5, when_full=True), work_s=0.15, end="rolled_back")
            self.assert_exposed_little(world)

    def test_version_that_is_four_times_slower_is_rolled_back(self):
        for _ in range(REPEATS):
            world, _ = self.run_rollout(slow_by=lambda engine, path: 4.0, end="rolled_back")
            self.assert_exposed_little(world)

    def test_bad_version_is_rolled_back_though_the_scheduler_dies(self):
        # The router that coordinates the rollout is killed two seconds after the order. The next one must resume from
        # the last progress report: it neither starts counting exposures again nor loses the order.
        def kill_scheduler(world):
            time.sleep(2.0)
            coordinators = [router for router in world.routers if world.coordinates(router)]
            self.assertEqual(len(coordinators), 1)
            coordinators[0].kill()

        world, _ = self.run_rollout(is_bad=fails(0.3), after_order=kill_scheduler, end="rolled_back")
        self.assert_exposed_little(world)

    def test_store_restored_from_a_backup_does_not_reverse_the_verdict(self):
        # A restored backup lacks the status of a version that was rolled back. The status must be written again, and
        # the version's engines must get nothing meanwhile.
        world = RolloutWorld(is_bad=fails(0.5))
        self.addCleanup(world.close)
        world.store.epoch = 1
        world.store.put("wagtailtrestle-epochs", "main", {"epoch": 1})
        world.start()
        callers = Callers(world=world, rate_per_s=RATE_PER_S).start()
        world.order(duration_s=DURATION_S)
        wait_until(lambda: world.state() == "running", "the rollout is reported as running")
        backup = world.store.backup()
        wait_until(lambda: world.state() == "rolled_back", "the version is rolled back")
        ended_at = time.monotonic()
        world.store.restore_after_outage(backup)
        wait_until(lambda: world.state() == "rolled_back", "the rollback is reported again")
        time.sleep(1.0)
        callers.stop()
        self.assertLess(world.arrivals(world.new)[-1], ended_at + 0.5)

    def test_newer_order_before_the_previous_one_ended(self):
        # The operator orders another version during a trial. The previous target is as untested as the new one;
        # treated as an ordinary version, it would get a full share of all requests.
        world = RolloutWorld()
        self.addCleanup(world.close)
        world.start()
        callers = Callers(world=world, rate_per_s=RATE_PER_S).start()
        world.order(duration_s=DURATION_S)
        time.sleep(2.0)
        before = len(world.arrivals(world.new))
        world.store.put("rollouts", "booking", {"service": "booking", "target": "v3", "duration_s": DURATION_S})
        time.sleep(2.0)
        callers.stop()
        self.assertLessEqual(len(world.arrivals(world.new)) - before, 3)
        self.assertEqual(world.store.status("rollouts", "booking"), {"state": "running", "target": "v3"})


class OrderTest(unittest.TestCase):
    def start(self):
        world = RolloutWorld()
        self.addCleanup(world.close)
        return world.start()

    def test_running_status_is_written_immediately(self):
        world = self.start()
        world.order(duration_s=DURATION_S)
        wait_until(lambda: world.state() == "running", "the rollout is reported as running")

    def test_engines_listed_before_their_order_get_nothing(self):
        # The old version serves the callers. Engines of a new one are listed before its order is written, so that the
        # routers cannot have read the order yet.
        world = self.start()
        time.sleep(0.5)
        for engine in world.new:
            world.store.put("servers", engine.name, engine.entry())
            world.engines[engine.name] = engine
        world.ordered_at = time.monotonic()
        world.store.put("rollouts", "booking", {"service": "booking", "target": "v2", "duration_s": DURATION_S})
        time.sleep(0.5)
        statuses = {world.request("GET", "/status/1", request_id=f"q-{number}").status for number in range(10)}
        self.assertEqual(statuses, {200})
        self.assertLessEqual(len(world.arrivals(world.new)), 1)

    def test_unreadable_orders_are_not_followed(self):
        world = self.start()
        for order in ("v2", {"service": "other", "target": "v2", "duration_s": 3}, {"service": "booking", "target": 7}):
            world.store.put("rollouts", "booking", order)
            time.sleep(0.2)
        self.assertIsNone(world.state())
        self.assertEqual(world.request("GET", "/status/1", request_id="q").status, 200)


if __name__ == "__main__":
    unittest.main()
