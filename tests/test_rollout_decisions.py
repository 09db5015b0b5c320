"""Exposure, judgement and phases of a roll-out, without network: the pattern is a version that is bad in one way."""

import asyncio
import random
import unittest

from tests.utils.paused_clock import on_paused_clock
from tests.utils.scheduler_fakes import Cell, ask, engine, finished, report
from wagtailtrestle.contracts.messages import Granted, Preempt, Refused
from wagtailtrestle.contracts.outcomes import StoreDone
from wagtailtrestle.contracts.rollout_messages import RolloutOrder, RolloutState, RolloutWord
from wagtailtrestle.measure.rollout_ways import GOOD, VERSIONS_BY_NAME, simulate
from wagtailtrestle.platform.adapter import PlatformAdapter
from wagtailtrestle.platform.rollouts import read_rollout, rollout_status
from wagtailtrestle.rollouts.coordinator import Coordinator
from wagtailtrestle.rollouts.exposure import Exposure
from wagtailtrestle.rollouts.judgement import CUT_PAUSE_S, DONE, Judgement
from wagtailtrestle.rollouts.rollout import Phase, Rollout
from wagtailtrestle.rollouts.versions import held_names

SEEDS = range(20)
SHARE, SLACK = 0.1, 50


class ExposureTest(unittest.TestCase):
    def test_never_more_than_the_operator_allows(self):
        # Whatever routes come and however fast, and also in the ramp.
        for seed in range(200):
            chance = random.Random(seed)
            exposure = Exposure(share=SHARE, slack=SLACK, now=0.0)
            now = 0.0
            for number in range(chance.randint(10, 2000)):
                now += chance.expovariate(chance.choice((5.0, 60.0, 600.0)))
                if number == 300:
                    exposure.widen()
                route = chance.choice("aaaab")
                exposure.note_grant(route, is_target=exposure.may_expose(route, now), now=now)
                self.assertLessEqual(exposure.exposed, SHARE * exposure.granted + SLACK)

    def test_each_route_gets_its_part(self):
        chance = random.Random(1)
        exposure = Exposure(share=SHARE, slack=SLACK, now=0.0)
        by_route = dict.fromkeys("ab", 0)
        for number in range(600):
            route = "a" if chance.random() < 0.9 else "b"
            exposed = exposure.may_expose(route, number / 60.0)
            by_route[route] += exposed
            exposure.note_grant(route, is_target=exposed, now=number / 60.0)
        self.assertGreater(by_route["b"], 0.1 * sum(by_route.values()))

    def test_next_coordinator_goes_on_from_what_was_told(self):
        exposure = Exposure(share=SHARE, slack=SLACK, now=0.0, granted=10, exposed=50)
        self.assertFalse(exposure.may_expose("a", 1.0))


