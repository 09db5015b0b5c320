"""Notices parsed from the head of an answer, in the native dialect and in the platform's."""

import math
import unittest
from types import SimpleNamespace

from tests.utils.engines import plain_call
from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.platform.engines import PlatformCall

RUN_ID, REQUEST_ID = "r.1", "caller-1"
START_MS = 1000


def answer(headers, *, status=200):
    command = StartRun(
        run_id=RUN_ID,
        engine="e1",
        address="",
        first_token_deadline_s=1.0,
        progress_deadline_s=1.0,
        overall_s=1.0,
        start_ms=START_MS,
    )
    return SimpleNamespace(command=command, response=SimpleNamespace(status=status, headers=headers))


class NativeDialectTest(unittest.TestCase):
    def read(self, *, run_id=RUN_ID, status=200, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return plain_call().notice(answer({"X-Request-Id": run_id} | headers, status=status))

    def test_all_notices_of_an_engine(self):
        notice = self.read(status=503, X_Rate_Limit="2.3", X_Leaving="yes", Retry_After="3")
        self.assertEqual((notice.engine, notice.start_ms), ("e1", START_MS))
        self.assertEqual((notice.limit_per_s, notice.leaving, notice.rest_s), (2.3, True, 3.0))

    # Guards against a service's Retry-After on an answer to a request that it ran.
    def test_only_a_rejection_asks_for_a_back_off(self):
        self.assertFalse(self.read(status=200, Retry_After="3").restricts_load)

    # Guards against a notice in another run's answer, received on this connection, that is applied to this engine.
    def test_answer_to_another_run_gives_no_notice(self):
        self.assertIsNone(self.read(run_id="r.2", X_Leaving="yes"))


class PlatformDialectTest(unittest.TestCase):
    def read(self, *, request_id=REQUEST_ID, status=200, **headers):
        call = PlatformCall(
            method="GET", target="/", headers={}, body=b"", request_id=REQUEST_ID, team="", is_streamed=False
        )
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return call.notice(answer({"Request-Id": request_id} | headers, status=status))

    def test_all_notices_of_an_engine(self):
        notice = self.read(status=503, Server_Limit="2.3", Server_Leaving="1", Retry_After="3")
        self.assertEqual((notice.limit_per_s, notice.leaving, notice.rest_s), (2.3, True, 3.0))

    # Guards against another engine at the address, or another request's answer, that excludes this engine.
    def test_answer_of_another_engine_or_request_gives_no_notice(self):
        self.assertIsNone(self.read(status=421, Server_Leaving="1"))
        self.assertIsNone(self.read(request_id="another", Server_Leaving="1"))

    # Guards against an invalid limit that ends the one before it.
    def test_invalid_limit_neither_sets_nor_ends_one(self):
        for text in ("", "many", "-1", "nan", "inf"):
            with self.subTest(text=text):
                self.assertIsNone(self.read(Server_Limit=text))
        self.assertEqual(self.read().limit_per_s, math.inf)


if __name__ == "__main__":
    unittest.main()
