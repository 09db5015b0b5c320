"""Token bucket and sliding window for the rate limit that an engine states in its answers."""

import math

WINDOW_S = 4.0
"""Sliding window in which the number of requests stays within the limit, also across a change of the limit."""

BURST_S = 0.5
"""Burst, as the time in which the limit allows that many requests: an overloaded engine doesn't benefit from a
second without requests if the next one makes up for it."""

MIN_PER_S = 0.1
"""Lowest rate under any limit, 0 included: only an engine that answers requests can show that its limit has ended."""

MIN_UNLIMITED_ANSWERS = 2
"""Minimum number of consecutive answers without a limit before the limit is raised."""

MAX_CHANCE_OF_UNLIMITED_ANSWERS = 0.01
"""The limit is raised once that many consecutive answers without it would be less likely than this, had the engine
stated it as often as before: an engine may state its limit in only some of its answers."""

MIN_UNLIMITED_S = 1.0
"""Minimum time from the last answer that states a limit until it is raised."""

DOUBLING_TIME_S = 0.5
"""Time in which a limit that is no longer stated doubles."""

LIMIT_NOTICE_TTL_S = 10.0
"""Time for which routers pass on a limit that an answer stated; an older one may have ended in an
answer that they did not receive."""

LIFTED_GROWTH_FACTOR = 16.0
"""Growth at which the limit is removed: the engine's load returns gradually, over some seconds."""


class RateLimit:
    """The rate limit that one engine states, and the requests sent under it.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = (
        "_clock",
        "_per_s",
        "_limited_answer_at",
        "_last_answer_at",
        "_answers",
        "_limited_answers",
        "_consecutive_unlimited",
        "_raised_since",
        "_tokens",
        "_refilled_at",
        "_request_times",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._per_s = math.inf
        self._limited_answer_at = -math.inf
        self._last_answer_at = -math.inf
        self._answers = 0
        self._limited_answers = 0
        self._consecutive_unlimited = 0
        self._raised_since = math.inf
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._request_times = []

    @property
    def in_force(self):
        """Whether a limit is in force."""
        return self._per_s != math.inf

    @property
    def age_s(self):
        """Time since an answer last stated a limit; infinite if none did, or if it has ended and is long ago."""
        age_s = self._clock() - self._limited_answer_at
        return age_s if self.in_force or age_s < LIMIT_NOTICE_TTL_S else math.inf

    def observe(self, per_s, *, age_s=0.0):
        """Apply an answer that was read ``age_s`` ago; ``per_s`` is its limit, infinite without one."""
        at = self._clock() - age_s
        if at < self._last_answer_at:
            return
        self._last_answer_at = at
        if per_s == math.inf:
            self._observe_unlimited(at)
            return
        if not self.in_force:
            self._tokens = 0.0
            self._refilled_at = self._clock()
            self._answers = self._limited_answers = 0
        self._refill()
        self._per_s = max(MIN_PER_S, per_s)
        self._tokens = min(self._tokens, self._burst())
        self._limited_answer_at = at
        self._answers += 1
        self._limited_answers += 1
        self._consecutive_unlimited = 0
        self._raised_since = math.inf

    def record_request(self):
        """Count a request that is granted now."""
        if self.in_force:
            self._refill()
            self._tokens -= 1.0
            self._request_times.append(self._clock())

    def record_earlier_request(self, granted_at):
        """Count a request that was granted earlier: it counts in the window and consumes no token."""
        if self.in_force:
            self._request_times.append(granted_at)

    def available_requests(self):
        """Number of requests that may be granted now; ``None`` without a limit."""
        self._refill()
        if not self.in_force:
            return None
        horizon = self._clock() - WINDOW_S
        self._request_times = [at for at in self._request_times if at > horizon]
        left_in_window = 1.0 + self._rate() * WINDOW_S - len(self._request_times)
        return max(0, math.floor(min(self._tokens, left_in_window)))

    def per_s(self):
        """Current rate in requests per second; infinite without a limit."""
        return self._rate() if self.in_force else math.inf

    def dump(self):
        """Plain data for the state dump; ``None`` without a limit."""
        if not self.in_force:
            return None
        return {"named_per_s": self._per_s, "per_s": round(self._rate(), 3), "age_s": round(self.age_s, 3)}

    def _observe_unlimited(self, at):
        if not self.in_force:
            return
        self._answers += 1
        self._consecutive_unlimited += 1
        if self._raised_since == math.inf and at - self._limited_answer_at > MIN_UNLIMITED_S and self._seems_lifted():
            self._refill()
            self._raised_since = self._clock()

    def _seems_lifted(self):
        answers_before = self._answers - self._consecutive_unlimited
        share = (self._limited_answers + 0.5) / (answers_before + 2.0)
        return (
            self._consecutive_unlimited >= MIN_UNLIMITED_ANSWERS
            and (1.0 - share) ** self._consecutive_unlimited <= MAX_CHANCE_OF_UNLIMITED_ANSWERS
        )

    def _rate(self):
        raised_s = max(0.0, self._clock() - self._raised_since)
        return self._per_s * 2.0 ** (raised_s / DOUBLING_TIME_S)

    def _burst(self):
        return max(1.0, self._rate() * BURST_S)

    def _refill(self):
        """Refill the token bucket, and remove a limit that has grown by ``LIFTED_GROWTH_FACTOR``."""
        if not self.in_force:
            return
        now = self._clock()
        self._tokens = min(self._burst(), self._tokens + self._rate() * (now - self._refilled_at))
        self._refilled_at = now
        if self._rate() >= LIFTED_GROWTH_FACTOR * self._per_s:
            self._per_s = math.inf
            self._raised_since = math.inf
            self._request_times.clear()
