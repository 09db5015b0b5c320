"""Request bodies: read within limits and validated; size and prefix hashes of the prompt are determined."""

import hashlib
import json
import re

from cheroot.errors import MaxSizeExceeded

from wagtailtrestle.callers.prompt_shape import PromptShape, chat_text, shape_of
from wagtailtrestle.callers.route_match import CHAT_PATH
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal
from wagtailtrestle.record import record

DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


@record
class LanguageBody:
    """The validated body of a completion request; ``fields`` is the complete document that the caller sent."""

    fields: dict
    model: str
    stream: bool
    include_usage: bool
    output_tokens: int
    shape: PromptShape


@record
class BodyLength:
    """The declared length of a body in bytes, or that it is sent in chunks."""

    size: int
    chunked: bool


class BodyFault(Exception):
    """An invalid body, with the detail for the caller. Not raised outside this module."""


def body_length(environ: dict) -> BodyLength | Refusal:
    """Return how the end of the body is determined, or a refusal if that is ambiguous."""
    chunked = bool(environ.get("wsgi.input_terminated"))
    declared = environ.get("CONTENT_LENGTH")
    if chunked and declared is not None:
        # Request smuggling: a load balancer that uses the length while this server uses the chunks
        # would find another request boundary, and one caller could receive another's response.
        return bad_request("A body can't have both a length and a chunked coding.")
    if declared is not None and not LENGTH_PATTERN.fullmatch(declared):
        return bad_request("'Content-Length' must be a whole number.")
    return BodyLength(size=int(declared or 0), chunked=chunked)


def read_body(*, stream, length: BodyLength) -> bytes | Refusal:
    """Read a complete body; a truncated one is refused."""
    if length.chunked:
        return _read_chunked(stream)
    body = stream.read(length.size)
    if len(body) < length.size:
        return bad_request("The body ended before its declared length.")
    return body


def _read_chunked(stream):
    try:
        body = stream.read()
        # The line after the last chunk belongs to this request. If it were left unread, it would look
        # like the start of a next request and occupy a thread that waits for the rest.
        for _ in stream.read_trailer_lines():
            pass
    except TimeoutError:
        raise
    except (MaxSizeExceeded, OSError):
        return too_large("The body exceeds the allowed bytes.")
    except ValueError:
        return bad_request("The chunked body is malformed or ended early.")
    return body


def parse_language(*, body: bytes, path: str) -> LanguageBody | Refusal:
    """Validate the body of a completion request; a refusal names the invalid field."""
    try:
        return _parse(body=body, chat=path == CHAT_PATH)
    except BodyFault as error:
        return bad_request(str(error))


def body_digest(*, method: str, path: str, body: bytes, prompt: str = "") -> str:
    """Return the SHA-256 of method, path and body, which detects an idempotency key reused for another request.

    ``prompt`` names the prompt where the body doesn't hold it.
    """
    digest = hashlib.sha256()
    digest.update(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    if prompt:
        digest.update(f"{prompt}\n".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.hexdigest()


def bad_request(detail: str) -> Refusal:
    """Return a 400 for an error that the caller can correct."""
    return Refusal(status=400, reason=Reason.BAD_REQUEST, executed=Executed.NO, detail=detail)


def too_large(detail: str) -> Refusal:
    """Return a 413."""
    return Refusal(status=413, reason=Reason.TOO_LARGE, executed=Executed.NO, detail=detail)


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
