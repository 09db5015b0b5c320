"""Tunnels to engines between two routers' ends, over loopback connections."""

import asyncio
import errno
import socket
import struct
import threading
import unittest
from unittest import mock

from tests.utils.tcp_forwarder import TcpForwarder
from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.contracts.outcomes import RunCancelled, RunCut, RunDone, RunNotSent
from wagtailtrestle.engines.connector import PathConnector
from wagtailtrestle.engines.paths import EnginePaths
from wagtailtrestle.engines.run_exchange import RunExchange
from wagtailtrestle.peers import tunnel_server
from wagtailtrestle.peers.peers_grpc import Peers
from wagtailtrestle.peers.tunnel_client import TunnelClient
from wagtailtrestle.peers.tunnel_server import TunnelServer
from wagtailtrestle.platform.engines import PlatformCall, PlatformReceived

ENGINE = "e1"
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
CLOSED_ADDRESS = "127.0.0.1:1"
WAIT_S = 5.0


class FakeEngine:
    """Accepts connections and answers with ``parts``; ``release`` lets it continue after the first one."""

    def __init__(self, *parts, resets=False):
        self.parts = parts
        self.resets = resets
        self.requests = []
        self.release = asyncio.Event()
        self.gone = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        except asyncio.IncompleteReadError:
            writer.close()
            return
        for number, part in enumerate(self.parts):
            if number:
                await self.release.wait()
            writer.write(part)
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await asyncio.sleep(0.05)
            writer.transport.abort()
            return
        if not self.parts:
            await reader.read()
            self.gone.set()
        writer.close()


class TunnelCase(unittest.IsolatedAsyncioTestCase):
    """A router that can't reach the engine, and one that can."""

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.members = {"helper", "entry"}
        self.lost = False
        self.engines = {}
        self.server = TunnelServer(
            address_of=lambda engine: self.engines.get(engine),
            is_member=lambda name: name in self.members,
            is_lost=lambda engine: self.lost,
            count=lambda name, **labels: None,
        )
        self.helper = Peers(name="helper", incarnation=1, listen_address="127.0.0.1:0", loop=self.loop)
        self.helper.serve_tunnels(self.server.serve)
        await self.helper.start()
        self.addAsyncCleanup(self.helper.close)
        self.forwarder = TcpForwarder(target=self.helper.address)
        await self.forwarder.start()
        self.addAsyncCleanup(self.forwarder.close)
        self.tunnels = TunnelClient(
            name="entry",
            members=lambda: sorted(self.members),
            address_of={"helper": self.forwarder.address}.get,
            loop=self.loop,
        )
        self.addAsyncCleanup(self.tunnels.close)
        self.paths = EnginePaths(clock=self.loop.time)
        self.connector = PathConnector(
            paths=self.paths, tunnels=self.tunnels, loop=self.loop, count=lambda name, **labels: None
        )

    async def engine(self, *parts, **options):
        engine = FakeEngine(*parts, **options)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        self.engines[ENGINE] = engine.address
        return engine

    def run_exchange(self, *, is_streamed=False):
        """Send a run whose direct path is refused; return the exchange and its end."""
        command = StartRun(
            run_id="r1.1",
            engine=ENGINE,
            address=CLOSED_ADDRESS,
            first_token_deadline_s=WAIT_S,
            progress_deadline_s=WAIT_S,
            overall_s=WAIT_S,
        )
        call = PlatformCall(
            method="GET", target="/x", headers={}, body=b"", request_id="r1", team="", is_streamed=is_streamed
        )
        exchange = RunExchange(
            command=command,
            call=call,
            received=PlatformReceived(tokens_per_event=1),
            on_event=lambda event: None,
            on_token=lambda index, data: None,
            connect_timeout_s=1.0,
            connector=self.connector,
        )
        return exchange, asyncio.create_task(asyncio.to_thread(exchange.run))

    async def outcome(self, **options):
        _, ended = self.run_exchange(**options)
        return (await ended).outcome


