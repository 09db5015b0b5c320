"""Messages between routers about claims on idempotency keys.

Every message is flat (str, int, float, bool, bytes), so that the peer codec encodes it without conversion.
Any router can write any shard: which router owns a shard only affects how well writes are batched.
"""

from enum import StrEnum

from wagtailtrestle.record import record


class ClaimState(StrEnum):
    """State of a claim as stored in its shard."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class ClaimResult(StrEnum):
    """Result of a claim at the shard writer."""

    WON = "won"
    HELD = "held"
    UNAVAILABLE = "unavailable"


class NonceState(StrEnum):
    """State of a nonce on the router that created it."""

    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@record
class ClaimAsk:
    """Request from an entry to the writer of ``shard`` to store a nonce under ``key``.

    Sent before a request with an idempotency key is dispatched.

    Parameters
    ----------
    shard : str
        Object name, ``shard-NNN``.
    key : str
        Hash of team and idempotency key.
    digest : str
        Digest of the request, to detect a key reused for another request.
    entry, incarnation : str
        The router that created the nonce, and the incarnation of its process.
    replaces : str
        A nonce whose router confirmed that it never was and never will be dispatched; empty if none.
    """

    shard: str
    key: str
    digest: str
    nonce: str
    entry: str
    incarnation: str
    replaces: str = ""


@record
class ClaimAnswer:
    """Answer to :class:`ClaimAsk`; the fields after ``detail`` describe the claim that holds the key."""

    result: str
    detail: str = ""
    nonce: str = ""
    digest: str = ""
    entry: str = ""
    incarnation: str = ""
    state: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@record
class SettleAsk:
    """Request from an entry to the shard's writer to store how the request with ``nonce`` ended.

    Parameters
    ----------
    state : str
        ``finished``, ``unknown``, or ``refused`` (never dispatched: remove the claim).
    body_kept : bool
        Whether ``body`` is the complete answer.
    """

    shard: str
    key: str
    nonce: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@record
class SettleAnswer:
    """Answer to :class:`SettleAsk`: whether the request's end is now in the store."""

    stored: bool


@record
class NonceAsk:
    """Query to the router named in a claim about the state of its nonce.

    Sent when a request finds its idempotency key claimed already.

    Parameters
    ----------
    incarnation : str
        Incarnation of the router that created the nonce; no other incarnation knows of it.
    wait_s : float
        How long to wait for the request's end before answering ``claiming`` or ``running``.
    """

    nonce: str
    incarnation: str
    wait_s: float


@record
class NonceAnswer:
    """Answer to :class:`NonceAsk`; ``refused`` guarantees that the nonce will never be dispatched."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


LedgerAsk = ClaimAsk | SettleAsk | NonceAsk
LedgerAnswer = ClaimAnswer | SettleAnswer | NonceAnswer
