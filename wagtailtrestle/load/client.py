"""One caller: sends a planned request and reads the complete answer."""

import json
import time

import urllib3

CONNECT_TIMEOUT_S = 5.0
READ_MARGIN_S = 5.0
DONE = "[DONE]"


class Result:
    """The outcome of one request as its caller observed it.

    Parameters
    ----------
    planned : PlannedRequest
    status : int
        HTTP status; 0 if no answer arrived.
    complete : bool
        Whether a complete answer was received.
    executed : str
        ``no``, ``unknown`` or ``yes``; ``unknown`` if no answer arrived.
    reason : str
        The reason given in a refusal, or the error that occurred.
    late_s : float
        How much later than planned the request was sent (the lag of the load generator).
    first_s, total_s : float
        Time from the planned send time to the first token and to the end of the answer.
    text : str
        Text of a completion, or the body of a plain service's answer.
    retry_after_s : float
    """

    __slots__ = (
        "planned",
        "status",
        "complete",
        "executed",
        "reason",
        "late_s",
        "first_s",
        "total_s",
        "text",
        "retry_after_s",
    )

    def __init__(self, *, planned, late_s):
        self.planned = planned
        self.late_s = late_s
        self.status = 0
        self.complete = False
        self.executed = "unknown"
        self.reason = "no_answer"
        self.first_s = 0.0
        self.total_s = 0.0
        self.text = ""
        self.retry_after_s = 0.0

    def in_deadline(self):
        """Whether the complete answer arrived within the request's deadline."""
        return self.complete and self.total_s * 1000 <= self.planned.kind.deadline_ms


def make_pool(connections):
    """Make a connection pool that never retries, since retries of its own would hide duplicate runs."""
    return urllib3.PoolManager(maxsize=connections, retries=False, block=False)


def send(pool, url, planned, started):
    """Send one request and return its :class:`Result`."""
    due_at = started + planned.at_s
    result = Result(planned=planned, late_s=time.monotonic() - due_at)
    try:
        _exchange(pool, url, planned, result, due_at)
    except urllib3.exceptions.HTTPError as error:
        result.reason = type(error).__name__
        result.complete = False
    result.total_s = time.monotonic() - due_at
    return result


def _exchange(pool, url, planned, result, due_at):
    kind = planned.kind
    response = pool.request(
        kind.method,
        url + kind.path,
        body=_body(planned),
        headers=_headers(planned),
        preload_content=False,
        redirect=False,
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=kind.deadline_ms / 1000 + READ_MARGIN_S),
    )
    result.status = response.status
    streamed = response.headers.get("Content-Type", "").startswith("text/event-stream")
    if response.status == 200 and streamed:
        _read_stream(response, result, due_at)
    else:
        _read_unary(response, result, due_at)
    response.release_conn()


def _headers(planned):
    kind = planned.kind
    headers = {
        "Authorization": f"Bearer {kind.key}",
        "Content-Type": "application/json",
        "Wagtailtrestle-Request-Id": planned.caller_request_id,
        "Wagtailtrestle-Deadline-Ms": str(kind.deadline_ms),
    }
    if kind.route:
        headers["Wagtailtrestle-Route"] = kind.route
    if kind.idempotent_key:
        headers["Idempotency-Key"] = planned.caller_request_id
    return headers


def _body(planned):
    kind = planned.kind
    if not kind.prompt_tokens:
        return json.dumps({"caller": planned.caller_request_id}).encode()
    body = {"model": kind.service, "max_tokens": planned.output_tokens, "stream": kind.stream}
    if planned.actual_output_tokens:
        body["wagtailtrestle_output_tokens"] = planned.actual_output_tokens
    if kind.path.endswith("/chat/completions"):
        body["messages"] = [{"role": "user", "content": planned.prompt}]
    else:
        body["prompt"] = planned.prompt
    return json.dumps(body).encode()


def _read_stream(response, result, due_at):
    pending = b""
    done = False
    for block in response.stream(amt=None):
        result.first_s = result.first_s or time.monotonic() - due_at
        pending += block
        *events, pending = pending.split(b"\n\n")
        done = any([_read_event(event.decode(), result) for event in events]) or done
    result.complete = done and result.reason == "no_answer"
    if result.complete:
        result.executed, result.reason = "yes", ""


def _read_event(event, result):
    """Process one event; return whether it is the final ``[DONE]``."""
    data = "".join(line[5:].strip() for line in event.split("\n") if line.startswith("data:"))
    if data == DONE:
        return True
    if not data:
        return False
    document = json.loads(data)
    if "executed" in document:
        result.executed = document["executed"]
        result.reason = document["reason"]
        return False
    for choice in document.get("choices", ()):
        delta = choice.get("delta") or {}
        result.text += delta.get("content") or choice.get("text") or ""
    return False


def _read_unary(response, result, due_at):
    body = response.read()
    result.first_s = time.monotonic() - due_at
    result.executed = response.headers.get("Wagtailtrestle-Executed", "yes")
    if response.headers.get("Content-Type", "").startswith("application/problem+json"):
        document = json.loads(body)
        result.reason = document.get("reason", "")
        result.retry_after_s = float(response.headers.get("Retry-After", 0))
        return
    result.complete = response.status < 400
    result.text = _completion_text(body) if result.complete and result.planned.kind.prompt_tokens else body.decode()
    result.reason = "" if result.complete else f"status_{response.status}"


def _completion_text(body):
    choice = json.loads(body)["choices"][0]
    return choice["message"]["content"] if "message" in choice else choice["text"]
