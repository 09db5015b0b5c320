"""Time for which this process ran, without its pauses."""

PAUSE_GAP_S = 0.8
"""Gap between two calls from which on the process counts as paused."""


class RunningTime:
    """A clock that stands still while the process is stopped.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    __slots__ = ("_clock", "_read_at", "_paused_s")

    def __init__(self, *, clock):
        self._clock = clock
        self._read_at = clock()
        self._paused_s = 0.0

    def running_s(self):
        """Return the seconds for which the process ran; must be called several times a second."""
        now = self._clock()
        if now - self._read_at > PAUSE_GAP_S:
            self._paused_s += now - self._read_at
        self._read_at = now
        return now - self._paused_s
