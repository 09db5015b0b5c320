"""A router's counters of the runs that it sends, by their cause."""

import asyncio
import unittest
from collections import Counter

from tests.test_counted_runs import OneRequest
from tests.utils.paused_clock import on_paused_clock
from tests.utils.scheduling_replay import NoCrashes
from wagtailtrestle.contracts.messages import EngineNotice, Refused
from wagtailtrestle.contracts.outcomes import Reason, RunCut, RunNotSent
from wagtailtrestle.entry.poison import CRASH_LIMIT

LOST = RunCut(detail="cut", reached=True)
REFUSED = RunNotSent(detail="full", arrived=True)


class Counts(Counter):
    """Counters by name and labels."""

    def __call__(self, name, **labels):
        self[(name, *labels.values())] += 1


class CrashedOften(NoCrashes):
    def crash_count(self, identity):
        return CRASH_LIMIT


class RunCountsTest(unittest.TestCase):
    def setUp(self):
        self.counts = Counts()

    def request(self, *, parts=None, **fields):
        return OneRequest(parts={"count": self.counts} | (parts or {}), **fields)

    @on_paused_clock
    async def test_runs_are_counted_by_what_led_to_them(self):
        request = self.request(max_runs=3)
        await request.grant("e1")
        await request.end(LOST)
        await request.grant("e2")
        await request.end(REFUSED)
        await request.grant("e1")
        kinds = {labels[-1]: count for labels, count in self.counts.items() if labels[0] == "runs"}
        self.assertEqual(kinds, {"first": 1, "after_loss": 1, "after_refusal": 1})

    @on_paused_clock
    async def test_a_run_that_was_never_sent_leads_to_no_repeat(self):
        request = self.request()
        await request.grant("e1")
        await request.end(RunNotSent(detail="no connection"))
        await request.grant("e2")
        self.assertEqual(self.counts, {("runs", "asistente", "first"): 2, ("run_ends", "asistente", "RunNotSent"): 1})

    @on_paused_clock
    async def test_a_retry_that_the_budget_refuses_is_counted(self):
        request = self.request()
        await request.grant("e1")
        await request.end(LOST)
        grant_request = request.grant_requests[-1]
        self.assertTrue(grant_request.is_retry)
        refused = {"reason": Reason.RETRY_BUDGET, "retry_after_s": 1.0}
        request.entry.on_scheduler_message(Refused(request_id="r1", attempt=grant_request.attempt, **refused))
        await asyncio.sleep(0.0)
        self.assertEqual(request.caller.answer.refusal.reason, Reason.RETRY_BUDGET)
        self.assertEqual(self.counts[("retries_refused", "asistente")], 1)

    @on_paused_clock
    async def test_a_run_of_a_request_that_crashed_engines_is_counted(self):
        request = self.request(parts={"crashes": CrashedOften()})
        await request.grant("e1")
        self.assertEqual(self.counts[("runs_of_crashing_requests", "asistente")], 1)

    @on_paused_clock
    async def test_a_request_after_the_grace_period_counts_as_a_broken_back_off(self):
        request = self.request()
        for wait_s, broken in ((0.0, 0), (0.3, 0), (0.4, 1)):
            await asyncio.sleep(wait_s)
            request.entry.post("r1", EngineNotice(engine="e1", rest_s=3.0))
            self.assertEqual(self.counts[("requests_within_rest", "e1")], broken)


if __name__ == "__main__":
    unittest.main()
