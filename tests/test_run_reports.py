"""Effect of a run's reported end on the scheduler's view of its engine."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask
from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.contracts.messages import Granted
from wagtailtrestle.contracts.outcomes import RunSilent
from wagtailtrestle.engines.health import CONSECUTIVE_FAILURES_TO_EJECT
from wagtailtrestle.entry.run_reports import RunReports

WAITED_S = 8.0
ENGINES = ("e1", "e2", "e3")
"""With fewer engines, none may be ejected on the evidence of one router."""


class EndOfASilentRunTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=ENGINES, slots=CONSECUTIVE_FAILURES_TO_EJECT)

    def end_runs(self, outcome):
        """Fill the engines and end as many consecutive runs of the first as are needed to eject it."""
        self.cell.receive(*[ask(f"r{number}") for number in range(CONSECUTIVE_FAILURES_TO_EJECT * len(ENGINES))])
        for granted in self.cell.entries.of(Granted):
            if granted.engine == ENGINES[0]:
                reports = RunReports(request_id=granted.request_id, send=self.cell.receive)
                reports.finished(granted.engine, RunEnded(run_id="r.1", outcome=outcome, duration_s=WAITED_S))
        self.cell.advance(0.1)

    def is_used(self):
        return self.cell.scheduler.dump()["engines"][ENGINES[0]]["limit"] > 0

    def test_an_engine_that_held_the_runs_in_its_queue_stays_in_use(self):
        # Guards against later requests being refused as overloaded after 7.9 s: three runs reached their deadline in
        # the queue of an engine that had confirmed each of them, so that it was alive and only full. Counted as
        # failures, they ejected it for seconds, doubled each time, while slots on it became free.
        self.end_runs(RunSilent(reached=True, held=True))
        self.assertTrue(self.is_used())

    def test_an_engine_that_stayed_silent_is_ejected(self):
        self.end_runs(RunSilent(reached=True))
        self.assertFalse(self.is_used())


if __name__ == "__main__":
    unittest.main()
