"""What became of the claims that this life of this router made.

A router that holds a claim is the only one that knows whether its request was
dispatched. It tells others that ask, and a nonce that was once refused stays refused.
"""

import asyncio

from wagtailtrestle.contracts.ledger_messages import NonceAnswer, NonceState

ENDED_STATES = (NonceState.FINISHED, NonceState.REFUSED, NonceState.UNKNOWN)
MAX_NONCES = 50_000


class NonceEntry:
    """One nonce and what is known of it."""

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
        """Tell an asker."""
        return NonceAnswer(
            state=str(self.state),
            status=self.status,
            content_type=self.content_type,
            body=self.body,
            body_kept=self.body_kept,
        )


class NonceTable:
    """Nonces made here, until their end is in the store or too old to matter.

    Parameters
    ----------
    keep_s : Callable
        How long a nonce is remembered, seconds.
    now : Callable
        The loop's clock.
    """

    __slots__ = ("entries_by_nonce", "_retention_s", "_now")

    def __init__(self, *, retention_s, now):
        self.entries_by_nonce = {}
        self._retention_s = retention_s
        self._now = now

    def begin(self, nonce):
        """Note that a claim with this nonce is under way."""
        self._drop_old()
        self.entries_by_nonce[nonce] = NonceEntry(state=NonceState.CLAIMING, created_at=self._now())

    def win(self, nonce):
        """Let the request be dispatched; ``False`` if the nonce was refused meanwhile."""
        entry = self.entries_by_nonce.get(nonce)
        if entry is None or entry.state is not NonceState.CLAIMING:
            return False
        entry.state = NonceState.RUNNING
        return True

    def refuse(self, nonce):
        """Promise that the request was not dispatched and never will be.

        Another router takes the key over on this promise, so it is final: were a late
        answer of the ledger still to win the claim here, two routers would run the request.
        """
        self._end(nonce, NonceState.REFUSED)

    def mark_unknown(self, nonce):
        """Note that the request was dispatched and its outcome can't be told."""
        self._end(nonce, NonceState.UNKNOWN)

    def finish(self, nonce, *, status, content_type, body, body_kept):
        """Note the answer of the request."""
        entry = self._end(nonce, NonceState.FINISHED)
        entry.status = status
        entry.content_type = content_type
        entry.body = body
        entry.body_kept = body_kept

    def drop(self, nonce):
        """Forget a nonce whose end is in the store."""
        self.entries_by_nonce.pop(nonce, None)

    async def wait(self, nonce, *, wait_s):
        """Answer what became of the nonce, after at most ``wait_s`` if it hasn't ended."""
        entry = self.entries_by_nonce.get(nonce)
        if entry is None:
            # Forgotten is not the same as never dispatched.
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
        horizon = self._now() - self._retention_s()
        while self.entries_by_nonce:
            nonce, entry = next(iter(self.entries_by_nonce.items()))
            if entry.created_at >= horizon and len(self.entries_by_nonce) < MAX_NONCES:
                return
            del self.entries_by_nonce[nonce]
