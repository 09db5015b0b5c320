"""Incremental check that a streamed answer is complete and belongs to its run; does no I/O."""

import json

from wagtailtrestle.record import record

CANCELLED_REASON = "cancelled"
EVENT_END = b"\n\n"
CARRIAGE_RETURN = b"\r"
DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 1_048_576
"""Limit on an incomplete event, which is copied with each piece that arrives."""
DECODE_JSON = json.JSONDecoder().raw_decode


@record
class AnswerFault:
    """Reason why an answer is not the complete answer of its run."""

    detail: str


class ReceivedAnswer:
    """Received parts of one request's answer, over all of its runs.

    Attributes
    ----------
    tokens : list of str
        Texts of the checked tokens without gaps; the token with index ``i`` is at ``i - 1``.
    finish_reason : str
        Empty until the last chunk.
    prompt_tokens, cached_tokens, completion_tokens : int
        Usage as reported by the engine.
    done : bool
        Whether the end mark was received.
    status, headers, body
        Those of a plain answer or of an engine's error.
    text_bytes : int
        Size of the tokens' texts, estimated as one byte for each character.
    hold : AnswerHold or None
        The memory of the tokens, and of an event that is incomplete.
    """

    __slots__ = (
        "hold",
        "text_bytes",
        "tokens",
        "finish_reason",
        "prompt_tokens",
        "cached_tokens",
        "completion_tokens",
        "done",
        "status",
        "headers",
        "body",
    )

    def __init__(self):
        self.hold = None
        self.text_bytes = 0
        self.tokens = []
        self.finish_reason = ""
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.completion_tokens = 0
        self.done = False
        self.status = 0
        self.headers = {}
        self.body = b""

    @property
    def output_tokens(self) -> int:
        """Tokens received so far."""
        return len(self.tokens)

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(self.tokens)

    def add_token(self, text):
        """Add the text of the next token."""
        self.tokens.append(text)
        self.text_bytes += len(text)


