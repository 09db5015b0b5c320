"""Status codes and texts of the refusals that end a request without a complete answer."""

from wagtailtrestle.contracts.outcomes import Reason, Refusal

DEFAULT_RETRY_AFTER_S = 1.0

STATUS_BY_REASON = {
    Reason.OVERLOADED: 429,
    Reason.DEADLINE_UNREACHABLE: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.NO_ENGINE: 503,
    Reason.ROUTER_FULL: 503,
    Reason.PREEMPTED: 503,
    Reason.POISONED: 422,
    Reason.RETRY_BUDGET: 503,
    Reason.ENGINE_LOST: 502,
    Reason.ENGINE_ERROR: 502,
    Reason.ANSWER_INCOMPLETE: 502,
    Reason.LEDGER_UNAVAILABLE: 503,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.CALLER_GONE: 499,
    Reason.QUOTA: 429,
    Reason.KEYS_STALE: 503,
    Reason.VERSION_GONE: 503,
    Reason.VERSION_UNKNOWN: 503,
}

DETAIL_BY_REASON = {
    Reason.OVERLOADED: "The service is full with work of this tier or higher.",
    Reason.DEADLINE_UNREACHABLE: "No engine can finish this request within its deadline.",
    Reason.DEADLINE_EXCEEDED: "The deadline passed before the answer was complete.",
    Reason.NO_ENGINE: "No engine of the service takes work at present.",
    Reason.ROUTER_FULL: "This router needed its room for a higher tier.",
    Reason.PREEMPTED: "The run was stopped for a higher tier and could not be resumed in time.",
    Reason.POISONED: "Earlier runs of this request stopped several engines; it is not run again.",
    Reason.RETRY_BUDGET: "The run was lost and the service's retry budget is used up.",
    Reason.ENGINE_LOST: "The engine was lost while the request may have been running.",
    Reason.ENGINE_ERROR: "The engine answered with an error.",
    Reason.ANSWER_INCOMPLETE: "The engine's answer was not complete.",
    Reason.LEDGER_UNAVAILABLE: (
        "The idempotency key could not be recorded, so this sending was not run; an earlier one may have been."
    ),
    Reason.KEY_IN_USE: "An earlier request with this idempotency key may have run; its outcome is not known.",
    Reason.KEY_MISMATCH: "This idempotency key was used before with another request.",
    Reason.CALLER_GONE: "The caller closed the connection.",
    Reason.QUOTA: "The team has used up its quota for now.",
    Reason.KEYS_STALE: "This router can't tell at present whether the key still holds.",
    Reason.VERSION_GONE: "No engine of the software version that began this stream is left.",
    Reason.VERSION_UNKNOWN: "This router can't tell at present which software version began this stream.",
}


def refusal_of(reason, *, executed, retry_after_s=None, status=None, cause=""):
    """Build the refusal for a reason; ``status`` replaces the reason's own status."""
    return Refusal(
        status=status or STATUS_BY_REASON[reason],
        reason=reason,
        executed=executed,
        detail=DETAIL_BY_REASON[reason],
        retry_after_s=retry_after_s or DEFAULT_RETRY_AFTER_S,
        cause=cause,
    )


def rejected_status(status):
    """Pass an engine's 4xx on; replace its 5xx by 502, since the fault is the engine's."""
    return status if 400 <= status < 500 else 502
