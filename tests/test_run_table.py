import unittest

from tests.utils.scheduler_fakes import Cell, ask, finished
from wagtailtrestle.contracts.messages import Granted, Refused, RunStarted


class PrefillRateTest(unittest.TestCase):
    def test_rate_is_learned_at_the_end_of_a_run_without_cached_tokens(self):
        # An engine reports how much of a prompt was cached only at the end of its answer. From the time to first token
        # alone it is not known how many tokens it computed.
        cell = Cell()
        (engine,) = cell.scheduler._runs.engines
        declared_s = engine.model.prefill_s(1000)
        for number in range(20):
            request_id = f"r{number}"
            cell.receive(ask(request_id, prompt_tokens=4000, remaining_s=60.0))
            self.assertIn(request_id, cell.entries.ids(Granted))
            cell.receive(RunStarted(request_id=request_id, engine="e1", first_token_s=1.5))
            usage = {"first_token_s": 1.5, "prompt_tokens": 4000, "cached_tokens": 1000, "output_tokens": 100}
            cell.receive(finished(request_id, duration_s=2.5, **usage))
        learned_s = engine.model.prefill_s(1000)
        self.assertAlmostEqual(declared_s, 1.0)
        self.assertTrue(0.42 < learned_s < 0.6, learned_s)


class ParkedAheadTest(unittest.TestCase):
    def test_free_slot_is_granted_though_a_parked_request_waits_ahead(self):
        # A plan can't be predicted to finish in time now, so it is parked and its slot stays free. Its ten seconds of
        # work are ahead of a tagging request with two seconds left; refusing that request because of them would leave
        # the engine idle.
        cell = Cell()
        cell.measure()
        cell.receive(ask("plan", tier=2, prompt_tokens=600, output_tokens=1000, remaining_s=11.5))
        self.assertEqual(cell.entries.sent, [])
        cell.receive(ask("tag", tier=3, remaining_s=2.0))
        self.assertEqual((cell.entries.ids(Granted), cell.entries.ids(Refused)), (["tag"], []))


class ColdStartTest(unittest.TestCase):
    def test_long_prompts_wait_while_higher_tiers_overload_the_cell(self):
        # A cell starts under overload: petitions with many times the work that it can do arrive, and a gazette of
        # 4000 tokens. Started in a slot that happens to be idle, the gazette would be cancelled within a second and
        # its prefill lost. A short prompt loses nothing and is started.
        cell = Cell(slots=32)
        cell.receive(*[ask(f"above{number}", tier=1) for number in range(20)])
        cell.receive(ask("long", tier=3, prompt_tokens=4000, remaining_s=60.0), ask("short", tier=3))
        granted = cell.entries.ids(Granted)
        self.assertIn("short", granted)
        self.assertNotIn("long", granted)
        cell.receive(*[finished(f"above{number}") for number in range(20)])
        cell.advance(20.0)
        self.assertIn("long", cell.entries.ids(Granted))
