"""A process that gets only a part of its processor time."""

import os
import signal
import threading

PERIOD_S = 0.04


class ThrottledProcess:
    """Stops and continues a process periodically, as a context manager.

    Parameters
    ----------
    pid : int
        A process that the test started.
    share : float
        Share of the time in which it runs.
    """

    __slots__ = ("_ending", "_pid", "_share", "_thread")

    def __init__(self, *, pid, share):
        self._pid = pid
        self._share = share
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._ending.set()
        self._thread.join()

    def _run(self):
        try:
            while not self._ending.is_set():
                os.kill(self._pid, signal.SIGSTOP)
                self._ending.wait(PERIOD_S * (1.0 - self._share))
                os.kill(self._pid, signal.SIGCONT)
                self._ending.wait(PERIOD_S * self._share)
        except ProcessLookupError:
            return
