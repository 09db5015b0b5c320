"""Encodes answers of the stand-in engine as server-sent events or one JSON body, with injected faults."""

import json
import queue

from wagtailtrestle.standins.http_serving import break_connection, connection_closed, hold_silent
from wagtailtrestle.standins.prompts import token_text

ACCEPTED = b": accepted\n\n"
DONE = b"data: [DONE]\n\n"
POLL_S = 0.5
OTHER_RUN = "another-run"
OTHER_ANSWER = "foreign"


class EventText:
    """Encodes the server-sent events of one run."""

    __slots__ = ("_run", "_answer_key", "_head", "_tail")

    def __init__(self, *, run, answer_id=None, answer_key=None):
        self._run = run
        self._answer_key = answer_key or run.answer_key
        kind = "chat.completion.chunk" if run.chat else "text_completion"
        self._head = f'data: {{"id":{json.dumps(answer_id or run.run_id)},"object":"{kind}","choices":[{{"index":0,'
        self._tail = ',"finish_reason":null}]'

    def token(self, index) -> bytes:
        """Return the event of one token; the first one includes the usage, with the cached tokens."""
        text = json.dumps(token_text(self._answer_key, index))
        part = f'"delta":{{"content":{text}}}' if self._run.chat else f'"text":{text}'
        batch = self._run.batch_run
        usage = f',"usage":{json.dumps(usage_of(self._run))}' if index == batch.resume_tokens + 1 else ""
        return f"id: {index}\n{self._head}{part}{self._tail}{usage}}}\n\n".encode()

    def tokens(self, first, last) -> bytes:
        """Return the events of the tokens from ``first`` to ``last``."""
        return b"".join(self.token(index) for index in range(first, last + 1))

    def end(self) -> bytes:
        """Return the last chunk and the ``[DONE]`` event, which a cancelled run does not get."""
        part = '"delta":{}' if self._run.chat else '"text":""'
        reason = self._run.finish_reason()
        usage = json.dumps(usage_of(self._run))
        chunk = f'{self._head}{part},"finish_reason":"{reason}"}}],"usage":{usage}}}\n\n'.encode()
        return chunk if reason == "cancelled" else chunk + DONE


def usage_of(run) -> dict:
    """Return usage in the chat API's format; ``completion_tokens`` includes resumed tokens."""
    batch = run.batch_run
    return {
        "prompt_tokens": batch.prompt_tokens,
        "completion_tokens": run.last_index,
        "total_tokens": batch.prompt_tokens + run.last_index,
        "cached_tokens": batch.cached_tokens,
    }


class Following:
    """One connection that follows one run.

    Parameters
    ----------
    run : LiveRun
    reader : Reader
    from_token : int
        Index of the last token that the client already has.
    connection
        The server's connection.
    stopping : threading.Event
        Set when the server stops.
    """

    __slots__ = ("run", "_reader", "_sent", "_ended", "_connection", "_stopping")

    def __init__(self, *, run, reader, from_token, connection, stopping):
        self.run = run
        self._reader = reader
        self._sent = from_token
        self._ended = False
        self._connection = connection
        self._stopping = stopping

    def ranges(self):
        """Yield ``(first, last)`` of the new tokens after each step until the run ends."""
        while (newest := self._newest()) is not None:
            if newest > self._sent:
                first, self._sent = self._sent + 1, newest
                yield first, newest

    def wait_end(self):
        """Wait until the run ends, without yielding its tokens."""
        for _ in self.ranges():
            pass

    def stream(self, fault):
        """Yield the bytes of a streamed answer, with ``fault`` injected unless it is ``None``."""
        text = EventText(run=self.run)
        yield ACCEPTED
        if fault is None:
            for first, last in self.ranges():
                yield text.tokens(first, last)
        else:
            for index in self._indices():
                yield from self._token_with(fault, text, index)
        yield text.end()

    def _newest(self):
        """Wait for a step; return the newest index, or ``None`` once the run has ended."""
        newest = None
        while newest is None and not self._ended:
            newest = self._next_index()
        # Tokens that arrived meanwhile are sent in the same write.
        while not self._ended and not self._reader.indices.empty():
            newest = self._next_index() or newest
        return newest

    def _next_index(self):
        try:
            index = self._reader.indices.get(timeout=POLL_S)
        except queue.Empty:
            if connection_closed(self._connection):
                break_connection(self._connection)
            return None
        if self._reader.cut.is_set():
            break_connection(self._connection)
        if self._reader.silent.is_set():
            hold_silent(self._connection, self._stopping)
        self._ended = index is None
        return index

    def _indices(self):
        for first, last in self.ranges():
            yield from range(first, last + 1)

    def _token_with(self, fault, text, index):
        if index <= fault.after_tokens:
            yield text.token(index)
            return
        first_faulty = index == fault.after_tokens + 1
        if fault.kind == "cut":
            break_connection(self._connection)
        if fault.kind == "silent":
            hold_silent(self._connection, self._stopping)
        if fault.kind == "cross":
            yield EventText(run=self.run, answer_id=OTHER_RUN, answer_key=OTHER_ANSWER).token(index)
            return
        if fault.kind == "gap" and first_faulty:
            return
        if fault.kind == "late" and first_faulty:
            self._stopping.wait(fault.late_s)
        yield text.token(index)
        if fault.kind == "duplicate":
            yield text.token(index)


class StreamFault:
    """Fault of one streamed answer after its first ``after_tokens`` tokens."""

    __slots__ = ("kind", "after_tokens", "late_s")

    def __init__(self, *, kind, after_tokens, late_s):
        self.kind = kind
        self.after_tokens = after_tokens
        self.late_s = late_s


def complete_body(run) -> bytes:
    """Return the complete answer of a run as one JSON body."""
    answer = "".join(token_text(run.answer_key, index) for index in range(1, run.last_index + 1))
    choice = {"index": 0, "finish_reason": run.finish_reason()}
    if run.chat:
        choice["message"] = {"role": "assistant", "content": answer}
    else:
        choice["text"] = answer
    kind = "chat.completion" if run.chat else "text_completion"
    return json.dumps({"id": run.run_id, "object": kind, "choices": [choice], "usage": usage_of(run)}).encode()
