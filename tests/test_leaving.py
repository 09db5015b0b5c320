"""An engine marked as leaving gets no new work from any router."""

import time
import unittest

from tests.utils.running import PLAN, QUESTION, TAGGING, PromiseChecks, Running, wait_until

RATE = 15.0
BEFORE_S = 1.0
GUARANTEED_S = 2.0
OBSERVED_S = 1.5
LIST_LAG_S = 0.5
MARKED_ENGINE = "asistente-1"
OTHER_ENGINE = "asistente-3"


class LeavingTest(PromiseChecks, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = Running(routers=3).start()

    @classmethod
    def tearDownClass(cls):
        cls.running.close()

    def starts_on(self, engine):
        url = self.running.deployment.engine_url(engine)
        return self.running.deployment.get(f"{url}/record")["totals"]["starts"]

    def check_no_new_work(self, mark, unmark, what):
        load = self.running.load(kinds=(QUESTION, PLAN, TAGGING), rate=RATE).start()
        time.sleep(BEFORE_S)
        self.assertGreater(self.starts_on(MARKED_ENGINE), 0)
        mark()
        marked_at = time.monotonic()
        time.sleep(GUARANTEED_S)
        starts, elsewhere = self.starts_on(MARKED_ENGINE), self.starts_on(OTHER_ENGINE)
        time.sleep(OBSERVED_S)
        self.assertEqual(self.starts_on(MARKED_ENGINE), starts, f"started later than {GUARANTEED_S} s after the mark")
        self.assertGreater(self.starts_on(OTHER_ENGINE), elsewhere)
        unmark()
        wait_until(lambda: self.starts_on(MARKED_ENGINE) > starts, "new work after the mark was removed")
        seen = load.stop()
        self.assert_promises(self.running, seen)
        self.assert_all_complete_or_refused(seen)
        refused = sum(not each.result.complete for each in seen)
        print(f"leaving by {what}: {refused} of {len(seen)} refused, observed for {time.monotonic() - marked_at:.1f} s")

    def declare(self, leaving):
        engine = next(each for each in self.running.deployment.document["engines"] if each["name"] == MARKED_ENGINE)
        engine["leaving"] = leaving
        self.running.deployment.apply()

    def publish(self, leaving):
        self.running.deployment.publish_vms(leaving=leaving)
        time.sleep(LIST_LAG_S)

    def test_marked_by_the_declaration(self):
        # Operators apply a declaration that marks the engine as leaving. Its runs continue to their end;
        # after two seconds no router sends it anything new, and the other engine serves the load.
        self.check_no_new_work(lambda: self.declare(True), lambda: self.declare(False), "declaration")

    def test_marked_by_the_platforms_list(self):
        # As above, but the engine is marked only in the platform's list of VMs, whose own lag is not counted.
        self.check_no_new_work(lambda: self.publish((MARKED_ENGINE,)), lambda: self.publish(()), "list")

    def test_marked_by_the_list_right_after_the_scheduler_changed(self):
        # Guards against a new scheduler that would know the mark only from its predecessor, and would send the
        # engine new work after the old scheduler is killed.
        running = self.running
        self.publish((MARKED_ENGINE,))
        time.sleep(GUARANTEED_S)
        starts = self.starts_on(MARKED_ENGINE)
        scheduler = running.scheduler_of()
        running.router(scheduler).kill()
        others = [name for name in running.routers if name != scheduler]
        seen = [running.send(QUESTION, router=others[number % 2]) for number in range(10)]
        self.assertEqual(self.starts_on(MARKED_ENGINE), starts)
        self.assert_promises(running, seen)
        self.assert_all_complete(seen)
        running.restart(scheduler)
        self.publish(())
        wait_until(running.routers_agree, "all routers to agree on one scheduler")


if __name__ == "__main__":
    unittest.main()
