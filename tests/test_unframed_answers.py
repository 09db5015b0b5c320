"""Answers with neither a length nor chunks, which end with their connection, directly and through other routers."""

import signal
import threading
import time

from tests.test_lost_engine_links import LinkedCase
from tests.test_platform_router import WorldCase
from tests.utils.engine_links import Cut
from tests.utils.platform_world import configuration, wait_until

EVENT_IDS = [1, 2, 3, 4, 5, 6]
TIMEOUT_MS = 600
LONG_EVENTS = 200
LONG_PAUSE_S = 0.05
"""Engines that need 10 s for an answer."""


def wait_until_acquainted(world):
    """Wait until all routers know each other: a tunnel needs the router that asks for it and the one that opens it."""
    numbers = range(len(world.routers))
    wait_until(
        lambda: all(len(world.state(number)["membership"]["members"]) == len(numbers) for number in numbers),
        "all routers know each other",
    )


class UnframedAnswersTest(LinkedCase):
    ROUTERS = 2

    def check_answers(self):
        """Check answers that end whole, inside an event and by a reset."""
        wait_until_acquainted(self.world)
        self.check_stream("unframed", runs=1)
        self.check_stream("unframed-torn", runs=2)
        self.check_stream("unframed-reset", runs=2)
        self.assertEqual(self.check_aborted("unframed-torn").event_ids, [1, 2, 3])
        self.check_aborted("unframed-reset")
        self.check_calls()

    def check_stream(self, how, *, runs):
        self.clear()
        self.script("assistant", how)
        answer = self.world.request("POST", "/stream/x", request_id=f"r-{how}")
        self.assertEqual((answer.status, answer.event_ids, answer.is_complete), (200, EVENT_IDS, True), how)
        self.assertEqual(len(self.world.runs(service="assistant")), runs, how)

    def check_aborted(self, how):
        self.clear()
        self.script("assistant", how)
        answer = self.world.request("POST", "/stream-once/x", request_id=f"o-{how}")
        self.assertEqual(len(self.world.runs(service="assistant")), 1, how)
        if answer.event_ids:
            self.assertEqual((answer.status, answer.is_complete), (200, False), how)
            self.assertEqual(answer.event_ids, EVENT_IDS[: len(answer.event_ids)])
        else:
            # A reset may discard events that were received before it; nothing was forwarded, so a refusal is sent.
            self.assertEqual((answer.status, answer.is_complete), (502, True), how)
            self.assertNotIn("Response-Stamp", answer.headers)
        return answer

    def check_calls(self):
        self.clear()
        self.script("booking", "unframed")
        answer = self.world.request("GET", "/status/1", request_id="c-1")
        self.assertEqual((answer.status, answer.body[:5]), (200, b"whole"))
        self.script("booking", "unframed-reset")
        answer = self.world.request("GET", "/status/1", request_id="c-2")
        self.assertEqual((answer.status, answer.body[:5]), (200, b"whole"))
        self.script("booking", "unframed-reset")
        answer = self.world.request("POST", "/book/1", request_id="c-3")
        self.assertEqual(answer.status, 502)

    def clear(self):
        for engine in self.world.engines.values():
            engine.seen.clear()

    # Guards against answers that look whole although their connection was reset, or that ended inside an event.
    def test_over_own_links(self):
        self.check_answers()

    # Guards against a helper that tells a reset, by which the engine broke the answer off, as its end.
    def test_through_another_router(self):
        self.world.links.cut((0,), Cut.REFUSE)
        self.check_answers()


class LongAnswers:
    """Requests whose answers without a length take longer than they are given."""

    def lengthen_answers(self):
        for engine in self.world.engines.values():
            engine.events, engine.pause_s, engine.script = LONG_EVENTS, LONG_PAUSE_S, ["unframed"] * 20
        for name in ("b-1", "b-2"):
            # Its answers have two pieces.
            self.world.engines[name].pause_s = LONG_EVENTS * LONG_PAUSE_S

    def requests_in_progress(self):
        """Send a request on each route; return threads and the list that gets the answers by path."""
        answers = []

        def ask(number, method, path):
            answers.append((path, self.world.request(method, path, request_id=f"r{number}")))

        paths = (("POST", "/stream/1"), ("POST", "/stream-once/1"), ("POST", "/book/1"), ("GET", "/status/1"))
        threads = [threading.Thread(target=ask, args=(number, *path), daemon=True) for number, path in enumerate(paths)]
        for thread in threads:
            thread.start()
        return threads, answers

    def wait_for_runs(self, count):
        engines = self.world.engines.values()
        wait_until(lambda: sum(len(engine.seen) for engine in engines) == count, "the runs")
        time.sleep(4 * LONG_PAUSE_S)

    def check_broken_off(self, threads, answers):
        for thread in threads:
            thread.join()
        self.assertEqual(len(answers), len(threads))
        for path, answer in answers:
            with self.subTest(path=path):
                if answer.status == 200:
                    self.assertFalse(answer.is_complete)
                    self.assertEqual(answer.event_ids, list(range(1, len(answer.event_ids) + 1)))
                else:
                    self.assertIn(answer.status, (502, 504))
                    self.assertNotIn("Response-Stamp", answer.headers)
        streams = [answer for path, answer in answers if path.startswith("/stream")]
        self.assertEqual([answer.status for answer in streams], [200, 200])


class CancelledRunsTest(LongAnswers, WorldCase):
    """Answers that the router has to end before the engine does."""

    SETTINGS = {"drain_timeout_s": 1.0}

    def setUp(self):
        super().setUp()
        self.lengthen_answers()

    # Guards against answers that look whole although the router ended them at the route's time limit.
    def test_cut_at_the_time_limit(self):
        self.world.store.put("config", "main", configuration(2, timeout_ms=TIMEOUT_MS))
        wait_until(lambda: self.world.state()["configuration"]["generation"] == 2, "the time limit")
        self.check_broken_off(*self.requests_in_progress())

    # Guards against the same when the router stops before the engine has finished.
    def test_cut_by_the_end_of_the_process(self):
        threads, answers = self.requests_in_progress()
        self.wait_for_runs(len(threads))
        self.world.routers[0].signal(signal.SIGTERM)
        self.check_broken_off(threads, answers)


class LostHelperTest(LongAnswers, LinkedCase):
    """Answers over a tunnel through another router, which ends before they do."""

    ROUTERS = 2
    SETTINGS = {"drain_timeout_s": 1.0}

    def check_helper(self, number):
        self.world.links.cut((0,), Cut.REFUSE)
        wait_until_acquainted(self.world)
        self.lengthen_answers()
        threads, answers = self.requests_in_progress()
        self.wait_for_runs(len(threads))
        self.world.routers[1].signal(number)
        self.check_broken_off(threads, answers)

    # Guards against answers that look whole although the router that carried them stopped, died or froze.
    def test_helper_that_stops(self):
        self.check_helper(signal.SIGTERM)

    def test_helper_that_dies(self):
        self.check_helper(signal.SIGKILL)

    def test_helper_that_freezes(self):
        self.check_helper(signal.SIGSTOP)


del LinkedCase, WorldCase
