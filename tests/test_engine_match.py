"""Requests of different lengths on engines whose speeds differ fourfold.

Guards against long responses on slow engines, where they miss their deadline after occupying a slot for ten seconds.
"""

import unittest

from tests.utils.mixed_engines import FEATURE_OFF, FEATURE_ON, MixedEngines
from tests.utils.scheduler_fakes import Cell, ask, engine, finished
from wagtailtrestle.capacity.engine_match import STALE_AFTER_S
from wagtailtrestle.capacity.features import Features
from wagtailtrestle.contracts.messages import Granted, Preempt, Refused
from wagtailtrestle.contracts.outcomes import Reason

SLOTS = 6
TARGET_S = 0.8
DEADLINE_S = 12.7
MAX_TOKENS = 10_000
FULL_LOAD = {"long": 12, "middle": 26, "short": 24}
LARGE_RESPONSES = {"large": 10, "middle": 14, "short": 24}


def declared(name, *, zone="gijon"):
    is_fast = name.startswith("fast")
    declared_engine = engine(name, slots=SLOTS)
    declared_engine.step_ms = 2.5 if is_fast else 11.0
    declared_engine.prefill_tokens_per_s = 95_000.0 if is_fast else 21_500.0
    declared_engine.zone = zone
    return declared_engine


def long_request(request_id, **changes):
    return request(request_id, **{"prompt_tokens": 6610, "hinted_tokens": 900} | changes)


def short_request(request_id, **changes):
    return request(request_id, **{"prompt_tokens": 1800, "hinted_tokens": 23} | changes)


def request(request_id, **changes):
    fields = {"remaining_s": DEADLINE_S, "first_token_within_s": TARGET_S, "pause_within_s": 0.5, "event_tokens": 9}
    return ask(request_id, **{"output_tokens": MAX_TOKENS} | fields | changes)


class CellTest(unittest.TestCase):
    def cell(self, *names, features=FEATURE_ON, zones=()):
        cell = Cell(engines=(), features=lambda: features)
        zone_by_name = dict(zones)
        cell.scheduler.set_engines({name: declared(name, zone=zone_by_name.get(name, "gijon")) for name in names})
        for state in cell.scheduler._runs.engines:
            self.measure(state)
        cell.scheduler.tick()
        return cell

    def measure(self, state):
        step_s = state.model.step_s(1)
        for _ in range(60):
            state.model.observe_finish(output_tokens=100, decode_s=100 * step_s, mean_concurrency=1)
            state.model.observe_report(step_s=step_s, running=1)

    def engine_of(self, cell, request_id):
        return next((sent.engine for sent in cell.entries.of(Granted) if sent.request_id == request_id), None)

    def fill(self, cell, name, *, leave=0, hinted_tokens=23):
        """Occupy the slots of an engine, except ``leave`` of them."""
        others = tuple(other for other in cell.scheduler._runs.engines_by_name if other != name)
        for number in range(SLOTS - leave):
            changes = {"excluded_engines": others, "tier": 0, "repeatable": False, "hinted_tokens": hinted_tokens}
            cell.receive(short_request(f"{name}-{number}", **changes))
            cell.advance(0.05)
            self.assertEqual(self.engine_of(cell, f"{name}-{number}"), name)


