"""Requests that crash engines are distinguished from those that are lost beside them."""

import unittest

from tests.utils.scheduler_fakes import Clock
from wagtailtrestle.contracts.outcomes import RunCut, RunDone
from wagtailtrestle.entry.crash_watch import CrashWatch
from wagtailtrestle.entry.poison import (
    CRASH_LIMIT,
    CRASH_WINDOW_S,
    CUT_WINDOW_S,
    RESTART_WINDOW_S,
    SAME_CRASH_WINDOW_S,
    CrashClearance,
    CrashDetector,
    CrashReport,
    CrashTable,
    fingerprint_of,
)


class BlameTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.table = CrashTable(clock=self.clock, reporter="r1")

    def crash(self, engine, *running):
        self.clock.now += SAME_CRASH_WINDOW_S + 1.0
        return self.table.record_crash(engine, dict.fromkeys(running, 1))

    def test_what_crashes_alone_is_refused_after_the_limit(self):
        for number in range(CRASH_LIMIT):
            self.assertFalse(self.table.is_blocked("poison"))
            self.crash(f"e{number}", "poison")
        self.assertTrue(self.table.is_blocked("poison"))

    def test_requests_lost_beside_it_are_not_blamed(self):
        # The poison request crashes three engines; other requests are lost each time, one of
        # them twice. Only the request that was present every time is to blame.
        self.crash("e1", "poison", "a", "unlucky")
        self.crash("e2", "poison", "b", "unlucky")
        self.crash("e3", "poison", "c")
        self.assertTrue(self.table.is_blocked("poison"))
        for innocent in ("a", "b", "c", "unlucky"):
            self.assertFalse(self.table.is_blocked(innocent), innocent)

    def test_suspects_of_the_same_crashes_are_distinguished_by_running_alone(self):
        for number in range(CRASH_LIMIT):
            self.crash(f"e{number}", "poison", "innocent")
        self.assertFalse(self.table.is_blocked("poison") or self.table.is_blocked("innocent"))
        self.assertTrue(self.table.is_suspect("poison") and self.table.is_suspect("innocent"))
        self.crash("e9", "poison")
        self.assertTrue(self.table.is_blocked("poison"))
        self.assertFalse(self.table.is_blocked("innocent"))

    def test_a_complete_answer_clears_a_suspect(self):
        self.crash("e1", "poison", "innocent")
        self.table.record_success("innocent")
        self.assertFalse(self.table.is_suspect("innocent"))
        self.assertTrue(self.table.is_suspect("poison"))

    def test_suspects_run_alone_only_after_a_second_crash_that_nothing_else_explains(self):
        # After one crash every request that ran there is a suspect. If suspects ran alone from then on, each
        # would occupy an engine because of a crash that most often has nothing to do with it.
        self.crash("e1", "poison", "neighbour", "unlucky")
        self.assertFalse(self.table.must_run_alone("poison"))
        self.crash("e2", "poison", "unlucky")
        alone = [name for name in ("poison", "neighbour", "unlucky") if self.table.must_run_alone(name)]
        self.assertEqual(alone, ["poison", "unlucky"])
        self.crash("e3", "poison")
        self.assertFalse(self.table.must_run_alone("unlucky") or self.table.must_run_alone("poison"))

    def test_crashes_expire(self):
        for number in range(CRASH_LIMIT):
            self.crash(f"e{number}", "poison")
        self.clock.now += CRASH_WINDOW_S + 1.0
        self.assertFalse(self.table.is_blocked("poison") or self.table.is_suspect("poison"))


