"""Health of engines as one router observes it: failures, stragglers and bounded ejection.

The evidence is this router's own, and its own network link may be at fault. So it ejects
only a bounded share of the engines, probes each again after a time, and compares an
engine's speed with that of the other engines and not with a fixed figure.
"""

import statistics
from collections import deque

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Consecutive failures after which an engine is ejected."""

INITIAL_EJECTION_S = 2.0
"""Duration of the first ejection; doubled at each failed probe."""

MAX_EJECTION_S = 30.0

PROBE_SHARE = 0.01
"""Share of the concurrency limit of an engine that is being probed: it is rounded up to one run."""

MAX_EJECTED_SHARE = 0.34

FAILED_RESULTS = frozenset({"RunNotSent", "RunSilent", "RunCut", "RunLost", "RunFailed", "RunTooLong"})
NEUTRAL_RESULTS = frozenset({"RunCancelled"})
"""A cancelled run is no evidence on the engine: the caller, the deadline or a higher tier ended it."""

MAX_SLOWDOWN_SAMPLES = 64
MIN_SLOWDOWN_SAMPLES = 4
MAX_SAMPLE_AGE_S = 4.0
"""Age beyond which a slowdown sample is no longer representative."""

MIN_SAMPLE_SPAN_S = 2.0
"""Minimum time span of the samples: one long prompt slows every run of its engine for a second
or two, and a batch of runs that end then would make it look like a straggler."""

SLOWDOWN_QUANTILE = 0.25
"""Quantile of the recent samples that is taken as an engine's slowdown: a straggler is slow in
every run, a healthy engine only in those that ran beside a long prompt."""

MIN_COMPARED_ENGINES = 2
"""Other engines whose slowdown must be known: without a comparison, all engines may be equally slow."""

STRAGGLER_RATIO = 2.0
"""Slowdown relative to the other engines above which an engine counts as a straggler."""

RECOVERY_RATIO = 1.4
"""Relative slowdown below which a straggler regains share: well under ``STRAGGLER_RATIO``, so that
the share of an engine near the threshold does not oscillate."""

MIN_SHARE_CHANGE_INTERVAL_S = 1.0
"""Minimum time between two changes of an engine's share."""

MIN_SHARE = 0.1
"""Share that a straggler keeps, without which its recovery could not be observed."""

SHARE_CHANGE_FACTOR = 2.0


