"""Heads of responses and framings of bodies that can't be understood, read by each client and through a router."""

import http.client
import io
import string
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError

from tests.test_answer_end import ScriptedEngine
from tests.utils.platform_world import World
from tests.utils.world_engine import Engine
from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.contracts.outcomes import RunCut, RunDone
from wagtailtrestle.engines.chunked_body import ChunkedDecoder
from wagtailtrestle.engines.connector import DirectConnector
from wagtailtrestle.engines.run_exchange import RunExchange
from wagtailtrestle.platform.engines import PlatformCall, PlatformReceived
from wagtailtrestle.short_response import limit_responses, read_body
from wagtailtrestle.strict_response import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    InvalidResponse,
    StrictResponse,
    parse_chunk_size,
    parse_length,
)

WAIT_S = 5.0
BODY = b"id: 1\ndata: whole\n\n"
CHUNKS = b"5\r\nid: 1\r\ne\r\n\ndata: whole\n\n\r\n0\r\n\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"Request-Id: r1\r\nResponse-Stamp: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)

MALFORMED_LINES = {
    "no colon": b"segment 3 flushed",
    "empty name": b": value",
    "blank in the name": b"X Log: value",
    "tab in the name": b"X\tLog: value",
    "name beyond ASCII": b"X-\xe9: value",
    "separator in the name": b"X(Log): value",
    "NUL in the name": b"X-\x00Log: value",
    "NUL in the value": b"X-Log: val\x00ue",
    "lone CR in the value": b"X-Log: val\rue",
    "lone CR at the end": b"X-Log: value\r",
    "control character": b"X-Log: val\x0bue",
    "DEL": b"X-Log: val\x7fue",
}
MALFORMED_FRAMINGS = {
    "empty length": b"Content-Length: \r\n",
    "words for a length": b"Content-Length: five\r\n",
    "negative length": b"Content-Length: -5\r\n",
    "signed length": b"Content-Length: +19\r\n",
    "hexadecimal length": b"Content-Length: 0x13\r\n",
    "underscore in a length": b"Content-Length: 1_9\r\n",
    "superscript digit": b"Content-Length: \xb9\r\n",
    "fraction": b"Content-Length: 19.0\r\n",
    "folded length": b"Content-Length: 1\r\n 9\r\n",
    "length of thousands of digits": b"Content-Length: " + b"1" * 5_000 + b"\r\n",
    "unlike lengths": LENGTH + b"Content-Length: 3\r\n",
    "list of unlike lengths": b"Content-Length: 19, 3\r\n",
    "list with an empty length": b"Content-Length: 19,\r\n",
    "unknown coding": b"Transfer-Encoding: zip\r\n",
    "empty coding": b"Transfer-Encoding: \r\n",
    "unknown coding before chunks": b"Transfer-Encoding: gzip, chunked\r\n",
    "chunks twice": CHUNKED + CHUNKED,
    "coding with a parameter": b"Transfer-Encoding: chunked; x=1\r\n",
    "coding and length": b"Transfer-Encoding: identity\r\n" + LENGTH,
}
MALFORMED_STATUS_LINES = {
    "underscore": b"HTTP/1.1 2_0 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "another version": b"HTTP/2.0 200 OK",
    "two blanks": b"HTTP/1.1  200 OK",
    "control character in the reason": b"HTTP/1.1 200 O\x00K",
    "protocol switched": b"HTTP/1.1 101 Switching Protocols",
    "chunks in HTTP/1.0": b"HTTP/1.0 200 OK",
}
LEGAL_HEADS = {
    "repeated fields": STATUS + b"X-Log: a\r\nX-Log: b\r\n",
    "folded field": STATUS + b"X-Log: a,\r\n\tb\r\n",
    "empty value": STATUS + b"X-Log:\r\n",
    "no blank after the colon": STATUS + b"X-Log:a\r\n",
    "blank before the colon": STATUS + b"X-Log : a\r\n",
    "value beyond ASCII": STATUS + b"X-Log: caf\xc3\xa9 \x85 \xa0\r\n",
    "separators in a value": STATUS + b'X-Log: a:b "c; d" (e)\r\n',
    "empty reason": b"HTTP/1.1 200 \r\n",
    "no reason": b"HTTP/1.1 200\r\n",
    "reason beyond ASCII": b"HTTP/1.1 200 Tr\xe8s bien\r\n",
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + STATUS,
    "later version": b"HTTP/1.2 200 OK\r\n",
}
LEGAL_FRAMINGS = {
    "chunks": (CHUNKED, CHUNKS),
    "chunks in capitals": (b"TRANSFER-ENCODING: Chunked\r\n", CHUNKS),
    "chunks in a list with an empty element": (b"Transfer-Encoding: , chunked\r\n", CHUNKS),
    "chunks with extensions": (CHUNKED, CHUNKS.replace(b"5\r\n", b"005 ;a=b\r\n", 1)),
    "chunks and a length": (LENGTH.replace(b"19", b"3") + CHUNKED, CHUNKS),
    "length": (LENGTH, BODY),
    "length with zeros": (b"Content-Length: 0019\r\n", BODY),
    "the same length twice": (LENGTH + b"Content-Length: 19, 19\r\n", BODY),
    "until the connection ends": (b"Connection: close\r\n", BODY),
}
MALFORMED_CHUNKS = {
    "underscore": CHUNKS.replace(b"5\r\n", b"0_5\r\n", 1),
    "prefix": CHUNKS.replace(b"5\r\n", b"0x5\r\n", 1),
    "sign": CHUNKS.replace(b"5\r\n", b"+5\r\n", 1),
    "negative": CHUNKS.replace(b"5\r\n", b"-5\r\n", 1),
    "blank before": CHUNKS.replace(b"5\r\n", b" 5\r\n", 1),
    "empty": CHUNKS.replace(b"5\r\n", b"\r\n", 1),
    "lone CR": CHUNKS.replace(b"5\r\n", b"5\r;\r\n", 1),
    "wrong line end": CHUNKS.replace(b"id: 1\r\n", b"id: 1xx", 1),
    "too long a size": CHUNKS.replace(b"5\r\n", b"0" * 20 + b"5\r\n", 1),
    "cut before the last chunk": CHUNKS[:-5],
}


