"""Parts of prompts that crash engines are distinguished from those of the prompts beside them, by their crashes."""

import random
import unittest

from tests.utils.scheduler_fakes import Clock
from wagtailtrestle.contracts.outcomes import RunCut, RunDone
from wagtailtrestle.entry.crash_watch import MAX_CLEARANCE_DELAY_S, CrashWatch
from wagtailtrestle.entry.part_crashes import (
    HOLD_S,
    MAX_SOUND_PARTS,
    MIN_SPACING_S,
    SOUND_PART_HOLD_S,
    SOUND_PART_LIMIT,
    PartTable,
)
from wagtailtrestle.entry.poison import CRASH_LIMIT, MAX_INCIDENTS, CrashDetector, CrashReport, CrashTable

BAD, SYSTEM, TOOL = "s/bad", "s/system", "s/tool"


class PartTableTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.table = PartTable(clock=self.clock)
        self.crashes = 0

    def crash(self, *parts, after_s=1.0):
        self.clock.now += after_s
        self.crashes += 1
        self.table.merge(
            CrashReport(engine=f"e{self.crashes}", incident=f"r/{self.crashes}", suspects=tuple(sorted(parts)))
        )

    # Guards against a part that is never blamed since no two prompts with it are alike.
    def test_part_of_unlike_prompts_is_blocked_after_the_limit(self):
        for number in range(CRASH_LIMIT):
            self.assertFalse(self.table.blocked((SYSTEM, BAD)))
            self.crash(SYSTEM, BAD, f"s/session-{number}")
            self.table.record_began((SYSTEM,))
        self.assertEqual(self.table.blocked((SYSTEM, BAD, "s/other")), (BAD,))
        self.assertFalse(self.table.blocked((SYSTEM, TOOL)))

    # Guards against a part that all prompts have and that is blamed since it was on every engine that crashed.
    def test_parts_on_which_streams_begin_are_not_blamed(self):
        for _ in range(SOUND_PART_LIMIT + 3):
            self.crash(SYSTEM, TOOL, BAD)
            self.table.record_began((SYSTEM, TOOL))
        self.assertFalse(self.table.blocked((SYSTEM, TOOL)))

    # Guards against sound prompts that are refused for what only the combination of their parts has shown.
    def test_parts_that_are_always_together_block_only_prompts_that_hold_them_all(self):
        for _ in range(CRASH_LIMIT):
            self.crash(SYSTEM, BAD)
        self.assertEqual(self.table.blocked((SYSTEM, BAD)), (BAD, SYSTEM))
        self.assertFalse(self.table.blocked((SYSTEM, TOOL)))
        self.assertFalse(self.table.blocked((TOOL, BAD)))

    # Guards against a zone's loss of power that blocks the part which all prompts share.
    def test_engines_that_fail_at_the_same_time_count_once(self):
        for _ in range(20):
            self.crash(SYSTEM, after_s=MIN_SPACING_S / 100)
        self.assertFalse(self.table.blocked((SYSTEM, TOOL)))

    # Guards against engines that fail one after the other, for another reason, while nothing can begin.
    def test_part_that_was_sound_is_blocked_late_and_soon_tried_again(self):
        self.table.record_began((SYSTEM,))
        for _ in range(SOUND_PART_LIMIT):
            self.assertFalse(self.table.blocked((SYSTEM,)))
            self.crash(SYSTEM)
        self.assertTrue(self.table.blocked((SYSTEM,)))
        self.clock.now += SOUND_PART_HOLD_S
        self.assertFalse(self.table.blocked((SYSTEM,)))
        self.assertTrue(self.table.on_probation((SYSTEM,)))
        self.table.record_began((SYSTEM,))
        self.assertFalse(self.table.on_probation((SYSTEM,)))

    # Guards against a part that crashes three more engines each time that its block ends.
    def test_blocked_part_is_tried_again_later_and_later(self):
        for _ in range(CRASH_LIMIT):
            self.crash(BAD)
        self.clock.now += HOLD_S - 0.1
        self.assertTrue(self.table.blocked((BAD,)))
        self.clock.now += 0.2
        self.assertTrue(self.table.on_probation((BAD,)) and not self.table.blocked((BAD,)))
        self.crash(BAD)
        self.clock.now += 2 * HOLD_S - 0.1
        self.assertTrue(self.table.blocked((BAD,)))

    # Guards against a report that arrives late, after streams began again on what it names.
    def test_late_report_does_not_blame_what_began_since(self):
        self.crash(SYSTEM, BAD)
        self.clock.now += 2.0
        self.table.record_began((SYSTEM,))
        self.table.merge(CrashReport(engine="e9", incident="r/9", suspects=(BAD, SYSTEM), age_s=1.0))
        self.assertEqual(self.table.dump()["blame"], {BAD: 2.0})

    # Guards against two bad parts of which one hides the other.
    def test_two_bad_parts_are_blamed_each_for_itself(self):
        for number in range(2 * CRASH_LIMIT):
            self.crash(SYSTEM, BAD if number % 2 else "s/bad-2")
            self.table.record_began((SYSTEM,))
        self.assertTrue(self.table.blocked((SYSTEM, BAD)) and self.table.blocked((SYSTEM, "s/bad-2")))

    # Guards against memory that grows with callers who send ever new parts.
    def test_memory_is_bounded(self):
        for number in range(MAX_INCIDENTS + 50):
            self.crash(f"s/{number}", after_s=0.1)
        self.assertEqual(self.table.dump()["incidents"], MAX_INCIDENTS)
        self.table.record_began(f"s/{number}" for number in range(MAX_SOUND_PARTS + 50))
        self.assertEqual(len(self.table._began_at_by_part), MAX_SOUND_PARTS)


class PartWatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.watches = [self.make_watch(number) for number in range(3)]

    def make_watch(self, number):
        return CrashWatch(
            table=CrashTable(clock=self.clock, reporter=f"r{number}"),
            detector=CrashDetector(clock=self.clock),
            broadcast=lambda message: self.deliver(number, message),
            parts=PartTable(clock=self.clock),
            clock=self.clock,
            jitter=random.Random(number),
        )

    def deliver(self, sender, message):
        self.sent.append(message)
        for number, watch in enumerate(self.watches):
            if number == sender:
                continue
            if isinstance(message, CrashReport):
                watch.merge(message)
            else:
                watch.merge_clearance(message)

    def crash(self, watch, number, *parts):
        self.clock.now += 1.0
        watch.record_run_end(
            engine=f"e{number}", identity=f"d{number}", outcome=RunCut(detail="reset"), was_sent=True, parts=parts
        )
        self.clock.now += 1.0
        watch.record_engine_down(f"e{number}")

    # Guards against routers that see one crash each, and one that starts after them.
    def test_routers_that_each_saw_one_crash_block_together(self):
        for number, watch in enumerate(self.watches):
            self.crash(watch, number, SYSTEM, BAD)
            watch.record_began((SYSTEM,))
        self.assertEqual([watch.blocked_parts((SYSTEM, BAD)) for watch in self.watches], [(BAD,)] * 3)
        started = self.make_watch(9)
        for report in self.watches[0].reports():
            started.merge(report)
        self.assertEqual(started.blocked_parts((SYSTEM, BAD)), (BAD,))

    # Guards against as many clearances of a part that all prompts share as there are routers.
    def test_one_clearance_is_enough_for_all_routers(self):
        self.crash(self.watches[0], 0, SYSTEM)
        self.sent.clear()
        for watch in self.watches:
            watch.record_began((SYSTEM,))
        for _ in range(20):
            self.clock.now += MAX_CLEARANCE_DELAY_S / 10
            for watch in self.watches:
                watch.tick()
        self.assertEqual(len(self.sent), 1)

    # Guards against an answer without events that clears nothing, or by its head what it must not.
    def test_complete_answer_clears_its_parts(self):
        watch = self.watches[0]
        for number in range(CRASH_LIMIT):
            self.crash(watch, number, BAD)
        self.assertTrue(watch.blocked_parts((BAD,)))
        watch.record_run_end(engine="e", identity="d", outcome=RunDone(), was_sent=True, parts=(BAD,))
        self.assertFalse(watch.blocked_parts((BAD,)))

    # Guards against parts blamed for crashes of engines on which their streams had begun.
    def test_runs_that_had_begun_name_no_parts(self):
        for number in range(CRASH_LIMIT):
            self.crash(self.watches[0], number)
        self.assertFalse(self.watches[0].blocked_parts((SYSTEM,)))


if __name__ == "__main__":
    unittest.main()
