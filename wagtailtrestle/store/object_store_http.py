"""The platform's object API over HTTP, as an ``ObjectStore`` for the event loop.

Each call runs on a thread of this store's own pools and comes back as an outcome; the
event loop never waits on a socket. Watches have threads and connections of their own.
"""

import asyncio
import json
import socket
import threading
import weakref
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from urllib.parse import quote, urlsplit

import urllib3

from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.membership.vm_list import vm_from_json

WATCH_THREADS = 4
# A watch is answered by the platform at its timeout; later than this it is silent.
WATCH_MARGIN_S = 1.0
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
# Statuses by which the platform says that it did not take the call up.
REFUSED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class _Answer:
    """One HTTP answer as a thread hands it to the event loop.

    ``status`` is 0 when there is none: ``was_sent`` then tells whether the request may
    have reached the platform.
    """

    __slots__ = ("status", "body", "was_sent", "detail")

    def __init__(self, *, status=0, body=None, was_sent=True, detail=""):
        self.status = status
        self.body = body
        self.was_sent = was_sent
        self.detail = detail


class _Lane:
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
            _cut(connection)

    async def call(self, *, method, path, wait_s, headers=None, body=None):
        """Run one call on a thread; an :class:`_Answer`, no later than its timeouts."""
        if self._is_closed:
            return _Answer(was_sent=False, detail="the store is closed")
        work = self._executor.submit(self._request, method, path, wait_s, headers or {}, body)
        future = asyncio.wrap_future(work)
        limit_s = self._connect_timeout_s + wait_s + CALL_MARGIN_S
        done, _ = await asyncio.wait((future,), timeout=limit_s)
        if done:
            return future.result()
        # Every thread may be held by a silent connection. A call that no thread took up
        # was certainly not sent, and its caller may be told so.
        if work.cancel():
            return _Answer(was_sent=False, detail="no thread was free")
        return _Answer(detail=f"no answer in {limit_s:.1f} s")

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
            return _Answer(status=response.status, body=json.loads(response.data) if response.data else None)
        except NOT_SENT_ERRORS as error:
            return _Answer(was_sent=False, detail=_short(error))
        except urllib3.exceptions.ReadTimeoutError as error:
            # Whatever lost track of this connection may have lost the idle ones too, and
            # each would cost one more timeout: the next call starts on a new connection.
            self._replace_pool(pool)
            return _Answer(detail=_short(error))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return _Answer(detail=_short(error))

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


