"""A platform outage during traffic, and configuration changes during platform faults."""

import threading
import time
import unittest

import yaml

from tests.utils.running import BOOKING, PLAN, QUESTION, TAGGING, PromiseChecks, Running, wait_until
from wagtailtrestle.demo.deployment import OPERATE_MODULE
from wagtailtrestle.demo.processes import LocalProcess
from wagtailtrestle.exit_status import ExitStatus

RATE = 15.0
OUT_S = 2.5
IN_FORCE_S = 5.0
LOADED_VM_MARGIN_S = 3.0
MAX_REFUSAL_S = 3.0


def apply_process(running, name, share, *, base=None):
    """Return the process of an operator who applies the document with another share of team socios."""
    document = dict(running.deployment.document)
    document["teams"] = [dict(team) for team in document["teams"]]
    next(team for team in document["teams"] if team["name"] == "socios")["share"] = share
    path = running.deployment.directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    arguments = ["apply", str(path), f"--platform={running.deployment.platform_url}"]
    if base is not None:
        arguments.append(f"--base={base}")
    return LocalProcess(
        name=name,
        module=OPERATE_MODULE,
        arguments=arguments,
        ready_url="",
        log_path=running.deployment.directory / f"{name}.log",
    )


def generations(running):
    """Return the generation in force at each router."""
    return [running.state(name)["configuration"]["generation"] for name in running.routers]


class PlatformFaultTest(PromiseChecks, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = Running(routers=3).start()

    @classmethod
    def tearDownClass(cls):
        cls.running.close()

    def tearDown(self):
        self.running.platform_faults()

    def test_traffic_flows_and_bookings_are_refused_as_not_run(self):
        # Questions, plans and tagging are served as usual, since none of their steps needs the platform.
        # A booking with an idempotency key can't be claimed, so its caller is told immediately, rather
        # than at its deadline, that it was not run; and the service never receives it.
        running = self.running
        running.platform_faults(down="cut")
        load = running.load(kinds=(QUESTION, PLAN, TAGGING, BOOKING), rate=RATE).start()
        time.sleep(OUT_S)
        seen = load.stop()
        bookings = [each for each in seen if each.result.planned.kind is BOOKING]
        others = [each for each in seen if each.result.planned.kind is not BOOKING]
        self.assert_promises(running, seen)
        self.assert_all_complete(others)
        self.assertTrue(bookings)
        refusals = {(each.result.status, each.result.reason, each.result.executed) for each in bookings}
        self.assertEqual(refusals, {(503, "ledger_unavailable", "no")})
        slowest_s = max(each.result.total_s for each in bookings)
        print(f"platform out: slowest refusal of a booking {slowest_s:.2f} s")
        self.assertLess(slowest_s, MAX_REFUSAL_S)

    def test_router_that_restarts_takes_its_configuration_from_peers(self):
        # Two routers keep serving; the third restarts with only its settings and can't reach the
        # platform. It requests the declaration in force from its peers and serves by it.
        running = self.running
        running.platform_faults(down="cut")
        name = running.routers[-1]
        before = running.state(name)["configuration"]["generation"]
        running.router(name).stop()
        running.restart(name)
        self.assertEqual(running.state(name)["configuration"]["generation"], before)
        self.assert_all_complete([running.send(kind, router=name) for kind in (QUESTION, TAGGING)])

    def test_killed_scheduler_during_the_outage(self):
        # As without the outage: live routers are known by their heartbeats, so a new scheduler is
        # chosen although the platform can't be queried.
        running = self.running
        running.platform_faults(down="cut")
        scheduler = running.scheduler_of()
        others = [name for name in running.routers if name != scheduler]
        running.router(scheduler).kill()
        seen = [running.send(QUESTION, router=others[number % 2]) for number in range(6)]
        self.assert_promises(running, seen)
        self.assert_all_complete(seen)
        running.restart(scheduler)

    def apply(self, name, share):
        """Apply and return the seconds until it is in force everywhere."""
        before = max(generations(self.running))
        process = apply_process(self.running, name, share)
        process.start()
        self.assertEqual(process.wait_stopped(), ExitStatus.DONE, process.log_tail())
        applied_at = time.monotonic()
        wait_until(lambda: min(generations(self.running)) > before, "the new generation on every router")
        return time.monotonic() - applied_at

    def test_applied_under_load(self):
        # No request fails while a new declaration is put in force everywhere.
        load = self.running.load(kinds=(QUESTION, TAGGING, BOOKING), rate=RATE).start()
        took_s = self.apply("under-load", 4)
        seen = load.stop()
        print(f"configuration: in force on every router {took_s:.2f} s after it was accepted")
        self.assertLess(took_s, IN_FORCE_S + LOADED_VM_MARGIN_S)
        self.assert_promises(self.running, seen)
        self.assert_all_complete(seen)

    def test_watch_is_silent(self):
        # The platform notifies no watch of the new declaration, so every watch keeps waiting. Polling at
        # a bounded interval finds it, and the first router that has it notifies its peers.
        self.running.platform_faults(drop_watch_events=True)
        took_s = self.apply("silent-watch", 5)
        print(f"configuration: in force {took_s:.2f} s after it was accepted, watches silent")
        self.assertLess(took_s, IN_FORCE_S + LOADED_VM_MARGIN_S)

    def test_open_connections_to_the_platform_went_silent(self):
        # A component between the routers and the platform lost the state of all open connections: the
        # watches never receive an answer, while new connections work.
        self.running.platform_faults(silent="open")
        took_s = self.apply("silent-connections", 6)
        print(f"configuration: in force {took_s:.2f} s after it was accepted, open connections silent")
        self.assertLess(took_s, IN_FORCE_S + LOADED_VM_MARGIN_S)

    def test_two_operators_at_once(self):
        # Both apply a file based on the same generation at nearly the same time. One is accepted,
        # the other gets a conflict, and every router has the accepted one.
        running = self.running
        base = max(generations(running))
        processes = [apply_process(running, f"operator-{share}", share, base=base) for share in (7, 8)]
        starters = [threading.Thread(target=process.start) for process in processes]
        for starter in starters:
            starter.start()
        for starter in starters:
            starter.join()
        statuses = [process.wait_stopped() for process in processes]
        self.assertEqual(sorted(statuses), [ExitStatus.DONE, ExitStatus.CONFLICT])
        wait_until(lambda: generations(running) == [base + 1] * 3, "the accepted one in force everywhere")


if __name__ == "__main__":
    unittest.main()
