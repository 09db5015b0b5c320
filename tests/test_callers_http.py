import asyncio
import json
import socket
import unittest

from loguru import logger

from tests.utils.callers import (
    CHAT,
    HIGH_KEY,
    LOW_KEY,
    WAIT_S,
    Bench,
    FakeEngine,
    chat_body,
    keep_waiting,
    problem,
    refusal,
    serve,
    start_run,
    stream_data,
)
from wagtailtrestle.callers.problem import TITLE_BY_REASON, retry_after_seconds
from wagtailtrestle.callers.prompt_shape import chat_text, shape_of
from wagtailtrestle.contracts.exchange import AnswerRecorded, AnswerWhole, CallerGone, RunEnded
from wagtailtrestle.contracts.outcomes import Executed, Reason
from wagtailtrestle.standins import prompts

BOOKING = b'{"family": "Ruiz", "day": 4}'


class BenchCase(unittest.TestCase):
    def bench(self, **settings):
        bench = Bench(**settings)
        self.addCleanup(bench.close)
        return bench

    def raw(self, bench, data, *, end=False):
        """Send bytes on a new connection and read until the server closes it."""
        with socket.create_connection(("127.0.0.1", bench.server.port), timeout=WAIT_S) as sock:
            sock.sendall(data)
            if end:
                sock.shutdown(socket.SHUT_WR)
            pieces = []
            while piece := sock.recv(65536):
                pieces.append(piece)
        return b"".join(pieces).decode()


class TestLanguage(BenchCase):
    def test_complete_chat_answer(self):
        bench = self.bench()
        status, headers, body = bench.send_request(
            "POST", CHAT, chat_body(), headers={"Wagtailtrestle-Request-Id": "mine-1"}
        )
        answer = json.loads(body)
        self.assertEqual((status, headers["Wagtailtrestle-Request-Id"], answer["id"]), (200, "mine-1", "mine-1"))
        self.assertEqual(answer["object"], "chat.completion")
        self.assertEqual(answer["choices"][0]["message"], {"role": "assistant", "content": "It is. "})
        self.assertEqual(answer["choices"][0]["finish_reason"], "stop")
        self.assertEqual(answer["usage"]["total_tokens"], 5)

    def test_complete_text_answer(self):
        body = {"model": "asistente", "prompt": "Tag this", "max_tokens": 7}
        bench = self.bench()
        answer = json.loads(bench.send_request("POST", "/v1/completions", body)[2])
        self.assertEqual((answer["object"], answer["choices"][0]["text"]), ("text_completion", "It is. "))
        self.assertEqual((bench.requests[0].output_tokens, bench.requests[0].prompt_tokens), (7, 2))

    def test_a_stream_carries_the_callers_id_and_ends_in_done(self):
        body = chat_body(stream=True, stream_options={"include_usage": True})
        bench = self.bench()
        status, headers, answer = bench.send_request(
            "POST", CHAT, body, headers={"Wagtailtrestle-Request-Id": "mine-2"}
        )
        self.assertEqual((status, headers["Content-Type"]), (200, "text/event-stream; charset=utf-8"))
        *chunks, done = stream_data(answer)
        chunks = [json.loads(chunk) for chunk in chunks]
        self.assertEqual(done, "[DONE]")
        self.assertEqual({chunk["id"] for chunk in chunks}, {"mine-2"})
        deltas = [chunk["choices"][0]["delta"] for chunk in chunks[:3]]
        self.assertEqual(deltas, [{"role": "assistant", "content": "It "}, {"content": "is. "}, {}])
        self.assertEqual((chunks[3]["choices"], chunks[3]["usage"]["completion_tokens"]), ([], 2))

    def test_no_usage_event_unless_requested(self):
        answer = self.bench().send_request("POST", CHAT, chat_body(stream=True))[2]
        self.assertNotIn(b"usage", answer)

    def test_optional_fields_reach_the_engine_untouched(self):
        body = chat_body(temperature=0.2, stop=["\n"], tools=[], logit_bias={"5": 1}, seed=3, user="x", n=1)
        bench = self.bench()
        self.assertEqual(bench.send_request("POST", CHAT, body)[0], 200)
        self.assertEqual(bench.engine.calls[0].document, body)

    def test_services_of_the_team_are_listed_as_models(self):
        answer = json.loads(self.bench().send_request("GET", "/v1/models", key=LOW_KEY)[2])
        self.assertEqual([model["id"] for model in answer["data"]], ["asistente"])


