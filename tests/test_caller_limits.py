import unittest

from wagtailtrestle.callers.limits import Admitted, CallerLimits, Full, ReceiveLimit, max_held_requests

HIGH, MIDDLE, LOW = 0, 1, 2


def limits(held=4, body_bytes=1000):
    return CallerLimits(held=held, body_bytes=body_bytes)


def admit(limits, request_id, tier, *, body_bytes=10, repeatable=True, service="one"):
    return limits.admit(request_id=request_id, service=service, tier=tier, body_bytes=body_bytes, repeatable=repeatable)


class TestHolding(unittest.TestCase):
    def test_capacity_is_acquired_and_released(self):
        router = limits(held=1)
        self.assertEqual(admit(router, "a", LOW), Admitted())
        self.assertIsInstance(admit(router, "b", LOW), Full)
        router.release(request_id="a", held_s=0.1)
        self.assertEqual(admit(router, "b", LOW), Admitted())

    def test_some_threads_are_always_left_to_refuse(self):
        self.assertEqual([max_held_requests(threads) for threads in (1, 8, 16, 128)], [1, 4, 12, 112])

    def test_retry_after_of_a_full_router_is_the_mean_hold_time(self):
        router = limits()
        self.assertEqual(router.retry_after_s(), 1.0)
        self.hold(router, held_s=8.0)
        for _ in range(100):
            router.release(request_id="refused", held_s=0.0)
        self.assertAlmostEqual(router.retry_after_s(), 8.0, delta=0.1)
        self.hold(router, held_s=900.0)
        self.assertEqual(router.retry_after_s(), 60.0)

    def hold(self, router, *, held_s):
        for number in range(200):
            admit(router, str(number), LOW)
            router.release(request_id=str(number), held_s=held_s)


class TestSharing(unittest.TestCase):
    def test_overloaded_service_leaves_capacity_for_another_of_its_tier(self):
        # Callers of one service see router_full though its engines are idle: requests of the same tier
        # to a service without free engines came first and occupy the router's whole capacity.
        router = limits(held=6)
        for number in range(6):
            admit(router, f"slow-{number}", HIGH, service="slow")
        displaced = [admit(router, f"quick-{number}", HIGH, service="quick") for number in range(3)]
        self.assertEqual([outcome.displaced for outcome in displaced], [("slow-5",), ("slow-4",), ("slow-3",)])
        self.assertIsInstance(admit(router, "quick-3", HIGH, service="quick"), Full)
        self.assertIsInstance(admit(router, "slow-6", HIGH, service="slow"), Full)

    def test_runs_of_the_same_tier_are_not_displaced(self):
        router = limits(held=2)
        for number in range(2):
            admit(router, f"slow-{number}", HIGH, service="slow")
            router.mark_running(request_id=f"slow-{number}")
        self.assertIsInstance(admit(router, "quick", HIGH, service="quick"), Full)


class TestDisplacing(unittest.TestCase):
    def test_flood_of_the_lowest_tier_is_displaced_by_higher_tiers(self):
        # The caller of a booking would see router_full while tagging occupies every thread.
        # Tagging fills the router, then bookings arrive: each must be held and displace one
        # tagging request, and only requests beyond the limit are refused.
        router = limits(held=4)
        for number in range(4):
            admit(router, f"tag-{number}", LOW)
        self.assertIsInstance(admit(router, "tag-4", LOW), Full)
        displaced = [admit(router, f"book-{number}", HIGH).displaced for number in range(4)]
        self.assertEqual(displaced, [("tag-3",), ("tag-2",), ("tag-1",), ("tag-0",)])
        self.assertIsInstance(admit(router, "book-4", HIGH), Full)

    def test_the_lowest_tier_goes_first_and_waiting_before_running(self):
        router = limits(held=3)
        admit(router, "middle", MIDDLE)
        admit(router, "low-running", LOW)
        admit(router, "low-waiting", LOW)
        router.mark_running(request_id="low-running")
        order = [admit(router, f"high-{number}", HIGH).displaced[0] for number in range(3)]
        self.assertEqual(order, ["low-waiting", "low-running", "middle"])

    def test_a_run_that_may_not_be_repeated_is_never_displaced(self):
        # If a charge were displaced during its run, a family would be told "unknown" only to free
        # capacity of this router. Its thread marks the run as started, then the router fills.
        router = limits(held=1)
        admit(router, "charge", LOW, repeatable=False)
        self.assertTrue(router.mark_running(request_id="charge"))
        self.assertIsInstance(admit(router, "book", HIGH), Full)

    def test_a_displaced_request_is_not_sent_any_more(self):
        # Its caller is told that it was not executed. Its thread receives the grant just after the
        # request was displaced: ``mark_running`` must return ``False``, so that it isn't sent.
        router = limits(held=1)
        admit(router, "charge", LOW, repeatable=False)
        self.assertEqual(admit(router, "book", HIGH).displaced, ("charge",))
        self.assertFalse(router.mark_running(request_id="charge"))

    def test_enough_is_displaced_for_a_large_body_and_nothing_if_it_can_not_fit(self):
        router = limits(held=10, body_bytes=100)
        for number in range(4):
            admit(router, f"tag-{number}", LOW, body_bytes=25)
        self.assertIsInstance(admit(router, "report", HIGH, body_bytes=101), Full)
        self.assertEqual(router.usage()["held"], 4)
        self.assertEqual(admit(router, "plan", HIGH, body_bytes=50).displaced, ("tag-3", "tag-2"))
        self.assertEqual(router.usage()["body_bytes"], 100)


class TestReceiving(unittest.TestCase):
    def test_lower_tiers_leave_memory_for_large_bodies_of_the_highest(self):
        # A flood of long reports for tagging is being received when a plan of the same size arrives.
        # The flood is limited to three quarters of the memory, so the plan can still be read.
        limit = ReceiveLimit(total_bytes=400_000, max_bytes=100_000)
        taken = [limit.try_reserve(size=100_000, highest=False) for _ in range(4)]
        self.assertEqual(taken, [True, True, True, False])
        self.assertTrue(limit.try_reserve(size=100_000, highest=True))
        self.assertFalse(limit.try_reserve(size=100_000, highest=True))
        limit.release(size=100_000)
        self.assertTrue(limit.try_reserve(size=100_000, highest=True))

    def test_small_bodies_are_always_read(self):
        limit = ReceiveLimit(total_bytes=100_000, max_bytes=100_000)
        limit.try_reserve(size=100_000, highest=True)
        self.assertTrue(limit.try_reserve(size=1000, highest=False))
