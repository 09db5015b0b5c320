"""The platform's store is briefly unavailable and is restored from a backup that is some seconds old."""

import time
import unittest

from tests.utils.platform_world import KEY, World, configuration, wait_until
from tests.utils.world_engine import Engine
from wagtailtrestle.configuration.epoch_note import NOTE_NAME

NOTE_KIND = "wagtailtrestle-epochs"
OTHER_KEY = "example-key-of-another"
PROPAGATION_S = 1.5
"""Time after which all routers know of a change: a watch of the engines lasts less than a second."""
REVOKED_S = 5.0
REQUESTS = 30


class StoreRestoredTest(unittest.TestCase):
    def start(self, *, routers=3):
        world = World(routers=routers, key_revocation_ms=int(REVOKED_S * 1000))
        world.store.epoch = 1
        # The note of the epoch that the fleet considers settled, as after a long time without a restore.
        world.store.put(NOTE_KIND, NOTE_NAME, {"epoch": 1})
        self.addCleanup(world.close)
        return world.start()

    def request_all(self, world, *, count=REQUESTS, name="r", key=KEY):
        """Send requests through all routers in turn; return the statuses of the answers."""
        return [
            world.request(
                "GET", "/status/1", router=number % len(world.routers), request_id=f"{name}-{number}", key=key
            ).status
            for number in range(count)
        ]

    def runs(self, world, engine, name):
        return [seen for seen in world.engines[engine].seen if seen["request-id"].startswith(f"{name}-")]

    def drain(self, world, engine):
        """Mark an engine as draining in its entry, and wait until all routers know."""
        world.store.put("servers", engine, world.engines[engine].entry("draining"))
        time.sleep(PROPAGATION_S)

    def age(self, world, revisions=60):
        """Write as many revisions to the store as the backup is behind."""
        for number in range(revisions):
            world.store.put("other", "counter", number)

    def test_engine_that_left_gets_no_requests(self):
        # The caller is served by the live engine. An engine drains and leaves, then the store is restored from a
        # backup in which it is still ready. Its entry there is older than what every router knows; if it were
        # applied, half of all requests would go to an engine that is gone.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        self.drain(world, "b-1")
        world.store.delete("servers", "b-1")
        time.sleep(PROPAGATION_S)
        world.store.restore_after_outage(backup)
        time.sleep(PROPAGATION_S)
        self.assertEqual(set(self.request_all(world, name="after")), {200})
        self.assertEqual(len(self.runs(world, "b-1", "after")), 0)

    def test_engine_that_drains_after_the_restore_gets_no_requests(self):
        # The caller is served by the live engine. All changes after the restore have lower revisions than those the
        # routers know. When they were dropped as older, an engine that drained and left afterwards got half of all
        # requests.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        time.sleep(PROPAGATION_S)
        world.store.restore_after_outage(backup)
        self.drain(world, "b-1")
        self.assertEqual(set(self.request_all(world, name="drained")), {200})
        self.assertEqual(len(self.runs(world, "b-1", "drained")), 0)
        world.store.delete("servers", "b-1")
        time.sleep(2 * PROPAGATION_S)
        self.assertEqual(set(self.request_all(world, name="after")), {200})
        self.assertEqual(len(self.runs(world, "b-1", "after")), 0)

    def test_engine_that_starts_after_the_restore_is_used(self):
        # The caller is served. After the restore both engines of a service leave and a new one starts.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        time.sleep(PROPAGATION_S)
        world.store.restore_after_outage(backup)
        new = world.engines["b-3"] = Engine(name="b-3", service="booking")
        world.store.put("servers", "b-3", new.entry())
        world.store.delete("servers", "b-1")
        world.store.delete("servers", "b-2")
        time.sleep(2 * PROPAGATION_S + 0.5)
        self.assertEqual(set(self.request_all(world, name="after")), {200})
        self.assertEqual(len(self.runs(world, "b-3", "after")), REQUESTS)

    def test_draining_engine_gets_no_requests(self):
        # The same while the engine still drains: the backup holds it as ready, and it has not written its entry again.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        self.drain(world, "b-1")
        world.store.restore_after_outage(backup)
        time.sleep(PROPAGATION_S)
        self.request_all(world, name="after")
        self.assertEqual(len(self.runs(world, "b-1", "after")), 0)

    def test_engine_started_since_the_backup_is_used(self):
        # The caller is served. Both engines of a service are replaced by a new one that is not in the backup. It
        # writes its entry again half a second after the restore; until then it is used as it was known before.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        new = world.engines["b-3"] = Engine(name="b-3", service="booking")
        world.store.put("servers", "b-3", new.entry())
        time.sleep(PROPAGATION_S)
        world.store.delete("servers", "b-1")
        world.store.delete("servers", "b-2")
        time.sleep(PROPAGATION_S)
        world.store.restore_after_outage(backup)
        self.assertEqual(set(self.request_all(world, name="gap")), {200})
        time.sleep(0.5)
        world.store.put("servers", "b-3", new.entry())
        time.sleep(PROPAGATION_S)
        self.assertEqual(set(self.request_all(world, name="after")), {200})
        self.assertEqual(len(self.runs(world, "b-3", "after")), REQUESTS)

    def test_change_under_a_reassigned_revision_is_detected(self):
        # The operator's next configuration gets the revision of the one that the routers know. Treated as the same
        # content because of its revision, it was never read.
        world = self.start()
        backup = world.store.backup()
        world.store.put("config", "main", configuration(2))
        time.sleep(PROPAGATION_S)
        world.store.restore_after_outage(backup)
        world.store.put("config", "main", configuration(3, keys=(KEY, OTHER_KEY)))
        time.sleep(PROPAGATION_S)
        self.assertEqual(set(self.request_all(world, count=9, key=OTHER_KEY)), {200})

    def test_revoked_key_stays_revoked_at_a_router_started_in_the_gap(self):
        # A key is revoked, and no router accepts it any more. The store is restored from a backup that holds it, and
        # one router starts before the operator has written again: it must not accept the key from the backup.
        world = self.start()
        world.store.put("config", "main", configuration(2, keys=(KEY, OTHER_KEY)))
        time.sleep(PROPAGATION_S)
        backup = world.store.backup()
        self.age(world)
        world.store.put("config", "main", configuration(3))
        time.sleep(REVOKED_S + 1.0)
        self.assertEqual(set(self.request_all(world, count=9, key=OTHER_KEY)), {401})
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
                pass  # The router does not listen yet.
            time.sleep(0.02)
        self.assertTrue(statuses <= {401, 503}, statuses)
        # The operator writes again, and all routers serve as before.
        world.store.put("config", "main", configuration(3))
        wait_until(lambda: set(self.request_all(world, count=6)) == {200}, "all serve after the operator wrote again")
        self.assertEqual(set(self.request_all(world, count=9, key=OTHER_KEY)), {401})

    def test_routers_all_started_in_the_gap_refuse_requests(self):
        # A key is revoked, then all routers are killed and the store is restored from a backup that holds it. No
        # process knows of the revocation: callers get 503 and are not run, until the operator has written again.
        world = self.start()
        world.store.put("config", "main", configuration(2, keys=(KEY, OTHER_KEY)))
        time.sleep(PROPAGATION_S)
        backup = world.store.backup()
        self.age(world)
        world.store.put("config", "main", configuration(3))
        time.sleep(PROPAGATION_S)
        for router in world.routers:
            router.kill()
        world.store.restore_after_outage(backup)
        for router in world.routers:
            router.start()
        for router in world.routers:
            router.wait_ready()
        self.assertEqual(set(self.request_all(world, count=15, key=OTHER_KEY)), {503})
        world.store.put("config", "main", configuration(3))
        wait_until(lambda: set(self.request_all(world, count=6)) == {200}, "all serve after the operator wrote again")
        self.assertEqual(set(self.request_all(world, count=9, key=OTHER_KEY)), {401})

    def test_routers_all_started_later_serve_immediately(self):
        # All routers are killed and start again, long after the restore: the store's epoch note shows this, so no
        # caller is refused.
        world = self.start()
        world.store.restore_after_outage(world.store.backup())
        wait_until(lambda: world.store.objects(NOTE_KIND)[NOTE_NAME] == {"epoch": 2}, "the epoch note")
        for router in world.routers:
            router.kill()
        for router in world.routers:
            router.start()
        for router in world.routers:
            router.wait_ready()
        time.sleep(0.3)
        self.assertEqual(set(self.request_all(world, count=9)), {200})

    def test_announcements_missing_from_the_backup_are_rewritten_within_a_second(self):
        # A starting router finds the others by their entries. The restore removes the entries of routers that started
        # since the backup; only those routers themselves write them again.
        world = self.start()
        backup = world.store.backup()
        kind = "wagtailtrestle-routers"
        backup.objects = {key: item for key, item in backup.objects.items() if key[0] != kind}
        self.age(world)
        world.store.restore_after_outage(backup)
        time.sleep(1.0)
        self.assertEqual(len(world.store.objects(kind)), 3)

    def test_second_restore(self):
        # Two restores in succession from the same backup: an engine known as draining before the first one must still
        # count as draining after the second.
        world = self.start()
        backup = world.store.backup()
        self.age(world)
        self.drain(world, "b-1")
        world.store.restore_after_outage(backup)
        time.sleep(0.3)
        world.store.restore_after_outage(backup, away_s=0.2)
        time.sleep(PROPAGATION_S)
        self.request_all(world, name="after")
        self.assertEqual(len(self.runs(world, "b-1", "after")), 0)


if __name__ == "__main__":
    unittest.main()
