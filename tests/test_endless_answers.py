"""Answers without end, of engines to the router's own requests and of the store."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest

from wagtailtrestle.contracts.report_messages import LoadUnreachable
from wagtailtrestle.engines.client import MAX_CANCEL_ANSWER_BYTES, EngineClient
from wagtailtrestle.engines.connector import DirectConnector
from wagtailtrestle.engines.reports import MAX_REPORT_BYTES, EnginePoller, NativeReports
from wagtailtrestle.standins.local_ports import HOST
from wagtailtrestle.store.threaded_http import CALL_MARGIN_S, MAX_ANSWER_BYTES, ThreadedHttpClient

JUNK = b"x" * 65_536
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", JUNK),
    "header line": (OK_HEAD + b"A: ", JUNK),
    "header lines": (OK_HEAD, b"A: b\r\n" * 1000),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "garbage": (b"", JUNK),
    "body": (OK_HEAD + b"\r\n", JUNK),
    "body of an error": (b"HTTP/1.1 500 Error\r\n\r\n", JUNK),
    "body with a length": (OK_HEAD + b"Content-Length: 99999999999999\r\n\r\n", JUNK),
    "chunks": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + JUNK + b"\r\n"),
    "a chunk": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", JUNK),
    "a chunk's extension": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", JUNK),
    "trailers": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 1000),
}
SLOW = "trickled body"
TRICKLE_S = 0.05
SOCKET_BUFFERS_BYTES = 16 * 1024 * 1024
"""More than the kernel holds of a connection on the loopback interface by default."""
MARGIN_S = 1.0


class EndlessServer:
    """Answers each request with a beginning and then the same bytes until the connection is closed."""

    def __init__(self, *, beginning, repeated, pause_s=0.0):
        self.sent_bytes = 0
        self._beginning = beginning
        self._repeated = repeated
        self._pause_s = pause_s
        self._listener = socket.create_server((HOST, 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.open_connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.open_connections += 1
                threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(self._beginning)
            while True:
                self.sent_bytes += connection.send(self._repeated)
                time.sleep(self._pause_s)
        self.open_connections -= 1


class EndlessAnswersTest(unittest.TestCase):
    def serve(self, name):
        if name == SLOW:
            server = EndlessServer(beginning=OK_HEAD + b"\r\n", repeated=b"x", pause_s=TRICKLE_S)
        else:
            beginning, repeated = ANSWERS[name]
            server = EndlessServer(beginning=beginning, repeated=repeated)
        self.addCleanup(server.close)
        return server

    def check(self, server, *, took_s, max_s, max_bytes):
        self.assertLess(took_s, max_s + MARGIN_S)
        self.assertLess(server.sent_bytes, max_bytes + SOCKET_BUFFERS_BYTES)
        ends_at = time.monotonic() + MARGIN_S
        while server.open_connections and time.monotonic() < ends_at:
            time.sleep(TRICKLE_S)
        self.assertEqual(server.open_connections, 0)

    # Guards against one engine whose report fills the memory of each router that reads it.
    def test_load_report(self):
        for name in (*ANSWERS, SLOW):
            with self.subTest(answer=name):
                server = self.serve(name)
                reports = []
                poller = EnginePoller(
                    name="a-1",
                    address=server.address,
                    initial_delay_s=0.0,
                    interval_s=60.0,
                    deliver=reports.append,
                    dialect=NativeReports(),
                    connector=DirectConnector(),
                )
                began_at = time.monotonic()
                poller._poll()
                self.check(server, took_s=time.monotonic() - began_at, max_s=0.5, max_bytes=MAX_REPORT_BYTES)
                self.assertEqual([type(report) for report in reports], [LoadUnreachable])

    # Guards against threads that read the answer to a cancel for as long as it comes.
    def test_answer_to_a_cancel(self):
        for name in (*ANSWERS, SLOW):
            with self.subTest(answer=name):
                server = self.serve(name)
                client = EngineClient(connect_timeout_s=1.0)
                began_at = time.monotonic()
                state = client._request_cancel("a-1", server.address, "/cancel/1")
                self.check(server, took_s=time.monotonic() - began_at, max_s=1.0, max_bytes=MAX_CANCEL_ANSWER_BYTES)
                self.assertIsNone(state)

    # Guards against a store's answer without end, which no caller waits for any more but a thread still reads.
    def test_store(self):
        for name in (*ANSWERS, SLOW):
            with self.subTest(answer=name):
                server = self.serve(name)
                host, port = server.address.split(":")
                client = ThreadedHttpClient(host=host, port=int(port), connect_timeout_s=1.0, threads=1, name="store")
                began_at = time.monotonic()
                answer = asyncio.run(client.call(method="GET", path="/v1/objects/config", wait_s=0.5))
                took_s = time.monotonic() - began_at
                self.check(server, took_s=took_s, max_s=0.5 + CALL_MARGIN_S, max_bytes=MAX_ANSWER_BYTES)
                self.assertEqual(answer.status, 0)
                client.close()


if __name__ == "__main__":
    unittest.main()
