"""The platform stand-in and the HTTP object store on loopback; VM list and status report."""

import asyncio
import json
import socket
import time
import unittest

import urllib3

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration.applying import apply
from wagtailtrestle.configuration.status_report import RouterInForce, RouterUnreachable, collect_status
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.membership.vm_list import VMList
from wagtailtrestle.standins.object_table import ObjectTable
from wagtailtrestle.standins.platform import PlatformStandin
from wagtailtrestle.standins.platform_settings import PlatformSettings, parse_platform_settings
from wagtailtrestle.store.object_store_http import HttpObjectStore

READ_TIMEOUT_S = 0.4
VM_ITEMS = [
    {"id": "r1", "role": "router", "zone": "gijon", "address": "127.0.0.1:1", "admin": "http://r1", "state": "live"},
    {"id": "r2", "role": "router", "zone": "gijon", "address": "127.0.0.1:2", "admin": "http://r2", "state": "live"},
    {"id": "e1", "role": "engine", "zone": "gijon", "address": "127.0.0.1:3", "state": "leaving"},
]


class PlatformHttpTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        settings = PlatformSettings(host="127.0.0.1", port=0, threads=16, vm_list_lag_s=0.0, vms=VM_ITEMS)
        self.platform = PlatformStandin(settings=settings)
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.url = f"http://{self.platform.address}"
        self.store = HttpObjectStore(url=self.url, read_timeout_s=READ_TIMEOUT_S, threads=2)
        self.store.start()
        self.addCleanup(self.store.close)

    def admin(self, method, path, value=None):
        response = urllib3.request(method, self.url + path, json=value, retries=False)
        return response.status, response.json()

    def set_faults(self, **faults):
        status, answer = self.admin("POST", "/faults", faults)
        self.assertEqual(status, 200, answer)

    async def create(self, name="o", value=1):
        return await self.store.create(kind="k", name=name, value=value)

    async def update(self, if_version, value=2):
        return await self.store.update(kind="k", name="o", value=value, if_version=if_version)

    async def get(self, name="o", **options):
        return await self.store.get(kind="k", name=name, **options)

    async def test_versions_and_conditions(self):
        self.assertEqual(await self.create(), StoreDone(version=1))
        self.assertEqual(await self.create(), StoreConflict(version=1))
        self.assertEqual(await self.update(1), StoreDone(version=2))
        self.assertEqual(await self.update(1), StoreConflict(version=2))
        self.assertEqual(await self.get(), StoreDone(version=2, value=2))
        self.assertEqual(await self.get(unless_version=2), StoreDone(version=2))
        self.assertEqual(await self.get(unless_version=1), StoreDone(version=2, value=2))
        self.assertEqual(await self.store.list(kind="k"), StoreDone(version=2, value={"o": (2, 2)}))
        self.assertEqual(await self.store.delete(kind="k", name="o", if_version=1), StoreConflict(version=2))
        self.assertEqual(await self.store.delete(kind="k", name="o", if_version=2), StoreDone(version=3))
        self.assertEqual(await self.get(), StoreAbsent())
        self.assertEqual(await self.update(3), StoreAbsent())

    async def test_names_and_large_values_pass_unchanged(self):
        value = {"text": "é" * 100_000}
        await self.create(name="a/b c%2F?", value=value)
        self.assertEqual((await self.get(name="a/b c%2F?")).value, value)

    async def test_value_over_a_megabyte_is_certainly_not_applied(self):
        self.assertIsInstance(await self.create(value="x" * 1_100_000), StoreUnavailable)
        self.assertEqual(await self.get(), StoreAbsent())

    async def test_watch_returns_changes_immediately_and_times_out_empty(self):
        watch = asyncio.create_task(self.store.watch(kind="k", from_version=0, timeout_s=5))
        await asyncio.sleep(0.1)
        await self.create()
        self.assertEqual(await watch, StoreDone(version=1, value=(("o", 1, 1),)))
        empty = await self.store.watch(kind="k", from_version=1, timeout_s=0.05)
        self.assertEqual(empty, StoreDone(version=1, value=()))

    async def test_outage_ends_a_waiting_watch(self):
        watch = asyncio.create_task(self.store.watch(kind="k", from_version=0, timeout_s=30))
        await asyncio.sleep(0.1)
        self.set_faults(down="unavailable")
        async with asyncio.timeout(2):
            self.assertIsInstance(await watch, StoreUnavailable)

    async def test_dropped_events_and_stale_reads(self):
        await self.create()
        self.set_faults(drop_watch_events=True, stale_versions=1)
        await self.update(1)
        watched = await self.store.watch(kind="k", from_version=1, timeout_s=0.05)
        self.assertEqual(watched.value, ())
        self.assertEqual(await self.get(), StoreDone(version=1, value=1))
        self.set_faults()
        self.assertEqual(await self.get(), StoreDone(version=2, value=2))

    async def test_answer_lost_after_the_write_is_unknown(self):
        # The write takes effect, then the connection ends without an answer. The writer must
        # get "unknown": "not applied" would be wrong and invite a second write.
        await self.create()
        self.set_faults(lose_answers=1)
        self.assertIsInstance(await self.update(1), StoreUnknown)
        self.assertEqual(await self.get(), StoreDone(version=2, value=2))

    async def test_refusals_are_certainly_not_applied(self):
        await self.create()
        self.set_faults(down="unavailable")
        self.assertIsInstance(await self.update(1), StoreUnavailable)
        self.set_faults(rate_limit_per_s=1)
        outcomes = [await self.update(0) for _ in range(4)]
        self.assertTrue(any(isinstance(outcome, StoreUnavailable) for outcome in outcomes))
        self.assertEqual(self.platform.table.revision, 1)

    async def test_refused_connection_is_certainly_not_applied(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            store = HttpObjectStore(url=f"http://127.0.0.1:{unused.getsockname()[1]}")
            store.start()
            self.addCleanup(store.close)
            self.assertIsInstance(await store.create(kind="k", name="o", value=1), StoreUnavailable)

    async def test_error_that_promises_nothing_is_unknown(self):
        # A proxy in front of the platform answers 503 with its own body. It can't know
        # whether the platform applied the write, so neither can we.
        await self.create()
        self.platform.faults.down = "unavailable"
        self.platform._refused = lambda status, problem: _plain_answer(status)
        self.assertIsInstance(await self.update(1), StoreUnknown)

    async def test_connections_gone_silent(self):
        # All open connections stop answering, new ones work: one call may be lost to its
        # timeout, but the next ones must all use new connections, also when several idle
        # connections stopped answering at the same time.
        self.set_faults(slow_s=0.1)
        await asyncio.gather(self.create(), self.get(), self.get())
        self.set_faults(silent="open", slow_s=0.1)
        self.assertIsInstance(await self.update(1), StoreUnknown)
        after = await asyncio.gather(self.update(1), self.get(name="none"))
        self.assertEqual(after, [StoreDone(version=2), StoreAbsent()])

    async def test_silent_watches_hold_up_no_other_call(self):
        # As many watches as there are threads for calls wait on connections that no longer
        # answer. Calls are not blocked by them, and closing the store does not wait for them.
        watches = [self.store.watch(kind="k", from_version=0, timeout_s=30) for _ in range(2)]
        pending_watches = asyncio.gather(*watches)
        await asyncio.sleep(0.1)
        self.set_faults(silent="open")
        self.assertEqual(await self.create(), StoreDone(version=1))
        self.store.close()
        async with asyncio.timeout(2):
            self.assertEqual([type(outcome) for outcome in await pending_watches], [StoreUnavailable] * 2)

    async def test_calls_with_no_thread_left_are_certainly_not_sent(self):
        # The only thread waits on an unresponsive platform, call after call, so the last
        # write is never sent, and its outcome may say so. The first was sent, so its
        # outcome is unknown.
        self.set_faults(silent="all")
        store = HttpObjectStore(url=self.url, connect_timeout_s=0.1, read_timeout_s=READ_TIMEOUT_S, threads=1)
        store.start()
        self.addCleanup(store.close)
        writes = (store.create(kind="k", name=str(number), value=1) for number in range(8))
        outcomes = await asyncio.gather(*writes)
        self.assertIsInstance(outcomes[0], StoreUnknown)
        self.assertEqual(outcomes[-1], StoreUnavailable(detail="no thread was free"))

    async def test_counts_and_state(self):
        await self.create()
        await self.get()
        await self.store.watch(kind="k", from_version=1, timeout_s=0.01)
        self.assertEqual(self.admin("GET", "/counts")[1], {"reads": 1, "writes": 1, "watches": 1, "refused": 0})
        self.assertEqual(self.admin("GET", "/state")[1]["objects_by_kind"], {"k": 1})
        self.assertEqual(self.admin("GET", "/healthz")[0], 200)

    async def test_bad_input_is_refused_with_every_problem(self):
        status, answer = self.admin("POST", "/faults", {"silent": "maybe", "slow": 1})
        self.assertEqual(status, 400)
        self.assertIn("silent", answer["error"])
        self.assertIn("slow: unknown", answer["error"])
        self.assertEqual(self.admin("POST", "/vms", [{"id": "r1", "role": "king"}])[0], 400)
        self.assertEqual(self.admin("PUT", "/objects/k/o", {"value": 1})[0], 400)

    async def test_vms_and_status(self):
        self.assertEqual([vm.id for vm in (await self.store.vms()).value], ["r1", "r2", "e1"])
        version = (await self.store.vms()).version
        self.assertEqual(await self.store.vms(unless_version=version), StoreDone(version=version))
        self.admin("POST", "/vms", VM_ITEMS[1:])
        vms = (await self.store.vms(unless_version=version)).value
        self.assertEqual([(vm.id, vm.leaving) for vm in vms], [("r2", False), ("e1", True)])


class TableTests(unittest.TestCase):
    def test_list_of_vms_lags(self):
        table = ObjectTable()
        table.set_vms(vms=["a"], now=10.0)
        table.set_vms(vms=["b"], now=11.0)
        self.assertEqual(table.vms(now=11.5, lag_s=1.0).value, ["a"])
        self.assertEqual(table.vms(now=12.0, lag_s=1.0).value, ["b"])
        self.assertEqual(table.vms(now=10.5, lag_s=1.0).value, [])

    def test_deletion_is_sent_to_watches_and_the_name_can_be_reused(self):
        table = ObjectTable()
        table.create(kind="k", name="o", value=1)
        table.delete(kind="k", name="o", if_version=1)
        self.assertEqual(table.changes(kind="k", from_version=1).value, (("o", 2, None),))
        self.assertEqual(table.create(kind="k", name="o", value=2), StoreDone(version=3, value=2))

    def test_settings_name_every_problem(self):
        problems = parse_platform_settings({"listen": "nowhere", "threads": 0, "colour": 1, "vms": [{}]})
        for field in ("listen", "threads", "colour", "vms[0]"):
            self.assertTrue(any(problem.startswith(field) for problem in problems), field)


class VMListTests(unittest.TestCase):
    @on_paused_clock
    async def test_list_is_kept_through_an_outage(self):
        # The platform becomes unavailable. Routers and engines are still running, so the
        # last list is kept; when the platform is back, changes are applied again.
        store = MemoryStore()
        store.set_vms(VM_ITEMS)
        changes = []
        vm_list = VMList(store=store, on_change=lambda by_id: changes.append(sorted(by_id)), interval_s=1.0)
        vm_list.start()
        await asyncio.sleep(3)
        store.down = True
        store.set_vms(VM_ITEMS[:1])
        await asyncio.sleep(600)
        self.assertEqual(changes, [["e1", "r1", "r2"]])
        store.down = False
        await asyncio.sleep(3)
        self.assertEqual(changes, [["e1", "r1", "r2"], ["r1"]])
        await vm_list.close()

    @on_paused_clock
    async def test_a_list_that_stays_the_same_is_read_seldom(self):
        # The routers of a fleet know each other within seconds and notify each other of joins and leaves.
        # A read by each router every second or two would cost the store more than all its writes.
        store = MemoryStore()
        store.set_vms(VM_ITEMS)
        changes = []
        vm_list = VMList(
            store=store, on_change=lambda by_id: changes.append(sorted(by_id)), interval_s=1.0, settled_s=10.0
        )
        vm_list.start()
        await asyncio.sleep(6.0)
        before = store.calls["reads"]
        await asyncio.sleep(100.0)
        self.assertLessEqual(store.calls["reads"] - before, 100.0 / (10.0 * 0.75))
        before = store.calls["reads"]
        store.set_vms(VM_ITEMS[:1])
        await asyncio.sleep(17.0)
        self.assertEqual(changes, [["e1", "r1", "r2"], ["r1"]])
        # The read that showed the change, and at least three soon after it.
        self.assertGreaterEqual(store.calls["reads"] - before, 4)
        await vm_list.close()


class StatusTests(unittest.IsolatedAsyncioTestCase):
    async def test_lagging_and_unreachable_routers_are_distinguished(self):
        store = MemoryStore()
        store.set_vms(VM_ITEMS)
        for text in ("a", "b"):
            await apply(store=store, text=text, apply_id=text, clock=time.time)
        state = {"configuration": {"generation": 1, "faults_by_generation": {"2": ["line 1: bad"]}}}
        answers = {"http://r1/state": json.loads(json.dumps(state)), "http://r2/state": "ConnectTimeoutError: r2"}
        report = await collect_status(store=store, fetch=answers.get)
        self.assertEqual((report.generation, report.apply_id), (2, "b"))
        lagging, unreachable = report.routers
        self.assertIsInstance(lagging, RouterInForce)
        self.assertTrue(lagging.is_lagging)
        self.assertEqual(lagging.faults, ("line 1: bad",))
        self.assertEqual(
            unreachable, RouterUnreachable(id="r2", zone="gijon", is_leaving=False, detail=answers["http://r2/state"])
        )
        self.assertFalse(report.is_in_force_everywhere)
        store.down = True
        self.assertIsInstance(await collect_status(store=store, fetch=answers.get), StoreUnavailable)


def _plain_answer(status):
    from wagtailtrestle.standins.platform_answers import Answer

    return Answer(status=status, body={"message": "no healthy upstream"})


if __name__ == "__main__":
    unittest.main()
