"""One booking with one idempotency key, sent again and again through faults: at most one run."""

import threading
import time
import unittest

from tests.utils.running import BOOKING, PromiseChecks, Running, wait_until

SLOW_SERVICE = 25.0
"""Factor on the booking engine's time of 20 ms: a run lasts half a second."""

MANY = 6


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
        """Send in a thread, as a caller that has not given up yet."""
        sender = threading.Thread(
            target=lambda: seen.append(self.running.send(BOOKING, router=router, planned=planned))
        )
        sender.start()
        return sender

    def copy(self, planned):
        """The same request as its caller sends it again."""
        return self.running.planned(BOOKING, caller_request_id=planned.caller_request_id)

    def check_one_run(self, planned, seen):
        """At most one start; all that were told an answer were told the same; ``no`` only if nothing ran."""
        starts = self.running.starts(planned.caller_request_id)
        self.assertLessEqual(starts, 1)
        self.assertLessEqual(len({each.result.text for each in seen if each.result.complete}), 1)
        if starts == 0:
            self.assertEqual([each for each in seen if each.result.complete], [])
        self.assert_complete_answers_match(seen)
        return starts

    def test_sent_to_two_routers_at_once(self):
        # A caller's library sends the booking twice at the same moment, through two routers. Both
        # claim the key in the platform's store; one wins and runs it, the other waits for that
        # outcome and gives it. Both callers read the same whole answer.
        for _ in range(MANY):
            planned = self.running.planned(BOOKING)
            seen = []
            senders = [self.start_sending(self.copy(planned), name, seen) for name in self.running.routers[:2]]
            for sender in senders:
                sender.join()
            self.assertEqual(self.check_one_run(planned, seen), 1)
            self.assert_all_complete(seen)

    def test_sent_again_after_the_first_router_was_killed_while_it_ran(self):
        # The caller's connection breaks while the booking runs, for its router was killed; the
        # caller sends it again through another. The key is claimed and its holder is dead, so
        # nobody can tell how the run ended: the answer is "unknown", and there is no second run.
        running = self.running
        running.faults("reservas-1", straggle=SLOW_SERVICE)
        first, second = running.routers[:2]
        planned = running.planned(BOOKING)
        seen = []
        sender = self.start_sending(planned, first, seen)
        wait_until(lambda: running.starts(planned.caller_request_id), "the run's start")
        running.router(first).kill()
        sender.join()
        again = running.send(BOOKING, router=second, planned=self.copy(planned))
        self.assertEqual((again.result.status, again.result.executed), (409, "unknown"), again)
        self.assertEqual(self.check_one_run(planned, [*seen, again]), 1)

    def test_sent_again_after_the_first_router_was_killed_before_it_ran(self):
        # As above, but the router dies right after the call came in, wherever it stands then: before
        # its claim, after it, before or after the dispatch. Whatever the second router answers must
        # fit the record: "unknown" if the claim stands, the one whole answer if it does not.
        running = self.running
        first, second = running.routers[:2]
        for delay_s in (0.0, 0.004, 0.012):
            planned = running.planned(BOOKING)
            seen = []
            sender = self.start_sending(planned, first, seen)
            time.sleep(delay_s)
            running.router(first).kill()
            sender.join()
            again = running.send(BOOKING, router=second, planned=self.copy(planned))
            starts = self.check_one_run(planned, [*seen, again])
            self.assertNotEqual(again.result.executed, "no", again)
            print(f"killed {delay_s * 1000:.0f} ms after the call: {starts} run, then {again.result.reason or 'whole'}")
            running.restart(first)

    def test_answer_lost_after_the_run(self):
        # The service ran the booking and its answer was cut off. The caller is told that it may
        # have run, and told the same again through any other router; it never runs a second time.
        running = self.running
        running.faults("reservas-1", stream_kind="cut", stream_count=1)
        planned = running.planned(BOOKING)
        seen = [running.send(BOOKING, router=name, planned=self.copy(planned)) for name in running.routers]
        self.assertEqual([each for each in seen if each.result.complete or each.result.executed == "no"], [])
        self.assertEqual(self.check_one_run(planned, seen), 1)

    def test_platform_loses_the_answers_of_writes(self):
        # The platform writes each claim and then loses its answer. The claim is read back; either it
        # is proved and the booking runs, or it is refused as not run and did not run. Sent again
        # through every router, it runs once at most.
        running = self.running
        running.platform_faults(lose_answers=-1)
        for _ in range(3):
            planned = running.planned(BOOKING)
            seen = [running.send(BOOKING, router=name, planned=self.copy(planned)) for name in running.routers]
            starts = self.check_one_run(planned, seen)
            for each in seen:
                self.assertTrue(each.result.complete or starts == 0 or each.result.executed != "no", each)
            print(f"write answers lost: {starts} run, {[each.result.reason or 'whole' for each in seen]}")

    def test_claiming_router_is_paused(self):
        # The first router is stopped while it works on the booking and the caller sends it again
        # through another. When the paused one wakes it still believes it may dispatch; if the
        # second had run the booking too, the member would be charged twice.
        running = self.running
        running.faults("reservas-1", straggle=SLOW_SERVICE / 5)
        first, second = running.routers[:2]
        for delay_s in (0.002, 0.01):
            planned = running.planned(BOOKING)
            seen = []
            sender = self.start_sending(planned, first, seen)
            time.sleep(delay_s)
            running.router(first).freeze()
            again = running.send(BOOKING, router=second, planned=self.copy(planned))
            running.router(first).resume()
            sender.join()
            starts = self.check_one_run(planned, [*seen, again])
            print(f"paused {delay_s * 1000:.0f} ms after the call: {starts} run, then {again.result.reason or 'whole'}")
            self.assertTrue(starts == 0 or again.result.executed != "no", again)


if __name__ == "__main__":
    unittest.main()
