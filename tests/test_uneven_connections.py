"""Most new connections go to one router for some seconds, while clients open new ones more often."""

import os
import threading
import time
import unittest

from tests.utils.platform_world import World
from tests.utils.steady_callers import NoAnswer
from tests.utils.world_engine import Engine

ROUTERS = 6
ENGINES = 8
BUSY = 0
EVEN_S, UNEVEN_S, CONTACT_S = 4.0, 9.0, 3.0
MIN_SHARE = 0.75
"""Share of requests served at the first attempt, relative to the seconds before."""
CALLER_THREADS = int(os.environ.get("UNEVEN_THREADS", "1024"))
"""Number of threads that the deployed settings give a router."""
REFUSED_FOR_CAPACITY = 429


class LargeEngine(Engine):
    """An engine with many slots."""

    SLOTS = 64

    def entry(self, state="ready"):
        return super().entry(state) | {"slots": self.SLOTS}


def make_engines(store, *, events, pause_s):
    names = [(f"a-{number}", "assistant") for number in range(ENGINES)] + [("b-1", "booking"), ("b-2", "booking")]
    return {name: LargeEngine(name=name, service=service, events=events, pause_s=pause_s) for name, service in names}


class UnevenConnectionsTest(unittest.TestCase):
    def play(self, *, per_s, paths, events=6, pause_s=0.02, during=None):
        world = World(
            routers=ROUTERS,
            make_engines=lambda store: make_engines(store, events=events, pause_s=pause_s),
            caller_threads=CALLER_THREADS,
        )
        self.addCleanup(world.close)
        world.start()
        answers, senders = [], []
        began_at = time.monotonic()
        uneven_at = began_at + EVEN_S
        timers = [] if during is None else [threading.Timer(EVEN_S + CONTACT_S, during, (world,))]
        for timer in timers:
            timer.start()
        number = 0
        while (now := time.monotonic()) < uneven_at + UNEVEN_S:
            router = number % ROUTERS if now < uneven_at or number % 10 == 0 else BUSY
            sender = threading.Thread(target=self.send, args=(world, answers, router, number, paths), daemon=True)
            sender.start()
            senders.append(sender)
            number += 1
            time.sleep(max(0.0, began_at + number / per_s - time.monotonic()))
        for sender in [*senders, *timers]:
            sender.join()
        self.check(answers, uneven_at)

    def send(self, world, answers, router, number, paths):
        method, path = paths[number % len(paths)]
        sent_at = time.monotonic()
        try:
            answer = world.request(method, path, router=router, request_id=f"u-{number}")
        except OSError as error:
            answer = NoAnswer(error)
        answers.append((sent_at, router, answer))

    def check(self, answers, uneven_at):
        """Check that requests at the busy router and elsewhere are served at the first attempt as before."""
        before = self.share(answers, lambda at, router: at < uneven_at)
        busy = self.share(answers, lambda at, router: at >= uneven_at + CONTACT_S and router == BUSY)
        others = self.share(answers, lambda at, router: at >= uneven_at + CONTACT_S and router != BUSY)
        print(f"served {before:.3f} before, {busy:.3f} at the busy router, {others:.3f} at the others")
        self.assertGreaterEqual(busy, MIN_SHARE * before)
        self.assertGreaterEqual(others, MIN_SHARE * before)

    @staticmethod
    def share(answers, condition):
        counted = [
            answer.status == 200 and answer.is_complete
            for at, router, answer in answers
            if condition(at, router) and answer.status != REFUSED_FOR_CAPACITY
        ]
        return sum(counted) / len(counted)

    # Guards against a router whose threads are all taken while the others hold few requests.
    def test_long_streams(self):
        self.play(per_s=150.0, paths=(("POST", "/stream-once/1"),), events=12, pause_s=0.25)

    # Guards against a router with its share of a cell's slots, of a quota or of retries only.
    def test_short_streams_and_calls(self):
        self.play(per_s=150.0, paths=(("POST", "/stream-once/1"), ("GET", "/status/1"), ("POST", "/book/1")))

    # Guards against plain calls that wait for a scheduler that died, at the router that has most of them.
    def test_scheduler_of_the_calls_dies_meanwhile(self):
        def kill(world):
            scheduler = world.scheduler_of("booking")
            if scheduler != BUSY:
                world.routers[scheduler].kill()

        self.play(per_s=100.0, paths=(("GET", "/status/1"), ("POST", "/book/1")), during=kill)


if __name__ == "__main__":
    unittest.main()
