"""The list of engines in the store, followed through outages of the store."""

import asyncio
import unittest

from loguru import logger

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import now, on_paused_clock
from wagtailtrestle.configuration.engine_list import RELIST_INTERVAL_S, WATCH_TIMEOUT_S, EngineList
from wagtailtrestle.configuration.running_time import RunningTime
from wagtailtrestle.contracts.outcomes import StoreConflict, StoreDone, StoreHistoryGone
from wagtailtrestle.membership.announcement import Announcement
from wagtailtrestle.platform.engine_entries import read_engine

KIND = "engines"
GRACE_S = 2.0


def entry(state="ready", **changes):
    return {
        "service": "assistant",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 1,
    } | changes


class CompactableStore(MemoryStore):
    """Can lose its history, like a store after a compaction."""

    history_gone = False

    async def watch(self, **arguments):
        if self.history_gone:
            self.history_gone = False
            return StoreHistoryGone()
        return await super().watch(**arguments)


class Followed:
    """An engine list that follows an in-memory store."""

    def __init__(self):
        self.store = CompactableStore()
        self.paused_s = 0.0
        self.changes = []
        self.list = EngineList(
            store=self.store,
            kind=KIND,
            read_entry=read_engine,
            on_change=self.changes.append,
            clock=asyncio.get_running_loop().time,
            return_grace_s=GRACE_S,
            running_s=lambda: asyncio.get_running_loop().time() - self.paused_s,
        )

    async def put(self, name, value):
        found = await self.store.get(kind=KIND, name=name)
        if isinstance(found, StoreDone):
            await self.store.update(kind=KIND, name=name, value=value, if_version=found.version)
        else:
            await self.store.create(kind=KIND, name=name, value=value)

    async def remove(self, name):
        found = await self.store.get(kind=KIND, name=name)
        await self.store.delete(kind=KIND, name=name, if_version=found.version)


class EngineListTest(unittest.TestCase):
    async def started(self):
        followed = Followed()
        await followed.put("i-1", entry())
        await followed.put("i-2", entry(address="10.0.0.2:80"))
        followed.list.start()
        await asyncio.sleep(0.5)
        return followed

    @on_paused_clock
    async def test_changes_come_by_the_watch(self):
        followed = await self.started()
        self.assertEqual(set(followed.list.by_name), {"i-1", "i-2"})
        await followed.put("i-1", entry("draining"))
        await asyncio.sleep(0.01)
        self.assertTrue(followed.list.by_name["i-1"].leaving)
        await followed.remove("i-2")
        await asyncio.sleep(0.01)
        self.assertEqual(set(followed.list.by_name), {"i-1"})
        await followed.list.close()

    @on_paused_clock
    async def test_full_read_finds_changes_that_the_watch_missed(self):
        # The watch gets no event for a draining engine, which would get work until it is gone.
        followed = await self.started()
        followed.store.drop_events = True
        await followed.put("i-1", entry("draining"))
        await asyncio.sleep(RELIST_INTERVAL_S + 2 * WATCH_TIMEOUT_S)
        self.assertTrue(followed.list.by_name["i-1"].leaving)
        await followed.list.close()

    @on_paused_clock
    async def test_a_lost_history_leads_to_a_full_read(self):
        followed = await self.started()
        followed.store.history_gone = True
        followed.store.drop_events = True
        await followed.remove("i-2")
        await asyncio.sleep(WATCH_TIMEOUT_S + 0.5)
        self.assertEqual(set(followed.list.by_name), {"i-1"})
        await followed.list.close()

    @on_paused_clock
    async def test_entries_that_expired_in_an_outage_are_kept_for_the_grace_period(self):
        # Entries expire during a store outage, so the store answers without them afterwards. Their engines
        # live and write them again a moment later; removed immediately, every request would be refused.
        followed = await self.started()
        followed.store.down = True
        await asyncio.sleep(5.0)
        followed.store.down = False
        await followed.remove("i-1")
        await followed.remove("i-2")
        await asyncio.sleep(GRACE_S / 2)
        self.assertEqual(set(followed.list.by_name), {"i-1", "i-2"})
        await followed.put("i-2", entry(address="10.0.0.2:80"))
        await asyncio.sleep(GRACE_S)
        self.assertEqual(set(followed.list.by_name), {"i-2"})
        await followed.list.close()

    @on_paused_clock
    async def test_a_pause_of_this_process_is_no_outage_of_the_store(self):
        # Guards against a router that was frozen, and ignores the removals of engines for the grace period.
        followed = await self.started()
        followed.store.down = True
        await asyncio.sleep(6.0)
        followed.paused_s = 6.0
        followed.store.down = False
        await asyncio.sleep(1.0)
        await followed.remove("i-1")
        await asyncio.sleep(0.01)
        self.assertEqual(set(followed.list.by_name), {"i-2"})
        await followed.list.close()

    @on_paused_clock
    async def test_a_departure_that_may_be_learned_late_is_a_warning_with_its_source(self):
        # Guards against logs that don't tell how late a router learned that an engine left, and from whom.
        followed = await self.started()
        records = []
        sink = logger.add(lambda line: records.append(line.record), level="WARNING")
        self.addCleanup(logger.remove, sink)
        followed.store.down = True
        await asyncio.sleep(2 * WATCH_TIMEOUT_S + 0.5)
        followed.list.check_proof()
        followed.list.check_proof()
        followed.store.down = False
        await followed.put("i-1", entry("draining"))
        await asyncio.sleep(1.5)
        (unproved,) = [record for record in records if "is not proved any more" in record["message"]]
        (departure,) = [record for record in records if "engine i-1 of assistant" in record["message"]]
        self.assertGreater(unproved["extra"]["proof_age_s"], 2.0)
        self.assertEqual(departure["extra"]["source"], "store")
        self.assertGreater(departure["extra"]["unproved_s"], 2.0)
        await followed.list.close()

    @on_paused_clock
    async def test_an_invalid_entry_does_not_affect_the_others(self):
        followed = await self.started()
        await followed.put("i-3", {"nonsense": True})
        await asyncio.sleep(RELIST_INTERVAL_S + 2 * WATCH_TIMEOUT_S)
        self.assertEqual(set(followed.list.by_name), {"i-1", "i-2"})
        await followed.list.close()


