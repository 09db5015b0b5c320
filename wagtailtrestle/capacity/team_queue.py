"""Waiting requests of one team in one tier, and the teams of one tier."""

import heapq
import math

AGEING_FACTOR = 4.0
"""Seconds of later arrivals that may overtake a request, for each second of its work."""

URGENT_MARGIN_S = 0.5
"""A request goes first once this little is left to its latest start."""

COMPACT_ABOVE = 64
"""Entries of removed requests that a heap may hold beyond as many as wait."""

BUCKET_S = 0.25
"""Width of the slots of due time over which waiting work is summed."""


def due_time(waiting):
    """Time by which a waiting request is to be served, as its order among its team's."""
    return min(waiting.arrived_at + AGEING_FACTOR * waiting.work_s, waiting.latest_start - URGENT_MARGIN_S)


def _bucket(waiting):
    return math.floor(due_time(waiting) / BUCKET_S)


class TeamQueue:
    """Requests of one team in one tier, with its virtual time.

    Attributes
    ----------
    heap : list
        ``(due, sequence, waiting)``; entries of removed requests are skipped when met.
    virtual_start : float
        Start tag of the team's next request, in engine-seconds per share.
    ticket : int or None
        Sequence of the team's valid entry in its tier's heap of teams.
    tail : list
        ``(-due, -sequence, waiting)``: who is given up first when too many wait.
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
        """Take the request due first; ``None`` if none is ready."""
        while self.heap:
            waiting = heapq.heappop(self.heap)[2]
            if is_ready(waiting):
                return waiting
        return None

    def peek_last(self, is_waiting):
        """Look at the request due last, parked or not; ``None`` if none waits."""
        while self.eviction_heap and not is_waiting(self.eviction_heap[0][2]):
            heapq.heappop(self.eviction_heap)
        return self.eviction_heap[0][2] if self.eviction_heap else None

    def compact(self, *, is_ready, is_waiting):
        """Drop the entries of removed requests once they are the greater part.

        A starved tier is never popped: without this, every request that expired in it
        would stay in the heaps for as long as the overload lasts, and memory would grow.
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
        """Take a request out of the sums."""
        self.waiting -= 1
        self.work_s -= waiting.work_s
        bucket = _bucket(waiting)
        left = self.work_by_bucket[bucket] - waiting.work_s
        if not self.waiting:
            # What rounding left over would otherwise add up for ever.
            self.work_s = 0.0
            self.work_by_bucket.clear()
        elif left <= 0.0:
            self.work_by_bucket.pop(bucket)
        else:
            self.work_by_bucket[bucket] = left

    def work_ahead_s(self, waiting):
        """Engine-seconds of the team's requests that are due before this one, or with it."""
        bucket = _bucket(waiting)
        return sum(work for other, work in self.work_by_bucket.items() if other <= bucket)


class Tier:
    """One tier: its teams, and the heap of teams by virtual start time."""

    __slots__ = ("teams_by_name", "heap", "virtual_time")

    def __init__(self):
        self.teams_by_name = {}
        self.heap = []
        self.virtual_time = 0.0

    def count(self):
        """Requests that wait."""
        return sum(team.waiting for team in self.teams_by_name.values())

    def work_s(self):
        """Engine-seconds that wait."""
        return sum(team.work_s for team in self.teams_by_name.values())
