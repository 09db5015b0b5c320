"""Suspects of crashing engines run alone on an engine, without blocking the cell."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, finished, register, report, running
from wagtailtrestle.capacity.isolation import MAX_SUSPECTS
from wagtailtrestle.contracts.messages import Granted, Refused, Withdraw
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.entry.poison import MIN_CRASHES_TO_ISOLATE, SAME_CRASH_WINDOW_S, CrashTable


def granted_on(cell):
    return {granted.request_id: granted.engine for granted in cell.entries.of(Granted)}


class IsolationTest(unittest.TestCase):
    def test_suspect_gets_an_emptied_engine_to_itself(self):
        # Both engines have runs. A suspect waits for the end of those on one of them; new requests go to the other
        # meanwhile, and to both again once the suspect has ended.
        cell = Cell(engines=("e1", "e2"))
        cell.receive(ask("a", excluded_engines=("e2",)), ask("b", excluded_engines=("e1",), output_tokens=500))
        cell.receive(ask("s", alone=True), ask("c"), ask("d"))
        self.assertEqual(granted_on(cell), {"a": "e1", "b": "e2", "c": "e2"})
        cell.receive(finished("a"), ask("e"))
        self.assertEqual(granted_on(cell)["s"], "e1")
        self.assertEqual(cell.scheduler.digest().waiting_by_tier, {1: 2})
        cell.receive(finished("s"))
        self.assertEqual({granted_on(cell)[name] for name in ("d", "e")}, {"e1"})

    def test_load_known_only_from_a_report_counts(self):
        cell = Cell()
        cell.scheduler.on_load_report(report(running=1))
        cell.receive(ask("s", alone=True))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.advance(0.5)
        cell.scheduler.on_load_report(report(running=0))
        self.assertEqual(cell.entries.ids(Granted), ["s"])

    def test_one_engine_at_a_time(self):
        cell = Cell(engines=("e1", "e2", "e3"))
        cell.receive(ask("s1", alone=True), ask("s2", alone=True), ask("a"), ask("b"))
        self.assertNotIn("s2", granted_on(cell))
        self.assertEqual(len({granted_on(cell)[name] for name in ("a", "b", "s1")}), 3)
        cell.receive(finished("s1", on=granted_on(cell)["s1"]))
        self.assertEqual(granted_on(cell)["s2"], granted_on(cell)["s1"])

    def test_refused_immediately_if_no_engine_empties_in_time(self):
        cell = Cell()
        cell.measure()
        cell.receive(ask("long", output_tokens=5000, remaining_s=100.0), ask("s", alone=True))
        self.assertEqual([refused.reason for refused in cell.entries.of(Refused)], [Reason.DEADLINE_UNREACHABLE])

    def test_refused_immediately_while_another_suspect_is_served(self):
        cell = Cell(engines=("e1", "e2"))
        cell.measure()
        cell.receive(
            ask("long1", output_tokens=5000, remaining_s=100.0),
            ask("s1", output_tokens=3000, remaining_s=60.0, alone=True),
        )
        cell.receive(ask("s2", remaining_s=60.0, alone=True), ask("s3", remaining_s=4.0, alone=True))
        self.assertEqual(cell.entries.ids(Refused), ["s3"])

    def test_a_higher_tier_goes_first(self):
        # A suspect is served after the higher tier, like any other request.
        cell = Cell(slots=1)
        cell.receive(ask("run", tier=0), ask("high", tier=0), ask("s", tier=1, alone=True), finished("run"))
        self.assertEqual(cell.entries.ids(Granted), ["run", "high"])
        cell.receive(finished("high"))
        self.assertEqual(cell.entries.ids(Granted), ["run", "high", "s"])

    def test_only_engine_is_not_reserved_against_a_higher_tier(self):
        # The engine is being emptied for a suspect when a request of a higher tier arrives. If the engine stayed
        # reserved, the slot beside the old run would stay empty while that request waits.
        cell = Cell()
        cell.receive(ask("run"), ask("s", alone=True), ask("high", tier=0))
        cell.advance(0.1)
        self.assertEqual(cell.entries.ids(Granted), ["run", "high"])

    def test_reserved_engine_is_released_for_a_higher_tier_about_to_expire(self):
        cell = Cell(engines=("e1", "e2"), slots=2)
        cell.measure()
        cell.receive(*[ask(f"r{number}", tier=0, repeatable=False, output_tokens=600) for number in range(3)])
        cell.receive(ask("s", remaining_s=30.0, alone=True), ask("high", tier=0, remaining_s=3.5, repeatable=False))
        cell.advance(0.2)
        self.assertNotIn("high", granted_on(cell))
        cell.advance(1.8)
        self.assertIn("high", granted_on(cell))

    def test_withdrawn_suspect_releases_the_engine(self):
        cell = Cell()
        cell.receive(ask("run"), ask("s", alone=True), Withdraw(request_id="s"))
        cell.advance(0.1)
        self.assertEqual(cell.scheduler.digest().free, 1)

    def test_a_new_scheduler_keeps_a_registered_suspect_alone(self):
        cell = Cell(members=("r1",))
        cell.receive(register("r1", running=[running(ask("s", alone=True))]), ask("other"))
        self.assertEqual(cell.entries.ids(Granted), [])

    def test_no_engine_counts_as_empty_until_every_entry_registered(self):
        # A new scheduler has no registration of r2 yet, whose run on the engine the suspect could crash too.
        cell = Cell(members=("r1", "r2"))
        cell.receive(register("r1"), ask("s", alone=True))
        self.assertEqual(cell.entries.ids(Granted), [])
        cell.receive(register("r2"))
        self.assertEqual(cell.entries.ids(Granted), ["s"])

    def test_a_flood_of_suspects_is_bounded(self):
        cell = Cell(engines=("e1", "e2"))
        cell.receive(*[ask(f"s{number}", remaining_s=900.0, alone=True) for number in range(2 * MAX_SUSPECTS)])
        self.assertEqual(len(cell.entries.of(Refused)), MAX_SUSPECTS - 1)


class CrashAttributionTest(unittest.TestCase):
    def test_two_requests_that_always_crash_together_are_distinguished(self):
        # A poison request and an innocent one are retried after each crash of the only engine. Run together each time,
        # they would share the blame and the engine would keep crashing. After the second crash each runs alone: one
        # crashes the engine, the other ends.
        cell = Cell(slots=4)
        table = CrashTable(clock=cell.clock, reporter="r1")
        crashes, answered = 0, False
        for sending in range(2 * MIN_CRASHES_TO_ISOLATE + 2):
            bodies = [body for body in ("poison", "innocent") if not table.is_blocked(body)]
            cell.receive(*[ask(f"{body}{sending}", alone=table.must_run_alone(body)) for body in bodies])
            for _ in bodies:
                on_engine = list(cell.scheduler._runs.grants_by_request_id)
                crashed = f"poison{sending}" in on_engine
                if crashed:
                    crashes += 1
                    table.record_crash("e1", [name.rstrip("0123456789") for name in on_engine])
                elif on_engine:
                    answered = True
                    table.record_success("innocent")
                cell.receive(*[finished(name, result="RunCut" if crashed else "RunDone") for name in on_engine])
                cell.advance(2 * SAME_CRASH_WINDOW_S)
        self.assertTrue(table.is_blocked("poison") and answered)
        self.assertFalse(table.is_blocked("innocent"))
        self.assertEqual(crashes, MIN_CRASHES_TO_ISOLATE + 1)


if __name__ == "__main__":
    unittest.main()
