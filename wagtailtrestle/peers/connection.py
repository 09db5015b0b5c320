"""Opens and accepts grpclib connections between routers, up to the exchange of ``Hello``."""

import asyncio
import socket

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from wagtailtrestle.contracts.peer_messages import Hello
from wagtailtrestle.generated import peers_pb2 as pb
from wagtailtrestle.generated.peers_grpc import PeersBase, PeersStub
from wagtailtrestle.peers.codec import decode, encode

HELLO_TIMEOUT_S = 0.25
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_TRIES = 3
LOST_ATTRIBUTE = "_transport"

CONNECTION_ERRORS = (OSError, GRPCError, StreamTerminatedError, TimeoutError)
ADDRESS_ERRORS = (ValueError, OverflowError)
"""Raised for a host or a port that no socket takes, which a peer may have read from an invalid announcement."""
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARS = 80


class Connection:
    """A connection that this router opened.

    Parameters
    ----------
    channel : grpclib.client.Channel
    context : grpclib.client.Stream
        The only stream of the connection, as a context manager.
    """

    __slots__ = ("_channel", "_context", "hello", "stream")

    def __init__(self, *, channel, context):
        self._channel = channel
        self._context = context
        self.stream = None
        self.hello = None

    async def exchange_hello(self, own_hello):
        """Send this router's ``Hello`` and wait for the peer's; ``hello`` is ``None`` if it sent something else."""
        self.stream = await self._context.__aenter__()
        try:
            await self.stream.send_message(pb.Batch(items=[encode(own_hello)]))
        except AttributeError as error:
            # grpclib drops the transport of a lost connection, so one lost between opening and first use raises this
            # error. Uncaught, it would end dialing without a report, and no further attempt would be made.
            if error.name != LOST_ATTRIBUTE:
                raise
            raise ConnectionResetError("connection lost before it was used") from error
        self.hello = hello_from(await self.stream.recv_message())

    def close(self):
        """End the connection immediately."""
        self._channel.close()


async def connect(*, address, name, own_hello):
    """Open a connection to the router ``name``.

    Returns
    -------
    Connection or str
        A string is the reason of a failure.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return f"not an address: {address[:MAX_SHOWN_CHARS]!r}"
    channel = Channel(host.strip("[]"), int(port))
    connection = Connection(channel=channel, context=PeersStub(channel).Link.open())
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            await connection.exchange_hello(own_hello)
    except (*CONNECTION_ERRORS, *ADDRESS_ERRORS) as error:
        connection.close()
        return str(error) or type(error).__name__
    except asyncio.CancelledError:
        connection.close()
        raise
    if connection.hello is None or connection.hello.name != name:
        connection.close()
        return f"another router answers there: {connection.hello.name if connection.hello else 'not a router'}"
    return connection


async def receive_hello(stream, *, own_name, make_answer):
    """Receive the ``Hello`` of a router that connected, and answer it; ``None`` if it sent none.

    ``make_answer(hello)`` returns the answer to a ``Hello``.
    """
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            hello = hello_from(await stream.recv_message())
            if hello is not None and hello.name != own_name:
                await stream.send_message(pb.Batch(items=[encode(make_answer(hello))]))
                return hello
    except CONNECTION_ERRORS:
        pass
    return None


def hello_from(batch):
    """``Hello`` in a first batch, or ``None``."""
    if batch is None or not batch.items:
        return None
    message = decode(batch.items[0])
    return message if type(message) is Hello else None


class _Service(PeersBase):
    """Adapter from the generated server base to a callable."""

    def __init__(self, *, accept, serve_tunnel):
        self._accept = accept
        self._serve_tunnel = serve_tunnel

    async def Link(self, stream):  # noqa: N802 - name fixed by peers.proto
        await self._accept(stream)

    async def Tunnel(self, stream):  # noqa: N802 - name fixed by peers.proto
        if self._serve_tunnel is None:
            raise GRPCError(Status.UNIMPLEMENTED, "this router serves no tunnels")
        await self._serve_tunnel(stream)


class Listener:
    """Accepts connections from other routers.

    Parameters
    ----------
    address : str
        ``host:port``; port 0 selects a free one.
    accept : coroutine function
        Called with the stream of each connection.

    Attributes
    ----------
    serve_tunnel : coroutine function or None
        Called with the stream of each tunnel; set before :meth:`start`.
    """

    __slots__ = ("_accept", "_server", "address", "serve_tunnel")

    def __init__(self, *, address, accept):
        self.address = address
        self.serve_tunnel = None
        self._accept = accept
        self._server = None

    async def start(self):
        """Listen; ``address`` then has the actual port."""
        host, _, port = self.address.rpartition(":")
        listener = _listening_socket(host=host, port=int(port))
        self._server = Server([_Service(accept=self._accept, serve_tunnel=self.serve_tunnel)])
        await self._server.start(sock=listener)
        self.address = f"{host}:{listener.getsockname()[1]}"

    async def close(self):
        """Stop listening and close the accepted connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


def _listening_socket(*, host, port):
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit these options. The router that opened a connection replaces it when it goes silent;
    # without keepalive the other end would keep the dead socket forever, as a grpclib server can't close one.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_TRIES)
    listener.bind((host.strip("[]"), port))
    return listener
