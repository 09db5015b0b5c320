"""A thread that detects callers that disconnect and callers that send too slowly."""

import select
import socket
import threading
import time
from collections.abc import Callable

DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
POLL_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
POLL_INTERVAL_S = 0.25
# Time to receive a request while most threads are receiving: enough for any request from a caller with
# a latency of a few milliseconds, and short enough that the requests of other callers get a thread.
BUSY_TIMEOUT_S = 2.0


class ConnectionWatcher:
    """Watches callers' connections while their requests are received and handled.

    A worker thread waits in a queue or reads from an engine, so it can't detect that its caller
    disconnects; without the watcher, the engine would continue to generate and its slot would stay
    occupied until the run's end. The kernel reports a closed peer through epoll, which costs nothing
    until then. Pipelined data is not reported.

    There is no lock: each request would take it four times, and system calls under it release the interpreter, so
    that all threads of a busy process queued for it. Single operations on a dictionary are atomic.

    Parameters
    ----------
    timeout_s : float
        Maximum time to receive one complete request.
    max_receiving : int
        Number of requests being received above which the timeout is ``BUSY_TIMEOUT_S``.
    """

    __slots__ = (
        "_epoll",
        "_callback_by_fd",
        "_since_by_connection",
        "_closing",
        "_thread",
        "_timeout_s",
        "_max_receiving",
    )

    def __init__(self, *, timeout_s, max_receiving):
        self._timeout_s = timeout_s
        self._max_receiving = max_receiving
        self._epoll = select.epoll()
        self._callback_by_fd = {}
        self._since_by_connection = {}
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="caller-watch", daemon=True)

    def start(self):
        """Start the watching thread."""
        self._thread.start()

    def close(self):
        """End the watching thread."""
        self._closing.set()
        self._thread.join()
        self._epoll.close()

    def watch(self, *, fd: int, on_disconnect: Callable[[], None]):
        """Call ``on_disconnect`` once, in the watching thread, when the peer of ``fd`` closes."""
        self._callback_by_fd[fd] = on_disconnect
        self._epoll.register(fd, DISCONNECT_EVENTS | select.EPOLLONESHOT)

    def unwatch(self, *, fd: int):
        """Stop watching ``fd``; must be called before it is closed, since descriptors are reused."""
        if self._callback_by_fd.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def expect(self, *, connection):
        """Start the timeout for receiving a request on ``connection``.

        A socket timeout applies to each read: a caller that sends a byte now and then could occupy
        a thread for hours, and a hundred such callers the whole router. This timeout applies to the
        complete request and is shortened while most threads are receiving.
        """
        self._since_by_connection[connection] = time.monotonic()

    def received(self, *, connection):
        """Stop the timeout: the request was received completely, or its connection ended."""
        self._since_by_connection.pop(connection, None)

    def _run(self):
        while not self._closing.is_set():
            for fd, _ in self._epoll.poll(POLL_INTERVAL_S):
                on_disconnect = self._disconnected(fd)
                if on_disconnect is not None:
                    on_disconnect()
            self._stop_slow_senders()

    def _disconnected(self, fd):
        """Return the callback of ``fd`` if its peer has closed, else ``None``.

        The event may belong to a connection that has been closed since and whose descriptor has been reused. If the
        same callback is registered before and after the check, the descriptor was not reused in between.
        """
        on_disconnect = self._callback_by_fd.get(fd)
        if on_disconnect is None:
            return None
        poll = select.poll()
        poll.register(fd, POLL_DISCONNECT_EVENTS)
        is_closed = bool(poll.poll(0))
        return on_disconnect if is_closed and self._callback_by_fd.get(fd) is on_disconnect else None

    def _stop_slow_senders(self):
        now = time.monotonic()
        since_by_connection = self._since_by_connection.copy()
        is_busy = len(since_by_connection) > self._max_receiving
        allowed_s = min(BUSY_TIMEOUT_S, self._timeout_s) if is_busy else self._timeout_s
        for connection, since in since_by_connection.items():
            if now - since > allowed_s and self._since_by_connection.pop(connection, None) is not None:
                connection.too_slow = True
                _stop_reading(connection.socket)


def _stop_reading(sock):
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
