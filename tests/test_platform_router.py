"""A router process on the users' platform, as seen by callers and engines."""

import json
import re
import signal
import socket
import threading
import time
import unittest

import yaml

from tests.utils.platform_world import KEY, TEAM, World, configuration, wait_until
from tests.utils.world_engine import SIGNATURE

FORGED = {"Tenant": "another", "Hold": "h1", "Pin_Milliseconds": "5", "Kv_From": "10.0.0.1:1/x"}


class WorldCase(unittest.TestCase):
    SETTINGS = {}
    ROUTERS = 1

    def setUp(self):
        self.world = World(routers=self.ROUTERS, **self.SETTINGS).start()
        self.addCleanup(self.world.close)
        self.assistants = [self.world.engines["a-1"], self.world.engines["a-2"]]

    def script(self, service, *how):
        """Script the next answers of the service, one for each fault, whichever engine gives them."""
        engines = [engine for engine in self.world.engines.values() if engine.service == service]
        shared = list(how)
        for engine in engines:
            engine.script = shared


class PassingOnTest(WorldCase):
    def test_what_engines_and_callers_read(self):
        answer = self.world.request("POST", "/stream/x?q=1", Token_Counts="100,20", Model="m", X_Other="kept", **FORGED)
        self.assertEqual((answer.status, answer.is_complete), (200, True))
        self.assertEqual(answer.event_ids, [1, 2, 3, 4, 5, 6])
        self.assertTrue(answer.headers["Response-Stamp"].startswith(SIGNATURE))
        self.assertEqual(answer.headers["Request-Id"], "r1")
        (seen,) = self.world.runs(service="assistant")
        self.assertEqual((seen["path"], seen["body"]), ("/stream/x?q=1", b"body"))
        self.assertEqual((seen["request-id"], seen["token-counts"], seen["model"]), ("r1", "100,20", "m"))
        self.assertEqual((seen["tenant"], seen["x-other"], seen["host"]), (TEAM, "kept", "service.example"))
        self.assertLessEqual(int(seen["deadline-milliseconds"]), 4000)
        self.assertIn(seen["expect-instance"], ("a-1", "a-2"))
        for name in ("authorization", "hold", "pin-milliseconds", "kv-from"):
            self.assertNotIn(name, seen)

    def test_complete_answers_and_failures_are_forwarded_unchanged(self):
        answer = self.world.request("POST", "/book/1")
        self.assertEqual((answer.status, answer.body[:10]), (200, b"whole from"))
        self.script("booking", "fail")
        answer = self.world.request("POST", "/book/2", request_id="r2")
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
        self.assertTrue(answer.headers["Response-Stamp"].startswith(SIGNATURE))

    def test_routes_and_keys(self):
        self.assertEqual(self.world.request("GET", "/nowhere/").status, 404)
        self.assertEqual(self.world.request("GET", "/status/1", key="wrong").status, 401)
        self.assertEqual(self.world.request("GET", "/status/1", key=None).status, 401)
        self.assertEqual(self.world.runs(service="booking"), [])

    def test_a_request_with_two_lengths_is_not_forwarded(self):
        # Request smuggling: with both Content-Length and chunked coding, an engine that goes by one of
        # them while the router goes by the other would run a second request hidden inside the first.
        host, _, port = self.world.routers[0].values["callers_address"].partition(":")
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            head = f"POST /book/1 HTTP/1.1\r\nHost: service.example\r\nAuthorization: Token {KEY}\r\n"
            sock.sendall(
                head.encode() + b"Request-Id: r1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            )
            self.assertIn(b"400", sock.recv(100))
        self.assertEqual(self.world.runs(service="booking"), [])


class BrokenAnswersTest(WorldCase):
    def test_a_stream_that_broke_off_goes_on_elsewhere(self):
        # The engine stops in the middle of an event. The caller receives one stream without a gap,
        # with the response head and signature of the first engine.
        for how in ("cut", "torn"):
            with self.subTest(how=how):
                for engine in self.assistants:
                    engine.seen.clear()
                self.script("assistant", how)
                answer = self.world.request("POST", "/stream/x", request_id=f"r-{how}")
                self.assertEqual(answer.event_ids, [1, 2, 3, 4, 5, 6])
                self.assertTrue(answer.is_complete)
                runs = self.world.runs(service="assistant")
                self.assertEqual(sorted(seen.get("last-event-id", "") for seen in runs), ["", "2"])

    # Guards against a stream that is forwarded with the status and the signature of an engine that failed before.
    def test_a_stream_after_a_failure_has_the_head_of_its_engine(self):
        self.script("assistant", "fail")
        answer = self.world.request("POST", "/stream/x")
        self.assertEqual((answer.status, answer.event_ids, answer.is_complete), (200, [1, 2, 3, 4, 5, 6], True))
        name = answer.body.decode().split("data: ")[1].split("\n")[0]
        self.assertEqual(answer.headers["Response-Stamp"], f"{SIGNATURE}-{name}")
        self.assertEqual(len(self.world.runs(service="assistant")), 2)

    def test_a_stream_that_may_not_be_resumed_is_aborted(self):
        # The request may run only once: the caller got part of the stream, which must not look complete.
        self.script("assistant", "cut")
        answer = self.world.request("POST", "/stream-once/x")
        self.assertEqual((answer.event_ids, answer.is_complete), ([1, 2], False))
        self.assertEqual(len(self.world.runs(service="assistant")), 1)

    def test_what_may_run_once_is_never_sent_twice(self):
        # The answer is cut off, compressed, unsigned or belongs to another request: the booking may have
        # run. The caller must be told neither that it succeeded nor that it did not run.
        for number, how in enumerate(("cut", "coded", "unsigned", "crossed")):
            with self.subTest(how=how):
                self.script("booking", how)
                answer = self.world.request("POST", f"/book/{number}", request_id=f"r{number}")
                self.assertEqual(answer.status, 502)
                self.assertNotIn("Response-Stamp", answer.headers)
                self.assertEqual(len(self.world.runs(service="booking")), number + 1)

    def test_what_may_be_repeated_is_tried_once_more(self):
        self.script("booking", "cut")
        answer = self.world.request("GET", "/status/1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.world.runs(service="booking")), 2)

    def test_a_request_rejected_by_a_full_engine_runs_on_another(self):
        self.script("booking", "full")
        self.assertEqual(self.world.request("POST", "/book/1").status, 200)
        self.assertEqual(len(self.world.runs(service="booking")), 1)

    def test_engines_that_are_all_full_mean_that_it_did_not_run(self):
        self.script("booking", *["full"] * 10)
        answer = self.world.request("POST", "/book/1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
        self.assertEqual(self.world.runs(service="booking"), [])


class ChangesTest(WorldCase):
    SETTINGS = {"key_revocation_ms": 1667}

    def test_a_new_configuration_is_in_force_soon(self):
        self.world.store.put("config", "main", configuration(9, keys=("new-key",)))
        wait_until(lambda: self.world.request("GET", "/status/1", key="new-key").status == 200, "the new key")
        self.assertEqual(self.world.request("GET", "/status/1").status, 401)

    def test_one_that_cannot_be_read_changes_nothing(self):
        self.world.store.put("config", "main", {"version": 9, "routes": "nonsense"})
        time.sleep(0.8)
        self.assertEqual(self.world.request("GET", "/status/1").status, 200)
        self.assertIn("can't be read", self.world.routers[0].log_path.read_text())

    def test_keys_are_not_used_beyond_their_freshness(self):
        # The store is unavailable for longer than keys may be used without confirmation. A key revoked
        # in the meantime must not run anything, and it is unknown which keys were revoked, so every
        # request is refused as not run, with Retry-After. Service resumes when the store is back.
        self.world.store.down = True
        wait_until(lambda: self.world.request("GET", "/status/1").status == 503, "refusals")
        ran = len(self.world.runs(service="booking"))
        answer = self.world.request("POST", "/book/1", request_id="r9")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(len(self.world.runs(service="booking")), ran)
        # Another thread of the router writes its log.
        line = re.compile(r"keys proved \d+\.\d s ago, limit 1\.5")
        wait_until(lambda: line.search(self.world.routers[0].log_path.read_text()), "the reason in the log")
        self.world.store.down = False
        wait_until(lambda: self.world.request("GET", "/status/1").status == 200, "service again")

    def test_engines_that_leave_get_nothing_more(self):
        left = self.world.engines["b-1"]
        self.world.store.put("servers", left.name, left.entry("draining"))
        time.sleep(0.5)
        left.seen.clear()
        for number in range(6):
            self.assertEqual(self.world.request("POST", "/book/1", request_id=f"r{number}").status, 200)
        self.assertEqual(left.seen, [])

    def test_an_address_used_again_by_another_engine_runs_nothing(self):
        # The engine is gone but still listed, and another engine has its address. Each request names the
        # expected engine, so the new one refuses it and the service's other engine serves it.
        self.world.engines["b-1"].name = "c-1"
        for number in range(4):
            self.assertEqual(self.world.request("POST", "/book/1", request_id=f"r{number}").status, 200)
        self.assertEqual(self.world.engines["b-1"].seen, [])

    def test_settings_are_read_again(self):
        # The default action of this signal would kill the process with all requests in flight.
        router = self.world.routers[0]
        router.settings_file.write_text(yaml.safe_dump(router.values | {"retry_extra": 7.0, "zone": "b"}))
        router.signal(signal.SIGHUP)
        wait_until(lambda: "settings read again" in router.log_path.read_text(), "the log line")
        line = next(line for line in router.log_path.read_text().splitlines() if "settings read again" in line)
        logged = json.loads(line)
        self.assertEqual((logged["changed"], logged["from_next_start"]), ("zone,retry_extra", "zone"))
        router.settings_file.write_text("nonsense: [")
        wait_until(lambda: "not put in force" in router.log_path.read_text(), "the error in the log")
        self.assertEqual(self.world.request("GET", "/status/1").status, 200)


class CallersWhoLeaveTest(WorldCase):
    def test_the_run_is_cancelled_immediately(self):
        for engine in self.assistants:
            engine.events, engine.pause_s = 400, 0.02
        connection = self.world.connect()
        connection.request(
            "POST",
            "/stream/x",
            body=b"b",
            headers={"Host": "service.example", "Request-Id": "r1", "Authorization": f"Token {KEY}"},
        )
        connection.getresponse().read(10)
        connection.sock.close()
        left_at = time.monotonic()
        connection.close()
        wait_until(lambda: any(engine.gone.is_set() for engine in self.assistants), "the end of the run")
        self.assertLess(time.monotonic() - left_at, 0.5)


class StopTest(WorldCase):
    def test_streams_in_flight_are_finished(self):
        # SIGTERM during a stream: not ready immediately, the stream is completed, then the process exits.
        for engine in self.assistants:
            engine.events, engine.pause_s = 100, 0.015
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.world.request("POST", "/stream/x")))
        thread.start()
        wait_until(lambda: self.world.runs(service="assistant"), "the run")
        router = self.world.routers[0]
        router.terminate()
        wait_until(lambda: not router.is_ready(), "not ready")
        thread.join()
        self.assertEqual((answers[0].event_ids, answers[0].is_complete), (list(range(1, 101)), True))
        self.assertEqual(router.wait_stopped(), 0)
        self.assertEqual(self.world.store.objects("wagtailtrestle-routers"), {})


class TwoRoutersTest(WorldCase):
    ROUTERS = 2

    def test_they_find_each_other_and_share_a_quota(self):
        # One team's requests reach both routers. Each by itself would admit the full quota.
        self.world.store.put("config", "main", configuration(2, rate_per_s=50, burst=100))
        wait_until(lambda: len(self.world.store.objects("wagtailtrestle-routers")) == 2, "both entries")
        time.sleep(1.5)
        began_at = time.monotonic()
        statuses = [self.world.request("GET", "/status/1", router=number % 2).status for number in range(60)]
        elapsed_s = time.monotonic() - began_at
        served = statuses.count(200) * 10
        self.assertLessEqual(served, 100 + 50 * elapsed_s + 20)
        self.assertGreaterEqual(served, 100)
        self.assertEqual(set(statuses), {200, 429})
        logs = "".join(router.log_path.read_text() for router in self.world.routers)
        self.assertRegex(
            logs, r"team \S+: a request of \d+ units, quota 50 a second, burst 100; its owner had -?\d+ left"
        )


if __name__ == "__main__":
    unittest.main()
