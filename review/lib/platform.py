"""Stand-in for the users' store: objects by kind and name, with revisions and watches."""

import json
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
HISTORY_S = 20.0
ERA = "1"


class Listener(ThreadingHTTPServer):
    """Listens without a look-up of its own name, which could wait for a name server."""

    daemon_threads = True
    request_queue_size = 128

    def server_bind(self):
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        """Ignore a peer that closed its connection."""


class HttpServer:
    """A threaded HTTP/1.1 server; ``serve(handler)`` answers one request."""

    def __init__(self, host=HOST):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                outer.connections.add(self.connection)

            def finish(self):
                outer.connections.discard(self.connection)
                super().finish()

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                outer.serve(self)

            do_GET = do_POST = do_PUT = do_DELETE = answer

            def log_message(self, *args):
                return None

        self.connections = set()
        self._handler_class = Handler
        self._host = host
        self._server = None
        self.listen(0)

    def listen(self, port):
        """Accept connections on a port, 0 for any."""
        self._server = Listener((self._host, port), self._handler_class)
        self.address = f"{self._host}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()

    def stop_listening(self):
        """Refuse new connections."""
        self._server.shutdown()
        self._server.server_close()

    def close(self):
        self.stop_listening()

    def serve(self, handler):
        raise NotImplementedError


def reply(handler, status, body=b"", headers=()):
    """Send a complete answer with its length."""
    handler.send_response(status)
    for name, value in headers:
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class Store(HttpServer):
    """The store. Specifications are kept as JSON text and handed out as they were written."""

    def __init__(self):
        self._items = {}
        self._log = []
        self._revision = 10
        self._changed = threading.Condition()
        super().__init__()

    def put(self, kind, name, value):
        """Write an object as an operator or an engine does; return the time of the acknowledgement."""
        return self.put_text(kind, name, json.dumps(value))

    def put_text(self, kind, name, text):
        """Write an object whose specification is this JSON text."""
        with self._changed:
            self._write(kind, name, text)
        return time.monotonic()

    def delete(self, kind, name):
        """Remove an object."""
        with self._changed:
            self._write(kind, name, None)
        return time.monotonic()

    def _write(self, kind, name, text):
        before = self._items.get((kind, name))
        if text is not None and before is not None and before["text"] == text:
            return before
        self._revision += 1
        item = {"name": name, "revision": self._revision, "text": text if text is not None else before["text"]}
        if text is None:
            del self._items[kind, name]
        else:
            self._items[kind, name] = item
        now = time.monotonic()
        self._log.append((now, self._revision, kind, item, text is None))
        while self._log and now - self._log[0][0] > HISTORY_S:
            self._log.pop(0)
        self._changed.notify_all()
        return item

    def serve(self, handler):
        parts = urlsplit(handler.path)
        _, _, _, kind, *rest = parts.path.split("/")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        with self._changed:
            call = getattr(self, "_" + handler.command.lower())
            status, text = call(unquote(kind), unquote(rest[0]) if rest else None, query, handler.body)
        reply(handler, status, text.encode(), [("Content-Type", "application/json"), ("Store-Era", ERA)])

    def _get(self, kind, name, query, body):
        if name is not None:
            item = self._items.get((kind, name))
            return (200, _object(item)) if item else (404, '{"error": "absent"}')
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query.get("wait_ms", 0)) / 1000.0)
        items = ",".join(_object(item) for (of, _), item in sorted(self._items.items()) if of == kind)
        return 200, f'{{"items": [{items}], "has_more": false, "store_revision": {self._revision}}}'

    def _watch(self, kind, revision, wait_s):
        until = time.monotonic() + wait_s
        while True:
            if revision > self._revision or (self._log and revision < self._log[0][1] - 1):
                return 410, '{"error": "gone"}'
            events = [entry for entry in self._log if entry[2] == kind and entry[1] > revision]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                texts = ",".join(
                    f'{{"object": {_object(item)}, "deleted": {json.dumps(gone)}}}' for _, _, _, item, gone in events
                )
                return 200, f'{{"events": [{texts}], "store_revision": {self._revision}}}'
            self._changed.wait(left_s)

    def _post(self, kind, name, query, body):
        document = json.loads(body)
        name = document["metadata"]["name"]
        if (kind, name) in self._items:
            return 409, _object(self._items[kind, name])
        return 200, _object(self._write(kind, name, json.dumps(document["specification"])))

    def _put(self, kind, name, query, body):
        document = json.loads(body)
        item = self._items.get((kind, name))
        if item is None:
            return 404, '{"error": "absent"}'
        if document["metadata"].get("revision", item["revision"]) != item["revision"]:
            return 409, _object(item)
        return 200, _object(self._write(kind, name, json.dumps(document["specification"])))

    def _delete(self, kind, name, query, body):
        item = self._items.get((kind, name))
        if item is None:
            return 404, '{"error": "absent"}'
        if int(query.get("revision", item["revision"])) != item["revision"]:
            return 409, _object(item)
        text = _object(item)
        self._write(kind, name, None)
        return 200, text


def _object(item):
    metadata = {"name": item["name"], "revision": item["revision"], "created": 1, "finalizers": [], "deleting": False}
    return f'{{"metadata": {json.dumps(metadata)}, "specification": {item["text"]}, "status": null}}'
