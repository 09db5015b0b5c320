"""A caller's body: read within limits, checked at the edge, its size and prefix taken."""

import hashlib
import json
import time
from dataclasses import dataclass

from wagtailtrestle.outcomes import Executed, Reason, Refusal
from wagtailtrestle.prompt_shape import PromptShape, chat_text, shape_of
from wagtailtrestle.route_match import CHAT_PATH

READ_PIECE_BYTES = 65_536
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


@dataclass(slots=True, frozen=True, kw_only=True)
class LanguageBody:
    """A completion's body after its checks; ``fields`` is what the caller sent, whole."""

    fields: dict
    model: str
    stream: bool
    include_usage: bool
    output_tokens: int
    shape: PromptShape


class BodyFault(Exception):
    """A body that can't be taken; carries the sentence for the caller. Stays in this module."""


def read_body(*, stream, length, deadline) -> bytes | Refusal:
    """Read a body whole.

    Parameters
    ----------
    stream : file object
        ``wsgi.input``; its reads end by the connection's timeout.
    length : int or None
        Declared length; ``None`` for a chunked body, which ends itself.
    deadline : float
        ``time.monotonic`` at which a sender is too slow: without it a caller that sends
        one byte before each timeout would hold a thread for ever.
    """
    pieces = []
    remaining = length
    while remaining is None or remaining > 0:
        if time.monotonic() > deadline:
            return slow_sender()
        size = READ_PIECE_BYTES if remaining is None else min(READ_PIECE_BYTES, remaining)
        piece = stream.read(size)
        if not piece:
            break
        pieces.append(piece)
        if remaining is not None:
            remaining -= len(piece)
    if remaining:
        return bad_request("The body ended before its declared length.")
    return b"".join(pieces)


def parse_language(*, body: bytes, path: str) -> LanguageBody | Refusal:
    """Check a completion's body; every fault is answered with the field's name."""
    try:
        return _parse(body=body, chat=path == CHAT_PATH)
    except BodyFault as fault:
        return bad_request(str(fault))


def body_digest(*, method: str, path: str, body: bytes) -> str:
    """SHA-256 of method, path and body: tells whether a key is used again for another request."""
    digest = hashlib.sha256()
    digest.update(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.hexdigest()


def bad_request(detail: str) -> Refusal:
    """A 400 for something the caller can mend."""
    return Refusal(status=400, reason=Reason.BAD_REQUEST, executed=Executed.NO, detail=detail)


def slow_sender() -> Refusal:
    """A 408 for a body that takes too long to arrive."""
    return Refusal(
        status=408, reason=Reason.BAD_REQUEST, executed=Executed.NO, detail="The request took too long to arrive."
    )


def _parse(*, body, chat):
    fields = _json_object(body)
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise BodyFault("'model' must name a service.")
    if fields.get("n", 1) not in (1, None):
        raise BodyFault("'n' must be 1: one answer is given to one request.")
    stream = _flag(fields, "stream")
    options = fields.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise BodyFault("'stream_options' must be an object.")
    return LanguageBody(
        fields=fields,
        model=model,
        stream=stream,
        include_usage=_flag(options or {}, "include_usage"),
        output_tokens=_output_tokens(fields),
        shape=_chat_shape(fields) if chat else _text_shape(fields),
    )


def _json_object(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise BodyFault("The body is not valid JSON.") from None
    if not isinstance(fields, dict):
        raise BodyFault("The body must be a JSON object.")
    return fields


def _flag(fields, name):
    value = fields.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise BodyFault(f"'{name}' must be true or false.")
    return value


def _output_tokens(fields):
    for name in LIMIT_FIELDS:
        value = fields.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= MAX_OUTPUT_TOKENS:
            raise BodyFault(f"'{name}' must be a whole number from 1 to {MAX_OUTPUT_TOKENS}.")
        return value
    return DEFAULT_OUTPUT_TOKENS


def _chat_shape(fields):
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BodyFault("'messages' must be a list with at least one message.")
    for position, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BodyFault(f"'messages[{position}]' must be an object with a 'role'.")
        if not isinstance(message.get("content"), str | list | None):
            raise BodyFault(f"'messages[{position}].content' must be a text or a list of parts.")
    return shape_of(chat_text(messages))


def _text_shape(fields):
    prompt = fields.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1 and isinstance(prompt[0], str):
        prompt = prompt[0]
    if isinstance(prompt, str):
        return shape_of(prompt)
    if isinstance(prompt, list) and prompt and all(type(token) is int for token in prompt):
        return PromptShape(tokens=len(prompt))
    raise BodyFault("'prompt' must be one text or one list of token numbers.")
