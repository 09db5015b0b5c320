"""Which routers know the version of a stream, after routers died, restarted or were cut off, on a paused clock."""

import asyncio
import unittest
from collections import Counter

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import now, on_paused_clock
from tests.utils.scheduler_fakes import engine
from wagtailtrestle.configuration.version_note import CHECK_INTERVAL_S, VersionNote
from wagtailtrestle.contracts.peer_messages import PeerUnreachable
from wagtailtrestle.entry.stream_versions import HOLDERS, MAX_STREAMS, StreamVersions
from wagtailtrestle.entry.version_history import VersionHistory
from wagtailtrestle.standins.object_table import ObjectTable

SERVICE = "asistente"
RETENTION_S = 10.0
KIND = "versions"


class FakePeers:
    """One router's links to the others of a fleet."""

    def __init__(self, *, fleet, name):
        self.handlers = {}
        self.reconnect_callbacks = []
        self._fleet = fleet
        self._name = name

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    def on_reconnect(self, callback):
        self.reconnect_callbacks.append(callback)

    def send(self, peer, message):
        if not self._fleet.is_linked(self._name, peer):
            return False
        self._fleet.sent[self._name] += 1
        asyncio.get_running_loop().call_soon(self._deliver, peer, message)
        return True

    async def query(self, peer, message, timeout_s):
        if not self._fleet.is_linked(self._name, peer):
            await asyncio.sleep(timeout_s)
            return PeerUnreachable(peer=peer, detail="no answer")
        await asyncio.sleep(0)
        return self._fleet.routers[peer].peers.handlers[type(message)](self._name, message, "")

    def _deliver(self, peer, message):
        if peer in self._fleet.routers:
            self._fleet.routers[peer].peers.handlers[type(message)](self._name, message, "")


class FakeRouter:
    """The part of a router that knows versions."""

    def __init__(self, *, fleet, name, versions):
        self.peers = FakePeers(fleet=fleet, name=name)
        self.counts = Counter()
        self.history = VersionHistory(clock=now, retention_s=lambda: RETENTION_S)
        self.note = VersionNote(
            store=MemoryStore(table=fleet.table),
            kind=KIND,
            history=self.history,
            own_services=lambda: [SERVICE] if name == fleet.scheduler else [],
        )
        self.note.start()
        self.streams = StreamVersions(
            name=name,
            peers=self.peers,
            members=lambda: tuple(sorted(fleet.routers)),
            clock=now,
            retention_s=lambda: RETENTION_S,
            history=self.history,
            note=self.note,
            count=lambda counted, source: self.counts.update([source]),
        )
        self.list_versions(versions)

    def list_versions(self, versions):
        self.history.update(self.engine(version) for version in versions)
        self.streams.update_services([SERVICE])

    @staticmethod
    def engine(version, service=SERVICE):
        declared = engine(f"e-{service}-{version}")
        declared.service = service
        declared.version = version
        return declared

    def record(self, stream, version):
        self.streams.record(service=SERVICE, stream_id=stream, version=version)

    async def find(self, stream):
        return await self.streams.find(service=SERVICE, stream_id=stream)


class Fleet:
    """Routers that die, start again and are cut off."""

    def __init__(self, *, size, versions=("v1", "v2")):
        self.sent = Counter()
        self.table = ObjectTable()
        self.cut = set()
        self.scheduler = "r0"
        self.routers = {}
        for number in range(size):
            self.routers[f"r{number}"] = FakeRouter(fleet=self, name=f"r{number}", versions=versions)

    def is_linked(self, one, other):
        return other in self.routers and one not in self.cut and other not in self.cut

    async def kill(self, *names):
        for name in names:
            await self.routers.pop(name).note.close()
        self.update_members()

    def start(self, name, versions=("v1", "v2")):
        self.routers[name] = FakeRouter(fleet=self, name=name, versions=versions)
        self.update_members()
        for other, router in self.routers.items():
            if other != name:
                for callback in router.peers.reconnect_callbacks:
                    callback(name)

    def update_members(self):
        for router in self.routers.values():
            router.streams.update_members()

    async def close(self):
        for router in self.routers.values():
            await router.note.close()


