"""What a caller is sent: the response being written, and one way of answering for each kind of request."""

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
# Of the connection to the engine, or naming the run there.
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
    """The response of one request, written from the thread that carries it.

    Parameters
    ----------
    start_response : callable
        WSGI's.
    request_id : str
        As the caller reads it.
    closing : callable
        Whether the connection is to end with this answer.
    problem : callable
        ``problem(refusal, request_id)`` gives status, header pairs and body of a refusal.

    Attributes
    ----------
    on_gone : callable
        Called once when a write finds the caller gone.
    aborted : bool
        Whether the answer was broken off; its connection ends without the mark of a whole answer.
    """

    __slots__ = (
        "request_id",
        "begun",
        "gone",
        "aborted",
        "status",
        "_start_response",
        "on_disconnect",
        "_closing",
        "_problem",
        "_write",
    )

    def __init__(self, *, start_response, request_id, closing, problem):
        self.request_id = request_id
        self.begun = False
        self.gone = False
        self.aborted = False
        self.status = 0
        self._problem = problem
        self._start_response = start_response
        self.on_disconnect = _ignore
        self._closing = closing
        self._write = None

    def begin(self, *, status: int, headers: list):
        """Give the head; it leaves with the first bytes written."""
        if self._closing():
            headers = [*headers, ("Connection", "close")]
        self.begun = True
        self.status = status
        self._write = self._start_response(status_line(status), headers)

    def write(self, data: bytes):
        """Send bytes now; once the caller is gone they are dropped."""
        if self.gone:
            return
        try:
            self._write(data)
        except OSError:
            self.gone = True
            self.on_disconnect()

    def send(self, *, status: int, content_type: str, body: bytes, executed=Executed.YES, extra_headers=()):
        """Give a whole answer."""
        headers = [(EXECUTED_HEADER, executed.value), (REQUEST_ID_HEADER, self.request_id), *extra_headers]
        if status not in BODYLESS_STATUSES:
            headers.append(("Content-Length", str(len(body))))
        if content_type:
            headers.append(("Content-Type", content_type))
        self.begin(status=status, headers=headers)
        if body and status not in BODYLESS_STATUSES:
            self.write(body)

    def send_refusal(self, refusal: Refusal):
        """Give a refusal as the whole answer."""
        status, headers, body = self._problem(refusal, self.request_id)
        self.begin(status=status, headers=headers)
        self.write(body)

    def abort(self):
        """Break the answer off: what was sent must not look whole."""
        self.aborted = True


def _ignore():
    """Nothing is to be told yet of a caller who left."""


@record
class RecordableAnswer:
    """A whole answer as the ledger keeps it."""

    content_type: str
    body: bytes


class Answer(Protocol):
    """How one kind of request is answered, once or in pieces."""

    def token(self, text: str) -> None:
        """Take one token of the answer as it arrives."""

    def complete(self, received: ReceivedAnswer) -> None:
        """Everything arrived and was checked."""

    def recordable(self, received: ReceivedAnswer) -> RecordableAnswer:
        """The whole answer, for a later request with the same idempotency key."""

    def recorded(self, command: AnswerRecorded) -> None:
        """Give the recorded answer of an earlier request."""

    def refuse(self, refusal: Refusal) -> None:
        """End without a whole answer."""


class BufferedAnswer:
    """A completion given in one piece, once it was checked complete."""

    __slots__ = ("_response", "_model", "_chat")

    def __init__(self, *, response: CallerResponse, model: str, chat: bool):
        self._response = response
        self._model = model
        self._chat = chat

    def token(self, text):
        """Nothing leaves before the end; the text is kept with what was received."""

    def complete(self, received):
        """Send the answer assembled from the engine's stream."""
        answer = self.recordable(received)
        self._response.send(status=200, content_type=answer.content_type, body=answer.body)

    def recordable(self, received):
        """The same JSON that a caller is sent."""
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
    """A completion given token by token; its head leaves with the first token."""

    __slots__ = ("_events",)

    def __init__(self, *, response: CallerResponse, events: EventWriter, model: str, chat: bool):
        super().__init__(response=response, model=model, chat=chat)
        self._events = events

    def token(self, text):
        """Send one token's event."""
        if not self._response.begun:
            self._begin()
        self._response.write(self._events.token(text))

    def complete(self, received):
        """Send the closing events; only these tell the caller that it has everything."""
        self._end(answer_end(received))

    def recorded(self, command):
        """Give an earlier answer as a stream of one token, since a stream was asked for."""
        text, end = decode_completion(command.body)
        self.token(text)
        self._end(end)

    def refuse(self, refusal):
        """A problem if nothing was sent yet, else an error event and no ``[DONE]``."""
        if self._response.begun:
            self._response.write(self._events.error(refusal=refusal))
        else:
            self._response.send_refusal(refusal)

    def _end(self, end):
        if not self._response.begun:
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
    """A plain service's answer, passed on whole."""

    __slots__ = ("_response",)

    def __init__(self, *, response: CallerResponse):
        self._response = response

    def token(self, text):
        """Plain services send no tokens."""

    def complete(self, received):
        """Pass on the service's status, headers and body; its own refusal is a whole answer too."""
        headers = [(name, value) for name, value in received.headers.items() if name.lower() not in UNFORWARDED_HEADERS]
        self._response.send(status=received.status, content_type="", body=received.body, extra_headers=headers)

    def recordable(self, received):
        """Type and body; the status is recorded beside them."""
        return RecordableAnswer(content_type=received.headers.get("Content-Type", ""), body=received.body)

    def recorded(self, command):
        """Give an earlier answer."""
        self._response.send(status=command.status, content_type=command.content_type, body=command.body)

    def refuse(self, refusal):
        """Send a problem."""
        self._response.send_refusal(refusal)


def answer_end(received: ReceivedAnswer) -> AnswerEnd:
    """The closing facts of what an engine sent."""
    return AnswerEnd(
        finish_reason=received.finish_reason,
        prompt_tokens=received.prompt_tokens,
        completion_tokens=received.completion_tokens,
        cached_tokens=received.cached_tokens,
    )
