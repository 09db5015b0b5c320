"""Exposure, canary analysis and phases of a rollout without a network, for versions that are bad in one way each."""

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
from wagtailtrestle.rollouts.canary_analysis import CRASH_WINDOW_S, DONE, CanaryAnalysis
from wagtailtrestle.rollouts.coordinator import Coordinator
from wagtailtrestle.rollouts.exposure import Exposure
from wagtailtrestle.rollouts.rollout import Phase, Rollout
from wagtailtrestle.rollouts.versions import reserved_names

SEEDS = range(20)
SHARE, SLACK = 0.1, 50


class ExposureTest(unittest.TestCase):
    def test_never_more_than_the_operator_allows(self):
        # Holds for any mix of routes and any request rate, and during the ramp.
        for seed in range(200):
            rng = random.Random(seed)
            exposure = Exposure(share=SHARE, slack=SLACK, now=0.0)
            now = 0.0
            for number in range(rng.randint(10, 2000)):
                now += rng.expovariate(rng.choice((5.0, 60.0, 600.0)))
                if number == 300:
                    exposure.widen()
                route = rng.choice("aaaab")
                exposure.record_grant(route, is_target=exposure.may_expose(route, now), now=now)
                self.assertLessEqual(exposure.exposed, SHARE * exposure.granted + SLACK)

    def test_each_route_gets_its_share(self):
        rng = random.Random(1)
        exposure = Exposure(share=SHARE, slack=SLACK, now=0.0)
        by_route = dict.fromkeys("ab", 0)
        for number in range(600):
            route = "a" if rng.random() < 0.9 else "b"
            exposed = exposure.may_expose(route, number / 60.0)
            by_route[route] += exposed
            exposure.record_grant(route, is_target=exposed, now=number / 60.0)
        self.assertGreater(by_route["b"], 0.1 * sum(by_route.values()))

    def test_next_coordinator_resumes_from_reported_counts(self):
        exposure = Exposure(share=SHARE, slack=SLACK, now=0.0, granted=10, exposed=50)
        self.assertFalse(exposure.may_expose("a", 1.0))


class CanaryAnalysisTest(unittest.TestCase):
    def record_run(self, analysis, count, *, is_target, result=DONE, latency=0.04, at_s=0.0, gap_s=0.1, was_full=False):
        for number in range(count):
            name = "new" if is_target else "old"
            analysis.record_run(
                route="r",
                engine=name,
                is_target=is_target,
                result=result,
                latency=latency,
                now=at_s + number * gap_s,
                was_full=was_full,
            )

    def test_single_engine_crash_is_not_blamed_on_the_version(self):
        # A crash cuts all runs of its engine together.
        analysis = CanaryAnalysis()
        self.record_run(analysis, 100, is_target=False)
        self.record_run(analysis, 30, is_target=True, result="RunCut", gap_s=CRASH_WINDOW_S / 100)
        self.assertFalse(analysis.is_bad)

    def test_version_that_crashes_repeatedly_is_bad(self):
        analysis = CanaryAnalysis()
        self.record_run(analysis, 100, is_target=False)
        self.record_run(analysis, 10, is_target=True, result="RunCut", gap_s=2 * CRASH_WINDOW_S)
        self.assertTrue(analysis.is_bad)

    def test_failures_of_both_versions_are_not_blamed_on_the_target(self):
        analysis = CanaryAnalysis()
        for _ in range(20):
            self.record_run(analysis, 5, is_target=False)
            self.record_run(analysis, 5, is_target=False, result="RunFailed")
            self.record_run(analysis, 1, is_target=True)
            self.record_run(analysis, 1, is_target=True, result="RunFailed")
        self.assertFalse(analysis.is_bad)

    def test_slow_engine_of_a_good_version_is_as_slow_as_the_slowest_old_one(self):
        analysis = CanaryAnalysis()
        self.record_run(analysis, 50, is_target=False, latency=0.16)
        self.record_run(analysis, 50, is_target=True, latency=0.16)
        self.assertFalse(analysis.is_bad)

    # Guards against missing failures on full engines among the many runs on engines that are not full.
    def test_version_that_fails_only_on_full_engines_is_bad(self):
        analysis = CanaryAnalysis()
        self.record_run(analysis, 300, is_target=False)
        for _ in range(4):
            self.record_run(analysis, 22, is_target=True)
            self.record_run(analysis, 1, is_target=True, was_full=True)
            self.record_run(analysis, 1, is_target=True, was_full=True, result="RunFailed")
        self.assertTrue(analysis.is_bad)

    # Guards against blaming a good version for failures that the old one has on full engines too.
    def test_full_engine_failures_of_both_versions_are_not_blamed_on_the_target(self):
        analysis = CanaryAnalysis()
        self.record_run(analysis, 300, is_target=False)
        self.record_run(analysis, 20, is_target=False, was_full=True)
        self.record_run(analysis, 20, is_target=False, was_full=True, result="RunFailed")
        for _ in range(4):
            self.record_run(analysis, 22, is_target=True)
            self.record_run(analysis, 1, is_target=True, was_full=True)
            self.record_run(analysis, 1, is_target=True, was_full=True, result="RunFailed")
        self.assertFalse(analysis.is_bad)


