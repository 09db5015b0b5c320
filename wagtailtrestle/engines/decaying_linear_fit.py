"""Weighted least-squares fit of a line around a prior, with exponentially decaying evidence."""

MIN_SPREAD = 1e-9

MAX_SLOPE_SHARE = 0.75
"""Largest share of the mean that the slope may explain: a steeper line, extrapolated below the
range of its points, would soon give negative values."""


class DecayingLinearFit:
    """Fit of ``y = base + slope * x``; the evidence decays, the prior doesn't.

    Parameters
    ----------
    base, slope : float
        The prior line.
    weight : float
        Number of observations that the prior counts for.
    decay : float
        Factor applied to the weight of earlier evidence at each observation.
    low, high : float
        Range of ``x`` over which the prior holds.
    """

    __slots__ = ("_prior_base", "_prior_slope", "_prior_weight", "_decay", "_x_range", "_sums", "_fit")

    def __init__(self, *, base, slope, weight, decay, low, high):
        self._prior_base = base
        self._prior_slope = slope
        self._prior_weight = weight
        self._decay = decay
        self._x_range = (low, max(high, low + 1.0))
        self._sums = [0.0] * 5
        self._fit = (base, slope)

    @property
    def weight(self):
        """Weight of the measured evidence, without the prior."""
        return self._sums[0]

    def observe(self, *, x, y, weight):
        """Add one measured point."""
        point = (1.0, x, y, x * x, x * y)
        self._sums = [old * self._decay + weight * new for old, new in zip(self._sums, point, strict=True)]
        self._fit = self._solve()

    def rescale(self, factor):
        """Multiply the line, prior and evidence alike, by ``factor``."""
        n, sx, sy, sxx, sxy = self._sums
        self._sums = [n, sx, sy * factor, sxx, sxy * factor]
        self._prior_base *= factor
        self._prior_slope *= factor
        self._fit = self._solve()

    def at(self, x):
        """Value of the line at ``x``."""
        base, slope = self._fit
        return base + slope * x

    def _solve(self):
        n, sx, sy, sxx, sxy = self._sums
        level = self._prior_scale()
        half = self._prior_weight / 2.0
        for x in self._x_range:
            y = level * (self._prior_base + self._prior_slope * x)
            n, sx, sy, sxx, sxy = n + half, sx + half * x, sy + half * y, sxx + half * x * x, sxy + half * x * y
        spread = n * sxx - sx * sx
        slope = (n * sxy - sx * sy) / max(spread, MIN_SPREAD)
        slope = max(0.0, min(slope, MAX_SLOPE_SHARE * sy / sx))
        return (sy - slope * sx) / n, slope

    def _prior_scale(self):
        """Ratio of the evidence to the prior, by which the prior is scaled before the fit.

        The prior's shape is more reliable than its height: without the scaling, evidence that
        lies above it on one side of the range would be fitted as a steeper slope.
        """
        n, sx, sy, _, _ = self._sums
        expected = self._prior_base * n + self._prior_slope * sx
        middle = self._prior_base + self._prior_slope * sum(self._x_range) / 2.0
        return (sy + middle) / (expected + middle)
