"""Decisions on an engine that asks one router to back off, while other routers may go on sending to it."""

import asyncio
import unittest

from tests.test_counted_runs import OneRequest
from tests.utils.paused_clock import on_paused_clock
from tests.utils.scheduler_fakes import Cell, ask, register
from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.contracts.messages import EngineNotice, Granted, GrantRequest, Refused
from wagtailtrestle.contracts.outcomes import RunNotSent
from wagtailtrestle.engines.notices import MAX_BACK_OFF_S, read_notice

BACK_OFF_S = 3.0


def back_off_notice(*, on="e1", entry="r1", rest_s=BACK_OFF_S):
    return EngineNotice(engine=on, rest_s=rest_s, entry=entry)


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=("e1", "e2"), members=("r1", "r2"))
        self.cell.receive(register("r1"), register("r2"))

    def granted(self):
        return {(message.request_id[0], message.engine) for message in self.cell.entries.of(Granted)}

    # Guards against grants that the entry returns one by one, and against a back-off applied to every router.
    def test_back_off_applies_to_one_entry_only(self):
        self.cell.receive(back_off_notice(), ask("a1"), ask("a2"), ask("b1", entry="r2"), ask("b2", entry="r2"))
        self.assertEqual(self.granted(), {("a", "e2"), ("b", "e1")})

    # Guards against a request that is refused, or sent early, though a back-off ends before it must begin.
    def test_request_with_time_waits_for_the_first_back_off_to_end(self):
        self.cell.receive(
            back_off_notice(), back_off_notice(on="e2", rest_s=2 * BACK_OFF_S), ask("a", remaining_s=20.0)
        )
        self.assertEqual(self.cell.entries.sent, [])
        self.cell.advance(BACK_OFF_S + 0.2)
        self.assertEqual(self.granted(), {("a", "e1")})

    # Guards against a futile wait, and against a Retry-After that is too short.
    def test_request_without_time_is_refused_with_the_remaining_back_off(self):
        self.cell.receive(
            back_off_notice(), back_off_notice(on="e2", rest_s=2 * BACK_OFF_S), ask("a", first_token_within_s=1.0)
        )
        (refused,) = self.cell.entries.of(Refused)
        self.assertGreaterEqual(refused.retry_after_s, BACK_OFF_S)
        self.assertLess(refused.retry_after_s, 2 * BACK_OFF_S)

    # Guards against a new scheduler whose grants its entries must return.
    def test_registration_informs_a_scheduler_of_back_offs(self):
        self.cell.receive(register("r1", notices=(back_off_notice(),)), ask("a1"), ask("a2"), ask("a3"))
        self.assertEqual(self.granted(), {("a", "e2")})

    # Guards against repeated back-off notices that count as answers without a limit.
    def test_repeated_back_off_notice_ends_no_limit(self):
        self.cell.receive(EngineNotice(engine="e1", limit_per_s=2.0))
        self.cell.advance(2.0)
        self.cell.receive(*[register("r1", notices=(back_off_notice(),)) for _ in range(9)])
        self.cell.advance(3.0)
        self.assertEqual(self.cell.scheduler._runs.engines_by_name["e1"].rate_limit.per_s(), 2.0)

    # Guards against a suspect that is run alone on an engine that asked to back off.
    def test_suspect_avoids_an_engine_that_backs_off(self):
        self.cell.receive(back_off_notice(), ask("s", alone=True))
        self.cell.advance(0.2)
        self.assertEqual(self.granted(), {("s", "e2")})


class EntryTest(unittest.TestCase):
    # Guards against a slot granted by an uninformed scheduler; the engine is excluded only during the back-off.
    @on_paused_clock
    async def test_grant_is_returned_during_a_back_off_and_used_after_it(self):
        request = OneRequest()
        await asyncio.sleep(0.0)
        request.entry.post("r1", back_off_notice(entry=""))
        request.schedulers.sent.clear()
        await request.grant("e1")
        self.assertEqual(request.caller.starts, [])
        sent_notice, *_, repeated_request = request.schedulers.sent
        self.assertEqual((sent_notice.engine, sent_notice.entry), ("e1", request.entry.name))
        self.assertIsInstance(repeated_request, GrantRequest)
        self.assertEqual(repeated_request.excluded_engines, ())
        await asyncio.sleep(BACK_OFF_S)
        await request.grant("e1")
        self.assertEqual(len(request.caller.starts), 1)

    # Guards against a slot that is returned forever: the scheduler may know of a later start of the engine.
    @on_paused_clock
    async def test_second_grant_during_a_back_off_excludes_the_engine(self):
        request = OneRequest()
        request.entry.post("r1", back_off_notice())
        await request.grant("e1")
        self.assertEqual(request.grant_requests[-1].excluded_engines, ())
        await request.grant("e1")
        self.assertEqual(request.grant_requests[-1].excluded_engines, ("e1",))

    # Guards against a shorter back-off in a later answer that ends a longer one.
    @on_paused_clock
    async def test_longest_back_off_applies(self):
        request = OneRequest()
        request.entry.post("r1", back_off_notice())
        request.entry.post("r1", back_off_notice(rest_s=0.1))
        await asyncio.sleep(1.0)
        await request.grant("e1")
        self.assertEqual(request.caller.starts, [])

    # Guards against a Retry-After that ends while every engine that rejected the request still backs off.
    @on_paused_clock
    async def test_retry_after_is_the_end_of_the_first_back_off(self):
        request = OneRequest()
        for name in ("e1", "e2"):
            request.entry.post("r1", back_off_notice(on=name))
        self.assertGreaterEqual(request.entry._context.retry_after_s("asistente"), BACK_OFF_S - 0.1)


class ReadingTest(unittest.TestCase):
    def rest_s(self, text):
        command = StartRun(
            run_id="r",
            engine="e1",
            address="",
            first_token_deadline_s=1.0,
            progress_deadline_s=1.0,
            overall_s=1.0,
        )
        return read_notice(command, limit=None, leaving=False, retry_after=text).rest_s

    # Guards against an invalid header, and against one that would exclude an engine forever.
    def test_only_a_number_of_seconds_is_a_back_off(self):
        for text in ("", "0", "-3", "nan", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"):
            with self.subTest(text=text):
                self.assertEqual(self.rest_s(text), 0.0)
        self.assertEqual(self.rest_s("2.5"), 2.5)
        self.assertEqual(self.rest_s("90000"), MAX_BACK_OFF_S)


class RejectedRequestTest(unittest.TestCase):
    # Guards against an answer with a back-off that ends its request, though another engine has free slots.
    @on_paused_clock
    async def test_the_request_goes_to_another_engine(self):
        request = OneRequest(repeatable=False)
        await request.grant("e1")
        request.entry.post("r1", back_off_notice())
        await request.end(RunNotSent(detail="503", arrived=True))
        await request.grant("e2")
        self.assertEqual([start.engine for start in request.caller.starts], ["e1", "e2"])


if __name__ == "__main__":
    unittest.main()
