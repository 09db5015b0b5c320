"""Writing of responses to a caller's socket."""

import unittest

from wagtailtrestle.callers.wsgi import SocketWriter


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
