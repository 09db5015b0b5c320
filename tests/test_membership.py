import asyncio
import unittest

import looptime

from tests.utils.fake_routers import FakeNet
from wagtailtrestle.contracts.messages import Withdraw
from wagtailtrestle.contracts.peer_messages import Hello, MemberState, PeerUnreachable, ViewEvent
from wagtailtrestle.membership.member_table import MemberTable
from wagtailtrestle.membership.membership import HEARTBEAT_S
from wagtailtrestle.membership.partners import position_of
from wagtailtrestle.membership.view_sync import ViewSync
from wagtailtrestle.membership.vm_list import VM
from wagtailtrestle.peers.broadcast import Broadcast


def on_fast_loop(test):
    """Run an async test on a loop whose clock jumps from timer to timer."""

    def run(self):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(self.run_with(runner.get_loop(), test))

    return run


class MembershipCase(unittest.TestCase):
    async def run_with(self, loop, test):
        self.net = FakeNet(loop)
        await test(self)

    def vm(self, name):
        return VM(id=name, role="router", zone="z", address=name, admin="", leaving=False)


class MembershipTest(MembershipCase):
    def assert_views(self, members, exclude=(), draining=()):
        for name, view in self.net.views(exclude).items():
            self.assertEqual((name, view.members, view.draining), (name, tuple(members), tuple(draining)))

    @on_fast_loop
    async def test_all_find_each_other(self):
        names = await self.net.add_all(6)
        self.assert_views(names)
        self.assertTrue(all(membership.trusted for membership in self.net.by_name.values()))

    @on_fast_loop
    async def test_a_fleet_that_starts_together_serves_within_half_a_second(self):
        # All routers lose power and restart at the same moment. None has a view to send, so each of them waits for one
        # until the time-out, and during that time every router answers callers with "not ready".
        names = [f"r{number:03d}" for number in range(6)]
        for name in names:
            await self.net.add(name)
        await asyncio.sleep(0.5)
        self.assertEqual([name for name in names if not self.net.by_name[name].trusted], [])

    @on_fast_loop
    async def test_routers_that_start_together_and_only_know_a_third_find_each_other(self):
        # Guards against newcomers that the third router announces to nobody, as it hears of them before they are
        # its partners: each would schedule by a view that lacks the other until the next exchange of whole views.
        await self.net.add("c")
        await self.net.add("a", seeds=["c"])
        await self.net.add("b", seeds=["c"])
        await asyncio.sleep(0.1)
        self.assert_views(["a", "b", "c"])

    @on_fast_loop
    async def test_a_large_fleet_that_starts_together_costs_each_router_little(self):
        # Ninety routers lose power and start within a second, each with the list of the routers announced before it.
        # If each router forwarded events to all of its ten targets, every start would reach each router nine times,
        # and building a view per event would cost more processor time than loading the program.
        names = [f"r{number:03d}" for number in range(90)]
        for number, name in enumerate(names):
            await self.net.add(name)
            self.net.by_name[name].observe_vms([self.vm(other) for other in names[:number]])
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        self.assert_views(names)
        self.assertLessEqual(len(self.net.changes) / len(names), 32)
        self.assertLessEqual(sum(peers.sent for peers in self.net.peers_by_name.values()) / len(names), 3.6 * 90)
        # The death of one router is still known to all within a second.
        self.net.kill("r045")
        await asyncio.sleep(1.0)
        self.assert_views([name for name in names if name != "r045"], exclude=["r045"])

    @on_fast_loop
    async def test_killed_router(self):
        # A scheduler is killed. Its peers see their connections end and new ones refused. Within half a second all
        # have removed it from their views, so that its cells move and callers wait no longer than that.
        names = await self.net.add_all(6)
        self.net.kill("r002")
        await asyncio.sleep(0.5)
        self.assert_views([name for name in names if name != "r002"], exclude=["r002"])

    @on_fast_loop
    async def test_frozen_router(self):
        # A scheduler freezes: its connections stay open but carry nothing. Peers open new connections, get no answer
        # and remove it within about 1.2 s. When it resumes it must not declare all others dead.
        names = await self.net.add_all(6)
        others = [name for name in names if name != "r002"]
        self.net.freeze("r002")
        await asyncio.sleep(1.3)
        self.assert_views(others, exclude=["r002"])
        await asyncio.sleep(5)
        self.net.changes.clear()
        self.net.thaw("r002")
        self.assertFalse(self.net.by_name["r002"].trusted)
        await asyncio.sleep(3)
        self.assert_views(names)
        resumed = [view for _, name, view in self.net.changes if name == "r002"]
        self.assertTrue(all(set(others) <= set(view.all_members) for view in resumed))

    @on_fast_loop
    async def test_paused_while_it_suspects(self):
        # A router suspects another and is itself stopped just before the time to refute ends. When it resumes, that
        # timer fires before any message is read; it must not declare a live router dead.
        names = await self.net.add_all(6)
        watcher = self.net.by_name["r001"]
        self.net.cut = lambda one, other: one == "r001"
        watcher._suspicions.suspect(watcher._table.by_name["r002"], "test")
        await asyncio.sleep(0.24)
        self.net.freeze("r001")
        self.net.cut = lambda one, other: False
        await asyncio.sleep(0.9)
        self.net.changes.clear()
        self.net.thaw("r001")
        await asyncio.sleep(3)
        self.assert_views(names)
        self.assertFalse([view for _, name, view in self.net.changes if "r002" not in view.all_members])

    @on_fast_loop
    async def test_a_router_started_again_is_in_the_view_before_its_next_message(self):
        # A router is killed and restarted within a tenth of a second, before any peer detected its death. Its first
        # message after the hello is a registration without runs. If the view still showed its predecessor, the
        # scheduler would take the registration for the same process's and free slots whose runs continue.
        names = await self.net.add_all(3)
        again = Hello(name=names[1], incarnation=2, zone="z1", address=names[1])
        self.net.peers_by_name[names[0]].handlers_by_type[Hello](names[1], again, "")
        self.assertEqual(self.net.by_name[names[0]].view.incarnations_by_name[names[1]], 2)

    @on_fast_loop
    async def test_restarted_router(self):
        # A router is killed and restarted under its name: it is back in every view within a second.
        names = await self.net.add_all(6)
        self.net.kill("r002")
        await asyncio.sleep(2)
        await self.net.add("r002", incarnation=2, seeds=["r000"])
        await asyncio.sleep(1)
        self.assert_views(names)
        self.assertEqual(self.net.by_name["r005"].view.incarnations_by_name["r002"], 2)

    @on_fast_loop
    async def test_draining_and_leaving(self):
        names = await self.net.add_all(4)
        self.net.by_name["r001"].set_draining()
        await asyncio.sleep(0.1)
        rest = [name for name in names if name != "r001"]
        self.assert_views(rest, draining=["r001"])
        await self.net.by_name["r001"].close()
        await asyncio.sleep(0.1)
        self.assert_views(rest, exclude=["r001"])

    @on_fast_loop
    async def test_cut_off_from_a_few(self):
        # Two of six routers can't reach a third, the other three can. The third stays in every view, as each suspicion
        # is refuted through the others, and suspicions become rarer, so no router flaps.
        await self.net.add_all(6)
        self.net.cut = lambda one, other: one == "r000" and other in ("r001", "r002")
        self.net.changes.clear()
        await asyncio.sleep(60)
        self.assertEqual(self.net.changes, [])
        version = self.net.by_name["r005"]._table.by_name["r000"].version
        self.assertLess(version, 20)

    @on_fast_loop
    async def test_zone_of_nine_freezes(self):
        # Nine routers have four partners each. Three adjacent ones on the ring, the worst position for a zone, freeze
        # simultaneously. Each still has a partner outside the zone, so all are removed as soon as one would be.
        names = await self.net.add_all(9)
        ring = sorted(names, key=position_of)
        zone = ring[3:6]
        self.assertEqual({len(self.net.by_name[name].broadcast_targets()) for name in names}, {5})
        for name in zone:
            self.net.freeze(name)
        await asyncio.sleep(1.3)
        self.assert_views([name for name in names if name not in zone], exclude=zone)

    @on_fast_loop
    async def test_many_routers(self):
        # Too many routers for a full mesh: each has two partners, and still a death, a frozen router and a new
        # generation are known to all as soon as in a small fleet.
        names = await self.net.add_all(24)
        received = set()
        for name in names:
            self.net.by_name[name].on_generation(lambda peer, number, name=name: self.forward(name, number, received))
        self.net.by_name["r000"].set_generation(7)
        await asyncio.sleep(0.2)
        self.assertEqual(len(received), 24)
        self.net.kill("r002")
        self.net.freeze("r005")
        await asyncio.sleep(1.4)
        self.assert_views([name for name in names if name not in ("r002", "r005")], exclude=["r002", "r005"])

    def forward(self, name, generation, received):
        if name not in received:
            received.add(name)
            self.net.by_name[name].set_generation(generation)

    @on_fast_loop
    async def test_broadcast(self):
        names = await self.net.add_all(24)
        got = []
        for name in names:
            targets = self.net.by_name[name].broadcast_targets
            broadcast = Broadcast(peers=self.net.peers_by_name[name], targets=targets)
            broadcast.on(Withdraw, key=lambda message: message.request_id, handler=got.append)
        broadcast.send(Withdraw(request_id="x"))
        await asyncio.sleep(0.2)
        self.assertEqual(got, [Withdraw(request_id="x")] * 23)

    @on_fast_loop
    async def test_two_regions_lose_each_other(self):
        # Each side continues with its own view. When the link is restored, both converge to one view, and no router
        # removes any router of its own side meanwhile.
        names = await self.net.add_all(8)
        left, right = names[:4], names[4:]
        self.net.cut = lambda one, other: (one in left) != (other in left)
        await asyncio.sleep(60)
        for name, view in self.net.views().items():
            self.assertEqual(view.members, tuple(left if name in left else right))
        self.net.cut = lambda one, other: False
        self.net.changes.clear()
        await asyncio.sleep(15)
        self.assert_views(names)
        for _, name, view in self.net.changes:
            self.assertLessEqual(set(left if name in left else right), set(view.all_members))


