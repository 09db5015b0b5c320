"""Cheroot's WSGI server adapted to callers: problem documents, connection limits, access to the connection."""

import errno
import io
import re
import socket
import threading
import time
import uuid

from cheroot import server as http_server
from cheroot import wsgi
from cheroot.errors import MaxSizeExceeded
from cheroot.workers.threadpool import ThreadPool
from loguru import logger

from wagtailtrestle.callers.accepting import CallerConnections
from wagtailtrestle.callers.body import LENGTH_PATTERN
from wagtailtrestle.callers.listening import BACKLOG, set_options
from wagtailtrestle.callers.problem import problem_bytes, problem_headers, status_line
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal

CONNECTION_ENVIRON = "wagtailtrestle.connection"
REQUEST_ENVIRON = "wagtailtrestle.request"
MAX_CHUNK_LINE_BYTES = 4096
READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75
STOP_TIMEOUT_S = 5.0
INITIAL_THREADS = 8
"""Threads created at the start: as many as an idle router needs."""
SPARE_THREADS = 4
"""Idle threads kept beyond the queued connections; the delay that they cover lasts microseconds."""
DISCARD_TIMEOUT_S = 0.5
DISCARD_CHUNK_BYTES = 262_144
FULL_RETRY_AFTER_S = 1.0
REASON_BY_STATUS = {413: Reason.TOO_LARGE, 414: Reason.TOO_LARGE, 431: Reason.TOO_LARGE}
LOG_LEVELS = (10, 20, 30, 40, 50)
CONTENT_LENGTH = b"Content-Length"
CHUNK_SIZE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
HEAD = b"HEAD"
MAX_JOINED_BYTES = 65_536
"""Size up to which a part of a body is copied behind its head, to save a system call."""
THREAD_STAGE = "thread"
"""Wait of a readable connection for a thread that reads it."""


class CallersGateway(wsgi.Gateway_10):
    """Gives the application access to its connection, so that a disconnect of the caller can be detected."""

    def get_environ(self):
        """Return the environ with cheroot's connection and request added."""
        if self.req.chunked_read:
            self.req.rfile = StrictChunkedReader(self.req.conn.rfile, self.req.server.max_request_body_size)
        environ = super().get_environ()
        environ[CONNECTION_ENVIRON] = self.req.conn
        environ[REQUEST_ENVIRON] = self.req
        return environ

    def write(self, chunk):
        """Send a part of the body; cheroot's checks are needed only before the head is sent or with a length."""
        if self.req.sent_headers and self.remaining_bytes_out is None:
            self.req.write(chunk)
        else:
            super().write(chunk)


class RawReader(socket.SocketIO):
    """Reads a caller's socket for ``SocketReader``; reads nothing while ``is_held``."""

    is_held = False

    def readinto(self, buffer):
        """Read into a buffer; ``None``, as of a socket without data, while held."""
        return None if self.is_held else super().readinto(buffer)


class SocketReader(io.BufferedReader):
    """Buffered reader of a caller's socket.

    Cheroot's own reader is written in Python, which took about a tenth of the processor time of a short
    request's thread, mostly for the lines of its head.

    Parameters
    ----------
    sock : socket.socket
    """

    def __init__(self, *, sock):
        super().__init__(RawReader(sock, "rb"))

    def has_data(self):
        """Whether more was received than has been read, such as a pipelined request; never waits."""
        self.raw.is_held = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_held = False


class SocketWriter:
    """Writes to a caller's socket without delay, a response's head together with the first part of its body.

    Cheroot's own writer is a buffered file object written in Python: it took 15 calls and two copies for each
    event of a stream, although it buffers nothing.

    Parameters
    ----------
    sock : socket.socket

    Attributes
    ----------
    head : bytes
        Head of a response, sent in front of the next bytes.
    """

    __slots__ = ("head", "_has_failed", "_send")

    def __init__(self, *, sock):
        self.head = b""
        self._has_failed = False
        self._send = sock.send

    def write(self, data):
        """Send all bytes; the socket's timeout applies to each part that the kernel accepts.

        Raises
        ------
        OSError
            If a part can't be sent. All later writes fail too: bytes after a gap, such as the last chunk of a
            response, would make it look complete.
        """
        if self.head:
            head, self.head = self.head, b""
            if len(data) > MAX_JOINED_BYTES:
                self.write(head)
            else:
                data = head + data
        if not data:
            return
        if self._has_failed:
            raise BrokenPipeError(errno.EPIPE, "an earlier write to this connection failed")
        try:
            sent = self._send(data)
            if sent == len(data):
                return
            rest = memoryview(data)[sent:]
            while rest:
                rest = rest[self._send(rest) :]
        except OSError:
            self._has_failed = True
            raise


