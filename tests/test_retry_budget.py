"""Retries as a share of successes."""

import unittest

from tests.utils.steward_fakes import Clock
from wagtailtrestle.entry.retry_budget import RETRY_FLOOR, RETRY_WINDOW_S, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.budget = RetryBudget(clock=self.clock)

    def allowed(self, tries):
        return sum(self.budget.allow() for _ in range(tries))

    def test_a_failing_service_gets_only_the_floor(self):
        # Every engine fails. Without a bound each request would be sent again and again,
        # and the retries alone would keep the engines down.
        self.assertEqual(self.allowed(1000), RETRY_FLOOR)

    def test_successes_earn_a_tenth(self):
        for _ in range(100):
            self.budget.on_success()
        self.assertEqual(self.allowed(1000), RETRY_FLOOR + 10)

    def test_old_successes_earn_nothing(self):
        for _ in range(1000):
            self.budget.on_success()
        self.clock.now += 10 * RETRY_WINDOW_S
        self.assertEqual(self.allowed(1000), RETRY_FLOOR)

    def test_the_floor_comes_back(self):
        self.allowed(10)
        self.clock.now += 3 * RETRY_WINDOW_S
        self.assertEqual(self.allowed(10), RETRY_FLOOR - 1)


if __name__ == "__main__":
    unittest.main()
