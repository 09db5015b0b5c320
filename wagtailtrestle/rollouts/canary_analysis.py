"""Detects whether a version has a higher rate of bad runs (failed, lost or slow) than the one that it replaces.

The bad runs on the target are compared with those of the old version on the same route: with any version, a service
may answer a seventh of one route's calls with failures of its own. A cumulative sum of log likelihood ratios (CUSUM)
grows with bad runs and never falls below zero, so that a version which turns bad after a good start is detected as
soon as one that was bad from the start. There is one sum for each route, one for all runs and one for the runs that
filled their engine. The last is needed because few runs of an untested version fill its engine: a failure that occurs
only then is too rare among all runs to be detected.
"""

import math
from collections import deque

MIN_EXCESS_BAD_RATE = 0.16
"""Smallest excess rate of bad runs that the analysis is designed to detect."""

CUSUM_THRESHOLD = 5.5
"""CUSUM value at which a version counts as bad; natural logarithm."""

SHIFT_CUSUM_THRESHOLD = 12.0
"""Threshold while the target gets all requests: with ten times the runs, a false alarm is ten times as likely."""

MIN_BAD_RUNS = 3
"""Fewer bad runs are not held against a version, as a single crash or slow moment may cause them."""

PRIOR_RUNS = 20.0
PRIOR_BAD_RUNS = 2.0
"""Prior for a route with few runs on the old version: one bad run in ten."""

SLOW_FACTOR = 2.5
"""A run counts as slow above this multiple of the usual latency. Engines of one version alone differ fourfold, so each
is compared with its own usual latency and with that of the slowest old engine."""

LATENCY_WINDOW_RUNS = 64
MIN_LATENCIES = 4
CRASH_WINDOW_S = 1.0
"""A crash ends all runs of its engine together, so only one lost run per engine counts within this time."""

FAILED = "RunFailed"
CUT_RESULTS = frozenset({"RunCut", "RunSilent", "RunLost", "RunTooLong"})
DONE = "RunDone"


class _Evidence:
    """Bad runs of both versions in one group of runs: those of a route, on full engines, or all."""

    __slots__ = ("old_runs", "old_bad", "total")

    def __init__(self):
        self.old_runs = 0
        self.old_bad = 0
        self.total = 0.0

    def add_baseline(self, bad):
        """Count a run on the old version."""
        self.old_runs += 1
        self.old_bad += bad

    def bad_rate(self, prior=PRIOR_BAD_RUNS / PRIOR_RUNS):
        """Return the old version's rate of bad runs, smoothed by ``prior``."""
        return (self.old_bad + PRIOR_RUNS * prior) / (self.old_runs + PRIOR_RUNS)

    def expected_bad_rate(self, prior=PRIOR_BAD_RUNS / PRIOR_RUNS):
        """Return the expected rate of bad runs, one standard deviation above the observed rate.

        With the observed rate alone, noise in the old version's runs would make a good target look bad.
        """
        bad_rate = self.bad_rate(prior)
        return bad_rate + math.sqrt(bad_rate * (1.0 - bad_rate) / (self.old_runs + PRIOR_RUNS))

    def add(self, bad, expected_bad_rate):
        """Add a run on the target to the CUSUM; ``expected_bad_rate`` is that of the old version."""
        degraded_rate = expected_bad_rate + MIN_EXCESS_BAD_RATE * (1.0 - expected_bad_rate)
        step = (
            math.log(degraded_rate / expected_bad_rate)
            if bad
            else math.log((1.0 - degraded_rate) / (1.0 - expected_bad_rate))
        )
        self.total = max(0.0, self.total + step)