class RunningTimeTest(unittest.TestCase):
    def test_pauses_are_left_out_whoever_reads_first(self):
        time_s = 100.0
        running = RunningTime(clock=lambda: time_s)
        for _ in range(10):
            time_s += 0.1
            running.running_s()
        before = running.running_s()
        time_s += 4.0
        self.assertEqual(running.running_s(), before)
        time_s += 0.5
        self.assertAlmostEqual(running.running_s(), before + 0.5)


class AnnouncementTest(unittest.TestCase):
    def announcement(self, store, address="10.0.0.9:7000"):
        return Announcement(store=store, kind="routers", name="router-1", value={"address": address})

    async def entry(self, store):
        found = await store.get(kind="routers", name="router-1")
        return found.value if isinstance(found, StoreDone) else None

    @on_paused_clock
    async def test_it_is_written_when_the_store_is_reachable_again(self):
        store = MemoryStore()
        store.down = True
        announcement = self.announcement(store)
        announcement.start()
        await asyncio.sleep(5.0)
        store.down = False
        await asyncio.sleep(3.0)
        self.assertEqual(await self.entry(store), {"address": "10.0.0.9:7000"})
        await announcement.withdraw()
        self.assertIsNone(await self.entry(store))

    @on_paused_clock
    async def test_a_lost_answer_causes_no_missing_and_no_repeated_write(self):
        # The write took effect but its answer was lost. The next attempt finds the entry, recognizes
        # it as its own and does not write again.
        store = MemoryStore()
        store.lose_answers = 1
        announcement = self.announcement(store)
        announcement.start()
        await asyncio.sleep(3.0)
        writes = store.calls["writes"]
        await asyncio.sleep(10.0)
        self.assertEqual(await self.entry(store), {"address": "10.0.0.9:7000"})
        self.assertEqual(store.calls["writes"], writes)
        await announcement.close()

    @on_paused_clock
    async def test_a_restarted_router_replaces_the_address_of_its_predecessor(self):
        store = MemoryStore()
        await store.create(kind="routers", name="router-1", value={"address": "10.0.0.1:7000"})
        announcement = self.announcement(store)
        announcement.start()
        await asyncio.sleep(1.0)
        self.assertEqual(await self.entry(store), {"address": "10.0.0.9:7000"})
        await announcement.close()

    @on_paused_clock
    async def test_a_start_among_hundreds_costs_the_store_one_call(self):
        # All routers restart at their addresses after a power failure. Each finds its entry in the refusal of its
        # write; a read of the entry would cost one more call per router at the moment when all need the store.
        store = MemoryStore()
        store.returns_conflicts = True
        await store.create(kind="routers", name="router-1", value={"address": "10.0.0.9:7000"})
        announcement = self.announcement(store)
        announcement.start()
        await asyncio.sleep(5.0)
        self.assertEqual((store.calls["reads"], store.calls["writes"]), (0, 2))
        await announcement.withdraw()
        self.assertIsNone(await self.entry(store))

    @on_paused_clock
    async def test_another_address_in_the_refusal_is_replaced_without_a_read(self):
        store = MemoryStore()
        store.returns_conflicts = True
        await store.create(kind="routers", name="router-1", value={"address": "10.0.0.1:7000"})
        announcement = self.announcement(store)
        announcement.start()
        await asyncio.sleep(1.0)
        self.assertEqual(store.calls["reads"], 0)
        self.assertEqual(await self.entry(store), {"address": "10.0.0.9:7000"})
        await announcement.close()

    @on_paused_clock
    async def test_a_leaving_router_does_not_wait_for_a_silent_store(self):
        store = MemoryStore()
        announcement = self.announcement(store)
        announcement.start()
        await asyncio.sleep(1.0)
        store.slow_s = 100.0
        began_at = now()
        await announcement.withdraw()
        self.assertLess(now() - began_at, 2.0)
        self.assertIsInstance(
            await MemoryStore(table=store.table).create(kind="routers", name="router-1", value={}), StoreConflict
        )


if __name__ == "__main__":
    unittest.main()
