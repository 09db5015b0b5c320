"""Native dialect: requests to engines and plain services, and the parsing of their answers."""

import json
from urllib.parse import quote

from wagtailtrestle.contracts.declaration import LANGUAGE
from wagtailtrestle.contracts.outcomes import RunCancelled, RunDone, RunLost, RunNotSent, RunRejected
from wagtailtrestle.engines.answer_check import AnswerCheck
from wagtailtrestle.engines.answer_memory import MAX_ANSWER_BYTES
from wagtailtrestle.engines.dialect import CallHead
from wagtailtrestle.engines.notices import read_notice
from wagtailtrestle.engines.run_exchange import MAX_ERROR_BYTES, MAX_FAILURE_BYTES

NO_CONTENT = 204
NOT_MODIFIED = 304
FIRST_ERROR_STATUS = 400
NOT_FOUND = 404
UNAVAILABLE = 503
STARTED_HEADER = "X-Run-Started"
NOT_STARTED = "no"
RUN_ID_HEADER = "X-Request-Id"
CALLER_ID_HEADER = "X-Caller-Request-Id"
RATE_LIMIT_HEADER = "X-Rate-Limit"
MAX_REJECTIONS_HEADER = "X-Max-Rejections"
"""Of an answer: requests per second that the engine accepts from all routers together."""
RETRY_AFTER_HEADER = "Retry-After"
LEAVING_HEADER = "X-Leaving"
"""Of an answer, with ``yes``: the engine is draining."""
LEAVING_YES = "yes"
# The run's id and the length are set here and the others apply to a single connection; the
# bearer key is a secret between the caller and this system that engines must not receive.
UNFORWARDED_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        RUN_ID_HEADER.lower(),
        CALLER_ID_HEADER.lower(),
    )
)


class NativeCall:
    """One request as it is sent to an engine or a plain service.

    Parameters
    ----------
    kind : str
        ``language`` or ``plain``.
    method, path, query : str
    headers : dict of str to str
        The caller's headers, for a plain service.
    body : bytes
        The caller's body, for a plain service.
    document : dict or None
        The parsed body of a language request.
    caller_request_id : str
    """

    __slots__ = ("kind", "method", "path", "query", "headers", "body", "document", "caller_request_id")

    def __init__(self, *, kind, method, path, query="", headers=None, body=b"", document=None, caller_request_id=""):
        self.kind = kind
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers or {}
        self.body = body
        self.document = document
        self.caller_request_id = caller_request_id

    @property
    def is_streamed(self):
        """Whether the answer is streamed token by token."""
        return self.kind == LANGUAGE

    def cancel_path(self, run_id):
        """Path to cancel a run, or ``None`` for a plain service, which would treat the call as a request."""
        return f"/runs/{quote(run_id, safe='')}/cancel" if self.kind == LANGUAGE else None

    def head(self, command, received) -> CallHead:
        """Return the HTTP request for one run."""
        headers = {RUN_ID_HEADER: command.run_id}
        if self.caller_request_id:
            headers[CALLER_ID_HEADER] = self.caller_request_id
        if command.attach:
            target = f"/runs/{quote(command.run_id, safe='')}?from_token={received.output_tokens}"
            return CallHead(method="GET", target=target, headers=headers)
        if self.kind == LANGUAGE:
            headers["Content-Type"] = "application/json"
            return CallHead(method="POST", target=self.path, headers=headers, body=self._language_body(received))
        forwarded = {name: value for name, value in self.headers.items() if name.lower() not in UNFORWARDED_HEADERS}
        target = f"{self.path}?{self.query}" if self.query else self.path
        return CallHead(method=self.method, target=target, headers={**forwarded, **headers}, body=self.body or None)

    def notice(self, exchange):
        """Return the engine's notice in the answer's head; ``None`` if the answer doesn't carry this run's id."""
        headers = exchange.response.headers
        if headers.get(RUN_ID_HEADER) != exchange.command.run_id:
            return None
        return read_notice(
            exchange.command,
            limit=headers.get(RATE_LIMIT_HEADER),
            max_rejections=headers.get(MAX_REJECTIONS_HEADER),
            leaving=headers.get(LEAVING_HEADER) == LEAVING_YES,
            retry_after=headers.get(RETRY_AFTER_HEADER) if exchange.response.status == UNAVAILABLE else None,
        )

    def read(self, exchange):
        """Read the answer to its end."""
        if _refused_before_start(exchange):
            return RunNotSent(detail="the engine refused the run before it began")
        if self.kind == LANGUAGE:
            return _read_stream(exchange)
        return self._read_plain(exchange)

    def _language_body(self, received) -> bytes:
        document = {**self.document, "stream": True}
        if received.tokens:
            document["resume_text"] = received.text
            document["resume_tokens"] = received.output_tokens
        return json.dumps(document).encode()

    def _read_plain(self, exchange):
        response = exchange.response
        exchange.reached = True
        # A late or misrouted answer on this connection would be passed on to this caller. The
        # service repeats the run's id, so an answer without it is not accepted.
        answer_id = response.headers.get(RUN_ID_HEADER)
        if answer_id != exchange.command.run_id:
            return exchange.cut(f"crossed: the answer carries {'another' if answer_id else 'no'} run's id")
        length = self._plain_length(response)
        if length is None:
            return exchange.cut("the answer has no Content-Length, so its completeness can't be checked")
        exchange.progress.begin()
        max_bytes = MAX_ANSWER_BYTES if response.status < FIRST_ERROR_STATUS else MAX_FAILURE_BYTES
        exchange.record_answer(exchange.read_body(length, max_bytes=max_bytes))
        if response.status >= FIRST_ERROR_STATUS:
            return RunRejected(status=response.status)
        return RunDone()

    def _plain_length(self, response) -> int | None:
        if self.method == "HEAD" or response.status in (NO_CONTENT, NOT_MODIFIED):
            return 0
        length = response.headers.get("Content-Length", "")
        return int(length) if length.isdecimal() else None


