"""The store's bill of a fleet: few routers read the configuration, all others ask them.

The pattern is a fleet of which every router must know, within the time that operators grant a
revoked key, that its configuration is the newest. Did each of them ask the store, or any other
router, the bill would grow with the fleet; the figures here are calls of one second.
"""

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.peer_configuration import PeerConfiguration
from wagtailtrestle.configuration.sources import PlatformSource
from wagtailtrestle.configuration.store_readers import MIN_READERS, PAUSE_S, ROUTERS_A_READER, StoreReaders
from wagtailtrestle.contracts.peer_messages import PeerUnreachable
from wagtailtrestle.standins.object_table import ObjectTable

GENERATION = 3
POLL_S = 1.0
SECONDS = 30.0
WAY_S = 0.002
KEY_LIMIT_S = 4.5
"""Oldest proof with which a key is used where operators grant a revoked key five seconds."""


class Place:
    """An object whose value is its generation."""

    kind = "config"
    name = "main"
    reads_are_linearizable = True

    def parse_accepted(self, *, version, value):
        return SimpleNamespace(generation=value, text="")


class Fleet:
    """Routers that share the proof of one configuration."""

    def __init__(self, *, size):
        self.names = tuple(f"router-{number:03}" for number in range(size))
        self.table = ObjectTable()
        self.silent = set()
        self.oldest_s = 0.0
        self.router_by_name = {name: Member(name=name, fleet=self) for name in self.names}
        self._tasks = []

    async def start(self):
        await MemoryStore(table=self.table).create(kind=Place.kind, name=Place.name, value=GENERATION)
        for router in self.router_by_name.values():
            self._tasks += router.start()
        await asyncio.sleep(5.0)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def calls_of(self, seconds):
        """Calls to the store by router, and the oldest proof seen, while so much time passes."""
        before = {name: router.calls() for name, router in self.router_by_name.items()}
        until = asyncio.get_running_loop().time() + seconds
        self.oldest_s = 0.0
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.1)
            ages = [boot_time_s() - router.source.confirmed_at for router in self.router_by_name.values()]
            self.oldest_s = max(self.oldest_s, *ages)
        return {name: router.calls() - before[name] for name, router in self.router_by_name.items()}

    def readers(self):
        return StoreReaders(name="", members=lambda: self.names).names()

    async def ask(self, source, name, message, timeout_s):
        await asyncio.sleep(WAY_S)
        if name in self.silent or source in self.silent:
            await asyncio.sleep(timeout_s)
            return PeerUnreachable(peer=name, detail="no answer")
        return self.router_by_name[name].peers._confirm(source, message, "")


class Member:
    """One router's source of the configuration."""

    def __init__(self, *, name, fleet):
        self.store = MemoryStore(table=fleet.table)
        self.readers = StoreReaders(name=name, members=lambda: fleet.names)
        self.peers = PeerConfiguration(
            peers=SimpleNamespace(
                on=lambda message_type, handler: None,
                ask=lambda peer, message, timeout_s: fleet.ask(name, peer, message, timeout_s),
            ),
            members=lambda: fleet.names,
            in_force=lambda: SimpleNamespace(generation=GENERATION),
            confirmed_age_s=lambda: (
                None if self.source.confirmed_at is None else boot_time_s() - self.source.confirmed_at
            ),
        )
        self.source = PlatformSource(
            store=self.store,
            offer=lambda *offered: None,
            poll_interval_s=POLL_S,
            watch_timeout_s=30.0,
            jitter=random.Random(name),
            place=Place(),
            readers=self.readers,
            ask_confirmation=self.peers.ask_confirmation,
            generation=lambda: GENERATION,
            heard=lambda generation, peer: None,
        )

    def start(self):
        loop = asyncio.get_running_loop()
        # Every router reads once by itself when it starts.
        self.source.proof.confirm(boot_time_s())
        return [loop.create_task(self.source.watch()), loop.create_task(self.source.poll())]

    def calls(self):
        return self.store.calls["reads"] + self.store.calls["watches"]


class StoreReadersTest(unittest.TestCase):
    async def started(self, size):
        fleet = Fleet(size=size)
        await fleet.start()
        return fleet

    @on_paused_clock
    async def test_the_bill_grows_with_readers_not_with_routers(self):
        for size in (24, 195):
            with self.subTest(size=size):
                fleet = await self.started(size)
                calls = await fleet.calls_of(SECONDS)
                asking = {name for name, count in calls.items() if count}
                readers = max(MIN_READERS, -(-size // ROUTERS_A_READER))
                self.assertEqual(asking, set(fleet.readers()))
                self.assertEqual(len(asking), readers)
                # Two reads in three seconds, and the watch that ends each half minute.
                self.assertLessEqual(sum(calls.values()) / SECONDS, readers * 0.9)
                self.assertLess(fleet.oldest_s, KEY_LIMIT_S - 0.5)
                await fleet.close()

    @on_paused_clock
    async def test_a_silent_reader_is_replaced_before_proofs_run_out(self):
        # A reader freezes: it neither reads nor answers. Whoever asked it turns to the second one
        # within the same look, so that no router's proof gets too old for a key, and none of
        # them all reads the store in its place.
        fleet = await self.started(24)
        frozen = fleet.readers()[0]
        fleet.silent.add(frozen)
        calls = await fleet.calls_of(SECONDS)
        self.assertLess(fleet.oldest_s, KEY_LIMIT_S)
        others = {name for name, count in calls.items() if count > SECONDS / 10} - {frozen}
        self.assertLessEqual(len(others), MIN_READERS)
        await fleet.close()

    @on_paused_clock
    async def test_where_the_store_refuses_both_readers_the_next_take_their_place(self):
        # The store serves some routers and refuses others, both readers among these. Their words get
        # old, and everybody passes them over. The next of the ranking read in their place, by a
        # ranking that all share, while the rest goes on asking.
        fleet = await self.started(24)
        for name in fleet.readers():
            fleet.router_by_name[name].store.down = True
        calls = await fleet.calls_of(SECONDS)
        self.assertLess(fleet.oldest_s, KEY_LIMIT_S)
        often = {name for name, count in calls.items() if count > SECONDS / 3}
        self.assertLessEqual(len(often), 2 * MIN_READERS)
        # Beyond what readers ask: doubts of the others while a pause ends and the refused are tried again.
        self.assertLessEqual(sum(calls.values()) / SECONDS, 24 / (2 * PAUSE_S))
        await fleet.close()


if __name__ == "__main__":
    unittest.main()
