"""HTTP client for stores that runs blocking calls on its own threads and connections.

Each call runs on a thread of its client and returns an :class:`Answer`; the event loop never
waits for a socket. All store clients are built on this, whichever protocol they use.
"""

import asyncio
import http.client
import socket
import threading
import weakref
from concurrent.futures import ThreadPoolExecutor

import urllib3

from wagtailtrestle.short_response import limit_responses, read_body
from wagtailtrestle.store.tolerant_json import parse_json

# Added to both socket timeouts: an answer that arrives byte by byte must not block a caller forever.
CALL_MARGIN_S = 1.0
MAX_DETAIL_CHARS = 200
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# If the library retried a write, a write that was applied would return a conflict with
# itself; the caller of the store decides on retries.
NO_RETRIES = False

NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ClosedPoolError,
)


class Answer:
    """One HTTP answer, passed from a thread to the event loop.

    ``status`` is 0 if there is no answer: ``was_sent`` then tells whether the request may
    have reached the platform. ``headers`` is a case-insensitive mapping.
    """

    __slots__ = ("status", "headers", "body", "was_sent", "detail")

    def __init__(self, *, status=0, headers=None, body=None, was_sent=True, detail=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.was_sent = was_sent
        self.detail = detail


class ThreadedHttpClient:
    """Threads and connections for one kind of call, so that other kinds cannot exhaust them.

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
        """Shut down open connections, so that no thread waits for a watch to end, and stop the threads."""
        self._is_closed = True
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._pool.close()
        with self._connections_lock:
            open_connections = list(self._connections)
        for connection in open_connections:
            _shut_down(connection)

    async def call(self, *, method, path, wait_s, headers=None, body=None):
        """Run one call on a thread and return its :class:`Answer`, at the latest after its timeouts."""
        if self._is_closed:
            return Answer(was_sent=False, detail="the store is closed")
        work = self._executor.submit(self._request, method, path, wait_s, headers or {}, body)
        future = asyncio.wrap_future(work)
        timeout_s = self._connect_timeout_s + wait_s + CALL_MARGIN_S
        done, _ = await asyncio.wait((future,), timeout=timeout_s)
        if done:
            return future.result()
        # All threads may be blocked by unresponsive connections. A call that no thread has
        # started was certainly not sent.
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
                preload_content=False,
            )
            data = read_body(response, max_bytes=MAX_ANSWER_BYTES)
            body = parse_json(data) if data else None
            return Answer(status=response.status, headers=response.headers, body=body)
        except NOT_SENT_ERRORS as error:
            return Answer(was_sent=False, detail=_error_text(error))
        except urllib3.exceptions.ReadTimeoutError as error:
            # A network element that dropped this connection may have dropped the idle ones too,
            # and each would cost one more timeout: the next call opens a new connection.
            self._replace_pool(pool)
            return Answer(detail=_error_text(error))
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError, RecursionError) as error:
            return Answer(detail=_error_text(error))

    def _make_pool(self):
        pool = urllib3.HTTPConnectionPool(self._host, self._port, maxsize=self._size)
        pool.ConnectionCls = self._make_connection
        return pool

    def _make_connection(self, **options):
        connection = urllib3.connection.HTTPConnection(**options)
        limit_responses(connection, max_bytes=MAX_ANSWER_BYTES, margin_s=CALL_MARGIN_S)
        with self._connections_lock:
            self._connections.add(connection)
        return connection

    def _replace_pool(self, pool):
        if pool is self._pool and not self._is_closed:
            self._pool = self._make_pool()
        pool.close()


def describe_answer(answer):
    """Return a short text that describes an answer, or why there is none."""
    if not answer.status:
        return answer.detail
    problem = answer.body.get("error", "") if isinstance(answer.body, dict) else ""
    return f"HTTP {answer.status} {problem}".strip()[:MAX_DETAIL_CHARS]


def _error_text(error):
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]


def _shut_down(connection):
    """Shut down the socket, which wakes the thread that waits for it."""
    sock = connection.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # Already closed.
