"""What the product's own interface says to engines and plain services, and how it reads their answers."""

import json
from urllib.parse import quote

from wagtailtrestle.contracts.declaration import LANGUAGE
from wagtailtrestle.contracts.outcomes import RunCancelled, RunDone, RunLost, RunNotSent, RunRejected
from wagtailtrestle.engines.answer_check import AnswerCheck
from wagtailtrestle.engines.dialect import CallHead
from wagtailtrestle.engines.notices import read_notice
from wagtailtrestle.engines.run_exchange import MAX_ERROR_BYTES, MAX_PLAIN_BYTES

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
"""On an answer: requests a second that the engine takes from all routers together."""
RETRY_AFTER_HEADER = "Retry-After"
LEAVING_HEADER = "X-Leaving"
"""On an answer, with ``yes``: the engine leaves."""
LEAVING_YES = "yes"
# The run's own id and length are set here; the others concern one connection only, and the
# bearer key is the callers' secret with this system, not with the engine.
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
    """What is to be sent to an engine for one request.

    Parameters
    ----------
    kind : str
        ``language`` or ``plain``.
    method, path, query : str
    headers : dict of str to str
        The caller's, for a plain service.
    body : bytes
        As the caller sent it, for a plain service.
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
        """Whether its answer comes token by token."""
        return self.kind == LANGUAGE

    def cancel_path(self, run_id):
        """Where an engine is told to cancel; a plain service would take the call for a request."""
        return f"/runs/{quote(run_id, safe='')}/cancel" if self.kind == LANGUAGE else None

    def head(self, command, received) -> CallHead:
        """What to send for one run."""
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
        """What the answer's head says of its engine; a stray answer bears another run's id."""
        headers = exchange.response.headers
        if headers.get(RUN_ID_HEADER) != exchange.command.run_id:
            return None
        return read_notice(
            exchange.command,
            limit=headers.get(RATE_LIMIT_HEADER),
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
        # A late or misrouted answer on this connection would be read as this caller's; the
        # service repeats the run's id, so an answer without it is nobody's.
        answer_id = response.headers.get(RUN_ID_HEADER)
        if answer_id != exchange.command.run_id:
            return exchange.cut(f"crossed: the answer carries {'another' if answer_id else 'no'} run's id")
        length = self._plain_length(response)
        if length is None:
            return exchange.cut("the answer tells no length, so nobody can tell whether it is whole")
        if length > MAX_PLAIN_BYTES:
            return exchange.cut(f"the answer is longer than {MAX_PLAIN_BYTES} bytes")
        exchange.progress.begin()
        exchange.record_answer(exchange.read_body(length))
        if response.status >= FIRST_ERROR_STATUS:
            return RunRejected(status=response.status)
        return RunDone()

    def _plain_length(self, response) -> int | None:
        if self.method == "HEAD" or response.status in (NO_CONTENT, NOT_MODIFIED):
            return 0
        length = response.headers.get("Content-Length", "")
        return int(length) if length.isdecimal() else None


CANCEL_CALL = NativeCall(kind=LANGUAGE, method="POST", path="")
"""Any language call: a run whose connection is gone is cancelled as any other."""


def _refused_before_start(exchange) -> bool:
    # An engine about to stop promises that it did not begin the run it refuses. The
    # promise counts only with the run's own id: a late answer to another run says nothing.
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
        exchange.progress.update()
        if fault is not None:
            return exchange.cut(fault.detail)
    if check.cancelled:
        return RunCancelled(output_tokens=exchange.output_tokens)
    fault = check.end()
    if fault is not None:
        return exchange.cut(fault.detail)
    return exchange.done()


def _rejected(exchange):
    exchange.set_read_timeout(exchange.progress.time_left_s(exchange.command.first_token_deadline_s))
    exchange.record_answer(exchange.response.read(MAX_ERROR_BYTES, decode_content=False))
    return RunRejected(status=exchange.response.status)
