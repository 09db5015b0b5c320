"""The end of an answer, told from an end of its connection that the engine did not cause."""

import socket
import threading
import time
import unittest

from tests.utils.engines import RunSender, chat_call
from tests.utils.platform_world import wait_until
from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.contracts.outcomes import RunCancelled, RunCut, RunDone, RunFailed, RunRejected
from wagtailtrestle.engines.answer_memory import SMALL_ANSWER_BYTES
from wagtailtrestle.engines.connector import DirectConnector
from wagtailtrestle.engines.run_exchange import RunExchange
from wagtailtrestle.platform.engines import PlatformCall, PlatformReceived

WAIT_S = 5.0
FIELDS = b"Request-Id: r1\r\nResponse-Stamp: s\r\n"
EVENT = b"id: 1\ndata: x\n\n"
KINDS = ((200, True), (200, False), (404, False), (500, False))
"""Status, and whether the answer is streamed."""


def head_of(status):
    """Return a head that names no length, without the empty line at its end."""
    return b"HTTP/1.1 %d x\r\n" % status + FIELDS


class ScriptedEngine:
    """Sends ``data`` to the first connection, and closes it once ``release`` is set."""

    def __init__(self, data):
        self.release = threading.Event()
        self.sent = threading.Event()
        self._data = data
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        self.release.set()
        self._thread.join(WAIT_S)
        self._server.close()

    def _serve(self):
        connection, _ = self._server.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(self._data)
            self.sent.set()
            self.release.wait(WAIT_S)


class AnswerCase(unittest.TestCase):
    def exchange(self, data, *, is_streamed, method="GET"):
        """Send a run to an engine that answers with ``data``; return the engine, the exchange and its thread."""
        engine = ScriptedEngine(data)
        self.addCleanup(engine.close)
        self.received = PlatformReceived(tokens_per_event=1)
        command = StartRun(
            run_id="r1.1",
            engine="e1",
            address=engine.address,
            first_token_deadline_s=WAIT_S,
            progress_deadline_s=WAIT_S,
            overall_s=WAIT_S,
        )
        exchange = RunExchange(
            command=command,
            call=PlatformCall(
                method=method, target="/x", headers={}, body=b"", request_id="r1", team="", is_streamed=is_streamed
            ),
            received=self.received,
            on_event=lambda event: None,
            on_token=lambda index, data: None,
            connect_timeout_s=1.0,
            connector=DirectConnector(),
        )
        thread = threading.Thread(target=self._run, args=(exchange,), daemon=True)
        thread.start()
        return engine, exchange, thread

    def _run(self, exchange):
        self.ended = exchange.run()

    def outcome_at_close(self, data, **options):
        """Return the outcome of an answer whose engine closes the connection after ``data``."""
        engine, _, thread = self.exchange(data, **options)
        engine.release.set()
        thread.join(WAIT_S)
        return self.ended.outcome

    def outcome_at_abort(self, data, **options):
        """Return the outcome of an answer that this process gives up after the engine sent ``data``."""
        engine, exchange, thread = self.exchange(data, **options)
        engine.sent.wait(WAIT_S)
        time.sleep(0.05)
        exchange.abort()
        thread.join(WAIT_S)
        return self.ended.outcome


class PartialEventTest(AnswerCase):
    # Guards against incomplete events of many streams that are not counted in the memory for answers.
    def test_an_incomplete_event_counts_until_its_run_ends(self):
        data = head_of(200) + b"\r\nid: 1\ndata: " + b"x" * (2 * SMALL_ANSWER_BYTES)
        engine, exchange, thread = self.exchange(data, is_streamed=True)
        wait_until(lambda: self.received.hold.size, "memory is reserved")
        engine.release.set()
        thread.join(WAIT_S)
        self.assertIsInstance(self.ended.outcome, RunCut)
        self.assertEqual(self.received.hold.size, 0)


class AbortTest(AnswerCase):
    # Guards against an answer that counts as whole because this process shut down its connection.
    def test_abort_is_no_end_wherever_it_comes(self):
        for status, is_streamed in KINDS:
            head = head_of(status)
            for where, data in (
                ("before the head", b""),
                ("within the head", head),
                ("after the head", head + b"\r\n"),
                ("within the body", head + b"\r\n" + EVENT),
            ):
                with self.subTest(status=status, is_streamed=is_streamed, where=where):
                    outcome = self.outcome_at_abort(data, is_streamed=is_streamed)
                    self.assertIsInstance(outcome, RunCancelled)
                    self.assertEqual((self.ended.body, self.received.body), (b"", b""))

    # Guards against an answer that was received whole and is lost because its run is cancelled at the same moment.
    def test_abort_after_the_end_changes_nothing(self):
        for number in range(20):
            with self.subTest(number=number):
                engine, exchange, thread = self.exchange(head_of(200) + b"\r\n" + EVENT, is_streamed=False)
                engine.sent.wait(WAIT_S)
                engine.release.set()
                exchange.abort()
                thread.join(WAIT_S)
                whole = isinstance(self.ended.outcome, RunDone)
                self.assertIsInstance(self.ended.outcome, RunDone | RunCancelled)
                self.assertEqual(self.received.body, EVENT if whole else b"")


class CloseTest(AnswerCase):
    # Guards against a head that lost its last lines, and with them its length, and counts as an empty answer.
    def test_close_within_the_head_is_a_cut(self):
        for status, is_streamed in KINDS:
            for data in (head_of(status), head_of(status) + b"Content-Le", b"HTTP/1.1 %d" % status):
                with self.subTest(status=status, is_streamed=is_streamed, data=data):
                    self.assertIsInstance(self.outcome_at_close(data, is_streamed=is_streamed), RunCut)

    # Guards against an answer whose caller waits for good, as its length can't be read.
    def test_length_of_thousands_of_digits_is_a_cut(self):
        data = head_of(200) + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n" + EVENT
        for is_streamed in (True, False):
            with self.subTest(is_streamed=is_streamed):
                self.assertIsInstance(self.outcome_at_close(data, is_streamed=is_streamed), RunCut)

    def test_close_ends_an_answer_without_a_length(self):
        for status, is_streamed in KINDS:
            expected = {200: RunDone, 404: RunRejected, 500: RunFailed}[status]
            with self.subTest(status=status, is_streamed=is_streamed):
                outcome = self.outcome_at_close(head_of(status) + b"\r\n" + EVENT, is_streamed=is_streamed)
                self.assertIsInstance(outcome, expected)
                self.assertEqual(self.received.body, b"" if is_streamed else EVENT)

    def test_answers_that_have_no_body_are_whole(self):
        for method, status in (("GET", 204), ("HEAD", 200)):
            with self.subTest(method=method, status=status):
                outcome = self.outcome_at_close(head_of(status) + b"\r\n", is_streamed=False, method=method)
                self.assertIsInstance(outcome, RunDone)


class NativeErrorTest(unittest.TestCase):
    # Guards against a part of an engine's error that is recorded as its answer because the run was cancelled.
    def test_abort_is_not_the_end_of_an_error(self):
        engine = ScriptedEngine(b"HTTP/1.1 500 x\r\nX-Request-Id: r.1\r\n\r\npart")
        self.addCleanup(engine.close)
        sender = RunSender(call=chat_call())
        thread = sender.send_in_thread(engine.address)
        engine.sent.wait(WAIT_S)
        time.sleep(0.05)
        sender.client.close()
        thread.join(WAIT_S)
        self.assertIsInstance(sender.ended.outcome, RunCancelled)
        self.assertEqual(sender.ended.body, b"")


del AnswerCase

if __name__ == "__main__":
    unittest.main()
