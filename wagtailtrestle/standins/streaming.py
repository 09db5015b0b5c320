"""The answers of the stand-in engine as bytes: server-sent events or one JSON body, with faults."""

import json
import queue
import time

from wagtailtrestle.standins.http_serving import StreamCutError, connection_closed, hold_silent
from wagtailtrestle.standins.prompts import token_text
from wagtailtrestle.standins.runs import LOST

ACCEPTED = b": accepted\n\n"
DONE = b"data: [DONE]\n\n"
POLL_S = 0.5
OTHER_RUN = "another-run"


class EventText:
    """Writes the events of one run."""

    __slots__ = ("_run", "_head", "_tail")

    def __init__(self, *, run, answer_id=None):
        self._run = run
        kind = "chat.completion.chunk" if run.chat else "text_completion"
        self._head = f'data: {{"id":{json.dumps(answer_id or run.run_id)},"object":"{kind}","choices":[{{"index":0,'
        self._tail = ',"finish_reason":null}]'

    def token(self, index) -> bytes:
        """Write one token's event; the first one tells the use of the cache."""
        text = json.dumps(token_text(self._run.answer_key, index))
        part = f'"delta":{{"content":{text}}}' if self._run.chat else f'"text":{text}'
        batch = self._run.batch_run
        usage = f',"usage":{json.dumps(usage_of(self._run))}' if index == batch.resume_tokens + 1 else ""
        return f"id: {index}\n{self._head}{part}{self._tail}{usage}}}\n\n".encode()

    def tokens(self, first, last) -> bytes:
        """Write the events of the tokens from ``first`` to ``last``."""
        return b"".join(self.token(index) for index in range(first, last + 1))

    def end(self) -> bytes:
        """Write the last chunk and the end mark; a cancelled run has no end mark."""
        part = '"delta":{}' if self._run.chat else '"text":""'
        reason = self._run.finish_reason()
        usage = json.dumps(usage_of(self._run))
        chunk = f'{self._head}{part},"finish_reason":"{reason}"}}],"usage":{usage}}}\n\n'.encode()
        return chunk if reason == "cancelled" else chunk + DONE


def usage_of(run) -> dict:
    """Usage in the shape chat clients know; ``completion_tokens`` includes resumed tokens."""
    batch = run.batch_run
    return {
        "prompt_tokens": batch.prompt_tokens,
        "completion_tokens": batch.last_index,
        "total_tokens": batch.prompt_tokens + batch.last_index,
        "cached_tokens": batch.cached_tokens,
    }


def follow(*, run, reader, from_token, connection):
    """Yield ``(first, last)`` ranges of new tokens until the run ends."""
    sent = from_token
    while True:
        try:
            newest = reader.indices.get(timeout=POLL_S)
        except queue.Empty:
            if connection_closed(connection):
                raise StreamCutError from None
            continue
        if reader.silent.is_set():
            hold_silent(connection)
        if newest is None:
            break
        if newest > sent:
            yield sent + 1, newest
            sent = newest
    if run.state == LOST:
        raise StreamCutError


def stream(*, run, reader, from_token, connection, fault):
    """Yield the bytes of a streamed answer."""
    text = EventText(run=run)
    yield ACCEPTED
    ranges = follow(run=run, reader=reader, from_token=from_token, connection=connection)
    if fault is not None:
        ranges = _one_by_one(ranges)
    for first, last in ranges:
        if fault is not None and first > fault.after_tokens:
            yield from _faulty(fault, run, text, first, connection)
        else:
            yield text.tokens(first, last)
    yield text.end()


class StreamFault:
    """What one streamed answer suffers after so many tokens."""

    __slots__ = ("kind", "after_tokens", "late_s")

    def __init__(self, *, kind, after_tokens, late_s):
        self.kind = kind
        self.after_tokens = after_tokens
        self.late_s = late_s


def _one_by_one(ranges):
    for first, last in ranges:
        for index in range(first, last + 1):
            yield index, index


def _faulty(fault, run, text, index, connection):
    first_faulty = index == fault.after_tokens + 1
    if fault.kind == "cut":
        raise StreamCutError
    if fault.kind == "silent":
        hold_silent(connection)
    if fault.kind == "cross":
        yield EventText(run=run, answer_id=OTHER_RUN).token(index)
        return
    if fault.kind == "gap" and first_faulty:
        return
    if fault.kind == "late" and first_faulty:
        time.sleep(fault.late_s)
    yield text.token(index)
    if fault.kind == "duplicate":
        yield text.token(index)


def whole_body(run) -> bytes:
    """Write the whole answer of a run as one JSON body."""
    answer = "".join(token_text(run.answer_key, index) for index in range(1, run.batch_run.last_index + 1))
    choice = {"index": 0, "finish_reason": run.finish_reason()}
    if run.chat:
        choice["message"] = {"role": "assistant", "content": answer}
    else:
        choice["text"] = answer
    kind = "chat.completion" if run.chat else "text_completion"
    return json.dumps({"id": run.run_id, "object": kind, "choices": [choice], "usage": usage_of(run)}).encode()
