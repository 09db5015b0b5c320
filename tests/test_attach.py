"""A run whose stream goes silent is attached to again on its engine, which starts nothing twice."""

import unittest

import looptime

from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, RunEnded, StartRun
from wagtailtrestle.contracts.outcomes import Executed, Reason, RunCut, RunDone, RunLost, RunNotSent, RunSilent
from wagtailtrestle.entry.attaches import MAX_ATTACHES_WITHOUT_PROGRESS, MAX_UNREAD_RETRIES
from wagtailtrestle.slopes.entry import InstantCaller, make_entry, make_request

DEADLINE_S = 30.0


class ScriptedCaller(InstantCaller):
    """Ends each sending as the script says and keeps what it was told."""

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

    def test_engine_that_stalls_but_goes_on_is_not_lost(self):
        # The caller gets its whole answer. The engine stalls four times, each time for longer than the
        # progress deadline, since it prefills a long prompt beside; after each attach a few more tokens
        # come. Counted as losses, the question would end as unknown though its engine was at work.
        caller = self.serve([silent(3), silent(6), silent(9), silent(12), RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual([start.attach for start in caller.starts], [False, True, True, True, True])
        self.assertEqual(len({start.run_id for start in caller.starts}), 1)

    def test_silent_engine_is_waited_for_until_the_deadline(self):
        # The caller of what may not be repeated is told at its deadline that the run was executed, and no sooner:
        # the engine accepts each new connection, so its VM lives, and a process that was paused for ten limits on
        # silence still finishes the run. It is never sent a second time.
        caller = self.serve([silent(3)] * 100)
        self.assertIsInstance(caller.answer, AnswerRefusal)
        self.assertEqual(caller.answer.refusal.reason, Reason.DEADLINE_EXCEEDED)
        self.assertEqual(caller.answer.refusal.executed, Executed.YES)
        self.assertAlmostEqual(caller.answered_at, DEADLINE_S, delta=1.0)
        self.assertEqual(sum(not start.attach for start in caller.starts), 1)

    def test_engine_that_resumes_within_the_deadline_keeps_the_run(self):
        # The caller gets its whole answer. The engine was paused for longer than three limits on silence, answered no
        # attach meanwhile, and goes on. Given up after the third limit, the run ended for nobody.
        caller = self.serve([silent(0)] * (MAX_ATTACHES_WITHOUT_PROGRESS + 2) + [RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(sum(not start.attach for start in caller.starts), 1)

    def test_engine_that_accepts_no_connection_is_lost_immediately(self):
        # The caller learns at once what it can't change by waiting: the VM is gone, so that the attach is not sent.
        caller = self.serve([silent(3), RunNotSent(detail="no connection")])
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(caller.answer.refusal.executed, Executed.YES)
        self.assertAlmostEqual(caller.answered_at, 2.0, delta=0.1)

    def test_engine_that_reads_the_attach_before_the_run_keeps_the_run(self):
        # The caller gets its answer. The engine was paused before it read the run; it wakes, takes up the attach first
        # and says that it knows no such run, then reads the run and begins it. Told as lost, the run ended for nobody.
        unsent = RunSilent(output_tokens=0, reached=False)
        caller = self.serve([unsent, RunLost(), RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(sum(not start.attach for start in caller.starts), 1)

    def test_engine_that_never_read_the_run_is_lost_after_the_retries(self):
        # The caller is told within a second that the outcome isn't known: the engine has started again and will not
        # read what its former process had not.
        caller = self.serve([RunSilent(output_tokens=0, reached=False)] + [RunLost()] * (2 + MAX_UNREAD_RETRIES))
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(caller.answer.refusal.executed, Executed.UNKNOWN)
        self.assertEqual(len(caller.starts), 2 + MAX_UNREAD_RETRIES)

    def test_engine_that_no_longer_knows_a_confirmed_run_has_lost_it(self):
        # The caller is told at once: the engine confirmed the run and has started again since.
        caller = self.serve([silent(0), held(0), RunLost()])
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(len(caller.starts), 3)

    def test_engine_that_resets_each_attach_is_lost(self):
        # The caller is told after the attaches that are allowed. An engine that ends each connection itself lives and
        # doesn't go on with the run.
        caller = self.serve(
            [RunCut(detail="reset", output_tokens=3, reached=True)] * (MAX_ATTACHES_WITHOUT_PROGRESS + 2)
        )
        self.assertEqual(caller.answer.refusal.reason, Reason.ENGINE_LOST)
        self.assertEqual(len(caller.starts), 1 + MAX_ATTACHES_WITHOUT_PROGRESS)

    def test_run_in_the_queue_of_an_engine_that_answers_is_waited_for(self):
        # The caller gets its answer after ten limits on silence. Others' runs fill the engine, and this one
        # waits in its queue; asked again over a new connection each time, the engine says that it holds it.
        # Given up after the third limit, the question was lost while the engine went on to its answer.
        caller = self.serve([silent(0)] + [held(0)] * 10 + [RunDone(output_tokens=15)])
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len({start.run_id for start in caller.starts}), 1)

    def test_engine_that_goes_silent_after_it_confirmed_the_run_is_waited_for(self):
        # The caller gets its answer. What an engine said some attaches ago is no proof that it still lives, but to
        # give the run up would gain nothing: it may go nowhere else.
        caller = self.serve(
            [silent(0)] + [held(0)] * 5 + [silent(0)] * MAX_ATTACHES_WITHOUT_PROGRESS + [RunDone(output_tokens=15)]
        )
        self.assertIsInstance(caller.answer, AnswerWhole)

    def test_repeatable_silent_run_moves_to_another_engine(self):
        # The caller of what may be repeated doesn't wait for a paused engine.
        caller = self.serve(
            [silent(0)] * (1 + MAX_ATTACHES_WITHOUT_PROGRESS) + [RunDone(output_tokens=15)], repeatable=True
        )
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len({start.run_id for start in caller.starts}), 2)

    def test_repeatable_queued_run_moves_to_another_engine(self):
        # The caller of what may be repeated doesn't wait behind the queue: after as many silent tries as for
        # any other run, another engine gets it.
        caller = self.serve(
            [silent(0)] + [held(0)] * MAX_ATTACHES_WITHOUT_PROGRESS + [RunDone(output_tokens=15)], repeatable=True
        )
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len({start.run_id for start in caller.starts}), 2)


if __name__ == "__main__":
    unittest.main()