def malformed_responses():
    """Yield a name and the bytes of each malformed response; each has the body behind its head."""
    for name, line in MALFORMED_LINES.items():
        yield name, STATUS + FIELDS + line + b"\r\n" + CHUNKED + b"\r\n" + CHUNKS
        yield f"{name}, with a length", STATUS + FIELDS + line + b"\r\n" + LENGTH + b"\r\n" + BODY[:9]
    yield "folded line before all fields", STATUS + b" x\r\n" + FIELDS + CHUNKED + b"\r\n" + CHUNKS
    for name, framing in MALFORMED_FRAMINGS.items():
        yield name, STATUS + FIELDS + framing + b"\r\n" + (CHUNKS if b"chunked" in framing else BODY)
    for name, line in MALFORMED_STATUS_LINES.items():
        yield name, line + b"\r\n" + FIELDS + CHUNKED + b"\r\n" + CHUNKS
    for name, chunks in MALFORMED_CHUNKS.items():
        yield f"chunk size: {name}", STATUS + FIELDS + CHUNKED + b"\r\n" + chunks
    yield "too many fields", STATUS + FIELDS + b"X: y\r\n" * MAX_FIELDS + CHUNKED + b"\r\n" + CHUNKS
    yield "too long a head", STATUS + FIELDS + (b"X: " + b"y" * 60_000 + b"\r\n") * 5 + CHUNKED + b"\r\n" + CHUNKS
    yield "interim responses without end", b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_HEAD_BYTES // 25)


class FakeSocket:
    """A socket that received ``data`` and then the end of its connection."""

    def __init__(self, data):
        self._data = data

    def makefile(self, mode):
        return io.BufferedReader(io.BytesIO(self._data))


def read(data):
    """Return the body of a response that comes with the end of its connection."""
    response = StrictResponse(FakeSocket(data), method="GET")
    response.begin()
    return response.read()


