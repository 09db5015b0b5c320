"""HTTP serving shared by the stand-ins: JSON answers with cheroot, start, and stop on SIGTERM."""

import json
import select
import signal
import socket
import threading
import time
from http import HTTPStatus

from cheroot import wsgi

from wagtailtrestle.observe.metrics import Metrics
from wagtailtrestle.standins.local_ports import reserve_ports

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
STARTED_HEADER = "X-Run-Started"
SHUTDOWN_TIMEOUT_S = 5
BACKLOG = 1024
ANNOUNCEMENT = "listening"
CONNECTION = "standin.connection"
STOPPING = "standin.stopping"
POLL_S = 0.05
SILENT_LIMIT_S = 120.0
REBIND_LIMIT_S = 10.0
# cheroot's default of 10 would close connections that routers keep open for polling.
MAX_IDLE_CONNECTIONS = 512


class StreamCutError(Exception):
    """Raised to break off an answer; cheroot then closes the connection."""


def break_connection(connection):
    """Shut a connection down without sending anything more, as when its process dies."""
    try:
        connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # The peer closed it first.
    raise StreamCutError


def connection_closed(connection) -> bool:
    """Return whether the peer closed the connection."""
    readable, _, _ = select.select([connection.socket], [], [], 0)
    if not readable:
        return False
    try:
        return connection.socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def hold_silent(connection, stopping):
    """Keep a connection open without sending until the peer closes it or this server stops."""
    until = time.monotonic() + SILENT_LIMIT_S
    while time.monotonic() < until and not connection_closed(connection):
        if stopping.wait(POLL_S):
            break
    break_connection(connection)


def read_body(environ) -> bytes:
    """Read the complete body of a request."""
    length = environ.get("CONTENT_LENGTH")
    if length:
        return environ["wsgi.input"].read(int(length))
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return environ["wsgi.input"].read()
    return b""


def json_answer(start_response, status, value, *, request_id=""):
    """Answer with JSON."""
    body = json.dumps(value).encode()
    headers = [("Content-Type", JSON_TYPE)]
    if request_id:
        headers.append(("X-Request-Id", request_id))
    return bytes_answer(start_response, status, body, headers)


def metrics_text(counts) -> bytes:
    """Return the numeric counts in the Prometheus text format."""
    metrics = Metrics(prefix="wagtailtrestle_standin")
    for name, value in counts.items():
        if isinstance(value, int | float):
            metrics.gauge(name, value=value)
    return metrics.exposition().encode()


def metrics_answer(start_response, counts):
    """Answer with metrics in the Prometheus text format."""
    return bytes_answer(start_response, HTTPStatus.OK, metrics_text(counts), [("Content-Type", TEXT_TYPE)])


def refuse_unstarted(start_response, run_id):
    """Refuse a request and report that it was not started, so that the sender may send it to another upstream."""
    body = json.dumps({"error": {"message": "leaving: not started"}}).encode()
    headers = [("Content-Type", JSON_TYPE), ("X-Request-Id", run_id), (STARTED_HEADER, "no")]
    return bytes_answer(start_response, HTTPStatus.SERVICE_UNAVAILABLE, body, headers)


def bytes_answer(start_response, status, body, headers):
    """Answer with a complete body and its Content-Length."""
    status = HTTPStatus(status)
    start_response(f"{status.value} {status.phrase}", [*headers, ("Content-Length", str(len(body)))])
    return [body]


class _Gateway(wsgi.Gateway_10):
    """Passes the connection of a request to the application."""

    def get_environ(self):
        """Return the WSGI environment with the connection added."""
        environ = super().get_environ()
        environ[CONNECTION] = self.req.conn
        environ[STOPPING] = self.req.server.stopping
        return environ


class HttpServing:
    """One cheroot server in a background thread.

    Parameters
    ----------
    host : str
    port : int
        0 picks a free port, which ``port`` then holds.
    application : callable
        WSGI application.
    threads : int
        Number of connections served concurrently.
    """

    __slots__ = ("host", "port", "_application", "_threads", "_server", "_thread", "_closed", "_lock", "_reservation")

    def __init__(self, *, host, port, application, threads):
        self.host = host
        self.port = port
        self._application = application
        self._threads = threads
        self._server = None
        self._thread = None
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._reservation = None

    def start(self):
        """Bind and serve."""
        # The library lets only a port given by number be bound again while old connections
        # to it linger, and :meth:`go_down` does just that.
        if not self.port:
            self._reservation = reserve_ports(1)
            (self.port,) = self._reservation.ports
        with self._lock:
            self._listen()

    def close(self):
        """Stop accepting, let requests in progress finish, and release the port."""
        self._closed.set()
        with self._lock:
            self._stop()
        if self._reservation is not None:
            self._reservation.close()

    def go_down(self, down_s):
        """Drop every connection, refuse new ones for ``down_s``, then listen on the same port again."""
        with self._lock:
            self._stop()
            if not self._closed.wait(down_s):
                self._listen_again()

    def _listen(self):
        server = wsgi.Server(
            (self.host, self.port),
            self._application,
            numthreads=self._threads,
            request_queue_size=BACKLOG,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        server.gateway = _Gateway
        server.stopping = threading.Event()
        server.error_log = _discard
        server.expiration_interval = POLL_S
        server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        server.prepare()
        self._server = server
        self._thread = threading.Thread(target=server.serve, name=f"http-{self.port}", daemon=True)
        self._thread.start()

    def _listen_again(self):
        # While the server was down, another process may have used the port for a short
        # connection; retry until it is free.
        until = time.monotonic() + REBIND_LIMIT_S
        while True:
            try:
                return self._listen()
            except OSError:
                if time.monotonic() > until or self._closed.wait(POLL_S):
                    raise

    def _stop(self):
        if self._server is None:
            return
        self._server.stopping.set()
        self._server.stop()
        self._thread.join()
        self._server = None


def _discard(msg="", level=20, traceback=False):
    """Discard cheroot's log lines: stand-ins break connections on purpose."""


def run_until_signal(standin):
    """Start a stand-in, print its addresses, and close it on SIGTERM or SIGINT."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    standin.start()
    print(json.dumps({"event": ANNOUNCEMENT, **standin.addresses()}), flush=True)
    stop.wait()
    standin.close()
