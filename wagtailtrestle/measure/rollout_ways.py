"""Compare two methods of judging a version on simulated rollouts: a sequential test by route, and one test at the end.

Each seed simulates a service of two routes, one of which fails a seventh of its calls with any version, and a
target that is good or bad in one way. Outcomes of runs are drawn at random, so the methods differ only in their
judgement. ``python -m wagtailtrestle.measure.rollout_ways`` prints a table.
"""

import math
import random
from types import SimpleNamespace

from loguru import logger

from wagtailtrestle.contracts.rollout_messages import RolloutOrder, RolloutState
from wagtailtrestle.output.table import table
from wagtailtrestle.rollouts.canary_analysis import DONE, FAILED
from wagtailtrestle.rollouts.rollout import Phase, Rollout

SEEDS = 400
RATE_PER_S = 60.0
DURATION_S = 12.0
SHARE = 0.1
SLACK = 50
GOOD = "good"
USUAL_FAILURES = {"read": 0.14, "book": 0.004}
MEAN_RUN_S = 0.04
SPREAD = 0.3
Z_THRESHOLD = 3.09
"""Threshold of the test at the end: one false rollback in a thousand."""


class SimpleClock:
    """Clock that the simulation advances."""

    __slots__ = ("now",)

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        """Return the simulated time."""
        return self.now


class Version:
    """Failures and speed of a simulated version.

    Parameters
    ----------
    share : float
        Share of its runs that fail in addition to those that fail with any version.
    route : str or None
        The only route with these failures; ``None`` means every route.
    after_s : float
        Time at which these failures start.
    slower : float
        Factor by which all runs are slower.
    """

    __slots__ = ("share", "route", "after_s", "slower")

    def __init__(self, *, share=0.0, route=None, after_s=0.0, slower=1.0):
        self.share = share
        self.route = route
        self.after_s = after_s
        self.slower = slower

    def fails(self, route, at_s):
        """Return the share of a route's runs that fail at a time."""
        extra = self.share if route == (self.route or route) and at_s >= self.after_s else 0.0
        return USUAL_FAILURES[route] + extra * (1.0 - USUAL_FAILURES[route])


VERSIONS_BY_NAME = {
    GOOD: Version(),
    "fails half": Version(share=0.5),
    "fails a fifth": Version(share=0.2),
    "fails a fifth on one route": Version(share=0.2, route="book"),
    "fails half from 3 s on": Version(share=0.5, after_s=3.0),
    "three times slower": Version(slower=3.0),
}


class ComparisonAtEnd:
    """Compares failures and mean run times of both versions once, after the trial."""

    def __init__(self):
        self._runs = {True: [], False: []}

    def record(self, *, is_target, bad, run_s):
        """Record a run."""
        self._runs[is_target].append((bad, run_s))

    @property
    def is_bad(self):
        """Whether the target's failures are significantly more, or its mean time over twice as long."""
        old, new = self._runs[False], self._runs[True]
        if not old or not new:
            return False
        return self._z_score([bad for bad, _ in old], [bad for bad, _ in new]) > Z_THRESHOLD or self._is_slower(
            old, new
        )

    def _z_score(self, old, new):
        part = (sum(old) + sum(new)) / (len(old) + len(new))
        spread = math.sqrt(max(1e-9, part * (1.0 - part) * (1.0 / len(old) + 1.0 / len(new))))
        return (sum(new) / len(new) - sum(old) / len(old)) / spread

    def _is_slower(self, old, new):
        return _mean([run_s for _, run_s in new]) > 2.0 * _mean([run_s for _, run_s in old])


def _mean(values):
    return sum(values) / len(values)


class SimulatedRollout:
    """Result of one simulated rollout.

    Attributes
    ----------
    found_at_s : float or None
        Time at which the sequential test rolled it back.
    exposed, granted : int
        Runs on the target, and all runs, until the end of the simulation.
    found_at_end : bool
        Whether the test after the trial rolls it back.
    """

    __slots__ = ("rolled_back_at_s", "exposed", "granted", "rolled_back_at_end")

    def __init__(self, *, rolled_back_at_s, exposed, granted, rolled_back_at_end):
        self.rolled_back_at_s = rolled_back_at_s
        self.exposed = exposed
        self.granted = granted
        self.rolled_back_at_end = rolled_back_at_end

    @property
    def is_within_bound(self):
        """Whether the target got no more runs than an untested version may."""
        return self.exposed <= SHARE * self.granted + SLACK


def simulate(version, seed):
    """Simulate one rollout; every run ends immediately."""
    rng = random.Random(seed)
    clock = SimpleClock()
    order = RolloutOrder(service="s", target="new", duration_s=DURATION_S, store_version=1)
    rollout = Rollout(order=order, share=SHARE, slack=SLACK, clock=clock)
    at_end = ComparisonAtEnd()
    rolled_back_at_s = None
    granted = exposed = 0
    while clock.now < DURATION_S:
        clock.now += rng.expovariate(RATE_PER_S)
        route = "read" if rng.random() < 2 / 3 else "book"
        request = SimpleNamespace(route=route, excluded_engines=(), alone=False, done_tokens=0, version="")
        is_target = rollout.phase is Phase.SHIFT or rollout.should_expose(request)
        granted += 1
        exposed += is_target
        version_name = "new" if is_target else "old"
        rollout.record_grant(request, version_name)
        behaviour = version if is_target else VERSIONS_BY_NAME[GOOD]
        bad = rng.random() < behaviour.fails(route, clock.now)
        run_s = MEAN_RUN_S * behaviour.slower * math.exp(rng.gauss(0.0, SPREAD))
        if rollout.phase is Phase.TRIAL:
            at_end.record(is_target=is_target, bad=bad, run_s=run_s)
        finished = SimpleNamespace(result=FAILED if bad else DONE, duration_s=run_s, output_tokens=0, first_token_s=0.0)
        engine = f"{version_name}-{rng.randint(1, 2)}"
        rollout.record_run_end(request=request, engine=engine, version=version_name, finished=finished)
        if rolled_back_at_s is None and rollout.state is RolloutState.ROLLED_BACK:
            rolled_back_at_s = clock.now
        # The old engines have a run until the end, so that the shift takes the longest time allowed.
        rollout.step(old_slots=12, target_slots=12, old_runs=1)
    return SimulatedRollout(
        rolled_back_at_s=rolled_back_at_s, exposed=exposed, granted=granted, rolled_back_at_end=at_end.is_bad
    )


def summary(name, seeds=SEEDS):
    """Return the figures of one version as a row of the table."""
    simulated = [simulate(VERSIONS_BY_NAME[name], seed) for seed in range(seeds)]
    times = sorted(each.rolled_back_at_s for each in simulated if each.rolled_back_at_s is not None)
    return [
        f"{len(times) / seeds:.3f}",
        f"{times[len(times) // 2]:.1f}" if times else "-",
        f"{times[-1]:.1f}" if times else "-",
        "-" if name == GOOD else f"{sum(not each.is_within_bound for each in simulated)}",
        f"{sum(each.rolled_back_at_end for each in simulated) / seeds:.3f}",
    ]


def main():
    """Print the table."""
    logger.remove()
    header = ("version", "by route: rolled back", "median s", "last s", "over the bound", "at the end: rolled back")
    print(table(header=header, rows=[[name, *summary(name)] for name in VERSIONS_BY_NAME]))


if __name__ == "__main__":
    main()
