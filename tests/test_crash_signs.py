"""Engine crashes that a single router can't distinguish from a broken connection."""

import unittest

from tests.utils.scheduler_fakes import Cell, Clock, ask, finished, register
from wagtailtrestle.capacity.crash_signs import DOWN_WINDOW_S
from wagtailtrestle.contracts.messages import EngineDown
from wagtailtrestle.contracts.outcomes import RunCut, RunDone
from wagtailtrestle.entry.crash_watch import CrashWatch
from wagtailtrestle.entry.poison import (
    CRASH_LIMIT,
    REPORTED_DOWN_WINDOW_S,
    SAME_CRASH_WINDOW_S,
    CrashDetector,
    CrashTable,
)


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=("e1",), slots=4, members=("r1", "r2"))
        self.cell.receive(register("r1"), register("r2"), ask("a"), ask("b", entry="r2"))

    def notified_engines(self):
        return [message.engine for message in self.cell.entries.of(EngineDown)]

    # Guards against a crash that is taken for a broken connection because each router had one run on the engine.
    def test_entries_whose_runs_an_engine_cut_are_notified_once_that_it_is_down(self):
        self.cell.receive(finished("a", result="RunCut"))
        self.cell.scheduler.on_unreachable("e1")
        self.cell.scheduler.on_unreachable("e1")
        self.assertEqual(self.notified_engines(), ["e1"])

    # Guards against blaming runs that the engine cut long before it went down, or that had ended normally there.
    def test_entries_that_lost_no_run_recently_are_not_notified(self):
        self.cell.receive(finished("a", result="RunCut"), finished("b"))
        self.cell.advance(DOWN_WINDOW_S + 0.1)
        self.cell.scheduler.on_unreachable("e1")
        self.assertEqual(self.notified_engines(), [])


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.crashes = CrashWatch(
            table=CrashTable(clock=self.clock), detector=CrashDetector(clock=self.clock), broadcast=lambda report: None
        )

    def cut(self, engine, body="poison", *, notified_after_s=1.0):
        self.crashes.record_run_end(
            engine=engine, identity=body, outcome=RunCut(detail="cut", reached=True), was_sent=False
        )
        self.clock.now += notified_after_s
        self.crashes.record_engine_down(engine)
        self.clock.now += SAME_CRASH_WINDOW_S

    def test_request_that_crashed_three_engines_is_refused(self):
        for number in range(CRASH_LIMIT):
            self.assertFalse(self.crashes.is_blocked("poison"))
            self.cut(f"e{number}")
        self.assertTrue(self.crashes.is_blocked("poison"))

    # Guards against blaming a request for engines that drained in order, or on which it did not run.
    def test_engine_that_leaves_in_order_is_blamed_on_no_request(self):
        for number in range(CRASH_LIMIT):
            self.crashes.record_engine_down(f"e{number}")
            self.crashes.record_run_end(engine=f"e{number}", identity="sound", outcome=RunDone(), was_sent=False)
            self.cut(f"e{number}", "sound", notified_after_s=REPORTED_DOWN_WINDOW_S + 1.0)
        self.assertFalse(self.crashes.is_blocked("sound"))


if __name__ == "__main__":
    unittest.main()
