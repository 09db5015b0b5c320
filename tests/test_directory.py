import asyncio
import unittest

from tests.test_peers import grant_request
from wagtailtrestle.directory import Directory
from wagtailtrestle.messages import Register, Withdraw
from wagtailtrestle.view import View


class FakePeers:
    def __init__(self):
        self.sent, self.handlers_by_type, self.reconnect = [], {}, None

    def on(self, message_type, handler):
        self.handlers_by_type[message_type] = handler

    def on_reconnect(self, callback):
        self.reconnect = callback

    def send(self, peer, message, *, cell=""):
        self.sent.append((peer, cell, message))
        return True


class FakeMembership:
    def __init__(self, *members):
        self.view, self.callback = View(members=members), None

    def on_view_change(self, callback):
        self.callback = callback

    def change(self, *members):
        self.view = View(members=members)
        self.callback(self.view)


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    def make(self, *members):
        self.peers, self.membership = FakePeers(), FakeMembership(*members)
        self.to_steward, self.to_entry = [], []
        return Directory(
            name="a",
            membership=self.membership,
            peers=self.peers,
            loop=asyncio.get_running_loop(),
            deliver_to_steward=lambda cell, message: self.to_steward.append((cell, message)),
            deliver_to_entry=self.to_entry.append,
            register=lambda cell: Register(entry="a", cell=cell, waiting=(grant_request(),)),
            cells=lambda: ["c1"],
        )

    async def test_steward_dies(self):
        # The steward of a cell goes out of the view. The entry's waiting requests must be known to the next
        # steward without any request being sent again by hand, or they would wait for ever.
        directory = self.make("b")
        directory.send_to_steward(cell="c1", message=Withdraw(request_id="x"))
        self.membership.change("c")
        self.assertIn(("c", "c1", Register(entry="a", cell="c1", waiting=(grant_request(),))), self.peers.sent)
        self.assertIn(("b", "c1", Register(entry="a", cell="c1")), self.peers.sent)

    async def test_own_cell_needs_no_peer(self):
        directory = self.make("a")
        directory.steward_link.send(cell="c1", message=Withdraw(request_id="x"))
        await asyncio.sleep(0)
        self.assertEqual(self.to_steward[-1], ("c1", Withdraw(request_id="x")))
        self.assertEqual(self.peers.sent, [])
