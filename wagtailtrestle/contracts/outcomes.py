"""Tagged outcomes: the results of operations, as values rather than exceptions."""

from enum import StrEnum

from wagtailtrestle.record import record


class Executed(StrEnum):
    """Whether a request ran, as reported to its caller; ``no`` is a guarantee."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Reason(StrEnum):
    """Why a request got no complete answer; callers receive the value."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NO_ROUTE = "no_route"
    TOO_LARGE = "too_large"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    ROUTER_FULL = "router_full"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENGINE = "no_engine"
    PREEMPTED = "preempted"
    POISONED = "poisoned"
    RETRY_BUDGET = "retry_budget_exhausted"
    ENGINE_LOST = "engine_lost"
    ENGINE_ERROR = "engine_error"
    ANSWER_INCOMPLETE = "answer_incomplete"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    KEY_IN_USE = "idempotency_key_in_use"
    KEY_MISMATCH = "idempotency_key_mismatch"
    CALLER_GONE = "caller_gone"
    QUOTA = "quota_exhausted"
    KEYS_STALE = "keys_stale"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"


@record
class Refusal:
    """Final answer to a caller whose request got no complete answer.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : Reason
    executed : Executed
    detail : str
        One sentence for people to read; never contains a key or a prompt.
    retry_after_s : float or None
        When to retry, computed from the present queue and service rates.
    cause : str
        The figures that led to the refusal and their age; only logged.
    """

    status: int
    reason: Reason
    executed: Executed
    detail: str
    retry_after_s: float | None = None
    cause: str = ""


# Outcomes of one run on one engine.


@record
class RunDone:
    """The engine sent its answer, which was checked to be complete."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@record
class RunRejected:
    """The engine rejected the request: it answered completely, with an HTTP error status of its own."""

    status: int


@record
class RunFailed:
    """The engine ran the request and failed: it answered completely, with a status of its own (5xx)."""

    status: int


@record
class RunNotSent:
    """The request certainly did not run.

    ``arrived`` tells whether it reached an engine, which reported that it did not run; otherwise no byte was sent.
    """

    detail: str
    arrived: bool = False


@record
class RunCut:
    """After bytes were sent, the connection ended or the answer belonged to another run.

    ``reached`` tells whether the engine is known to have started the run.
    """

    detail: str
    output_tokens: int = 0
    reached: bool = False


@record
class RunSilent:
    """No progress within the progress deadline, on a connection that stayed open.

    ``held`` tells whether the engine, when reattached to, confirmed that it has the run queued or running.
    """

    output_tokens: int = 0
    reached: bool = False
    held: bool = False


@record
class RunTooLong:
    """The answer has more bytes than allowed; this process closed the connection."""

    detail: str
    output_tokens: int = 0


@record
class RunDropped:
    """The answer was given up because this process had no memory for the rest of it."""

    detail: str
    output_tokens: int = 0


@record
class RunCancelled:
    """The run ended because this router cancelled it."""

    output_tokens: int = 0


@record
class RunLost:
    """The engine does not know the run that it was to reattach to, as it has restarted."""

    output_tokens: int = 0


RunOutcome = (
    RunDone
    | RunRejected
    | RunFailed
    | RunNotSent
    | RunCut
    | RunSilent
    | RunTooLong
    | RunDropped
    | RunCancelled
    | RunLost
)


# Outcomes of a call to the platform's object API.


@record
class StoreDone:
    """The call succeeded; for a read, ``value`` holds the result."""

    version: int
    value: object = None


@record
class StoreConflict:
    """A conditional write was rejected, as the object is at another version.

    Parameters
    ----------
    version : int or None
    value : object
        The object's present value; ``None`` if the store does not return it.
    """

    version: int | None = None
    value: object = None


@record
class StoreAbsent:
    """The object does not exist."""


@record
class StoreHistoryGone:
    """A watch can't continue from its version, as the store no longer has the changes since: read everything again."""


@record
class StoreUnavailable:
    """The call certainly had no effect: it was never sent, or was rejected."""

    detail: str


@record
class StoreUnknown:
    """The call was sent but not answered: a write may have taken effect."""

    detail: str


StoreOutcome = StoreDone | StoreConflict | StoreAbsent | StoreHistoryGone | StoreUnavailable | StoreUnknown


# Outcomes of a claim on an idempotency key.


@record
class ClaimWon:
    """The claim is stored in the ledger under this nonce: only this request may run."""

    nonce: str


@record
class ClaimTaken:
    """An earlier request holds the key and its outcome can't be determined: report ``unknown``."""

    detail: str


@record
class ClaimFinished:
    """An earlier request with the same key and body has run; the fields are its answer."""

    status: int
    content_type: str
    body: bytes


@record
class ClaimMismatch:
    """The key was used before with another request body."""


@record
class ClaimUnavailable:
    """The ledger can't be reached: the request did not run and will not."""

    detail: str


ClaimOutcome = ClaimWon | ClaimTaken | ClaimFinished | ClaimMismatch | ClaimUnavailable
