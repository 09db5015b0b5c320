"""Header names on the wire, and which headers are forwarded."""

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Milliseconds"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
"""On a request that resumes a stream: ``Request-Id`` of the attempt that brought the stream's first event."""
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"
RETRY_AFTER = "Retry-After"
TOKEN_COUNTS = "Token-Counts"
"""Prompt tokens and maximum output tokens, separated by a comma."""
LENGTH_HINT = "Length-Hint"
"""The caller's estimate of its output tokens; accurate at the median, but often far off."""
PROMPT_PREFIX = "Prompt-Prefix"
"""The prompt's parts in order, each ``ID:TOKENS``; parts shared between requests come first."""
TEAM = "Tenant"
EXPECTED_ENGINE = "Expect-Instance"
ENGINE_ID = "Instance-Id"
NOT_RUN = "Not-Executed"
"""On an engine's answer: guarantees that it did not run the request."""
RATE_LIMIT = "Server-Limit"
"""On an engine's answer: requests per second that it accepts from all routers together."""
MAX_REJECTIONS = "Server-Brittle"
"""On an engine's answer: requests that it can reject for want of room within a second before it falls over."""
LEAVING = "Server-Leaving"
"""On an engine's answer, with ``1``: the engine is draining."""
LEAVING_YES = "1"
STORE_ERA = "Store-Era"
"""On the store's answers: incremented each time the store is restored from a backup."""
SIGNATURE = "Response-Stamp"
"""The engine's signature of its answer; an answer without it did not come from an engine."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
SET_BY_ROUTER = frozenset(
    {
        "accept-encoding",
        "authorization",
        "content-length",
        "deadline-milliseconds",
        "expect",
        "expect-instance",
        "hold",
        "key-value-backup",
        "kv-fetch",
        "kv-from",
        "pin-milliseconds",
        "tenant",
    }
)
"""Headers of a caller that are not forwarded to an engine: the caller's key is shared only with this
system, only this system reserves capacity, and a compressed answer would differ from the engine's body."""


def forwarded(items):
    """Return the end-to-end headers among ``items``, pairs of str, as a dict."""
    items = list(items)
    named = {
        token.strip().lower() for name, value in items if name.lower() == "connection" for token in value.split(",")
    }
    unforwarded = HOP_BY_HOP | named
    return {name: value for name, value in items if name.lower() not in unforwarded}
