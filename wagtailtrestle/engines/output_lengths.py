"""Expected answer lengths, estimated from past answers relative to callers' caps and estimates.

Callers cap their answers, which are often much shorter: requests of one kind may all have the same cap, ten
times the mean length. Judged by the cap, many requests that would finish in time seem to miss their
deadlines, runs about to end seem long, and the queued work is overestimated tenfold.
"""

import math
from dataclasses import replace

from wagtailtrestle.contracts.messages import GrantRequest

DECAY = 0.98
"""Factor applied to the weight of earlier evidence at each answer."""

PRIOR_WEIGHT = 2.0
"""Number of answers that the prior counts for. The prior is that answers reach their caps, that estimates are
correct, or for a team in a tier the tier's mean. A scheduler sees some ten answers of a tier per second."""

MARGIN_STANDARD_DEVIATIONS = 0.5
"""Standard deviations added to the mean ratio of length to cap, since a run that its deadline cuts short wastes its
prefill."""

MAX_RATIO = 5.0
"""Upper bound of the observed ratio of length to estimate: single estimates are off by far more."""


class _DecayingRatio:
    """Exponentially decaying mean and variance of a ratio."""

    __slots__ = ("_weight", "_sum", "_squares")

    def __init__(self, *, prior=1.0):
        self._weight = PRIOR_WEIGHT
        self._sum = PRIOR_WEIGHT * prior
        self._squares = PRIOR_WEIGHT * prior * prior

    def observe(self, ratio):
        """Count one answer."""
        self._weight = self._weight * DECAY + 1.0
        self._sum = self._sum * DECAY + ratio
        self._squares = self._squares * DECAY + ratio * ratio

    @property
    def mean(self):
        """Expected ratio."""
        return self._sum / self._weight

    def mean_with_margin(self):
        """Expected ratio plus a margin for its variance, at most 1."""
        variance = max(0.0, self._squares / self._weight - self.mean * self.mean)
        return min(1.0, self.mean + MARGIN_STANDARD_DEVIATIONS * math.sqrt(variance))


class OutputLengths:
    """Expected lengths, by the caller's estimate if there is one, otherwise by team and tier."""

    __slots__ = ("_of_caps_by_kind", "_of_caps_by_tier", "_of_hints_by_tier")

    def __init__(self):
        self._of_caps_by_kind = {}
        self._of_caps_by_tier = {}
        self._of_hints_by_tier = {}

    def expect(self, request: GrantRequest) -> GrantRequest:
        """Return the request with the expected output length in place of its cap."""
        cap_tokens = request.done_tokens + request.output_tokens
        if request.hinted_tokens:
            of_hints = self._of_hints_by_tier.get(request.tier)
            expected = request.hinted_tokens * (of_hints.mean if of_hints else 1.0)
        else:
            of_caps = self._of_caps_by_kind.get(_kind(request)) or self._of_caps_by_tier.get(request.tier)
            if of_caps is None:
                return request
            expected = cap_tokens * of_caps.mean_with_margin()
        left = math.ceil(expected) - request.done_tokens
        return replace(request, output_tokens=max(1, min(left, request.output_tokens)))

    def observe(self, *, request: GrantRequest, asked_tokens, output_tokens):
        """Learn from one complete answer; ``asked_tokens`` is its cap."""
        if asked_tokens <= 0 or output_tokens <= 0:
            return
        if request.hinted_tokens:
            of_hints = self._of_hints_by_tier.setdefault(request.tier, _DecayingRatio())
            of_hints.observe(min(MAX_RATIO, output_tokens / request.hinted_tokens))
        ratio = min(1.0, output_tokens / asked_tokens)
        of_tier = self._of_caps_by_tier.setdefault(request.tier, _DecayingRatio())
        kind = _kind(request)
        if kind not in self._of_caps_by_kind:
            self._of_caps_by_kind[kind] = _DecayingRatio(prior=of_tier.mean)
        of_tier.observe(ratio)
        self._of_caps_by_kind[kind].observe(ratio)


def _kind(request):
    return request.team, request.tier
