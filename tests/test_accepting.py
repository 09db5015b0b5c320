"""How long connections have waited to be accepted, and when those that wait are closed."""

import contextlib
import socket
import unittest

from wagtailtrestle.callers.accepting import MAX_ACCEPT_WAIT_S, AcceptQueue, CallerConnections


class ListeningServer:
    """The part of the callers' server that accepting needs."""

    def __init__(self, *, may_close):
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.may_close = may_close
        self.closed_unread = 0
        self.stats = {"Enabled": False}

    def may_close_unread(self):
        return self.may_close

    def on_closed_unread(self, count):
        self.closed_unread += count


class AcceptQueueTest(unittest.TestCase):
    def test_time_since_the_queue_was_empty(self):
        queue = AcceptQueue()
        self.assertEqual(queue.observe(is_empty=False, now=5.0), 0.0)
        self.assertEqual(queue.observe(is_empty=False, now=5.5), 0.5)
        self.assertEqual(queue.observe(is_empty=True, now=6.0), 0.0)
        self.assertEqual(queue.observe(is_empty=False, now=7.0), 0.0)


class CloseWaitingTest(unittest.TestCase):
    def play(self, *, may_close, may_close_later=None, passes=(MAX_ACCEPT_WAIT_S / 4,) * 4):
        """Return how many of three waiting connections are closed after passes that took so many seconds."""
        server = ListeningServer(may_close=may_close)
        self.addCleanup(server.socket.close)
        connections = CallerConnections(server)
        self.addCleanup(connections.close)
        connections._from_server_socket = lambda listener: None
        with contextlib.ExitStack() as callers:
            for _ in range(3):
                callers.enter_context(socket.create_connection(server.socket.getsockname()))
            now = 1.0
            connections._accept(is_waiting=True, now=now)
            for pass_s in passes:
                now += pass_s
                connections._accept(is_waiting=True, now=now)
            self.assertEqual(server.closed_unread, 0)
            server.may_close = may_close if may_close_later is None else may_close_later
            connections._accept(is_waiting=True, now=now + 0.1)
        return server.closed_unread

    # Guards against connections that wait to be accepted until their callers have given up.
    def test_connections_that_waited_too_long_are_closed(self):
        self.assertEqual(self.play(may_close=True), 3)

    # Guards against callers of a single router that are closed without anywhere else to go.
    def test_without_another_router_none_is_closed(self):
        self.assertEqual(self.play(may_close=False), 0)

    # Guards against a starting router that closes what had to wait for its start as soon as it is ready.
    def test_the_wait_before_closing_was_possible_does_not_count(self):
        self.assertEqual(self.play(may_close=False, may_close_later=True), 0)

    # Guards against connections that are closed because the process, not the queue, stood still.
    def test_a_pause_of_the_process_is_no_wait(self):
        self.assertEqual(self.play(may_close=True, passes=(1.0,)), 0)


if __name__ == "__main__":
    unittest.main()
