"""Writes ledger shards: group commit by conditional update, within a budget of writes.

Safety depends on the conditional update alone, whichever router writes: a request is answered
only from a version that was read back or that this write certainly created. Two writers of one
shard, a paused writer or a lost answer cause conflicts and reads, never a second run.
"""

import asyncio
import random

from wagtailtrestle.contracts.ledger_messages import ClaimAnswer, ClaimAsk, ClaimResult
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.ledger.record import LEDGER_KIND, ShardContents

STORE_TIMEOUT_S = 2.0
LINGER_S = 0.25
MAX_ATTEMPTS = 8
MAX_CONFLICT_BACKOFF_S = 0.01
NEVER_WRITTEN = 0


async def with_timeout(call, *, timeout_s=STORE_TIMEOUT_S):
    """Await a store call with a timeout; a call that times out may still take effect."""
    try:
        return await asyncio.wait_for(call, timeout=timeout_s)
    except TimeoutError:
        return StoreUnknown(detail=f"no answer from the store within {timeout_s} s")


class WriteRateLimiter:
    """Limits the rate of one router's ledger writes.

    Writers collect further requests while they wait, so the number of writes per claim falls as
    load grows and the platform's write budget is kept.

    Parameters
    ----------
    writes_per_s : Callable
        Returns this router's current share of the budget.
    burst : int
        Writes that may start immediately after an idle period.
    """

    __slots__ = ("_writes_per_s", "_burst", "_free_at")

    def __init__(self, *, writes_per_s, burst=10):
        self._writes_per_s = writes_per_s
        self._burst = burst
        self._free_at = 0.0

    async def turn(self):
        """Wait until a write may start."""
        now = asyncio.get_running_loop().time()
        step = 1.0 / self._writes_per_s()
        self._free_at = max(self._free_at + step, now - self._burst * step)
        if self._free_at > now:
            await asyncio.sleep(self._free_at - now)


class PendingRequest:
    """A request that waits for its shard's next write."""

    __slots__ = ("request", "answered")

    def __init__(self, *, request, answered):
        self.request = request
        self.answered = answered

    def resolve(self, answer):
        """Set the answer, unless the requester no longer waits."""
        if not self.answered.done():
            self.answered.set_result(answer)


