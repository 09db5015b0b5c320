"""Requests with a target time to first token: which wait, which are refused, and when."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, finished
from wagtailtrestle.capacity.admission import MIN_INTERACTIVE_RETRY_AFTER_S, GrantRate
from wagtailtrestle.capacity.grants import START_SHARE
from wagtailtrestle.contracts.messages import EngineNotice, Granted, Refused
from wagtailtrestle.contracts.outcomes import Reason

TARGET_FIRST_TOKEN_S = 1.0
RUN_S = 1.1
TOKENS = 100


class Overload:
    """Engines with few slots, by default one with two, under many times the load that they can serve."""

    def __init__(self, *, engines=("e1",), slots=2, run_s=RUN_S, tokens=TOKENS):
        self._run_s = run_s
        self._tokens = tokens
        self.cell = Cell(engines=engines, slots=slots)
        self.cell.measure()
        self.submitted_at = {}
        self.refused_at = {}
        self._ends = {}
        self._number = 0

    def submit(self, *, tier=1):
        self._number += 1
        request_id = f"q{self._number}"
        self.submitted_at[request_id] = self.cell.clock.now
        tokens = {"prompt_tokens": self._tokens, "output_tokens": self._tokens}
        self.cell.receive(
            ask(request_id, tier=tier, first_token_within_s=TARGET_FIRST_TOKEN_S, remaining_s=15.0, **tokens)
        )
        self._apply_messages()
        return request_id

    def run(self, seconds, *, per_s, tier=1):
        until = self.cell.clock.now + seconds
        while self.cell.clock.now < until:
            self.submit(tier=tier)
            self.step(1.0 / per_s)

    def step(self, seconds):
        self.cell.advance(seconds)
        for request_id, (engine, ends_at) in list(self._ends.items()):
            if ends_at <= self.cell.clock.now:
                del self._ends[request_id]
                message = finished(request_id, on=engine, duration_s=self._run_s, output_tokens=self._tokens)
                self.cell.receive(message)
        self._apply_messages()

    def _apply_messages(self):
        now = self.cell.clock.now
        for message in self.cell.entries.sent:
            if isinstance(message, Granted):
                self._ends[message.request_id] = (message.engine, now + self._run_s)
            elif isinstance(message, Refused):
                self.refused_at[message.request_id] = now
                self.last_refusal = message
        self.cell.entries.sent.clear()

    def waited(self, request_id):
        return self.refused_at[request_id] - self.submitted_at[request_id]


class FirstTokenTargetTest(unittest.TestCase):
    def test_request_that_can_not_start_in_time_is_refused_then(self):
        # Both slots are taken for longer than the target time to first token. If the request waited until its deadline,
        # its answer would be late and would take a slot that another request could have used in time.
        cell = Cell(slots=2)
        cell.receive(ask("a"), ask("b"), ask("c", first_token_within_s=TARGET_FIRST_TOKEN_S, remaining_s=15.0))
        cell.advance(START_SHARE * TARGET_FIRST_TOKEN_S - 0.1)
        self.assertEqual(cell.entries.ids(Refused), [])
        cell.advance(0.3)
        self.assertEqual(cell.entries.ids(Refused), ["c"])
        self.assertEqual(cell.entries.of(Refused)[0].reason, Reason.OVERLOADED)

    def test_overload_refuses_immediately(self):
        # Ten requests per second arrive at a cell that starts two. Waiting before a refusal gained nothing, and delayed
        # the caller's retry elsewhere.
        self.check_refused_immediately(Overload())

    # Guards against free slots of an engine in back-off, which can't be used and would make the cell look not full.
    def test_overload_refuses_immediately_beside_an_engine_in_back_off(self):
        overload = Overload(engines=("e1", "e2"))
        overload.cell.receive(EngineNotice(engine="e2", entry="r1", rest_s=30.0))
        self.check_refused_immediately(overload)

    def check_refused_immediately(self, overload):
        overload.run(6.0, per_s=10)
        late = [request_id for request_id, at in overload.submitted_at.items() if at > overload.cell.clock.now - 3.0]
        refused = [request_id for request_id in late if request_id in overload.refused_at]
        immediate = [request_id for request_id in refused if overload.waited(request_id) < 0.01]
        self.assertGreater(len(refused), 0.6 * len(late))
        self.assertGreater(len(immediate), 0.6 * len(refused))
        self.assertEqual(overload.last_refusal.reason, Reason.OVERLOADED)
        self.assertGreaterEqual(overload.last_refusal.retry_after_s, MIN_INTERACTIVE_RETRY_AFTER_S)

    def test_higher_tier_is_not_refused_for_waiting_lower_tiers(self):
        overload = Overload()
        overload.run(4.0, per_s=10, tier=2)
        first = overload.submit(tier=0)
        self.assertNotIn(first, overload.refused_at)
        for _ in range(12):
            overload.step(0.05)
        self.assertNotIn(first, overload.refused_at)

    def test_free_slots_lead_to_no_refusal(self):
        overload = Overload()
        overload.run(4.0, per_s=10)
        overload.step(5.0)
        self.assertNotIn(overload.submit(), overload.refused_at)


class LowerTierRunsEndTest(unittest.TestCase):
    """A flood of a middle tier while runs of the lowest tier end by themselves.

    Guards against 24 requests per second of the middle tier, on a cell that starts some 40 per second in total, of
    which two thirds were refused by a predicted wait of 0.2 s while 3 to 4 per second of the lowest tier were served.
    While a lower tier runs, a request may be predicted to wait for all of the time to its latest start instead of half.
    """

    def wait_until_refused(self, *, lower):
        """Return how many requests of the middle tier may wait before one is refused on arrival."""
        cell = Cell(slots=4)
        cell.measure()
        for second in range(8):
            for number in range(4):
                cell.receive(ask(f"r{second}-{number}", tier=2 if lower else 1, remaining_s=30.0))
            cell.advance(1.0)
            if second < 7:
                for number in range(4):
                    cell.receive(finished(f"r{second}-{number}", duration_s=1.0, output_tokens=100))
        for number in range(40):
            cell.receive(ask(f"q{number}", tier=1, first_token_within_s=4.0, remaining_s=30.0))
            if cell.entries.ids(Refused):
                return number
        return None

    def test_more_may_wait_while_lower_runs_end(self):
        above_lower = self.wait_until_refused(lower=True)
        among_its_own = self.wait_until_refused(lower=False)
        self.assertGreater(among_its_own, 0)
        self.assertGreaterEqual(above_lower, 1.5 * among_its_own)


class BurstTest(unittest.TestCase):
    SHORT_S = 0.03
    SHORT_TOKENS = 3
    CALM_PER_S = 40

    # Guards against taking the grant rate of a calm period for the capacity of the cell.
    def test_burst_after_a_lull_is_not_refused_if_engines_serve_it_in_time(self):
        overload = Overload(engines=("e1", "e2"), slots=8, run_s=self.SHORT_S, tokens=self.SHORT_TOKENS)
        overload.run(6.0, per_s=self.CALM_PER_S)
        overload.step(1.0)
        for _ in range(self.CALM_PER_S):
            overload.submit()
        for _ in range(100):
            overload.step(0.01)
        self.assertEqual(overload.refused_at, {})


class GrantRateTest(unittest.TestCase):
    def test_time_with_free_slots_is_left_out(self):
        now = [0.0]
        rate = GrantRate(clock=lambda: now[0])
        rate.set_full(False)
        for _ in range(100):
            now[0] += 0.1
            rate.record(0.3)
        self.assertIsNone(rate.per_s())
        rate.set_full(True)
        for _ in range(100):
            now[0] += 0.1
            rate.record(0.3)
        self.assertAlmostEqual(rate.per_s(), 3.0, delta=0.3)

    def test_no_rate_before_most_of_a_window(self):
        now = [0.0]
        rate = GrantRate(clock=lambda: now[0])
        rate.record(1.0)
        self.assertIsNone(rate.per_s())

    def test_rate_follows_the_grants(self):
        now = [0.0]
        rate = GrantRate(clock=lambda: now[0])
        for _ in range(100):
            now[0] += 0.1
            rate.record(0.3)
        self.assertAlmostEqual(rate.per_s(), 3.0, delta=0.3)
        now[0] += 5.0
        self.assertLess(rate.per_s(), 0.3)


if __name__ == "__main__":
    unittest.main()