class JudgementTest(unittest.TestCase):
    def note(self, judgement, count, *, is_target, result=DONE, pace=0.04, at_s=0.0, gap_s=0.1, was_full=False):
        for number in range(count):
            name = "new" if is_target else "old"
            judgement.note(
                route="r",
                engine=name,
                is_target=is_target,
                result=result,
                pace=pace,
                now=at_s + number * gap_s,
                was_full=was_full,
            )

    def test_crash_of_one_engine_is_not_a_versions_fault(self):
        # All runs of an engine that crashed are cut at once.
        judgement = Judgement()
        self.note(judgement, 100, is_target=False)
        self.note(judgement, 30, is_target=True, result="RunCut", gap_s=CUT_PAUSE_S / 100)
        self.assertFalse(judgement.is_bad)

    def test_version_that_crashes_again_and_again_is_bad(self):
        judgement = Judgement()
        self.note(judgement, 100, is_target=False)
        self.note(judgement, 10, is_target=True, result="RunCut", gap_s=2 * CUT_PAUSE_S)
        self.assertTrue(judgement.is_bad)

    def test_what_both_versions_fail_is_not_the_targets_fault(self):
        judgement = Judgement()
        for _ in range(20):
            self.note(judgement, 5, is_target=False)
            self.note(judgement, 5, is_target=False, result="RunFailed")
            self.note(judgement, 1, is_target=True)
            self.note(judgement, 1, is_target=True, result="RunFailed")
        self.assertFalse(judgement.is_bad)

    def test_slow_engine_of_a_good_version_is_as_slow_as_the_slowest_old_one(self):
        judgement = Judgement()
        self.note(judgement, 50, is_target=False, pace=0.16)
        self.note(judgement, 50, is_target=True, pace=0.16)
        self.assertFalse(judgement.is_bad)

    # Guards against failures of full engines that are lost among the many runs of engines that aren't.
    def test_version_that_fails_only_on_full_engines_is_bad(self):
        judgement = Judgement()
        self.note(judgement, 300, is_target=False)
        for _ in range(4):
            self.note(judgement, 22, is_target=True)
            self.note(judgement, 1, is_target=True, was_full=True)
            self.note(judgement, 1, is_target=True, was_full=True, result="RunFailed")
        self.assertTrue(judgement.is_bad)

    # Guards against a good version that is blamed for what the old one does on full engines too.
    def test_what_both_versions_fail_on_full_engines_is_not_the_targets_fault(self):
        judgement = Judgement()
        self.note(judgement, 300, is_target=False)
        self.note(judgement, 20, is_target=False, was_full=True)
        self.note(judgement, 20, is_target=False, was_full=True, result="RunFailed")
        for _ in range(4):
            self.note(judgement, 22, is_target=True)
            self.note(judgement, 1, is_target=True, was_full=True)
            self.note(judgement, 1, is_target=True, was_full=True, result="RunFailed")
        self.assertFalse(judgement.is_bad)


class PlayedTest(unittest.TestCase):
    def test_good_version_is_never_rolled_back(self):
        found = [seed for seed in SEEDS if simulate(VERSIONS_BY_NAME[GOOD], seed).rolled_back_at_s is not None]
        self.assertEqual(found, [])

    def test_bad_versions_are_rolled_back_within_the_bound(self):
        for name in ("fails half", "fails a fifth", "fails half from 3 s on", "three times slower"):
            with self.subTest(name):
                simulated = [simulate(VERSIONS_BY_NAME[name], seed) for seed in SEEDS]
                missed = [seed for seed, each in zip(SEEDS, simulated, strict=True) if each.rolled_back_at_s is None]
                over = [seed for seed, each in zip(SEEDS, simulated, strict=True) if not each.is_within_bound]
                self.assertEqual((missed, over), ([], []))


class PhasesTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        order = RolloutOrder(service="s", target="v2", duration_s=10.0, store_version=1)
        self.rollout = Rollout(order=order, share=SHARE, slack=SLACK, clock=lambda: self.now)

    def step(self, at_s, *, old_runs=0, target_places=12):
        self.now = at_s
        self.rollout.step(old_places=12, target_places=target_places, old_runs=old_runs)

    def shift(self):
        self.step(7.1)
        self.step(8.0)
        self.assertIs(self.rollout.phase, Phase.SHIFT)

    def test_completed_only_when_nothing_runs_on_the_old_engines(self):
        # They stop without a drain at that moment: whatever ran there would be lost to its caller.
        self.shift()
        self.step(8.1, old_runs=1)
        self.assertIs(self.rollout.state, RolloutState.RUNNING)
        self.step(8.3)
        self.assertIs(self.rollout.state, RolloutState.COMPLETED)

    def test_completed_in_time_though_something_runs_on(self):
        self.shift()
        self.step(9.1, old_runs=1)
        self.assertIs(self.rollout.state, RolloutState.COMPLETED)

    def test_too_few_new_engines_never_take_over(self):
        self.step(9.5, target_places=3)
        self.assertIs(self.rollout.phase, Phase.TRIAL)

    def test_final_state_never_turns(self):
        self.rollout.end_as(RolloutState.ROLLED_BACK)
        self.rollout.end_as(RolloutState.COMPLETED)
        self.step(9.5)
        self.assertIs(self.rollout.state, RolloutState.ROLLED_BACK)

    def test_second_try_of_a_failed_answer_is_not_exposed(self):
        for _ in range(200):
            self.rollout.exposure.note_grant("", is_target=False, now=0.0)
        self.now = 2.0
        self.assertTrue(self.rollout.wants(ask("a")))
        self.assertFalse(self.rollout.wants(ask("a", excluded_engines=("n-1",))))
        self.assertFalse(self.rollout.wants(ask("a", alone=True)))

    def test_next_coordinator_completes_nothing_of_which_it_knows_nothing(self):
        # The scheduler dies in the ramp, shortly before the end. Its successor has seen no run on the target, and the
        # last word it heard is old: everything would move to a version that nobody judged.
        word = RolloutWord(service="s", target="v2", state=RolloutState.RUNNING, elapsed_s=7.5, granted=400, exposed=5)
        rollout = Rollout(order=self.rollout.order, share=SHARE, slack=SLACK, clock=lambda: self.now, word=word)
        for at_s in (0.1, 0.6, 1.6, 2.4):
            self.now = at_s
            rollout.step(old_places=12, target_places=12, old_runs=0)
        self.assertIs(rollout.phase, Phase.RAMP)

    def test_next_coordinator_goes_on_from_what_was_judged(self):
        word = RolloutWord(
            service="s",
            target="v2",
            state=RolloutState.RUNNING,
            elapsed_s=7.5,
            granted=400,
            exposed=60,
            target_runs=60,
            target_bad=4,
            suspicion=5.0,
        )
        rollout = Rollout(order=self.rollout.order, share=SHARE, slack=SLACK, clock=lambda: self.now, word=word)
        failed = finished("a", result="RunFailed")
        rollout.note_end(request=ask("a"), engine="e2", version="v2", finished=failed)
        self.assertIs(rollout.state, RolloutState.ROLLED_BACK)

    def test_next_coordinator_knows_the_time_that_passed(self):
        word = RolloutWord(service="s", target="v2", state=RolloutState.RUNNING, elapsed_s=6.0, duration_s=10.0)
        rollout = Rollout(order=self.rollout.order, share=SHARE, slack=SLACK, clock=lambda: 100.0, word=word)
        self.assertAlmostEqual(rollout.elapsed_s, 6.0)


class HeldNamesTest(unittest.TestCase):
    def held(self, *versions, **more):
        engines = []
        for number, version in enumerate(versions):
            made = engine(f"e{number}")
            made.version = version
            engines.append(made)
        given = {"target": None, "state": None, "is_shifting": False, "unread_versions": set()}
        given |= {"untested_versions": set(), "stopped_names": ()}
        return set(held_names(engines, **{**given, **more}))

    def test_without_an_order_all_versions_are_used(self):
        self.assertEqual(self.held("v1", "v2"), set())

    def test_version_that_may_have_been_ordered_waits_until_the_orders_are_read(self):
        self.assertEqual(self.held("v1", "v1", "v2", unread_versions={"v1", "v2"}), {"e2"})

    def test_only_version_is_used_though_the_orders_are_not_read(self):
        self.assertEqual(self.held("v2", "v2", unread_versions={"v2"}), set())

    def test_target_is_held_back_while_it_is_tried_and_the_old_ones_in_the_shift(self):
        order = {"target": "v2", "state": RolloutState.RUNNING}
        self.assertEqual(self.held("v1", "v2", **order), {"e1"})
        self.assertEqual(self.held("v1", "v2", is_shifting=True, **order), {"e0"})

    def test_target_of_a_former_order_gets_nothing_either(self):
        # A version was rolled back, and its engines still drain when the operator orders the next one.
        order = {"target": "v3", "state": RolloutState.RUNNING, "untested_versions": {"v2"}}
        self.assertEqual(self.held("v1", "v2", "v3", **order), {"e1", "e2"})

    def test_rolled_back_target_gets_nothing_and_a_third_version_is_used(self):
        self.assertEqual(self.held("v1", "v2", "v3", target="v2", state=RolloutState.ROLLED_BACK), {"e1"})


