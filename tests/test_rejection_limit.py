"""Decisions on engines that fall over when they reject too many requests within a second."""

import asyncio
import math
import unittest

from tests.utils.paused_clock import on_paused_clock
from tests.utils.scheduler_fakes import Cell, Clock, ask, finished, register
from wagtailtrestle.contracts.messages import EngineNotice, Granted
from wagtailtrestle.engines.notices import EngineNotices
from wagtailtrestle.engines.rejection_limit import NOTICE_TTL_S, ROOM_GROWTH_INTERVAL_S, WINDOW_S, RejectionLimit

MAX_PER_S = 6
RISKED = 3


def notice(max_per_s=MAX_PER_S, *, on="e1", **fields):
    return EngineNotice(engine=on, max_rejections_per_s=max_per_s, **fields)


class RejectionLimitTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.limit = RejectionLimit(clock=self.clock)

    # Guards against a burst of grants that are all rejected before the first rejection is known.
    def test_grants_in_transit_count_as_rejections(self):
        self.limit.observe(MAX_PER_S)
        for left in (3, 2, 1, 0):
            self.assertEqual(self.limit.available(0), left)
            self.limit.record_grant()
        self.clock.now += WINDOW_S
        self.assertEqual(self.limit.available(0), RISKED)

    # Guards against further tries on an engine that has no room, second after second.
    def test_rejection_shows_how_many_runs_the_engine_holds(self):
        self.limit.observe(MAX_PER_S)
        self.limit.record_rejection(running=4)
        self.clock.now += WINDOW_S
        self.assertEqual([self.limit.available(running) for running in (2, 3, 4, 5)], [2, 1, 0, 0])
        self.clock.now += ROOM_GROWTH_INTERVAL_S
        self.assertEqual(self.limit.available(4), 1)

    # Guards against an engine that is used too little for ever, or too much as its word was forgotten.
    def test_limit_ends_with_the_first_answer_without_it_or_after_a_long_silence(self):
        self.assertIsNone(self.limit.available(0))
        self.limit.observe(MAX_PER_S)
        self.limit.observe(math.inf, age_s=1.0)
        self.assertTrue(self.limit.in_force)
        self.clock.now += 0.1
        self.limit.observe(math.inf)
        self.assertIsNone(self.limit.available(0))
        self.limit.observe(MAX_PER_S)
        self.clock.now += NOTICE_TTL_S
        self.assertIsNone(self.limit.available(0))


class SchedulerTest(unittest.TestCase):
    def cell(self, *, engines=("e1",)):
        cell = Cell(engines=engines, slots=8, members=("r1",))
        cell.receive(register("r1"))
        return cell

    def test_waiting_requests_are_granted_a_few_at_a_time(self):
        cell = self.cell()
        cell.receive(notice(), *(ask(f"q{number}") for number in range(8)))
        self.assertEqual(len(cell.entries.of(Granted)), RISKED)
        self.assertTrue(all(granted.limits_rejections for granted in cell.entries.of(Granted)))
        cell.advance(0.6)
        self.assertEqual(len(cell.entries.of(Granted)), 8)

    # Guards against a flood of which each rejected request is replaced by the next one.
    def test_rejections_stop_the_grants(self):
        cell = self.cell()
        cell.receive(notice(), *(ask(f"q{number}") for number in range(8)))
        for request_id in cell.entries.ids(Granted)[:RISKED]:
            cell.receive(finished(request_id, result="RunNotSent", duration_s=0.01))
        cell.advance(WINDOW_S - 0.1)
        self.assertEqual(len(cell.entries.of(Granted)), RISKED)

    # Guards against an engine that falls again as soon as it is back, before it has said anything.
    def test_new_engine_of_a_service_inherits_the_limit(self):
        cell = self.cell()
        cell.receive(notice())
        cell.scheduler.set_engines({"e2": cell.scheduler._runs._declared_by_name["e1"]})
        engines = cell.scheduler.dump()["engines"]
        self.assertEqual({name: state["rejection_limit"]["max_per_s"] for name, state in engines.items()}, {"e2": 6})

    # Guards against an answer that asks for a back-off and states the limit, of which only the back-off counts.
    def test_limit_in_an_answer_that_asks_for_a_back_off(self):
        cell = self.cell()
        cell.receive(notice(rest_s=3.0, entry="r2"))
        cell.receive(EngineNotice(engine="e1", rest_s=3.0, entry="r2"))
        self.assertIsNotNone(cell.scheduler.dump()["engines"]["e1"]["rejection_limit"])


class EngineNoticesTest(unittest.TestCase):
    # Guards against a new scheduler that is told of one of an engine's two limits only.
    @on_paused_clock
    async def test_both_limits_are_registered(self):
        notices = EngineNotices(router="r1", clock=asyncio.get_running_loop().time)
        notices.process(notice(limit_per_s=2.0))
        await asyncio.sleep(1.0)
        (registered,) = notices.for_engines(("e1",))
        self.assertEqual((registered.limit_per_s, registered.max_rejections_per_s), (2.0, MAX_PER_S))
        self.assertAlmostEqual(registered.age_s, 1.0)
        await asyncio.sleep(20.0)
        (registered,) = notices.for_engines(("e1",))
        self.assertEqual((registered.limit_per_s, registered.max_rejections_per_s), (math.inf, MAX_PER_S))
        notices.process(EngineNotice(engine="e1"))
        self.assertEqual(notices.for_engines(("e1",)), ())


if __name__ == "__main__":
    unittest.main()
