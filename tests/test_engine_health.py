import unittest

from wagtailtrestle.engines.health import MIN_SHARE, EngineHealth

NAMES = tuple(f"engine-{number}" for number in range(9))


def finish_runs(health, *, start_s, end_s, slow=None, ratio=5.0):
    """Finish a run on every engine twice a second; returns how often the share of ``slow`` changed."""
    changes = 0
    now = start_s
    while now < end_s:
        before = health.share(slow, now) if slow else 1.0
        for name in NAMES:
            health.on_slowdown(name, ratio if name == slow else 1.0, now)
        changes += bool(slow) and health.share(slow, now) != before
        now += 0.5
    return changes


class FailureTest(unittest.TestCase):
    def test_silent_engine_is_ejected_then_probed_with_one_run(self):
        health = EngineHealth(engines=NAMES)
        for _ in range(3):
            health.on_outcome(NAMES[0], "RunSilent", 10.0)
        self.assertFalse(health.available(NAMES[0], 10.1))
        self.assertEqual(health.share(NAMES[0], 10.1), 0.0)
        self.assertTrue(health.available(NAMES[0], 12.1))
        self.assertGreater(health.share(NAMES[0], 12.1), 0.0)
        self.assertLess(health.share(NAMES[0], 12.1), 0.05)
        health.on_outcome(NAMES[0], "RunNotSent", 12.2)
        self.assertFalse(health.available(NAMES[0], 16.1))
        self.assertTrue(health.available(NAMES[0], 16.3))
        health.on_outcome(NAMES[0], "RunDone", 16.4)
        self.assertEqual(health.share(NAMES[0], 16.5), 1.0)

    def test_runs_lost_in_one_crash_count_as_one_ejection(self):
        health = EngineHealth(engines=NAMES)
        for _ in range(14):
            health.on_outcome(NAMES[0], "RunCut", 10.0)
        self.assertTrue(health.available(NAMES[0], 12.1))

    def test_cancelled_runs_are_not_failures(self):
        health = EngineHealth(engines=NAMES)
        for _ in range(20):
            health.on_outcome(NAMES[0], "RunCancelled", 10.0)
        self.assertEqual(health.share(NAMES[0], 10.0), 1.0)

    def test_router_with_a_faulty_link_keeps_most_engines(self):
        # A router with a faulty network link sees runs fail on every engine although the
        # engines are healthy. If it ejected all of them, it would refuse every request.
        health = EngineHealth(engines=NAMES)
        for now in range(60):
            for name in NAMES:
                health.on_outcome(name, "RunNotSent", float(now))
            ejected = [name for name in NAMES if not health.available(name, float(now))]
            self.assertLessEqual(len(ejected), 3)

    def test_last_engine_is_never_ejected(self):
        health = EngineHealth(engines=NAMES[:1])
        for _ in range(10):
            health.on_outcome(NAMES[0], "RunSilent", 1.0)
        self.assertTrue(health.available(NAMES[0], 1.0))
        self.assertEqual(health.share(NAMES[0], 1.0), 1.0)


class StragglerTest(unittest.TestCase):
    def test_straggler_loses_its_share_within_seconds_and_regains_it(self):
        health = EngineHealth(engines=NAMES)
        finish_runs(health, start_s=0.0, end_s=10.0)
        changes = finish_runs(health, start_s=10.0, end_s=14.0, slow=NAMES[0])
        self.assertLessEqual(health.share(NAMES[0], 14.0), 0.25)
        changes += finish_runs(health, start_s=14.0, end_s=30.0, slow=NAMES[0])
        self.assertGreaterEqual(health.share(NAMES[0], 30.0), MIN_SHARE)
        self.assertLessEqual(changes, 4)
        finish_runs(health, start_s=30.0, end_s=50.0)
        self.assertEqual(health.share(NAMES[0], 50.0), 1.0)

    def test_share_near_the_threshold_does_not_oscillate(self):
        # A share that oscillates moves work back and forth, and each move costs a
        # prefill; between the two ratios the share stays as it is.
        health = EngineHealth(engines=NAMES)
        self.assertEqual(finish_runs(health, start_s=0.0, end_s=60.0, slow=NAMES[0], ratio=1.7), 0)

    def test_equally_slow_engines_are_not_stragglers(self):
        health = EngineHealth(engines=NAMES)
        for now in range(30):
            for name in NAMES:
                health.on_slowdown(name, 4.0, float(now))
        self.assertEqual({health.share(name, 30.0) for name in NAMES}, {1.0})
