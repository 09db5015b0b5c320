"""Weighted least squares of a line whose old evidence fades, around a prior line."""

MIN_SPREAD = 1e-9

MAX_SLOPE_SHARE = 0.75
"""Largest part of the mean that the slope may explain: extrapolating a steeper line below
the range of its points would soon give negative values."""


class DecayingLinearFit:
    """Fit ``y = base + slope * x`` with forgetting; the prior never fades.

    Parameters
    ----------
    base, slope : float
        The prior line.
    weight : float
        How many observations the prior counts for.
    fade : float
        Share of the old evidence's weight kept at each observation.
    low, high : float
        Range of ``x`` over which the prior is believed.
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
        """Weight of the measured evidence, the prior's left out."""
        return self._sums[0]

    def observe(self, *, x, y, weight):
        """Take in one measured point."""
        point = (1.0, x, y, x * x, x * y)
        self._sums = [old * self._decay + weight * new for old, new in zip(self._sums, point, strict=True)]
        self._fit = self._solve()

    def rescale(self, factor):
        """Multiply the whole line, prior and evidence, by ``factor``."""
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
        """How much higher the evidence lies than the prior.

        The prior's shape is worth more than its height: evidence on one side of the range
        that lies above it would else be taken for a steeper slope.
        """
        n, sx, sy, _, _ = self._sums
        expected = self._prior_base * n + self._prior_slope * sx
        middle = self._prior_base + self._prior_slope * sum(self._x_range) / 2.0
        return (sy + middle) / (expected + middle)