class ReadersTest(unittest.TestCase):
    def run_outcome(self, data, *, is_streamed):
        """Return outcome and body of a run whose engine sends ``data`` and closes the connection."""
        engine = ScriptedEngine(data)
        self.addCleanup(engine.close)
        engine.release.set()
        received = PlatformReceived(tokens_per_event=1)
        command = StartRun(
            run_id="r1.1",
            engine="e1",
            address=engine.address,
            first_token_deadline_s=WAIT_S,
            progress_deadline_s=WAIT_S,
            overall_s=WAIT_S,
        )
        call = PlatformCall(
            method="GET", target="/x", headers={}, body=b"", request_id="r1", team="", is_streamed=is_streamed
        )
        events = []
        exchange = RunExchange(
            command=command,
            call=call,
            received=received,
            on_event=lambda event: None,
            on_token=lambda index, event: events.append(event),
            connect_timeout_s=1.0,
            connector=DirectConnector(),
        )
        outcome = exchange.run().outcome
        return outcome, b"".join(events) if is_streamed else received.body

    def short_body(self, data):
        """Return the body that the clients of load reports, cancels and the store read."""
        engine = ScriptedEngine(data)
        self.addCleanup(engine.close)
        engine.release.set()
        host, _, port = engine.address.partition(":")
        connection = HTTPConnection(host, int(port), timeout=WAIT_S)
        self.addCleanup(connection.close)
        limit_responses(connection, max_bytes=100_000)
        connection.request("GET", "/x", preload_content=False)
        return read_body(connection.getresponse(), max_bytes=100_000)

    # Guards against bodies with their framing in them, or parts of bodies, that pass for complete ones.
    def test_no_run_takes_a_malformed_response_for_complete(self):
        for name, data in malformed_responses():
            for is_streamed in (False, True):
                with self.subTest(name=name, is_streamed=is_streamed):
                    outcome, body = self.run_outcome(data, is_streamed=is_streamed)
                    self.assertIsInstance(outcome, RunCut)
                    self.assertTrue(BODY.startswith(body) if is_streamed else not body, body)

    # Guards against answers of the store and load reports that are read from a malformed response.
    def test_no_other_client_takes_a_malformed_response_for_complete(self):
        for name, data in malformed_responses():
            with self.subTest(name=name), self.assertRaises((http.client.HTTPException, ProtocolError)):
                self.short_body(data)

    # Guards against answers with an empty or short body that pass for whole, as the engine closed within the head.
    def test_no_head_that_is_cut_is_taken_for_a_complete_response(self):
        heads = {
            "length": STATUS + FIELDS + LENGTH,
            "length first": STATUS + LENGTH + FIELDS,
            "chunks": STATUS + FIELDS + CHUNKED,
            "no length": STATUS + FIELDS,
            "not run": b"HTTP/1.1 503 x\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n",
        }
        for name, head in heads.items():
            for size in range(len(head) + 1):
                with self.subTest(name=name, size=size):
                    outcome, body = self.run_outcome(head[:size], is_streamed=bool(size % 2))
                    self.assertIsInstance(outcome, RunCut)
                    self.assertFalse(body)
                    with self.assertRaises((http.client.HTTPException, ProtocolError, ConnectionError)):
                        self.short_body(head[:size])

    # Guards against sound engines whose unusual responses are refused.
    def test_unusual_responses_are_read(self):
        heads = [(name, head + FIELDS, CHUNKED, CHUNKS) for name, head in LEGAL_HEADS.items()]
        heads += [(name, STATUS + FIELDS, framing, body) for name, (framing, body) in LEGAL_FRAMINGS.items()]
        heads.append(("lines ended by LF", (STATUS + FIELDS).replace(b"\r", b""), LENGTH.replace(b"\r", b""), BODY))
        for name, head, framing, body in heads:
            data = head + framing + b"\r\n" + body
            for is_streamed in (False, True):
                with self.subTest(name=name, is_streamed=is_streamed):
                    outcome, received = self.run_outcome(data, is_streamed=is_streamed)
                    self.assertEqual((type(outcome), received), (RunDone, BODY))
            with self.subTest(name=name):
                self.assertEqual(self.short_body(data), BODY)

    def test_fields_as_a_proxy_forwards_them(self):
        data = STATUS + b"X-A : 1\r\nX-B: 2,\r\n  3\r\nX-A: 4\r\nContent-Length: 0, 00\r\n\r\n"
        response = StrictResponse(FakeSocket(data), method="GET")
        response.begin()
        fields = [("X-A", "1"), ("X-B", "2, 3"), ("X-A", "4"), ("Content-Length", "0")]
        self.assertEqual(response.headers.items(), fields)


