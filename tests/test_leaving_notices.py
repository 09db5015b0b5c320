"""Decisions of entries and schedulers on an engine that announces in an answer that it is draining."""

import asyncio
import unittest

from tests.test_counted_runs import OneRequest
from tests.utils.paused_clock import on_paused_clock
from tests.utils.scheduler_fakes import Cell, ask, engine, register
from wagtailtrestle.contracts.messages import EngineNotice, Granted
from wagtailtrestle.engines.notices import LEAVING_NOTICE_TTL_S

EARLIER_START_MS, LATER_START_MS = 1000, 2000


def leaving_notice(*, on="e1", **fields):
    return EngineNotice(engine=on, leaving=True, **fields)


class EntryTest(unittest.TestCase):
    # Guards against a scheduler without the notice: its grant is returned, and the next request excludes the engine.
    @on_paused_clock
    async def test_grant_on_a_draining_engine_is_returned_with_the_notice(self):
        request = OneRequest()
        request.entry.post("r1", leaving_notice())
        request.schedulers.sent.clear()
        await request.grant("e1")
        self.assertEqual(request.caller.starts, [])
        self.assertTrue(any(isinstance(sent, EngineNotice) and sent.leaving for sent in request.schedulers.sent))
        self.assertEqual(request.grant_requests[-1].excluded_engines, ("e1",))
        await request.grant("e2")
        self.assertEqual(len(request.caller.starts), 1)

    # Guards against a notice that outlives its cause: an engine that is still listed may have restarted.
    @on_paused_clock
    async def test_notice_expires(self):
        request = OneRequest()
        request.entry.post("r1", leaving_notice())
        self.assertEqual(len(request.entry.register("asistente").notices), 1)
        await asyncio.sleep(LEAVING_NOTICE_TTL_S)
        self.assertEqual(request.entry.register("asistente").notices, ())


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=("e1", "e2"), members=("r1",))

    def granted(self):
        return {message.engine for message in self.cell.entries.of(Granted)}

    def request_four(self):
        self.cell.entries.sent.clear()
        self.cell.receive(*(ask(f"{name}{self.cell.clock.now}") for name in "abcd"))
        return self.granted()

    # Guards against new work for an engine after one router has received its draining notice.
    def test_nothing_is_granted_on_a_draining_engine_after_one_notice(self):
        self.cell.receive(register("r1"), leaving_notice())
        self.assertEqual(self.request_four(), {"e2"})
        # The list clears its own mark, not the engine's notice.
        self.cell.scheduler.mark_leaving("e1", False)
        self.cell.scheduler.set_engines({name: engine(name) for name in ("e1", "e2")})
        self.cell.advance(0.2)
        self.assertEqual(self.granted(), {"e2"})

    # Guards against a new or restarted scheduler that knows only the store's state.
    def test_registration_informs_a_new_scheduler_of_draining_engines(self):
        self.cell.receive(register("r1", notices=(leaving_notice(age_s=8.0),)))
        self.assertEqual(self.request_four(), {"e2"})

    # Guards against an engine excluded because its former start, or an earlier engine of its name, announced draining.
    def test_restarted_engine_is_not_draining(self):
        former, later = engine("e1"), engine("e1")
        former.start_ms, later.start_ms = EARLIER_START_MS, LATER_START_MS
        self.cell.scheduler.set_engines({"e1": former, "e2": engine("e2")})
        self.cell.receive(register("r1"), leaving_notice(start_ms=EARLIER_START_MS))
        self.assertEqual(self.request_four(), {"e2"})
        self.cell.scheduler.set_engines({"e1": later})
        self.cell.receive(leaving_notice(start_ms=EARLIER_START_MS))
        self.cell.advance(0.2)
        self.assertEqual(self.granted(), {"e1", "e2"})


if __name__ == "__main__":
    unittest.main()
