"""How long answers really are, as a share of the upper limit that callers ask for.

Callers cap an answer, and the answer is often much shorter. Judged by its cap, much that
would finish in time looks hopeless, and runs about to end look long.
"""

import math
from dataclasses import replace

from wagtailtrestle.contracts.messages import GrantRequest

FADE = 0.98
"""Share of the old evidence's weight kept at each answer."""

PRIOR_WEIGHT = 5.0
"""Answers that the prior, that answers reach their caps, counts for."""

CAUTION = 0.5
"""Standard deviations added to the mean: a run cut short by its deadline wastes its prefill."""


class _Ratio:
    """Fading mean and variance of one kind's ratio."""

    __slots__ = ("_weight", "_sum", "_squares")

    def __init__(self):
        self._weight = PRIOR_WEIGHT
        self._sum = PRIOR_WEIGHT
        self._squares = PRIOR_WEIGHT

    def observe(self, ratio):
        self._weight = self._weight * FADE + 1.0
        self._sum = self._sum * FADE + ratio
        self._squares = self._squares * FADE + ratio * ratio

    def expected(self):
        mean = self._sum / self._weight
        variance = max(0.0, self._squares / self._weight - mean * mean)
        return min(1.0, mean + CAUTION * math.sqrt(variance))


class OutputLengths:
    """Expected lengths by team and tier."""

    __slots__ = ("_ratio_by_kind",)

    def __init__(self):
        self._ratio_by_kind = {}

    def expect(self, request: GrantRequest) -> GrantRequest:
        """Return the request with the expected in place of the greatest output."""
        ratio = self._ratio_by_kind.get(_kind(request))
        if ratio is None:
            return request
        whole = request.done_tokens + request.output_tokens
        expected = math.ceil(whole * ratio.expected()) - request.done_tokens
        return replace(request, output_tokens=max(1, min(expected, request.output_tokens)))

    def observe(self, *, request: GrantRequest, asked_tokens, output_tokens):
        """Learn from one whole answer; ``asked_tokens`` was its cap."""
        if asked_tokens > 0 and output_tokens > 0:
            ratio = self._ratio_by_kind.setdefault(_kind(request), _Ratio())
            ratio.observe(min(1.0, output_tokens / asked_tokens))


def _kind(request):
    return request.team, request.tier
