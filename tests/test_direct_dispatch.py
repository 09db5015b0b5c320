"""Plain calls that an entry dispatches itself because the scheduler of their cell does not answer."""

import asyncio
import unittest
from collections import Counter, defaultdict

from tests.test_rollout_decisions import SilentBroadcast
from tests.utils.paused_clock import now, on_paused_clock
from tests.utils.scheduler_fakes import Clock, FakeEntries, ask, engine
from tests.utils.scheduling_replay import FakeCaller, NoCrashes, caller_request, make_entry
from wagtailtrestle.capacity.features import Features
from wagtailtrestle.capacity.retry_budget import RetryLimits
from wagtailtrestle.capacity.scheduler import Scheduler
from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN, Declaration, Service
from wagtailtrestle.contracts.exchange import AnswerWhole, CallerGone, RunEnded, StartRun
from wagtailtrestle.contracts.messages import (
    EngineNotice,
    Granted,
    GrantRequest,
    Refused,
    Register,
    RunFinished,
    Withdraw,
)
from wagtailtrestle.contracts.outcomes import Executed, Reason, RunCut, RunDone, RunNotSent
from wagtailtrestle.contracts.rollout_messages import RolloutState, RolloutWord
from wagtailtrestle.engines.notices import EngineNotices
from wagtailtrestle.engines.policies import PredictedFinish
from wagtailtrestle.entry.direct_dispatch import DirectDispatch
from wagtailtrestle.platform.adapter import PlatformAdapter
from wagtailtrestle.rollouts.coordinator import Coordinator
from wagtailtrestle.rollouts.versions import unproven_names

CELL = "asistente"
AFTER_S = 0.04
WORK_S = 0.0225
TARGET_S, DEADLINE_S = 0.163, 0.68
MARGIN_S = 0.002
REFUSED = RunNotSent(detail="full", arrived=True)
NO_CONNECTION = RunNotSent(detail="no connection")
BROKEN = RunCut(detail="cut", reached=False)


def declaration(*, engines=4, slots=6, kind=PLAIN):
    return Declaration(
        organisation="",
        zones_by_region={},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={CELL: Service(name=CELL, kind=kind, routes_by_name={})},
        engines_by_name={f"e{number}": engine(f"e{number}", slots=slots) for number in range(engines)},
    )


class Caller(FakeCaller):
    """One request's caller, whose runs last ``world.work_s``."""

    def __init__(self, world, request_id):
        super().__init__()
        self.world, self.request_id, self.answered_at = world, request_id, None

    def post(self, command):
        super().post(command)
        if isinstance(command, StartRun):
            self.world.start(self, command)
        else:
            self.answered_at = now()


