"""Cost of the control traffic of requests between an entry and its schedulers, in two processes.

There is no data path and there are no heartbeats: the figures cover the request for a slot, its
grant, and the reports on the run. Relays between the two processes count the bytes.
"""

import asyncio
import json
import sys

from wagtailtrestle.slopes.counting_relay import CountingRelay
from wagtailtrestle.slopes.slope import Slope

ROLE = "control"
RATES = (0, 5, 15, 30)
SCHEDULERS = 30
# The required full load: 1.9 million tokens a second over 5,800 requests a second, 37 ms a token.
RUN_S = 12.0
SETTLE_S = 3.0
MEASURED_S = 10.0
# An IPv4 and a TCP header with timestamps. Counted twice, as each segment is acknowledged by one without payload.
SEGMENT_HEADER_BYTES = 52


class Cost:
    """Cost of the control traffic at one rate of requests."""

    __slots__ = ("entry_ms", "scheduler_ms", "bytes_per_s", "segments_per_s", "batches", "items", "wait_ms")

    def __init__(self, *, before, after, requests, elapsed_s, payload, segments):
        entry_before, schedulers_before = before
        entry_after, schedulers_after = after
        self.entry_ms = _increase(entry_before, entry_after, "processor_s") / elapsed_s * 1e3
        self.scheduler_ms = _increase(schedulers_before, schedulers_after, "processor_s") / elapsed_s * 1e3
        self.bytes_per_s = payload / elapsed_s
        self.segments_per_s = segments / elapsed_s
        each = max(requests, 1)
        self.batches = sum(_increase(one, other, "batches") for one, other in zip(before, after, strict=True)) / each
        self.items = sum(_increase(one, other, "items") for one, other in zip(before, after, strict=True)) / each
        self.wait_ms = entry_after["wait_ms"]


def _increase(before, after, name):
    return after[name] - before[name]


class ControlNode:
    """A :mod:`wagtailtrestle.slopes.control_node` process."""

    __slots__ = ("_process",)

    async def start(self, kind, **settings):
        """Start the process and send it its settings."""
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wagtailtrestle.slopes.control_node", kind),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.send(settings)

    def send(self, values):
        """Send one line of JSON."""
        self._process.stdin.write(json.dumps(values).encode() + b"\n")

    async def receive(self):
        """Wait for one line of JSON."""
        return json.loads(await self._process.stdout.readline())

    async def figures(self):
        """Request the figures since the start."""
        self.send({})
        return await self.receive()

    async def close(self):
        """Kill the process."""
        self._process.kill()
        await self._process.wait()


async def cost(*, rate, schedulers=SCHEDULERS, run_s=RUN_S, measured_s=MEASURED_S):
    """Measure the cost of ``rate`` requests a second, each with a run of ``run_s``, spread over ``schedulers``."""
    schedulers_node, entry = ControlNode(), ControlNode()
    await schedulers_node.start("schedulers", schedulers=schedulers)
    addresses_by_name = await schedulers_node.receive()
    relays_by_name = {name: CountingRelay(target=address) for name, address in addresses_by_name.items()}
    for relay in relays_by_name.values():
        await relay.start()
    relayed = {name: relay.address for name, relay in relays_by_name.items()}
    schedulers_node.send(relayed)
    await entry.start("entry", addresses_by_name=relayed, rate=rate, run_s=run_s)
    try:
        await asyncio.sleep(SETTLE_S + run_s)
        return await _measure_cost(entry, schedulers_node, relays_by_name.values(), measured_s)
    finally:
        for each in (entry, schedulers_node, *relays_by_name.values()):
            closing = each.close()
            if closing is not None:
                await closing


async def _measure_cost(entry, schedulers_node, relays, measured_s):
    before = (await entry.figures(), await schedulers_node.figures())
    for relay in relays:
        relay.reset()
    await asyncio.sleep(measured_s)
    payload = sum(relay.bytes_passed for relay in relays)
    segments = sum(relay.segments for relay in relays)
    after = (await entry.figures(), await schedulers_node.figures())
    return Cost(
        before=before,
        after=after,
        requests=_increase(before[0], after[0], "finished"),
        elapsed_s=_increase(before[0], after[0], "at"),
        payload=payload,
        segments=segments,
    )


def _print(quantity, costs, value):
    points = [(rate, value(cost)) for rate, cost in costs]
    Slope(role=ROLE, quantity=quantity, against="requests/s", points=points).print()


async def _measure(rates):
    costs = [(rate, await cost(rate=rate)) for rate in rates]
    _print("processor time of the entry's side, ms a second", costs, lambda cost: cost.entry_ms)
    _print("processor time of the schedulers' side, ms a second", costs, lambda cost: cost.scheduler_ms)
    _print("bytes a second both ways, without TCP/IP headers", costs, lambda cost: cost.bytes_per_s)
    _print(
        "bytes a second both ways, TCP/IP headers and acknowledgements added",
        costs,
        lambda cost: cost.bytes_per_s + cost.segments_per_s * 2 * SEGMENT_HEADER_BYTES,
    )
    _print("batches per request, both sides", costs, lambda cost: cost.batches)
    _print("messages per request, both sides", costs, lambda cost: cost.items)
    _print("median wait for a slot, ms", costs, lambda cost: cost.wait_ms)


def main(*rates):
    """Print the slopes of the control traffic."""
    asyncio.run(_measure([float(rate) for rate in rates] or RATES))


if __name__ == "__main__":
    main(*sys.argv[1:])
