"""The platform's store in a measured run, and the routers' ledgers that use it."""

import asyncio
import json
import zlib

from wagtailtrestle.contracts.outcomes import StoreUnavailable
from wagtailtrestle.ledger.ledger import Ledger
from wagtailtrestle.measure.fake_caller import NETWORK_S
from wagtailtrestle.peers.rendezvous import Rendezvous
from wagtailtrestle.standins.object_table import ObjectTable

STORE_LATENCY_S = 0.005
KEYED_PERCENT = 50
"""Percentage of the requests on at-most-once routes whose callers send a key."""


class MeasuredStore:
    """An ``ObjectStore`` on the stand-in's object table, with a fixed latency.

    Parameters
    ----------
    out : bool
        Whether every call fails, during the entire run.

    Attributes
    ----------
    writes : int
        Number of calls that write, failed calls included.
    """

    __slots__ = ("writes", "_is_unavailable", "_table")

    def __init__(self, *, is_unavailable):
        self.writes = 0
        self._is_unavailable = is_unavailable
        self._table = ObjectTable()

    async def get(self, *, kind, name, unless_version=None):
        """Read one object."""
        return await self._answer(lambda: self._table.get(kind=kind, name=name))

    async def create(self, *, kind, name, value):
        """Create an object."""
        self.writes += 1
        return await self._answer(lambda: self._table.create(kind=kind, name=name, value=_json_round_trip(value)))

    async def update(self, *, kind, name, value, if_version):
        """Replace an object at a version."""
        self.writes += 1
        write = dict(kind=kind, name=name, value=_json_round_trip(value), if_version=if_version)
        return await self._answer(lambda: self._table.update(**write))

    async def _answer(self, call):
        await asyncio.sleep(STORE_LATENCY_S)
        return StoreUnavailable(detail="the platform is out") if self._is_unavailable else call()


class MeasuredLedgers:
    """One real ledger for each router, connected by messages with the network's delay.

    Parameters
    ----------
    setting : RunSetting
    store : MeasuredStore
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, *, setting, store, loop):
        self._setting = setting
        self._rendezvous = Rendezvous()
        self.ledger_by_router = {name: self._ledger(name, store, loop) for name in setting.routers}

    async def start(self):
        """Start every ledger, which reads or creates the layout of shards."""
        for ledger in self.ledger_by_router.values():
            await ledger.start()

    def _ledger(self, name, store, loop):
        declared = self._setting.declaration
        routers = self._setting.routers
        return Ledger(
            name=name,
            incarnation="1",
            store=store,
            owner_of=lambda shard: self._rendezvous.ranked(key=shard, members=routers)[0],
            query_peer=self._query,
            shards=lambda: declared.ledger_shards,
            retention_s=lambda: declared.ledger_retention_s,
            live_routers=lambda: len(routers),
            wall_clock=loop.time,
        )

    async def _query(self, peer, message, timeout_s):
        await asyncio.sleep(NETWORK_S)
        answer = await self.ledger_by_router[peer].handle(message)
        await asyncio.sleep(NETWORK_S)
        return answer


def is_keyed(request_id):
    """Whether this caller sends an idempotency key; decided by the request id, so equal in runs of the same seed."""
    return zlib.crc32(request_id.encode()) % 100 < KEYED_PERCENT


def _json_round_trip(value):
    return json.loads(json.dumps(value))
