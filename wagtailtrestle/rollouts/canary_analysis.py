"""Whether a version is worse than the one that it is to replace.

Each run on the target is compared with what the old version shows on the same route: a service may answer a
seventh of one route's calls with failures of its own, with any version. A cumulative sum of log likelihood ratios
(CUSUM), one for each route, one over all and one over those begun on a full engine, grows with bad runs and never
falls below zero, so that a version which turns bad after a good beginning is found as soon as one that always was.
Few runs of an untested version find its engine full; among all others a failure that comes only then is too rare.
"""

import math
from collections import deque

MIN_EXCESS_BAD_RATE = 0.16
"""Least extra part of bad runs that is looked for."""

CUSUM_THRESHOLD = 5.5
"""Sum at which a version counts as bad; natural logarithm."""

SHIFT_CUSUM_THRESHOLD = 12.0
"""The same once it gets everything: ten times the runs give chance ten times the occasions."""

MIN_BAD_RUNS = 3
"""A single crash or a slow moment is not a version's fault."""

PRIOR_RUNS = 20.0
PRIOR_BAD_RUNS = 2.0
"""What is believed of a route of which the old version has shown little: one bad run in ten."""

SLOW_FACTOR = 2.5
"""Times its usual pace from which a run counts as slow; engines of one version alone differ fourfold, so that each is
set against its own pace and against the slowest of the old ones."""

LATENCY_WINDOW_RUNS = 64
MIN_LATENCIES = 4
CRASH_WINDOW_S = 1.0
"""A crash ends all runs of its engine at once: of those within so long one counts."""

FAILED = "RunFailed"
CUT_RESULTS = frozenset({"RunCut", "RunSilent", "RunLost"})
DONE = "RunDone"


class _Evidence:
    """What both versions showed in one kind of runs, those of a route or those on full engines."""

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
        """Part of the old version's runs that were bad; ``prior`` is what is believed before any is seen."""
        return (self.old_bad + PRIOR_RUNS * prior) / (self.old_runs + PRIOR_RUNS)

    def usual(self, prior=PRIOR_BAD_RUNS / PRIOR_RUNS):
        """Part of the runs that are bad with any version, one standard deviation above what was seen.

        Taken as seen, chance among the old version's runs alone would make a good target look worse.
        """
        bad_rate = self.bad_rate(prior)
        return bad_rate + math.sqrt(bad_rate * (1.0 - bad_rate) / (self.old_runs + PRIOR_RUNS))

    def add(self, bad, usual):
        """Add the evidence of a run on the target where this part is bad with any version."""
        worse = usual + MIN_EXCESS_BAD_RATE * (1.0 - usual)
        step = math.log(worse / usual) if bad else math.log((1.0 - worse) / (1.0 - usual))
        self.total = max(0.0, self.total + step)


class _LatencyWindow:
    """The last paces of one engine on one route."""

    __slots__ = ("_last",)

    def __init__(self):
        self._last = deque(maxlen=LATENCY_WINDOW_RUNS)

    def add(self, latency):
        self._last.append(latency)

    @property
    def usual(self):
        """Pace of its faster runs, or ``None`` while too few are known."""
        if len(self._last) < MIN_LATENCIES:
            return None
        return sorted(self._last)[len(self._last) // 4]


class CanaryAnalysis:
    """The evidence on one target.

    Parameters
    ----------
    word : RolloutWord, optional
        What a former coordinator told; what it knew of each route is lost with it.

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
        """Whether the target is worse than the old version."""
        return self.suspicion >= self.threshold

    @property
    def suspicion(self):
        """The largest of the sums; 0 while too few runs were bad."""
        if self.target_bad < MIN_BAD_RUNS:
            return 0.0
        return max(evidence.total for evidence in (self._all, self._full, *self._route_by_name.values()))

    def record_run(self, *, route, engine, is_target, result, latency, now, was_full=False):
        """Take in how a run ended.

        Parameters
        ----------
        route, engine : str
        is_target : bool
        result : str
            The class name of the outcome.
        pace : float
            Seconds, or seconds a token; 0 where the run shows none.
        now : float
        was_full : bool
            Whether the engine was full with it when it began.
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
        """Whether a run was bad; ``None`` if it tells nothing."""
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
        usual = evidence.usual()
        evidence.add(bad, usual)
        self._all.add(bad, usual)
        if was_full:
            self._full.add(bad, max(usual, self._full.usual(prior=evidence.bad_rate())))