class SimulatedRolloutTest(unittest.TestCase):
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

    def step(self, at_s, *, old_runs=0, target_slots=12):
        self.now = at_s
        self.rollout.step(old_slots=12, target_slots=target_slots, old_runs=old_runs)

    def shift(self):
        self.step(7.1)
        self.step(8.0)
        self.assertIs(self.rollout.phase, Phase.SHIFT)

    def test_completed_only_when_old_engines_are_idle(self):
        # The old engines stop without a drain on completion, so callers would lose the runs in progress there.
        self.shift()
        self.step(8.1, old_runs=1)
        self.assertIs(self.rollout.state, RolloutState.RUNNING)
        self.step(8.3)
        self.assertIs(self.rollout.state, RolloutState.COMPLETED)

    def test_completed_before_the_deadline_despite_running_requests(self):
        self.shift()
        self.step(9.1, old_runs=1)
        self.assertIs(self.rollout.state, RolloutState.COMPLETED)

    def test_too_few_new_engines_never_take_over(self):
        self.step(9.5, target_slots=3)
        self.assertIs(self.rollout.phase, Phase.TRIAL)

    def test_final_state_never_changes(self):
        self.rollout.end_as(RolloutState.ROLLED_BACK)
        self.rollout.end_as(RolloutState.COMPLETED)
        self.step(9.5)
        self.assertIs(self.rollout.state, RolloutState.ROLLED_BACK)

    def test_retry_of_a_failed_run_is_not_exposed(self):
        for _ in range(200):
            self.rollout.exposure.record_grant("", is_target=False, now=0.0)
        self.now = 2.0
        self.assertTrue(self.rollout.should_expose(ask("a")))
        self.assertFalse(self.rollout.should_expose(ask("a", excluded_engines=("n-1",))))
        self.assertFalse(self.rollout.should_expose(ask("a", alone=True)))

    def test_next_coordinator_without_runs_on_the_target_does_not_complete(self):
        # The scheduler dies in the ramp, shortly before the end. Its successor has seen no run on the target and has
        # an old progress report: all requests would move to a version that was not evaluated.
        progress = RolloutWord(
            service="s", target="v2", state=RolloutState.RUNNING, elapsed_s=7.5, granted=400, exposed=5
        )
        rollout = Rollout(order=self.rollout.order, share=SHARE, slack=SLACK, clock=lambda: self.now, progress=progress)
        for at_s in (0.1, 0.6, 1.6, 2.4):
            self.now = at_s
            rollout.step(old_slots=12, target_slots=12, old_runs=0)
        self.assertIs(rollout.phase, Phase.RAMP)

    def test_next_coordinator_resumes_from_reported_analysis(self):
        progress = RolloutWord(
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
        rollout = Rollout(order=self.rollout.order, share=SHARE, slack=SLACK, clock=lambda: self.now, progress=progress)
        failed = finished("a", result="RunFailed")
        rollout.record_run_end(request=ask("a"), engine="e2", version="v2", finished=failed)
        self.assertIs(rollout.state, RolloutState.ROLLED_BACK)

    def test_next_coordinator_resumes_from_reported_elapsed_time(self):
        progress = RolloutWord(service="s", target="v2", state=RolloutState.RUNNING, elapsed_s=6.0, duration_s=10.0)
        rollout = Rollout(order=self.rollout.order, share=SHARE, slack=SLACK, clock=lambda: 100.0, progress=progress)
        self.assertAlmostEqual(rollout.elapsed_s, 6.0)


class ReservedNamesTest(unittest.TestCase):
    def held(self, *versions, **more):
        engines = []
        for number, version in enumerate(versions):
            made = engine(f"e{number}")
            made.version = version
            engines.append(made)
        given = {"target": None, "state": None, "is_shifting": False, "unread_versions": set()}
        given |= {"untested_versions": set(), "stopped_names": ()}
        return set(reserved_names(engines, **{**given, **more}))

    def test_without_an_order_all_versions_are_used(self):
        self.assertEqual(self.held("v1", "v2"), set())

    def test_version_that_may_have_been_ordered_waits_until_the_orders_are_read(self):
        self.assertEqual(self.held("v1", "v1", "v2", unread_versions={"v1", "v2"}), {"e2"})

    def test_only_version_is_used_though_the_orders_are_not_read(self):
        self.assertEqual(self.held("v2", "v2", unread_versions={"v2"}), set())

    def test_target_is_reserved_during_the_trial_and_old_engines_during_the_shift(self):
        order = {"target": "v2", "state": RolloutState.RUNNING}
        self.assertEqual(self.held("v1", "v2", **order), {"e1"})
        self.assertEqual(self.held("v1", "v2", is_shifting=True, **order), {"e0"})

    def test_target_of_an_earlier_order_is_reserved(self):
        # A version was rolled back, and its engines are still draining when the operator orders the next one.
        order = {"target": "v3", "state": RolloutState.RUNNING, "untested_versions": {"v2"}}
        self.assertEqual(self.held("v1", "v2", "v3", **order), {"e1", "e2"})

    def test_rolled_back_target_gets_nothing_and_a_third_version_is_used(self):
        self.assertEqual(self.held("v1", "v2", "v3", target="v2", state=RolloutState.ROLLED_BACK), {"e1"})


class ExposingRollout:
    """A rollout that exposes every request to version v2, or none."""

    def __init__(self):
        self.is_open = True
        self.granted = []
        self.ended = []
        self.full_by_request_id = {}

    def should_expose(self, request):
        return self.is_open

    def is_target(self, version):
        return version == "v2"

    def record_grant(self, request, version):
        self.granted.append(version)

    def record_run_end(self, *, request, engine, version, finished, was_full):
        self.ended.append((engine, version, finished.result))
        self.full_by_request_id[request.request_id] = was_full


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=("e1", "e2"), slots=2)
        new = engine("e2")
        new.version = "v2"
        self.cell.scheduler.set_engines({"e1": engine("e1"), "e2": new})
        self.rollout = ExposingRollout()
        self.cell.scheduler.set_rollout(self.rollout, frozenset({"e2"}))

    def engines_granted(self):
        return [granted.engine for granted in self.cell.entries.of(Granted)]

    def test_only_exposed_requests_go_to_the_reserved_engine(self):
        self.cell.receive(ask("a"))
        self.rollout.is_open = False
        self.cell.receive(ask("b"), ask("c"), ask("d"))
        self.assertEqual(self.engines_granted(), ["e2", "e1", "e1"])
        self.assertEqual(self.rollout.granted, ["v2", "", ""])

    def test_end_of_a_run_is_reported_with_its_version(self):
        self.cell.receive(ask("a"), finished("a", on="e2", result="RunFailed"))
        self.assertEqual(self.rollout.ended, [("e2", "v2", "RunFailed")])

    def test_end_of_a_run_reports_whether_its_engine_was_full(self):
        self.cell.receive(ask("a"), ask("b"), finished("a", on="e2"), finished("b", on="e2"))
        self.assertEqual(self.rollout.full_by_request_id, {"a": False, "b": True})

    def test_exposed_request_goes_to_another_engine_if_the_reserved_one_is_full(self):
        self.cell.receive(ask("a"), ask("b"), ask("c"))
        self.assertEqual(self.engines_granted(), ["e2", "e2", "e1"])

    def test_reserved_engines_cause_no_refusals_or_preemptions(self):
        self.rollout.is_open = False
        self.cell.receive(ask("a"), ask("b"), ask("c"))
        self.cell.scheduler.on_load_report(report(on="e2"))
        self.cell.advance(0.2)
        self.assertEqual(self.engines_granted(), ["e1", "e1"])
        self.assertEqual(self.cell.entries.ids(Refused) + self.cell.entries.ids(Preempt), [])


