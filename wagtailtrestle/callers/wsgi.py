"""The HTTP library's server fitted to callers: errors as problems, limits, the connection shown to the application."""

import socket
import threading
import time
import uuid

from cheroot import server as http_server
from cheroot import wsgi
from cheroot.workers.threadpool import ThreadPool
from loguru import logger

from wagtailtrestle.callers.listening import BACKLOG, set_options
from wagtailtrestle.callers.problem import problem_bytes, problem_headers, status_line
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal

CONNECTION_ENVIRON = "wagtailtrestle.connection"
REQUEST_ENVIRON = "wagtailtrestle.request"
READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75
STOP_TIMEOUT_S = 5.0
INITIAL_THREADS = 8
"""Threads made at the start: what a quiet router uses at once."""
SPARE_THREADS = 4
"""Idle threads kept beyond the connections that wait for one; the moment they cover takes microseconds."""
DISCARD_TIMEOUT_S = 0.5
DISCARD_CHUNK_BYTES = 262_144
FULL_RETRY_AFTER_S = 1.0
REASON_BY_STATUS = {413: Reason.TOO_LARGE, 414: Reason.TOO_LARGE, 431: Reason.TOO_LARGE}
LOG_LEVELS = (10, 20, 30, 40, 50)


class CallersGateway(wsgi.Gateway_10):
    """Shows the application its connection, so that a caller who leaves can be noticed."""

    def get_environ(self):
        """The environ with the connection and the library's request added."""
        environ = super().get_environ()
        environ[CONNECTION_ENVIRON] = self.req.conn
        environ[REQUEST_ENVIRON] = self.req
        return environ


class CallersRequest(http_server.HTTPRequest):
    """Writes the library's own errors as problem documents."""

    def simple_response(self, status, msg=""):
        """Answer an error found while the head is read; nothing was run."""
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
        self.conn.send_problem(refusal)


class CallersConnection(http_server.HTTPConnection):
    """A caller's connection, counted, with a deadline for the arrival of each request."""

    RequestHandlerClass = CallersRequest

    def __init__(self, server, sock, makefile=http_server.MakeFile):
        super().__init__(server, sock, makefile)
        sock.settimeout(READ_TIMEOUT_S)
        self.too_slow = False
        self.has_waited = False
        self.closed = False
        self.has_unread_input = False
        server.connection_opened()

    def communicate(self):
        """Read one request and answer it."""
        self.server.watch.expect(connection=self)
        try:
            return super().communicate()
        finally:
            self.server.watch.received(connection=self)

    def send_problem(self, refusal):
        """Write a whole problem answer and mark the connection as ending."""
        request_id = uuid.uuid4().hex
        body = problem_bytes(refusal=refusal, request_id=request_id)
        headers = problem_headers(refusal=refusal, request_id=request_id, length=len(body))
        head = [f"HTTP/1.1 {status_line(refusal.status)}", "Connection: close"]
        head.extend(f"{name}: {value}" for name, value in headers)
        data = "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body
        self.has_unread_input = True
        try:
            self.wfile.write(data)
        except OSError:
            self.has_unread_input = False

    def close(self):
        """Close the socket and count the connection out."""
        if not self.closed:
            self.closed = True
            self.server.connection_closed()
            if self.has_unread_input:
                self._discard_input()
        super().close()

    def _discard_input(self):
        # Closing with bytes unread makes the kernel reset the connection, and the caller reads
        # "connection reset" in place of the refusal just written. So the rest is taken and
        # thrown away, for a moment.
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
    """The worker threads, made as they are needed, which never keep the process from ending.

    Made all at the start, 256 threads cost each router its first moments and their stacks, and
    some hundred routers side by side used up the machine's threads. A router of a small fleet has
    30 to 65 threads in all under load, counted from outside.
    """

    def put(self, obj):
        """Queue a connection, with a thread to take it; called by the one thread that accepts."""
        # A thread counts as idle for a moment after it took a connection off the queue. The spare
        # ones make up for that, so that no request waits for another's answer to end.
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
        """End the threads, waiting at most ``timeout`` seconds for all of them together."""
        deadline = time.monotonic() + timeout
        threads, self._threads[:] = self._threads[:], []
        for _ in threads:
            self._queue.put(http_server.threadpool._SHUTDOWNREQUEST)
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))


class CallersWsgiServer(wsgi.Server):
    """The listening server.

    Parameters
    ----------
    address : tuple of (str, int)
    application : callable
        WSGI application.
    threads : int
    watch : CallerWatch
    max_connections, max_header_bytes, max_body_bytes : int
    listener : socket.socket, optional
        Listens on the address already; made at the start where left out.
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
        listener=None,
    ):
        self._listener = listener
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

    def connection_opened(self):
        """Count a connection in."""
        with self._count_lock:
            self.connections += 1

    def connection_closed(self):
        """Count a connection out."""
        with self._count_lock:
            self.connections -= 1

    def process_conn(self, conn):
        """Give a connection to a worker once it has something to read."""
        if conn.has_waited:
            super().process_conn(conn)
            return
        # The library hands a new connection to a worker before a byte has come. A balancer
        # that opens connections ahead would hold a thread by each; so a new one waits with
        # the idle ones, where it costs no thread.
        conn.has_waited = True
        if self.connections > self.max_connections:
            self._refuse_connection(conn)
            return
        self.put_conn(conn)

    def bind(self, family, type, proto=0):  # noqa: A002
        """Take the listener that there is, or bind one."""
        if self._listener is None:
            sock = super().bind(family, type, proto)
            set_options(sock, is_port_given=self.bind_addr[1] != 0)
            return sock
        self.socket = self._listener
        self.bind_addr = self.resolve_real_bind_addr(self.socket)
        return self.socket

    def error_log(self, msg="", level=20, traceback=False):
        """Send the library's messages to the log."""
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
        conn.has_unread_input = False  # this is the accepting thread: it waits for nobody
        conn.close()


def _level_name(level):
    names = dict(zip(LOG_LEVELS, ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"), strict=True))
    return names.get(level, "INFO")
