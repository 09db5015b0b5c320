"""The epoch of the platform's store: versions, proofs, and the correction of engine entries after a restore."""

import asyncio
import json
import random
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration import sources
from wagtailtrestle.configuration.engine_list import MIN_RELIST_INTERVAL_S, RETRY_S, EngineList
from wagtailtrestle.configuration.epoch_store import EpochStore
from wagtailtrestle.configuration.pre_restore_engines import PRE_RESTORE_VALIDITY_S, PreRestoreEngines
from wagtailtrestle.configuration.proof import MAX_CARRIED_AGE_S, Proof
from wagtailtrestle.configuration.sources import PlatformSource
from wagtailtrestle.configuration.store_epoch import RESTORE_SETTLE_S, StoreEpoch, epoch_of, make_version, revision_of
from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.contracts.outcomes import StoreConflict, StoreDone, StoreHistoryGone, StoreUnavailable, StoreUnknown
from wagtailtrestle.platform.declarations import PlatformDeclarations
from wagtailtrestle.platform.store import PlatformStore

GRACE_S = 2.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name, *, leaving=False, start_ms=0):
    return DeclaredEngine(
        name=name,
        service="booking",
        cell="booking",
        zone="a",
        hardware="h",
        address="10.0.0.1:80",
        slots=4,
        step_ms=1.0,
        prefill_tokens_per_s=1000.0,
        leaving=leaving,
        start_ms=start_ms,
    )


class VersionTest(unittest.TestCase):
    def test_version_of_a_later_epoch_is_greater_whatever_its_revision(self):
        self.assertGreater(make_version(2, 3), make_version(1, 900))
        self.assertEqual((epoch_of(make_version(7, 12)), revision_of(make_version(7, 12))), (7, 12))
        self.assertEqual(make_version(0, 12), 12)


class StoreEpochTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.epoch = StoreEpoch(clock=self.clock)
        self.restores = []
        self.epoch.on_restore(lambda: self.restores.append(self.epoch.number))

    def test_store_without_epochs_is_settled(self):
        self.assertTrue(self.epoch.is_settled)

    def test_first_epoch_is_no_restore_and_not_settled(self):
        self.assertTrue(self.epoch.observe(4))
        self.assertEqual(self.restores, [])
        self.assertFalse(self.epoch.is_settled)
        self.clock.now += RESTORE_SETTLE_S
        self.assertTrue(self.epoch.is_settled)

    def test_peer_that_knows_the_epoch_longer_settles_it(self):
        self.epoch.observe(4)
        self.epoch.observe_peer(4, 30.0)
        self.assertTrue(self.epoch.is_settled)

    def test_routers_that_know_different_epochs_agree_on_the_higher(self):
        self.epoch.observe(4)
        self.epoch.observe_peer(5, 0.5)
        self.epoch.observe_peer(4, 30.0)
        self.assertEqual((self.epoch.number, self.restores), (5, [5]))
        self.assertFalse(self.epoch.is_settled)

    def test_answer_of_a_former_epoch_is_detected(self):
        self.epoch.observe(5)
        self.assertFalse(self.epoch.observe(4))
        self.assertEqual(self.epoch.number, 5)


class PreRestoreEnginesTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.pre_restore = PreRestoreEngines(clock=self.clock)

    def corrected(self, *listed):
        return self.pre_restore.corrected({engine.name: engine for engine in listed})

    def test_list_is_unchanged_before_a_restore(self):
        self.pre_restore.record_departed(["i-1"])
        self.assertEqual(set(self.corrected(engine("i-1"))), {"i-1"})

    def test_engine_that_had_left_stays_gone(self):
        self.pre_restore.record_departed(["i-1"])
        self.pre_restore.begin({"i-2": engine("i-2")})
        self.assertEqual(set(self.corrected(engine("i-1"), engine("i-2"))), {"i-2"})

    def test_draining_engine_stays_draining(self):
        self.pre_restore.begin({"i-1": engine("i-1", leaving=True)})
        self.assertTrue(self.corrected(engine("i-1"))["i-1"].leaving)

    def test_engine_that_began_to_drain_during_the_outage_is_draining(self):
        self.pre_restore.begin({"i-1": engine("i-1")})
        self.assertTrue(self.corrected(engine("i-1", leaving=True))["i-1"].leaving)

    def test_engine_restarted_since_the_backup_keeps_its_later_start(self):
        self.pre_restore.begin({"i-1": engine("i-1", start_ms=2000)})
        self.assertEqual(self.corrected(engine("i-1", start_ms=1000))["i-1"].start_ms, 2000)

    def test_entry_written_since_the_restore_counts(self):
        self.pre_restore.record_departed(["i-1"])
        self.pre_restore.begin({})
        self.pre_restore.record_written(["i-1"])
        self.assertEqual(set(self.corrected(engine("i-1"))), {"i-1"})

    def test_list_is_unchanged_after_the_validity_period(self):
        self.pre_restore.begin({"i-1": engine("i-1", leaving=True)})
        self.clock.now += PRE_RESTORE_VALIDITY_S
        self.assertFalse(self.corrected(engine("i-1"))["i-1"].leaving)

    def test_second_restore_keeps_what_was_known_before_the_first(self):
        self.pre_restore.begin({"i-1": engine("i-1", leaving=True)})
        self.pre_restore.begin({})
        self.assertTrue(self.corrected(engine("i-1"))["i-1"].leaving)