class TunnelTest(TunnelCase):
    async def test_answer_of_known_length(self):
        engine = await self.engine(HEAD + b"Content-Length: 4\r\n\r\nbody")
        exchange, ended = self.run_exchange()
        self.assertEqual((await ended).outcome, RunDone())
        self.assertEqual(exchange.received.body, b"body")
        self.assertEqual(len(engine.requests), 1)
        self.assertTrue(self.paths.is_lost(ENGINE))

    async def test_answer_that_ends_with_its_connection(self):
        await self.engine(HEAD + b"\r\nbody")
        exchange, ended = self.run_exchange()
        self.assertEqual((await ended).outcome, RunDone())
        self.assertEqual(exchange.received.body, b"body")

    # Guards against a truncated answer that looks complete, as the engine reset its connection.
    async def test_reset_by_the_engine_is_not_the_end_of_an_answer(self):
        await self.engine(HEAD + b"\r\nbo", resets=True)
        self.assertIsInstance(await self.outcome(), RunCut)

    # Guards against an empty answer that looks complete, as the engine closed its connection within the head.
    async def test_close_within_the_head_is_not_the_end_of_an_answer(self):
        head = HEAD + b"Content-Length: 4\r\n"
        for size in (0, 5, len(HEAD) - 2, len(HEAD), len(HEAD) + 9, len(head) - 1, len(head)):
            for is_streamed in (False, True):
                with self.subTest(size=size, is_streamed=is_streamed):
                    await self.engine(head[:size])
                    self.assertIsInstance(await self.outcome(is_streamed=is_streamed), RunCut)

    # Guards against the same when the router that carries the connection dies.
    async def test_death_of_the_helper_is_not_the_end_of_an_answer(self):
        engine = await self.engine(HEAD + b"\r\nbo", b"dy")
        _, ended = self.run_exchange()
        while not engine.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        await self.forwarder.close()
        self.assertIsInstance((await ended).outcome, RunCut)

    async def exchange_at_half_an_answer(self, **options):
        """Return an exchange that received the head and the first half of the body, and its end."""
        engine = await self.engine(HEAD + b"\r\nbo", b"dy")
        self.addCleanup(engine.release.set)
        exchange, ended = self.run_exchange(**options)
        while not engine.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        return exchange, ended

    # Guards against an answer that counts as whole because the entry gave up its run.
    async def test_abort_at_the_entry_is_not_the_end_of_an_answer(self):
        for is_streamed in (False, True):
            with self.subTest(is_streamed=is_streamed):
                exchange, ended = await self.exchange_at_half_an_answer(is_streamed=is_streamed)
                exchange.abort()
                self.assertIsInstance((await ended).outcome, RunCancelled)
                self.assertEqual(exchange.received.body, b"")

    # Guards against the same when the helper's own connection to the engine times out.
    async def test_timeout_at_the_helper_is_not_the_end_of_an_answer(self):
        readers_by_port = {}
        open_connection = asyncio.open_connection

        async def record_connection(*args, **kwargs):
            reader, writer = await open_connection(*args, **kwargs)
            if args:
                readers_by_port[args[1]] = reader
            return reader, writer

        with mock.patch.object(tunnel_server.asyncio, "open_connection", record_connection):
            exchange, ended = await self.exchange_at_half_an_answer()
        port = int(self.engines[ENGINE].rpartition(":")[2])
        # The error that a socket reports whose probes stay unanswered.
        readers_by_port[port].set_exception(TimeoutError(errno.ETIMEDOUT, "timed out"))
        self.assertIsInstance((await ended).outcome, RunCut)
        self.assertEqual(exchange.received.body, b"")

    # Guards against runs that an engine continues although the entry has given them up.
    async def test_engine_loses_its_reader_when_the_entry_gives_up(self):
        engine = await self.engine()
        exchange, ended = self.run_exchange()
        while not engine.requests:
            await asyncio.sleep(0.01)
        exchange.abort()
        await asyncio.wait_for(engine.gone.wait(), 1.0)
        await ended
        await asyncio.wait_for(self.server.drained(), 1.0)

    # Guards against the same when the entry's VM disappears without closing its connections.
    async def test_tunnels_of_a_router_that_left_the_view_are_closed(self):
        engine = await self.engine()
        _, ended = self.run_exchange()
        while not engine.requests:
            await asyncio.sleep(0.01)
        self.server.close_departed({"helper"})
        await asyncio.wait_for(engine.gone.wait(), 1.0)
        self.assertIsInstance((await ended).outcome, RunCut)

    async def test_run_uses_the_direct_path_again_once_a_probe_succeeds(self):
        engine = await self.engine(HEAD + b"Content-Length: 4\r\n\r\nbody")
        await self.outcome()
        await self.connector._probe(ENGINE, CLOSED_ADDRESS)
        self.assertTrue(self.paths.is_lost(ENGINE))
        await self.connector._probe(ENGINE, engine.address)
        self.assertFalse(self.paths.is_lost(ENGINE))


