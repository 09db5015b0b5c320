"""Decisions under an engine's rate limit: grant rate, changed limits, new schedulers and uninformed schedulers."""

import asyncio
import itertools
import math
import random
import unittest

from tests.test_counted_runs import OneRequest
from tests.utils.paused_clock import on_paused_clock
from tests.utils.scheduler_fakes import Cell, Clock, ask, finished, register
from tests.utils.steady_callers import max_within
from wagtailtrestle.contracts.messages import EngineNotice, Granted, GrantRequest, Refused
from wagtailtrestle.engines.rate_limit import LIMIT_NOTICE_TTL_S, RateLimit

WINDOW_S = 4.0
STEP_S = 0.05


def notice(limit_per_s, *, on="e1", age_s=0.0):
    return EngineNotice(engine=on, limit_per_s=limit_per_s, age_s=age_s)


class LoadedCell(Cell):
    """A cell with a queue that is never empty, whose runs each take ``run_s``."""

    def __init__(self, *, engines=("e1",), run_s=0.1, tiers=(1,), waiting=6, slots=8):
        super().__init__(engines=engines, slots=slots, members=("r1",))
        self.receive(register("r1"))
        self.run_s = run_s
        self.tiers = tiers
        self.waiting = waiting
        self.request_count = 0
        self.granted = []
        self.ends = []

    def run(self, seconds, *, notice_for=None):
        """Advance the time; ``notice_for(engine)`` returns the notice in each answer."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += STEP_S
            self.scheduler.tick()
            self._end_runs(notice_for)
            self._refill_queue()
            self._collect_grants()

    def times(self, engine, *, since=-math.inf):
        return [at for at, name, _ in self.granted if name == engine and at >= since]

    def _refill_queue(self):
        while len(self.scheduler._queue) < self.waiting:
            self.request_count += 1
            tier = self.tiers[self.request_count % len(self.tiers)]
            self.receive(ask(f"q{self.request_count}", tier=tier, remaining_s=60.0, output_tokens=5, prompt_tokens=5))
            if len(self.entries.of(Refused)):
                break

    def _collect_grants(self):
        for message in self.entries.of(Granted):
            self.granted.append((self.clock.now, message.engine, message.request_id))
            self.ends.append((self.clock.now + self.run_s, message))
        self.entries.sent.clear()

    def _end_runs(self, notice_for):
        due = [message for at, message in self.ends if at <= self.clock.now]
        self.ends = [(at, message) for at, message in self.ends if at > self.clock.now]
        for message in due:
            if notice_for is not None:
                self.receive(notice_for(message.engine))
            self.receive(finished(message.request_id, on=message.engine, duration_s=self.run_s))


class GrantRateTest(unittest.TestCase):
    # Guards against bursts of grants: a second without requests must not be made up for in the next.
    def test_full_queue_uses_the_rate_limit_without_exceeding_it(self):
        for limit_per_s in (0.5, 1.6, 2.3, 12.0):
            with self.subTest(limit_per_s=limit_per_s):
                cell = LoadedCell()
                cell.run(2.0)
                named_at = cell.clock.now
                cell.receive(notice(limit_per_s))
                cell.run(20.0, notice_for=lambda engine, per_s=limit_per_s: notice(per_s))
                times = cell.times("e1", since=named_at + STEP_S)
                self.assertLessEqual(max_within(times, WINDOW_S), limit_per_s * WINDOW_S + 1)
                self.assertGreaterEqual(len(times), 0.5 * limit_per_s * 20.0)

    # Guards against an engine that states a limit of 0 and gets no further request: only an answer can lift the limit.
    def test_engine_with_limit_0_is_probed_at_the_minimum_rate(self):
        cell = LoadedCell()
        cell.receive(notice(0.0))
        cell.run(30.0, notice_for=lambda engine: notice(0.0))
        self.assertIn(len(cell.times("e1")), (2, 3))

    # Guards against idle slots on other engines, or lower tiers served first, while one engine is limited.
    def test_other_engines_stay_busy_beside_a_limited_one(self):
        cell = LoadedCell(engines=("e1", "e2"), tiers=(1, 3), slots=2)
        cell.receive(notice(1.0))
        cell.run(10.0, notice_for=lambda engine: notice(1.0 if engine == "e1" else math.inf, on=engine))
        self.assertLessEqual(len(cell.times("e1")), 12)
        self.assertGreater(len(cell.times("e2")), 100)


class ChangedLimitTest(unittest.TestCase):
    # Guards against an overloaded engine that lowers its limit and still gets the burst earned under the former one.
    def test_lower_limit_counts_earlier_requests(self):
        cell = LoadedCell()
        cell.receive(notice(10.0))
        cell.run(10.0, notice_for=lambda engine: notice(10.0))
        lowered_at = cell.clock.now
        cell.receive(notice(2.0))
        cell.run(12.0, notice_for=lambda engine: notice(2.0))
        times = cell.times("e1", since=lowered_at + STEP_S)
        self.assertLessEqual(max_within(times, WINDOW_S), 2.0 * WINDOW_S + 1)
        self.assertGreaterEqual(len(times), 0.5 * 2.0 * 12.0)

    # Guards against a limit that is considered lifted since one answer of several doesn't state it.
    def test_limit_in_every_third_answer_stays(self):
        cell = LoadedCell()
        answers = iter(range(10_000))
        cell.receive(notice(3.0))
        cell.run(30.0, notice_for=lambda engine: notice(3.0 if next(answers) % 3 == 0 else math.inf))
        self.assertLessEqual(max_within(cell.times("e1"), WINDOW_S), 1.5 * 3.0 * WINDOW_S + 5)

    # Guards against a limit that is raised again and again when the engine states it at random in some answers.
    def test_limit_in_random_answers_stays(self):
        for limit_per_s, share, seed in itertools.product((1.6, 2.3, 5.0), (0.5, 0.33), range(4)):
            with self.subTest(limit_per_s=limit_per_s, share=share, seed=seed):
                cell = LoadedCell()
                rng = random.Random(seed)
                cell.receive(notice(limit_per_s))
                cell.run(
                    40.0,
                    notice_for=lambda engine, per_s=limit_per_s, rng=rng, share=share: notice(
                        per_s if rng.random() < share else math.inf
                    ),
                )
                most = max_within(cell.times("e1"), WINDOW_S)
                self.assertLessEqual(most, 1.5 * limit_per_s * WINDOW_S + 5)

    # Guards against a burst, and against seconds of idle slots, once an engine no longer states a limit.
    def test_load_returns_gradually_after_a_limit(self):
        cell = LoadedCell()
        cell.receive(notice(2.0))
        cell.run(8.0, notice_for=lambda engine: notice(2.0))
        lifted_at = cell.clock.now
        cell.run(8.0, notice_for=lambda engine: notice(math.inf))
        times = cell.times("e1", since=lifted_at)
        self.assertLessEqual(sum(at < lifted_at + 2.0 for at in times), 8)
        self.assertGreater(sum(at > lifted_at + 6.0 for at in times), 50)

    # Guards against a burst worth four seconds when requests arrive after a time without any.
    def test_burst_is_bounded_after_a_time_without_requests(self):
        clock = Clock()
        limit = RateLimit(clock=clock)
        limit.observe(4.0)
        clock.now += 60.0
        self.assertEqual(limit.available_requests(), 2)

    # Guards against a delayed notice that overrides a later one.
    def test_delayed_notice_does_not_override_a_later_one(self):
        clock = Clock()
        limit = RateLimit(clock=clock)
        limit.observe(2.0)
        limit.observe(50.0, age_s=1.0)
        self.assertEqual(limit.per_s(), 2.0)


class NewSchedulerTest(unittest.TestCase):
    # Guards against a scheduler that takes over while a limit is in force, and fills the engine.
    def test_registration_informs_a_new_scheduler_of_limits(self):
        cell = LoadedCell()
        cell.receive(register("r1", notices=(notice(2.0, age_s=1.0),)))
        cell.run(8.0, notice_for=lambda engine: notice(2.0))
        self.assertLessEqual(max_within(cell.times("e1"), WINDOW_S), 2.0 * WINDOW_S + 1)


class UninformedSchedulerTest(unittest.TestCase):
    # Guards against use of a slot granted by a scheduler that hasn't received the notice yet: the entry returns it.
    @on_paused_clock
    async def test_uninformed_grant_is_returned_with_the_notice(self):
        request = OneRequest()
        await asyncio.sleep(0.0)
        request.schedulers.sent.clear()
        request.entry.post("r1", notice(2.0))
        (sent_notice,) = [message for message in request.schedulers.sent if isinstance(message, EngineNotice)]
        self.assertEqual((sent_notice.engine, sent_notice.limit_per_s), ("e1", 2.0))
        request.schedulers.sent.clear()
        await request.grant("e1")
        self.assertEqual(request.caller.starts, [])
        kinds = [type(message) for message in request.schedulers.sent]
        self.assertEqual(kinds[0], EngineNotice)
        self.assertEqual(kinds[-1], GrantRequest)
        self.assertEqual(request.grant_requests[-1].excluded_engines, ())
        await request.grant("e1", limit_age_s=0.01)
        self.assertEqual(len(request.caller.starts), 1)

    # Guards against a limit that ended without notice to this entry: an expired notice must not return grants.
    @on_paused_clock
    async def test_expired_notice_does_not_return_grants(self):
        request = OneRequest()
        request.entry.post("r1", notice(2.0))
        self.assertEqual(len(request.entry.register("asistente").notices), 1)
        await asyncio.sleep(LIMIT_NOTICE_TTL_S)
        self.assertEqual(request.entry.register("asistente").notices, ())
        await request.grant("e1")
        self.assertEqual(len(request.caller.starts), 1)


class SuspectTest(unittest.TestCase):
    # Guards against a request that runs alone and is sent in excess of its engine's limit.
    def test_a_suspect_waits_for_the_limit(self):
        cell = Cell(members=("r1",))
        cell.receive(register("r1"), notice(1.0), ask("s", alone=True))
        self.assertEqual(cell.entries.of(Granted), [])
        cell.advance(1.1)
        self.assertEqual(cell.entries.ids(Granted), ["s"])

    # Guards against requests that a rollout sends in excess of their engine's limit.
    def test_slots_for_a_rollout_respect_the_limit(self):
        cell = Cell(members=("r1",))
        cell.receive(register("r1"), notice(1.0))
        (engine,) = cell.scheduler._runs.engines
        self.assertEqual(engine.free_rollout_slots, 0)
        cell.advance(1.1)
        self.assertEqual(engine.free_rollout_slots, 1)


if __name__ == "__main__":
    unittest.main()
