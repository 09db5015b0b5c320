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
        Store in which it registers: if its entry expires while it is down, it is created again under another id.
    down_s, expiry_s : float
        Time after a crash until it is back, and until its entry expires. If it is back first, it keeps its id.

    Attributes
    ----------
    is_down : bool
    arrivals_of_poison, crashes : list of float
        Times by the monotonic clock.
    """

    def __init__(self, *, name, service, store, down_s=DOWN_S, expiry_s=EXPIRY_S):
        self._down_s = down_s
        self._expiry_s = expiry_s
        self._born_ms = time.time_ns() // 1_000_000
        self.is_down = False
        self.arrivals_of_poison = []
        self.crashes = []
        self._store = store
        self._first_name = name
        self._connections = set()
        self._lock = threading.Lock()
        super().__init__(name=name, service=service, events=10, pause_s=0.03)

    def entry(self, state="ready"):
        return super().entry(state) | {"born": self._born_ms}

    def serve(self, handler):
        if handler.path == "/v1/report":
            super().serve(handler)
            return
        with self._lock:
            self._connections.add(handler.connection)
        try:
            expected = handler.headers.get("Expect-Instance")
            if self.is_poison(handler) and expected in (None, self.name):
                self.arrivals_of_poison.append(time.monotonic())
                time.sleep(WORK_S)
                self._crash(handler)
            else:
                super().serve(handler)
        finally:
            with self._lock:
                self._connections.discard(handler.connection)

    def is_poison(self, handler):
        """Whether the engine crashes when it runs this request."""
        return MARK in handler.path

    def _crash(self, handler):
        handler.close_connection = True
        self.fail()

    def fail(self):
        """End all connections, and restart later."""
        with self._lock:
            connections, self._connections = self._connections, set()
        self.crashes.append(time.monotonic())
        self.is_down = True
        self.stop_listening()
        for connection in connections:
            # With or without unread bytes, the peer gets a reset, as from a killed process.
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # The client has closed the connection already.
        threading.Thread(target=self._come_back, daemon=True).start()

    def _come_back(self):
        if self._expiry_s < self._down_s:
            time.sleep(self._expiry_s)
            self._store.delete("servers", self.name)
            time.sleep(self._down_s - self._expiry_s)
            self.name = f"{self._first_name}-{len(self.crashes)}"
        else:
            time.sleep(self._down_s)
        self._born_ms = time.time_ns() // 1_000_000
        self.resume_listening()
        self.is_down = False
        self._store.put("servers", self.name, self.entry())


class PartCrashingEngine(CrashingEngine):
    """Crashes on each request whose prompt holds one of ``bad_parts``, wherever it stands, before any event.

    Attributes
    ----------
    bad_parts : set of str
    """

    def __init__(self, *, bad_parts, **options):
        self.bad_parts = bad_parts
        super().__init__(**options)

    def is_poison(self, handler):
        parts = (handler.headers.get("Prompt-Prefix") or "").split(",")
        return any(part.partition(":")[0] in self.bad_parts for part in parts[:-1])
