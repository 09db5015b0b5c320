"""Most connections go to one router and then to another, while routers are killed, restarted and paused."""

import contextlib
import os
import random
import signal
import socket
import threading
import time
import unittest
from pathlib import Path

from tests.test_uneven_connections import (
    ANSWER_MARGIN_S,
    CALLER_THREADS,
    CONTACT_S,
    DEADLINE_S,
    EVEN_S,
    MIN_SHARE,
    REFUSED_FOR_CAPACITY,
    ROUTERS,
    Attempt,
    make_engines,
)
from tests.utils.platform_world import World
from tests.utils.throttled_process import ThrottledProcess

SEEDS = [int(seed) for seed in os.environ.get("UNEVEN_SEEDS", "1").split()]
"""For other seeds, ``UNEVEN_SEEDS="1 2 3" python -m unittest tests.test_uneven_series``."""
BUSY_ROUTERS = (0, 1)
TURN_S = 6.0
EVENTS = 4
RECOVERY_S = 3.0
MAX_MEMORY_MB = 200
"""Memory of the smallest VMs that routers run on."""
HALF_REQUEST = b"POST /stream-once/1 HTTP/1.1\r\nHost: service.example\r\nContent-Le"
PATHS = (("POST", "/stream-once/1"), ("POST", "/stream/1"), ("GET", "/status/1"), ("POST", "/book/1"))


class Series:
    """Events on routers, one after the other, with the times at which each of them was disturbed.

    Parameters
    ----------
    world : World
    seed : int
    """

    def __init__(self, *, world, seed):
        self.world = world
        self.random = random.Random(seed)
        self.killed = set()
        self.history = []

    def run(self, began_at):
        times = sorted(self.random.uniform(EVEN_S, EVEN_S + 2 * TURN_S - 1.0) for _ in range(EVENTS))
        for at in times:
            time.sleep(max(0.0, began_at + at - time.monotonic()))
            if self.random.random() < 0.5:
                self.pause(self.random.randrange(ROUTERS))
            else:
                self.restart(self.random.randrange(len(BUSY_ROUTERS), ROUTERS))

    def pause(self, router):
        began_at = time.monotonic()
        pid = self.world.routers[router].pid
        os.kill(pid, signal.SIGSTOP)
        time.sleep(self.random.uniform(0.2, 1.5))
        os.kill(pid, signal.SIGCONT)
        self.history.append((router, "pause", began_at, time.monotonic()))

    def restart(self, router):
        began_at = time.monotonic()
        self.killed.add(router)
        self.world.routers[router].kill()
        time.sleep(self.random.uniform(0.0, 1.0))
        self.world.routers[router].start()
        self.world.routers[router].wait_ready()
        self.history.append((router, "restart", began_at, time.monotonic()))

    def is_disturbed(self, router, sent_at):
        """Whether a request sent at this time may meet an event at this router."""
        return any(
            name == router and began_at - DEADLINE_S < sent_at < ended_at + RECOVERY_S
            for name, _, began_at, ended_at in self.history
        )


