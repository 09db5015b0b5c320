"""The ledger of idempotency keys: at most one run per key, whichever routers it is sent to.

Both sides are here: the entry's, which claims a key before its request is dispatched, and
the shard owner's, which batches the claims of many entries into one conditional update.
The owner only saves writes: every router may write every shard, and a claim counts only
when its nonce is proved to be in the store.
"""

import asyncio
import time

from wagtailtrestle.contracts.ledger_messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimResult,
    ClaimState,
    NonceAnswer,
    NonceAsk,
    NonceState,
    SettleAnswer,
    SettleAsk,
)
from wagtailtrestle.contracts.outcomes import (
    ClaimFinished,
    ClaimMismatch,
    ClaimTaken,
    ClaimUnavailable,
    ClaimWon,
    StoreAbsent,
    StoreDone,
)
from wagtailtrestle.ledger.nonces import NonceTable
from wagtailtrestle.ledger.record import LEDGER_KIND, MAX_BODY_BYTES, ShardContents, key_hash, shard_name
from wagtailtrestle.ledger.shard import ShardWriter, WriteRateLimiter, with_timeout

LAYOUT_NAME = "layout"
CLAIM_WAIT_S = 10.0
WRITE_TIMEOUT_S = 2.5
HOLDER_LONG_POLL_S = 5.0
HOLDER_MARGIN_S = 1.0
READ_MARGIN_S = 0.5
MAX_HOLDER_TIMEOUTS = 2
MAX_TAKEOVERS = 4
SETTLE_TIMEOUT_S = 4.0
SETTLE_RETRY_DELAY_S = 1.0
MAX_SETTLE_RETRY_DELAY_S = 30.0
MAX_RELEASE_ATTEMPTS = 2
CLOSE_TIMEOUT_S = 5.0
LEDGER_WRITES_PER_S = 200.0
UNANSWERED = NonceAnswer(state="")


