"""Calls of a fleet to the store: few routers read the configuration, all others query them.

Every router must know, within the time that operators allow a revoked key, that its configuration is
the newest. If each of them queried the store, or any other router, the calls would grow with the size
of the fleet; the figures here are calls per second.
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
from wagtailtrestle.configuration.store_readers import MIN_READERS, PAUSE_S, ROUTERS_PER_READER, StoreReaders
from wagtailtrestle.contracts.peer_messages import PeerUnreachable
from wagtailtrestle.standins.object_table import ObjectTable

GENERATION = 3
POLL_S = 1.0
SECONDS = 30.0
TRANSIT_S = 0.002
KEY_LIMIT_S = 4.5
"""Maximum age of a proof with which a key is accepted, if operators allow a revoked key five seconds."""


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

    async def calls_during(self, seconds):
        """Return calls to the store by router during ``seconds``; ``oldest_s`` holds the age of the oldest proof."""
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

    async def query(self, source, name, message, timeout_s):
        await asyncio.sleep(TRANSIT_S)
        if name in self.silent or source in self.silent:
            await asyncio.sleep(timeout_s)
            return PeerUnreachable(peer=name, detail="no answer")
        return self.router_by_name[name].peers._answer_confirmation(source, message, "")


class Member:
    """One router's source of the configuration."""

    def __init__(self, *, name, fleet):
        self.store = MemoryStore(table=fleet.table)
        self.readers = StoreReaders(name=name, members=lambda: fleet.names)
        self.peers = PeerConfiguration(
            peers=SimpleNamespace(
                on=lambda message_type, handler: None,
                query=lambda peer, message, timeout_s: fleet.query(name, peer, message, timeout_s),
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
            location=Place(),
            readers=self.readers,
            request_confirmation=self.peers.request_confirmation,
            generation=lambda: GENERATION,
            observe_generation=lambda generation, peer: None,
        )

    def start(self):
        loop = asyncio.get_running_loop()
        # Every router reads the store once when it starts.
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
    async def test_calls_grow_with_readers_not_with_routers(self):
        for size in (24, 195):
            with self.subTest(size=size):
                fleet = await self.started(size)
                calls = await fleet.calls_during(SECONDS)
                querying = {name for name, count in calls.items() if count}
                readers = max(MIN_READERS, -(-size // ROUTERS_PER_READER))
                self.assertEqual(querying, set(fleet.readers()))
                self.assertEqual(len(querying), readers)
                # Two reads in three seconds, and a watch that ends every half minute.
                self.assertLessEqual(sum(calls.values()) / SECONDS, readers * 0.9)
                self.assertLess(fleet.oldest_s, KEY_LIMIT_S - 0.5)
                await fleet.close()

    @on_paused_clock
    async def test_a_silent_reader_is_replaced_before_proofs_expire(self):
        # A reader freezes: it neither reads nor answers. The routers that queried it switch to the
        # second one in the same poll, so that no router's proof becomes too old for a key, and they
        # don't read the store themselves.
        fleet = await self.started(24)
        frozen = fleet.readers()[0]
        fleet.silent.add(frozen)
        calls = await fleet.calls_during(SECONDS)
        self.assertLess(fleet.oldest_s, KEY_LIMIT_S)
        others = {name for name, count in calls.items() if count > SECONDS / 10} - {frozen}
        self.assertLessEqual(len(others), MIN_READERS)
        await fleet.close()

    @on_paused_clock
    async def test_readers_refused_by_the_store_are_replaced_by_the_next(self):
        # The store serves some routers and refuses others, both readers among these. Their confirmations
        # expire, and all routers skip them. The next two of the ranking, which all routers share, become
        # readers, while the others keep querying.
        fleet = await self.started(24)
        for name in fleet.readers():
            fleet.router_by_name[name].store.down = True
        calls = await fleet.calls_during(SECONDS)
        self.assertLess(fleet.oldest_s, KEY_LIMIT_S)
        often = {name for name, count in calls.items() if count > SECONDS / 3}
        self.assertLessEqual(len(often), 2 * MIN_READERS)
        # Includes the reads of other routers when a pause ends and the refused readers are queried again.
        self.assertLessEqual(sum(calls.values()) / SECONDS, 24 / (2 * PAUSE_S))
        await fleet.close()


if __name__ == "__main__":
    unittest.main()