class TestCompleteOrError(BenchCase):
    async def half_then_lost(self, request, link, inbox):
        link.post(start_run(request))
        while not isinstance(await inbox.get(), RunEnded):
            pass
        link.post(refusal(Reason.ENGINE_LOST, 502, Executed.YES))

    def test_a_stream_that_can_not_be_finished_ends_in_an_error(self):
        # The caller receives tokens, then the engine fails and no other can continue. The stream must
        # not just stop, which client libraries treat as its end: it ends with an error event that
        # contains the problem, also in the member where libraries look for it, and no [DONE].
        status, _, body = self.bench(script=self.half_then_lost).send_request("POST", CHAT, chat_body(stream=True))
        *_, last = stream_data(body)
        self.assertEqual(status, 200)
        self.assertIn(b"\n\nevent: error\ndata: ", body)
        self.assertNotIn(b"[DONE]", body)
        document = json.loads(last)
        self.assertEqual((document["reason"], document["executed"]), ("engine_lost", "yes"))
        self.assertEqual(document["error"]["type"], "engine_lost")

    def test_unstreamed_answer_is_never_partial(self):
        # The same failure for a caller that did not request a stream: the router received tokens, but
        # must send none of them, and the status must be that of the refusal.
        answer = self.bench(script=self.half_then_lost).send_request("POST", CHAT, chat_body())
        self.assertEqual(problem(answer), (502, "engine_lost", "yes"))
        self.assertNotIn(b"It is", answer[2])

    def test_a_refusal_before_the_first_token_is_a_problem_also_for_a_stream(self):
        async def refuse(request, link, inbox):
            link.post(refusal(Reason.OVERLOADED, 429, retry_after_s=2.1))

        answer = self.bench(script=refuse).send_request("POST", CHAT, chat_body(stream=True))
        self.assertEqual(problem(answer), (429, "overloaded", "no"))
        self.assertEqual(answer[1]["Retry-After"], "3")
        self.assertEqual(answer[1]["Content-Type"], "application/problem+json")

    def test_a_run_that_fails_inside_the_router_still_ends(self):
        # A bug of the router in the code of a run: the task waits for exactly one end of the run.
        # Without it the caller would wait until its deadline and its thread would stay occupied.
        engine = FakeEngine()
        engine.run = None
        answer = self.bench(engine=engine).send_request("POST", CHAT, chat_body())
        self.assertEqual(answer[0], 499)


class TestPlain(BenchCase):
    def test_call_is_forwarded_without_the_callers_key(self):
        bench = self.bench()
        headers = {"Content-Type": "application/json", "X-Day": "4", "Wagtailtrestle-Deadline-Ms": "900"}
        status, answered, body = bench.send_request(
            "POST", "/reservas/bookings/4?beach=a%20b", BOOKING, headers=headers
        )
        call = bench.engine.calls[0]
        self.assertEqual((status, body, answered["Content-Type"]), (200, b'{"slot": 3}', "application/json"))
        self.assertNotIn("X-Request-Id", answered)
        self.assertEqual((call.path, call.query, call.body), ("/reservas/bookings/4", "beach=a%20b", BOOKING))
        self.assertEqual((call.headers["Content-Type"], call.headers["X-Day"]), ("application/json", "4"))
        self.assertNotIn(HIGH_KEY, str(call.headers))
        self.assertNotIn("Deadline", str(call.headers))

    def test_error_of_the_service_is_a_complete_answer(self):
        bench = self.bench()
        bench.engine.plain = (409, {"Content-Type": "text/plain"}, b"taken")
        self.assertEqual(bench.send_request("POST", "/reservas/bookings", BOOKING)[::2], (409, b"taken"))

    def test_routes_properties_come_from_the_declaration(self):
        bench = self.bench()
        bench.send_request("POST", "/reservas/bookings", BOOKING, headers={"Idempotency-Key": "k1"})
        bench.send_request("POST", "/reservas/bookings", BOOKING + b" ", headers={"Idempotency-Key": "k1"})
        first, second = bench.requests
        self.assertEqual((first.tier, first.repeatable, first.at_most_once, first.team), (0, False, True, "members"))
        self.assertEqual(first.idempotency_key, "k1")
        self.assertNotEqual(first.body_digest, second.body_digest)
        self.assertNotEqual(first.request_id, second.request_id)

    def test_ledger_receives_the_complete_answer_of_any_size(self):
        # A repeated booking is sent the recorded answer. A large answer must not be recorded as an
        # empty one: the ledger receives the complete answer and decides itself what it stores.
        bench = self.bench()
        bench.engine.plain = (200, {"Content-Type": "text/plain"}, b"x" * 100_000)
        bench.send_request("POST", "/reservas/bookings", BOOKING, headers={"Idempotency-Key": "k1"})
        ended = [event for event in bench.events if isinstance(event, RunEnded)]
        self.assertEqual((len(ended[0].body), ended[0].content_type), (100_000, "text/plain"))