class World:
    """An entry, engines with slots, and a scheduler that does not answer while it is frozen."""

    def __init__(self, *, after_s=AFTER_S, routers=1, reserved=(), work_s=WORK_S, kind=PLAIN, crashes=None, **engines):
        self.loop = asyncio.get_running_loop()
        self.declaration = declaration(kind=kind, **engines)
        self.work_s = work_s
        self.outcomes = []
        self.frozen = True
        self.held = []
        self.callers_by_id = {}
        self.running_by_engine = defaultdict(int)
        self.max_running = 0
        self.counts = Counter()
        self.entry, self.sent = make_entry(
            loop=self.loop,
            declaration=self.declaration,
            crashes=crashes or NoCrashes(),
            features=lambda: Features(direct_after_s=after_s),
            routers=lambda cell: routers,
            reserved_engines=lambda service, engines: frozenset(reserved),
            count=lambda name, **labels: self.counts.update([name]),
        )
        self.sent.send = self._send
        self.scheduler = Scheduler(
            cell=CELL,
            policy=PredictedFinish(prefill_weight=0.5),
            clock=self.loop.time,
            entries=self,
            retry_limits=lambda: RetryLimits(share=0.2, extra=24.0, window_s=10.0, routers=1),
            features=lambda: Features(direct_after_s=after_s),
            serves_plain_calls=True,
        )
        self.scheduler.set_engines(self.declaration.engines_by_name)
        self.scheduler.set_members({"r1"})
        self.scheduler.receive(self.entry.register(CELL))

    def _send(self, *, cell, message):
        self.sent.sent.append(message)
        self.held.append(message)
        if not self.frozen:
            self.loop.call_soon(self._deliver)
        return True

    def _deliver(self):
        held, self.held = self.held, []
        for message in held:
            self.scheduler.receive(message)

    def send(self, *, entry, message):
        """Deliver a message of the scheduler to the entry, as the scheduler's ``EntryLink``."""
        if entry != "r1":
            return True
        self.loop.call_later(0.001, self.entry.on_scheduler_message, message)
        return True

    def thaw(self):
        self.frozen = False
        self._deliver()

    def start(self, caller, command):
        outcome = self.outcomes.pop(0) if self.outcomes else RunDone()
        if self.running_by_engine[command.engine] >= self.declaration.engines_by_name[command.engine].slots:
            outcome = REFUSED
        is_running = outcome not in (REFUSED, NO_CONNECTION)
        self.running_by_engine[command.engine] += is_running
        self.max_running = max(self.max_running, sum(self.running_by_engine.values()))
        self.loop.call_later(self.work_s if is_running else 0.001, self._end, caller, command, outcome, is_running)

    def _end(self, caller, command, outcome, is_running):
        self.running_by_engine[command.engine] -= is_running
        ended = RunEnded(run_id=command.run_id, outcome=outcome, duration_s=self.work_s)
        self.entry.post(caller.request_id, ended)

    def call(self, request_id="q", *, repeatable=False, **fields):
        caller = self.callers_by_id[request_id] = Caller(self, request_id)
        fields = {"deadline": now() + DEADLINE_S} | fields
        self.entry.submit(caller_request(request_id, repeatable=repeatable, **fields), caller)
        return caller

    def sent_of(self, kind):
        return [message for message in self.sent.sent if isinstance(message, kind)]


class LoadTest(unittest.TestCase):
    async def serve(self, **parts):
        """Send 100 calls during the first 0.3 s of a second without a scheduler; return the world and the delays."""
        world = World(**parts)
        world.loop.call_later(1.0, world.thaw)
        sent_at = {}
        for number in range(100):
            sent_at[f"q{number}"] = now()
            world.call(f"q{number}", tier=number % 3)
            await asyncio.sleep(0.003)
        await asyncio.sleep(2.0)
        answered = {
            name: caller for name, caller in world.callers_by_id.items() if isinstance(caller.answer, AnswerWhole)
        }
        return world, {name: caller.answered_at - sent_at[name] for name, caller in answered.items()}

    @on_paused_clock
    async def test_most_calls_are_answered_in_time_while_the_scheduler_is_silent(self):
        # Guards against the loss of all plain calls in the second until a dead scheduler is detected.
        world, delays_s = await self.serve(routers=3)
        in_time = sum(delay_s <= TARGET_S for delay_s in delays_s.values())
        print(f"{in_time} of 100 calls in time, {len(delays_s)} answered, {world.counts['direct_runs']} direct runs")
        self.assertGreaterEqual(in_time, 95)
        self.assertEqual(world.counts["direct_runs"], len(delays_s))
        self.assertLessEqual(world.max_running, 8)
        self.assertEqual(world.scheduler.dump()["running"], {})

    @on_paused_clock
    async def test_calls_of_the_highest_tier_are_answered_in_time_beyond_the_bound(self):
        # Guards against a bound of 6 runs, too few for these calls, that is shared without regard to tiers.
        world, delays_s = await self.serve(routers=4)
        in_time_by_tier = Counter(int(name[1:]) % 3 for name, delay_s in delays_s.items() if delay_s <= TARGET_S)
        print(f"calls in time by tier, with capacity for four fifths: {dict(in_time_by_tier)}")
        self.assertEqual(in_time_by_tier[0], 34)
        self.assertLessEqual(world.max_running, 6)

    @on_paused_clock
    async def test_the_calls_are_lost_with_the_feature_off(self):
        # Shows the load that the feature is for.
        world, delays_s = await self.serve(routers=3, after_s=0.0)
        self.assertEqual(delays_s, {})
        self.assertEqual((world.counts["direct_runs"], world.counts["runs"]), (0, 0))


