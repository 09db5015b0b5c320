"""Scheduler of one cell: grants, engine state, refusals, registration, process pauses."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, engine, finished, register, report, running
from wagtailtrestle.capacity.admission import MAX_WAITING, MAX_WORK_S
from wagtailtrestle.capacity.registration import RECOVERY_TIMEOUT_S
from wagtailtrestle.contracts.messages import Granted, Preempt, Refused, RunProgress, Withdraw
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.contracts.report_messages import CacheEvents


class GrantTest(unittest.TestCase):
    def test_higher_tier_gets_the_next_free_slot(self):
        cell = Cell()
        cell.receive(ask("run0"), ask("run1"), ask("low", tier=2), ask("high", tier=0), finished("run0"))
        self.assertEqual(cell.entries.ids(Granted), ["run0", "run1", "high"])

    def test_engines_are_filled_to_their_slots(self):
        cell = Cell(engines=("e1", "e2"), slots=3)
        cell.receive(*[ask(f"r{number}") for number in range(10)])
        self.assertEqual(len(cell.entries.of(Granted)), 6)
        self.assertEqual(cell.scheduler.digest().waiting_by_tier, {1: 4})

    def test_granted_carries_silence_limits(self):
        # A limit below the engine's normal speed would treat a slow run as a dead one.
        cell = Cell()
        cell.receive(ask("long", prompt_tokens=4000, remaining_s=60.0))
        granted = cell.entries.of(Granted)[0]
        self.assertGreaterEqual(granted.progress_deadline_s, 1.0)
        self.assertGreater(granted.first_token_deadline_s, 2 * 4000 / 1000.0)

    def test_excluded_and_leaving_engines_get_no_grant(self):
        cell = Cell(engines=("e1", "e2", "e3"))
        cell.scheduler.mark_leaving("e2")
        cell.receive(ask("r", excluded_engines=("e1",)))
        self.assertEqual(cell.entries.of(Granted)[0].engine, "e3")
        cell.receive(ask("s", excluded_engines=("e1", "e3")))
        self.assertEqual(cell.entries.of(Refused)[0].reason, Reason.NO_ENGINE)

    def test_new_declaration_does_not_clear_a_leaving_mark(self):
        # The platform's list marks an engine as leaving, then a declaration without that mark is applied. New runs on
        # the engine would be cut when its VM goes away.
        cell = Cell()
        cell.scheduler.mark_leaving("e1")
        cell.scheduler.set_engines({"e1": engine("e1"), "e2": engine("e2")})
        cell.receive(ask("r0"), ask("r1"), ask("r2"))
        self.assertEqual({granted.engine for granted in cell.entries.of(Granted)}, {"e2"})

    def test_engine_that_reports_leaving_gets_no_grant(self):
        cell = Cell()
        cell.scheduler.on_load_report(report(leaving=True))
        cell.receive(ask("r"))
        self.assertEqual(cell.entries.ids(Granted), [])

    def test_draining_scheduler_grants_nothing(self):
        cell = Cell()
        cell.scheduler.stop_granting()
        cell.receive(ask("r"))
        self.assertEqual(cell.entries.sent, [])

    def test_unreachable_engine_gets_no_grant_until_it_reports(self):
        cell = Cell()
        cell.scheduler.on_unreachable("e1")
        cell.receive(ask("r"))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.scheduler.on_load_report(report())
        self.assertEqual(cell.entries.ids(Granted), ["r"])


class FloodTest(unittest.TestCase):
    def test_a_flood_is_refused_from_the_lowest_tier_and_stays_bounded(self):
        # More requests arrive at once than may wait. Without measurements no predicted wait refuses any, so the queue
        # would grow for as long as the flood lasts. The lowest tier is refused first and immediately, with a
        # Retry-After that covers the work that waits.
        cell = Cell(engines=tuple(f"e{number}" for number in range(9)), slots=16)
        cell.receive(*[ask(f"low{number}", tier=3, remaining_s=900.0) for number in range(MAX_WAITING)])
        cell.receive(*[ask(f"high{number}", tier=0, remaining_s=900.0) for number in range(MAX_WAITING // 2)])
        refused = cell.entries.of(Refused)
        self.assertEqual(sum(cell.scheduler.digest().waiting_by_tier.values()), MAX_WAITING)
        self.assertEqual({each.request_id[:3] for each in refused}, {"low"})
        self.assertEqual({each.reason for each in refused}, {Reason.OVERLOADED})
        self.assertGreater(refused[-1].retry_after_s, 10.0)

    def test_few_very_long_requests_are_bounded_by_their_work(self):
        cell = Cell(slots=1)
        cell.receive(*[ask(f"r{number}", output_tokens=20_000, remaining_s=9000.0) for number in range(9)])
        self.assertLessEqual(cell.scheduler._queue.work_s, MAX_WORK_S)
        self.assertEqual(len(cell.entries.of(Refused)) + cell.scheduler.digest().waiting_by_tier[1], 8)


class MessagesTest(unittest.TestCase):
    def test_duplicate_request_takes_one_slot(self):
        # The entry repeats its request because it saw no answer. The duplicate must repeat the answer and take no
        # second slot.
        cell = Cell(slots=1)
        cell.receive(ask("r"), ask("w", tier=0, repeatable=False), ask("r"))
        self.assertEqual(cell.entries.ids(Granted), ["r", "r"])
        self.assertEqual(cell.scheduler.digest().waiting_by_tier, {0: 1})

    def test_delayed_duplicate_of_an_ended_request_takes_no_slot(self):
        # A duplicate arrives after its run ended. If granted, it would hold a slot forever, as no entry would finish
        # it.
        cell = Cell()
        cell.receive(ask("r"), finished("r"), ask("r"))
        self.assertEqual(cell.scheduler.digest().free, 2)
        cell.receive(ask("w", attempt=2), Withdraw(request_id="w"), ask("w", attempt=1))
        self.assertEqual(cell.scheduler.digest().free, 2)

    def test_newer_attempt_replaces_the_older(self):
        cell = Cell()
        cell.receive(ask("r"), ask("r", attempt=2))
        self.assertEqual([granted.attempt for granted in cell.entries.of(Granted)], [1, 2])
        self.assertEqual(cell.scheduler.digest().free, 1)

    def test_end_of_an_unknown_run_is_ignored(self):
        cell = Cell()
        cell.receive(ask("r"), finished("other"), finished("r", on="e9"))
        self.assertEqual(cell.scheduler.digest().free, 1)

    def test_slot_returned_unused_does_not_affect_engine_health(self):
        # There are two schedulers for a moment, and every grant of one is returned unused. Counted as failures, these
        # would eject a healthy engine.
        cell = Cell(engines=("e1", "e2", "e3"))
        for number in range(20):
            request = ask(f"r{number}", excluded_engines=("e2", "e3"))
            cell.receive(request, finished(f"r{number}", result="RunNotSent", duration_s=0.0))
        cell.advance(0.1)
        self.assertEqual(cell.scheduler.digest().free, 6)


class LoadReportTest(unittest.TestCase):
    def test_delayed_report_does_not_count_runs_ended_since(self):
        # The report shows two runs, but it is 0.5 s old and both ended 0.2 s ago. Read as the current state, it would
        # leave both slots empty until the next report.
        cell = Cell()
        cell.receive(ask("a"), ask("b"))
        cell.advance(1.0)
        cell.receive(finished("a"), finished("b"))
        cell.advance(0.2)
        cell.scheduler.on_load_report(report(age_s=0.5, running=2))
        self.assertEqual(cell.scheduler.digest().free, 2)

    def test_delayed_report_does_not_hide_runs_granted_since(self):
        cell = Cell()
        cell.receive(ask("a"), ask("b"))
        cell.scheduler.on_load_report(report(age_s=0.5, running=0))
        self.assertEqual(cell.scheduler.digest().free, 0)

    def test_load_of_unknown_origin_counts(self):
        # Another scheduler granted two runs here while the view was split, so slots that look free are not.
        cell = Cell()
        cell.scheduler.on_load_report(report(running=1, waiting=1))
        cell.receive(ask("r"))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.scheduler.on_load_report(report(running=1))
        self.assertEqual(cell.entries.ids(Granted), ["r"])


class CacheTest(unittest.TestCase):
    def test_cache_events_correct_the_assumed_cache(self):
        # The engines are equal, but e2 reports that it has the prompt's prefix cached. After its restart it has nothing
        # cached, and assuming otherwise would send the prompt there without benefit.
        blocks = tuple(range(1, 9))
        cell = Cell(engines=("e1", "e2"))
        cell.scheduler.on_cache_events(CacheEvents(engine="e2", stored=blocks, removed=()))
        cell.receive(ask("r", prompt_tokens=600, prefix_blocks=blocks))
        self.assertEqual(cell.entries.of(Granted)[0].engine, "e2")
        cell.receive(finished("r", on="e2"))
        cell.scheduler.on_cache_events(CacheEvents(engine="e2", stored=(), removed=(), restarted=True))
        held = cell.scheduler._runs.engines_by_name["e2"].cache
        self.assertEqual(held.cached_tokens(blocks), 0)


class RefusalTest(unittest.TestCase):
    def test_infeasible_request_is_refused_immediately(self):
        cell = Cell()
        cell.measure()
        cell.receive(ask("r", output_tokens=1000, remaining_s=5.0))
        refused = cell.entries.of(Refused)[0]
        self.assertEqual((refused.request_id, refused.reason), ("r", Reason.DEADLINE_UNREACHABLE))
        self.assertGreaterEqual(refused.retry_after_s, 1.0)

    def test_infeasible_request_is_refused_while_the_cell_is_full(self):
        cell = Cell()
        cell.measure()
        cell.receive(ask("a"), ask("b"), ask("r", output_tokens=1000, remaining_s=5.0))
        self.assertEqual([message.reason for message in cell.entries.of(Refused)], [Reason.DEADLINE_UNREACHABLE])

    def test_slowdown_by_lower_tiers_does_not_refuse_a_higher_one(self):
        # Long prompts of a lower tier have recently slowed every token fourfold. A question would be late at that
        # speed, but not once no further long prompt is prefilled beside it.
        cell = Cell()
        cell.measure()
        for state in cell.scheduler._runs.engines:
            for _ in range(20):
                state.model.observe_finish(output_tokens=100, decode_s=4.0, mean_concurrency=1)
        cell.receive(ask("q", tier=0, remaining_s=2.5))
        self.assertEqual(cell.entries.ids(Granted), ["q"])
        cell.advance(0.1)
        cell.receive(ask("report", tier=2, prompt_tokens=4000, remaining_s=60.0))
        self.assertEqual(cell.entries.ids(Granted), ["q"])

    def test_cold_model_does_not_refuse_a_possibly_feasible_request(self):
        # The declared figures are too pessimistic. If they led to refusals, no run would ever correct them.
        cell = Cell()
        cell.receive(ask("r", output_tokens=1000, remaining_s=5.0))
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_overload_refuses_requests_that_would_wait_too_long(self):
        # Runs take about 1.1 s, two at a time, so of thirty requests with 5 s only some can be served. The others are
        # refused now rather than at their deadline.
        cell = Cell()
        cell.measure()
        cell.receive(*[ask(f"r{number}", remaining_s=5.0) for number in range(30)])
        refused = cell.entries.of(Refused)
        self.assertEqual({message.reason for message in refused}, {Reason.OVERLOADED})
        self.assertGreater(len(refused), 15)
        self.assertGreater(cell.scheduler.digest().waiting_by_tier[1], 3)

    def test_no_higher_tier_is_refused_while_a_lower_waits(self):
        # The queue of the higher tier is too long for its deadline, but a lower tier waits too and must be refused
        # first.
        cell = Cell()
        cell.measure()
        cell.receive(ask("run0", tier=0, repeatable=False), ask("run1", tier=0, repeatable=False))
        cell.receive(ask("low", tier=2, remaining_s=600.0))
        cell.receive(*[ask(f"r{number}", remaining_s=5.0) for number in range(30)])
        self.assertEqual(cell.entries.ids(Refused), [])

    def test_request_past_its_latest_start_is_refused_before_its_deadline(self):
        cell = Cell()
        cell.receive(ask("a", repeatable=False), ask("b", repeatable=False), ask("r", remaining_s=3.0))
        cell.advance(2.2)
        self.assertEqual(cell.entries.ids(Refused), ["r"])

    def test_no_grant_that_would_delay_a_run_past_its_deadline(self):
        # A run has 1 s of slack. A prompt with 4 s of prefill on the same engine would delay the run's tokens by as
        # much, and the run's own prefill would be wasted.
        cell = Cell()
        cell.measure()
        cell.receive(ask("tight", remaining_s=2.5))
        cell.advance(0.1)
        cell.receive(ask("report", prompt_tokens=4000, remaining_s=60.0))
        self.assertEqual(cell.entries.ids(Granted), ["tight"])
        cell.receive(finished("tight"))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Granted), ["tight", "report"])


class RegistrationTest(unittest.TestCase):
    def test_a_new_scheduler_waits_for_every_member(self):
        # A new scheduler does not know the other entries' runs yet. Granting immediately would overfill engines to
        # twice their slots.
        cell = Cell(members=("r1", "r2"))
        cell.receive(register("r1", waiting=[ask("r")]))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.receive(register("r2", running=[running(ask("x", entry="r2")), running(ask("y", entry="r2"))]))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.receive(finished("x"))
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_entry_that_still_uses_another_scheduler_is_awaited(self):
        # The scheduler died and r1 is the next one in its own view. It requests r2's registration, but r2 does not
        # know of the death yet and answers that it uses another scheduler. Read as "r2 runs nothing", that answer led
        # to an engine filled to twice its slots: the excess runs waited in its queue and were abandoned as silent
        # after two seconds, and a question lost its last run.
        cell = Cell(members=("r1", "r2"))
        cell.receive(register("r1", waiting=[ask("r")]), register("r2", elsewhere=True))
        self.assertEqual(cell.entries.ids(Granted), [])
        self.assertEqual(cell.scheduler.awaited_entries, {"r2"})
        cell.receive(register("r2", running=[running(ask("x", entry="r2")), running(ask("y", entry="r2"))]))
        self.assertEqual(cell.entries.ids(Granted), [])

    def test_resumed_scheduler_awaits_registrations_again(self):
        # This router was scheduler when the fleet started, then another one was, which has now died. The registrations
        # from long ago don't include what the other one granted since: the engine is full.
        cell = Cell(slots=2, members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"))
        cell.advance(10.0)
        cell.scheduler.resume()
        cell.receive(register("r1", waiting=[ask("r")]))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.receive(register("r2", running=[running(ask("x", entry="r2")), running(ask("y", entry="r2"))]))
        self.assertEqual(cell.entries.ids(Granted), [])

    def test_recently_registered_entry_is_not_awaited(self):
        cell = Cell(slots=2, members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"))
        cell.advance(10.0)
        cell.receive(register("r2", running=[running(ask("x", entry="r2"))]))
        cell.scheduler.resume()
        self.assertEqual(cell.scheduler.awaited_entries, {"r1"})
        cell.receive(register("r1", waiting=[ask("r")]))
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_runs_of_a_dead_router_are_expected_before_they_are_reported(self):
        # The scheduler died together with an entry whose runs the engine continues. All live routers have registered
        # and none includes these runs: granting immediately filled the engine to twice its slots, and a question in
        # its queue was abandoned as silent.
        cell = Cell(slots=2)
        cell.scheduler.expect_orphans()
        cell.scheduler.set_members(frozenset({"r1"}))
        cell.receive(register("r1", waiting=[ask("r"), ask("s")]))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.scheduler.on_load_report(report(running=1))
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_engine_that_never_reports_is_used_after_recovery(self):
        cell = Cell(slots=2)
        cell.scheduler.expect_orphans()
        cell.scheduler.set_members(frozenset({"r1"}))
        cell.receive(register("r1", waiting=[ask("r")]))
        cell.advance(RECOVERY_TIMEOUT_S + 0.1)
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_runs_of_an_entry_that_switched_schedulers_keep_their_slots(self):
        # Guards against overfilling an engine, so that a question of r1 waits in its queue until its deadline. A
        # restarted scheduler takes the cell back; r2 learns of it first and registers here as using another scheduler.
        # Its run continues nevertheless: if its slot were freed, r1, which does not know yet, would get a second run
        # on it.
        cell = Cell(slots=1, members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"), ask("x", entry="r2"), ask("r"))
        self.assertEqual(cell.entries.ids(Granted), ["x"])
        cell.receive(register("r2", elsewhere=True))
        self.assertEqual(cell.entries.ids(Granted), ["x"])
        cell.advance(0.1)
        cell.scheduler.on_load_report(report(running=1))
        self.assertEqual(cell.entries.ids(Granted), ["x"])
        cell.advance(0.1)
        cell.scheduler.on_load_report(report(running=0))
        self.assertEqual(cell.entries.ids(Granted), ["x", "r"])

    def test_waiting_requests_of_an_entry_that_switched_schedulers_are_dropped(self):
        # The entry sends its requests there now; granted here too, a request would take two slots.
        cell = Cell(slots=1, members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"), ask("x"), ask("y", entry="r2"), ask("r"))
        cell.receive(register("r2", elsewhere=True), finished("x"))
        self.assertEqual(cell.entries.ids(Granted), ["x", "r"])

    def test_entry_that_switches_back_registers_its_runs(self):
        # Slots that it held before it switched schedulers and no longer holds are free immediately, without a report.
        cell = Cell(slots=1, members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"), ask("x", entry="r2"), ask("r"))
        cell.receive(register("r2", elsewhere=True), register("r2"))
        self.assertEqual(cell.entries.ids(Granted), ["x", "r"])

    def test_recovery_is_bounded(self):
        cell = Cell(members=("r1", "silent"))
        cell.receive(register("r1", waiting=[ask("r")]))
        cell.advance(RECOVERY_TIMEOUT_S + 0.1)
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_recovering_scheduler_grants_slots_reported_free(self):
        cell = Cell(engines=("e1", "e2"), members=("r1", "silent"))
        cell.receive(register("r1", waiting=[ask(f"r{number}") for number in range(4)]))
        cell.scheduler.on_load_report(report(on="e1", running=1))
        self.assertEqual([granted.engine for granted in cell.entries.of(Granted)], ["e1"])

    def test_a_registered_run_is_not_counted_twice(self):
        # The engine's report shows a run before its entry has registered it.
        cell = Cell(members=("r1", "r2"))
        cell.scheduler.on_load_report(report(running=1))
        cell.receive(register("r2", running=[running(ask("x", entry="r2"))]))
        self.assertEqual(cell.scheduler.digest().free, 1)

    def test_registration_replaces_the_known_state(self):
        cell = Cell()
        cell.receive(ask("gone"), ask("kept"), ask("waits"), ask("dropped"))
        cell.receive(register("r1", waiting=[ask("waits")], running=[running(ask("kept"))]))
        self.assertEqual(cell.entries.ids(Granted), ["gone", "kept", "waits"])
        self.assertEqual(cell.scheduler.digest().waiting_by_tier, {})

    def test_grant_that_crossed_a_registration_is_resent(self):
        # The entry registered before the grant reached it. A second slot for the same request would be lost, and
        # without an answer the request would wait forever.
        cell = Cell(slots=1)
        cell.receive(ask("r"), ask("w", tier=0, entry="r2"), register("r1", waiting=[ask("r")]))
        self.assertEqual(cell.entries.ids(Granted), ["r", "r"])
        self.assertEqual(cell.scheduler.digest().waiting_by_tier, {0: 1})

    def test_dead_entry_frees_its_slots_only_when_a_report_shows_it(self):
        # Router r2 dies. Its waiting requests are gone, but the engine still executes its runs. Granting their slots
        # immediately would overfill the engine.
        cell = Cell(members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"))
        cell.receive(ask("x", entry="r2"), ask("y", entry="r2"), ask("z", entry="r2"), ask("r"))
        cell.scheduler.set_members(frozenset({"r1"}))
        cell.advance(0.5)
        self.assertEqual(cell.entries.ids(Granted), ["x", "y"])
        cell.scheduler.on_load_report(report(running=1))
        self.assertEqual(cell.entries.ids(Granted), ["x", "y", "r"])

    def test_slot_without_a_reported_end_is_freed_after_its_deadline(self):
        cell = Cell(members=("r1", "r2"))
        cell.receive(register("r1"), register("r2"), ask("x", entry="r2"))
        cell.scheduler.set_members(frozenset({"r1"}))
        cell.advance(14.0)
        self.assertEqual(cell.scheduler.digest().free, 1)
        cell.advance(2.0)
        self.assertEqual(cell.scheduler.digest().free, 2)

    def test_scheduler_discards_its_state_after_a_pause(self):
        # The process is paused for 30 s, while another scheduler serves the cell and fills the engine. After the pause
        # its own state shows both slots free.
        cell = Cell(members=("r1",))
        cell.receive(register("r1"))
        cell.scheduler.on_load_report(report())
        cell.clock.now += 30.0
        cell.receive(ask("r"))
        self.assertEqual(cell.entries.ids(Granted), [])
        self.assertEqual(cell.scheduler.awaited_entries, {"r1"})
        cell.scheduler.on_load_report(report(running=2))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.receive(register("r1", waiting=[ask("r")]))
        cell.scheduler.on_load_report(report(running=1))
        self.assertEqual(cell.entries.ids(Granted), ["r"])

    def test_lost_preemption_is_resent_on_registration(self):
        cell = Cell(slots=1)
        cell.receive(
            ask("low", tier=3, remaining_s=60.0, output_tokens=2000), RunProgress(request_id="low", output_tokens=9)
        )
        cell.receive(ask("high", tier=0, remaining_s=3.0))
        cell.advance(1.0)
        cell.receive(
            register("r1", waiting=[ask("high", tier=0, remaining_s=2.0)], running=[running(ask("low", tier=3))])
        )
        self.assertEqual(cell.entries.ids(Preempt), ["low", "low"])


if __name__ == "__main__":
    unittest.main()