class Wanting:
    """A roll-out that wants every request on version v2, or none."""

    def __init__(self):
        self.is_open = True
        self.granted = []
        self.ended = []
        self.full_by_request_id = {}

    def wants(self, request):
        return self.is_open

    def is_target(self, version):
        return version == "v2"

    def note_grant(self, request, version):
        self.granted.append(version)

    def note_end(self, *, request, engine, version, finished, was_full):
        self.ended.append((engine, version, finished.result))
        self.full_by_request_id[request.request_id] = was_full


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=("e1", "e2"), slots=2)
        new = engine("e2")
        new.version = "v2"
        self.cell.scheduler.set_engines({"e1": engine("e1"), "e2": new})
        self.rollout = Wanting()
        self.cell.scheduler.set_rollout(self.rollout, frozenset({"e2"}))

    def engines_granted(self):
        return [granted.engine for granted in self.cell.entries.of(Granted)]

    def test_exposed_request_goes_to_the_held_back_engine_and_others_do_not(self):
        self.cell.receive(ask("a"))
        self.rollout.is_open = False
        self.cell.receive(ask("b"), ask("c"), ask("d"))
        self.assertEqual(self.engines_granted(), ["e2", "e1", "e1"])
        self.assertEqual(self.rollout.granted, ["v2", "", ""])

    def test_end_of_a_run_is_told_with_its_version(self):
        self.cell.receive(ask("a"), finished("a", on="e2", result="RunFailed"))
        self.assertEqual(self.rollout.ended, [("e2", "v2", "RunFailed")])

    def test_end_of_a_run_tells_whether_its_engine_was_full(self):
        self.cell.receive(ask("a"), ask("b"), finished("a", on="e2"), finished("b", on="e2"))
        self.assertEqual(self.rollout.full_by_request_id, {"a": False, "b": True})

    def test_held_back_engine_that_is_full_leaves_the_request_to_others(self):
        self.cell.receive(ask("a"), ask("b"), ask("c"))
        self.assertEqual(self.engines_granted(), ["e2", "e2", "e1"])

    def test_request_is_not_refused_nor_another_cancelled_for_engines_held_back(self):
        self.rollout.is_open = False
        self.cell.receive(ask("a"), ask("b"), ask("c"))
        self.cell.scheduler.on_load_report(report(on="e2"))
        self.cell.advance(0.2)
        self.assertEqual(self.engines_granted(), ["e1", "e1"])
        self.assertEqual(self.cell.entries.ids(Refused) + self.cell.entries.ids(Preempt), [])


class OrderStore:
    """Holds one order and keeps what it is told of it."""

    def __init__(self, *, status=None):
        self.status = status
        self.told = []

    async def list(self, *, kind):
        value = {"specification": {"service": "s", "target": "v2", "duration_s": 10.0}, "status": self.status}
        return StoreDone(version=5, value={"s": (5, value)})

    async def watch(self, *, kind, from_version, timeout_s):
        await asyncio.sleep(timeout_s)
        return StoreDone(version=from_version, value=())

    async def update_status(self, *, kind, name, value, if_version):
        self.told.append(value["state"])
        self.status = value
        return StoreDone(version=6)


class Schedulers:
    """Keeps what each service is told of its roll-out."""

    def __init__(self):
        self.held_by_service = {}

    def set_rollout(self, service, rollout, held_back):
        self.held_by_service[service] = held_back

    def runs_by_version(self, service):
        return {}


class Silent:
    """A broadcast that nobody hears."""

    def on(self, message_type, *, key, handler):
        self.hear = handler

    def send(self, message):
        pass


