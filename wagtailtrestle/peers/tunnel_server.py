"""Serves tunnels to engines, for other routers that lost their own paths to them."""

import asyncio
from enum import StrEnum

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from wagtailtrestle.declarations.argument_types import split_address
from wagtailtrestle.engines.connector import enable_keepalive
from wagtailtrestle.generated import peers_pb2 as pb

OPENING_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.25
MAX_TUNNELS = 128
"""Bounds the sockets and buffers that other routers may use here; beyond it they are referred to others."""
READ_BYTES = 65536


class TunnelRefusal(StrEnum):
    """Why a router opens no tunnel."""

    NOT_A_MEMBER = "not_a_member"
    DRAINING = "draining"
    FULL = "full"
    UNKNOWN_ENGINE = "unknown_engine"
    PATH_LOST = "path_lost"
    UNREACHABLE = "unreachable"


class TunnelServer:
    """Connects other routers to engines that they can't reach.

    Only engines that this router may use itself, over its own direct path: a tunnel never leads into another tunnel.

    Parameters
    ----------
    address_of : callable
        ``address_of(engine)`` returns the address of an engine that this router may use, or ``None``.
    is_member : callable
        ``is_member(router)``: whether a router of this name is in the view.
    is_lost : callable
        ``is_lost(engine)``: whether this router lost its own path to the engine.
    count : callable
        ``count(name, **labels)`` adds one to a counter.
    """

    __slots__ = ("_address_of", "_is_member", "_is_lost", "_count", "_draining", "_idle", "_closings_by_router")

    def __init__(self, *, address_of, is_member, is_lost, count):
        self._address_of = address_of
        self._is_member = is_member
        self._is_lost = is_lost
        self._count = count
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._closings_by_router = {}

    async def serve(self, stream):
        """Serve one tunnel on a stream that another router opened.

        Raises
        ------
        GRPCError
            If the tunnel ends otherwise than by the engine closing its connection.
        """
        try:
            async with asyncio.timeout(OPENING_TIMEOUT_S):
                opening = await stream.recv_message()
        except TimeoutError as error:
            raise GRPCError(Status.DEADLINE_EXCEEDED, "no engine was named") from error
        if opening is None:
            return
        refusal = self._refusal(opening)
        if refusal is not None:
            # As a message, since grpclib resets a stream after an error status, which may overtake the status.
            await stream.send_message(pb.TunnelBytes(refusal=refusal))
            return
        closing = asyncio.Event()
        closings = self._closings_by_router.setdefault(opening.router, set())
        closings.add(closing)
        self._idle.clear()
        try:
            await self._serve_opened(stream, opening, closing)
        finally:
            closings.discard(closing)
            if not closings:
                self._closings_by_router.pop(opening.router, None)
            if not self._closings_by_router:
                self._idle.set()

    def drain(self):
        """Open no further tunnels."""
        self._draining = True

    async def drained(self):
        """Wait until no tunnel is left."""
        await self._idle.wait()

    def close_departed(self, members):
        """End the tunnels of routers that left the view: nobody reads them, and their runs would hold slots."""
        for router in self._closings_by_router.keys() - set(members):
            for closing in self._closings_by_router[router]:
                closing.set()

    def dump(self):
        """Plain data for the state dump: open tunnels by router."""
        return {router: len(closings) for router, closings in self._closings_by_router.items()}

    def _refusal(self, opening):
        if not self._is_member(opening.router):
            return TunnelRefusal.NOT_A_MEMBER
        if self._draining:
            return TunnelRefusal.DRAINING
        if self._open_count() >= MAX_TUNNELS:
            return TunnelRefusal.FULL
        if self._address_of(opening.engine) is None:
            return TunnelRefusal.UNKNOWN_ENGINE
        if self._is_lost(opening.engine):
            return TunnelRefusal.PATH_LOST
        return None

    def _open_count(self):
        return sum(len(closings) for closings in self._closings_by_router.values())

    async def _serve_opened(self, stream, opening, closing):
        host, port = split_address(self._address_of(opening.engine))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            await stream.send_message(pb.TunnelBytes(refusal=TunnelRefusal.UNREACHABLE))
            return
        self._count("tunnels_served", router=opening.router)
        try:
            enable_keepalive(writer.get_extra_info("socket"))
            await stream.send_message(pb.TunnelBytes())
            await _carry(stream, reader, writer, closing)
        finally:
            # Without this the engine would go on with a run whose reader has gone.
            writer.transport.abort()


async def _carry(stream, reader, writer, closing):
    """Carry bytes in both directions until one end closes its connection or ``closing`` is set."""
    sending = asyncio.ensure_future(_send(stream, writer))
    receiving = asyncio.ensure_future(_receive(stream, reader))
    closed = asyncio.ensure_future(closing.wait())
    tasks = (sending, receiving, closed)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if receiving.done():
            _raise_if_failed(receiving)
        elif closed.done():
            raise GRPCError(Status.ABORTED, "the router that opened the tunnel left the view")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _send(stream, writer):
    while (message := await stream.recv_message()) is not None:
        writer.write(message.data)
        try:
            await writer.drain()
        except ConnectionError:
            # An engine may answer without having read the whole request. What it sent decides.
            await asyncio.Event().wait()


async def _receive(stream, reader):
    while data := await reader.read(READ_BYTES):
        await stream.send_message(pb.TunnelBytes(data=data))
    await stream.send_message(pb.TunnelBytes(closed=True))


def _raise_if_failed(task):
    error = task.exception()
    if isinstance(error, OSError):
        raise GRPCError(Status.ABORTED, f"connection lost: {type(error).__name__}") from error
    if error is not None and not isinstance(error, StreamTerminatedError):
        raise error
