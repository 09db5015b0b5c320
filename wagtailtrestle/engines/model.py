"""Online estimate of one engine's speed and its confidence, starting from declared values.

Three quantities are estimated. The *clean* decode step, one that prefills nothing, is a
line in the number of runs batched together, ``base + slope * concurrency``. The
*interference* is the factor by which tokens come slower than that, since the engine also
prefills other prompts between them. The prefill rate is fitted to times to first token.

A measured step or token interval is never shorter than the clean step, and often much
longer, since a step that prefills a chunk of a prompt takes as long as tens of ordinary
steps. A mean would make every engine with long prompts look slow, so the line follows the
low end of recent samples.
"""

from collections import deque

from wagtailtrestle.engines.decaying_linear_fit import DecayingLinearFit

PRIOR_SLOPE_SHARE = 0.03
"""Assumed growth of a step for each further run, as a share of the declared step."""

PRIOR_WEIGHT = 12.0
"""Number of observations that the declared values count for."""

DECAY = 0.97
"""Factor applied to the weight of earlier evidence at each new observation."""

SAMPLE_WINDOW = 64
"""Recent samples whose low end estimates the clean step. All of them must be slow before the
engine counts as slower: one long prompt keeps every step slow for seconds."""

SHORT_WINDOW = 8
"""Samples needed to detect that an engine is faster than estimated."""

LOW_END_RANK = 4
"""Rank, from the lowest, of the sample that is the window's low end."""

CLEAN_WINDOW = 5
"""Number of steps known to be clean whose median shows a change of speed."""

MAX_CLEAN_RATIO = 1.15
"""Samples within this factor of the low end count as clean steps."""

SPEED_CHANGE_RATIO = 1.8
"""Factor by which the low end of a window must differ from the estimate for the engine's speed to have changed."""

HALF_CONFIDENCE_SAMPLES = 1.0
"""Number of clean steps and of finished runs at which :meth:`EngineModel.confidence` is one half."""

MAX_EARLY_RATIO = 1.6
"""Until the window is full, samples above the estimated step by more than this factor are ignored."""

PRIOR_PREFILL_TOKENS = 2048.0
"""Number of prefilled tokens that the declared rate counts for."""

PREFILL_MEMORY_TOKENS = 60_000.0
"""Prefilled tokens over which earlier evidence on the prefill rate decays."""

INTERFERENCE_MEMORY_S = 150.0
"""Seconds of decoding over which earlier evidence on interference decays."""

MAX_INTERFERENCE = 20.0

CHUNK_TOKENS = 512
"""Prompt tokens an engine is assumed to prefill between two decode steps."""

SATURATED_THROUGHPUT_SHARE = 0.95
"""An engine is saturated at the lowest concurrency that gives this share of its best throughput."""

MAX_STEP_RATIO = 6.0
"""Longest acceptable step, as a multiple of the step with one run."""

MIN_DURATION_S = 1e-6


