"""Learned speed of one engine, with its uncertainty, starting from declared values.

The decode step is taken as a line in the number of runs batched together,
``step = base + slope * concurrency``, fitted by weighted least squares whose old
evidence fades, so that an engine that turns slow is believed slow within seconds.
"""

from wagtailtrestle.fading_line import FadingLine

PRIOR_SLOPE_SHARE = 0.05
"""Assumed growth of a step for each further run, as a share of the declared step."""

PRIOR_WEIGHT = 4.0
"""How many observations the declared values count for."""

FADE = 0.97
"""Share of the old evidence's weight kept at each new observation."""

GOOD_THROUGHPUT_SHARE = 0.95
"""An engine counts as full at the least concurrency that gives this share of its best."""

MAX_STEP_RATIO = 6.0
"""Largest step time tolerated, as a multiple of the step with one run."""

MIN_DURATION_S = 1e-6


class EngineModel:
    """What one steward believes of the speed of one engine.

    Parameters
    ----------
    slots : int
        Largest number of runs the engine batches at once.
    step_s : float
        Declared seconds of a decode step with one run.
    prefill_tokens_per_s : float
        Declared prefill rate.
    """

    __slots__ = ("slots", "_declared_step_s", "_declared_prefill", "_step", "_prefill_s_per_token", "_prefill_weight")

    def __init__(self, *, slots, step_s, prefill_tokens_per_s):
        self.slots = max(1, int(slots))
        self._declared_step_s = step_s
        self._declared_prefill = prefill_tokens_per_s
        self._step = FadingLine(
            base=step_s * (1.0 - PRIOR_SLOPE_SHARE),
            slope=step_s * PRIOR_SLOPE_SHARE,
            weight=PRIOR_WEIGHT,
            fade=FADE,
            low=1.0,
            high=float(self.slots),
        )
        self._prefill_s_per_token = 1.0 / prefill_tokens_per_s
        self._prefill_weight = PRIOR_WEIGHT * 256.0

    def observe_first_token(self, *, first_token_s, uncached_tokens, concurrency):
        """Learn the prefill rate from one run's time to its first token."""
        if uncached_tokens < 1:
            return
        spent_s = max(MIN_DURATION_S, first_token_s - self.step_s(concurrency))
        kept = self._prefill_weight * FADE
        total = kept + uncached_tokens
        self._prefill_s_per_token = (self._prefill_s_per_token * kept + spent_s) / total
        self._prefill_weight = total

    def observe_finish(self, *, output_tokens, decode_s, mean_concurrency):
        """Learn the step time from one run's whole decode."""
        if output_tokens < 1:
            return
        self._step.observe(x=mean_concurrency, y=decode_s / output_tokens, weight=1.0)

    def observe_report(self, *, step_s, running):
        """Learn the step time from the engine's own load report."""
        if step_s > 0.0 and running >= 1:
            self._step.observe(x=running, y=step_s, weight=1.0)

    def step_s(self, concurrency):
        """Expected seconds of one decode step with ``concurrency`` runs."""
        return max(MIN_DURATION_S, self._step.at(max(1.0, min(concurrency, self.slots))))

    def prefill_s(self, tokens):
        """Expected seconds to compute ``tokens`` uncached prompt tokens."""
        return tokens * self._prefill_s_per_token

    def predict_first_token_s(self, *, uncached_tokens, concurrency, pending_prefill_tokens):
        """Expected seconds from dispatch to the first token."""
        return self.prefill_s(uncached_tokens + pending_prefill_tokens) + self.step_s(concurrency)

    def predict_finish_s(self, *, uncached_tokens, output_tokens, concurrency, pending_prefill_tokens):
        """Expected seconds from dispatch to the last token."""
        first_s = self.predict_first_token_s(
            uncached_tokens=uncached_tokens,
            concurrency=concurrency,
            pending_prefill_tokens=pending_prefill_tokens,
        )
        return first_s + max(0, output_tokens - 1) * self.step_s(concurrency)

    def concurrency_limit(self):
        """Least concurrency that keeps the engine just full, within its slots."""
        best = self.slots / self.step_s(self.slots)
        longest_step_s = MAX_STEP_RATIO * self.step_s(1)
        for concurrency in range(1, self.slots):
            if concurrency / self.step_s(concurrency) >= GOOD_THROUGHPUT_SHARE * best:
                return concurrency
            if self.step_s(concurrency + 1) > longest_step_s:
                return concurrency
        return self.slots

    def confidence(self):
        """Share, from 0 to 1, of what is believed that was measured and not declared."""
        return self._step.weight / (self._step.weight + PRIOR_WEIGHT)

    def dump(self):
        """Return the believed figures for a state dump."""
        return {
            "slots": self.slots,
            "step_s_at_1": round(self.step_s(1), 6),
            "step_s_at_slots": round(self.step_s(self.slots), 6),
            "prefill_tokens_per_s": round(1.0 / self._prefill_s_per_token, 1),
            "concurrency_limit": self.concurrency_limit(),
            "confidence": round(self.confidence(), 3),
        }
