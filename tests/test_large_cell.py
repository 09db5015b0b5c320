"""A cell of 78 engines with one scheduler: the cost of a decision is bounded without worse decisions.

This is a language service at full size, with 270 requests per second and twice that in a flood, whose scheduler may
use half of a core: 2 ms per request, including all messages. Therefore a request is compared with a short list of
engines rather than all. The tests check that all slots are still granted, and that a conversation still returns to
the engine that has it cached.
"""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, engine, finished
from wagtailtrestle.capacity.scheduler import MAX_COMPARED
from wagtailtrestle.contracts.messages import Granted

ENGINES = 78
SLOTS = 2
TARGET_FIRST_TOKEN_S = 0.8
CONVERSATION = (11, 12)
BLOCK_TOKENS = (500, 5000)


class LargeCellTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=())
        by_name = {f"e{number:02}": engine(f"e{number:02}", slots=SLOTS) for number in range(ENGINES)}
        for number, declared in enumerate(by_name.values()):
            declared.step_ms = 4.0 + number % 4 * 4.0
            declared.prefill_tokens_per_s = 60_000.0
        self.cell.scheduler.set_engines(by_name)
        self.cell.scheduler.tick()

    def submit(self, request_id, **changes):
        settings = {"prompt_tokens": 6000, "remaining_s": 12.0, "first_token_within_s": TARGET_FIRST_TOKEN_S} | changes
        self.cell.receive(ask(request_id, **settings))

    def engine_of(self, request_id):
        return next(granted.engine for granted in self.cell.entries.of(Granted) if granted.request_id == request_id)

    def test_every_slot_is_granted(self):
        for number in range(ENGINES * SLOTS):
            self.submit(f"r{number}", prompt_tokens=2000)
        engines = [granted.engine for granted in self.cell.entries.of(Granted)]
        self.assertEqual(len(engines), ENGINES * SLOTS)
        self.assertEqual({engines.count(name) for name in set(engines)}, {SLOTS})

    def test_conversation_returns_to_its_engine_beyond_the_shortlist(self):
        # The engine that has it cached is among the slower ones, outside the short list.
        holder = "e03"
        self.cell.scheduler._runs.engines_by_name[holder].cache.stored(CONVERSATION, BLOCK_TOKENS)
        ordered = list(self.cell.scheduler._runs.engines_by_name)
        self.assertGreater(ordered.index(holder), MAX_COMPARED)
        self.submit("r", prefix_blocks=CONVERSATION, block_tokens=BLOCK_TOKENS, output_tokens=5)
        self.assertEqual(self.engine_of("r"), holder)

    def test_another_engine_is_found_if_none_on_the_shortlist_is_suitable(self):
        # The engines on the short list are prefilling long prompts, so a first token there would be late.
        for number in range(MAX_COMPARED):
            self.submit(f"long-{number}", prompt_tokens=50_000, first_token_within_s=4.0)
        busy = {granted.engine for granted in self.cell.entries.of(Granted)}
        self.submit("r", first_token_within_s=0.4)
        self.assertNotIn(self.engine_of("r"), busy)

    def test_a_request_is_compared_with_few_engines(self):
        compared = []
        admission = self.cell.scheduler._admission
        can_finish_now = admission.can_finish_now

        class Counting:
            def __getattr__(self, name):
                return getattr(admission, name)

            def can_finish_now(self, waiting, engine):
                compared.append(engine.name)
                return can_finish_now(waiting, engine)

        self.cell.scheduler._admission = Counting()
        for number in range(50):
            self.submit(f"r{number}")
            self.cell.receive(finished(f"r{number}", on=self.engine_of(f"r{number}")))
        self.assertLessEqual(len(compared) / 50, MAX_COMPARED)


if __name__ == "__main__":
    unittest.main()
