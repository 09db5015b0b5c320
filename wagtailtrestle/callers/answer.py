"""Responses to callers: the response being written, and one ``Answer`` for each kind of request."""

from typing import Protocol

from wagtailtrestle.callers.problem import (
    EXECUTED_HEADER,
    REQUEST_ID_HEADER,
    status_line,
)
from wagtailtrestle.callers.stream import (
    JSON_TYPE,
    SSE_TYPE,
    AnswerEnd,
    EventWriter,
    decode_completion,
    encode_completion,
)
from wagtailtrestle.contracts.exchange import AnswerRecorded
from wagtailtrestle.contracts.outcomes import Executed, Refusal
from wagtailtrestle.engines.answer_check import ReceivedAnswer
from wagtailtrestle.record import record

BODYLESS_STATUSES = frozenset({204, 304})
# Headers of the connection to the engine, and the id of the run on it.
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)


class CallerResponse:
    """The response to one request, written by the thread that handles it.

    Parameters
    ----------
    start_response : callable
        The ``start_response`` of WSGI.
    request_id : str
        The request id that the caller receives.
    closes_connection : callable
        Returns whether to close the connection after this response.
    problem : callable
        ``problem(refusal, request_id)`` returns status, header pairs and body of a refusal.

    Attributes
    ----------
    on_disconnect : callable
        Called once when a write fails because the caller has disconnected.
    aborted : bool
        Whether the response was aborted; the connection then closes without the last chunk.
    """

    __slots__ = (
        "request_id",
        "started",
        "disconnected",
        "aborted",
        "status",
        "_start_response",
        "on_disconnect",
        "_closes_connection",
        "_problem",
        "_write",
    )

    def __init__(self, *, start_response, request_id, closes_connection, problem):
        self.request_id = request_id
        self.started = False
        self.disconnected = False
        self.aborted = False
        self.status = 0
        self._problem = problem
        self._start_response = start_response
        self.on_disconnect = _ignore
        self._closes_connection = closes_connection
        self._write = None

    def begin(self, *, status: int, headers: list):
        """Set status and headers, which are sent with the first bytes of the body."""
        if self._closes_connection():
            headers = [*headers, ("Connection", "close")]
        self.started = True
        self.status = status
        self._write = self._start_response(status_line(status), headers)

    def write(self, data: bytes):
        """Send bytes immediately; discard them if the caller has disconnected."""
        if self.disconnected:
            return
        try:
            self._write(data)
        except OSError:
            self.disconnected = True
            self.on_disconnect()

    def send(self, *, status: int, content_type: str, body: bytes, executed=Executed.YES, extra_headers=()):
        """Send a complete response."""
        headers = [(EXECUTED_HEADER, executed.value), (REQUEST_ID_HEADER, self.request_id), *extra_headers]
        if status not in BODYLESS_STATUSES:
            headers.append(("Content-Length", str(len(body))))
        if content_type:
            headers.append(("Content-Type", content_type))
        self.begin(status=status, headers=headers)
        if body and status not in BODYLESS_STATUSES:
            self.write(body)

    def send_refusal(self, refusal: Refusal):
        """Send a refusal as the complete response."""
        status, headers, body = self._problem(refusal, self.request_id)
        self.begin(status=status, headers=headers)
        self.write(body)

    def abort(self):
        """Abort the response, so that the caller can't mistake what was sent for a complete one."""
        self.aborted = True


def _ignore():
    """Ignore a disconnect that no handler was set for."""


@record
class RecordableAnswer:
    """A complete answer as the ledger stores it."""

    content_type: str
    body: bytes


class Answer(Protocol):
    """How one kind of request is answered, in one piece or as a stream."""

    def token(self, text: str) -> None:
        """Process one token when it arrives from the engine."""

    def complete(self, received: ReceivedAnswer) -> None:
        """Finish the response with an answer that was received completely and checked."""

    def recordable(self, received: ReceivedAnswer) -> RecordableAnswer:
        """Return the complete answer, to be replayed to a later request with the same idempotency key."""

    def recorded(self, command: AnswerRecorded) -> None:
        """Send the recorded answer of an earlier request."""

    def refuse(self, refusal: Refusal) -> None:
        """Finish the response with a refusal."""