class ShardWriter:
    """Writes one shard; a write starts only after the previous one has ended.

    Parameters
    ----------
    shard : str
        Object name.
    store : ObjectStore
    rate_limiter : WriteRateLimiter
    wall_clock : Callable
        Seconds, comparable between VMs; used only to date and prune claims.
    retention_s : Callable
        How long a claim is kept.
    """

    __slots__ = (
        "writes",
        "reads",
        "claims",
        "_shard",
        "_store",
        "_rate_limiter",
        "_wall_clock",
        "_retention_s",
        "_pending",
        "_urgent",
        "_task",
        "_contents",
        "_version",
    )

    def __init__(self, *, shard, store, rate_limiter, wall_clock, retention_s):
        self.writes = 0
        self.reads = 0
        self.claims = 0
        self._shard = shard
        self._store = store
        self._rate_limiter = rate_limiter
        self._wall_clock = wall_clock
        self._retention_s = retention_s
        self._pending = []
        self._urgent = asyncio.Event()
        self._task = None
        self._contents = None
        self._version = NEVER_WRITTEN

    async def claim(self, request, *, timeout_s):
        """Write a claim; after ``unavailable`` it may or may not be stored, so its request must not run."""
        self.claims += 1
        try:
            return await asyncio.wait_for(self._submit(request, urgent=True), timeout=timeout_s)
        except TimeoutError:
            return _unavailable("the platform's store did not answer in time")

    async def settle(self, request, *, urgent=False):
        """Record the end of a request with the next write; return ``True`` once it is stored."""
        return await self._submit(request, urgent=urgent)

    def invalidate(self):
        """Discard the cached contents, so that the shard is read again before the next write."""
        self._contents = None

    async def close(self):
        """Stop writing; waiting claims are answered ``unavailable``, waiting settlements ``False``."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._fail(self._pending, "the router is closing")
        self._pending = []

    def dump(self):
        """Plain data for the state dump."""
        contents = self._contents
        return {
            "shard": self._shard,
            "version": self._version,
            "claims_held": len(contents.records_by_key) if contents else None,
            "bytes": contents.size if contents else None,
            "waiting": len(self._pending),
            "writes": self.writes,
            "reads": self.reads,
        }

    def _submit(self, request, *, urgent):
        answered = asyncio.get_running_loop().create_future()
        self._pending.append(PendingRequest(request=request, answered=answered))
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._write_all())
        return answered

    async def _write_all(self):
        while self._pending:
            await self._linger()
            await self._rate_limiter.turn()
            self._urgent.clear()
            batch = [pending for pending in self._pending if not pending.answered.done()]
            self._pending = []
            try:
                await self._write(batch)
            finally:
                self._fail(batch, "the shard's writer stopped")

    async def _linger(self):
        """Delay a write without claims for up to ``LINGER_S``, so that a claim can share it."""
        if self._urgent.is_set():
            return
        try:
            await asyncio.wait_for(self._urgent.wait(), timeout=LINGER_S)
        except TimeoutError:
            return

    async def _write(self, batch):
        just_read = False
        for _ in range(MAX_ATTEMPTS):
            if self._contents is None:
                detail = await self._read()
                if detail is not None:
                    self._fail(batch, detail)
                    return
                just_read = True
            contents = self._contents.copy()
            contents.prune(now=self._wall_clock(), retention_s=self._retention_s())
            answers = [contents.apply(pending.request, now=self._wall_clock()) for pending in batch]
            if False in answers and not just_read:
                # Another writer may have stored the claim to settle: the cached version does not
                # prove that it is missing.
                self._contents = None
                continue
            outcome = await self._update(contents)
            match outcome:
                case StoreDone(version=version):
                    self._keep(contents, version)
                    self._answer(batch, answers)
                    return
                case StoreUnavailable(detail=detail):
                    self._fail(batch, detail)
                    return
                case _:
                    # A conflict or no answer: the write may have taken effect or may do so
                    # later. Reading back shows it; a write that lands later conflicts with the
                    # next one or the reverse, since both name the version they replace.
                    self._contents = None
                    await asyncio.sleep(MAX_CONFLICT_BACKOFF_S * random.random())
        self._fail(batch, "the platform's store did not confirm the write")

    async def _read(self):
        """Read the shard; return an error text, or ``None`` on success."""
        self.reads += 1
        outcome = await with_timeout(self._store.get(kind=LEDGER_KIND, name=self._shard))
        match outcome:
            case StoreDone(version=version, value=value):
                self._keep(ShardContents.from_value(value), version)
            case StoreAbsent():
                self._keep(ShardContents(), NEVER_WRITTEN)
            case _:
                return getattr(outcome, "detail", "the platform's store gave no usable answer")
        return None

    async def _update(self, contents):
        if not contents.changed:
            return StoreDone(version=self._version)
        self.writes += 1
        value = contents.to_value()
        if self._version == NEVER_WRITTEN:
            return await with_timeout(self._store.create(kind=LEDGER_KIND, name=self._shard, value=value))
        return await with_timeout(
            self._store.update(kind=LEDGER_KIND, name=self._shard, value=value, if_version=self._version)
        )

    def _keep(self, contents, version):
        contents.changed = False
        self._contents = contents
        self._version = version

    def _answer(self, batch, answers):
        for pending, answer in zip(batch, answers, strict=True):
            pending.resolve(answer)

    def _fail(self, batch, detail):
        for pending in batch:
            pending.resolve(_unavailable(detail) if isinstance(pending.request, ClaimAsk) else False)


def _unavailable(detail):
    return ClaimAnswer(result=str(ClaimResult.UNAVAILABLE), detail=detail)
