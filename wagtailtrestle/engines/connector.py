"""Opens connections to engines, directly or through another router while the direct path is lost."""

import asyncio
import concurrent.futures
import socket
import threading
import time
from typing import Protocol

from urllib3.connection import HTTPConnection
from urllib3.exceptions import NewConnectionError
from urllib3.exceptions import TimeoutError as UrllibTimeoutError

from wagtailtrestle.declarations.argument_types import split_address
from wagtailtrestle.engines.paths import NoTunnel

CONNECT_ERRORS = (NewConnectionError, UrllibTimeoutError, OSError)
DIRECT_TIMEOUT_S = 0.3
"""Connect timeout where another router can be asked instead. A connection on a sound path takes some milliseconds."""
PROBE_TIMEOUT_S = 0.3
MIN_TUNNEL_TIME_S = 0.02
TUNNEL_TIMEOUT_TOLERANCE_S = 0.5
"""Time by which a busy event loop may exceed the timeout that it was given."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""An engine whose VM disappeared doesn't close its connections. With these TCP keepalive settings its run
ends as cut after about three seconds, which leaves time to repeat it on another engine."""
UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""The corresponding limit for unacknowledged data while the request is being written. Where it is set, Linux goes by
it instead of the number of keepalive probes, so the two must agree."""


class EngineConnection:
    """An open connection to an engine.

    Parameters
    ----------
    http : urllib3.connection.HTTPConnection
    tunnel : Tunnel or None
        Set if the connection runs through another router.
    """

    __slots__ = ("http", "_tunnel")

    def __init__(self, *, http, tunnel=None):
        self.http = http
        self._tunnel = tunnel

    @property
    def via(self):
        """Name of the router that it runs through; empty for a direct connection."""
        return "" if self._tunnel is None else self._tunnel.via

    @property
    def is_broken(self):
        """Whether its end was caused by the path through another router and not by the engine."""
        return self._tunnel is not None and self._tunnel.is_broken


class Connector(Protocol):
    """Opens connections to engines."""

    def connect(self, *, engine: str, address: str, timeout_s: float) -> EngineConnection:
        """Connect to an engine.

        Raises
        ------
        urllib3.exceptions.NewConnectionError, urllib3.exceptions.TimeoutError, OSError
            If no connection was made; certainly nothing was sent.
        """


class DirectConnector:
    """Connects directly only."""

    __slots__ = ()

    def connect(self, *, engine, address, timeout_s):
        """Connect to the engine at ``address``."""
        host, port = split_address(address)
        http = HTTPConnection(host, port, timeout=timeout_s)
        http.connect()
        enable_keepalive(http.sock)
        return EngineConnection(http=http)


class PathConnector:
    """Connects directly, or through another router if only that reaches the engine. Used by many threads.

    Parameters
    ----------
    paths : EnginePaths
    tunnels : TunnelClient
        Used in ``loop``.
    loop : asyncio.AbstractEventLoop
    count : callable
        ``count(name, **labels)`` adds one to a counter.
    """

    __slots__ = ("_paths", "_tunnels", "_loop", "_count", "_lock", "_direct")

    def __init__(self, *, paths, tunnels, loop, count):
        self._paths = paths
        self._tunnels = tunnels
        self._loop = loop
        self._count = count
        self._lock = threading.Lock()
        self._direct = DirectConnector()

    def connect(self, *, engine, address, timeout_s):
        """Connect to an engine; see :class:`Connector`."""
        ends_at = time.monotonic() + timeout_s
        if self.is_lost(engine):
            self._probe_if_due(engine, address)
            connection = self._connect_by_tunnel(engine, address, ends_at, direct_failed=False)
            if connection is not None:
                return connection
            return self._connect_directly(engine, address, min(DIRECT_TIMEOUT_S, timeout_s))
        if not self._tunnels.is_possible:
            return self._connect_directly(engine, address, timeout_s)
        try:
            return self._connect_directly(engine, address, min(DIRECT_TIMEOUT_S, timeout_s))
        except CONNECT_ERRORS:
            connection = None
            if not self._is_unreachable(engine):
                connection = self._connect_by_tunnel(engine, address, ends_at, direct_failed=True)
            if connection is None:
                raise
            return connection

    def is_lost(self, engine):
        """Whether only other routers reach the engine, as far as known."""
        with self._lock:
            return self._paths.is_lost(engine)

    def retain_engines(self, engines):
        """Forget engines that are no longer declared."""
        with self._lock:
            self._paths.retain_engines(engines)

    def dump(self):
        """Plain data for the state dump."""
        with self._lock:
            return {"lost_paths": self._paths.dump(), "tunnels": self._tunnels.dump()}

    def _is_unreachable(self, engine):
        with self._lock:
            return self._paths.is_unreachable(engine)

    def _connect_directly(self, engine, address, timeout_s):
        connection = self._direct.connect(engine=engine, address=address, timeout_s=timeout_s)
        with self._lock:
            self._paths.record_direct(engine)
        return connection

    def _connect_by_tunnel(self, engine, address, ends_at, *, direct_failed):
        timeout_s = ends_at - time.monotonic()
        if timeout_s < MIN_TUNNEL_TIME_S:
            return None
        with self._lock:
            is_partitioned = self._paths.any_lost
        tunnel = self._open_tunnel(engine, timeout_s, is_partitioned=is_partitioned)
        with self._lock:
            if isinstance(tunnel, NoTunnel):
                # A router that answered late, or not at all, tells nothing of the engine.
                if tunnel.is_unreachable:
                    self._paths.record_unreachable(engine)
                return None
            self._paths.record_tunnel(engine, via=tunnel.via, direct_failed=direct_failed)
        self._count("tunnels_opened", via=tunnel.via)
        host, port = split_address(address)
        http = HTTPConnection(host, port, timeout=timeout_s)
        http.sock = tunnel.sock
        return EngineConnection(http=http, tunnel=tunnel)

    def _open_tunnel(self, engine, timeout_s, *, is_partitioned):
        opening = self._tunnels.open(engine, timeout_s=timeout_s, is_partitioned=is_partitioned)
        try:
            future = asyncio.run_coroutine_threadsafe(opening, self._loop)
        except RuntimeError:
            opening.close()
            return NoTunnel()  # The loop has closed: the process is ending.
        try:
            return future.result(timeout_s + TUNNEL_TIMEOUT_TOLERANCE_S)
        except (concurrent.futures.TimeoutError, concurrent.futures.CancelledError):
            future.cancel()
            return NoTunnel()

    def _probe_if_due(self, engine, address):
        with self._lock:
            is_due = self._paths.claim_probe(engine)
        if is_due:
            asyncio.run_coroutine_threadsafe(self._probe(engine, address), self._loop)

    async def _probe(self, engine, address):
        """Try the direct path beside a run that uses a tunnel, so that no run waits for it."""
        host, port = split_address(address)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return
        writer.close()
        with self._lock:
            self._paths.record_direct(engine)


def enable_keepalive(sock):
    """Make a connection fail about three seconds after its other end disappeared."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
