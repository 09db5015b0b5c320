"""Bounded queue of encoded items on their way to one peer."""

import asyncio
from collections import deque

MAX_BATCH_BYTES = 64 * 1024
MAX_QUEUED_BYTES = 4 * 1024 * 1024


class Outbox:
    """Items that wait for a connection to one peer, oldest first.

    Parameters
    ----------
    max_bytes : int
        Bound of what is queued; an item beyond it is not taken.
    """

    __slots__ = ("_items", "_max_bytes", "_wake", "queued_bytes")

    def __init__(self, *, max_bytes=MAX_QUEUED_BYTES):
        self._items = deque()
        self._max_bytes = max_bytes
        self._wake = asyncio.Event()
        self.queued_bytes = 0

    def __len__(self):
        return len(self._items)

    def put(self, item):
        """Queue an item; ``False`` if the queue is full."""
        size = item.ByteSize()
        if self.queued_bytes + size > self._max_bytes:
            return False
        self._items.append((item, size))
        self.queued_bytes += size
        self._wake.set()
        return True

    async def wait(self):
        """Wait until there is an item."""
        await self._wake.wait()

    def take(self):
        """Remove and return the oldest items, up to one batch."""
        batch = []
        batch_bytes = 0
        while self._items and (not batch or batch_bytes + self._items[0][1] <= MAX_BATCH_BYTES):
            item, size = self._items.popleft()
            batch.append(item)
            batch_bytes += size
        self.queued_bytes -= batch_bytes
        if not self._items:
            self._wake.clear()
        return batch

    def clear(self):
        """Drop everything queued; return how many items that was."""
        dropped = len(self._items)
        self._items.clear()
        self.queued_bytes = 0
        self._wake.clear()
        return dropped
