import asyncio
import unittest

from tests.test_peers import grant_request
from wagtailtrestle.contracts.messages import Granted, Register, Withdraw
from wagtailtrestle.contracts.peer_messages import RegisterAsk, Relayed
from wagtailtrestle.membership.view import View
from wagtailtrestle.peers.directory import VIEW_SHARE_INTERVAL_S, Directory
from wagtailtrestle.peers.rendezvous import Rendezvous

REGISTRATION = Register(entry="a", cell="c1", waiting=(grant_request(),))
EMPTY_REGISTRATION = Register(entry="a", cell="c1", elsewhere=True)


class FakePeers:
    def __init__(self):
        self.sent, self.handlers_by_type, self.reconnect = [], {}, None
        self.unreachable_s_by_peer = {}

    def on(self, message_type, handler):
        self.handlers_by_type[message_type] = handler

    def on_reconnect(self, callback):
        self.reconnect = callback

    def on_superseded(self, callback):
        self.superseded_callback = callback

    def set_incarnation(self, incarnation):
        self.incarnation = incarnation

    def on_unreachable(self, callback):
        self.unreachable = callback

    def connected(self, peer):
        return peer not in self.unreachable_s_by_peer

    def unreachable_s(self, peer):
        return self.unreachable_s_by_peer.get(peer)

    def send(self, peer, message, *, cell=""):
        self.sent.append((peer, cell, message))
        return True

    def receive(self, peer, message, cell="c1"):
        self.handlers_by_type[type(message)](peer, message, cell)