class UnevenSeriesTest(unittest.TestCase):
    def play(self, seed):
        chosen = random.Random(seed)
        events, per_s = chosen.choice((4, 12, 30)), chosen.uniform(80.0, 160.0)
        self.shares = [chosen.choice((0.35, 0.5, 1.0)) for _ in BUSY_ROUTERS]
        world = World(
            routers=ROUTERS,
            make_engines=lambda store: make_engines(store, events=events, pause_s=0.02),
            caller_threads=CALLER_THREADS,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(world.close)
            world.start()
            series = Series(world=world, seed=seed)
            throttles = [
                ThrottledProcess(pid=world.routers[router].pid, share=share)
                for router, share in zip(BUSY_ROUTERS, self.shares, strict=True)
                if share < 1.0
            ]
            with contextlib.ExitStack() as throttled:
                for throttle in throttles:
                    throttled.enter_context(throttle)
                sent = self.send_all(world, series, per_s)
            self.longest_stop_s = max((throttle.longest_stop_s for throttle in throttles), default=0.0)
            memory_mb = max(_resident_mb(router.pid) for router in world.routers)
            run = {seen["request-id"] for engine in world.engines.values() for seen in engine.seen}
        self.check(seed, sent, series, run, memory_mb)

    def send_all(self, world, series, per_s):
        sent, senders = [], []
        self.began_at = began_at = time.monotonic()
        events = threading.Thread(target=series.run, args=(began_at,), daemon=True)
        events.start()
        number = 0
        while (at_s := time.monotonic() - began_at) < EVEN_S + 2 * TURN_S:
            busy = BUSY_ROUTERS[int(at_s >= EVEN_S + TURN_S)]
            router = number % ROUTERS if at_s < EVEN_S or number % 10 == 0 else busy
            sender = threading.Thread(target=self.send, args=(world, sent, router, number), daemon=True)
            sender.start()
            senders.append(sender)
            if number % 50 == 0:
                senders.append(threading.Thread(target=self.send_half, args=(world, busy), daemon=True))
                senders[-1].start()
            number += 1
            time.sleep(max(0.0, began_at + number / per_s - time.monotonic()))
        for thread in [*senders, events]:
            thread.join()
        return sent

    @staticmethod
    def send(world, sent, router, number):
        method, path = PATHS[number % len(PATHS)]
        routers = [router, next(other for other in (number % ROUTERS, (number + 1) % ROUTERS) if other != router)]
        attempts = []
        for count, target in enumerate(routers):
            sent_at = time.monotonic()
            request_id = f"u-{number}-{count}"
            attempt = Attempt(world=world, method=method, path=path, router=target, request_id=request_id)
            attempts.append((sent_at, target, attempt))
            if not attempt.is_closed:
                break
        sent.append(attempts)

    @staticmethod
    def send_half(world, router):
        host, port = world.routers[router].values["callers_address"].split(":")
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=1.0) as connection:
            connection.sendall(HALF_REQUEST)
            time.sleep(DEADLINE_S)

    def check(self, seed, sent, series, run, memory_mb):
        attempts = [attempt for each in sent for attempt in each]
        sound = [each for each in sent if not any(series.is_disturbed(router, at) for at, router, _ in each)]
        before = self.share(sound, lambda at_s: at_s < EVEN_S)
        after = self.share(
            sound, lambda at_s: EVEN_S + CONTACT_S <= at_s < EVEN_S + TURN_S or at_s >= EVEN_S + TURN_S + CONTACT_S
        )
        closed = [(router, attempt) for _, router, attempt in attempts if attempt.is_closed]
        longest_s, longest_at, longest_router, longest_status = max(
            (attempt.took_s, round(at - self.began_at, 2), router, attempt.answer.status)
            for at, router, attempt in attempts
            if not series.is_disturbed(router, at + attempt.took_s)
        )
        print(
            f"seed {seed}: shares {self.shares}, served {before:.3f} before, {after:.3f} after; "
            f"{len(closed)} of {len(attempts)} attempts closed; longest {longest_s:.2f} s ({longest_status}, sent to "
            f"{longest_router} at {longest_at}); stopped for up to {self.longest_stop_s:.2f} s; {memory_mb:.0f} MB; "
            f"{[(router, kind, round(at - self.began_at, 1)) for router, kind, at, _ in series.history]}"
        )
        self.assertGreaterEqual(after, MIN_SHARE * before)
        self.assertLess(longest_s, DEADLINE_S + ANSWER_MARGIN_S)
        self.assertLess(memory_mb, MAX_MEMORY_MB)
        run_though_closed = [
            attempt.request_id
            for router, attempt in closed
            if router not in series.killed and attempt.request_id in run
        ]
        self.assertEqual(run_though_closed, [])

    def share(self, sent, condition):
        answers = [each[-1][-1].answer for each in sent if condition(each[0][0] - self.began_at)]
        counted = [
            answer.status == 200 and answer.is_complete for answer in answers if answer.status != REFUSED_FOR_CAPACITY
        ]
        return sum(counted) / len(counted)

    # Guards against an overloaded router that serves nobody in time, or runs what it has closed.
    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)


def _resident_mb(pid):
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024**2


if __name__ == "__main__":
    unittest.main()
