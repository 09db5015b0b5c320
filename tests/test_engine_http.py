"""Runs over HTTP: each way in which one can end, compared with the stand-in's record."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest

from tests.utils.engines import PROMPT, RunSender, address_of, chat_call, plain_call, start_engine, start_service
from wagtailtrestle.contracts.exchange import RunAdvanced, RunBegan
from wagtailtrestle.contracts.outcomes import (
    RunCancelled,
    RunCut,
    RunDone,
    RunLost,
    RunNotSent,
    RunRejected,
    RunSilent,
)
from wagtailtrestle.contracts.report_messages import CacheEvents, LoadReport, LoadUnreachable
from wagtailtrestle.engines.answer_check import AnswerCheck, ReceivedAnswer
from wagtailtrestle.engines.reports import EngineReports
from wagtailtrestle.standins.prompts import complete_answer

SILENCE_LIMIT_S = 0.2
"""Silence deadline of a run whose silence must be detected."""


class TestLanguageRun(unittest.TestCase):
    def setUp(self):
        self.engine = start_engine(self)
        self.address = address_of(self.engine)
        self.sender = RunSender(call=chat_call())

    def inject_fault(self, kind, *, after_tokens=5, late_s=0.5):
        self.engine.faults.update(
            {"stream_kind": kind, "stream_after_tokens": after_tokens, "stream_count": 1, "late_s": late_s}
        )

    def run_record(self, run_id="r.1"):
        return self.engine.record.as_dict()["runs"][run_id]

    def assert_complete(self, output_tokens=20):
        self.assertEqual(self.sender.received.text, complete_answer(PROMPT, output_tokens))
        self.assertEqual([index for index, _ in self.sender.tokens], list(range(1, output_tokens + 1)))

    def test_complete_answer(self):
        outcome = self.sender.send(self.address)
        self.assertEqual(outcome, RunDone(prompt_tokens=10, cached_tokens=0, output_tokens=20))
        self.assert_complete()
        self.assertIsInstance(self.sender.events[0], RunBegan)
        self.assertEqual(self.sender.events[0].prompt_tokens, 10)
        self.assertEqual(self.run_record()["caller_request_id"], "caller-1")

    def test_progress_events_are_limited_per_second(self):
        sender = RunSender(call=chat_call(output_tokens=600))
        sender.send(self.address)
        advanced = [event for event in sender.events if isinstance(event, RunAdvanced)]
        self.assertLessEqual(len(advanced), sender.ended.duration_s / 0.25)
        self.assertGreaterEqual(len(advanced), 1)

    def test_cut_stream_attaches_to_the_same_run(self):
        # The caller notices nothing: the connection is cut after five tokens, the router attaches
        # to the same run over a new connection, and the engine's record shows one start.
        self.inject_fault("cut")
        outcome = self.sender.send(self.address)
        self.assertIsInstance(outcome, RunCut)
        self.assertEqual((outcome.output_tokens, outcome.reached), (5, True))
        self.assertIsInstance(self.sender.send(self.address, attach=True), RunDone)
        self.assert_complete()
        self.assertEqual(self.run_record()["starts"], 1)

    def test_silent_connection_is_detected_and_a_new_one_works(self):
        # The connection stays open and carries no more data, as when a middlebox dropped its state.
        # The progress deadline detects it in 0.2 s; a new connection attaches to the same run.
        self.inject_fault("silent")
        began_at = time.monotonic()
        outcome = self.sender.send(self.address, progress_s=SILENCE_LIMIT_S)
        self.assertLess(time.monotonic() - began_at, 1.0)
        self.assertEqual(outcome, RunSilent(output_tokens=5, reached=True))
        self.assertIsInstance(self.sender.send(self.address, attach=True), RunDone)
        self.assert_complete()
        self.assertEqual(self.run_record()["starts"], 1)

    def test_attach_to_a_run_in_the_queue_is_silent_but_held(self):
        # Another run occupies the engine, and this one waits in its queue. The first exchange gets no token, nor
        # does the attach; but the attach is answered immediately, which shows that the engine has the run.
        address = address_of(start_engine(self, slots=1))
        other = RunSender(call=chat_call(output_tokens=100_000))
        other.send_in_thread(address, run_id="other.1", overall_s=30.0)
        self.addCleanup(other.client.cancel, address=address, run_id="other.1")
        self.assertTrue(other.first_token.wait(2))
        self.assertEqual(self.sender.send(address, first_s=0.2), RunSilent(reached=True))
        self.assertEqual(self.sender.send(address, first_s=0.2, attach=True), RunSilent(reached=True, held=True))

    def test_every_open_connection_goes_silent(self):
        # All open connections go silent at the same moment; the run is in progress.
        sender = RunSender(call=chat_call(output_tokens=400))
        thread = sender.send_in_thread(self.address, progress_s=SILENCE_LIMIT_S)
        self.assertTrue(sender.first_token.wait(2))
        self.engine.silence_open()
        thread.join(3)
        self.assertIsInstance(sender.ended.outcome, RunSilent)
        self.assertIsInstance(sender.send(self.address, attach=True), RunDone)
        self.assertEqual(sender.received.text, complete_answer(PROMPT, 400))

    def test_crossed_answer_never_reaches_the_caller(self):
        # From the sixth token on, the connection carries another run's answer. The caller gets
        # the five tokens of its own run and none of the other.
        self.inject_fault("cross")
        outcome = self.sender.send(self.address)
        self.assertIsInstance(outcome, RunCut)
        self.assertIn("crossed", outcome.detail)
        self.assertEqual(self.sender.received.text, complete_answer(PROMPT, 5))

    def test_duplicated_tokens_are_dropped(self):
        self.inject_fault("duplicate")
        self.assertIsInstance(self.sender.send(self.address), RunDone)
        self.assert_complete()

    def test_lost_token_is_a_cut(self):
        self.inject_fault("gap")
        outcome = self.sender.send(self.address)
        self.assertIn("gap", outcome.detail)
        self.assertEqual(self.sender.received.text, complete_answer(PROMPT, 5))

    def test_late_token_within_the_deadline_is_accepted(self):
        self.inject_fault("late", late_s=0.1)
        self.assertIsInstance(self.sender.send(self.address, progress_s=1.0), RunDone)
        self.assert_complete()

    def test_late_token_past_the_deadline_is_silence(self):
        self.inject_fault("late", late_s=0.5)
        self.assertIsInstance(self.sender.send(self.address, progress_s=SILENCE_LIMIT_S), RunSilent)

    def test_overall_limit(self):
        sender = RunSender(call=chat_call(output_tokens=100_000))
        self.assertIsInstance(sender.send(self.address, overall_s=0.3), RunSilent)
        self.assertLess(sender.ended.duration_s, 1.0)
        sender.client.cancel(address=self.address, run_id="r.1")

    def test_refused_connection_was_not_sent(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free.getsockname()[1]}"
            self.assertIsInstance(self.sender.send(address), RunNotSent)

    def test_closed_before_an_answer_is_a_cut(self):
        # The engine accepts the connection and the request, then dies without an answer. Whether
        # the run began is unknown, so the outcome is a cut and not a run that was not sent.
        with socket.create_server(("127.0.0.1", 0)) as server:
            sender = RunSender(call=chat_call())
            thread = sender.send_in_thread(f"127.0.0.1:{server.getsockname()[1]}")
            connection, _ = server.accept()
            connection.recv(65536)
            connection.close()
            thread.join(3)
        self.assertIsInstance(sender.ended.outcome, RunCut)
        self.assertFalse(sender.ended.outcome.reached)

    def test_engine_error_keeps_its_body(self):
        self.engine.faults.update({"reject_status": 503, "reject_count": 1})
        self.assertEqual(self.sender.send(self.address), RunRejected(status=503))
        self.assertIn(b"refused", self.sender.ended.body)
        self.assertNotIn("r.1", self.engine.record.as_dict()["runs"])

    def test_attach_after_a_crash_is_lost_and_resumes_elsewhere(self):
        # The engine crashes during the run and restarts without it. The attach finds the run
        # lost; another engine resumes after the tokens already received, and the caller's answer
        # is the same as without the crash.
        other = start_engine(self)
        sender = RunSender(call=chat_call(output_tokens=300))
        thread = sender.send_in_thread(self.address)
        self.assertTrue(sender.first_token.wait(2))
        self.engine.faults.update({"down_s": 0.05})
        self.engine.crash()
        thread.join(3)
        self.assertIsInstance(sender.ended.outcome, RunCut)
        had = len(sender.received.tokens)
        self.assertIsInstance(self.attach_after_restart(sender), RunLost)
        self.assertIsInstance(sender.send(address_of(other), run_id="r.2"), RunDone)
        self.assertEqual(sender.received.text, complete_answer(PROMPT, 300))
        self.assertEqual(other.record.as_dict()["runs"]["r.2"]["output_tokens"], 300 - had)

    def attach_after_restart(self, sender):
        # While the server goes down it resets accepted connections, and an entry would attach again. A connection
        # that is cut by the restarted engine is a different outcome, and is returned.
        until = time.monotonic() + 10
        while time.monotonic() < until:
            going_down = self.engine.is_down()
            outcome = sender.send(self.address, attach=True)
            if not isinstance(outcome, RunNotSent) and not (going_down and isinstance(outcome, RunCut)):
                return outcome
            time.sleep(0.02)
        return None

    def test_cancel_ends_the_run_on_engine_and_router(self):
        sender = RunSender(call=chat_call(output_tokens=10_000))
        thread = sender.send_in_thread(self.address, overall_s=30.0)
        self.assertTrue(sender.first_token.wait(2))
        self.assertTrue(sender.client.cancel(address=self.address, run_id="r.1"))
        thread.join(2)
        self.assertIsInstance(sender.ended.outcome, RunCancelled)
        self.assertEqual(self.run_record()["cancelled"], 1)

    def test_cancel_of_a_silent_connection_does_not_wait_for_it(self):
        # The run's connection went silent and its progress deadline is far off. The cancel is sent
        # over a new connection, and the reading thread is released within half a second.
        self.inject_fault("silent")
        thread = self.sender.send_in_thread(self.address, progress_s=30.0, overall_s=30.0)
        self.assertTrue(self.sender.first_token.wait(2))
        self.sender.client.cancel(address=self.address, run_id="r.1")
        thread.join(2)
        self.assertFalse(thread.is_alive())
        self.assertIsInstance(self.sender.ended.outcome, RunCancelled)

    def test_cancel_of_a_finished_run_does_not_wait_for_a_silent_connection(self):
        # The run's connection went silent, and the engine has finished the run when it receives the cancel. It
        # answers so, but the run's answer never arrives: waiting for it would occupy the slot until the deadline.
        self.inject_fault("silent")
        thread = self.sender.send_in_thread(self.address, progress_s=30.0, overall_s=30.0)
        self.assertTrue(self.sender.first_token.wait(2))
        until = time.monotonic() + 10
        while not self.run_record()["finished"] and time.monotonic() < until:
            time.sleep(0.02)
        self.sender.client.cancel(address=self.address, run_id="r.1")
        thread.join(2)
        self.assertFalse(thread.is_alive())
        self.assertIsInstance(self.sender.ended.outcome, RunCancelled)

    def test_cancelled_run_resumes_under_a_new_one(self):
        sender = RunSender(call=chat_call(output_tokens=300))
        thread = sender.send_in_thread(self.address)
        self.assertTrue(sender.first_token.wait(2))
        sender.client.cancel(address=self.address, run_id="r.1")
        thread.join(2)
        self.assertIsInstance(sender.send(self.address, run_id="r.2"), RunDone)
        self.assertEqual(sender.received.text, complete_answer(PROMPT, 300))


class TestChunkedBody(unittest.TestCase):
    def test_limit_holds_while_an_engine_sends_bytes_without_data(self):
        # A size line or a trailer that never ends must not hold the run's thread and slot beyond the run's limits.
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for begin, repeated in ((b"5;", b"x"), (b"0\r\n", b"a: b\r\n")):
            with self.subTest(begin=begin), socket.create_server(("127.0.0.1", 0)) as server:

                def answer(server=server, pieces=(head + begin, *[repeated] * 40)):
                    connection, _ = server.accept()
                    with connection, contextlib.suppress(OSError):
                        connection.recv(65536)
                        for piece in pieces:
                            connection.sendall(piece)
                            time.sleep(0.05)

                thread = threading.Thread(target=answer, daemon=True)
                thread.start()
                sender = RunSender(call=chat_call())
                address = f"127.0.0.1:{server.getsockname()[1]}"
                outcome = sender.send(address, first_s=SILENCE_LIMIT_S)
                self.assertIsInstance(outcome, RunSilent)
                self.assertLess(sender.ended.duration_s, 1.0)
                thread.join()


class TestPlainRun(unittest.TestCase):
    def setUp(self):
        self.service = start_service(self)
        self.address = address_of(self.service)

    def send(self, call, **options):
        self.sender = RunSender(call=call)
        return self.sender.send(self.address, **options)

    def inject_fault(self, kind):
        self.service.faults.update({"stream_kind": kind, "stream_count": 1})

    def test_complete_answer(self):
        headers = {"Authorization": "Bearer secret", "x-request-id": "callers-own", "Content-Type": "text/plain"}
        call = plain_call(query="slot=7", body=b"beach", headers=headers)
        self.assertEqual(self.send(call), RunDone())
        self.assertIn(b'"slot=7"', self.sender.received.body)
        self.assertEqual(self.sender.ended.content_type, "application/json")
        self.assertEqual(self.sender.ended.body, self.sender.received.body)
        self.assertEqual(list(self.service.record.as_dict()["runs"]), ["r.1"])

    def test_cut_answer_is_never_complete(self):
        # The service charged the member, then the connection broke within the answer: the caller
        # must get neither half an answer nor an error that says the charge was not run.
        self.inject_fault("cut")
        outcome = self.send(plain_call())
        self.assertIsInstance(outcome, RunCut)
        self.assertTrue(outcome.reached)
        self.assertEqual(self.sender.received.body, b"")
        self.assertEqual(self.service.record.as_dict()["runs"]["r.1"]["finished"], 1)

    def test_crossed_answer(self):
        self.inject_fault("cross")
        self.assertIn("crossed", self.send(plain_call()).detail)
        self.assertEqual(self.sender.received.body, b"")

    def test_silence(self):
        self.inject_fault("silent")
        self.assertEqual(self.send(plain_call(), first_s=0.2), RunSilent())

    def test_errors_of_the_service_are_complete_answers(self):
        self.service.faults.update({"reject_status": 409, "reject_count": 1})
        self.assertEqual(self.send(plain_call()), RunRejected(status=409))
        self.assertIn(b"refused", self.sender.received.body)

    def test_refusal_counts_as_unsent_only_with_the_run_s_own_id(self):
        # A service that is stopping states that it did not start the request. With another run's
        # id, the statement is a late answer and doesn't apply to this run.
        for answer_id, kind in (("r.1", RunNotSent), ("r.7", RunCut)):
            with self.subTest(answer_id), socket.create_server(("127.0.0.1", 0)) as server:
                sender = RunSender(call=plain_call())
                thread = sender.send_in_thread(f"127.0.0.1:{server.getsockname()[1]}")
                connection, _ = server.accept()
                connection.recv(65536)
                head = f"HTTP/1.1 503 x\r\nX-Run-Started: no\r\nX-Request-Id: {answer_id}\r\nContent-Length: 0\r\n\r\n"
                connection.sendall(head.encode())
                thread.join(3)
                connection.close()
                self.assertIsInstance(sender.ended.outcome, kind)

    def test_head_that_cannot_be_written_was_not_sent(self):
        call = plain_call(headers={"X-Note": "a\r\nX-Request-Id: forged"})
        self.assertIsInstance(self.send(call), RunNotSent)
        self.assertEqual(self.service.record.as_dict()["runs"], {})

    def test_cancel_of_a_plain_run_sends_nothing_to_the_service(self):
        # A plain service has no cancel: a cancel sent to it would run as a request.
        self.inject_fault("silent")
        sender = RunSender(call=plain_call())
        thread = sender.send_in_thread(self.address, first_s=30.0, overall_s=30.0)
        while not self.service.record.as_dict()["totals"]["finished"]:
            time.sleep(0.01)
        sender.client.cancel(address=self.address, run_id="r.1")
        thread.join(2)
        self.assertIsInstance(sender.ended.outcome, RunCancelled)
        self.assertEqual(list(self.service.record.as_dict()["runs"]), ["r.1"])


def token_event(index, *, run_id="r.1", text=None, usage=""):
    text = f"word{index} " if text is None else text
    chunk = f'{{"id":"{run_id}","choices":[{{"delta":{{"content":"{text}"}},"finish_reason":null}}]{usage}}}'
    return f"id: {index}\ndata: {chunk}\n\n".encode()


def end_events(count, *, reason="stop"):
    chunk = f'{{"id":"r.1","choices":[{{"finish_reason":"{reason}"}}],"usage":{{"completion_tokens":{count}}}}}'
    return f"data: {chunk}\n\ndata: [DONE]\n\n".encode()


class TestAnswerCheck(unittest.TestCase):
    def setUp(self):
        self.received = ReceivedAnswer()
        self.check = AnswerCheck(run_id="r.1", received=self.received, on_token=lambda index, text: None)

    def test_events_split_anywhere(self):
        data = b"".join(token_event(index) for index in range(1, 8)) + end_events(7)
        for position in range(len(data)):
            self.assertIsNone(self.check.feed(data[position : position + 1]))
        self.assertIsNone(self.check.end())
        self.assertEqual(self.received.text, "".join(f"word{index} " for index in range(1, 8)))

    def test_crlf_line_ends_and_no_space_after_the_colon(self):
        stream = b": hello\n\n" + b"".join(token_event(index) for index in range(1, 5)) + end_events(4)
        data = stream.replace(b"\n", b"\r\n").replace(b"data: ", b"data:")
        for position in range(len(data)):
            self.assertIsNone(self.check.feed(data[position : position + 1]))
        self.assertIsNone(self.check.end())
        self.assertEqual(len(self.received.tokens), 4)

    def test_event_of_another_run_among_matching_ones(self):
        # Events like a checked one are accepted by comparing bytes, which another run's event must not pass.
        for index in range(1, 4):
            self.assertIsNone(self.check.feed(token_event(index)))
        self.assertIn("crossed", self.check.feed(token_event(4, run_id="r.2")).detail)
        self.assertEqual(len(self.received.tokens), 3)

    def test_text_that_looks_like_the_event_itself(self):
        texts = ["content", "r.1", '\\"},{\\"', "id", "content", "\\u00f1", "finish_reason"]
        for index, text in enumerate(texts, start=1):
            self.assertIsNone(self.check.feed(token_event(index, text=text)))
        self.assertEqual(self.received.tokens, ["content", "r.1", '"},{"', "id", "content", "ñ", "finish_reason"])

    def test_text_that_occurs_twice_in_its_event(self):
        # The first text equals the name of its field. If the event's frame were derived from the wrong
        # occurrence, the name of another field would be parsed as the next token's text.
        self.check.feed(token_event(1, text="content"))
        other = token_event(2, text="content").replace(b'"content":', b'"role":')
        self.assertIn("no text", self.check.feed(other).detail)
        self.assertEqual(self.received.tokens, ["content"])

    def test_matching_event_with_a_text_that_is_no_string(self):
        self.check.feed(token_event(1))
        broken = token_event(2).replace(b'"word2 "', b'"word2 ","role":"x"')
        self.assertIsNone(self.check.feed(broken))
        self.assertEqual(self.received.tokens, ["word1 ", "word2 "])
        self.assertIsNotNone(self.check.feed(token_event(3).replace(b'"word3 "', b"7")))

    def test_incomplete_ends(self):
        cases = {
            "no end mark": token_event(1),
            "count too high": token_event(1) + end_events(2),
            "count too low": token_event(1) + token_event(2) + end_events(1),
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.setUp()
                self.check.feed(data)
                self.assertIsNotNone(self.check.end())

    def test_end_mark_without_a_reason(self):
        self.assertIsNotNone(self.check.feed(token_event(1) + b"data: [DONE]\n\n"))

    def test_end_of_an_earlier_run_does_not_apply_to_this_one(self):
        # A run ended as cancelled; the next run of the request is cut before its end. That run
        # must not count as cancelled, nor its answer as complete.
        self.check.feed(token_event(1) + end_events(1, reason="cancelled"))
        self.assertTrue(self.check.cancelled)
        again = AnswerCheck(run_id="r.2", received=self.received, on_token=lambda index, text: None)
        self.assertFalse(again.cancelled)
        self.assertIsNotNone(again.end())


class TestEngineReports(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.reports = []

    async def asyncSetUp(self):
        # Stand-ins start and stop on this loop and block it meanwhile, which must not be logged as slow callbacks.
        asyncio.get_running_loop().slow_callback_duration = 5.0

    async def poll(self, standin, *, until, engines=None):
        reports = EngineReports(interval_s=0.05, loop=asyncio.get_running_loop(), on_report=self.reports.append)
        reports.start()
        reports.set_engines(engines or {"one": address_of(standin)})
        try:
            async with asyncio.timeout(5):
                while not until():
                    await asyncio.sleep(0.01)
        finally:
            reports.close()

    def seen(self, kind, **fields):
        return [
            report
            for report in self.reports
            if isinstance(report, kind) and all(getattr(report, name) == value for name, value in fields.items())
        ]

    async def test_load_and_leaving(self):
        engine = start_engine(self, load_lag_ms=100.0)
        await self.poll(engine, until=lambda: self.seen(LoadReport, leaving=False))
        engine.leave()
        await self.poll(engine, until=lambda: self.seen(LoadReport, leaving=True))

    async def test_load_is_as_old_as_it_says(self):
        engine = start_engine(self, load_lag_ms=100.0)
        await self.poll(engine, until=lambda: any(report.age_s >= 0.1 for report in self.seen(LoadReport)))

    async def test_dead_engines_do_not_delay_living_ones(self):
        engine = start_engine(self)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            dead = {f"dead-{number}": f"127.0.0.1:{free.getsockname()[1]}" for number in range(8)}
            engines = {**dead, "one": address_of(engine)}
            await self.poll(engine, engines=engines, until=lambda: len(self.seen(LoadReport, engine="one")) >= 5)
        self.assertTrue(self.seen(LoadUnreachable, engine="dead-3"))

    async def test_silent_pooled_connection_does_not_condemn_the_engine(self):
        # The polling connection goes silent while new ones work: the poll times out on it and
        # is repeated over a new one. The engine is never reported unreachable.
        engine = start_engine(self)
        silenced = []

        def until():
            loads = len(self.seen(LoadReport))
            if loads >= 2 and not silenced:
                engine.silence_open()
                silenced.append(loads)
            return silenced and loads >= silenced[0] + 2

        await self.poll(engine, until=until)
        self.assertEqual(self.seen(LoadUnreachable), [])

    async def test_cache_events_show_gaps_and_restarts(self):
        engine = start_engine(self, cache_lag_ms=0.0, cache_gap_every=2)
        for number in range(4):
            prompt = f"{number}" * 300
            RunSender(call=chat_call(prompt=prompt, output_tokens=1)).send(address_of(engine), run_id=f"r.{number}")
        await self.poll(engine, until=lambda: self.seen(CacheEvents))
        events = self.seen(CacheEvents)[0]
        self.assertTrue(events.gap)
        self.assertEqual(len(events.stored), 2)
