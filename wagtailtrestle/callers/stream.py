"""Encoding of a language service's answers: as server-sent events or as one JSON document.

The engine's events are not forwarded. Each event is encoded anew with the caller's request id, so that
neither a run's id nor an answer of another run can reach the caller.
"""

import json
import time

from wagtailtrestle.callers.problem import stream_error_event
from wagtailtrestle.contracts.outcomes import Refusal
from wagtailtrestle.record import record

SSE_TYPE = "text/event-stream; charset=utf-8"
JSON_TYPE = "application/json"
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
CHAT_OBJECT = "chat.completion"
CHAT_CHUNK_OBJECT = "chat.completion.chunk"
TEXT_OBJECT = "text_completion"


@record
class AnswerEnd:
    """Finish reason and token counts of an answer that was checked to be complete."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int

    def usage(self) -> dict:
        """Return the ``usage`` object in the format that client libraries expect."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


class EventWriter:
    """Server-sent events of one streamed answer, as bytes.

    Parameters
    ----------
    request_id, model : str
    chat : bool
        Chat completion; otherwise text completion.
    include_usage : bool
        Whether the caller requested a final event with the usage.
    """

    __slots__ = ("_head", "_first", "_prefix", "_suffix", "_include_usage", "_chat")

    def __init__(self, *, request_id, model, chat, include_usage):
        self._chat = chat
        self._include_usage = include_usage
        self._head = {
            "id": request_id,
            "object": CHAT_CHUNK_OBJECT if chat else TEXT_OBJECT,
            "created": int(time.time()),
            "model": model,
        }
        # Everything except the token's text is the same in each event, so it is encoded only once
        # and each token costs the encoding of one short string.
        opening = b"data: " + json.dumps(self._head).encode()[:-1] + b', "choices": [{"index": 0, '
        if chat:
            self._first = opening + b'"delta": {"role": "assistant", "content": '
            self._prefix = opening + b'"delta": {"content": '
            self._suffix = b'}, "finish_reason": null}]}' + EVENT_END
        else:
            self._first = self._prefix = opening + b'"text": '
            self._suffix = b', "finish_reason": null}]}' + EVENT_END

    def token(self, text: str) -> bytes:
        """Return the event of one token."""
        event = self._first + json.dumps(text).encode() + self._suffix
        self._first = self._prefix
        return event

    def end(self, end: AnswerEnd) -> bytes:
        """Return the final events of a complete answer."""
        choice = {"index": 0, "finish_reason": end.finish_reason}
        choice.update({"delta": {}} if self._chat else {"text": ""})
        events = [self._event({"choices": [choice]})]
        if self._include_usage:
            events.append(self._event({"choices": [], "usage": end.usage()}))
        events.append(DONE_EVENT)
        return b"".join(events)

    def _event(self, members):
        return b"data: " + json.dumps(self._head | members).encode() + EVENT_END

    def error(self, *, refusal: Refusal) -> bytes:
        """Return the final event of a stream that can't be completed; no ``[DONE]`` follows."""
        return stream_error_event(refusal=refusal, request_id=self._head["id"])


def encode_completion(*, request_id: str, model: str, chat: bool, text: str, end: AnswerEnd) -> bytes:
    """Encode a non-streamed completion as JSON."""
    choice = {"index": 0, "finish_reason": end.finish_reason, "logprobs": None}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    answer = {
        "id": request_id,
        "object": CHAT_OBJECT if chat else TEXT_OBJECT,
        "created": int(time.time()),
        "model": model,
        "choices": [choice],
        "usage": end.usage(),
    }
    return json.dumps(answer).encode()


def decode_completion(body: bytes) -> tuple:
    """Return text and ``AnswerEnd`` of an answer encoded by ``encode_completion``."""
    answer = json.loads(body)
    choice = answer["choices"][0]
    text = choice["text"] if "text" in choice else choice["message"]["content"]
    usage = answer["usage"]
    end = AnswerEnd(
        finish_reason=choice["finish_reason"],
        prompt_tokens=usage["prompt_tokens"],
        completion_tokens=usage["completion_tokens"],
        cached_tokens=usage["prompt_tokens_details"]["cached_tokens"],
    )
    return text, end


def model_list(names: list) -> bytes:
    """Return the response body of ``/v1/models``."""
    data = [{"id": name, "object": "model", "created": 0, "owned_by": "wagtailtrestle"} for name in names]
    return json.dumps({"object": "list", "data": data}).encode()
