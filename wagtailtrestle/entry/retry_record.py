"""What one router sent a second time and what it got answered, for a scheduler that is new."""

from collections import defaultdict

from wagtailtrestle.capacity.recent_times import RecentTimes
from wagtailtrestle.contracts.messages import RetryHistory


class RetryRecord:
    """Retries sent and whole answers got since this process started, by cell.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    window_s : callable
        Returns the time for which they count.
    """

    __slots__ = ("_started_at", "_clock", "_window_s", "_retries_by_cell", "_successes_by_cell")

    def __init__(self, *, clock, window_s):
        self._clock = clock
        self._window_s = window_s
        self._started_at = clock()
        self._retries_by_cell = defaultdict(RecentTimes)
        self._successes_by_cell = defaultdict(RecentTimes)

    def record_retry(self, cell):
        """Count a retry that is sent."""
        self._retries_by_cell[cell].note(self._clock())
        self._drop_expired(self._retries_by_cell[cell])

    def revert_retry(self, cell):
        """Forget the last retry: no connection was made for it."""
        self._retries_by_cell[cell].take_back()

    def record_success(self, cell):
        """Count a request that was answered whole."""
        self._successes_by_cell[cell].note(self._clock())
        self._drop_expired(self._successes_by_cell[cell])

    def history(self, cell):
        """What a scheduler is told."""
        return RetryHistory(
            up_s=self._clock() - self._started_at,
            retries_by_age_s=self._by_age_s(self._retries_by_cell[cell]),
            successes_by_age_s=self._by_age_s(self._successes_by_cell[cell]),
        )

    def _by_age_s(self, times):
        self._drop_expired(times)
        return times.by_age_s(self._clock())

    def _drop_expired(self, times):
        times.forget_before(self._clock() - self._window_s())
