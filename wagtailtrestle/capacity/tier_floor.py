"""Minimum share of a cell's granted work for each lower tier with waiting requests.

Strict tier order starves the lowest tier whenever the tiers above request all engines. With a floor, a waiting tier
that received less than its share of the work granted recently is served before the tiers above it. A share that a tier
does not use is granted in strict tier order.
"""

import math
from collections import Counter

WINDOW_S = 2.0
"""Time constant over which granted work is averaged."""

MAX_SUM_OF_FLOORS = 0.5
"""Share of the granted work to which the floors of all lower tiers together are limited. Five floors of 0.2 left no
work to the highest of six tiers."""

ACTIVE_S = 2 * WINDOW_S
"""Time after its last grant or waiting request for which a tier counts among those that divide the sum of floors."""


class TierFloor:
    """Granted work by tier, and which tiers are entitled to be served next.

    The sums of all tiers decay at the same rate, so shares do not change between grants.

    Parameters
    ----------
    clock : callable
    features : callable
        Returns the ``Features`` in force; with a ``tier_floor`` of 0, no tier is entitled to anything.

    Attributes
    ----------
    grants_by_tier : Counter
        Grants made because of the floor.
    """

    __slots__ = (
        "grants_by_tier",
        "_clock",
        "_features",
        "_at",
        "_total_s",
        "_work_by_tier",
        "_last_by_tier",
        "_active_at_by_tier",
    )

    def __init__(self, *, clock, features):
        self.grants_by_tier = Counter()
        self._clock = clock
        self._features = features
        self._at = clock()
        self._total_s = 0.0
        self._work_by_tier = {}
        self._last_by_tier = {}
        self._active_at_by_tier = {}

    @property
    def share(self):
        """Share of the granted work that each lower tier is entitled to; 0 without a floor."""
        floor = self._features().tier_floor
        if floor * (len(self._active_at_by_tier) - 1) <= MAX_SUM_OF_FLOORS:
            return floor
        since = self._clock() - ACTIVE_S
        active = sum(active_at >= since for active_at in self._active_at_by_tier.values())
        return min(floor, MAX_SUM_OF_FLOORS / max(1, active - 1))

    def record(self, tier, work_s, *, by_floor):
        """Count a grant."""
        now = self._clock()
        kept = math.exp((self._at - now) / WINDOW_S)
        self._at = now
        for other in self._work_by_tier:
            self._work_by_tier[other] *= kept
        self._work_by_tier[tier] = self._work_by_tier.get(tier, 0.0) + work_s
        self._total_s = sum(self._work_by_tier.values())
        self._last_by_tier[tier] = work_s
        self._active_at_by_tier[tier] = now
        if by_floor:
            self.grants_by_tier[tier] += 1

    def entitled(self, waiting_tiers):
        """Return the tiers to serve before the strict order, the one furthest below its floor first.

        Parameters
        ----------
        waiting_tiers : iterable of int
            Tiers with waiting requests; the highest of them needs no floor.
        """
        now = self._clock()
        for tier in waiting_tiers:
            self._active_at_by_tier[tier] = now
        due_s = self.share * self._total_s
        if not due_s:
            return []
        received = sorted((self._work_by_tier.get(tier, 0.0), tier) for tier in sorted(waiting_tiers)[1:])
        return [tier for work_s, tier in received if work_s < due_s]

    def protects(self, tier):
        """Whether the floor covers what the tier received, so that higher tiers can take nothing of it.

        The last grant is left out: a tier that is limited to its floor exceeds it with every grant.
        """
        share = self.share
        if not share:
            return False
        before_last_s = self._work_by_tier.get(tier, 0.0) - self._last_by_tier.get(tier, 0.0)
        return before_last_s < share * self._total_s
