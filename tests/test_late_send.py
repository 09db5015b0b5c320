"""Runs whose engine leaves between the decision to send them and the first byte."""

import threading
import unittest

from tests.test_answer_end import ScriptedEngine
from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.contracts.outcomes import RunDone, RunNotSent
from wagtailtrestle.engines.client import EngineClient
from wagtailtrestle.engines.connector import DirectConnector
from wagtailtrestle.platform.engines import PlatformCall, PlatformReceived

WAIT_S = 5.0
ANSWER = b"HTTP/1.1 200 x\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok"


class SlowConnector:
    """Connects directly; ``on_connected`` is called before the connection is returned."""

    def __init__(self, on_connected):
        self._on_connected = on_connected

    def connect(self, **arguments):
        connection = DirectConnector().connect(**arguments)
        self._on_connected()
        return connection


class LateSendTest(unittest.TestCase):
    def outcome(self, *, leaves, attach=False):
        engine = ScriptedEngine(ANSWER)
        self.addCleanup(engine.close)
        left = threading.Event()
        client = EngineClient(
            connect_timeout_s=1.0,
            connector=SlowConnector(left.set if leaves else lambda: None),
            may_send=lambda name: not left.is_set(),
        )
        command = StartRun(
            run_id="r1.1",
            engine="e1",
            address=engine.address,
            first_token_deadline_s=WAIT_S,
            progress_deadline_s=WAIT_S,
            overall_s=WAIT_S,
            attach=attach,
        )
        call = PlatformCall(
            method="GET", target="/x", headers={}, body=b"", request_id="r1", team="", is_streamed=False
        )
        received = PlatformReceived(tokens_per_event=1)
        ended = client.run(
            command=command, request=call, received=received, on_event=lambda event: None, on_token=lambda *token: None
        )
        return ended.outcome, received

    # Guards against a request that reaches an engine which left while the connection to it was being made.
    def test_no_run_is_sent_to_an_engine_that_left_while_it_was_connected_to(self):
        outcome, received = self.outcome(leaves=True)
        self.assertIsInstance(outcome, RunNotSent)
        self.assertFalse(outcome.arrived)
        self.assertEqual(received.status, 0)

    def test_a_run_is_sent_to_an_engine_that_stays(self):
        outcome, received = self.outcome(leaves=False)
        self.assertIsInstance(outcome, RunDone)
        self.assertEqual(bytes(received.body), b"ok")

    # Guards against a stream that is lost although the engine that leaves would finish it.
    def test_a_run_that_the_engine_holds_is_attached_to_while_it_leaves(self):
        outcome, _ = self.outcome(leaves=True, attach=True)
        self.assertIsInstance(outcome, RunDone)


if __name__ == "__main__":
    unittest.main()
