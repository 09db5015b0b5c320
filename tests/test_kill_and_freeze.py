"""The scheduler is killed or paused under load: the other routers keep serving, and nothing runs twice."""

import time
import unittest

from tests.utils.running import PLAN, QUESTION, TAGGING, PromiseChecks, Running, longest_gap_s, wait_until

RATE = 20.0
BEFORE_S = 1.0
PAUSE_S = 6.0
AFTER_S = 4.0
SETTLED_S = 1.5
GUARANTEED_GAP_S = 2.0
LOADED_VM_MARGIN_S = 2.0


class SchedulerLostTest(PromiseChecks, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = Running(routers=3).start()

    @classmethod
    def tearDownClass(cls):
        cls.running.close()

    def check_gap(self, seen, lost_at, what):
        gap_s = longest_gap_s(seen, since=lost_at, until=lost_at + AFTER_S)
        print(f"{what}: longest time without a first token {gap_s:.2f} s (guaranteed {GUARANTEED_GAP_S:.0f} s)")
        self.assertLess(gap_s, GUARANTEED_GAP_S + LOADED_VM_MARGIN_S)

    def test_killed_scheduler(self):
        # Guards against requests of other routers lost with the scheduler's queue. The other routers miss its
        # heartbeats, choose a new scheduler and register the requests they hold with it, so their callers only
        # wait a little longer. Only requests that the dead process had accepted itself are lost.
        scheduler = self.running.scheduler_of()
        load = self.running.load(kinds=(QUESTION, PLAN, TAGGING), rate=RATE).start()
        time.sleep(BEFORE_S)
        killed_at = time.monotonic()
        self.running.router(scheduler).kill()
        time.sleep(AFTER_S)
        seen = load.stop()
        others = [each for each in seen if each.router != scheduler]
        self.check_gap(others, killed_at, "scheduler killed")
        self.assertNotEqual(self.running.scheduler_of(), scheduler)
        self.assert_promises(self.running, seen)
        self.assert_all_complete(others)
        self.assert_all_complete([each for each in seen if each.ended_at < killed_at])
        self.running.restart(scheduler)

    def test_paused_scheduler(self):
        # As above, but the scheduler is stopped like a paused VM and resumes after it has been replaced.
        # It still has its old queue and view, and must detect the pause before it grants or
        # dispatches anything based on them.
        scheduler = self.running.scheduler_of()
        others = [name for name in self.running.routers if name != scheduler]
        load = self.running.load(kinds=(QUESTION, PLAN, TAGGING), rate=RATE).start()
        time.sleep(BEFORE_S)
        paused_at = time.monotonic()
        self.running.router(scheduler).freeze()
        time.sleep(PAUSE_S)
        self.assertNotEqual(self.running.scheduler_of(observer=others[0]), scheduler)
        self.running.router(scheduler).resume()
        resumed_at = time.monotonic()
        time.sleep(SETTLED_S)
        seen = load.stop()
        of_others = [each for each in seen if each.router != scheduler]
        self.check_gap(of_others, paused_at, "scheduler paused")
        self.assert_promises(self.running, seen)
        self.assert_all_complete(of_others)
        self.assert_all_complete([each for each in seen if each.sent_at > resumed_at])
        wait_until(self.running.routers_agree, "all routers to agree on one scheduler again")


if __name__ == "__main__":
    unittest.main()
