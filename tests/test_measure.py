import asyncio
import unittest

from wagtailtrestle.measure import virtual_time
from wagtailtrestle.measure.one_run import KEYED, KILLED_SCHEDULER, OURS, PLATFORM_OUT, RunSpec, measure


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

    def test_nothing_runs_twice_and_refusals_are_true_when_the_scheduler_dies(self):
        # The scheduler's router is killed under overload: its own callers are disconnected, the other
        # entries register with the new scheduler. By the engines' records no non-repeatable request
        # ran twice, and no request refused with executed `no` ran at all.
        figures = run(OURS, scenario=KILLED_SCHEDULER, load=2.5)
        self.assertEqual((figures["duplicates"], figures["lies"], figures["unsettled"]), (0, 0, 0))
        self.assertGreater(figures["prefill_tokens"], 0)

    def test_platform_outage_refuses_keys_immediately_and_nothing_else(self):
        # Every call to the store fails during the entire run: no claim can be proved, so requests with
        # a key are refused immediately as not executed, and the refusal is accurate. Nothing else reads
        # the store: requests of the same tier without a key are served as usual under overload.
        figures = run(OURS, scenario=PLATFORM_OUT, load=2.5)
        keyed, unkeyed = figures["keyed"]["keyed"], figures["keyed"]["unkeyed"]
        self.assertEqual((figures["duplicates"], figures["lies"], figures["unsettled"]), (0, 0, 0))
        self.assertEqual(keyed["refused"], keyed["asked"])
        self.assertLess(figures["keyed"]["slowest_refusal_s"], 0.5)
        self.assertGreater(unkeyed["in_time"], 0.98 * unkeyed["asked"])

    def test_claims_share_writes(self):
        # Every claim and its recorded answer go through the real ledger to a store with 5 ms latency.
        figures = run(OURS, scenario=KEYED, load=2.5)
        keyed = figures["keyed"]["keyed"]
        self.assertGreater(keyed["in_time"], 0.98 * keyed["asked"])
        self.assertTrue(keyed["asked"] < figures["writes"] < 2 * keyed["asked"] + 50)

    def test_baseline_answers_every_caller(self):
        figures = run("two-choices")
        self.assertEqual(figures["unsettled"], 0)
        self.assertGreater(figures["goodput_of_fleet"], 0.3)
