import asyncio
import unittest

from wagtailtrestle.messages import GrantRequest, Register, RunningRecord, Withdraw
from wagtailtrestle.peer_codec import BODIES, decode, encode
from wagtailtrestle.peer_messages import ConfigurationAsk, ConfigurationText, PeerUnreachable
from wagtailtrestle.peers_grpc import Peers


def grant_request(request_id="a/1"):
    return GrantRequest(
        request_id=request_id,
        attempt=1,
        entry="a",
        service="asistente",
        cell="c1",
        team="t",
        tier=2,
        repeatable=True,
        prompt_tokens=100,
        output_tokens=20,
        remaining_s=1.5,
        prefix_blocks=(2**64 - 1, 7),
        excluded_engines=("e1",),
    )


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def make(self, name, incarnation=1, address="127.0.0.1:0"):
        peers = Peers(
            name=name, incarnation=incarnation, listen_address=address, loop=asyncio.get_running_loop(), seed=1
        )
        await peers.start()
        self.addAsyncCleanup(peers.close)
        return peers

    async def pair(self):
        a, b = await self.make("a"), await self.make("b")
        a.set_addresses({"b": b.address})
        b.set_addresses({"a": a.address})
        return a, b

    async def until(self, condition, timeout_s=5):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)

    async def test_messages_sent_by_both_at_once_arrive_once_and_in_order(self):
        # Both routers dial at the same moment, so two connections come up and one is given up.
        # Neither end may lose or repeat what was already written to the one that goes.
        a, b = await self.pair()
        got_by_a, got_by_b = [], []
        a.on(Withdraw, lambda peer, message, cell: got_by_a.append(message.request_id))
        b.on(Withdraw, lambda peer, message, cell: got_by_b.append(message.request_id))
        numbers = [str(number) for number in range(300)]
        for number in numbers:
            self.assertTrue(a.send("b", Withdraw(request_id=number), cell="c"))
            self.assertTrue(b.send("a", Withdraw(request_id=number)))
        await self.until(lambda: len(got_by_a) >= 300 and len(got_by_b) >= 300)
        self.assertEqual((got_by_a, got_by_b), (numbers, numbers))

    async def test_ask(self):
        a, b = await self.pair()
        b.on(ConfigurationAsk, lambda peer, message, cell: ConfigurationText(generation=3, text="x"))
        self.assertEqual(await a.ask("b", ConfigurationAsk(), 1), ConfigurationText(generation=3, text="x"))
        self.assertIsInstance(await b.ask("a", ConfigurationAsk(), 1), PeerUnreachable)


class CodecTest(unittest.TestCase):
    def test_nested_message_comes_back_equal(self):
        request = grant_request()
        running = RunningRecord(request=request, engine="e2", elapsed_s=0.25, output_tokens=3)
        register = Register(entry="a", cell="c1", waiting=(request,), running=(running,))
        self.assertEqual(decode(encode(register, cell="c1")), register)
        self.assertIn(Register, BODIES)
