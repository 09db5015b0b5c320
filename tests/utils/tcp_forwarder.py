"""A TCP forwarder that can silently stop forwarding on its open connections."""

import asyncio


class TcpForwarder:
    def __init__(self, *, target):
        self._target, self._open, self._server, self._writers = target, [], None, []
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    def lose_track(self):
        """Stop forwarding on the open connections, without closing them."""
        for is_open in self._open:
            is_open.clear()

    async def _connected(self, reader, writer):
        self.connections += 1
        is_open = asyncio.Event()
        is_open.set()
        self._open.append(is_open)
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, far_writer]
        await asyncio.gather(self._pump(reader, far_writer, is_open), self._pump(far_reader, writer, is_open))

    async def _pump(self, reader, writer, is_open):
        try:
            while data := await reader.read(65536):
                if not is_open.is_set():
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            pass
