"""Waiting requests of one team in one tier, and the teams of one tier."""

import heapq
import math

AGEING_FACTOR = 4.0
"""Seconds, per second of a request's work, within which later arrivals may overtake it."""

URGENT_MARGIN_S = 0.5
"""A request goes first once only this much time is left to its latest start."""

COMPACT_ABOVE = 64
"""Entries beyond twice the number of waiting requests from which on a heap is compacted."""

BUCKET_S = 0.25
"""Width of the due-time buckets in which waiting work is summed."""


def due_time(waiting):
    """Return the time that orders a waiting request among those of its team."""
    return min(waiting.arrived_at + AGEING_FACTOR * waiting.work_s, waiting.latest_start - URGENT_MARGIN_S)


def _bucket(waiting):
    return math.floor(due_time(waiting) / BUCKET_S)


class TeamQueue:
    """Requests of one team in one tier, with its virtual time.

    Attributes
    ----------
    heap : list
        ``(due_time, sequence, waiting)``; entries of removed requests are skipped when popped.
    virtual_start : float
        Start tag of the team's next request, in engine-seconds per share.
    ticket : int or None
        Sequence number of the team's valid entry in its tier's heap of teams.
    eviction_heap : list
        ``(-due, -sequence, waiting)``: the order of eviction when too many wait.
    waiting, work_s : int, float
        Requests that wait, parked ones included, and their engine-seconds.
    """

    __slots__ = ("name", "heap", "eviction_heap", "virtual_start", "ticket", "waiting", "work_s", "work_by_bucket")

    def __init__(self, *, name):
        self.name = name
        self.heap = []
        self.eviction_heap = []
        self.virtual_start = 0.0
        self.ticket = None
        self.waiting = 0
        self.work_s = 0.0
        self.work_by_bucket = {}

    def pop_first(self, is_ready):
        """Remove and return the request due first; ``None`` if none is ready."""
        while self.heap:
            waiting = heapq.heappop(self.heap)[2]
            if is_ready(waiting):
                return waiting
        return None

    def peek_last(self, is_waiting):
        """Return the request due last, parked or not, without removing it; ``None`` if none waits."""
        while self.eviction_heap and not is_waiting(self.eviction_heap[0][2]):
            heapq.heappop(self.eviction_heap)
        return self.eviction_heap[0][2] if self.eviction_heap else None

    def compact(self, *, is_ready, is_waiting):
        """Drop the entries of removed requests once they are the majority.

        A starved tier is never popped. Without this, every request that expired in it would stay in the heaps for as
        long as the overload lasts, and memory would grow.
        """
        limit = COMPACT_ABOVE + 2 * self.waiting
        if len(self.heap) > limit:
            self.heap = [entry for entry in self.heap if is_ready(entry[2])]
            heapq.heapify(self.heap)
        if len(self.eviction_heap) > limit:
            self.eviction_heap = [entry for entry in self.eviction_heap if is_waiting(entry[2])]
            heapq.heapify(self.eviction_heap)

    def count(self, waiting):
        """Add a request to the sums."""
        self.waiting += 1
        self.work_s += waiting.work_s
        bucket = _bucket(waiting)
        self.work_by_bucket[bucket] = self.work_by_bucket.get(bucket, 0.0) + waiting.work_s

    def remove_from_totals(self, waiting):
        """Subtract a request from the sums."""
        self.waiting -= 1
        self.work_s -= waiting.work_s
        bucket = _bucket(waiting)
        left = self.work_by_bucket[bucket] - waiting.work_s
        if not self.waiting:
            # Otherwise rounding errors would accumulate.
            self.work_s = 0.0
            self.work_by_bucket.clear()
        elif left <= 0.0:
            self.work_by_bucket.pop(bucket)
        else:
            self.work_by_bucket[bucket] = left

    def work_ahead_s(self, waiting):
        """Return the engine-seconds of the team's requests due before this one or in the same bucket."""
        bucket = _bucket(waiting)
        return sum(work for other, work in self.work_by_bucket.items() if other <= bucket)


class Tier:
    """One tier: its teams and their heap by virtual start time."""

    __slots__ = ("teams_by_name", "heap", "virtual_time")

    def __init__(self):
        self.teams_by_name = {}
        self.heap = []
        self.virtual_time = 0.0

    def count(self):
        """Return the number of waiting requests."""
        return sum(team.waiting for team in self.teams_by_name.values())

    def work_s(self):
        """Return the engine-seconds of waiting work."""
        return sum(team.work_s for team in self.teams_by_name.values())