class _LatencyWindow:
    """The last latencies of one engine on one route."""

    __slots__ = ("_last",)

    def __init__(self):
        self._last = deque(maxlen=LATENCY_WINDOW_RUNS)

    def add(self, latency):
        self._last.append(latency)

    @property
    def usual(self):
        """First quartile of the latencies, or ``None`` while too few are known."""
        if len(self._last) < MIN_LATENCIES:
            return None
        return sorted(self._last)[len(self._last) // 4]


class CanaryAnalysis:
    """Compares one target with the old version.

    Parameters
    ----------
    progress : RolloutWord, optional
        Last report of the previous coordinator; its evidence for each route is lost.

    Attributes
    ----------
    threshold : float
        Sum at which the target counts as bad.
    target_runs, target_bad : int
    """

    __slots__ = (
        "threshold",
        "target_runs",
        "target_bad",
        "_route_by_name",
        "_all",
        "_full",
        "_latencies_by_key",
        "_cut_at_by_engine",
    )

    def __init__(self, *, progress=None):
        self.threshold = CUSUM_THRESHOLD
        self.target_runs = 0 if progress is None else progress.target_runs
        self.target_bad = 0 if progress is None else progress.target_bad
        self._route_by_name = {}
        self._all = _Evidence()
        self._all.total = 0.0 if progress is None else progress.suspicion
        self._full = _Evidence()
        self._latencies_by_key = {}
        self._cut_at_by_engine = {}

    @property
    def is_bad(self):
        """Whether the target counts as bad, because the largest sum has reached the threshold."""
        return self.suspicion >= self.threshold

    @property
    def suspicion(self):
        """The largest of the sums; 0 while too few runs were bad."""
        if self.target_bad < MIN_BAD_RUNS:
            return 0.0
        return max(evidence.total for evidence in (self._all, self._full, *self._route_by_name.values()))

    def record_run(self, *, route, engine, is_target, result, latency, now, was_full=False):
        """Record the result of a run.

        Parameters
        ----------
        route, engine : str
        is_target : bool
        result : str
            The class name of the outcome.
        latency : float
            Seconds, or seconds per token; 0 if the run gives no measurement.
        now : float
        was_full : bool
            Whether this run filled the engine when it began.
        """
        bad = self._is_bad_run(route, engine, is_target, result, latency, now)
        if bad is None:
            return
        evidence = self._route_by_name.setdefault(route, _Evidence())
        if is_target:
            self._record_target_run(evidence, bad, was_full)
            return
        evidence.add_baseline(bad)
        if was_full:
            self._full.add_baseline(bad)

    def dump(self):
        """Return the state as a plain dict."""
        return {
            "target_runs": self.target_runs,
            "target_bad": self.target_bad,
            "total": round(self._all.total, 2),
            "total_full": round(self._full.total, 2),
            "total_by_route": {name: round(route.total, 2) for name, route in self._route_by_name.items()},
        }

    def _is_bad_run(self, route, engine, is_target, result, latency, now):
        """Whether a run was bad; ``None`` if it gives no evidence."""
        if result == FAILED:
            return True
        if result in CUT_RESULTS:
            is_first = now - self._cut_at_by_engine.get(engine, -math.inf) > CRASH_WINDOW_S
            self._cut_at_by_engine[engine] = now
            return True if is_first else None
        if result != DONE:
            return None
        return latency > 0.0 and self._is_slow(route, engine, is_target, latency)

    def _is_slow(self, route, engine, is_target, latency):
        own = self._latencies_by_key.setdefault((route, engine, is_target), _LatencyWindow())
        known = [own.usual]
        if is_target:
            old = [
                latencies.usual
                for (of, _, of_target), latencies in self._latencies_by_key.items()
                if of == route and not of_target and latencies.usual is not None
            ]
            known.append(max(old, default=None))
        own.add(latency)
        usual = min((each for each in known if each is not None), default=None)
        return usual is not None and latency > SLOW_FACTOR * usual

    def _record_target_run(self, evidence, bad, was_full):
        self.target_runs += 1
        self.target_bad += bad
        expected_bad_rate = evidence.expected_bad_rate()
        evidence.add(bad, expected_bad_rate)
        self._all.add(bad, expected_bad_rate)
        if was_full:
            self._full.add(bad, max(expected_bad_rate, self._full.expected_bad_rate(prior=evidence.bad_rate())))