class SharedTest(unittest.TestCase):
    def test_routers_that_each_saw_one_crash_refuse_together(self):
        # The caller resends the request through another router each time, so that no router sees
        # more than one crash. With the reports of the others, each router refuses the fourth attempt.
        clock = Clock()
        tables = [CrashTable(clock=clock, reporter=f"r{number}") for number in range(CRASH_LIMIT)]
        for number, table in enumerate(tables):
            clock.now += SAME_CRASH_WINDOW_S + 1.0
            report = table.record_crash(f"e{number}", {"poison": 1})
            for other in tables:
                other.merge(report)
        self.assertTrue(all(table.is_blocked("poison") for table in tables))

    def test_one_crash_reported_by_several_routers_counts_once(self):
        clock = Clock()
        table = CrashTable(clock=clock, reporter="r1")
        table.record_crash("e1", {"a": 1})
        for number in range(2, 2 + CRASH_LIMIT):
            clock.now += 0.1
            table.merge(CrashReport(engine="e1", incident=f"r{number}/x/1", suspects=("a",)))
        self.assertFalse(table.is_blocked("a"))

    def test_one_crash_reported_repeatedly_by_one_router_counts_once(self):
        # A cut, then two attempts to attach that find the engine down: one crash.
        clock = Clock()
        table = CrashTable(clock=clock)
        for _ in range(CRASH_LIMIT):
            clock.now += 0.5
            table.record_crash("e1", {"a": 1})
        self.assertFalse(table.is_blocked("a"))

    def test_merging_again_changes_nothing_and_does_not_undo_a_clearance(self):
        clock = Clock()
        table = CrashTable(clock=clock)
        report = table.record_crash("e1", {"a": 1, "b": 1})
        table.record_success("a")
        for _ in range(CRASH_LIMIT):
            clock.now += 2 * SAME_CRASH_WINDOW_S
            table.merge(report)
        self.assertFalse(table.is_suspect("a") or table.is_blocked("b"))
        other = CrashTable(clock=clock)
        for known in table.reports():
            other.merge(known)
        self.assertEqual(other.dump(), table.dump())

    def test_a_clearance_applies_on_all_routers(self):
        # An innocent request is lost beside the poison request twice, then runs to completion through r1.
        # Without the clearance of r1, r2 would keep it as a suspect and refuse it after the next two crashes
        # beside which it happens to run. The clearance may overtake a report and arrive twice.
        clock = Clock()
        here, there = (CrashTable(clock=clock, reporter=name) for name in ("r1", "r2"))
        reports = []
        for engine in ("e1", "e2"):
            clock.now += 2 * SAME_CRASH_WINDOW_S
            reports.append(here.record_crash(engine, {"poison": 1, "innocent": 1}))
        there.merge(reports[0])
        clearance = here.record_success("innocent")
        there.merge_clearance(clearance)
        there.merge(reports[1])
        self.assertFalse(there.is_suspect("innocent"))
        self.assertTrue(there.must_run_alone("poison"))
        self.assertIsNone(here.record_success("innocent"))
        clock.now += 2 * SAME_CRASH_WINDOW_S
        there.record_crash("e3", {"innocent": 1})
        there.merge_clearance(clearance)
        self.assertTrue(there.is_suspect("innocent"))

    def test_complete_answers_are_broadcast(self):
        sent = []
        table = CrashTable(clock=Clock())
        watch = CrashWatch(table=table, detector=CrashDetector(clock=Clock()), broadcast=sent.append)
        for identity in ("a", "b"):
            watch.record_run_end(engine="e1", identity=identity, outcome=RunCut(detail="cut"), was_sent=True)
        done = RunDone(prompt_tokens=1, cached_tokens=0, output_tokens=1)
        watch.record_run_end(engine="e2", identity="a", outcome=done, was_sent=True)
        watch.record_run_end(engine="e2", identity="a", outcome=done, was_sent=True)
        self.assertEqual([type(message) for message in sent], [CrashReport, CrashClearance])

    def test_fingerprint_hides_the_digest(self):
        self.assertNotIn("digest", fingerprint_of("digest"))
        self.assertEqual(len(fingerprint_of("digest")), 64)


class DetectorTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.detector = CrashDetector(clock=self.clock)

    def test_one_cut_is_a_broken_connection(self):
        self.assertEqual(self.detector.on_cut("e1", "a"), set())
        self.clock.now += CUT_WINDOW_S + 0.1
        self.assertEqual(self.detector.on_cut("e1", "b"), set())
        self.assertEqual(self.detector.on_cut("e2", "c"), set())

    def test_cuts_together_are_a_crash(self):
        self.detector.on_cut("e1", "a")
        self.assertEqual(self.detector.on_cut("e1", "b"), {"a", "b"})

    # Guards against requests blamed for crashes because a router lost its links to several engines at once.
    def test_cuts_on_several_engines_together_are_no_crash(self):
        self.assertEqual(self.detector.on_cut("e1", "a"), set())
        for engine, fingerprint in (("e2", "b"), ("e1", "c"), ("e2", "d"), ("e2", "e")):
            self.assertEqual(self.detector.on_cut(engine, fingerprint), set())
        self.assertEqual(self.detector.on_engine_down("e2"), {"b", "d", "e"})

    def test_a_cut_and_then_a_refused_connection_is_a_crash(self):
        self.detector.on_cut("e1", "a")
        self.clock.now += 1.0
        self.assertEqual(self.detector.on_engine_down("e1"), {"a"})

    def test_a_refused_connection_alone_blames_no_request(self):
        self.assertEqual(self.detector.on_engine_down("e1"), set())
        self.detector.on_cut("e1", "a")
        self.clock.now += RESTART_WINDOW_S + 0.1
        self.assertEqual(self.detector.on_engine_down("e1"), set())

    def test_a_run_the_engine_forgot_is_a_crash(self):
        self.assertEqual(self.detector.on_engine_down("e1", "a"), {"a"})


if __name__ == "__main__":
    unittest.main()
