"""One router's evidence on engines: silence, failed connections, stragglers, bounded ejection.

All of it is what this router saw itself, and its own link may be what is broken. So it
ejects only a bounded part of the engines, tries each again after a while, and judges an
engine's pace against the other engines' and not against a fixed figure.
"""

import statistics
from collections import deque

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Failures in a row after which an engine is ejected."""

INITIAL_EJECTION_S = 2.0
"""First time out of service; doubled at each probe that fails."""

MAX_EJECTION_S = 30.0

PROBE_SHARE = 0.01
"""Share of a probed engine: its concurrency limit rounds this up to one run."""

MAX_EJECTED_SHARE = 0.34

FAILED_RESULTS = frozenset({"RunNotSent", "RunSilent", "RunCut", "RunLost", "RunFailed"})
NEUTRAL_RESULTS = frozenset({"RunCancelled"})
"""A cancelled run says nothing of the engine: the caller, the deadline or a tier ended it."""

MAX_SLOWDOWN_SAMPLES = 64
MIN_SLOWDOWN_SAMPLES = 4
MAX_SAMPLE_AGE_S = 4.0
"""Older rates say nothing of the present."""

MIN_SAMPLE_SPAN_S = 2.0
"""Time that the rates must span: one long prompt slows every run of its engine for a second
or two, and a batch of runs that end then would look like a straggler's."""

SLOWDOWN_QUANTILE = 0.25
"""Part of the recent rates that lies below an engine's pace: a straggler is slow in every run,
a sound engine only in those that met a long prompt."""

MIN_COMPARED_ENGINES = 2
"""Other engines whose pace must be known: alone, a pace may be everybody's."""

STRAGGLER_RATIO = 2.0
"""Pace against the others' from which an engine counts as a straggler."""

RECOVERY_RATIO = 1.4
"""Pace below which a straggler gains share again: well under ``SLOW_RATIO``, so that an engine
near the border does not lose and regain its work in turn."""

MIN_SHARE_CHANGE_INTERVAL_S = 1.0
"""Least time between two changes of an engine's share."""

MIN_SHARE = 0.1
"""A straggler keeps this much work, or nobody would see it recover."""

SHARE_CHANGE_FACTOR = 2.0


class EngineHealth:
    """Which engines one router may use, and at what share of their concurrency.

    Parameters
    ----------
    engines : iterable of str
        Names of the engines judged together.
    max_ejected_share : float
        Largest share of them that this router may eject on its own evidence.
    """

    __slots__ = ("_states_by_name", "_max_ejected_share")

    def __init__(self, *, engines=(), max_ejected_share=MAX_EJECTED_SHARE):
        self._states_by_name = {}
        self._max_ejected_share = max_ejected_share
        self.set_engines(engines)

    def set_engines(self, engines):
        """Judge these engines from now on; what is known of those kept stays."""
        self._states_by_name = {name: self._states_by_name.get(name) or EngineHealthState() for name in engines}

    def reset(self, engine):
        """Judge the engine anew: it started again, and what it did before says nothing of it."""
        if engine in self._states_by_name:
            self._states_by_name[engine] = EngineHealthState()

    def on_outcome(self, engine, result, now):
        """Take in how a run ended; ``result`` is the outcome's class name."""
        state = self._states_by_name.get(engine)
        if state is None or result in NEUTRAL_RESULTS:
            return
        if result in FAILED_RESULTS:
            state.record_failure(now)
        else:
            state.record_success()

    def on_slowdown(self, engine, observed_over_expected, now):
        """Take in how long a decode took against what the engine's model expected."""
        state = self._states_by_name.get(engine)
        if state is None:
            return
        state.slowdowns.append((now, observed_over_expected))
        self._update_share(state, now)

    def available(self, engine, now):
        """Whether the engine may take work now, if only as a probe."""
        return engine not in self._ejected(now)

    def share(self, engine, now):
        """Share, from 0 to 1, of its concurrency that the engine may use."""
        state = self._states_by_name.get(engine)
        return 1.0 if state is None else self._share(engine, state, self._ejected(now))

    def shares(self, now):
        """Shares of all engines by name; asked one by one, each would look through all of them again."""
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
        # A router whose own link is bad sees every engine fail, and would empty the fleet
        # while other routers' work on it goes well. Only the few worst are held out; the
        # rest stay in use, and a run that fails there costs one retry elsewhere.
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
        # Compared with the others: when long prompts slow every engine, none is a straggler.
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
    """What is known of one engine's health."""

    __slots__ = ("failures", "ejected_until", "slowdowns", "share", "share_changed_at")

    def __init__(self):
        self.failures = 0
        self.ejected_until = 0.0
        self.slowdowns = deque(maxlen=MAX_SLOWDOWN_SAMPLES)
        self.share = 1.0
        self.share_changed_at = float("-inf")

    @property
    def probing(self):
        """Whether it failed so often that only a probe may go there."""
        return self.failures >= CONSECUTIVE_FAILURES_TO_EJECT

    def record_failure(self, now):
        """Count a failure, and eject after several in a row or a failed probe."""
        if now < self.ejected_until:
            return
        self.failures += 1
        if self.probing:
            backoff_factor = 2.0 ** (self.failures - CONSECUTIVE_FAILURES_TO_EJECT)
            self.ejected_until = now + min(MAX_EJECTION_S, INITIAL_EJECTION_S * backoff_factor)

    def record_success(self):
        """Believe the engine sound again."""
        self.failures = 0
        self.ejected_until = 0.0

    def slowdown(self, now):
        """Low end of the recent rates, or ``None`` if they are too few or too close together."""
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
        """Change the share; the rates seen before it say nothing of what follows."""
        self.share = share
        self.share_changed_at = now
        self.slowdowns.clear()
