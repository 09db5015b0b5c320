"""One rollout at its coordinator, the scheduler of the service: trial, ramp, shift, end.

Trial: the old version serves; the target gets a small share of the requests and is evaluated on it. Ramp: if it is good
so far, it gets the rest of what an untested version may get, in one burst. Shift: it gets all requests while the runs
on the old engines end, since these engines stop without a drain once the rollout is reported as completed; it is
reported only then. A target that is found bad in any phase gets no further requests.
"""

from collections import deque
from enum import StrEnum

from loguru import logger

from wagtailtrestle.contracts.rollout_messages import RolloutState, RolloutWord
from wagtailtrestle.rollouts.canary_analysis import SHIFT_CUSUM_THRESHOLD, CanaryAnalysis
from wagtailtrestle.rollouts.exposure import Exposure

TRIAL_FRACTION = 0.5
"""Fraction of the rollout's time for the trial, if the target has had ``TRIAL_RUNS`` runs by then."""
MAX_TRIAL_FRACTION = 0.7
TRIAL_RUNS = 30
"""Runs on the target within which one that fails a fifth of them is detected."""
MIN_RUNS = 15
MIN_RUNS_FRACTION = 0.25
"""Runs on the target, and fraction of all runs; either is enough to move all requests there. A coordinator that took
over late thus never completes a rollout without having seen runs on the target."""
MIN_RAMP_END_FRACTION, MAX_RAMP_END_FRACTION = 0.55, 0.8
"""Fractions of the rollout's time between which the ramp ends: earlier for a service with longer runs, since the runs
on the old engines have to end before these stop."""
LONG_RUN_QUANTILE = 0.95
LONG_RUN_FACTOR = 1.5
"""Time between the end of the ramp and the stop of the old engines, as a multiple of a long run's duration."""
MAX_DURATIONS = 200
COMPLETION_MARGIN_S = 1.0
"""The rollout is reported as completed this long before its end, even if runs on old engines remain."""
MIN_TOKENS_FOR_RATE = 8
MIN_CAPACITY_FRACTION = 0.5
"""Fraction of the old engines' slots that the target's engines must have before the trial can end."""


class Phase(StrEnum):
    """Phase of a rollout; decides where the service's requests go."""

    TRIAL = "trial"
    RAMP = "ramp"
    SHIFT = "shift"
    ENDED = "ended"


