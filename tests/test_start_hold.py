"""Requests to routers that all restart at the same time while callers continue to send.

About 70 requests per second reach nine routers. All routers stop for half a second or more, and each
refused requests for another half a second before it was ready. A caller retries once, and its retry
reached another starting router. The default hold time is about twice that half second. A caller is held for
at most a third of its timeout, the same share that it allows for the delay stated in ``Retry-After``.
"""

import socket
import threading
import time
import unittest

from wagtailtrestle.callers.listening import listen
from wagtailtrestle.callers.start_hold import MAX_CALLER_TIMEOUT_SHARE, StartHold
from wagtailtrestle.contracts.outcomes import Reason

HOLD_S = 5.0
WAIT_S = 1.0
FD = 7


class Watch:
    """A fake ``ConnectionWatcher``; the test calls ``on_disconnect``."""

    def __init__(self):
        self.on_disconnect_by_fd = {}

    def watch(self, *, fd, on_disconnect):
        self.on_disconnect_by_fd[fd] = on_disconnect

    def unwatch(self, *, fd):
        self.on_disconnect_by_fd.pop(fd, None)


class StartingRouter:
    """The part of a starting router that ``StartHold`` uses."""

    def __init__(self, *, max_hold_s=HOLD_S, max_held=8):
        self.not_ready = Reason.NOT_READY
        self.watch = Watch()
        self.hold = StartHold(reason=lambda: self.not_ready, watch=self.watch, max_hold_s=max_hold_s, max_held=max_held)
        self.reason_by_fd = {}

    def send_request(self, *, fd=FD, caller_timeout_s=30.0):
        def run():
            self.reason_by_fd[fd] = self.hold.reason(fd=fd, caller_timeout_s=caller_timeout_s)

        thread = threading.Thread(target=run)
        thread.start()
        return thread

    def is_held(self, fd=FD):
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            if fd in self.watch.on_disconnect_by_fd:
                return True
            time.sleep(0.001)
        return False


class StartHoldTest(unittest.TestCase):
    def test_early_request_is_served_once_the_router_is_ready(self):
        # All routers were killed; this one runs but knows no engines yet. If the caller were refused,
        # its only retry would reach another starting router.
        router = StartingRouter()
        thread = router.send_request()
        self.assertTrue(router.is_held())
        router.not_ready = None
        router.hold.open()
        thread.join(WAIT_S)
        self.assertEqual(router.reason_by_fd, {FD: None})

    def test_disconnect_ends_the_hold_immediately(self):
        # Otherwise its thread would keep waiting, and its request be sent to an engine after the disconnect.
        router = StartingRouter()
        thread = router.send_request()
        self.assertTrue(router.is_held())
        router.watch.on_disconnect_by_fd[FD]()
        thread.join(WAIT_S)
        self.assertEqual(router.reason_by_fd, {FD: Reason.CALLER_GONE})

    def test_caller_with_a_short_timeout_is_refused_in_time_for_a_retry(self):
        router = StartingRouter()
        began_at = time.monotonic()
        router.send_request(caller_timeout_s=0.3).join(WAIT_S)
        self.assertEqual(router.reason_by_fd, {FD: Reason.NOT_READY})
        self.assertGreaterEqual(time.monotonic() - began_at, MAX_CALLER_TIMEOUT_SHARE * 0.3)

    def test_requests_beyond_the_limit_are_refused_immediately(self):
        # A flood of requests to a router that never receives its configuration must not occupy every thread.
        router = StartingRouter(max_held=1)
        first = router.send_request()
        self.assertTrue(router.is_held())
        router.send_request(fd=FD + 1).join(WAIT_S)
        self.assertEqual(router.reason_by_fd, {FD + 1: Reason.NOT_READY})
        router.not_ready = Reason.DRAINING
        router.hold.open()
        first.join(WAIT_S)
        self.assertEqual(router.reason_by_fd[FD], Reason.DRAINING)

    def test_other_reasons_are_returned_immediately(self):
        router = StartingRouter()
        router.not_ready = Reason.DRAINING
        router.send_request().join(WAIT_S)
        self.assertEqual(router.reason_by_fd, {FD: Reason.DRAINING})

    def test_no_hold_if_disabled(self):
        router = StartingRouter(max_hold_s=0.0)
        router.send_request().join(WAIT_S)
        self.assertEqual(router.reason_by_fd, {FD: Reason.NOT_READY})


class ListenerTest(unittest.TestCase):
    def test_connection_made_before_the_server_exists_is_queued(self):
        # The process has started but is still importing its modules. Without a listener the kernel
        # resets the caller's connection; with one, the data it sent is available once the server reads.
        with listen(("127.0.0.1", 0)) as listener:
            with socket.create_connection(listener.getsockname(), timeout=WAIT_S) as caller:
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
                taken, _ = listener.accept()
                with taken:
                    self.assertEqual(taken.recv(3), b"GET")

    def test_address_in_use_is_an_error(self):
        with listen(("127.0.0.1", 0)) as listener, self.assertRaises(OSError):
            listen(listener.getsockname())


if __name__ == "__main__":
    unittest.main()
