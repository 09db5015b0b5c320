"""Connects the worker thread of a request, which does the I/O, with its task, which makes the decisions."""

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

# The task posts its final answer by the deadline, or shortly after it if a run must first be cancelled.
# A task that has failed never posts one: after this time the thread ends the request itself.
ANSWER_GRACE_S = 30.0


class CallerExchange:
    """The worker thread's side of one request; implements ``CallerLink``.

    Parameters
    ----------
    request_id : str
        The router's own id of the request.
    post_event : callable
        ``post_event(event)`` sends a ``CallerEvent`` to the request's task.
    cancel : callable
        ``cancel(run_id=…, engine=…, address=…)``, which must not block.
    """

    __slots__ = ("request_id", "displaced", "runs", "post_event", "_cancel", "_commands", "disconnected", "_lock")

    def __init__(self, *, request_id, post_event: Callable[[CallerEvent], None], cancel):
        self.request_id = request_id
        self.displaced = False
        self.runs = 0
        self.post_event = post_event
        self._cancel = cancel
        self._commands = queue.SimpleQueue()
        self.disconnected = False
        self._lock = threading.Lock()

    # CallerLink, called by the task.

    def post(self, command: CallerCommand):
        """Queue a command for the thread that handles this request."""
        self._commands.put(command)

    def cancel_run(self, *, run_id: str, engine: str, address: str):
        """Request the engine to cancel the run; the thread still posts the run's end."""
        self._cancel(run_id=run_id, engine=engine, address=address)

    # Called by the worker thread and by the watching thread.

    def caller_gone(self):
        """Notify the task, once, that the caller has disconnected."""
        with self._lock:
            if self.disconnected:
                return
            self.disconnected = True
        self.post_event(CallerGone())

    def displace(self):
        """Abort the request in favour of another one; its caller is sent ``router_full``."""
        self.displaced = True
        self.caller_gone()

    def run_commands(self, *, run, wait_s: float) -> AnswerWhole | AnswerRefusal | AnswerRecorded:
        """Execute the task's commands until its final answer, which is returned.

        Parameters
        ----------
        run : callable
            ``run(command)`` executes one ``StartRun`` in this thread and returns its ``RunEnded``.
        wait_s : float
            Time to the deadline.
        """
        while True:
            try:
                command = self._commands.get(timeout=wait_s + ANSWER_GRACE_S)
            except queue.Empty:
                logger.error("no final answer was decided for request {}", self.request_id)
                return AnswerRefusal(refusal=self._timeout_refusal())
            if not isinstance(command, StartRun):
                return command
            self.post_event(self._run(run, command))

    def _run(self, run, command):
        self.runs += 1
        try:
            return run(command)
        except Exception:
            # The task waits for exactly one end of each run. Without it the request would
            # occupy its thread and its slot on the engine forever.
            logger.exception("run {} failed in its thread", command.run_id)
            outcome = RunCut(detail="the run failed inside the router", reached=True)
            return RunEnded(run_id=command.run_id, outcome=outcome, duration_s=0.0)

    def _timeout_refusal(self):
        return Refusal(
            status=504,
            reason=Reason.DEADLINE_EXCEEDED,
            executed=Executed.UNKNOWN if self.runs else Executed.NO,
            detail="The router gave no answer by the deadline.",
        )
