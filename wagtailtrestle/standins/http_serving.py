"""HTTP plumbing the stand-ins share: JSON answers over cheroot, start, and stop on SIGTERM."""

import json
import select
import signal
import socket
import threading
import time
from http import HTTPStatus

from cheroot import wsgi

JSON_TYPE = "application/json"
SHUTDOWN_TIMEOUT_S = 5
BACKLOG = 1024
ANNOUNCEMENT = "listening"
CONNECTION = "standin.connection"
POLL_S = 0.05
SILENT_LIMIT_S = 120.0


class StreamCutError(Exception):
    """Breaks the connection in the middle of an answer; cheroot then closes it."""


def connection_closed(connection) -> bool:
    """Tell whether the other end closed the connection."""
    readable, _, _ = select.select([connection.socket], [], [], 0)
    if not readable:
        return False
    try:
        return connection.socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def hold_silent(connection):
    """Keep a connection open and say nothing until the other end gives up."""
    until = time.monotonic() + SILENT_LIMIT_S
    while time.monotonic() < until and not connection_closed(connection):
        time.sleep(POLL_S)
    raise StreamCutError


def read_body(environ) -> bytes:
    """Read the whole body of a request."""
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


def bytes_answer(start_response, status, body, headers):
    """Answer with a whole body of known length."""
    status = HTTPStatus(status)
    start_response(f"{status.value} {status.phrase}", [*headers, ("Content-Length", str(len(body)))])
    return [body]


class _Gateway(wsgi.Gateway_10):
    """Tells the application which connection a request came on."""

    def get_environ(self):
        """Return the WSGI environment with the connection added."""
        environ = super().get_environ()
        environ[CONNECTION] = self.req.conn
        return environ


class HttpServing:
    """One cheroot server in a thread of its own.

    Parameters
    ----------
    host : str
    port : int
        0 takes a free port; ``port`` then tells which.
    application : callable
        WSGI application.
    threads : int
        Connections served at once.
    """

    __slots__ = ("host", "port", "_application", "_threads", "_server", "_thread")

    def __init__(self, *, host, port, application, threads):
        self.host = host
        self.port = port
        self._application = application
        self._threads = threads
        self._server = None
        self._thread = None

    def start(self):
        """Bind and serve."""
        self._server = wsgi.Server(
            (self.host, self.port),
            self._application,
            numthreads=self._threads,
            request_queue_size=BACKLOG,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.error_log = _discard
        self._server.prepare()
        self.port = self._server.bind_addr[1]
        self._thread = threading.Thread(target=self._server.serve, name=f"http-{self.port}", daemon=True)
        self._thread.start()

    def close(self):
        """Stop accepting, let the requests in work end, and release the port."""
        self._server.stop()
        self._thread.join()

    def go_down(self, down_s):
        """Drop every connection, refuse new ones for so long, then listen on the same port again."""
        self.close()
        time.sleep(down_s)
        self.start()


def _discard(msg="", level=20, traceback=False):
    """Drop cheroot's log lines: broken connections are what this stand-in is for."""


def run_until_signal(standin):
    """Start a stand-in, say where it listens, and close it on SIGTERM or SIGINT."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    standin.start()
    print(json.dumps({"event": ANNOUNCEMENT, **standin.addresses()}), flush=True)
    stop.wait()
    standin.close()
