"""Time from the acceptance of an apply until it is in force, and time of restarts, with real router processes.

Run with ``python -m wagtailtrestle.measure.configuration_whole``; prints JSON. Routers get configurations from
their peers here; :mod:`wagtailtrestle.measure.configuration_delay` measures without peers.
"""

import asyncio
import json
import tempfile
import time
from collections import Counter
from pathlib import Path

import yaml

from wagtailtrestle.configuration.applying import apply
from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.store.object_store_http import HttpObjectStore

DOCUMENT = "examples/cometas.yaml"
ROUTERS = 9
RESTARTED = "router-1"
APPLIES_WATCHED = 10
APPLIES_SILENT = 8
WAIT_S = 12.0
POLL_INTERVAL_S = 0.02
SETTLE_S = 2.0
IDLE_S = 20.0
OUTAGES = ({"down": "unavailable"}, {"down": "cut"}, {"silent": "all"})


class MeasuredDeployment:
    """A running deployment whose document is applied repeatedly.

    Parameters
    ----------
    deployment : Deployment
    """

    def __init__(self, *, deployment):
        self._deployment = deployment
        self._text = yaml.safe_dump(deployment.document, sort_keys=False)
        self._applies = 0

    def set_faults(self, **faults):
        """Set the platform's faults; faults not named are off."""
        self._deployment.post(f"{self._deployment.platform_url}/faults", faults)

    def apply(self):
        """Apply the document once more and return its generation."""
        self._applies += 1
        outcome = asyncio.run(self._apply(f"{self._text}\n# {self._applies}\n", f"apply-{self._applies}"))
        return outcome.generation

    async def _apply(self, text, apply_id):
        store = HttpObjectStore(url=self._deployment.platform_url)
        store.start()
        try:
            return await apply(store=store, text=text, apply_id=apply_id, clock=time.time)
        finally:
            store.close()

    def delays(self, *, applies, **faults):
        """Return the milliseconds until the last router had each apply in force, and counts by source."""
        most_ms, sources = [], Counter()
        for _ in range(applies):
            time.sleep(SETTLE_S)
            self.set_faults(**faults)
            by_router = self._delay_by_router(self.apply(), time.monotonic())
            self.set_faults()
            sources.update(source for _, source in by_router.values())
            in_force_everywhere = len(by_router) == ROUTERS
            most_ms.append(max(delay_ms for delay_ms, _ in by_router.values()) if in_force_everywhere else None)
        return {"most_ms": most_ms, "sources": dict(sources)}

    def _delay_by_router(self, generation, accepted):
        by_router = {}
        while len(by_router) < ROUTERS and time.monotonic() - accepted < WAIT_S:
            for name in self._deployment.admin_url_by_router.keys() - by_router.keys():
                state = self.configuration_of(name)
                if state["generation"] >= generation:
                    delay_s = time.monotonic() - state["age_s"] - accepted
                    by_router[name] = (round(delay_s * 1000), state["source"])
            time.sleep(POLL_INTERVAL_S)
        return by_router

    def configuration_of(self, name):
        """Return the configuration section of a router's ``/state``."""
        return self._deployment.get(f"{self._deployment.admin_url_by_router[name]}/state")["configuration"]

    def restart_s(self, **faults):
        """Restart a router's process and return the seconds until it is ready."""
        process = self._deployment.routers_by_name[RESTARTED]
        process.stop()
        self.set_faults(**faults)
        began = time.monotonic()
        process.start()
        process.wait_ready()
        ready_s = round(time.monotonic() - began, 2)
        state = self.configuration_of(RESTARTED)
        self.set_faults()
        time.sleep(SETTLE_S)
        return {"faults": faults, "ready_s": ready_s, "is_confirmed": state["is_confirmed"], "source": state["source"]}

    def idle_calls(self):
        """Count the calls on the platform while the deployment is idle."""
        before = self._deployment.get(f"{self._deployment.platform_url}/counts")
        time.sleep(IDLE_S)
        after = self._deployment.get(f"{self._deployment.platform_url}/counts")
        return {"seconds": IDLE_S, **{name: after[name] - before[name] for name in after}}


def main():
    """Start the deployment, measure, print the figures and stop the deployment."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(directory=directory, document=_small_document(), routers=ROUTERS)
        try:
            deployment.start()
            measured = MeasuredDeployment(deployment=deployment)
            measured.apply()
            deployment.wait_routers_ready()
            results = {
                "routers": ROUTERS,
                "watch": measured.delays(applies=APPLIES_WATCHED),
                "silent": measured.delays(applies=APPLIES_SILENT, silent="open"),
                "restarts": [measured.restart_s(**faults) for faults in ({}, *OUTAGES)],
                "idle": measured.idle_calls(),
            }
            print(json.dumps(results, indent=2))
        finally:
            deployment.close()


def _small_document():
    """Return the example with one engine of each service, as engines do not affect these figures."""
    document = yaml.safe_load(Path(DOCUMENT).read_text())
    by_service = {engine["service"]: engine for engine in reversed(document["engines"])}
    document["engines"] = list(by_service.values())
    return document


if __name__ == "__main__":
    main()
