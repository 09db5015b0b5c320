"""Answers with neither a length nor chunks, which end with their connection, directly and through other routers."""

from tests.test_lost_engine_links import LinkedCase
from tests.utils.engine_links import Cut
from tests.utils.platform_world import wait_until

EVENT_IDS = [1, 2, 3, 4, 5, 6]


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


del LinkedCase
