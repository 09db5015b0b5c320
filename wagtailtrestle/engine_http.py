"""One run on an engine, carried by a caller's thread over HTTP.

Calls block. Decisions are made elsewhere: this module sends one request once and says,
as an outcome, how that one sending ended.
"""

import json
import time
from urllib.parse import quote

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError, ReadTimeoutError
from urllib3.exceptions import TimeoutError as UrllibTimeoutError

from wagtailtrestle.answer_check import AnswerCheck
from wagtailtrestle.declaration import LANGUAGE
from wagtailtrestle.exchange import RunAdvanced, RunBegan, RunEnded
from wagtailtrestle.outcomes import (
    RunCancelled,
    RunCut,
    RunDone,
    RunLost,
    RunNotSent,
    RunRejected,
    RunSilent,
)

ADVANCE_INTERVAL_S = 0.25
CANCEL_TIMEOUT_S = 1.0
READ_BYTES = 65536
MOST_ERROR_BYTES = 65536
MOST_RECORDED_BYTES = 65536
SHORTEST_TIMEOUT_S = 0.001
FIRST_ERROR_STATUS = 400
NOT_FOUND = 404
RUN_ID_HEADER = "X-Request-Id"
CALLER_ID_HEADER = "X-Caller-Request-Id"
UNFORWARDED = frozenset(("host", "connection", "content-length", "transfer-encoding", "authorization", "expect"))