class OrderStore:
    """Holds one order and records the states written for it."""

    def __init__(self, *, status=None):
        self.status = status
        self.written = []

    async def list(self, *, kind):
        value = {"specification": {"service": "s", "target": "v2", "duration_s": 10.0}, "status": self.status}
        return StoreDone(version=5, value={"s": (5, value)})

    async def watch(self, *, kind, from_version, timeout_s):
        await asyncio.sleep(timeout_s)
        return StoreDone(version=from_version, value=())

    async def update_status(self, *, kind, name, value, if_version):
        self.written.append(value["state"])
        self.status = value
        return StoreDone(version=6)


class Schedulers:
    """Records the engines reserved for each service."""

    def __init__(self):
        self.reserved_by_service = {}

    def set_rollout(self, service, rollout, reserved):
        self.reserved_by_service[service] = reserved

    def runs_by_version(self, service):
        return {}


class SilentBroadcast:
    """A broadcast that sends to no router; ``deliver`` passes a message to its handler."""

    def on(self, message_type, *, key, handler):
        self.deliver = handler

    def send(self, message):
        pass


class CoordinatorTest(unittest.TestCase):
    def start(self, store):
        self.schedulers, self.broadcast = Schedulers(), SilentBroadcast()
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
        self.assertEqual(self.schedulers.reserved_by_service["s"], {"e2"})
        await self.pass_time(coordinator, 1.0)
        self.assertEqual(self.schedulers.reserved_by_service["s"], {"e2"})
        await coordinator.close()

    @on_paused_clock
    async def test_verdict_of_a_coordinator_that_died_is_written_by_the_next(self):
        # The previous coordinator reported the rollback to all routers and died before writing it to the store: the
        # operator's platform kept running the bad version, and the rollout's time ran out without a status.
        store = OrderStore(status={"state": "running", "target": "v2"})
        coordinator = self.start(store)
        self.broadcast.deliver(RolloutWord(service="s", target="v2", state=RolloutState.ROLLED_BACK))
        await self.pass_time(coordinator, 1.0)
        self.assertEqual(store.written, ["rolled_back"])
        self.assertEqual(self.schedulers.reserved_by_service["s"], {"e2"})
        await coordinator.close()

    @on_paused_clock
    async def test_restart_of_all_routers_does_not_renew_the_slack_of_an_untested_version(self):
        # All routers lose power during a trial, and its counts are lost; the store says that the rollout is running.
        # Counting from zero would give a bad version the slack again with each restart.
        for status, most in ((None, SLACK), ({"state": "running", "target": "v2"}, 0)):
            with self.subTest(status=status):
                coordinator = self.start(OrderStore(status=status))
                await self.pass_time(coordinator, 1.0)
                exposure = coordinator.rollout_by_service["s"].exposure
                exposed = 0
                for _ in range(SLACK):
                    now = asyncio.get_running_loop().time()
                    is_target = exposure.may_expose("r", now)
                    exposure.record_grant("r", is_target=is_target, now=now)
                    exposed += is_target
                self.assertLessEqual(exposed, SHARE * SLACK + most)
                self.assertEqual(exposed > 0, most > 0)
                await coordinator.close()

    @on_paused_clock
    async def test_final_state_in_the_store_is_never_replaced(self):
        # A scheduler unknown to this one has written that the rollout is completed.
        store = OrderStore(status={"state": "completed", "target": "v2"})
        coordinator = self.start(store)
        await self.pass_time(coordinator, 1.0)
        self.broadcast.deliver(RolloutWord(service="s", target="v2", state=RolloutState.ROLLED_BACK))
        await self.pass_time(coordinator, 1.0)
        self.assertEqual(store.written, [])
        self.assertEqual(self.schedulers.reserved_by_service["s"], {"e1"})
        await coordinator.close()


class OrderTest(unittest.TestCase):
    def read(self, specification, status=None):
        return read_rollout("s", 7, {"specification": specification, "status": status})

    def test_invalid_orders_are_rejected(self):
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
        written = rollout_status("v3", RolloutState.ROLLED_BACK)
        self.assertIs(self.read(order, written).state, RolloutState.ROLLED_BACK)


if __name__ == "__main__":
    unittest.main()