class CoordinatorTest(unittest.TestCase):
    def start(self, store):
        self.schedulers, self.broadcast = Schedulers(), Silent()
        old, new = engine("e1"), engine("e2")
        old.service = new.service = "s"
        old.version, new.version = "v1", "v2"
        coordinator = Coordinator(
            store=store,
            adapter=PlatformAdapter(),
            schedulers=self.schedulers,
            broadcast=self.broadcast,
            own_services=lambda: {"s"},
            engines=lambda: {"e1": old, "e2": new},
            share=SHARE,
            slack=SLACK,
            clock=asyncio.get_running_loop().time,
        )
        coordinator.refresh()
        coordinator.start()
        return coordinator

    async def pass_time(self, coordinator, seconds):
        for _ in range(int(seconds / 0.1)):
            await asyncio.sleep(0.1)
            coordinator.tick()

    @on_paused_clock
    async def test_target_gets_nothing_before_its_order_is_read_nor_after(self):
        coordinator = self.start(OrderStore())
        self.assertEqual(self.schedulers.held_by_service["s"], {"e2"})
        await self.pass_time(coordinator, 1.0)
        self.assertEqual(self.schedulers.held_by_service["s"], {"e2"})
        await coordinator.close()

    @on_paused_clock
    async def test_verdict_of_a_coordinator_that_died_is_written_by_the_next(self):
        # The former coordinator told all routers that the version is rolled back and died before the store had it: the
        # operator's platform went on running the bad version, and its time ran out without a status.
        store = OrderStore(status={"state": "running", "target": "v2"})
        coordinator = self.start(store)
        self.broadcast.hear(RolloutWord(service="s", target="v2", state=RolloutState.ROLLED_BACK))
        await self.pass_time(coordinator, 1.0)
        self.assertEqual(store.told, ["rolled_back"])
        self.assertEqual(self.schedulers.held_by_service["s"], {"e2"})
        await coordinator.close()

    @on_paused_clock
    async def test_restart_of_all_routers_does_not_give_an_untested_version_its_slack_again(self):
        # All routers lose power while a version is tried. Nobody is left who counted what it got; the store says that
        # the roll-out runs. Counted from nothing, a bad version would get the slack once more with each restart.
        for status, most in ((None, SLACK), ({"state": "running", "target": "v2"}, 0)):
            with self.subTest(status=status):
                coordinator = self.start(OrderStore(status=status))
                await self.pass_time(coordinator, 1.0)
                exposure = coordinator.rollout_by_service["s"].exposure
                exposed = 0
                for _ in range(SLACK):
                    now = asyncio.get_running_loop().time()
                    is_target = exposure.may_expose("r", now)
                    exposure.note_grant("r", is_target=is_target, now=now)
                    exposed += is_target
                self.assertLessEqual(exposed, SHARE * SLACK + most)
                self.assertEqual(exposed > 0, most > 0)
                await coordinator.close()

    @on_paused_clock
    async def test_final_state_in_the_store_is_never_replaced(self):
        # Another scheduler, of which this one has not heard, has written that the version is completed.
        store = OrderStore(status={"state": "completed", "target": "v2"})
        coordinator = self.start(store)
        await self.pass_time(coordinator, 1.0)
        self.broadcast.hear(RolloutWord(service="s", target="v2", state=RolloutState.ROLLED_BACK))
        await self.pass_time(coordinator, 1.0)
        self.assertEqual(store.told, [])
        self.assertEqual(self.schedulers.held_by_service["s"], {"e1"})
        await coordinator.close()


class OrderTest(unittest.TestCase):
    def read(self, specification, status=None):
        return read_rollout("s", 7, {"specification": specification, "status": status})

    def test_forged_orders_are_not_read(self):
        good = {"service": "s", "target": "v2", "duration_s": 12}
        for change in (
            {"service": "other"},
            {"target": ""},
            {"target": 2},
            {"duration_s": 0},
            {"duration_s": "12"},
            {"duration_s": True},
        ):
            with self.subTest(change):
                self.assertIsNone(self.read(good | change))
        self.assertIsNone(self.read("v2"))
        self.assertEqual(self.read(good).target, "v2")

    def test_status_of_an_earlier_target_is_none(self):
        order = {"service": "s", "target": "v3", "duration_s": 12}
        self.assertIsNone(self.read(order, {"state": "completed", "target": "v2"}).state)
        told = rollout_status("v3", RolloutState.ROLLED_BACK)
        self.assertIs(self.read(order, told).state, RolloutState.ROLLED_BACK)


if __name__ == "__main__":
    unittest.main()
