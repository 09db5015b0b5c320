"""RFC 9457 problem documents built from a ``Refusal``."""

import json
import math
from http import HTTPStatus

from wagtailtrestle.contracts.outcomes import Reason, Refusal

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:wagtailtrestle:refusal:"
REQUEST_ID_HEADER = "Wagtailtrestle-Request-Id"
EXECUTED_HEADER = "Wagtailtrestle-Executed"
RETRY_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})
MIN_RETRY_AFTER_S = 1

TITLE_BY_REASON = {
    Reason.BAD_REQUEST: "The request is malformed",
    Reason.UNAUTHENTICATED: "No known key was given",
    Reason.FORBIDDEN: "The team may not do this",
    Reason.NO_ROUTE: "No declared route matches",
    Reason.TOO_LARGE: "The request is too large",
    Reason.NOT_READY: "This router is not ready yet",
    Reason.DRAINING: "This router is leaving",
    Reason.ROUTER_FULL: "This router holds as many requests as it can",
    Reason.OVERLOADED: "Demand exceeds capacity",
    Reason.DEADLINE_UNREACHABLE: "The deadline cannot be met",
    Reason.DEADLINE_EXCEEDED: "The deadline has passed",
    Reason.NO_ENGINE: "No engine can take the request",
    Reason.PREEMPTED: "The run was stopped for a higher tier",
    Reason.POISONED: "Requests like this one have crashed engines",
    Reason.RETRY_BUDGET: "The service's retries are used up",
    Reason.ENGINE_LOST: "The engine was lost during the run",
    Reason.ENGINE_ERROR: "The engine answered with an error",
    Reason.ANSWER_INCOMPLETE: "The engine's answer was not whole",
    Reason.LEDGER_UNAVAILABLE: "The ledger of idempotency keys is unavailable",
    Reason.KEY_IN_USE: "The idempotency key is in use",
    Reason.KEY_MISMATCH: "The idempotency key belongs to another request",
    Reason.CALLER_GONE: "The caller closed its connection",
    Reason.QUOTA: "The team's quota is used up",
    Reason.KEYS_STALE: "Keys can't be checked at present",
    Reason.VERSION_GONE: "No engine of the stream's version is left",
    Reason.VERSION_UNKNOWN: "The stream's version is not known",
}


def retry_after_seconds(refusal: Refusal) -> int | None:
    """Return the seconds for ``Retry-After``, rounded up so that no caller retries too early."""
    if refusal.status not in RETRY_STATUSES:
        return None
    estimate = refusal.retry_after_s or 0.0
    return max(MIN_RETRY_AFTER_S, math.ceil(estimate))


def problem_document(*, refusal: Refusal, request_id: str) -> dict:
    """Return the members of the problem document."""
    document = {
        "type": TYPE_PREFIX + refusal.reason.value,
        "title": TITLE_BY_REASON[refusal.reason],
        "status": int(refusal.status),
        "detail": refusal.detail,
        "executed": refusal.executed.value,
        "reason": refusal.reason.value,
        "request_id": request_id,
    }
    seconds = retry_after_seconds(refusal)
    if seconds is not None:
        document["retry_after"] = seconds
    return document


def problem_bytes(*, refusal: Refusal, request_id: str) -> bytes:
    """Return the problem document as JSON on one line."""
    return json.dumps(problem_document(refusal=refusal, request_id=request_id)).encode()


def problem_headers(*, refusal: Refusal, request_id: str, length: int) -> list:
    """Return the header pairs of a response whose body is the problem document."""
    headers = [
        ("Content-Type", CONTENT_TYPE),
        ("Content-Length", str(length)),
        (EXECUTED_HEADER, refusal.executed.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    seconds = retry_after_seconds(refusal)
    if seconds is not None:
        headers.append(("Retry-After", str(seconds)))
    if refusal.status == HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers


def status_line(status: int) -> str:
    """Return the status line, like ``503 Service Unavailable``; an unregistered status gets the phrase ``Status``."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}"


def stream_error_event(*, refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that ends a stream which can't be completed.

    The member ``error`` repeats the problem where chat client libraries look for an error inside a
    stream; without it some of them treat the stream as complete.
    """
    document = problem_document(refusal=refusal, request_id=request_id)
    document["error"] = {"message": refusal.detail, "type": refusal.reason.value, "code": int(refusal.status)}
    return b"event: error\ndata: " + json.dumps(document).encode() + b"\n\n"
