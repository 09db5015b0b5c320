"""One sending of one run to an engine, over a connection of its own, followed to its end."""

import http.client
import socket
import threading

from loguru import logger
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError, ReadTimeoutError
from urllib3.exceptions import TimeoutError as UrllibTimeoutError

from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.contracts.outcomes import (
    RunCancelled,
    RunCut,
    RunDone,
    RunFailed,
    RunNotSent,
    RunRejected,
    RunSilent,
)
from wagtailtrestle.declarations.argument_types import split_address
from wagtailtrestle.engines.run_progress import RunProgress

READ_BYTES = 65536
MAX_ERROR_BYTES = 65536
MAX_PLAIN_BYTES = 32 * 1024 * 1024
MAX_RECORDED_BYTES = 65536
MIN_TIMEOUT_S = 0.001
OK = 200
LATE_SEND_THRESHOLD_S = 0.25
"""Time to connect beyond which what was decided when the run was granted may hold no more."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""An engine whose VM vanished sends no end of connection. Probed so, its run ends as cut some three
seconds later, and what may be repeated has time left for another engine."""
UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""The same for bytes that nobody acknowledges, while the request is being written."""


class RunExchange:
    """Sends once, reads to the end, and says how it ended; used by one thread.

    What is said and how the answer reads is the call's matter (:class:`EngineDialect`); what is
    common to all of them is here: the connection, its limits on silence, and its ends.
    Only :meth:`abort` may be called from another thread.

    Parameters
    ----------
    command : StartRun
    call : EngineDialect
    received : ReceivedAnswer
    on_event, on_token : callable
        See :meth:`wagtailtrestle.engines.client.EngineClient.run`.
    connect_timeout_s : float

    Attributes
    ----------
    ended : threading.Event
    response : urllib3.response.HTTPResponse
    progress : RunProgress
    reached : bool
        Whether the engine is known to have begun the run.
    held : bool
        Whether the engine confirmed an attach: it lives and has the run, in its queue or its batch.
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
        "_socket",
    )

    def __init__(self, *, command, call, received, on_event, on_token, connect_timeout_s):
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
        self._aborted = False
        self._connection = None
        self._socket = None

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

    # What dialects use.

    @property
    def output_tokens(self) -> int:
        """Tokens received so far, by this run and those before it."""
        return self.received.output_tokens

    def set_read_timeout(self, seconds):
        """Let the next read wait so long.

        Raises
        ------
        TimeoutError
            If no time is left.
        """
        if seconds <= 0:
            raise TimeoutError
        # ``getresponse`` sets the socket's timeout from the connection's.
        self._connection.timeout = seconds
        self._socket.settimeout(seconds)

    def chunks(self):
        """The body in pieces as they come."""
        # Of the library's ways to read a chunked body this one does the least for each chunk.
        if self.response.chunked:
            return self.response.read_chunked(decode_content=False)
        return iter(lambda: self.response.read1(READ_BYTES, decode_content=False), b"")

    def read_body(self, length) -> bytes:
        """A body of declared length.

        Raises
        ------
        ConnectionError
            If it ends early.
        """
        parts = []
        left = length
        while left > 0:
            self.set_read_timeout(self.progress.time_left_s(self.command.progress_deadline_s))
            data = self.response.read1(min(left, READ_BYTES), decode_content=False)
            if not data:
                raise ConnectionError("the body ended early")
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    def record_answer(self, body):
        """Note the whole answer as received."""
        self.received.status = self.response.status
        self.received.headers = dict(self.response.headers)
        self.received.body = body

    def cut(self, detail):
        """The outcome of an answer that broke off or was not this run's."""
        return RunCut(detail=detail, output_tokens=self.output_tokens, reached=self.reached)

    def done(self):
        """The outcome of a whole answer."""
        received = self.received
        return RunDone(
            prompt_tokens=received.prompt_tokens,
            cached_tokens=received.cached_tokens,
            output_tokens=self.output_tokens,
        )

    # Connecting and sending.

    def _connect(self):
        # A connection of its own for each run, no pool: an idle pooled connection may have
        # been closed by the engine, and then a request fails after its bytes were written;
        # nobody can tell that from an engine that read it and died, so it could not be sent
        # again. It costs one round trip, and a failure here is certain: nothing was sent.
        # It also means that no run ever starts on a connection that went silent while idle.
        host, port = split_address(self.command.address)
        timeout = max(min(self._connect_timeout_s, self.command.overall_s), MIN_TIMEOUT_S)
        self._connection = HTTPConnection(host, port, timeout=timeout)
        try:
            self._connection.connect()
        except (NewConnectionError, UrllibTimeoutError, OSError) as error:
            return RunNotSent(detail=f"no connection: {type(error).__name__}")
        self._socket = self._connection.sock
        _enable_keepalive(self._socket)
        if self._aborted:
            return RunNotSent(detail="cancelled before it was sent")
        return None

    def _exchange_outcome(self):
        try:
            outcome = self._exchange()
        except (ReadTimeoutError, TimeoutError):
            outcome = RunSilent(output_tokens=self.output_tokens, reached=self.reached, held=self.held)
        except (HTTPError, http.client.HTTPException, OSError) as error:
            outcome = self.cut(f"connection lost: {type(error).__name__}")
        if self._aborted and isinstance(outcome, RunCut | RunSilent):
            return RunCancelled(output_tokens=self.output_tokens)
        return outcome

    def _exchange(self):
        self.set_read_timeout(self.progress.time_left_s(self.command.first_token_deadline_s))
        self._log_late_send()
        # Neither retries nor redirects exist at this level of urllib3, on purpose: a hidden
        # second sending would be a second dispatch.
        head = self.call.head(self.command, self.received)
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
            # The library refuses the head (a line break in a header, a blank in the path)
            # while it still builds it: nothing was written.
            return RunNotSent(detail=f"the request cannot be written: {type(error).__name__}")
        except BrokenPipeError:
            pass  # The engine stopped reading; it may have answered why before it did.
        self.response = self._connection.getresponse()
        notice = self.call.notice(self)
        if notice is not None and (notice.asks_something or self.command.was_limited):
            self._on_event(notice)
        return self.call.read(self)

    def _log_late_send(self):
        waited_s = self.progress.duration_s
        if waited_s > LATE_SEND_THRESHOLD_S:
            logger.bind(run_id=self.command.run_id, engine=self.command.engine, waited_s=round(waited_s, 3)).info(
                "a run was sent late: its engine was slow to take the connection"
            )

    # Ends.

    def _close(self):
        # Both: the response keeps the socket open until it is closed itself, and an open
        # socket tells the engine that somebody still reads.
        if self.response is not None:
            self.response.close()
        if self._connection is not None:
            self._connection.close()

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
        body = received.body if len(received.body) <= MAX_RECORDED_BYTES else b""
        content_type = received.headers.get("Content-Type", "")
        return RunEnded(**ended, status=received.status or OK, content_type=content_type, body=body)


def _enable_keepalive(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