class TestRecorded(BenchCase):
    def test_recorded_answer_has_the_requested_format(self):
        recorded = json.loads(self.bench().send_request("POST", CHAT, chat_body())[2])

        async def give(request, link, inbox):
            body = json.dumps(recorded).encode()
            link.post(AnswerRecorded(status=200, content_type="application/json", body=body))

        bench = self.bench(script=give)
        self.assertEqual(json.loads(bench.send_request("POST", CHAT, chat_body())[2]), recorded)
        data = stream_data(bench.send_request("POST", CHAT, chat_body(stream=True))[2])
        self.assertEqual(json.loads(data[0])["choices"][0]["delta"]["content"], "It is. ")
        self.assertEqual(data[-1], "[DONE]")


class TestBadInput(BenchCase):
    def test_each_fault_is_a_clear_4xx_and_nothing_is_submitted(self):
        bench = self.bench()
        big = "x" * 300
        bodies = (
            b"{",
            b"[1]",
            b"[" * 100_000,
            {"messages": []},
            chat_body(messages=[]),
            chat_body(messages=["x"]),
            chat_body(messages=[{"role": "user", "content": 3}]),
            chat_body(stream="yes"),
            chat_body(stream_options=[]),
            chat_body(n=2),
            chat_body(max_tokens=0),
            chat_body(max_completion_tokens=True),
        )
        for body in bodies:
            self.assertEqual(
                problem(bench.send_request("POST", CHAT, body)), (400, "bad_request", "no"), str(body)[:60]
            )
        for name, value in (
            ("Wagtailtrestle-Deadline-Ms", "soon"),
            ("Wagtailtrestle-Deadline-Ms", "0"),
            ("Wagtailtrestle-Request-Id", "a b"),
            ("Wagtailtrestle-Request-Id", big),
            ("Idempotency-Key", big),
            ("Idempotency-Key", ""),
        ):
            answer = bench.send_request("POST", CHAT, chat_body(), headers={name: value})
            self.assertEqual(problem(answer), (400, "bad_request", "no"), name)
        self.assertEqual(
            problem(bench.send_request("POST", CHAT, chat_body(), key="other")), (401, "unauthenticated", "no")
        )
        self.assertEqual(problem(bench.send_request("GET", CHAT)), (405, "no_route", "no"))
        self.assertEqual(problem(bench.send_request("GET", "/nothing")), (404, "no_route", "no"))
        self.assertEqual(bench.requests, [])

    def test_deadlines_are_the_callers_or_the_routes_and_always_limited(self):
        bench = self.bench(max_deadline_s=60.0)
        for header in ({}, {"Wagtailtrestle-Deadline-Ms": "700"}, {"Wagtailtrestle-Deadline-Ms": "999999999"}):
            bench.send_request("POST", CHAT, chat_body(), headers=header)
        left = [request.deadline - bench.loop.time() for request in bench.requests]
        for seconds, expected in zip(left, (5.0, 0.7, 60.0), strict=True):
            self.assertAlmostEqual(seconds, expected, delta=0.5)


