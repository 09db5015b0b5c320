"""Tunnels to engines through other routers, for a router that lost its own path."""

import asyncio
import math
import socket

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger

from wagtailtrestle.engines.paths import NoTunnel
from wagtailtrestle.generated import peers_pb2 as pb
from wagtailtrestle.generated.peers_grpc import PeersStub
from wagtailtrestle.peers.helper_choice import HelperChoice
from wagtailtrestle.peers.tunnel_server import TunnelRefusal

TRY_TIMEOUT_S = 0.4
"""Time that a router has to connect to the engine while others are left to ask: its own connect timeout and two
transits."""
MAX_TRIES = 4
REFUSAL_LOG_INTERVAL_S = 1.0
MAX_UNREACHABLE = 2
"""Routers that could not reach an engine either, after which no other is asked while this router's other paths are
sound: the engine is then at fault."""
READ_BYTES = 65536
WINDOW_BYTES = 65536
"""Bytes that may wait here for a slow caller; beyond it the engine is slowed down, as on a direct connection."""
TUNNEL_ERRORS = (OSError, GRPCError, StreamTerminatedError, TimeoutError, AttributeError)
"""grpclib drops the transport of a lost connection, so its use raises ``AttributeError``."""
CONFIGURATION = Configuration(
    _keepalive_time=1.0,
    _keepalive_timeout=2.0,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=0.5,
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)
"""A router that helps and then freezes, or loses its links, is detected in about three seconds, as engines are."""


class Tunnel:
    """A connection to an engine through another router.

    Parameters
    ----------
    via : str
        Name of that router.
    channel : grpclib.client.Channel
        The tunnel's own connection to it.
    stream : grpclib.client.Stream

    Attributes
    ----------
    sock : socket.socket
        The end to use in place of a connection to the engine, in any one thread.
    is_broken : bool
        Whether the tunnel ended otherwise than by the engine closing its connection.
    """

    __slots__ = ("via", "sock", "is_broken", "_near", "_channel", "_stream")

    def __init__(self, *, via, channel, stream):
        self.via = via
        self.is_broken = False
        self._channel = channel
        self._stream = stream
        self.sock, self._near = socket.socketpair()
        self._near.setblocking(False)

    async def carry(self):
        """Carry bytes in both directions until one end closes."""
        reader, writer = await asyncio.open_connection(sock=self._near)
        sending = asyncio.ensure_future(self._send(reader))
        receiving = asyncio.ensure_future(self._receive(writer))
        try:
            await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.is_broken = not _succeeded(receiving)
            for task in (sending, receiving):
                task.cancel()
            await asyncio.gather(sending, receiving, return_exceptions=True)
            writer.close()
            self._channel.close()

    async def _send(self, reader):
        while data := await reader.read(READ_BYTES):
            await self._stream.send_message(pb.TunnelBytes(data=data))

    async def _receive(self, writer):
        while (message := await self._stream.recv_message()) is not None:
            if message.closed:
                return
            writer.write(message.data)
            await writer.drain()
        raise ConnectionResetError("the tunnel ended without the engine closing its connection")


class TunnelClient:
    """Opens tunnels; used in the event loop.

    Parameters
    ----------
    name : str
        This router.
    members : callable
        Returns the names of the routers that may be asked, this one included.
    address_of : callable
        ``address_of(router)`` returns a router's peers address, or ``None``.
    loop : asyncio.AbstractEventLoop
    """

    __slots__ = (
        "_name",
        "_members",
        "_address_of",
        "_loop",
        "_choice",
        "_via_by_task",
        "_opened",
        "_failed",
        "_refusal_logged_at",
    )

    def __init__(self, *, name, members, address_of, loop):
        self._name = name
        self._members = members
        self._address_of = address_of
        self._loop = loop
        self._choice = HelperChoice(clock=loop.time)
        self._via_by_task = {}
        self._opened = 0
        self._failed = 0
        self._refusal_logged_at = -math.inf

    @property
    def is_possible(self):
        """Whether there are other routers to ask."""
        return len(self._members()) > 1

    async def open(self, engine, *, timeout_s, is_partitioned):
        """Open a tunnel to an engine.

        Parameters
        ----------
        engine : str
        timeout_s : float
        is_partitioned : bool
            Whether this router lost its path to some engine, so that others may have too.

        Returns
        -------
        Tunnel or NoTunnel
        """
        ends_at = self._loop.time() + timeout_s
        unreachable = 0
        helpers = self._choice.order(name for name in self._members() if name != self._name)[:MAX_TRIES]
        for helper in helpers:
            left_s = ends_at - self._loop.time()
            if left_s <= 0.0 or (unreachable >= MAX_UNREACHABLE and not is_partitioned):
                break
            # Time that is left after the last router would be of no use to anybody.
            limit_s = left_s if helper == helpers[-1] else min(TRY_TIMEOUT_S, left_s)
            opened = await self._open_through(helper, engine, limit_s)
            if isinstance(opened, Tunnel):
                self._choice.record_success(helper)
                self._opened += 1
                return opened
            self._log_refusal(helper, engine, opened)
            self._choice.record_failure(helper)
            unreachable += opened == TunnelRefusal.UNREACHABLE
        self._failed += 1
        return NoTunnel(is_unreachable=unreachable > 0)

    async def close(self):
        """End all tunnels."""
        tasks = list(self._via_by_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dump(self):
        """Plain data for the state dump."""
        return {"open_via": sorted(self._via_by_task.values()), "opened": self._opened, "failed": self._failed}

    async def _open_through(self, helper, engine, timeout_s):
        """Return a tunnel through one router, or a text that tells why there is none."""
        address = self._address_of(helper)
        if address is None:
            return "its address is not known"
        host, _, port = address.rpartition(":")
        channel = Channel(host.strip("[]"), int(port), config=CONFIGURATION)
        try:
            async with asyncio.timeout(timeout_s):
                stream = await PeersStub(channel).Tunnel.open().__aenter__()
                await stream.send_message(pb.TunnelBytes(router=self._name, engine=engine))
                answer = await stream.recv_message()
        except TUNNEL_ERRORS as error:
            channel.close()
            return str(error) or type(error).__name__
        except BaseException:
            channel.close()
            raise
        if answer is None or answer.refusal:
            channel.close()
            return "no answer" if answer is None else answer.refusal
        return self._start(Tunnel(via=helper, channel=channel, stream=stream))

    def _log_refusal(self, helper, engine, detail):
        now = self._loop.time()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            logger.bind(engine=engine, via=helper, detail=detail, failed=self._failed).info(
                "another router opened no tunnel to an engine"
            )

    def _start(self, tunnel):
        task = self._loop.create_task(tunnel.carry())
        self._via_by_task[task] = tunnel.via
        task.add_done_callback(lambda done: self._via_by_task.pop(done, None))
        return tunnel


def _succeeded(task):
    return task.done() and not task.cancelled() and task.exception() is None
