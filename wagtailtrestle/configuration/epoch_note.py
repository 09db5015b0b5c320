"""The fleet's note, in the store itself, of the last epoch that it knew for long enough.

A router that starts can't tell whether the store has just come back from a copy. Peers that stayed tell it; where
all start at once, as after a loss of power, nobody can. A note that names the present epoch can't be in a copy from
before it, so whoever finds one need not wait until operators could have written again what the copy lacks.
"""

import asyncio

from wagtailtrestle.configuration.store_epoch import StoreEpoch
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreDone
from wagtailtrestle.membership.announcement import Announcement

NOTE_NAME = "main"
PEER_GRACE_S = 0.1
"""A peer's word mostly comes within so long, and spares the read."""
CHECK_INTERVAL_S = 1.0
"""Between two looks at whether the epoch has lasted, and whether this router is to write it down."""


class EpochNote:
    """Reads the note where this router can't tell by itself, and writes it for all.

    Parameters
    ----------
    store : ObjectStore
    kind : str
    epoch : StoreEpoch
    is_writer : callable
        Whether this router is one that reads the store for all others.
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
        "_has_begun",
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
        self._has_begun = asyncio.Event()
        epoch.on_begin(self._has_begun.set)

    def start(self):
        """Begin to follow the epoch; must be called on the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._follow())

    async def close(self):
        """Stop."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._announcement is not None:
            await self._announcement.close()

    async def _follow(self):
        while True:
            await self._has_begun.wait()
            self._has_begun.clear()
            await asyncio.sleep(PEER_GRACE_S)
            while self._written_epoch != self._epoch.number and not self._has_begun.is_set():
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
