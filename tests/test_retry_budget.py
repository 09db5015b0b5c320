"""Retries of a cell as a share of its successes, over all routers."""

import unittest

from tests.utils.scheduler_fakes import Cell, Clock, ask, finished, register
from wagtailtrestle.capacity.retry_budget import (
    ARRIVAL_SPREAD_S,
    MIN_KNOWN_SHARE,
    RETRY_EXTRA,
    RETRY_WINDOW_S,
    RetryBudget,
    RetryLimits,
)
from wagtailtrestle.contracts.messages import Granted, Refused, RetryHistory
from wagtailtrestle.contracts.outcomes import Reason

ENTRIES = ("r1", "r2")


class RetryBudgetCase(unittest.TestCase):
    LIMITS = RetryLimits()

    def setUp(self):
        self.clock = Clock()
        self.budget = self.make()
        self.fill_window()

    def make(self):
        return RetryBudget(clock=self.clock, limits=lambda: self.LIMITS)

    def fill_window(self):
        """Advance the clock until the scheduler knows a whole window."""
        self.clock.now += 2 * RETRY_WINDOW_S

    def allowed(self, tries, *, entry="r1", entries=ENTRIES, budget=None):
        budget = budget or self.budget
        granted = 0
        for number in range(tries):
            if budget.has_budget(waiting=0, entries=entries):
                budget.spend(entry=entry, request_id=f"{entry}-{self.clock.now}-{number}")
                granted += 1
        return granted


class ShareTest(RetryBudgetCase):
    # Guards against retries that keep engines down, as each request is retried repeatedly while all fail.
    def test_a_failing_service_gets_only_the_extra(self):
        self.assertEqual(self.allowed(1000), RETRY_EXTRA)

    def test_successes_earn_a_tenth(self):
        for _ in range(100):
            self.budget.record_success("r1")
        self.assertEqual(self.allowed(1000), RETRY_EXTRA + 10)

    def test_old_successes_earn_nothing(self):
        for _ in range(1000):
            self.budget.record_success("r1")
        self.clock.now += RETRY_WINDOW_S + 0.1
        self.assertEqual(self.allowed(1000), RETRY_EXTRA)

    def test_extra_is_restored_after_the_window(self):
        self.allowed(10)
        self.clock.now += RETRY_WINDOW_S + ARRIVAL_SPREAD_S + 0.1
        self.assertEqual(self.allowed(10), RETRY_EXTRA)

    # Guards against a share that decays, so that it is spent again within the same window.
    def test_nothing_is_restored_within_the_window(self):
        for _ in range(100):
            self.budget.record_success("r1")
        self.assertEqual(self.allowed(1000), RETRY_EXTRA + 10)
        for _ in range(int(RETRY_WINDOW_S)):
            self.clock.now += RETRY_WINDOW_S / 10 - 0.01
            self.assertEqual(self.allowed(10), 0)

    # Guards against retries that wait for a slot and are then sent together, beyond the budget.
    def test_waiting_retries_count(self):
        self.assertTrue(self.budget.has_budget(waiting=RETRY_EXTRA - 1, entries=ENTRIES))
        self.assertFalse(self.budget.has_budget(waiting=RETRY_EXTRA, entries=ENTRIES))

    # Guards against retries that are charged although they reached no engine.
    def test_retry_that_was_never_sent_is_refunded(self):
        self.allowed(10)
        self.budget.spend(entry="r2", request_id="never-sent")
        self.budget.refund("never-sent")
        self.budget.refund("unknown")
        self.clock.now += RETRY_WINDOW_S + ARRIVAL_SPREAD_S + 0.1
        self.budget.spend(entry="r2", request_id="again")
        self.budget.refund("again")
        self.assertEqual(self.allowed(10), RETRY_EXTRA)


class RoutersTest(RetryBudgetCase):
    LIMITS = RetryLimits(extra=40.0, routers=10)

    # Guards against a partitioned router that uses the extra of the whole fleet.
    def test_partitioned_scheduler_has_only_a_part_of_the_extra(self):
        self.assertEqual(self.allowed(1000, entries=("r1",)), 4)
        self.assertEqual(self.allowed(1000, entries=ENTRIES), 4)

    # Guards against successes of a partitioned router that are spent on both sides of the partition.
    def test_successes_of_other_entries_are_dropped(self):
        for _ in range(100):
            self.budget.record_success("r2")
        self.budget.retain_successes({"r1"})
        self.assertEqual(self.allowed(1000, entries=("r1",)), 4)

    # Guards against a router whose retries no longer count once it dies.
    def test_retries_of_a_dead_router_still_count(self):
        self.allowed(1000, entry="r2")
        self.budget.retain_successes({"r1"})
        self.assertEqual(self.allowed(1000, entries=("r1",)), 0)


