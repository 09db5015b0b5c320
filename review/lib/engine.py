"""Stand-in for a sound engine: streams of numbered events and plain answers, a registration and a load report."""

import json
import socket
import threading
import time

from lib.platform import HttpServer, reply

HEARTBEAT_S = 1.2
STOP_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class Engine(HttpServer):
    """One engine.

    Parameters
    ----------
    store, name, service, record
    events : int
        Events of a stream, one each ``pause_s``.
    pause_s : float
    plain_s : float
        Time that a plain call takes.
    unframed_every : int
        Each so-manyth stream comes with neither a length nor chunks and ends with its connection; 0 for none.
    """

    def __init__(
        self, *, store, name, service, record, events=10, pause_s=0.05, plain_s=0.05, unframed_every=0, version="v1"
    ):
        self.name = name
        self.version = version
        self.service = service
        self.events = events
        self.pause_s = pause_s
        self.plain_s = plain_s
        self.unframed_every = unframed_every
        self.state = "ready"
        self.ran = []
        self.born = int(time.time() * 1000)
        self._store = store
        self._record = record
        self._sequence = 0
        self._running = 0
        self._streams = 0
        self._closed = threading.Event()
        self._withdrawn = threading.Event()
        self._lock = threading.Lock()
        super().__init__()

    def start(self):
        """Register in the store, and write there again at each heartbeat."""
        self.register()
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def register(self):
        """Write the registration; return the time of the acknowledgement."""
        with self._lock:
            if self._withdrawn.is_set():
                return time.monotonic()
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "gijon",
                "version": self.version,
                "slots": 10,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self.born,
            }
            return self._store.put("servers", self.name, entry)

    def leave(self):
        """Report that it is draining; return the time of the acknowledgement."""
        self.state = "draining"
        return self.register()

    def withdraw(self):
        """Leave without having reported draining: the entry is removed, and the engine serves on."""
        self.state = "draining"
        self._withdrawn.set()
        with self._lock:
            self._store.delete("servers", self.name)

    def exit(self):
        """End as after a drain, with all connections."""
        self._closed.set()
        self._end_connections()

    def close(self):
        if self._closed.is_set():
            return
        self._closed.set()
        super().close()

    def _beat(self):
        while not self._closed.wait(HEARTBEAT_S) and not self._withdrawn.is_set():
            self.register()

    def _end_connections(self):
        """Stop listening and reset all connections, the idle ones too, as those of a process that ends."""
        self.stop_listening()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, STOP_RESET)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, handler):
        if handler.path == "/v1/report":
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": self._sequence,
                "waiting": 0,
                "running": self._running,
                "kv_used": 0,
                "kv_total": 580000,
                "handles": 0,
                "born": self.born,
            }
            reply(handler, 200, json.dumps(report).encode(), [("Content-Type", "application/json")])
            return
        if handler.path == "/health":
            reply(handler, 200 if self.state == "ready" else 503, headers=[("Instance-Id", self.name)])
            return
        at = time.monotonic()
        request_id = handler.headers.get("Request-Id")
        expected = handler.headers.get("Expect-Instance")
        if expected is not None and expected != self.name:
            reply(handler, 421, headers=[("Not-Executed", "1"), ("Instance-Id", self.name)])
            return
        if request_id is None:
            reply(handler, 400, headers=[("Not-Executed", "1")])
            return
        with self._lock:
            self._running += 1
            self.ran.append((at, request_id, handler.command, handler.path, handler.body))
        self._record(f"engine {self.name} runs {request_id} {handler.command} {handler.path} body {len(handler.body)}")
        try:
            ends_at = at + int(handler.headers.get("Deadline-Milliseconds", "15000")) / 1000.0
            if "stream" in handler.path:
                self._stream(handler, request_id, ends_at)
            else:
                self._plain(handler, request_id, ends_at)
        except OSError:
            self._record(f"engine {self.name}: the connection of {request_id} closed")
            handler.close_connection = True
        finally:
            with self._lock:
                self._running -= 1

    def _head(self, handler, request_id, content_type):
        handler.send_response(200)
        handler.send_header("Request-Id", request_id)
        handler.send_header("Response-Stamp", f"{self.name}.{request_id}")
        handler.send_header("Content-Type", content_type)
        if self.state != "ready":
            handler.send_header("Server-Leaving", "1")

    def _stream(self, handler, request_id, ends_at):
        with self._lock:
            self._streams += 1
            framed = not self.unframed_every or self._streams % self.unframed_every != 0
        if not framed:
            self._record(f"engine {self.name} answers {request_id} without a length")
        self._head(handler, request_id, "text/event-stream")
        if framed:
            handler.send_header("Transfer-Encoding", "chunked")
        else:
            handler.send_header("Connection", "close")
            handler.close_connection = True
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            time.sleep(self.pause_s)
            if time.monotonic() >= ends_at:
                self._break_off(handler, request_id)
                return
            event = f"id: {number}\ndata: {self.name} {request_id} {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event) if framed else event)
        if framed:
            handler.wfile.write(b"0\r\n\r\n")
        self._record(f"engine {self.name} ended {request_id} after event {self.events}")

    def _plain(self, handler, request_id, ends_at):
        body = json.dumps({"engine": self.name, "request": request_id, "text": "x" * 800}).encode()
        half = len(body) // 2
        self._head(handler, request_id, "application/json")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body[:half])
        done_at = time.monotonic() + self.plain_s
        while time.monotonic() < done_at:
            time.sleep(min(self.pause_s, max(0.0, done_at - time.monotonic())))
            if time.monotonic() >= ends_at:
                self._break_off(handler, request_id)
                return
        handler.wfile.write(body[half:])
        self._record(f"engine {self.name} ended {request_id} whole, {len(body)} bytes")

    def _break_off(self, handler, request_id):
        """Stop at the deadline so that nobody can take the answer for a complete one: reset the connection."""
        self._record(f"engine {self.name} breaks off {request_id} at its deadline")
        handler.close_connection = True
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, STOP_RESET)
        handler.rfile.close()
        handler.connection.close()
