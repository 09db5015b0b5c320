"""The worker threads of the callers' server: created on demand, and enough of them."""

import threading
import unittest

from cheroot.server import HTTPServer

from wagtailtrestle.callers.wsgi import INITIAL_THREADS, CallerThreads

MAX_THREADS = 40
TIMEOUT_S = 10.0


class HeldConnection:
    """A connection whose request is being handled until ``release`` is set."""

    def __init__(self, *, started, release):
        self._started = started
        self._release = release

    def communicate(self):
        """Simulate reading and answering one request."""
        self._started.release()
        self._release.wait(TIMEOUT_S)
        return False

    def close(self):
        """Do nothing: there is no socket."""


class CallerThreadsTest(unittest.TestCase):
    def setUp(self):
        server = HTTPServer(("127.0.0.1", 0), gateway=None)
        self.threads = server.requests = CallerThreads(server, min=INITIAL_THREADS, max=MAX_THREADS)
        self.threads.start()
        self.started = threading.Semaphore(0)
        self.release = threading.Event()
        self.addCleanup(self.threads.stop, TIMEOUT_S)
        self.addCleanup(self.release.set)

    def put(self, count):
        for _ in range(count):
            self.threads.put(HeldConnection(started=self.started, release=self.release))

    def count_started(self, count, timeout_s):
        return sum(self.started.acquire(timeout=timeout_s) for _ in range(count))

    def test_idle_server_has_few_threads(self):
        self.assertEqual(len(self.threads._threads), INITIAL_THREADS)

    def test_all_requests_up_to_the_limit_are_handled_concurrently(self):
        # As many long requests as the server may have threads arrive at the same moment. A request
        # left in the queue would have to wait until another one has ended.
        self.put(MAX_THREADS)
        self.assertEqual(self.count_started(MAX_THREADS, TIMEOUT_S), MAX_THREADS)

    def test_there_are_never_more_than_the_limit(self):
        self.put(MAX_THREADS + 10)
        self.assertEqual(self.count_started(MAX_THREADS, TIMEOUT_S), MAX_THREADS)
        self.assertEqual(self.count_started(1, 0.2), 0)
        self.assertEqual(len(self.threads._threads), MAX_THREADS)
        self.release.set()
        self.assertEqual(self.count_started(10, TIMEOUT_S), 10)


if __name__ == "__main__":
    unittest.main()
