"""End-to-end budget of retries for one service: a share of what succeeded lately.

When engines fail, every retry is more load on those that are left, and the failure
feeds itself. A retry is allowed only as a share of recent successes, counted where the
request is owned and so once for the whole path, not once for each hop.
"""

import math

RETRY_SHARE = 0.1
"""Retries allowed for each recent success."""

RETRY_FLOOR = 3.0
"""Retries allowed within the window whatever succeeded, so that a quiet service can recover."""

RETRY_WINDOW_S = 10.0


class RetryBudget:
    """Whether one more retry may be made.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    share : float
        Retries per success.
    floor : float
        Retries allowed within a window without any success.
    window_s : float
        Time constant with which successes and retries fade.
    """

    __slots__ = ("floor", "_clock", "_share", "_window_s", "_successes", "_retries", "_faded_at")

    def __init__(self, *, clock, share=RETRY_SHARE, floor=RETRY_FLOOR, window_s=RETRY_WINDOW_S):
        self._clock = clock
        self._share = share
        self.floor = floor
        self._window_s = window_s
        self._successes = 0.0
        self._retries = 0.0
        self._faded_at = clock()

    def has_room(self) -> bool:
        """Whether the budget holds a retry now."""
        self._fade()
        return self._retries + 1.0 <= self.floor + self._share * self._successes

    def allow(self) -> bool:
        """Spend one retry if the budget holds one."""
        if not self.has_room():
            return False
        self._retries += 1.0
        return True

    def on_success(self):
        """Count a request that was answered whole."""
        self._fade()
        self._successes += 1.0

    def dump(self):
        """Return the present figures for a state dump."""
        self._fade()
        return {"successes": round(self._successes, 2), "retries": round(self._retries, 2)}

    def _fade(self):
        now = self._clock()
        kept = math.exp(-(now - self._faded_at) / self._window_s)
        self._successes *= kept
        self._retries *= kept
        self._faded_at = now
