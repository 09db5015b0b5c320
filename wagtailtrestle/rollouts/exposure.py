"""Limits how much of a service's traffic an untested version gets."""

from collections import Counter

TRIAL_SHARE_FRACTION = 0.85
"""Fraction of the operator's share that is used during the trial. The rest covers runs granted while a service briefly
has two schedulers."""

TRIAL_SLACK_FRACTION = 0.5
"""Fraction of the operator's slack that is used during the trial. The rest bounds the requests that a version gets,
until it is detected, if it fails only once all traffic moves to it."""

RAMP_FRACTION = 0.97
"""Fraction of the operator's total allowance that is used before all requests go to the target."""

COMMON_ROUTE_FRACTION = 0.05
"""A route with at least this fraction of a service's runs limits the exposures of the other routes."""
MAX_EXPOSURE_RATIO = 1.5
MAX_EXPOSURE_LEAD = 3
"""Exposures that a route may have for each one of the least exposed common route, and in addition."""

CREDIT_ACCUMULATION_S = 1.2
"""Time for which exposures accumulate, to be used in one burst on one engine: spread thinly, they would never detect a
version that fails only when its engine is full."""


class Exposure:
    """Counts the runs granted in a service and on the target, and decides whether the target may get another.

    Parameters
    ----------
    share : float
        Fraction of the service's requests that an untested version may get.
    slack : int
        Number of requests that it may get in addition.
    now : float
    granted, exposed : int
        Counts of the previous coordinator.
    """

    __slots__ = (
        "granted",
        "exposed",
        "_share",
        "_slack",
        "_credit_by_route",
        "_granted_by_route",
        "_exposed_by_route",
        "_opens_at",
        "_is_wide",
    )

    def __init__(self, *, share, slack, now, granted=0, exposed=0):
        self.granted = granted
        self.exposed = exposed
        self._share = share
        self._slack = slack
        self._credit_by_route = Counter()
        self._granted_by_route = Counter()
        self._exposed_by_route = Counter()
        self._opens_at = now
        self._is_wide = False

    def widen(self):
        """Raise the limit to ``RAMP_FRACTION`` of the operator's allowance and stop spacing exposures."""
        self._is_wide = True

    def may_expose(self, route, now):
        """Return whether a request of this route may go to the target now."""
        if self.exposed + 1 > self._max_exposed() or self._is_ahead(route):
            return False
        return self._is_wide or (now >= self._opens_at and self._credit_by_route[route] >= 1.0)

    def record_grant(self, route, *, is_target, now):
        """Count a run that was granted."""
        self.granted += 1
        self._granted_by_route[route] += 1
        # Credit is kept for each route, so that a rare one gets its share: a version may be bad on that route only.
        self._credit_by_route[route] += 2.0 * self._share
        if not is_target:
            return
        self.exposed += 1
        self._exposed_by_route[route] += 1
        self._credit_by_route[route] -= 1.0
        if not any(credit >= 1.0 for credit in self._credit_by_route.values()):
            self._opens_at = now + CREDIT_ACCUMULATION_S

    def _is_ahead(self, route):
        """Return whether a route has had more than its share of exposures.

        A version that is bad on one route only is detected by the exposures of that route, so each needs its share.
        """
        min_granted = COMMON_ROUTE_FRACTION * self.granted
        common = [other for other, count in self._granted_by_route.items() if count >= min_granted]
        min_exposed = min((self._exposed_by_route[other] for other in common), default=0)
        return self._exposed_by_route[route] >= MAX_EXPOSURE_RATIO * min_exposed + MAX_EXPOSURE_LEAD

    def _max_exposed(self):
        if self._is_wide:
            return RAMP_FRACTION * (self._share * self.granted + self._slack)
        return TRIAL_SHARE_FRACTION * self._share * self.granted + TRIAL_SLACK_FRACTION * self._slack
