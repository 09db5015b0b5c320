"""In-memory ``ObjectStore`` with faults that a test sets as attributes.

It uses only the event loop's clock, so it also works with a paused one.
"""

import asyncio
import json

from wagtailtrestle.contracts.outcomes import StoreConflict, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.membership.vm_list import vm_from_json
from wagtailtrestle.standins.object_table import ObjectTable

SILENT_S = 1e6


class MemoryStore:
    """An object store whose ``table`` may be shared: each store is then one client's view of it.

    Attributes
    ----------
    down : bool
        Every call returns ``StoreUnavailable``.
    refuse_writes : bool
        Writes return ``StoreUnavailable``.
    slow_s : float
        Delay of every call before it takes effect.
    lose_answers : int
        This many next writes take effect and return ``StoreUnknown``.
    lose_requests : int
        This many next writes take no effect and return ``StoreUnknown``.
    stale_versions : int
        Reads return the value of this many writes ago.
    drop_events : bool
        Writes made now are not sent to watches.
    returns_conflicts : bool
        A refused creation returns the existing value.
    silent_watch : bool
        Watches never answer.
    before_write : callable or None
        Called once just before the next write takes effect, to produce races.
    after_write : callable or None
        Called once just after the next write took effect.
    calls : dict of str to int
        Calls by kind: ``reads``, ``writes``, ``watches``.
    """

    def __init__(self, *, table=None):
        self.table = table if table is not None else ObjectTable()
        self.down = False
        self.refuse_writes = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.lose_requests = 0
        self.stale_versions = 0
        self.drop_events = False
        self.returns_conflicts = False
        self.silent_watch = False
        self.before_write = None
        self.after_write = None
        self.vm_lag_s = 0.0
        self.calls = {"reads": 0, "writes": 0, "watches": 0}

    async def get(self, *, kind, name, unless_version=None):
        outcome = await self._read(lambda: self.table.get(kind=kind, name=name, stale_versions=self.stale_versions))
        if isinstance(outcome, StoreDone) and outcome.version == unless_version:
            return StoreDone(version=unless_version)
        return outcome

    async def list(self, *, kind):
        return await self._read(lambda: self.table.list(kind=kind, stale_versions=self.stale_versions))

    async def create(self, *, kind, name, value):
        value = json.loads(json.dumps(value))
        outcome = await self._write(lambda: self.table.create(kind=kind, name=name, value=value, hide=self.drop_events))
        if isinstance(outcome, StoreConflict) and self.returns_conflicts:
            return StoreConflict(version=outcome.version, value=self.table.get(kind=kind, name=name).value)
        return outcome

    async def update(self, *, kind, name, value, if_version):
        value = json.loads(json.dumps(value))
        return await self._write(
            lambda: self.table.update(kind=kind, name=name, value=value, if_version=if_version, hide=self.drop_events)
        )

    async def delete(self, *, kind, name, if_version):
        return await self._write(
            lambda: self.table.delete(kind=kind, name=name, if_version=if_version, hide=self.drop_events)
        )

    async def watch(self, *, kind, from_version, timeout_s):
        self.calls["watches"] += 1
        if self.down:
            return StoreUnavailable(detail="down")
        if self.silent_watch:
            await asyncio.sleep(SILENT_S)
        written = asyncio.Event()
        self.table.listeners.add(written.set)
        try:
            async with asyncio.timeout(timeout_s):
                while not (changes := self.table.changes(kind=kind, from_version=from_version)).value:
                    written.clear()
                    await written.wait()
        except TimeoutError:
            pass
        finally:
            self.table.listeners.discard(written.set)
        return changes

    async def vms(self, *, unless_version=None):
        now = asyncio.get_running_loop().time()
        outcome = await self._read(lambda: self.table.vms(now=now, lag_s=self.vm_lag_s))
        if isinstance(outcome, StoreUnavailable):
            return outcome
        if outcome.version == unless_version:
            return StoreDone(version=unless_version)
        return StoreDone(version=outcome.version, value=tuple(vm_from_json(item) for item in outcome.value))

    def set_vms(self, vms):
        """Replace the true list of VMs (as JSON items)."""
        self.table.set_vms(vms=vms, now=asyncio.get_running_loop().time())

    async def _read(self, read):
        self.calls["reads"] += 1
        if self.down:
            return StoreUnavailable(detail="down")
        await asyncio.sleep(self.slow_s)
        return read()

    async def _write(self, write):
        self.calls["writes"] += 1
        if self.down or self.refuse_writes:
            return StoreUnavailable(detail="down")
        await asyncio.sleep(self.slow_s)
        if self.lose_requests:
            self.lose_requests -= 1
            return StoreUnknown(detail="request lost")
        self._once("before_write")
        outcome = write()
        self._once("after_write")
        if self.lose_answers:
            self.lose_answers -= 1
            return StoreUnknown(detail="answer lost")
        return outcome

    def _once(self, name):
        hook = getattr(self, name)
        setattr(self, name, None)
        if hook:
            hook()