class StrictChunkedReader(http_server.ChunkedRFile):
    """Reads a chunked body; a chunk's size that is not a hexadecimal number is an error.

    Cheroot also takes signs, prefixes and underscores, and a negative size for the end of the body. What another
    server takes for the rest of the body would be run as a request.
    """

    def _fetch(self):
        if self.closed:
            return
        line = self.rfile.readline(MAX_CHUNK_LINE_BYTES)
        self._count(len(line))
        match = CHUNK_SIZE_PATTERN.fullmatch(line)
        if match is None:
            raise ValueError(f"Bad size of a chunk: {line[:20]!r}")
        size = int(match.group(1), 16)
        if not size:
            self.closed = True
            return
        self._count(size)
        self.buffer += self.rfile.read(size)
        if self.rfile.read(2) != b"\r\n":
            raise ValueError("A chunk does not end with CRLF.")

    def _count(self, size):
        self.bytes_read += size
        if self.maxlen and self.bytes_read > self.maxlen:
            raise MaxSizeExceeded("Request Entity Too Large", self.maxlen)


class RequestHeaders(dict):
    """Headers of a request; a second length is an error.

    By RFC 9112, 6.3, the end of such a request is not known: what follows one of the lengths may be its body.
    """

    def __setitem__(self, name, value):
        if name == CONTENT_LENGTH and (name in self or not LENGTH_PATTERN.fullmatch(value.decode("latin-1"))):
            raise ValueError("'Content-Length' must be one whole number.")
        super().__setitem__(name, value)


class CallersRequest(http_server.HTTPRequest):
    """Sends cheroot's own errors as problem documents, and each part of a response with one write."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.inheaders = RequestHeaders()

    def respond(self):
        """Respond; the head of a response without a body is sent at the end."""
        super().respond()
        self.conn.wfile.write(b"")

    def send_headers(self):
        """Build the head and leave it to the writer, which sends it with the first part of the body."""
        writer = self.conn.wfile
        with io.BytesIO() as head:
            self.conn.wfile = head
            try:
                super().send_headers()
            finally:
                self.conn.wfile = writer
            writer.head = head.getvalue()

    def write(self, chunk):
        """Send a part of the body, which an answer to a HEAD request doesn't have."""
        if self.method == HEAD:
            chunk = b""
        if self.chunked_write and chunk:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self.conn.wfile.write(chunk)

    def simple_response(self, status, msg=""):
        """Send an error that occurred while the request was read; nothing was executed."""
        code = int(str(status)[:3])
        if self.conn.too_slow:
            code, msg = 408, "The request took too long to arrive."
        if code == 413 and "headers" in msg:
            code = 431
        refusal = Refusal(
            status=code,
            reason=REASON_BY_STATUS.get(code, Reason.BAD_REQUEST),
            executed=Executed.NO,
            detail=msg or "The request can't be read.",
        )
        self.close_connection = True
        self.sent_headers = True
        self.conn.send_problem(refusal, has_body=getattr(self, "method", b"") != HEAD)


class CallersConnection(http_server.HTTPConnection):
    """A caller's connection, counted, with a time limit for receiving each request."""

    RequestHandlerClass = CallersRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, _make_file)
        sock.settimeout(READ_TIMEOUT_S)
        self.too_slow = False
        self.readable_at = time.monotonic()
        self.has_waited = False
        self.closed = False
        self.has_unread_input = False
        server.connection_opened()

    def communicate(self):
        """Read one request and respond to it."""
        self.server.on_delay(THREAD_STAGE, time.monotonic() - self.readable_at)
        self.server.watch.expect(connection=self)
        try:
            return super().communicate()
        finally:
            self.server.watch.received(connection=self)

    def send_problem(self, refusal, *, has_body=True):
        """Send a problem as the complete response; the connection closes after it."""
        request_id = uuid.uuid4().hex
        body = problem_bytes(refusal=refusal, request_id=request_id)
        headers = problem_headers(refusal=refusal, request_id=request_id, length=len(body))
        head = [f"HTTP/1.1 {status_line(refusal.status)}", "Connection: close"]
        head.extend(f"{name}: {value}" for name, value in headers)
        data = "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + (body if has_body else b"")
        self.has_unread_input = True
        try:
            self.wfile.write(data)
        except OSError:
            self.has_unread_input = False

    def close(self):
        """Close the socket and stop counting the connection."""
        if not self.closed:
            self.closed = True
            self.server.connection_closed()
            if self.has_unread_input:
                self._discard_input()
        super().close()

    def _discard_input(self):
        # If a socket is closed with unread input, the kernel resets the connection and the caller
        # sees "connection reset" instead of the refusal. So the input is read and discarded first,
        # for a limited time.
        deadline = time.monotonic() + DISCARD_TIMEOUT_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while time.monotonic() < deadline:
                self.socket.settimeout(DISCARD_TIMEOUT_S)
                if not self.socket.recv(DISCARD_CHUNK_BYTES):
                    return
        except OSError:
            return


