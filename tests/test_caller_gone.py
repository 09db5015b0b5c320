"""A caller that disconnects occupies no engine, no slot and no thread afterwards."""

import http.client
import json
import time
import unittest

from tests.utils.running import CHAT, PLAN, Running, wait_until

LONG_ANSWER = 2000
ANSWER_S = 20.0
MESSAGES = [{"role": "user", "content": "a caller that goes away"}]
ENGINES = ("asistente-1", "asistente-3")


class CallerGoneTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = Running(routers=2).start()

    @classmethod
    def tearDownClass(cls):
        cls.running.close()

    def loads(self):
        return [self.running.deployment.get(f"{self.running.deployment.engine_url(name)}/state") for name in ENGINES]

    def running_on_engines(self):
        return sum(load["load"]["running"] for load in self.loads())

    def held_by_scheduler(self):
        return self.running.state(self.running.scheduler_of())["stewards"]["asistente"]["running"]

    def held_by_callers(self):
        return sum(self.running.state(name)["callers"]["limits"]["held"] for name in self.running.routers)

    def send_and_disconnect(self, *, stream):
        """Request a very long answer and return the connection once its run has started."""
        url = self.running.deployment.callers_urls()[0]
        connection = http.client.HTTPConnection(url.removeprefix("http://"), timeout=ANSWER_S)
        body = {"model": "asistente", "max_tokens": LONG_ANSWER, "stream": stream, "messages": MESSAGES}
        headers = {"Authorization": f"Bearer {PLAN.key}", "Wagtailtrestle-Route": "plan"}
        connection.request("POST", CHAT, body=json.dumps(body), headers={**headers, "Content-Type": "application/json"})
        wait_until(lambda: self.running_on_engines() > 0, "the run's start")
        return connection

    def check_freed(self, connection):
        self.assertTrue(self.held_by_scheduler())
        connection.close()
        disconnected_at = time.monotonic()
        wait_until(lambda: self.running_on_engines() == 0, "the run to be cancelled", timeout_s=4)
        print(f"caller gone: its run was cancelled after {time.monotonic() - disconnected_at:.2f} s")
        wait_until(lambda: not self.held_by_scheduler(), "the slot to be free", timeout_s=4)
        wait_until(lambda: self.held_by_callers() == 0, "the caller's thread to be free", timeout_s=4)

    def test_caller_of_a_stream_disconnects(self):
        # The caller closes its connection in the middle of a long stream. Its run is cancelled on the
        # engine and its slot is free long before the answer would have been complete.
        self.check_freed(self.send_and_disconnect(stream=True))

    def test_caller_of_an_unstreamed_answer_disconnects(self):
        # As above, but nothing is written to the caller before the end, so that the disconnect can only
        # be detected by watching the connection.
        self.check_freed(self.send_and_disconnect(stream=False))


if __name__ == "__main__":
    unittest.main()
