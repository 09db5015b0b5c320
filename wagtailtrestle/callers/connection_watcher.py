"""One thread that notices callers who left and callers who send too slowly."""

import select
import socket
import threading
import time
from collections.abc import Callable

DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
POLL_INTERVAL_S = 0.25
# With most threads receiving, a sender is allowed this long: enough for any request from a
# caller within a few milliseconds, and short enough that the rest come through.
BUSY_TIMEOUT_S = 2.0


class ConnectionWatcher:
    """Watches callers' connections while their requests are received and in work.

    A caller's thread waits in a queue or reads from an engine, so it can't see its own
    caller leave; unwatched, the engine would go on generating for nobody and the slot would
    stay taken until the run's end. The kernel reports a closed peer by an event that costs
    nothing until then. Data that a caller pipelines is not reported.

    Parameters
    ----------
    timeout_s : float
        Longest time for the arrival of one whole request.
    crowd : int
        Requests being received at once above which only ``CROWDED_TIMEOUT_S`` is allowed.
    """

    __slots__ = (
        "_epoll",
        "_lock",
        "_callback_by_fd",
        "_started_at_by_connection",
        "_closing",
        "_thread",
        "_timeout_s",
        "_max_receiving",
    )

    def __init__(self, *, timeout_s, max_receiving):
        self._timeout_s = timeout_s
        self._max_receiving = max_receiving
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callback_by_fd = {}
        self._started_at_by_connection = {}
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
        """Call ``on_gone`` once, in the watching thread, when the peer of ``fd`` closes."""
        with self._lock:
            self._callback_by_fd[fd] = on_disconnect
            self._epoll.register(fd, DISCONNECT_EVENTS)

    def unwatch(self, *, fd: int):
        """Stop watching ``fd``; to be called before it is closed, since numbers are used again."""
        with self._lock:
            self._unregister(fd)

    def expect(self, *, connection):
        """Begin to count the time in which a request must arrive on ``connection``.

        The timeout of a socket holds for each read: a caller that sends a byte now and then
        would hold a thread for hours, and a hundred of them the router. This limit is for
        the whole request, however it trickles in, and tightens while most threads receive.
        """
        with self._lock:
            self._started_at_by_connection[connection] = time.monotonic()

    def received(self, *, connection):
        """The request of ``connection`` has arrived whole, or its connection ended."""
        with self._lock:
            self._started_at_by_connection.pop(connection, None)

    def _run(self):
        while not self._closing.is_set():
            if self._epoll.poll(POLL_INTERVAL_S):
                for on_disconnect in self._pop_disconnected():
                    on_disconnect()
            self._stop_slow_senders()

    def _pop_disconnected(self):
        # What was found before the lock was taken may be of a connection that has ended since, whose number another
        # one bears by now: its caller, who waits, was told that the request is given up. Asked again under the lock,
        # the kernel tells of the connections that are watched now.
        with self._lock:
            dropped = [self._unregister(fd) for fd, _ in self._epoll.poll(0)]
        return [on_disconnect for on_disconnect in dropped if on_disconnect is not None]

    def _unregister(self, fd):
        callback = self._callback_by_fd.pop(fd, None)
        if callback is not None:
            self._epoll.unregister(fd)
        return callback

    def _stop_slow_senders(self):
        now = time.monotonic()
        with self._lock:
            crowded = len(self._started_at_by_connection) > self._max_receiving
            allowed_s = min(BUSY_TIMEOUT_S, self._timeout_s) if crowded else self._timeout_s
            late = [c for c, since in self._started_at_by_connection.items() if now - since > allowed_s]
            for connection in late:
                del self._started_at_by_connection[connection]
                connection.too_slow = True
                _stop_reading(connection.socket)


def _stop_reading(sock):
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
