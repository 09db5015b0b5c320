"""Routers that start after their clock was set back: their incarnation is lower than that of their predecessor."""

import asyncio
import unittest

from wagtailtrestle.membership.membership import MAX_START_S, Membership
from wagtailtrestle.peers.peers_grpc import Peers

BEFORE_MS = 5_000_000
AFTER_MS = 1_000
WAIT_S = 5.0


class Node:
    """The links and the membership of one router."""

    def __init__(self, *, name, incarnation, address="127.0.0.1:0", seeds=None, age_s=0.0):
        loop = asyncio.get_running_loop()
        self.peers = Peers(name=name, incarnation=incarnation, listen_address=address, loop=loop, zone="a")
        self.membership = Membership(
            name=name, zone="a", incarnation=incarnation, peers=self.peers, loop=loop, seeds=seeds or {}
        )
        self.membership._started_at -= age_s

    async def start(self):
        await self.peers.start()
        await self.membership.start()
        return self

    async def kill(self):
        """End like a process that is killed: nobody is told."""
        self.membership._gossip = lambda event, exclude=None: None
        await self.membership.close()
        await self.peers.close()

    @property
    def members(self):
        return self.membership.view.members


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def has_joined(node):
    """Whether a node sees the router that started again, by a higher incarnation than its predecessor's."""
    view = node.membership.view
    return view.members == ("r0", "r1", "r2") and view.incarnations_by_name["r2"] > BEFORE_MS


class ClockSetBackTest(unittest.IsolatedAsyncioTestCase):
    async def fleet(self):
        first = await Node(name="r0", incarnation=BEFORE_MS).start()
        seeds = {"r0": first.peers.address}
        others = [await Node(name=f"r{number}", incarnation=BEFORE_MS, seeds=seeds).start() for number in (1, 2)]
        fleet = [first, *others]
        for node in fleet:
            self.addAsyncCleanup(node.peers.close)
            self.addAsyncCleanup(node.membership.close)
        await wait_until(lambda: all(node.members == ("r0", "r1", "r2") for node in fleet))
        return fleet, seeds

    # Guards against a router that reaches no other one, as all take it for its own predecessor.
    async def test_the_router_joins_the_others_again(self):
        for seconds in (0.0, 2.0):
            with self.subTest(seconds=seconds):
                (first, other, last), seeds = await self.fleet()
                await last.kill()
                await asyncio.sleep(seconds)
                again = await Node(name="r2", incarnation=AFTER_MS, address=last.peers.address, seeds=seeds).start()
                self.addAsyncCleanup(again.peers.close)
                self.addAsyncCleanup(again.membership.close)
                nodes = (first, other, again)
                await wait_until(lambda nodes=nodes: all(has_joined(node) for node in nodes))
                self.assertFalse(again.membership.draining)

    # Guards against a process that was paused while a later one took its name, and outbids that one.
    async def test_a_process_that_was_replaced_does_not_come_back(self):
        (first, other, last), seeds = await self.fleet()
        await last.kill()
        former = await Node(name="r2", incarnation=AFTER_MS, seeds=seeds, age_s=2 * MAX_START_S).start()
        self.addAsyncCleanup(former.peers.close)
        self.addAsyncCleanup(former.membership.close)
        await asyncio.sleep(2.0)
        for node in (first, other):
            self.assertNotIn("r2", node.members)


if __name__ == "__main__":
    unittest.main()