class RestoredStore:
    """Answers lists and watches of one kind with versions that the test sets.

    Attributes
    ----------
    listed : StoreDone
    is_history_gone : bool
        The next watch finds its history gone.
    """

    def __init__(self, listed):
        self.listed = listed
        self.is_history_gone = False
        self.lists = 0

    async def list(self, *, kind):
        self.lists += 1
        return self.listed

    async def watch(self, *, kind, from_version, timeout_s):
        for _ in range(int(timeout_s / 0.01)):
            if self.is_history_gone:
                self.is_history_gone = False
                return StoreHistoryGone()
            await asyncio.sleep(0.01)
        return StoreDone(version=from_version, value=())


def done(epoch, revision, **revision_by_name):
    value = {name: (make_version(epoch, at), {"name": name}) for name, at in revision_by_name.items()}
    return StoreDone(version=make_version(epoch, revision), value=value)


class FollowedListCase(unittest.TestCase):
    async def follow(self, store):
        self.list = EngineList(
            store=store,
            kind="engines",
            read_entry=lambda name, value: engine(name),
            on_change=lambda by_name: None,
            clock=asyncio.get_running_loop().time,
            return_grace_s=GRACE_S,
        )
        self.list.start()
        await asyncio.sleep(0.1)


class RestoredListTest(FollowedListCase):
    @on_paused_clock
    async def test_engine_missing_from_the_backup_is_used_for_the_grace_period(self):
        # Callers are served by an engine that started since the backup. It is missing from the first list after the
        # restore, and is removed unless it writes its entry within two seconds.
        store = RestoredStore(done(1, 90, old=10, new=80))
        await self.follow(store)
        store.listed, store.is_history_gone = done(2, 40, old=10), True
        await asyncio.sleep(GRACE_S / 2)
        self.assertEqual(set(self.list.by_name), {"old", "new"})
        await asyncio.sleep(GRACE_S)
        self.assertEqual(set(self.list.by_name), {"old"})
        await self.list.close()

    @on_paused_clock
    async def test_lists_of_the_new_epoch_are_accepted_despite_lower_revisions(self):
        store = RestoredStore(done(1, 90, old=10))
        await self.follow(store)
        await asyncio.sleep(MIN_RELIST_INTERVAL_S)
        store.listed, store.is_history_gone = done(2, 40, old=10, fresh=40), True
        await asyncio.sleep(0.1)
        self.assertEqual(set(self.list.by_name), {"old", "fresh"})
        await self.list.close()


class NoHistoryStore(RestoredStore):
    """Keeps no history: each watch immediately finds it gone."""

    async def watch(self, *, kind, from_version, timeout_s):
        await asyncio.sleep(0.004)
        return StoreHistoryGone()

    async def list(self, *, kind):
        await asyncio.sleep(0.004)
        return await super().list(kind=kind)


class NoHistoryStoreTest(FollowedListCase):
    @on_paused_clock
    async def test_store_without_history_is_not_queried_without_a_pause(self):
        # Every call to the store costs money. The history is gone again right after a full read: with an immediate
        # read each time, one router would query the store a hundred times a second while that lasts.
        store = NoHistoryStore(done(1, 90, old=10))
        await self.follow(store)
        before = store.lists
        await asyncio.sleep(1.0)
        self.assertLessEqual(store.lists - before, 1.0 / (0.5 * RETRY_S))
        self.assertEqual(set(self.list.by_name), {"old"})
        await self.list.close()


