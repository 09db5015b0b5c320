"""One caller's request between its thread, which carries bytes, and its task, which decides."""

import queue
import threading
from collections.abc import Callable

from loguru import logger

from wagtailtrestle.contracts.exchange import (
    AnswerRecorded,
    AnswerRefusal,
    AnswerWhole,
    CallerCommand,
    CallerEvent,
    CallerGone,
    RunEnded,
    StartRun,
)
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal, RunCut

# The task answers by the deadline, and a moment later if a run must first be cancelled.
# A task that failed answers never: past this the thread ends the request by itself.
ANSWER_GRACE_S = 30.0


class CallerExchange:
    """The caller's side of one request; implements ``CallerLink``.

    Parameters
    ----------
    request_id : str
        Ours.
    post_event : callable
        ``post_event(event)`` gives a ``CallerEvent`` to the request's task.
    cancel : callable
        ``cancel(run_id=…, address=…)``, which must not block.
    """

    __slots__ = ("request_id", "displaced", "runs", "post_event", "_cancel", "_commands", "gone", "_lock")

    def __init__(self, *, request_id, post_event: Callable[[CallerEvent], None], cancel):
        self.request_id = request_id
        self.displaced = False
        self.runs = 0
        self.post_event = post_event
        self._cancel = cancel
        self._commands = queue.SimpleQueue()
        self.gone = False
        self._lock = threading.Lock()

    # CallerLink, called by the task.

    def post(self, command: CallerCommand):
        """Queue a command for the thread that carries this request."""
        self._commands.put(command)

    def cancel_run(self, *, run_id: str, engine: str, address: str):
        """Ask the engine to cancel; the thread still posts the run's end."""
        self._cancel(run_id=run_id, address=address)

    # Called by the caller's thread and by the watching thread.

    def caller_gone(self):
        """Tell the task, once, that nobody waits for the answer any more."""
        with self._lock:
            if self.gone:
                return
            self.gone = True
        self.post_event(CallerGone())

    def displace(self):
        """Give the request up for a higher tier; the caller is told so."""
        self.displaced = True
        self.caller_gone()

    def run_commands(self, *, run, wait_s: float) -> AnswerWhole | AnswerRefusal | AnswerRecorded:
        """Obey the task until its final answer, which is returned.

        Parameters
        ----------
        run : callable
            ``run(command)`` does one ``StartRun`` in this thread and returns its ``RunEnded``.
        wait_s : float
            Time to the deadline.
        """
        while True:
            try:
                command = self._commands.get(timeout=wait_s + ANSWER_GRACE_S)
            except queue.Empty:
                logger.error("no final answer was decided for request {}", self.request_id)
                return AnswerRefusal(refusal=self._undecided())
            if not isinstance(command, StartRun):
                return command
            self.post_event(self._run(run, command))

    def _run(self, run, command):
        self.runs += 1
        try:
            return run(command)
        except Exception:
            # The task waits for exactly one end of each run. Without it the request would
            # hold its thread and its place on the engine for ever.
            logger.exception("run {} failed in its thread", command.run_id)
            outcome = RunCut(detail="the run failed inside the router", reached=True)
            return RunEnded(run_id=command.run_id, outcome=outcome, duration_s=0.0)

    def _undecided(self):
        return Refusal(
            status=504,
            reason=Reason.DEADLINE_EXCEEDED,
            executed=Executed.UNKNOWN if self.runs else Executed.NO,
            detail="The router gave no answer by the deadline.",
        )
