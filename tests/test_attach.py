"""Attaching again to a run whose stream went silent; an attach never starts a second run."""

import unittest

import looptime

from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, RunEnded, StartRun
from wagtailtrestle.contracts.outcomes import Executed, Reason, RunCut, RunDone, RunLost, RunNotSent, RunSilent
from wagtailtrestle.entry.attaches import MAX_ATTACHES_WITHOUT_PROGRESS, MAX_UNREAD_RETRIES
from wagtailtrestle.slopes.entry import InstantCaller, make_entry, make_request

DEADLINE_S = 30.0


class ScriptedCaller(InstantCaller):
    """Ends each run or attach with the next scripted outcome and records the final answer."""

    __slots__ = ("outcomes", "starts", "answer", "answered_at")

    def __init__(self, *, entry, loop, request_id, outcomes):
        super().__init__(entry=entry, loop=loop, request_id=request_id)
        self.outcomes = list(outcomes)
        self.starts = []
        self.answer = None
        self.answered_at = None

    def post(self, command):
        if not isinstance(command, StartRun):
            self.answer = command
            self.answered_at = self.loop.time()
            return
        self.starts.append(command)
        ended = RunEnded(run_id=command.run_id, outcome=self.outcomes.pop(0), duration_s=1.0)
        self.loop.call_later(1.0, self.entry.post, self.request_id, ended)


def silent(tokens):
    return RunSilent(output_tokens=tokens, reached=True)


def held(tokens):
    return RunSilent(output_tokens=tokens, reached=True, held=True)


class AttachTest(unittest.TestCase):
    def serve(self, outcomes, *, repeatable=False):
        loop = looptime.new_event_loop()

        async def run():
            entry, _ = make_entry(loop)
            caller = ScriptedCaller(entry=entry, loop=loop, request_id="r", outcomes=outcomes)
            entry.submit(make_request(loop, "r", repeatable=repeatable, deadline_s=DEADLINE_S), caller)
            await entry.drained()
            return caller

        try:
            return loop.run_until_complete(run())
        finally:
            loop.close()

    def test_engine_that_stalls_but_continues_is_not_lost(self):
        # Guards against a request that ends as unknown although its engine works on it: the engine stalls four
        # times for longer than the progress deadline, since it prefills another long prompt, and sends a few
        # more tokens after each attach.
        caller = self.serve([silent(3), silent(6), silent(9), silent(12), RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual([start.attach for start in caller.starts], [False, True, True, True, True])
        self.assertEqual(len({start.run_id for start in caller.starts}), 1)

    def test_silent_engine_is_waited_for_until_the_deadline(self):
        # A request that may not be repeated is refused as executed at its deadline and not before: the engine
        # accepts each new connection, so its VM is alive, and a process that was paused for ten silence limits
        # still finishes the run. The run is never sent a second time.
        caller = self.serve([silent(3)] * 100)
        self.assertIsInstance(caller.answer, AnswerRefusal)
        self.assertEqual(caller.answer.refusal.reason, Reason.DEADLINE_EXCEEDED)
        self.assertEqual(caller.answer.refusal.executed, Executed.YES)
        self.assertAlmostEqual(caller.answered_at, DEADLINE_S, delta=1.0)
        self.assertEqual(sum(not start.attach for start in caller.starts), 1)

    def test_engine_that_resumes_within_the_deadline_keeps_the_run(self):
        # Guards against a run that finishes without a reader: its engine was paused for longer than three silence
        # limits and answered no attach meanwhile, and the run was abandoned after the third limit.
        caller = self.serve([silent(0)] * (MAX_ATTACHES_WITHOUT_PROGRESS + 2) + [RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(sum(not start.attach for start in caller.starts), 1)

    def test_engine_that_accepts_no_connection_is_lost_immediately(self):
        # The VM is gone, so that the attach can't be sent: the caller is answered without waiting for the deadline.
        caller = self.serve([silent(3), RunNotSent(detail="no connection")])
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(caller.answer.refusal.executed, Executed.YES)
        self.assertAlmostEqual(caller.answered_at, 2.0, delta=0.1)

    def test_engine_that_reads_the_attach_before_the_run_keeps_the_run(self):
        # Guards against a run that is reported as lost while its engine executes it: the engine was paused before it
        # read the run, and on resuming read the attach first, reported the run unknown, and then started it.
        unsent = RunSilent(output_tokens=0, reached=False)
        caller = self.serve([unsent, RunLost(), RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(sum(not start.attach for start in caller.starts), 1)

    def test_engine_that_never_read_the_run_is_lost_after_the_retries(self):
        # The outcome is reported as unknown within a second: the engine has restarted, and will not read what was
        # sent to its former process.
        caller = self.serve([RunSilent(output_tokens=0, reached=False)] + [RunLost()] * (2 + MAX_UNREAD_RETRIES))
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(caller.answer.refusal.executed, Executed.UNKNOWN)
        self.assertEqual(len(caller.starts), 2 + MAX_UNREAD_RETRIES)

    def test_engine_that_no_longer_knows_a_confirmed_run_has_lost_it(self):
        # The caller is answered without further attempts: the engine confirmed the run and has restarted since.
        caller = self.serve([silent(0), held(0), RunLost()])
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(len(caller.starts), 3)

    def test_engine_that_resets_each_attach_is_lost(self):
        # The run is lost after the maximum number of attaches. An engine that resets each connection is alive and does
        # not continue the run.
        caller = self.serve(
            [RunCut(detail="reset", output_tokens=3, reached=True)] * (MAX_ATTACHES_WITHOUT_PROGRESS + 2)
        )
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(len(caller.starts), 1 + MAX_ATTACHES_WITHOUT_PROGRESS)

    def test_run_in_the_queue_of_an_engine_that_answers_is_waited_for(self):
        # Guards against a run that is lost while it waits in its engine's queue: it was abandoned after the third
        # silence limit, although the engine confirmed on each new connection that it held the run. Here the
        # answer comes after ten limits.
        caller = self.serve([silent(0)] + [held(0)] * 10 + [RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len({start.run_id for start in caller.starts}), 1)

    def test_engine_that_goes_silent_after_it_confirmed_the_run_is_waited_for(self):
        # An engine's earlier confirmation does not prove that it is still alive, but abandoning the run gains
        # nothing, since no other engine may execute it.
        caller = self.serve(
            [silent(0)] + [held(0)] * 5 + [silent(0)] * MAX_ATTACHES_WITHOUT_PROGRESS + [RunDone(output_tokens=15)]
        )
        self.assertIsInstance(caller.answer, AnswerWhole)

    def test_repeatable_silent_run_moves_to_another_engine(self):
        # A request that may be repeated does not wait for a paused engine.
        caller = self.serve(
            [silent(0)] * (1 + MAX_ATTACHES_WITHOUT_PROGRESS) + [RunDone(output_tokens=15)], repeatable=True
        )
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len({start.run_id for start in caller.starts}), 2)

    def test_repeatable_queued_run_moves_to_another_engine(self):
        # A request that may be repeated does not wait in the engine's queue: after as many silent attempts as
        # for any other run, another engine gets it.
        caller = self.serve(
            [silent(0)] + [held(0)] * MAX_ATTACHES_WITHOUT_PROGRESS + [RunDone(output_tokens=15)], repeatable=True
        )
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len({start.run_id for start in caller.starts}), 2)


if __name__ == "__main__":
    unittest.main()