class HistoryTest(RetryBudgetCase):
    LIMITS = RetryLimits(extra=20.0)

    def history(self, *, up_s=100.0, retries=(), successes=()):
        return RetryHistory(up_s=up_s, retries_by_age_s=tuple(retries), successes_by_age_s=tuple(successes))

    # Guards against a new scheduler that grants again the budget that the previous one granted.
    def test_new_scheduler_continues_from_the_entries_histories(self):
        new = self.make()
        new.apply_history("r1", self.history(retries=(0, 3), successes=(50,)))
        new.apply_history("r2", self.history(retries=(0, 0, 4), successes=(0, 50)))
        self.assertEqual(self.allowed(1000, budget=new), 20 + 10 - 7)

    def test_repeated_history_counts_once(self):
        self.allowed(5)
        for _ in range(3):
            self.budget.apply_history("r1", self.history(retries=(5,), successes=(100,)))
        self.assertEqual(self.allowed(1000), 20 + 10 - 5)

    # Guards against a restarted router whose empty record the scheduler takes for all of its retries.
    def test_retries_of_a_previous_process_still_count(self):
        self.allowed(15)
        self.clock.now += 1.0
        self.budget.apply_history("r1", self.history(up_s=0.5))
        self.assertEqual(self.allowed(1000), 5)

    # Guards against a grant that is in flight while its router registers, and is not counted.
    def test_grant_in_flight_counts(self):
        self.allowed(3)
        self.budget.apply_history("r1", self.history(retries=(2,)))
        self.assertEqual(self.allowed(1000), 20 - 3)

    # Guards against a fleet that restarts completely and grants its whole budget each time.
    def test_freshly_started_routers_begin_with_a_part_of_the_budget(self):
        new = self.make()
        for entry in ENTRIES:
            new.apply_history(entry, self.history(up_s=0.1))
        self.assertEqual(self.allowed(1000, budget=new), MIN_KNOWN_SHARE * 20)
        self.clock.now += RETRY_WINDOW_S / 2
        self.assertEqual(self.allowed(1000, budget=new), 10 - MIN_KNOWN_SHARE * 20)

    # Guards against uncounted retries of routers that restarted together with the scheduler.
    def test_unknown_part_is_extrapolated_from_the_known_part(self):
        new = self.make()
        new.apply_history("r1", self.history(retries=(0, 8)))
        new.apply_history("r2", self.history(up_s=0.0))
        self.assertEqual(self.allowed(1000, budget=new), 2)


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=("e1", "e2"), slots=20, members=("r1",))
        self.cell.receive(register("r1"))
        self.cell.advance(RETRY_WINDOW_S)

    def submit(self, *request_ids):
        self.cell.receive(*[ask(request_id, is_retry=True) for request_id in request_ids])
        return self.cell.entries.ids(Granted), self.cell.entries.of(Refused)

    # Guards against a request that waits for a retry that it can't get.
    def test_retry_beyond_the_budget_is_refused_immediately(self):
        granted, refused = self.submit("a", "b", "c", "d")
        self.assertEqual(granted, ["a", "b", "c"])
        self.assertEqual([(each.request_id, each.reason) for each in refused], [("d", Reason.RETRY_BUDGET)])

    def test_first_run_is_not_a_retry(self):
        self.submit("a", "b", "c")
        self.cell.receive(ask("e"))
        self.assertEqual(self.cell.entries.ids(Granted)[-1], "e")

    def test_unused_slot_refunds_its_retry(self):
        self.submit("a", "b", "c")
        engine = self.cell.entries.of(Granted)[-1].engine
        self.cell.receive(finished("c", on=engine, result="RunNotSent", never_sent=True))
        self.assertEqual(self.submit("d")[0][-1], "d")

    # Guards against refunding a retry in use because another scheduler granted the same request elsewhere.
    def test_slot_of_another_scheduler_refunds_no_retry(self):
        self.submit("a", "b", "c")
        engine = self.cell.entries.of(Granted)[-1].engine
        other = "e2" if engine == "e1" else "e1"
        self.cell.receive(finished("c", on=other, result="RunNotSent", never_sent=True))
        self.assertEqual([each.request_id for each in self.submit("d")[1]], ["d"])


if __name__ == "__main__":
    unittest.main()
