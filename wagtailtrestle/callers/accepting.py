"""The accepting thread of the callers' server, and how long connections have waited for it."""

import math
import time

from cheroot.connections import ConnectionManager

from wagtailtrestle.callers.listening import BACKLOG

MAX_ACCEPT_WAIT_S = 0.25
"""Callers give up on a connection that isn't read within a third of their time, or a second."""
MAX_COUNTED_PASS_S = 0.1
"""What a single pass of the accepting thread adds to a wait at most. After a pause of the process all that arrived
meanwhile has waited long, and can be served at once."""
ACCEPT_STAGE = "accept"
"""Wait of a connection in the kernel's queue of connections that aren't accepted yet."""


class AcceptQueue:
    """Upper limit of the time for which connections have waited in the kernel's accept queue.

    The kernel doesn't report this time. Since the queue is served in order, no connection in it is older than the
    time since the queue was last seen empty.

    Parameters
    ----------
    max_pass_s : float, optional
        What the time between two observations counts at most, in seconds.
    """

    __slots__ = ("_max_pass_s", "_observed_at", "_waited_s")

    def __init__(self, *, max_pass_s=math.inf):
        self._max_pass_s = max_pass_s
        self._observed_at = None
        self._waited_s = 0.0

    def observe(self, *, is_empty, now) -> float:
        """Record whether the queue is empty now; return the seconds since it was last seen empty."""
        if is_empty:
            self._observed_at = None
            self._waited_s = 0.0
            return 0.0
        if self._observed_at is not None:
            self._waited_s += min(now - self._observed_at, self._max_pass_s)
        self._observed_at = now
        return self._waited_s


class CallerConnections(ConnectionManager):
    """Accepts connections and passes those with data to the worker threads.

    If they come faster than they can be accepted, those that wait are closed unread, so that their callers turn to
    another router while they still have time. What has been accepted before is served without this queue behind it.
    """

    def __init__(self, server):
        super().__init__(server)
        self._accept_queue = AcceptQueue()
        self._closable_queue = AcceptQueue(max_pass_s=MAX_COUNTED_PASS_S)

    def _run(self, expiration_interval):
        next_expiration = time.monotonic() + expiration_interval
        while not self._stop_requested:
            try:
                readable = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                self._remove_invalid_sockets()
                continue
            self._accept(is_waiting=any(conn is self.server for _, conn in readable), now=time.monotonic())
            for fd, conn in readable:
                if conn is not self.server:
                    self._selector.unregister(fd)
                    self.server.process_conn(conn)
            if time.monotonic() >= next_expiration:
                next_expiration = time.monotonic() + expiration_interval
                self._expire(threshold=time.time() - self.server.timeout)

    def _accept(self, *, is_waiting, now):
        waited_s = self._accept_queue.observe(is_empty=not is_waiting, now=now)
        if not is_waiting:
            self._closable_queue.observe(is_empty=True, now=now)
            return
        # A router that has just started has many connections waiting, and time to accept them.
        closable_s = self._closable_queue.observe(is_empty=not self.server.may_close_unread(), now=now)
        if closable_s > MAX_ACCEPT_WAIT_S:
            self._close_waiting(now)
            return
        conn = self._from_server_socket(self.server.socket)
        if conn is not None:
            self.server.on_delay(ACCEPT_STAGE, waited_s)
            self.server.process_conn(conn)

    def _close_waiting(self, now):
        closed = 0
        while closed < BACKLOG:
            try:
                sock, _ = self.server.socket.accept()
            except OSError:
                break
            sock.close()
            closed += 1
        for queue in (self._accept_queue, self._closable_queue):
            queue.observe(is_empty=True, now=now)
        self.server.on_closed_unread(closed)
