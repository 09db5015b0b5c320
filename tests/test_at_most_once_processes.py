"""A booking with one idempotency key runs at most once, however often it is re-sent during faults."""

import threading
import time
import unittest

from tests.utils.running import BOOKING, PromiseChecks, Running, wait_until

SLOWDOWN_FACTOR = 25.0
"""Factor on the booking engine's service time of 20 ms, so that a run takes half a second."""

REPETITIONS = 6


class OneKeyTest(PromiseChecks, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = Running(routers=3).start()

    @classmethod
    def tearDownClass(cls):
        cls.running.close()

    def tearDown(self):
        self.running.faults("reservas-1", straggle=1.0, stream_kind="", stream_count=0)
        self.running.platform_faults()
        for name in self.running.routers:
            if not self.running.router(name).is_running():
                self.running.restart(name)

    def start_sending(self, planned, router, seen):
        """Send in a thread, as a caller that is still waiting."""
        sender = threading.Thread(
            target=lambda: seen.append(self.running.send(BOOKING, router=router, planned=planned))
        )
        sender.start()
        return sender

    def resend_of(self, planned):
        """Return the same request as its caller re-sends it."""
        return self.running.planned(BOOKING, caller_request_id=planned.caller_request_id)

    def check_at_most_one_run(self, planned, seen):
        """Check that there was at most one start, all complete answers are equal, and none exists without a run."""
        starts = self.running.starts(planned.caller_request_id)
        self.assertLessEqual(starts, 1)
        self.assertLessEqual(len({each.result.text for each in seen if each.result.complete}), 1)
        if starts == 0:
            self.assertEqual([each for each in seen if each.result.complete], [])
        self.assert_complete_answers_match(seen)
        return starts

    def test_simultaneous_sends_to_two_routers(self):
        # A caller's library sends the booking twice at the same moment, through two routers. Both
        # claim the key in the platform's store; one wins and runs it, the other waits for the
        # outcome and returns it. Both callers read the same complete answer.
        for _ in range(REPETITIONS):
            planned = self.running.planned(BOOKING)
            seen = []
            senders = [self.start_sending(self.resend_of(planned), name, seen) for name in self.running.routers[:2]]
            for sender in senders:
                sender.join()
            self.assertEqual(self.check_at_most_one_run(planned, seen), 1)
            self.assert_all_complete(seen)

    def test_resend_after_router_is_killed_during_the_run(self):
        # The caller's router is killed while the booking runs, and the caller re-sends it through
        # another. The key is claimed and its holder is dead, so the outcome of the run is not
        # known: the answer is "unknown", and there is no second run.
        running = self.running
        running.faults("reservas-1", straggle=SLOWDOWN_FACTOR)
        first, second = running.routers[:2]
        planned = running.planned(BOOKING)
        seen = []
        sender = self.start_sending(planned, first, seen)
        wait_until(lambda: running.starts(planned.caller_request_id), "the run's start")
        running.router(first).kill()
        sender.join()
        again = running.send(BOOKING, router=second, planned=self.resend_of(planned))
        self.assertEqual((again.result.status, again.result.executed), (409, "unknown"), again)
        self.assertEqual(self.check_at_most_one_run(planned, [*seen, again]), 1)

    def test_resend_after_router_is_killed_before_the_run(self):
        # As above, but the router is killed right after it received the call: before or after its
        # claim, before or after the dispatch. The second router's answer must agree with the
        # record: "unknown" if the claim is stored, the one complete answer if it is not.
        running = self.running
        first, second = running.routers[:2]
        for delay_s in (0.0, 0.004, 0.012):
            planned = running.planned(BOOKING)
            seen = []
            sender = self.start_sending(planned, first, seen)
            time.sleep(delay_s)
            running.router(first).kill()
            sender.join()
            again = running.send(BOOKING, router=second, planned=self.resend_of(planned))
            starts = self.check_at_most_one_run(planned, [*seen, again])
            self.assertNotEqual(again.result.executed, "no", again)
            print(
                f"killed {delay_s * 1000:.0f} ms after the call: {starts} run, then {again.result.reason or 'complete'}"
            )
            running.restart(first)

    def test_answer_lost_after_the_run(self):
        # The service ran the booking and its answer was cut off. The caller is told that it may
        # have run, also when it re-sends through any other router; there is no second run.
        running = self.running
        running.faults("reservas-1", stream_kind="cut", stream_count=1)
        planned = running.planned(BOOKING)
        seen = [running.send(BOOKING, router=name, planned=self.resend_of(planned)) for name in running.routers]
        self.assertEqual([each for each in seen if each.result.complete or each.result.executed == "no"], [])
        self.assertEqual(self.check_at_most_one_run(planned, seen), 1)

    def test_platform_loses_the_answers_of_writes(self):
        # The platform writes each claim and then loses its answer. The claim is read back: either it
        # is proved and the booking runs, or the booking is refused as "not run" and did not run.
        # Re-sent through every router, it runs at most once.
        running = self.running
        running.platform_faults(lose_answers=-1)
        for _ in range(3):
            planned = running.planned(BOOKING)
            seen = [running.send(BOOKING, router=name, planned=self.resend_of(planned)) for name in running.routers]
            starts = self.check_at_most_one_run(planned, seen)
            for each in seen:
                self.assertTrue(each.result.complete or starts == 0 or each.result.executed != "no", each)
            print(f"write answers lost: {starts} run, {[each.result.reason or 'complete' for each in seen]}")

    def test_claiming_router_is_paused(self):
        # The first router is paused while it handles the booking, and the caller re-sends it through
        # another. When the paused router resumes it may still dispatch; if the second one had run
        # the booking too, the member would be charged twice.
        running = self.running
        running.faults("reservas-1", straggle=SLOWDOWN_FACTOR / 5)
        first, second = running.routers[:2]
        for delay_s in (0.002, 0.01):
            planned = running.planned(BOOKING)
            seen = []
            sender = self.start_sending(planned, first, seen)
            time.sleep(delay_s)
            running.router(first).freeze()
            again = running.send(BOOKING, router=second, planned=self.resend_of(planned))
            running.router(first).resume()
            sender.join()
            starts = self.check_at_most_one_run(planned, [*seen, again])
            print(
                f"paused {delay_s * 1000:.0f} ms after the call: {starts} run, then {again.result.reason or 'complete'}"
            )
            self.assertTrue(starts == 0 or again.result.executed != "no", again)


if __name__ == "__main__":
    unittest.main()