CANCEL_CALL = NativeCall(kind=LANGUAGE, method="POST", path="")
"""Call used to cancel runs whose connection has ended: the cancel request is the same for every language call."""


def _refused_before_start(exchange) -> bool:
    # An engine that is about to stop states that it did not start the run that it refuses.
    # It counts only with this run's id: otherwise it may be in a late answer to another run.
    headers = exchange.response.headers
    return (
        exchange.response.status == UNAVAILABLE
        and headers.get(STARTED_HEADER) == NOT_STARTED
        and headers.get(RUN_ID_HEADER) == exchange.command.run_id
        and not exchange.command.attach
    )


def _read_stream(exchange):
    response = exchange.response
    if exchange.command.attach and response.status == NOT_FOUND:
        return RunLost(output_tokens=exchange.output_tokens)
    if response.status >= FIRST_ERROR_STATUS:
        return _rejected(exchange)
    exchange.reached = True
    exchange.held = exchange.command.attach
    received = exchange.received
    check = AnswerCheck(run_id=exchange.command.run_id, received=received, on_token=exchange.on_token)
    chunks = exchange.chunks()
    while not received.done:
        exchange.set_read_timeout(exchange.progress.time_left_for_token_s())
        data = next(chunks, b"")
        if not data:
            break
        fault = check.feed(data)
        exchange.reserve(check.buffered_bytes)
        exchange.progress.update()
        if fault is not None:
            return exchange.cut(fault.detail)
    if check.cancelled:
        return RunCancelled(output_tokens=exchange.output_tokens)
    fault = check.end()
    if fault is not None:
        return exchange.cut(fault.detail)
    exchange.mark_end()
    return exchange.done()


def _rejected(exchange):
    exchange.record_answer(_read_error(exchange))
    return RunRejected(status=exchange.response.status)


def _read_error(exchange):
    """Read the body of an error; none is returned of one that is longer than ``MAX_ERROR_BYTES``."""
    exchange.set_read_timeout(exchange.progress.time_left_s(exchange.command.first_token_deadline_s))
    body = b""
    for data in exchange.chunks():
        body += data
        if len(body) > MAX_ERROR_BYTES:
            exchange.mark_end()
            return b""
        exchange.set_read_timeout(exchange.progress.time_left_for_token_s())
    return body