class FailureTest(unittest.TestCase):
    @on_paused_clock
    async def test_grant_crosses_with_the_withdrawal(self):
        # Guards against a second dispatch, and a slot held for ever, when the scheduler recovers during a direct run.
        world = World(work_s=0.2)
        caller = world.call()
        await asyncio.sleep(AFTER_S + MARGIN_S)
        self.assertEqual(len(caller.starts), 1)
        world.thaw()
        await asyncio.sleep(0.05)
        self.assertEqual(world.scheduler.dump()["running"], {"q": caller.starts[0].engine})
        await asyncio.sleep(0.3)
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(len(caller.starts), 1)
        self.assertEqual(world.scheduler.dump()["running"], {})

    @on_paused_clock
    async def test_grant_of_a_scheduler_that_missed_the_withdrawal_is_returned(self):
        # Guards against an engine that looks busy for ever: the grant was made on another engine and the withdrawal
        # was lost with its connection.
        world = World(work_s=0.2)
        caller = world.call()
        await asyncio.sleep(AFTER_S + MARGIN_S)
        world.held = [message for message in world.held if not isinstance(message, Withdraw)]
        world.thaw()
        await asyncio.sleep(0.05)
        self.assertEqual(world.scheduler.dump()["running"], {"q": caller.starts[0].engine})
        await asyncio.sleep(0.3)
        self.assertEqual((len(caller.starts), world.scheduler.dump()["running"]), (1, {}))

    @on_paused_clock
    async def test_grant_that_arrives_with_the_timer_takes_precedence(self):
        # Guards against a direct run beside a grant that the request has already received.
        world = World()
        caller = world.call()
        grant = Granted(
            request_id="q", attempt=1, engine="e0", progress_deadline_s=DEADLINE_S, first_token_deadline_s=DEADLINE_S
        )
        world.loop.call_at(AFTER_S, world.entry.on_scheduler_message, grant)
        await asyncio.sleep(0.2)
        self.assertEqual([start.engine for start in caller.starts], ["e0"])
        self.assertEqual(world.counts["direct_runs"], 0)

    @on_paused_clock
    async def test_request_whose_caller_leaves_with_the_timer_is_not_dispatched(self):
        # Guards against a booking for a caller that was told that it was not executed.
        world = World()
        caller = world.call()
        world.loop.call_at(AFTER_S, world.entry.post, "q", CallerGone())
        await asyncio.sleep(0.2)
        self.assertEqual((caller.starts, caller.answer.refusal.executed), ([], Executed.NO))

    @on_paused_clock
    async def test_request_is_withdrawn_before_its_direct_run(self):
        # Guards against a recovered scheduler that keeps the request in its queue and grants it a slot much later.
        world = World()
        messages_before_start = []
        world.start = lambda caller, command: messages_before_start.extend(world.sent.sent)
        world.call()
        await asyncio.sleep(AFTER_S + MARGIN_S)
        self.assertEqual(messages_before_start[-1], Withdraw(request_id="q"))

    @on_paused_clock
    async def test_refusal_by_the_engine_leads_to_the_scheduler_and_to_no_direct_retry(self):
        # Guards against retries outside the budget: the engine received the request, so another run is a retry.
        world = World()
        world.outcomes = [REFUSED]
        caller = world.call()
        await asyncio.sleep(DEADLINE_S + 0.1)
        self.assertEqual((len(caller.starts), world.counts["direct_runs"]), (1, 1))
        again = world.sent_of(GrantRequest)[-1]
        self.assertEqual((again.attempt, again.is_retry), (2, True))
        self.assertEqual(again.excluded_engines, (caller.starts[0].engine,))
        self.assertEqual(caller.answer.refusal.executed, Executed.NO)

    @on_paused_clock
    async def test_refused_request_runs_on_another_engine_once_the_scheduler_answers(self):
        world = World()
        world.outcomes = [REFUSED]
        caller = world.call()
        await asyncio.sleep(0.1)
        world.thaw()
        await asyncio.sleep(0.1)
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertNotEqual(caller.starts[0].engine, caller.starts[1].engine)

    @on_paused_clock
    async def test_connection_that_cannot_be_made_leads_to_one_more_direct_run(self):
        # Guards against a call lost to one dead engine, and against a call that tries all engines in turn.
        world = World()
        world.outcomes = [NO_CONNECTION, NO_CONNECTION]
        caller = world.call()
        await asyncio.sleep(DEADLINE_S + 0.1)
        self.assertEqual(len({start.engine for start in caller.starts}), 2)
        self.assertEqual(len(caller.starts), 2)
        self.assertEqual(caller.answer.refusal.executed, Executed.NO)

    @on_paused_clock
    async def test_new_scheduler_counts_registered_direct_runs(self):
        # Guards against overfilled engines: the new scheduler granted nothing of what runs there.
        world = World(engines=1, slots=1, work_s=0.3)
        world.call()
        await asyncio.sleep(AFTER_S + MARGIN_S)
        entries, clock = FakeEntries(), Clock()
        scheduler = Scheduler(cell=CELL, policy=PredictedFinish(prefill_weight=0.5), clock=clock, entries=entries)
        scheduler.set_engines(world.declaration.engines_by_name)
        scheduler.receive(world.entry.register(CELL))
        scheduler.receive(ask("other", entry="r2"))
        self.assertEqual(entries.ids(Granted), [])
        world.held.clear()
        await asyncio.sleep(0.4)
        for message in world.held:
            scheduler.receive(message)
        self.assertEqual(entries.ids(Granted), ["other"])

    @on_paused_clock
    async def test_request_that_may_not_be_repeated_is_lost_with_its_connection(self):
        # Guards against a booking made twice: after the broken connection neither a direct run nor a grant follows.
        world = World()
        world.outcomes = [BROKEN]
        caller = world.call()
        await asyncio.sleep(AFTER_S + WORK_S + MARGIN_S)
        self.assertEqual(caller.answer.refusal.executed, Executed.UNKNOWN)
        world.thaw()
        await asyncio.sleep(DEADLINE_S)
        self.assertEqual(len(caller.starts), 1)
        self.assertEqual(world.scheduler.dump()["running"], {})

    @on_paused_clock
    async def test_retry_of_a_lost_direct_run_waits_for_the_scheduler(self):
        # Guards against retries that the scheduler's budget does not count.
        world = World()
        world.outcomes = [BROKEN]
        caller = world.call(repeatable=True)
        await asyncio.sleep(0.3)
        self.assertEqual(len(caller.starts), 1)
        world.thaw()
        await asyncio.sleep(0.1)
        self.assertEqual((len(caller.starts), world.counts["direct_runs"]), (2, 1))
        self.assertIsInstance(caller.answer, AnswerWhole)


