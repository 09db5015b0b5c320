"""How much of a service's traffic an untested version may get."""

from collections import Counter

TRIAL_SHARE_FRACTION = 0.85
"""Part of the operator's share that is spent while the version is judged; the rest is for what two schedulers of one
service may grant beside each other for a moment."""

TRIAL_SLACK_FRACTION = 0.5
"""Part of the operator's slack that is spent likewise. The rest bounds what a version gets that turns bad only once all
traffic moves to it, until that is noticed."""

RAMP_FRACTION = 0.97
"""Part of all that the operator allows which is spent before all requests go to the target."""

COMMON_ROUTE_FRACTION = 0.05
"""Part of a service's runs from which on a route is waited for, so that it gets its exposures as others do."""
MAX_EXPOSURE_RATIO = 1.5
MAX_EXPOSURE_LEAD = 3
"""Exposures that one route may have of each of another's, and besides."""

CREDIT_ACCUMULATION_S = 1.2
"""Time for which exposures are saved up, to be spent on one engine in a row: spread thinly, they would never show a
version that fails only when its engine is full."""


class Exposure:
    """Counts the grants of a service and those of the target, and tells when the target may get one more.

    Parameters
    ----------
    share : float
        Part of the service's requests that an untested version may get.
    slack : int
        Requests that it may get besides.
    now : float
    granted, exposed : int
        What a former coordinator counted.
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
        """Allow nearly all that the operator allows, as fast as requests come."""
        self._is_wide = True

    def may_expose(self, route, now):
        """Whether a request of this route may go to the target now."""
        if self.exposed + 1 > self._max_exposed() or self._is_ahead(route):
            return False
        return self._is_wide or (now >= self._opens_at and self._credit_by_route[route] >= 1.0)

    def record_grant(self, route, *, is_target, now):
        """Count a run that was granted."""
        self.granted += 1
        self._granted_by_route[route] += 1
        # Each route saves by itself, so that a rare one gets its part: a version may be bad on one route only.
        self._credit_by_route[route] += 2.0 * self._share
        if not is_target:
            return
        self.exposed += 1
        self._exposed_by_route[route] += 1
        self._credit_by_route[route] -= 1.0
        if not any(credit >= 1.0 for credit in self._credit_by_route.values()):
            self._opens_at = now + CREDIT_ACCUMULATION_S

    def _is_ahead(self, route):
        """Whether a route has had more than its part: a version that is bad on one of them is found by that one."""
        min_granted = COMMON_ROUTE_FRACTION * self.granted
        common = [other for other, count in self._granted_by_route.items() if count >= min_granted]
        min_exposed = min((self._exposed_by_route[other] for other in common), default=0)
        return self._exposed_by_route[route] >= MAX_EXPOSURE_RATIO * min_exposed + MAX_EXPOSURE_LEAD

    def _max_exposed(self):
        if self._is_wide:
            return RAMP_FRACTION * (self._share * self.granted + self._slack)
        return TRIAL_SHARE_FRACTION * self._share * self.granted + TRIAL_SLACK_FRACTION * self._slack
