"""The platform's lagging list of live and leaving VMs, polled, and retained during outages."""

import asyncio
import random

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.contracts.outcomes import StoreDone

DEFAULT_INTERVAL_S = 1.0
JITTER = 0.25
SETTLED_READS = 3
"""Unchanged reads after which the list counts as settled: a lagging replica may repeat itself once or twice."""
ROUTER = "router"
ENGINE = "engine"


class VM:
    """One VM on the platform's list.

    Parameters
    ----------
    id : str
    role : str
        ``router`` or ``engine``.
    zone : str
    address : str
        ``host:port`` of the peers' listener (router) or of the engine.
    admin : str
        URL of the admin HTTP, empty where there is none.
    leaving : bool
    """

    __slots__ = ("id", "role", "zone", "address", "admin", "leaving")

    def __init__(self, *, id, role, zone, address, admin, leaving):
        self.id = id
        self.role = role
        self.zone = zone
        self.address = address
        self.admin = admin
        self.leaving = leaving

    def __eq__(self, other):
        return isinstance(other, VM) and self._fields() == other._fields()

    def __hash__(self):
        return hash(self._fields())

    def __repr__(self):
        return f"VM(id={self.id!r}, role={self.role!r}, address={self.address!r}, leaving={self.leaving})"

    def _fields(self):
        return tuple(getattr(self, name) for name in self.__slots__)


def vm_from_json(item):
    """Build a VM from one entry of the platform's answer."""
    return VM(
        id=item["id"],
        role=item["role"],
        zone=item.get("zone", ""),
        address=item["address"],
        admin=item.get("admin", ""),
        leaving=item.get("state") == "leaving",
    )


class VMList:
    """The platform's last known list, refreshed at a bounded rate.

    The last list is retained during an outage: a platform that does not answer says nothing
    about the VMs, and dropping them would stop all traffic between healthy ones.

    Parameters
    ----------
    store : ObjectStore
    on_change : callable
        ``(by_id)``: called on the loop after each change.
    interval_s : float
        Mean time between reads.
    settled_s : float
        Mean time between reads once the list is settled; 0 to use ``interval_s`` always. Routers that are in
        contact report joins and departures to each other, so a settled list is read only for VMs that no
        router reports.
    jitter : random.Random, optional
    """

    def __init__(self, *, store, on_change, interval_s=DEFAULT_INTERVAL_S, settled_s=0.0, jitter=None):
        self.by_id = {}
        self._store = store
        self._on_change = on_change
        self._interval_s = interval_s
        self._settled_s = max(settled_s, interval_s)
        self._unchanged_reads = 0
        self._jitter = jitter or random.Random()
        self._version = None
        self._last_read = None
        self._last_problem = ""
        self._task = None

    def start(self):
        """Start polling; must be called on the running event loop."""
        self._task = create_watched_task(self._poll(), "the task that reads the list of VMs ended")

    async def close(self):
        """Stop polling; the last list stays readable."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def dump(self):
        """Return the state as a plain dict."""
        now = asyncio.get_running_loop().time()
        return {
            "vms": [{name: getattr(vm, name) for name in VM.__slots__} for vm in self.by_id.values()],
            "read_age_s": None if self._last_read is None else round(now - self._last_read, 3),
            "last_problem": self._last_problem,
            "interval_s": self._interval_s,
        }

    def resume_fast_polling(self):
        """Return to the shorter interval, as the list may have changed without a report from any router."""
        self._unchanged_reads = 0

    async def _poll(self):
        while True:
            await self._read()
            interval_s = self._settled_s if self._unchanged_reads >= SETTLED_READS else self._interval_s
            await asyncio.sleep(interval_s * self._jitter.uniform(1 - JITTER, 1 + JITTER))

    async def _read(self):
        # The complete list at full size is over 100 KB; an unchanged answer costs some 300 bytes.
        outcome = await self._store.vms(unless_version=self._version)
        if not isinstance(outcome, StoreDone):
            self._last_problem = getattr(outcome, "detail", type(outcome).__name__)
            return
        self._last_problem = ""
        self._last_read = asyncio.get_running_loop().time()
        self._version = outcome.version
        self._unchanged_reads += 1
        if outcome.value is None:
            return
        by_id = {vm.id: vm for vm in outcome.value}
        if by_id != self.by_id:
            self._unchanged_reads = 0
            self.by_id = by_id
            self._on_change(by_id)
