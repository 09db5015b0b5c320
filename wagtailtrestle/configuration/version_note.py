"""The notes in the store of the services that have had several software versions recently.

A router that starts knows only the versions that are listed now. Routers that kept running know the rest, but none
does when all start together. Without a note, the version that is listed is the only one that there was.
"""

import asyncio

from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone

CHECK_INTERVAL_S = 1.0
READ_TIMEOUT_S = 0.5


class VersionNote:
    """Reads the notes while this router's history is too short, and writes those of the services that it schedules.

    Parameters
    ----------
    store : ObjectStore
    kind : str or None
        ``None`` where the store holds no such notes.
    history : VersionHistory
    own_services : callable
        Returns the services that this router schedules.
    """

    __slots__ = ("_store", "_kind", "_history", "_own_services", "_noted_by_service", "_writers", "_task")

    def __init__(self, *, store, kind, history, own_services):
        self._store = store
        self._kind = kind
        self._history = history
        self._own_services = own_services
        self._noted_by_service = {}
        self._writers = frozenset()
        self._task = None

    def start(self):
        """Start the task that writes; must be called on the running event loop."""
        if self._kind is not None:
            self._task = asyncio.get_running_loop().create_task(self._write_changes())

    async def close(self):
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def confirms(self, *, service, version):
        """Whether no other version of the service than this one is noted; ``False`` if the store doesn't answer."""
        if self._kind is None:
            return False
        noted = await self._noted(service)
        return noted is not None and noted[1] <= {version}

    async def _noted(self, service):
        """Return the object's version and the noted versions, read at most once; ``None`` if that is not possible."""
        if service not in self._noted_by_service:
            try:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    outcome = await self._store.get(kind=self._kind, name=service)
            except TimeoutError:
                return None
            if isinstance(outcome, StoreAbsent):
                self._noted_by_service[service] = (0, frozenset())
            elif isinstance(outcome, StoreDone):
                self._noted_by_service[service] = (outcome.version, _read_versions(outcome.value))
        return self._noted_by_service.get(service)

    async def _write_changes(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            own = frozenset(self._own_services())
            for service in own - self._writers:
                # Another router may have written since this one last read.
                self._noted_by_service.pop(service, None)
            self._writers = own
            for service in own:
                await self._write_if_changed(service)

    async def _write_if_changed(self, service):
        versions = frozenset(self._history.versions(service))
        if len(versions) < 2 and not self._history.covers_retention:
            return
        noted = await self._noted(service)
        if noted is None:
            return
        number, noted_versions = noted
        if not self._history.covers_retention:
            versions |= noted_versions
        if versions == noted_versions or len(versions | noted_versions) < 2:
            return
        await self._write(service, number, versions)

    async def _write(self, service, number, versions):
        value = {"versions": sorted(versions)}
        if number:
            outcome = await self._store.update(kind=self._kind, name=service, value=value, if_version=number)
        else:
            outcome = await self._store.create(kind=self._kind, name=service, value=value)
        if isinstance(outcome, StoreDone):
            self._noted_by_service[service] = (outcome.version, versions)
        elif isinstance(outcome, StoreConflict | StoreAbsent):
            self._noted_by_service.pop(service, None)


def _read_versions(value):
    versions = value.get("versions") if isinstance(value, dict) else None
    if not isinstance(versions, list):
        return frozenset()
    return frozenset(version for version in versions if isinstance(version, str))