class HttpObjectStore:
    """``ObjectStore`` over urllib3.

    Parameters
    ----------
    url : str
        ``http://HOST:PORT`` of the platform.
    connect_timeout_s : float
    read_timeout_s : float
        Longest silence on an open connection before it is given up.
    threads : int
        Calls at the same time, watches aside.
    """

    def __init__(self, *, url, connect_timeout_s=1.0, read_timeout_s=2.0, threads=4):
        self._url = urlsplit(url)
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._threads = threads
        self._calls = None
        self._watches = None

    def start(self):
        """Make the threads; connections are made by the first calls."""
        self._calls = self._make_lane(threads=self._threads, name="store")
        self._watches = self._make_lane(threads=WATCH_THREADS, name="watch")

    def close(self):
        """End every call in flight and the threads."""
        self._calls.close()
        self._watches.close()

    async def get(self, *, kind, name, unless_version=None):
        """Read one object; ``value`` is ``None`` if it is still at ``unless_version``."""
        return await self._get(_object_path(kind, name), unless_version)

    async def list(self, *, kind):
        """Read all objects of a kind: ``value`` maps name to ``(version, value)``."""
        outcome = _read_outcome(await self._call("GET", f"/objects/{_quoted(kind)}"))
        if not isinstance(outcome, StoreDone):
            return outcome
        by_name = {name: (item["version"], item["value"]) for name, item in outcome.value.items()}
        return StoreDone(version=outcome.version, value=by_name)

    async def create(self, *, kind, name, value):
        """Create an object that must not exist yet."""
        return _write_outcome(await self._call("POST", _object_path(kind, name), body=_encode(value)))

    async def update(self, *, kind, name, value, if_version):
        """Replace an object that must be at ``if_version``."""
        path = f"{_object_path(kind, name)}?if_version={if_version}"
        return _write_outcome(await self._call("PUT", path, body=_encode(value)))

    async def delete(self, *, kind, name, if_version):
        """Delete an object that must be at ``if_version``."""
        path = f"{_object_path(kind, name)}?if_version={if_version}"
        return _write_outcome(await self._call("DELETE", path))

    async def watch(self, *, kind, from_version, timeout_s):
        """Wait for changes after ``from_version``; bounded even if the connection is silent."""
        path = f"/watch/{_quoted(kind)}?from_version={from_version}&timeout_s={timeout_s:.3f}"
        outcome = _read_outcome(await self._watches.call(method="GET", path=path, wait_s=timeout_s + WATCH_MARGIN_S))
        if not isinstance(outcome, StoreDone):
            return outcome
        events = tuple((event["name"], event["version"], event["value"]) for event in outcome.value)
        return StoreDone(version=outcome.version, value=events)

    async def vms(self, *, unless_version=None):
        """Read the lagging list of VMs: a tuple of ``VM``, ``None`` if still at ``unless_version``."""
        outcome = await self._get("/vms", unless_version)
        if not isinstance(outcome, StoreDone) or outcome.value is None:
            return outcome
        return StoreDone(version=outcome.version, value=tuple(vm_from_json(item) for item in outcome.value))

    async def _get(self, path, unless_version):
        headers = {} if unless_version is None else {"If-None-Match": f'"{unless_version}"'}
        answer = await self._call("GET", path, headers=headers)
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return StoreDone(version=unless_version)
        return _read_outcome(answer)

    async def _call(self, method, path, *, headers=None, body=None):
        return await self._calls.call(method=method, path=path, wait_s=self._read_timeout_s, headers=headers, body=body)

    def _make_lane(self, *, threads, name):
        return _Lane(
            host=self._url.hostname,
            port=self._url.port,
            connect_timeout_s=self._connect_timeout_s,
            threads=threads,
            name=name,
        )


def _read_outcome(answer):
    """Outcome of a call without effect: no answer is as good as a refusal."""
    match answer.status:
        case HTTPStatus.OK if _has_version(answer.body):
            return StoreDone(version=answer.body["version"], value=answer.body.get("value"))
        case HTTPStatus.NOT_FOUND:
            return StoreAbsent()
    return StoreUnavailable(detail=_describe(answer))


def _write_outcome(answer):
    """Outcome of a write: anything but a plain answer leaves it unknown whether it took effect."""
    match answer.status:
        case HTTPStatus.OK if _has_version(answer.body):
            return StoreDone(version=answer.body["version"])
        case HTTPStatus.CONFLICT:
            return StoreConflict(version=(answer.body or {}).get("version"))
        case HTTPStatus.NOT_FOUND:
            return StoreAbsent()
        case status if status in REFUSED_STATUSES:
            return StoreUnavailable(detail=_describe(answer))
        case HTTPStatus.SERVICE_UNAVAILABLE if (answer.body or {}).get("applied") is False:
            return StoreUnavailable(detail=_describe(answer))
    # A 500, or a 503 from something before the platform, promises nothing.
    if answer.was_sent:
        return StoreUnknown(detail=_describe(answer))
    return StoreUnavailable(detail=_describe(answer))


def _has_version(body):
    return isinstance(body, dict) and isinstance(body.get("version"), int)


def _describe(answer):
    if not answer.status:
        return answer.detail
    problem = answer.body.get("error", "") if isinstance(answer.body, dict) else ""
    return f"HTTP {answer.status} {problem}".strip()[:MAX_DETAIL_CHARS]


def _short(error):
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]


def _cut(connection):
    """Wake whatever thread waits on this connection."""
    sock = connection.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It was closed already.


def _object_path(kind, name):
    return f"/objects/{_quoted(kind)}/{_quoted(name)}"


def _quoted(text):
    return quote(text, safe="")


def _encode(value):
    return json.dumps({"value": value}).encode()
