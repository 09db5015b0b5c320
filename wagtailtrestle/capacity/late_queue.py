"""Requests that missed their target and wait on while their callers do, in order of tier and arrival."""

import bisect
import itertools


class LateQueue:
    """The late requests of a cell.

    Attributes
    ----------
    by_request_id : dict of str to WaitingRequest
        All late requests, including parked ones.
    """

    __slots__ = ("by_request_id", "_ready", "_entry_by_request_id", "_work_by_tier", "_sequence")

    def __init__(self):
        self.by_request_id = {}
        self._ready = []
        self._entry_by_request_id = {}
        self._work_by_tier = {}
        self._sequence = itertools.count()

    def __len__(self):
        return len(self.by_request_id)

    @property
    def ready(self):
        """Number of requests that any free slot might serve."""
        return len(self._ready)

    @property
    def parked(self):
        """Number of requests that are not ready."""
        return len(self.by_request_id) - len(self._ready)

    def add(self, waiting):
        """Add a request that is not ready yet."""
        tier = waiting.request.tier
        self.by_request_id[waiting.request_id] = waiting
        self._work_by_tier[tier] = self._work_by_tier.get(tier, 0.0) + waiting.work_s

    def make_ready(self, waiting):
        """Let any free slot serve a request of this queue."""
        entry = (waiting.request.tier, waiting.arrived_at, next(self._sequence), waiting)
        self._entry_by_request_id[waiting.request_id] = entry
        bisect.insort(self._ready, entry)

    def remove(self, waiting):
        """Remove a request, ready or not."""
        tier = waiting.request.tier
        del self.by_request_id[waiting.request_id]
        self._work_by_tier[tier] -= waiting.work_s
        if not self.by_request_id:
            # Otherwise rounding errors would accumulate.
            self._work_by_tier.clear()
        entry = self._entry_by_request_id.pop(waiting.request_id, None)
        if entry is not None:
            del self._ready[bisect.bisect_left(self._ready, entry)]

    def first(self):
        """Return the ready request to serve first; ``None`` if none is ready."""
        return self._ready[0][-1] if self._ready else None

    def last(self):
        """Return the request to evict first; ``None`` if none waits."""
        if self._ready:
            return self._ready[-1][-1]
        return next(reversed(self.by_request_id.values()), None)

    def work_ahead_s(self, tier):
        """Engine-seconds that are served before another late request of this tier."""
        return sum(work_s for other, work_s in self._work_by_tier.items() if other <= tier)
