"""States of the claims made by this incarnation of this router.

Only the router that holds a claim knows whether its request was dispatched. It answers
other routers' queries about that, and a nonce that was once refused stays refused.
"""

import asyncio

from wagtailtrestle.contracts.ledger_messages import NonceAnswer, NonceState

ENDED_STATES = (NonceState.FINISHED, NonceState.REFUSED, NonceState.UNKNOWN)
MAX_NONCES = 50_000


class NonceEntry:
    """State of one nonce and the recorded answer."""

    __slots__ = ("state", "created_at", "ended", "status", "content_type", "body", "body_kept")

    def __init__(self, *, state, created_at):
        self.state = state
        self.created_at = created_at
        self.ended = asyncio.Event()
        self.status = 0
        self.content_type = ""
        self.body = b""
        self.body_kept = False

    def answer(self):
        """Return the answer to a query for this nonce."""
        return NonceAnswer(
            state=str(self.state),
            status=self.status,
            content_type=self.content_type,
            body=self.body,
            body_kept=self.body_kept,
        )


class NonceTable:
    """Nonces of this router, until they are settled in the store or their retention time is over.

    Parameters
    ----------
    ttl_s : Callable
        How long a nonce is kept, seconds.
    now : Callable
        Event loop time in seconds.
    """

    __slots__ = ("entries_by_nonce", "_ttl_s", "_now")

    def __init__(self, *, ttl_s, now):
        self.entries_by_nonce = {}
        self._ttl_s = ttl_s
        self._now = now

    def begin(self, nonce):
        """Register a nonce whose claim is in progress."""
        self._drop_old()
        self.entries_by_nonce[nonce] = NonceEntry(state=NonceState.CLAIMING, created_at=self._now())

    def win(self, nonce):
        """Mark the request as running; return ``False`` if the nonce was refused meanwhile."""
        entry = self.entries_by_nonce.get(nonce)
        if entry is None or entry.state is not NonceState.CLAIMING:
            return False
        entry.state = NonceState.RUNNING
        return True

    def refuse(self, nonce):
        """Guarantee that the request was not dispatched and never will be.

        Another router takes the key over on this guarantee, so it is final: if a late answer
        of the ledger could still win the claim here, two routers would run the request.
        """
        self._end(nonce, NonceState.REFUSED)

    def mark_unknown(self, nonce):
        """Mark the request as dispatched with unknown outcome."""
        self._end(nonce, NonceState.UNKNOWN)

    def finish(self, nonce, *, status, content_type, body, body_kept):
        """Mark the request as finished and record its answer."""
        entry = self._end(nonce, NonceState.FINISHED)
        entry.status = status
        entry.content_type = content_type
        entry.body = body
        entry.body_kept = body_kept

    def drop(self, nonce):
        """Delete a nonce that is settled in the store."""
        self.entries_by_nonce.pop(nonce, None)

    async def wait(self, nonce, *, wait_s):
        """Wait up to ``wait_s`` for the nonce to end, and return its state."""
        entry = self.entries_by_nonce.get(nonce)
        if entry is None:
            # A deleted nonce may have been dispatched, so it is not reported as refused.
            return NonceAnswer(state=str(NonceState.UNKNOWN))
        try:
            await asyncio.wait_for(entry.ended.wait(), timeout=wait_s)
        except TimeoutError:
            pass
        return entry.answer()

    def _end(self, nonce, state):
        entry = self.entries_by_nonce.get(nonce)
        if entry is None:
            entry = self.entries_by_nonce[nonce] = NonceEntry(state=state, created_at=self._now())
        if entry.state not in ENDED_STATES:
            entry.state = state
        entry.ended.set()
        return entry

    def _drop_old(self):
        horizon = self._now() - self._ttl_s()
        while self.entries_by_nonce:
            nonce, entry = next(iter(self.entries_by_nonce.items()))
            if entry.created_at >= horizon and len(self.entries_by_nonce) < MAX_NONCES:
                return
            del self.entries_by_nonce[nonce]
