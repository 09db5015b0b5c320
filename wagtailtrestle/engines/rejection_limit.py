"""Limits the requests that an engine has to reject, for engines that fall over when they reject too many a second."""

import math
from collections import deque

WINDOW_S = 1.2
"""Time for which a rejection counts: the second that matters to the engine, and the time until it is known here."""

TRANSIT_S = 0.15
"""Time after a grant within which the engine may still reject the run without the scheduler knowing."""

USED_SHARE = 0.5
"""Share of the rejections that an engine survives which a scheduler risks. Others may send to the engine too: a
second scheduler for a moment, or routers whose scheduler is silent."""

ROOM_GROWTH_INTERVAL_S = 2.0
"""Interval at which an engine that rejected a run is tried with one run more than it held then."""

NOTICE_TTL_S = 60.0
"""Time for which the engine's word holds without any answer of it."""


class RejectionLimit:
    """What one engine said of its rejections, and what it may be sent under it.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = ("_clock", "_max_per_s", "_stated_at", "_granted_at", "_rejected_at", "_room", "_room_at")

    def __init__(self, *, clock):
        self._clock = clock
        self._max_per_s = math.inf
        self._stated_at = -math.inf
        self._granted_at = deque()
        self._rejected_at = deque()
        self._room = math.inf
        self._room_at = -math.inf

    @property
    def in_force(self):
        """Whether the engine's last answer stated a limit that has not expired."""
        return self._max_per_s != math.inf and self._clock() - self._stated_at < NOTICE_TTL_S

    @property
    def max_per_s(self):
        """Rejections a second that the engine survives; infinite without a limit."""
        return self._max_per_s if self.in_force else math.inf

    def observe(self, max_per_s, *, age_s=0.0):
        """Apply an answer that was read ``age_s`` ago; ``max_per_s`` is infinite if it stated no limit."""
        at = self._clock() - age_s
        if at < self._stated_at:
            return
        self._max_per_s = max_per_s
        self._stated_at = at
        if max_per_s == math.inf:
            self._room = math.inf

    def record_grant(self):
        """Count a run that is granted now."""
        if self.in_force:
            self._granted_at.append(self._clock())

    def record_rejection(self, *, running):
        """Count a run that the engine rejected while it held ``running`` others, as far as known."""
        if self.in_force:
            self._rejected_at.append(self._clock())
            self._room = max(1, running)
            self._room_at = self._clock()

    def available(self, running):
        """Return how many runs may be granted now beside ``running`` others; ``None`` without a limit."""
        if not self.in_force:
            return None
        now = self._clock()
        _drop_before(self._granted_at, now - TRANSIT_S)
        _drop_before(self._rejected_at, now - WINDOW_S)
        risked = max(1, math.floor(self._max_per_s * USED_SHARE))
        room = self._room + (now - self._room_at) // ROOM_GROWTH_INTERVAL_S
        return max(0, min(risked - len(self._rejected_at) - len(self._granted_at), room - running))

    def dump(self):
        """Plain data for the state dump; ``None`` without a limit."""
        if not self.in_force:
            return None
        return {"max_per_s": self._max_per_s, "rejected": len(self._rejected_at)}


def _drop_before(times, horizon):
    while times and times[0] <= horizon:
        times.popleft()
