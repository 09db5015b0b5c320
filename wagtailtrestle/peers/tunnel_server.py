"""Serves tunnels to engines, for other routers that lost their own paths to them."""

import asyncio

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

    __slots__ = ("_address_of", "_is_member", "_is_lost", "_count", "_draining", "_idle", "_tasks_by_router")

    def __init__(self, *, address_of, is_member, is_lost, count):
        self._address_of = address_of
        self._is_member = is_member
        self._is_lost = is_lost
        self._count = count
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks_by_router = {}

    async def serve(self, stream):
        """Serve one tunnel on a stream that another router opened.

        Raises
        ------
        GRPCError
            If no tunnel is opened, or if it ends otherwise than by the engine closing its connection.
        """
        try:
            async with asyncio.timeout(OPENING_TIMEOUT_S):
                opening = await stream.recv_message()
        except TimeoutError as error:
            raise GRPCError(Status.DEADLINE_EXCEEDED, "no engine was named") from error
        if opening is None or not self._is_member(opening.router):
            raise GRPCError(Status.PERMISSION_DENIED, "tunnels are only served to routers in the view")
        if self._draining:
            raise GRPCError(Status.FAILED_PRECONDITION, "this router is draining")
        if self._open_count() >= MAX_TUNNELS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many tunnels")
        tasks = self._tasks_by_router.setdefault(opening.router, set())
        tasks.add(asyncio.current_task())
        self._idle.clear()
        try:
            await self._serve_opened(stream, opening)
        finally:
            tasks.discard(asyncio.current_task())
            if not tasks:
                self._tasks_by_router.pop(opening.router, None)
            if not self._tasks_by_router:
                self._idle.set()

    def drain(self):
        """Open no further tunnels."""
        self._draining = True

    async def drained(self):
        """Wait until no tunnel is left."""
        await self._idle.wait()

    def close_departed(self, members):
        """End the tunnels of routers that left the view: nobody reads them, and their runs would hold slots."""
        for router in self._tasks_by_router.keys() - set(members):
            for task in self._tasks_by_router[router]:
                task.cancel()

    def dump(self):
        """Plain data for the state dump: open tunnels by router."""
        return {router: len(tasks) for router, tasks in self._tasks_by_router.items()}

    def _open_count(self):
        return sum(len(tasks) for tasks in self._tasks_by_router.values())

    async def _serve_opened(self, stream, opening):
        address = self._address_of(opening.engine)
        if address is None:
            raise GRPCError(Status.NOT_FOUND, "not an engine that this router uses")
        if self._is_lost(opening.engine):
            raise GRPCError(Status.UNAVAILABLE, "this router lost its path to the engine too")
        host, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise GRPCError(Status.UNAVAILABLE, f"no connection: {type(error).__name__}") from error
        self._count("tunnels_served", router=opening.router)
        try:
            enable_keepalive(writer.get_extra_info("socket"))
            await stream.send_message(pb.TunnelBytes())
            await _carry(stream, reader, writer)
        finally:
            # Without this the engine would go on with a run whose reader has gone.
            writer.transport.abort()


async def _carry(stream, reader, writer):
    sending = asyncio.ensure_future(_send(stream, writer))
    receiving = asyncio.ensure_future(_receive(stream, reader))
    try:
        await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
        if receiving.done():
            _raise_if_failed(receiving)
        elif sending.done():
            _raise_if_failed(sending)
    finally:
        for task in (sending, receiving):
            task.cancel()
        await asyncio.gather(sending, receiving, return_exceptions=True)


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


def _raise_if_failed(task):
    error = task.exception()
    if isinstance(error, OSError):
        raise GRPCError(Status.ABORTED, f"connection lost: {type(error).__name__}") from error
    if error is not None and not isinstance(error, StreamTerminatedError):
        raise error
