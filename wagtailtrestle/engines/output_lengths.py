"""How long answers really are, against the caps that callers ask for and against their own estimates.

Callers cap an answer, and the answer is often much shorter: caps of one kind of request may all be
alike and ten times what comes. Judged by its cap, much that would finish in time looks hopeless,
runs about to end look long, and the work that waits looks ten times what it is.
"""

import math
from dataclasses import replace

from wagtailtrestle.contracts.messages import GrantRequest

DECAY = 0.98
"""Share of the old evidence's weight kept at each answer."""

PRIOR_WEIGHT = 2.0
"""Answers that the prior counts for: that answers reach their caps, that estimates are right, or for
one team in a tier what is known of the tier. A scheduler sees some ten answers of a tier in a second."""

MARGIN_STANDARD_DEVIATIONS = 0.5
"""Standard deviations added to the mean share of a cap: a run cut short by its deadline wastes its prefill."""

MAX_RATIO = 5.0
"""Most that one answer teaches of its caller's estimate: single ones are off by far more."""


class _DecayingRatio:
    """Fading mean and variance of one kind's ratio."""

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
        """Expected ratio with what it may be beyond."""
        variance = max(0.0, self._squares / self._weight - self.mean * self.mean)
        return min(1.0, self.mean + MARGIN_STANDARD_DEVIATIONS * math.sqrt(variance))


class OutputLengths:
    """Expected lengths: by the caller's estimate where there is one, else by team and tier."""

    __slots__ = ("_of_caps_by_kind", "_of_caps_by_tier", "_of_hints_by_tier")

    def __init__(self):
        self._of_caps_by_kind = {}
        self._of_caps_by_tier = {}
        self._of_hints_by_tier = {}

    def expect(self, request: GrantRequest) -> GrantRequest:
        """Return the request with the expected in place of the greatest output."""
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
        """Learn from one whole answer; ``asked_tokens`` was its cap."""
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
