"""Cost of the admin HTTP's answers: the state dump by requests held, and the metrics by number of series."""

import asyncio
import json
import time

from wagtailtrestle.observe.metrics import Metrics
from wagtailtrestle.observe.state_dump import plain
from wagtailtrestle.slopes.entry import hold, make_entry
from wagtailtrestle.slopes.slope import Slope

HELD_COUNTS = (0, 200, 1_000, 3_000)
SERIES_COUNTS = (10, 50, 100, 200)
REPEATS = 10


async def _dump_ms(held):
    loop = asyncio.get_running_loop()
    entry, scheduler = make_entry(loop)
    await hold(entry, scheduler, loop, held)
    began = time.process_time()
    for _ in range(REPEATS):
        json.dumps(plain(entry.dump()))
    spent = time.process_time() - began
    await entry.close()
    return spent / REPEATS * 1e3


def _exposition_ms(series):
    metrics = Metrics()
    for number in range(series):
        metrics.observe("total", seconds=0.1 + number / 100, route=f"route-{number}", tier="1")
    began = time.process_time()
    for _ in range(REPEATS):
        metrics.exposition()
    return (time.process_time() - began) / REPEATS * 1e3


def main():
    """Print the slopes of the admin HTTP."""
    Slope(
        role="admin",
        quantity="processor time of one dump of the entry, ms",
        against="requests held",
        points=[(held, asyncio.run(_dump_ms(held))) for held in HELD_COUNTS],
    ).print()
    Slope(
        role="admin",
        quantity="processor time of one exposition of latencies, ms",
        against="series",
        points=[(series, _exposition_ms(series)) for series in SERIES_COUNTS],
    ).print()


if __name__ == "__main__":
    main()
