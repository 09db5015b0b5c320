"""Detection of disconnected callers while file descriptors are reused."""

import os
import socket
import threading
import time
import unittest

from wagtailtrestle.callers.connection_watcher import POLL_INTERVAL_S, ConnectionWatcher

DETECTION_S = 3 * POLL_INTERVAL_S


class EpollWithHook:
    """An epoll that calls a hook after it has found the first event and before it returns it."""

    def __init__(self, *, epoll, hook):
        self._epoll = epoll
        self._hook = hook
        self._has_run = False

    def __getattr__(self, name):
        return getattr(self._epoll, name)

    def poll(self, *arguments):
        events = self._epoll.poll(*arguments)
        if events and not self._has_run:
            self._has_run = True
            self._hook()
        return events


class SlowEpoll:
    """An epoll whose ``register`` does not return before an event is set."""

    def __init__(self, *, epoll, proceed):
        self._epoll = epoll
        self._proceed = proceed
        self.is_registering = threading.Event()

    def __getattr__(self, name):
        return getattr(self._epoll, name)

    def register(self, *arguments):
        self.is_registering.set()
        self._proceed.wait()
        self._epoll.register(*arguments)


class ConnectionWatcherTest(unittest.TestCase):
    def setUp(self):
        self.watch = ConnectionWatcher(timeout_s=10.0, max_receiving=100)
        self.disconnected = []
        self.events = {name: threading.Event() for name in ("former", "next")}

    def start(self):
        self.watch.start()
        self.addCleanup(self.watch.close)

    def on_disconnect(self, name):
        self.disconnected.append(name)
        self.events[name].set()

    def pair(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        return ours, theirs

    def test_disconnect_is_detected(self):
        ours, theirs = self.pair()
        self.addCleanup(ours.close)
        self.start()
        self.watch.watch(fd=ours.fileno(), on_disconnect=lambda: self.on_disconnect("former"))
        theirs.close()
        self.assertTrue(self.events["former"].wait(DETECTION_S))

    def test_caller_on_a_reused_descriptor_is_not_reported_as_disconnected(self):
        # The request of a connected caller ended after 3 ms without a run. The previous caller on that descriptor had
        # disconnected just as its answer was sent: while this thread processed the kernel's event, the request was
        # unwatched, its connection closed, and the next one accepted with the same descriptor and watched.
        ours, theirs = self.pair()
        fd = ours.fileno()
        next_ours, next_theirs = self.pair()

        def reuse_fd():
            self.watch.unwatch(fd=fd)
            os.dup2(next_ours.fileno(), fd)
            self.watch.watch(fd=fd, on_disconnect=lambda: self.on_disconnect("next"))

        self.watch.watch(fd=fd, on_disconnect=lambda: self.on_disconnect("former"))
        self.watch._epoll = EpollWithHook(epoll=self.watch._epoll, hook=reuse_fd)
        self.start()
        theirs.close()
        time.sleep(DETECTION_S)
        self.assertEqual(self.disconnected, [])
        next_theirs.close()
        self.assertTrue(self.events["next"].wait(DETECTION_S))
        self.watch.unwatch(fd=fd)
        ours.close()
        next_ours.close()

    # Guards against threads that queue behind a system call of another thread's request.
    def test_requests_do_not_wait_for_a_registration_of_another(self):
        ours, theirs = self.pair()
        self.addCleanup(ours.close)
        proceed = threading.Event()
        self.addCleanup(proceed.set)
        slow = self.watch._epoll = SlowEpoll(epoll=self.watch._epoll, proceed=proceed)
        registration = threading.Thread(
            target=self.watch.watch, kwargs={"fd": ours.fileno(), "on_disconnect": lambda: None}, daemon=True
        )
        registration.start()
        self.assertTrue(slow.is_registering.wait(DETECTION_S))
        ended = threading.Event()

        def receive_another():
            connection = object()
            self.watch.expect(connection=connection)
            self.watch.received(connection=connection)
            self.watch.unwatch(fd=theirs.fileno())
            ended.set()

        threading.Thread(target=receive_another, daemon=True).start()
        self.assertTrue(ended.wait(DETECTION_S))
        proceed.set()
        registration.join()


if __name__ == "__main__":
    unittest.main()
