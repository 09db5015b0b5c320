"""One HTTP exchange of a run with an engine, over its own connection, from sending to the outcome."""

import dataclasses
import http.client
import math
import socket
import threading

from loguru import logger
from urllib3.exceptions import HTTPError, ProtocolError, ReadTimeoutError

from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.contracts.outcomes import (
    RunCancelled,
    RunCut,
    RunDone,
    RunDropped,
    RunFailed,
    RunNotSent,
    RunRejected,
    RunSilent,
    RunTooLong,
)
from wagtailtrestle.engines.answer_memory import (
    MAX_ANSWER_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerBuffer,
    AnswerMemory,
    AnswerMemoryFull,
    AnswerTooLong,
)
from wagtailtrestle.engines.chunked_body import ChunkedDecoder
from wagtailtrestle.engines.connector import CONNECT_ERRORS
from wagtailtrestle.engines.run_progress import RunProgress
from wagtailtrestle.strict_response import InvalidResponse, StrictResponse

READ_BYTES = 65536
MAX_ERROR_BYTES = 65536
MAX_FAILURE_BYTES = 1024 * 1024
"""Limit on the body of an error, which is only passed on."""
MAX_RECORDED_BYTES = 65536
CHUNK_READ_BYTES = 16384
MIN_TIMEOUT_S = 0.001
TIMEOUT_TOLERANCE_S = 0.01
"""Change of a read timeout below which the socket keeps the previous one, as each change is a system call."""
OK = 200
LATE_SEND_THRESHOLD_S = 0.25
"""Connect time above which a late send is logged: the decision behind the grant may be out of date by then."""
WHOLE_ANSWERS = RunDone | RunRejected | RunFailed
"""Outcomes that mean that the answer was received to its end."""