class EngineMatchTest(CellTest):
    def test_long_response_waits_for_a_fast_engine(self):
        # On the slow engine it would miss its deadline after holding a slot for ten seconds.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast")
        cell.receive(long_request("long"))
        cell.advance(0.4)
        self.assertIsNone(self.engine_of(cell, "long"))
        cell.receive(finished("fast-0", on="fast"))
        self.assertEqual(self.engine_of(cell, "long"), "fast")

    def test_long_response_is_refused_at_its_latest_start(self):
        # A run without benefit would hold the slot until its deadline.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast")
        cell.receive(long_request("long"))
        cell.advance(TARGET_S)
        self.assertEqual(cell.entries.ids(Refused), ["long"])
        self.assertEqual(cell.scheduler.dump()["unfit_refusals"], 1)

    def test_without_the_feature_a_long_response_takes_the_slow_engine(self):
        cell = self.cell("fast", "slow", features=FEATURE_OFF)
        self.fill(cell, "fast")
        cell.receive(long_request("long"))
        self.assertEqual(self.engine_of(cell, "long"), "slow")

    def test_short_response_leaves_the_last_fast_slot(self):
        # Otherwise a long response that arrives next finds only the slow engine.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast", leave=1)
        cell.receive(short_request("short"), long_request("long"))
        self.assertEqual([self.engine_of(cell, name) for name in ("short", "long")], ["slow", "fast"])

    def test_short_response_takes_a_fast_engine_while_many_slots_are_free(self):
        cell = self.cell("fast", "slow")
        cell.receive(short_request("short"))
        self.assertEqual(self.engine_of(cell, "short"), "fast")

    def test_short_response_takes_the_fast_slot_if_only_that_meets_its_target(self):
        # Its prompt takes 84 ms on the slow engine.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast", leave=1)
        cell.receive(short_request("short", first_token_within_s=0.1))
        self.assertEqual(self.engine_of(cell, "short"), "fast")

    def test_middle_response_leaves_the_last_slow_slots_to_short_ones(self):
        # It finishes on the slow engine, but holds the slot ten times as long as a short response.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast")
        cell.receive(request("first", prompt_tokens=600, hinted_tokens=300))
        self.assertEqual(self.engine_of(cell, "first"), "slow")
        self.fill(cell, "slow", leave=2)
        cell.receive(request("second", prompt_tokens=600, hinted_tokens=300), short_request("short"))
        self.assertEqual([self.engine_of(cell, name) for name in ("second", "short")], [None, "slow"])

    def test_uncertain_finish_is_accepted_at_the_last_chance(self):
        # It would probably finish on an idle slow engine, which is better than a refusal.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast")
        cell.receive(request("middle", prompt_tokens=600, hinted_tokens=600))
        cell.advance(0.4)
        self.assertIsNone(self.engine_of(cell, "middle"))
        cell.advance(0.15)
        self.assertEqual(self.engine_of(cell, "middle"), "slow")

    def test_long_responses_are_served_with_only_slow_engines_left(self):
        cell = self.cell("fast", "slow-0", "slow-1")
        cell.scheduler.on_unreachable("fast")
        cell.advance(0.05)
        cell.receive(long_request("long"))
        self.assertIn(self.engine_of(cell, "long"), ("slow-0", "slow-1"))

    def test_long_response_takes_a_slow_engine_if_all_fast_ones_are_excluded(self):
        cell = self.cell("fast", "slow")
        cell.receive(long_request("long", excluded_engines=("fast",)))
        self.assertEqual(self.engine_of(cell, "long"), "slow")

    def test_response_that_no_engine_could_finish_is_refused(self):
        # Even a response much shorter than expected would miss the deadline on an idle engine.
        cell = self.cell("slow")
        cell.receive(long_request("long", hinted_tokens=4000))
        self.assertEqual([refused.reason for refused in cell.entries.of(Refused)], [Reason.DEADLINE_UNREACHABLE])
        self.assertEqual(cell.scheduler.dump()["unfit_refusals"], 1)

    def test_excluded_engine_is_not_preferred(self):
        # A retry that excludes the slow engine would be parked beside a free fast slot.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast", leave=1)
        cell.receive(short_request("retry", excluded_engines=("slow",)))
        self.assertEqual(self.engine_of(cell, "retry"), "fast")

    def test_no_run_on_a_slow_engine_is_preempted_for_a_long_response(self):
        # The long response would not take the slot, and the preempted run would be lost in vain.
        for features in (FEATURE_OFF, FEATURE_ON):
            cell = self.cell("slow", "fast", features=features)
            self.fill(cell, "fast", hinted_tokens=4000)
            for number in range(SLOTS):
                cell.receive(ask(f"low-{number}", tier=3, prompt_tokens=10, output_tokens=4000, remaining_s=60.0))
            cell.receive(long_request("long", remaining_s=8.0, hinted_tokens=300, output_tokens=400))
            cell.advance(0.4)
            preempted_on = {sent.engine for sent in cell.entries.of(Preempt)}
            self.assertEqual(preempted_on, set() if features.engine_match else {"slow"})

    def test_engine_that_was_slow_for_a_while_is_tried_again(self):
        # Without short responses, nothing else would correct its model.
        cell = self.cell("fast", "slow")
        self.fill(cell, "fast")
        cell.receive(long_request("first"))
        cell.advance(0.1)
        self.assertIsNone(self.engine_of(cell, "first"))
        cell.advance(STALE_AFTER_S)
        cell.receive(*(finished(f"fast-{number}", on="fast") for number in range(SLOTS)))
        self.fill_again(cell)
        cell.receive(long_request("second"), long_request("third"))
        self.assertEqual([self.engine_of(cell, name) for name in ("second", "third")], ["slow", None])

    def fill_again(self, cell):
        for number in range(SLOTS):
            cell.receive(short_request(f"again-{number}", excluded_engines=("slow",)))

    def test_new_scheduler_grants_as_before(self):
        # It has no measurements yet, so every engine counts as suitable.
        granted = []
        for features in (FEATURE_OFF, FEATURE_ON):
            cell = Cell(engines=(), features=lambda features=features: features)
            cell.scheduler.set_engines({name: declared(name) for name in ("fast", "slow")})
            cell.scheduler.tick()
            for number in range(12):
                make = long_request if number % 2 else short_request
                cell.receive(make(f"request-{number}"))
                cell.advance(0.05)
            granted.append([(sent.request_id, sent.engine) for sent in cell.entries.of(Granted)])
        self.assertEqual({name for _, name in granted[0]}, {"fast", "slow"})
        self.assertEqual(granted[0], granted[1])


