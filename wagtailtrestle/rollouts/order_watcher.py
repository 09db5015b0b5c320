"""Watches rollout orders in the platform's store and writes their states back."""

import asyncio
import random

from loguru import logger

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.contracts.outcomes import StoreDone, StoreHistoryGone

WATCH_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
IDLE_POLL_INTERVAL_S = 0.5
"""Interval of checks whether this router needs the orders."""


class OrderWatcher:
    """Reads and watches the orders, and writes the state of each to the store.

    Parameters
    ----------
    store : StatusStore
    adapter : Adapter
        Provides the ``rollout_kind`` and parses its objects.
    is_needed : callable
        Returns whether this router needs the orders.
    on_change : callable
        ``on_change()`` is called on the event loop after each successful response of the store.
    clock : callable
        Event loop time in seconds.
    jitter : random.Random, optional

    Attributes
    ----------
    by_service : dict of str to RolloutOrder
    read_at : float or None
        When the last complete read began.
    """

    __slots__ = (
        "by_service",
        "read_at",
        "_store",
        "_adapter",
        "_is_needed",
        "_on_change",
        "_clock",
        "_jitter",
        "_version",
        "_is_list_due",
        "_wake",
        "_writing_by_service",
        "_task",
    )

    def __init__(self, *, store, adapter, is_needed, on_change, clock, jitter=None):
        self.by_service = {}
        self.read_at = None
        self._store = store
        self._adapter = adapter
        self._is_needed = is_needed
        self._on_change = on_change
        self._clock = clock
        self._jitter = jitter or random.Random()
        self._version = 0
        self._is_list_due = True
        self._wake = asyncio.Event()
        self._writing_by_service = {}
        self._task = None

    def start(self):
        """Start watching; must be called on the running event loop."""
        self._task = create_watched_task(self._follow(), "the task that follows rollout orders ended")

    async def close(self):
        """Stop; a write in flight may have taken effect."""
        tasks = [self._task, *self._writing_by_service.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def read_again(self):
        """Read all orders immediately, interrupting the watch."""
        self._is_list_due = True
        self._wake.set()

    def write_status(self, service, target, state):
        """Write the state of the order for ``target`` to the store; one write per service at a time."""
        order = self.by_service.get(service)
        if order is None or order.target != target or order.state is state or service in self._writing_by_service:
            return
        task = asyncio.get_running_loop().create_task(self._write(order, state))
        self._writing_by_service[service] = task
        task.add_done_callback(lambda _: self._writing_by_service.pop(service, None))

    async def _follow(self):
        retry_s = RETRY_DELAY_S
        while True:
            if not self._is_needed():
                self._is_list_due = True
                await asyncio.sleep(IDLE_POLL_INTERVAL_S)
            elif await self._step():
                retry_s = RETRY_DELAY_S
                self._on_change()
            else:
                await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
                retry_s = min(MAX_RETRY_DELAY_S, 2 * retry_s)

    async def _step(self):
        """Watch or read once; return whether the store answered."""
        if not self._is_list_due:
            outcome = await self._watch()
            if isinstance(outcome, StoreDone):
                self._apply({name: (version, value) for name, version, value in outcome.value})
                self._version = max(self._version, outcome.version)
                return True
            if not isinstance(outcome, StoreHistoryGone) and not self._is_list_due:
                self._is_list_due = True
                return False
        return await self._read()

    async def _read(self):
        began_at = self._clock()
        # Cleared before the read, so that a request for another read meanwhile is not lost.
        self._is_list_due = False
        outcome = await self._store.list(kind=self._adapter.rollout_kind)
        if not isinstance(outcome, StoreDone):
            self._is_list_due = True
            return False
        self.read_at = began_at
        self._version = outcome.version
        gone = {name: (0, None) for name in self.by_service.keys() - outcome.value.keys()}
        self._apply({**gone, **outcome.value})
        return True

    async def _watch(self):
        """Wait for a change; ``None`` if a read is requested meanwhile."""
        self._wake.clear()
        watch = asyncio.create_task(
            self._store.watch(kind=self._adapter.rollout_kind, from_version=self._version, timeout_s=WATCH_TIMEOUT_S)
        )
        woken = asyncio.create_task(self._wake.wait())
        try:
            await asyncio.wait((watch, woken), return_when=asyncio.FIRST_COMPLETED)
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            woken.cancel()

    def _apply(self, found_by_name):
        for name, (version, value) in found_by_name.items():
            order = None if value is None else self._adapter.read_rollout(name, version, value)
            if order is None:
                self.by_service.pop(name, None)
            else:
                self.by_service[name] = order

    async def _write(self, order, state):
        outcome = await self._store.update_status(
            kind=self._adapter.rollout_kind,
            name=order.service,
            value=self._adapter.rollout_status(order.target, state),
            if_version=order.store_version,
        )
        log = logger.bind(service=order.service, target=order.target, state=str(state))
        if isinstance(outcome, StoreDone):
            log.info("rollout state written to the store")
        else:
            log.bind(outcome=type(outcome).__name__).warning("rollout state could not be written to the store")
        # Read back in any case: the response may be lost, or another scheduler may have written.
        self.read_again()
        await asyncio.sleep(RETRY_DELAY_S * self._jitter.uniform(0.5, 1.0))
