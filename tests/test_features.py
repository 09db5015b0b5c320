"""Optional scheduling behaviour: off unless a deployment's routes and settings switch it on."""

import unittest
from types import SimpleNamespace

from wagtailtrestle.capacity.features import ALL_OFF, Features, features_in_force
from wagtailtrestle.declarations.settings import RouterSettings

REQUIRED = {
    "name": "r",
    "zone": "z",
    "callers_address": "127.0.0.1:1",
    "peers_address": "127.0.0.1:2",
    "admin_address": "127.0.0.1:3",
    "platform_url": "http://127.0.0.1:4",
}
ALL_SET = {
    "placement": "capacity",
    "tier_floor": 0.2,
    "late_service": True,
    "engine_match": True,
    "zone_cost_ms": 20.0,
    "direct_after_ms": 40.0,
}


def routes(*targets):
    """Build a declaration of routes, each a pair of target in ms and whether it is streamed."""
    return SimpleNamespace(
        host_routes=[SimpleNamespace(target_ms=target_ms, streaming=streaming) for target_ms, streaming in targets]
    )


class FeaturesTest(unittest.TestCase):
    def test_off_by_default_however_short_the_targets(self):
        """Guards against new behaviour on deployments whose operators did not ask for it."""
        self.assertEqual(features_in_force(RouterSettings(**REQUIRED), routes((100, True))), ALL_OFF)

    def test_off_without_a_tight_streaming_route(self):
        """Guards against switching on by plain calls, by routes without a target, or by longer targets."""
        settings = RouterSettings(**REQUIRED, **ALL_SET, tight_target_ms=500.0)
        self.assertEqual(features_in_force(settings, routes((163, False), (0, True), (600, True))), ALL_OFF)

    def test_all_set_features_are_in_force_with_a_tight_streaming_route(self):
        """Guards against a setting that has no effect."""
        settings = RouterSettings(**REQUIRED, **ALL_SET, tight_target_ms=500.0)
        expected = Features(
            placement_by_capacity=True,
            tier_floor=0.2,
            late_service=True,
            engine_match=True,
            zone_cost_s=0.02,
            direct_after_s=0.04,
        )
        self.assertEqual(features_in_force(settings, routes((845, True), (419, True))), expected)


if __name__ == "__main__":
    unittest.main()
