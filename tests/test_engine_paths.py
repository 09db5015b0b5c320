"""Decisions on lost paths to engines, and on which other routers to ask."""

import unittest

from wagtailtrestle.engines.paths import FIRST_PROBE_DELAY_S, FLAP_WINDOW_S, UNREACHABLE_TTL_S, EnginePaths
from wagtailtrestle.peers.helper_choice import FIRST_AVOIDANCE_S, HelperChoice


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class EnginePathsTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.paths = EnginePaths(clock=self.clock)

    # Guards against an engine's own failure taken for a lost path.
    def test_path_is_lost_only_if_another_router_reaches_the_engine(self):
        self.paths.record_unreachable("e1")
        self.assertFalse(self.paths.is_lost("e1"))
        self.assertTrue(self.paths.is_unreachable("e1"))
        self.clock.now += UNREACHABLE_TTL_S
        self.assertFalse(self.paths.is_unreachable("e1"))
        self.paths.record_tunnel("e1", via="r2", direct_failed=True)
        self.assertTrue(self.paths.is_lost("e1"))
        self.assertFalse(self.paths.is_lost("e2"))

    # Guards against probes beside every run, and against none after the path is back.
    def test_one_probe_in_each_delay_while_the_path_is_lost(self):
        self.assertFalse(self.paths.claim_probe("e1"))
        self.paths.record_tunnel("e1", via="r2", direct_failed=True)
        self.assertFalse(self.paths.claim_probe("e1"))
        self.clock.now += FIRST_PROBE_DELAY_S
        self.assertEqual([self.paths.claim_probe("e1") for _ in range(3)], [True, False, False])
        self.paths.record_direct("e1")
        self.assertFalse(self.paths.is_lost("e1"))
        self.clock.now += FIRST_PROBE_DELAY_S
        self.assertFalse(self.paths.claim_probe("e1"))

    # Guards against a flapping path that every return makes slow runs on again.
    def test_flapping_path_is_probed_less_often(self):
        for factor in (1, 2, 4):
            self.paths.record_tunnel("e1", via="r2", direct_failed=True)
            self.clock.now += factor * FIRST_PROBE_DELAY_S - 0.01
            self.assertFalse(self.paths.claim_probe("e1"))
            self.clock.now += 0.01
            self.assertTrue(self.paths.claim_probe("e1"))
            self.paths.record_direct("e1")
        self.clock.now += FLAP_WINDOW_S + 0.01
        self.paths.record_tunnel("e1", via="r2", direct_failed=True)
        self.clock.now += FIRST_PROBE_DELAY_S
        self.assertTrue(self.paths.claim_probe("e1"))

    # Guards against a path that came back and is taken as lost again for a tunnel that was requested before.
    def test_tunnel_requested_before_the_path_was_back(self):
        self.paths.record_tunnel("e1", via="r2", direct_failed=True)
        self.paths.record_direct("e1")
        self.paths.record_tunnel("e1", via="r2", direct_failed=False)
        self.assertFalse(self.paths.is_lost("e1"))

    # Guards against state that grows with every engine that ever was.
    def test_engines_that_are_gone_are_forgotten(self):
        self.paths.record_tunnel("e1", via="r2", direct_failed=True)
        self.paths.record_unreachable("e2")
        self.paths.retain_engines({"e3"})
        self.assertFalse(self.paths.any_lost)
        self.assertFalse(self.paths.is_unreachable("e2"))


class HelperChoiceTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.choice = HelperChoice(clock=self.clock, seed=1)
        self.names = [f"r{number}" for number in range(8)]

    # Guards against routers that are asked again and again although they can't help.
    def test_router_that_failed_is_asked_last_for_a_while(self):
        self.choice.record_failure("r0")
        self.assertEqual(self.choice.order(self.names)[-1], "r0")
        self.clock.now += FIRST_AVOIDANCE_S
        self.assertEqual(len({self.choice.order(self.names)[-1] for _ in range(50)}), len(self.names))

    def test_all_routers_are_asked_in_the_end(self):
        for name in self.names:
            self.choice.record_failure(name)
        self.assertEqual(set(self.choice.order(self.names)), set(self.names))

    # Guards against one router that carries the tunnels of all others.
    def test_requests_are_spread_over_routers_that_help(self):
        self.choice.record_success("r3")
        firsts = {self.choice.order(self.names)[0] for _ in range(200)}
        self.assertEqual(firsts, set(self.names))
        for name in ("r4", "r5"):
            self.choice.record_success(name)
        firsts = {self.choice.order(self.names)[0] for _ in range(200)}
        self.assertEqual(firsts, {"r3", "r4", "r5"})


if __name__ == "__main__":
    unittest.main()
