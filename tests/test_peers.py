import asyncio
import json
import signal
import sys
import typing
import unittest
from enum import Enum
from unittest import mock

import looptime
from grpclib.client import Channel

from tests.utils.tcp_forwarder import TcpForwarder
from wagtailtrestle.contracts.messages import (
    GrantRequest,
    Register,
    RetryHistory,
    RunFinished,
    RunningRecord,
    RunProgress,
    RunStarted,
    Withdraw,
)
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.contracts.peer_messages import (
    ConfigurationAsk,
    ConfigurationText,
    Heartbeat,
    Hello,
    PeerUnreachable,
)
from wagtailtrestle.generated import peers_pb2 as pb
from wagtailtrestle.peers.codec import BODIES, decode, encode
from wagtailtrestle.peers.connection import connect
from wagtailtrestle.peers.delays import delay_of
from wagtailtrestle.peers.outbox import Outbox
from wagtailtrestle.peers.peers_grpc import Peers


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


async def until(condition, timeout_s=5):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def make(self, name, incarnation=1, address="127.0.0.1:0", **more):
        loop = asyncio.get_running_loop()
        peers = Peers(name=name, incarnation=incarnation, listen_address=address, loop=loop, seed=1, **more)
        await peers.start()
        self.addAsyncCleanup(peers.close)
        return peers

    async def pair(self):
        a, b = await self.make("a"), await self.make("b")
        a.set_addresses({"b": b.address})
        b.set_addresses({"a": a.address})
        return a, b

    def received_by(self, peers):
        got = []
        peers.on(Withdraw, lambda peer, message, cell: got.append(message.request_id))
        return got

    async def test_both_dial_at_once(self):
        # Both routers dial at the same moment, so two connections are opened and one is closed again. Neither end may
        # lose or repeat what was already written to the one that is closed.
        a, b = await self.pair()
        got_by_a, got_by_b = self.received_by(a), self.received_by(b)
        numbers = [str(number) for number in range(300)]
        for number in numbers:
            self.assertTrue(a.send("b", Withdraw(request_id=number), cell="c"))
            self.assertTrue(b.send("a", Withdraw(request_id=number)))
        await until(lambda: len(got_by_a) >= 300 and len(got_by_b) >= 300)
        self.assertEqual((got_by_a, got_by_b), (numbers, numbers))

    async def test_capacity_is_announced_in_both_directions(self):
        # Guards against a capacity that is lost on the wire: the router would never be chosen as scheduler.
        a, b = await self.make("a", cores=2.15), await self.make("b", cores=0.361)
        hellos = {}
        for peers in (a, b):
            peers.on(Hello, lambda peer, hello, cell: hellos.update({peer: hello.cores}))
        a.set_addresses({"b": b.address})
        a.send("b", Withdraw(request_id="x"))
        await until(lambda: len(hellos) == 2)
        self.assertEqual(hellos, {"a": 2.15, "b": 0.361})

    async def test_query(self):
        a, b = await self.pair()
        b.on(ConfigurationAsk, lambda peer, message, cell: ConfigurationText(generation=3, packed=b"x"))
        self.assertEqual(await a.query("b", ConfigurationAsk(), 1), ConfigurationText(generation=3, packed=b"x"))
        self.assertIsInstance(await b.query("a", ConfigurationAsk(), 1), PeerUnreachable)

    async def test_connection_goes_silent(self):
        # A device between the ends loses the state of an open connection, which stays open but carries nothing. The
        # sender receives nothing, pings the peer, and opens a new connection, which works.
        a, b = await self.make("a"), await self.make("b")
        forwarder = TcpForwarder(target=b.address)
        await forwarder.start()
        self.addAsyncCleanup(forwarder.close)
        b.address = forwarder.address
        got = self.received_by(b)
        reconnected, unreachable = [], []
        a.set_addresses({"b": forwarder.address})
        a.on_reconnect(reconnected.append)
        a.on_unreachable(lambda peer, detail: unreachable.append(peer))
        a.send("b", Withdraw(request_id="before"))
        await until(lambda: got == ["before"])
        forwarder.lose_track()
        a.send("b", Withdraw(request_id="lost"))
        await until(lambda: len(reconnected) == 2)
        a.send("b", Withdraw(request_id="after"))
        await until(lambda: "after" in got)
        self.assertEqual((forwarder.connections, unreachable), (2, []))

    async def test_end_of_a_run_is_lost_on_a_silent_connection(self):
        # The scheduler never learns that a slot is free, and nothing else is sent on that connection. A finished run
        # waits longer than other messages for a response, but not forever: then a new connection makes the entry
        # register.
        a, b = await self.make("a"), await self.make("b")
        forwarder = TcpForwarder(target=b.address)
        await forwarder.start()
        self.addAsyncCleanup(forwarder.close)
        b.address = forwarder.address
        reconnected = []
        a.set_addresses({"b": forwarder.address})
        a.on_reconnect(reconnected.append)
        a.send("b", RunFinished(request_id="before", engine="e", result="RunDone", duration_s=1.0))
        await until(lambda: b.unknown_items == 1)
        forwarder.lose_track()
        a.send("b", RunFinished(request_id="lost", engine="e", result="RunDone", duration_s=1.0))
        await until(lambda: len(reconnected) == 2)

    async def test_informational_items_are_not_acknowledged(self):
        # The start of a run and heartbeats are sent in one direction for a while. If each triggered a ping and a pong,
        # there would be three messages instead of one.
        a, b = await self.pair()
        a.send("b", RunStarted(request_id="x", engine="e", first_token_s=0.1))
        await until(lambda: a.connected("b"))
        a.send("b", Heartbeat(incarnation=1, version=1, generation=1, draining=False, view_digest=1))
        await until(lambda: b.unknown_items == 2)
        await asyncio.sleep(1.0)
        self.assertEqual((a.dump()["b"]["link"]["items_received"], a.dump()["b"]["link"]["items_sent"]), (0, 2))

    async def test_connection_ends_between_opening_and_use(self):
        # A peer dies just after it accepted the connection. The attempt must end as failed like any other: if it raised
        # an error, the peer would not be reported as unreachable, and no further attempt would be made.
        b = await self.make("b")
        connect_channel = Channel.__connect__

        async def lost_at_once(channel):
            protocol = await connect_channel(channel)
            protocol.processor.close()
            return protocol

        with mock.patch.object(Channel, "__connect__", lost_at_once):
            hello = Hello(name="a", incarnation=1, zone="", address="")
            self.assertIsInstance(await connect(address=b.address, name="b", own_hello=hello), str)

    async def test_used_link_falls_quiet(self):
        # One message is sent and none is received, so the sender pings the peer once. The pong needs no response:
        # otherwise both ends would ping each other forever on every link once used.
        a, b = await self.pair()
        got = self.received_by(b)
        a.send("b", Withdraw(request_id="x"))
        await until(lambda: got == ["x"] and a.dump()["b"]["link"]["items_received"] == 1)
        await asyncio.sleep(1.5)
        self.assertEqual(a.dump()["b"]["link"]["items_received"], 1)

    async def test_query_in_flight_when_the_connection_is_lost(self):
        # The peer dies after it received the query. The requester must not wait until its time-out.
        a, b = await self.pair()
        received = asyncio.Event()
        b.on(ConfigurationAsk, lambda peer, message, cell: received.set() or asyncio.sleep(60))
        answer = asyncio.create_task(a.query("b", ConfigurationAsk(), 60))
        await received.wait()
        await b.close()
        self.assertIsInstance(await asyncio.wait_for(answer, 5), PeerUnreachable)

    async def test_queue_overflows(self):
        # A peer reads nothing. The queue to it is bounded; when it is full, it is dropped completely and the peer is
        # reported, so that both ends register again instead of missing some messages unnoticed.
        a = await self.make("a")
        a.set_addresses({"b": "127.0.0.1:1"})
        suspects = []
        a.on_unreachable(lambda peer, detail: suspects.append(detail))
        big = Withdraw(request_id="x" * 1_000_000)
        accepted = [a.send("b", big) for _ in range(6)]
        self.assertEqual(accepted, [True, True, True, True, False, True])
        self.assertIn("queue overflow", suspects)

    async def test_restarted_peer_and_its_late_predecessor(self):
        # A router restarts; then a connection of its former process arrives late. The messages on it are outdated.
        a = await self.make("a")
        got = self.received_by(a)
        new = await self.make("b", incarnation=2)
        old = await self.make("b", incarnation=1)
        for peers in (new, old):
            peers.set_addresses({"a": a.address})
        new.send("a", Withdraw(request_id="new"))
        await until(lambda: got == ["new"])
        old.send("a", Withdraw(request_id="old"))
        await until(lambda: a.dump()["b"]["stale_dropped"] > 0)
        new.send("a", Withdraw(request_id="new again"))
        await until(lambda: "new again" in got)
        self.assertNotIn("old", got)


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.views_by_name, self.process_by_name, self.readers = {}, {}, []

    async def launch(self, name, *seeds, incarnation=1, address="127.0.0.1:0"):
        arguments = ["-m", "wagtailtrestle.slopes.member", name, str(incarnation), address, *seeds]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
        )
        self.process_by_name[name] = process
        self.views_by_name[name] = []
        self.readers.append(asyncio.create_task(self.read(name, process)))
        self.addAsyncCleanup(self.stop, process)

    async def read(self, name, process):
        async for line in process.stdout:
            record = json.loads(line)
            if "members" in record:
                self.views_by_name[name].append(record["members"])

    async def stop(self, process):
        if process.returncode is None:
            process.kill()
        await process.wait()

    def all_see(self, members, by):
        return all(self.views_by_name[name][-1:] == [members] for name in by)

    async def test_kill_freeze_wake(self):
        # Three processes. One is stopped: the others remove it from their views, and when it resumes they add it again,
        # and it never declares the others dead. Then one is killed and removed. The times are checked by the tests on
        # the fast loop.
        seed = await free_address()
        await self.launch("a", address=seed)
        await self.launch("b", f"a={seed}")
        await self.launch("c", f"a={seed}")
        await until(lambda: self.all_see(["a", "b", "c"], by="abc"), 20)
        self.process_by_name["b"].send_signal(signal.SIGSTOP)
        await until(lambda: self.all_see(["a", "c"], by="ac"), 20)
        seen_before = len(self.views_by_name["b"])
        self.process_by_name["b"].send_signal(signal.SIGCONT)
        await until(lambda: self.all_see(["a", "b", "c"], by="ac"), 20)
        self.assertTrue(all(view == ["a", "b", "c"] for view in self.views_by_name["b"][seen_before:]))
        self.process_by_name["c"].kill()
        await until(lambda: self.all_see(["a", "b"], by="ab"), 20)


