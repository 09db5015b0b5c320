"""The retry budget of all routers together holds at the engines while routers are killed, restarted and cut off."""

import asyncio
import os
import unittest

import looptime

from tests.utils.paused_clock import on_paused_clock
from tests.utils.retry_fleet import LOST, REFUSED, Disturbances, RetryFleet

SEEDS = tuple(int(seed) for seed in os.environ.get("RETRY_SEEDS", "1 2").split())
"""For other seeds, ``RETRY_SEEDS="1 2 3" python -m unittest tests.test_retry_fleet``."""
CALM_S = 25.0
FAILING_S = 14.0
RESTART_S = 0.3


class RetryFleetTest(unittest.TestCase):
    async def fleet(self, *, fail_share, failure=LOST):
        """Return a fleet whose runs start to fail after a calm period."""
        fleet = RetryFleet()
        await fleet.start()
        await asyncio.sleep(CALM_S)
        fleet.fail_share, fleet.failure = fail_share, failure
        return fleet

    async def check(self, fleet):
        await fleet.close()
        self.assertLessEqual(fleet.max_budget_excess(), 0.0)

    # Guards against the retry share earned in a calm period being spent twice within one window.
    @on_paused_clock
    async def test_half_of_the_runs_fail_after_a_calm_time(self):
        fleet = await self.fleet(fail_share=0.5)
        await asyncio.sleep(FAILING_S)
        await self.check(fleet)

    # Guards against routers that see no other router and each use the extra retries of the whole fleet.
    @on_paused_clock
    async def test_routers_cut_off_from_each_other(self):
        fleet = await self.fleet(fail_share=1.0, failure=REFUSED)
        fleet.disconnect_all()
        await asyncio.sleep(FAILING_S)
        await self.check(fleet)

    # Guards against routers that forget on restart which retries they have spent.
    @on_paused_clock
    async def test_most_routers_start_again_twice(self):
        fleet = await self.fleet(fail_share=0.6)
        names = sorted(fleet.routers_by_name)
        for killed in (names[:8], names[4:]):
            await asyncio.sleep(FAILING_S / 4)
            await fleet.kill(*killed)
            await asyncio.sleep(RESTART_S)
            await fleet.restart(*killed)
        await asyncio.sleep(FAILING_S / 2)
        await self.check(fleet)

    # Guards against a router's share that grows when others die, although those spent theirs in the same window.
    @on_paused_clock
    async def test_most_routers_die_while_runs_fail(self):
        fleet = await self.fleet(fail_share=0.6, failure=REFUSED)
        await asyncio.sleep(FAILING_S / 7)
        await fleet.kill(*sorted(fleet.routers_by_name)[3:])
        await asyncio.sleep(FAILING_S)
        await self.check(fleet)


class SeededSeriesTest(unittest.TestCase):
    """Overlapping series of kills, restarts and network cuts, while runs fail in changing ways."""

    async def run_seed(self, seed):
        fleet = RetryFleet(seed=seed)
        await fleet.start()
        await asyncio.sleep(CALM_S)
        disturbances = Disturbances(fleet=fleet, seed=seed)
        await disturbances.run(for_s=2 * FAILING_S)
        await fleet.close()
        return fleet.max_budget_excess(), disturbances.history

    def check(self, seed):
        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as runner:
            over, history = runner.run(self.run_seed(seed))
        self.assertLessEqual(over, 0.0, history)

    # Guards against faults that only a combination of disturbances shows.
    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    # Guards against retries that are no longer accounted for when the scheduler and most other routers die together.
    def test_most_routers_die_with_the_scheduler(self):
        self.check(14)


if __name__ == "__main__":
    unittest.main()
