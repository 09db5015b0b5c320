"""Names of headers on the wire, and which of them pass through."""

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Milliseconds"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"
RETRY_AFTER = "Retry-After"
TOKEN_COUNTS = "Token-Counts"
"""Prompt tokens and the largest number of output tokens, with a comma between."""
LENGTH_HINT = "Length-Hint"
"""The caller's estimate of its output in tokens; right at the median, often far off."""
PROMPT_PREFIX = "Prompt-Prefix"
"""The prompt's parts in order, each ``ID:TOKENS``; what requests share comes first."""
TEAM = "Tenant"
EXPECTED_ENGINE = "Expect-Instance"
ENGINE_ID = "Instance-Id"
NOT_RUN = "Not-Executed"
"""On an engine's answer: it certainly did not run the request."""
RATE_LIMIT = "Server-Limit"
"""On an engine's answer: requests a second that it takes from all routers together."""
LEAVING = "Server-Leaving"
"""On an engine's answer, with ``1``: the engine leaves."""
LEAVING_YES = "1"
STORE_ERA = "Store-Era"
"""On the store's answers: rises by one each time the store comes back from a copy."""
SIGNATURE = "Response-Stamp"
"""The engine's signature of its answer; without it an answer is nobody's."""

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
"""What a caller may not tell an engine: its key is a secret with this system, capacity is the
system's to reserve, and a coded answer would not be the engine's body."""


def forwarded(items):
    """Header pairs that pass through, as a dict; ``items`` are pairs of text."""
    items = list(items)
    named = {
        token.strip().lower() for name, value in items if name.lower() == "connection" for token in value.split(",")
    }
    unforwarded = HOP_BY_HOP | named
    return {name: value for name, value in items if name.lower() not in unforwarded}
