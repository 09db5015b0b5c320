"""Series of faults at the routers that read the engines' entries for the others, on a paused clock.

Engines leave one after the other, by ``draining`` or by the removal of their entry, while readers lose packets to the
store, lose the store, freeze, or stop answering peers, and while views differ. ``RELAY_SEEDS="1 2 3"`` plays others.
"""

import asyncio
import os
import random
import unittest

import looptime

from tests.test_engine_relay import KIND, NAMES, PROPAGATION_LIMIT_S, Fleet, entry
from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import now
from wagtailtrestle.contracts.outcomes import StoreUnavailable
from wagtailtrestle.platform.store import READ_TIMEOUT_S, WATCH_MARGIN_S

DEFAULT_SEEDS = range(1, 9)
SERIES_S = 40.0
ENGINES = 6
CHECK_INTERVAL_S = 0.02
FAULTY_ROUTERS = 4
"""The first of the ranking have faults; the others are in touch with the store and each other all the while."""


class FaultyStore(MemoryStore):
    """One router's path to the store.

    Attributes
    ----------
    answer_delay_s : callable
        Returns the time that the next answer is under way.
    frozen_until : float
        Time at which the router goes on that waits for an answer.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.answer_delay_s = lambda: 0.0
        self.frozen_until = 0.0

    async def list(self, **arguments):
        return await self._delayed(super().list(**arguments), READ_TIMEOUT_S)

    async def watch(self, *, timeout_s, **arguments):
        call = super().watch(timeout_s=timeout_s, **arguments)
        return await self._delayed(call, timeout_s + WATCH_MARGIN_S)

    async def _delayed(self, call, limit_s):
        began_at = now()
        outcome = await call
        arrives_at = max(now() + self.answer_delay_s(), self.frozen_until)
        if arrives_at - began_at > limit_s and arrives_at > self.frozen_until:
            arrives_at = began_at + limit_s
            outcome = StoreUnavailable(detail="timeout")
        await asyncio.sleep(max(0.0, arrives_at - now()))
        return outcome


class Series:
    """One seeded series of faults beside engines that leave.

    Parameters
    ----------
    seed : int
    faults : tuple of str
        Names of the methods that bring faults about.
    max_pause_s : float
        Longest pause between two faults.
    """

    def __init__(self, *, seed, faults, max_pause_s):
        self.random = random.Random(seed)
        self.faults = faults
        self.max_pause_s = max_pause_s
        self.fleet = Fleet()
        for name in NAMES:
            self.fleet.store_by_router[name] = FaultyStore(table=self.fleet.table)
            self.fleet.list_by_router[name]._store = self.fleet.store_by_router[name]
            self.fleet.list_by_router[name]._jitter = random.Random(self.random.random())
        self.faulty = self.fleet.ranked()[:FAULTY_ROUTERS]
        self.left_at_by_engine = {}
        self.late = set()
        self.next_engine = 3

    async def play(self):
        await self.fleet.start()
        for _ in range(ENGINES - 2):
            await self._join()
        parts = (self._replace_engines(), self._check(), self._break(), self._break())
        tasks = [asyncio.create_task(part) for part in parts]
        await asyncio.sleep(SERIES_S)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        await self.fleet.close()
        failures = [result for result in results if not isinstance(result, asyncio.CancelledError)]
        if failures:
            raise failures[0]

    async def _join(self):
        name, self.next_engine = f"i-{self.next_engine}", self.next_engine + 1
        value = entry(address=f"10.0.1.{self.next_engine % 250}:80")
        await self.fleet.operator.create(kind=KIND, name=name, value=value)
        return name

    async def _replace_engines(self):
        serving = [name for name, _ in sorted(self.fleet.table.list(kind=KIND).value.items())]
        while True:
            await asyncio.sleep(self.random.choice((0.02, 0.3, 0.8)) * self.random.random() * 2)
            name = serving.pop(0)
            if self.random.random() < 0.5:
                await self.fleet.leave(name)
            else:
                found = await self.fleet.operator.get(kind=KIND, name=name)
                await self.fleet.operator.delete(kind=KIND, name=name, if_version=found.version)
            self.left_at_by_engine[name] = now()
            serving.append(await self._join())

    async def _check(self):
        in_touch = [name for name in NAMES if name not in self.faulty]
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for engine, left_at in self.left_at_by_engine.items():
                if now() - left_at <= PROPAGATION_LIMIT_S:
                    continue
                for router in in_touch:
                    known = self.fleet.list_by_router[router].by_name.get(engine)
                    if known is not None and not known.leaving:
                        self.late.add((engine, router))

    async def _break(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.0, self.max_pause_s))
            router = self.random.choice(self.faulty)
            fault = getattr(self, self.random.choice(self.faults))
            await fault(router, self.fleet.store_by_router[router])

    async def lossy(self, router, store):
        store.answer_delay_s = lambda: self.random.choice((0.0, 0.3, 0.6, 1.0, 1.3))
        await asyncio.sleep(self.random.uniform(3.0, 8.0))
        store.answer_delay_s = lambda: 0.0

    async def cut(self, router, store):
        store.down = True
        await asyncio.sleep(self.random.uniform(0.5, 6.0))
        store.down = False

    async def freeze(self, router, store):
        length_s = self.random.uniform(0.3, 4.0)
        store.frozen_until = now() + length_s
        await self.mute(router, store, length_s=length_s)

    async def mute(self, router, store, length_s=None):
        self.fleet.network.silent.add(router)
        await asyncio.sleep(length_s or self.random.uniform(0.5, 5.0))
        self.fleet.network.silent.discard(router)

    async def misjudge(self, router, store):
        views = self.fleet.members_by_router
        misjudging = [name for name in NAMES if self.random.random() < 0.5]
        for name in misjudging:
            views[name] = tuple(member for member in NAMES if member != router)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        for name in misjudging:
            views[name] = NAMES


async def played(**options):
    series = Series(**options)
    await series.play()
    return series


class EngineRelaySeriesTest(unittest.TestCase):
    def check(self, **options):
        for seed in [int(text) for text in os.environ.get("RELAY_SEEDS", "").split()] or DEFAULT_SEEDS:
            with self.subTest(seed=seed):
                with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as runner:
                    series = runner.run(played(seed=seed, **options))
                self.assertGreater(len(series.left_at_by_engine), SERIES_S / 2)
                self.assertEqual(series.late, set())

    # Guards against routers in touch with the store that go on using an engine that left, as a reader misled them.
    def test_no_router_in_touch_uses_an_engine_that_left(self):
        self.check(faults=("lossy", "cut", "freeze", "mute", "misjudge"), max_pause_s=3.0)

    # Guards against a reader that tells a list as fresh which was under way for a second.
    def test_no_router_uses_an_engine_that_left_while_readers_lose_packets(self):
        self.check(faults=("lossy",), max_pause_s=1.0)


if __name__ == "__main__":
    unittest.main()
