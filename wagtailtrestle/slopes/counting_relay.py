"""A TCP relay that counts the bytes it passes on."""

import asyncio

READ_BYTES = 65_536


class CountingRelay:
    """Counts bytes and segments between a loopback port and a target.

    Parameters
    ----------
    target : str
        ``host:port`` that connections are relayed to.

    Attributes
    ----------
    bytes_passed, segments : int
        In both directions; each read is counted as one TCP segment.
    """

    __slots__ = ("_server", "_target", "_writers", "address", "bytes_passed", "segments")

    def __init__(self, *, target):
        self._target = target
        self._server = None
        self._writers = []
        self.address = ""
        self.reset()

    def reset(self):
        """Reset the counts to zero."""
        self.bytes_passed = 0
        self.segments = 0

    async def start(self):
        """Start listening and set ``address``."""
        self._server = await asyncio.start_server(self._relay_connection, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self):
        """Close the listener and all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _relay_connection(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, target_writer]
        await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                self.bytes_passed += len(data)
                self.segments += 1
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()
