"""Start of a scheduler on a router that may not know of runs that no entry registers."""

import unittest

from tests.utils.scheduler_fakes import Clock, FakeEntries, ask, engine, register, report
from wagtailtrestle.capacity.registration import RECOVERY_TIMEOUT_S
from wagtailtrestle.capacity.scheduler_set import ORPHAN_WINDOW_S, SchedulerSet
from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN, Declaration, Service
from wagtailtrestle.contracts.messages import Granted


def declaration(kind=LANGUAGE):
    """Return a declaration of one service with one engine of two slots."""
    service = Service(name="asistente", kind=kind, routes_by_name={}, prefill_weight=0.5)
    empty = {"zones_by_region": {}, "tiers_by_name": {}, "teams_by_name": {}}
    return Declaration(
        organisation="club",
        services_by_name={"asistente": service},
        engines_by_name={"e1": engine("e1", slots=2)},
        **empty,
    )


class NewSchedulerTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.entries = FakeEntries()
        self.schedulers = SchedulerSet(clock=self.clock, entries=self.entries, runs_outlive_routers=True)
        self.schedulers.set_members({"r1"})

    def receive(self, message):
        self.schedulers.deliver("asistente", message)

    def advance(self, seconds):
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += 0.05
            self.schedulers.tick()

    def granted(self):
        return self.entries.ids(Granted)

    def test_freshly_started_router_expects_runs_of_its_previous_process(self):
        # Guards against overfilling an engine, so that a question of another entry waits in its queue. The scheduler
        # was killed and restarted under its name, and the engine continues what its former process had sent there. No
        # entry registers these runs and the new process has seen no router die, so it granted as soon as all live
        # routers had registered.
        self.schedulers.set_declaration(declaration())
        self.receive(register("r1", waiting=[ask("r"), ask("s")]))
        self.assertEqual(self.granted(), [])
        self.schedulers.on_load_report(report(running=1))
        self.assertEqual(self.granted(), ["r"])

    def test_router_without_a_recent_router_loss_grants_immediately(self):
        self.schedulers.set_declaration(declaration())
        self.advance(ORPHAN_WINDOW_S + 0.1)
        self.receive(register("r1", waiting=[ask("r"), ask("s")]))
        self.assertEqual(self.granted(), ["r", "s"])

    def test_engine_without_reports_is_used_after_recovery(self):
        self.schedulers.set_declaration(declaration())
        self.receive(register("r1", waiting=[ask("r")]))
        self.advance(RECOVERY_TIMEOUT_S + 0.1)
        self.assertEqual(self.granted(), ["r"])

    def test_plain_service_does_not_wait_for_load_reports(self):
        # Guards against a booking that waits for 1.5 s in vain: engines of a plain service send no load reports, so the
        # runs of a dead router are not known after that wait either.
        self.schedulers.set_declaration(declaration(kind=PLAIN))
        self.receive(register("r1", waiting=[ask("r")]))
        self.assertEqual(self.granted(), ["r"])

    def test_runs_of_a_restarted_router_keep_their_slots(self):
        # Guards against overfilling an engine, so that a question of another entry waits in its queue up to its
        # deadline. A router that is not the scheduler dies and restarts immediately, and the runs of its previous
        # process continue. The new process registers that it holds nothing, and the scheduler, which had kept the slots
        # of these runs until a report, granted them.
        self.schedulers.set_members({"r1", "r2"})
        self.schedulers.set_declaration(declaration())
        self.advance(ORPHAN_WINDOW_S + 0.1)
        self.receive(register("r1"))
        self.receive(register("r2"))
        self.receive(ask("x", entry="r2"))
        self.receive(ask("y", entry="r2"))
        self.receive(ask("r"))
        self.schedulers.set_members({"r1"})
        self.schedulers.set_members({"r1", "r2"})
        self.receive(register("r2"))
        self.assertEqual(self.granted(), ["x", "y"])


if __name__ == "__main__":
    unittest.main()
