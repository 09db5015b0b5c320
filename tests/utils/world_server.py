"""Base class of the HTTP servers in a simulated platform."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from wagtailtrestle.standins.local_ports import HOST


class Server:
    """A threaded HTTP server; ``serve(handler)`` answers one request."""

    def __init__(self):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                outer.serve(self)

            do_GET = do_POST = do_PUT = do_DELETE = answer

            def log_message(self, *args):
                return None

        self._handler_class = Handler
        self._listen(port=0)

    def close(self):
        self.stop_listening()

    def stop_listening(self):
        """Refuse new connections."""
        self.server.shutdown()
        self.server.server_close()

    def resume_listening(self):
        """Accept connections again, at the same address unless its port has been taken."""
        try:
            self._listen(port=self.server.server_port)
        except OSError:
            self._listen(port=0)

    def _listen(self, *, port):
        self.server = ThreadingHTTPServer((HOST, port), self._handler_class)
        # A stopping router closes its watches; errors while answering them are irrelevant.
        self.server.handle_error = lambda request, client_address: None
        self.server.daemon_threads = True
        self.address = f"{HOST}:{self.server.server_port}"
        self._thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True)
        self._thread.start()

    def serve(self, handler):
        raise NotImplementedError

    @staticmethod
    def reply(handler, status, body=b"", headers=()):
        handler.send_response(status)
        for name, value in headers:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)
