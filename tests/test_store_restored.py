"""The platform's store goes away for a moment and comes back from a copy that is some seconds old."""

import time
import unittest

from tests.utils.platform_world import KEY, World, configuration, wait_until
from tests.utils.world_engine import Engine
from wagtailtrestle.configuration.epoch_note import NOTE_NAME

NOTE_KIND = "wagtailtrestle-epochs"
OTHER_KEY = "example-key-of-another"
SEEN_S = 1.5
"""By then all routers have heard of a change: engines are watched for less than a second."""
REVOKED_S = 5.0
ASKS = 30


class StoreRestoredTest(unittest.TestCase):
    def start(self, *, routers=3):
        world = World(routers=routers, key_revocation_ms=int(REVOKED_S * 1000))
        world.store.epoch = 1
        # The fleet has known this epoch for long.
        world.store.put(NOTE_KIND, NOTE_NAME, {"epoch": 1})
        self.addCleanup(world.close)
        return world.start()

    def ask_all(self, world, *, count=ASKS, name="r", key=KEY):
        """Ask in turn through all routers; the answers' statuses."""
        return [
            world.request(
                "GET", "/status/1", router=number % len(world.routers), request_id=f"{name}-{number}", key=key
            ).status
            for number in range(count)
        ]

    def ran(self, world, engine, name):
        return [seen for seen in world.engines[engine].seen if seen["request-id"].startswith(f"{name}-")]

    def drain(self, world, engine):
        """An engine says that it drains, and all routers hear it."""
        world.store.put("servers", engine, world.engines[engine].entry("draining"))
        time.sleep(SEEN_S)

    def age(self, world, revisions=60):
        """Let the store write as many revisions as a copy is behind."""
        for number in range(revisions):
            world.store.put("other", "counter", number)

    def test_engine_that_left_gets_nothing(self):
        # The caller is served by the engine that lives. An engine drains and leaves, then the store comes back from a
        # copy in which it is still ready. Its entry there is older than what every router knows; believed, half of
        # all requests would go to an engine that is gone.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        self.drain(world, "b-1")
        world.store.delete("servers", "b-1")
        time.sleep(SEEN_S)
        world.store.restore_after_outage(backup)
        time.sleep(SEEN_S)
        self.assertEqual(set(self.ask_all(world, name="after")), {200})
        self.assertEqual(len(self.ran(world, "b-1", "after")), 0)

    def test_engine_that_leaves_after_the_return_gets_nothing(self):
        # The caller is served by the engine that lives. All that is told after the return bears lower revisions than
        # what routers know. Dropped as older, an engine that drained and left then got half of all requests.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        time.sleep(SEEN_S)
        world.store.restore_after_outage(backup)
        self.drain(world, "b-1")
        self.assertEqual(set(self.ask_all(world, name="drained")), {200})
        self.assertEqual(len(self.ran(world, "b-1", "drained")), 0)
        world.store.delete("servers", "b-1")
        time.sleep(2 * SEEN_S)
        self.assertEqual(set(self.ask_all(world, name="after")), {200})
        self.assertEqual(len(self.ran(world, "b-1", "after")), 0)

    def test_engine_that_starts_after_the_return_is_used(self):
        # The caller is served. After the return both engines of a service leave and a new one comes.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        time.sleep(SEEN_S)
        world.store.restore_after_outage(backup)
        new = world.engines["b-3"] = Engine(name="b-3", service="booking")
        world.store.put("servers", "b-3", new.entry())
        world.store.delete("servers", "b-1")
        world.store.delete("servers", "b-2")
        time.sleep(2 * SEEN_S + 0.5)
        self.assertEqual(set(self.ask_all(world, name="after")), {200})
        self.assertEqual(len(self.ran(world, "b-3", "after")), ASKS)

    def test_engine_that_drains_gets_nothing(self):
        # The same while the engine still drains: the copy holds it as ready, and its own word has not come again yet.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        self.drain(world, "b-1")
        world.store.restore_after_outage(backup)
        time.sleep(SEEN_S)
        self.ask_all(world, name="after")
        self.assertEqual(len(self.ran(world, "b-1", "after")), 0)

    def test_engine_that_started_since_the_copy_is_used(self):
        # The caller is served. Both engines of a service are replaced by a new one, which the copy doesn't list. It
        # writes its entry again half a second after the store's return; until then it is used by what was known.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        new = world.engines["b-3"] = Engine(name="b-3", service="booking")
        world.store.put("servers", "b-3", new.entry())
        time.sleep(SEEN_S)
        world.store.delete("servers", "b-1")
        world.store.delete("servers", "b-2")
        time.sleep(SEEN_S)
        world.store.restore_after_outage(backup)
        self.assertEqual(set(self.ask_all(world, name="gap")), {200})
        time.sleep(0.5)
        world.store.put("servers", "b-3", new.entry())
        time.sleep(SEEN_S)
        self.assertEqual(set(self.ask_all(world, name="after")), {200})
        self.assertEqual(len(self.ran(world, "b-3", "after")), ASKS)

    def test_change_under_a_revision_that_was_given_out_before_is_seen(self):
        # The operator's next configuration gets the revision of the one that the routers know. Taken for the same
        # content by its revision, it was never read.
        world = self.start()
        backup = world.store.backup()
        world.store.put("config", "main", configuration(2))
        time.sleep(SEEN_S)
        world.store.restore_after_outage(backup)
        world.store.put("config", "main", configuration(3, keys=(KEY, OTHER_KEY)))
        time.sleep(SEEN_S)
        self.assertEqual(set(self.ask_all(world, count=9, key=OTHER_KEY)), {200})

    def test_key_that_was_taken_away_stays_so_at_a_router_that_starts_in_the_gap(self):
        # A key is taken away, and serves nowhere any more. The store comes back from a copy that holds it, and one
        # router starts before the operator has written again: it must not serve by what the copy says.
        world = self.start()
        world.store.put("config", "main", configuration(2, keys=(KEY, OTHER_KEY)))
        time.sleep(SEEN_S)
        backup = world.store.backup()
        self.age(world)
        world.store.put("config", "main", configuration(3))
        time.sleep(REVOKED_S + 1.0)
        self.assertEqual(set(self.ask_all(world, count=9, key=OTHER_KEY)), {401})
        world.routers[2].kill()
        world.store.restore_after_outage(backup)
        world.routers[2].start()
        until = time.monotonic() + 3.0
        statuses = set()
        while time.monotonic() < until:
            try:
                answer = world.request("GET", "/status/1", router=2, request_id=f"k{time.monotonic()}", key=OTHER_KEY)
                statuses.add(answer.status)
            except OSError:
                pass  # It does not listen yet.
            time.sleep(0.02)
        self.assertTrue(statuses <= {401, 503}, statuses)
        # The operator writes again, and all serve as before.
        world.store.put("config", "main", configuration(3))
        wait_until(lambda: set(self.ask_all(world, count=6)) == {200}, "all serve after the operator wrote again")
        self.assertEqual(set(self.ask_all(world, count=9, key=OTHER_KEY)), {401})

    def test_all_that_start_in_the_gap_refuse_rather_than_guess(self):
        # A key is taken away, then all routers are killed and the store comes back from a copy that holds it. Nobody
        # is left who knows better: callers are told 503, not run, until the operator has written again.
        world = self.start()
        world.store.put("config", "main", configuration(2, keys=(KEY, OTHER_KEY)))
        time.sleep(SEEN_S)
        backup = world.store.backup()
        self.age(world)
        world.store.put("config", "main", configuration(3))
        time.sleep(SEEN_S)
        for router in world.routers:
            router.kill()
        world.store.restore_after_outage(backup)
        for router in world.routers:
            router.start()
        for router in world.routers:
            router.wait_ready()
        self.assertEqual(set(self.ask_all(world, count=15, key=OTHER_KEY)), {503})
        world.store.put("config", "main", configuration(3))
        wait_until(lambda: set(self.ask_all(world, count=6)) == {200}, "all serve after the operator wrote again")
        self.assertEqual(set(self.ask_all(world, count=9, key=OTHER_KEY)), {401})

    def test_all_that_start_later_serve_at_once(self):
        # All routers are killed and start again, long after the store came back: its note tells them so, and no
        # caller is refused for it.
        world = self.start()
        world.store.restore_after_outage(world.store.backup())
        wait_until(lambda: world.store.objects(NOTE_KIND)[NOTE_NAME] == {"epoch": 2}, "the epoch is noted")
        for router in world.routers:
            router.kill()
        for router in world.routers:
            router.start()
        for router in world.routers:
            router.wait_ready()
        time.sleep(0.3)
        self.assertEqual(set(self.ask_all(world, count=9)), {200})

    def test_announcements_that_the_copy_lacks_are_back_within_a_second(self):
        # A router that starts finds the others by their entries. Those of routers that started since the copy are
        # gone with it; nobody writes them again but the routers themselves.
        world = self.start()
        backup = world.store.backup()
        kind = "wagtailtrestle-routers"
        backup.objects = {key: item for key, item in backup.objects.items() if key[0] != kind}
        self.age(world)
        world.store.restore_after_outage(backup)
        time.sleep(1.0)
        self.assertEqual(len(world.store.objects(kind)), 3)

    def test_second_drill(self):
        # Two drills in a row, the second from a copy that the first one left: nothing of the first counts as news.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        self.drain(world, "b-1")
        world.store.restore_after_outage(backup)
        time.sleep(0.3)
        world.store.restore_after_outage(backup, away_s=0.2)
        time.sleep(SEEN_S)
        self.ask_all(world, name="after")
        self.assertEqual(len(self.ran(world, "b-1", "after")), 0)


if __name__ == "__main__":
    unittest.main()
