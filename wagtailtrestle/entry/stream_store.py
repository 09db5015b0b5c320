"""The versions of running streams in the store, for the case that no router is left that remembers them.

Streams are divided into a fixed number of parts with one object each, which only holds recent streams. A record is a
fact that stays true, so parts may be merged and written by any router; the object's version keeps two writers from
overwriting each other.
"""

import asyncio
import base64
import binascii
import math
import random
from collections import OrderedDict

from loguru import logger

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.peers.codec import is_encodable

PARTS = 4
"""Objects in the store. Each costs up to two writes a second while a service has several versions."""

GATHER_S = 0.05
"""Delay of a write after a quiet time, in which streams that begin together are collected."""

WRITE_INTERVAL_S = 0.5
"""Minimum time between two writes of a part: what began in it is lost if all routers lose power."""

MAX_RETRY_DELAY_S = 4.0
READ_INTERVAL_S = 1.0
"""Minimum time between two reads of a part for streams that are not found in it."""

FAILED_READ_INTERVAL_S = 0.25

CALL_TIMEOUT_S = 1.0
MAX_RECORDS = 49_152
"""Streams in a part, some 11 bytes each in the store; the oldest are dropped first."""

KEY_BYTES = 8


class StreamStore:
    """Writes the versions of streams to the store, and finds those of streams that no router remembers.

    Parameters
    ----------
    store : ObjectStore
    kind : str or None
        ``None`` where the store holds no such records.
    clock : callable
        Returns the loop's time in seconds.
    retention_s : callable
        Returns the time for which a stream's version is kept.
    count : callable
        ``count(name, **labels)`` counts an event.
    jitter : random.Random, optional
    """

    __slots__ = ("_store", "_kind", "_clock", "_retention_s", "_count", "_jitter", "_parts", "_tasks_by_part")

    def __init__(self, *, store, kind, clock, retention_s, count, jitter=None):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._retention_s = retention_s
        self._count = count
        self._jitter = jitter or random.Random()
        self._parts = tuple(_Part(number) for number in range(PARTS))
        self._tasks_by_part = {}

    async def close(self):
        """Stop writing."""
        tasks = list(self._tasks_by_part.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add(self, key, version):
        """Record the version of a stream; it is written soon. Must be called on the running event loop."""
        if self._kind is None:
            return
        part = self._parts[part_of(key)]
        if part.put(key, version, self._clock()):
            part.changed.set()
            if part.number not in self._tasks_by_part:
                self._tasks_by_part[part.number] = create_watched_task(
                    self._keep(part), "a task that stores streams ended"
                )

    async def find(self, key):
        """Find the version of a stream.

        Returns
        -------
        str or None
            Empty if the stream is not stored; ``None`` if the store can't be read, so that it may be stored.
        """
        if self._kind is None:
            return ""
        part = self._parts[part_of(key)]
        if version := part.version_of(key):
            return version
        is_read = await self._read_if_due(part)
        return part.version_of(key) or ("" if is_read else None)

    def write_again(self):
        """Write what this router keeps again, as the store was restored from a backup, which may lack it."""
        for part in self._parts:
            part.stored_version = None
            if part.number in self._tasks_by_part:
                part.changed.set()

    def dump(self):
        """Return plain data for the state dump: streams known by part."""
        return {part.number: len(part.records) for part in self._parts if part.records}

    # Reading.

    async def _read_if_due(self, part):
        """Read a part unless that was done just now; return whether the last read succeeded."""
        async with part.reading:
            if self._clock() >= part.next_read_at:
                part.is_read = await self._read(part)
                part.next_read_at = self._clock() + (READ_INTERVAL_S if part.is_read else FAILED_READ_INTERVAL_S)
                # What a router has read for others only is not dropped by any write.
                asyncio.get_running_loop().call_later(self._retention_s() + 1.0, self._drop_old, part)
            return part.is_read

    def _drop_old(self, part):
        part.drop_older(self._clock() - self._retention_s())

    async def _read(self, part):
        """Merge the stored records into the part; return whether the store answered."""
        outcome = await self._call(self._store.get(kind=self._kind, name=part.name))
        match outcome:
            case StoreDone(version=version, value=value):
                part.merge(_read_records(value), self._clock())
                part.stored_version = version
            case StoreAbsent():
                part.stored_version = 0
            case _:
                logger.bind(part=part.number, detail=outcome.detail).warning(
                    "the versions of streams can't be read from the store"
                )
                return False
        self._count("stream_parts_read")
        return True

    # Writing.

    async def _keep(self, part):
        """Write a part while streams begin, and delete its object once all that it held are old."""
        try:
            await self._write_changes(part)
        finally:
            # Here, so that a stream that begins right after finds no task and starts the next one.
            del self._tasks_by_part[part.number]

    async def _write_changes(self, part):
        delay_s = GATHER_S
        while True:
            try:
                async with asyncio.timeout(self._retention_s()):
                    await part.changed.wait()
            except TimeoutError:
                self._drop_old(part)
                if part.records:
                    continue
                await self._delete(part)
                if not part.changed.is_set():
                    return
            await asyncio.sleep(max(delay_s, part.written_at + WRITE_INTERVAL_S - self._clock()))
            part.changed.clear()
            if await self._write(part):
                delay_s = GATHER_S
            else:
                part.changed.set()
                delay_s = min(MAX_RETRY_DELAY_S, 2.0 * delay_s) * self._jitter.uniform(0.5, 1.0)

    async def _write(self, part):
        """Write the part's records, with those that another router wrote; return whether the store has them."""
        if part.stored_version is None and not await self._read(part):
            return False
        self._drop_old(part)
        value = {"streams": _keys_by_version(part.records)}
        if part.stored_version:
            call = self._store.update(kind=self._kind, name=part.name, value=value, if_version=part.stored_version)
        else:
            call = self._store.create(kind=self._kind, name=part.name, value=value)
        outcome = await self._call(call)
        if not isinstance(outcome, StoreUnavailable):
            # After anything but a success, the object may have changed: it is read again before the next write.
            part.stored_version = outcome.version if isinstance(outcome, StoreDone) else None
        self._count("stream_parts_written", outcome=type(outcome).__name__)
        if not isinstance(outcome, StoreDone):
            return False
        part.written_at = self._clock()
        return True

    async def _delete(self, part):
        if part.stored_version:
            # A conflict means that another router writes the part now.
            await self._call(self._store.delete(kind=self._kind, name=part.name, if_version=part.stored_version))
        part.stored_version = None

    async def _call(self, call):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await call
        except TimeoutError:
            return StoreUnknown(detail=f"no answer in {CALL_TIMEOUT_S} s")


class _Part:
    """Streams that share one object.

    Attributes
    ----------
    records : OrderedDict of int to (str, float)
        Version by key, and when it was last heard of; oldest first.
    stored_version : int or None
        Version of the object in the store, 0 if there is none; ``None`` if it is not known.
    """

    __slots__ = (
        "number",
        "name",
        "records",
        "changed",
        "reading",
        "is_read",
        "next_read_at",
        "stored_version",
        "written_at",
    )

    def __init__(self, number):
        self.number = number
        self.name = f"part-{number}"
        self.records = OrderedDict()
        self.changed = asyncio.Event()
        self.reading = asyncio.Lock()
        self.is_read = False
        self.next_read_at = -math.inf
        self.stored_version = None
        self.written_at = -math.inf

    def put(self, key, version, at):
        """Add a stream, or renew it; return whether it is new."""
        known = self.records.get(key)
        self.records[key] = (version, at)
        self.records.move_to_end(key)
        self._drop_excess()
        return known is None or known[0] != version

    def merge(self, version_by_key, at):
        """Add the streams that are not known yet, as older than the others."""
        records = OrderedDict((key, (version, at)) for key, version in version_by_key.items())
        records.update(self.records)
        self.records = records
        self._drop_excess()

    def version_of(self, key):
        """Return the version of a stream; empty if it is not known."""
        return self.records.get(key, ("", 0.0))[0]

    def drop_older(self, horizon):
        """Drop the streams that were last heard of before ``horizon``."""
        while self.records and next(iter(self.records.values()))[1] < horizon:
            self.records.popitem(last=False)

    def _drop_excess(self):
        while len(self.records) > MAX_RECORDS:
            self.records.popitem(last=False)


def part_of(key):
    """Return the number of the part that holds a stream."""
    return key % PARTS


def _keys_by_version(records):
    keys = {}
    for key, (version, _) in records.items():
        keys.setdefault(version, bytearray()).extend(key.to_bytes(KEY_BYTES, "big"))
    return {version: base64.b64encode(data).decode("ascii") for version, data in keys.items()}


def _read_records(value):
    """Return the version of each stream in an object; empty if it can't be read."""
    streams = value.get("streams") if isinstance(value, dict) else None
    version_by_key = {}
    for version, text in (streams if isinstance(streams, dict) else {}).items():
        if not is_encodable(version):
            continue
        try:
            data = base64.b64decode(text, validate=True)
        except (TypeError, ValueError, binascii.Error):
            continue
        for start in range(0, len(data) - KEY_BYTES + 1, KEY_BYTES):
            version_by_key[int.from_bytes(data[start : start + KEY_BYTES], "big")] = version
    return version_by_key
