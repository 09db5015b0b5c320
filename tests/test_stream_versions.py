"""Streams of engines of two software versions, interrupted and resumed, with routers and callers in real time."""

import functools
import threading
import time
import unittest

from tests.utils.platform_world import World, wait_until
from tests.utils.stream_callers import DEADLINE_S, Stream, StreamCallers, VersionedStreamEngine
from wagtailtrestle.platform.kinds import STREAM_KIND, VERSION_KIND

ROUTERS = 3
LEAVE_AFTER = (8, 8, 8)
SERIES_S = 6.0
MIN_RESUMED_SHARE = 0.5
"""Share of resumed streams that go on, relative to the share of new streams that begin."""
MAX_REFUSAL_S = 1.0
DOWN_S = 1.4
RECORDED_S = 1.0
"""Time after which the versions of streams are in the store."""
UNAVAILABLE = 503


def engines_of(*versions, **options):
    """Return a function that makes one engine for each version named, ``v1-0``, ``v1-1``, ``v2-2`` and so on."""
    names = [(f"{version}-{number}", version) for number, version in enumerate(versions)]
    return lambda store: {name: VersionedStreamEngine(name=name, version=version, **options) for name, version in names}


class StreamVersionsTest(unittest.TestCase):
    def make_world(self, *versions, routers=ROUTERS, **options):
        world = World(routers=routers, make_engines=engines_of(*versions, **options))
        self.addCleanup(world.close)
        return world.start()

    def check(self, streams, *, min_share=MIN_RESUMED_SHARE):
        """Check that no stream has events of two versions, and that resumed streams go on."""
        attempts = sum(stream.resume_attempts for stream in streams)
        resumed = sum(stream.resumed for stream in streams)
        mixed = sum(stream.is_mixed for stream in streams)
        print(f"{mixed} of {len(streams)} streams of two versions, {resumed} of {attempts} resumed")
        self.assertEqual(mixed, 0)
        self.assertGreaterEqual(resumed, min_share * attempts)
        return attempts

    # Guards against a stream that a caller resumes through another router and that goes on at another version.
    def test_callers_resume_through_another_router(self):
        world = self.make_world("v1", "v1", "v2", "v2")
        streams = StreamCallers(world=world, leave_after=LEAVE_AFTER).run_for(SERIES_S)
        self.assertGreater(self.check(streams), 50)

    # Guards against a stream that its engine breaks off and that goes on at another version within one answer.
    def test_engines_break_streams_off(self):
        world = self.make_world("v1", "v1", "v2", "v2", break_after=8)
        streams = StreamCallers(world=world).run_for(SERIES_S)
        self.check(streams)
        self.assertGreater(sum(stream.is_complete for stream in streams), 0.8 * len(streams))

    # Guards against a version that only the router knew that began the stream, and that is lost with it.
    def test_routers_are_killed_in_series(self):
        world = self.make_world("v1", "v1", "v2", "v2", routers=4)
        callers = StreamCallers(world=world, leave_after=(20,), pause_s=0.05).start()
        for router in (0, 1, 2, 3):
            time.sleep(1.2)
            world.routers[router].kill()
            world.routers[router].start()
            world.routers[router].wait_ready()
        self.assertGreater(self.check(callers.stop()), 50)

    # Guards against streams that began while one version served, and of which nothing was told to other routers.
    def test_version_joins_while_streams_run(self):
        world = self.make_world("v1", "v1")
        callers = StreamCallers(world=world, leave_after=LEAVE_AFTER).start()
        time.sleep(1.0)
        for name in ("v2-2", "v2-3"):
            engine = world.engines[name] = VersionedStreamEngine(name=name, version="v2")
            world.store.put("servers", name, engine.entry())
            time.sleep(1.5)
        time.sleep(1.5)
        streams = callers.stop()
        self.assertGreater(self.check(streams), 50)
        self.assertIn("v2", {version for stream in streams for version in stream.versions})

    # Guards against a stream of the old version that goes on at the new one once no engine of the old one is left,
    # and against callers who wait in vain for it.
    def test_last_engine_of_a_version_leaves(self):
        world = self.make_world("v1", "v2")
        stream = Stream()
        callers = StreamCallers(world=world)
        number = 0
        while "v1" not in stream.versions:
            stream = Stream()
            callers.attempt(stream, 0, f"first-{number}", time.monotonic() + DEADLINE_S, leave_after=5)
            number += 1
        world.store.delete("servers", "v1-0")
        wait_until(
            lambda: all("v1-0" not in world.state(router)["engine_list"]["engines"] for router in range(ROUTERS)),
            "the engine is gone for all routers",
        )
        for router in range(ROUTERS):
            sent_at = time.monotonic()
            callers.attempt(stream, router, f"again-{router}", sent_at + DEADLINE_S)
            self.assertLess(time.monotonic() - sent_at, MAX_REFUSAL_S)
        self.assertEqual(set(stream.versions), {"v1"})
        self.assertEqual(stream.statuses[1:], [UNAVAILABLE] * ROUTERS)

    # Guards against streams of a service with one version that are refused since nobody recorded the version.
    def test_one_version_needs_no_record(self):
        world = self.make_world("v1", "v1")
        callers = StreamCallers(world=world, leave_after=(8,), routers=[0, 1])
        stream = Stream()
        callers.attempt(stream, 0, "first", time.monotonic() + DEADLINE_S, leave_after=5)
        world.routers[0].kill()
        callers.attempt(stream, 1, "again", time.monotonic() + DEADLINE_S)
        self.assertTrue(stream.is_complete, stream.statuses)

    # Guards against a router that has just started and guesses the version of a stream that it did not see begin.
    def test_router_that_just_started_resumes_streams(self):
        world = self.make_world("v1", "v1", "v2", "v2")
        callers = StreamCallers(world=world)
        streams = [Stream() for _ in range(24)]
        for number, stream in enumerate(streams):
            callers.attempt(stream, 0, f"first-{number}", time.monotonic() + DEADLINE_S, leave_after=5)
        self.assertEqual({version for stream in streams for version in stream.versions}, {"v1", "v2"})
        for router in (1, 0):
            world.routers[router].kill()
        world.routers[1].start()
        world.routers[1].wait_ready()
        again = [
            threading.Thread(target=callers.attempt, args=(stream, 1, f"again-{number}", time.monotonic() + DEADLINE_S))
            for number, stream in enumerate(streams)
        ]
        for thread in again:
            thread.start()
        for thread in again:
            thread.join()
        self.check(streams)

    # Guards against streams that nobody can resume since all routers that knew their version lost power together.
    def test_all_routers_lose_power(self):
        world = self.make_world("v1", "v1", "v2", "v2")
        streams = self.begin_streams(world)
        for _ in range(2):
            time.sleep(RECORDED_S)
            lose_power(world)
            self.resume_streams(world, streams, leave_after=3)
        self.check(streams)

    # Guards against the same where the second version joined just before.
    def test_all_routers_lose_power_after_a_version_joined(self):
        world = self.make_world("v1", "v1")
        streams = self.begin_streams(world)
        engine = world.engines["v2-2"] = VersionedStreamEngine(name="v2-2", version="v2")
        world.store.put("servers", "v2-2", engine.entry())
        time.sleep(2 * RECORDED_S)
        lose_power(world)
        self.resume_streams(world, streams)
        self.check(streams)

    # Guards against streams that go on at the version that replaced theirs while no router ran.
    def test_version_is_replaced_while_all_routers_are_down(self):
        world = self.make_world("v1", "v1")
        streams = self.begin_streams(world)

        def replace():
            for name in list(world.engines):
                world.store.delete("servers", name)
            engine = world.engines["v2-2"] = VersionedStreamEngine(name="v2-2", version="v2")
            world.store.put("servers", "v2-2", engine.entry())

        time.sleep(RECORDED_S)
        lose_power(world, meanwhile=replace)
        self.resume_streams(world, streams)
        self.assertEqual([set(stream.versions) for stream in streams], [{"v1"}] * len(streams))
        self.assertEqual({stream.statuses[-1] for stream in streams}, {UNAVAILABLE})

    # Guards against streams of a version that the store could not be told of, and that is gone when all routers are
    # back: they would go on at the version that the store names.
    def test_version_that_could_not_be_noted(self):
        world = self.make_world("v1", "v1")
        time.sleep(RECORDED_S)
        world.store.refused_kinds = frozenset({VERSION_KIND, STREAM_KIND})
        add_engine(world, "v2-2", "v2")
        time.sleep(RECORDED_S)
        streams = self.begin_streams(world)
        lose_power(world, meanwhile=lambda: world.store.delete("servers", "v2-2"))
        self.resume_streams(world, streams)
        self.check(streams, min_share=0.0)
        # It serves once the store has been told.
        world.store.refused_kinds = frozenset()
        add_engine(world, "v2-3", "v2")
        time.sleep(2 * RECORDED_S)
        versions = {version for stream in self.begin_streams(world) for version in stream.versions}
        self.assertEqual(versions, {"v1", "v2"})

    # Guards against streams joined from two versions where all routers are lost beside each change of versions.
    def test_versions_are_replaced_in_series_and_all_routers_lost(self):
        world = self.make_world("v1", "v1", "v1")
        callers = StreamCallers(world=world, callers=24, leave_after=(8, 8, 8), pause_s=0.1).start()
        former = ["v1-0", "v1-1", "v1-2"]
        for version in ("v2", "v3", "v4"):
            time.sleep(1.0)
            names = [f"{version}-{number}" for number in range(3)]
            for number, name in enumerate(names):
                add_engine(world, name, version)
                time.sleep(0.2)
                if number or version == "v3":
                    world.store.delete("servers", former[number])
            lose_power(world, meanwhile=functools.partial(remove_engines, world, former[:2]))
            former = names
        time.sleep(1.0)
        self.assertGreater(self.check(callers.stop(), min_share=0.0), 50)

    def begin_streams(self, world):
        callers = StreamCallers(world=world)
        streams = [Stream() for _ in range(24)]
        for number, stream in enumerate(streams):
            until = time.monotonic() + DEADLINE_S
            callers.attempt(stream, number % ROUTERS, f"first-{number}", until, leave_after=5)
        return streams

    def resume_streams(self, world, streams, *, leave_after=None):
        """Resume all streams at once, each at another router than before."""
        callers = StreamCallers(world=world)
        until = time.monotonic() + DEADLINE_S
        threads = [
            threading.Thread(
                target=callers.attempt,
                args=(stream, (number + 1) % ROUTERS, f"again-{number}-{len(stream.statuses)}", until),
                kwargs={"leave_after": leave_after},
            )
            for number, stream in enumerate(streams)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def add_engine(world, name, version):
    engine = world.engines[name] = VersionedStreamEngine(name=name, version=version)
    world.store.put("servers", name, engine.entry())


def remove_engines(world, names):
    for name in names:
        world.store.delete("servers", name)


def lose_power(world, *, meanwhile=lambda: None):
    for router in world.routers:
        router.kill()
    meanwhile()
    time.sleep(DOWN_S)
    for router in world.routers:
        router.start()
    for router in world.routers:
        router.wait_ready()


if __name__ == "__main__":
    unittest.main()