async def free_address():
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return f"127.0.0.1:{port}"


def example(cls):
    """Instance of a message class with a non-default value in each field."""
    values = {}
    for name, hint in typing.get_type_hints(cls).items():
        if isinstance(hint, type) and issubclass(hint, Enum):
            values[name] = list(hint)[-1]
        elif hint is tuple:
            values[name] = ()
        elif hint is RetryHistory:
            values[name] = RetryHistory(up_s=0.1, retries_by_age_s=(0, 7), successes_by_age_s=(7,))
        else:
            values[name] = {str: "é", int: 7, float: 0.1, bool: True, bytes: b"\xff"}[hint]
    return cls(**values)


class CodecTest(unittest.TestCase):
    def test_every_message_comes_back_equal(self):
        for cls in BODIES:
            with self.subTest(cls.__name__):
                message = example(cls)
                item = pb.Item.FromString(encode(message, cell="c", question=3).SerializeToString())
                self.assertEqual((decode(item), item.cell, item.question), (message, "c", 3))

    def test_nested_message_comes_back_equal(self):
        request = grant_request()
        running = RunningRecord(request=request, engine="e2", elapsed_s=0.25, output_tokens=3)
        register = Register(entry="a", cell="c1", waiting=(request,), running=(running,))
        self.assertEqual(decode(encode(register, cell="c1")), register)

    def test_newer_peer(self):
        # A newer router sends an item unknown here, which is skipped. A refusal for an unknown reason is still one.
        self.assertIsNone(decode(pb.Item(cell="c")))
        refused = pb.Item(refused=pb.Refused(request_id="a/1", attempt=1, reason="of_tomorrow"))
        self.assertEqual(decode(refused).reason, Reason.OVERLOADED)


