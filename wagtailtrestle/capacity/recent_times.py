"""Times of events within a sliding window."""

from collections import deque


class RecentTimes:
    """Times of recent events, oldest first.

    Parameters
    ----------
    times : iterable of float
        Readings of one clock, in any order.
    """

    __slots__ = ("_times",)

    def __init__(self, times=()):
        self._times = deque(sorted(times))

    def __len__(self):
        return len(self._times)

    def __iter__(self):
        return iter(self._times)

    def record(self, at):
        """Add the latest event."""
        self._times.append(at)

    def remove_latest(self):
        """Remove the latest event, which did not happen after all."""
        if self._times:
            self._times.pop()

    def discard_before(self, at):
        """Discard the events up to a time."""
        while self._times and self._times[0] <= at:
            self._times.popleft()

    def count_since(self, at):
        """Count the events after a time."""
        return sum(time > at for time in self._times)

    def counts_by_age_s(self, now):
        """Count the events in each whole second before now, the latest second first."""
        counts = [0] * (int(now - self._times[0]) + 1 if self._times else 0)
        for at in self._times:
            counts[int(now - at)] += 1
        return tuple(counts)
