"""Streams of several versions while routers are killed, paused and stopped, and versions come and go, by seeds."""

import os
import random
import signal
import threading
import time
import unittest

from tests.utils.platform_world import World
from tests.utils.stream_callers import StreamCallers, VersionedStreamEngine

SEEDS = [int(seed) for seed in os.environ.get("VERSION_SEEDS", "3").split()]
"""For other seeds, ``VERSION_SEEDS="1 2 3" python -m unittest tests.test_version_series``."""
ROUTERS = int(os.environ.get("VERSION_ROUTERS", "5"))
SERIES_S = 12.0
EVENTS = 8
VERSIONS = ("v1", "v2", "v3")
LEAVE_AFTER = (6, 7, 8)
MIN_STREAMS = 50


class Series:
    """Random events on routers and engines, which overlap."""

    def __init__(self, *, world, seed):
        self.world = world
        self.random = random.Random(seed)
        self._power = random.Random(f"power {seed}")
        self.history = []
        self._locks = [threading.Lock() for _ in world.routers]
        self._engines = len(world.engines)

    def run(self):
        """Bring about the events in their turn, and wait until all have ended."""
        times = sorted(self.random.uniform(0.5, SERIES_S - 3.0) for _ in range(EVENTS))
        began_at = time.monotonic()
        threads = [threading.Thread(target=self._lose_power_in_turn, args=(began_at,), daemon=True)]
        threads[0].start()
        for at in times:
            time.sleep(max(0.0, began_at + at - time.monotonic()))
            what = self.random.choice((self.kill, self.kill, self.pause, self.stop, self.add_engine, self.crash_engine))
            choice = self.random.randrange(1_000_000)
            for_s = round(self.random.uniform(0.2, 2.5), 2)
            self.history.append((round(at, 2), what.__name__, choice % ROUTERS, for_s))
            threads.append(threading.Thread(target=what, args=(choice, for_s), daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join()
        time.sleep(max(0.0, began_at + SERIES_S - time.monotonic()))

    def _lose_power_in_turn(self, began_at):
        """Cut the power of all routers, or of all but one, twice, the second time soon after the first."""
        at = self._power.uniform(2.0, SERIES_S - 7.0)
        for _ in range(2):
            time.sleep(max(0.0, began_at + at - time.monotonic()))
            spared = self._power.choice((None, self._power.randrange(ROUTERS)))
            for_s = round(self._power.uniform(0.2, 1.4), 2)
            self.history.append((round(at, 2), "lose_power", spared, for_s))
            self.lose_power(spared, for_s)
            at = time.monotonic() - began_at + self._power.uniform(0.5, 3.0)

    def lose_power(self, spared, for_s):
        routers = [number for number in range(ROUTERS) if number != spared]
        for number in routers:
            self._locks[number].acquire()
        for number in routers:
            self.world.routers[number].kill()
        time.sleep(for_s)
        for number in routers:
            self.world.routers[number].start()
            self._locks[number].release()

    def kill(self, choice, for_s):
        with self._locks[choice % ROUTERS]:
            router = self.world.routers[choice % ROUTERS]
            router.kill()
            time.sleep(for_s)
            router.start()

    def pause(self, choice, for_s):
        with self._locks[choice % ROUTERS]:
            router = self.world.routers[choice % ROUTERS]
            router.signal(signal.SIGSTOP)
            time.sleep(for_s)
            router.signal(signal.SIGCONT)

    def stop(self, choice, for_s):
        with self._locks[choice % ROUTERS]:
            router = self.world.routers[choice % ROUTERS]
            router.terminate()
            router.wait_stopped(8.0)
            router.start()

    def add_engine(self, choice, for_s):
        """Start an engine of some version; another one drains meanwhile."""
        version = VERSIONS[choice % len(VERSIONS)]
        self._engines += 1
        name = f"{version}-{self._engines}"
        leaving = self._any_engine(choice)
        self.world.store.put("servers", leaving.name, leaving.entry("draining"))
        engine = self.world.engines[name] = VersionedStreamEngine(name=name, version=version)
        self.world.store.put("servers", name, engine.entry())
        time.sleep(for_s)
        self.world.store.delete("servers", leaving.name)

    def crash_engine(self, choice, for_s):
        """End an engine; one of another version takes its address, or one nearby, later."""
        engine = self._any_engine(choice)
        engine.stop_listening()
        self.world.store.delete("servers", engine.name)
        time.sleep(for_s)
        self._engines += 1
        engine.version = VERSIONS[choice % len(VERSIONS)]
        engine.name = f"{engine.version}-{self._engines}"
        engine.resume_listening()
        self.world.store.put("servers", engine.name, engine.entry())

    def _any_engine(self, choice):
        engines = list(self.world.engines.values())
        return engines[choice % len(engines)]


class VersionSeriesTest(unittest.TestCase):
    # Guards against streams of two versions after the routers that knew their version died, froze, restarted or lost
    # power together.
    def test_no_stream_has_events_of_two_versions(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_series(seed)

    def run_series(self, seed):
        names = [(f"{version}-{number}", version) for number, version in enumerate(VERSIONS * 2)]
        world = World(
            routers=ROUTERS,
            make_engines=lambda store: {
                name: VersionedStreamEngine(name=name, version=version) for name, version in names
            },
        )
        try:
            world.start()
            callers = StreamCallers(world=world, leave_after=LEAVE_AFTER, pause_s=0.02).start()
            series = Series(world=world, seed=seed)
            series.run()
            streams = callers.stop()
        finally:
            world.close()
        mixed = [stream.versions for stream in streams if stream.is_mixed]
        resumed, attempts = (
            sum(getattr(stream, name) for stream in streams) for name in ("resumed", "resume_attempts")
        )
        complete = sum(stream.is_complete for stream in streams)
        print(
            f"seed {seed}: {len(mixed)} of {len(streams)} mixed, {complete} complete, {resumed} of {attempts} resumed: "
            f"{series.history}"
        )
        self.assertEqual(mixed, [])
        self.assertGreater(len(streams), MIN_STREAMS)


if __name__ == "__main__":
    unittest.main()