class ProofTest(unittest.TestCase):
    """Proof of keys by reads of the configuration."""

    def source(self, store, epoch):
        source = PlatformSource(
            store=store,
            offer=lambda *offered: None,
            poll_interval_s=1.0,
            watch_timeout_s=1.0,
            jitter=random.Random(1),
            location=PlatformDeclarations(),
        )
        source.proof = Proof(is_settled=lambda generation: True, epoch=epoch, clock=self.clock)
        return source

    def setUp(self):
        self.clock = Clock()
        self.addCleanup(setattr, sources, "boot_time_s", sources.boot_time_s)
        sources.boot_time_s = self.clock
        self.epoch = StoreEpoch(clock=self.clock)
        self.store = ReadStore()

    def read(self, source, *, epoch, revision, generation=1):
        self.epoch.observe(epoch)
        self.store.outcome = StoreDone(version=make_version(epoch, revision), value={"version": generation})
        asyncio.run(source._read(sources.Source.POLL))

    def test_router_started_after_a_restore_gets_no_proof_from_the_backup(self):
        # The backup holds a key that was revoked since. Until the operator could have written again, a read may
        # return outdated contents, and the router refuses requests with the key.
        source = self.source(self.store, self.epoch)
        self.read(source, epoch=2, revision=5)
        self.assertIsNone(source.confirmed_at)
        self.clock.now += RESTORE_SETTLE_S
        self.assertIsNone(source.confirmed_at)
        self.read(source, epoch=2, revision=5)
        self.assertEqual(source.confirmed_at, self.clock.now)

    def test_configuration_written_after_the_restore_is_no_proof_while_others_may_be_missing(self):
        # Guards against a key that runs again: the backup lacks two configurations, the operator writes the first one
        # again, and only the second one revokes the key.
        source = self.source(self.store, self.epoch)
        self.read(source, epoch=2, revision=5)
        self.clock.now += RESTORE_SETTLE_S - 1.0
        self.read(source, epoch=2, revision=9, generation=2)
        self.clock.now += 1.7
        self.read(source, epoch=2, revision=9, generation=2)
        self.assertIsNone(source.confirmed_at)
        self.read(source, epoch=2, revision=11, generation=3)
        self.clock.now += RESTORE_SETTLE_S - 0.1
        self.read(source, epoch=2, revision=11, generation=3)
        self.assertEqual(source.confirmed_at, self.clock.now)

    def test_configurations_that_are_written_all_the_while_delay_the_proof_for_a_limited_time(self):
        source = self.source(self.store, self.epoch)
        self.read(source, epoch=2, revision=5)
        for number in range(1, 2 * int(RESTORE_SETTLE_S) + 1):
            self.clock.now += 1.0
            self.read(source, epoch=2, revision=5 + number, generation=number)
        self.assertEqual(source.confirmed_at, self.clock.now)

    def test_configuration_written_long_after_the_restore_is_proved_by_its_read(self):
        source = self.source(self.store, self.epoch)
        self.read(source, epoch=2, revision=5)
        self.clock.now += RESTORE_SETTLE_S
        self.read(source, epoch=2, revision=9, generation=2)
        self.assertEqual(source.confirmed_at, self.clock.now)

    def test_router_that_kept_running_keeps_its_proof(self):
        # It was proved up to date a second earlier, so it knows at least what the backup lacks: the restore causes no
        # refusal of callers.
        source = self.source(self.store, self.epoch)
        self.read(source, epoch=1, revision=50)
        self.epoch.mark_settled()
        self.assertIsNotNone(source.confirmed_at)
        self.clock.now += 1.0
        self.read(source, epoch=2, revision=5)
        self.assertEqual(source.confirmed_at, self.clock.now)

    def test_router_cut_off_long_before_the_restore_keeps_no_proof(self):
        source = self.source(self.store, self.epoch)
        self.read(source, epoch=1, revision=50)
        self.epoch.mark_settled()
        proved_at = source.confirmed_at
        self.clock.now += MAX_CARRIED_AGE_S + 1.0
        self.read(source, epoch=2, revision=5)
        self.assertEqual(source.confirmed_at, proved_at)


class ReadStore:
    outcome = None

    async def get(self, *, kind, name, unless_version=None):
        return self.outcome


