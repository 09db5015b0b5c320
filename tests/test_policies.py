import unittest

from wagtailtrestle.contracts.messages import GrantRequest
from wagtailtrestle.engines.model import EngineModel
from wagtailtrestle.engines.policies import LeastReportedLoad, PredictedFinish, RoundRobin, TwoChoices
from wagtailtrestle.engines.prefix_cache import PrefixCacheIndex


class View:
    """Engine view with fixed attributes."""

    def __init__(self, name, *, step_s=0.004, rate=8000.0, running=0, pending=0, reported=0, slots=16, available=True):
        self.name = name
        self.model = EngineModel(slots=slots, step_s=step_s, prefill_tokens_per_s=rate)
        self.cache = PrefixCacheIndex(capacity_tokens=1024 * 64)
        self.running = running
        self.pending_prefill_tokens = pending
        self.reported_running = reported
        self.report_age_s = 0.2
        self.slots = slots
        self.zone = "gijon"
        self.hardware = "gen2"
        self.version = "v1"
        self.available = available


def grant_request(*, prompt=100, output=50, blocks=(), excluded=()):
    return GrantRequest(
        request_id="r-1",
        attempt=1,
        entry="r",
        service="asistente",
        cell="asistente",
        team="socios",
        tier=1,
        repeatable=True,
        prompt_tokens=prompt,
        output_tokens=output,
        remaining_s=8.0,
        prefix_blocks=blocks,
        excluded_engines=excluded,
    )


def choose(policy, engines, request=None):
    chosen = policy.choose(request=request or grant_request(), engines=engines, now=0.0)
    return chosen and chosen.name


class PredictedFinishTest(unittest.TestCase):
    policy = PredictedFinish(prefill_weight=0.5)

    def test_faster_engine_wins_until_it_is_busy(self):
        slow = View("slow", step_s=0.008, rate=4000.0, slots=8)
        self.assertEqual(choose(self.policy, [slow, View("fast")]), "fast")
        self.assertEqual(choose(self.policy, [slow, View("fast", pending=20_000)]), "slow")

    def test_prompt_goes_to_the_engine_with_its_prefix(self):
        blocks = tuple(range(60))
        holder = View("holder", running=6)
        holder.cache.stored(blocks)
        request = grant_request(prompt=4000, blocks=blocks)
        self.assertEqual(choose(self.policy, [View("other"), holder], request), "holder")

    def test_long_prompt_avoids_the_engine_where_it_delays_many(self):
        # Equal finish times, but on the busy engine the prefill delays every other run.
        idle = View("idle", rate=7800.0)
        busy = View("busy", running=12)
        self.assertEqual(choose(self.policy, [busy, idle], grant_request(prompt=8000)), "idle")

    def test_excluded_and_unavailable_engines_are_skipped(self):
        engines = [View("a"), View("b", available=False)]
        for policy in (self.policy, RoundRobin(), LeastReportedLoad(), TwoChoices(seed=1)):
            self.assertEqual(choose(policy, engines), "a")
            self.assertIsNone(choose(policy, engines, grant_request(excluded=("a",))))


class BaselineTest(unittest.TestCase):
    def test_round_robin_takes_turns(self):
        policy = RoundRobin()
        engines = [View("a"), View("b"), View("c")]
        self.assertEqual({choose(policy, engines) for _ in range(3)}, {"a", "b", "c"})

    def test_least_reported_load_counts_by_slots(self):
        engines = [View("large", reported=6, slots=16), View("small", reported=4, slots=8)]
        self.assertEqual(choose(LeastReportedLoad(), engines), "large")

    def test_two_choices_never_picks_the_worst_of_three(self):
        engines = [View("a", reported=1), View("b", reported=2), View("c", reported=9)]
        policy = TwoChoices(seed=3)
        self.assertEqual({choose(policy, engines) for _ in range(50)}, {"a", "b"})
