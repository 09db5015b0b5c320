"""One request's claim on its idempotency key, from before its dispatch until its end is recorded."""

import asyncio

from wagtailtrestle.contracts.outcomes import ClaimUnavailable, ClaimWon, Executed

CLAIM_TIMEOUT_S = 10.0
CLAIM_MARGIN_S = 0.5


class RequestClaim:
    """The claim of one request; has no effect for a request that needs none.

    Parameters
    ----------
    request : CallerRequest
    claims : Claims
    remaining : Callable
        Seconds left to the request's deadline.
    """

    __slots__ = ("_request", "_claims", "_remaining", "_is_won")

    def __init__(self, *, request, claims, remaining):
        self._request = request
        self._claims = claims
        self._remaining = remaining
        self._is_won = False

    @property
    def is_needed(self):
        """Whether the claim must be won before the request is dispatched."""
        return bool(self._request.at_most_once and self._request.idempotency_key)

    async def win(self):
        """Claim the key; this request may run only if the outcome is ``ClaimWon``."""
        outcome = await self._claim_within_deadline()
        self._is_won = isinstance(outcome, ClaimWon)
        return outcome

    def finish(self, ended):
        """Record a complete answer."""
        if self._is_won:
            self._claims.finish(
                **self._claim_identity(), status=ended.status, content_type=ended.content_type, body=ended.body
            )

    def give_up(self, executed):
        """Record that there is no complete answer; a request that never ran releases its key."""
        if not self._is_won:
            return
        if executed is Executed.NO:
            self._claims.release(**self._claim_identity())
        else:
            self._claims.finish_unknown(**self._claim_identity())

    async def _claim_within_deadline(self):
        # The ledger must answer within the deadline itself, since only it knows whether an earlier
        # request holds the key. If the wait timed out here, a resent request would be refused as
        # not executed while the first run of its key goes on.
        claim = self._claims.claim(
            **self._claim_identity(),
            body_digest=self._request.body_digest,
            wait_s=min(max(self._remaining() - CLAIM_MARGIN_S, 0.0), CLAIM_TIMEOUT_S),
        )
        try:
            return await asyncio.wait_for(claim, timeout=max(self._remaining(), 0.0))
        except TimeoutError:
            self._claims.release(**self._claim_identity())
            return ClaimUnavailable(detail="no answer from the ledger within the deadline")

    def _claim_identity(self):
        request = self._request
        return {"team": request.team, "key": request.idempotency_key, "nonce": request.request_id}
