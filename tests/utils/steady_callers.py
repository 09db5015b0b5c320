"""Callers that send at a steady rate, whether or not earlier requests are answered."""

import itertools
import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

THREADS = 48


class NoAnswer:
    """Placeholder for the answer to a request whose connection failed."""

    status = None

    def __init__(self, error):
        self.error = error


class SteadyCallers:
    """Sends requests at a steady rate to a world's routers in turn.

    Parameters
    ----------
    world : World
    paths : list of (str, str)
        Method and path, sent in turn.
    per_s : float
    routers : sequence of int, optional
        Routers to send to; all by default.

    Attributes
    ----------
    answers : list of Answer or NoAnswer
    answers_by_router : dict of int to list of Answer or NoAnswer
    answers_by_sending_time : list of (float, Answer or NoAnswer)
    """

    def __init__(self, *, world, paths, per_s, routers=None):
        self.answers = []
        self.answers_by_router = defaultdict(list)
        self.answers_by_sending_time = []
        self._world = world
        self._paths = paths
        self._per_s = per_s
        self._routers = tuple(range(len(world.routers))) if routers is None else tuple(routers)
        self._ending = threading.Event()
        self._pool = ThreadPoolExecutor(max_workers=THREADS)
        self._thread = threading.Thread(target=self._send_steadily, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def close(self):
        """Stop sending and wait for the outstanding requests."""
        self._ending.set()
        self._thread.join()
        self._pool.shutdown()

    def statuses(self):
        return [answer.status for answer in self.answers]

    def not_served(self):
        """Answers other than 200 as (status, Retry-After, body), and connection errors as text."""
        return [
            repr(answer.error) if answer.status is None else (answer.status, answer.headers["Retry-After"], answer.body)
            for answer in self.answers
            if answer.status != 200
        ]

    def _send_steadily(self):
        due_at = time.monotonic()
        for number in itertools.count():
            if self._ending.wait(max(0.0, due_at - time.monotonic())):
                return
            self._pool.submit(self._send, number)
            due_at += 1.0 / self._per_s

    def _send(self, number):
        method, path = self._paths[number % len(self._paths)]
        router = self._routers[number % len(self._routers)]
        sent_at = time.monotonic()
        headers = {"X_Router": str(router), "X_Sent_At": repr(sent_at)}
        try:
            answer = self._world.request(method, path, router=router, request_id=f"steady-{number}", **headers)
        except OSError as error:
            answer = NoAnswer(error)
        self.answers.append(answer)
        self.answers_by_router[router].append(answer)
        self.answers_by_sending_time.append((sent_at, answer))


def max_within(times, window_s):
    """Return the largest number of these times that fall within one span of ``window_s``."""
    times = sorted(times)
    return max((sum(first <= at <= first + window_s for at in times[n:]) for n, first in enumerate(times)), default=0)
