"""The stand-in engine: its model of batching, and its faults as a process."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from tests.utils.engines import PROMPT, RunSender, address_of, chat_call, plain_call, start_engine, start_service
from wagtailtrestle.callers.prompt_shape import shape_of
from wagtailtrestle.contracts.outcomes import RunCut, RunDone, RunNotSent, RunSilent
from wagtailtrestle.standins.batching import BatchingEngine, BatchRun
from wagtailtrestle.standins.prompts import complete_answer, count_tokens, prefix_blocks
from wagtailtrestle.standins.standin_settings import ENGINE_DEFAULTS, settings_problems

HTTP = urllib3.PoolManager(retries=False)


def make_engine(**settings):
    defaults = {
        "slots": 4,
        "base_step_s": 0.004,
        "per_run_step_s": 0.001,
        "prefill_tokens_per_s": 10_000.0,
        "cache_tokens": 640,
        "prefill_chunk_tokens": 100,
    }
    return BatchingEngine(**{**defaults, **settings})


def make_run(run_id, *, prompt_tokens=10, output_tokens=3, **fields):
    return BatchRun(run_id=run_id, prompt_tokens=prompt_tokens, output_tokens=output_tokens, **fields)


def run_to_end(engine):
    steps = []
    while engine.load().running:
        steps.append(engine.step())
    return steps


class TestBatching(unittest.TestCase):
    def test_idle_step_takes_no_time(self):
        self.assertEqual(make_engine().step().duration_s, 0.0)

    def test_step_grows_with_the_batch(self):
        engine = make_engine()
        for number in range(3):
            engine.submit(make_run(f"r.{number}", prompt_tokens=10, output_tokens=5))
        first, second = engine.step(), engine.step()
        self.assertAlmostEqual(first.duration_s, 0.004 + 3 * 0.001 + 30 / 10_000)
        self.assertAlmostEqual(second.duration_s, 0.004 + 3 * 0.001)

    def test_straggler(self):
        engine = make_engine()
        engine.submit(make_run("r.1"))
        engine.straggle(10.0)
        self.assertAlmostEqual(engine.step().duration_s, 10 * (0.005 + 10 / 10_000))

    def test_waits_in_order_of_arrival_beyond_the_slots(self):
        engine = make_engine(slots=1)
        for number in range(3):
            engine.submit(make_run(f"r.{number}"))
        self.assertEqual((engine.load().running, engine.load().waiting), (1, 2))
        finished = [run.run_id for step in run_to_end(engine) for run in step.finished]
        self.assertEqual(finished, ["r.0", "r.1", "r.2"])

    def test_long_prompt_is_prefilled_in_chunks_and_slows_the_others(self):
        # A long prompt arrives while a short run generates: each step takes longer by one chunk
        # of prefill, but the short run still gets a token in each.
        engine = make_engine()
        engine.submit(make_run("short", prompt_tokens=1, output_tokens=10))
        engine.step()
        engine.submit(make_run("long", prompt_tokens=450, output_tokens=1))
        steps = run_to_end(engine)
        long_first = next(number for number, step in enumerate(steps) if ("long", 1) in step.tokens)
        self.assertEqual(long_first, 4)
        self.assertTrue(all(any(run_id == "short" for run_id, _ in step.tokens) for step in steps[:4]))
        self.assertEqual([step.prefill_tokens for step in steps[:5]], [100, 100, 100, 100, 50])

    def test_prefix_cache_saves_prefill(self):
        engine = make_engine()
        blocks = (1, 2, 3)
        first = make_run("r.1", prompt_tokens=200, prefix_blocks=blocks)
        engine.submit(first)
        run_to_end(engine)
        again = make_run("r.2", prompt_tokens=200, prefix_blocks=(1, 2, 9))
        engine.submit(again)
        run_to_end(engine)
        self.assertEqual((first.cached_tokens, first.prefill_tokens), (0, 200))
        self.assertEqual((again.cached_tokens, again.prefill_tokens), (128, 72))

    def test_wholly_cached_prompt_still_computes_its_last_token(self):
        engine = make_engine()
        for run_id in ("r.1", "r.2"):
            run = make_run(run_id, prompt_tokens=128, prefix_blocks=(1, 2))
            engine.submit(run)
            run_to_end(engine)
        self.assertEqual((run.cached_tokens, run.prefill_tokens), (127, 1))

    def test_cache_is_bounded_and_drops_the_least_recently_used(self):
        engine = make_engine(cache_tokens=4 * 64)
        engine.cache.put((1, 2))
        engine.cache.put((3, 4))
        self.assertEqual(engine.cache.match((1, 2)), 2)
        engine.cache.put((5,))
        self.assertEqual(len(engine.cache), 4)
        self.assertEqual(engine.cache.match((1, 2)), 2)
        self.assertEqual(engine.cache.match((3, 4)), 1)
        added, removed = engine.cache.take_changes()
        self.assertEqual((sorted(added), removed), ([1, 2, 3, 4, 5], [4]))

    def test_resumed_run_prefills_received_tokens_and_continues_after_them(self):
        engine = make_engine()
        run = make_run("r.1", prompt_tokens=10, output_tokens=8, resume_tokens=5)
        engine.submit(run)
        indices = [index for step in run_to_end(engine) for _, index in step.tokens]
        self.assertEqual(indices, [6, 7, 8])
        self.assertEqual((run.prefill_tokens, run.generated_tokens), (15, 3))

    def test_cancel_frees_the_slot(self):
        engine = make_engine(slots=1)
        engine.submit(make_run("r.1"))
        engine.submit(make_run("r.2"))
        self.assertEqual(engine.cancel("r.1").run_id, "r.1")
        self.assertEqual((engine.load().running, engine.load().waiting), (1, 0))
        self.assertIsNone(engine.cancel("r.1"))
        engine.submit(make_run("r.3"))
        engine.cancel("r.3")
        self.assertEqual([run.run_id for step in run_to_end(engine) for run in step.finished], ["r.2"])


class TestPrompts(unittest.TestCase):
    def test_router_and_engine_count_alike(self):
        # Router and engine have separate implementations, as separate programs would. If they
        # differ, the router's estimates of cached prefixes never match.
        for text in ("", "a", "ñandú " * 200, "x" * 256, "y" * 1000):
            with self.subTest(text[:5]):
                shape = shape_of(text)
                self.assertEqual(shape.tokens, count_tokens(text))
                self.assertEqual(shape.prefix_blocks, prefix_blocks(text))


class TestEngineHttp(unittest.TestCase):
    def setUp(self):
        self.engine = start_engine(self)

    def call(self, method, path, value=None, *, standin=None):
        body = None if value is None else json.dumps(value).encode()
        url = f"http://{address_of(standin or self.engine)}{path}"
        response = HTTP.request(method, url, body=body, timeout=3.0)
        return response.status, response.json()

    def test_shapes_a_chat_client_sends(self):
        shapes = {
            "least": {},
            "every optional field": {
                "temperature": 0.2,
                "stop": ["\n"],
                "n": 1,
                "user": "u",
                "max_completion_tokens": 8,
                "stream_options": {"include_usage": True},
            },
            "fewer tokens than asked for": {"max_tokens": 8, "wagtailtrestle_output_tokens": 3},
        }
        counts = {"least": 64, "every optional field": 8, "fewer tokens than asked for": 3}
        for name, fields in shapes.items():
            with self.subTest(name):
                parts = [{"type": "text", "text": PROMPT[:9]}, {"type": "text", "text": PROMPT[9:]}]
                body = {"model": "m", "messages": [{"role": "user", "content": parts}], **fields}
                status, answer = self.call("POST", "/v1/chat/completions", body)
                self.assertEqual(status, 200)
                text = answer["choices"][0]["message"]["content"]
                self.assertEqual(text, complete_answer(PROMPT, counts[name]))
                self.assertEqual(answer["usage"]["completion_tokens"], counts[name])

    def test_plain_completion(self):
        status, answer = self.call("POST", "/v1/completions", {"prompt": PROMPT, "max_tokens": 4})
        self.assertEqual((status, answer["choices"][0]["text"]), (200, complete_answer(PROMPT, 4)))
        self.assertEqual(answer["choices"][0]["finish_reason"], "length")

    def test_bad_bodies(self):
        for body in ([], {}, {"messages": "no"}, {"messages": [], "n": 2}):
            with self.subTest(body):
                self.assertEqual(self.call("POST", "/v1/chat/completions", body)[0], 400)

    def test_a_run_sent_twice_runs_once_and_is_counted(self):
        sender = RunSender(call=chat_call())
        sender.send(address_of(self.engine))
        again = RunSender(call=chat_call())
        self.assertEqual(again.send(address_of(self.engine)).status, 409)
        record = self.engine.record.as_dict()["runs"]["r.1"]
        self.assertEqual((record["starts"], record["resends"]), (1, 1))

    def test_fencing(self):
        self.assertEqual(self.call("POST", "/orders", {"fencing": 5, "order": "load_model"})[0], 200)
        self.assertEqual(self.call("POST", "/orders", {"fencing": 4, "order": "leave"})[0], 409)
        self.assertFalse(self.call("GET", "/load")[1]["leaving"])
        self.call("POST", "/faults", {"ignore_fencing": True})
        self.assertEqual(self.call("POST", "/orders", {"fencing": 4, "order": "leave"})[0], 200)
        self.assertEqual(self.call("POST", "/orders", {"order": "leave"})[0], 400)

    def test_engine_that_never_checks_fencing(self):
        engine = start_engine(self, checks_fencing=False)
        for fencing in (5, 4):
            self.assertEqual(self.call("POST", "/orders", {"fencing": fencing, "order": "x"}, standin=engine)[0], 200)

    def test_starts_on_a_leaving_engine_are_counted(self):
        # A draining engine finishes its runs and still executes new ones, but its record counts
        # them, so that a test can detect a sender that does not stop.
        sender = RunSender(call=chat_call(output_tokens=100))
        thread = sender.send_in_thread(address_of(self.engine))
        self.assertTrue(sender.first_token.wait(2))
        self.call("POST", "/orders", {"fencing": 1, "order": "leave"})
        self.assertTrue(self.call("GET", "/load")[1]["leaving"])
        self.assertIsInstance(RunSender(call=chat_call()).send(address_of(self.engine), run_id="r.2"), RunDone)
        thread.join(3)
        self.assertIsInstance(sender.ended.outcome, RunDone)
        record = self.call("GET", "/record")[1]
        self.assertEqual(record["starts_after_leaving"], 1)
        self.assertGreater(record["last_start_after_leaving_s"], 0.0)

    def test_kv_of_one_engine_spares_the_other_the_prefill(self):
        other = start_engine(self)
        prompt = "long report " * 100
        RunSender(call=chat_call(prompt=prompt)).send(address_of(self.engine))
        _, kv = self.call("GET", "/kv/r.1")
        self.call("POST", "/kv", kv, standin=other)
        outcome = RunSender(call=chat_call(prompt=prompt)).send(address_of(other), run_id="r.2")
        self.assertEqual(outcome.cached_tokens, 256)

    def test_unknown_fault_changes_nothing(self):
        status, answer = self.call("POST", "/faults", {"straggle": 5.0, "no_such": 1, "stream_kind": "odd"})
        self.assertEqual((status, len(answer["problems"])), (400, 2))
        self.assertEqual(self.call("GET", "/faults")[1]["straggle"], 1.0)

    def test_poisoned_prompt_crashes_the_engine(self):
        # A poisoned prompt crashes the engine after its prefill: a run in the same batch is cut
        # too, the record has both as unfinished, and the engine restarts without them.
        engine = start_engine(self, control_port=0)
        self.call("POST", "/faults", {"poison_marker": "POISON", "down_s": 0.3}, standin=engine)
        healthy = RunSender(call=chat_call(output_tokens=2000))
        thread = healthy.send_in_thread(address_of(engine))
        self.assertTrue(healthy.first_token.wait(2))
        poisoned = RunSender(call=chat_call(prompt="POISON"))
        self.assertIsInstance(poisoned.send(address_of(engine), run_id="r.2"), RunCut)
        thread.join(2)
        self.assertIsInstance(healthy.ended.outcome, RunCut)
        self.assert_down_and_up(engine)
        runs = engine.record.as_dict()["runs"]
        self.assertEqual((runs["r.1"]["finished"], runs["r.2"]["finished"]), (0, 0))
        self.assertEqual(runs["r.1"]["prefill_tokens"], 10)

    def test_refused_connections_leave_the_runs_alone(self):
        # The engine's port refuses connections for a while, as behind a broken link: the active
        # run loses its connection but continues, and can be attached to afterwards.
        engine = start_engine(self)
        sender = RunSender(call=chat_call(output_tokens=1000))
        thread = sender.send_in_thread(address_of(engine))
        self.assertTrue(sender.first_token.wait(2))
        self.call("POST", "/faults", {"refuse_connects_s": 0.3}, standin=engine)
        thread.join(2)
        self.assertIsInstance(sender.ended.outcome, RunCut)
        self.assert_down_and_up(engine)
        self.assertIsInstance(sender.send(address_of(engine), attach=True), RunDone)
        self.assertEqual(sender.received.text, complete_answer(PROMPT, 1000))

    def assert_down_and_up(self, engine):
        seen = set()
        until = time.monotonic() + 10
        while time.monotonic() < until and RunDone not in seen:
            run_id = f"probe.{time.monotonic_ns()}"
            seen.add(type(RunSender(call=chat_call(output_tokens=1)).send(address_of(engine), run_id=run_id)))
            time.sleep(0.01)
            if RunNotSent not in seen:
                seen.discard(RunDone)
        self.assertLessEqual({RunNotSent, RunDone}, seen)

    def test_orphaned_run_is_cancelled(self):
        # The router that sent the run died, so the run has no reader. After the grace period it is cancelled, which
        # frees its slot.
        engine = start_engine(self, orphan_grace_ms=100.0)
        RunSender(call=chat_call(output_tokens=100_000)).send(address_of(engine), overall_s=0.1)
        until = time.monotonic() + 5
        while not engine.record.as_dict()["totals"]["cancelled"] and time.monotonic() < until:
            time.sleep(0.02)
        self.assertEqual(engine.record.as_dict()["totals"]["cancelled"], 1)


class TestServiceHttp(unittest.TestCase):
    def test_bounded_concurrency(self):
        service = start_service(self, service_ms=100.0, concurrency=1)
        senders = [RunSender(call=plain_call()) for _ in range(3)]
        threads = [
            sender.send_in_thread(address_of(service), run_id=f"r.{number}") for number, sender in enumerate(senders)
        ]
        for thread in threads:
            thread.join(3)
        durations = sorted(sender.ended.duration_s for sender in senders)
        self.assertGreater(durations[2], 0.29)

    def test_connections_open_before_go_silent(self):
        service = start_service(self)
        pool = urllib3.HTTPConnectionPool(address_of(service), maxsize=1, retries=False)
        pool.request("GET", "/reservas/slots")
        service.silence_open()
        with self.assertRaises(HTTPError):
            pool.request("GET", "/reservas/slots", timeout=0.2)
        self.assertIsInstance(RunSender(call=plain_call()).send(address_of(service)), RunDone)

    def test_crash_with_a_request_in_work(self):
        # The service dies in the middle of a charge; the record shows a start and no end.
        service = start_service(self, service_ms=300.0)
        sender = RunSender(call=plain_call())
        thread = sender.send_in_thread(address_of(service))
        while not service.record.as_dict()["totals"]["starts"]:
            time.sleep(0.01)
        service.crash()
        thread.join(3)
        self.assertNotIsInstance(sender.ended.outcome, RunDone | RunNotSent | RunSilent)
        self.assertEqual(service.record.as_dict()["totals"]["finished"], 0)


class TestProcess(unittest.TestCase):
    def start(self, settings, kind="engine"):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "settings.yaml"
        path.write_text(settings)
        command = [sys.executable, "-m", "wagtailtrestle.cli.standin", kind, "--settings", str(path)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_bad_settings_end_with_status_2_and_every_fault(self):
        process = self.start("slots: many\nno_such: 1\nport: -4\n")
        _, errors = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2)
        for name in ("slots", "no_such", "port"):
            self.assertIn(f"{name}: ", errors)

    def test_settings_kinds(self):
        self.assertEqual(settings_problems({"base_step_ms": 5, "slots": 3}, ENGINE_DEFAULTS), [])
        self.assertEqual(len(settings_problems({"slots": True, "checks_fencing": 1}, ENGINE_DEFAULTS)), 2)

    def test_sigterm_cuts_no_run(self):
        # The operator stops the engine while it answers: the active run completes. A run that
        # arrives later is refused as not started, so it may be sent to another engine. Then
        # the process ends with status 0 and its port is closed.
        process = self.start("base_step_ms: 2\ndrain_grace_ms: 0\n")
        address = json.loads(process.stdout.readline())["address"]
        sender = RunSender(call=chat_call(output_tokens=200))
        thread = sender.send_in_thread(address)
        self.assertTrue(sender.first_token.wait(3))
        process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        late = RunSender(call=chat_call())
        self.assertIsInstance(late.send(address, run_id="r.2"), RunNotSent)
        self.assertIn("refused", late.ended.outcome.detail)
        thread.join(5)
        self.assertIsInstance(sender.ended.outcome, RunDone)
        self.assertEqual(process.wait(10), 0)
        host, _, port = address.rpartition(":")
        with self.assertRaises(OSError):
            socket.create_connection((host, int(port)), timeout=1).close()

    def test_crash_that_ends_the_process(self):
        process = self.start("base_step_ms: 1\n")
        address = json.loads(process.stdout.readline())["address"]
        faults = json.dumps({"poison_marker": "POISON", "crash_mode": "exit"})
        HTTP.request("POST", f"http://{address}/faults", body=faults)
        self.assertIsInstance(RunSender(call=chat_call(prompt="POISON")).send(address), RunCut)
        self.assertEqual(process.wait(10), 70)
        with self.assertRaises(NewConnectionError):
            HTTP.request("GET", f"http://{address}/healthz")