class EngineCall:
    """What is to be sent to an engine for one request.

    Parameters
    ----------
    kind : str
        ``language`` or ``plain``.
    method, path, query : str
    headers : dict of str to str
        The caller's, for a plain service.
    body : bytes
        As the caller sent it.
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


class EngineClient:
    """Sends runs to engines and cancels them.

    Parameters
    ----------
    connect_timeout_s : float
    """

    def __init__(self, *, connect_timeout_s):
        self._connect_timeout_s = connect_timeout_s
        self._pool = None

    def start(self):
        """Open the pool for short calls."""
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=4, retries=False)

    def close(self):
        """Close pooled connections; runs in work end by themselves."""
        self._pool.clear()

    def run(self, *, command, request, received, on_event, on_token) -> RunEnded:
        """Send one run and follow it to its end.

        Parameters
        ----------
        command : StartRun
        request : EngineCall
        received : ReceivedAnswer
            What earlier runs of the request received; this run adds to it.
        on_event : callable
            Takes ``RunBegan`` and ``RunAdvanced``.
        on_token : callable
            ``on_token(index, text)`` for each checked token.
        """
        exchange = _RunExchange(
            command=command,
            request=request,
            received=received,
            on_event=on_event,
            on_token=on_token,
            connect_timeout_s=self._connect_timeout_s,
        )
        return exchange.run()

    def cancel(self, *, address, run_id) -> bool:
        """Ask an engine to cancel a run; ``False`` if it could not be asked."""
        url = f"http://{address}/runs/{quote(run_id, safe='')}/cancel"
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=CANCEL_TIMEOUT_S)
        try:
            response = self._pool.request("POST", url, timeout=timeout, retries=False)
        except HTTPError:
            return False
        return response.status == 200


class _RunExchange:
    """One sending of one request over a connection of its own."""

    def __init__(self, *, command, request, received, on_event, on_token, connect_timeout_s):
        self._command = command
        self._request = request
        self._received = received
        self._on_event = on_event
        self._on_token = on_token
        self._connect_timeout_s = connect_timeout_s
        self._began_at = time.monotonic()
        self._ends_at = self._began_at + command.overall_s
        self._first_token_s = 0.0
        self._advanced_at = 0.0
        self._progress_at = self._began_at
        self._tokens_before = len(received.tokens)
        self._reached = command.attach
        self._connection = None
        self._socket = None

    def run(self) -> RunEnded:
        """Run it."""
        outcome = self._connect()
        if outcome is None:
            try:
                outcome = self._exchange()
            except (ReadTimeoutError, TimeoutError):
                outcome = RunSilent(output_tokens=self._output_tokens, reached=self._reached)
            except (HTTPError, OSError) as error:
                outcome = self._cut(f"connection lost: {type(error).__name__}")
            finally:
                self._connection.close()
        return self._ended(outcome)

    @property
    def _output_tokens(self) -> int:
        return len(self._received.tokens)

    def _connect(self):
        # A connection of its own for each run, no pool: an idle pooled connection may have
        # been closed by the engine, and then a request fails after its bytes were written;
        # nobody can tell that from an engine that read it and died, so it could not be sent
        # again. It costs one round trip, and a failure here is certain: nothing was sent.
        host, _, port = self._command.address.rpartition(":")
        timeout = max(min(self._connect_timeout_s, self._command.overall_s), SHORTEST_TIMEOUT_S)
        self._connection = HTTPConnection(host.strip("[]"), int(port), timeout=timeout)
        try:
            self._connection.connect()
        except (NewConnectionError, UrllibTimeoutError, OSError) as error:
            return RunNotSent(detail=f"no connection: {type(error).__name__}")
        self._socket = self._connection.sock
        return None

    def _exchange(self):
        self._wait_at_most(self._command.first_token_deadline_s)
        # Neither retries nor redirects exist at this level of urllib3, on purpose: a hidden
        # second sending would be a second dispatch.
        self._send()
        response = self._connection.getresponse()
        if self._request.kind == LANGUAGE:
            return self._read_stream(response)
        return self._read_plain(response)

    def _send(self):
        command = self._command
        request = self._request
        headers = {RUN_ID_HEADER: command.run_id}
        if request.caller_request_id:
            headers[CALLER_ID_HEADER] = request.caller_request_id
        if command.attach:
            path = f"/runs/{quote(command.run_id, safe='')}?from_token={self._output_tokens}"
            self._connection.request("GET", path, headers=headers, preload_content=False)
            return
        if request.kind == LANGUAGE:
            headers["Content-Type"] = "application/json"
            self._connection.request(
                "POST", request.path, body=self._language_body(), headers=headers, preload_content=False
            )
            return
        forwarded = {name: value for name, value in request.headers.items() if name.lower() not in UNFORWARDED}
        path = f"{request.path}?{request.query}" if request.query else request.path
        self._connection.request(
            request.method, path, body=request.body or None, headers={**forwarded, **headers}, preload_content=False
        )

    def _language_body(self) -> bytes:
        document = {**self._request.document, "stream": True}
        if self._received.tokens:
            document["resume_text"] = self._received.text
            document["resume_tokens"] = self._output_tokens
        return json.dumps(document).encode()

    # Language engines.

    def _read_stream(self, response):
        if self._command.attach and response.status == NOT_FOUND:
            return RunLost(output_tokens=self._output_tokens)
        if response.status >= FIRST_ERROR_STATUS:
            return self._rejected(response)
        self._reached = True
        check = AnswerCheck(run_id=self._command.run_id, received=self._received, on_token=self._on_token)
        while not self._received.done:
            self._wait_for_token()
            data = response.read1(READ_BYTES)
            if not data:
                break
            fault = check.feed(data)
            self._note_progress()
            if fault is not None:
                return self._cut(fault.detail)
        if check.cancelled:
            return RunCancelled(output_tokens=self._output_tokens)
        fault = check.end()
        if fault is not None:
            return self._cut(fault.detail)
        return self._done()

    def _wait_for_token(self):
        begun = self._first_token_s > 0
        command = self._command
        limit = command.progress_deadline_s if begun else command.first_token_deadline_s
        self._wait_at_most(self._progress_at + limit - time.monotonic())

    def _wait_at_most(self, seconds):
        left = min(seconds, self._ends_at - time.monotonic())
        if left <= 0:
            raise TimeoutError
        # ``getresponse`` sets the socket's timeout from the connection's.
        self._connection.timeout = left
        self._socket.settimeout(left)

    def _note_progress(self):
        count = self._output_tokens
        if count == self._tokens_before:
            return
        now = time.monotonic()
        self._tokens_before = count
        self._progress_at = now
        if not self._first_token_s:
            self._begin(now)
        elif now - self._advanced_at >= ADVANCE_INTERVAL_S:
            self._advanced_at = now
            self._on_event(RunAdvanced(run_id=self._command.run_id, output_tokens=count))

    def _begin(self, now):
        self._first_token_s = now - self._began_at
        self._advanced_at = now
        self._on_event(
            RunBegan(
                run_id=self._command.run_id,
                first_token_s=self._first_token_s,
                prompt_tokens=self._received.prompt_tokens,
                cached_tokens=self._received.cached_tokens,
            )
        )

    # Plain services.

    def _read_plain(self, response):
        self._reached = True
        headers = response.headers
        if headers.get(RUN_ID_HEADER) != self._command.run_id:
            return self._cut("crossed: the answer carries another run's id")
        if "Content-Length" not in headers:
            return self._cut("the answer has no length, so nobody can tell whether it is whole")
        self._begin(time.monotonic())
        body = self._read_body(response, int(headers["Content-Length"]))
        self._keep(response, body)
        if response.status >= FIRST_ERROR_STATUS:
            return RunRejected(status=response.status)
        return RunDone()

    def _read_body(self, response, length) -> bytes:
        parts = []
        left = length
        while left > 0:
            self._wait_at_most(self._command.progress_deadline_s)
            data = response.read1(min(left, READ_BYTES))
            if not data:
                raise ConnectionError("the body ended early")
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    # Ends.

    def _rejected(self, response):
        self._wait_at_most(self._command.first_token_deadline_s)
        self._keep(response, response.read(MOST_ERROR_BYTES))
        return RunRejected(status=response.status)

    def _keep(self, response, body):
        self._received.status = response.status
        self._received.headers = dict(response.headers)
        self._received.body = body

    def _cut(self, detail):
        return RunCut(detail=detail, output_tokens=self._output_tokens, reached=self._reached)

    def _done(self):
        received = self._received
        return RunDone(
            prompt_tokens=received.prompt_tokens,
            cached_tokens=received.cached_tokens,
            output_tokens=self._output_tokens,
        )

    def _ended(self, outcome) -> RunEnded:
        received = self._received
        body = received.body
        return RunEnded(
            run_id=self._command.run_id,
            outcome=outcome,
            duration_s=time.monotonic() - self._began_at,
            first_token_s=self._first_token_s,
            status=received.status or 200,
            content_type=received.headers.get("Content-Type", ""),
            body=body if len(body) <= MOST_RECORDED_BYTES else b"",
        )