class TestLimits(BenchCase):
    def test_refusal_of_a_too_large_request_reaches_the_caller(self):
        # A caller that is still sending when it is refused must receive the refusal, not a connection
        # reset: after the response, the remaining input is read and discarded for a limited time.
        bench = self.bench(max_body_bytes=100_000, max_header_bytes=4000)
        self.assertEqual(problem(bench.send_request("POST", CHAT, b"x" * 1_000_000)), (413, "too_large", "no"))
        self.assertEqual(problem(bench.send_request("GET", CHAT, headers={"X": "x" * 5000})), (431, "too_large", "no"))
        head = f"POST {CHAT} HTTP/1.1\r\nAuthorization: Bearer {HIGH_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunked = head.encode() + b"20000\r\n" + b"x" * 0x20000 + b"\r\n0\r\n\r\n"
        self.assertIn("413 ", self.raw(bench, chunked).split("\r\n")[0])
        self.assertEqual(bench.requests, [])

    def test_truncated_body_is_refused(self):
        bench = self.bench()
        head = f"POST /reservas/bookings HTTP/1.1\r\nAuthorization: Bearer {HIGH_KEY}\r\n"
        cut = (
            "Content-Length: 100\r\n\r\n{}",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
            "Transfer-Encoding: chunked\r\n\r\n9\r\n{}",
            "Content-Length: -5\r\n\r\n",
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        )
        for rest in cut:
            answer = self.raw(bench, (head + rest).encode(), end=True)
            self.assertIn("400 Bad Request", answer, rest)
            self.assertIn('"executed": "no"', answer, rest)
        self.assertEqual(bench.requests, [])

    def test_what_can_not_be_sent_to_an_engine_is_refused_before_a_run(self):
        # A raw control character or non-ASCII letter is accepted by this server's parser, but not by the
        # client that sends the request to an engine. Detected during a run, it would be reported as
        # possibly executed.
        bench = self.bench()
        key = f"Authorization: Bearer {HIGH_KEY}\r\n"
        for line, header in (
            ("/reservas/slots/ñ", ""),
            ("/reservas/slots", "X-A: a\rb\r\n"),
            ("/reservas/slots", "X A: b\r\n"),
        ):
            answer = self.raw(bench, f"GET {line} HTTP/1.1\r\n{key}{header}Connection: close\r\n\r\n".encode("latin-1"))
            self.assertIn("400 Bad Request", answer, header)
        self.assertEqual(bench.requests, [])

    def test_a_connection_serves_one_request_after_another(self):
        bench = self.bench()
        connection = bench.connect()
        socks = set()
        body_pieces = iter([b'{"model": "asistente", ', b'"messages": [{"role": "user", "content": "x"}]}'])
        for body in (body_pieces, b"{", b"{"):
            connection.request("POST", CHAT, body, {"Authorization": f"Bearer {HIGH_KEY}"})
            response = connection.getresponse()
            response.read()
            socks.add(connection.sock)
        connection.close()
        self.assertEqual((len(socks), len(bench.requests)), (1, 1))

    def test_slow_senders_are_refused(self):
        # A caller sends a byte now and then: no read ever times out, and a hundred such callers
        # would occupy every thread for hours. So there is a timeout for the complete request.
        bench = self.bench(receive_timeout_s=0.5)
        head = f"POST {CHAT} HTTP/1.1\r\nAuthorization: Bearer {HIGH_KEY}\r\nContent-Length: 50\r\n"
        for part in ("POST /v1", head, head + "\r\n{"):
            self.assertIn("408 Request Timeout", self.raw(bench, part.encode()), part)

    def test_idle_connections_occupy_no_thread(self):
        # A load balancer opens connections in advance and sends nothing yet. If each of them occupied a
        # thread, eight connections would leave none for a request on a ninth.
        bench = self.bench(threads=8, held=4)
        idle = [socket.create_connection(("127.0.0.1", bench.server.port)) for _ in range(20)]
        self.assertEqual(bench.send_request("POST", CHAT, chat_body())[0], 200)
        for sock in idle:
            sock.close()

    def test_connections_beyond_the_limit_are_refused(self):
        bench = self.bench(max_connections=2)
        idle = [socket.create_connection(("127.0.0.1", bench.server.port)) for _ in range(2)]
        bench.wait_until(lambda: bench.server.dump()["connections"] == 2)
        answer = self.raw(bench, b"")
        self.assertIn("503 Service Unavailable", answer)
        self.assertIn("router_full", answer)
        for sock in idle:
            sock.close()
        bench.wait_until(lambda: bench.server.dump()["connections"] == 0)
        self.assertEqual(bench.send_request("POST", CHAT, chat_body())[0], 200)


