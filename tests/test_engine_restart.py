"""An engine that restarts under the same name.

It crashed and is back before its entry in the engine list expired. The scheduler's state of it is then wrong: slots
look taken until silent connections are noticed, an empty cache looks warm, and the speed and health are those of
another process. The start time in its entry or its load report reveals the restart.
"""

import dataclasses
import unittest

from tests.utils.scheduler_fakes import Cell, ask, engine, report
from wagtailtrestle.contracts.messages import Granted, Refused
from wagtailtrestle.contracts.outcomes import Reason

FIRST_START_MS = 1_781_425_589_000
SECOND_START_MS = FIRST_START_MS + 5_000


def declared(start_ms, *, leaving=False):
    found = engine("e1", slots=2)
    found.start_ms = start_ms
    found.leaving = leaving
    found.version = "v1"
    return found


class EngineRestartTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=())
        self.set_engine(declared(FIRST_START_MS))
        self.cell.receive(ask("a", prefix_blocks=(1, 2, 3)), ask("b"))
        self.assertEqual(self.granted(), ["a", "b"])

    def set_engine(self, declared_engine):
        self.cell.scheduler.set_engines({"e1": declared_engine})

    def granted(self):
        return self.cell.entries.ids(Granted)

    def state(self):
        return self.cell.scheduler._runs.engines_by_name["e1"]

    def report(self, start_ms, **changes):
        self.cell.scheduler.on_load_report(dataclasses.replace(report(**changes), start_ms=start_ms))

    def test_slots_are_free_once_the_engine_entry_shows_the_restart(self):
        self.cell.receive(ask("c"), ask("d"))
        self.assertEqual(self.granted(), ["a", "b"])
        self.set_engine(declared(SECOND_START_MS))
        self.assertEqual(self.granted(), ["a", "b", "c", "d"])

    def test_report_may_be_the_first_to_show_the_restart(self):
        self.cell.receive(ask("c"))
        self.report(SECOND_START_MS)
        self.assertEqual(self.granted(), ["a", "b", "c"])
        # The engine list that follows has the same start, and an earlier one while it lags.
        self.set_engine(declared(FIRST_START_MS))
        self.set_engine(declared(SECOND_START_MS))
        self.assertEqual(self.state().running, 1)

    def test_a_restarted_engine_gets_no_stream_until_its_entry_tells_its_version(self):
        # Guards against a stream that goes on at an engine that is back under its name with another version: the
        # report shows the restart first, and the entry is still that of the former start.
        self.cell = Cell(engines=(), needs_version=lambda: True)
        self.set_engine(declared(FIRST_START_MS))
        self.cell.receive(ask("a", version="v1"))
        self.report(SECOND_START_MS)
        self.cell.receive(ask("new"), ask("resumed", version="v1"))
        self.set_engine(declared(FIRST_START_MS))
        self.cell.advance(0.5)
        self.assertEqual(self.granted(), ["a"])
        upgraded = declared(SECOND_START_MS)
        upgraded.version = "v2"
        self.set_engine(upgraded)
        self.cell.advance(0.1)
        self.assertEqual(self.granted(), ["a", "new"])
        refused = {message.request_id: message.reason for message in self.cell.entries.of(Refused)}
        self.assertEqual(refused, {"resumed": Reason.VERSION_GONE})

    def test_state_from_before_the_restart_is_discarded(self):
        self.cell.measure()
        self.report(FIRST_START_MS, running=2, waiting=7, leaving=True)
        self.assertTrue(self.state().leaving)
        self.assertGreater(self.state().cache.cached_tokens((1, 2, 3)), 0)
        self.set_engine(declared(SECOND_START_MS))
        state = self.state()
        self.assertEqual((state.leaving, state.phantom, state.running), (False, 0, 0))
        self.assertEqual(state.cache.cached_tokens((1, 2, 3)), 0)
        self.assertEqual(state.model.confidence(), 0.0)

    def test_delayed_report_from_before_the_restart_is_ignored(self):
        self.set_engine(declared(SECOND_START_MS))
        self.report(FIRST_START_MS, running=2, waiting=5)
        self.assertEqual(self.state().phantom, 0)
        self.report(0, running=1)
        self.assertEqual(self.state().phantom, 1)

    def test_runs_started_since_the_restart_show_as_load(self):
        # They were discarded with the other state; the engine's own count prevents overfilling it.
        self.set_engine(declared(SECOND_START_MS))
        self.report(SECOND_START_MS, running=2)
        self.cell.receive(ask("c"))
        self.assertEqual(self.granted(), ["a", "b"])

    def test_repeated_start_time_changes_nothing(self):
        self.set_engine(declared(FIRST_START_MS, leaving=True))
        self.assertEqual(self.state().running, 2)


if __name__ == "__main__":
    unittest.main()
