"""Routers, engines of two versions, an operator and steady callers, for tests of rollouts."""

import random
import threading
import time
import urllib.request
from collections import Counter

import yaml

from tests.utils.platform_world import World
from tests.utils.world_engine import Engine

SERVICE = "booking"
OLD, NEW = "v1", "v2"
KIND = "rollouts"
ENGINES = 2
SLOTS = 6
WORK_S = 0.04
DRAIN_AFTER_S = 2.0
READ_PATH, BOOK_PATH = "/status/1", "/book/1"
SHARE, SLACK = 0.1, 50


class VersionedEngine(Engine):
    """An engine of one version, with a limited number of slots.

    Parameters
    ----------
    is_bad : callable, optional
        ``is_bad(engine, path)`` returns whether this run fails.
    slow_by : callable, optional
        ``slow_by(engine, path)`` returns the factor on this run's duration.
    """

    def __init__(self, *, name, version, is_bad=None, slow_by=None, work_s=WORK_S):
        self.version = version
        self.is_bad = is_bad or (lambda engine, path: False)
        self.slow_by = slow_by or (lambda engine, path: 1.0)
        self.work_s = work_s
        self.running = 0
        self.began_at = time.monotonic()
        self.arrived_at = []
        self.bad_at = []
        self.rng = random.Random(name)
        self._slots = threading.Semaphore(SLOTS)
        self._lock = threading.Lock()
        super().__init__(name=name, service=SERVICE)

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version, "slots": SLOTS}

    def serve(self, handler):
        with self._lock:
            self.arrived_at.append(time.monotonic())
            self.running += 1
        with self._slots:
            bad = self.is_bad(self, handler.path)
            time.sleep(self.work_s * self.slow_by(self, handler.path))
            if bad:
                self.bad_at.append(time.monotonic())
                self.script = ["fail"]
            super().serve(handler)
        with self._lock:
            self.running -= 1


def fails(share, *, path=None, after_s=0.0, when_full=False):
    """Return an ``is_bad`` that fails a share of runs, optionally on one path, after a time or on full engines only."""

    def is_bad(engine, requested):
        if path is not None and requested != path:
            return False
        if time.monotonic() - engine.began_at < after_s or (when_full and engine.running < SLOTS):
            return False
        return engine.rng.random() < share

    return is_bad


class RolloutWorld(World):
    """Routers with two engines of the old version; the order starts the new ones."""

    def __init__(self, *, routers=3, is_bad=None, slow_by=None, work_s=WORK_S, **settings):
        super().__init__(routers=routers, rollout_share=SHARE, rollout_slack=SLACK, **settings)
        for engine in self.engines.values():
            if engine.service == SERVICE:
                engine.close()
        old, new = {"version": OLD, "work_s": work_s}, {"version": NEW, "work_s": work_s}
        self.old = [VersionedEngine(name=f"b-{number}", **old) for number in range(ENGINES)]
        self.new = [
            VersionedEngine(name=f"n-{number}", is_bad=is_bad, slow_by=slow_by, **new) for number in range(ENGINES)
        ]
        self.engines = {name: engine for name, engine in self.engines.items() if engine.service != SERVICE}
        self.engines |= {engine.name: engine for engine in self.old}
        self.ordered_at = None
        self.ended_at = None
        self._operator = threading.Thread(target=self._operate, daemon=True)
        self._is_closed = False

    def order(self, *, duration_s, target=NEW):
        """Write the order and list the engines of the new version, as the operator's platform does."""
        self.store.put(KIND, SERVICE, {"service": SERVICE, "target": target, "duration_s": duration_s})
        self.ordered_at = time.monotonic()
        for engine in self.new:
            engine.began_at = self.ordered_at
            self.engines[engine.name] = engine
            self.store.put("servers", engine.name, engine.entry())
        self._operator.start()

    def state(self):
        """Return the order's state in the store, or ``None``."""
        status = self.store.status(KIND, SERVICE)
        return status["state"] if status else None

    def coordinates(self, router):
        """Return whether a router coordinates the rollout."""
        with urllib.request.urlopen(f"http://{router.values['admin_address']}/state") as answer:
            return bool(yaml.safe_load(answer.read())["rollouts"]["rollouts"])

    def _operate(self):
        """Act on the final state: stop the old engines without a drain, or drain the new ones some seconds later."""
        while not self._is_closed:
            state = self.state()
            if state == "completed":
                self.ended_at = time.monotonic()
                for engine in self.old:
                    engine.close()
                    self.store.delete("servers", engine.name)
                return
            if state == "rolled_back":
                self.ended_at = time.monotonic()
                time.sleep(DRAIN_AFTER_S)
                for engine in self.new:
                    self.store.put("servers", engine.name, engine.entry("draining"))
                return
            time.sleep(0.02)

    def close(self):
        self._is_closed = True
        self.engines = {name: engine for name, engine in self.engines.items() if engine not in self.old}
        for engine in self.old:
            engine.close()
        super().close()

    def arrivals(self, engines):
        """Return the times at which runs reached these engines since the order."""
        return sorted(at for engine in engines for at in engine.arrived_at if at >= self.ordered_at)


class Callers:
    """Calls both routes at a steady rate, through all routers in turn.

    Attributes
    ----------
    responses : list of tuple
        Time and status of each answer; status 0 for a broken connection.
    """

    def __init__(self, *, world, rate_per_s, routers=None):
        self.responses = []
        self._world = world
        self._rate_per_s = rate_per_s
        self._routers = routers or range(len(world.routers))
        self._stop = threading.Event()
        self._threads = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def stop(self):
        """Stop, wait for the last answers and return their number by status."""
        self._stop.set()
        self._thread.join()
        for thread in self._threads:
            thread.join()
        return Counter(status for _, status in self.responses)

    def _run(self):
        number = 0
        next_at = time.monotonic()
        while not self._stop.is_set():
            thread = threading.Thread(target=self._send_request, args=(number,), daemon=True)
            self._threads.append(thread)
            thread.start()
            number += 1
            next_at += 1.0 / self._rate_per_s
            time.sleep(max(0.0, next_at - time.monotonic()))

    def _send_request(self, number):
        router = self._routers[number % len(self._routers)]
        method, path = ("GET", READ_PATH) if number % 3 else ("POST", BOOK_PATH)
        try:
            answer = self._world.request(method, path, router=router, request_id=f"c-{number}")
            status = answer.status if answer.is_complete else 0
        except OSError:
            status = 0
        self.responses.append((time.monotonic(), status))
