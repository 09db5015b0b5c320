"""Placement of schedulers and quota owners on the routers with much processor capacity."""

import asyncio
import unittest

from tests.test_directory import EMPTY_REGISTRATION, REGISTRATION, FakeMembership, FakePeers
from tests.test_membership import MembershipCase, on_fast_loop
from tests.test_peers import grant_request
from tests.test_quota_fleet import TEAM, quota_declaration
from wagtailtrestle.capacity.features import ALL_OFF, Features
from wagtailtrestle.contracts.peer_messages import Hello, MemberState, ViewEvent
from wagtailtrestle.membership.member_table import MemberTable
from wagtailtrestle.membership.view import View, digest_of
from wagtailtrestle.peers.directory import Directory
from wagtailtrestle.peers.placement import Placement, eligible_members
from wagtailtrestle.quotas.owner import TAKEOVER_SHARE, Tolerance
from wagtailtrestle.quotas.shared import SharedQuotas

BY_CAPACITY = Features(placement_by_capacity=True)
KEYS = [f"c{number}" for number in range(40)]
LARGE = {"r000": 2.15, "r001": 1.9}


class EligibleMembersTest(unittest.TestCase):
    def check(self, expected, **cores_by_name):
        self.assertEqual(eligible_members(("a", "b", "c", "d"), cores_by_name), tuple(expected))

    def test_members_with_half_of_the_largest_capacity(self):
        # Guards against roles on slow routers, also where only one router is large.
        self.check("bd", a=0.5, b=2.0, c=0.99, d=1.0)
        self.check("b", a=0.5, b=2.0, c=0.99, d=0.4)

    def test_members_without_announced_capacity(self):
        # Guards against a role on a router of an earlier version while another is left, and against no choice at all.
        self.check("c", c=0.4)
        self.check("abcd")
        self.assertEqual(eligible_members((), {"a": 1.0}), ())


class FleetPlacementTest(MembershipCase):
    async def start(self, cores_by_name):
        """Start twelve routers, of which those not listed have 0.4 cores."""
        await self.net.add_all(12, cores=lambda number: cores_by_name.get(f"r{number:03}", 0.4))
        self.placements = {
            name: Placement(membership=membership, features=lambda: BY_CAPACITY)
            for name, membership in self.net.by_name.items()
        }

    def chosen(self, *lost):
        """Return the routers chosen for ``KEYS``, which all remaining routers must agree on."""
        choices = {
            tuple(placement.choose(key) for key in KEYS)
            for name, placement in self.placements.items()
            if name not in lost
        }
        self.assertEqual(len(choices), 1)
        return set(choices.pop())

    @on_fast_loop
    async def test_few_large_and_many_small_routers(self):
        # Guards against schedulers on small routers, at which all requests of a cell would wait, also after a large
        # router drained or was lost. When all large ones are lost, the remaining ones take over.
        large = LARGE | {"r002": 1.1}
        await self.start(large)
        self.assertEqual(self.chosen(), set(large))
        self.net.by_name["r002"].set_draining()
        await asyncio.sleep(0.1)
        self.assertEqual(self.chosen(), set(LARGE))
        self.net.kill("r000")
        await asyncio.sleep(0.5)
        self.assertEqual(self.chosen("r000"), {"r001"})
        self.net.kill("r001")
        await asyncio.sleep(0.5)
        self.assertEqual(self.chosen("r000", "r001"), {f"r{number:03}" for number in range(3, 12)})

    @on_fast_loop
    async def test_routers_that_announce_no_capacity(self):
        # Guards against a role on a router of an earlier version, and against views that never agree because of it.
        await self.start(LARGE | {"r005": 0.0})
        self.assertEqual(self.chosen(), set(LARGE))
        self.assertEqual({len(view.cores_by_name) for view in self.net.views().values()}, {11})
        self.assertEqual(len({membership._digest for membership in self.net.by_name.values()}), 1)

    @on_fast_loop
    async def test_capacity_that_arrives_later(self):
        # An event forwarded by a router of an earlier version lacks the capacity and arrives first. Guards against a
        # router that stays unknown for its whole incarnation, and against a change that no callback reports.
        await self.start(dict.fromkeys((f"r{number:03}" for number in range(12)), 0.0))
        self.net.changes.clear()
        hello = Hello(name="r003", incarnation=1, zone="z0", address="r003", cores=2.15)
        self.net.peers_by_name["r007"].handlers_by_type[Hello]("r003", hello, "")
        await asyncio.sleep(0.5)
        self.assertEqual(self.chosen("r003"), {"r003"})
        self.assertEqual(len(self.net.changes), 11)


