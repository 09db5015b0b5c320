import dataclasses
import http.client
import json
import unittest

from wagtailtrestle.contracts.declaration import Team
from wagtailtrestle.contracts.outcomes import Executed, Reason
from wagtailtrestle.observe.admin_http import AdminServer
from wagtailtrestle.observe.metrics import MAX_SERIES, Metrics
from wagtailtrestle.observe.state_dump import MAX_ITEMS, plain


class TestAdminServer(unittest.TestCase):
    def setUp(self):
        self.reason = None
        self.metrics = Metrics()
        self.server = AdminServer(
            address=("127.0.0.1", 0),
            ready=lambda: self.reason,
            state=lambda: {"tier": Executed.NO, "team": Team(name="members", key_sha256=("ab",))},
            metrics=self.metrics,
        )
        self.server.start()
        self.addCleanup(self.server.close)

    def get(self, path, method="GET"):
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port, timeout=10)
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, body.decode()

    def test_readiness_follows_the_process(self):
        self.assertEqual(self.get("/readyz")[0], 200)
        self.reason = Reason.DRAINING
        status, body = self.get("/readyz")
        self.assertEqual((status, json.loads(body)["reason"]), (503, "draining"))
        self.assertEqual(self.get("/healthz")[0], 200)

    def test_state_is_plain_data_without_keys(self):
        state = json.loads(self.get("/state")[1])
        self.assertEqual(state["tier"], "no")
        self.assertEqual(state["team"]["name"], "members")
        self.assertNotIn("ab", json.dumps(state["team"]["key_sha256"]))

    def test_unknown_paths_and_methods_say_what_is_served(self):
        self.assertEqual(self.get("/other")[0], 404)
        self.assertEqual(self.get("/state", method="POST")[0], 405)

    def test_metrics_are_exposed(self):
        self.metrics.count("requests", route='a"b', tier="x")
        status, body = self.get("/metrics")
        self.assertEqual(status, 200)
        self.assertIn('wagtailtrestle_requests{route="a\\"b",tier="x"} 1', body)


class TestMetrics(unittest.TestCase):
    def setUp(self):
        self.time = 0.0
        self.metrics = Metrics(now=lambda: self.time)

    def test_percentiles_are_of_recent_requests_and_counts_of_all(self):
        for _ in range(100):
            self.metrics.observe("total", seconds=8.0, tier="x")
        self.time = 300.0
        for milliseconds in range(1, 101):
            self.metrics.observe("total", seconds=milliseconds / 1000, tier="x")
        text = self.metrics.exposition()
        value = float(text.split('quantile="0.99"} ')[1].split("\n")[0])
        self.assertAlmostEqual(value, 0.099, delta=0.002)
        self.assertIn('total_seconds_count{tier="x"} 200', text)

    def test_series_are_bounded(self):
        # Frequent changes of the declared routes must not exhaust the memory of a process that runs
        # for months: beyond the limit all new labels share one series.
        for number in range(MAX_SERIES + 50):
            self.metrics.count("requests", route=str(number))
        self.assertEqual(self.metrics.exposition().count("requests{"), MAX_SERIES + 1)
        self.assertIn('requests{route="other"} 50', self.metrics.exposition())


class TestPlainData(unittest.TestCase):
    def test_what_could_hold_a_key_or_a_prompt_is_hidden(self):
        @dataclasses.dataclass(slots=True)
        class Run:
            run_id: str
            prompt: str
            body: bytes
            nested: dict

        run = Run(run_id="r", prompt="secret words", body=b"secret", nested={"messages": ["secret"], "n": b"secret"})
        text = json.dumps(plain(run))
        self.assertNotIn("secret", text)
        self.assertIn('"run_id": "r"', text)

    def test_endless_state_is_cut_and_says_so(self):
        loop = {}
        loop["self"] = loop
        self.assertIn("too deep", json.dumps(plain(loop)))
        self.assertEqual(plain(list(range(MAX_ITEMS + 5)))[-1], "(5 more)")
