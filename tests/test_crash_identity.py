"""A poison request of one caller, while another caller's request like it is sound."""

import threading
import time
import unittest

from tests.utils.crashing_engine import CrashingEngine
from tests.utils.platform_world import KEY, World, configuration
from wagtailtrestle.entry.poison import SAME_CRASH_WINDOW_S, CrashTable

ROUTERS = 3
ENGINES = 6
OTHER_KEY, OTHER_TEAM = "other-key", "other"
RESEND_INTERVAL_S = 0.6
SOUND_INTERVAL_S = 0.1
OBSERVATION_S = 16.0
CRASHES = 3
PROPAGATION_S = 4.0
"""Time after the third crash within which all routers must know the poison request."""
MAX_AFTER = 3
MIN_SERVED = 0.9
"""Share of the other caller's requests that are served once the poison request is refused."""


class CallerCrashingEngine(CrashingEngine):
    """Crashes on each request of one caller."""

    def is_poison(self, handler):
        return handler.headers.get("Tenant") == OTHER_TEAM


class CallerIdentityTest(unittest.TestCase):
    def world(self, service):
        names = [f"e-{number}" for number in range(ENGINES)]
        world = World(
            routers=ROUTERS,
            make_engines=lambda store: {
                name: CallerCrashingEngine(name=name, service=service, store=store) for name in names
            },
        )
        self.addCleanup(world.close)
        world.start()
        in_force = configuration(2)
        in_force["tenants"].append(in_force["tenants"][0] | {"name": OTHER_TEAM, "api_keys": [OTHER_KEY]})
        world.store.put("config", "main", in_force)
        time.sleep(1.0)
        return world

    def check(self, service, method, path, **headers):
        """Send the same request for both callers; limit the runs of the poison one after its third crash."""
        world = self.world(service)
        self.sound = []
        until = time.monotonic() + OBSERVATION_S
        threads = [
            threading.Thread(target=self.send_sound, args=(world, router, method, path, until), kwargs=headers)
            for router in range(ROUTERS)
        ]
        for thread in threads:
            thread.start()
        number = 0
        while time.monotonic() < until:
            self.send_poison(world, number % ROUTERS, method, path, f"p{number}", **headers)
            number += 1
            time.sleep(RESEND_INTERVAL_S)
        for thread in threads:
            thread.join()
        crashes = sorted(at for engine in world.engines.values() for at in engine.crashes)
        settled_at = crashes[CRASHES - 1] + PROPAGATION_S
        self.assertLessEqual(sum(at > settled_at for at in self.arrivals(world)), MAX_AFTER)
        later = [status for at, status in self.sound if at > settled_at]
        self.assertGreater(later.count(200) / len(later), MIN_SERVED)
        self.check_restarted_router(world, method, path, **headers)

    def send_sound(self, world, router, method, path, until, **headers):
        number = 0
        while time.monotonic() < until:
            at = time.monotonic()
            answer = world.request(method, path, router=router, request_id=f"s{router}-{number}", key=KEY, **headers)
            self.sound.append((at, answer.status))
            number += 1
            time.sleep(SOUND_INTERVAL_S)

    def send_poison(self, world, router, method, path, request_id, **headers):
        return world.request(method, path, router=router, request_id=request_id, key=OTHER_KEY, **headers)

    def arrivals(self, world):
        return [at for engine in world.engines.values() for at in engine.arrivals_of_poison]

    def check_restarted_router(self, world, method, path, **headers):
        """The blame must hold at a router that has seen no crash."""
        world.routers[0].kill()
        world.routers[0].start()
        world.routers[0].wait_ready()
        before = len(self.arrivals(world))
        answer = self.send_poison(world, 0, method, path, "p-restarted", **headers)
        self.assertEqual((answer.status, len(self.arrivals(world))), (502, before))

    # Guards against a request that another caller's complete answers clear, so that it goes on crashing engines.
    def test_an_idempotent_call(self):
        self.check("booking", "GET", "/status/7")

    # Guards against the same where a request may run once.
    def test_a_call_that_runs_once(self):
        self.check("booking", "POST", "/book/7")

    # Guards against the same for streams on equal prompts.
    def test_a_stream(self):
        self.check("assistant", "POST", "/stream/7", Prompt_Prefix="a1:100,b2:50")


class ReportsOfAnotherReleaseTest(unittest.TestCase):
    # Guards against a fleet in the middle of an upgrade that blames nobody, as its routers name a request unlike.
    def test_a_request_that_others_name_otherwise_is_refused_after_as_many_crashes(self):
        now = [100.0]
        table = CrashTable(clock=lambda: now[0], reporter="new")
        former = CrashTable(clock=lambda: now[0], reporter="former")
        for number in range(2):
            table.merge(former.record_crash(f"e{number}", {"its name before"}))
            table.record_crash(f"e{number}", {"its name"})
            now[0] += 2 * SAME_CRASH_WINDOW_S
        self.assertFalse(table.is_blocked("its name"))
        table.record_crash("e2", {"its name"})
        self.assertTrue(table.is_blocked("its name"))


if __name__ == "__main__":
    unittest.main()
