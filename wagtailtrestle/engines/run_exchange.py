"""One sending of one run to an engine, over a connection of its own, followed to its end."""

import http.client
import json
import socket
import threading
from urllib.parse import quote

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError, ReadTimeoutError
from urllib3.exceptions import TimeoutError as UrllibTimeoutError

from wagtailtrestle.contracts.declaration import LANGUAGE
from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.contracts.outcomes import (
    RunCancelled,
    RunCut,
    RunDone,
    RunLost,
    RunNotSent,
    RunRejected,
    RunSilent,
)
from wagtailtrestle.engines.answer_check import AnswerCheck
from wagtailtrestle.engines.run_progress import RunProgress

READ_BYTES = 65536
MOST_ERROR_BYTES = 65536
MOST_PLAIN_BYTES = 32 * 1024 * 1024
MOST_RECORDED_BYTES = 65536
SHORTEST_TIMEOUT_S = 0.001
OK = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
FIRST_ERROR_STATUS = 400
NOT_FOUND = 404
UNAVAILABLE = 503
STARTED_HEADER = "X-Run-Started"
NOT_STARTED = "no"
RUN_ID_HEADER = "X-Request-Id"
CALLER_ID_HEADER = "X-Caller-Request-Id"
# The run's own id and length are set here; the others concern one connection only, and the
# bearer key is the callers' secret with this system, not with the engine.
UNFORWARDED = frozenset(
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


class RunExchange:
    """Sends once, reads to the end, and says how it ended; used by one thread.

    Only :meth:`abort` may be called from another thread.

    Parameters
    ----------
    command : StartRun
    request : EngineCall
    received : ReceivedAnswer
    on_event, on_token : callable
        See :meth:`wagtailtrestle.engines.client.EngineClient.run`.
    connect_timeout_s : float

    Attributes
    ----------
    ended : threading.Event
    """

    __slots__ = (
        "ended",
        "_command",
        "_request",
        "_received",
        "_on_token",
        "_connect_timeout_s",
        "_progress",
        "_reached",
        "_aborted",
        "_connection",
        "_socket",
        "_response",
    )

    def __init__(self, *, command, request, received, on_event, on_token, connect_timeout_s):
        self.ended = threading.Event()
        self._command = command
        self._request = request
        self._received = received
        self._on_token = on_token
        self._connect_timeout_s = connect_timeout_s
        self._progress = RunProgress(command=command, received=received, on_event=on_event)
        self._reached = command.attach
        self._aborted = False
        self._connection = None
        self._socket = None
        self._response = None

    @property
    def kind(self):
        """Kind of the request's service."""
        return self._request.kind

    def run(self) -> RunEnded:
        """Send, read, and tell how it ended."""
        try:
            outcome = self._connect()
            if outcome is None:
                outcome = self._exchange_outcome()
        finally:
            self._close()
            self.ended.set()
        return self._ended(outcome)

    def abort(self):
        """Cut this side's connection, so that the reading thread ends now as cancelled."""
        self._aborted = True
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Closed already: the exchange is ending by itself.

    # Connecting and sending.

    def _connect(self):
        # A connection of its own for each run, no pool: an idle pooled connection may have
        # been closed by the engine, and then a request fails after its bytes were written;
        # nobody can tell that from an engine that read it and died, so it could not be sent
        # again. It costs one round trip, and a failure here is certain: nothing was sent.
        # It also means that no run ever starts on a connection that went silent while idle.
        host, _, port = self._command.address.rpartition(":")
        timeout = max(min(self._connect_timeout_s, self._command.overall_s), SHORTEST_TIMEOUT_S)
        self._connection = HTTPConnection(host.strip("[]"), int(port), timeout=timeout)
        try:
            self._connection.connect()
        except (NewConnectionError, UrllibTimeoutError, OSError) as error:
            return RunNotSent(detail=f"no connection: {type(error).__name__}")
        self._socket = self._connection.sock
        if self._aborted:
            return RunNotSent(detail="cancelled before it was sent")
        return None

    def _exchange_outcome(self):
        try:
            outcome = self._exchange()
        except (ReadTimeoutError, TimeoutError):
            outcome = RunSilent(output_tokens=self._output_tokens, reached=self._reached)
        except (HTTPError, http.client.HTTPException, OSError) as error:
            outcome = self._cut(f"connection lost: {type(error).__name__}")
        if self._aborted and isinstance(outcome, RunCut | RunSilent):
            return RunCancelled(output_tokens=self._output_tokens)
        return outcome

    def _exchange(self):
        self._wait_at_most(self._progress.left_s(self._command.first_token_deadline_s))
        # Neither retries nor redirects exist at this level of urllib3, on purpose: a hidden
        # second sending would be a second dispatch.
        method, path, body, headers = self._request_parts()
        try:
            self._connection.request(
                method, path, body=body, headers=headers, preload_content=False, decode_content=False
            )
        except (ValueError, http.client.HTTPException) as error:
            # The library refuses the head (a line break in a header, a blank in the path)
            # while it still builds it: nothing was written.
            return RunNotSent(detail=f"the request cannot be written: {type(error).__name__}")
        except BrokenPipeError:
            pass  # The engine stopped reading; it may have answered why before it did.
        self._response = self._connection.getresponse()
        if self._refused_unstarted():
            return RunNotSent(detail="the engine refused the run before it began")
        if self._request.kind == LANGUAGE:
            return self._read_stream()
        return self._read_plain()

    def _refused_unstarted(self) -> bool:
        # An engine about to stop promises that it did not begin the run it refuses. The
        # promise counts only with the run's own id: a late answer to another run says nothing.
        headers = self._response.headers
        return (
            self._response.status == UNAVAILABLE
            and headers.get(STARTED_HEADER) == NOT_STARTED
            and headers.get(RUN_ID_HEADER) == self._command.run_id
            and not self._command.attach
        )

    def _request_parts(self):
        command = self._command
        request = self._request
        headers = {RUN_ID_HEADER: command.run_id}
        if request.caller_request_id:
            headers[CALLER_ID_HEADER] = request.caller_request_id
        if command.attach:
            path = f"/runs/{quote(command.run_id, safe='')}?from_token={self._output_tokens}"
            return "GET", path, None, headers
        if request.kind == LANGUAGE:
            headers["Content-Type"] = "application/json"
            return "POST", request.path, self._language_body(), headers
        forwarded = {name: value for name, value in request.headers.items() if name.lower() not in UNFORWARDED}
        path = f"{request.path}?{request.query}" if request.query else request.path
        return request.method, path, request.body or None, {**forwarded, **headers}

    def _language_body(self) -> bytes:
        document = {**self._request.document, "stream": True}
        if self._received.tokens:
            document["resume_text"] = self._received.text
            document["resume_tokens"] = self._output_tokens
        return json.dumps(document).encode()

    # Language engines.

    def _read_stream(self):
        if self._command.attach and self._response.status == NOT_FOUND:
            return RunLost(output_tokens=self._output_tokens)
        if self._response.status >= FIRST_ERROR_STATUS:
            return self._rejected()
        self._reached = True
        check = AnswerCheck(run_id=self._command.run_id, received=self._received, on_token=self._on_token)
        chunks = self._chunks()
        while not self._received.done:
            self._wait_at_most(self._progress.left_for_token_s())
            data = next(chunks, b"")
            if not data:
                break
            fault = check.feed(data)
            self._progress.note()
            if fault is not None:
                return self._cut(fault.detail)
        if check.cancelled:
            return RunCancelled(output_tokens=self._output_tokens)
        fault = check.end()
        if fault is not None:
            return self._cut(fault.detail)
        return self._done()

    def _chunks(self):
        # Of the library's ways to read a chunked body this one does the least for each chunk.
        if self._response.chunked:
            return self._response.read_chunked(decode_content=False)
        return iter(lambda: self._response.read1(READ_BYTES, decode_content=False), b"")

    def _wait_at_most(self, seconds):
        if seconds <= 0:
            raise TimeoutError
        # ``getresponse`` sets the socket's timeout from the connection's.
        self._connection.timeout = seconds
        self._socket.settimeout(seconds)

    # Plain services.

    def _read_plain(self):
        response = self._response
        self._reached = True
        # A late or misrouted answer on this connection would be read as this caller's; the
        # service repeats the run's id, so an answer without it is nobody's.
        answer_id = response.headers.get(RUN_ID_HEADER)
        if answer_id != self._command.run_id:
            return self._cut(f"crossed: the answer carries {'another' if answer_id else 'no'} run's id")
        length = self._plain_length()
        if length is None:
            return self._cut("the answer tells no length, so nobody can tell whether it is whole")
        if length > MOST_PLAIN_BYTES:
            return self._cut(f"the answer is longer than {MOST_PLAIN_BYTES} bytes")
        self._progress.begin()
        self._keep(self._read_body(length))
        if response.status >= FIRST_ERROR_STATUS:
            return RunRejected(status=response.status)
        return RunDone()

    def _plain_length(self) -> int | None:
        headers = self._response.headers
        if self._request.method == "HEAD" or self._response.status in (NO_CONTENT, NOT_MODIFIED):
            return 0
        length = headers.get("Content-Length", "")
        return int(length) if length.isdecimal() else None

    def _read_body(self, length) -> bytes:
        parts = []
        left = length
        while left > 0:
            self._wait_at_most(self._progress.left_s(self._command.progress_deadline_s))
            data = self._response.read1(min(left, READ_BYTES), decode_content=False)
            if not data:
                raise ConnectionError("the body ended early")
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    # Ends.

    @property
    def _output_tokens(self) -> int:
        return len(self._received.tokens)

    def _rejected(self):
        self._wait_at_most(self._progress.left_s(self._command.first_token_deadline_s))
        self._keep(self._response.read(MOST_ERROR_BYTES, decode_content=False))
        return RunRejected(status=self._response.status)

    def _keep(self, body):
        self._received.status = self._response.status
        self._received.headers = dict(self._response.headers)
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

    def _close(self):
        # Both: the response keeps the socket open until it is closed itself, and an open
        # socket tells the engine that somebody still reads.
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    def _ended(self, outcome) -> RunEnded:
        ended = {
            "run_id": self._command.run_id,
            "outcome": outcome,
            "duration_s": self._progress.duration_s,
            "first_token_s": self._progress.first_token_s,
        }
        whole_plain = isinstance(outcome, RunDone) and self._request.kind != LANGUAGE
        if not whole_plain and not isinstance(outcome, RunRejected):
            return RunEnded(**ended)
        received = self._received
        body = received.body if len(received.body) <= MOST_RECORDED_BYTES else b""
        content_type = received.headers.get("Content-Type", "")
        return RunEnded(**ended, status=received.status or OK, content_type=content_type, body=body)
