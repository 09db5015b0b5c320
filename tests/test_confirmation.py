"""Peers' word that the platform confirmed the configuration, in place of a read."""

import asyncio
import random
import unittest

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.sources import OwnDeclarations, PlatformSource
from wagtailtrestle.contracts.peer_messages import Confirmation

POLL_S = 1.0
GENERATION = 7


class Source:
    """A platform source whose only peer answers as told."""

    def __init__(self, answer):
        self.store = MemoryStore()
        self.heard = []
        self.answer = answer
        self.source = PlatformSource(
            store=self.store,
            offer=lambda *offered: None,
            poll_interval_s=POLL_S,
            watch_timeout_s=30.0,
            jitter=random.Random(1),
            place=OwnDeclarations(),
            ask_confirmation=self.ask,
            generation=lambda: GENERATION,
            heard=self.heard.append,
        )

    async def ask(self):
        return self.answer

    async def reads_in(self, seconds):
        polling = asyncio.get_running_loop().create_task(self.source.poll())
        await asyncio.sleep(seconds)
        polling.cancel()
        return self.store.calls["reads"]


class ConfirmationTest(unittest.TestCase):
    @on_paused_clock
    async def test_a_fresh_word_spares_the_read(self):
        source = Source(Confirmation(generation=GENERATION, age_s=0.4))
        self.assertEqual(await source.reads_in(10.0), 0)
        age_s = boot_time_s() - source.source.confirmed_at
        self.assertGreaterEqual(age_s, 0.4)
        self.assertLess(age_s, 2.0)

    @on_paused_clock
    async def test_a_word_is_no_fresher_for_having_been_long_on_its_way(self):
        # The peer's answer is held up. Counted from its arrival, a key that was revoked meanwhile
        # would still look proved.
        source = Source(None)
        asked_at = []

        async def slow():
            asked_at.append(boot_time_s())
            return Confirmation(generation=GENERATION, age_s=0.5)

        source.source._ask_confirmation = slow
        await source.reads_in(1.5)
        self.assertLessEqual(source.source.confirmed_at, asked_at[-1] - 0.5 + 0.01)

    @on_paused_clock
    async def test_what_does_not_prove_enough_leads_to_a_read(self):
        for answer in (
            None,
            Confirmation(generation=GENERATION, age_s=1.5),
            Confirmation(generation=GENERATION, age_s=-1.0),
            Confirmation(generation=GENERATION - 1, age_s=0.1),
        ):
            with self.subTest(answer=answer):
                source = Source(answer)
                self.assertGreaterEqual(await source.reads_in(10.0), 8)
                self.assertEqual(source.heard, [])

    @on_paused_clock
    async def test_a_higher_generation_is_heard_of(self):
        source = Source(Confirmation(generation=GENERATION + 1, age_s=0.1))
        await source.reads_in(2.0)
        self.assertIn(GENERATION + 1, source.heard)


if __name__ == "__main__":
    unittest.main()
