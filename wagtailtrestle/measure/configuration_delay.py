"""Time from the acceptance of an apply until the generation is in force, without help from peers.

Run with ``python -m wagtailtrestle.measure.configuration_delay``; prints JSON. The stand-in platform is a
process; the keepers, one :class:`Configuration` each, reach it over HTTP. No peer answers, so each figure is
that of the watch or of polling alone.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path

import urllib3
import yaml
from hdrh.histogram import HdrHistogram

from wagtailtrestle.configuration.applying import Applied, apply
from wagtailtrestle.configuration.configuration import Configuration, PeersAnswer
from wagtailtrestle.contracts.declaration import Declaration
from wagtailtrestle.demo.processes import LocalProcess
from wagtailtrestle.standins.local_ports import reserve_ports
from wagtailtrestle.store.object_store_http import HttpObjectStore

HOST = "127.0.0.1"
KEEPERS = 9
APPLIES_WATCHED = 30
APPLIES_SILENT = 10
WAIT_S = 10.0
SETTLE_S = 0.5
LARGEST_US = 60_000_000
DIGITS = 3


class Fleet:
    """Keepers (:class:`Configuration`) of one deployment, and the times at which they put a generation in force.

    Parameters
    ----------
    url : str
        URL of the platform.
    """

    def __init__(self, *, url):
        self.url = url
        self.stores = [HttpObjectStore(url=url) for _ in range(KEEPERS)]
        self.in_force_times = []
        self.keepers = [self._make_keeper(store) for store in self.stores]

    def _make_keeper(self, store):
        return Configuration(
            store=store,
            parse=_parse,
            on_change=lambda in_force: self.in_force_times.append(time.monotonic()),
            query_peers=_no_peers,
        )

    def start(self):
        """Start every store and keeper."""
        for store, keeper in zip(self.stores, self.keepers, strict=True):
            store.start()
            keeper.start()

    async def close(self):
        """Close every keeper and store."""
        for store, keeper in zip(self.stores, self.keepers, strict=True):
            await keeper.close()
            store.close()

    async def delay_s(self, number):
        """Apply once; return the time until the last keeper has it in force, or ``None`` if over ``WAIT_S``."""
        self.in_force_times.clear()
        operator = HttpObjectStore(url=self.url)
        operator.start()
        outcome = await apply(store=operator, text=str(number), apply_id=f"apply-{number}", clock=time.time)
        accepted = time.monotonic()
        operator.close()
        if not isinstance(outcome, Applied):
            return None
        while len(self.in_force_times) < KEEPERS:
            if time.monotonic() - accepted > WAIT_S:
                return None
            await asyncio.sleep(0.001)
        return max(max(self.in_force_times) - accepted, 0.0)


async def measure(url):
    """Measure with a working watch, then with every open connection silent."""
    fleet = Fleet(url=url)
    fleet.start()
    await asyncio.sleep(SETTLE_S)
    watched = [await fleet.delay_s(number) for number in range(APPLIES_WATCHED)]
    silent = []
    for number in range(APPLIES_SILENT):
        await asyncio.sleep(SETTLE_S)
        _set_faults(url, silent="open")
        silent.append(await fleet.delay_s(APPLIES_WATCHED + number))
        _set_faults(url)
    counts = urllib3.request("GET", f"{url}/counts").json()
    await fleet.close()
    return {"keepers": KEEPERS, "watch": _summary(watched), "watch_silent": _summary(silent), "platform_calls": counts}


def _summary(delays_s):
    histogram = HdrHistogram(1, LARGEST_US, DIGITS)
    for delay_s in delays_s:
        if delay_s is not None:
            histogram.record_value(max(int(delay_s * 1e6), 1))
    return {
        "applies": len(delays_s),
        "not_in_force": delays_s.count(None),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "max_ms": histogram.get_max_value() / 1000,
    }


def _set_faults(url, **faults):
    urllib3.request("POST", f"{url}/faults", json=faults)


def _parse(text):
    empty = {"zones_by_region": {}, "tiers_by_name": {}, "teams_by_name": {}}
    return Declaration(organisation=text, services_by_name={}, engines_by_name={}, **empty)


async def _no_peers(generation, preferred_peer):
    return PeersAnswer()


def main():
    """Start the platform, measure, print the figures and stop the platform."""
    reservation = reserve_ports(1)
    address = f"{HOST}:{reservation.ports[0]}"
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "platform.yaml"
        settings.write_text(yaml.safe_dump({"listen": address}))
        platform = LocalProcess(
            name="platform",
            module="wagtailtrestle.cli.standin",
            arguments=("platform", "--settings", str(settings)),
            ready_url=f"http://{address}/healthz",
            log_path=Path(directory) / "platform.log",
        )
        platform.start()
        try:
            platform.wait_ready()
            print(json.dumps(asyncio.run(measure(f"http://{address}")), indent=2))
        finally:
            platform.terminate()
            platform.stop()
            reservation.close()


if __name__ == "__main__":
    main()