class VersionRecordsTest(unittest.TestCase):
    # Guards against a version that only the router knew that delivered the stream.
    @on_paused_clock
    async def test_every_router_finds_the_version_after_the_first_one_died(self):
        fleet = Fleet(size=8)
        for number in range(40):
            fleet.routers["r3"].record(f"s{number}", f"v{1 + number % 2}")
        await asyncio.sleep(0.1)
        await fleet.kill("r3")
        for router in fleet.routers.values():
            for number in range(40):
                self.assertEqual(await router.find(f"s{number}"), f"v{1 + number % 2}")
        await fleet.close()

    # Guards against a version that is forgotten as the routers that hold it restart one after the other.
    @on_paused_clock
    async def test_restarts_in_series_forget_nothing_while_the_stream_runs(self):
        fleet = Fleet(size=5)
        for number in range(40):
            fleet.routers["r0"].record(f"s{number}", "v2")
        for name in ("r1", "r2", "r3", "r4"):
            await fleet.kill(name)
            await asyncio.sleep(0.5)
            fleet.start(name)
            await asyncio.sleep(0.5)
        await fleet.kill("r0")
        found = [await fleet.routers["r2"].find(f"s{number}") for number in range(40)]
        self.assertEqual(found, ["v2"] * 40)
        await fleet.close()

    # Guards against a guess by a router that lost touch with all that know the version.
    @on_paused_clock
    async def test_router_that_is_cut_off_does_not_guess(self):
        fleet = Fleet(size=4, versions=("v1",))
        await asyncio.sleep(RETENTION_S)
        fleet.cut.add("r1")
        for name in ("r0", "r2", "r3"):
            fleet.routers[name].list_versions(("v1", "v2"))
        fleet.routers["r0"].record("s", "v2")
        await asyncio.sleep(0.1)
        self.assertIsNone(await fleet.routers["r1"].find("s"))
        fleet.cut.clear()
        self.assertEqual(await fleet.routers["r1"].find("s"), "v2")
        await fleet.close()

    # Guards against streams whose version was told to nobody, as the service had one version when they began.
    @on_paused_clock
    async def test_streams_that_began_before_the_second_version_are_told_of(self):
        fleet = Fleet(size=4, versions=("v1",))
        fleet.routers["r0"].record("s", "v1")
        await asyncio.sleep(RETENTION_S / 2)
        for router in fleet.routers.values():
            router.list_versions(("v1", "v2"))
        await asyncio.sleep(0.1)
        await fleet.kill("r0")
        self.assertEqual(await fleet.routers["r1"].find("s"), "v1")
        await fleet.close()

    # Guards against a second service that gets several versions while another one has them already.
    @on_paused_clock
    async def test_each_service_has_versions_of_its_own(self):
        fleet = Fleet(size=3)
        router = fleet.routers["r0"]
        router.record("s", "v1")
        router.streams.record(service="other", stream_id="s", version="v7")
        others = [FakeRouter.engine(version, service="other") for version in ("v7", "v8")]
        router.history.update([FakeRouter.engine("v1"), FakeRouter.engine("v2"), *others])
        router.streams.update_services([SERVICE, "other"])
        await asyncio.sleep(0.1)
        self.assertEqual(await fleet.routers["r1"].streams.find(service="other", stream_id="s"), "v7")
        self.assertEqual(await fleet.routers["r1"].find("s"), "v1")
        await fleet.close()

    # Guards against a version that is taken for the only one although another one has just left.
    @on_paused_clock
    async def test_version_that_just_left_still_counts(self):
        fleet = Fleet(size=2)
        await asyncio.sleep(RETENTION_S)
        for router in fleet.routers.values():
            router.list_versions(("v2",))
        self.assertIsNone(await fleet.routers["r0"].find("unknown"))
        await asyncio.sleep(RETENTION_S + 0.1)
        self.assertEqual(await fleet.routers["r0"].find("unknown"), "v2")
        await fleet.close()

    # Guards against a fleet that starts anew, sees the one version that is left, and guesses that it wrote the streams
    # of before.
    @on_paused_clock
    async def test_fleet_that_starts_anew_reads_which_versions_there_were(self):
        fleet = Fleet(size=3)
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        await fleet.kill("r0", "r1", "r2")
        for name in ("r0", "r1", "r2"):
            fleet.start(name, versions=("v1",))
        self.assertIsNone(await fleet.routers["r1"].find("s"))
        await asyncio.sleep(RETENTION_S + 2 * CHECK_INTERVAL_S)
        self.assertEqual(await fleet.routers["r1"].find("s"), "v1")
        # The note has gone too, for the next start.
        await fleet.kill("r0", "r1", "r2")
        fleet.start("r1", versions=("v1",))
        self.assertEqual(await fleet.routers["r1"].find("s"), "v1")
        await fleet.close()

    # Guards against streams of a service with one version that are refused after all routers started.
    @on_paused_clock
    async def test_one_version_is_known_from_the_start_and_told_to_nobody(self):
        fleet = Fleet(size=6, versions=("v1",))
        fleet.routers["r0"].record("s", "v1")
        await fleet.kill("r0")
        self.assertEqual(await fleet.routers["r1"].find("s"), "v1")
        self.assertEqual(fleet.sent, Counter())
        self.assertEqual(fleet.table.list(kind=KIND).value, {})
        await fleet.close()

    # Guards against a guess while the store can not be asked.
    @on_paused_clock
    async def test_one_version_is_not_confirmed_without_the_store(self):
        fleet = Fleet(size=2, versions=("v1",))
        fleet.routers["r1"].note._store.down = True
        self.assertIsNone(await fleet.routers["r1"].find("s"))
        await fleet.close()

    # Guards against a stream resumed several times, each time after the router that resumed it last has died.
    @on_paused_clock
    async def test_stream_resumed_again_and_again(self):
        fleet = Fleet(size=8)
        fleet.routers["r0"].record("s", "v1")
        for number in range(6):
            await asyncio.sleep(RETENTION_S / 2)
            version = await fleet.routers[f"r{number + 1}"].find("s")
            self.assertEqual(version, "v1")
            fleet.routers[f"r{number + 1}"].record("s", version)
            await asyncio.sleep(0.1)
            await fleet.kill(f"r{number}")
        await fleet.close()

    # Guards against memory and messages that grow with the number of streams.
    @on_paused_clock
    async def test_memory_and_messages_are_bounded(self):
        fleet = Fleet(size=20)
        for number in range(MAX_STREAMS + 100):
            fleet.routers["r0"].record(f"s{number}", "v1")
        self.assertEqual(fleet.routers["r0"].streams.dump()["own"], MAX_STREAMS)
        self.assertEqual(fleet.sent["r0"], HOLDERS * (MAX_STREAMS + 100))
        fleet.sent.clear()
        await fleet.kill("r5")
        fleet.start("r5")
        await asyncio.sleep(0.1)
        self.assertLess(fleet.sent["r0"], 1000)
        await fleet.close()


if __name__ == "__main__":
    unittest.main()
