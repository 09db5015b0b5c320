"""Requests with a limited number of runs: silence, refusals by engines, failures, draining engines."""

import asyncio
import unittest

from tests.utils.paused_clock import now, on_paused_clock
from tests.utils.scheduler_fakes import engine
from tests.utils.scheduling_replay import FakeCaller, caller_request, make_entry
from wagtailtrestle.contracts.declaration import LANGUAGE, Declaration, Service
from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, RunEnded
from wagtailtrestle.contracts.messages import Granted, GrantRequest
from wagtailtrestle.contracts.outcomes import Executed, RunCut, RunDone, RunFailed, RunNotSent
from wagtailtrestle.entry.request_task import COUNTED_RUN_SILENCE_S

TIME_S = 15.0
GRANTED_SILENCE_S = 1.0
STEP_S = 0.01


def declaration(*, leaving=()):
    service = Service(
        name="asistente",
        kind=LANGUAGE,
        routes_by_name={},
        cancellable=True,
        attachable=False,
        preemptable=False,
        passes_errors=True,
    )
    engines = {name: engine(name, slots=4) for name in ("e1", "e2")}
    for name in leaving:
        engines[name].leaving = True
    return Declaration(
        organisation="",
        zones_by_region={},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={"asistente": service},
        engines_by_name=engines,
    )


class OneRequest:
    """One request whose grants and run outcomes the test controls."""

    def __init__(self, *, leaving=(), parts=None, **fields):
        self.entry, self.schedulers = make_entry(
            loop=asyncio.get_running_loop(), declaration=declaration(leaving=leaving), **(parts or {})
        )
        self.caller = FakeCaller()
        self.entry.submit(caller_request("r1", deadline=now() + TIME_S, **fields), self.caller)

    async def grant(self, name, **fields):
        await asyncio.sleep(STEP_S)
        task = self.entry.tasks_by_id["r1"]
        limits = {"progress_deadline_s": GRANTED_SILENCE_S, "first_token_deadline_s": GRANTED_SILENCE_S}
        self.entry.on_scheduler_message(Granted(request_id="r1", attempt=task.attempt, engine=name, **limits, **fields))
        await asyncio.sleep(STEP_S)

    async def end(self, outcome):
        start = self.caller.starts[-1]
        self.entry.post("r1", RunEnded(run_id=start.run_id, outcome=outcome, duration_s=0.1))
        await asyncio.sleep(STEP_S)

    @property
    def grant_requests(self):
        return [message for message in self.schedulers.sent if isinstance(message, GrantRequest)]


class SilenceTest(unittest.TestCase):
    @on_paused_clock
    async def test_the_last_run_has_no_silence_limit(self):
        # The request may run once. Its engine pauses for seconds while it prefills other prompts; with a
        # silence limit of a second, the caller's stream would break although the engine was about to continue.
        request = OneRequest(max_runs=1, repeatable=False)
        await request.grant("e1")
        start = request.caller.starts[-1]
        self.assertGreater(start.progress_deadline_s, TIME_S - 1.0)
        self.assertGreater(start.first_token_deadline_s, TIME_S - 1.0)

    @on_paused_clock
    async def test_a_repeatable_run_has_a_silence_limit(self):
        request = OneRequest(max_runs=2)
        await request.grant("e1")
        self.assertEqual(request.caller.starts[-1].progress_deadline_s, COUNTED_RUN_SILENCE_S)
        await request.end(RunCut(detail="cut", reached=True))
        await request.grant("e2")
        self.assertGreater(request.caller.starts[-1].progress_deadline_s, TIME_S - 2.0)


class LeavingEngineTest(unittest.TestCase):
    @on_paused_clock
    async def test_a_grant_on_an_engine_known_to_drain_is_returned(self):
        # The scheduler is partitioned from the platform and grants an engine that this router knows to be
        # draining. Sent there, the request would be lost when the engine stops.
        request = OneRequest(leaving=["e1"], max_runs=1)
        await request.grant("e1")
        self.assertEqual(request.caller.starts, [])
        self.assertIn("e1", request.grant_requests[-1].excluded_engines)
        await request.grant("e2")
        self.assertEqual(request.caller.starts[-1].engine, "e2")


class RestartedEngineTest(unittest.TestCase):
    @on_paused_clock
    async def test_a_stream_does_not_begin_where_the_scheduler_knows_another_version(self):
        # Guards against a stream that is recorded under the version of an engine's former start, as the list of this
        # router is older than the scheduler's: callers would resume it at that version.
        for stream_id, engines in (("s1", []), ("", ["e1"])):
            with self.subTest(stream_id=stream_id):
                request = OneRequest(max_runs=1, stream_id=stream_id)
                await request.grant("e1", version="v2")
                self.assertEqual([start.engine for start in request.caller.starts], engines)
                await request.grant("e2", version="")
                self.assertEqual(len(request.caller.starts), 1)


class RefusedByEngineTest(unittest.TestCase):
    @on_paused_clock
    async def test_a_refused_request_moves_to_another_engine_even_if_it_may_run_once(self):
        request = OneRequest(max_runs=1, repeatable=False)
        await request.grant("e1")
        await request.end(RunNotSent(detail="full", arrived=True))
        self.assertIn("e1", request.grant_requests[-1].excluded_engines)
        await request.grant("e2")
        await request.end(RunDone())
        self.assertIsInstance(request.caller.answer, AnswerWhole)

    @on_paused_clock
    async def test_engines_that_all_refuse_end_it_as_not_run(self):
        request = OneRequest(max_runs=1, repeatable=False)
        for _ in range(10):
            if request.caller.answer is not None:
                break
            await request.grant("e1")
            await request.end(RunNotSent(detail="full", arrived=True))
        self.assertIs(request.caller.answer.refusal.executed, Executed.NO)


class FailureTest(unittest.TestCase):
    @on_paused_clock
    async def test_a_failure_of_a_request_that_may_run_once_is_the_answer(self):
        request = OneRequest(max_runs=3, repeatable=False)
        await request.grant("e1")
        await request.end(RunFailed(status=500))
        self.assertIsInstance(request.caller.answer, AnswerWhole)

    @on_paused_clock
    async def test_a_repeatable_request_is_retried_within_its_runs_after_a_failure(self):
        request = OneRequest(max_runs=2)
        await request.grant("e1")
        await request.end(RunFailed(status=500))
        self.assertIsNone(request.caller.answer)
        await request.grant("e2")
        await request.end(RunFailed(status=500))
        self.assertIsInstance(request.caller.answer, AnswerWhole)
        self.assertEqual(len(request.caller.starts), 2)

    @on_paused_clock
    async def test_a_failure_after_a_part_was_sent_is_no_answer(self):
        # The caller has read a part of the stream when the engine breaks it off, and the next engine fails.
        # Its error can't be appended to the part, so the stream ends visibly broken.
        request = OneRequest(max_runs=2)
        await request.grant("e1")
        await request.end(RunCut(detail="cut", output_tokens=15, reached=True))
        await request.grant("e2")
        await request.end(RunFailed(status=500))
        self.assertIsInstance(request.caller.answer, AnswerRefusal)


if __name__ == "__main__":
    unittest.main()
