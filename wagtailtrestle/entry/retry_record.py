"""History of one router's retries and complete answers, from which a new scheduler restores its retry budget."""

from collections import defaultdict

from wagtailtrestle.capacity.recent_times import RecentTimes
from wagtailtrestle.contracts.messages import RetryHistory


class RetryRecord:
    """Retries sent and complete answers received since this process started, by cell.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    window_s : callable
        Returns the length of the retry budget's window in seconds.
    """

    __slots__ = ("_started_at", "_clock", "_window_s", "_retries_by_cell", "_successes_by_cell")

    def __init__(self, *, clock, window_s):
        self._clock = clock
        self._window_s = window_s
        self._started_at = clock()
        self._retries_by_cell = defaultdict(RecentTimes)
        self._successes_by_cell = defaultdict(RecentTimes)

    def record_retry(self, cell):
        """Record a retry that is sent."""
        self._retries_by_cell[cell].record(self._clock())
        self._drop_expired(self._retries_by_cell[cell])

    def revert_retry(self, cell):
        """Remove the last retry, since no connection was made for it."""
        self._retries_by_cell[cell].remove_latest()

    def record_success(self, cell):
        """Record a request that got a complete answer."""
        self._successes_by_cell[cell].record(self._clock())
        self._drop_expired(self._successes_by_cell[cell])

    def history(self, cell):
        """Build the history of a cell for its scheduler."""
        return RetryHistory(
            up_s=self._clock() - self._started_at,
            retries_by_age_s=self._by_age_s(self._retries_by_cell[cell]),
            successes_by_age_s=self._by_age_s(self._successes_by_cell[cell]),
        )

    def _by_age_s(self, times):
        self._drop_expired(times)
        return times.counts_by_age_s(self._clock())

    def _drop_expired(self, times):
        times.discard_before(self._clock() - self._window_s())