class LateRequestTest(CellTest):
    FEATURES = Features(engine_match=True, late_service=True)
    MISSED_S = 0.001

    def busy_cell(self):
        cell = self.cell("fast", "slow", features=self.FEATURES)
        self.fill(cell, "fast")
        return cell

    def late(self, make, request_id, **changes):
        return make(request_id, **{"first_token_within_s": self.MISSED_S, "patience_s": 3.0} | changes)

    # Guards against slow engines that stay idle because a timely request waits for a fast one.
    def test_short_late_request_takes_a_slow_slot_beside_a_parked_long_one(self):
        cell = self.busy_cell()
        cell.receive(long_request("long", patience_s=3.0), self.late(short_request, "late"))
        self.assertEqual([self.engine_of(cell, name) for name in ("long", "late")], [None, "slow"])
        cell.receive(finished("fast-0", on="fast"))
        self.assertEqual(self.engine_of(cell, "long"), "fast")

    # Guards against a slot that a timely request takes at its last chance and a late one would occupy.
    def test_late_request_leaves_the_slow_slots_to_a_request_that_may_still_take_one(self):
        cell = self.busy_cell()
        cell.receive(request("middle", prompt_tokens=600, hinted_tokens=600), self.late(short_request, "late"))
        self.assertEqual([self.engine_of(cell, name) for name in ("middle", "late")], [None, None])
        cell.advance(0.55)
        self.assertEqual([self.engine_of(cell, name) for name in ("middle", "late")], ["slow", "slow"])

    # Guards against a late run without benefit on a slow engine.
    def test_long_late_request_waits_for_a_fast_engine(self):
        cell = self.busy_cell()
        cell.receive(self.late(long_request, "late"))
        cell.advance(2.0)
        self.assertIsNone(self.engine_of(cell, "late"))
        cell.receive(finished("fast-0", on="fast"))
        self.assertEqual(self.engine_of(cell, "late"), "fast")

    # Guards against a late request that is kept beyond its caller's patience, or refused without being counted.
    def test_long_late_request_is_refused_at_its_latest_late_start(self):
        cell = self.busy_cell()
        cell.receive(self.late(long_request, "late"))
        cell.advance(3.0)
        self.assertEqual(cell.entries.ids(Refused), ["late"])
        dump = cell.scheduler.dump()
        self.assertEqual([dump[name] for name in ("late_refusals", "unfit_refusals")], [1, 1])