class EraServer(HTTPServer):
    """Answers each call with the next era and body of a script."""

    def __init__(self):
        self.script = []
        self.paths = []
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                outer.paths.append(self.path)
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                era, status, body = outer.script.pop(0)
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Store-Era", era)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = answer

            def log_message(self, *args):
                return None

        super().__init__(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()


def stored(revision, *, name="main"):
    return {"metadata": {"name": name, "revision": revision}, "specification": {}}


class PlatformStoreEraTest(unittest.TestCase):
    def setUp(self):
        self.server = EraServer()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.epoch = StoreEpoch()
        client = PlatformStore(url=f"http://127.0.0.1:{self.server.server_port}")
        self.store = EpochStore(store=client, epoch=self.epoch)
        self.store.start()
        self.addCleanup(self.store.close)

    def call(self, step):
        return asyncio.run(step)

    def test_same_revision_of_two_epochs_is_two_versions(self):
        # A configuration written after the restore has the revision of the one that is known. Treated as the same
        # content, it was never put in force.
        self.server.script = [("1", 200, stored(5)), ("2", 200, stored(5))]
        first = self.call(self.store.get(kind="config", name="main"))
        second = self.call(self.store.get(kind="config", name="main", unless_version=first.version))
        self.assertNotEqual(first.version, second.version)
        self.assertIsNotNone(second.value)

    def test_refused_call_carries_the_epoch(self):
        self.server.script = [("3", 503, {})]
        self.assertIsInstance(self.call(self.store.get(kind="config", name="main")), StoreUnavailable)
        self.assertEqual(self.epoch.number, 3)

    def test_watch_from_a_former_epoch_is_not_sent(self):
        # Its revision may have been assigned again: the watch would continue from another change.
        self.epoch.observe(2)
        outcome = self.call(self.store.watch(kind="servers", from_version=make_version(1, 7), timeout_s=0.1))
        self.assertIsInstance(outcome, StoreHistoryGone)
        self.assertEqual(self.server.paths, [])

    def test_watch_over_a_restore_reports_no_changes(self):
        self.epoch.observe(1)
        self.server.script = [("2", 200, {"events": [], "store_revision": 9})]
        outcome = self.call(self.store.watch(kind="servers", from_version=make_version(1, 7), timeout_s=0.1))
        self.assertIsInstance(outcome, StoreHistoryGone)

    def test_a_list_of_several_pages_has_the_version_of_its_first_page(self):
        # Guards against a change of an object on the first page, made before the last page is read, that no watch from
        # the list's version returns: an engine that began to drain then would get requests until the next full list.
        pages = [
            {"items": [stored(5, name="i-1")], "has_more": True, "store_revision": 7},
            {"items": [stored(9, name="i-2")], "has_more": False, "store_revision": 12},
        ]
        self.server.script = [("1", 200, page) for page in pages]
        outcome = self.call(self.store.list(kind="servers"))
        self.assertEqual(outcome.version, make_version(1, 7))
        self.assertEqual(set(outcome.value), {"i-1", "i-2"})

    def test_a_list_that_ends_with_an_unreadable_page_is_no_list(self):
        # Guards against engines that count as gone, since a page before theirs can't be read.
        page = {"items": [{"metadata": 3}], "has_more": True, "store_revision": 7}
        self.server.script = [("1", 200, page)]
        self.assertIsInstance(self.call(self.store.list(kind="servers")), StoreUnavailable)

    def test_write_under_a_version_of_a_former_epoch_is_not_sent(self):
        self.epoch.observe(2)
        update = self.store.update(kind="config", name="main", value={}, if_version=make_version(1, 7))
        self.assertIsInstance(self.call(update), StoreConflict)
        self.assertEqual(self.server.paths, [])

    def test_late_answer_of_a_former_epoch_is_discarded(self):
        # The era of an answer is lower than the known one: a write acknowledged before the restore may be lost, and
        # an object read before it may have changed since.
        self.epoch.observe(2)
        self.server.script = [("1", 200, stored(7)), ("1", 200, stored(7))]
        write = self.store.update(kind="config", name="main", value={}, if_version=make_version(2, 7))
        self.assertIsInstance(self.call(write), StoreUnknown)
        self.assertIsInstance(self.call(self.store.get(kind="config", name="main")), StoreUnavailable)


if __name__ == "__main__":
    unittest.main()
