"""How often a run whose stream broke or fell silent may be attached to again."""

from wagtailtrestle.contracts.outcomes import RunCut, RunLost, RunSilent

MAX_ATTACHES_WITHOUT_PROGRESS = 2
"""Attaches in a row that bring no token, after which a run is given up where another engine may go on with it."""

MAX_UNREAD_RETRIES = 2
"""Times an engine that doesn't know a run, of which it never gave a sign, is asked again."""

UNREAD_RETRY_DELAY_S = 0.2
"""Time until it is: an engine that wakes reads what its connections hold within some ten milliseconds."""


class AttachAttempts:
    """Counts what was tried on one request's present run."""

    __slots__ = ("_count", "_tokens", "_unread", "_is_confirmed")

    def __init__(self):
        self._count = 0
        self._tokens = 0
        self._unread = 0
        self._is_confirmed = False

    def confirm(self):
        """Note that the engine gave a sign of the run."""
        self._is_confirmed = True

    def retry_unread(self, outcome, *, is_last) -> bool:
        """Whether an engine that doesn't know the run is asked once more.

        An engine that was paused takes up its connections in any order when it wakes. The attach may be read before the
        run itself, whose caller then heard that it was lost while the engine began it. An engine that gave a sign of
        the run and knows it no more has started again.
        """
        if not (is_last and isinstance(outcome, RunLost)) or self._is_confirmed or self._unread >= MAX_UNREAD_RETRIES:
            return False
        self._unread += 1
        return True

    def may_attach(self, outcome) -> bool:
        """Whether a run that ended so may be attached to once more."""
        return self._count < MAX_ATTACHES_WITHOUT_PROGRESS and isinstance(outcome, RunCut | RunSilent)

    def record_attempt(self, outcome, *, is_last):
        """Count the attach that follows an outcome; ``is_last`` if no other engine may go on with the run."""
        if isinstance(outcome, RunSilent) and outcome.held:
            self._is_confirmed = True
        # Only tries without a new token count: an engine that stalls again and again is slow, not lost.
        if outcome.output_tokens > self._tokens:
            self._count = 0
        self._tokens = outcome.output_tokens
        # A run that may go nowhere else gains nothing by being given up: its engine may only be paused, or hold it in a
        # long queue, and finishes it for nobody then. Its caller is told at the deadline, as the caller of any run
        # that is too slow. A VM that vanished doesn't hold it so long: no connection to it is established.
        if not (is_last and isinstance(outcome, RunSilent)):
            self._count += 1

    def reset(self):
        """Count from nothing: another engine goes on."""
        self._count = 0
        self._unread = 0
        self._is_confirmed = False
