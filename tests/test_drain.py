"""Routers and engines stopped gracefully under load: no request is cut off."""

import time
import unittest

from tests.utils.running import (
    BOOKING,
    PLAN,
    QUESTION,
    SMALL_FLEET,
    TAGGING,
    PromiseChecks,
    Running,
    small_document,
    wait_until,
)

RATE = 15.0
BEFORE_S = 1.0
AFTER_S = 1.0


class GracefulStopTest(PromiseChecks, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = Running(routers=2, document=small_document((*SMALL_FLEET, "reservas-2"))).start()

    @classmethod
    def tearDownClass(cls):
        cls.running.close()

    def test_every_router_restarted_in_turn(self):
        # Guards against requests lost in a rolling restart. On SIGTERM a router reports itself not ready, hands
        # over its cells, serves for one second what the balancer still sends, finishes its requests in flight
        # and exits; it is restarted under its name before the next router is stopped.
        running = self.running
        load = running.load(kinds=(QUESTION, PLAN, TAGGING, BOOKING), rate=RATE).start()
        time.sleep(BEFORE_S)
        for name in running.routers:
            self.assertEqual(running.router(name).stop(), 0, running.router(name).log_tail())
            running.restart(name)
            wait_until(running.routers_agree, "routers to agree after a restart")
        time.sleep(AFTER_S)
        seen = load.stop()
        print(f"rolling restart: {len(seen)} requests, {sum(not each.result.complete for each in seen)} refused")
        self.assert_promises(running, seen)
        self.assert_all_complete_or_refused(seen)
        self.assertEqual([each for each in seen if not each.result.complete and each.result.reason != "draining"], [])

    def stop_engine(self, name, kinds):
        """Stop one engine gracefully under load, check the callers' results, and restart the engine."""
        load = self.running.load(kinds=kinds, rate=RATE).start()
        time.sleep(BEFORE_S)
        self.assertEqual(self.running.engine(name).stop(), 0)
        time.sleep(AFTER_S)
        seen = load.stop()
        print(f"{name} stopped: {len(seen)} requests, {sum(not each.result.complete for each in seen)} refused")
        self.assert_promises(self.running, seen)
        self.assert_all_complete_or_refused(seen)
        self.running.engine(name).start()
        self.running.engine(name).wait_ready()

    def test_language_engine_stopped_gracefully(self):
        # Guards against requests lost when an engine stops. On SIGTERM it finishes its runs and refuses new
        # ones. Until the scheduler has read that it is leaving, a grant may still send it a request, which it
        # refuses without running it; the request must then run on another engine.
        self.stop_engine("asistente-1", (QUESTION, PLAN, TAGGING))

    def test_service_stopped_gracefully(self):
        # As above for bookings, which may run only once. A plain service sends no load reports, so it is
        # known to be leaving only from the first booking that is refused or can't connect.
        self.stop_engine("reservas-1", (BOOKING,))


if __name__ == "__main__":
    unittest.main()