class Rollout:
    """Decides which version a request goes to, and how the rollout ends.

    Parameters
    ----------
    order : RolloutOrder
    share : float
    slack : int
        See :class:`wagtailtrestle.rollouts.exposure.Exposure`.
    clock : callable
        Event loop time in seconds.
    progress : RolloutWord, optional
        Last report of the previous coordinator.

    Attributes
    ----------
    phase : Phase
    state : RolloutState
    """

    __slots__ = ("order", "phase", "state", "exposure", "analysis", "_clock", "_began_at", "_durations")

    def __init__(self, *, order, share, slack, clock, progress=None):
        now = clock()
        elapsed_s = progress.elapsed_s if progress is not None else 0.0
        self.order = order
        self.phase = Phase.TRIAL
        self.state = RolloutState.RUNNING
        self.analysis = CanaryAnalysis(progress=progress)
        self.exposure = Exposure(
            share=share,
            slack=slack,
            now=now,
            granted=progress.granted if progress is not None else 0,
            exposed=progress.exposed if progress is not None else 0,
        )
        self._clock = clock
        self._began_at = now - elapsed_s
        self._durations = deque(maxlen=MAX_DURATIONS)

    @property
    def elapsed_s(self):
        """Time since the order was first seen."""
        return self._clock() - self._began_at

    @property
    def is_running(self):
        """Whether the rollout has not ended."""
        return self.phase is not Phase.ENDED

    def is_target(self, version):
        """Return whether this is the target version."""
        return version == self.order.target

    def should_expose(self, request):
        """Return whether a request goes to the target as one of its limited exposures."""
        if self.phase not in (Phase.TRIAL, Phase.RAMP):
            return False
        # Retries and requests suspected of crashes are not sent to the untested version.
        if request.excluded_engines or request.alone or request.done_tokens or request.version:
            return False
        return self.exposure.may_expose(request.route, self._clock())

    def record_grant(self, request, version):
        """Count a run that was granted."""
        self.exposure.record_grant(request.route, is_target=self.is_target(version), now=self._clock())

    def record_run_end(self, *, request, engine, version, finished, was_full=False):
        """Record the result of a run; ``was_full``: whether it filled its engine when it began."""
        if self.phase is Phase.ENDED:
            return
        self._durations.append(finished.duration_s)
        self.analysis.record_run(
            route=request.route,
            engine=engine,
            is_target=self.is_target(version),
            result=finished.result,
            latency=_latency(finished),
            now=self._clock(),
            was_full=was_full,
        )
        if self.analysis.is_bad:
            self._end(RolloutState.ROLLED_BACK)

    def step(self, *, old_slots, target_slots, old_runs):
        """Advance to the next phase when its conditions are met.

        Parameters
        ----------
        old_slots, target_slots : int
            Slots of the engines of either version.
        old_runs : int
            Runs in progress on the old engines.
        """
        fraction = self.elapsed_s / self.order.duration_s
        has_capacity = target_slots > 0 and target_slots >= MIN_CAPACITY_FRACTION * old_slots
        if self.phase is Phase.TRIAL and has_capacity and self._is_trial_over(fraction):
            self._ramp()
        elif self.phase is Phase.RAMP and self._is_ramp_over(fraction):
            self._shift()
        elif self.phase is Phase.SHIFT:
            has_time_left = self.elapsed_s < self.order.duration_s - COMPLETION_MARGIN_S
            if not (has_time_left and old_runs):
                self._end(RolloutState.COMPLETED)

    def end_as(self, state):
        """Adopt a final state that another router reported; a running state is ignored."""
        if state.is_final and not self.state.is_final:
            self._end(state)

    def progress(self):
        """Return the progress report for the other routers."""
        return RolloutWord(
            service=self.order.service,
            target=self.order.target,
            state=self.state,
            elapsed_s=self.elapsed_s,
            duration_s=self.order.duration_s,
            granted=self.exposure.granted,
            exposed=self.exposure.exposed,
            target_runs=self.analysis.target_runs,
            target_bad=self.analysis.target_bad,
            suspicion=self.analysis.suspicion,
        )

    def dump(self):
        """Return the state as a plain dict."""
        return {
            "target": self.order.target,
            "phase": str(self.phase),
            "state": str(self.state),
            "elapsed_s": round(self.elapsed_s, 3),
            "duration_s": self.order.duration_s,
            "granted": self.exposure.granted,
            "exposed": self.exposure.exposed,
            **self.analysis.dump(),
        }

    def _is_trial_over(self, fraction):
        if fraction >= MAX_TRIAL_FRACTION:
            return True
        return fraction >= TRIAL_FRACTION and self.analysis.target_runs >= TRIAL_RUNS

    def _ramp(self):
        self.phase = Phase.RAMP
        self.exposure.widen()
        self._log("trial passed, no evidence against the target; it is ramped up to the limit for untested versions")

    def _is_ramp_over(self, fraction):
        if self.analysis.target_runs < min(MIN_RUNS, MIN_RUNS_FRACTION * self.exposure.granted):
            return False
        needed_s = COMPLETION_MARGIN_S + LONG_RUN_FACTOR * self._long_run_s()
        return fraction >= min(
            MAX_RAMP_END_FRACTION, max(MIN_RAMP_END_FRACTION, 1.0 - needed_s / self.order.duration_s)
        )

    def _long_run_s(self):
        durations = sorted(self._durations)
        return durations[int(LONG_RUN_QUANTILE * len(durations))] if durations else 0.0

    def _shift(self):
        self.phase = Phase.SHIFT
        self.analysis.threshold = SHIFT_CUSUM_THRESHOLD
        self._log("ramp passed, the target is as good as the old version; all requests go to it")

    def _end(self, state):
        self.phase = Phase.ENDED
        self.state = state
        self._log(f"the rollout is {state.replace('_', ' ')}")

    def _log(self, text):
        logger.bind(service=self.order.service, **self.dump()).info("rollout of {}: {}", self.order.service, text)


def _latency(finished):
    """Return seconds per output token if there are enough tokens, else the duration of the run in seconds."""
    if finished.output_tokens >= MIN_TOKENS_FOR_RATE:
        return (finished.duration_s - finished.first_token_s) / finished.output_tokens
    return 0.0 if finished.output_tokens else finished.duration_s
