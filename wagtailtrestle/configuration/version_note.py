"""The notes in the store of the software versions that each service has had recently.

A router that starts knows only the versions that are listed now. Routers that kept running know the rest, but none
does when all start together: engines may have been replaced by ones of another version while no router ran. The note
then tells which versions may have begun the streams of before. Without a note nothing is known.
"""

import asyncio
import math

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone
from wagtailtrestle.record import record

CHECK_INTERVAL_S = 1.0
READ_TIMEOUT_S = 0.5
READ_INTERVAL_S = 1.0
"""Minimum time between two reads of a note that does not confirm what this router knows."""
FAILED_READ_INTERVAL_S = 0.25


@record
class Noted:
    """A note as it was read or written.

    Parameters
    ----------
    number : int
        Version of the object; 0 if there is none.
    versions : frozenset of str
    epoch : int or None
        Epoch of the store in which it was written; ``None`` if it can't be read.
    """

    number: int
    versions: frozenset
    epoch: int | None


class VersionNote:
    """Reads the notes while this router's history is too short, and writes those of the services that it schedules.

    Parameters
    ----------
    store : ObjectStore
    kind : str or None
        ``None`` where the store holds no such notes.
    history : VersionHistory
    own_services : callable
        Returns the services with resumable streams that this router schedules.
    epoch : StoreEpoch
    clock : callable
        Returns the loop's time in seconds.
    on_check : callable, optional
        Called after each look at the notes that this router writes: :meth:`unnoted` may have changed.
    """

    __slots__ = (
        "_on_check",
        "_store",
        "_kind",
        "_history",
        "_own_services",
        "_epoch",
        "_clock",
        "_read_by_service",
        "_reading_by_service",
        "_noted_by_service",
        "_known_by_service",
        "_writers",
        "_changed",
        "_task",
    )

    def __init__(self, *, store, kind, history, own_services, epoch, clock, on_check=lambda: None):
        self._store = store
        self._kind = kind
        self._history = history
        self._own_services = own_services
        self._epoch = epoch
        self._clock = clock
        self._on_check = on_check
        self._read_by_service = {}
        self._reading_by_service = {}
        self._noted_by_service = {}
        self._known_by_service = {}
        self._writers = frozenset()
        self._changed = asyncio.Event()
        self._task = None

    def start(self):
        """Start the task that writes; must be called on the running event loop."""
        if self._kind is not None:
            self._task = create_watched_task(self._write_changes(), "the task that notes versions ended")

    async def close(self):
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def refresh(self):
        """Write the notes soon, as the list of engines or the services that this router schedules may have changed."""
        self._changed.set()

    def unnoted(self, service):
        """Return the versions of a service that the note, as last written or read by its writer, does not name.

        A stream that begins at one of them could be taken for one of the versions that are named, if all routers
        are lost before the note is written.
        """
        noted = self._noted_by_service.get(service)
        if noted is None or not noted.number or noted.epoch != self._epoch.number:
            return frozenset()
        return self._history.versions(service) - noted.versions

    async def confirms(self, *, service, version, max_age_s=math.inf):
        """Whether the note names this version of the service alone; ``False`` if there is none, or no answer.

        Parameters
        ----------
        service, version : str
        max_age_s : float
            Time for which a note that was read before counts.
        """
        if self._kind is None:
            return False
        # One read at a time: after all routers have restarted, many streams are resumed at once.
        async with self._reading_by_service.setdefault(service, asyncio.Lock()):
            read_at, noted = self._read_by_service.get(service, (-math.inf, None))
            age_s = self._clock() - read_at
            is_confirmed = self._is_confirmed(noted, version)
            if age_s >= (max_age_s if is_confirmed else self._min_read_interval_s(noted, max_age_s)):
                noted = await self._read(service)
                self._read_by_service[service] = (self._clock(), noted)
        return self._is_confirmed(noted, version)

    @staticmethod
    def _min_read_interval_s(noted, max_age_s):
        return FAILED_READ_INTERVAL_S if noted is None else min(READ_INTERVAL_S, max_age_s)

    def _is_confirmed(self, noted, version):
        return noted is not None and noted.epoch == self._epoch.number and noted.versions == {version}

    async def _read(self, service):
        """Return the note, or ``None`` if the store doesn't answer."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                outcome = await self._store.get(kind=self._kind, name=service)
        except TimeoutError:
            return None
        match outcome:
            case StoreAbsent():
                return Noted(number=0, versions=frozenset(), epoch=None)
            case StoreDone(version=number, value=value):
                return _noted(number, value)
        return None

    async def _write_changes(self):
        while True:
            await self._wait_for_change()
            own = frozenset(self._own_services())
            for service in own - self._writers:
                # Another router may have written since this one last read.
                self._noted_by_service.pop(service, None)
            self._writers = own
            for service in own:
                await self._write_if_changed(service)
            self._on_check()

    async def _wait_for_change(self):
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            pass
        self._changed.clear()

    async def _write_if_changed(self, service):
        listed = frozenset(self._history.versions(service))
        if not listed:
            return
        noted = self._noted_by_service.get(service) or await self._read(service)
        if noted is None:
            return
        self._noted_by_service[service] = noted
        versions = self._versions_to_note(service, listed, noted)
        if versions is None:
            return
        self._known_by_service[service] = versions
        if versions != noted.versions or noted.epoch != self._epoch.number:
            await self._write(service, noted.number, versions)

    def _versions_to_note(self, service, listed, noted):
        """Return the versions that may have begun a stream, or ``None`` while that is not known."""
        if self._history.covers_retention:
            return listed
        if noted.number and noted.epoch == self._epoch.number:
            return listed | noted.versions
        if service in self._known_by_service or not noted.number:
            # No stream began before the first note of a service.
            return listed | self._known_by_service.get(service, frozenset())
        # The store was restored from a backup while no router ran: the note may lack versions.
        return None

    async def _write(self, service, number, versions):
        epoch = self._epoch.number
        value = {"versions": sorted(versions), "epoch": epoch}
        if number:
            outcome = await self._store.update(kind=self._kind, name=service, value=value, if_version=number)
        else:
            outcome = await self._store.create(kind=self._kind, name=service, value=value)
        if isinstance(outcome, StoreDone):
            self._noted_by_service[service] = Noted(number=outcome.version, versions=versions, epoch=epoch)
        elif isinstance(outcome, StoreConflict | StoreAbsent):
            self._noted_by_service.pop(service, None)


def _noted(number, value):
    """Return the note in an object that another writer may have changed."""
    versions = value.get("versions") if isinstance(value, dict) else None
    if not isinstance(versions, list) or not all(isinstance(version, str) for version in versions):
        return Noted(number=number, versions=frozenset(), epoch=None)
    epoch = value.get("epoch")
    return Noted(number=number, versions=frozenset(versions), epoch=epoch if isinstance(epoch, int) else None)
