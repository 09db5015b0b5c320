"""The relay of engine entries among routers: few query the store, and no router accepts a stale list."""

import asyncio
import unittest

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import now, on_paused_clock
from wagtailtrestle.broken_invariant import BROKEN_INVARIANT
from wagtailtrestle.configuration.engine_list import DEFAULT_RETURN_GRACE_S, EngineList
from wagtailtrestle.configuration.engine_relay import EngineRelay, EngineUpdate, RelayLimits
from wagtailtrestle.configuration.store_readers import MIN_READERS, READERS_KEY, StoreReaders
from wagtailtrestle.contracts.outcomes import StoreDone
from wagtailtrestle.contracts.peer_messages import EngineEntry, PeerUnreachable
from wagtailtrestle.peers.rendezvous import Rendezvous
from wagtailtrestle.platform.engine_entries import read_engine
from wagtailtrestle.standins.object_table import ObjectTable

KIND = "engines"
NAMES = tuple(f"router-{number}" for number in range(6))
PROPAGATION_LIMIT_S = 1.9
"""Below the two seconds in which draining engines may still get work."""
READER_WATCH_S = RelayLimits().watch_s
TRANSIT_S = 0.001


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


def update_of(version, entries, *, is_whole=False):
    return EngineUpdate(
        version=version,
        value_by_name={name: value for name, (_, value) in entries.items()},
        version_by_name={name: at for name, (at, _) in entries.items()},
        is_whole=is_whole,
    )


class Network:
    """Carries requests between routers in memory."""

    def __init__(self):
        self.handlers_by_router = {}
        self.transit_s = TRANSIT_S
        self.silent = set()

    def peers_of(self, name):
        return Peer(network=self, name=name)


class Peer:
    """One router's end of the network."""

    def __init__(self, *, network, name):
        self._network = network
        self._name = name

    def on(self, message_type, handler):
        self._network.handlers_by_router[self._name] = handler

    async def query(self, peer, message, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self._network.transit_s)
                if peer in self._network.silent:
                    await asyncio.sleep(timeout_s)
                answer = await self._network.handlers_by_router[peer](self._name, message, "")
                await asyncio.sleep(self._network.transit_s)
                return answer
        except TimeoutError:
            return PeerUnreachable(peer=peer, detail="no answer")


class Fleet:
    """Routers that follow one store, each over its own connection."""

    def __init__(self, *, members=None, limits=None):
        self.network = Network()
        self.table = ObjectTable()
        self.members_by_router = members or dict.fromkeys(NAMES, NAMES)
        self.store_by_router = {name: MemoryStore(table=self.table) for name in self.members_by_router}
        self.operator = MemoryStore(table=self.table)
        self.limits = limits
        self.relay_by_router = {}
        self.list_by_router = {name: self._list_of(name) for name in self.members_by_router}

    def _list_of(self, name):
        clock = asyncio.get_running_loop().time
        self.relay_by_router[name] = EngineRelay(
            peers=self.network.peers_of(name),
            readers=StoreReaders(name=name, members=lambda: self.members_by_router[name], clock=clock),
            limits=self.limits,
            clock=clock,
        )
        return EngineList(
            store=self.store_by_router[name],
            kind=KIND,
            read_entry=read_engine,
            on_change=lambda by_name: None,
            clock=clock,
            relay=self.relay_by_router[name],
        )

    async def start(self):
        await self.operator.create(kind=KIND, name="i-1", value=entry())
        await self.operator.create(kind=KIND, name="i-2", value=entry(address="10.0.0.2:80"))
        for engines in self.list_by_router.values():
            engines.start()
        await asyncio.sleep(3.0)

    async def close(self):
        for engines in self.list_by_router.values():
            await engines.close()

    async def leave(self, name):
        found = await self.operator.get(kind=KIND, name=name)
        assert isinstance(found, StoreDone)
        await self.operator.update(kind=KIND, name=name, value=entry("draining"), if_version=found.version)

    def readers(self):
        return {name for name, relay in self.relay_by_router.items() if relay.dump()["reads_store"]}

    def ranked(self):
        return Rendezvous().ranked(key=READERS_KEY, members=NAMES)

    def calls(self):
        return {name: store.calls["reads"] + store.calls["watches"] for name, store in self.store_by_router.items()}

    def routers_that_list(self, name):
        return {router for router, engines in self.list_by_router.items() if name in engines.by_name}

    def routers_that_know_leaving(self, name):
        return {router for router, engines in self.list_by_router.items() if engines.by_name[name].leaving}


