"""Cost of the ledger: writes and processor time of a claim by rate, and of a shard write by claims held."""

import asyncio
import json
import time

from wagtailtrestle.contracts.outcomes import ClaimWon
from wagtailtrestle.ledger.ledger import Ledger
from wagtailtrestle.slopes.slope import Slope
from wagtailtrestle.standins.object_table import ObjectTable

STORE_LATENCY_S = 0.005
SHARDS = 16
RATES = (10, 30, 100, 300)
DURATION_S = 6.0
HELD_COUNTS = (0, 500, 1_000, 2_000)
WRITES = 40
FILL_BATCH = 100
RETENTION_S = 3600.0
BODY = b'{"booked": true}'


class TableStore:
    """An ``ObjectStore`` on the stand-in's object table, with a fixed latency.

    Values pass through JSON in both directions, as they do over HTTP.
    """

    __slots__ = ("_table", "calls", "bytes_written")

    def __init__(self):
        self._table = ObjectTable()
        self.calls = {"reads": 0, "writes": 0}
        self.bytes_written = 0

    async def get(self, *, kind, name, unless_version=None):
        """Read one object."""
        await self._wait("reads")
        return self._table.get(kind=kind, name=name)

    async def create(self, *, kind, name, value):
        """Create an object."""
        await self._wait("writes")
        return self._table.create(kind=kind, name=name, value=self._json_round_trip(value))

    async def update(self, *, kind, name, value, if_version):
        """Replace an object at a version."""
        await self._wait("writes")
        return self._table.update(kind=kind, name=name, value=self._json_round_trip(value), if_version=if_version)

    async def _wait(self, call):
        self.calls[call] += 1
        await asyncio.sleep(STORE_LATENCY_S)

    def _json_round_trip(self, value):
        text = json.dumps(value)
        self.bytes_written += len(text)
        return json.loads(text)


def make_ledger(store, shards=SHARDS):
    """Build the ledger of a single router, which owns every shard."""
    ledger = Ledger(
        name="router-1",
        incarnation="1",
        store=store,
        owner_of=lambda shard: "router-1",
        query_peer=lambda peer, message, timeout_s: ledger.handle(message),
        shards=lambda: shards,
        retention_s=lambda: RETENTION_S,
    )
    return ledger


async def _claim_once(ledger, number, *, finish):
    key, nonce = f"key-{number}", f"nonce-{number}"
    outcome = await ledger.claim(team="team-1", key=key, body_digest="digest", nonce=nonce)
    if not isinstance(outcome, ClaimWon):
        raise RuntimeError(f"the claim was not won: {outcome}")
    if finish:
        ledger.finish(team="team-1", key=key, nonce=nonce, status=200, content_type="application/json", body=BODY)


async def _at_rate(rate):
    """Return the writes and the processor time (µs) per claim, its recorded answer included."""
    store = TableStore()
    ledger = make_ledger(store)
    await ledger.start()
    count = int(rate * DURATION_S)
    before, began = store.calls["writes"], time.process_time()
    pending = []
    for number in range(count):
        pending.append(asyncio.create_task(_claim_once(ledger, number, finish=True)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*pending)
    await ledger.close()
    spent = time.process_time() - began
    return (store.calls["writes"] - before) / count, spent / count * 1e6


async def _with_held(held):
    """Return the processor time (µs) and the length (bytes) of one write of a shard that holds ``held`` claims."""
    store = TableStore()
    ledger = make_ledger(store, shards=1)
    await ledger.start()
    for first in range(0, held, FILL_BATCH):
        batch = range(first, min(first + FILL_BATCH, held))
        await asyncio.gather(*(_claim_once(ledger, number, finish=True) for number in batch))
    await asyncio.sleep(2.0)
    writes, size, began = store.calls["writes"], store.bytes_written, time.process_time()
    for number in range(WRITES):
        await _claim_once(ledger, f"more-{number}", finish=False)
    spent = time.process_time() - began
    writes = store.calls["writes"] - writes
    size = store.bytes_written - size
    await ledger.close()
    return spent / writes * 1e6, size / writes


def main():
    """Print the slopes of the ledger."""
    by_rate = [(rate, asyncio.run(_at_rate(rate))) for rate in RATES]
    _print("writes per claim, its recorded answer included", "claims/s", by_rate, 0)
    _print("processor time of one claim, µs", "claims/s", by_rate, 1)
    by_held = [(held, asyncio.run(_with_held(held))) for held in HELD_COUNTS]
    _print("processor time of one shard write, µs", "claims held in the shard", by_held, 0)
    _print("length of one shard write, bytes", "claims held in the shard", by_held, 1)


def _print(quantity, against, points, column):
    points = [(size, values[column]) for size, values in points]
    Slope(role="ledger", quantity=quantity, against=against, points=points).print()


if __name__ == "__main__":
    main()
