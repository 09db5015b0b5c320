"""End-to-end path over separate processes: apply a declaration, send requests, check answers and records."""

import tempfile
import unittest
from pathlib import Path

import urllib3
import yaml

from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.load.records import read_records
from wagtailtrestle.standins.prompts import complete_answer

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
KEY = {"Authorization": "Bearer example-key-socios", "Content-Type": "application/json"}
PROMPT = "Can I fly at Playa de San Lorenzo tomorrow?"


def small_document():
    """The Cometas example with two language engines and one booking engine."""
    document = yaml.safe_load((EXAMPLES / "cometas.yaml").read_text())
    kept = ("asistente-1", "asistente-3", "reservas-1")
    document["engines"] = [engine for engine in document["engines"] if engine["name"] in kept]
    return document


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.deployment = Deployment(directory=Path(cls.directory.name), document=small_document(), routers=2)
        try:
            cls.deployment.start()
            cls.deployment.apply()
            cls.deployment.wait_routers_ready()
        except BaseException:
            cls.deployment.close()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.deployment.close()
        cls.directory.cleanup()

    def send_request(self, router, path, document, **headers):
        url = self.deployment.callers_urls()[router] + path
        return urllib3.request("POST", url, json=document, headers={**KEY, **headers}, retries=False, timeout=15)

    def chat(self, **fields):
        return {"model": "asistente", "max_tokens": 6, "messages": [{"role": "user", "content": PROMPT}], **fields}

    def test_complete_chat_answer(self):
        answer = self.send_request(0, "/v1/chat/completions", self.chat())
        self.assertEqual(answer.status, 200, answer.data)
        document = answer.json()
        self.assertEqual(document["choices"][0]["message"]["content"], complete_answer(PROMPT, 6))
        self.assertEqual(document["usage"]["completion_tokens"], 6)

    def test_streamed_chat_answer(self):
        answer = self.send_request(
            1, "/v1/chat/completions", self.chat(stream=True, temperature=0.2, user="a", stop=None)
        )
        self.assertEqual(answer.status, 200, answer.data)
        events = [line[6:] for line in answer.data.decode().splitlines() if line.startswith("data: ")]
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(sum("content" in event for event in events), 6)

    def test_booking_sent_again_through_another_router_runs_once(self):
        # Guards against a booking that runs twice when its caller retries through another router. The first
        # router claims the key in the platform's store before it dispatches; the second finds the claim
        # and returns the recorded answer.
        answers = [
            self.send_request(router, "/reservas/bookings", {"slot": 4}, **{"Idempotency-Key": "family-4"})
            for router in (0, 1)
        ]
        self.assertEqual([answer.status for answer in answers], [200, 200], answers[1].data)
        self.assertEqual(answers[0].data, answers[1].data)
        runs = read_records([self.deployment.engine_url("reservas-1")])[0].values()
        self.assertEqual(sum(run.starts for each in runs for run in each), 1)

    def test_every_process_serves_health_state_and_metrics(self):
        urls = [self.deployment.platform_url, *self.deployment.engine_urls()]
        urls += self.deployment.admin_url_by_router.values()
        for url in urls:
            for path in ("/healthz", "/readyz", "/state", "/metrics"):
                with self.subTest(url=url, path=path):
                    answer = urllib3.request("GET", url + path, retries=False, timeout=5)
                    self.assertEqual(answer.status, 200, answer.data)
        metrics = urllib3.request("GET", self.deployment.engine_url("asistente-1") + "/metrics", retries=False).data
        self.assertIn(b"wagtailtrestle_standin_starts", metrics)

    def test_unknown_key_is_refused_and_nothing_runs(self):
        answer = self.send_request(0, "/v1/chat/completions", self.chat(), Authorization="Bearer nobody")
        self.assertEqual(answer.status, 401)
        self.assertEqual(answer.json()["executed"], "no")
        self.assertEqual(answer.headers["Wagtailtrestle-Executed"], "no")


if __name__ == "__main__":
    unittest.main()
