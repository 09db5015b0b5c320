"""Bounded queue of encoded items to one peer."""

import asyncio

from wagtailtrestle.peers.delays import IMMEDIATE

MAX_BATCH_BYTES = 64 * 1024
MAX_QUEUED_BYTES = 4 * 1024 * 1024


class _Queued:
    """One queued item."""

    __slots__ = ("related_request", "item", "must_send_at", "patience_s", "may_send_at", "size")

    def __init__(self, *, item, size, related_request, delay, now):
        self.item = item
        self.size = size
        self.related_request = related_request
        self.may_send_at = now + delay.ride_after_s
        self.must_send_at = now + delay.leave_within_s
        self.patience_s = delay.patience_s


class Outbox:
    """Items queued for one peer, oldest first.

    An item that only informs may wait for a batch that is sent anyway (``peers.delays``). A
    replaceable item waits longer, and any later item about the same request removes it, so
    an outdated one is never sent after a newer one.

    Parameters
    ----------
    loop : asyncio event loop
    max_bytes : int
        Limit of the queued bytes; an item beyond it is rejected.

    Attributes
    ----------
    queued_bytes : int
    patience_s : float or None
        Time after sending the last batch from which the peer's silence counts; ``None`` if it expects no response.
    """

    __slots__ = (
        "_is_released",
        "_loop",
        "_max_bytes",
        "_number",
        "_queued_by_number",
        "_replaceable_by_request",
        "_timer",
        "_wake",
        "patience_s",
        "queued_bytes",
    )

    def __init__(self, *, loop, max_bytes=MAX_QUEUED_BYTES):
        self._loop = loop
        self._max_bytes = max_bytes
        self._number = 0
        self._queued_by_number = {}
        self._replaceable_by_request = {}
        self._timer = None
        self._wake = asyncio.Event()
        self._is_released = False
        self.patience_s = None
        self.queued_bytes = 0

    def __len__(self):
        return len(self._queued_by_number)

    def put(self, item, *, related_request="", delay=IMMEDIATE):
        """Queue an item; ``False`` if the queue is full.

        Parameters
        ----------
        item : pb.Item
        related_request : str
            ID of the request that the item concerns, if any.
        delay : Delay
        """
        size = item.ByteSize()
        if self.queued_bytes + size > self._max_bytes:
            return False
        now = self._loop.time()
        queued = _Queued(item=item, size=size, related_request=related_request, delay=delay, now=now)
        older = self._replaceable_by_request.pop(related_request, None)
        if older is not None:
            self._supersede(older, queued, delay)
        self._number += 1
        self._queued_by_number[self._number] = queued
        self.queued_bytes += size
        if delay.is_replaceable:
            self._replaceable_by_request[related_request] = self._number
        self._wake_at(queued.must_send_at, now)
        return True

    def _supersede(self, number, newer, delay):
        """Drop a replaceable item. A newer replaceable one inherits its times, so that it isn't postponed forever."""
        older = self._remove(number)
        if delay.is_replaceable:
            newer.may_send_at, newer.must_send_at = older.may_send_at, older.must_send_at

    async def wait(self):
        """Wait until an item must be sent."""
        await self._wake.wait()

    def take_batch(self):
        """Remove and return the oldest items that may be sent now, up to one batch."""
        now = self._loop.time()
        batch, batch_bytes = [], 0
        self.patience_s = None
        for number, queued in list(self._queued_by_number.items()):
            if queued.may_send_at > now and not self._is_released:
                continue
            if batch and batch_bytes + queued.size > MAX_BATCH_BYTES:
                break
            batch.append(self._remove(number).item)
            batch_bytes += queued.size
            self._update_patience(queued.patience_s)
        self._schedule_next_wake(now)
        return batch

    def release(self):
        """Send all items without waiting from now on, as this end closes."""
        self._is_released = True
        if self._queued_by_number:
            self._wake.set()

    def clear(self):
        """Drop all queued items and return their number."""
        dropped = len(self._queued_by_number)
        self._queued_by_number.clear()
        self._replaceable_by_request.clear()
        self.queued_bytes = 0
        self._schedule_next_wake(self._loop.time())
        return dropped

    def _remove(self, number):
        queued = self._queued_by_number.pop(number)
        self.queued_bytes -= queued.size
        if self._replaceable_by_request.get(queued.related_request) == number:
            del self._replaceable_by_request[queued.related_request]
        return queued

    def _update_patience(self, patience_s):
        if patience_s is not None and (self.patience_s is None or patience_s < self.patience_s):
            self.patience_s = patience_s

    # Waking the writer.

    def _schedule_next_wake(self, now):
        """Wake the writer when the next of the remaining items must be sent."""
        self._wake.clear()
        self._cancel_timer()
        if self._queued_by_number:
            self._wake_at(min(queued.must_send_at for queued in self._queued_by_number.values()), now)

    def _wake_at(self, must_send_at, now):
        if must_send_at <= now or self._is_released:
            self._cancel_timer()
            self._wake.set()
        elif not self._wake.is_set() and (self._timer is None or must_send_at < self._timer.when()):
            self._cancel_timer()
            self._timer = self._loop.call_at(must_send_at, self._wake.set)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