class BoundTest(unittest.TestCase):
    @on_paused_clock
    async def test_calls_beyond_the_bound_wait_and_the_highest_tier_is_next(self):
        # Guards against engines flooded by all routers together, and against a low tier served first.
        world = World(routers=30)
        low = world.call("low0", tier=2)
        await asyncio.sleep(0.001)
        others = [world.call("low1", tier=2), world.call("high", tier=0)]
        await asyncio.sleep(AFTER_S + MARGIN_S)
        self.assertEqual([len(caller.starts) for caller in (low, *others)], [1, 0, 0])
        await asyncio.sleep(WORK_S)
        self.assertEqual([len(caller.starts) for caller in (low, *others)], [1, 0, 1])
        await asyncio.sleep(0.1)
        self.assertTrue(all(isinstance(caller.answer, AnswerWhole) for caller in (low, *others)))
        self.assertEqual(world.max_running, 1)

    @on_paused_clock
    async def test_call_whose_caller_leaves_gives_its_place_up(self):
        # Guards against a place that stays taken after the end of its run.
        world = World(routers=30)
        world.outcomes = [BROKEN]
        world.call("first")
        await asyncio.sleep(0.1)
        second = world.call("second")
        await asyncio.sleep(0.1)
        self.assertIsInstance(second.answer, AnswerWhole)

    @on_paused_clock
    async def test_nothing_runs_directly_without_a_trusted_view(self):
        # Guards against dispatch by outdated lists after a pause, and beside a scheduler in this process.
        world = World(routers=0)
        caller = world.call()
        await asyncio.sleep(0.5)
        self.assertEqual(caller.starts, [])


