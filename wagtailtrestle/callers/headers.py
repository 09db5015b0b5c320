"""Request headers: validation, the headers that control a request, and the ones forwarded to plain services."""

import re
import uuid

from wagtailtrestle.callers.body import bad_request
from wagtailtrestle.contracts.outcomes import Refusal
from wagtailtrestle.record import record

REQUEST_ID = "HTTP_WAGTAILTRESTLE_REQUEST_ID"
DEADLINE = "HTTP_WAGTAILTRESTLE_DEADLINE_MS"
ROUTE = "HTTP_WAGTAILTRESTLE_ROUTE"
TIER = "HTTP_WAGTAILTRESTLE_TIER"
IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY"
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:/+=@-]{1,128}")
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
NAME_PATTERN = re.compile(r"HTTP_[A-Z0-9_]+")
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
TARGET_PATTERN = re.compile(r"[\x21-\x7e]+")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,12}")
MS_PER_S = 1000.0
HEADER_PREFIX = "HTTP_"
CONTROL_PREFIX = "HTTP_WAGTAILTRESTLE_"
# The caller's key is meant only for this router. Accept-Encoding is not forwarded, so that the length
# of an answer is the length of its body.
UNFORWARDED_HEADERS = frozenset(
    {
        "HTTP_ACCEPT_ENCODING",
        "HTTP_AUTHORIZATION",
        "HTTP_CONNECTION",
        "HTTP_EXPECT",
        "HTTP_HOST",
        "HTTP_KEEP_ALIVE",
        "HTTP_PROXY_AUTHORIZATION",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_UPGRADE",
        "HTTP_X_REQUEST_ID",
        "HTTP_X_CALLER_REQUEST_ID",
    }
)


@record
class CallerHeaders:
    """The control headers of one request.

    Parameters
    ----------
    deadline_ms : int or None
        ``None`` if the caller sent none.
    route, tier, idempotency_key : str
        Empty if the caller sent none.
    """

    deadline_ms: int | None
    route: str
    tier: str
    idempotency_key: str


def caller_request_id(environ: dict) -> str | Refusal:
    """Return the request id sent by the caller, or a generated one."""
    given = environ.get(REQUEST_ID)
    if given is None:
        return uuid.uuid4().hex
    if REQUEST_ID_PATTERN.fullmatch(given):
        return given
    return bad_request("'Wagtailtrestle-Request-Id' must be 1 to 128 letters, digits or any of . _ : / + = @ -")


def caller_headers(environ: dict) -> CallerHeaders | Refusal:
    """Read and validate the control headers."""
    error = _syntax_error(environ)
    if error is not None:
        return bad_request(error)
    deadline = environ.get(DEADLINE)
    if deadline is not None and (not DEADLINE_PATTERN.fullmatch(deadline) or int(deadline) == 0):
        return bad_request("'Wagtailtrestle-Deadline-Ms' must be a whole number of milliseconds above 0.")
    key = environ.get(IDEMPOTENCY_KEY, "")
    if IDEMPOTENCY_KEY in environ and not KEY_PATTERN.fullmatch(key):
        return bad_request("'Idempotency-Key' must be 1 to 255 visible ASCII characters.")
    return CallerHeaders(
        deadline_ms=int(deadline) if deadline is not None else None,
        route=environ.get(ROUTE, ""),
        tier=environ.get(TIER, ""),
        idempotency_key=key,
    )


def _syntax_error(environ):
    # Anything that can't be sent in a request to an engine must be detected here. Detected during
    # a run, it could no longer be ruled out that the request was executed.
    if not TARGET_PATTERN.fullmatch(environ["REQUEST_URI"]):
        return "The address must be of visible ASCII characters; code others with '%'."
    for name, value in environ.items():
        if name.startswith(HEADER_PREFIX) and not NAME_PATTERN.fullmatch(name):
            return "A header's name must be of letters, digits, '-' or '_'."
        if name.startswith((HEADER_PREFIX, "CONTENT_")) and CONTROL_CHARACTER.search(value):
            return "A header's value holds a control character."
    return None


def requested_timeout_s(environ: dict) -> float | None:
    """Return the deadline in the header, in seconds, or ``None`` if it is missing or malformed."""
    deadline = environ.get(DEADLINE, "")
    return int(deadline) / MS_PER_S if DEADLINE_PATTERN.fullmatch(deadline) else None


def effective_timeout_s(*, headers: CallerHeaders, default_ms: int, max_s: float) -> float:
    """Return the seconds allowed for the complete answer: the caller's deadline or the route's, at most ``max_s``."""
    requested_ms = headers.deadline_ms if headers.deadline_ms is not None else default_ms
    return min(requested_ms / MS_PER_S, max_s)


def forwarded_headers(environ: dict) -> dict:
    """Return the caller's headers to forward to a plain service."""
    value_by_name = {}
    for name, value in environ.items():
        if not name.startswith(HEADER_PREFIX) or name in UNFORWARDED_HEADERS or name.startswith(CONTROL_PREFIX):
            continue
        value_by_name[name[len(HEADER_PREFIX) :].replace("_", "-").title()] = value
    if "CONTENT_TYPE" in environ:
        value_by_name["Content-Type"] = environ["CONTENT_TYPE"]
    return value_by_name