class AnswerCheck:
    """Checks the events of one run and adds its tokens to what was received.

    Detects an answer of another run on this connection (its id differs), a token lost
    between engine and router (a gap in the indices), a token sent twice (its index is known
    already: dropped) and an answer that ends early (no finish reason, no end mark, or a
    different token count). Only checked tokens reach ``on_token``, so a caller never receives
    a token of another run, not even at the start of a stream.

    Parameters
    ----------
    run_id : str
    received : ReceivedAnswer
    on_token : callable
        ``on_token(index, text)`` for each new token, in order.
    """

    __slots__ = ("_run_id", "_received", "_on_token", "_unparsed", "_frame_prefix", "_frame_suffix")

    def __init__(self, *, run_id, received, on_token):
        # The end of an earlier run (cancelled, or complete but for its token count) doesn't apply to this one.
        received.finish_reason = ""
        received.completion_tokens = 0
        received.done = False
        self._run_id = run_id
        self._received = received
        self._on_token = on_token
        self._unparsed = b""
        self._frame_prefix = b""
        self._frame_suffix = b""

    def feed(self, data) -> AnswerFault | None:
        """Process bytes of the stream; return the first fault found."""
        data = self._unparsed + data
        if CARRIAGE_RETURN in data:
            # CRLF line ends are allowed; JSON contains none. A carriage return that is separated
            # from its line feed here stays in the unparsed bytes until the line feed arrives.
            data = data.replace(CARRIAGE_RETURN + b"\n", b"\n")
        events = data.split(EVENT_END)
        self._unparsed = events.pop()
        if len(self._unparsed) > MAX_EVENT_BYTES:
            return AnswerFault(detail="an event does not end")
        for event in events:
            if self._frame_prefix and self._apply_matching_event(event):
                continue
            fault = self._apply_event(event)
            if fault is not None:
                return fault
        return None

    def end(self) -> AnswerFault | None:
        """Check that the answer is complete, at the end of the stream."""
        received = self._received
        if not received.done:
            return AnswerFault(detail="the stream ended without its end mark")
        if received.completion_tokens != len(received.tokens):
            return AnswerFault(
                detail=f"{len(received.tokens)} tokens received, {received.completion_tokens} counted by the engine"
            )
        return None

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the tokens received so far and of an incomplete event."""
        return self._received.text_bytes + len(self._unparsed)

    @property
    def cancelled(self) -> bool:
        """Whether the engine reports that the run was cancelled."""
        return self._received.finish_reason == CANCELLED_REASON

    def _apply_matching_event(self, event) -> bool:
        """Apply a token whose event differs from a checked one only in its index and text.

        Parsing events is most of a router's work on a stream, and all fields but two are the
        same bytes each time. Bytes that equal those of a checked event need no second check.
        """
        index = len(self._received.tokens) + 1
        head = b"id: %d\n%b" % (index, self._frame_prefix)
        if not (event.startswith(head) and event.endswith(self._frame_suffix)):
            return False
        try:
            quoted = event[len(head) : -len(self._frame_suffix)].decode()
            text, end = DECODE_JSON(quoted)
        except ValueError:
            return False
        if end != len(quoted) or not isinstance(text, str):
            return False
        self._received.add_token(text)
        self._on_token(index, text)
        return True

    def _learn_event_frame(self, data, text):
        """Store the bytes around the text of a checked event, if it has no usage and the text occurs only once."""
        quoted = json.dumps(text).encode()
        if data.count(quoted) != 1 or b'"usage"' in data:
            return
        head, _, tail = data.partition(quoted)
        self._frame_prefix = b"data: " + head
        self._frame_suffix = tail

    def _apply_event(self, event) -> AnswerFault | None:
        event_id, data = _split_event(event)
        if data is None:
            return None
        if data == DONE_DATA:
            return self._apply_end_mark()
        try:
            chunk = json.loads(data)
            choice = chunk["choices"][0]
        except (ValueError, LookupError, TypeError):
            return AnswerFault(detail="an event is no completion chunk")
        if chunk.get("id") != self._run_id:
            return AnswerFault(detail="crossed: the answer carries another run's id")
        usage = chunk.get("usage")
        if usage:
            self._apply_usage(usage)
        if choice.get("finish_reason"):
            return self._apply_finish(choice["finish_reason"], usage)
        return self._apply_token(event_id, choice, data)

    def _apply_token(self, event_id, choice, data) -> AnswerFault | None:
        tokens = self._received.tokens
        try:
            index = int(event_id)
        except ValueError:
            return AnswerFault(detail="a token has no index")
        if index <= len(tokens):
            return None
        if index != len(tokens) + 1:
            return AnswerFault(detail=f"gap: token {index} follows token {len(tokens)}")
        text = choice["text"] if "text" in choice else choice.get("delta", {}).get("content")
        if not isinstance(text, str):
            return AnswerFault(detail=f"token {index} has no text")
        self._received.add_token(text)
        self._on_token(index, text)
        if not self._frame_prefix:
            self._learn_event_frame(data, text)
        return None

    def _apply_finish(self, reason, usage) -> AnswerFault | None:
        if not usage:
            return AnswerFault(detail="the last chunk counts nothing")
        self._received.finish_reason = reason
        self._received.completion_tokens = usage.get("completion_tokens", 0)
        return None

    def _apply_usage(self, usage):
        self._received.prompt_tokens = usage.get("prompt_tokens", 0)
        self._received.cached_tokens = usage.get("cached_tokens", 0)

    def _apply_end_mark(self) -> AnswerFault | None:
        if not self._received.finish_reason:
            return AnswerFault(detail="end mark without a finish reason")
        self._received.done = True
        return None


def _split_event(event):
    """Return ``(id, data)`` of an event; ``data`` is ``None`` for a comment."""
    event_id = b""
    data = None
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data = value if data is None else data + b"\n" + value
        elif name == b"id":
            event_id = value
    return event_id, data
