import asyncio
import unittest

from wagtailtrestle.measure import virtual_time
from wagtailtrestle.measure.one_run import KILLED_STEWARD, OURS, RunSpec, measure


def run(policy, *, scenario="none", load=1.5):
    spec = RunSpec(service="naamkosh", policy=policy, load=load, scenario=scenario, seed=5, duration_s=14.0)
    return measure(spec)


class VirtualTimeTest(unittest.TestCase):
    def test_clock_jumps_and_errors_are_not_swallowed(self):
        async def sleep():
            await asyncio.sleep(3600.0)
            return asyncio.get_running_loop().time()

        async def fail():
            asyncio.get_running_loop().call_later(1.0, lambda: 1 / 0)
            await asyncio.sleep(2.0)

        self.assertAlmostEqual(virtual_time.run(sleep()), 3600.0)
        with self.assertRaises(RuntimeError):
            virtual_time.run(fail())


class MeasuredRunTest(unittest.TestCase):
    def test_same_seed_gives_the_same_figures(self):
        first, second = run(OURS), run(OURS)
        for figures in (first, second):
            figures.pop("processor_s")
        self.assertEqual(first, second)

    def test_nothing_runs_twice_and_refusals_are_true_when_the_steward_dies(self):
        # The steward's router dies under overload: its own callers are cut off, the others
        # register with the new steward. By the engines' record no request that may not
        # be repeated ran twice, and none that was told `no` ran at all.
        figures = run(OURS, scenario=KILLED_STEWARD, load=2.5)
        self.assertEqual((figures["duplicates"], figures["lies"], figures["unsettled"]), (0, 0, 0))
        self.assertGreater(figures["prefill_tokens"], 0)

    def test_baseline_answers_every_caller(self):
        figures = run("two-choices")
        self.assertEqual(figures["unsettled"], 0)
        self.assertGreater(figures["goodput_of_fleet"], 0.3)
