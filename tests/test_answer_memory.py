"""Memory for the answers of engines: long answers, many of them at once, and answers without end."""

import random
import threading
import time
import unittest
from pathlib import Path

from tests.utils.platform_world import World, configuration
from tests.utils.world_engine import Engine
from wagtailtrestle.engines.answer_check import MAX_EVENT_BYTES, AnswerCheck, AnswerFault, ReceivedAnswer
from wagtailtrestle.engines.answer_memory import (
    MAX_ANSWER_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerBuffer,
    AnswerMemory,
    AnswerMemoryFull,
    AnswerTooLong,
    answer_memory_bytes,
)

MEMORY_MB = 300
"""``memory_mb`` of a VM on the users' platform."""
CALLERS = 24
LONG_CALLERS = 14
WAIT_S = 20.0
PIECE = b"\x7f" * SMALL_ANSWER_BYTES
DECLARED = b"Content-Length: 99999999999\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LONG_BYTES = 24 * 1024 * 1024
"""Length of a complete answer that is allowed; ``LONG_CALLERS`` of them at once are not."""
ENDLESS = {
    "declared": (b"200", DECLARED, PIECE),
    "error": (b"500", DECLARED, PIECE),
    "not found": (b"404", DECLARED, PIECE),
    "chunked": (b"200", CHUNKED, b"%x\r\n%b\r\n" % (len(PIECE), PIECE)),
    "chunked error": (b"500", CHUNKED, b"%x\r\n%b\r\n" % (len(PIECE), PIECE)),
    "unframed": (b"200", b"", PIECE),
}
"""Status, framing and repeated piece of each form of an answer without end."""


def grow(hold, size, *, max_bytes=MAX_ANSWER_BYTES, timeout_s=0.0, is_cancelled=lambda: False):
    hold.grow(size, max_bytes=max_bytes, timeout_s=timeout_s, is_cancelled=is_cancelled)


class AnswerMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = AnswerMemory(limit_bytes=1_000)
        self.first, self.second = self.memory.open(), self.memory.open()

    def test_longer_than_allowed(self):
        with self.assertRaises(AnswerTooLong):
            grow(self.first, 101, max_bytes=100)

    # Guards against readers that each hold a part of the memory and wait for each other.
    def test_no_reader_takes_what_another_needs_to_end(self):
        grow(self.first, 400, max_bytes=800)
        with self.assertRaises(AnswerMemoryFull):
            grow(self.second, 500, max_bytes=900)
        grow(self.first, 800, max_bytes=800)
        grow(self.second, 200, max_bytes=200)

    # Guards against complete answers that don't count until their callers have received them.
    def test_complete_answers_count_until_the_request_ends(self):
        grow(self.first, 900, max_bytes=900)
        self.first.keep()
        with self.assertRaises(AnswerMemoryFull):
            grow(self.second, 200, max_bytes=200)
        self.first.close()
        grow(self.second, 200, max_bytes=200)

    def test_an_answer_that_replaces_another(self):
        grow(self.first, 500, max_bytes=500)
        self.first.keep()
        grow(self.first, 400, max_bytes=400)
        self.assertEqual(self.first.size, 900)
        self.first.keep()
        self.assertEqual(self.memory.dump()["used_bytes"], 400)

    def test_the_answer_of_a_run_that_failed_is_freed(self):
        grow(self.first, 900, max_bytes=900)
        self.first.drop()
        grow(self.second, 900, max_bytes=900)

    # Guards against streams that stay in the account after their last incomplete event.
    def test_an_answer_that_shrinks_to_nothing_is_forgotten(self):
        grow(self.first, 900, max_bytes=900)
        grow(self.first, 0, max_bytes=900)
        self.first.drop()
        self.first.close()
        self.assertEqual(self.memory.dump()["large_answers"], 0)
        grow(self.second, 1_000, max_bytes=1_000)

    # Guards against a cancelled run that waits for memory until its deadline.
    def test_a_cancelled_reader_stops_waiting(self):
        grow(self.first, 900, max_bytes=900)
        cancelled, failed = threading.Event(), threading.Event()

        def read():
            with self.assertRaises(AnswerMemoryFull):
                grow(self.second, 900, max_bytes=900, timeout_s=WAIT_S, is_cancelled=cancelled.is_set)
            failed.set()

        threading.Thread(target=read, daemon=True).start()
        self.assertFalse(failed.wait(0.1))
        cancelled.set()
        self.memory.wake()
        self.assertTrue(failed.wait(WAIT_S / 2))

    # Guards against a state in which readers of any sizes wait for each other.
    def test_readers_of_drawn_sizes_all_end(self):
        draw = random.Random(7)
        ended = []

        def read(length, declared, pieces):
            hold = self.memory.open()
            for piece in range(1, pieces + 1):
                grow(hold, length * piece // pieces, max_bytes=declared, timeout_s=WAIT_S)
            hold.keep()
            hold.close()
            ended.append(length)

        threads = []
        for _ in range(60):
            declared = draw.randint(1, 1_000)
            length = draw.randint(1, declared)
            threads.append(threading.Thread(target=read, args=(length, declared, draw.randint(1, 9)), daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT_S)
        self.assertEqual(len(ended), len(threads))
        self.assertEqual(self.memory.dump()["used_bytes"], 0)
        self.assertLessEqual(self.memory.dump()["peak_bytes"], 1_000)

    def test_a_router_has_memory_for_one_answer_of_any_allowed_length(self):
        for memory_mb in (0, 16, MEMORY_MB, 4_000):
            self.assertGreaterEqual(answer_memory_bytes(memory_mb), MAX_ANSWER_BYTES)
        self.assertLess(answer_memory_bytes(MEMORY_MB), MEMORY_MB * 1_000_000 / 4)


class AnswerBufferTest(unittest.TestCase):
    def test_pieces_are_joined_whatever_their_sizes(self):
        draw = random.Random(11)
        for length in (0, 1, SMALL_ANSWER_BYTES, SMALL_ANSWER_BYTES + 1, 1_000_003):
            for declared in (length, None):
                data = draw.randbytes(length)
                buffer = AnswerBuffer(length=declared)
                start = 0
                while start < length:
                    end = min(length, start + draw.randint(1, 100_000))
                    buffer.append(data[start:end])
                    start = end
                self.assertEqual((buffer.size, bytes(buffer.value())), (length, data))


class NativeEventTest(unittest.TestCase):
    # Guards against an event without end in the dialect that keeps each token.
    def test_a_native_event_without_end(self):
        check = AnswerCheck(run_id="r1", received=ReceivedAnswer(), on_token=lambda index, text: None)
        faults = [check.feed(PIECE) for _ in range(MAX_EVENT_BYTES // len(PIECE) + 1)]
        self.assertEqual([fault for fault in faults[:-1] if fault], [])
        self.assertIsInstance(faults[-1], AnswerFault)


class LongAnswersEngine(Engine):
    """Answers with ``form``: a key of ``ENDLESS``, or ``long`` for a complete answer of ``LONG_BYTES``."""

    form = "long"

    def _answer(self, handler, how):
        status, framing, piece = ENDLESS.get(self.form, (b"200", b"Content-Length: %d\r\n" % LONG_BYTES, PIECE))
        head = "".join(f"{name}: {value}\r\n" for name, value in self._answer_headers(handler)).encode()
        handler.close_connection = True
        handler.wfile.write(b"HTTP/1.1 %b x\r\n%b%b\r\n" % (status, head, framing))
        pieces = LONG_BYTES // len(PIECE) if self.form == "long" else 1_000_000
        try:
            for _ in range(pieces):
                handler.wfile.write(piece)
        except OSError:
            return


class RouterMemoryTest(unittest.TestCase):
    def setUp(self):
        self.world = World(make_engines=self.make_engines, memory_mb=MEMORY_MB, caller_threads=64)
        self.world.start()
        self.addCleanup(self.world.close)
        self.world.store.put("config", "main", configuration(2, timeout_ms=int(WAIT_S * 1_000)))
        time.sleep(1.0)

    @staticmethod
    def make_engines(store):
        makes = (
            (Engine, "a-1", "assistant"),
            (LongAnswersEngine, "b-1", "booking"),
            (LongAnswersEngine, "b-2", "booking"),
        )
        return {name: make(name=name, service=service) for make, name, service in makes}

    def peak_mb(self):
        status = Path(f"/proc/{self.world.routers[0].pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    def send_at_once(self, method, path, *, callers=CALLERS):
        """Send ``callers`` requests to the booking engines, beside streams of another service."""
        answers, streams = [], []
        ended = threading.Event()

        def ask(number):
            deadline_ms = str(int(WAIT_S * 1_000))
            request = {"request_id": f"{path}-{number}", "Deadline_Milliseconds": deadline_ms}
            answers.append(self.world.request(method, path, **request))

        def stream():
            while not ended.is_set():
                streams.append(self.world.request("POST", "/stream/x", request_id=f"s-{path}-{len(streams)}"))
                time.sleep(0.05)

        threads = [threading.Thread(target=ask, args=(number,), daemon=True) for number in range(callers)]
        side = threading.Thread(target=stream, daemon=True)
        for thread in (side, *threads):
            thread.start()
        for thread in threads:
            thread.join(2 * WAIT_S)
        ended.set()
        side.join(WAIT_S)
        return answers, streams

    # Guards against a router that ends over its memory limit, and with it the requests that it has passed on.
    def test_answers_without_end(self):
        for form in ENDLESS:
            with self.subTest(form=form):
                for name in ("b-1", "b-2"):
                    self.world.engines[name].form = form
                answers, streams = self.send_at_once("POST", f"/book/{form.replace(' ', '-')}")
                self.assertEqual(len(answers), CALLERS)
                self.check_failures(answers)
                self.assertTrue(all(answer.status == 200 and answer.is_complete for answer in streams))
                self.assertLess(self.peak_mb(), MEMORY_MB)

    def check_failures(self, answers):
        """Check that those answered 429 were not run, and that no other was answered as a success."""
        self.assertLessEqual({answer.status for answer in answers}, {429, 502})
        runs = {seen["request-id"] for seen in self.world.runs(service="booking")}
        refused = {answer.headers["Request-Id"] for answer in answers if answer.status == 429}
        self.assertEqual(runs & refused, set())

    # Guards against many long answers at once that are each allowed and together take all of a router's memory.
    def test_many_long_answers_at_once(self):
        answers, streams = self.send_at_once("POST", "/book/long", callers=LONG_CALLERS)
        self.assertEqual([(answer.status, len(answer.body)) for answer in answers], [(200, LONG_BYTES)] * LONG_CALLERS)
        self.assertTrue(all(answer.status == 200 and answer.is_complete for answer in streams))
        self.assertLess(self.peak_mb(), MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