class TestTiers(BenchCase):
    def test_waiting_requests_are_displaced_by_a_higher_tier(self):
        # Tagging requests fill this router and wait for engines. A booking arrives: it must be held and
        # answered immediately, and one tagging caller is told that its request was not executed.
        async def by_tier(request, link, inbox):
            await (serve if request.tier == 0 else keep_waiting)(request, link, inbox)

        bench = self.bench(script=by_tier, held=3)
        tagging = [bench.send_request_async("POST", CHAT, chat_body(), key=LOW_KEY) for _ in range(3)]
        bench.wait_until(lambda: len(bench.requests) == 3)
        self.assertEqual(
            problem(bench.send_request("POST", CHAT, chat_body(), key=LOW_KEY)), (503, "router_full", "no")
        )
        self.assertEqual(bench.send_request("POST", "/reservas/bookings", BOOKING)[0], 200)
        bench.wait_until(lambda: any(later.answers for later in tagging))
        (displaced,) = [later for later in tagging if later.answers]
        self.assertEqual(problem(displaced.result()), (503, "router_full", "no"))

    def test_running_requests_are_displaced_by_a_higher_tier(self):
        # The same, but the tagging requests already run on engines. One run is cancelled and its caller
        # is sent router_full and that it was executed; the booking is answered meanwhile.
        engine = FakeEngine()
        engine.gate.clear()
        bench = self.bench(engine=engine, held=2)
        tagging = [bench.send_request_async("POST", CHAT, chat_body(), key=LOW_KEY) for _ in range(2)]
        bench.wait_until(lambda: len(engine.calls) == 2)
        self.assertEqual(bench.send_request("POST", "/reservas/bookings", BOOKING)[0], 200)
        bench.wait_until(lambda: engine.cancelled)
        bench.wait_until(lambda: any(later.answers for later in tagging))
        engine.gate.set()
        displaced = [later.result() for later in tagging if later.result()[0] != 200]
        self.assertEqual([problem(answer) for answer in displaced], [(503, "router_full", "yes")])
        self.assertEqual(len(engine.cancelled), 1)


class TestCallerGone(BenchCase):
    def leave(self, bench, *, body=None, read=0):
        connection = bench.connect()
        connection.request("POST", CHAT, json.dumps(body or chat_body()), {"Authorization": f"Bearer {HIGH_KEY}"})
        bench.wait_until(lambda: bench.requests)
        if read:
            connection.getresponse().read(read)
        connection.close()

    def wait_until_released(self, bench):
        bench.wait_until(lambda: bench.limits.usage()["held"] == 0)
        self.assertEqual(sum(isinstance(event, CallerGone) for event in bench.events), 1)

    def test_disconnect_while_waiting_releases_capacity(self):
        bench = self.bench(script=keep_waiting)
        self.leave(bench)
        self.wait_until_released(bench)

    def test_disconnect_during_a_run_cancels_it(self):
        # The caller has disconnected while the thread is busy reading from the engine. If that were not
        # detected, the engine would generate the complete answer and its slot would stay occupied.
        for body in (chat_body(), chat_body(stream=True)):
            engine = FakeEngine()
            engine.gate.clear()
            bench = self.bench(engine=engine)
            self.leave(bench, body=body, read=20 if "stream" in body else 0)
            bench.wait_until(lambda: engine.cancelled)  # noqa: B023
            self.wait_until_released(bench)


