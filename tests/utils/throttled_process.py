"""A process that gets only a part of its processor time.

Run as a module, it stops and continues the process with the given id until its standard input ends, and prints the
longest stop in seconds. A thread of a busy test process would continue the process seconds late.
"""

import os
import select
import signal
import subprocess
import sys
import time

PERIOD_S = 0.04


class ThrottledProcess:
    """Stops and continues a process periodically, as a context manager.

    Parameters
    ----------
    pid : int
        A process that the test started.
    share : float
        Share of the time in which it runs.

    Attributes
    ----------
    longest_stop_s : float
        Set at the end.
    """

    __slots__ = ("longest_stop_s", "_pid", "_share", "_throttle")

    def __init__(self, *, pid, share):
        self.longest_stop_s = 0.0
        self._pid = pid
        self._share = share
        self._throttle = None

    def __enter__(self):
        self._throttle = subprocess.Popen(
            [sys.executable, "-m", __spec__.name, str(self._pid), str(self._share)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        return self

    def __exit__(self, *error):
        printed, _ = self._throttle.communicate()
        self.longest_stop_s = float(printed)


def throttle(pid, share):
    """Stop and continue a process until standard input ends; return the longest stop in seconds."""
    longest_s = 0.0
    try:
        while not _wait_for_end(PERIOD_S * share):
            stopped_at = time.monotonic()
            os.kill(pid, signal.SIGSTOP)
            time.sleep(PERIOD_S * (1.0 - share))
            os.kill(pid, signal.SIGCONT)
            longest_s = max(longest_s, time.monotonic() - stopped_at)
    except ProcessLookupError:
        pass
    return longest_s


def _wait_for_end(seconds):
    return bool(select.select([sys.stdin], [], [], seconds)[0])


if __name__ == "__main__":
    print(throttle(int(sys.argv[1]), float(sys.argv[2])))