class EngineRelayTest(unittest.TestCase):
    async def started(self, **options):
        fleet = Fleet(**options)
        await fleet.start()
        return fleet

    @on_paused_clock
    async def test_only_the_readers_query_the_store(self):
        fleet = await self.started()
        before = fleet.calls()
        await asyncio.sleep(20.0)
        querying = {name for name, calls in fleet.calls().items() if calls > before[name]}
        self.assertEqual(len(fleet.readers()), MIN_READERS)
        self.assertEqual(querying, fleet.readers())
        await fleet.close()

    @on_paused_clock
    async def test_all_routers_learn_immediately_of_a_draining_engine(self):
        fleet = await self.started()
        await fleet.leave("i-1")
        await asyncio.sleep(0.02)
        self.assertEqual(fleet.routers_that_know_leaving("i-1"), set(NAMES))
        self.assertEqual(fleet.routers_that_know_leaving("i-2"), set())
        await fleet.close()

    @on_paused_clock
    async def test_a_deleted_engine_is_relayed(self):
        fleet = await self.started()
        found = await fleet.operator.get(kind=KIND, name="i-1")
        await fleet.operator.delete(kind=KIND, name="i-1", if_version=found.version)
        await asyncio.sleep(0.02)
        for engines in fleet.list_by_router.values():
            self.assertEqual(set(engines.by_name), {"i-2"})
        await fleet.close()

    @on_paused_clock
    async def test_answers_of_readers_cut_off_from_the_store_are_rejected(self):
        # Both readers lose the store and miss an engine that drains. The other routers query them and
        # get answers; if they accepted these, they would send requests to the engine indefinitely.
        # The next routers of the ranking become readers, and the two get the change from them.
        fleet = await self.started()
        for name in fleet.readers():
            fleet.store_by_router[name].down = True
        await asyncio.sleep(READER_WATCH_S)
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertEqual(fleet.routers_that_know_leaving("i-1"), set(NAMES))
        await fleet.close()

    @on_paused_clock
    async def test_answers_of_readers_with_a_silent_watch_are_rejected(self):
        # The readers' connections to the store go silent, so that neither learns of a draining engine;
        # the others have working connections and must not wait until the readers notice.
        fleet = await self.started()
        for name in fleet.readers():
            fleet.store_by_router[name].silent_watch = True
        await asyncio.sleep(READER_WATCH_S)
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertLessEqual(set(NAMES) - fleet.readers(), fleet.routers_that_know_leaving("i-1"))
        await fleet.close()

    @on_paused_clock
    async def test_silent_readers_are_replaced_by_reads_of_the_store(self):
        # The readers freeze while requests to them are open; an engine drains meanwhile.
        fleet = await self.started()
        fleet.network.silent = fleet.readers()
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertEqual(fleet.routers_that_know_leaving("i-1"), set(NAMES))
        await fleet.close()

    @on_paused_clock
    async def test_a_reader_refused_by_the_store_queries_the_other_reader(self):
        # The store refuses one reader and serves all other routers. That reader would keep querying
        # without success and send requests to a draining engine, although the other reader knows of it.
        # The routers that queried it switch to the other reader and to the next of the ranking, which
        # replaces it; they do not call the store themselves.
        fleet = await self.started()
        refused, healthy = sorted(fleet.readers())
        replacement = fleet.ranked()[MIN_READERS]
        fleet.store_by_router[refused].down = True
        await asyncio.sleep(READER_WATCH_S)
        before = fleet.calls()
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertEqual(fleet.routers_that_know_leaving("i-1"), set(NAMES))
        # The replacement reads the store only while the refused router's list, which that has from others, is too old.
        for _ in range(200):
            await asyncio.sleep(0.05)
            oldest_s = max(engines.proof_age_s for engines in fleet.list_by_router.values())
            self.assertLess(oldest_s, PROPAGATION_LIMIT_S)
        querying = {name for name, calls in fleet.calls().items() if calls > before[name]}
        self.assertIn(healthy, querying)
        self.assertLessEqual(querying - {refused}, {healthy, replacement})
        await fleet.close()

    @on_paused_clock
    async def test_the_next_of_the_ranking_replaces_a_reader_without_a_list(self):
        # Guards against a reader that neither the store nor another router answers, and that nobody replaces.
        fleet = await self.started()
        refused, healthy = sorted(fleet.readers())
        replacement = fleet.ranked()[MIN_READERS]
        fleet.store_by_router[refused].down = True
        fleet.members_by_router[refused] = (refused,)
        await asyncio.sleep(READER_WATCH_S)
        before = fleet.calls()
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertEqual(fleet.routers_that_know_leaving("i-1"), set(NAMES) - {refused})
        await asyncio.sleep(10.0)
        querying = {name for name, calls in fleet.calls().items() if calls > before[name]}
        self.assertEqual(querying - {refused}, {healthy, replacement})
        await fleet.close()

    @on_paused_clock
    async def test_a_longer_propagation_limit_needs_fewer_calls_to_the_store(self):
        # The operator lets draining engines serve for four seconds instead of two.
        calls_by_limit = {}
        for within_s in (2.0, 4.0):
            fleet = await self.started(limits=RelayLimits(propagation_limit_s=within_s))
            before = sum(fleet.calls().values())
            await asyncio.sleep(20.0)
            calls_by_limit[within_s] = sum(fleet.calls().values()) - before
            for name in fleet.readers():
                fleet.store_by_router[name].silent_watch = True
            await asyncio.sleep(RelayLimits(propagation_limit_s=within_s).watch_s)
            await fleet.leave("i-1")
            await asyncio.sleep(0.95 * within_s)
            self.assertLessEqual(set(NAMES) - fleet.readers(), fleet.routers_that_know_leaving("i-1"))
            await fleet.close()
        self.assertLess(calls_by_limit[4.0], 0.6 * calls_by_limit[2.0])

    @on_paused_clock
    async def test_pauses_of_departed_readers_are_removed(self):
        # Routers join and leave for months, each with a new name.
        fleet = await self.started()
        relay = fleet.relay_by_router[NAMES[0]]
        for number in range(50):
            fleet.network.silent.add(f"gone-{number}")
            fleet.members_by_router[NAMES[0]] = (f"gone-{number}",)
            await asyncio.sleep(3.0)
        self.assertLessEqual(len(relay.readers._paused_until_by_name), 2)
        await fleet.close()

    @on_paused_clock
    async def test_a_removal_that_a_reader_held_back_reaches_the_routers_that_query_it(self):
        # Guards against a reader that tells the version of a removal which it applies only after its grace period:
        # the routers that query it would ask for later changes only, and keep the engine for good.
        for outage_s in (5.0, 5.4, 5.8, 6.2, 6.6):
            with self.subTest(outage_s=outage_s):
                fleet = await self.started()
                reader = fleet.ranked()[0]
                for name in fleet.members_by_router:
                    fleet.members_by_router[name] = (reader,)
                fleet.store_by_router[reader].down = True
                await asyncio.sleep(outage_s)
                fleet.store_by_router[reader].down = False
                await asyncio.sleep(1.8)
                found = await fleet.operator.get(kind=KIND, name="i-1")
                await fleet.operator.delete(kind=KIND, name="i-1", if_version=found.version)
                await asyncio.sleep(DEFAULT_RETURN_GRACE_S + 1.0)
                self.assertEqual(fleet.routers_that_list("i-1"), set())
                await fleet.close()

    @on_paused_clock
    async def test_changes_beside_a_removal_that_is_held_back_are_sent_at_once_and_once(self):
        # Guards against a drain that is held back with the removal, and against routers that query without a pause.
        fleet = await self.started()
        reader = fleet.ranked()[0]
        requester = next(name for name in NAMES if name not in fleet.readers())
        fleet.members_by_router[requester] = (reader,)
        engines, relay = fleet.list_by_router[reader], fleet.relay_by_router[requester]
        await asyncio.sleep(3.0)
        engines._missing_kept_until = asyncio.get_running_loop().time() + DEFAULT_RETURN_GRACE_S
        found = await fleet.operator.get(kind=KIND, name="i-1")
        await fleet.operator.delete(kind=KIND, name="i-1", if_version=found.version)
        await asyncio.sleep(0.1)
        asked = relay.dump()["asked_total"]
        await fleet.leave("i-2")
        await asyncio.sleep(0.02)
        self.assertTrue(fleet.list_by_router[requester].by_name["i-2"].leaving)
        await asyncio.sleep(1.0)
        self.assertLessEqual(relay.dump()["asked_total"] - asked, 6)
        await asyncio.sleep(DEFAULT_RETURN_GRACE_S)
        self.assertEqual(fleet.routers_that_list("i-1"), set())
        await fleet.close()

    @on_paused_clock
    async def test_a_later_change_is_relayed_by_a_router_that_heard_of_it_early(self):
        # Guards against a router that relays a change under its own version: routers that have this version skip it.
        holding, middle, last = NAMES[:3]
        fleet = Fleet(members={holding: (holding,), middle: (holding,), last: (middle,)})
        entries = {"i-1": (10, entry()), "i-2": (10, entry(address="10.0.0.2:80"))}
        for name in (holding, middle, last):
            fleet.list_by_router[name]._apply_update(update_of(10, entries, is_whole=True))
        # The removal of i-1 is held back at the reader; the two others have it from elsewhere.
        fleet.list_by_router[holding]._missing_kept_until = 10.0
        for name in (holding, middle, last):
            fleet.list_by_router[name]._apply_update(update_of(13, {"i-1": (12, None)}))
        draining = entry("draining", address="10.0.0.2:80")
        fleet.list_by_router[holding]._apply_update(update_of(15, {"i-2": (15, draining)}))
        for name in (middle, last):
            self.assertTrue(await fleet.list_by_router[name]._step())
            self.assertTrue(fleet.list_by_router[name].by_name["i-2"].leaving, name)

    @on_paused_clock
    async def test_an_older_state_of_an_entry_replaces_no_newer_one(self):
        # Guards against a draining engine that is ready again for a router that asks a second reader, which is behind.
        fleet = Fleet()
        engines = fleet.list_by_router[NAMES[0]]
        engines._apply_update(update_of(10, {"i-1": (9, entry()), "i-2": (8, entry())}, is_whole=True))
        engines._apply_update(update_of(10, {"i-1": (14, entry("draining")), "i-2": (15, None)}))
        engines._apply_update(update_of(12, {"i-1": (11, entry()), "i-2": (12, entry())}))
        engines._apply_update(update_of(13, {"i-1": (11, entry()), "i-2": (12, entry())}, is_whole=True))
        self.assertTrue(engines.by_name["i-1"].leaving)
        self.assertEqual(set(engines.by_name), {"i-1"})

    @on_paused_clock
    async def test_an_engine_that_came_and_went_unseen_by_a_reader_is_dropped(self):
        # Guards against an engine that a router keeps for good, as its present reader was out of touch with the store
        # while the engine came and went, and relays no removal.
        reader, requester = NAMES[:2]
        fleet = Fleet(members={reader: (reader,), requester: (reader,)})
        entries = {"i-1": (10, entry())}
        for name in (reader, requester):
            fleet.list_by_router[name]._apply_update(update_of(10, entries, is_whole=True))
        fleet.list_by_router[requester]._apply_update(update_of(11, {"i-9": (11, entry(address="10.0.0.9:80"))}))
        fleet.list_by_router[reader]._apply_update(update_of(13, entries, is_whole=True))
        for _ in range(2):
            self.assertTrue(await fleet.list_by_router[requester]._step())
        self.assertEqual(set(fleet.list_by_router[requester].by_name), {"i-1"})
        asked = fleet.relay_by_router[requester].dump()["asked_total"]
        await fleet.list_by_router[requester]._step()
        self.assertEqual(fleet.relay_by_router[requester].dump()["differences_total"], 1)
        self.assertEqual(fleet.relay_by_router[requester].dump()["asked_total"], asked + 1)

    @on_paused_clock
    async def test_a_relayed_entry_that_cannot_be_read_affects_no_other(self):
        # Guards against a router of another version that relays an entry which ends the task that follows the list.
        reader, requester = NAMES[:2]
        for text in ("[" * 100_000, "9" * 5000, "{", "Infinity", '"\\ud800"', '{"a":' * 5000 + "1" + "}" * 5000):
            with self.subTest(text=text[:10]):
                fleet = Fleet(members={reader: (reader,), requester: (reader,)})
                fleet.relay_by_router[reader].record_update(version=10, age_s=0.0, changed={"i-1": (9, entry())})
                odd = EngineEntry(name="i-2", value=text, version=10)
                fleet.relay_by_router[reader]._entry_by_name["i-2"] = odd
                fleet.relay_by_router[reader]._history_from = 5
                fleet.list_by_router[requester].is_known = True
                self.assertTrue(await fleet.list_by_router[requester]._step())
                self.assertEqual(set(fleet.list_by_router[requester].by_name), {"i-1"})

    @on_paused_clock
    async def test_a_failure_in_the_task_that_follows_the_list_is_reported(self):
        # Guards against a router that silently goes on with the engines of one moment.
        fleet = Fleet()
        reported = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: reported.append(context))
        engines = fleet.list_by_router[NAMES[0]]
        engines._read_entry = lambda name, value: 1 / 0
        await fleet.operator.create(kind=KIND, name="i-1", value=entry())
        engines.start()
        await asyncio.sleep(1.0)
        self.assertTrue(reported[0][BROKEN_INVARIANT])

    @on_paused_clock
    async def test_whole_lists_that_differ_are_not_requested_all_the_time(self):
        # Guards against two versions of the code that read an entry differently, and fill the links with full lists.
        reader, requester = NAMES[:2]
        fleet = Fleet(members={reader: (reader,), requester: (reader,)})
        fleet.list_by_router[requester]._read_entry = lambda name, value: None
        wholes = []
        answer = fleet.relay_by_router[reader]._answer

        async def counted(peer, request):
            wholes.append(request.version == 0)
            return await answer(peer, request)

        fleet.relay_by_router[reader]._answer = counted
        await fleet.start()
        await asyncio.sleep(60.0)
        self.assertGreater(sum(wholes), 3)
        self.assertLess(sum(wholes), 16)
        await fleet.close()

    @on_paused_clock
    async def test_a_reader_that_holds_removals_back_proves_no_list(self):
        # Guards against a reader that lost the store alone: while it ignores removals, routers that were in touch with
        # the store would take its list for proved, and send requests to an engine that left.
        fleet = await self.started()
        reader, requester = fleet.ranked()[0], fleet.ranked()[-1]
        fleet.members_by_router[reader] = (reader,)
        fleet.store_by_router[reader].down = True
        await asyncio.sleep(5.0)
        fleet.store_by_router[reader].down = False
        await asyncio.sleep(1.0)
        fleet.members_by_router[requester] = (reader,)
        self.assertTrue(fleet.list_by_router[reader].dump()["keeps_missing_entries"])
        found = await fleet.operator.get(kind=KIND, name="i-1")
        await fleet.operator.delete(kind=KIND, name="i-1", if_version=found.version)
        fleet.list_by_router[reader]._missing_kept_until = now() + DEFAULT_RETURN_GRACE_S
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertIn(reader, fleet.routers_that_list("i-1"))
        self.assertNotIn(requester, fleet.routers_that_list("i-1"))
        await fleet.close()

    @on_paused_clock
    async def test_two_routers_that_query_each_other_return_to_the_store(self):
        # Views differ, and each router considers another one the reader. If the answer's age restarted
        # at each hop, none would ever query the store again.
        members = {"a": ("b", "c"), "b": ("a", "c"), "c": ("a", "b")}
        fleet = await self.started(members=members)
        self.assertEqual(fleet.readers(), set())
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertEqual(fleet.routers_that_know_leaving("i-1"), {"a", "b", "c"})
        await fleet.close()

    @on_paused_clock
    async def test_transit_time_of_an_answer_counts_as_age(self):
        # Answers of the readers are delayed on a link for most of the allowed age; their data may be outdated.
        fleet = await self.started()
        fleet.network.transit_s = 0.29
        for name in fleet.readers():
            fleet.store_by_router[name].silent_watch = True
        await asyncio.sleep(0.5)
        await fleet.leave("i-1")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        self.assertLessEqual(set(NAMES) - fleet.readers(), fleet.routers_that_know_leaving("i-1"))
        await fleet.close()

    @on_paused_clock
    async def test_transit_time_of_a_list_counts_as_age(self):
        # A reader's link to the store is slow: a list arrives 0.9 s after its request. It does not show an
        # engine's drain since then; relayed as new, it would hide the drain for another 0.9 s.
        fleet = Fleet()
        reader = sorted(fleet.readers())[0]
        fleet.store_by_router[reader].slow_s = 0.9
        fleet.list_by_router[reader].start()
        await asyncio.sleep(0.92)
        self.assertTrue(fleet.list_by_router[reader].is_known)
        self.assertGreaterEqual(fleet.relay_by_router[reader].dump()["proof_age_s"], 0.9)
        await fleet.list_by_router[reader].close()

    @on_paused_clock
    async def test_transit_time_of_a_watched_change_counts_as_age(self):
        # Guards against a reader that loses packets to the store: a change arrives 0.6 s late, and hides for another
        # second that a second engine has left meanwhile.
        fleet = await self.started()
        reader = fleet.ranked()[0]
        store, watch = fleet.store_by_router[reader], fleet.store_by_router[reader].watch

        async def delayed_watch(**arguments):
            outcome = await watch(**arguments)
            await asyncio.sleep(0.6 if outcome.value else 0.0)
            return outcome

        store.watch = delayed_watch
        await asyncio.sleep(2 * READER_WATCH_S)
        await fleet.leave("i-1")
        await asyncio.sleep(0.61)
        self.assertTrue(fleet.list_by_router[reader].by_name["i-1"].leaving)
        self.assertGreaterEqual(fleet.relay_by_router[reader].dump()["proof_age_s"], 0.59)
        await asyncio.sleep(READER_WATCH_S)
        self.assertLess(fleet.relay_by_router[reader].dump()["proof_age_s"], READER_WATCH_S + 0.1)
        await fleet.close()

    @on_paused_clock
    async def test_a_reader_with_a_shorter_history_sends_the_full_list(self):
        # A router sends a version from before its reader started.
        fleet = await self.started()
        reader = sorted(fleet.readers())[0]
        other = sorted(set(NAMES) - fleet.readers())[0]
        clock = asyncio.get_running_loop().time
        fresh = EngineRelay(
            peers=fleet.network.peers_of(reader),
            readers=StoreReaders(name=reader, members=lambda: NAMES, clock=clock),
            clock=clock,
        )
        fresh.record_update(version=50, age_s=0.0, changed={"i-9": (50, entry(address="10.0.0.9:80"))})
        fleet.members_by_router[other] = (reader,)
        update = await fleet.relay_by_router[other].fetch_update(3)
        self.assertTrue(update.is_whole)
        self.assertEqual(set(update.value_by_name), {"i-9"})
        await fleet.close()


if __name__ == "__main__":
    unittest.main()
