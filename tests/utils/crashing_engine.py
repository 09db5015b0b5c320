"""An engine of the users' platform that crashes on poison requests."""

import socket
import struct
import threading
import time

from tests.utils.world_engine import Engine

DOWN_S = 4.0
EXPIRY_S = 3.6
"""Time after which the store removes the entry of a silent engine."""
WORK_S = 0.03
MARK = "poison"


class CrashingEngine(Engine):
    """Starts each request whose path contains ``poison``, crashes with all its connections, and restarts later.

    Parameters
    ----------
    store : Store
        Store in which it registers: its entry expires while it is down, and is created again under another id.

    Attributes
    ----------
    arrivals_of_poison, crashes : list of float
        Times by the monotonic clock.
    """

    def __init__(self, *, name, service, store):
        self.arrivals_of_poison = []
        self.crashes = []
        self._store = store
        self._first_name = name
        self._connections = set()
        self._lock = threading.Lock()
        super().__init__(name=name, service=service, events=10, pause_s=0.03)

    def serve(self, handler):
        if handler.path == "/v1/report":
            super().serve(handler)
            return
        with self._lock:
            self._connections.add(handler.connection)
        try:
            expected = handler.headers.get("Expect-Instance")
            if MARK in handler.path and expected in (None, self.name):
                self.arrivals_of_poison.append(time.monotonic())
                time.sleep(WORK_S)
                self._crash(handler)
            else:
                super().serve(handler)
        finally:
            with self._lock:
                self._connections.discard(handler.connection)

    def _crash(self, handler):
        handler.close_connection = True
        with self._lock:
            connections, self._connections = self._connections, set()
        self.crashes.append(time.monotonic())
        self.stop_listening()
        for connection in connections:
            # With or without unread bytes, the peer gets a reset, as from a killed process.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # The client has closed the connection already.
        threading.Thread(target=self._come_back, daemon=True).start()

    def _come_back(self):
        time.sleep(EXPIRY_S)
        self._store.delete("servers", self.name)
        time.sleep(DOWN_S - EXPIRY_S)
        self.name = f"{self._first_name}-{len(self.crashes)}"
        self.resume_listening()
        self._store.put("servers", self.name, self.entry())