class TestDrain(BenchCase):
    def test_drain_finishes_requests_and_refuses_late_ones_as_not_executed(self):
        # The router drains while a request runs. The load balancer, which has not noticed yet, sends
        # another: it is served, and its connection is closed. After the grace period a third is refused as
        # not executed. The drain returns only once the first request has received its complete answer.
        engine = FakeEngine()
        engine.gate.clear()
        reasons = []
        bench = self.bench(engine=engine, ready=lambda: reasons[0] if reasons else None)
        first = bench.send_request_async("POST", CHAT, chat_body())
        bench.wait_until(lambda: engine.calls)
        reasons.append(Reason.DRAINING)
        drain = asyncio.run_coroutine_threadsafe(bench.server.drain(grace_s=0.5), bench.loop)
        bench.wait_until(lambda: bench.server.draining)
        late = bench.send_request("POST", "/reservas/bookings", BOOKING)
        self.assertEqual((late[0], late[1]["Connection"]), (200, "close"))
        bench.wait_until(lambda: problem_reason(bench.send_request("GET", "/v1/models")) == "draining")
        refused = bench.send_request("POST", "/reservas/bookings", BOOKING)
        self.assertEqual(problem(refused), (503, "draining", "no"))
        self.assertEqual(refused[1]["Connection"], "close")
        self.assertFalse(drain.done())
        engine.gate.set()
        drain.result(WAIT_S)
        self.assertEqual(first.result()[0], 200)

    def test_nothing_is_served_before_a_configuration_is_in_force(self):
        bench = self.bench(ready=lambda: Reason.NOT_READY)
        self.assertEqual(problem(bench.send_request("POST", CHAT, chat_body())), (503, "not_ready", "no"))
        other = self.bench()
        other.in_force = None
        self.assertEqual(problem(other.send_request("POST", CHAT, chat_body())), (503, "not_ready", "no"))

    def test_a_forced_stop_ends_what_waits_as_not_run(self):
        bench = Bench(script=keep_waiting)
        later = bench.send_request_async("POST", CHAT, chat_body())
        bench.wait_until(lambda: bench.requests)
        bench.close()
        self.assertEqual(problem(later.result()), (503, "draining", "no"))


class TestProblem(unittest.TestCase):
    def test_retry_after_is_never_too_early_and_every_reason_has_a_title(self):
        expected_by_estimate = {None: 1, 0.0: 1, 0.2: 1, 2.0: 2, 2.001: 3}
        for estimate, expected in expected_by_estimate.items():
            given = refusal(Reason.OVERLOADED, 429, retry_after_s=estimate).refusal
            self.assertEqual(retry_after_seconds(given), expected)
        self.assertIsNone(retry_after_seconds(refusal(Reason.ENGINE_LOST, 502, retry_after_s=4).refusal))
        self.assertEqual(set(TITLE_BY_REASON), set(Reason))


class TestPromptShape(unittest.TestCase):
    def test_tokens_and_blocks_are_counted_as_the_engines_do(self):
        parts = [{"type": "text", "text": "ñ" * 300}, {"type": "image_url", "image_url": {}}]
        messages = [{"role": "system", "content": "x" * 700}, {"role": "user", "content": parts}, {"role": "tool"}]
        text = prompts.prompt_text({"messages": messages})
        shape = shape_of(chat_text(messages))
        self.assertEqual(shape.tokens, prompts.count_tokens(text))
        self.assertEqual(shape.prefix_blocks, prompts.prefix_blocks(text))
        self.assertEqual(len(shape.prefix_blocks), 5)


class TestSecrets(BenchCase):
    def test_no_key_or_prompt_in_log_dump_or_metrics(self):
        lines = []
        sink = logger.add(lines.append, format="{message} {extra}")
        self.addCleanup(logger.remove, sink)
        bench = self.bench()
        bench.send_request("POST", CHAT, chat_body(), headers={"Idempotency-Key": "key-of-ours"})
        bench.send_request("POST", CHAT, b'{"model": "Is it windy?"}')
        bench.send_request("POST", CHAT, chat_body(), key="wrong-key")
        bench.wait_until(lambda: "members" in str(lines))
        written = str(lines) + json.dumps(bench.server.dump()) + bench.metrics.exposition()
        for secret in (HIGH_KEY, "windy", "key-of-ours", "wrong-key"):
            self.assertNotIn(secret, written)


def problem_reason(answer):
    return json.loads(answer[2]).get("reason")


class TestAnswerTwice(BenchCase):
    def test_commands_after_the_final_answer_change_nothing(self):
        async def twice(request, link, inbox):
            link.post(refusal(Reason.NO_ENGINE))
            link.post(AnswerWhole())

        bench = self.bench(script=twice)
        self.assertEqual(problem(bench.send_request("POST", CHAT, chat_body())), (503, "no_engine", "no"))
        bench.wait_until(lambda: bench.limits.usage()["held"] == 0)
