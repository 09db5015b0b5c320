"""Preemption of lower-tier runs for a higher tier: when, which, and how many."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, finished, register, running
from wagtailtrestle.capacity.admission import MAX_PREEMPTED_ATTEMPTS
from wagtailtrestle.capacity.preemption import PREEMPT_TIMEOUT_S
from wagtailtrestle.contracts.messages import Granted, Preempt, Refused, RunProgress, RunStarted
from wagtailtrestle.contracts.outcomes import Reason


def started(request_id, *, on="e1", prompt_tokens=100):
    return RunStarted(request_id=request_id, engine=on, first_token_s=0.1, prompt_tokens=prompt_tokens)


def draft(request_id, **changes):
    """Return a lower-tier request that runs for about 20 s."""
    fields = {"tier": 3, "output_tokens": 2000, "remaining_s": 300.0} | changes
    return ask(request_id, **fields)


def high(request_id, **changes):
    """Return a top-tier request that runs for 1.1 s and must start soon."""
    return ask(request_id, **({"tier": 0, "remaining_s": 3.0, "repeatable": False} | changes))


class WhenTest(unittest.TestCase):
    def test_higher_tier_gets_the_slot(self):
        # Drafts hold every slot for 20 s when a question with 3 s left arrives. One draft is cancelled, and its slot
        # goes to the question rather than to the draft that waits.
        cell = Cell()
        cell.receive(draft("d0"), draft("d1"), draft("d2", tier=2), high("q"))
        cell.advance(0.1)
        victim = cell.entries.ids(Preempt)
        self.assertEqual(len(victim), 1)
        cell.receive(finished(victim[0], result="RunCancelled"))
        self.assertEqual(cell.entries.ids(Granted), ["d0", "d1", "q"])

    def test_scheduler_after_a_pause_cancels_nothing_by_its_old_state(self):
        # A scheduler was paused for 10 s. Another one served the cell meanwhile, so the drafts that it holds may have
        # ended; until their entry registers them again, none is cancelled for a question.
        cell = Cell(members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"), draft("d0"), draft("d1"))
        cell.clock.now += 10.0
        cell.receive(high("q", entry="r2"))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Preempt), [])
        cell.receive(register("r1", running=[running(draft("d0")), running(draft("d1"))]))
        cell.advance(0.1)
        self.assertEqual(len(cell.entries.ids(Preempt)), 1)

    def test_nothing_is_cancelled_if_a_slot_frees_in_time(self):
        cell = Cell()
        cell.measure()
        cell.receive(draft("d0"), ask("soon", tier=1), started("d0"), started("soon"))
        cell.receive(RunProgress(request_id="soon", output_tokens=80))
        cell.receive(high("q"))
        cell.advance(0.15)
        self.assertEqual(cell.entries.ids(Preempt), [])

    def test_prediction_of_a_cold_model_is_not_relied_on(self):
        # The engine is slower than declared and nothing was measured yet. The slot that is predicted to become free in
        # time may not, so a draft is cancelled while there is time.
        cell = Cell()
        cell.receive(draft("d0"), ask("soon", tier=1), started("d0"), started("soon"))
        cell.receive(RunProgress(request_id="soon", output_tokens=80))
        cell.receive(high("q"))
        cell.advance(0.15)
        self.assertEqual(cell.entries.ids(Preempt), ["d0"])

    def test_no_more_victims_than_needed(self):
        # One question, many drafts, many rounds: one slot is enough.
        cell = Cell(engines=("e1", "e2", "e3"), slots=4)
        cell.receive(*[draft(f"d{number}") for number in range(12)], high("q"))
        cell.advance(PREEMPT_TIMEOUT_S - 0.1)
        self.assertEqual(len(cell.entries.of(Preempt)), 1)

    def test_nothing_is_cancelled_for_an_infeasible_request(self):
        cell = Cell()
        cell.measure()
        cell.receive(draft("d0"), draft("d1"))
        cell.receive(high("q", output_tokens=250, remaining_s=2.7))
        cell.advance(0.5)
        self.assertEqual(cell.entries.ids(Preempt), [])

    def test_request_not_helped_by_two_victims_gets_no_third(self):
        # Every freed slot is taken before the request could get it. Cancelling one run after another for it would
        # discard their prefill for nothing.
        cell = Cell(engines=("e1",), slots=6)
        cell.receive(*[draft(f"d{number}") for number in range(6)])
        cell.receive(high("q", remaining_s=9.0, output_tokens=300))
        for _ in range(12):
            cell.advance(PREEMPT_TIMEOUT_S / 2)
        self.assertLessEqual(len(cell.entries.of(Preempt)), 2)

    def test_silent_victim_is_not_waited_for(self):
        # The victim's entry or engine does not answer. After the timeout another run is preempted, or the question
        # would miss its deadline beside a full engine.
        cell = Cell()
        cell.receive(draft("d0"), draft("d1"), high("q", remaining_s=6.0))
        cell.advance(PREEMPT_TIMEOUT_S + 0.3)
        self.assertEqual(sorted(cell.entries.ids(Preempt)), ["d0", "d1"])


class WhichTest(unittest.TestCase):
    def test_not_repeatable_or_same_tier_is_never_cancelled(self):
        cell = Cell()
        cell.receive(draft("booking", repeatable=False), draft("peer", tier=0), high("q"))
        cell.advance(1.0)
        self.assertEqual(cell.entries.ids(Preempt), [])

    def test_middle_tier_preempts_only_lower_tiers(self):
        # Two plans need slots; one is held by a question, one by a draft.
        cell = Cell()
        cell.receive(draft("question", tier=0), draft("tagging", tier=3))
        cell.receive(high("plan0", tier=2), high("plan1", tier=2))
        cell.advance(1.0)
        self.assertEqual(cell.entries.ids(Preempt), ["tagging"])

    def test_lowest_tier_first_even_at_higher_cost(self):
        cell = Cell()
        cell.receive(draft("plan", tier=2), draft("tagging", tier=3, prompt_tokens=5000))
        cell.receive(started("plan"), started("tagging", prompt_tokens=5000), high("q"))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Preempt), ["tagging"])

    def test_least_discarded_prefill_within_a_tier(self):
        cell = Cell(slots=3)
        for request_id, tokens in (("long", 8000), ("short", 100), ("middle", 2000)):
            cell.receive(draft(request_id, prompt_tokens=tokens), started(request_id, prompt_tokens=tokens))
        cell.receive(high("q"))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Preempt), ["short"])

    def test_a_run_not_yet_prefilled_costs_least(self):
        cell = Cell()
        cell.receive(draft("begun"), started("begun"))
        cell.advance(1.0)
        cell.receive(draft("fresh", prompt_tokens=4000), high("q"))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Preempt), ["fresh"])

    def test_run_that_could_still_finish_is_preempted_first(self):
        cell = Cell()
        cell.receive(draft("a-tight", output_tokens=1000, remaining_s=10.4), draft("b-easy", output_tokens=1000))
        cell.receive(started("a-tight"), started("b-easy"), high("q"))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Preempt), ["b-easy"])


class BoundTest(unittest.TestCase):
    def test_repeatedly_preempted_request_is_refused_for_good(self):
        # A draft that was preempted many times is requested once more while the cell is full. Starting it again and
        # again wastes its prefill each time, so its caller gets a final refusal.
        cell = Cell()
        cell.receive(ask("a", tier=0), ask("b", tier=0))
        cell.receive(draft("d", attempt=MAX_PREEMPTED_ATTEMPTS + 1, done_tokens=50))
        refused = cell.entries.of(Refused)
        self.assertEqual([(message.request_id, message.reason) for message in refused], [("d", Reason.PREEMPTED)])


if __name__ == "__main__":
    unittest.main()
