"""Forwarders between each router and each engine, by which single links are cut while all processes live on.

Routers are started by ``tests.utils.linked_router``, which connects to these forwarders in place of the engines.
"""

import asyncio
import json
import socket
import struct
import threading
from enum import StrEnum

from wagtailtrestle.standins.local_ports import HOST, reserve_ports

FILLING_CONNECTIONS = 4
READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Cut(StrEnum):
    """How a link fails."""

    HANG = "hang"
    """New connections are never established, open ones carry nothing."""

    REFUSE = "refuse"
    """New connections are refused, open ones work on."""

    RESET = "reset"
    """New connections are refused, open ones are reset."""


class EngineLink:
    """The path from one router to one engine.

    Parameters
    ----------
    target : str
        The engine's address.

    Attributes
    ----------
    address : str
        Where the router connects in place of the engine's address.
    connections : int
        Connections that the router has made.
    """

    def __init__(self, *, target):
        self.connections = 0
        self._target = target
        self._reservation = reserve_ports(1)
        self.address = f"{HOST}:{self._reservation.ports[0]}"
        self._listener = None
        self._accepting = None
        self._filling = []
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._writers = set()
        self._tasks = set()

    async def open(self):
        """Carry connections, new and open ones."""
        for filling in self._filling:
            filling.close()
        self._filling = []
        self._flowing.set()
        if self._listener is None:
            self._listener = socket.socket()
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.setblocking(False)
            self._listener.bind((HOST, self._reservation.ports[0]))
        self._listener.listen(128)
        if self._accepting is None:
            self._accepting = asyncio.create_task(self._accept())

    async def cut(self, how):
        """Fail as ``how`` says until :meth:`open`."""
        await self.open()
        await self._stop_accepting()
        if how is Cut.HANG:
            self._flowing.clear()
            self._fill_backlog()
            return
        self._listener.close()
        self._listener = None
        if how is Cut.RESET:
            self._reset_connections()

    async def close(self):
        """End all connections and stop."""
        await self._stop_accepting()
        self._flowing.set()
        for sock in [*self._filling, self._listener]:
            if sock is not None:
                sock.close()
        self._reset_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._reservation.close()

    async def _stop_accepting(self):
        if self._accepting is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)
            self._accepting = None

    def _fill_backlog(self):
        # With a full backlog the kernel drops the first packet of each further connection.
        self._listener.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((HOST, self._reservation.ports[0]))
            self._filling.append(filling)

    def _reset_connections(self):
        for writer in list(self._writers):
            self._reset(writer)

    @staticmethod
    def _reset(writer):
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            self.connections += 1
            task = loop.create_task(self._carry(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(self, sock):
        host, _, port = self._target.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(sock=sock)
        except OSError:
            return
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        finally:
            for end in (writer, far_writer):
                end.close()
                self._writers.discard(end)

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                await self._flowing.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            # Either end was reset, so the other one is too.
            await self._flowing.wait()
            self._reset(writer)
        finally:
            await self._flowing.wait()
            writer.close()


class EngineLinks:
    """All links of a world.

    Parameters
    ----------
    routers : int
    addresses_by_engine : dict of str to str
    """

    def __init__(self, *, routers, addresses_by_engine):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._addresses_by_engine = addresses_by_engine
        self.by_router = [
            {name: EngineLink(target=address) for name, address in addresses_by_engine.items()} for _ in range(routers)
        ]

    def start(self):
        self._thread.start()
        self._run(link.open() for link in self._links())

    def close(self):
        self._run(link.close() for link in self._links())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def write_map(self, *, router, file):
        """Write what ``tests.utils.linked_router`` reads: the forwarder's address by the engine's."""
        links = self.by_router[router]
        file.write_text(
            json.dumps({address: links[name].address for name, address in self._addresses_by_engine.items()})
        )

    def cut(self, routers, how, *, engines=None):
        """Cut the links of these routers, to all engines or to those named."""
        self._run(link.cut(how) for link in self._links(routers, engines))

    def heal(self, routers, *, engines=None):
        """Restore the links of these routers."""
        self._run(link.open() for link in self._links(routers, engines))

    def connections(self, routers):
        """Number of connections that these routers have made to engines."""
        return sum(link.connections for link in self._links(routers))

    def _links(self, routers=None, engines=None):
        routers = range(len(self.by_router)) if routers is None else routers
        return [
            link
            for router in routers
            for name, link in self.by_router[router].items()
            if engines is None or name in engines
        ]

    def _run(self, coroutines):
        async def run_all():
            await asyncio.gather(*coroutines)

        asyncio.run_coroutine_threadsafe(run_all(), self._loop).result(timeout=10)
