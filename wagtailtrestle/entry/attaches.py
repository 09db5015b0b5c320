"""Limits on attaching again to a run whose stream broke or went silent."""

from wagtailtrestle.contracts.outcomes import RunCut, RunLost, RunSilent

MAX_ATTACHES_WITHOUT_PROGRESS = 2
"""Consecutive attaches without a new token after which a run is abandoned if another engine may continue it."""

MAX_UNREAD_RETRIES = 2
"""Attempts to attach again to an engine that reports a run unknown and never confirmed it."""

UNREAD_RETRY_DELAY_S = 0.2
"""Delay before such an attempt: a resumed engine reads its connections' buffers within tens of milliseconds."""


class AttachAttempts:
    """Counts the attach attempts for one request's present run."""

    __slots__ = ("_count", "_tokens", "_unread", "_is_confirmed")

    def __init__(self):
        self._count = 0
        self._tokens = 0
        self._unread = 0
        self._is_confirmed = False

    def confirm(self):
        """Record that the engine confirmed the run."""
        self._is_confirmed = True

    def retry_unread(self, outcome, *, is_last) -> bool:
        """Whether to attach once more to an engine that reports the run unknown; counts the attempt if so.

        An engine that was paused reads its connections in any order when it resumes. It may read the attach before the
        run itself, and without another attempt the caller would get the run reported as lost while the engine starts
        it. An engine that confirmed the run and no longer knows it has restarted.
        """
        if not (is_last and isinstance(outcome, RunLost)) or self._is_confirmed or self._unread >= MAX_UNREAD_RETRIES:
            return False
        self._unread += 1
        return True

    def may_attach(self, outcome) -> bool:
        """Whether a run with this outcome may be attached to once more."""
        return self._count < MAX_ATTACHES_WITHOUT_PROGRESS and isinstance(outcome, RunCut | RunSilent)

    def record_attempt(self, outcome, *, is_last):
        """Count the attach that follows an outcome; ``is_last`` if no other engine may continue the run."""
        if isinstance(outcome, RunSilent) and outcome.held:
            self._is_confirmed = True
        # Only attempts without a new token count: an engine that stalls repeatedly is slow, not lost.
        if outcome.output_tokens > self._tokens:
            self._count = 0
        self._tokens = outcome.output_tokens
        # Abandoning a run that no other engine may continue gains nothing: its engine may be paused or hold the run in
        # a long queue, and would finish it without a reader. The caller is answered at the deadline, as for any run
        # that is too slow. A run on a VM that vanished ends sooner, since no connection can be established.
        if not (is_last and isinstance(outcome, RunSilent)):
            self._count += 1

    def reset(self):
        """Reset the counters for a run on another engine."""
        self._count = 0
        self._unread = 0
        self._is_confirmed = False
