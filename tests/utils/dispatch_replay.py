"""Replays run outcomes against one real request of a route that may not be repeated."""

import asyncio

from tests.utils.scheduling_replay import FakeCaller, caller_request, make_entry
from wagtailtrestle.contracts.exchange import AnswerWhole, RunEnded
from wagtailtrestle.contracts.messages import Granted
from wagtailtrestle.contracts.outcomes import (
    ClaimWon,
    Executed,
    RunCut,
    RunDone,
    RunLost,
    RunNotSent,
    RunRejected,
    RunSilent,
)
from wagtailtrestle.spec.monitor import Monitor

WINNING = ("ask(send=0, writer=0)", "read(writer=0)", "write_claim(writer=0, send=0)", "write_done(writer=0)")
OUTCOMES = (
    RunNotSent(detail="refused"),
    RunCut(detail="cut", reached=False),
    RunCut(detail="cut", reached=True),
    RunSilent(reached=False),
    RunLost(),
    RunRejected(status=500),
    RunDone(),
)
LONG_S = 600.0
STEP_S = 0.01


class WonClaims:
    """Fake claims: every claim is won, and the calls that end a claim are recorded."""

    def __init__(self):
        self.ends = []

    async def claim(self, *, nonce, **_):
        return ClaimWon(nonce=nonce)

    def release(self, **_):
        self.ends.append("release")

    def finish(self, **_):
        self.ends.append("finish")

    def finish_unknown(self, **_):
        self.ends.append("finish_unknown")


class DispatchReplay:
    """One request whose successive runs end with the given outcomes.

    Parameters
    ----------
    specification : Specification
        The specification of claims.
    outcomes : tuple of RunOutcome
    """

    def __init__(self, *, specification, outcomes):
        self.monitor = Monitor(specification)
        self.claims = WonClaims()
        self._outcomes = outcomes
        self._caller = FakeCaller()

    async def run(self):
        """Run the request until it is answered or no outcome is left."""
        loop = asyncio.get_running_loop()
        entry, _ = make_entry(loop=loop, claims=self.claims)
        for action in (*WINNING, "answer_won(writer=0, send=0)", "win(send=0)"):
            self.monitor.take(action)
        request = caller_request(
            "n0", repeatable=False, deadline=loop.time() + LONG_S, at_most_once=True, idempotency_key="k"
        )
        entry.submit(request, self._caller)
        for outcome in self._outcomes:
            await asyncio.sleep(STEP_S)
            self._grant(entry)
            await asyncio.sleep(STEP_S)
            if self._caller.answer is not None:
                break
            self._end_run(entry, outcome)
            await asyncio.sleep(STEP_S)
        self._report_answer()
        await entry.close()

    def _grant(self, entry):
        task = entry.tasks_by_id.get("n0")
        if task is not None and str(task.state) == "queued":
            limits = {"progress_deadline_s": LONG_S, "first_token_deadline_s": LONG_S}
            entry.on_scheduler_message(Granted(request_id="n0", attempt=task.attempt, engine="e1", **limits))

    def _end_run(self, entry, outcome):
        start = self._caller.starts[-1]
        if not start.attach and not isinstance(outcome, RunNotSent):
            # Bytes were sent, so the run is known to have begun only if the engine reported it.
            began = isinstance(outcome, RunDone) or getattr(outcome, "reached", False)
            self.monitor.take("dispatch(send=0)" if began else "dispatch_without_run(send=0)")
        entry.post("n0", RunEnded(run_id=start.run_id, outcome=outcome, duration_s=0.1))

    def _report_answer(self):
        answer = self._caller.answer
        if answer is None:
            return
        if isinstance(answer, AnswerWhole):
            # The answer of an attached run comes from the first run, which was not reported until then.
            self.monitor.take_first("finish(send=0)", "cut(send=0)")
        elif answer.refusal.executed is Executed.NO:
            self.monitor.take("refuse(send=0)")
        else:
            self.monitor.take("cut(send=0)")
        expected = {"no": "release", "answer": "finish", "unknown": "finish_unknown"}
        reported = "answer" if isinstance(answer, AnswerWhole) else self.monitor.read("reported[0]")
        if self.claims.ends != [expected[reported]]:
            self.monitor.violations.append(f"the caller was told {reported} but the ledger received {self.claims.ends}")

    @property
    def dispatches(self):
        """Runs that were started, without those that attached to an earlier one."""
        return [start for start in self._caller.starts if not start.attach]