class BufferedAnswer:
    """A completion sent in one piece, after it was received completely and checked."""

    __slots__ = ("_response", "_model", "_chat")

    def __init__(self, *, response: CallerResponse, model: str, chat: bool):
        self._response = response
        self._model = model
        self._chat = chat

    def token(self, text):
        """Send nothing before the end; the text is kept in the ``ReceivedAnswer``."""

    def complete(self, received):
        """Send the answer assembled from the engine's stream."""
        answer = self.recordable(received)
        self._response.send(status=200, content_type=answer.content_type, body=answer.body)

    def recordable(self, received):
        """Return the JSON document that the caller is sent."""
        body = encode_completion(
            request_id=self._response.request_id,
            model=self._model,
            chat=self._chat,
            text=received.text,
            end=answer_end(received),
        )
        return RecordableAnswer(content_type=JSON_TYPE, body=body)

    def recorded(self, command):
        """Give an earlier answer."""
        self._response.send(status=command.status, content_type=command.content_type, body=command.body)

    def refuse(self, refusal):
        """Send a problem."""
        self._response.send_refusal(refusal)


class StreamedAnswer(BufferedAnswer):
    """A completion streamed token by token; the headers are sent with the first token."""

    __slots__ = ("_events",)

    def __init__(self, *, response: CallerResponse, events: EventWriter, model: str, chat: bool):
        super().__init__(response=response, model=model, chat=chat)
        self._events = events

    def token(self, text):
        """Send one token's event."""
        if not self._response.started:
            self._begin()
        self._response.write(self._events.token(text))

    def complete(self, received):
        """Send the final events, by which the caller knows that the answer is complete."""
        self._end(answer_end(received))

    def recorded(self, command):
        """Send a recorded answer as a stream with a single token, since the caller requested a stream."""
        text, end = decode_completion(command.body)
        self.token(text)
        self._end(end)

    def refuse(self, refusal):
        """Send a problem if the response has not started, else an error event without ``[DONE]``."""
        if self._response.started:
            self._response.write(self._events.error(refusal=refusal))
        else:
            self._response.send_refusal(refusal)

    def _end(self, end):
        if not self._response.started:
            self._begin()
        self._response.write(self._events.end(end))

    def _begin(self):
        headers = [
            ("Content-Type", SSE_TYPE),
            ("Cache-Control", "no-store"),
            (REQUEST_ID_HEADER, self._response.request_id),
            (EXECUTED_HEADER, Executed.YES.value),
        ]
        self._response.begin(status=200, headers=headers)


class PlainAnswer:
    """The answer of a plain service, forwarded in one piece."""

    __slots__ = ("_response",)

    def __init__(self, *, response: CallerResponse):
        self._response = response

    def token(self, text):
        """Do nothing: plain services send no tokens."""

    def complete(self, received):
        """Forward the service's status, headers and body; an error status of the service is a complete answer too."""
        headers = [(name, value) for name, value in received.headers.items() if name.lower() not in UNFORWARDED_HEADERS]
        self._response.send(status=received.status, content_type="", body=received.body, extra_headers=headers)

    def recordable(self, received):
        """Return content type and body; the status is recorded separately."""
        return RecordableAnswer(content_type=received.headers.get("Content-Type", ""), body=bytes(received.body))

    def recorded(self, command):
        """Give an earlier answer."""
        self._response.send(status=command.status, content_type=command.content_type, body=command.body)

    def refuse(self, refusal):
        """Send a problem."""
        self._response.send_refusal(refusal)


def answer_end(received: ReceivedAnswer) -> AnswerEnd:
    """Return the finish reason and token counts of a received answer."""
    return AnswerEnd(
        finish_reason=received.finish_reason,
        prompt_tokens=received.prompt_tokens,
        completion_tokens=received.completion_tokens,
        cached_tokens=received.cached_tokens,
    )
