"""Requests that reach a router before it can serve, held until it can."""

import threading

from wagtailtrestle.contracts.outcomes import Reason

MAX_CALLER_TIMEOUT_SHARE = 1.0 / 3.0
"""Largest part of the caller's own time: what is left lets it come back elsewhere and be served."""
DEFAULT_CALLER_TIMEOUT_S = 3.0
"""Time a caller is taken to have that tells none."""


class StartHold:
    """Holds callers' threads while the router isn't ready yet.

    When many routers start together, each refusal sends its caller to another one that starts too,
    and its one return is spent on a second refusal. The wait until the router serves is short and
    known, so it is waited out instead.

    Parameters
    ----------
    reason : callable
        ``reason()`` returns why nothing can be served now, or ``None``.
    watch : CallerWatch
        Tells when a caller that is held leaves.
    longest_s : float
    most : int
        Requests held at once; the others are refused, so that threads are left for what can be served.
    """

    __slots__ = ("_reason", "_watch", "_max_hold_s", "_max_held", "_changed", "_held")

    def __init__(self, *, reason, watch, max_hold_s, max_held):
        self._reason = reason
        self._watch = watch
        self._max_hold_s = max_hold_s
        self._max_held = max_held
        self._changed = threading.Condition()
        self._held = 0

    def open(self):
        """Let go what is held: the router serves now, or never will."""
        with self._changed:
            self._changed.notify_all()

    def reason(self, *, fd, caller_timeout_s):
        """Why nothing can be served, told once the router serves or the wait is over.

        Parameters
        ----------
        fd : int
            The caller's connection.
        caller_time_s : float or None
            How long the caller will wait, where it says so.
        """
        reason = self._reason()
        if reason is not Reason.NOT_READY or not self._max_hold_s:
            return reason
        timeout_s = DEFAULT_CALLER_TIMEOUT_S if caller_timeout_s is None else caller_timeout_s
        return self._hold(fd, min(self._max_hold_s, MAX_CALLER_TIMEOUT_SHARE * timeout_s))

    def _hold(self, fd, max_hold_s):
        gone = threading.Event()
        with self._changed:
            if self._held >= self._max_held:
                return Reason.NOT_READY
            self._held += 1
        self._watch.watch(fd=fd, on_disconnect=lambda: (gone.set(), self.open()))
        try:
            with self._changed:
                self._changed.wait_for(lambda: gone.is_set() or self._reason() is not Reason.NOT_READY, max_hold_s)
        finally:
            self._watch.unwatch(fd=fd)
            with self._changed:
                self._held -= 1
        return Reason.CALLER_GONE if gone.is_set() else self._reason()
