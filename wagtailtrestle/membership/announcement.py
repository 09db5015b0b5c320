"""Announces this router's address in the platform's store, for platforms that do not list the routers."""

import asyncio
import random

from loguru import logger

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.contracts.outcomes import StoreConflict, StoreDone

ANNOUNCING_FAILED = "the task that announces this router ended"
RETRY_S = 0.3
MAX_RETRY_S = 2.0
REANNOUNCE_SPREAD_S = 0.6
"""Time over which routers spread the rewriting of their entries after a store restore, so that hundreds of them don't
write at the same moment."""
WITHDRAW_TIMEOUT_S = 1.0
"""Longest time that a leaving router spends on deleting its entry: the others detect its end by their
heartbeats anyway."""


class Announcement:
    """Store entry of this router.

    Parameters
    ----------
    store : ObjectStore
    kind, name : str
    value : dict
    jitter : random.Random, optional
    epoch : StoreEpoch, optional
        The entry is written again after the store was restored from a backup, which may lack it.
    """

    __slots__ = ("_store", "_kind", "_name", "_value", "_version", "_jitter", "_task", "_is_withdrawn")

    def __init__(self, *, store, kind, name, value, jitter=None, epoch=None):
        self._is_withdrawn = False
        if epoch is not None:
            epoch.on_restore(self._reannounce)
        self._store = store
        self._kind = kind
        self._name = name
        self._value = value
        self._version = None
        self._jitter = jitter or random.Random()
        self._task = None

    def start(self):
        """Write the entry, retrying until the store has accepted it."""
        self._task = create_watched_task(self._announce(), ANNOUNCING_FAILED)

    async def close(self):
        """Stop retrying. The entry stays for the next process of the same name."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def withdraw(self):
        """Delete the entry when the router leaves."""
        self._is_withdrawn = True
        await self.close()
        if self._version is None:
            return
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self._store.delete(kind=self._kind, name=self._name, if_version=self._version)
        except TimeoutError:
            logger.warning("entry of this router remains in the store: no answer within {} s", WITHDRAW_TIMEOUT_S)

    def _reannounce(self):
        if self._task is None or self._is_withdrawn:
            return
        self._task.cancel()
        after_s = REANNOUNCE_SPREAD_S * self._jitter.random()
        self._task = create_watched_task(self._announce(after_s=after_s), ANNOUNCING_FAILED)

    async def _announce(self, *, after_s=0.0):
        await asyncio.sleep(after_s)
        retry_s = RETRY_S
        while not await self._write():
            await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, 2 * retry_s)

    async def _write(self):
        """Write once. Return whether the entry is known to hold the right value."""
        outcome = await self._store.create(kind=self._kind, name=self._name, value=self._value)
        match outcome:
            case StoreDone(version=version):
                self._version = version
                return True
            case StoreConflict(version=version, value=value):
                return await self._replace(version, value)
        return False

    async def _replace(self, version, value):
        # The entry is that of an earlier process of this name, or our own after a lost answer. It is read only if
        # the conflict didn't include its value: hundreds of routers may start at once, and each would read.
        if value is None:
            found = await self._store.get(kind=self._kind, name=self._name)
            if not isinstance(found, StoreDone):
                return False
            version, value = found.version, found.value
        self._version = version
        if value == self._value:
            return True
        outcome = await self._store.update(kind=self._kind, name=self._name, value=self._value, if_version=version)
        if isinstance(outcome, StoreDone):
            self._version = outcome.version
            return True
        return False
