"""What a scheduler is told of an engine by the end of a run there."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask
from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.contracts.messages import Granted
from wagtailtrestle.contracts.outcomes import RunSilent
from wagtailtrestle.engines.health import FAILURES_TO_EJECT
from wagtailtrestle.entry.run_reports import RunReports

WAITED_S = 8.0
ENGINES = ("e1", "e2", "e3")
"""Of fewer, none may be ejected by one router's evidence."""


class EndOfASilentRunTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=ENGINES, slots=FAILURES_TO_EJECT)

    def end_runs(self, outcome):
        """Fill the engines and let as many runs of the first as eject it end in a row."""
        self.cell.receive(*[ask(f"r{number}") for number in range(FAILURES_TO_EJECT * len(ENGINES))])
        for granted in self.cell.entries.of(Granted):
            if granted.engine == ENGINES[0]:
                reports = RunReports(request_id=granted.request_id, send=self.cell.receive)
                reports.finished(granted.engine, RunEnded(run_id="r.1", outcome=outcome, duration_s=WAITED_S))
        self.cell.advance(0.1)

    def is_used(self):
        return self.cell.scheduler.dump()["engines"][ENGINES[0]]["limit"] > 0

    def test_an_engine_that_held_the_runs_in_its_queue_stays_in_use(self):
        # Questions that come later are refused as overloaded after 7.9 s. Three runs reached their deadline in the
        # engine's queue; the engine had confirmed each of them, so it lives and is only full. Taken for failures, they
        # closed it for seconds, doubled each time, while places on it became free.
        self.end_runs(RunSilent(reached=True, held=True))
        self.assertTrue(self.is_used())

    def test_an_engine_that_stayed_silent_is_ejected(self):
        self.end_runs(RunSilent(reached=True))
        self.assertFalse(self.is_used())


if __name__ == "__main__":
    unittest.main()