class DrawnResponsesTest(unittest.TestCase):
    # Guards against lines of a head that change how its body is read without being an error.
    @settings(max_examples=500, deadline=None)
    @given(st.binary(min_size=1, max_size=40).filter(lambda line: b"\n" not in line and line.strip(b"\r")))
    def test_a_drawn_line_is_refused_or_changes_nothing(self, line):
        for framing, body in ((CHUNKED, CHUNKS), (LENGTH, BODY)):
            try:
                found = read(STATUS + FIELDS + line + b"\r\n" + framing + b"\r\n" + body)
            except InvalidResponse:
                continue
            self.assertEqual(found, BODY)

    # Guards against numbers that Python reads and HTTP doesn't have.
    @settings(max_examples=500, deadline=None)
    @given(st.text(alphabet=string.hexdigits + "_xX+- .,²١", max_size=8))
    def test_numbers(self, text):
        is_length = bool(text.strip(" ")) and set(text.strip(" ")) <= set(string.digits)
        is_size = bool(text.rstrip()) and set(text.rstrip()) <= set(string.hexdigits)
        self.check_number(lambda: parse_length([text]), is_length, text, 10)
        self.check_number(lambda: parse_chunk_size(text.encode()), is_size, text, 16)

    def check_number(self, parse, is_number, text, base):
        if is_number:
            self.assertEqual(parse(), int(text, base))
        elif "," not in text or base == 16:
            with self.assertRaises(InvalidResponse):
                parse()

    # Guards against chunks whose end is not where their size says, however the bytes arrive.
    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.binary(min_size=1, max_size=20), min_size=1, max_size=5), st.data())
    def test_chunks_in_drawn_pieces(self, chunks, data):
        ends = [b"\r\n"] * len(chunks)
        is_whole = data.draw(st.booleans())
        if not is_whole:
            wrong = data.draw(st.binary(min_size=2, max_size=2).filter(lambda end: end != b"\r\n"))
            ends[data.draw(st.integers(0, len(chunks) - 1))] = wrong
        pairs = zip(chunks, ends, strict=True)
        coded = b"".join(b"%x\r\n%b%b" % (len(chunk), chunk, end) for chunk, end in pairs) + b"0\r\n\r\n"
        decoder, found, at = ChunkedDecoder(), b"", 0
        try:
            while at < len(coded):
                size = data.draw(st.integers(1, len(coded) - at))
                found += decoder.feed(coded[at : at + size])
                at += size
        except ProtocolError:
            self.assertFalse(is_whole)
            return
        self.assertTrue(is_whole)
        self.assertEqual((found, decoder.is_complete), (b"".join(chunks), True))


class SpoilingEngine(Engine):
    """Sends ``line`` within the head of each answer, in front of the line that frames its body."""

    line = MALFORMED_LINES["no colon"] + b"\r\n"

    def _answer(self, handler, how):
        head = "".join(f"{name}: {value}\r\n" for name, value in self._answer_headers(handler)).encode()
        handler.close_connection = True
        handler.wfile.write(STATUS + head + self.line + CHUNKED + b"\r\n" + CHUNKS)
        self.seen.append({"request-id": handler.headers["Request-Id"]})


class RouterTest(unittest.TestCase):
    def setUp(self):
        self.world = World(make_engines=self.make_engines).start()
        self.addCleanup(self.world.close)

    @staticmethod
    def make_engines(store):
        services = (("a-1", "assistant"), ("b-1", "booking"))
        return {name: SpoilingEngine(name=name, service=service) for name, service in services}

    # Guards against a caller that gets the sizes of chunks as a part of a complete answer.
    def test_callers_get_no_body_of_a_malformed_answer(self):
        paths = (("POST", "/book/1"), ("GET", "/status/1"), ("POST", "/stream/1"), ("POST", "/stream-once/1"))
        for number, (method, path) in enumerate(paths):
            answer = self.world.request(method, path, request_id=f"bad-{number}")
            self.assertEqual(answer.status, 502, path)
            self.assertNotIn("Response-Stamp", answer.headers)
        for engine in self.world.engines.values():
            engine.line = b"X-Log : segment 3,\r\n\tflushed\r\n"
        for number, (method, path) in enumerate(paths):
            answer = self.world.request(method, path, request_id=f"good-{number}")
            self.assertEqual((answer.status, answer.body, answer.is_complete), (200, BODY, True), path)


if __name__ == "__main__":
    unittest.main()