class FakeMembership:
    def __init__(self, *members):
        self.view, self.trusted, self.draining = View(members=members), True, False
        self.shared = []

    def on_view_change(self, callback):
        self.view_changed = callback

    def on_trusted(self, callback):
        self.trusted_again = callback

    def share_member(self, *, peer, name):
        self.shared.append((peer, name))

    def change(self, *members, **more):
        self.view = View(members=members, **more)
        self.view_changed(self.view)


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    def make(self, *members, **more):
        self.peers, self.membership = FakePeers(), FakeMembership(*members)
        self.to_scheduler, self.members_set = [], []
        self.directory = Directory(
            name="a",
            membership=self.membership,
            peers=self.peers,
            loop=asyncio.get_running_loop(),
            deliver_to_scheduler=lambda cell, message: self.to_scheduler.append((cell, message)),
            deliver_to_entry=lambda message: None,
            register=lambda cell: REGISTRATION,
            cells=lambda: ["c1"],
            set_members=self.members_set.append,
            **more,
        )

    def send(self):
        return self.directory.scheduler_link.send(cell="c1", message=Withdraw(request_id="x"))

    async def test_scheduler_leaves_the_view(self):
        # The scheduler of a cell leaves the view. The entry's waiting requests must be registered with the next
        # scheduler without any request being sent again, or they would wait forever.
        self.make("b")
        self.send()
        self.membership.change("c")
        self.assertEqual(self.peers.sent[2:], [("c", "c1", REGISTRATION)])

    async def test_former_scheduler_stays_alive(self):
        # Another router joins and becomes scheduler. The former one must release this entry's slots.
        self.make("b")
        self.send()
        self.membership.change("c", draining=["b"])
        self.assertEqual(self.peers.sent[2:], [("b", "c1", EMPTY_REGISTRATION), ("c", "c1", REGISTRATION)])

    async def test_router_that_becomes_scheduler_again_begins_the_cell_again(self):
        # The state from its first time as scheduler lacks what the scheduler in between granted.
        begun = []
        self.make("a", begin_cell=begun.append)
        self.directory.refresh()
        self.membership.change("b")
        self.assertEqual(begun, ["c1"])
        self.membership.change("a")
        self.assertEqual(begun, ["c1", "c1"])

    async def test_own_cell_needs_no_peer(self):
        self.make("a")
        self.send()
        await asyncio.sleep(0)
        self.assertEqual(self.to_scheduler, [("c1", REGISTRATION), ("c1", Withdraw(request_id="x"))])
        self.assertEqual(self.peers.sent, [])

    async def test_slots_are_shared_only_by_a_trusted_view_and_without_a_local_scheduler(self):
        # Guards against plain calls that are dispatched without a scheduler: by lists of engines that are outdated
        # after a pause, or past the queue of a scheduler in this process.
        self.make("b", "c")
        self.assertEqual(self.directory.routers_sharing("c1"), 2)
        self.membership.trusted = False
        self.assertEqual(self.directory.routers_sharing("c1"), 0)
        self.membership.trusted = True
        self.membership.change("a")
        self.assertEqual(self.directory.routers_sharing("c1"), 0)

    async def test_reconnect(self):
        # The connection to the scheduler was lost and reopened; grants on it may be lost, so the entry registers again.
        self.make("b")
        self.send()
        self.peers.sent.clear()
        self.peers.reconnect("b")
        self.assertEqual(self.peers.sent, [("b", "c1", REGISTRATION)])

    async def test_views_differ(self):
        # A peer considers this router the scheduler, this router another one. It serves the request nevertheless:
        # rejected or forwarded, the request could circulate until its deadline.
        self.make("b")
        self.peers.receive("c", grant_request())
        self.assertEqual(self.to_scheduler, [("c1", grant_request())])
        self.assertEqual(self.peers.sent, [])

    async def test_a_router_that_sends_to_another_scheduler_learns_of_the_one_it_does_not_know(self):
        # Guards against requests that wait at a router which is not the scheduler by its own view, until they are
        # refused as if the service were full: its scheduler there awaits this router's registration in vain.
        self.make("a", "b")
        self.peers.receive("c", grant_request())
        self.assertEqual(self.membership.shared, [])
        self.membership.change("b")
        self.peers.receive("c", Register(entry="c", cell="c1", elsewhere=True))
        self.assertEqual(self.membership.shared, [])
        for _ in range(3):
            self.peers.receive("c", grant_request())
        self.assertEqual(self.membership.shared, [("c", "b")])
        await asyncio.sleep(VIEW_SHARE_INTERVAL_S)
        self.peers.receive("c", REGISTRATION)
        self.assertEqual(self.membership.shared, [("c", "b")] * 2)

    async def test_draining_router_forwards(self):
        # The router leaves and grants nothing more; a peer that doesn't know this yet still sends it a request.
        self.make("b")
        self.membership.draining = True
        self.peers.receive("c", grant_request())
        self.assertEqual(self.peers.sent, [("b", "c1", grant_request())])
        self.assertEqual(self.to_scheduler, [])

    async def test_paused_router_waits_for_the_current_view(self):
        # The process was paused for long. Messages sent by its old view would reach a former scheduler, so it sends
        # nothing until a peer has sent the current view, and then registers everything.
        self.make("b")
        self.membership.trusted = False
        self.assertTrue(self.send())
        self.membership.change("c")
        self.assertEqual(self.peers.sent, [])
        self.membership.trusted = True
        self.membership.trusted_again()
        self.assertIn(("c", "c1", REGISTRATION), self.peers.sent)

    async def test_entry_restarts_without_leaving_the_view(self):
        # A router restarts so fast that it never left the view. What its former process held is released.
        self.make("a", "b")
        self.membership.change("a", "b", incarnations_by_name={"a": 1, "b": 1})
        self.members_set.clear()
        self.membership.change("a", "b", incarnations_by_name={"a": 1, "b": 2})
        self.assertEqual(self.members_set, [("a",), ("a", "b")])

    async def test_registration_requested_by_another_than_the_scheduler(self):
        self.make("b")
        self.peers.receive("b", RegisterAsk())
        self.peers.receive("c", RegisterAsk())
        self.assertEqual(self.peers.sent, [("b", "c1", REGISTRATION), ("c", "c1", EMPTY_REGISTRATION)])

    async def test_direct_path_is_cut(self):
        # Only this router can't reach the scheduler. Its messages are relayed by a third one, and so are the answers.
        self.make("b")
        self.membership.view.all_members = ("a", "b", "c")
        self.peers.unreachable_s_by_peer["b"] = 2.0
        self.send()
        helpers = {(peer, type(message), message.target) for peer, _, message in self.peers.sent}
        self.assertEqual(helpers, {("c", Relayed, "b")})
        self.peers.sent.clear()
        granted = Granted(request_id="b/1", attempt=1, engine="e", progress_deadline_s=1, first_token_deadline_s=1)
        relayed = Relayed(source="b", target="c", item=b"")
        self.peers.receive("b", relayed)
        self.assertEqual(self.peers.sent, [("c", "", relayed)])
        self.assertTrue(self.directory.entry_link.send(entry="b", message=granted))
        self.assertEqual(self.peers.sent[1][0], "c")


class RendezvousTest(unittest.TestCase):
    def test_only_the_cells_of_a_lost_router_move(self):
        members = tuple(f"r{number}" for number in range(9))
        cells = [f"c{number}" for number in range(900)]
        rendezvous = Rendezvous()
        before = {cell: rendezvous.choose(key=cell, members=members) for cell in cells}
        after = {cell: rendezvous.choose(key=cell, members=members[1:]) for cell in cells}
        moved = {cell for cell in cells if before[cell] != after[cell]}
        self.assertEqual(moved, {cell for cell in cells if before[cell] == "r0"})
        shares = [list(before.values()).count(member) for member in members]
        self.assertTrue(all(70 <= share <= 135 for share in shares), shares)
        self.assertIsNone(rendezvous.choose(key="c1", members=()))