class LivingSchedulerTest(unittest.TestCase):
    @on_paused_clock
    async def test_answer_for_another_request_shows_that_the_scheduler_is_alive(self):
        # Guards against calls that overtake higher tiers while a loaded scheduler answers slowly.
        world = World()
        caller = world.call()
        world.call("other")
        await asyncio.sleep(AFTER_S / 2)
        refused = Refused(request_id="other", attempt=1, reason=Reason.OVERLOADED, retry_after_s=1.0)
        world.entry.on_scheduler_message(refused)
        await asyncio.sleep(DEADLINE_S)
        self.assertEqual(caller.starts, [])

    @on_paused_clock
    async def test_call_queued_by_a_live_scheduler_waits_for_its_slot(self):
        # Guards against a direct run, refused by the full engine, while the scheduler only waits for a free slot.
        world = World(engines=1, slots=1)
        world.thaw()
        world.scheduler.set_members({"r1", "r2"})
        world.scheduler.receive(Register(entry="r2", cell=CELL))
        world.scheduler.receive(ask("other", entry="r2"))
        world.running_by_engine["e0"] += 1
        caller = world.call()
        await asyncio.sleep(0.1)
        self.assertIsNone(caller.answer)
        world.running_by_engine["e0"] -= 1
        world.scheduler.receive(RunFinished(request_id="other", engine="e0", result="RunDone", duration_s=0.1))
        await asyncio.sleep(0.1)
        self.assertIsInstance(caller.answer, AnswerWhole)
        self.assertEqual(world.counts["direct_runs"], 0)

    def test_timers_delayed_by_this_process_do_not_count_as_silence(self):
        # Guards against direct runs on a router without processor time, whose answers are still unread.
        clock = Clock()
        direct = DirectDispatch(
            features=lambda: Features(direct_after_s=AFTER_S),
            declaration=declaration,
            notices=EngineNotices(router="r1", clock=clock),
            occupancy=lambda engine: 0,
            routers=lambda cell: 1,
            reserved_engines=lambda service, engines: frozenset(),
            clock=clock,
        )
        wait = direct.begin_wait(ask("q"), direct_runs=0, wake=lambda: None)
        clock.now += 2 * AFTER_S
        self.assertIsNone(direct.start_run(wait))
        clock.now = wait.check_at
        self.assertIsNotNone(direct.start_run(wait))

    @on_paused_clock
    async def test_place_offered_to_an_earlier_wait_does_not_shorten_the_next_one(self):
        # Guards against a direct run beside a scheduler that has just answered: its grant was declined, and the
        # request is waiting for the answer to its next grant request.
        world = World(routers=30, work_s=0.05)
        world.call("first")
        waiting = world.call("second")
        await asyncio.sleep(AFTER_S + MARGIN_S)
        world.entry.post("", EngineNotice(engine="e0", entry="r1", age_s=0.0, leaving=True))
        grant = Granted(
            request_id="second", attempt=1, engine="e0", progress_deadline_s=1.0, first_token_deadline_s=1.0
        )
        await asyncio.sleep(AFTER_S)
        world.entry.on_scheduler_message(grant)
        asked_at = now()
        while not waiting.starts:
            await asyncio.sleep(0.001)
        self.assertGreaterEqual(round(now() - asked_at, 6), AFTER_S)

    @on_paused_clock
    async def test_nothing_is_dispatched_after_the_deadline(self):
        # Guards against a booking for a caller that has given up: the timer of the direct run, set shortly before the
        # deadline, is processed after it.
        loop = asyncio.get_running_loop()
        clock, delays_s = loop.time, []
        loop.time = lambda: clock() + sum(delays_s)
        world = World()
        caller = world.call(deadline=AFTER_S + 0.005)
        loop.call_at(AFTER_S - 0.001, delays_s.append, 0.01)
        await asyncio.sleep(0.2)
        self.assertEqual((caller.starts, caller.answer.refusal.executed), ([], Executed.NO))