class ZoneTest(CellTest):
    FEATURES = Features(engine_match=True, zone_cost_s=0.02)
    ZONES = {"fast-0": "avila", "fast-1": "gijon"}

    def test_zone_decides_among_equal_engines(self):
        # Traffic between zones is expensive.
        for zone, name in (("avila", "fast-0"), ("gijon", "fast-1")):
            cell = self.cell("fast-0", "fast-1", features=self.FEATURES, zones=self.ZONES)
            for number in range(3):
                cell.receive(short_request(f"request-{number}", zone=zone))
                cell.advance(0.05)
                self.assertEqual(self.engine_of(cell, f"request-{number}"), name)
            self.assertEqual(cell.scheduler.dump()["zone_grants"], {"same": 3})

    def test_zone_makes_no_target_missed(self):
        # The engine in the entry's zone would produce the first token too late behind a long prompt.
        cell = self.cell("fast-0", "fast-1", features=self.FEATURES, zones=self.ZONES)
        cell.receive(short_request("ahead", prompt_tokens=9500, zone="avila", excluded_engines=("fast-1",)))
        cell.receive(short_request("next", zone="avila", first_token_within_s=0.1))
        self.assertEqual(self.engine_of(cell, "next"), "fast-1")
        self.assertEqual(cell.scheduler.dump()["zone_grants"], {"same": 1, "other": 1})

    def test_zone_does_not_outweigh_a_much_slower_engine(self):
        cell = self.cell("fast", "slow", features=self.FEATURES, zones={"fast": "gijon", "slow": "avila"})
        cell.receive(long_request("long", zone="avila"))
        self.assertEqual(self.engine_of(cell, "long"), "fast")

    def test_unknown_zone_costs_nothing(self):
        # Entries of an earlier version send no zone.
        cell = self.cell("fast-0", "fast-1", features=self.FEATURES, zones=self.ZONES)
        cell.receive(short_request("one"), short_request("two"))
        self.assertEqual({self.engine_of(cell, "one"), self.engine_of(cell, "two")}, {"fast-0", "fast-1"})
        self.assertEqual(cell.scheduler.dump()["zone_grants"], {})


class FullUseTest(unittest.TestCase):
    def play(self, rates, *, features, seeds=(1, 2, 3), **parts):
        worlds = [MixedEngines(fast=6, slow=3, features=features, rates=rates, seed=seed, **parts) for seed in seeds]
        for world in worlds:
            world.play(20.0)
        return worlds

    def test_full_use_of_fast_and_slow_engines(self):
        # Without the match, the largest responses on slow engines are lost and short ones occupy fast engines.
        off = self.play(FULL_LOAD, features=FEATURE_OFF)
        on = self.play(FULL_LOAD, features=FEATURE_ON)
        self.assertGreater(_served(on), _served(off) + 0.01)
        self.assertLess(_cut_off(on), 0.5 * _cut_off(off))
        for world in on:
            self.assertGreater(_share_on(world, "long", "fast"), 0.85)
            self.assertGreater(_share_on(world, "short", "slow"), 0.45)

    def test_largest_tenth_of_the_long_responses(self):
        # They need more than ten seconds on a slow engine, and are scored as a class of their own.
        off = self.play(LARGE_RESPONSES, features=FEATURE_OFF)
        on = self.play(LARGE_RESPONSES, features=FEATURE_ON)
        self.assertGreater(_served(on), _served(off) + 0.01)
        self.assertLess(_largest_lost(on), 0.5 * _largest_lost(off))


def _served(worlds):
    return sum(world.served(world.ids()) for world in worlds) / len(worlds)


def _cut_off(worlds):
    return sum(len(world.cut_off) for world in worlds)


def _largest_lost(worlds):
    return sum(1.0 - world.served(world.largest_tenth("large")) for world in worlds) / len(worlds)


def _share_on(world, kind, prefix):
    counts = world.granted_on(kind)
    return counts[prefix] / sum(counts.values())


if __name__ == "__main__":
    unittest.main()
