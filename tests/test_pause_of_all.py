"""All routers pause simultaneously, as on overloaded VMs, while requests keep arriving."""

import signal
import time
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.steady_callers import SteadyCallers

WORK_S = 0.03
PER_S = 40.0
CALM_S = 4.0
PAUSE_S = 1.0
AFTER_S = 2.0


class PauseOfAllTest(WorldCase):
    ROUTERS = 4

    # Guards against requests refused as too many after a pause, although the engines could serve them immediately.
    def test_what_arrived_meanwhile_is_served(self):
        for engine in self.world.engines.values():
            engine.delay_s = WORK_S
        callers = SteadyCallers(world=self.world, paths=[("GET", "/status/1")], per_s=PER_S).start()
        self.addCleanup(callers.close)
        time.sleep(CALM_S)
        for router in self.world.routers:
            router.signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        for router in self.world.routers:
            router.signal(signal.SIGCONT)
        time.sleep(AFTER_S)
        callers.close()
        self.assertEqual(callers.not_served(), [])


if __name__ == "__main__":
    unittest.main()
