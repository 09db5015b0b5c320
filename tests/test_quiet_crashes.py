"""A poison request that is resent repeatedly to a service without other load."""

import threading
import time
import unittest

from tests.utils.crashing_engine import DOWN_S, MARK, CrashingEngine
from tests.utils.platform_world import World

ROUTERS = 8
ENGINES = 6
RESEND_INTERVAL_S = 0.6
OBSERVATION_S = 16.0
CRASHES = 3
PROPAGATION_S = 4.0
"""Time after the third crash within which all routers must know the poison request."""
MAX_AFTER = 3


class QuietCrashesTest(unittest.TestCase):
    def setUp(self):
        self.service = "assistant"
        self.down_s = DOWN_S
        self.answers = []

    def world(self):
        names = [f"e-{number}" for number in range(ENGINES)]
        world = World(
            routers=ROUTERS,
            make_engines=lambda store: {
                name: CrashingEngine(name=name, service=self.service, store=store, down_s=self.down_s) for name in names
            },
        )
        self.addCleanup(world.close)
        return world.start()

    def send(self, world, method, path, number):
        self.answers.append(world.request(method, path, router=number % ROUTERS, request_id=f"r{number}"))

    def check(self, method, path):
        """Send one request through each router in turn and limit its runs after it has crashed three engines."""
        world = self.world()
        senders = []
        until = time.monotonic() + OBSERVATION_S
        while time.monotonic() < until:
            senders.append(threading.Thread(target=self.send, args=(world, method, path, len(senders))))
            senders[-1].start()
            time.sleep(RESEND_INTERVAL_S)
        for sender in senders:
            sender.join()
        crashes = sorted(at for engine in world.engines.values() for at in engine.crashes)
        arrivals = sorted(at for engine in world.engines.values() for at in engine.arrivals_of_poison)
        after = [at for at in arrivals if at > crashes[CRASHES - 1] + PROPAGATION_S]
        self.assertLessEqual(len(after), MAX_AFTER)

    # Guards against crashes that no router distinguishes from a broken connection, since each router has one run on
    # the engine.
    def test_a_stream_that_crashes_engines(self):
        self.check("POST", f"/stream/{MARK}")

    # Guards against the same where engines send no reports, so that only their entries show that they went down.
    def test_a_call_that_crashes_engines(self):
        self.service = "booking"
        self.check("GET", f"/status/{MARK}")

    # Guards against the same where engines are back under their id before their entry expires.
    def test_a_call_that_crashes_engines_which_restart_quickly(self):
        self.service = "booking"
        self.down_s = 2.2
        self.check("GET", f"/status/{MARK}")


if __name__ == "__main__":
    unittest.main()