class RunExchange:
    """Sends a run once, reads the answer to its end and returns the outcome; used by one thread.

    The dialect (:class:`EngineDialect`) builds the request and parses the answer. This class
    handles what all dialects share: the connection, its timeouts and the outcomes.
    Only :meth:`abort` may be called from another thread.

    Parameters
    ----------
    command : StartRun
    call : EngineDialect
    received : ReceivedAnswer
    on_event, on_token : callable
        See :meth:`wagtailtrestle.engines.client.EngineClient.run`.
    connect_timeout_s : float
    connector : Connector
    memory : AnswerMemory, optional
        Shared by all runs of the process.
    may_send : callable, optional
        ``may_send(engine)``: whether an engine may get a run now. Asked once the connection is open, as that may take
        long enough for the engine to leave.

    Attributes
    ----------
    ended : threading.Event
    response : urllib3.response.HTTPResponse
    progress : RunProgress
    reached : bool
        Whether the engine is known to have begun the run.
    held : bool
        Whether the engine confirmed an attach, which shows that it is up and has the run queued or running.
    """

    __slots__ = (
        "call",
        "command",
        "ended",
        "held",
        "on_token",
        "progress",
        "reached",
        "received",
        "response",
        "_on_event",
        "_aborted",
        "_connect_timeout_s",
        "_connection",
        "_connector",
        "_engine_connection",
        "_may_send",
        "_memory",
        "_method",
        "_raw_response",
        "_read_timeout_s",
        "_saw_end",
        "_socket",
    )

    def __init__(
        self,
        *,
        command,
        call,
        received,
        on_event,
        on_token,
        connect_timeout_s,
        connector,
        memory=None,
        may_send=lambda engine: True,
    ):
        self.ended = threading.Event()
        self.command = command
        self.call = call
        self.received = received
        self.on_token = on_token
        self._on_event = on_event
        self.progress = RunProgress(command=command, received=received, on_event=on_event)
        self.reached = command.attach
        self.held = False
        self.response = None
        self._connect_timeout_s = connect_timeout_s
        self._connector = connector
        self._may_send = may_send
        self._memory = memory or AnswerMemory()
        if received.hold is None:
            received.hold = self._memory.open()
        self._aborted = False
        self._connection = None
        self._engine_connection = None
        self._method = ""
        self._raw_response = None
        self._read_timeout_s = -math.inf
        self._saw_end = False
        self._socket = None

    def run(self) -> RunEnded:
        """Send the run, read the answer and return how it ended."""
        try:
            outcome = self._connect()
            if outcome is None:
                outcome = self._exchange_outcome()
        finally:
            self._close()
            self.ended.set()
        return self._ended(outcome)

    def abort(self):
        """Shut down the connection, so that the reading thread ends immediately as cancelled."""
        self._aborted = True
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed: the exchange is ending by itself.
        self._memory.wake()

    # Used by dialects.

    @property
    def output_tokens(self) -> int:
        """Tokens received so far, by this run and the request's earlier runs."""
        return self.received.output_tokens

    def set_read_timeout(self, seconds):
        """Set the timeout of the next read, to within ``TIMEOUT_TOLERANCE_S``.

        Raises
        ------
        TimeoutError
            If ``seconds`` isn't positive.
        """
        if seconds <= 0:
            raise TimeoutError
        if abs(seconds - self._read_timeout_s) < TIMEOUT_TOLERANCE_S:
            return
        self._read_timeout_s = seconds
        # ``getresponse`` sets the socket's timeout from the connection's.
        self._connection.timeout = seconds
        self._socket.settimeout(seconds)

    def mark_end(self):
        """Record that the answer shows its own end: by an event of its stream, or as an answer that has no body."""
        self._saw_end = True

    def chunks(self):
        """Iterate over the body in pieces as they arrive.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            If the connection ended before the body did, or was closed by this process.
        """
        if self.response.chunked:
            return self._read_chunked()
        return self._read_until_closed()

    def read_body(self, length=None, *, max_bytes) -> bytes | memoryview:
        """Read a body to its end.

        Parameters
        ----------
        length : int or None
            The declared length; without one, the body ends with its chunks or with the connection.
        max_bytes : int

        Raises
        ------
        AnswerTooLong, AnswerMemoryFull
        ConnectionError
            If the body ends early.
        """
        if length is not None and length > max_bytes:
            raise AnswerTooLong(f"the answer's declared length of {length} bytes is over {max_bytes}")
        body = AnswerBuffer(length=length)
        for data in self.chunks() if length is None else self._read_length(length):
            self.reserve(body.size + len(data), max_bytes=max_bytes if length is None else length)
            body.append(data)
            if length is None:
                self.set_read_timeout(self.progress.time_left_for_token_s())
        return body.value()

    def reserve(self, size, *, max_bytes=MAX_ANSWER_BYTES):
        """Wait for memory for the first ``size`` bytes of the answer, or those of it that can't be passed on yet.

        Raises
        ------
        AnswerTooLong, AnswerMemoryFull
        """
        hold = self.received.hold
        if size <= SMALL_ANSWER_BYTES and not hold.partial:
            return
        hold.grow(
            size,
            max_bytes=max_bytes,
            timeout_s=self.progress.time_left_s(self.command.progress_deadline_s),
            is_cancelled=lambda: self._aborted,
        )

    def record_answer(self, body):
        """Record a plain answer, or an engine's error, as received."""
        self.received.status = self.response.status
        self.received.headers = dict(self.response.headers)
        self.received.body = body

    def cut(self, detail):
        """Outcome of an answer that was cut off or belonged to another run."""
        return RunCut(detail=detail, output_tokens=self.output_tokens, reached=self.reached)

    def done(self):
        """Outcome of a complete answer."""
        received = self.received
        return RunDone(
            prompt_tokens=received.prompt_tokens,
            cached_tokens=received.cached_tokens,
            output_tokens=self.output_tokens,
        )

    def _read_length(self, length):
        left = length
        while left > 0:
            self.set_read_timeout(self.progress.time_left_s(self.command.progress_deadline_s))
            data = self.response.read1(min(left, READ_BYTES), decode_content=False)
            if not data:
                raise ConnectionError("the body ended early")
            left -= len(data)
            yield data
        self.mark_end()

    def _read_until_closed(self):
        while data := self.response.read1(READ_BYTES, decode_content=False):
            yield data
        # An answer without a length ends with its connection, so an end that the engine did not cause must not count.
        if self._aborted:
            raise ConnectionAbortedError("the connection was shut down to cancel the run")
        if self._engine_connection.is_broken:
            raise ConnectionResetError("the path through another router was lost")
        self.mark_end()

    def _read_chunked(self):
        if self._method == "HEAD":
            self.mark_end()
            return
        decoder = ChunkedDecoder()
        # The first read returns what was received together with the head, if anything was. The file's buffer is
        # smaller than the read, so it is empty afterwards.
        data = self._raw_response.fp.read1(CHUNK_READ_BYTES)
        while data:
            if body := decoder.feed(data):
                yield body
            if decoder.is_complete:
                self.mark_end()
                return
            if not body:
                # The caller of this iterator sets the timeout only after data. Without this, an engine that sends a
                # size line or a trailer byte by byte would hold the run beyond all its limits.
                self.set_read_timeout(self.progress.time_left_for_token_s())
            data = self._socket.recv(CHUNK_READ_BYTES)
        if not decoder.has_last_chunk:
            raise ProtocolError("Response ended prematurely")
        self.mark_end()

    def _make_raw_response(self, sock, **options):
        self._raw_response = StrictResponse(sock, **options)
        return self._raw_response

    # Connecting and sending.

    def _connect(self):
        # Each run has a new connection, not a pooled one: an idle pooled connection may have
        # been closed by the engine, and a request would then fail after its bytes were written.
        # An engine that read the request and died looks the same, so the request could not be
        # sent again. A new connection costs one round trip, and if it fails, certainly nothing
        # was sent. It also means that no run starts on a connection that went silent while idle.
        timeout_s = max(min(self._connect_timeout_s, self.command.overall_s), MIN_TIMEOUT_S)
        try:
            self._engine_connection = self._connector.connect(
                engine=self.command.engine, address=self.command.address, timeout_s=timeout_s
            )
        except CONNECT_ERRORS as error:
            return RunNotSent(detail=f"no connection: {type(error).__name__}")
        self._connection = self._engine_connection.http
        self._connection.response_class = self._make_raw_response
        self._socket = self._connection.sock
        if self._aborted:
            return RunNotSent(detail="cancelled before it was sent")
        return None

    def _exchange_outcome(self):
        try:
            outcome = self._exchange()
        except (ReadTimeoutError, TimeoutError):
            outcome = RunSilent(output_tokens=self.output_tokens, reached=self.reached, held=self.held)
        except AnswerTooLong as error:
            outcome = RunTooLong(detail=str(error), output_tokens=self.output_tokens)
        except AnswerMemoryFull as error:
            outcome = RunDropped(detail=str(error), output_tokens=self.output_tokens)
        except InvalidResponse as error:
            outcome = self.cut(f"the answer can't be read: {error}")
        except (HTTPError, http.client.HTTPException, OSError) as error:
            outcome = self.cut(f"connection lost: {type(error).__name__}")
        except ValueError as error:
            outcome = self.cut(f"the answer can't be read: {error}")
        if isinstance(outcome, WHOLE_ANSWERS) and not self._saw_end:
            outcome = self.cut("the answer's end was not received")
        if isinstance(outcome, WHOLE_ANSWERS):
            self.received.hold.keep()
        else:
            self.received.hold.drop()
        if self._aborted and isinstance(outcome, RunCut | RunSilent | RunDropped):
            return RunCancelled(output_tokens=self.output_tokens)
        return outcome

    def _exchange(self):
        self.set_read_timeout(self.progress.time_left_s(self.command.first_token_deadline_s))
        self._log_late_send()
        # This level of urllib3 is used because it neither retries nor follows redirects: a
        # hidden second send would be a second dispatch.
        head = self.call.head(self.command, self.received)
        self._method = head.method
        if not self.command.attach and not self._may_send(self.command.engine):
            return RunNotSent(detail="the engine left before the run was sent")
        try:
            self._connection.request(
                head.method,
                head.target,
                body=head.body,
                headers=head.headers,
                preload_content=False,
                decode_content=False,
            )
        except (ValueError, http.client.HTTPException) as error:
            # The library rejects the head (a line break in a header, a blank in the path)
            # while it is building it: nothing was written.
            return RunNotSent(detail=f"the request cannot be written: {type(error).__name__}")
        except BrokenPipeError:
            pass  # The engine stopped reading; it may have sent an answer with the reason before.
        self.response = self._connection.getresponse()
        notice = self.call.notice(self)
        if notice is not None and (notice.restricts_load or self.command.was_limited):
            self._on_event(notice)
            if notice.rest_s and self._engine_connection.via:
                # To the engine the router that carries the connection is the one that it asked to back off.
                self._on_event(dataclasses.replace(notice, entry=self._engine_connection.via))
        return self.call.read(self)

    def _log_late_send(self):
        waited_s = self.progress.duration_s
        if waited_s > LATE_SEND_THRESHOLD_S:
            logger.bind(run_id=self.command.run_id, engine=self.command.engine, waited_s=round(waited_s, 3)).info(
                "a run was sent late: its engine was slow to accept the connection"
            )

    # Closing and the outcome.

    def _close(self):
        # Both have to be closed: the response keeps the socket open until it is closed itself,
        # and to the engine an open socket means that the answer is still being read.
        if self.response is not None:
            self.response.close()
        if self._connection is not None:
            self._connection.close()
        # The connection refers to this object, which would keep the answer until the next garbage collection.
        self._connection = self.response = self._raw_response = None

    def _ended(self, outcome) -> RunEnded:
        ended = {
            "run_id": self.command.run_id,
            "outcome": outcome,
            "duration_s": self.progress.duration_s,
            "first_token_s": self.progress.first_token_s,
        }
        is_complete_plain_answer = isinstance(outcome, RunDone) and not self.call.is_streamed
        if not is_complete_plain_answer and not isinstance(outcome, RunRejected | RunFailed):
            return RunEnded(**ended)
        received = self.received
        body = bytes(received.body) if len(received.body) <= MAX_RECORDED_BYTES else b""
        content_type = received.headers.get("Content-Type", "")
        return RunEnded(**ended, status=received.status or OK, content_type=content_type, body=body)
