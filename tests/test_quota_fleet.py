"""Quotas over all routers while they are partitioned from each other."""

import asyncio
import unittest

from tests.utils.fake_routers import FakeNet
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.contracts.declaration import Declaration, Team, TokenQuota
from wagtailtrestle.contracts.quota_messages import QuotaAsk
from wagtailtrestle.quotas.owner import Tolerance
from wagtailtrestle.quotas.shared import SharedQuotas

TEAM = "club"
RATE_PER_S = 100.0
BURST = 200.0
ROUTERS = 8
WINDOW_S = 8.0
REQUEST_INTERVAL_S = 0.1
CUT_S = 30.0
"""Longer than ``ABSENT_ROUTER_RETENTION_S``, the time for which a router that left the view still counts."""


def quota_declaration():
    """Return a declaration of one team with a quota."""
    team = Team(name=TEAM, share=1.0, key_sha256=(), quota=TokenQuota(rate_per_s=RATE_PER_S, burst=BURST))
    return Declaration(
        organisation="",
        zones_by_region={},
        tiers_by_name={},
        teams_by_name={TEAM: team},
        services_by_name={},
        engines_by_name={},
    )


class QuotaFleetTest(unittest.TestCase):
    async def routers(self, net, names):
        """Start the quotas of each router with one quota that all share."""
        declaration = quota_declaration()
        shared = [
            SharedQuotas(
                name=name,
                peers=net.peers_by_name[name],
                membership=net.by_name[name],
                loop=asyncio.get_running_loop(),
                tolerance=Tolerance,
            )
            for name in names
        ]
        for quotas in shared:
            quotas.set_declaration(declaration)
        return shared

    async def granted_units(self, shared):
        """Return the units that all routers grant themselves within one window."""
        units = 0
        for _ in range(int(WINDOW_S / REQUEST_INTERVAL_S)):
            await asyncio.sleep(REQUEST_INTERVAL_S)
            units += sum(quotas._owner.grant(QuotaAsk(team=TEAM, needed=(10,) * 10)).units for quotas in shared)
        return units

    # Guards against routers that each grant the whole quota after a long partition.
    @on_paused_clock
    async def test_routers_cut_off_from_each_other(self):
        net = FakeNet(asyncio.get_running_loop())
        shared = await self.routers(net, await net.add_all(ROUTERS))
        net.cut = lambda one, other: one != other
        await asyncio.sleep(CUT_S)
        self.assertLessEqual(await self.granted_units(shared), RATE_PER_S * WINDOW_S + BURST)


if __name__ == "__main__":
    unittest.main()