class EngineHealth:
    """Which engines one router may use, and at what share of their concurrency.

    Parameters
    ----------
    engines : iterable of str
        Names of the engines that are compared with each other.
    max_ejected_share : float
        Largest share of the engines that this router may eject on its own evidence.
    """

    __slots__ = ("_states_by_name", "_max_ejected_share")

    def __init__(self, *, engines=(), max_ejected_share=MAX_EJECTED_SHARE):
        self._states_by_name = {}
        self._max_ejected_share = max_ejected_share
        self.set_engines(engines)

    def set_engines(self, engines):
        """Track these engines from now on; the state of those already tracked is kept."""
        self._states_by_name = {name: self._states_by_name.get(name) or EngineHealthState() for name in engines}

    def reset(self, engine):
        """Discard the engine's state, since it has restarted."""
        if engine in self._states_by_name:
            self._states_by_name[engine] = EngineHealthState()

    def on_outcome(self, engine, result, now):
        """Record how a run ended; ``result`` is the outcome's class name."""
        state = self._states_by_name.get(engine)
        if state is None or result in NEUTRAL_RESULTS:
            return
        if result in FAILED_RESULTS:
            state.record_failure(now)
        else:
            state.record_success()

    def on_slowdown(self, engine, observed_over_expected, now):
        """Record the ratio of a decode's duration to the one that the engine's model expected."""
        state = self._states_by_name.get(engine)
        if state is None:
            return
        state.slowdowns.append((now, observed_over_expected))
        self._update_share(state, now)

    def available(self, engine, now):
        """Whether the engine may be given runs now, if only a probe."""
        return engine not in self._ejected(now)

    def share(self, engine, now):
        """Share, from 0 to 1, of the engine's concurrency limit that may be used."""
        state = self._states_by_name.get(engine)
        return 1.0 if state is None else self._share(engine, state, self._ejected(now))

    def shares(self, now):
        """Shares of all engines by name, computed in one pass: :meth:`share` examines all engines at each call."""
        ejected = self._ejected(now)
        return {name: self._share(name, state, ejected) for name, state in self._states_by_name.items()}

    def _share(self, engine, state, ejected):
        if engine in ejected:
            return 0.0
        if state.probing and self._may_eject(engine):
            return PROBE_SHARE
        return state.share

    def dump(self):
        """Plain data for the state dump."""
        return {
            name: {"failures": state.failures, "ejected_until": state.ejected_until, "share": state.share}
            for name, state in self._states_by_name.items()
        }

    def _ejected(self, now):
        return {
            name for name, state in self._states_by_name.items() if now < state.ejected_until and self._may_eject(name)
        }

    def _may_eject(self, name):
        # A router with a faulty network link sees every engine fail, and would eject all of
        # them although they serve other routers well. Only the worst few are ejected; the
        # others stay in use, and a run that fails there costs one retry elsewhere.
        suspects = [
            other for other, state in self._states_by_name.items() if state.failures >= CONSECUTIVE_FAILURES_TO_EJECT
        ]
        suspects.sort(key=lambda other: (-self._states_by_name[other].failures, other))
        return name in suspects[: self._max_ejected()]

    def _max_ejected(self):
        engines = len(self._states_by_name)
        return max(1, int(self._max_ejected_share * engines)) if engines > 1 else 0

    def _update_share(self, state, now):
        own = state.slowdown(now)
        if own is None or now - state.share_changed_at < MIN_SHARE_CHANGE_INTERVAL_S:
            return
        if own <= STRAGGLER_RATIO and state.share >= 1.0:
            # The comparison below can't change the share then. It sorts the samples of all engines, which took an
            # eighth of a scheduler's processor time for each run with 56 engines.
            return
        # Relative to the other engines: when long prompts slow all of them, none is a straggler.
        others = [other.slowdown(now) for other in self._states_by_name.values() if other is not state]
        others = [slowdown for slowdown in others if slowdown is not None]
        if len(others) < min(MIN_COMPARED_ENGINES, len(self._states_by_name) - 1) or not others:
            return
        ratio = own / max(1.0, statistics.median(others))
        if ratio > STRAGGLER_RATIO:
            state.set_share(max(MIN_SHARE, min(state.share / SHARE_CHANGE_FACTOR, 1.0 / ratio)), now)
        elif ratio < RECOVERY_RATIO and state.share < 1.0:
            state.set_share(min(1.0, state.share * SHARE_CHANGE_FACTOR), now)


class EngineHealthState:
    """Failures, slowdown samples and share of one engine."""

    __slots__ = ("failures", "ejected_until", "slowdowns", "share", "share_changed_at")

    def __init__(self):
        self.failures = 0
        self.ejected_until = 0.0
        self.slowdowns = deque(maxlen=MAX_SLOWDOWN_SAMPLES)
        self.share = 1.0
        self.share_changed_at = float("-inf")

    @property
    def probing(self):
        """Whether it has failed so often that only a probe may be sent there."""
        return self.failures >= CONSECUTIVE_FAILURES_TO_EJECT

    def record_failure(self, now):
        """Count a failure, and eject the engine after several consecutive ones or a failed probe."""
        if now < self.ejected_until:
            return
        self.failures += 1
        if self.probing:
            backoff_factor = 2.0 ** (self.failures - CONSECUTIVE_FAILURES_TO_EJECT)
            self.ejected_until = now + min(MAX_EJECTION_S, INITIAL_EJECTION_S * backoff_factor)

    def record_success(self):
        """Reset the failures and end the ejection."""
        self.failures = 0
        self.ejected_until = 0.0

    def slowdown(self, now):
        """Low quantile of the recent samples, or ``None`` if they are too few or span too short a time."""
        while self.slowdowns and now - self.slowdowns[0][0] > MAX_SAMPLE_AGE_S:
            self.slowdowns.popleft()
        if (
            len(self.slowdowns) < MIN_SLOWDOWN_SAMPLES
            or self.slowdowns[-1][0] - self.slowdowns[0][0] < MIN_SAMPLE_SPAN_S
        ):
            return None
        slowdowns = sorted(rate for _, rate in self.slowdowns)
        return slowdowns[int(SLOWDOWN_QUANTILE * len(slowdowns))]

    def set_share(self, share, now):
        """Change the share, and discard the samples, which were taken under the former one."""
        self.share = share
        self.share_changed_at = now
        self.slowdowns.clear()
