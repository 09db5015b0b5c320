"""Holds requests that reach a router before it is ready."""

import threading

from wagtailtrestle.contracts.outcomes import Reason

MAX_CALLER_TIMEOUT_SHARE = 1.0 / 3.0
"""Maximum share of the caller's timeout for which it is held; the rest is left for a retry at another router."""
DEFAULT_CALLER_TIMEOUT_S = 3.0
"""Timeout assumed for a caller that states none."""


class StartHold:
    """Holds requests in their worker threads while the router isn't ready yet.

    When many routers start at the same time, a refused caller retries at another router that is also
    starting, and a second refusal uses up its only retry. The time until the router is ready is short
    and limited, so the request is held instead.

    Parameters
    ----------
    reason : callable
        ``reason()`` returns why the router can't serve requests now, or ``None``.
    watch : ConnectionWatcher
        Reports when a held caller disconnects.
    max_hold_s : float
    max_held : int
        Maximum number of requests held; others are refused, so that threads remain for requests that can be served.
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
        """Continue the held requests: the router is ready now, or never will be."""
        with self._changed:
            self._changed.notify_all()

    def reason(self, *, fd, caller_timeout_s):
        """Wait until the router is ready or the hold time is over; return why the router can't serve, or ``None``.

        Parameters
        ----------
        fd : int
            File descriptor of the caller's connection.
        caller_timeout_s : float or None
            Time that the caller states it will wait.
        """
        reason = self._reason()
        if reason is not Reason.NOT_READY or not self._max_hold_s:
            return reason
        timeout_s = DEFAULT_CALLER_TIMEOUT_S if caller_timeout_s is None else caller_timeout_s
        return self._hold(fd, min(self._max_hold_s, MAX_CALLER_TIMEOUT_SHARE * timeout_s))

    def _hold(self, fd, max_hold_s):
        disconnected = threading.Event()
        with self._changed:
            if self._held >= self._max_held:
                return Reason.NOT_READY
            self._held += 1
        self._watch.watch(fd=fd, on_disconnect=lambda: (disconnected.set(), self.open()))
        try:
            with self._changed:
                self._changed.wait_for(
                    lambda: disconnected.is_set() or self._reason() is not Reason.NOT_READY, max_hold_s
                )
        finally:
            self._watch.unwatch(fd=fd)
            with self._changed:
                self._held -= 1
        return Reason.CALLER_GONE if disconnected.is_set() else self._reason()
