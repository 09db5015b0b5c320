"""Stand-in for an engine of the users' platform, with scripted answers."""

import json
import socket
import struct
import threading
import time

from tests.utils.world_server import Server

SIGNATURE = "signed"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Engine(Server):
    """Answers with a stream of events or a single body; ``script`` sets the behavior for the next requests.

    Attributes
    ----------
    seen : list of dict
        Headers, by lower-case name, of the requests that it ran, with ``path`` and ``body``.
    arrivals : list of float
        Monotonic times at which requests arrived, including those that it did not run.
    rejections : list of (float, str)
        When it answered 503, and through which router, as stated by callers in ``X-Router``.
    limit : str or None
        Rate limit stated in its answers.
    retry_after : str or None
        ``Retry-After`` of the answers by which it rejects requests.
    leaving : bool
        Whether its answers state that it is draining.
    room : int or None
        Requests that it runs at once; it rejects any more.
    brittle : int or None
        Rejections within a second that it survives, as stated in its answers.
    falls : list of float
        When it exceeded that number.
    delay_s : float
        Delay before it answers.
    events : int
    script : list of str
        ``full``, ``cut``, ``torn``, ``fail``, ``coded``, ``crossed`` or ``unsigned``; each request
        consumes one, and when none is left requests are answered without a fault. ``unframed`` answers with neither
        a length nor chunks, and ends with its connection; ``unframed-torn`` ends inside an event, and
        ``unframed-reset`` with a reset after a part of the answer.
    """

    def __init__(self, *, name, service, events=6, pause_s=0.005):
        self.name = name
        self.service = service
        self.events = events
        self.pause_s = pause_s
        self.script = []
        self.seen = []
        self.arrivals = []
        self.rejections = []
        self.limit = None
        self.leaving = False
        self.room = None
        self.brittle = None
        self.falls = []
        self._running = 0
        self._rejected_at = []
        self._lock = threading.Lock()
        self.retry_after = None
        self.delay_s = 0.0
        self.gone = threading.Event()
        super().__init__()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    def serve(self, handler):
        if handler.path == "/v1/report":
            body = json.dumps({"stage": "both", "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 1}).encode()
            self.reply(handler, 200, body)
            return
        self.arrivals.append(time.monotonic())
        expected = handler.headers.get("Expect-Instance")
        if expected and expected != self.name:
            self.reply(handler, 421, headers=[("Instance-Id", self.name)])
            return
        how = self.script.pop(0) if self.script else "well"
        if not self._take_room():
            self.reply(
                handler,
                503,
                headers=[("Not-Executed", "1"), ("Request-Id", handler.headers["Request-Id"]), *self._status_headers()],
            )
            return
        try:
            self._answer(handler, how)
        finally:
            with self._lock:
                self._running -= 1

    def _take_room(self):
        now = time.monotonic()
        with self._lock:
            if self.room is None or self._running < self.room:
                self._running += 1
                return True
            self._rejected_at = [at for at in self._rejected_at if now - at < 1.0] + [now]
            if self.brittle is not None and len(self._rejected_at) > self.brittle:
                self.falls.append(now)
                self._rejected_at = []
            return False

    def _answer(self, handler, how):
        if how == "full":
            answer_headers = [
                ("Not-Executed", "1"),
                ("Request-Id", handler.headers["Request-Id"]),
                *self._status_headers(),
            ]
            self.reply(
                handler,
                503,
                headers=answer_headers
                if self.retry_after is None
                else [*answer_headers, ("Retry-After", self.retry_after)],
            )
            self.rejections.append((time.monotonic(), handler.headers.get("X-Router")))
            return
        time.sleep(self.delay_s)
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.seen.append(headers | {"path": handler.path, "body": handler.body})
        if how == "fail":
            self.reply(handler, 500, b"broken", self._answer_headers(handler))
        elif "stream" in handler.path:
            self._send_stream(handler, how)
        else:
            self._send_complete(handler, how)

    def _answer_headers(self, handler, how="well"):
        request_id = "another" if how == "crossed" else handler.headers["Request-Id"]
        answer_headers = [("Request-Id", request_id), *self._status_headers()]
        if how != "unsigned":
            answer_headers.append(("Response-Stamp", f"{SIGNATURE}-{self.name}"))
        if how == "coded":
            answer_headers.append(("Content-Encoding", "gzip"))
        return answer_headers

    def _status_headers(self):
        """Return the headers about the engine itself, sent in each answer."""
        words = [] if self.limit is None else [("Server-Limit", self.limit)]
        if self.brittle is not None:
            words.append(("Server-Brittle", str(self.brittle)))
        return [*words, ("Server-Leaving", "1")] if self.leaving else words

    def _send_complete(self, handler, how):
        body = f"whole from {self.name}".encode()
        if how.startswith("unframed"):
            self._send_unframed(handler, how, [body[:3], body[3:]])
            return
        handler.send_response(200)
        for name, value in self._answer_headers(handler, how):
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        if how == "cut":
            handler.wfile.write(body[:3])
            handler.close_connection = True
        else:
            handler.wfile.write(body)

    def _send_unframed(self, handler, how, pieces):
        handler.send_response(200)
        for name, value in [*self._answer_headers(handler, how), ("Connection", "close")]:
            handler.send_header(name, value)
        handler.end_headers()
        handler.close_connection = True
        if how != "unframed":
            *pieces, last = pieces[: 1 + len(pieces) // 2]
            pieces.append(last[:7] if how == "unframed-torn" else last)
        for piece in pieces:
            handler.wfile.write(piece)
            time.sleep(self.pause_s)
        if how == "unframed-reset":
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # While its reader is open the socket stays open too, and the server would shut it down in order.
            handler.rfile.close()
            handler.connection.close()

    def _send_stream(self, handler, how):
        if how.startswith("unframed"):
            first = int(handler.headers.get("Last-Event-Id") or 0) + 1
            events = [f"id: {n}\ndata: {self.name}\n\n".encode() for n in range(first, self.events + 1)]
            self._send_unframed(handler, how, events)
            return
        handler.send_response(200)
        for name, value in [*self._answer_headers(handler, how), ("Content-Type", "text/event-stream")]:
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        try:
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {self.name}\n\n".encode()
                if how in ("cut", "torn") and number == first + 2:
                    self._send_chunk(handler, event[:7] if how == "torn" else b"")
                    handler.close_connection = True
                    return
                self._send_chunk(handler, event)
                time.sleep(self.pause_s)
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True
            self.gone.set()

    @staticmethod
    def _send_chunk(handler, data):
        if data:
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            handler.wfile.flush()
