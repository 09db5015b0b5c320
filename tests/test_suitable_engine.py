"""Long and short prompts on nearly full engines whose speeds differ fourfold.

Two thirds of the engines prefill 80 prompt tokens per millisecond and the others 18; an event of three tokens takes 13
or 57 ms. The first waiting request takes the next free slot. On a slow engine a long prompt's first token is late, and
during its prefill every other stream there pauses for three chunks of 1,024 tokens and three steps, computed as 230 ms
where the target is 200 ms. A full cell of six engines started a run every 20 to 40 ms, so a quarter of a target of 400
to 800 ms suffices to wait for a suitable engine.
"""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, engine, finished
from wagtailtrestle.capacity.grants import SUITABLE_ENGINE_WAIT_SHARE
from wagtailtrestle.contracts.messages import Granted, Refused

TARGET_FIRST_TOKEN_S = 0.8
PAUSE_S = 0.2
EVENT_TOKENS = 3


def declared(name, *, prefill_tokens_per_ms, step_ms):
    declared_engine = engine(name, slots=2)
    declared_engine.prefill_tokens_per_s = 1000.0 * prefill_tokens_per_ms
    declared_engine.step_ms = step_ms
    return declared_engine


FAST = declared("fast", prefill_tokens_per_ms=80.0, step_ms=4.3)
SLOW = declared("slow", prefill_tokens_per_ms=18.0, step_ms=19.0)


class SuitableEngineTest(unittest.TestCase):
    def cell(self, *engines):
        cell = Cell(engines=())
        cell.scheduler.set_engines({each.name: each for each in engines})
        return cell

    def submit(self, cell, request_id, *, prompt_tokens):
        cell.receive(
            ask(
                request_id,
                prompt_tokens=prompt_tokens,
                remaining_s=12.0,
                first_token_within_s=TARGET_FIRST_TOKEN_S,
                pause_within_s=PAUSE_S,
                event_tokens=EVENT_TOKENS,
            )
        )

    def engine_of(self, cell, request_id):
        granted = [message for message in cell.entries.of(Granted) if message.request_id == request_id]
        return granted[0].engine if granted else None

    def fill_fast(self, cell):
        for number in range(2):
            self.submit(cell, f"first-{number}", prompt_tokens=100)
            self.assertEqual(self.engine_of(cell, f"first-{number}"), "fast")

    def test_long_prompt_waits_briefly_for_a_fast_engine(self):
        # Only the slow engine has free slots, and its first token would be late there.
        cell = self.cell(FAST, SLOW)
        self.fill_fast(cell)
        self.submit(cell, "long", prompt_tokens=12_000)
        self.assertIsNone(self.engine_of(cell, "long"))
        cell.advance(0.05)
        cell.receive(finished("first-0", on="fast", duration_s=0.1))
        self.assertEqual(self.engine_of(cell, "long"), "fast")

    def test_long_prompt_takes_the_slow_engine_after_a_bounded_wait(self):
        cell = self.cell(FAST, SLOW)
        self.fill_fast(cell)
        self.submit(cell, "long", prompt_tokens=12_000)
        cell.advance(SUITABLE_ENGINE_WAIT_SHARE * TARGET_FIRST_TOKEN_S + 0.1)
        self.assertEqual(self.engine_of(cell, "long"), "slow")

    def test_prompt_that_would_stall_other_streams_waits(self):
        # Its own first token would be in time, but a stream on the slow engine would pause for too long.
        cell = self.cell(FAST, SLOW)
        self.fill_fast(cell)
        self.submit(cell, "beside", prompt_tokens=500)
        self.assertEqual(self.engine_of(cell, "beside"), "slow")
        self.submit(cell, "stalls", prompt_tokens=4000)
        self.assertIsNone(self.engine_of(cell, "stalls"))

    def test_short_prompt_takes_any_free_slot(self):
        cell = self.cell(FAST, SLOW)
        self.fill_fast(cell)
        self.submit(cell, "short", prompt_tokens=900)
        self.submit(cell, "another", prompt_tokens=900)
        self.assertEqual([self.engine_of(cell, name) for name in ("short", "another")], ["slow", "slow"])

    def test_first_free_engine_is_taken_if_none_is_suitable(self):
        # Only slow engines are left, so waiting for a better one would be in vain.
        cell = self.cell(SLOW)
        self.submit(cell, "long", prompt_tokens=12_000)
        self.assertEqual(self.engine_of(cell, "long"), "slow")
        self.assertEqual(cell.entries.of(Refused), [])


if __name__ == "__main__":
    unittest.main()