class CapacityOfMembersTest(unittest.TestCase):
    def event(self, **more):
        return ViewEvent(name="b", zone="z", address="h:1", state=MemberState.ALIVE, **more)

    def test_capacity_belongs_to_an_incarnation(self):
        # Guards against a capacity lost to events without it, and against one inherited by a process that has none.
        table = MemberTable(name="a", zone="z", incarnation=1, now=0.0)
        for event, cores in (
            (self.event(incarnation=1, version=0), 0.0),
            (self.event(incarnation=1, version=0, cores=2.0), 2.0),
            (self.event(incarnation=1, version=1), 2.0),
            (self.event(incarnation=2, version=0), 0.0),
            (self.event(incarnation=1, version=2, cores=2.0), 0.0),
        ):
            table.apply(event, 0.0)
            self.assertEqual((table.by_name["b"].cores, table.by_name["b"].event().cores), (cores, cores))

    def test_digests_without_capacities_are_those_of_earlier_versions(self):
        # Guards against digests that differ between versions, by which routers would pull each other's views.
        table = MemberTable(name="a", zone="z", incarnation=1, now=0.0)
        self.assertEqual(table.digest(), digest_of([("a", 1, False)]))
        self.assertEqual(table.view(0.0).digest, digest_of(("a",), (), [("a", 1)]))
        announced = MemberTable(name="a", zone="z", incarnation=1, now=0.0, cores=2.0)
        self.assertNotEqual(announced.digest(), table.digest())
        self.assertNotEqual(announced.view(0.0).digest, table.view(0.0).digest)


class DirectoryPlacementTest(unittest.IsolatedAsyncioTestCase):
    def make(self, members, cores_by_name, features):
        self.features, self.peers, self.membership = features, FakePeers(), FakeMembership()
        self.membership.view = View(members=members, cores_by_name=cores_by_name)
        self.to_scheduler = []
        self.directory = Directory(
            name="a",
            membership=self.membership,
            peers=self.peers,
            loop=asyncio.get_running_loop(),
            deliver_to_scheduler=lambda cell, message: self.to_scheduler.append(message),
            deliver_to_entry=None,
            register=lambda cell: REGISTRATION,
            cells=lambda: ["c1"],
            features=lambda: self.features,
        )
        self.directory.refresh()

    async def test_features_switched_on_move_the_cells(self):
        # The configuration that switches placement by capacity on arrives while requests wait at a small router.
        self.make(("b", "c"), {}, ALL_OFF)
        before = self.directory.scheduler_of("c1")
        other = {"b": "c", "c": "b"}[before]
        self.membership.change("b", "c", cores_by_name={other: 2.0})
        self.assertEqual(self.peers.sent, [(before, "c1", REGISTRATION)])
        self.features = BY_CAPACITY
        self.directory.refresh()
        self.assertEqual(self.peers.sent[1:], [(before, "c1", EMPTY_REGISTRATION), (other, "c1", REGISTRATION)])
        self.assertEqual(self.directory.dump_placement()["eligible"], [other])

    async def test_views_that_differ_for_a_moment(self):
        # A peer doesn't know the large router yet and chooses this one. Guards against a request that is rejected or
        # forwarded meanwhile; once the peer knows, it registers with the large one and releases this one.
        self.make(("a", "b"), {"a": 0.4, "b": 2.0, "c": 2.0}, BY_CAPACITY)
        self.membership.change("a", "b", "c", cores_by_name={"b": 2.0, "c": 2.0})
        self.peers.sent.clear()
        self.peers.receive("d", grant_request())
        self.peers.receive("d", EMPTY_REGISTRATION)
        self.assertEqual(self.to_scheduler[-2:], [grant_request(), EMPTY_REGISTRATION])
        self.assertEqual(self.peers.sent, [])


class QuotaPlacementTest(MembershipCase):
    @on_fast_loop
    async def test_owner_of_a_quota(self):
        # Guards against quota owners on small routers, and against a new owner that grants the burst once more.
        names = await self.net.add_all(6, cores=lambda number: LARGE.get(f"r{number:03}", 0.4))
        features = ALL_OFF
        shared = [
            SharedQuotas(
                name=name,
                peers=self.net.peers_by_name[name],
                membership=self.net.by_name[name],
                loop=asyncio.get_running_loop(),
                tolerance=Tolerance,
                features=lambda: features,
            )
            for name in names
        ]
        declaration = quota_declaration()
        for quotas in shared:
            quotas.set_declaration(declaration)
        features = BY_CAPACITY
        for quotas in shared:
            quotas.set_declaration(declaration)
        (owner,) = {quotas._owner_of(TEAM) for quotas in shared}
        self.assertIn(owner, LARGE)
        quota = declaration.teams_by_name[TEAM].quota
        bucket = shared[names.index(owner)]._owner._bucket(TEAM, quota)
        self.assertEqual(bucket.level, TAKEOVER_SHARE * quota.burst)


if __name__ == "__main__":
    unittest.main()
