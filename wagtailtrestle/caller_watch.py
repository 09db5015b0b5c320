"""One thread that notices callers who left and callers who send too slowly."""

import select
import socket
import threading
import time
from collections.abc import Callable

GONE_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
CHECK_S = 0.25


class CallerWatch:
    """Watches callers' connections while their requests are received and in work.

    A caller's thread waits in a queue or reads from an engine, so it can't see its own
    caller leave; unwatched, the engine would go on generating for nobody and the slot would
    stay taken until the run's end. The kernel reports a closed peer by an event that costs
    nothing until then. Data that a caller pipelines is not reported.
    """

    __slots__ = ("_epoll", "_lock", "_callback_by_fd", "_deadline_by_connection", "_closing", "_thread")

    def __init__(self):
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callback_by_fd = {}
        self._deadline_by_connection = {}
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

    def watch(self, *, fd: int, on_gone: Callable[[], None]):
        """Call ``on_gone`` once, in the watching thread, when the peer of ``fd`` closes."""
        with self._lock:
            self._callback_by_fd[fd] = on_gone
            self._epoll.register(fd, GONE_EVENTS)

    def forget(self, *, fd: int):
        """Stop watching ``fd``; to be called before it is closed, since numbers are used again."""
        with self._lock:
            self._drop(fd)

    def expect(self, *, connection, deadline: float):
        """Give up reading from ``connection`` at ``deadline`` (``time.monotonic``).

        The timeout of a socket holds for each read: a caller that sends a byte now and then
        would hold a thread for hours, and a few hundred of them the router. The deadline
        is for the whole request, however it trickles in.
        """
        with self._lock:
            self._deadline_by_connection[connection] = deadline

    def received(self, *, connection):
        """The request of ``connection`` has arrived whole, or its connection ended."""
        with self._lock:
            self._deadline_by_connection.pop(connection, None)

    def _run(self):
        while not self._closing.is_set():
            for fd, _ in self._epoll.poll(CHECK_S):
                with self._lock:
                    callback = self._drop(fd)
                if callback is not None:
                    callback()
            self._stop_slow_senders()

    def _drop(self, fd):
        callback = self._callback_by_fd.pop(fd, None)
        if callback is not None:
            self._epoll.unregister(fd)
        return callback

    def _stop_slow_senders(self):
        now = time.monotonic()
        with self._lock:
            late = [c for c, deadline in self._deadline_by_connection.items() if deadline <= now]
            for connection in late:
                del self._deadline_by_connection[connection]
                connection.too_slow = True
                _stop_reading(connection.socket)


def _stop_reading(sock):
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
