"""The note in the store that names the last epoch the fleet considered settled.

A router that starts can't know whether the store has just been restored from a backup. Routers that kept running
report it, but none does when all start together, as after a power failure. A backup made before an epoch can't hold a
note of that epoch, so a router that reads a note of the present epoch need not wait until operators could have written
again what the backup lacks.
"""

import asyncio

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.configuration.store_epoch import StoreEpoch
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreDone
from wagtailtrestle.membership.announcement import Announcement

NOTE_NAME = "main"
PEER_GRACE_S = 0.1
"""A peer's report usually arrives within this time and makes the read unnecessary."""
CHECK_INTERVAL_S = 1.0
"""Interval between checks whether the epoch is settled, and whether this router has to write the note."""


class EpochNote:
    """Reads the note while this router can't determine whether the epoch is settled, and writes it for all routers.

    Parameters
    ----------
    store : ObjectStore
    kind : str
    epoch : StoreEpoch
    is_writer : callable
        Returns whether this router writes the note, as the readers of the store do.
    """

    __slots__ = (
        "_store",
        "_kind",
        "_epoch",
        "_is_writer",
        "_read_epoch",
        "_written_epoch",
        "_announcement",
        "_task",
        "_has_new_epoch",
    )

    def __init__(self, *, store, kind, epoch: StoreEpoch, is_writer):
        self._store = store
        self._kind = kind
        self._epoch = epoch
        self._is_writer = is_writer
        self._read_epoch = 0
        self._written_epoch = 0
        self._announcement = None
        self._task = None
        self._has_new_epoch = asyncio.Event()
        epoch.on_begin(self._has_new_epoch.set)

    def start(self):
        """Start the task that follows the epoch; must be called on the running event loop."""
        self._task = create_watched_task(self._follow(), "the task that notes the store's epoch ended")

    async def close(self):
        """Stop the task and the write of the note."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._announcement is not None:
            await self._announcement.close()

    async def _follow(self):
        while True:
            await self._has_new_epoch.wait()
            self._has_new_epoch.clear()
            await asyncio.sleep(PEER_GRACE_S)
            while self._written_epoch != self._epoch.number and not self._has_new_epoch.is_set():
                await self._step(self._epoch.number)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _step(self, number):
        if not self._epoch.is_settled:
            if self._read_epoch != number:
                await self._read(number)
        elif self._is_writer():
            await self._write(number)

    async def _read(self, number):
        outcome = await self._store.get(kind=self._kind, name=NOTE_NAME)
        if isinstance(outcome, StoreDone | StoreAbsent) and self._epoch.number == number:
            self._read_epoch = number
        if isinstance(outcome, StoreDone) and _noted_epoch(outcome.value) == self._epoch.number:
            self._written_epoch = self._epoch.number
            self._epoch.mark_settled()

    async def _write(self, number):
        if self._announcement is not None:
            await self._announcement.close()
        self._written_epoch = number
        self._announcement = Announcement(store=self._store, kind=self._kind, name=NOTE_NAME, value={"epoch": number})
        self._announcement.start()


def _noted_epoch(value):
    return value.get("epoch") if isinstance(value, dict) else None
