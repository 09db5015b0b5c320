"""Messages between routers about claims on idempotency keys.

Every message is flat (str, int, float, bool, bytes) so that the peer codec carries it as it is.
Any router may be asked to write any shard: who owns it decides only how well writes are batched.
"""

from enum import StrEnum

from wagtailtrestle.record import record


class ClaimState(StrEnum):
    """What is recorded of a claim in its shard."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class ClaimResult(StrEnum):
    """What a shard writer did with a claim."""

    WON = "won"
    HELD = "held"
    UNAVAILABLE = "unavailable"


class NonceState(StrEnum):
    """What became of a nonce on the router that made it."""

    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@record
class ClaimAsk:
    """An entry asks the writer of ``shard`` to put its nonce under ``key``.

    Parameters
    ----------
    shard : str
        Object name, ``shard-NNN``.
    key : str
        Hash of team and idempotency key.
    digest : str
        Digest of the request, to recognise a key used for another one.
    entry, incarnation : str
        The router that made the nonce, and which life of it.
    replaces : str
        A nonce whose router said that it was never dispatched and never will be; empty if none.
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
    """What came of a :class:`ClaimAsk`; the fields after ``detail`` tell the claim that holds the key."""

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
    """The entry tells how the request behind ``nonce`` ended.

    Parameters
    ----------
    state : str
        ``finished``, ``unknown``, or ``refused`` (never dispatched: remove the claim).
    body_kept : bool
        Whether ``body`` is the whole answer.
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
    """Whether the end of the request is now in the store."""

    stored: bool


@record
class NonceAsk:
    """Asks the router named in a claim what became of its nonce.

    Parameters
    ----------
    incarnation : str
        The life of the router that made the nonce; another one knows nothing of it.
    wait_s : float
        How long to wait for its end before answering ``claiming`` or ``running``.
    """

    nonce: str
    incarnation: str
    wait_s: float


@record
class NonceAnswer:
    """What became of the nonce; ``refused`` promises that it will never be dispatched."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


LedgerAsk = ClaimAsk | SettleAsk | NonceAsk
LedgerAnswer = ClaimAnswer | SettleAnswer | NonceAnswer