class OutboxTest(unittest.TestCase):
    def run_on_fast_loop(self, test):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(test(Outbox(loop=runner.get_loop())))

    def put(self, outbox, message):
        self.assertTrue(outbox.put(encode(message), related_request=message.request_id, delay=delay_of(message)))

    def take_batch(self, outbox):
        return [decode(item) for item in outbox.take_batch()]

    def test_batches_are_bounded_and_in_order(self):
        async def test(outbox):
            items = [encode(Withdraw(request_id=f"{number}" + "x" * 30_000)) for number in range(5)]
            for item in items:
                outbox.put(item)
            batches = [outbox.take_batch(), outbox.take_batch(), outbox.take_batch()]
            self.assertEqual([len(batch) for batch in batches], [2, 2, 1])
            self.assertEqual(sum(batches, []), items)
            self.assertEqual((len(outbox), outbox.queued_bytes), (0, 0))

        self.run_on_fast_loop(test)

    def test_informational_items_wait_for_a_batch_for_a_bounded_time(self):
        # Nothing else is sent to that peer: the first token is still reported within 0.1 s, and the progress within
        # 8 s. If either waited only for a batch, the scheduler would never receive it.
        async def test(outbox):
            began = asyncio.get_running_loop().time()
            self.put(outbox, RunStarted(request_id="a", engine="e", first_token_s=0.1))
            self.put(outbox, RunProgress(request_id="a", output_tokens=5))
            for expected, at_s in ((RunStarted, 0.1), (RunProgress, 8.0)):
                await asyncio.wait_for(outbox.wait(), 60)
                self.assertAlmostEqual(asyncio.get_running_loop().time() - began, at_s, places=2)
                self.assertEqual([type(message) for message in self.take_batch(outbox)], [expected])

        self.run_on_fast_loop(test)

    def test_informational_items_keep_their_order_with_immediate_ones(self):
        # A run ends before its start was reported. The end frees the slot, so it is sent immediately; it must not
        # overtake the start, nor leave the older progress queued, to be taken for that of a later run.
        async def test(outbox):
            started = RunStarted(request_id="a", engine="e", first_token_s=0.1)
            finished = RunFinished(request_id="a", engine="e", result="RunCancelled", duration_s=0.2)
            self.put(outbox, started)
            self.put(outbox, RunProgress(request_id="a", output_tokens=5))
            self.put(outbox, RunProgress(request_id="b", output_tokens=6))
            self.put(outbox, finished)
            self.put(outbox, grant_request("a"))
            await asyncio.wait_for(outbox.wait(), 0.001)
            self.assertEqual(self.take_batch(outbox), [started, finished, grant_request("a")])
            await asyncio.sleep(4.1)
            self.put(outbox, Withdraw(request_id="c"))
            self.assertEqual(
                self.take_batch(outbox), [RunProgress(request_id="b", output_tokens=6), Withdraw(request_id="c")]
            )
            self.assertEqual((len(outbox), outbox.queued_bytes), (0, 0))

        self.run_on_fast_loop(test)

    def test_newer_progress_replaces_older_without_a_longer_wait(self):
        # A run reports its progress four times a second. One message with the latest state is sent; if each update
        # reset the wait of the previous one, none would ever be sent.
        async def test(outbox):
            began = asyncio.get_running_loop().time()
            for number in range(32):
                self.put(outbox, RunProgress(request_id="a", output_tokens=number))
                await asyncio.sleep(0.25)
            await asyncio.wait_for(outbox.wait(), 1)
            self.assertAlmostEqual(asyncio.get_running_loop().time() - began, 8.0, places=2)
            self.assertEqual(self.take_batch(outbox), [RunProgress(request_id="a", output_tokens=31)])

        self.run_on_fast_loop(test)

    def test_release_sends_waiting_items_immediately(self):
        # The router drains: items that wait for a batch are sent before the connections are closed.
        async def test(outbox):
            self.put(outbox, RunProgress(request_id="a", output_tokens=5))
            outbox.release()
            await asyncio.wait_for(outbox.wait(), 0.001)
            self.assertEqual(len(self.take_batch(outbox)), 1)

        self.run_on_fast_loop(test)

    def test_batch_has_the_patience_of_its_most_urgent_item(self):
        # A grant request is batched with the end of a run: the peer's silence counts as soon as for the request alone.
        async def test(outbox):
            self.put(outbox, RunStarted(request_id="a", engine="e", first_token_s=0.1))
            self.put(outbox, RunFinished(request_id="b", engine="e", result="RunDone", duration_s=0.2))
            self.take_batch(outbox)
            patience_s = outbox.patience_s
            self.put(outbox, RunFinished(request_id="c", engine="e", result="RunDone", duration_s=0.2))
            self.put(outbox, grant_request())
            self.take_batch(outbox)
            self.assertEqual((patience_s, outbox.patience_s), (2.0, 0.0))

        self.run_on_fast_loop(test)

    def test_clear_drops_waiting_items_too(self):
        # The link is dropped after an overflow; a later progress must not refer to one that was cleared.
        async def test(outbox):
            self.put(outbox, RunProgress(request_id="a", output_tokens=5))
            self.assertEqual(outbox.clear(), 1)
            self.put(outbox, RunProgress(request_id="a", output_tokens=6))
            await asyncio.wait_for(outbox.wait(), 9)
            self.assertEqual(self.take_batch(outbox), [RunProgress(request_id="a", output_tokens=6)])

        self.run_on_fast_loop(test)