class EngineModel:
    """Estimated speed of one engine.

    Parameters
    ----------
    slots : int
        Largest number of runs the engine batches at once.
    step_s : float
        Declared seconds of a decode step with one run.
    prefill_tokens_per_s : float
        Declared prefill rate.
    """

    __slots__ = (
        "slots",
        "_step",
        "_step_s_by_runs",
        "_limit",
        "_normalized_samples",
        "_clean_ratios",
        "_prefill_s_per_token",
        "_prefill_tokens",
        "_interference",
        "_interference_weight_s",
        "_finished_runs",
    )

    def __init__(self, *, slots, step_s, prefill_tokens_per_s):
        self.slots = max(1, int(slots))
        self._step = DecayingLinearFit(
            base=step_s * (1.0 - PRIOR_SLOPE_SHARE),
            slope=step_s * PRIOR_SLOPE_SHARE,
            weight=PRIOR_WEIGHT,
            decay=DECAY,
            low=1.0,
            high=float(self.slots),
        )
        self._step_s_by_runs = ()
        self._limit = 1
        self._tabulate_steps()
        self._normalized_samples = deque(maxlen=SAMPLE_WINDOW)
        self._clean_ratios = deque(maxlen=CLEAN_WINDOW)
        self._prefill_s_per_token = 1.0 / prefill_tokens_per_s
        self._prefill_tokens = PRIOR_PREFILL_TOKENS
        self._interference = 1.0
        self._interference_weight_s = 1.0
        self._finished_runs = 0

    # Measurements.

    def observe_first_token(self, *, first_token_s, uncached_tokens, concurrency, pending_prefill_tokens=0):
        """Learn the prefill rate from one run's time to its first token.

        ``pending_prefill_tokens`` is what the engine still had to prefill for other runs
        when this one was dispatched; it is computed first.
        """
        if uncached_tokens < 1:
            return
        tokens = uncached_tokens + pending_prefill_tokens
        steps_s = self.step_s(concurrency) * (1 + tokens / CHUNK_TOKENS)
        spent_s = max(tokens * self._prefill_s_per_token / SPEED_CHANGE_RATIO, first_token_s - steps_s)
        kept = self._prefill_tokens * max(0.0, 1.0 - tokens / PREFILL_MEMORY_TOKENS)
        self._prefill_s_per_token = (self._prefill_s_per_token * kept + spent_s) / (kept + tokens)
        self._prefill_tokens = kept + tokens

    def observe_finish(self, *, output_tokens, decode_s, mean_concurrency):
        """Learn interference from one run's complete decode."""
        if output_tokens < 1 or decode_s <= 0.0:
            return
        token_interval_s = decode_s / output_tokens
        ratio = min(MAX_INTERFERENCE, max(1.0, token_interval_s / self.step_s(mean_concurrency)))
        kept = self._interference_weight_s * max(0.0, 1.0 - decode_s / INTERFERENCE_MEMORY_S)
        self._interference = (self._interference * kept + ratio * decode_s) / (kept + decode_s)
        self._interference_weight_s = kept + decode_s
        self._finished_runs += 1

    def observe_report(self, *, step_s, running, prefilling=None):
        """Learn the clean step from the engine's own load report.

        ``prefilling`` is whether a prompt was being prefilled at the report's time, or
        ``None`` if unknown. Steps known to be clean show a change of speed much sooner.

        Complete decodes are not used: the fuller an engine, the more prefill lies between
        its tokens, and the fit would mistake that for growth of the step with the batch.
        """
        if step_s <= 0.0 or running < 1 or prefilling:
            return
        concurrency = min(running, self.slots)
        if prefilling is None:
            self._add_sample(concurrency, step_s)
        else:
            self._add_clean_sample(concurrency, step_s)

    # Estimates.

    def step_s(self, concurrency):
        """Expected seconds of one decode step that prefills nothing."""
        return self._step_s_by_runs[max(1, min(round(concurrency), self.slots)) - 1]

    def token_interval_s(self, concurrency):
        """Expected seconds between tokens, including the prefill of other prompts."""
        return self.step_s(concurrency) * self._interference

    def prefill_s(self, tokens):
        """Expected seconds to compute ``tokens`` uncached prompt tokens."""
        return tokens * self._prefill_s_per_token

    def predict_first_token_s(self, *, uncached_tokens, concurrency, pending_prefill_tokens):
        """Expected seconds from dispatch to the first token."""
        tokens = uncached_tokens + pending_prefill_tokens
        return self.prefill_s(tokens) + self.step_s(concurrency) * (1 + tokens / CHUNK_TOKENS)

    def predict_finish_s(self, *, uncached_tokens, output_tokens, concurrency, pending_prefill_tokens):
        """Expected seconds from dispatch to the last token."""
        first_s = self.predict_first_token_s(
            uncached_tokens=uncached_tokens,
            concurrency=concurrency,
            pending_prefill_tokens=pending_prefill_tokens,
        )
        return first_s + max(0, output_tokens - 1) * self.token_interval_s(concurrency)

    def concurrency_limit(self):
        """Lowest concurrency that saturates the engine, at most its slots."""
        return self._limit

    @property
    def finished_runs(self):
        """Number of complete runs measured."""
        return self._finished_runs

    def confidence(self):
        """Degree, from 0 to 1, to which predictions rest on measurements rather than the declaration."""
        measured = min(self._step.weight, self._finished_runs)
        return measured / (measured + HALF_CONFIDENCE_SAMPLES)

    def dump(self):
        """Return the current estimates for a state dump."""
        return {
            "slots": self.slots,
            "step_s_at_1": round(self.step_s(1), 6),
            "step_s_at_slots": round(self.step_s(self.slots), 6),
            "interference": round(self._interference, 3),
            "prefill_tokens_per_s": round(1.0 / self._prefill_s_per_token, 1),
            "concurrency_limit": self.concurrency_limit(),
            "confidence": round(self.confidence(), 3),
        }

    def _add_sample(self, concurrency, seconds):
        """Add one upper bound on the clean step at ``concurrency``.

        Samples are normalized by the declared slope and not by the fitted line: a fit that
        selected its own evidence would reject all samples that contradict it.
        """
        shape = 1.0 + PRIOR_SLOPE_SHARE * (concurrency - 1)
        estimate = self.step_s(concurrency) / shape
        self._normalized_samples.append(seconds / shape)
        low = _low_end(self._normalized_samples)
        # A change of the engine's speed shows in every sample and leaves the shape of the
        # line as it was, so the line is rescaled immediately instead of being refitted over many samples.
        slower = len(self._normalized_samples) == SAMPLE_WINDOW and low > SPEED_CHANGE_RATIO * estimate
        faster = len(self._normalized_samples) >= SHORT_WINDOW and low * SPEED_CHANGE_RATIO < estimate
        if slower or faster:
            self._rescale(low / estimate)
        elif self._normalized_samples[-1] <= MAX_CLEAN_RATIO * low and self._is_plausible_sample(estimate):
            self._step.observe(x=concurrency, y=seconds, weight=1.0)
            self._tabulate_steps()

    def _add_clean_sample(self, concurrency, seconds):
        """Add one step that is known to have prefilled nothing."""
        self._clean_ratios.append(seconds / self.step_s(concurrency))
        middle = sorted(self._clean_ratios)[len(self._clean_ratios) // 2]
        changed = middle > SPEED_CHANGE_RATIO or middle * SPEED_CHANGE_RATIO < 1.0
        if changed and len(self._clean_ratios) == CLEAN_WINDOW:
            self._rescale(middle)
            self._clean_ratios.clear()
        else:
            self._step.observe(x=concurrency, y=seconds, weight=1.0)
            self._tabulate_steps()

    def _tabulate_steps(self):
        """Tabulate the line by concurrency: it is read far more often than it changes."""
        runs = range(1, self.slots + 1)
        self._step_s_by_runs = tuple(max(MIN_DURATION_S, self._step.at(number)) for number in runs)
        self._limit = saturation_concurrency(self._step_s_by_runs)

    def _is_plausible_sample(self, estimate):
        # The first samples of an engine that starts under load may all contain prefill: used
        # as clean steps, they would make it look too slow for any request.
        full = len(self._normalized_samples) == SAMPLE_WINDOW
        return full or (
            len(self._normalized_samples) >= LOW_END_RANK and self._normalized_samples[-1] <= MAX_EARLY_RATIO * estimate
        )

    def _rescale(self, factor):
        self._step.rescale(factor)
        self._tabulate_steps()
        self._interference = max(1.0, self._interference / factor)


def saturation_concurrency(step_s_by_runs):
    """Lowest number of runs that gives nearly the best throughput, capped where one more run makes steps too long."""
    slots = len(step_s_by_runs)
    best = slots / step_s_by_runs[-1]
    longest_s = MAX_STEP_RATIO * step_s_by_runs[0]
    for runs, step_s in enumerate(step_s_by_runs, start=1):
        if runs / step_s >= SATURATED_THROUGHPUT_SHARE * best:
            return runs
        if runs < slots and step_s_by_runs[runs] > longest_s:
            return runs
    return slots


def _low_end(samples):
    """Low end of a window of samples."""
    return sorted(samples)[min(LOW_END_RANK, len(samples)) - 1]