class ExclusionTest(unittest.TestCase):
    async def engines_used(self, world, **fields):
        for number in range(12):
            world.call(f"q{number}", **fields)
        await asyncio.sleep(0.1)
        return {start.engine for caller in world.callers_by_id.values() for start in caller.starts}

    @on_paused_clock
    async def test_engines_are_used_evenly(self):
        world = World(work_s=0.1)
        await self.engines_used(world)
        self.assertEqual(set(world.running_by_engine.values()), {3})

    @on_paused_clock
    async def test_drains_back_offs_and_limits_that_the_router_received_are_kept(self):
        # Guards against requests to engines that asked for none, or that state a limit which all routers share.
        world = World(engines=5)
        for notice in (
            EngineNotice(engine="e0", leaving=True),
            EngineNotice(engine="e1", rest_s=1.0),
            EngineNotice(engine="e2", limit_per_s=100.0),
        ):
            world.entry.post("", notice)
        grant = {"progress_deadline_s": 1.0, "first_token_deadline_s": 1.0, "attempt": 1, "limit_age_s": 0.1}
        world.entry.on_scheduler_message(Granted(request_id="ended", engine="e3", **grant))
        self.assertEqual(await self.engines_used(world), {"e4"})

    @on_paused_clock
    async def test_engines_reserved_for_a_rollout_get_nothing(self):
        self.assertEqual(await self.engines_used(World(reserved={"e0", "e1", "e2"})), {"e3"})

    @on_paused_clock
    async def test_only_plain_calls_that_need_no_engine_alone_run_directly(self):
        class Suspect(NoCrashes):
            def must_run_alone(self, identity, parts=()):
                return True

        self.assertEqual(await self.engines_used(World(kind=LANGUAGE)), set())
        self.assertEqual(await self.engines_used(World(crashes=Suspect())), set())


class UnprovenVersionTest(unittest.TestCase):
    # Guards against requests to a version on trial beyond the share that its coordinator allows.

    def test_all_engines_count_as_reserved_between_two_versions(self):
        engines = list(declaration(engines=3).engines_by_name.values())
        self.assertEqual(unproven_names(engines, trial_versions=set()), frozenset())
        engines[0].version = "v2"
        self.assertEqual(unproven_names(engines, trial_versions=set()), {"e0", "e1", "e2"})

    def test_single_version_is_used_by_the_state_of_its_rollout(self):
        coordinator = Coordinator(
            store=None,
            adapter=PlatformAdapter(),
            schedulers=None,
            broadcast=SilentBroadcast(),
            own_services=tuple,
            engines=dict,
            share=0.1,
            slack=50,
            clock=Clock(),
        )
        engines = list(declaration(engines=2).engines_by_name.values())
        states = (("v1", RolloutState.RUNNING), ("v1", RolloutState.COMPLETED), ("v2", RolloutState.ROLLED_BACK))
        used_by_state = {}
        for target, state in states:
            coordinator.on_progress(RolloutWord(service=CELL, target=target, state=state))
            for version in ("v1", "v2", "v3"):
                for each in engines:
                    each.version = version
                if not coordinator.unproven_engines(CELL, engines):
                    used_by_state.setdefault(state, []).append(version)
        # The completed v1 is not used after the later order, as this router does not keep that it was completed.
        self.assertEqual(used_by_state, {RolloutState.COMPLETED: ["v1"], RolloutState.ROLLED_BACK: ["v3"]})


if __name__ == "__main__":
    unittest.main()
