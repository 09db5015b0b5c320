"""One roll-out at its coordinator, the scheduler of the service: trial, ramp, shift, verdict.

Trial: the old version serves; the target gets a small share and is judged by it. Ramp: judged good so far, it gets
the rest of what an untested version may get, in a row. Shift: it gets everything, while what runs on the old engines
ends, since these stop without a drain once the roll-out is told as completed. The verdict is told only then. A
target that turns out to be bad in any phase gets nothing more from that moment.
"""

from collections import deque
from enum import StrEnum

from loguru import logger

from wagtailtrestle.contracts.rollout_messages import RolloutState, RolloutWord
from wagtailtrestle.rollouts.canary_analysis import SHIFT_CUSUM_THRESHOLD, CanaryAnalysis
from wagtailtrestle.rollouts.exposure import Exposure

TRIAL_FRACTION = 0.5
"""Part of the time for the trial, if the target has run enough by then."""
MAX_TRIAL_FRACTION = 0.7
TRIAL_RUNS = 30
"""Runs on the target by which one that fails a fifth of them is found."""
MIN_RUNS = 15
MIN_RUNS_FRACTION = 0.25
"""Runs on the target, and part of all runs; either is enough for everything to move there. A coordinator that took over
late never completes a roll-out of which it has seen nothing."""
MIN_RAMP_END_FRACTION, MAX_RAMP_END_FRACTION = 0.55, 0.8
"""Parts of the time between which the ramp ends, the sooner the longer the service's runs are: what the old engines
hold then has to end before they stop."""
LONG_RUN_QUANTILE = 0.95
LONG_RUN_FACTOR = 1.5
"""Long runs for which there has to be time between the end of the ramp and the old engines' stop."""
MAX_DURATIONS = 200
COMPLETION_MARGIN_S = 1.0
"""Time before the end of the roll-out at which it is told as completed, whatever still runs."""
MIN_TOKENS_FOR_RATE = 8
MIN_CAPACITY_FRACTION = 0.5
"""Part of the old engines' places that the target's must have to take over."""


class Phase(StrEnum):
    """What happens to the service's requests."""

    TRIAL = "trial"
    RAMP = "ramp"
    SHIFT = "shift"
    ENDED = "ended"


class Rollout:
    """Decides which version a request goes to, and how the roll-out ends.

    Parameters
    ----------
    order : RolloutOrder
    share : float
    slack : int
        See :class:`wagtailtrestle.rollouts.exposure.Exposure`.
    clock : callable
        The loop's time, seconds.
    word : RolloutWord, optional
        What the former coordinator told last.

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
        """Time since the order was seen first."""
        return self._clock() - self._began_at

    def is_target(self, version):
        """Whether engines of this version are the ones to move to."""
        return version == self.order.target

    def should_expose(self, request):
        """Whether a request goes to the target."""
        if self.phase not in (Phase.TRIAL, Phase.RAMP):
            return False
        # What an engine failed already is not tried on the untested version, nor what is suspected of crashes.
        if request.excluded_engines or request.alone or request.done_tokens:
            return False
        return self.exposure.may_expose(request.route, self._clock())

    def record_grant(self, request, version):
        """Count a run that was granted."""
        self.exposure.record_grant(request.route, is_target=self.is_target(version), now=self._clock())

    def record_run_end(self, *, request, engine, version, finished, was_full=False):
        """Take in how a run ended, and whether its engine was full with it when it began."""
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
        """Go on as time passes.

        Parameters
        ----------
        old_places, target_places : int
            Places of the engines of either version.
        old_runs : int
            Runs that the old engines hold.
        """
        fraction = self.elapsed_s / self.order.duration_s
        has_capacity = target_slots > 0 and target_slots >= MIN_CAPACITY_FRACTION * old_slots
        if self.phase is Phase.TRIAL and has_capacity and self._is_trial_over(fraction):
            self._ramp()
        elif self.phase is Phase.RAMP and self._is_ramp_over(fraction):
            self._shift()
        elif self.phase is Phase.SHIFT:
            has_room = self.elapsed_s < self.order.duration_s - COMPLETION_MARGIN_S
            if not (has_room and old_runs):
                self._end(RolloutState.COMPLETED)

    def end_as(self, state):
        """Take over the final state that another router told; the running state changes nothing."""
        if state.is_final and not self.state.is_final:
            self._end(state)

    def progress(self):
        """How it stands, for others."""
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
        self._log("nothing speaks against the target; it gets as much as it may untested")

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
        self._log("the target is as good as the old version; all requests go to it")

    def _end(self, state):
        self.phase = Phase.ENDED
        self.state = state
        self._log(f"the roll-out is {state.replace('_', ' ')}")

    def _log(self, text):
        logger.bind(service=self.order.service, **self.dump()).info("roll-out of {}: {}", self.order.service, text)


def _latency(finished):
    """Seconds a token where there are tokens enough, else of the whole run."""
    if finished.output_tokens >= MIN_TOKENS_FOR_RATE:
        return (finished.duration_s - finished.first_token_s) / finished.output_tokens
    return 0.0 if finished.output_tokens else finished.duration_s
