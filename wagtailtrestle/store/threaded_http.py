"""Threads and connections that carry calls to an HTTP store for the event loop.

Each call runs on a thread of its lane and comes back as an :class:`Answer`; the event loop
never waits on a socket. Every client of a store, whatever it speaks, is built on this.
"""

import asyncio
import json
import socket
import threading
import weakref
from concurrent.futures import ThreadPoolExecutor

import urllib3

# Beyond both socket timeouts: an answer that trickles in must not hold a caller for ever.
CALL_MARGIN_S = 1.0
MAX_DETAIL_CHARS = 200
# A library that repeats a write by itself would turn "maybe applied" into "conflict"
# with ourselves; whoever calls the store decides on repeats.
NO_RETRIES = False

NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ClosedPoolError,
)


class Answer:
    """One HTTP answer as a thread hands it to the event loop.

    ``status`` is 0 when there is none: ``was_sent`` then tells whether the request may
    have reached the platform. ``headers`` is a mapping that ignores case.
    """

    __slots__ = ("status", "headers", "body", "was_sent", "detail")

    def __init__(self, *, status=0, headers=None, body=None, was_sent=True, detail=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.was_sent = was_sent
        self.detail = detail


class ThreadedHttpClient:
    """Threads and connections for one sort of call, so that another sort can't hold them.

    Parameters
    ----------
    host : str
    port : int
    connect_timeout_s : float
    threads : int
    name : str
        Prefix of the threads' names.
    """

    def __init__(self, *, host, port, connect_timeout_s, threads, name):
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._size = threads
        self._connections = weakref.WeakSet()
        self._connections_lock = threading.Lock()
        self._executor = ThreadPoolExecutor(max_workers=threads, thread_name_prefix=name)
        self._pool = self._make_pool()
        self._is_closed = False

    def close(self):
        """Cut open connections, so that no thread waits out a watch, and end the threads."""
        self._is_closed = True
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._pool.close()
        with self._connections_lock:
            open_connections = list(self._connections)
        for connection in open_connections:
            _shut_down(connection)

    async def call(self, *, method, path, wait_s, headers=None, body=None):
        """Run one call on a thread; an :class:`Answer`, no later than its timeouts."""
        if self._is_closed:
            return Answer(was_sent=False, detail="the store is closed")
        work = self._executor.submit(self._request, method, path, wait_s, headers or {}, body)
        future = asyncio.wrap_future(work)
        timeout_s = self._connect_timeout_s + wait_s + CALL_MARGIN_S
        done, _ = await asyncio.wait((future,), timeout=timeout_s)
        if done:
            return future.result()
        # Every thread may be held by a silent connection. A call that no thread took up
        # was certainly not sent, and its caller may be told so.
        if work.cancel():
            return Answer(was_sent=False, detail="no thread was free")
        return Answer(detail=f"no answer in {timeout_s:.1f} s")

    def _request(self, method, path, wait_s, headers, body):
        """Send one request; runs on a thread."""
        pool = self._pool
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=wait_s)
        try:
            response = pool.request(
                method,
                path,
                body=body,
                headers={"Accept-Encoding": "gzip", **headers},
                timeout=timeout,
                retries=NO_RETRIES,
                redirect=False,
            )
            body = _parse_json(response.data) if response.data else None
            return Answer(status=response.status, headers=response.headers, body=body)
        except NOT_SENT_ERRORS as error:
            return Answer(was_sent=False, detail=_error_text(error))
        except urllib3.exceptions.ReadTimeoutError as error:
            # Whatever lost track of this connection may have lost the idle ones too, and
            # each would cost one more timeout: the next call starts on a new connection.
            self._replace_pool(pool)
            return Answer(detail=_error_text(error))
        except (urllib3.exceptions.HTTPError, OSError, ValueError, RecursionError) as error:
            return Answer(detail=_error_text(error))

    def _make_pool(self):
        pool = urllib3.HTTPConnectionPool(self._host, self._port, maxsize=self._size)
        pool.ConnectionCls = self._make_connection
        return pool

    def _make_connection(self, **options):
        connection = urllib3.connection.HTTPConnection(**options)
        with self._connections_lock:
            self._connections.add(connection)
        return connection

    def _replace_pool(self, pool):
        if pool is self._pool and not self._is_closed:
            self._pool = self._make_pool()
        pool.close()


def _parse_json(data):
    # What one writer put into one object must not make a list of them all unreadable.
    return json.loads(data.decode(errors="replace"), strict=False)


def describe_answer(answer):
    """A short text of what an answer says, or of why there is none."""
    if not answer.status:
        return answer.detail
    problem = answer.body.get("error", "") if isinstance(answer.body, dict) else ""
    return f"HTTP {answer.status} {problem}".strip()[:MAX_DETAIL_CHARS]


def _error_text(error):
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]


def _shut_down(connection):
    """Wake whatever thread waits on this connection."""
    sock = connection.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It was closed already.