class ViewSyncTest(MembershipCase):
    @on_fast_loop
    async def test_a_view_is_pulled_again_soon_from_a_peer_that_had_just_started(self):
        # Guards against views that differ for a second as the first pull reached a peer that can't answer it yet.
        pulls = []

        class Peers:
            def on(self, message_type, handler):
                pass

            async def query(self, peer, message, timeout_s):
                pulls.append(asyncio.get_running_loop().time())
                return PeerUnreachable(peer=peer, detail="the peer has no answer")

        loop = asyncio.get_running_loop()
        table = MemberTable(name="a", zone="z1", incarnation=1, now=0.0)
        sync = ViewSync(
            table=table,
            peers=Peers(),
            loop=loop,
            is_trusted=lambda: True,
            on_events=lambda *_: None,
            on_lost=lambda _: None,
        )
        for _ in range(2):
            sync.compare("b", own=1, other=2)
        await asyncio.sleep(HEARTBEAT_S)
        sync.compare("b", own=1, other=2)
        await asyncio.sleep(0.0)
        self.assertEqual(len(pulls), 2)
        for _ in range(100):
            await asyncio.sleep(HEARTBEAT_S)
            sync.compare("b", own=1, other=2)
        self.assertLess(len(pulls), 12)


class FleetSizeTest(MembershipCase):
    def sizes(self, names):
        return {self.net.by_name[name].fleet_size() for name in names}

    # Guards against a partitioned router that takes itself for the whole fleet.
    @on_fast_loop
    async def test_routers_that_cannot_be_reached_still_count(self):
        names = await self.net.add_all(6)
        self.net.cut = lambda one, other: one != other
        await asyncio.sleep(30.0)
        self.assertEqual({len(self.net.by_name[name].view.all_members) for name in names}, {1})
        self.assertEqual(self.sizes(names), {6})

    @on_fast_loop
    async def test_routers_that_were_killed_count_and_those_that_left_do_not(self):
        names = await self.net.add_all(6)
        self.net.kill(names[0])
        await asyncio.sleep(5.0)
        self.assertEqual(self.sizes(names[1:]), {6})
        await self.net.by_name[names[1]].close()
        await asyncio.sleep(1.0)
        self.net.kill(names[1])
        await asyncio.sleep(5.0)
        self.assertEqual(self.sizes(names[2:]), {5})

    # Guards against a router that starts during a partition and takes itself for the whole fleet.
    @on_fast_loop
    async def test_router_without_contacts_counts_the_listed_routers(self):
        self.net.cut = lambda one, other: one != other
        await self.net.add("r000", seeds=("r001",))
        self.net.by_name["r000"].observe_vms([self.vm(f"r{number:03d}") for number in range(9)])
        self.assertEqual(self.sizes(("r000",)), {9})


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(name="a", zone="z", incarnation=1, now=0.0)
        self.table.apply(self.event(MemberState.ALIVE), 0.0)

    def event(self, state, version=0):
        return ViewEvent(name="b", zone="z", address="h:1", incarnation=1, version=version, state=state)

    def test_death_reported_by_a_peer_counts_as_a_suspicion(self):
        # The other side of a partition reports a router dead that is connected here. It stays in the view until it had
        # time to refute; otherwise both sides would empty each other's views when the link is restored.
        self.table.apply(self.event(MemberState.DEAD), 1.0)
        self.assertEqual(self.table.view(1.0).members, ("a", "b"))
        self.table.apply(self.event(MemberState.ALIVE, version=1), 1.1)
        self.assertEqual(self.table.by_name["b"].state, MemberState.ALIVE)

    def test_hold_down_doubles_with_each_flap(self):
        # A router behind an unreliable link is lost and returns three times. Each time it is alive immediately, but
        # eligible as scheduler only after a longer hold-down, so that its cells do not move with each flap.
        held_s = []
        for version in (1, 2, 3):
            now = 10.0 * version
            self.table.by_name["b"].set_state(MemberState.DEAD, now)
            self.table.apply(self.event(MemberState.ALIVE, version=version), now)
            self.assertEqual(self.table.view(now).draining, ("b",))
            held_s.append(self.table.next_hold_down_end(now) - now)
        self.assertEqual(held_s, [1.0, 2.0, 4.0])
        self.assertEqual(self.table.view(34.0).members, ("a", "b"))

    def test_dead_member_is_revived_after_a_partition(self):
        # After a partition a peer reports a router alive that this side declared dead. Shortly after the death the
        # report is only outdated; long after, it is the other side's current state and revives the router.
        self.table.by_name["b"].set_state(MemberState.DEAD, 100.0)
        self.table.merge([self.event(MemberState.ALIVE)], 105.0, trust_peer=False)
        self.assertEqual(self.table.view(105.0).all_members, ("a",))
        self.table.merge([self.event(MemberState.ALIVE)], 111.0, trust_peer=False)
        self.assertEqual(self.table.view(111.0).all_members, ("a", "b"))

    def test_death_in_the_view_of_a_peer_is_disputed(self):
        # A peer's complete view shows a router as dead that is alive here. It is checked rather than accepted, unless
        # this router itself has just started or was paused.
        _, disputed = self.table.merge([self.event(MemberState.DEAD)], 1.0, trust_peer=False)
        self.assertEqual((disputed, self.table.view(1.0).all_members), (["b"], ("a", "b")))
        self.table.merge([self.event(MemberState.DEAD)], 1.0, trust_peer=True)
        self.assertEqual(self.table.view(1.0).all_members, ("a",))
