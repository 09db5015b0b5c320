"""Reports on one request's runs to the scheduler of its cell."""

from wagtailtrestle.contracts.messages import RunFinished, RunProgress, RunStarted
from wagtailtrestle.contracts.outcomes import RunCancelled, RunNotSent, RunSilent


class RunReports:
    """Reports one request's runs to the scheduler of its cell; the next registration makes up for a lost message.

    Parameters
    ----------
    request_id : str
    send : callable
        ``send(message)`` sends a message to the scheduler.
    """

    __slots__ = ("_request_id", "_send")

    def __init__(self, *, request_id, send):
        self._request_id = request_id
        self._send = send

    def began(self, engine, began):
        """Report the first token of a run; ``began`` is the ``RunBegan``."""
        self._send(
            RunStarted(
                request_id=self._request_id,
                engine=engine,
                first_token_s=began.first_token_s,
                prompt_tokens=began.prompt_tokens,
                cached_tokens=began.cached_tokens,
            )
        )

    def advanced(self, output_tokens):
        """Report the progress of a run."""
        self._send(RunProgress(request_id=self._request_id, output_tokens=output_tokens))

    def finished(self, engine, ended):
        """Report the end of a run; ``ended`` is the ``RunEnded``."""
        outcome = ended.outcome
        self._send(
            RunFinished(
                request_id=self._request_id,
                engine=engine,
                result=_result_of(outcome),
                duration_s=ended.duration_s,
                first_token_s=ended.first_token_s,
                prompt_tokens=getattr(outcome, "prompt_tokens", 0),
                cached_tokens=getattr(outcome, "cached_tokens", 0),
                output_tokens=getattr(outcome, "output_tokens", 0),
                never_sent=isinstance(outcome, RunNotSent) and not outcome.arrived,
            )
        )

    def returned_slot(self, engine):
        """Return a slot in which no run was started."""
        self._send(
            RunFinished(
                request_id=self._request_id,
                engine=engine,
                result=RunNotSent.__name__,
                duration_s=0.0,
                never_sent=True,
            )
        )


def _result_of(outcome):
    # A run that the engine confirmed and that ended at its deadline shows that the engine is alive and full. When
    # such runs were reported as silent, three of them ejected the engine for 2 s or more, and requests that
    # waited for a slot there were refused.
    if isinstance(outcome, RunSilent) and outcome.held:
        return RunCancelled.__name__
    return type(outcome).__name__
