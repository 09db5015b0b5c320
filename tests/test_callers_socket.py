"""Reading from and writing to a caller's socket."""

import contextlib
import socket
import unittest

from wagtailtrestle.callers.wsgi import SocketReader, SocketWriter


class SlowSocket:
    """Accepts at most four bytes of each write."""

    def __init__(self):
        self.sent = []

    def send(self, data):
        self.sent.append(bytes(data[:4]))
        return len(self.sent[-1])


class SocketWriterTest(unittest.TestCase):
    def test_a_socket_that_accepts_little_is_sent_everything(self):
        # A caller that reads slowly must not miss the rest of a write that the kernel accepted in part.
        sock = SlowSocket()
        writer = SocketWriter(sock=sock)
        writer.head = b"head "
        writer.write(b"first part")
        writer.write(b"second")
        self.assertEqual(b"".join(sock.sent), b"head first partsecond")

    def test_a_head_without_body_is_sent(self):
        # A response without a body must not leave its caller waiting for the head.
        sock = SlowSocket()
        writer = SocketWriter(sock=sock)
        writer.write(b"")
        self.assertEqual(sock.sent, [])
        writer.head = b"head"
        writer.write(b"")
        self.assertEqual(sock.sent, [b"head"])

    def test_nothing_is_sent_after_a_write_that_failed(self):
        # Otherwise the last chunk would follow a stream whose events were lost, which then looks complete.
        ours, callers = socket.socketpair()
        with ours, callers:
            ours.settimeout(0.05)
            writer = SocketWriter(sock=ours)
            with self.assertRaises(TimeoutError):
                while True:
                    writer.write(bytes(65536))
            callers.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while callers.recv(65536):
                    pass
            with self.assertRaises(OSError):
                writer.write(b"0\r\n\r\n")
            with self.assertRaises(BlockingIOError):
                callers.recv(65536)


class SocketReaderTest(unittest.TestCase):
    def test_only_received_bytes_count_as_data(self):
        # If asking for buffered data waited for the caller, the thread would stay with an idle connection; if
        # buffered data were not seen, a pipelined request would never be answered.
        ours, callers = socket.socketpair()
        with ours, callers:
            ours.settimeout(5)
            reader = SocketReader(sock=ours)
            self.assertFalse(reader.has_data())
            callers.sendall(b"GET / HTTP/1.1\r\n\r\nGET /second")
            self.assertEqual(reader.readline(256), b"GET / HTTP/1.1\r\n")
            self.assertEqual(reader.readline(256), b"\r\n")
            self.assertTrue(reader.has_data())
            self.assertEqual(reader.read(11), b"GET /second")
            self.assertFalse(reader.has_data())