class NoTunnelTest(TunnelCase):
    """Each of these ends as not sent: no byte of the request has left the entry."""

    async def check_not_sent(self):
        engine = await self.engine(HEAD + b"Content-Length: 4\r\n\r\nbody")
        self.assertIsInstance(await self.outcome(), RunNotSent)
        self.assertEqual(engine.requests, [])
        self.assertFalse(self.paths.is_lost(ENGINE))

    # Guards against connections carried for anybody who reaches the port.
    async def test_router_outside_the_view(self):
        self.members.discard("entry")
        self.members.add("other")
        await self.check_not_sent()

    # Guards against tunnels in circles between routers that have all lost their paths.
    async def test_helper_that_lost_its_path_too(self):
        self.lost = True
        await self.check_not_sent()

    # Guards against runs begun on a router that is about to stop.
    async def test_helper_that_drains(self):
        self.server.drain()
        await self.check_not_sent()

    # Guards against unbounded connections and memory at a router that helps many others.
    async def test_helper_that_serves_as_many_as_it_may(self):
        original, tunnel_server.MAX_TUNNELS = tunnel_server.MAX_TUNNELS, 0
        self.addCleanup(setattr, tunnel_server, "MAX_TUNNELS", original)
        await self.check_not_sent()

    # Guards against tunnels to addresses that are not those of engines in use.
    async def test_engine_that_the_helper_does_not_use(self):
        self.assertIsInstance(await self.outcome(), RunNotSent)

    # Guards against an engine that is down taken for a lost path.
    async def test_engine_that_nobody_reaches(self):
        self.engines[ENGINE] = CLOSED_ADDRESS
        self.assertIsInstance(await self.outcome(), RunNotSent)
        self.assertFalse(self.paths.is_lost(ENGINE))
        self.assertTrue(self.paths.is_unreachable(ENGINE))

    # Guards against callers that wait out their deadline for a helper that is frozen.
    async def test_helper_that_accepts_and_says_nothing(self):
        silent = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.addCleanup(silent.close)
        self.tunnels._address_of = lambda name: f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"
        began_at = self.loop.time()
        await self.check_not_sent()
        self.assertLess(self.loop.time() - began_at, 2.0)


class ThreadsTest(TunnelCase):
    # Guards against tunnels that mix up the answers of runs in parallel.
    async def test_many_runs_at_once(self):
        await self.engine(HEAD + b"Content-Length: 4\r\n\r\nbody")
        before = threading.active_count()
        runs = [self.run_exchange() for _ in range(20)]
        for exchange, ended in runs:
            self.assertEqual((await ended).outcome, RunDone())
            self.assertEqual(exchange.received.body, b"body")
        await asyncio.wait_for(self.server.drained(), 1.0)
        self.assertLessEqual(threading.active_count(), before + 20)


if __name__ == "__main__":
    unittest.main()
