"""Readers' confirmations of the configuration, which replace reads of the platform."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.sources import (
    MAX_CONFIRMATION_AGE_S,
    READER_POLL_INTERVAL_S,
    NativeDeclarations,
    PlatformSource,
)
from wagtailtrestle.contracts.peer_messages import Confirmation

POLL_S = 1.0
GENERATION = 7
READER = "router-9"


class OneReader:
    """The only reader; it is never skipped."""

    reads_store = False

    def readers_to_query(self):
        return () if self.reads_store else (READER,)

    def pause(self, name):
        pass

    def pause_self(self):
        pass


class Source:
    """A platform source whose only reader returns a given answer."""

    def __init__(self, answer, *, fetches=0):
        self.readers = OneReader()
        self.generation = GENERATION
        self.fetches = fetches
        self.store = MemoryStore()
        self.observed = []
        self.answer = answer
        self.source = PlatformSource(
            store=self.store,
            offer=lambda *offered: None,
            poll_interval_s=POLL_S,
            watch_timeout_s=30.0,
            jitter=random.Random(1),
            location=NativeDeclarations(),
            readers=self.readers,
            request_confirmation=self.confirm,
            generation=lambda: self.generation,
            observe_generation=self.observe,
        )

    async def confirm(self, reader):
        return self.answer

    def observe(self, generation, peer):
        self.observed.append((generation, peer))
        self.generation = max(self.generation, self.fetches)

    async def reads_in(self, seconds):
        polling = asyncio.get_running_loop().create_task(self.source.poll())
        await asyncio.sleep(seconds)
        polling.cancel()
        return self.store.calls["reads"]


class ConfirmationTest(unittest.TestCase):
    @on_paused_clock
    async def test_a_recent_confirmation_replaces_the_read(self):
        source = Source(Confirmation(generation=GENERATION, age_s=0.4))
        self.assertEqual(await source.reads_in(10.0), 0)
        age_s = boot_time_s() - source.source.confirmed_at
        self.assertGreaterEqual(age_s, 0.4)
        self.assertLess(age_s, 2.0)

    @on_paused_clock
    async def test_transit_time_counts_towards_the_age_of_a_confirmation(self):
        # The peer's answer is delayed. If its age counted from the arrival, a key that was revoked
        # meanwhile would still look proved.
        source = Source(None)
        requested_at = []

        async def slow(reader):
            requested_at.append(boot_time_s())
            return Confirmation(generation=GENERATION, age_s=0.5)

        source.source._request_confirmation = slow
        await source.reads_in(1.5)
        self.assertLessEqual(source.source.confirmed_at, requested_at[-1] - 0.5 + 0.01)

    @on_paused_clock
    async def test_an_insufficient_confirmation_leads_to_a_read(self):
        for answer in (
            None,
            Confirmation(generation=GENERATION, age_s=MAX_CONFIRMATION_AGE_S + 0.1),
            Confirmation(generation=GENERATION, age_s=-1.0),
            Confirmation(generation=GENERATION - 1, age_s=0.1),
        ):
            with self.subTest(answer=answer):
                source = Source(answer)
                self.assertGreaterEqual(await source.reads_in(10.0), 8)
                self.assertEqual(source.observed, [])

    @on_paused_clock
    async def test_a_higher_generation_is_observed(self):
        source = Source(Confirmation(generation=GENERATION + 1, age_s=0.1))
        await source.reads_in(2.0)
        self.assertIn((GENERATION + 1, READER), source.observed)

    @on_paused_clock
    async def test_a_generation_fetched_in_time_makes_the_read_unnecessary(self):
        # Every router learns of a change at about the same time. If each of them read the platform because
        # its reader is ahead, a change would cost as many reads as there are routers.
        source = Source(Confirmation(generation=GENERATION + 1, age_s=0.1), fetches=GENERATION + 1)
        self.assertEqual(await source.reads_in(10.0), 0)
        self.assertLess(boot_time_s() - source.source.confirmed_at, 2.0)

    @on_paused_clock
    async def test_a_read_is_no_proof_before_its_declaration_is_in_force(self):
        # A declaration that revokes a key is read, and checked for a second by a slow router. Meanwhile the
        # old one is in force: if it were confirmed as the newest, the key would be accepted beyond the
        # operator's limit here and on every router that queries this one.
        source = Source(None)
        in_force = {GENERATION}
        source.source.proof._is_settled = lambda generation: generation in in_force
        source.source._location = SimpleNamespace(
            kind="config",
            name="main",
            reads_are_linearizable=True,
            parse_accepted=lambda version, value: SimpleNamespace(generation=value, text=""),
        )
        await source.store.create(kind="config", name="main", value=GENERATION)
        await source.source._read("poll")
        proved_at = source.source.confirmed_at
        self.assertIsNotNone(proved_at)
        await asyncio.sleep(1.0)
        await source.store.update(kind="config", name="main", value=GENERATION + 1, if_version=1)
        await source.source._read("poll")
        self.assertEqual(source.source.confirmed_at, proved_at)
        await asyncio.sleep(1.0)
        # Another read finds no change, and is no proof either while the new declaration is being checked.
        await source.source._read("poll")
        read_at = boot_time_s()
        self.assertEqual(source.source.confirmed_at, proved_at)
        await asyncio.sleep(1.0)
        in_force.add(GENERATION + 1)
        self.assertLessEqual(source.source.confirmed_at, read_at)
        self.assertGreater(source.source.confirmed_at, proved_at)

    @on_paused_clock
    async def test_a_reader_reads_the_platform_itself(self):
        source = Source(None)
        source.readers.reads_store = True
        reads = await source.reads_in(15.0)
        self.assertGreaterEqual(reads, 15.0 / (1.25 * READER_POLL_INTERVAL_S) - 1)
        self.assertLessEqual(reads, 15.0 / (0.75 * READER_POLL_INTERVAL_S))


if __name__ == "__main__":
    unittest.main()