class CallerThreads(ThreadPool):
    """Worker threads, created on demand; as daemon threads they don't prevent the process from exiting.

    When all 256 threads were created at the start, they delayed each router's start and used memory
    for their stacks, and about a hundred routers on one VM exhausted its threads. A router of a small
    fleet has 30 to 65 threads in total under load, counted from outside the process.
    """

    def put(self, obj):
        """Queue a connection and create a thread for it if needed; called only by the accepting thread."""
        # A thread still counts as idle for a moment after it took a connection from the queue. The
        # spare threads compensate for that, so that no request waits until another one has ended.
        if self.idle < self._queue.qsize() + SPARE_THREADS and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())
        super().put(obj)

    def _spawn_worker(self):
        worker = http_server.threadpool.WorkerThread(self.server)
        worker.name = f"caller-{worker.name}"
        worker.daemon = True
        worker.start()
        return worker

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Stop the threads, waiting at most ``timeout`` seconds in total."""
        deadline = time.monotonic() + timeout
        threads, self._threads[:] = self._threads[:], []
        for _ in threads:
            self._queue.put(http_server.threadpool._SHUTDOWNREQUEST)
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))


class CallersWsgiServer(wsgi.Server):
    """The listening WSGI server.

    Parameters
    ----------
    address : tuple of (str, int)
    application : callable
        WSGI application.
    threads : int
    watch : ConnectionWatcher
    max_connections, max_header_bytes, max_body_bytes : int
    on_delay : callable
        ``on_delay(stage, seconds)``: how long a connection waited in one of this process's queues.
    may_close_unread : callable
        Whether callers whose connections are closed unread can turn to another router.
    on_closed_unread : callable
        ``on_closed_unread(count)``: that many connections were closed because they had waited too long.
    listener : socket.socket, optional
        A socket that already listens on the address; by default one is bound at the start.
    """

    ConnectionClass = CallersConnection

    def __init__(
        self,
        *,
        address,
        application,
        threads,
        watch,
        max_connections,
        max_header_bytes,
        max_body_bytes,
        on_delay,
        may_close_unread,
        on_closed_unread,
        listener=None,
    ):
        self._listener = listener
        self.on_delay = on_delay
        self.may_close_unread = may_close_unread
        self.on_closed_unread = on_closed_unread
        super().__init__(address, application, numthreads=threads, server_name="wagtailtrestle")
        self.gateway = CallersGateway
        self.requests = CallerThreads(self, min=min(INITIAL_THREADS, threads), max=threads)
        self.request_queue_size = BACKLOG
        self.timeout = IDLE_TIMEOUT_S
        self.shutdown_timeout = STOP_TIMEOUT_S
        self.keep_alive_conn_limit = None
        self.max_request_header_size = max_header_bytes
        self.max_request_body_size = max_body_bytes
        self.watch = watch
        self.max_connections = max_connections
        self.connections = 0
        self._count_lock = threading.Lock()

    def prepare(self):
        """Bind the listener and prepare to accept connections."""
        super().prepare()
        self.socket.setblocking(False)
        self._connections.close()
        self._connections = CallerConnections(self)

    def connection_opened(self):
        """Count a connection as open."""
        with self._count_lock:
            self.connections += 1

    def connection_closed(self):
        """Count a connection as closed."""
        with self._count_lock:
            self.connections -= 1

    def process_conn(self, conn):
        """Pass a connection to a worker thread once it has data to read."""
        if conn.has_waited:
            conn.readable_at = time.monotonic()
            super().process_conn(conn)
            return
        # Cheroot passes a new connection to a worker thread before any data has arrived. A load
        # balancer that opens connections in advance would occupy a thread with each of them, so a
        # new connection waits among the idle keep-alive connections, which need no thread.
        conn.has_waited = True
        if self.connections > self.max_connections:
            self._refuse_connection(conn)
            return
        self.put_conn(conn)

    def bind(self, family, type, proto=0):  # noqa: A002
        """Use the given listener, or bind one."""
        if self._listener is None:
            sock = super().bind(family, type, proto)
            set_options(sock, is_port_given=self.bind_addr[1] != 0)
            return sock
        self.socket = self._listener
        self.bind_addr = self.resolve_real_bind_addr(self.socket)
        return self.socket

    def error_log(self, msg="", level=20, traceback=False):
        """Log a message of cheroot."""
        logger.opt(exception=traceback).log(_level_name(level), "callers' server: {}", msg)

    def _refuse_connection(self, conn):
        refusal = Refusal(
            status=503,
            reason=Reason.ROUTER_FULL,
            executed=Executed.NO,
            detail=f"This router holds {self.max_connections} connections, its limit.",
            retry_after_s=FULL_RETRY_AFTER_S,
        )
        conn.send_problem(refusal)
        conn.has_unread_input = False  # the accepting thread must not block on the caller
        conn.close()


def _make_file(sock, mode, _buffer_bytes):
    return SocketReader(sock=sock) if "r" in mode else SocketWriter(sock=sock)


def _level_name(level):
    names = dict(zip(LOG_LEVELS, ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"), strict=True))
    return names.get(level, "INFO")