class Ledger:
    """Implements :class:`wagtailtrestle.contracts.ports.Claims` and answers other routers' requests.

    Parameters
    ----------
    name, incarnation : str
        This router and the id of this process's lifetime; an incarnation is never reused.
    store : ObjectStore
    owner_of : Callable
        Maps a shard's name to the router that batches its writes; returns an empty string if unknown.
    query_peer : Callable
        Coroutine function ``query_peer(peer, message, timeout_s)`` that returns the peer's answer, or
        any other value if none arrived in time.
    shards : Callable
        Declared number of shards; used only to create the ledger's layout.
    retention_s : Callable
        Declared retention time of claims.
    live_routers : Callable
        Number of live routers, among which the write budget is divided.
    wall_clock : Callable
        Seconds, comparable between VMs.
    """

    def __init__(
        self,
        *,
        name,
        incarnation,
        store,
        owner_of,
        query_peer,
        shards,
        retention_s,
        live_routers=lambda: 1,
        wall_clock=time.time,
    ):
        self.name = name
        self.incarnation = incarnation
        self._store = store
        self._owner_of = owner_of
        self._query_peer = query_peer
        self._shards = shards
        self._retention_s = retention_s
        self._wall_clock = wall_clock
        self._rate_limiter = WriteRateLimiter(writes_per_s=lambda: LEDGER_WRITES_PER_S / max(live_routers(), 1))
        self._writers_by_shard = {}
        self._nonces = NonceTable(ttl_s=retention_s, now=lambda: asyncio.get_running_loop().time())
        self._settling_by_nonce = {}
        self._layout = None
        self._layout_detail = ""

    # The entry's side: implementation of the port Claims.

    async def claim(self, *, team, key, body_digest, nonce, wait_s=CLAIM_WAIT_S):
        """Claim a key; see :class:`wagtailtrestle.contracts.ports.Claims`."""
        self._nonces.begin(nonce)
        outcome = ClaimUnavailable(detail="the claim was abandoned")
        try:
            outcome = await self._claim(key_hash(team=team, key=key), body_digest, nonce, wait_s)
        finally:
            # Also when cancelled: a write in flight may still put the nonce into the store.
            # A router that finds it there learns from this one that it was never dispatched.
            if isinstance(outcome, ClaimUnavailable):
                self.release(team=team, key=key, nonce=nonce)
        if not isinstance(outcome, ClaimWon):
            self._nonces.refuse(nonce)
        elif not self._nonces.win(nonce):
            return ClaimUnavailable(detail="the claim was abandoned meanwhile")
        return outcome

    def release(self, *, team, key, nonce):
        """Release a claim whose request was never dispatched."""
        self._nonces.refuse(nonce)
        self._settle(team, key, nonce, state=NonceState.REFUSED, attempts=MAX_RELEASE_ATTEMPTS)

    def finish(self, *, team, key, nonce, status, content_type, body):
        """Record the answer; a body over ``MAX_BODY_BYTES`` is not kept."""
        body_kept = len(body) <= MAX_BODY_BYTES
        answer = dict(status=status, content_type=content_type, body=body if body_kept else b"", body_kept=body_kept)
        self._nonces.finish(nonce, **answer)
        self._settle(team, key, nonce, state=NonceState.FINISHED, **answer)

    def finish_unknown(self, *, team, key, nonce):
        """Record that the request was dispatched and its outcome is unknown."""
        self._nonces.mark_unknown(nonce)
        self._settle(team, key, nonce, state=NonceState.UNKNOWN)

    # The owner's and the holder's side.

    async def handle(self, message):
        """Answer another router's request."""
        match message:
            case ClaimAsk():
                return await self._writer(message.shard).claim(message, timeout_s=WRITE_TIMEOUT_S)
            case SettleAsk():
                return SettleAnswer(stored=await self._writer(message.shard).settle(message))
            case NonceAsk(incarnation=self.incarnation):
                return await self._nonces.wait(message.nonce, wait_s=message.wait_s)
            case NonceAsk():
                return NonceAnswer(state=str(NonceState.UNKNOWN))

    async def start(self):
        """Read or create the layout; if the platform is unavailable, the first claim tries again."""
        await self._shard_of("0" * 8)

    async def close(self):
        """Wait for pending settlements to reach the store, then stop."""
        settling = list(self._settling_by_nonce.values())
        if settling:
            await asyncio.wait(settling, timeout=CLOSE_TIMEOUT_S)
        for task in settling:
            task.cancel()
        await asyncio.gather(*settling, return_exceptions=True)
        for writer in self._writers_by_shard.values():
            await writer.close()

    def dump(self):
        """Plain data for the state dump."""
        return {
            "shards_in_force": self._layout,
            "shards_declared": self._shards(),
            "nonces": len(self._nonces.entries_by_nonce),
            "settling": len(self._settling_by_nonce),
            "writers": [writer.dump() for writer in self._writers_by_shard.values()],
        }

    # Claiming.

    async def _claim(self, key, digest, nonce, wait_s):
        deadline = _now() + wait_s
        shard = await self._shard_of(key)
        if shard is None:
            return ClaimUnavailable(detail=self._layout_detail)
        replaces = ""
        for _ in range(MAX_TAKEOVERS):
            request = ClaimAsk(
                shard=shard,
                key=key,
                digest=digest,
                nonce=nonce,
                entry=self.name,
                incarnation=self.incarnation,
                replaces=replaces,
            )
            answer = await self._write(request, deadline)
            if answer.result == ClaimResult.WON:
                return ClaimWon(nonce=nonce)
            if answer.result == ClaimResult.UNAVAILABLE:
                return ClaimUnavailable(detail=answer.detail)
            outcome = await self._resolve_held_key(answer, request, deadline)
            if outcome is not None:
                return outcome
            replaces = answer.nonce
        return ClaimTaken(detail="other requests claim this key at the same moment")

    async def _write(self, request, deadline):
        """Send the claim to the shard's owner; if that fails, write it here."""
        owner = self._owner_of(request.shard)
        timeout_s = min(WRITE_TIMEOUT_S, deadline - _now())
        writer = self._writer(request.shard)
        if owner == self.name:
            return await writer.claim(request, timeout_s=timeout_s)
        if owner:
            answer = await self._query_peer(owner, request, timeout_s)
            if isinstance(answer, ClaimAnswer) and answer.result != ClaimResult.UNAVAILABLE:
                return answer
        # The owner may be dead, paused or partitioned, before or after its write. Reading the
        # shard shows which: if it holds this nonce the claim is won, else it is written here.
        timeout_s = min(WRITE_TIMEOUT_S, deadline - _now())
        if timeout_s <= 0:
            return ClaimAnswer(result=str(ClaimResult.UNAVAILABLE), detail="no answer from the ledger in time")
        writer.invalidate()
        return await writer.claim(request, timeout_s=timeout_s)

    async def _resolve_held_key(self, held, request, deadline):
        """Return the outcome of a re-send whose key another request holds; ``None`` if it may be taken over."""
        if held.digest != request.digest:
            return ClaimMismatch()
        if held.state == ClaimState.CLAIMED:
            reported = await self._query_holder(held, deadline)
            if reported.state == NonceState.REFUSED:
                return None
            if reported.state in (NonceState.FINISHED, NonceState.UNKNOWN) and reported.body_kept:
                return _finished_claim(reported)
            if reported.state in (NonceState.CLAIMING, NonceState.RUNNING):
                return ClaimTaken(detail="the earlier request has not ended yet")
            held = await self._read_again(held, request, deadline)
        if held.state == ClaimState.FINISHED and held.body_kept:
            return _finished_claim(held)
        if held.state == ClaimState.FINISHED:
            return ClaimTaken(detail="the earlier request ran to its end; its answer was not kept")
        return ClaimTaken(detail="the earlier request's outcome is unknown")

    async def _query_holder(self, held, deadline):
        """Query the router that holds the key, with long polls that wait there for the outcome."""
        # All queries, including the final read of the store, must end before the deadline. Otherwise
        # the caller of this method times out first and reports "not run" for a key known to be held.
        answered_by = deadline - READ_MARGIN_S
        last_end = answered_by - HOLDER_MARGIN_S
        timeouts = 0
        while timeouts < MAX_HOLDER_TIMEOUTS and _now() < answered_by:
            wait_s = max(min(last_end - _now(), HOLDER_LONG_POLL_S), 0.0)
            request = NonceAsk(nonce=held.nonce, incarnation=held.incarnation, wait_s=wait_s)
            if held.entry == self.name:
                reported = await self.handle(request)
            else:
                reported = await self._query_peer(
                    held.entry, request, min(wait_s + HOLDER_MARGIN_S, answered_by - _now())
                )
            if not isinstance(reported, NonceAnswer):
                timeouts += 1
            elif reported.state not in (NonceState.CLAIMING, NonceState.RUNNING) or _now() >= last_end:
                return reported
        return UNANSWERED

    async def _read_again(self, held, request, deadline):
        """Read the store again: the holder may have recorded the outcome before it stopped."""
        timeout_s = max(deadline - _now(), 0.0)
        outcome = await with_timeout(self._store.get(kind=LEDGER_KIND, name=request.shard), timeout_s=timeout_s)
        if not isinstance(outcome, StoreDone):
            return held
        record = ShardContents.from_value(outcome.value).records_by_key.get(request.key)
        return record.answer(ClaimResult.HELD) if record is not None and record.nonce == held.nonce else held

    # Settlement of ended requests.

    def _settle(self, team, key, nonce, *, state, attempts=None, **answer):
        if nonce in self._settling_by_nonce:
            return
        task = asyncio.get_running_loop().create_task(
            self._settle_with_retries(team, key, nonce, str(state), attempts, answer)
        )
        self._settling_by_nonce[nonce] = task
        task.add_done_callback(lambda _: self._settling_by_nonce.pop(nonce, None))

    async def _settle_with_retries(self, team, key, nonce, state, attempts, answer):
        """Settle a claim, retrying until it is stored or its retention time is over."""
        hashed = key_hash(team=team, key=key)
        retry_deadline = _now() + self._retention_s()
        delay_s = SETTLE_RETRY_DELAY_S
        while attempts != 0 and _now() < retry_deadline:
            shard = await self._shard_of(hashed)
            if shard and await self._try_settle(SettleAsk(shard=shard, key=hashed, nonce=nonce, state=state, **answer)):
                if state != NonceState.REFUSED:
                    self._nonces.drop(nonce)
                return
            attempts = None if attempts is None else attempts - 1
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_SETTLE_RETRY_DELAY_S)

    async def _try_settle(self, request):
        owner = self._owner_of(request.shard)
        if owner and owner != self.name:
            answer = await self._query_peer(owner, request, SETTLE_TIMEOUT_S)
            if isinstance(answer, SettleAnswer) and answer.stored:
                return True
        return await self._writer(request.shard).settle(request)

    # Shards.

    def _writer(self, shard):
        writer = self._writers_by_shard.get(shard)
        if writer is None:
            writer = self._writers_by_shard[shard] = ShardWriter(
                shard=shard,
                store=self._store,
                rate_limiter=self._rate_limiter,
                wall_clock=self._wall_clock,
                retention_s=self._retention_s,
            )
        return writer

    async def _shard_of(self, key):
        if self._layout is None:
            self._layout = await self._read_layout()
        return None if self._layout is None else shard_name(key=key, shards=self._layout)

    async def _read_layout(self):
        """Read the number of shards in force; if there is none yet, create it as declared.

        Two routers with different numbers in force would look for one key in two shards, and
        it would run twice. The number is therefore stored next to the shards, not taken from
        the declaration that a router happens to have.
        """
        outcome = await with_timeout(self._store.get(kind=LEDGER_KIND, name=LAYOUT_NAME))
        if isinstance(outcome, StoreAbsent):
            layout = {"shards": self._shards()}
            await with_timeout(self._store.create(kind=LEDGER_KIND, name=LAYOUT_NAME, value=layout))
            # Created here or by another router, or the answer was lost: the stored layout counts.
            outcome = await with_timeout(self._store.get(kind=LEDGER_KIND, name=LAYOUT_NAME))
        if isinstance(outcome, StoreDone):
            return outcome.value["shards"]
        self._layout_detail = getattr(outcome, "detail", "the ledger's layout could not be read")
        return None


def _now():
    return asyncio.get_running_loop().time()


def _finished_claim(reported):
    return ClaimFinished(status=reported.status, content_type=reported.content_type, body=reported.body)
